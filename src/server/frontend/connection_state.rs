//! What is known of one connection of a caller, whatever its protocol: how it was used, and when it should end. It must
//! never touch a socket.

use std::cell::Cell;

use futures_lite::future;
use pinepoint_clock::Clock;

use crate::server::sync::Notify;

/// Time in which a new connection has to bring its first whole message, and any the rest of one that has begun,
/// ms. A router connects when it has something to say; what says nothing is owed an end within 3 s.
pub const MESSAGE_MS: f64 = 1500.0;
/// Time after the notice to go in which a connection without open requests is closed from here, ms. A router
/// that heard the notice closes first; what stays would hold its descriptor for good.
const TOLD_MS: f64 = 1000.0;
/// Least wait of a guard between two looks, ms: whatever the settings say, none may turn without a pause.
const GUARD_LEAST_MS: f64 = 5.0;

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
    pub used_ms: Cell<f64>,
    /// It brought a whole message.
    pub spoke: Cell<bool>,
    /// Something is under way on it: an answer is owed, or a body was asked for.
    pub busy: Cell<bool>,
    /// The first part of a message came, and not yet the rest.
    pub part: Cell<bool>,
    /// It was asked to go, and is closed from here after so long without anything under way, ms.
    told_ms: Cell<Option<f64>>,
    /// Its place is wanted for another.
    wanted: Cell<bool>,
    /// Its writing half is shut; it only waits for the other side to close.
    lingers: Cell<bool>,
    changed: Notify,
}

impl ConnectionState {
    /// A connection that was accepted at this time.
    pub fn new(id: u64, now: f64) -> Self {
        ConnectionState {
            id,
            read: Cell::new(0),
            answered: Cell::new(0),
            used_ms: Cell::new(now),
            spoke: Cell::new(false),
            busy: Cell::new(false),
            part: Cell::new(false),
            told_ms: Cell::new(None),
            wanted: Cell::new(false),
            lingers: Cell::new(false),
            changed: Notify::default(),
        }
    }

    /// Notes that a whole message was read: that shows why it stays.
    pub fn heard(&self, now: f64) {
        self.spoke.set(true);
        self.used_ms.set(now);
        self.wanted.set(false);
    }

    /// It was asked to go.
    pub fn told(&self) -> bool {
        self.told_ms.get().is_some()
    }

    /// Notes that it was asked to go; tells whether that is new. It is closed from here if it stays.
    pub fn tell(&self, now: f64) -> bool {
        self.tell_for(now, TOLD_MS)
    }

    /// The same where nobody is told that a notice came: it is closed as soon as nothing is under way.
    pub fn tell_at_once(&self, now: f64) -> bool {
        self.tell_for(now, 0.0)
    }

    fn tell_for(&self, now: f64, stays_ms: f64) -> bool {
        if self.told() {
            return false;
        }
        self.told_ms.set(Some(stays_ms));
        self.used_ms.set(now);
        self.changed.wake();
        true
    }

    /// Notes that its writing half is shut.
    pub fn set_lingering(&self) {
        self.lingers.set(true);
    }

    /// Its writing half is shut.
    pub fn lingers(&self) -> bool {
        self.lingers.get()
    }

    /// It was asked to make way, and has neither gone nor shown why it stays.
    pub fn is_wanted(&self) -> bool {
        self.wanted.get()
    }

    /// Asks it to make way for another.
    pub fn want(&self) {
        self.wanted.set(true);
        self.changed.wake();
    }

    /// Takes back that its place is wanted: it has something to say.
    pub fn keep(&self) {
        self.wanted.set(false);
    }

    /// Completes when its place is wanted.
    pub async fn is_to_make_way(&self) {
        while !self.wanted.get() {
            self.changed.wait().await;
        }
    }

    /// Completes, with the reason, when the connection should go: nothing is under way on it, and it made way or said
    /// nothing for too long. `caller_idle_timeout_ms` is the time after which routers close idle ones themselves: what is left after it
    /// belongs to none that lives.
    pub async fn should_go(&self, clock: &Clock, caller_idle_timeout_ms: f64) -> &'static str {
        loop {
            let (limit_ms, reason) = match (self.spoke.get(), self.told_ms.get()) {
                (false, _) => (MESSAGE_MS, "silent"),
                (true, Some(stays_ms)) => (stays_ms, "told-to-go"),
                (true, None) => (caller_idle_timeout_ms, "idle"),
            };
            let now = clock.now();
            let at = self.used_ms.get() + limit_ms;
            if !self.busy.get() {
                if self.wanted.get() {
                    return "gave-way";
                }
                // Half a message has a bound of its own; it must not be taken for silence of one that spoke before.
                if now >= at && !(self.spoke.get() && self.part.get()) {
                    return reason;
                }
            }
            let wait_ms = if at > now { at - now } else { limit_ms };
            future::or(self.changed.wait(), clock.pause(wait_ms.clamp(GUARD_LEAST_MS, TOLD_MS))).await;
        }
    }
}
