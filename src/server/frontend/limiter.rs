//! The limits on the connections of all frontends together: their number, the choice of the connection to
//! evict, and the bytes that they may have queued. It never touches a socket.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use pinepoint_events::Protocol;

use crate::server::core::api::OpenSockets;
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::sync::Notify;

/// Bytes that may be queued over all connections, as a fraction of the memory of the process: hundreds of
/// callers that read nothing must not exhaust it. Above this limit each connection may still queue an even
/// share, so that callers that read are not cut off because of callers that do not.
const QUEUED_MEMORY_FRACTION: f64 = 0.125;
/// Idle time after which a connection that has delivered a message may be evicted, ms. Before that its router
/// may be about to use it.
const MIN_IDLE_BEFORE_EVICTION_MS: f64 = 500.0;
/// Time during which a new connection is not evicted although it has delivered no message, ms: a caller
/// connects to send something. Without this time, a full process would close each new connection for the next
/// one before its request can arrive.
const NEW_CONNECTION_GRACE_MS: f64 = 50.0;
/// Maximum number of new connections without a message that are protected from eviction at a time. A burst of
/// silent connections evicts at most this many connections that callers use, and beyond that only connections
/// of the burst itself.
const MAX_PROTECTED_CONNECTIONS: usize = 8;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// The connections that count against the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Open connections of this process.
    pub own: usize,
    /// Open connections of the other process of this server, and its other descriptors.
    pub peer: usize,
    /// Maximum sum of both.
    pub limit: usize,
}

/// The connections among which one is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionScope {
    /// Connections of all protocols: the limit of the process is reached.
    Process,
    /// Connections of one protocol, whose own limit is reached.
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

/// The result of the search for a connection to evict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eviction {
    /// A connection was asked to close.
    Requested,
    /// No connection was asked to close. A new connection without a message may be evicted soon, but its
    /// first message may still be in transit.
    Deferred,
    /// No connection may be evicted.
    NoCandidate,
}

/// Keeps the connections of all frontends within the limit on descriptors, and sums their queued bytes.
#[derive(Debug)]
pub struct ConnectionLimiter {
    max_connections: usize,
    /// Connections of the other process of this server, and its other descriptors. They count against the
    /// same limit.
    peer_connections: Cell<usize>,
    /// The open connections by their id.
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last_id: Cell<u64>,
    capacity_change: Notify,
    /// Woken when a connection has delivered its first message.
    first_message: Notify,
    open_listeners: Cell<usize>,
    queued_bytes: Cell<usize>,
    max_queued_bytes: Cell<usize>,
}

impl ConnectionLimiter {
    /// Allows `max_connections` in a process that may use `memory_mb` of memory.
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

    /// Sets the memory that the process may use.
    pub fn set_memory_limit(&self, memory_mb: f64) {
        self.max_queued_bytes.set(max_queued_bytes(memory_mb));
    }

    /// Sets the number of connections and other descriptors of the other process of this server.
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

    /// Records that a connection has delivered a complete message at `now`, Unix ms.
    pub fn message_received(&self, state: &ConnectionState, now: f64) {
        if !state.received_message.get() {
            self.first_message.wake();
        }
        state.message_received(now);
    }

    /// Completes when a deferred eviction may have become possible: a connection has delivered its first
    /// message.
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

    /// The connections that currently count against the limit.
    pub fn usage(&self) -> ConnectionUsage {
        ConnectionUsage {
            own: self.connections.borrow().len(),
            peer: self.peer_connections.get(),
            limit: self.max_connections,
        }
    }

    /// Updates the sum of queued bytes for a connection that had `before` bytes queued and now has `now`.
    pub fn account_queued(&self, before: usize, now: usize) {
        self.queued_bytes.set(self.queued_bytes.get() + now - before);
    }

    /// Whether too many bytes are queued over all connections, and `backlog` bytes are more than an even
    /// share.
    pub fn exceeds_queue_share(&self, backlog: usize) -> bool {
        let max_bytes = self.max_queued_bytes.get();
        self.queued_bytes.get() > max_bytes && backlog * self.connections.borrow().len() > max_bytes
    }

    /// Asks one connection within `scope` to close. Connections that were asked before are skipped. The first
    /// of these that exists is chosen:
    ///
    /// 1. a connection that only waits for its other side to close,
    /// 2. the oldest connection without a message, if it is no longer new or there are too many new ones,
    /// 3. the connection with a message that was idle longest; one that is within a message only if all are.
    ///
    /// Without eviction, hundreds of callers that send nothing, or send one request and stay connected, would
    /// lock all routers out.
    pub fn evict_one(&self, scope: EvictionScope, now: f64) -> Eviction {
        let connections = self.connections.borrow();
        let is_candidate =
            |state: &&Rc<ConnectionState>| scope.covers(state) && !state.is_eviction_requested();
        let candidates = || connections.values().filter(is_candidate);
        let lingering = || candidates().find(|state| state.is_lingering());
        let silent = || candidates().filter(|state| is_silent(state));
        let protected = silent().filter(|state| is_new(state, now)).count();
        let evictable_silent =
            || silent().next().filter(|state| !is_new(state, now) || protected > MAX_PROTECTED_CONNECTIONS);
        let longest_idle = || {
            let idle = candidates().filter(|state| is_evictable(state, now));
            idle.min_by(|a, b| {
                let by_message = a.has_partial_message().cmp(&b.has_partial_message());
                by_message.then(a.last_active_ms.get().total_cmp(&b.last_active_ms.get()))
            })
        };
        match lingering().or_else(evictable_silent).or_else(longest_idle) {
            Some(state) => {
                state.request_eviction();
                Eviction::Requested
            }
            None if protected > 0 => Eviction::Deferred,
            None => Eviction::NoCandidate,
        }
    }
}

/// Whether a connection has delivered no message and is not lingering.
fn is_silent(state: &ConnectionState) -> bool {
    !state.received_message.get() && !state.is_lingering()
}

/// Whether a connection without a message is so new that its first message may be in transit.
fn is_new(state: &ConnectionState, now: f64) -> bool {
    now < state.last_active_ms.get() + NEW_CONNECTION_GRACE_MS
}

/// Whether a connection with a message has been idle for long enough to be evicted. A go-away notification
/// does not count as use: a connection that was idle before the notification may be evicted at once.
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
    /// Counts one more listening socket as open.
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
