//! What is known of one connection of a caller, whatever its protocol: how it was used, and when it should end. It must
//! never touch a socket.

use std::cell::Cell;

use futures_lite::future;
use pinepoint_clock::Clock;

use crate::server::sync::Notify;

/// Time in which a new connection has to bring its first whole message, and any the rest of one that has begun,
/// ms. A router connects when it has something to say; what says nothing is owed an end within 3 s.
pub const MESSAGE_TIMEOUT_MS: f64 = 1500.0;
/// Time after the notice to go in which a connection without open requests is closed from here, ms. A router
/// that heard the notice closes first; what stays would hold its descriptor for good.
const GO_AWAY_TIMEOUT_MS: f64 = 1000.0;
/// Least wait of a guard between two looks, ms: whatever the settings say, none may turn without a pause.
const MIN_CHECK_INTERVAL_MS: f64 = 5.0;

/// What the guards know of one connection.
#[derive(Debug)]
pub struct ConnectionState {
    /// Tells connections apart, over all fronts.
    pub id: u64,
    /// Requests and checks read.
    pub read: Cell<u64>,
    /// Requests answered.
    pub answered: Cell<u64>,
    /// When it last carried something whole, ms.
    pub last_active_ms: Cell<f64>,
    /// It brought a whole message.
    pub received_message: Cell<bool>,
    /// Something is under way on it: an answer is owed, or a body was asked for.
    pub request_in_flight: Cell<bool>,
    /// The first part of a message came, and not yet the rest.
    pub partial_message: Cell<bool>,
    /// It was asked to go, and is closed from here after so long without anything under way, ms.
    go_away_timeout_ms: Cell<Option<f64>>,
    /// Its place is wanted for another.
    eviction_requested: Cell<bool>,
    /// Its writing half is shut; it only waits for the other side to close.
    lingering: Cell<bool>,
    changed: Notify,
}

impl ConnectionState {
    /// A connection that was accepted at this time.
    pub fn new(id: u64, now: f64) -> Self {
        ConnectionState {
            id,
            read: Cell::new(0),
            answered: Cell::new(0),
            last_active_ms: Cell::new(now),
            received_message: Cell::new(false),
            request_in_flight: Cell::new(false),
            partial_message: Cell::new(false),
            go_away_timeout_ms: Cell::new(None),
            eviction_requested: Cell::new(false),
            lingering: Cell::new(false),
            changed: Notify::default(),
        }
    }

    /// Notes that a whole message was read: that shows why it stays.
    pub fn message_received(&self, now: f64) {
        self.received_message.set(true);
        self.last_active_ms.set(now);
        self.eviction_requested.set(false);
    }

    /// It was asked to go.
    pub fn is_going_away(&self) -> bool {
        self.go_away_timeout_ms.get().is_some()
    }

    /// Notes that it was asked to go; tells whether that is new. It is closed from here if it stays.
    pub fn mark_go_away_sent(&self, now: f64) -> bool {
        self.mark_going_away(now, GO_AWAY_TIMEOUT_MS)
    }

    /// The same where nobody is told that a notice came: it is closed as soon as nothing is under way.
    pub fn mark_going_away_unannounced(&self, now: f64) -> bool {
        self.mark_going_away(now, 0.0)
    }

    fn mark_going_away(&self, now: f64, timeout_ms: f64) -> bool {
        if self.is_going_away() {
            return false;
        }
        self.go_away_timeout_ms.set(Some(timeout_ms));
        self.last_active_ms.set(now);
        self.changed.wake();
        true
    }

    /// Whether nothing was carried since this time, Unix ms, and nothing is in flight.
    pub fn is_idle_since(&self, since_ms: f64) -> bool {
        self.last_active_ms.get() < since_ms && !self.request_in_flight.get()
    }

    /// Notes that its writing half is shut.
    pub fn set_lingering(&self) {
        self.lingering.set(true);
    }

    /// Its writing half is shut.
    pub fn is_lingering(&self) -> bool {
        self.lingering.get()
    }

    /// It was asked to make way, and has neither gone nor shown why it stays.
    pub fn is_eviction_requested(&self) -> bool {
        self.eviction_requested.get()
    }

    /// Asks it to make way for another.
    pub fn request_eviction(&self) {
        self.eviction_requested.set(true);
        self.changed.wake();
    }

    /// Takes back that its place is wanted: it has something to say.
    pub fn cancel_eviction(&self) {
        self.eviction_requested.set(false);
    }

    /// Completes when its place is wanted.
    pub async fn eviction_request(&self) {
        while !self.eviction_requested.get() {
            self.changed.wait().await;
        }
    }

    /// Completes, with the reason, when the connection should go: nothing is under way on it, and it made way or said
    /// nothing for too long. `caller_idle_timeout_ms` is the time after which routers close idle ones themselves: what is left after it
    /// belongs to none that lives.
    pub async fn close_due(&self, clock: &Clock, caller_idle_timeout_ms: f64) -> &'static str {
        loop {
            let (limit_ms, reason) = match (self.received_message.get(), self.go_away_timeout_ms.get()) {
                (false, _) => (MESSAGE_TIMEOUT_MS, "silent"),
                (true, Some(timeout_ms)) => (timeout_ms, "told-to-go"),
                (true, None) => (caller_idle_timeout_ms, "idle"),
            };
            let now = clock.now();
            let at = self.last_active_ms.get() + limit_ms;
            if !self.request_in_flight.get() {
                if self.eviction_requested.get() {
                    return "gave-way";
                }
                // Half a message has a bound of its own; it must not be taken for silence of one that spoke before.
                if now >= at && !(self.received_message.get() && self.partial_message.get()) {
                    return reason;
                }
            }
            let wait_ms = if at > now { at - now } else { limit_ms };
            future::or(
                self.changed.wait(),
                clock.pause(wait_ms.clamp(MIN_CHECK_INTERVAL_MS, GO_AWAY_TIMEOUT_MS)),
            )
            .await;
        }
    }
}
