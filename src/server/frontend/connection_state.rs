//! The state of one connection of a caller, for any protocol: how it was used, and when it should close. It
//! never touches a socket.

use std::cell::Cell;

use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_events::Protocol;

use crate::server::sync::Notify;

/// Time within which a new connection has to deliver anything, ms. A router connects when it has something to
/// send.
const SILENCE_TIMEOUT_MS: f64 = 1500.0;
/// Time within which a new connection has to deliver its first complete message if it has delivered a part of
/// it, ms. Some routers take over 2 s to write a request, and a caller that sends nothing usable must be closed
/// within 3 s.
const FIRST_MESSAGE_TIMEOUT_MS: f64 = 2500.0;
/// Time within which a connection without a request in flight has to deliver the rest of a later message, ms:
/// more than the slowest routers take.
const PARTIAL_MESSAGE_TIMEOUT_MS: f64 = 5000.0;
/// Idle time after the go-away notification after which this process closes a connection, ms. A notified
/// router closes it earlier; a connection that stays open would occupy its descriptor forever.
pub const GO_AWAY_TIMEOUT_MS: f64 = 1000.0;
/// Minimum interval of the checks whether a connection is due to close, ms: the loop must not spin under any
/// settings.
const MIN_CHECK_INTERVAL_MS: f64 = 5.0;

/// The notification that the caller should send no new request.
#[derive(Clone, Copy, Debug)]
struct GoAway {
    /// When the notification was sent, or decided if the protocol has no such message, Unix ms.
    sent_ms: f64,
    /// Idle time after which this process closes the connection, ms.
    timeout_ms: f64,
}

/// A timer that closes a connection.
#[derive(Clone, Copy, Debug)]
struct CloseTimer {
    /// Start of the timeout, Unix ms.
    start_ms: f64,
    timeout_ms: f64,
    /// The reason code of a connection that is closed by this timer.
    reason: &'static str,
}

/// The state of one connection, shared by the tasks that serve it and by the limiter.
#[derive(Debug)]
pub struct ConnectionState {
    /// Number of the connection, unique over all frontends.
    pub id: u64,
    /// The protocol of the connection.
    pub protocol: Protocol,
    /// Requests and health checks that were read.
    pub requests_read: Cell<u64>,
    /// Requests that were answered.
    pub requests_answered: Cell<u64>,
    /// When the connection last carried a complete message of the caller or an answer, Unix ms.
    pub last_active_ms: Cell<f64>,
    /// Whether a complete message was received.
    pub received_message: Cell<bool>,
    /// Whether an answer is pending or a body was requested.
    pub request_in_flight: Cell<bool>,
    /// Since when the unread rest of a message is awaited, Unix ms, if a message was received in part only.
    partial_since_ms: Cell<Option<f64>>,
    /// Set when no new request should come on the connection.
    go_away: Cell<Option<GoAway>>,
    /// Whether the connection was asked to close for another one.
    eviction_requested: Cell<bool>,
    /// Whether the write half is shut down and the connection only waits for the other side to close.
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
            partial_since_ms: Cell::new(None),
            go_away: Cell::new(None),
            eviction_requested: Cell::new(false),
            lingering: Cell::new(false),
            changed: Notify::default(),
        }
    }

    /// Records that a complete message was read; this cancels a request to close for another connection.
    pub fn message_received(&self, now: f64) {
        self.received_message.set(true);
        self.last_active_ms.set(now);
        self.eviction_requested.set(false);
    }

    /// Records at `now` whether the bytes received so far end within a message.
    pub fn set_partial_message(&self, is_partial: bool, now: f64) {
        let since_ms = is_partial.then(|| self.partial_since_ms.get().unwrap_or(now));
        self.partial_since_ms.set(since_ms);
    }

    /// Whether a message was received in part only.
    pub fn has_partial_message(&self) -> bool {
        self.partial_since_ms.get().is_some()
    }

    /// Counts a request or a health check that was read; returns the number of both so far.
    pub fn count_read(&self) -> u64 {
        let read = self.requests_read.get() + 1;
        self.requests_read.set(read);
        read
    }

    /// Counts a request that was answered.
    pub fn count_answered(&self) {
        self.requests_answered.set(self.requests_answered.get() + 1);
    }

    /// Whether no new request should come on the connection.
    pub fn is_going_away(&self) -> bool {
        self.go_away.get().is_some()
    }

    /// Records that the caller is notified to send no new request; returns whether this is the first
    /// notification. The caller has [`GO_AWAY_TIMEOUT_MS`] to close the connection.
    pub fn mark_go_away_sent(&self, now: f64) -> bool {
        self.mark_going_away(now, GO_AWAY_TIMEOUT_MS)
    }

    /// As [`ConnectionState::mark_go_away_sent`], for a protocol without such a notification: the connection
    /// is closed as soon as it is idle.
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

    /// Whether the connection has carried nothing since `since_ms`, Unix ms, and no request is in flight.
    pub fn is_idle_since(&self, since_ms: f64) -> bool {
        self.timeout_start_ms() < since_ms && !self.request_in_flight.get()
    }

    /// Start of the idle timeout, Unix ms: the last message, or a later go-away notification.
    fn timeout_start_ms(&self) -> f64 {
        let go_away_ms = self.go_away.get().map_or(f64::NEG_INFINITY, |go_away| go_away.sent_ms);
        self.last_active_ms.get().max(go_away_ms)
    }

    /// Records that the write half is shut down.
    pub fn set_lingering(&self) {
        self.lingering.set(true);
    }

    /// Whether the write half is shut down.
    pub fn is_lingering(&self) -> bool {
        self.lingering.get()
    }

    /// Asks the connection to close for another one.
    pub fn request_eviction(&self) {
        self.eviction_requested.set(true);
        self.changed.wake();
    }

    /// Cancels the request to close, because the caller has sent something.
    pub fn cancel_eviction(&self) {
        self.eviction_requested.set(false);
    }

    /// Whether the connection was asked to close and the caller has sent nothing since.
    pub fn is_eviction_requested(&self) -> bool {
        self.eviction_requested.get()
    }

    /// Completes when the connection is asked to close for another one.
    pub async fn eviction_request(&self) {
        while !self.eviction_requested.get() {
            self.changed.wait().await;
        }
    }

    /// Completes with the reason code when the connection should close: no request is in flight, and the
    /// connection is evicted, was idle for too long, or has waited for too long for the rest of a message.
    /// Callers themselves close connections that are idle for `caller_idle_timeout_ms`: the caller of a
    /// connection that is still open after that time is dead.
    pub async fn close_due(&self, clock: &Clock, caller_idle_timeout_ms: f64) -> &'static str {
        loop {
            let CloseTimer { start_ms, timeout_ms, reason } = self.close_timer(caller_idle_timeout_ms);
            let now = clock.now();
            let due_ms = start_ms + timeout_ms;
            if !self.request_in_flight.get() {
                if self.eviction_requested.get() {
                    return "gave-way";
                }
                if now >= due_ms {
                    return reason;
                }
            }
            let wait_ms = if due_ms > now { due_ms - now } else { timeout_ms };
            let check = clock.pause(wait_ms.clamp(MIN_CHECK_INTERVAL_MS, GO_AWAY_TIMEOUT_MS));
            future::or(self.changed.wait(), check).await;
        }
    }

    /// The timer that closes the connection while no request is in flight. A partial message after a complete
    /// one has a timer of its own, as its connection is not idle. That timer starts over with every answer:
    /// until then the connection was open for the request that was answered, and the partial message, behind
    /// which no other can arrive, did not keep it open.
    fn close_timer(&self, caller_idle_timeout_ms: f64) -> CloseTimer {
        let start_ms = self.timeout_start_ms();
        match (self.received_message.get(), self.partial_since_ms.get(), self.go_away.get()) {
            (false, None, _) => CloseTimer { start_ms, timeout_ms: SILENCE_TIMEOUT_MS, reason: "silent" },
            (false, Some(_), _) => {
                CloseTimer { start_ms, timeout_ms: FIRST_MESSAGE_TIMEOUT_MS, reason: "sender-stalled" }
            }
            (true, Some(since_ms), _) => CloseTimer {
                start_ms: since_ms.max(self.last_active_ms.get()),
                timeout_ms: PARTIAL_MESSAGE_TIMEOUT_MS,
                reason: "sender-stalled",
            },
            (true, None, Some(go_away)) => {
                CloseTimer { start_ms, timeout_ms: go_away.timeout_ms, reason: "told-to-go" }
            }
            (true, None, None) => CloseTimer { start_ms, timeout_ms: caller_idle_timeout_ms, reason: "idle" },
        }
    }
}
