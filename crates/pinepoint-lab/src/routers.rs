//! Routers in front of many processes: each keeps a connection to every process, sends requests to the
//! processes that accept them, and retries rejected or lost requests elsewhere. A request with an idempotency
//! key goes to another process only after a rejection, which states that the request was not run. The routers
//! count the outcome and the priority weight of each request, and the violations of rules that they observe.
//! They share no code with the program, so that their counts are independent.

mod connection;
mod pool;
mod service_level;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::iter::Sum;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard};

use async_executor::LocalExecutor;

use pool::{Path, RouterPool};
use service_level::ServiceLevels;

use crate::load::RequestClass;
use crate::simulated_engine::EngineControl;
use crate::sync::lock;

/// Violations whose description is kept; further ones are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 20;

/// The workload of the routers.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Request classes; their deadlines and weights are those of [`crate::process::SETTINGS`].
    pub classes: Vec<RequestClass>,
    /// Requests per second of all routers together.
    pub rate: f64,
    /// Number of routers.
    pub routers: usize,
    /// Whether a request with an idempotency key is retried at the same process after a lost connection.
    pub retry_keyed: bool,
    /// Seed of the random times, work and backoffs.
    pub seed: u64,
}

/// Outcomes of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassStats {
    /// Requests, each counted once regardless of its attempts.
    pub requests: u64,
    /// Attempts.
    pub attempts: u64,
    /// Requests that ended with a result.
    pub served: u64,
    /// Requests that ended with a rejection.
    pub rejected: u64,
    /// Requests that ended with a failure.
    pub failed: u64,
    /// Requests that ended without an answer: the connection was lost, no process accepted requests, or no
    /// answer came in time.
    pub lost: u64,
    /// Priority weight of all requests.
    pub weight_requested: f64,
    /// Priority weight of the requests served by their deadline; after the latency objective, a share of it.
    pub weight_served: f64,
}

impl Sum for ClassStats {
    fn sum<I: Iterator<Item = ClassStats>>(stats: I) -> ClassStats {
        stats.fold(ClassStats::default(), |sum, class| ClassStats {
            requests: sum.requests + class.requests,
            attempts: sum.attempts + class.attempts,
            served: sum.served + class.served,
            rejected: sum.rejected + class.rejected,
            failed: sum.failed + class.failed,
            lost: sum.lost + class.lost,
            weight_requested: sum.weight_requested + class.weight_requested,
            weight_served: sum.weight_served + class.weight_served,
        })
    }
}

/// Counts and violations that the routers observed.
#[derive(Clone, Debug, Default)]
pub struct RouterStats {
    /// Outcomes by class.
    pub classes: BTreeMap<&'static str, ClassStats>,
    /// Descriptions of the first violations.
    pub violations: Vec<String>,
    /// Number of all violations.
    pub violation_count: u64,
    /// Requests that have not ended yet.
    pub in_flight: u64,
    /// Processes that a script has ever stopped or throttled; their later violations do not count.
    pub excused: BTreeSet<usize>,
}

impl RouterStats {
    /// The sums over all classes.
    pub fn all(&self) -> ClassStats {
        self.classes.values().copied().sum()
    }

    fn record_violation(&mut self, member: usize, violation: String) {
        if self.excused.contains(&member) {
            return;
        }
        self.violation_count += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(violation);
        }
    }
}

/// The routers. They run on a thread of their own, which ends with the process.
#[derive(Debug)]
pub struct Routers {
    stats: Arc<Mutex<RouterStats>>,
    rate: Arc<Mutex<f64>>,
}

impl Routers {
    /// Starts the routers in front of these addresses. `engines` are the engines behind the addresses, in the
    /// same order.
    ///
    /// # Errors
    /// If the settings of the classes cannot be read.
    pub fn start(
        workload: Workload,
        addresses: Vec<SocketAddr>,
        engines: Vec<EngineControl>,
    ) -> io::Result<Routers> {
        let routers = Routers { stats: Arc::default(), rate: Arc::new(Mutex::new(workload.rate)) };
        let (stats, rate) = (routers.stats.clone(), routers.rate.clone());
        let service_levels = ServiceLevels::load()?;
        std::thread::spawn(move || {
            let router_count = workload.routers;
            let pool = RouterPool::new(workload, stats, service_levels, engines, addresses.len());
            run_pool(Rc::new(pool), router_count, &addresses, &rate);
        });
        Ok(routers)
    }

    /// The counts and violations so far.
    pub fn stats(&self) -> MutexGuard<'_, RouterStats> {
        lock(&self.stats)
    }

    /// Sets the requests per second from now on; 0 stops sending.
    pub fn set_rate(&self, rate: f64) {
        *lock(&self.rate) = rate;
    }
}

fn run_pool(pool: Rc<RouterPool>, routers: usize, addresses: &[SocketAddr], rate: &Mutex<f64>) {
    let executor = Rc::new(LocalExecutor::new());
    for router in 0..routers {
        for (member, address) in addresses.iter().enumerate() {
            let path = Path { router, member };
            executor.spawn(pool.clone().maintain_connection(path, *address)).detach();
        }
    }
    async_io::block_on(executor.run(pool.generate_requests(rate, executor.clone())));
}
