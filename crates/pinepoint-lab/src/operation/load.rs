//! A closed-loop load generator: each client sends requests, waits for all replies, counts the outcomes and
//! repeats.

use std::io;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use super::client::{Client, Reply, Request};

/// Pause before the next attempt to connect after a failed one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Number of the next request, so that no two requests have the same idempotency key.
static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Parameters of a load.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Address that the requests are sent to.
    pub address: SocketAddr,
    /// Number of clients, each with one connection.
    pub clients: usize,
    /// Number of requests that a client sends at once in a round, before it waits for all their replies.
    pub depth: usize,
    /// Pause of a client between two rounds.
    pub pause: Duration,
    /// Whether each connection carries only one round.
    pub reconnect: bool,
}

/// Outcomes of all requests and connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplyCounts {
    /// Requests sent, including those whose sending failed.
    pub sent: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected with `Busy`.
    pub busy: u64,
    /// Requests answered with another error.
    pub failed: u64,
    /// Requests whose connection ended before an answer arrived.
    pub lost: u64,
    /// Requests not answered in time.
    pub late: u64,
    /// Connections that could not be established.
    pub refused_connections: u64,
    /// Connections that ended between two rounds without a GOAWAY.
    pub ended_unannounced: u64,
}

impl ReplyCounts {
    /// Requests without an answer, and connections that failed or ended without a GOAWAY. An upgrade must
    /// cause none.
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

/// A running load. Each client has its own thread.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<ReplyCounts>>,
}

impl Load {
    /// Starts the clients.
    pub fn start(plan: Plan) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |_| {
            let stop = stop.clone();
            std::thread::spawn(move || send_until(plan, &stop))
        };
        let clients = (0..plan.clients).map(client).collect();
        Load { stop, clients }
    }

    /// Stops sending, waits for the last replies, and returns the sum of all clients' counts.
    ///
    /// # Errors
    /// If a client panicked.
    pub fn stop(self) -> io::Result<ReplyCounts> {
        self.stop.store(true, Ordering::Relaxed);
        let mut sum = ReplyCounts::default();
        for client in self.clients {
            sum += client.join().map_err(|_| io::Error::other("a client thread of the load panicked"))?;
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

/// Whether a client may reuse a connection, by the rules of routers. Counts a connection that ended without a
/// GOAWAY.
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

/// Alternates between read-only requests and requests with an effect.
fn next_request() -> Request {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    if number.is_multiple_of(2) {
        Request::read(&format!("read-{number}"))
    } else {
        Request::keyed(&format!("load-{number}"))
    }
}
