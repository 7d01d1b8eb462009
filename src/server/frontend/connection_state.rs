//! What is known of one connection of a caller, whatever its protocol: how it was used, and when it should close. It never
//! touches a socket.

use std::cell::Cell;

use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_events::Protocol;

use crate::server::sync::Notify;

/// Time in which a new connection has to bring its first complete message, and any connection the rest of one that has
/// begun, ms. A router connects when it has something to send; one that sends nothing must be closed within 3 s.
pub const MESSAGE_TIMEOUT_MS: f64 = 1500.0;
/// Idle time after the go-away notification after which a connection is closed from here, ms. A router that was notified
/// closes first; one that stays would hold its descriptor for good.
pub const GO_AWAY_TIMEOUT_MS: f64 = 1000.0;
/// Least interval of the checks whether a connection is due to close, ms: whatever the settings say, none may spin.
const MIN_CHECK_INTERVAL_MS: f64 = 5.0;

/// The notification that no new request should come.
#[derive(Clone, Copy, Debug)]
struct GoAway {
    /// When it was sent, or decided where the protocol has none, Unix ms.
    sent_ms: f64,
    /// Idle time after which the connection is closed from here, ms.
    timeout_ms: f64,
}

/// The state of one connection, shared by the tasks that serve it and by the limiter.
#[derive(Debug)]
pub struct ConnectionState {
    /// Number of the connection, unique over all frontends.
    pub id: u64,
    /// The protocol that is spoken on it.
    pub protocol: Protocol,
    /// Requests and health checks that were read.
    pub requests_read: Cell<u64>,
    /// Requests that were answered.
    pub requests_answered: Cell<u64>,
    /// When it last carried a complete message of the caller or an answer, Unix ms.
    pub last_active_ms: Cell<f64>,
    /// It has brought a complete message.
    pub received_message: Cell<bool>,
    /// An answer is owed, or a body was asked for.
    pub request_in_flight: Cell<bool>,
    /// A part of a message has come, and the rest has not.
    pub partial_message: Cell<bool>,
    /// No new request should come on it.
    go_away: Cell<Option<GoAway>>,
    /// It was asked to close for another connection.
    eviction_requested: Cell<bool>,
    /// Its writing half is shut down; it only waits for the other side to close.
    lingering: Cell<bool>,
    changed: Notify,
}

impl ConnectionState {
    /// A connection that was accepted at `now`, Unix ms.
    pub fn new(id: u64, protocol: Protocol, now: f64) -> Self {
        ConnectionState {
            id,
            protocol,
            requests_read: Cell::new(0),
            requests_answered: Cell::new(0),
            last_active_ms: Cell::new(now),
            received_message: Cell::new(false),
            request_in_flight: Cell::new(false),
            partial_message: Cell::new(false),
            go_away: Cell::new(None),
            eviction_requested: Cell::new(false),
            lingering: Cell::new(false),
            changed: Notify::default(),
        }
    }

    /// Notes that a complete message was read, which takes back a request to close for another connection.
    pub fn message_received(&self, now: f64) {
        self.received_message.set(true);
        self.last_active_ms.set(now);
        self.eviction_requested.set(false);
    }

    /// Counts a request or a health check that was read, and returns their number.
    pub fn count_read(&self) -> u64 {
        let read = self.requests_read.get() + 1;
        self.requests_read.set(read);
        read
    }

    /// Counts a request that was answered.
    pub fn count_answered(&self) {
        self.requests_answered.set(self.requests_answered.get() + 1);
    }

    /// Whether no new request should come on it.
    pub fn is_going_away(&self) -> bool {
        self.go_away.get().is_some()
    }

    /// Notes that the other side is notified that no new request should come; tells whether that is new. It has a while to
    /// close the connection.
    pub fn mark_go_away_sent(&self, now: f64) -> bool {
        self.mark_going_away(now, GO_AWAY_TIMEOUT_MS)
    }

    /// The same in a protocol without such a notification: the connection is closed as soon as it is idle.
    pub fn mark_going_away_unannounced(&self, now: f64) -> bool {
        self.mark_going_away(now, 0.0)
    }

    fn mark_going_away(&self, now: f64, timeout_ms: f64) -> bool {
        if self.is_going_away() {
            return false;
        }
        self.go_away.set(Some(GoAway { sent_ms: now, timeout_ms }));
        self.changed.wake();
        true
    }

    /// Whether nothing was carried since this time, Unix ms, and nothing is in flight.
    pub fn is_idle_since(&self, since_ms: f64) -> bool {
        self.timeout_start_ms() < since_ms && !self.request_in_flight.get()
    }

    /// From when its idle timeout counts, Unix ms: the last message, or the go-away notification that came after it.
    fn timeout_start_ms(&self) -> f64 {
        let go_away_ms = self.go_away.get().map_or(f64::NEG_INFINITY, |go_away| go_away.sent_ms);
        self.last_active_ms.get().max(go_away_ms)
    }

    /// Notes that its writing half is shut down.
    pub fn set_lingering(&self) {
        self.lingering.set(true);
    }

    /// Whether its writing half is shut down.
    pub fn is_lingering(&self) -> bool {
        self.lingering.get()
    }

    /// Asks it to close for another connection.
    pub fn request_eviction(&self) {
        self.eviction_requested.set(true);
        self.changed.wake();
    }

    /// Takes that back: it has something to send.
    pub fn cancel_eviction(&self) {
        self.eviction_requested.set(false);
    }

    /// Whether it was asked to close, and has neither closed nor sent anything since.
    pub fn is_eviction_requested(&self) -> bool {
        self.eviction_requested.get()
    }

    /// Completes when it is asked to close.
    pub async fn eviction_request(&self) {
        while !self.eviction_requested.get() {
            self.changed.wait().await;
        }
    }

    /// Completes, with the reason code, when the connection should close: nothing is in flight, and it is evicted or was
    /// idle for too long. Callers close connections that are idle for `caller_idle_timeout_ms` themselves: one that is
    /// left after it belongs to no caller that is alive.
    pub async fn close_due(&self, clock: &Clock, caller_idle_timeout_ms: f64) -> &'static str {
        loop {
            let (timeout_ms, reason) = self.idle_timeout(caller_idle_timeout_ms);
            let now = clock.now();
            let due_ms = self.timeout_start_ms() + timeout_ms;
            if !self.request_in_flight.get() {
                if self.eviction_requested.get() {
                    return "gave-way";
                }
                if now >= due_ms && !self.has_partial_later_message() {
                    return reason;
                }
            }
            let wait_ms = if due_ms > now { due_ms - now } else { timeout_ms };
            let check = clock.pause(wait_ms.clamp(MIN_CHECK_INTERVAL_MS, GO_AWAY_TIMEOUT_MS));
            future::or(self.changed.wait(), check).await;
        }
    }

    /// The idle time after which it should close, ms, and the reason code of that.
    fn idle_timeout(&self, caller_idle_timeout_ms: f64) -> (f64, &'static str) {
        match (self.received_message.get(), self.go_away.get()) {
            (false, _) => (MESSAGE_TIMEOUT_MS, "silent"),
            (true, Some(go_away)) => (go_away.timeout_ms, "told-to-go"),
            (true, None) => (caller_idle_timeout_ms, "idle"),
        }
    }

    /// Whether a part of a message has come behind a complete one. It has a deadline of its own and must not be taken for
    /// an idle connection.
    fn has_partial_later_message(&self) -> bool {
        self.received_message.get() && self.partial_message.get()
    }
}
