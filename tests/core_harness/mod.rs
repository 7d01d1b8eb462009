//! A harness that drives the core without sockets. Its ports are test doubles that record every call.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use pinepoint::admission::{Idempotency, Outcome};
use pinepoint::config::site::Site;
use pinepoint::server::control::status::Status;
use pinepoint::server::core::api::{
    Arrival, Caller, CoreInput, Engine, OpenSockets, Reconfiguration, Reply, RunResult, Store,
};
use pinepoint::server::core::{Core, CoreDependencies};
use pinepoint::server::observability::counters::Counters;
use pinepoint_clock::Clock;
use pinepoint_events::{CoreState, Observer, ProcessEvent, Protocol, RequestEvent, RequestEventKind};

/// The ports of the core: engine, store, sockets and observer, each recording what it is called with.
#[derive(Default)]
pub struct RecordingPorts {
    pub runs: RefCell<Vec<String>>,
    /// Whether `run_classes` is recorded; in a long test the map would grow without bound.
    pub records_classes: Cell<bool>,
    /// The class under which each run was started, by attempt id.
    pub run_classes: RefCell<BTreeMap<String, String>>,
    pub calls: RefCell<Vec<u64>>,
    pub delivered_replies: RefCell<Vec<Vec<u8>>>,
    pub last_gauge_tag: Cell<u64>,
    pub answers: RefCell<BTreeMap<(u64, u64), Vec<Reply>>>,
    pub request_events: RefCell<Vec<RequestEvent>>,
    pub process_events: RefCell<Vec<ProcessEvent>>,
    pub state: RefCell<CoreState>,
}

impl Engine for RecordingPorts {
    fn start_run(&self, attempt_id: &str, class: &str, _: &[u8]) -> bool {
        if self.records_classes.get() {
            self.run_classes.borrow_mut().insert(attempt_id.to_owned(), class.to_owned());
        }
        self.runs.borrow_mut().push(attempt_id.to_owned());
        true
    }
    fn cancel_run(&self, _: &str) -> bool {
        true
    }
    fn deliver_reply(&self, _: &str, reply: &[u8]) -> bool {
        self.delivered_replies.borrow_mut().push(reply.to_vec());
        true
    }
    fn skip_call(&self, _: &str, _: u64) -> bool {
        true
    }
    fn request_gauges(&self, tag: u64) {
        self.last_gauge_tag.set(tag);
    }
}

impl Store for RecordingPorts {
    fn start_call(self: Rc<Self>, call: u64, _: &str, _: f64, _: &[u8], _: bool) {
        self.calls.borrow_mut().push(call);
    }
    fn cancel_call(&self, call: u64) {
        self.calls.borrow_mut().retain(|c| *c != call);
    }
}

impl OpenSockets for RecordingPorts {
    fn listeners(&self) -> usize {
        0
    }
    fn connections(&self) -> usize {
        0
    }
}

impl Observer for RecordingPorts {
    fn request_event(&self, _: f64, event: RequestEvent) {
        self.request_events.borrow_mut().push(event);
    }
    fn process_event(&self, _: f64, event: ProcessEvent) {
        self.process_events.borrow_mut().push(event);
    }
    fn core_state(&self, _: f64, state: &CoreState) {
        *self.state.borrow_mut() = state.clone();
    }
}

pub struct RecordingCaller(pub u64, pub Rc<RecordingPorts>);

impl Caller for RecordingCaller {
    fn id(&self) -> u64 {
        self.0
    }
    fn answer(&self, correlation_id: u64, reply: &Reply) {
        self.1.answers.borrow_mut().entry((self.0, correlation_id)).or_default().push(reply.clone());
    }
    fn go_away(&self) {}
    fn go_away_if_idle(&self, _: f64) {}
}

/// Picks an element of a list by this number, modulo the length; `None` if the list is empty.
fn pick<T: Clone>(list: &RefCell<Vec<T>>, n: u8) -> Option<T> {
    let list = list.borrow();
    list.get(usize::from(n).checked_rem(list.len())?).cloned()
}

/// Maps a number to the end of a run: two of four values are results.
pub fn run_result(how: u8) -> RunResult {
    match how % 4 {
        0 | 1 => RunResult::Complete(vec![how; 200].as_slice().into()),
        2 => RunResult::Error,
        _ => RunResult::Unknown,
    }
}

pub struct CoreHarness {
    pub core: Core,
    pub recorded: Rc<RecordingPorts>,
    pub now: f64,
    pub last_correlation_id: u64,
    pub last_notice: u64,
    classes: usize,
}

impl CoreHarness {
    pub fn new() -> Self {
        CoreHarness::with_memory(0.001, 2000.0)
    }

    /// Creates a harness with a memory limit for the process, MB, of which retained results get a share, and
    /// one for requests, kB. A limit above 10,000 kB for requests comes with a call quota.
    pub fn with_memory(memory_mb: f64, memory_kb: f64) -> Self {
        let mut site = Site::default();
        site.registry_follows_health = true;
        site.settings = pinepoint::admission::Settings {
            cores: 2.0,
            memory_kb,
            call_quota: if memory_kb > 10_000.0 { 8.0 } else { 0.0 },
            call_quota_window_ms: if memory_kb > 10_000.0 { 5000.0 } else { 0.0 },
            running_memory_factor: 4.0,
            ..Default::default()
        };
        let class = pinepoint::admission::Class {
            timeout_ms: 3000.0,
            latency_objective_ms: 900.0,
            calls: true,
            ..Default::default()
        };
        let keyed = pinepoint::admission::Class {
            idempotency: Idempotency::Keyed,
            dedup_window_ms: 5000.0,
            ..class.clone()
        };
        site.settings.classes =
            vec![pinepoint::admission::Class { weight_without_call: 0.3, ..class }, keyed];
        site.settings.gauges =
            vec![pinepoint::admission::Gauge::BusyShare, pinepoint::admission::Gauge::Runnable];
        site.settings.rules.answer_slack_ms = 100.0;
        site.settings.rules.drain_grace_ms = 1000.0;
        CoreHarness::with_site(site, memory_mb, 2000.0)
    }

    /// Creates a harness with these settings, for a process that may use this much memory, MB, and is killed
    /// this long after the termination notice, ms.
    pub fn with_site(site: Site, memory_mb: f64, stop_ms: f64) -> Self {
        let recorded = Rc::new(RecordingPorts::default());
        let classes = site.settings.classes.len();
        let dependencies = CoreDependencies {
            site: Rc::new(site),
            seed: 5,
            stop_ms,
            memory_mb,
            clock: Clock::fixed(0.0),
            status: Rc::new(Status::default()),
            counters: Rc::new(Counters::default()),
            observer: recorded.clone(),
            engine: recorded.clone(),
            store: recorded.clone(),
            open_sockets: recorded.clone(),
            handover: None,
        };
        CoreHarness {
            core: Core::new(dependencies),
            recorded,
            now: 1_000_000.0,
            last_correlation_id: 0,
            last_notice: 0,
            classes,
        }
    }

    pub fn handle(&mut self, input: CoreInput) {
        self.core.handle(self.now, input);
        self.core.process_batch(self.now);
    }

    pub fn arrive(&mut self, class: usize, key: u8, body: u8, age_ms: f64) {
        self.arrive_from(u64::from(key % 3), class, format!("k{key}"), body, age_ms);
    }

    /// Applies these settings, which must be merged from the previous settings.
    pub fn reload(&mut self, site: Rc<Site>, memory_mb: f64, stop_ms: f64) {
        self.classes = site.settings.classes.len();
        self.handle(CoreInput::Reconfigure(Reconfiguration { site, stop_ms, memory_mb }));
    }

    pub fn arrive_from(&mut self, caller: u64, class: usize, key: String, body: u8, age_ms: f64) {
        self.arrive_as(caller, class, (class == 1).then_some(key), body, age_ms);
    }

    pub fn arrive_as(&mut self, caller: u64, class: usize, token: Option<String>, body: u8, age_ms: f64) {
        self.last_correlation_id += 1;
        self.handle(CoreInput::RequestReceived(Box::new(Arrival {
            caller: Rc::new(RecordingCaller(caller, self.recorded.clone())),
            protocol: Protocol::Rpc,
            correlation_id: self.last_correlation_id,
            attempt_id: format!("r{}", self.last_correlation_id),
            class,
            arrived_ms: self.now - age_ms,
            timeout_ms: None,
            retry: body.is_multiple_of(2),
            work_hint_ms: Some(100.0),
            mem_kb: 40.0,
            idempotency_key: token,
            subject: None,
            tenant: None,
            body: vec![body],
        })));
    }

    pub fn advance(&mut self, ms: f64, busy: f64) {
        let until = self.now + ms;
        let mut batches = 0;
        while let Some(due) = self.core.next_due().filter(|due| *due <= until) {
            batches += 1;
            assert!(
                f64::from(batches) < 1000.0 + ms,
                "{batches} batches in {ms} ms: the core does not wait between batches"
            );
            self.now = self.now.max(due);
            self.core.process_batch(self.now);
            let tag = self.recorded.last_gauge_tag.get();
            self.handle(CoreInput::Gauges { tag, values: vec![busy, busy * 2.0] });
        }
        self.now = until;
        self.core.process_batch(until);
    }

    pub fn apply(&mut self, step: &Step) {
        match *step {
            Step::AttachEngine => {
                self.handle(CoreInput::EngineAttached { cold: false, since_start_ms: 9000.0 })
            }
            Step::DetachEngine => self.handle(CoreInput::EngineDetached),
            Step::Arrive { class, key, body, age } => self.arrive(class, key, body, f64::from(age)),
            Step::Advance { ms, busy } => self.advance(f64::from(ms), f64::from(busy) / 100.0),
            Step::EndRun { run, how } => {
                if let Some(attempt_id) = pick(&self.recorded.runs, run) {
                    self.handle(CoreInput::RunEnded { attempt_id, result: run_result(how) });
                }
            }
            Step::NeedCall { run } => {
                self.last_notice += 1;
                if let Some(attempt_id) = pick(&self.recorded.runs, run) {
                    self.handle(CoreInput::CallNeeded {
                        attempt_id,
                        notice: self.last_notice,
                        body: vec![1],
                    });
                }
            }
            Step::EndCall { call, how } => {
                if let Some(call) = pick(&self.recorded.calls, call) {
                    self.recorded.calls.borrow_mut().retain(|c| *c != call);
                    let (outcome, reply) = match how % 4 {
                        0 | 1 => (Outcome::Done, Some(vec![how])),
                        2 => (Outcome::Rejected, None),
                        _ => (Outcome::Reset, None),
                    };
                    self.handle(CoreInput::CallEnded { call, outcome, reply });
                }
            }
            Step::CallerGone { correlation_id } => {
                let correlation_id = u64::from(correlation_id) % (self.last_correlation_id + 1);
                for caller in 0..3 {
                    self.handle(CoreInput::CallerGone { caller, correlation_id });
                }
            }
            Step::CloseConnection { caller } => {
                self.handle(CoreInput::ConnectionClosed { caller: u64::from(caller % 3) })
            }
            Step::StartDrain => {
                self.core.start_drain(self.now, self.now);
                self.core.process_batch(self.now);
            }
        }
    }

    /// For each class, the numbers of requests that were received, answered, and given up by their caller.
    /// Checks that no request ends twice.
    pub fn totals_by_class(&self) -> Vec<[u64; 3]> {
        let mut totals_by_class = vec![[0; 3]; self.classes];
        let mut ended = BTreeSet::new();
        for event in self.recorded.request_events.borrow().iter() {
            let column = match event.kind {
                RequestEventKind::Received { .. } => 0,
                RequestEventKind::Answered { .. } | RequestEventKind::DeadlineExceeded { .. } => 1,
                RequestEventKind::CallerGone { .. } => 2,
                _ => continue,
            };
            totals_by_class[event.class][column] += 1;
            assert!(
                column == 0 || event.id == 0 || ended.insert(event.id),
                "request {} ends twice",
                event.id
            );
        }
        totals_by_class
    }
}

#[derive(Clone, Debug)]
pub enum Step {
    AttachEngine,
    DetachEngine,
    Arrive { class: usize, key: u8, body: u8, age: u16 },
    Advance { ms: u16, busy: u8 },
    EndRun { run: u8, how: u8 },
    NeedCall { run: u8 },
    EndCall { call: u8, how: u8 },
    CallerGone { correlation_id: u8 },
    CloseConnection { caller: u8 },
    StartDrain,
}
