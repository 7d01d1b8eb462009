//! Routers in front of many processes: each keeps a connection to every process, sends to those that take work, and tries
//! again elsewhere what was refused or lost; a keyed request goes to one process only. It counts what became of each
//! request, what that was worth, and which rules were broken. It shares no code with the program, so that what it says of
//! it is worth something.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Sender, bounded};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;

use crate::load::{Incoming, Outcome, Request, RequestClass, draw_request, take_message, timeout, unix_ms};
use crate::machine::EngineControl;
use crate::process::SETTINGS;

/// Requests that may be open on one connection.
const MAX_IN_FLIGHT: usize = 32;
/// Tries of one request at most.
const MAX_ATTEMPTS: u32 = 3;
/// Between two tries, at first.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// An answer later than this after its due time has not come: the rule's own slack, and what a loaded machine may add.
const ANSWER_GRACE: Duration = Duration::from_millis(150 + 3000);
/// Broken rules that are kept with their words.
const MAX_RECORDED_VIOLATIONS: usize = 20;

/// What the routers send.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Classes; their due times and worth are those of the lab's settings.
    pub classes: Vec<RequestClass>,
    /// Requests a second, all routers together.
    pub rate: f64,
    /// Routers.
    pub routers: usize,
    /// A keyed request whose connection was lost is asked again at the same process.
    pub retry_keyed: bool,
    /// Times and work follow from it.
    pub seed: u64,
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassStats {
    /// Asked for, each counted once however often it was tried.
    pub requests: u64,
    /// Tries.
    pub attempts: u64,
    /// Ended with a result.
    pub served: u64,
    /// Ended with a refusal.
    pub rejected: u64,
    /// Ended with a failure.
    pub failed: u64,
    /// Its connection was lost, or nobody was there to ask.
    pub lost: u64,
    /// Worth of what was asked, and of what was served by its time.
    pub weight_requested: f64,
    /// See above.
    pub weight_served: f64,
}

/// What the routers saw.
#[derive(Clone, Debug, Default)]
pub struct RouterStats {
    /// By class.
    pub classes: BTreeMap<&'static str, ClassStats>,
    /// Rules that were broken, the first few in words.
    pub violations: Vec<String>,
    /// How many there were.
    pub violation_count: u64,
    /// Requests that have not ended.
    pub in_flight: u64,
    /// Processes that a script stopped: what they owe is owed by the script.
    pub excused: BTreeSet<usize>,
}

impl RouterStats {
    /// All classes together.
    pub fn all(&self) -> ClassStats {
        self.classes.values().fold(ClassStats::default(), |sum, execute_request| ClassStats {
            requests: sum.requests + execute_request.requests,
            attempts: sum.attempts + execute_request.attempts,
            served: sum.served + execute_request.served,
            rejected: sum.rejected + execute_request.rejected,
            failed: sum.failed + execute_request.failed,
            lost: sum.lost + execute_request.lost,
            weight_requested: sum.weight_requested + execute_request.weight_requested,
            weight_served: sum.weight_served + execute_request.weight_served,
        })
    }

    fn record_violation(&mut self, member: usize, rule: String) {
        if self.excused.contains(&member) {
            return;
        }
        self.violation_count += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(rule);
        }
    }
}

/// What a class is worth, and until when.
#[derive(Clone, Copy, Debug)]
struct ServiceLevel {
    latency_objective: Duration,
    deadline: Duration,
    weight: f64,
    late_weight: f64,
}

/// The terms of the lab's settings, by class.
fn service_levels() -> io::Result<HashMap<String, ServiceLevel>> {
    let settings: Value = serde_json::from_str(&SETTINGS.replace("CORES", "1")).map_err(io::Error::other)?;
    let services = settings["services"].as_array().into_iter().flatten();
    let figure = |service: &Value, name: &str| service[name].as_f64().unwrap_or(0.0);
    let ms = |service: &Value, name: &str| Duration::from_secs_f64(figure(service, name) / 1000.0);
    Ok(services
        .map(|service| {
            let service_levels = ServiceLevel {
                latency_objective: ms(service, "promiseMs"),
                deadline: ms(service, "deadlineMs"),
                weight: figure(service, "worth"),
                late_weight: figure(service, "lateWorth"),
            };
            (service["name"].as_str().unwrap_or_default().to_owned(), service_levels)
        })
        .collect())
}

/// The routers; they run on a thread of their own.
#[derive(Debug)]
pub struct Routers {
    stats: Arc<Mutex<RouterStats>>,
    rate: Arc<Mutex<f64>>,
}

impl Routers {
    /// Starts them in front of these addresses. The boards are those of the engines behind them, in the same order.
    pub fn start(
        workload: Workload,
        addresses: Vec<SocketAddr>,
        controls: Vec<EngineControl>,
    ) -> io::Result<Routers> {
        let (stats, rate) =
            (Arc::new(Mutex::new(RouterStats::default())), Arc::new(Mutex::new(workload.rate)));
        let routers = Routers { stats: stats.clone(), rate: rate.clone() };
        let service_levels = service_levels()?;
        std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let connections = (0..workload.routers).map(|_| vec![None; addresses.len()]).collect();
            let pool = Rc::new(RouterPool {
                workload,
                stats,
                service_levels,
                controls,
                connections: RefCell::new(connections),
            });
            for router in 0..pool.workload.routers {
                for (member, address) in addresses.iter().enumerate() {
                    executor.spawn(maintain_connection(pool.clone(), (router, member), *address)).detach();
                }
            }
            async_io::block_on(executor.run(generate_requests(pool, &rate, executor.clone())));
        });
        Ok(routers)
    }

    /// What they saw so far.
    pub fn stats(&self) -> MutexGuard<'_, RouterStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests a second from now on; 0 for none.
    pub fn set_rate(&self, rate: f64) {
        *self.rate.lock().unwrap_or_else(PoisonError::into_inner) = rate;
    }
}

struct Connection {
    stream: Async<TcpStream>,
    pending: RefCell<HashMap<u64, Sender<Option<Outcome>>>>,
    last: Cell<u64>,
    draining: Cell<bool>,
}

struct RouterPool {
    workload: Workload,
    stats: Arc<Mutex<RouterStats>>,
    service_levels: HashMap<String, ServiceLevel>,
    controls: Vec<EngineControl>,
    /// By router and process.
    connections: RefCell<Vec<Vec<Option<Rc<Connection>>>>>,
}

/// How a try ended.
enum AttemptOutcome {
    Ended(Outcome),
    /// The connection was lost under it.
    ConnectionLost,
    /// No answer by its time, on a connection that lives.
    TimedOut,
}

impl RouterPool {
    fn stats(&self) -> MutexGuard<'_, RouterStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connection(&self, router: usize, member: usize) -> Option<Rc<Connection>> {
        self.connections.borrow()[router][member].clone()
    }

    /// The processes that this router may ask now.
    fn available(&self, router: usize) -> Vec<usize> {
        let accepts = |connection: &Rc<Connection>| {
            !connection.draining.get() && connection.pending.borrow().len() < MAX_IN_FLIGHT
        };
        let connections = self.connections.borrow();
        let available = connections[router]
            .iter()
            .enumerate()
            .filter(|(_, connection)| connection.as_ref().is_some_and(accepts));
        available.map(|(member, _)| member).collect()
    }

    async fn attempt(
        &self,
        at: (usize, usize),
        request: &Request,
        first_sent_ms: u128,
        is_retry: bool,
    ) -> AttemptOutcome {
        let Some(connection) = self.connection(at.0, at.1) else { return AttemptOutcome::ConnectionLost };
        let id = connection.last.get() + 1;
        connection.last.set(id);
        let Ok(bytes) = request.message(id, first_sent_ms, is_retry) else {
            return AttemptOutcome::ConnectionLost;
        };
        let (sender, answer) = bounded(1);
        connection.pending.borrow_mut().insert(id, sender);
        if (&connection.stream).write_all(&bytes).await.is_err() {
            return AttemptOutcome::ConnectionLost;
        }
        let deadline = self
            .service_levels
            .get(request.class)
            .map_or(Duration::from_secs(10), |service_levels| service_levels.deadline);
        match timeout(deadline + ANSWER_GRACE, answer.recv()).await {
            Some(Ok(Some(end))) => AttemptOutcome::Ended(end),
            Some(_) => AttemptOutcome::ConnectionLost,
            None => AttemptOutcome::TimedOut,
        }
    }
}

/// Keeps a connection of one router to one process, and reads what comes.
async fn maintain_connection(pool: Rc<RouterPool>, (router, member): (usize, usize), address: SocketAddr) {
    loop {
        if let Ok(stream) = Async::<TcpStream>::connect(address).await {
            let _ = stream.get_ref().set_nodelay(true);
            let connection = Rc::new(Connection {
                stream,
                pending: RefCell::default(),
                last: Cell::new(0),
                draining: Cell::new(false),
            });
            pool.connections.borrow_mut()[router][member] = Some(connection.clone());
            read_messages(&pool, &connection, member).await;
            pool.connections.borrow_mut()[router][member] = None;
            for (_, waits) in connection.pending.take() {
                let _ = waits.try_send(None);
            }
        }
        Timer::after(RECONNECT_INTERVAL).await;
    }
}

async fn read_messages(pool: &RouterPool, connection: &Connection, member: usize) {
    let (mut input, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        match (&connection.stream).read(&mut chunk).await {
            Ok(n) if n > 0 => input.extend_from_slice(&chunk[..n]),
            _ => return,
        }
        while let Some(came) = take_message(&mut input) {
            match came {
                Incoming::GoAway => connection.draining.set(true),
                Incoming::Answer(id, end) => match connection.pending.borrow_mut().remove(&id) {
                    Some(waits) => {
                        let _ = waits.try_send(Some(end));
                    }
                    None => {
                        pool.stats()
                            .record_violation(member, format!("n{}: a second answer to one try", member + 1));
                    }
                },
            }
        }
        // One that was told to go closes once nothing of its is open.
        if connection.draining.get() && connection.pending.borrow().is_empty() {
            return;
        }
    }
}

/// Sends requests at random times, whatever becomes of those before them.
async fn generate_requests(pool: Rc<RouterPool>, rate: &Mutex<f64>, executor: Rc<LocalExecutor<'static>>) {
    let mut rng = Pcg64Mcg::seed_from_u64(pool.workload.seed);
    let mut number = 0;
    loop {
        let rate = *rate.lock().unwrap_or_else(PoisonError::into_inner);
        if rate <= 0.0 {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        }
        let Ok(gaps) = Exp::new(rate) else { return };
        Timer::after(Duration::from_secs_f64(gaps.sample(&mut rng))).await;
        number += 1;
        let workload = &pool.workload;
        let Ok(request) = draw_request(&workload.classes, 0.5, workload.seed, number, &mut rng) else {
            return;
        };
        let router = rng.random_range(0..workload.routers.max(1));
        let own = Pcg64Mcg::seed_from_u64(workload.seed ^ number << 20);
        pool.stats().in_flight += 1;
        executor.spawn(execute_request(pool.clone(), router, request, own)).detach();
    }
}

async fn execute_request(pool: Rc<RouterPool>, router: usize, mut request: Request, mut rng: Pcg64Mcg) {
    let (began, first_sent_ms) = (Instant::now(), unix_ms());
    let fallback = ServiceLevel {
        latency_objective: Duration::ZERO,
        deadline: Duration::ZERO,
        weight: 0.0,
        late_weight: 0.0,
    };
    let service_levels = pool.service_levels.get(request.class).copied().unwrap_or(fallback);
    let (mut attempts, mut own) = (0, None);
    let end = loop {
        if began.elapsed() >= service_levels.deadline {
            break None;
        }
        let available = pool.available(router);
        // A key lives at one process: it is asked again there and nowhere else.
        let member = match own {
            Some(own) => available.contains(&own).then_some(own),
            None if available.is_empty() => None,
            None => Some(available[rng.random_range(0..available.len())]),
        };
        let Some(member) = member else {
            Timer::after(RECONNECT_INTERVAL).await;
            continue;
        };
        attempts += 1;
        // Each try has a name of its own.
        request.request_id = request.request_id & !(7 << 48) | u64::from(attempts) << 48;
        if request.idempotency_key.is_some() {
            own = Some(member);
        }
        let tried = pool.attempt((router, member), &request, first_sent_ms, attempts > 1).await;
        let may_go_on = attempts < MAX_ATTEMPTS;
        match tried {
            AttemptOutcome::Ended(Outcome::Rejected) => {
                let begun = pool.controls[member].state().started.contains_key(&request.body);
                if request.idempotency_key.is_some() && begun {
                    let rule = format!("n{}: Busy told of {}, which has run", member + 1, request.body);
                    pool.stats().record_violation(member, rule);
                }
                if !may_go_on {
                    break Some(Outcome::Rejected);
                }
                // It was not run: another process may be asked.
                own = None;
                let pause = INITIAL_BACKOFF * 2_u32.pow(attempts - 1);
                Timer::after(pause.mul_f64(0.5 + rng.random::<f64>())).await;
            }
            AttemptOutcome::Ended(end) => break Some(end),
            AttemptOutcome::ConnectionLost
                if may_go_on && (request.idempotency_key.is_none() || pool.workload.retry_keyed) => {}
            AttemptOutcome::ConnectionLost => break None,
            AttemptOutcome::TimedOut => {
                let rule = format!("n{}: no answer to {} by its time", member + 1, request.body);
                pool.stats().record_violation(member, rule);
                break None;
            }
        }
    };
    let took = began.elapsed();
    let mut stats = pool.stats();
    stats.in_flight -= 1;
    let tally = stats.classes.entry(request.class).or_default();
    tally.requests += 1;
    tally.attempts += u64::from(attempts);
    tally.weight_requested += service_levels.weight;
    match end {
        Some(Outcome::Served) => {
            tally.served += 1;
            let part = match took {
                took if took <= service_levels.latency_objective => 1.0,
                took if took <= service_levels.deadline => service_levels.late_weight,
                _ => 0.0,
            };
            tally.weight_served += service_levels.weight * part;
        }
        Some(Outcome::Rejected) => tally.rejected += 1,
        Some(Outcome::Failed) => tally.failed += 1,
        None => tally.lost += 1,
    }
}
