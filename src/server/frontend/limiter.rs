//! The limits on the connections of all frontends together: how many there may be, which one is evicted for another, and
//! how much they may have queued. It never touches a socket.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use pinepoint_events::Protocol;

use crate::server::core::api::OpenSockets;
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::sync::Notify;

/// Bytes that may be queued over all connections, as a fraction of the memory of the process: hundreds that read nothing
/// must not fill it. Past it each may still queue an even share, so that those who read don't pay for those who don't.
const QUEUED_MEMORY_FRACTION: f64 = 0.125;
/// Idle time after which a connection that has brought a message may be evicted, ms: its router may be about to use it.
const MIN_IDLE_BEFORE_EVICTION_MS: f64 = 500.0;
/// Time in which a new connection is not evicted though it has brought no message, ms: a caller connects to send something.
/// Without it, where all connections are taken, each new one would be closed for the next before its request can come.
const NEW_CONNECTION_GRACE_MS: f64 = 50.0;
/// New connections without a message that are spared at a time. A crowd that sends nothing pushes out so many of those that
/// callers use, and beyond that only itself.
const MAX_SPARED_CONNECTIONS: usize = 8;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// What counts against the limit on connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Open connections of this process.
    pub own: usize,
    /// Open connections of the other process of this server, and what it holds beside them.
    pub peer: usize,
    /// The most that both may come to.
    pub limit: usize,
}

/// The connections of which one is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionScope {
    /// Those of all protocols: the limit of the process is reached.
    Process,
    /// Those of one protocol, whose own limit is reached.
    Protocol(Protocol),
}

impl EvictionScope {
    fn covers(self, state: &ConnectionState) -> bool {
        match self {
            EvictionScope::Process => true,
            EvictionScope::Protocol(protocol) => state.protocol == protocol,
        }
    }
}

/// What came of the search for a connection to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// One was asked to close.
    Requested,
    /// None was: one might be soon, but is so new that its first message may be under way.
    Deferred,
    /// None may be evicted.
    NoCandidate,
}

/// Keeps the connections of all frontends below the limit on descriptors, and sums what they have queued.
#[derive(Debug)]
pub struct ConnectionLimiter {
    max_connections: usize,
    /// Connections of the other process of this server, which count against the same limit.
    peer_connections: Cell<usize>,
    /// The open connections by their number.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last_id: Cell<u64>,
    capacity_change: Notify,
    /// A connection has brought its first message.
    first_message: Notify,
    open_listeners: Cell<usize>,
    queued_bytes: Cell<usize>,
    max_queued_bytes: Cell<usize>,
}

impl ConnectionLimiter {
    /// Allows `max_connections`, in a process that may use so much memory.
    pub fn new(max_connections: usize, memory_mb: f64) -> Self {
        ConnectionLimiter {
            max_connections,
            peer_connections: Cell::new(0),
            connections: RefCell::default(),
            last_id: Cell::new(0),
            capacity_change: Notify::default(),
            first_message: Notify::default(),
            open_listeners: Cell::new(0),
            queued_bytes: Cell::new(0),
            max_queued_bytes: Cell::new(max_queued_bytes(memory_mb)),
        }
    }

    /// The process may use so much memory from now on.
    pub fn set_memory_limit(&self, memory_mb: f64) {
        self.max_queued_bytes.set(max_queued_bytes(memory_mb));
    }

    /// The other process of this server has so many connections.
    pub fn set_peer_connections(&self, connections: usize) {
        self.peer_connections.set(connections);
        self.capacity_change.wake();
    }

    /// Adds a connection that was accepted at `now`, Unix ms.
    pub fn register(&self, protocol: Protocol, now: f64) -> Rc<ConnectionState> {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let state = Rc::new(ConnectionState::new(id, protocol, now));
        self.connections.borrow_mut().insert(id, state.clone());
        state
    }

    /// Removes a connection that is closed.
    pub fn unregister(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
        self.capacity_change.wake();
    }

    /// Notes that a connection has brought a complete message at `now`, Unix ms.
    pub fn message_received(&self, state: &ConnectionState, now: f64) {
        if !state.received_message.get() {
            self.first_message.wake();
        }
        state.message_received(now);
    }

    /// Completes when a deferred eviction may be possible: a connection has brought its first message.
    pub async fn first_message(&self) {
        self.first_message.wait().await;
    }

    /// Completes when there may be capacity again.
    pub async fn capacity_change(&self) {
        self.capacity_change.wait().await;
    }

    /// Whether no further connection is allowed.
    pub fn is_full(&self) -> bool {
        let ConnectionUsage { own, peer, limit } = self.usage();
        own + peer >= limit
    }

    /// What counts against the limit on connections now.
    pub fn usage(&self) -> ConnectionUsage {
        ConnectionUsage {
            own: self.connections.borrow().len(),
            peer: self.peer_connections.get(),
            limit: self.max_connections,
        }
    }

    /// Replaces the bytes that one connection had queued in the sum by those that it has now.
    pub fn account_queued(&self, before: usize, now: usize) {
        self.queued_bytes.set(self.queued_bytes.get() + now - before);
    }

    /// Whether too much is queued over all connections, and more than an even share of it on one with this backlog, bytes.
    pub fn exceeds_queue_share(&self, backlog: usize) -> bool {
        let max_bytes = self.max_queued_bytes.get();
        self.queued_bytes.get() > max_bytes && backlog * self.connections.borrow().len() > max_bytes
    }

    /// Asks one connection to close that was not asked yet, among those of one protocol or of all: one that only waits for
    /// its other side to close, the oldest that has brought no message for a while or with many others, or else the one
    /// that was idle longest. Without it hundreds that send nothing, or that send one request and stay, would shut all routers out.
    pub fn evict_one(&self, among: EvictionScope, now: f64) -> Eviction {
        let connections = self.connections.borrow();
        let is_candidate =
            |state: &&Rc<ConnectionState>| among.covers(state) && !state.is_eviction_requested();
        let candidates = || connections.values().filter(is_candidate);
        let lingering = || candidates().find(|state| state.is_lingering());
        let silent = || candidates().filter(|state| is_silent(state));
        let spared = silent().filter(|state| is_new(state, now)).count();
        let overdue =
            || silent().next().filter(|state| !is_new(state, now) || spared > MAX_SPARED_CONNECTIONS);
        let longest_idle = || {
            let idle = candidates().filter(|state| is_evictable(state, now));
            idle.min_by(|a, b| a.last_active_ms.get().total_cmp(&b.last_active_ms.get()))
        };
        match lingering().or_else(overdue).or_else(longest_idle) {
            Some(state) => {
                state.request_eviction();
                Eviction::Requested
            }
            None if spared > 0 => Eviction::Deferred,
            None => Eviction::NoCandidate,
        }
    }
}

/// Whether a connection has brought no message, and is not over.
fn is_silent(state: &ConnectionState) -> bool {
    !state.received_message.get() && !state.is_lingering()
}

/// Whether a connection that has brought no message is so new that one may be under way.
fn is_new(state: &ConnectionState, now: f64) -> bool {
    now < state.last_active_ms.get() + NEW_CONNECTION_GRACE_MS
}

/// Whether a connection that has brought a message has been idle for long enough to be evicted. A go-away notification
/// does not count as use: what was idle before it may be evicted at once, as without it.
fn is_evictable(state: &ConnectionState, now: f64) -> bool {
    !state.request_in_flight.get() && now >= state.last_active_ms.get() + MIN_IDLE_BEFORE_EVICTION_MS
}

/// Bytes that may be queued over all connections.
fn max_queued_bytes(memory_mb: f64) -> usize {
    (memory_mb * BYTES_PER_MB * QUEUED_MEMORY_FRACTION) as usize
}

/// Counts a listening socket as open until it is dropped.
pub struct ListenerGuard(Rc<ConnectionLimiter>);

impl ListenerGuard {
    /// Counts one more.
    pub fn new(limiter: &Rc<ConnectionLimiter>) -> Self {
        limiter.open_listeners.set(limiter.open_listeners.get() + 1);
        ListenerGuard(limiter.clone())
    }
}

impl Drop for ListenerGuard {
    fn drop(&mut self) {
        self.0.open_listeners.set(self.0.open_listeners.get() - 1);
    }
}

impl OpenSockets for ConnectionLimiter {
    fn listeners(&self) -> usize {
        self.open_listeners.get()
    }

    fn connections(&self) -> usize {
        self.connections.borrow().len()
    }
}
