//! Processes of one server, each a core without a socket among stand-ins, on one manual clock. Their handover links are queues
//! of encoded messages with a delay, which can be cut at any point.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use pinepoint::admission::Idempotency;
use pinepoint::config::site::Site;
use pinepoint::server::control::lifecycle::Phase as Life;
use pinepoint::server::control::status::Status;
use pinepoint::server::core::api::{
    Arrival, CoreInput, HandoverTransport, PeerEvent, PeerInbox, Reconfiguration, Reply, RunResult,
};
use pinepoint::server::core::{Core, CoreDependencies, HandoverDependencies, HandoverState};
use pinepoint::server::observability::counters::Counters;
use pinepoint_clock::Clock;
use pinepoint_events::Protocol;
use pinepoint_handover::message::Message;
use pinepoint_handover::ownership::{NoPredecessor, Rules};
use pinepoint_handover::successor::RECONNECT_MS;
use pinepoint_handover::wire;
use serde_json::{Value, json};

use crate::core_harness::{RecordingCaller, RecordingPorts};

/// From the notice to the kill of a process, ms.
pub const STOP_MS: f64 = 8000.0;
/// After the notice the platform kills a process that another one follows, ms.
pub const KILL_AFTER_MS: f64 = 3700.0;
/// Memory of a process, MB.
const MEMORY_MB: f64 = 50.0;
/// How long the answer to a request may come after its due time or, if that is later, its reading, ms: the slack of the
/// rules and two looks of the core.
const ANSWER_SLACK_MS: f64 = 200.0;
/// A wait of a successor for the hello, ms.
const GREETING_MS: f64 = 1000.0;
/// Deadline of all classes, ms.
pub const DEADLINE_MS: f64 = 2000.0;
/// Key window of all keyed classes, ms.
pub const WINDOW_MS: f64 = 2500.0;
/// Added to the window of a key, as by the core.
const WINDOW_MORE_MS: f64 = 1.0;
const START_MS: f64 = 1_000_000.0;

/// A class of the settings: name and effect kind.
pub type ClassSpec = (&'static str, &'static str);

pub const LOOK: ClassSpec = ("look", "read_like");
pub const WRITE: ClassSpec = ("write", "idempotency_key");
pub const PAY: ClassSpec = ("pay", "idempotency_key");
/// The name of a keyed class, as a reload may give it to another kind.
pub const WRITE_AS_READ: ClassSpec = ("write", "read_like");

/// The settings of a site with these classes.
pub fn site(classes: &[ClassSpec]) -> Site {
    let services: Vec<Value> = classes
        .iter()
        .map(|(name, idempotency)| {
            json!({"name": name, "effect": idempotency, "promiseMs": 900, "deadlineMs": DEADLINE_MS, "worth": 1,
                "keyTtlMs": WINDOW_MS})
        })
        .collect();
    let info = json!({"services": services, "contract": {"answerSlackMs": 100, "drainGraceMs": 1000},
        "specifics": {"cores": 2, "heapKb": 100_000, "gauges": ["cpu_busy", "runnable"], "runFactor": 2}});
    Site::from_json(&info).expect("the settings of the test can be read")
}

/// What a core wants of its links, carried out by the world behind each turn.
enum Command {
    Send(Side, Vec<u8>),
    Drop(Side),
    Find,
    Listen,
    Release,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Predecessor,
    Successor,
}

#[derive(Default)]
struct Port(RefCell<Vec<Command>>);

impl Port {
    fn push(&self, command: Command) {
        self.0.borrow_mut().push(command);
    }
    fn send(&self, side: Side, message: &Message) {
        self.push(Command::Send(side, wire::encode(message).expect("each message fits into a frame")));
    }
}

impl HandoverTransport for Port {
    fn send_to_predecessor(&self, message: &Message) {
        self.send(Side::Predecessor, message);
    }
    fn send_to_successor(&self, message: &Message) {
        self.send(Side::Successor, message);
    }
    fn drop_predecessor(&self) {
        self.push(Command::Drop(Side::Predecessor));
    }
    fn drop_successor(&self) {
        self.push(Command::Drop(Side::Successor));
    }
    fn find_predecessor(&self) {
        self.push(Command::Find);
    }
    fn listen_for_successor(&self) {
        self.push(Command::Listen);
    }
    fn release_listeners(&self) {
        self.push(Command::Release);
    }
    fn set_peer_connections(&self, _: usize) {}
}

/// One end of a link: what is on its way to a process.
struct LinkEnd {
    owner: usize,
    /// What the owner takes the other process for.
    side: Side,
    frames: VecDeque<(f64, Vec<u8>)>,
    /// Nothing comes behind the frames.
    closed: bool,
    /// The owner has dropped it, or heard of its end.
    forgotten: bool,
    /// A successor does not see the link before the hello.
    awaits_hello: bool,
    decoder: wire::Decoder,
}

/// A link: the end of the successor and that of the predecessor.
struct Link([LinkEnd; 2]);

/// A request that a process read.
pub struct Read {
    pub correlation_id: u64,
    pub read_ms: f64,
    pub deadline_ms: f64,
    /// It was given up, or its connection was closed, by its caller.
    pub given_up: bool,
    caller: u64,
}

/// A run that an engine was told to begin.
#[derive(Clone, Debug)]
pub struct Run {
    pub process: usize,
    pub attempt_id: String,
    pub over: bool,
    /// The token of a keyed run.
    key: Option<String>,
    arrived_ms: f64,
    until_ms: f64,
    never_ran: bool,
}

pub struct Process {
    pub core: Core,
    pub recorded: Rc<RecordingPorts>,
    pub status: Rc<Status>,
    pub site: Rc<Site>,
    pub reads: Vec<Read>,
    pub alive: bool,
    /// It was told to leave, and when.
    pub notice_ms: Option<f64>,
    /// A successor served when it was told to leave.
    pub had_successor_at_notice: bool,
    /// It has connected to a predecessor, or proved that there is none.
    pub has_looked: bool,
    counters: Rc<Counters>,
    clock: Clock,
    port: Rc<Port>,
    inbox: Rc<PeerInbox>,
    runs_seen: usize,
    is_released: bool,
    /// When it looks for a predecessor again.
    finds_ms: Option<f64>,
    kill_ms: Option<f64>,
}

/// What a request names: of each, the same in all processes.
type Names = (String, Option<String>, f64);

/// The processes, their links and their clients.
pub struct World {
    pub now: f64,
    pub processes: Vec<Process>,
    pub runs: Vec<Run>,
    /// Delay of what is sent from now on, ms.
    pub delay_ms: f64,
    /// Links that ended while both processes lived.
    pub cuts: usize,
    pub crashes: usize,
    /// The core listening at the common path.
    pub listening: Option<usize>,
    links: Vec<Link>,
    last_correlation_id: u64,
    names: BTreeMap<String, Names>,
}

impl World {
    /// A first process, which serves.
    pub fn serving(classes: &[ClassSpec]) -> World {
        let mut world = World {
            now: START_MS,
            processes: Vec::new(),
            runs: Vec::new(),
            delay_ms: 1.0,
            cuts: 0,
            crashes: 0,
            listening: None,
            links: Vec::new(),
            last_correlation_id: 0,
            names: BTreeMap::new(),
        };
        let first = world.start(classes);
        world.engine_up(first);
        world.pass(10.0);
        assert!(world.serves(first));
        world
    }

    /// Starts another process, which looks for the one that listens.
    pub fn start(&mut self, classes: &[ClassSpec]) -> usize {
        let site = Rc::new(site(classes));
        let (recorded, status, counters) =
            (Rc::new(RecordingPorts::default()), Rc::new(Status::default()), Rc::default());
        let (port, inbox): (Rc<Port>, Rc<PeerInbox>) = Default::default();
        let clock = Clock::fixed(self.now);
        let rules = Rules { longest_window_ms: WINDOW_MS + 1000.0, ..Rules::default() };
        status.accepting.set(false);
        let handover = HandoverDependencies {
            transport: port.clone(),
            inbox: inbox.clone(),
            rules,
            listener_names: vec!["rpc".to_owned()],
        };
        let core = Core::new(CoreDependencies {
            site: site.clone(),
            seed: 5,
            stop_ms: STOP_MS,
            memory_mb: MEMORY_MB,
            clock: clock.clone(),
            status: status.clone(),
            counters: Rc::clone(&counters),
            observer: recorded.clone(),
            engine: recorded.clone(),
            store: recorded.clone(),
            open_sockets: recorded.clone(),
            handover: Some(handover),
        });
        let index = self.processes.len();
        self.processes.push(Process {
            core,
            recorded,
            status,
            site,
            reads: Vec::new(),
            alive: true,
            notice_ms: None,
            had_successor_at_notice: false,
            has_looked: false,
            counters,
            clock,
            port,
            inbox,
            runs_seen: 0,
            is_released: false,
            finds_ms: Some(self.now),
            kill_ms: None,
        });
        self.pass(0.0);
        index
    }

    pub fn engine_up(&mut self, index: usize) {
        self.turn(index, |core, now| core.handle(now, CoreInput::EngineAttached { cold: false, ms: 9000.0 }));
    }

    pub fn life(&self, index: usize) -> Life {
        self.processes[index].core.phase()
    }

    pub fn serves(&self, index: usize) -> bool {
        self.processes[index].alive && matches!(self.life(index), Life::Serving | Life::LameDuck)
    }

    pub fn handover_state(&self, index: usize) -> HandoverState {
        self.processes[index].core.handover_state(self.now)
    }

    /// The process reads a request of the class of this name; nothing happens if it does not know the class. Returns the
    /// name of the try.
    pub fn arrive(
        &mut self,
        index: usize,
        class: &str,
        token: u8,
        age_ms: f64,
        caller: u64,
    ) -> Option<String> {
        let process = &self.processes[index];
        let class_index = process.site.class_of(class, self.now)?;
        let keyed = process.site.settings.classes[class_index].idempotency == Idempotency::Keyed;
        self.last_correlation_id += 1;
        let correlation_id = self.last_correlation_id;
        let attempt_id = format!("r{correlation_id}");
        let arrived_ms = self.now - age_ms;
        let token = keyed.then(|| format!("k{token}"));
        self.names.insert(attempt_id.clone(), (class.to_owned(), token.clone(), arrived_ms));
        let arrival = Arrival {
            caller: Rc::new(RecordingCaller(caller, process.recorded.clone())),
            front: Protocol::Rpc,
            correlation_id,
            attempt_id: attempt_id.clone(),
            class: class_index,
            arrived_ms,
            again: false,
            est_ms: Some(100.0),
            mem_kb: 40.0,
            body: token.clone().unwrap_or_default().into_bytes(),
            token,
            subject: None,
            tenant: None,
        };
        let read = Read {
            correlation_id,
            read_ms: self.now,
            deadline_ms: arrived_ms + DEADLINE_MS,
            given_up: false,
            caller,
        };
        self.processes[index].reads.push(read);
        self.turn(index, |core, now| core.handle(now, CoreInput::RequestReceived(Box::new(arrival))));
        Some(attempt_id)
    }

    /// The caller gives up one of its requests at this process.
    pub fn give_up(&mut self, index: usize, pick: usize) {
        let open: Vec<(u64, u64)> = self.open_reads(index);
        let Some(&(caller, correlation_id)) = open.get(pick.checked_rem(open.len()).unwrap_or(0)) else {
            return;
        };
        let reads = self.processes[index].reads.iter_mut();
        reads.filter(|read| read.correlation_id == correlation_id).for_each(|read| read.given_up = true);
        self.turn(index, |core, now| core.handle(now, CoreInput::CallerGone { caller, correlation_id }));
    }

    /// A connection to this process is closed by its caller.
    pub fn close(&mut self, index: usize, caller: u64) {
        let reads = self.processes[index].reads.iter_mut();
        reads.filter(|read| read.caller == caller).for_each(|read| read.given_up = true);
        self.turn(index, |core, now| core.handle(now, CoreInput::ConnectionClosed { caller }));
    }

    /// Caller and ticket of each request without an answer.
    fn open_reads(&self, index: usize) -> Vec<(u64, u64)> {
        let process = &self.processes[index];
        let open = process.reads.iter().filter(|read| !read.given_up && process.answers(read).is_empty());
        open.map(|read| (read.caller, read.correlation_id)).collect()
    }

    /// The answers to the request of this name.
    pub fn answers(&self, index: usize, attempt_id: &str) -> Vec<Reply> {
        let process = &self.processes[index];
        let read = process.reads.iter().find(|read| format!("r{}", read.correlation_id) == attempt_id);
        read.map_or(Vec::new(), |read| process.answers(read))
    }

    /// How many times the request of this name was begun on an engine.
    pub fn times_run(&self, attempt_id: &str) -> usize {
        self.runs.iter().filter(|run| run.attempt_id == attempt_id).count()
    }

    /// Ends a run that is under way, one of those of living processes.
    pub fn end_run(&mut self, pick: usize, end: RunResult) {
        let running = |run: &Run| !run.over && self.processes[run.process].alive;
        let running: Vec<usize> = (0..self.runs.len()).filter(|at| running(&self.runs[*at])).collect();
        let Some(&at) = running.get(pick.checked_rem(running.len()).unwrap_or(0)) else { return };
        let run = &mut self.runs[at];
        (run.over, run.never_ran) = (true, end == RunResult::Unknown);
        let (index, attempt_id) = (run.process, run.attempt_id.clone());
        self.turn(index, |core, now| core.handle(now, CoreInput::RunEnded { attempt_id, result: end }));
    }

    pub fn set_lame_duck(&mut self, index: usize, drained: bool) {
        self.turn(index, |core, now| core.set_lame_duck(now, drained));
    }

    /// SIGTERM; the kill follows in its time.
    pub fn terminate(&mut self, index: usize) {
        let now = self.now;
        let successor = index + 1;
        let has_successor =
            successor < self.processes.len() && self.serves(successor) && self.is_linked(index, successor);
        let process = &mut self.processes[index];
        if process.notice_ms.is_none() {
            process.notice_ms = Some(now);
            process.had_successor_at_notice = has_successor;
            process.kill_ms = Some(now + KILL_AFTER_MS);
            self.turn(index, |core, now| core.start_drain(now, now));
        }
    }

    /// A reload that puts these classes in force.
    pub fn reload(&mut self, index: usize, classes: &[ClassSpec]) {
        let merged = self.processes[index].site.merged_with(site(classes), self.now);
        let site = Rc::new(merged.expect("there is room for a few classes"));
        self.processes[index].site = site.clone();
        let settings = Reconfiguration { site, stop_ms: STOP_MS, memory_mb: MEMORY_MB };
        self.turn(index, |core, now| core.handle(now, CoreInput::Reconfigure(settings)));
    }

    /// SIGKILL. Of what it has sent, so many messages still arrive.
    pub fn crash(&mut self, index: usize, kept: usize) {
        if !self.processes[index].alive {
            return;
        }
        self.crashes += 1;
        self.end_process(index, kept);
        let told = |process: &Process| process.alive && process.has_looked;
        // Nobody knows what the only process knew.
        if !self.processes.iter().any(told) {
            self.runs.iter_mut().for_each(|run| run.never_ran = true);
        }
    }

    fn end_process(&mut self, index: usize, kept: usize) {
        self.processes[index].alive = false;
        self.processes[index].finds_ms = None;
        for link in &mut self.links {
            if link.0.iter().any(|end| end.owner == index) {
                link.close(kept);
                let own = link.0.iter_mut().filter(|end| end.owner == index);
                own.for_each(|end| end.forgotten = true);
            }
        }
    }

    /// Cuts all links; of what is on its way, so many messages still arrive in each direction.
    pub fn cut(&mut self, kept: usize) {
        let open = |link: &Link| !link.0.iter().any(|end| end.closed);
        self.cuts += self.links.iter().filter(|link| open(link)).count();
        self.links.iter_mut().for_each(|link| link.close(kept));
    }

    /// Whether a link between these processes stands.
    pub fn is_linked(&self, older: usize, newer: usize) -> bool {
        let is = |link: &Link| {
            let [to_newer, to_older] = &link.0;
            (to_newer.owner, to_older.owner) == (newer, older)
                && link.0.iter().all(|end| !end.closed && !end.forgotten)
        };
        self.links.iter().any(is)
    }

    /// Lets time pass: links deliver, cores act when they have to, kills come.
    pub fn pass(&mut self, ms: f64) {
        let until = self.now + ms;
        let mut turns = 0;
        while let Some(at) = self.next_event().filter(|at| *at <= until) {
            turns += 1;
            assert!(f64::from(turns) < 2000.0 + 4.0 * ms, "{turns} turns in {ms} ms: it does not wait");
            self.now = self.now.max(at);
            self.act();
        }
        self.now = until;
        self.act();
    }

    fn next_event(&self) -> Option<f64> {
        let living = || self.processes.iter().filter(|process| process.alive);
        let cores = living().filter_map(|process| process.core.next_due());
        let others = living().flat_map(|process| [process.finds_ms, process.kill_ms]).flatten();
        let links = self.links.iter().flat_map(|link| &link.0).filter_map(|end| end.next_due(self.now));
        cores.chain(others).chain(links).min_by(f64::total_cmp)
    }

    /// Everything that is due now.
    fn act(&mut self) {
        for index in 0..self.processes.len() {
            if !self.processes[index].alive {
                continue;
            }
            if self.processes[index].kill_ms.is_some_and(|at| at <= self.now) {
                self.crash(index, usize::MAX);
                continue;
            }
            if self.processes[index].finds_ms.is_some_and(|at| at <= self.now) {
                self.processes[index].finds_ms = None;
                self.find_predecessor(index);
            }
            self.turn(index, |_, _| ());
            let tag = self.processes[index].recorded.last_gauge_tag.replace(0);
            if tag > 0 && self.processes[index].alive {
                self.turn(index, |core, now| {
                    core.handle(now, CoreInput::Gauges { tag, values: vec![0.1, 0.2] })
                });
            }
        }
    }

    /// One turn of a core, in the order of its task.
    fn turn(&mut self, index: usize, input: impl FnOnce(&mut Core, f64)) {
        if !self.processes[index].alive {
            return;
        }
        self.deliver(index);
        let now = self.now;
        let process = &mut self.processes[index];
        process.clock.set(now);
        process.core.handle_peer_events(now);
        input(&mut process.core, now);
        process.core.process_batch(now);
        self.carry_out(index);
        self.note_runs(index);
        self.check(index);
        if self.life(index) == Life::Terminated {
            self.end_process(index, usize::MAX);
        }
    }

    // ---- links ----

    fn find_predecessor(&mut self, index: usize) {
        let reason = match self.listening {
            None => NoPredecessor::NoSocket,
            Some(older) if older == index || !self.processes[older].alive => NoPredecessor::Refused,
            Some(older) if self.processes[older].is_released => NoPredecessor::BadListeners,
            Some(older) if self.open_end(older, Side::Successor).is_some() => NoPredecessor::Closed,
            Some(older) => {
                self.links.push(Link([
                    LinkEnd::new(index, Side::Predecessor, true),
                    LinkEnd::new(older, Side::Successor, false),
                ]));
                self.processes[older].inbox.push(PeerEvent::SuccessorFound);
                self.turn(older, |_, _| ());
                return;
            }
        };
        self.processes[index].has_looked = true;
        self.processes[index].inbox.push(PeerEvent::NoPredecessor(reason));
    }

    /// The link of a process to that side, by its place and the place of the end.
    fn open_end(&self, owner: usize, side: Side) -> Option<(usize, usize)> {
        let is = |end: &LinkEnd| end.owner == owner && end.side == side && !end.forgotten;
        let mut links = self.links.iter().enumerate();
        links.find_map(|(at, link)| Some((at, link.0.iter().position(is)?)))
    }

    /// Puts what has arrived into the inbox of a process.
    fn deliver(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        let ends = self.links.iter_mut().flat_map(|link| &mut link.0);
        for end in ends.filter(|end| end.owner == index && !end.forgotten) {
            while end.frames.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, frame)) = end.frames.pop_front() else { break };
                end.decoder.push(&frame);
                while let Some(message) = end.decoder.next_message().expect("what was encoded is read") {
                    process.inbox.push(match (end.side, message) {
                        (Side::Predecessor, Message::Hello(hello)) if end.awaits_hello => {
                            end.awaits_hello = false;
                            process.has_looked = true;
                            PeerEvent::PredecessorFound(hello)
                        }
                        (Side::Predecessor, message) => PeerEvent::FromPredecessor(message),
                        (Side::Successor, message) => PeerEvent::FromSuccessor(message),
                    });
                }
            }
            if end.closed && end.frames.is_empty() {
                end.forgotten = true;
                process.inbox.push(match end.side {
                    Side::Predecessor if end.awaits_hello => {
                        process.has_looked = true;
                        PeerEvent::NoPredecessor(NoPredecessor::Closed)
                    }
                    Side::Predecessor => PeerEvent::PredecessorLost,
                    Side::Successor => PeerEvent::SuccessorLost,
                });
            }
        }
    }

    fn carry_out(&mut self, index: usize) {
        let commands = std::mem::take(&mut *self.processes[index].port.0.borrow_mut());
        for command in commands {
            match command {
                Command::Send(side, frame) => {
                    let Some((link, end)) = self.open_end(index, side) else { continue };
                    let at = self.now + self.delay_ms;
                    self.links[link].0[1 - end].send(at, frame);
                }
                Command::Drop(side) => {
                    let Some((link, end)) = self.open_end(index, side) else { continue };
                    self.links[link].0[end].forgotten = true;
                    self.links[link].close(usize::MAX);
                    self.cuts += 1;
                }
                Command::Find => self.processes[index].finds_ms = Some(self.now + RECONNECT_MS),
                Command::Listen => self.listening = Some(index),
                Command::Release => self.processes[index].is_released = true,
            }
        }
    }

    // ---- what has to hold ----

    /// No key runs twice in its window, on whichever engine.
    fn note_runs(&mut self, index: usize) {
        let begun: Vec<String> = {
            let process = &mut self.processes[index];
            let runs = process.recorded.runs.borrow();
            let begun = runs[process.runs_seen..].to_vec();
            process.runs_seen = runs.len();
            begun
        };
        for attempt_id in begun {
            // Under whatever class its tries come: the token names the request.
            let (_, key, arrived_ms) = self.names[&attempt_id].clone();
            if key.is_some() {
                let same = self.runs.iter().filter(|run| run.key == key && !run.never_ran);
                for earlier in same {
                    assert!(
                        arrived_ms >= earlier.until_ms,
                        "key {key:?} runs as {attempt_id} in process {index} at {}, t0 {arrived_ms}, and ran as {earlier:?}",
                        self.now
                    );
                }
            }
            let until_ms = arrived_ms + WINDOW_MS + WINDOW_MORE_MS;
            self.runs.push(Run {
                process: index,
                attempt_id,
                over: false,
                key,
                arrived_ms,
                until_ms,
                never_ran: false,
            });
        }
    }

    /// What has to hold of a process after each turn.
    fn check(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        let (state, handover) = (process.core.state(), process.core.handover_state(now));
        for class in 0..process.site.settings.classes.len() {
            let counted = process.counters.class(class).open();
            let open = state.open[class] + handover.waiting[class];
            assert_eq!(counted, open, "open requests of class {class} of process {index} at {now}");
        }
        for read in &process.reads {
            let answers = process.answers(read).len();
            assert!(answers <= 1, "{} answered {answers} times by process {index}", read.correlation_id);
            let late = now > read.deadline_ms.max(read.read_ms) + ANSWER_SLACK_MS;
            assert!(
                answers == 1 || read.given_up || !late,
                "{} of process {index}, due at {}, read at {}, is not answered at {now}",
                read.correlation_id,
                read.deadline_ms,
                read.read_ms
            );
        }
    }

    /// What has to hold once all is quiet.
    pub fn settle_and_check(&mut self) {
        self.delay_ms = 1.0;
        for _ in 0..400 {
            if !self.runs.iter().any(|run| !run.over && self.processes[run.process].alive) {
                break;
            }
            self.end_run(0, RunResult::Complete([1].as_slice().into()));
        }
        self.pass(3000.0);
        for index in 0..self.processes.len() {
            let process = &self.processes[index];
            if !process.alive {
                continue;
            }
            let state = process.core.handover_state(self.now);
            assert_eq!(state.remote_attempts, 0, "remote tries of process {index} once all runs are over");
            assert_eq!(state.waiting.iter().sum::<u64>(), 0, "claims of process {index} once all is quiet");
        }
        self.check_lists();
        self.check_drains();
    }

    /// Of a server that was handed over without a fault, the list is told by the new process alone.
    fn check_lists(&self) {
        let [old, new] = &self.processes[..] else { return };
        let handed_over = old.had_successor_at_notice && self.crashes == 0 && self.cuts == 0;
        if !handed_over || !self.serves(1) {
            return;
        }
        assert_eq!(old.status.registered.get(), None, "the old process says nothing any more");
        let drained = self.life(1) == Life::LameDuck;
        assert_eq!(new.status.registered.get(), Some(!drained));
    }

    fn check_drains(&self) {
        if self.processes.len() == 2 && self.serves(0) && self.serves(1) && self.is_linked(0, 1) {
            assert_eq!(self.life(0), self.life(1), "both are drained or neither is");
        }
    }
}

impl Process {
    fn answers(&self, read: &Read) -> Vec<Reply> {
        self.recorded.answers.borrow().get(&(read.caller, read.correlation_id)).cloned().unwrap_or_default()
    }
}

impl Link {
    /// Nothing more is sent; of what is on its way, so many messages still arrive in each direction.
    fn close(&mut self, kept: usize) {
        for end in &mut self.0 {
            if !end.closed {
                end.closed = true;
                end.frames.truncate(kept);
            }
        }
    }
}

impl LinkEnd {
    fn new(owner: usize, side: Side, awaits_hello: bool) -> LinkEnd {
        let (frames, decoder) = Default::default();
        LinkEnd { owner, side, frames, closed: false, forgotten: false, awaits_hello, decoder }
    }

    /// In order: not before what was sent earlier.
    fn send(&mut self, at_ms: f64, frame: Vec<u8>) {
        if !self.closed {
            let after = self.frames.back().map_or(at_ms, |(at, _)| at.max(at_ms));
            self.frames.push_back((after, frame));
        }
    }

    fn next_due(&self, now: f64) -> Option<f64> {
        if self.forgotten {
            return None;
        }
        let closed = self.closed.then_some(now);
        self.frames.front().map(|(at, _)| *at).or(closed)
    }
}

/// The ends of runs.
pub fn run_end(how: u8) -> RunResult {
    match how % 4 {
        0 | 1 => RunResult::Complete(vec![how; 200].as_slice().into()),
        2 => RunResult::Error,
        _ => RunResult::Unknown,
    }
}
