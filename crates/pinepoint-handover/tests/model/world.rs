//! The modelled world: two processes around the two state machines, the possible next steps, their effects,
//! and the invariants.

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
/// Longer than any timeout of the state machines, shorter than a window.
pub const TIMEOUT_STEP_MS: f64 = 5_000.0;
pub const PREDECESSOR: usize = 0;
pub const SUCCESSOR: usize = 1;

/// One step of the world around the state machines. An operand is the index of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// The process reads an attempt.
    Attempt(usize),
    /// The held request of the process starts, is rejected, or finishes.
    Start(usize),
    Reject(usize),
    Finish(usize),
    /// The successor connects.
    Connect,
    /// The next message reaches the process, or the end of the link does, ahead of the messages still in
    /// transit.
    Deliver(usize),
    LinkEnds(usize),
    Crash(usize),
    Cut,
    EngineUp,
    Terminate,
    Exit,
    /// The timeouts of the state machines expire.
    TimeoutsExpire,
    /// A window passes, and the time for which an unreachable peer may continue to run requests.
    WindowPasses,
}

/// The state of a process outside its state machine.
#[derive(Clone, Debug, Default)]
pub struct Process {
    pub is_alive: bool,
    pub is_accepting: bool,
    pub is_leaving: bool,
    pub entry: Option<Entry>,
    /// The id of the pending claim, and the attempts that wait for it.
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

/// Which of the steps that may occur once have occurred, and the number of claims so far.
#[derive(Clone, Debug, Default)]
pub struct OneTimeSteps {
    pub crashed: bool,
    pub link_cut: bool,
    pub timeouts_expired: bool,
    pub window_passed: bool,
    pub engine_up: bool,
    pub connected: bool,
    pub claims: u64,
}

#[derive(Clone, Debug)]
pub struct World {
    pub now_ms: f64,
    pub predecessor: Predecessor,
    pub successor: Successor,
    pub processes: [Process; 2],
    pub link: Link,
    pub wants_to_connect: bool,
    pub attempts: Vec<Attempt>,
    /// Arrival times of the attempts that had an effect, Unix ms.
    pub effects: Vec<f64>,
    pub occurred: OneTimeSteps,
    pub violation: Option<String>,
}

impl World {
    pub fn new(rules: &Rules) -> World {
        let serving = Process { is_alive: true, is_accepting: true, ..Process::default() };
        let starting = Process { is_alive: true, ..Process::default() };
        World {
            now_ms: 1e9,
            predecessor: Predecessor::new(rules.clone(), vec!["rpc".into()], [0; 16]),
            successor: Successor::new(rules.clone()),
            processes: [serving, starting],
            link: Link::default(),
            wants_to_connect: true,
            attempts: Vec::new(),
            effects: Vec::new(),
            occurred: OneTimeSteps::default(),
            violation: None,
        }
    }

    // ---- possible steps ----

    pub fn possible_steps(&self, max_attempts: usize) -> Vec<Step> {
        let mut steps = Vec::new();
        for side in [PREDECESSOR, SUCCESSOR] {
            self.possible_process_steps(side, max_attempts, &mut steps);
        }
        let [predecessor, successor] = &self.processes;
        if successor.is_alive && self.wants_to_connect {
            steps.push(Step::Connect);
        }
        if successor.is_alive && !self.occurred.engine_up {
            steps.push(Step::EngineUp);
        }
        if predecessor.is_alive && !predecessor.is_leaving {
            steps.push(Step::Terminate);
        }
        if predecessor.is_alive && predecessor.is_leaving && self.has_answered_all(PREDECESSOR) {
            steps.push(Step::Exit);
        }
        let is_linked = self.link.is_open == [true, true] && !self.link.is_cut;
        if is_linked && !self.occurred.link_cut {
            steps.push(Step::Cut);
        }
        if !self.occurred.timeouts_expired {
            steps.push(Step::TimeoutsExpire);
        }
        // Two processes without a link do not both outlive `EXIT_MS`: the platform ends the predecessor.
        if !self.occurred.window_passed && (is_linked || !predecessor.is_alive || !successor.is_alive) {
            steps.push(Step::WindowPasses);
        }
        steps
    }

    fn possible_process_steps(&self, side: usize, max_attempts: usize, steps: &mut Vec<Step>) {
        let process = &self.processes[side];
        if !process.is_alive {
            return;
        }
        // The predecessor has connections from before the handover.
        if self.attempts.len() < max_attempts && (side == PREDECESSOR || process.is_accepting) {
            steps.push(Step::Attempt(side));
        }
        match process.entry.as_ref().filter(|entry| entry.is_own).map(|entry| &entry.state) {
            Some(KeyState::Held) => steps.extend([Step::Start(side), Step::Reject(side)]),
            Some(KeyState::Ran) => steps.push(Step::Finish(side)),
            _ => {}
        }
        if self.link.is_open[side] {
            if !self.link.queues[side].is_empty() {
                steps.push(Step::Deliver(side));
            }
            if self.link.is_cut || !self.link.is_open[1 - side] {
                steps.push(Step::LinkEnds(side));
            }
        }
        if !self.occurred.crashed {
            steps.push(Step::Crash(side));
        }
    }

    fn has_answered_all(&self, side: usize) -> bool {
        self.attempts.iter().all(|attempt| attempt.at != side || attempt.is_answered)
    }

    // ---- effects of the steps ----

    pub fn apply(&mut self, step: Step) {
        match step {
            Step::Attempt(side) => self.attempt_at(side),
            Step::Start(side) => self.start_run(side),
            Step::Reject(side) => self.set_own_state(side, KeyState::Released),
            Step::Finish(side) => self.set_own_state(side, KeyState::Done(vec![7])),
            Step::Connect => self.connect(),
            Step::Deliver(side) => self.deliver(side),
            Step::LinkEnds(side) => {
                self.link.is_open[side] = false;
                self.link.queues[side].clear();
                self.notify_link_ended(side);
            }
            Step::Crash(side) => {
                self.occurred.crashed = true;
                self.end_process(side);
            }
            Step::Exit => self.end_process(PREDECESSOR),
            Step::Cut => {
                self.occurred.link_cut = true;
                self.link.is_cut = true;
            }
            Step::EngineUp => {
                self.occurred.engine_up = true;
                self.notify_successor(successor::Event::EngineUp);
            }
            Step::Terminate => self.notify_predecessor(predecessor::Event::Terminate),
            Step::TimeoutsExpire => {
                self.occurred.timeouts_expired = true;
                self.advance_time(TIMEOUT_STEP_MS);
            }
            Step::WindowPasses => {
                self.occurred.window_passed = true;
                self.advance_time(WINDOW_MS + EXIT_MS);
            }
        }
    }

    fn notify_link_ended(&mut self, side: usize) {
        if side == PREDECESSOR {
            self.notify_predecessor(predecessor::Event::PeerLost);
        } else if self.successor.phase() == successor::Phase::Connecting {
            self.notify_successor(successor::Event::NoPredecessor(NoPredecessor::Closed));
        } else {
            self.notify_successor(successor::Event::PeerLost);
        }
    }

    fn end_process(&mut self, side: usize) {
        self.processes[side] = Process::default();
        if side == PREDECESSOR && !self.occurred.connected {
            // Keys that a process ran before any successor connected are lost with it, with or without a
            // handover.
            self.effects.clear();
        }
        self.link.is_open[side] = false;
        self.link.queues[side].clear();
        self.attempts
            .iter_mut()
            .filter(|attempt| attempt.at == side)
            .for_each(|attempt| attempt.is_answered = true);
    }

    fn advance_time(&mut self, ms: f64) {
        self.now_ms += ms;
        self.release_overdue_held();
        if self.processes[PREDECESSOR].is_alive {
            self.notify_predecessor(predecessor::Event::Tick);
        }
        if self.processes[SUCCESSOR].is_alive {
            self.notify_successor(successor::Event::Tick);
        }
    }

    /// Rejects held requests whose window is over: a request is not queued for longer.
    fn release_overdue_held(&mut self) {
        for side in [PREDECESSOR, SUCCESSOR] {
            let is_overdue = self.processes[side].entry.as_ref().is_some_and(|entry| {
                entry.is_own && entry.state == KeyState::Held && self.now_ms >= entry.until_ms
            });
            if is_overdue {
                self.set_own_state(side, KeyState::Released);
            }
        }
    }

    fn connect(&mut self) {
        self.wants_to_connect = false;
        self.occurred.connected |= self.processes[PREDECESSOR].is_alive;
        if !self.processes[PREDECESSOR].is_alive {
            self.notify_successor(successor::Event::NoPredecessor(NoPredecessor::Refused));
        } else if self.predecessor.phase() != predecessor::Phase::NoSuccessor {
            self.notify_predecessor(predecessor::Event::PeerConnected);
            self.notify_successor(successor::Event::NoPredecessor(NoPredecessor::Closed));
        } else {
            self.link = Link { is_open: [true, true], ..Link::default() };
            self.notify_predecessor(predecessor::Event::PeerConnected);
        }
    }

    fn deliver(&mut self, side: usize) {
        let Some(message) = self.link.queues[side].pop_front() else { return };
        match (side, message) {
            (PREDECESSOR, message) => self.notify_predecessor(predecessor::Event::Message(message)),
            (_, Message::Hello(hello)) => self.notify_successor(successor::Event::PeerConnected(hello)),
            (_, message) => self.notify_successor(successor::Event::Message(message)),
        }
    }

    fn send(&mut self, from: usize, message: Message) {
        if self.link.is_open == [true, true] && !self.link.is_cut {
            self.link.queues[1 - from].push_back(message);
        }
    }

    pub fn notify_predecessor(&mut self, event: predecessor::Event) {
        use predecessor::Action;
        let mut actions = Vec::new();
        self.predecessor.handle(self.now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(message) => self.send(PREDECESSOR, message),
                Action::SendSnapshot => {
                    let entry = self.processes[PREDECESSOR].entry.iter();
                    let records = entry.map(|entry| record(entry.state.clone(), entry.until_ms)).collect();
                    self.notify_predecessor(predecessor::Event::Snapshot(records));
                }
                Action::DropPeer(_) => self.link.is_open[PREDECESSOR] = false,
                Action::StopAccepting => self.processes[PREDECESSOR].is_accepting = false,
                Action::ResumeAccepting => self.processes[PREDECESSOR].is_accepting = true,
                Action::Grant(id) => self.claim_decided(id, true),
                Action::Deny(id, _) => self.claim_decided(id, false),
                Action::Leave { .. } => {
                    self.processes[PREDECESSOR].is_leaving = true;
                    self.processes[PREDECESSOR].is_accepting = false;
                }
                Action::RefusePeer
                | Action::BindAcceptor
                | Action::SetDrained(_)
                | Action::KeysUnknownUntil(_) => {}
            }
        }
    }

    fn notify_successor(&mut self, event: successor::Event) {
        use successor::Action;
        let mut actions = Vec::new();
        self.successor.handle(self.now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Send(message) => self.send(SUCCESSOR, message),
                Action::Reconnect => self.wants_to_connect = true,
                Action::DropPeer(_) => {
                    self.link.is_open[SUCCESSOR] = false;
                    self.link.queues[SUCCESSOR].clear();
                }
                Action::BeginServing => self.processes[SUCCESSOR].is_accepting = true,
                Action::Import(record) => self.import(record),
                Action::DiscardImports => {
                    self.processes[SUCCESSOR].entry.take_if(|entry| !entry.is_own);
                }
                Action::FailPeerKeys => self.fail_peer_keys(),
                Action::DecideClaim(claim) => {
                    let granted = self.decide_claim(&claim);
                    self.notify_successor(successor::Event::ClaimDecided { id: claim.id, granted });
                }
                Action::KeysUnknownUntil(_)
                | Action::SetDrained(_)
                | Action::PeerConnections(_)
                | Action::Leave => {}
            }
        }
    }

    /// A hash of all state that later steps depend on. The state machine of an ended process is not part of
    /// it, and the time follows from the steps that have occurred.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = HashWriter(DefaultHasher::new());
        let predecessor = self.processes[PREDECESSOR].is_alive.then_some(&self.predecessor);
        let successor = self.processes[SUCCESSOR].is_alive.then_some(&self.successor);
        let link = if self.link.is_open == [false, false] { &Link::default() } else { &self.link };
        let rest = (&self.processes, self.wants_to_connect, &self.attempts, &self.effects, &self.occurred);
        let _ = write!(hasher, "{predecessor:?}{successor:?}{link:?}{rest:?}");
        hasher.0.finish()
    }

    // ---- invariants ----

    pub fn check_invariants(&mut self) {
        let has_pending_steps = self.wants_to_connect && self.processes[SUCCESSOR].is_alive
            || (0..2).any(|side| {
                let (is_open, queue) = (self.link.is_open[side], &self.link.queues[side]);
                is_open && (!queue.is_empty() || self.link.is_cut || !self.link.is_open[1 - side])
            });
        if has_pending_steps {
            return;
        }
        let [predecessor, successor] = &self.processes;
        let can_accept =
            predecessor.is_alive && !predecessor.is_leaving || successor.is_alive && self.occurred.engine_up;
        if can_accept && !predecessor.is_accepting && !successor.is_accepting {
            self.violation = Some("no process accepts connections".into());
        }
        let is_running = |process: &Process| {
            process.entry.as_ref().is_some_and(|entry| entry.is_own && entry.state.is_open())
        };
        let is_waiting = predecessor.is_alive && self.predecessor.next_due().is_some()
            || successor.is_alive && self.successor.next_due().is_some();
        if is_running(predecessor) || is_running(successor) || is_waiting {
            return;
        }
        if let Some(number) = self.attempts.iter().position(|attempt| !attempt.is_answered) {
            self.violation = Some(format!("attempt {number} stays without an answer"));
        }
    }
}

/// Feeds formatted text to a hasher.
struct HashWriter(DefaultHasher);

impl Write for HashWriter {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}
