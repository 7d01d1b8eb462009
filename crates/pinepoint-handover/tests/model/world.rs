//! Two processes around the two state machines: what may happen next, what happens, and what has to hold.

use std::collections::VecDeque;
use std::fmt::Write;
use std::hash::{DefaultHasher, Hasher};

use pinepoint_handover::message::{KeyState, Message};
use pinepoint_handover::ownership::{NoPredecessor, Rules};
use pinepoint_handover::predecessor::{self, Predecessor};
use pinepoint_handover::successor::{self, Successor};

use crate::key_table::{Entry, record};

pub const WINDOW_MS: f64 = 10_000.0;
pub const EXIT_MS: f64 = 5_000.0;
/// Longer than any wait of the machines, shorter than a window.
pub const LATE_MS: f64 = 5_000.0;
pub const OLD: usize = 0;
pub const NEW: usize = 1;

/// One step of the world around the machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// A try is read by this process.
    Attempt(usize),
    /// Its held request starts, is refused, or ends.
    Start(usize),
    Refuse(usize),
    Finish(usize),
    /// The new process connects.
    Connect,
    /// The next message reaches this process, or the end of the link does, in front of what is still under way.
    Deliver(usize),
    LinkEnds(usize),
    Crash(usize),
    Cut,
    EngineUp,
    Terminate,
    Exit,
    /// The waits of the machines run out.
    Late,
    /// A window passes, and the time for which a peer may go on.
    Pass,
}

/// A process: what is of its core.
#[derive(Clone, Debug, Default)]
pub struct Process {
    pub is_alive: bool,
    pub is_accepting: bool,
    pub is_leaving: bool,
    pub entry: Option<Entry>,
    /// A claim that waits, and its tries.
    pub claim: Option<(u64, Vec<usize>)>,
}

#[derive(Clone, Debug, Default)]
pub struct Link {
    pub queues: [VecDeque<Message>; 2],
    pub is_open: [bool; 2],
    pub is_cut: bool,
}

#[derive(Clone, Debug)]
pub struct Attempt {
    pub at: usize,
    pub arrival_ms: f64,
    pub is_answered: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Spent {
    pub crash: bool,
    pub cut: bool,
    pub late: bool,
    pub pass: bool,
    pub engine_up: bool,
    pub connect: bool,
    pub claims: u64,
}

#[derive(Clone, Debug)]
pub struct World {
    pub now_ms: f64,
    pub old: Predecessor,
    pub new: Successor,
    pub processes: [Process; 2],
    pub link: Link,
    pub wants_to_connect: bool,
    pub attempts: Vec<Attempt>,
    /// Arrivals of the tries that had an effect.
    pub effects: Vec<f64>,
    pub spent: Spent,
    pub wrong: Option<String>,
}

impl World {
    pub fn new(rules: &Rules) -> World {
        let serving = Process { is_alive: true, is_accepting: true, ..Process::default() };
        let starting = Process { is_alive: true, ..Process::default() };
        World {
            now_ms: 1e9,
            old: Predecessor::new(rules.clone(), vec!["rpc".into()], [0; 16]),
            new: Successor::new(rules.clone()),
            processes: [serving, starting],
            link: Link::default(),
            wants_to_connect: true,
            attempts: Vec::new(),
            effects: Vec::new(),
            spent: Spent::default(),
            wrong: None,
        }
    }

    // ---- what may happen ----

    pub fn choices(&self, attempts: usize) -> Vec<Choice> {
        let mut all = Vec::new();
        for side in [OLD, NEW] {
            self.process_choices(side, attempts, &mut all);
        }
        let [old, new] = &self.processes;
        if new.is_alive && self.wants_to_connect {
            all.push(Choice::Connect);
        }
        if new.is_alive && !self.spent.engine_up {
            all.push(Choice::EngineUp);
        }
        if old.is_alive && !old.is_leaving {
            all.push(Choice::Terminate);
        }
        if old.is_alive && old.is_leaving && self.owes_nothing(OLD) {
            all.push(Choice::Exit);
        }
        let is_linked = self.link.is_open == [true, true] && !self.link.is_cut;
        if is_linked && !self.spent.cut {
            all.push(Choice::Cut);
        }
        if !self.spent.late {
            all.push(Choice::Late);
        }
        // Two that cannot talk do not outlive the time that is allowed for: the platform ends the old one.
        if !self.spent.pass && (is_linked || !old.is_alive || !new.is_alive) {
            all.push(Choice::Pass);
        }
        all
    }

    fn process_choices(&self, side: usize, attempts: usize, all: &mut Vec<Choice>) {
        let process = &self.processes[side];
        if !process.is_alive {
            return;
        }
        // The old one has connections from before.
        if self.attempts.len() < attempts && (side == OLD || process.is_accepting) {
            all.push(Choice::Attempt(side));
        }
        match process.entry.as_ref().filter(|entry| entry.is_own).map(|entry| &entry.state) {
            Some(KeyState::Held) => all.extend([Choice::Start(side), Choice::Refuse(side)]),
            Some(KeyState::Ran) => all.push(Choice::Finish(side)),
            _ => {}
        }
        if self.link.is_open[side] {
            if !self.link.queues[side].is_empty() {
                all.push(Choice::Deliver(side));
            }
            if self.link.is_cut || !self.link.is_open[1 - side] {
                all.push(Choice::LinkEnds(side));
            }
        }
        if !self.spent.crash {
            all.push(Choice::Crash(side));
        }
    }

    fn owes_nothing(&self, side: usize) -> bool {
        self.attempts.iter().all(|attempt| attempt.at != side || attempt.is_answered)
    }

    // ---- what happens ----

    pub fn step(&mut self, choice: Choice) {
        match choice {
            Choice::Attempt(side) => self.attempt_at(side),
            Choice::Start(side) => self.start(side),
            Choice::Refuse(side) => self.set_own(side, KeyState::Released),
            Choice::Finish(side) => self.set_own(side, KeyState::Done(vec![7])),
            Choice::Connect => self.connect(),
            Choice::Deliver(side) => self.deliver(side),
            Choice::LinkEnds(side) => {
                self.link.is_open[side] = false;
                self.link.queues[side].clear();
                self.notify_link_ended(side);
            }
            Choice::Crash(side) => {
                self.spent.crash = true;
                self.end_process(side);
            }
            Choice::Exit => self.end_process(OLD),
            Choice::Cut => {
                self.spent.cut = true;
                self.link.is_cut = true;
            }
            Choice::EngineUp => {
                self.spent.engine_up = true;
                self.notify_new(successor::Event::EngineUp);
            }
            Choice::Terminate => self.notify_old(predecessor::Event::Terminate),
            Choice::Late => {
                self.spent.late = true;
                self.pass(LATE_MS);
            }
            Choice::Pass => {
                self.spent.pass = true;
                self.pass(WINDOW_MS + EXIT_MS);
            }
        }
    }

    fn notify_link_ended(&mut self, side: usize) {
        if side == OLD {
            self.notify_old(predecessor::Event::PeerLost);
        } else if self.new.phase() == successor::Phase::Connecting {
            self.notify_new(successor::Event::NoPredecessor(NoPredecessor::Closed));
        } else {
            self.notify_new(successor::Event::PeerLost);
        }
    }

    fn end_process(&mut self, side: usize) {
        self.processes[side] = Process::default();
        if side == OLD && !self.spent.connect {
            // What the only process ran is not known after it, with or without a handover.
            self.effects.clear();
        }
        self.link.is_open[side] = false;
        self.link.queues[side].clear();
        self.attempts
            .iter_mut()
            .filter(|attempt| attempt.at == side)
            .for_each(|attempt| attempt.is_answered = true);
    }

    fn pass(&mut self, ms: f64) {
        self.now_ms += ms;
        self.release_late_held();
        if self.processes[OLD].is_alive {
            self.notify_old(predecessor::Event::Tick);
        }
        if self.processes[NEW].is_alive {
            self.notify_new(successor::Event::Tick);
        }
    }

    /// A held request does not outlive its window: it is given up before.
    fn release_late_held(&mut self) {
        for side in [OLD, NEW] {
            let is_late = self.processes[side].entry.as_ref().is_some_and(|entry| {
                entry.is_own && entry.state == KeyState::Held && self.now_ms >= entry.until_ms
            });
            if is_late {
                self.set_own(side, KeyState::Released);
            }
        }
    }

    fn connect(&mut self) {
        self.wants_to_connect = false;
        self.spent.connect |= self.processes[OLD].is_alive;
        if !self.processes[OLD].is_alive {
            self.notify_new(successor::Event::NoPredecessor(NoPredecessor::Refused));
        } else if self.old.phase() != predecessor::Phase::NoSuccessor {
            self.notify_old(predecessor::Event::PeerConnected);
            self.notify_new(successor::Event::NoPredecessor(NoPredecessor::Closed));
        } else {
            self.link = Link { is_open: [true, true], ..Link::default() };
            self.notify_old(predecessor::Event::PeerConnected);
        }
    }

    fn deliver(&mut self, side: usize) {
        let Some(message) = self.link.queues[side].pop_front() else { return };
        match (side, message) {
            (OLD, message) => self.notify_old(predecessor::Event::Message(message)),
            (_, Message::Hello(hello)) => self.notify_new(successor::Event::PeerConnected(hello)),
            (_, message) => self.notify_new(successor::Event::Message(message)),
        }
    }

    fn send(&mut self, from: usize, message: Message) {
        if self.link.is_open == [true, true] && !self.link.is_cut {
            self.link.queues[1 - from].push_back(message);
        }
    }

    pub fn notify_old(&mut self, event: predecessor::Event) {
        use predecessor::Action;
        let mut actions = Vec::new();
        self.old.handle(self.now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(message) => self.send(OLD, message),
                Action::SendSnapshot => {
                    let entry = self.processes[OLD].entry.iter();
                    let records = entry.map(|entry| record(entry.state.clone(), entry.until_ms)).collect();
                    self.notify_old(predecessor::Event::Snapshot(records));
                }
                Action::DropPeer(_) => self.link.is_open[OLD] = false,
                Action::StopAccepting => self.processes[OLD].is_accepting = false,
                Action::ResumeAccepting => self.processes[OLD].is_accepting = true,
                Action::Grant(id) => self.claim_decided(id, true),
                Action::Deny(id, _) => self.claim_decided(id, false),
                Action::Leave { .. } => {
                    self.processes[OLD].is_leaving = true;
                    self.processes[OLD].is_accepting = false;
                }
                Action::RefusePeer
                | Action::BindAcceptor
                | Action::SetDrained(_)
                | Action::KeysUnknownUntil(_) => {}
            }
        }
    }

    fn notify_new(&mut self, event: successor::Event) {
        use successor::Action;
        let mut actions = Vec::new();
        self.new.handle(self.now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(message) => self.send(NEW, message),
                Action::Reconnect => self.wants_to_connect = true,
                Action::DropPeer(_) => {
                    self.link.is_open[NEW] = false;
                    self.link.queues[NEW].clear();
                }
                Action::BeginServing => self.processes[NEW].is_accepting = true,
                Action::Import(record) => self.import(record),
                Action::DiscardImports => {
                    self.processes[NEW].entry.take_if(|entry| !entry.is_own);
                }
                Action::FailPeerKeys => self.fail_peer_keys(),
                Action::DecideClaim(claim) => {
                    let granted = self.decide(&claim);
                    self.notify_new(successor::Event::ClaimDecided { id: claim.id, granted });
                }
                Action::KeysUnknownUntil(_)
                | Action::SetDrained(_)
                | Action::PeerConnections(_)
                | Action::Leave => {}
            }
        }
    }

    /// Of all that what follows depends on: not the machine of a process that is gone. The time follows from what is spent.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = HashWriter(DefaultHasher::new());
        let old = self.processes[OLD].is_alive.then_some(&self.old);
        let new = self.processes[NEW].is_alive.then_some(&self.new);
        let link = if self.link.is_open == [false, false] { &Link::default() } else { &self.link };
        let rest = (&self.processes, self.wants_to_connect, &self.attempts, &self.effects, &self.spent);
        let _ = write!(hasher, "{old:?}{new:?}{link:?}{rest:?}");
        hasher.0.finish()
    }

    // ---- what has to hold ----

    pub fn check(&mut self) {
        let is_moving = self.wants_to_connect && self.processes[NEW].is_alive
            || (0..2).any(|side| {
                let (is_open, queue) = (self.link.is_open[side], &self.link.queues[side]);
                is_open && (!queue.is_empty() || self.link.is_cut || !self.link.is_open[1 - side])
            });
        if is_moving {
            return;
        }
        let [old, new] = &self.processes;
        let can_accept = old.is_alive && !old.is_leaving || new.is_alive && self.spent.engine_up;
        if can_accept && !old.is_accepting && !new.is_accepting {
            self.wrong = Some("nobody accepts".into());
        }
        let is_running = |process: &Process| {
            process.entry.as_ref().is_some_and(|entry| entry.is_own && entry.state.is_open())
        };
        let is_waiting =
            old.is_alive && self.old.next_due().is_some() || new.is_alive && self.new.next_due().is_some();
        if is_running(old) || is_running(new) || is_waiting {
            return;
        }
        if let Some(number) = self.attempts.iter().position(|attempt| !attempt.is_answered) {
            self.wrong = Some(format!("try {number} waits for nothing"));
        }
    }
}

/// Feeds what is formatted to a hasher.
struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}
