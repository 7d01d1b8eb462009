//! An open-loop load generator: sends requests at random times, independent of the answers to earlier
//! requests, over MessagePack-RPC and AJP at once. It counts outcomes by class on its own, independent of the
//! program, and records latencies.

mod ajp;
mod recorder;
mod request;
mod rpc_connection;

use std::collections::BTreeMap;
use std::io;
use std::iter::Sum;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use ajp::AjpPool;
use recorder::Recorder;
pub(crate) use request::{Incoming, Outcome, Request, draw_request, take_incoming};
use rpc_connection::RpcConnection;

/// How long the generator waits for answers after the last request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between two checks whether all requests have been answered.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Class name.
    pub name: &'static str,
    /// Relative share of all requests; the shares need not add up to 1.
    pub share: f64,
    /// Mean work, ms on one core.
    pub work_ms: f64,
    /// Whether requests carry an idempotency key.
    pub keyed: bool,
    /// Whether requests call the store.
    pub calls: bool,
}

/// Parameters of a load.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Request classes.
    pub classes: Vec<RequestClass>,
    /// Requests per second.
    pub rate: f64,
    /// Share of the requests sent over AJP, from 0 to 1.
    pub ajp_share: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Number of MessagePack-RPC connections.
    pub rpc_connections: usize,
    /// Maximum number of AJP connections.
    pub max_ajp_connections: usize,
    /// Standard deviation of the logarithm of the work.
    pub work_sigma: f64,
    /// Seed of the random times, classes and work of the requests.
    pub seed: u64,
}

/// Outcomes of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered with a result.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests answered with another error.
    pub failed: u64,
    /// Requests not answered.
    pub unanswered: u64,
}

impl Sum for OutcomeCounts {
    fn sum<I: Iterator<Item = OutcomeCounts>>(counts: I) -> OutcomeCounts {
        counts.fold(OutcomeCounts::default(), |sum, next| OutcomeCounts {
            sent: sum.sent + next.sent,
            served: sum.served + next.served,
            rejected: sum.rejected + next.rejected,
            failed: sum.failed + next.failed,
            unanswered: sum.unanswered + next.unanswered,
        })
    }
}

/// Results of a load, as the load generator observed them.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// Outcomes by class.
    pub outcomes: BTreeMap<&'static str, OutcomeCounts>,
    /// Time from sending to answer of the served requests, us.
    pub latency: Histogram<u64>,
    /// Requests that were not sent because no connection had capacity.
    pub no_capacity: u64,
    /// Answers to requests that were already answered.
    pub duplicate_answers: u64,
}

impl LoadSummary {
    /// Sum of all classes.
    pub fn all(&self) -> OutcomeCounts {
        self.outcomes.values().copied().sum()
    }
}

/// Sends a workload to a process that listens at the addresses `rpc` and `ajp`, and waits for the answers.
///
/// # Errors
/// If a MessagePack-RPC connection cannot be established or breaks, or the workload has no classes or an
/// invalid rate.
pub async fn run(
    workload: &Workload,
    rpc: SocketAddr,
    ajp: Option<SocketAddr>,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<LoadSummary> {
    let recorder = Rc::new(Recorder::new());
    let mut clients = Clients {
        connections: Vec::new(),
        next: 0,
        ajp: AjpPool::new(ajp, workload.max_ajp_connections),
        recorder: recorder.clone(),
        executor: executor.clone(),
    };
    for _ in 0..workload.rpc_connections {
        clients.connections.push(RpcConnection::connect(rpc, recorder.clone(), executor).await?);
    }
    send_all(workload, ajp.is_some(), &mut clients).await?;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    while recorder.in_flight() > 0 && Instant::now() < deadline {
        Timer::after(POLL_INTERVAL).await;
    }
    Ok(recorder.finish())
}

/// Sends all requests of a workload, each at its scheduled time.
async fn send_all(workload: &Workload, has_ajp: bool, clients: &mut Clients) -> io::Result<()> {
    let mut rng = Pcg64Mcg::seed_from_u64(workload.seed);
    let gaps = Exp::new(workload.rate).map_err(io::Error::other)?;
    let start = Instant::now();
    let mut offset = Duration::ZERO;
    let mut number = 0_u64;
    loop {
        offset += Duration::from_secs_f64(gaps.sample(&mut rng));
        if offset > workload.duration {
            return Ok(());
        }
        number += 1;
        let request = draw_request(&workload.classes, workload.work_sigma, workload.seed, number, &mut rng)?;
        let is_ajp = has_ajp && rng.random::<f64>() < workload.ajp_share;
        Timer::at(start + offset).await;
        if is_ajp {
            clients.ajp.send(request, &clients.recorder, &clients.executor).await;
        } else {
            clients.send_by_rpc(&request).await?;
        }
    }
}

/// The connections that carry a load.
struct Clients {
    connections: Vec<RpcConnection>,
    /// Index at which the search for a connection with capacity starts.
    next: usize,
    ajp: AjpPool,
    recorder: Rc<Recorder>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Clients {
    /// Sends a request on the next connection with capacity, round-robin. If no connection has capacity, the
    /// request is only counted: a real router would queue it, and the generator does not simulate that queue.
    async fn send_by_rpc(&mut self, request: &Request) -> io::Result<()> {
        let count = self.connections.len();
        let mut candidates = (0..count).map(|n| (self.next + n) % count);
        let free = candidates.find(|n| self.connections[*n].has_capacity());
        self.next += 1;
        match free {
            Some(n) => self.connections[n].send(request).await?,
            None => self.recorder.no_capacity(),
        }
        Ok(())
    }
}

/// Waits for a future; `None` if it does not complete within `limit`.
pub async fn timeout<T>(limit: Duration, operation: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(operation.await) }, expired).await
}
