//! The core without a socket, among stand-ins that keep what they see.
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

/// What the stand-ins saw, and what the observer was told.
#[derive(Default)]
pub struct Seen {
    pub runs: RefCell<Vec<String>>,
    /// The class that each run was begun under, if it is to be kept: a long test would only grow by it.
    pub keeps_classes: Cell<bool>,
    pub run_classes: RefCell<BTreeMap<String, String>>,
    pub calls: RefCell<Vec<u64>>,
    pub feeds: RefCell<Vec<Vec<u8>>>,
    pub asked: Cell<u64>,
    pub answers: RefCell<BTreeMap<(u64, u64), Vec<Reply>>>,
    pub facts: RefCell<Vec<RequestEvent>>,
    pub turns: RefCell<Vec<ProcessEvent>>,
    pub state: RefCell<CoreState>,
}

impl Engine for Seen {
    fn start_run(&self, attempt_id: &str, class: &str, _: &[u8]) {
        if self.keeps_classes.get() {
            self.run_classes.borrow_mut().insert(attempt_id.to_owned(), class.to_owned());
        }
        self.runs.borrow_mut().push(attempt_id.to_owned());
    }
    fn cancel_run(&self, _: &str) {}
    fn deliver_reply(&self, _: &str, reply: &[u8]) -> bool {
        self.feeds.borrow_mut().push(reply.to_vec());
        true
    }
    fn skip_call(&self, _: &str, _: u64) -> bool {
        true
    }
    fn request_gauges(&self, tag: u64) {
        self.asked.set(tag);
    }
}

impl Store for Seen {
    fn start_call(self: Rc<Self>, call: u64, _: &str, _: f64, _: &[u8], _: bool) {
        self.calls.borrow_mut().push(call);
    }
    fn cancel_call(&self, call: u64) {
        self.calls.borrow_mut().retain(|c| *c != call);
    }
}

impl OpenSockets for Seen {
    fn listeners(&self) -> usize {
        0
    }
    fn connections(&self) -> usize {
        0
    }
}

impl Observer for Seen {
    fn request_event(&self, _: f64, fact: RequestEvent) {
        self.facts.borrow_mut().push(fact);
    }
    fn process_event(&self, _: f64, turn: ProcessEvent) {
        self.turns.borrow_mut().push(turn);
    }
    fn core_state(&self, _: f64, state: &CoreState) {
        *self.state.borrow_mut() = state.clone();
    }
}

pub struct Client(pub u64, pub Rc<Seen>);

impl Caller for Client {
    fn id(&self) -> u64 {
        self.0
    }
    fn answer(&self, correlation_id: u64, reply: &Reply) {
        self.1.answers.borrow_mut().entry((self.0, correlation_id)).or_default().push(reply.clone());
    }
    fn go_away(&self) {}
    fn go_away_if_idle(&self, _: f64) {}
}

/// One of a list, if there is one.
fn picked<T: Clone>(list: &RefCell<Vec<T>>, n: u8) -> Option<T> {
    let list = list.borrow();
    list.get(usize::from(n).checked_rem(list.len())?).cloned()
}

/// An end of a run: of four, two are results.
pub fn run_end(how: u8) -> RunResult {
    match how % 4 {
        0 | 1 => RunResult::Complete(vec![how; 200].as_slice().into()),
        2 => RunResult::Error,
        _ => RunResult::Unknown,
    }
}

pub struct Bench {
    pub core: Core,
    pub seen: Rc<Seen>,
    pub now: f64,
    pub tickets: u64,
    pub notices: u64,
    classes: usize,
}

impl Bench {
    pub fn new() -> Self {
        Bench::with_room(0.001, 2000.0)
    }

    /// With these limits of memory: of the process, MB, of which kept results get a part, and of requests, kB; room
    /// for many requests brings a share of calls.
    pub fn with_room(memory_mb: f64, memory_kb: f64) -> Self {
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
        Bench::with_site(site, memory_mb, 2000.0)
    }

    /// With a whole site, in a process that may take so much memory, MB, and is killed so long after the notice, ms.
    pub fn with_site(site: Site, memory_mb: f64, stop_ms: f64) -> Self {
        let seen = Rc::new(Seen::default());
        let classes = site.settings.classes.len();
        let parts = CoreDependencies {
            site: Rc::new(site),
            seed: 5,
            stop_ms,
            memory_mb,
            clock: Clock::fixed(0.0),
            status: Rc::new(Status::default()),
            counters: Rc::new(Counters::default()),
            observer: seen.clone(),
            engine: seen.clone(),
            store: seen.clone(),
            open_sockets: seen.clone(),
            handover: None,
        };
        Bench { core: Core::new(parts), seen, now: 1_000_000.0, tickets: 0, notices: 0, classes }
    }

    pub fn tell(&mut self, input: CoreInput) {
        self.core.handle(self.now, input);
        self.core.process_batch(self.now);
    }

    pub fn arrive(&mut self, class: usize, key: u8, body: u8, age_ms: f64) {
        self.arrive_from(u64::from(key % 3), class, format!("k{key}"), body, age_ms);
    }

    /// Puts these settings in force, which must be a successor of those before.
    pub fn reload(&mut self, site: Rc<Site>, memory_mb: f64, stop_ms: f64) {
        self.classes = site.settings.classes.len();
        self.tell(CoreInput::Reconfigure(Reconfiguration { site, stop_ms, memory_mb }));
    }

    pub fn arrive_from(&mut self, caller: u64, class: usize, key: String, body: u8, age_ms: f64) {
        self.arrive_as(caller, class, (class == 1).then_some(key), body, age_ms);
    }

    pub fn arrive_as(&mut self, caller: u64, class: usize, token: Option<String>, body: u8, age_ms: f64) {
        self.tickets += 1;
        self.tell(CoreInput::RequestReceived(Box::new(Arrival {
            caller: Rc::new(Client(caller, self.seen.clone())),
            front: Protocol::Rpc,
            correlation_id: self.tickets,
            attempt_id: format!("r{}", self.tickets),
            class,
            arrived_ms: self.now - age_ms,
            again: body.is_multiple_of(2),
            est_ms: Some(100.0),
            mem_kb: 40.0,
            token,
            subject: None,
            tenant: None,
            body: vec![body],
        })));
    }

    pub fn pass(&mut self, ms: f64, busy: f64) {
        let until = self.now + ms;
        let mut turns = 0;
        while let Some(due) = self.core.next_due().filter(|due| *due <= until) {
            turns += 1;
            assert!(f64::from(turns) < 1000.0 + ms, "{turns} turns in {ms} ms: it does not wait");
            self.now = self.now.max(due);
            self.core.process_batch(self.now);
            let tag = self.seen.asked.get();
            self.tell(CoreInput::Gauges { tag, values: vec![busy, busy * 2.0] });
        }
        self.now = until;
        self.core.process_batch(until);
    }

    pub fn run(&mut self, step: &Step) {
        match *step {
            Step::Up => self.tell(CoreInput::EngineAttached { cold: false, ms: 9000.0 }),
            Step::Down => self.tell(CoreInput::EngineDetached),
            Step::Arrive { class, key, body, age } => self.arrive(class, key, body, f64::from(age)),
            Step::Pass { ms, busy } => self.pass(f64::from(ms), f64::from(busy) / 100.0),
            Step::End { run, how } => {
                if let Some(attempt_id) = picked(&self.seen.runs, run) {
                    self.tell(CoreInput::RunEnded { attempt_id, result: run_end(how) });
                }
            }
            Step::Need { run } => {
                self.notices += 1;
                if let Some(attempt_id) = picked(&self.seen.runs, run) {
                    self.tell(CoreInput::CallNeeded { attempt_id, notice: self.notices, body: vec![1] });
                }
            }
            Step::CallOver { call, how } => {
                if let Some(call) = picked(&self.seen.calls, call) {
                    self.seen.calls.borrow_mut().retain(|c| *c != call);
                    let (outcome, reply) = match how % 4 {
                        0 | 1 => (Outcome::Done, Some(vec![how])),
                        2 => (Outcome::Rejected, None),
                        _ => (Outcome::Reset, None),
                    };
                    self.tell(CoreInput::CallEnded { call, outcome, reply });
                }
            }
            Step::Gone { correlation_id } => {
                let correlation_id = u64::from(correlation_id) % (self.tickets + 1);
                for caller in 0..3 {
                    self.tell(CoreInput::CallerGone { caller, correlation_id });
                }
            }
            Step::Closed { caller } => {
                self.tell(CoreInput::ConnectionClosed { caller: u64::from(caller % 3) })
            }
            Step::Leave => {
                self.core.start_drain(self.now, self.now);
                self.core.process_batch(self.now);
            }
        }
    }

    /// Per class: read, answered or expired, gone; and the numbers of requests with an end.
    pub fn sums(&self) -> Vec<[u64; 3]> {
        let mut sums = vec![[0; 3]; self.classes];
        let mut ended = BTreeSet::new();
        for fact in self.seen.facts.borrow().iter() {
            let at = match fact.kind {
                RequestEventKind::Received { .. } => 0,
                RequestEventKind::Answered { .. } | RequestEventKind::DeadlineExceeded { .. } => 1,
                RequestEventKind::CallerGone { .. } => 2,
                _ => continue,
            };
            sums[fact.class][at] += 1;
            assert!(at == 0 || fact.id == 0 || ended.insert(fact.id), "{} ends twice", fact.id);
        }
        sums
    }
}

#[derive(Clone, Debug)]
pub enum Step {
    Up,
    Down,
    Arrive { class: usize, key: u8, body: u8, age: u16 },
    Pass { ms: u16, busy: u8 },
    End { run: u8, how: u8 },
    Need { run: u8 },
    CallOver { call: u8, how: u8 },
    Gone { correlation_id: u8 },
    Closed { caller: u8 },
    Leave,
}
