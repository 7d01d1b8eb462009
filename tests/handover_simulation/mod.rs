//! A simulation of the processes of one server during upgrades. Each process is a core without sockets, with
//! recording ports. All processes share one manual clock. The tests drive callers, engines and the platform.

use std::collections::BTreeMap;
use std::rc::Rc;

use pinepoint::admission::Idempotency;
use pinepoint::server::control::lifecycle::Phase as LifecyclePhase;
use pinepoint::server::control::status::Status;
use pinepoint::server::core::api::{Arrival, CoreInput, PeerInbox, Reconfiguration, Reply, RunResult};
use pinepoint::server::core::{Core, CoreDependencies, HandoverDependencies, HandoverState};
use pinepoint_clock::Clock;
use pinepoint_events::Protocol;
use pinepoint_handover::ownership::Rules;

mod checks;
mod links;
mod process;
mod site;

use self::links::{Link, Port};
use self::process::{Process, ReceivedRequest, Run};
pub use self::site::{ClassSpec, LOOK, PAY, TIMEOUT_MS, WINDOW_MS, WRITE, WRITE_AS_READ};
use crate::core_harness::{RecordingCaller, RecordingPorts};

/// From the notice to the kill of a process, ms.
pub const STOP_MS: f64 = 8000.0;
/// From the notice to the kill by the platform of a process that has a successor, ms.
pub const HANDOVER_KILL_MS: f64 = 3700.0;
/// Memory of a process, MB.
const MEMORY_MB: f64 = 50.0;
const START_MS: f64 = 1_000_000.0;

/// The identity of a request in all processes.
struct RequestIdentity {
    /// Its idempotency key, in a keyed class.
    key: Option<String>,
    arrived_ms: f64,
}

/// The processes, their links and their callers.
pub struct Simulation {
    pub now: f64,
    pub processes: Vec<Process>,
    pub runs: Vec<Run>,
    /// Delay of messages that are sent from now on, ms.
    pub delay_ms: f64,
    /// How long callers wait, ms, where they say so.
    pub timeout_ms: Option<f64>,
    /// Links that were closed while both processes were alive.
    pub cuts: usize,
    pub crashes: usize,
    /// Index of the process that listens at the common path.
    pub listening: Option<usize>,
    links: Vec<Link>,
    last_correlation_id: u64,
    /// By attempt id.
    identities: BTreeMap<String, RequestIdentity>,
}

impl Simulation {
    /// A simulation with a first process, which already serves.
    pub fn serving(classes: &[ClassSpec]) -> Simulation {
        let mut simulation = Simulation {
            now: START_MS,
            processes: Vec::new(),
            runs: Vec::new(),
            delay_ms: 1.0,
            timeout_ms: None,
            cuts: 0,
            crashes: 0,
            listening: None,
            links: Vec::new(),
            last_correlation_id: 0,
            identities: BTreeMap::new(),
        };
        let first = simulation.start(classes);
        simulation.engine_up(first);
        simulation.advance(10.0);
        assert!(simulation.serves(first));
        simulation
    }

    /// Starts another process, which looks for the process that listens for a successor. Returns the index of
    /// the new process.
    pub fn start(&mut self, classes: &[ClassSpec]) -> usize {
        let site = Rc::new(site::site(classes));
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
            received: Vec::new(),
            alive: true,
            notice_ms: None,
            had_successor_at_notice: false,
            has_searched_predecessor: false,
            counters,
            clock,
            port,
            inbox,
            runs_seen: 0,
            has_released_listeners: false,
            reconnect_ms: Some(self.now),
            kill_ms: None,
        });
        self.advance(0.0);
        index
    }

    pub fn engine_up(&mut self, index: usize) {
        self.run_batch(index, |core, now| {
            core.handle(now, CoreInput::EngineAttached { cold: false, since_start_ms: 9000.0 })
        });
    }

    pub fn phase(&self, index: usize) -> LifecyclePhase {
        self.processes[index].core.phase()
    }

    pub fn serves(&self, index: usize) -> bool {
        self.processes[index].alive
            && matches!(self.phase(index), LifecyclePhase::Serving | LifecyclePhase::LameDuck)
    }

    pub fn handover_state(&self, index: usize) -> HandoverState {
        self.processes[index].core.handover_state(self.now)
    }

    /// Sends the process a request of the class of this name; does nothing if the process does not know the
    /// class. Returns the attempt id.
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
        self.identities.insert(attempt_id.clone(), RequestIdentity { key: token.clone(), arrived_ms });
        let arrival = Arrival {
            caller: Rc::new(RecordingCaller(caller, process.recorded.clone())),
            protocol: Protocol::Rpc,
            correlation_id,
            attempt_id: attempt_id.clone(),
            class: class_index,
            arrived_ms,
            timeout_ms: self.timeout_ms,
            retry: false,
            work_hint_ms: Some(100.0),
            mem_kb: 40.0,
            body: token.clone().unwrap_or_default().into_bytes(),
            idempotency_key: token,
            subject: None,
            tenant: None,
        };
        let request = ReceivedRequest {
            correlation_id,
            read_ms: self.now,
            deadline_ms: arrived_ms + self.timeout_ms.unwrap_or(TIMEOUT_MS),
            cancelled: false,
            caller,
        };
        self.processes[index].received.push(request);
        self.run_batch(index, |core, now| core.handle(now, CoreInput::RequestReceived(Box::new(arrival))));
        Some(attempt_id)
    }

    /// A caller cancels one of its unanswered requests at this process.
    pub fn cancel(&mut self, index: usize, pick: usize) {
        let open: Vec<(u64, u64)> = self.unanswered(index);
        let Some(&(caller, correlation_id)) = open.get(pick.checked_rem(open.len()).unwrap_or(0)) else {
            return;
        };
        let received = self.processes[index].received.iter_mut();
        received
            .filter(|request| request.correlation_id == correlation_id)
            .for_each(|request| request.cancelled = true);
        self.run_batch(index, |core, now| core.handle(now, CoreInput::CallerGone { caller, correlation_id }));
    }

    /// A connection to this process is closed by its caller.
    pub fn close(&mut self, index: usize, caller: u64) {
        let received = self.processes[index].received.iter_mut();
        received.filter(|request| request.caller == caller).for_each(|request| request.cancelled = true);
        self.run_batch(index, |core, now| core.handle(now, CoreInput::ConnectionClosed { caller }));
    }

    /// Caller and correlation id of each unanswered request.
    fn unanswered(&self, index: usize) -> Vec<(u64, u64)> {
        let process = &self.processes[index];
        let open = process
            .received
            .iter()
            .filter(|request| !request.cancelled && process.answers(request).is_empty());
        open.map(|request| (request.caller, request.correlation_id)).collect()
    }

    /// The answers to the request with this attempt id.
    pub fn answers(&self, index: usize, attempt_id: &str) -> Vec<Reply> {
        let process = &self.processes[index];
        let request =
            process.received.iter().find(|request| format!("r{}", request.correlation_id) == attempt_id);
        request.map_or(Vec::new(), |request| process.answers(request))
    }

    /// How many times the attempt was started on an engine.
    pub fn times_run(&self, attempt_id: &str) -> usize {
        self.runs.iter().filter(|run| run.attempt_id == attempt_id).count()
    }

    /// Ends a run in flight in a living process.
    pub fn end_run(&mut self, pick: usize, end: RunResult) {
        let running = |run: &Run| !run.ended && self.processes[run.process].alive;
        let running: Vec<usize> = (0..self.runs.len()).filter(|at| running(&self.runs[*at])).collect();
        let Some(&at) = running.get(pick.checked_rem(running.len()).unwrap_or(0)) else { return };
        let run = &mut self.runs[at];
        (run.ended, run.never_ran) = (true, end == RunResult::Unknown);
        let (index, attempt_id) = (run.process, run.attempt_id.clone());
        self.run_batch(index, |core, now| core.handle(now, CoreInput::RunEnded { attempt_id, result: end }));
    }

    pub fn set_lame_duck(&mut self, index: usize, drained: bool) {
        self.run_batch(index, |core, now| core.set_lame_duck(now, drained));
    }

    /// Sends SIGTERM, as the platform does; SIGKILL follows after [`HANDOVER_KILL_MS`].
    pub fn terminate(&mut self, index: usize) {
        let now = self.now;
        let successor = index + 1;
        let has_successor =
            successor < self.processes.len() && self.serves(successor) && self.is_linked(index, successor);
        let process = &mut self.processes[index];
        if process.notice_ms.is_none() {
            process.notice_ms = Some(now);
            process.had_successor_at_notice = has_successor;
            process.kill_ms = Some(now + HANDOVER_KILL_MS);
            self.run_batch(index, |core, now| core.start_drain(now, now));
        }
    }

    /// Reloads the process with these classes.
    pub fn reload(&mut self, index: usize, classes: &[ClassSpec]) {
        let merged = self.processes[index].site.merged_with(site::site(classes), self.now);
        let site = Rc::new(merged.expect("the site has space for a few classes"));
        self.processes[index].site = site.clone();
        let settings = Reconfiguration { site, stop_ms: STOP_MS, memory_mb: MEMORY_MB };
        self.run_batch(index, |core, now| core.handle(now, CoreInput::Reconfigure(settings)));
    }

    /// Kills the process with SIGKILL. Of the messages that it has sent, `kept` still arrive.
    pub fn crash(&mut self, index: usize, kept: usize) {
        if !self.processes[index].alive {
            return;
        }
        self.crashes += 1;
        self.end_process(index, kept);
        let knows_runs = |process: &Process| process.alive && process.has_searched_predecessor;
        // No process is left that knows of these runs.
        if !self.processes.iter().any(knows_runs) {
            self.runs.iter_mut().for_each(|run| run.never_ran = true);
        }
    }

    fn end_process(&mut self, index: usize, kept: usize) {
        self.processes[index].alive = false;
        self.processes[index].reconnect_ms = None;
        for link in &mut self.links {
            if link.0.iter().any(|end| end.owner == index) {
                link.close(kept);
                let own = link.0.iter_mut().filter(|end| end.owner == index);
                own.for_each(|end| end.abandoned = true);
            }
        }
    }

    /// Cuts all links; of the messages in flight, `kept` still arrive in each direction.
    pub fn cut(&mut self, kept: usize) {
        let open = |link: &Link| !link.0.iter().any(|end| end.closed);
        self.cuts += self.links.iter().filter(|link| open(link)).count();
        self.links.iter_mut().for_each(|link| link.close(kept));
    }

    /// Whether these processes are connected.
    pub fn is_linked(&self, older: usize, newer: usize) -> bool {
        let matches_link = |link: &Link| {
            let [to_newer, to_older] = &link.0;
            (to_newer.owner, to_older.owner) == (newer, older)
                && link.0.iter().all(|end| !end.closed && !end.abandoned)
        };
        self.links.iter().any(matches_link)
    }

    /// Advances the clock: links deliver messages, cores act when they are due, and the platform kills
    /// processes.
    pub fn advance(&mut self, ms: f64) {
        let until = self.now + ms;
        let mut batches = 0;
        while let Some(at) = self.next_event().filter(|at| *at <= until) {
            batches += 1;
            assert!(
                f64::from(batches) < 2000.0 + 4.0 * ms,
                "{batches} batches in {ms} ms: the cores do not wait between batches"
            );
            self.now = self.now.max(at);
            self.run_due();
        }
        self.now = until;
        self.run_due();
    }

    fn next_event(&self) -> Option<f64> {
        let living = || self.processes.iter().filter(|process| process.alive);
        let cores = living().filter_map(|process| process.core.next_due());
        let others = living().flat_map(|process| [process.reconnect_ms, process.kill_ms]).flatten();
        let links = self.links.iter().flat_map(|link| &link.0).filter_map(|end| end.next_due(self.now));
        cores.chain(others).chain(links).min_by(f64::total_cmp)
    }

    /// Runs everything that is due now.
    fn run_due(&mut self) {
        for index in 0..self.processes.len() {
            if !self.processes[index].alive {
                continue;
            }
            if self.processes[index].kill_ms.is_some_and(|at| at <= self.now) {
                self.crash(index, usize::MAX);
                continue;
            }
            if self.processes[index].reconnect_ms.is_some_and(|at| at <= self.now) {
                self.processes[index].reconnect_ms = None;
                self.find_predecessor(index);
            }
            self.run_batch(index, |_, _| ());
            let tag = self.processes[index].recorded.last_gauge_tag.replace(0);
            if tag > 0 && self.processes[index].alive {
                self.run_batch(index, |core, now| {
                    core.handle(now, CoreInput::Gauges { tag, values: vec![0.1, 0.2] })
                });
            }
        }
    }

    /// Runs one batch of a core, in the order of the core's task.
    fn run_batch(&mut self, index: usize, input: impl FnOnce(&mut Core, f64)) {
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
        self.execute_commands(index);
        self.record_runs(index);
        self.check(index);
        if self.phase(index) == LifecyclePhase::Terminated {
            self.end_process(index, usize::MAX);
        }
    }
}

/// Maps a number to the end of a run: two of four values are results.
pub fn run_result(how: u8) -> RunResult {
    match how % 4 {
        0 | 1 => RunResult::Complete(vec![how; 200].as_slice().into()),
        2 => RunResult::Error,
        _ => RunResult::Unknown,
    }
}
