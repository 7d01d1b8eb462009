//! All routers of one workload: their connections to the members, and the attempts and retries of each
//! request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use super::connection::{Connection, ConnectionLost, RECONNECT_INTERVAL};
use super::service_level::{ServiceLevel, ServiceLevels};
use super::{RouterStats, Workload};
use crate::load::{Outcome, Request, draw_request, timeout};
use crate::rpc::unix_ms;
use crate::simulated_engine::EngineControl;
use crate::standard_load::WORK_SIGMA;
use crate::sync::lock;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// Backoff after the first rejection. It doubles with each further rejection and has a jitter of 50 percent
/// up or down.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// A request that has no answer this long after the deadline of its class is a violation. The first term is
/// the slack that the rule itself grants, the second an allowance for a loaded machine.
const ANSWER_GRACE: Duration = Duration::from_millis(150 + 3000);
/// Interval between two checks of the rate while it is 0.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Position of the attempt number in an attempt id, in bits.
const ATTEMPT_SHIFT: u32 = 48;
/// Mask of the attempt number, before the shift.
const ATTEMPT_MASK: u64 = 7;

/// The path from one router to one member, both by index.
#[derive(Clone, Copy, Debug)]
pub(super) struct Path {
    pub(super) router: usize,
    pub(super) member: usize,
}

/// Outcome of one attempt.
enum AttemptOutcome {
    Answered(Outcome),
    ConnectionLost,
    /// No answer in time on an open connection.
    TimedOut,
}

/// Next step of a request after an attempt.
enum NextStep {
    Finish(Option<Outcome>),
    /// Retry at any member after this backoff, with jitter.
    RetryAnywhere(Duration),
    /// Retry at once; a request with an idempotency key stays at the same member.
    Retry,
}

/// All routers of one workload, on one thread.
pub(super) struct RouterPool {
    workload: Workload,
    stats: Arc<Mutex<RouterStats>>,
    service_levels: ServiceLevels,
    engines: Vec<EngineControl>,
    /// Open connections by router and member.
    connections: RefCell<Vec<Vec<Option<Rc<Connection>>>>>,
}

impl RouterPool {
    /// Routers without any connection yet. `engines` are the engines of the members, in the order of the
    /// members.
    pub(super) fn new(
        workload: Workload,
        stats: Arc<Mutex<RouterStats>>,
        service_levels: ServiceLevels,
        engines: Vec<EngineControl>,
        members: usize,
    ) -> RouterPool {
        let connections = (0..workload.routers).map(|_| vec![None; members]).collect();
        RouterPool { workload, stats, service_levels, engines, connections: RefCell::new(connections) }
    }

    /// Keeps a connection of one router to one member open, and reads its messages.
    pub(super) async fn maintain_connection(self: Rc<Self>, path: Path, address: SocketAddr) {
        loop {
            if let Ok(connection) = Connection::connect(address).await {
                let connection = Rc::new(connection);
                self.set_connection(path, Some(connection.clone()));
                connection.read_messages(|| self.record_second_answer(path.member)).await;
                self.set_connection(path, None);
                connection.fail_pending();
            }
            Timer::after(RECONNECT_INTERVAL).await;
        }
    }

    fn stats(&self) -> MutexGuard<'_, RouterStats> {
        lock(&self.stats)
    }

    fn set_connection(&self, path: Path, connection: Option<Rc<Connection>>) {
        self.connections.borrow_mut()[path.router][path.member] = connection;
    }

    fn connection(&self, path: Path) -> Option<Rc<Connection>> {
        self.connections.borrow()[path.router][path.member].clone()
    }

    /// Records that a member answered an attempt that has no pending answer.
    fn record_second_answer(&self, member: usize) {
        self.stats().record_violation(member, format!("n{}: a second answer to one attempt", member + 1));
    }

    /// The members that now accept requests from this router.
    fn available_members(&self, router: usize) -> Vec<usize> {
        let accepts = |connection: &Rc<Connection>| connection.accepts_requests();
        let connections = self.connections.borrow();
        let members = connections[router].iter().enumerate();
        members
            .filter(|(_, connection)| connection.as_ref().is_some_and(accepts))
            .map(|(member, _)| member)
            .collect()
    }

    async fn attempt(
        &self,
        path: Path,
        request: &Request,
        first_sent_ms: u128,
        is_retry: bool,
    ) -> AttemptOutcome {
        let Some(connection) = self.connection(path) else { return AttemptOutcome::ConnectionLost };
        let Ok(answer) = connection.send(request, first_sent_ms, is_retry).await else {
            return AttemptOutcome::ConnectionLost;
        };
        let limit = self.service_levels.answer_limit(request.class) + ANSWER_GRACE;
        match timeout(limit, answer.recv()).await {
            Some(Ok(Ok(outcome))) => AttemptOutcome::Answered(outcome),
            Some(Ok(Err(ConnectionLost)) | Err(_)) => AttemptOutcome::ConnectionLost,
            None => AttemptOutcome::TimedOut,
        }
    }

    /// Sends requests at random times, independent of the outcome of earlier requests.
    pub(super) async fn generate_requests(
        self: Rc<Self>,
        rate: &Mutex<f64>,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.workload.seed);
        let mut number = 0;
        loop {
            let rate = *lock(rate);
            if rate <= 0.0 {
                Timer::after(IDLE_POLL_INTERVAL).await;
                continue;
            }
            let Ok(interarrival_times) = Exp::new(rate) else { return };
            Timer::after(Duration::from_secs_f64(interarrival_times.sample(&mut rng))).await;
            number += 1;
            let Workload { classes, routers, seed, .. } = &self.workload;
            let Ok(request) = draw_request(classes, WORK_SIGMA, *seed, number, &mut rng) else { return };
            let router = rng.random_range(0..(*routers).max(1));
            let request_rng = Pcg64Mcg::seed_from_u64(seed ^ number << 20);
            self.stats().in_flight += 1;
            executor.spawn(self.clone().execute(router, request, request_rng)).detach();
        }
    }

    /// Sends a request through one router, with retries, and records its outcome.
    async fn execute(self: Rc<Self>, router: usize, mut request: Request, mut rng: Pcg64Mcg) {
        let (start, first_sent_ms) = (Instant::now(), unix_ms());
        let service_level = self.service_levels.of(request.class);
        let (mut attempts, mut sticky_member) = (0, None);
        let outcome = loop {
            if start.elapsed() >= service_level.deadline {
                break None;
            }
            let Some(member) = self.choose_member(router, sticky_member, &mut rng) else {
                Timer::after(RECONNECT_INTERVAL).await;
                continue;
            };
            attempts += 1;
            request.set_attempt(attempts);
            if request.idempotency_key.is_some() {
                sticky_member = Some(member);
            }
            let path = Path { router, member };
            let attempt_outcome = self.attempt(path, &request, first_sent_ms, attempts > 1).await;
            match self.next_step(member, &request, attempts, attempt_outcome) {
                NextStep::Finish(outcome) => break outcome,
                NextStep::RetryAnywhere(backoff) => {
                    sticky_member = None;
                    Timer::after(backoff.mul_f64(0.5 + rng.random::<f64>())).await;
                }
                NextStep::Retry => {}
            }
        };
        self.record(request.class, &service_level, attempts, outcome, start.elapsed());
    }

    /// Chooses a member that accepts requests now. A request with an idempotency key stays at the member that
    /// may have run it.
    fn choose_member(
        &self,
        router: usize,
        sticky_member: Option<usize>,
        rng: &mut Pcg64Mcg,
    ) -> Option<usize> {
        let available = self.available_members(router);
        match sticky_member {
            Some(member) => available.contains(&member).then_some(member),
            None if available.is_empty() => None,
            None => Some(available[rng.random_range(0..available.len())]),
        }
    }

    fn next_step(
        &self,
        member: usize,
        request: &Request,
        attempts: u32,
        attempt_outcome: AttemptOutcome,
    ) -> NextStep {
        let may_retry = attempts < MAX_ATTEMPTS;
        let is_keyed = request.idempotency_key.is_some();
        match attempt_outcome {
            AttemptOutcome::Answered(Outcome::Rejected) => {
                self.check_rejection(member, request);
                if !may_retry {
                    return NextStep::Finish(Some(Outcome::Rejected));
                }
                // The request was not run, so another member may run it.
                NextStep::RetryAnywhere(INITIAL_BACKOFF * 2_u32.pow(attempts - 1))
            }
            AttemptOutcome::Answered(outcome) => NextStep::Finish(Some(outcome)),
            AttemptOutcome::ConnectionLost if may_retry && (!is_keyed || self.workload.retry_keyed) => {
                NextStep::Retry
            }
            AttemptOutcome::ConnectionLost => NextStep::Finish(None),
            AttemptOutcome::TimedOut => {
                let violation = format!("n{}: no answer to {} by its deadline", member + 1, request.body);
                self.stats().record_violation(member, violation);
                NextStep::Finish(None)
            }
        }
    }

    /// A rejection states that the request was not run. Records a violation if the engine has run it.
    fn check_rejection(&self, member: usize, request: &Request) {
        let was_run = self.engines[member].state().started.contains_key(&request.body);
        if request.idempotency_key.is_some() && was_run {
            let violation = format!("n{}: Busy sent for {}, which has run", member + 1, request.body);
            self.stats().record_violation(member, violation);
        }
    }

    fn record(
        &self,
        class: &'static str,
        service_level: &ServiceLevel,
        attempts: u32,
        outcome: Option<Outcome>,
        latency: Duration,
    ) {
        let mut stats = self.stats();
        stats.in_flight -= 1;
        let stats = stats.classes.entry(class).or_default();
        stats.requests += 1;
        stats.attempts += u64::from(attempts);
        stats.weight_requested += service_level.weight;
        match outcome {
            Some(Outcome::Served) => {
                stats.served += 1;
                stats.weight_served += service_level.weight_after(latency);
            }
            Some(Outcome::Rejected) => stats.rejected += 1,
            Some(Outcome::Failed) => stats.failed += 1,
            None => stats.lost += 1,
        }
    }
}

impl Request {
    /// Writes the attempt number into the attempt id, so that each attempt has its own id.
    fn set_attempt(&mut self, attempt: u32) {
        self.attempt_id =
            self.attempt_id & !(ATTEMPT_MASK << ATTEMPT_SHIFT) | u64::from(attempt) << ATTEMPT_SHIFT;
    }
}
