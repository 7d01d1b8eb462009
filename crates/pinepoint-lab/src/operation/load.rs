//! Clients that send requests all the time and account for each: every one is answered, or is counted as not.

use std::io;
use std::net::SocketAddr;
use std::ops::AddAssign;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use super::client::{Client, Reply, Request};

/// Pause before a refused connection is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(5);

/// Makes keys that no other request has.
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
pub struct Tally {
    /// Sent, or tried to.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub busy: u64,
    /// Answered with another error.
    pub failed: u64,
    /// The connection ended without an answer.
    pub lost: u64,
    /// Not answered in time.
    pub late: u64,
    /// Connections that could not be made.
    pub refused_connections: u64,
    /// Connections that ended between two rounds without the notice to go.
    pub ended_unannounced: u64,
}

impl Tally {
    /// Requests and connections that the program owed something and ended: none may be, whatever is upgraded.
    pub fn ended_without_answer(&self) -> u64 {
        self.lost + self.late + self.refused_connections + self.ended_unannounced
    }

    fn note(&mut self, reply: &Reply) {
        match reply {
            Reply::Served(_) => self.served += 1,
            Reply::Busy => self.busy += 1,
            Reply::Failed(_) | Reply::Health(_) => self.failed += 1,
            Reply::Lost => self.lost += 1,
            Reply::Late => self.late += 1,
        }
    }
}

impl AddAssign for Tally {
    fn add_assign(&mut self, other: Tally) {
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

/// The clients, each on a thread of its own.
#[derive(Debug)]
pub struct Load {
    stop: Arc<AtomicBool>,
    clients: Vec<JoinHandle<Tally>>,
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

    /// Lets every client wait for its last replies, and sums what became of all requests.
    pub fn stop(self) -> io::Result<Tally> {
        self.stop.store(true, Ordering::Relaxed);
        let mut sum = Tally::default();
        for client in self.clients {
            sum += client.join().map_err(|_| io::Error::other("a client panicked"))?;
        }
        Ok(sum)
    }
}

fn send_until(plan: Plan, stop: &AtomicBool) -> Tally {
    let mut tally = Tally::default();
    let mut connection: Option<Client> = None;
    while !stop.load(Ordering::Relaxed) {
        let usable = connection.take().filter(|client| may_be_used(client, plan, &mut tally));
        let Some(client) = usable.or_else(|| Client::connect(plan.address).ok()) else {
            tally.refused_connections += 1;
            std::thread::sleep(RECONNECT_PAUSE);
            continue;
        };
        send_round(&client, plan.depth, &mut tally);
        connection = Some(client);
        std::thread::sleep(plan.pause);
    }
    tally
}

/// Whether a client sends on a connection that it has used before, as routers decide it.
fn may_be_used(client: &Client, plan: Plan, tally: &mut Tally) -> bool {
    let (told_to_go, ended) = (client.is_told_to_go(), client.ending().is_some());
    if ended && !told_to_go {
        tally.ended_unannounced += 1;
    }
    !told_to_go && !ended && !plan.reconnect
}

fn send_round(client: &Client, depth: usize, tally: &mut Tally) {
    let ids: Vec<Option<u64>> = (0..depth).map(|_| client.send(&next_request()).ok()).collect();
    for id in ids {
        tally.sent += 1;
        tally.note(&id.map_or(Reply::Lost, |id| client.wait(id)));
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
