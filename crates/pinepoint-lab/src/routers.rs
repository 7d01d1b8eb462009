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

use crate::load::{Came, Class, End, Request, draw, take_message, unix_ms, within};
use crate::machine::Switchboard;
use crate::process::SETTINGS;

/// Requests that may be open on one connection.
const OPEN_MOST: usize = 32;
/// Tries of one request at most.
const TRIES_MOST: u32 = 3;
/// Between two tries, at first.
const BACKOFF: Duration = Duration::from_millis(100);
/// Between two attempts to connect.
const CONNECT_EVERY: Duration = Duration::from_millis(100);
/// An answer later than this after its due time has not come: the rule's own slack, and what a loaded machine may add.
const SLACK: Duration = Duration::from_millis(150 + 3000);
/// Broken rules that are kept with their words.
const KEPT: usize = 20;

/// What the routers send.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Classes; their due times and worth are those of the lab's settings.
    pub classes: Vec<Class>,
    /// Requests a second, all routers together.
    pub rate: f64,
    /// Routers.
    pub routers: usize,
    /// A keyed request whose connection was lost is asked again at the same process.
    pub repeat_keyed: bool,
    /// Times and work follow from it.
    pub seed: u64,
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Asked for, each counted once however often it was tried.
    pub asked: u64,
    /// Tries.
    pub tries: u64,
    /// Ended with a result.
    pub served: u64,
    /// Ended with a refusal.
    pub refused: u64,
    /// Ended with a failure.
    pub failed: u64,
    /// Its connection was lost, or nobody was there to ask.
    pub lost: u64,
    /// Worth of what was asked, and of what was served by its time.
    pub worth_asked: f64,
    /// See above.
    pub worth_served: f64,
}

/// What the routers saw.
#[derive(Clone, Debug, Default)]
pub struct Book {
    /// By class.
    pub classes: BTreeMap<&'static str, Tally>,
    /// Rules that were broken, the first few in words.
    pub broken: Vec<String>,
    /// How many there were.
    pub broken_all: u64,
    /// Requests that have not ended.
    pub open: u64,
    /// Processes that a script stopped: what they owe is owed by the script.
    pub excused: BTreeSet<usize>,
}

impl Book {
    /// All classes together.
    pub fn all(&self) -> Tally {
        self.classes.values().fold(Tally::default(), |sum, one| Tally {
            asked: sum.asked + one.asked,
            tries: sum.tries + one.tries,
            served: sum.served + one.served,
            refused: sum.refused + one.refused,
            failed: sum.failed + one.failed,
            lost: sum.lost + one.lost,
            worth_asked: sum.worth_asked + one.worth_asked,
            worth_served: sum.worth_served + one.worth_served,
        })
    }

    fn breaks(&mut self, member: usize, rule: String) {
        if self.excused.contains(&member) {
            return;
        }
        self.broken_all += 1;
        if self.broken.len() < KEPT {
            self.broken.push(rule);
        }
    }
}

/// What a class is worth, and until when.
#[derive(Clone, Copy, Debug)]
struct Terms {
    promise: Duration,
    due: Duration,
    worth: f64,
    late_worth: f64,
}

/// The terms of the lab's settings, by class.
fn terms() -> io::Result<HashMap<String, Terms>> {
    let settings: Value = serde_json::from_str(&SETTINGS.replace("CORES", "1")).map_err(io::Error::other)?;
    let services = settings["services"].as_array().into_iter().flatten();
    let figure = |service: &Value, name: &str| service[name].as_f64().unwrap_or(0.0);
    let ms = |service: &Value, name: &str| Duration::from_secs_f64(figure(service, name) / 1000.0);
    Ok(services
        .map(|service| {
            let terms = Terms {
                promise: ms(service, "promiseMs"),
                due: ms(service, "deadlineMs"),
                worth: figure(service, "worth"),
                late_worth: figure(service, "lateWorth"),
            };
            (service["name"].as_str().unwrap_or_default().to_owned(), terms)
        })
        .collect())
}

/// The routers; they run on a thread of their own.
#[derive(Debug)]
pub struct Routers {
    book: Arc<Mutex<Book>>,
    rate: Arc<Mutex<f64>>,
}

impl Routers {
    /// Starts them in front of these addresses. The boards are those of the engines behind them, in the same order.
    pub fn start(plan: Plan, addresses: Vec<SocketAddr>, boards: Vec<Switchboard>) -> io::Result<Routers> {
        let (book, rate) = (Arc::new(Mutex::new(Book::default())), Arc::new(Mutex::new(plan.rate)));
        let routers = Routers { book: book.clone(), rate: rate.clone() };
        let terms = terms()?;
        std::thread::spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            let links = (0..plan.routers).map(|_| vec![None; addresses.len()]).collect();
            let front = Rc::new(Front { plan, book, terms, boards, links: RefCell::new(links) });
            for router in 0..front.plan.routers {
                for (member, address) in addresses.iter().enumerate() {
                    executor.spawn(keep(front.clone(), (router, member), *address)).detach();
                }
            }
            async_io::block_on(executor.run(ask(front, &rate, executor.clone())));
        });
        Ok(routers)
    }

    /// What they saw so far.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Requests a second from now on; 0 for none.
    pub fn set_rate(&self, rate: f64) {
        *self.rate.lock().unwrap_or_else(PoisonError::into_inner) = rate;
    }
}

struct Link {
    stream: Async<TcpStream>,
    open: RefCell<HashMap<u64, Sender<Option<End>>>>,
    last: Cell<u64>,
    leaving: Cell<bool>,
}

struct Front {
    plan: Plan,
    book: Arc<Mutex<Book>>,
    terms: HashMap<String, Terms>,
    boards: Vec<Switchboard>,
    /// By router and process.
    links: RefCell<Vec<Vec<Option<Rc<Link>>>>>,
}

/// How a try ended.
enum Try {
    Ended(End),
    /// The connection was lost under it.
    Broken,
    /// No answer by its time, on a connection that lives.
    Silent,
}

impl Front {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn link(&self, router: usize, member: usize) -> Option<Rc<Link>> {
        self.links.borrow()[router][member].clone()
    }

    /// The processes that this router may ask now.
    fn takers(&self, router: usize) -> Vec<usize> {
        let takes = |link: &Rc<Link>| !link.leaving.get() && link.open.borrow().len() < OPEN_MOST;
        let links = self.links.borrow();
        let takers = links[router].iter().enumerate().filter(|(_, link)| link.as_ref().is_some_and(takes));
        takers.map(|(member, _)| member).collect()
    }

    async fn try_at(&self, at: (usize, usize), request: &Request, t0: u128, again: bool) -> Try {
        let Some(link) = self.link(at.0, at.1) else { return Try::Broken };
        let id = link.last.get() + 1;
        link.last.set(id);
        let Ok(bytes) = request.message(id, t0, again) else { return Try::Broken };
        let (sender, answer) = bounded(1);
        link.open.borrow_mut().insert(id, sender);
        if (&link.stream).write_all(&bytes).await.is_err() {
            return Try::Broken;
        }
        let due = self.terms.get(request.class).map_or(Duration::from_secs(10), |terms| terms.due);
        match within(due + SLACK, answer.recv()).await {
            Some(Ok(Some(end))) => Try::Ended(end),
            Some(_) => Try::Broken,
            None => Try::Silent,
        }
    }
}

/// Keeps a connection of one router to one process, and reads what comes.
async fn keep(front: Rc<Front>, (router, member): (usize, usize), address: SocketAddr) {
    loop {
        if let Ok(stream) = Async::<TcpStream>::connect(address).await {
            let _ = stream.get_ref().set_nodelay(true);
            let link = Rc::new(Link {
                stream,
                open: RefCell::default(),
                last: Cell::new(0),
                leaving: Cell::new(false),
            });
            front.links.borrow_mut()[router][member] = Some(link.clone());
            read(&front, &link, member).await;
            front.links.borrow_mut()[router][member] = None;
            for (_, waits) in link.open.take() {
                let _ = waits.try_send(None);
            }
        }
        Timer::after(CONNECT_EVERY).await;
    }
}

async fn read(front: &Front, link: &Link, member: usize) {
    let (mut input, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        match (&link.stream).read(&mut chunk).await {
            Ok(n) if n > 0 => input.extend_from_slice(&chunk[..n]),
            _ => return,
        }
        while let Some(came) = take_message(&mut input) {
            match came {
                Came::Notice => link.leaving.set(true),
                Came::Answer(id, end) => match link.open.borrow_mut().remove(&id) {
                    Some(waits) => {
                        let _ = waits.try_send(Some(end));
                    }
                    None => {
                        front.book().breaks(member, format!("n{}: a second answer to one try", member + 1));
                    }
                },
            }
        }
        // One that was told to go closes once nothing of its is open.
        if link.leaving.get() && link.open.borrow().is_empty() {
            return;
        }
    }
}

/// Sends requests at random times, whatever becomes of those before them.
async fn ask(front: Rc<Front>, rate: &Mutex<f64>, executor: Rc<LocalExecutor<'static>>) {
    let mut random = Pcg64Mcg::seed_from_u64(front.plan.seed);
    let mut number = 0;
    loop {
        let rate = *rate.lock().unwrap_or_else(PoisonError::into_inner);
        if rate <= 0.0 {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        }
        let Ok(gaps) = Exp::new(rate) else { return };
        Timer::after(Duration::from_secs_f64(gaps.sample(&mut random))).await;
        number += 1;
        let plan = &front.plan;
        let Ok(request) = draw(&plan.classes, 0.5, plan.seed, number, &mut random) else { return };
        let router = random.random_range(0..plan.routers.max(1));
        let own = Pcg64Mcg::seed_from_u64(plan.seed ^ number << 20);
        front.book().open += 1;
        executor.spawn(one(front.clone(), router, request, own)).detach();
    }
}

async fn one(front: Rc<Front>, router: usize, mut request: Request, mut random: Pcg64Mcg) {
    let (began, t0) = (Instant::now(), unix_ms());
    let fallback = Terms { promise: Duration::ZERO, due: Duration::ZERO, worth: 0.0, late_worth: 0.0 };
    let terms = front.terms.get(request.class).copied().unwrap_or(fallback);
    let (mut tries, mut own) = (0, None);
    let end = loop {
        if began.elapsed() >= terms.due {
            break None;
        }
        let takers = front.takers(router);
        // A key lives at one process: it is asked again there and nowhere else.
        let member = match own {
            Some(own) => takers.contains(&own).then_some(own),
            None if takers.is_empty() => None,
            None => Some(takers[random.random_range(0..takers.len())]),
        };
        let Some(member) = member else {
            Timer::after(CONNECT_EVERY).await;
            continue;
        };
        tries += 1;
        // Each try has a name of its own.
        request.rid = request.rid & !(7 << 48) | u64::from(tries) << 48;
        if request.token.is_some() {
            own = Some(member);
        }
        let tried = front.try_at((router, member), &request, t0, tries > 1).await;
        let may_go_on = tries < TRIES_MOST;
        match tried {
            Try::Ended(End::Refused) => {
                let begun = front.boards[member].power().begun.contains_key(&request.body);
                if request.token.is_some() && begun {
                    let rule = format!("n{}: Busy told of {}, which has run", member + 1, request.body);
                    front.book().breaks(member, rule);
                }
                if !may_go_on {
                    break Some(End::Refused);
                }
                // It was not run: another process may be asked.
                own = None;
                let pause = BACKOFF * 2_u32.pow(tries - 1);
                Timer::after(pause.mul_f64(0.5 + random.random::<f64>())).await;
            }
            Try::Ended(end) => break Some(end),
            Try::Broken if may_go_on && (request.token.is_none() || front.plan.repeat_keyed) => {}
            Try::Broken => break None,
            Try::Silent => {
                let rule = format!("n{}: no answer to {} by its time", member + 1, request.body);
                front.book().breaks(member, rule);
                break None;
            }
        }
    };
    let took = began.elapsed();
    let mut book = front.book();
    book.open -= 1;
    let tally = book.classes.entry(request.class).or_default();
    tally.asked += 1;
    tally.tries += u64::from(tries);
    tally.worth_asked += terms.worth;
    match end {
        Some(End::Served) => {
            tally.served += 1;
            let part = match took {
                took if took <= terms.promise => 1.0,
                took if took <= terms.due => terms.late_worth,
                _ => 0.0,
            };
            tally.worth_served += terms.worth * part;
        }
        Some(End::Refused) => tally.refused += 1,
        Some(End::Failed) => tally.failed += 1,
        None => tally.lost += 1,
    }
}
