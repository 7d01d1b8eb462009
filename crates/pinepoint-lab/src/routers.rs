//! Routers in front of many processes: each keeps a connection to every process, sends to those that accept requests, and
//! retries elsewhere what was rejected or lost; a request with an idempotency key goes to one process only. They count what
//! became of each request, its priority weight, and which rules were violated. They share no code with the program, so that
//! their counts are independent.

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

/// Violations that are kept in words; more are counted only.
const MAX_RECORDED_VIOLATIONS: usize = 20;

/// What the routers send.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Classes; their deadlines and weights are those of [`crate::process::SETTINGS`].
    pub classes: Vec<RequestClass>,
    /// Requests a second, all routers together.
    pub rate: f64,
    /// Number of routers.
    pub routers: usize,
    /// Whether a request with an idempotency key is retried at the same process after its connection was lost.
    pub retry_keyed: bool,
    /// Seed of times and work.
    pub seed: u64,
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassStats {
    /// Requests, each counted once however often it was attempted.
    pub requests: u64,
    /// Attempts.
    pub attempts: u64,
    /// Ended with a result.
    pub served: u64,
    /// Ended with a rejection.
    pub rejected: u64,
    /// Ended with a failure.
    pub failed: u64,
    /// Their connection was lost, or no process was there to ask.
    pub lost: u64,
    /// Priority weight of all requests.
    pub weight_requested: f64,
    /// Priority weight of what was served by its time.
    pub weight_served: f64,
}

impl Sum for ClassStats {
    fn sum<I: Iterator<Item = ClassStats>>(stats: I) -> ClassStats {
        stats.fold(ClassStats::default(), |sum, one| ClassStats {
            requests: sum.requests + one.requests,
            attempts: sum.attempts + one.attempts,
            served: sum.served + one.served,
            rejected: sum.rejected + one.rejected,
            failed: sum.failed + one.failed,
            lost: sum.lost + one.lost,
            weight_requested: sum.weight_requested + one.weight_requested,
            weight_served: sum.weight_served + one.weight_served,
        })
    }
}

/// What the routers observed.
#[derive(Clone, Debug, Default)]
pub struct RouterStats {
    /// By class.
    pub classes: BTreeMap<&'static str, ClassStats>,
    /// Rules that were violated, the first few in words.
    pub violations: Vec<String>,
    /// Number of all violations.
    pub violation_count: u64,
    /// Requests that have not ended.
    pub in_flight: u64,
    /// Processes that a script stopped or throttled, whose violations do not count.
    pub excused: BTreeSet<usize>,
}

impl RouterStats {
    /// All classes together.
    pub fn all(&self) -> ClassStats {
        self.classes.values().copied().sum()
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

/// The routers; they run on a thread of their own, which ends with the process.
#[derive(Debug)]
pub struct Routers {
    stats: Arc<Mutex<RouterStats>>,
    rate: Arc<Mutex<f64>>,
}

impl Routers {
    /// Starts them in front of these addresses. The engines are those behind the addresses, in the same order.
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

    /// What they observed so far.
    pub fn stats(&self) -> MutexGuard<'_, RouterStats> {
        lock(&self.stats)
    }

    /// Sets the requests a second from now on; 0 for none.
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
