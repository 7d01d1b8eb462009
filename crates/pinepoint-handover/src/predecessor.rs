//! The state machine of the serving process. The process hands the ownership of its keys to a successor. From
//! then on it claims each unknown key before running it. If the successor is lost, the process owns the keys
//! again.
//!
//! The machine maps events and the time to actions; it does no I/O and reads no clock.

use std::collections::BTreeMap;
use std::fmt;

use crate::message::{Claim, Hello, Key, KeyRecord, KeyState, Message, key_messages};
use crate::ownership::{Denial, DropReason, Fault, Rules, UnknownKey};

/// The progress of the handover to a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No successor is connected.
    NoSuccessor,
    /// `Hello` was sent to a successor; the server's [`Event::Snapshot`] is pending.
    Greeted,
    /// The snapshot was sent to the successor, and each key change is sent as well.
    Streaming,
    /// The successor owns all keys, and this process does not accept connections.
    Yielded,
}

/// An input of the predecessor.
#[derive(Clone, Debug)]
pub enum Event {
    /// A successor has connected. Use its link for [`Action::Send`] unless the machine answers with
    /// [`Action::RefusePeer`].
    PeerConnected,
    /// The successor sent a message.
    Message(Message),
    /// The link to the successor is closed. Must not be sent after [`Action::DropPeer`].
    PeerLost,
    /// All keys of this process, in answer to [`Action::SendSnapshot`] and without any event in between.
    Snapshot(Vec<KeyRecord>),
    /// A key of this process, or an imported one, has changed.
    KeyChanged(KeyRecord),
    /// A request arrived whose key is unknown or whose window is over. A key has at most one pending claim.
    ClaimWanted(Claim),
    /// Time until which this process does not know all keys, Unix ms, as given by
    /// [`crate::successor::Action::KeysUnknownUntil`].
    KeysUnknownUntil(f64),
    /// An operator drained this process, or ended the drain.
    DrainChanged(bool),
    /// The number of open client connections of this process.
    Connections(u32),
    /// SIGTERM was received.
    Terminate,
    /// Time has passed.
    Tick,
}

/// An output of the predecessor.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to the successor.
    Send(Message),
    /// Answer immediately with [`Event::Snapshot`].
    SendSnapshot,
    /// Close the link of the last [`Event::PeerConnected`]: another successor is already connected.
    RefusePeer,
    /// Close the link to the successor, and forget it.
    DropPeer(DropReason),
    /// Stop accepting connections, but keep the listening sockets open.
    StopAccepting,
    /// Accept connections again.
    ResumeAccepting,
    /// Bind the handover socket again: the lost successor has replaced it with its own.
    BindAcceptor,
    /// The claim is granted: run its request.
    Grant(u64),
    /// The claim is denied: fail its request.
    Deny(u64, Denial),
    /// An operator drained the server through the other process, or ended the drain.
    SetDrained(bool),
    /// Unknown keys fail until this time, Unix ms. Only for the log: [`Predecessor::unknown_key`] takes it
    /// into account.
    KeysUnknownUntil(f64),
    /// Exit gracefully. After a handover, the service registry is not notified. May be repeated with
    /// `handed_over` set.
    Leave {
        /// Whether a successor serves the clients from now on.
        handed_over: bool,
    },
}

#[derive(Clone, Debug)]
struct PendingClaim {
    key: Key,
    digest: u64,
    until_ms: f64,
    due_ms: f64,
    /// Whether the claim was denied after a timeout. If the successor grants it later, the key is released.
    denied: bool,
}

/// The predecessor.
#[derive(Clone)]
pub struct Predecessor {
    rules: Rules,
    phase: Phase,
    /// Whether the successor has requested ownership: it is ready, and serves once it owns the keys.
    successor_serves: bool,
    is_leaving: bool,
    listeners: Vec<String>,
    digest_key: [u8; 16],
    drained: bool,
    connections: u32,
    keys_unknown_until_ms: f64,
    claims: BTreeMap<u64, PendingClaim>,
}

/// Prints only the state of the handover: the digest key is secret, and the other omitted fields are
/// configuration.
impl fmt::Debug for Predecessor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Predecessor {
            rules: _,
            listeners: _,
            digest_key: _,
            phase,
            successor_serves,
            is_leaving,
            drained,
            connections,
            keys_unknown_until_ms,
            claims,
        } = self;
        f.debug_struct("Predecessor")
            .field("phase", phase)
            .field("successor_serves", successor_serves)
            .field("leaving", is_leaving)
            .field("drained", drained)
            .field("connections", connections)
            .field("keys_unknown_until_ms", keys_unknown_until_ms)
            .field("claims", claims)
            .finish_non_exhaustive()
    }
}

impl Predecessor {
    /// Creates the state machine of a process that starts to serve. `listeners` names its listening sockets,
    /// `digest_key` is the secret key of its body digests.
    pub fn new(rules: Rules, listeners: Vec<String>, digest_key: [u8; 16]) -> Predecessor {
        Predecessor {
            rules,
            phase: Phase::NoSuccessor,
            successor_serves: false,
            is_leaving: false,
            listeners,
            digest_key,
            drained: false,
            connections: 0,
            keys_unknown_until_ms: 0.0,
            claims: BTreeMap::new(),
        }
    }

    /// The progress of the handover.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether a successor accepts connections in place of this process.
    pub fn successor_serves(&self) -> bool {
        self.successor_serves
    }

    /// Raises the longest deduplication window of all classes to `window_ms`. The window is never lowered,
    /// because earlier keys keep theirs.
    pub fn set_longest_window(&mut self, window_ms: f64) {
        self.rules.longest_window_ms = self.rules.longest_window_ms.max(window_ms);
    }

    /// How to handle a request whose key is unknown or whose window is over.
    pub fn unknown_key(&self, now_ms: f64) -> UnknownKey {
        if self.phase == Phase::Yielded && self.rules.fault != Some(Fault::RunUnclaimed) {
            UnknownKey::Claim
        } else if now_ms < self.keys_unknown_until_ms {
            UnknownKey::Fail
        } else {
            UnknownKey::Run
        }
    }

    /// When the next [`Event::Tick`] is due, Unix ms.
    pub fn next_due(&self) -> Option<f64> {
        self.claims.values().filter(|claim| !claim.denied).map(|claim| claim.due_ms).min_by(f64::total_cmp)
    }

    /// Handles one event at `now_ms` (Unix ms) and appends the resulting actions.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::PeerConnected => self.peer_connected(actions),
            Event::Message(message) => self.handle_message(now_ms, message, actions),
            Event::PeerLost => self.peer_lost(now_ms, actions),
            Event::Snapshot(records) => self.send_snapshot(records, actions),
            Event::KeyChanged(record) => self.replicate_key(record, actions),
            Event::ClaimWanted(claim) => self.request_claim(now_ms, claim, actions),
            Event::KeysUnknownUntil(until_ms) => self.extend_unknown_window(until_ms),
            Event::DrainChanged(drained) => self.drain_changed(drained, actions),
            Event::Connections(open) => self.report_connections(open, actions),
            Event::Terminate => self.terminate(actions),
            Event::Tick => self.deny_late_claims(now_ms, actions),
        }
    }

    fn is_linked(&self) -> bool {
        matches!(self.phase, Phase::Streaming | Phase::Yielded)
    }

    fn extend_unknown_window(&mut self, until_ms: f64) {
        self.keys_unknown_until_ms = self.keys_unknown_until_ms.max(until_ms);
    }

    // ---- connecting to, yielding to and losing the successor ----

    fn peer_connected(&mut self, actions: &mut Vec<Action>) {
        if self.phase != Phase::NoSuccessor {
            actions.push(Action::RefusePeer);
            return;
        }
        self.phase = Phase::Greeted;
        actions.push(Action::Send(Message::Hello(Hello {
            listeners: self.listeners.clone(),
            digest_key: self.digest_key,
            drained: self.drained,
            keys_unknown_until_ms: self.keys_unknown_until_ms,
        })));
        if self.rules.fault == Some(Fault::StopAtHello) {
            actions.push(Action::StopAccepting);
        }
        actions.push(Action::SendSnapshot);
    }

    fn send_snapshot(&mut self, records: Vec<KeyRecord>, actions: &mut Vec<Action>) {
        if self.phase != Phase::Greeted {
            return;
        }
        let mut available_bytes = self.rules.snapshot_result_bytes;
        let records = records.into_iter().map(|record| {
            let record = record.sendable(available_bytes);
            available_bytes -= record.result_bytes();
            record
        });
        actions.extend(key_messages(records).into_iter().map(Action::Send));
        actions.push(Action::Send(Message::SnapshotEnd));
        actions.push(Action::Send(Message::Connections(self.connections)));
        self.phase = Phase::Streaming;
        if self.is_leaving {
            self.yield_ownership(actions);
        }
    }

    fn handle_message(&mut self, now_ms: f64, message: Message, actions: &mut Vec<Action>) {
        match (self.phase, message) {
            // A late message of a successor that was dropped.
            (Phase::NoSuccessor, _) => {}
            (Phase::Streaming, Message::TakeOver) => {
                self.successor_serves = true;
                actions.push(Action::StopAccepting);
                self.yield_ownership(actions);
            }
            // `TakeOver` crossed the unrequested `Yielded` of this terminating process, or answers it: the
            // successor serves from now on.
            (Phase::Yielded, Message::TakeOver) if self.is_leaving => {
                self.successor_serves = true;
                actions.push(Action::Leave { handed_over: true });
            }
            (Phase::Yielded, Message::ClaimAnswer { id, granted }) => {
                self.claim_answered(id, granted, actions);
            }
            (_, Message::Drained(drained)) => self.set_drained(drained, actions),
            _ => {
                actions.push(Action::DropPeer(DropReason::Protocol));
                self.peer_lost(now_ms, actions);
            }
        }
    }

    fn yield_ownership(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Yielded;
        actions.push(Action::Send(Message::Yielded));
    }

    fn peer_lost(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let had_yielded = self.phase == Phase::Yielded;
        self.phase = Phase::NoSuccessor;
        self.successor_serves = false;
        for (id, claim) in std::mem::take(&mut self.claims) {
            if !claim.denied {
                actions.push(Action::Deny(id, Denial::PeerLost));
            }
        }
        if had_yielded {
            self.resume_key_ownership(now_ms, actions);
        }
    }

    /// Unknown keys fail for now: the lost successor may have run any key, and may continue to do so until it
    /// is killed.
    fn resume_key_ownership(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.extend_unknown_window(now_ms + self.rules.longest_window_ms + self.rules.peer_exit_ms);
        actions.push(Action::KeysUnknownUntil(self.keys_unknown_until_ms));
        if self.is_leaving {
            actions.push(Action::Leave { handed_over: false });
        } else {
            actions.extend([Action::ResumeAccepting, Action::BindAcceptor]);
        }
    }

    fn terminate(&mut self, actions: &mut Vec<Action>) {
        if self.is_leaving {
            return;
        }
        self.is_leaving = true;
        actions.push(Action::Leave { handed_over: self.phase == Phase::Yielded });
        if self.phase == Phase::Streaming {
            actions.push(Action::StopAccepting);
            self.yield_ownership(actions);
        }
    }

    // ---- keys ----

    fn replicate_key(&mut self, record: KeyRecord, actions: &mut Vec<Action>) {
        if self.is_linked() {
            actions.push(Action::Send(Message::Keys(vec![record.sendable(usize::MAX)])));
        }
    }

    fn request_claim(&mut self, now_ms: f64, claim: Claim, actions: &mut Vec<Action>) {
        let id = claim.id;
        match self.unknown_key(now_ms) {
            UnknownKey::Run => actions.push(Action::Grant(id)),
            UnknownKey::Fail => actions.push(Action::Deny(id, Denial::UnknownWindow)),
            UnknownKey::Claim if self.claims.len() >= self.rules.claims => {
                actions.push(Action::Deny(id, Denial::TooMany));
            }
            UnknownKey::Claim => {
                let pending = PendingClaim {
                    key: claim.key.clone(),
                    digest: claim.digest,
                    until_ms: claim.until_ms,
                    due_ms: now_ms + self.rules.claim_ms,
                    denied: false,
                };
                self.claims.insert(id, pending);
                actions.push(Action::Send(Message::Claim(claim)));
            }
        }
    }

    fn claim_answered(&mut self, id: u64, granted: bool, actions: &mut Vec<Action>) {
        let Some(claim) = self.claims.remove(&id) else { return };
        match (granted, claim.denied) {
            (true, false) => actions.push(Action::Grant(id)),
            (false, false) => actions.push(Action::Deny(id, Denial::Known)),
            (true, true) => {
                let PendingClaim { key, digest, until_ms, .. } = claim;
                let record = KeyRecord { key, digest, until_ms, state: KeyState::Released };
                actions.push(Action::Send(Message::Keys(vec![record])));
            }
            (false, true) => {}
        }
    }

    fn deny_late_claims(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        for (id, claim) in &mut self.claims {
            if !claim.denied && now_ms >= claim.due_ms {
                claim.denied = true;
                actions.push(Action::Deny(*id, Denial::NoAnswer));
            }
        }
    }

    // ---- state shared by both processes ----

    fn drain_changed(&mut self, drained: bool, actions: &mut Vec<Action>) {
        if drained == self.drained {
            return;
        }
        self.drained = drained;
        if self.phase != Phase::NoSuccessor {
            actions.push(Action::Send(Message::Drained(drained)));
        }
    }

    fn set_drained(&mut self, drained: bool, actions: &mut Vec<Action>) {
        if drained != self.drained {
            self.drained = drained;
            actions.push(Action::SetDrained(drained));
        }
    }

    fn report_connections(&mut self, open: u32, actions: &mut Vec<Action>) {
        if open != self.connections && self.is_linked() {
            actions.push(Action::Send(Message::Connections(open)));
        }
        self.connections = open;
    }
}
