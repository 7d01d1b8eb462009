//! The process that serves: it hands its listening sockets and keys to a successor, and afterwards asks it before it runs a
//! key that it does not know. No I/O, no clock: events and the time go in, actions come out.

use std::collections::BTreeMap;
use std::fmt;

use crate::message::{Claim, Hello, Key, KeyRecord, KeyState, Message, key_messages};
use crate::ownership::{Denial, DropReason, Fault, Rules, UnknownKey};

/// How far the handover to a successor is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// There is no successor.
    NoSuccessor,
    /// One was greeted; the core's snapshot is awaited.
    Greeted,
    /// It has the snapshot, and is sent each change.
    Streaming,
    /// It owns all keys, and this process accepts no connections.
    Yielded,
}

/// What reaches the predecessor.
#[derive(Clone, Debug)]
pub enum Event {
    /// A successor has connected. Its link is to be used for [`Action::Send`] unless [`Action::RefusePeer`] comes back.
    PeerConnected,
    /// Its message.
    Message(Message),
    /// Its link is over. Not to be sent after [`Action::DropPeer`].
    PeerLost,
    /// All keys of this process: the answer to [`Action::SendSnapshot`], in the same instant.
    Snapshot(Vec<KeyRecord>),
    /// A key of this process has changed, or one that was imported has.
    KeyChanged(KeyRecord),
    /// A keyed request came whose key this process does not know, or knows as over. One claim at a time for each key.
    ClaimWanted(Claim),
    /// Not all keys are known to this process until then, Unix ms, as its successor machine said.
    KeysUnknownUntil(f64),
    /// An operator drained this process, or took it back.
    DrainChanged(bool),
    /// Open client connections of this process.
    Connections(u32),
    /// SIGTERM.
    Terminate,
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this to the successor.
    Send(Message),
    /// Answer at once with [`Event::Snapshot`].
    SendSnapshot,
    /// Drop the link that has just connected: there is another.
    RefusePeer,
    /// Drop the link, and forget it.
    DropPeer(DropReason),
    /// Accept no connections, and keep the listening sockets.
    StopAccepting,
    /// Accept connections again.
    ResumeAccepting,
    /// Listen for a successor again: the one that is lost has replaced the socket by its own.
    BindAcceptor,
    /// The key of this claim is this process's: run it.
    Grant(u64),
    /// The request of this claim fails.
    Deny(u64, Denial),
    /// An operator drained the server in the other process, or took it back.
    SetDrained(bool),
    /// Unknown keys are failed until then, Unix ms. For the log: [`Predecessor::unknown_key`] knows it.
    KeysUnknownUntil(f64),
    /// Leave. Where it is handed over, the list service is told nothing. It may come a second time, handed over.
    Leave {
        /// Whether a successor serves.
        handed_over: bool,
    },
}

#[derive(Clone, Debug)]
struct PendingClaim {
    key: Key,
    digest: u64,
    until_ms: f64,
    due_ms: f64,
    /// Denied already: if it is granted now, it is given back.
    denied: bool,
}

/// The machine.
#[derive(Clone)]
pub struct Predecessor {
    rules: Rules,
    phase: Phase,
    is_leaving: bool,
    listeners: Vec<String>,
    digest_key: [u8; 16],
    drained: bool,
    connections: u32,
    keys_unknown_until_ms: f64,
    claims: BTreeMap<u64, PendingClaim>,
}

/// What changes: not the rules, and not the key of the digests, which is a secret.
impl fmt::Debug for Predecessor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Predecessor {
            rules: _,
            listeners: _,
            digest_key: _,
            phase,
            is_leaving,
            drained,
            connections,
            keys_unknown_until_ms,
            claims,
        } = self;
        f.debug_struct("Predecessor")
            .field("phase", phase)
            .field("leaving", is_leaving)
            .field("drained", drained)
            .field("connections", connections)
            .field("keys_unknown_until_ms", keys_unknown_until_ms)
            .field("claims", claims)
            .finish_non_exhaustive()
    }
}

impl Predecessor {
    /// Of a process that begins to serve, with the names of its listening sockets and the key of its digests.
    pub fn new(rules: Rules, listeners: Vec<String>, digest_key: [u8; 16]) -> Predecessor {
        Predecessor {
            rules,
            phase: Phase::NoSuccessor,
            is_leaving: false,
            listeners,
            digest_key,
            drained: false,
            connections: 0,
            keys_unknown_until_ms: 0.0,
            claims: BTreeMap::new(),
        }
    }

    /// How far the handover is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The longest deduplication window of all classes is so long now, ms. It does not become shorter: keys that were kept
    /// before stay for their windows.
    pub fn set_longest_window(&mut self, window_ms: f64) {
        self.rules.longest_window_ms = self.rules.longest_window_ms.max(window_ms);
    }

    /// What may be done with a key that this process does not know.
    pub fn unknown_key(&self, now_ms: f64) -> UnknownKey {
        if self.phase == Phase::Yielded && self.rules.fault != Some(Fault::RunUnclaimed) {
            UnknownKey::Claim
        } else if now_ms < self.keys_unknown_until_ms {
            UnknownKey::Fail
        } else {
            UnknownKey::Run
        }
    }

    /// When [`Event::Tick`] is due.
    pub fn next_due(&self) -> Option<f64> {
        self.claims.values().filter(|claim| !claim.denied).map(|claim| claim.due_ms).min_by(f64::total_cmp)
    }

    /// Takes one event.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::PeerConnected => self.peer_connected(actions),
            Event::Message(message) => self.message(now_ms, message, actions),
            Event::PeerLost => self.peer_lost(now_ms, actions),
            Event::Snapshot(records) => self.snapshot(records, actions),
            Event::KeyChanged(record) => self.key_changed(record, actions),
            Event::ClaimWanted(claim) => self.claim_wanted(now_ms, claim, actions),
            Event::KeysUnknownUntil(until_ms) => self.extend_unknown_window(until_ms),
            Event::DrainChanged(drained) => self.drain_changed(drained, actions),
            Event::Connections(open) => self.connections_changed(open, actions),
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

    // ---- the successor comes and goes ----

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

    fn snapshot(&mut self, records: Vec<KeyRecord>, actions: &mut Vec<Action>) {
        if self.phase != Phase::Greeted {
            return;
        }
        let mut room = self.rules.snapshot_result_bytes;
        let records = records.into_iter().map(|record| {
            let record = record.sendable(room);
            room -= record.result_bytes();
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

    fn message(&mut self, now_ms: f64, message: Message, actions: &mut Vec<Action>) {
        match (self.phase, message) {
            // It comes late, from a successor that was dropped.
            (Phase::NoSuccessor, _) => {}
            (Phase::Streaming, Message::TakeOver) => {
                actions.push(Action::StopAccepting);
                self.yield_ownership(actions);
            }
            // It crossed a yield that was not asked for: the successor serves from now on.
            (Phase::Yielded, Message::TakeOver) if self.is_leaving => {
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
        for (id, claim) in std::mem::take(&mut self.claims) {
            if !claim.denied {
                actions.push(Action::Deny(id, Denial::PeerLost));
            }
        }
        if had_yielded {
            self.resume_key_ownership(now_ms, actions);
        }
    }

    /// The successor may have run any key, and may still run some until it is ended.
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

    fn key_changed(&mut self, record: KeyRecord, actions: &mut Vec<Action>) {
        if self.is_linked() {
            actions.push(Action::Send(Message::Keys(vec![record.sendable(usize::MAX)])));
        }
    }

    fn claim_wanted(&mut self, now_ms: f64, claim: Claim, actions: &mut Vec<Action>) {
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

    // ---- what both processes share ----

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

    fn connections_changed(&mut self, open: u32, actions: &mut Vec<Action>) {
        if open != self.connections && self.is_linked() {
            actions.push(Action::Send(Message::Connections(open)));
        }
        self.connections = open;
    }
}
