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
const QUEUED_MEMORY_FRACTION: f64 = 0.125;
/// Idle time in which a connection that spoke is not asked to give way, ms: its router may be about to use it.
const MIN_IDLE_BEFORE_EVICTION_MS: f64 = 500.0;

/// Keeps the connections of all fronts below the limit on descriptors, and sums what they queue.
#[derive(Debug)]
pub struct ConnectionLimiter {
    max_connections: usize,
    /// Connections of the other process of this server, which count against the same limit.
    peer_connections: Cell<usize>,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last: Cell<u64>,
    capacity_change: Notify,
    /// Listening sockets that are open.
    open_sockets: Cell<usize>,
    queued: Cell<usize>,
    max_queued_bytes: Cell<usize>,
}

impl ConnectionLimiter {
    /// Room for that many connections, in a process that may take so much memory.
    pub fn new(max_connections: usize, memory_mb: f64) -> Self {
        ConnectionLimiter {
            max_connections,
            peer_connections: Cell::new(0),
            connections: RefCell::default(),
            last: Cell::new(0),
            capacity_change: Notify::default(),
            open_sockets: Cell::new(0),
            queued: Cell::new(0),
            max_queued_bytes: Cell::new(max_queued_bytes(memory_mb)),
        }
    }

    /// The process may take so much memory from now on.
    pub fn set_memory_limit(&self, memory_mb: f64) {
        self.max_queued_bytes.set(max_queued_bytes(memory_mb));
    }

    /// Takes a connection in.
    pub fn register(&self, now: f64) -> Rc<ConnectionState> {
        let id = self.last.get() + 1;
        self.last.set(id);
        let state = Rc::new(ConnectionState::new(id, now));
        self.connections.borrow_mut().insert(id, state.clone());
        state
    }

    /// The other process of this server holds so many connections.
    pub fn set_peer_connections(&self, connections: usize) {
        self.peer_connections.set(connections);
        self.capacity_change.wake();
    }

    /// A connection is closed.
    pub fn unregister(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
        self.capacity_change.wake();
    }

    /// Completes when a place may have come free.
    pub async fn capacity_change(&self) {
        self.capacity_change.wait().await;
    }

    /// Books what a connection has queued, in bytes, in place of what it had.
    pub fn account(&self, before: usize, now: usize) {
        self.queued.set(self.queued.get() + now - before);
    }

    /// Whether a connection that has so many bytes queued takes more than is left for it.
    pub fn exceeds_queue_share(&self, backlog: usize) -> bool {
        let max_bytes = self.max_queued_bytes.get();
        self.queued.get() > max_bytes && backlog * self.connections.borrow().len() > max_bytes
    }

    /// Whether there is no place for another connection.
    pub fn is_full(&self) -> bool {
        self.connections.borrow().len() + self.peer_connections.get() >= self.max_connections
    }

    /// Asks one connection to make way that was not asked yet: one that only waits for its other side to close, the
    /// oldest that never spoke, or else the one that was idle longest. Without it hundreds that say nothing, or that ask
    /// once and stay, would shut all routers out.
    pub fn evict_one(&self, now: f64) {
        let connections = self.connections.borrow();
        let candidates = || connections.values().filter(|state| !state.is_eviction_requested());
        let lingering = candidates().find(|state| state.is_lingering());
        let silent = || candidates().find(|state| !state.received_message.get());
        let idle = || {
            let is_evictable = |state: &&Rc<ConnectionState>| {
                !state.request_in_flight.get()
                    && now >= state.last_active_ms.get() + MIN_IDLE_BEFORE_EVICTION_MS
            };
            candidates()
                .filter(is_evictable)
                .min_by(|a, b| a.last_active_ms.get().total_cmp(&b.last_active_ms.get()))
        };
        if let Some(state) = lingering.or_else(silent).or_else(idle) {
            state.request_eviction();
        }
    }
}

/// Bytes that may be queued over all connections.
fn max_queued_bytes(memory_mb: f64) -> usize {
    (memory_mb * 1_048_576.0 * QUEUED_MEMORY_FRACTION) as usize
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
