//! The state machine of a starting process. The process imports the keys of its predecessor, if there is one,
//! and takes over their ownership. From then on it decides the predecessor's claims.
//!
//! The machine maps events and the time to actions; it does no I/O and reads no clock.

use std::fmt;

use crate::message::{Claim, Hello, KeyRecord, Message};
use crate::ownership::{DropReason, NoPredecessor, Rules, UnknownKey};

/// Delay before the next attempt to connect, ms.
pub const RECONNECT_MS: f64 = 50.0;

/// The progress of the take-over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Connecting to a predecessor.
    Connecting,
    /// The predecessor sends its snapshot, which has to be complete by this time, Unix ms.
    Importing(f64),
    /// The snapshot is complete; this process is not ready to serve yet.
    Imported,
    /// `TakeOver` was sent, and has to be answered by this time, Unix ms.
    TakingOver(f64),
    /// The predecessor has yielded: this process owns all keys, while the predecessor serves its remaining
    /// connections.
    Owning,
    /// No predecessor is linked: none exists, it has ended, or it cannot be reached.
    Alone,
    /// This process was terminated before it served.
    Left,
}

/// An input of the successor.
#[derive(Clone, Debug)]
pub enum Event {
    /// A predecessor is connected and has sent this `Hello`.
    PeerConnected(Hello),
    /// No predecessor could be connected.
    NoPredecessor(NoPredecessor),
    /// The predecessor sent a message.
    Message(Message),
    /// The link to the predecessor is closed. Must not be sent after [`Action::DropPeer`].
    PeerLost,
    /// This process is ready to serve.
    EngineUp,
    /// The server's answer to [`Action::DecideClaim`].
    ClaimDecided {
        /// Identifies the claim.
        id: u64,
        /// Whether the predecessor may run the key.
        granted: bool,
    },
    /// An operator drained this process, or ended the drain.
    DrainChanged(bool),
    /// SIGTERM was received.
    Terminate,
    /// Time has passed.
    Tick,
}

/// An output of the successor.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the predecessor.
    Send(Message),
    /// Connect again after [`RECONNECT_MS`]: the predecessor may not yet have noticed the closed link.
    Reconnect,
    /// Close the link to the predecessor, and forget it.
    DropPeer(DropReason),
    /// Accept connections, on the passed listening sockets if there are any. Occurs once.
    BeginServing,
    /// Store this record as the predecessor's, unless this process has its own record of the key.
    Import(KeyRecord),
    /// Discard all imported records: the predecessor sends its records again.
    DiscardImports,
    /// Set the predecessor's records in the states `Held` and `Ran` to `Failed`.
    FailPeerKeys,
    /// Unknown keys fail until this time, Unix ms. Pass the time on to this process's own
    /// [`crate::predecessor::Predecessor`].
    KeysUnknownUntil(f64),
    /// Decide whether the predecessor may run a key: if the key is unknown, store it as `Held` by the
    /// predecessor and grant the claim.
    DecideClaim(Claim),
    /// An operator drained the server through the other process, or ended the drain.
    SetDrained(bool),
    /// The number of open client connections of the predecessor.
    PeerConnections(u32),
    /// Exit without having served.
    Leave,
}

/// The successor.
#[derive(Clone)]
pub struct Successor {
    rules: Rules,
    phase: Phase,
    is_ready_to_serve: bool,
    is_serving: bool,
    /// Number of attempts to connect so far.
    attempts: u32,
    /// Whether any attempt to connect has detected a predecessor.
    has_seen_predecessor: bool,
    /// Whether the server is drained; `None` until an operator or the predecessor has reported it.
    drained: Option<bool>,
    keys_unknown_until_ms: f64,
}

/// Prints only the state of the handover; the rules are configuration.
impl fmt::Debug for Successor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Successor {
            rules: _,
            phase,
            is_ready_to_serve,
            is_serving,
            attempts,
            has_seen_predecessor,
            drained,
            keys_unknown_until_ms,
        } = self;
        f.debug_struct("Successor")
            .field("phase", phase)
            .field("is_engine_up", is_ready_to_serve)
            .field("is_serving", is_serving)
            .field("attempts", attempts)
            .field("met_predecessor", has_seen_predecessor)
            .field("drained", drained)
            .field("keys_unknown_until_ms", keys_unknown_until_ms)
            .finish_non_exhaustive()
    }
}

impl Successor {
    /// Creates the state machine of a process that starts and tries to connect to a predecessor.
    pub fn new(rules: Rules) -> Successor {
        Successor {
            rules,
            phase: Phase::Connecting,
            is_ready_to_serve: false,
            is_serving: false,
            attempts: 0,
            has_seen_predecessor: false,
            drained: None,
            keys_unknown_until_ms: 0.0,
        }
    }

    /// The progress of the take-over.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether [`Action::BeginServing`] has occurred.
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }

    /// Raises the longest deduplication window of all classes to `window_ms`. The window is never lowered,
    /// because earlier keys keep theirs.
    pub fn set_longest_window(&mut self, window_ms: f64) {
        self.rules.longest_window_ms = self.rules.longest_window_ms.max(window_ms);
    }

    /// How to handle a request whose key is unknown or whose window is over.
    pub fn unknown_key(&self, now_ms: f64) -> UnknownKey {
        if now_ms < self.keys_unknown_until_ms { UnknownKey::Fail } else { UnknownKey::Run }
    }

    /// When the next [`Event::Tick`] is due, Unix ms.
    pub fn next_due(&self) -> Option<f64> {
        match self.phase {
            Phase::Importing(due_ms) | Phase::TakingOver(due_ms) => Some(due_ms),
            _ => None,
        }
    }

    /// Handles one event at `now_ms` (Unix ms) and appends the resulting actions.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::PeerConnected(hello) => self.peer_connected(now_ms, hello, actions),
            Event::NoPredecessor(reason) => self.connect_failed(now_ms, reason, actions),
            Event::Message(message) => self.handle_message(now_ms, message, actions),
            Event::PeerLost => self.peer_lost(now_ms, actions),
            Event::EngineUp => self.ready_to_serve(now_ms, actions),
            Event::ClaimDecided { id, granted } => self.claim_decided(id, granted, actions),
            Event::DrainChanged(drained) => self.drain_changed(drained, actions),
            Event::Terminate => self.terminate(actions),
            Event::Tick => self.drop_late_peer(now_ms, actions),
        }
    }

    fn is_linked(&self) -> bool {
        matches!(self.phase, Phase::Importing(_) | Phase::Imported | Phase::TakingOver(_) | Phase::Owning)
    }

    // ---- connecting to the predecessor and losing it ----

    fn peer_connected(&mut self, now_ms: f64, hello: Hello, actions: &mut Vec<Action>) {
        if self.phase != Phase::Connecting {
            actions.push(Action::DropPeer(DropReason::Protocol));
            return;
        }
        if self.has_seen_predecessor {
            actions.push(Action::DiscardImports);
        }
        self.has_seen_predecessor = true;
        self.attempts += 1;
        self.phase = Phase::Importing(now_ms + self.rules.snapshot_ms);
        if hello.keys_unknown_until_ms > now_ms {
            self.extend_unknown_window(hello.keys_unknown_until_ms, actions);
        }
        match self.drained {
            Some(drained) if drained != hello.drained => {
                actions.push(Action::Send(Message::Drained(drained)))
            }
            Some(_) => {}
            None => self.set_drained(hello.drained, actions),
        }
    }

    fn connect_failed(&mut self, now_ms: f64, reason: NoPredecessor, actions: &mut Vec<Action>) {
        if self.phase != Phase::Connecting {
            return;
        }
        self.attempts += 1;
        if reason.is_absent() {
            // A predecessor that was detected before is dead now, and may have run keys that it did not send.
            let unknown_for = self.has_seen_predecessor.then_some(self.rules.longest_window_ms);
            self.serve_alone(now_ms, unknown_for, actions);
        } else if reason.is_transient() && self.attempts < self.rules.attempts {
            self.has_seen_predecessor = true;
            actions.push(Action::Reconnect);
        } else {
            self.serve_beside_unreachable(now_ms, actions);
        }
    }

    fn peer_lost(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        match self.phase {
            // A predecessor that has yielded runs only keys that it has sent or claimed.
            Phase::Owning => self.serve_alone(now_ms, None, actions),
            Phase::Importing(_) | Phase::Imported | Phase::TakingOver(_) => {
                self.reconnect(now_ms, actions);
            }
            Phase::Connecting | Phase::Alone | Phase::Left => {}
        }
    }

    /// Only a new connection shows whether the predecessor is dead or still serves.
    fn reconnect(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if self.attempts < self.rules.attempts {
            self.phase = Phase::Connecting;
            actions.push(Action::Reconnect);
        } else {
            self.serve_beside_unreachable(now_ms, actions);
        }
    }

    fn drop_peer(&mut self, now_ms: f64, reason: DropReason, actions: &mut Vec<Action>) {
        actions.push(Action::DropPeer(reason));
        if self.phase == Phase::Owning {
            self.serve_alone(now_ms, None, actions);
        } else {
            self.serve_beside_unreachable(now_ms, actions);
        }
    }

    /// Serves although an unreachable predecessor may be alive.
    fn serve_beside_unreachable(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let unknown_for = self.rules.longest_window_ms + self.rules.peer_exit_ms;
        self.serve_alone(now_ms, Some(unknown_for), actions);
    }

    fn serve_alone(&mut self, now_ms: f64, unknown_for_ms: Option<f64>, actions: &mut Vec<Action>) {
        self.phase = Phase::Alone;
        if self.has_seen_predecessor {
            actions.extend([Action::FailPeerKeys, Action::PeerConnections(0)]);
        }
        if let Some(unknown_for_ms) = unknown_for_ms {
            self.extend_unknown_window(now_ms + unknown_for_ms, actions);
        }
        self.begin_if_ready(actions);
    }

    fn extend_unknown_window(&mut self, until_ms: f64, actions: &mut Vec<Action>) {
        if until_ms > self.keys_unknown_until_ms {
            self.keys_unknown_until_ms = until_ms;
            actions.push(Action::KeysUnknownUntil(until_ms));
        }
    }

    // ---- the take-over ----

    fn handle_message(&mut self, now_ms: f64, message: Message, actions: &mut Vec<Action>) {
        match (self.phase, message) {
            (Phase::Connecting | Phase::Alone | Phase::Left, _) => {}
            (_, Message::Keys(records)) => actions.extend(records.into_iter().map(Action::Import)),
            (Phase::Importing(_), Message::SnapshotEnd) => {
                self.phase = Phase::Imported;
                self.take_over_if_ready(now_ms, actions);
            }
            (Phase::Imported | Phase::TakingOver(_), Message::Yielded) => {
                self.phase = Phase::Owning;
                self.begin_if_ready(actions);
            }
            (Phase::Owning, Message::Claim(claim)) => actions.push(Action::DecideClaim(claim)),
            (_, Message::Drained(drained)) => {
                self.set_drained(drained, actions);
                // Echoed, so that both processes agree even if operators send them different commands at
                // once.
                actions.push(Action::Send(Message::Drained(drained)));
            }
            (_, Message::Connections(open)) => actions.push(Action::PeerConnections(open)),
            _ => self.drop_peer(now_ms, DropReason::Protocol, actions),
        }
    }

    fn ready_to_serve(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.is_ready_to_serve = true;
        if self.phase == Phase::Owning && !self.is_serving {
            // The terminating predecessor yielded without a request. `TakeOver` notifies it that a successor
            // serves after all.
            actions.push(Action::Send(Message::TakeOver));
        }
        self.take_over_if_ready(now_ms, actions);
        self.begin_if_ready(actions);
    }

    fn take_over_if_ready(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if self.phase == Phase::Imported && self.is_ready_to_serve {
            self.phase = Phase::TakingOver(now_ms + self.rules.yield_ms);
            actions.push(Action::Send(Message::TakeOver));
        }
    }

    fn begin_if_ready(&mut self, actions: &mut Vec<Action>) {
        let owns_keys = matches!(self.phase, Phase::Owning | Phase::Alone);
        if owns_keys && self.is_ready_to_serve && !self.is_serving {
            self.is_serving = true;
            actions.push(Action::BeginServing);
        }
    }

    fn claim_decided(&mut self, id: u64, granted: bool, actions: &mut Vec<Action>) {
        if self.phase == Phase::Owning {
            actions.push(Action::Send(Message::ClaimAnswer { id, granted }));
        }
    }

    fn drop_late_peer(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        match self.phase {
            Phase::Importing(due_ms) if now_ms >= due_ms => {
                self.drop_peer(now_ms, DropReason::SnapshotLate, actions);
            }
            Phase::TakingOver(due_ms) if now_ms >= due_ms => {
                self.drop_peer(now_ms, DropReason::YieldLate, actions);
            }
            _ => {}
        }
    }

    fn terminate(&mut self, actions: &mut Vec<Action>) {
        if self.is_serving || self.phase == Phase::Left {
            return;
        }
        if self.is_linked() {
            actions.push(Action::DropPeer(DropReason::Leaving));
        }
        self.phase = Phase::Left;
        actions.push(Action::Leave);
    }

    // ---- state shared by both processes ----

    fn drain_changed(&mut self, drained: bool, actions: &mut Vec<Action>) {
        if self.drained == Some(drained) {
            return;
        }
        self.drained = Some(drained);
        if self.is_linked() {
            actions.push(Action::Send(Message::Drained(drained)));
        }
    }

    fn set_drained(&mut self, drained: bool, actions: &mut Vec<Action>) {
        if self.drained.unwrap_or(false) != drained {
            actions.push(Action::SetDrained(drained));
        }
        self.drained = Some(drained);
    }
}
