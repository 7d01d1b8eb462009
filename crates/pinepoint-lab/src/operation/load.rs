//! A load with a closed loop: clients that send requests all the time, wait for the replies, and count what became of each.

use std::io;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use super::client::{Client, Reply, Request};

/// Pause before a connection is attempted again after one was refused.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Numbers of requests, so that no two have the same key.
static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Where to.
    pub address: SocketAddr,
    /// Clients, each with one connection.
    pub clients: usize,
    /// Requests that each client sends together, before it waits for all their replies.
    pub depth: usize,
    /// Pause of a client between two rounds.
    pub pause: Duration,
    /// Whether each connection carries one round only.
    pub reconnect: bool,
}

/// What became of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// Sent, or attempted to.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Rejected.
    pub busy: u64,
    /// Answered with another error.
    pub failed: u64,
    /// The connection ended without an answer.
    pub lost: u64,
    /// Not answered in time.
    pub late: u64,
    /// Connections that could not be made.
    pub refused_connections: u64,
    /// Connections that ended between two rounds without a GOAWAY.
    pub ended_unannounced: u64,
}

impl ReplyCounts {
    /// Requests and connections that ended although the program owed them an answer: there must be none in an upgrade.
    pub fn ended_without_answer(&self) -> u64 {
        self.lost + self.late + self.refused_connections + self.ended_unannounced
    }

    fn count(&mut self, reply: &Reply) {
        match reply {
            Reply::Served(_) => self.served += 1,
            Reply::Busy => self.busy += 1,
            Reply::Failed(_) | Reply::Health(_) => self.failed += 1,
            Reply::Lost => self.lost += 1,
            Reply::Late => self.late += 1,
        }
    }
}

impl AddAssign for ReplyCounts {
    fn add_assign(&mut self, other: ReplyCounts) {
        self.sent += other.sent;
        self.served += other.served;
        self.busy += other.busy;
        self.failed += other.failed;
        self.lost += other.lost;
        self.late += other.late;
        self.refused_connections += other.refused_connections;
        self.ended_unannounced += other.ended_unannounced;
    }
}

/// A running load: the clients, each on a thread of its own.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<ReplyCounts>>,
}

impl Load {
    /// Starts them.
    pub fn start(plan: Plan) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let stop = stop.clone();
            std::thread::spawn(move || send_until(plan, &stop))
        };
        let clients = (0..plan.clients).map(client).collect();
        Load { stop, clients }
    }

    /// Stops sending, waits for the last replies, and returns the counts of all clients.
    ///
    /// # Errors
    /// If a client panicked.
    pub fn stop(self) -> io::Result<ReplyCounts> {
        self.stop.store(true, Ordering::Relaxed);
        let mut sum = ReplyCounts::default();
        for client in self.clients {
            sum += client.join().map_err(|_| io::Error::other("a client panicked"))?;
        }
        Ok(sum)
    }
}

fn send_until(plan: Plan, stop: &AtomicBool) -> ReplyCounts {
    let mut counts = ReplyCounts::default();
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::Relaxed) {
        let usable = connection.take().filter(|client| is_reusable(client, plan, &mut counts));
        let Some(client) = usable.or_else(|| Client::connect(plan.address).ok()) else {
            counts.refused_connections += 1;
            std::thread::sleep(RECONNECT_PAUSE);
            continue;
        };
        send_round(&client, plan.depth, &mut counts);
        connection = Some(client);
        std::thread::sleep(plan.pause);
    }
    counts
}

/// Whether a client sends again on a connection that it has used before, by the rules of routers.
fn is_reusable(client: &Client, plan: Plan, counts: &mut ReplyCounts) -> bool {
    let (goaway, ended) = (client.has_goaway(), client.ending().is_some());
    if ended && !goaway {
        counts.ended_unannounced += 1;
    }
    !goaway && !ended && !plan.reconnect
}

fn send_round(client: &Client, depth: usize, counts: &mut ReplyCounts) {
    let ids: Vec<Option<u64>> = (0..depth).map(|_| client.send(&next_request()).ok()).collect();
    for id in ids {
        counts.sent += 1;
        counts.count(&id.map_or(Reply::Lost, |id| client.wait(id)));
    }
}

/// Half of the requests only read, half have an effect.
fn next_request() -> Request {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    if number.is_multiple_of(2) {
        Request::read(&format!("read-{number}"))
    } else {
        Request::keyed(&format!("load-{number}"))
    }
}
