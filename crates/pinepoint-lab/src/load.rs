//! A load generator with an open loop: requests at random times, whatever becomes of those before them, over MessagePack-RPC
//! and AJP at once. It counts for itself what became of each, by class and outcome, and records latencies.

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

/// How long answers are waited for after the last request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between two checks whether all requests are answered.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Its name.
    pub name: &'static str,
    /// Its share of all requests, as a weight.
    pub share: f64,
    /// Mean work, ms on one core.
    pub work_ms: f64,
    /// Its requests carry an idempotency key.
    pub keyed: bool,
    /// Its requests call the store.
    pub calls: bool,
}

/// What is sent.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Classes of requests.
    pub classes: Vec<RequestClass>,
    /// Requests a second.
    pub rate: f64,
    /// Share of the requests that is sent over AJP, from 0 to 1.
    pub ajp_share: f64,
    /// For how long requests are sent.
    pub duration: Duration,
    /// Connections of MessagePack-RPC.
    pub rpc_connections: usize,
    /// Connections of AJP at most.
    pub max_ajp_connections: usize,
    /// Standard deviation of the logarithm of the work.
    pub work_sigma: f64,
    /// Seed of times and work.
    pub seed: u64,
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Sent.
    pub sent: u64,
    /// Answered with a result.
    pub served: u64,
    /// Rejected.
    pub rejected: u64,
    /// Answered with another error.
    pub failed: u64,
    /// Not answered.
    pub unanswered: u64,
}

impl Sum for OutcomeCounts {
    fn sum<I: Iterator<Item = OutcomeCounts>>(counts: I) -> OutcomeCounts {
        counts.fold(OutcomeCounts::default(), |sum, one| OutcomeCounts {
            sent: sum.sent + one.sent,
            served: sum.served + one.served,
            rejected: sum.rejected + one.rejected,
            failed: sum.failed + one.failed,
            unanswered: sum.unanswered + one.unanswered,
        })
    }
}

/// What the load generator observed.
#[derive(Clone, Debug)]
pub struct LoadSummary {
    /// By class.
    pub outcomes: BTreeMap<&'static str, OutcomeCounts>,
    /// Time from the sending to the answer of served requests, us.
    pub latency: Histogram<u64>,
    /// Requests that found no connection free, and were not sent.
    pub no_capacity: u64,
    /// Answers beyond the first to one request.
    pub duplicate_answers: u64,
}

impl LoadSummary {
    /// All classes together.
    pub fn all(&self) -> OutcomeCounts {
        self.outcomes.values().copied().sum()
    }
}

/// Sends a workload to a process that listens at these addresses, and waits for the answers.
///
/// # Errors
/// If a connection of MessagePack-RPC cannot be made or breaks, or the workload has no classes or no valid rate.
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

/// Sends all requests of a workload, each at its time.
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
        let by_ajp = has_ajp && rng.random::<f64>() < workload.ajp_share;
        Timer::at(start + offset).await;
        if by_ajp {
            clients.ajp.send(request, &clients.recorder, &clients.executor).await;
        } else {
            clients.send_by_rpc(&request).await?;
        }
    }
}

/// The connections of a load.
struct Clients {
    connections: Vec<RpcConnection>,
    /// Where the search for a connection with capacity starts.
    next: usize,
    ajp: AjpPool,
    recorder: Rc<Recorder>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Clients {
    /// Sends a request on the next connection with capacity, round-robin. Where none has, it would wait at the router, not
    /// here, and is counted only.
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

/// Waits for a future, or gives up.
pub async fn timeout<T>(limit: Duration, what: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(what.await) }, expired).await
}
