//! The process that starts beside another: it takes listening sockets and keys over, and from then on says which keys the
//! predecessor may still run. No I/O, no clock: events and the time go in, actions come out.

use std::fmt;

use crate::message::{Claim, Hello, KeyRecord, Message};
use crate::ownership::{DropReason, NoPredecessor, Rules, UnknownKey};

/// How long to wait before another attempt to connect, ms.
pub const RECONNECT_MS: f64 = 50.0;

/// How far the take-over is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// A predecessor is being looked for.
    Connecting,
    /// It was found, and sends its keys; they have to be whole by then, Unix ms.
    Importing(f64),
    /// All its keys are known; this process cannot serve yet.
    Imported,
    /// It was asked to yield, and has to have answered by then, Unix ms.
    TakingOver(f64),
    /// It has yielded: all keys are this process's, and it still serves its own connections.
    Owning,
    /// There is no predecessor any more, or there was none.
    Alone,
    /// This process was told to leave before it served.
    Left,
}

/// What reaches the successor.
#[derive(Clone, Debug)]
pub enum Event {
    /// The predecessor was found, and said this.
    PeerConnected(Hello),
    /// None was found.
    NoPredecessor(NoPredecessor),
    /// Its message.
    Message(Message),
    /// Its link is over. Not to be sent after [`Action::DropPeer`].
    PeerLost,
    /// This process can serve.
    EngineUp,
    /// The core's answer to [`Action::DecideClaim`].
    ClaimDecided {
        /// Of the claim.
        id: u64,
        /// Whether the predecessor may run it.
        granted: bool,
    },
    /// An operator drained this process, or took it back.
    DrainChanged(bool),
    /// SIGTERM.
    Terminate,
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this to the predecessor.
    Send(Message),
    /// Look for the predecessor again, after [`RECONNECT_MS`]: it may not have noticed yet that the link is over.
    Reconnect,
    /// Drop the link, and forget it.
    DropPeer(DropReason),
    /// Accept connections, on the passed listening sockets if there are any. Comes once.
    BeginServing,
    /// Enter this record as the predecessor's. A record that is this process's own stays as it is.
    Import(KeyRecord),
    /// Forget all records that were imported: they are sent anew.
    DiscardImports,
    /// All records of the predecessor that are held or ran become failed.
    FailPeerKeys,
    /// Unknown keys are failed until then, Unix ms. To be passed to the predecessor machine of this process.
    KeysUnknownUntil(f64),
    /// May the predecessor run this key? If it is unknown, enter it as the predecessor's, held, and grant it.
    DecideClaim(Claim),
    /// An operator drained the server in the other process, or took it back.
    SetDrained(bool),
    /// Open client connections of the predecessor.
    PeerConnections(u32),
    /// Leave without having served.
    Leave,
}

/// The machine.
#[derive(Clone)]
pub struct Successor {
    rules: Rules,
    phase: Phase,
    is_engine_up: bool,
    is_serving: bool,
    /// Connections that were made or tried.
    attempts: u32,
    /// A predecessor was there at some time.
    met_predecessor: bool,
    /// What an operator said here, if anything was said.
    drained: Option<bool>,
    keys_unknown_until_ms: f64,
}

/// What changes: not the rules.
impl fmt::Debug for Successor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Successor {
            rules: _,
            phase,
            is_engine_up,
            is_serving,
            attempts,
            met_predecessor,
            drained,
            keys_unknown_until_ms,
        } = self;
        f.debug_struct("Successor")
            .field("phase", phase)
            .field("is_engine_up", is_engine_up)
            .field("is_serving", is_serving)
            .field("attempts", attempts)
            .field("met_predecessor", met_predecessor)
            .field("drained", drained)
            .field("keys_unknown_until_ms", keys_unknown_until_ms)
            .finish_non_exhaustive()
    }
}

impl Successor {
    /// Of a process that starts, and looks for a predecessor.
    pub fn new(rules: Rules) -> Successor {
        Successor {
            rules,
            phase: Phase::Connecting,
            is_engine_up: false,
            is_serving: false,
            attempts: 0,
            met_predecessor: false,
            drained: None,
            keys_unknown_until_ms: 0.0,
        }
    }

    /// How far the take-over is.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether [`Action::BeginServing`] came.
    pub fn is_serving(&self) -> bool {
        self.is_serving
    }

    /// The longest deduplication window of all classes is so long now, ms. It does not become shorter: keys that were kept
    /// before stay for their windows.
    pub fn set_longest_window(&mut self, window_ms: f64) {
        self.rules.longest_window_ms = self.rules.longest_window_ms.max(window_ms);
    }

    /// What may be done with a key that this process does not know.
    pub fn unknown_key(&self, now_ms: f64) -> UnknownKey {
        if now_ms < self.keys_unknown_until_ms { UnknownKey::Fail } else { UnknownKey::Run }
    }

    /// When [`Event::Tick`] is due.
    pub fn next_due(&self) -> Option<f64> {
        match self.phase {
            Phase::Importing(due_ms) | Phase::TakingOver(due_ms) => Some(due_ms),
            _ => None,
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::PeerConnected(hello) => self.peer_connected(now_ms, hello, actions),
            Event::NoPredecessor(why) => self.no_predecessor(now_ms, why, actions),
            Event::Message(message) => self.message(now_ms, message, actions),
            Event::PeerLost => self.peer_lost(now_ms, actions),
            Event::EngineUp => self.engine_up(now_ms, actions),
            Event::ClaimDecided { id, granted } => self.claim_decided(id, granted, actions),
            Event::DrainChanged(drained) => self.drain_changed(drained, actions),
            Event::Terminate => self.terminate(actions),
            Event::Tick => self.tick(now_ms, actions),
        }
    }

    fn is_linked(&self) -> bool {
        matches!(self.phase, Phase::Importing(_) | Phase::Imported | Phase::TakingOver(_) | Phase::Owning)
    }

    // ---- the predecessor is found, lost, or not there ----

    fn peer_connected(&mut self, now_ms: f64, hello: Hello, actions: &mut Vec<Action>) {
        if self.phase != Phase::Connecting {
            actions.push(Action::DropPeer(DropReason::Protocol));
            return;
        }
        if self.met_predecessor {
            actions.push(Action::DiscardImports);
        }
        self.met_predecessor = true;
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

    fn no_predecessor(&mut self, now_ms: f64, why: NoPredecessor, actions: &mut Vec<Action>) {
        if self.phase != Phase::Connecting {
            return;
        }
        self.attempts += 1;
        if why.is_absent() {
            // A predecessor that was there is dead now, and may have run what it could not tell.
            let unknown_for = self.met_predecessor.then_some(self.rules.longest_window_ms);
            self.serve_alone(now_ms, unknown_for, actions);
        } else if why.is_transient() && self.attempts < self.rules.attempts {
            self.met_predecessor = true;
            actions.push(Action::Reconnect);
        } else {
            self.serve_beside_unreachable(now_ms, actions);
        }
    }

    fn peer_lost(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        match self.phase {
            // It had told all that it may still run.
            Phase::Owning => self.serve_alone(now_ms, None, actions),
            Phase::Importing(_) | Phase::Imported | Phase::TakingOver(_) => {
                self.reconnect(now_ms, actions);
            }
            Phase::Connecting | Phase::Alone | Phase::Left => {}
        }
    }

    /// It is dead, or lives and serves on: only a new connection tells.
    fn reconnect(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if self.attempts < self.rules.attempts {
            self.phase = Phase::Connecting;
            actions.push(Action::Reconnect);
        } else {
            self.serve_beside_unreachable(now_ms, actions);
        }
    }

    fn drop_peer(&mut self, now_ms: f64, why: DropReason, actions: &mut Vec<Action>) {
        actions.push(Action::DropPeer(why));
        if self.phase == Phase::Owning {
            self.serve_alone(now_ms, None, actions);
        } else {
            self.serve_beside_unreachable(now_ms, actions);
        }
    }

    /// A predecessor that may live, and cannot be asked.
    fn serve_beside_unreachable(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let unknown_for = self.rules.longest_window_ms + self.rules.peer_exit_ms;
        self.serve_alone(now_ms, Some(unknown_for), actions);
    }

    fn serve_alone(&mut self, now_ms: f64, unknown_for_ms: Option<f64>, actions: &mut Vec<Action>) {
        self.phase = Phase::Alone;
        if self.met_predecessor {
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

    fn message(&mut self, now_ms: f64, message: Message, actions: &mut Vec<Action>) {
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
                // The last word is this process's: both may have been told something else in the same instant.
                actions.push(Action::Send(Message::Drained(drained)));
            }
            (_, Message::Connections(open)) => actions.push(Action::PeerConnections(open)),
            _ => self.drop_peer(now_ms, DropReason::Protocol, actions),
        }
    }

    fn engine_up(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.is_engine_up = true;
        if self.phase == Phase::Owning && !self.is_serving {
            // The predecessor yielded unasked, as it leaves: it learns that it is followed after all.
            actions.push(Action::Send(Message::TakeOver));
        }
        self.take_over_if_ready(now_ms, actions);
        self.begin_if_ready(actions);
    }

    fn take_over_if_ready(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        if self.phase == Phase::Imported && self.is_engine_up {
            self.phase = Phase::TakingOver(now_ms + self.rules.yield_ms);
            actions.push(Action::Send(Message::TakeOver));
        }
    }

    fn begin_if_ready(&mut self, actions: &mut Vec<Action>) {
        let owns_keys = matches!(self.phase, Phase::Owning | Phase::Alone);
        if owns_keys && self.is_engine_up && !self.is_serving {
            self.is_serving = true;
            actions.push(Action::BeginServing);
        }
    }

    fn claim_decided(&mut self, id: u64, granted: bool, actions: &mut Vec<Action>) {
        if self.phase == Phase::Owning {
            actions.push(Action::Send(Message::ClaimAnswer { id, granted }));
        }
    }

    fn tick(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
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

    // ---- what both processes share ----

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
