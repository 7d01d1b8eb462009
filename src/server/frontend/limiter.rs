//! The room for connections of all fronts: how many there may be, which one gives way to another, and what they may queue
//! together. It must never touch a socket.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::server::core::api::OpenSockets;
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::sync::Notify;

/// Bytes that may be queued over all connections, as a part of the process memory: hundreds that read nothing must
/// not fill it. Past it each may still queue an even share, so that those who read don't pay for those who don't.
const QUEUES_PART: f64 = 0.125;
/// Idle time in which a connection that spoke is not asked to give way, ms: its router may be about to use it.
const SPARED_MS: f64 = 500.0;

/// Keeps the connections of all fronts below the limit on descriptors, and sums what they queue.
#[derive(Debug)]
pub struct ConnectionLimiter {
    most: usize,
    /// Connections of the other process of this server, which count against the same limit.
    others: Cell<usize>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last: Cell<u64>,
    freed: Notify,
    /// Listening sockets that are open.
    open_sockets: Cell<usize>,
    queued: Cell<usize>,
    queued_most: Cell<usize>,
}

impl ConnectionLimiter {
    /// Room for that many connections, in a process that may take so much memory.
    pub fn new(most: usize, memory_mb: f64) -> Self {
        ConnectionLimiter {
            most,
            others: Cell::new(0),
            connections: RefCell::default(),
            last: Cell::new(0),
            freed: Notify::default(),
            open_sockets: Cell::new(0),
            queued: Cell::new(0),
            queued_most: Cell::new(queued_most(memory_mb)),
        }
    }

    /// The process may take so much memory from now on.
    pub fn set_memory_limit(&self, memory_mb: f64) {
        self.queued_most.set(queued_most(memory_mb));
    }

    /// Takes a connection in.
    pub fn enter(&self, now: f64) -> Rc<ConnectionState> {
        let id = self.last.get() + 1;
        self.last.set(id);
        let state = Rc::new(ConnectionState::new(id, now));
        self.connections.borrow_mut().insert(id, state.clone());
        state
    }

    /// The other process of this server holds so many connections.
    pub fn set_peer_connections(&self, others: usize) {
        self.others.set(others);
        self.freed.wake();
    }

    /// A connection is closed.
    pub fn left(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
        self.freed.wake();
    }

    /// Completes when a place may have come free.
    pub async fn freed(&self) {
        self.freed.wait().await;
    }

    /// Books what a connection has queued, in bytes, in place of what it had.
    pub fn account(&self, before: usize, now: usize) {
        self.queued.set(self.queued.get() + now - before);
    }

    /// Whether a connection that has so many bytes queued takes more than is left for it.
    pub fn is_queued_full(&self, backlog: usize) -> bool {
        let most = self.queued_most.get();
        self.queued.get() > most && backlog * self.connections.borrow().len() > most
    }

    /// Whether there is no place for another connection.
    pub fn is_full(&self) -> bool {
        self.connections.borrow().len() + self.others.get() >= self.most
    }

    /// Asks one connection to make way that was not asked yet: one that only waits for its other side to close, the
    /// oldest that never spoke, or else the one that was idle longest. Without it hundreds that say nothing, or that ask
    /// once and stay, would shut all routers out.
    pub fn make_way(&self, now: f64) {
        let connections = self.connections.borrow();
        let unasked = || connections.values().filter(|state| !state.is_wanted());
        let lingering = unasked().find(|state| state.lingers());
        let silent = || unasked().find(|state| !state.spoke.get());
        let idle = || {
            let spare = |g: &&Rc<ConnectionState>| !g.busy.get() && now >= g.used_ms.get() + SPARED_MS;
            unasked().filter(spare).min_by(|a, b| a.used_ms.get().total_cmp(&b.used_ms.get()))
        };
        if let Some(state) = lingering.or_else(silent).or_else(idle) {
            state.want();
        }
    }
}

/// Bytes that may be queued over all connections.
fn queued_most(memory_mb: f64) -> usize {
    (memory_mb * 1_048_576.0 * QUEUES_PART) as usize
}

/// Counts a listening socket as open while it is there.
pub struct ListenerGuard(Rc<ConnectionLimiter>);

impl ListenerGuard {
    /// Counts one more.
    pub fn new(limiter: &Rc<ConnectionLimiter>) -> Self {
        limiter.open_sockets.set(limiter.open_sockets.get() + 1);
        ListenerGuard(limiter.clone())
    }
}

impl Drop for ListenerGuard {
    fn drop(&mut self) {
        self.0.open_sockets.set(self.0.open_sockets.get() - 1);
    }
}

impl OpenSockets for ConnectionLimiter {
    fn listeners(&self) -> usize {
        self.open_sockets.get()
    }

    fn connections(&self) -> usize {
        self.connections.borrow().len()
    }
}
