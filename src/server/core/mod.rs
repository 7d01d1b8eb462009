//! The one task that owns the decision module, and with it the tables of requests, attempts and keys, the
//! timers and the drain. Fronts and links reach it through its queue only; it answers through the writer
//! queue of each caller. It must never know a wire, wait for a socket, or decide what the module decides:
//! it only makes sure that each request read gets one answer and that no key runs twice.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use async_channel::Receiver;
use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_events::{
    Answer, CallOutcome, CoreState, Decision, Observer, ProcessEvent, RequestEvent, RequestEventKind,
    ResourceLimit, RunOutcome,
};
use pinepoint_handover::ownership::UnknownKey;

pub mod api;
mod handover;
pub mod keys;
pub mod requests;

use self::handover::Handover;
pub use self::handover::{HandoverParts, HandoverState, longest_window_ms};
use crate::admission::{
    Action, AdmissionController, Event, FailureReason, Idempotency, Outcome, Preemption, RejectReason,
    Request,
};
use crate::config::site::Site;
use crate::server::control::lifecycle::{DrainTimes, Lifecycle, Outstanding, Phase as LifecyclePhase};
use crate::server::control::status::Status;
use crate::server::core::api::{
    Arrival, Caller, CoreInput, Engine, OpenSockets, Reconfiguration, Reply, RunResult, Store,
};
use crate::server::core::keys::{ANY_KEYED_CLASS, AttemptResult, JoinOutcome, Key, KeyTable, Start};
use crate::server::core::requests::{CallResult, OpenRequest, RequestState, RequestTable};
use crate::server::observability::counters::{Counters, count};

/// Wait for the gauges after a timer is due, ms: due times hang on timers, so a silent engine must not hold
/// them up. Several rounds of a loaded loopback, and well under the slack of an answer.
const GAUGES_MS: f64 = 25.0;
/// Between two looks of the core at what is owed, ms.
const WATCH_MS: f64 = 50.0;
/// Part of the answer slack after which the core answers what the decisions have not.
const OVERDUE_PART: f64 = 0.8;
/// Between two clearings of the key table, ms.
const KEY_SWEEP_MS: f64 = 1000.0;
/// How far ahead of the clock a request may say it came, ms, and how many times its class's time, and this much
/// more, it may have lain unread. What says otherwise is no router's, and would stretch due times and keys'
/// windows without end, or pass for a jam that no one could have read through.
const MAX_CLOCK_AHEAD_MS: f64 = 1000.0;
const MAX_READ_DELAY_FACTOR: f64 = 2.0;
const READ_DELAY_MARGIN_MS: f64 = 1000.0;
/// From the notice to the kill of a process that another one follows, ms: the longest deadline, which counts as so much at
/// most, and a margin.
const HANDOVER_DEADLINE_MOST_MS: f64 = 3000.0;
const HANDOVER_MARGIN_MS: f64 = 700.0;
/// Part of the process memory that kept results may take; past it a repeat is failed, still never run.
const RESULTS_PART: f64 = 0.25;

/// How the engine started.
#[derive(Clone, Copy, Debug)]
struct EngineStart {
    cold: bool,
    /// When, ms.
    began_ms: f64,
}

struct Asked {
    tag: u64,
    token: u32,
    give_up_ms: f64,
}

/// Everything the core needs from the rest of the node.
pub struct Parts {
    /// Settings and names.
    pub site: Rc<Site>,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// From the notice to leave to the kill, ms.
    pub stop_ms: f64,
    /// Memory limit of the process, MB.
    pub memory_mb: f64,
    /// The clock.
    pub clock: Clock,
    /// What is published.
    pub status: Rc<Status>,
    /// Counters.
    pub counters: Rc<Counters>,
    /// Who is told what happens.
    pub observer: Rc<dyn Observer>,
    /// The engine.
    pub engine: Rc<dyn Engine>,
    /// The store.
    pub store: Rc<dyn Store>,
    /// The doors, and who has come in by them.
    pub open_sockets: Rc<dyn OpenSockets>,
    /// What a handover between two processes of this server takes; without it there is none.
    pub handover: Option<HandoverParts>,
}

/// The core. [`Core::run`] is its task; the rest is for that task alone.
pub struct Core {
    parts: Parts,
    life: Lifecycle,
    controller: Option<AdmissionController>,
    callers: BTreeMap<u64, Rc<dyn Caller>>,
    requests: RequestTable,
    keys: KeyTable,
    actions: Vec<Action>,
    follow_up: VecDeque<Event>,
    timers: Vec<(f64, u32)>,
    asked: VecDeque<Asked>,
    asks: u64,
    acked: u64,
    barrier: Option<u64>,
    engine_up: bool,
    gauges: Vec<f64>,
    watched_ms: f64,
    swept_ms: f64,
    caller_idle_timeout_ms: Option<f64>,
    instant_keys: Vec<Key>,
    /// Requests with keys that ended in the instant in hand: number, key, digest.
    ended: Vec<(u32, Key, u64)>,
    /// The instant in hand, ms.
    now_ms: f64,
    handover: Option<Handover>,
}

impl Core {
    /// A core without a decision module: that is made when the engine says how the machine started.
    pub fn new(mut parts: Parts) -> Self {
        let keys = KeyTable::new(results_most(parts.memory_mb));
        let times = times(&parts.site, parts.stop_ms);
        let handover = parts.handover.take().map(Handover::new);
        Core {
            life: Lifecycle::new(times, parts.site.registry_follows_health),
            parts,
            controller: None,
            callers: BTreeMap::new(),
            requests: RequestTable::default(),
            keys,
            actions: Vec::new(),
            follow_up: VecDeque::new(),
            timers: Vec::new(),
            asked: VecDeque::new(),
            asks: 0,
            acked: 0,
            barrier: None,
            engine_up: false,
            gauges: Vec::new(),
            watched_ms: 0.0,
            swept_ms: 0.0,
            caller_idle_timeout_ms: None,
            instant_keys: Vec::new(),
            ended: Vec::new(),
            now_ms: 0.0,
            handover,
        }
    }

    /// Serves until the node has left: all that is queued, then one settlement, then sleep. Returns when the process
    /// will be killed, ms.
    pub async fn run(mut self, queue: Receiver<CoreInput>) -> f64 {
        let (clock, status) = (self.parts.clock.clone(), self.parts.status.clone());
        loop {
            let due = self.next_due();
            let timer = async {
                match due {
                    Some(at) => clock.until(at).await,
                    None => future::pending().await,
                }
                None
            };
            let notice = async {
                status.notice.wait().await;
                None
            };
            let first = future::or(async { queue.recv().await.ok() }, future::or(notice, timer)).await;
            let now = clock.now();
            if let Some(at_ms) = status.notice_ms.take() {
                self.leave(now, at_ms);
            }
            if let Some(drained) = status.drain.take() {
                self.set_drained(now, drained);
            }
            self.take_peer_inputs(now);
            first.into_iter().for_each(|input| self.take(now, input));
            while let Ok(input) = queue.try_recv() {
                self.take(now, input);
            }
            self.settle(now);
            if self.life.phase() == LifecyclePhase::Terminated {
                self.parts.observer.core_state(now, &self.state());
                self.emit_process_event(ProcessEvent::Stopped);
                return self.life.kill_ms().unwrap_or(f64::INFINITY);
            }
            // A timer that is due again at once must not keep all others from theirs.
            future::yield_now().await;
        }
    }

    // ---- facts out ----

    fn emit(&self, id: u32, class: usize, kind: RequestEventKind) {
        self.parts.observer.request_event(self.now_ms, RequestEvent { id, class, kind });
    }

    /// The same for a request in the table.
    fn emit_for(&self, id: u32, kind: impl FnOnce(&OpenRequest) -> RequestEventKind) {
        if let Some(open) = self.requests.get(id) {
            self.emit(id, open.class, kind(open));
        }
    }

    fn emit_process_event(&self, turn: ProcessEvent) {
        self.parts.observer.process_event(self.now_ms, turn);
    }

    /// Where the process stands in its life.
    pub fn phase(&self) -> LifecyclePhase {
        self.life.phase()
    }

    /// What the tables hold now, and what the module says of itself.
    pub fn state(&self) -> CoreState {
        let mut state =
            CoreState { open: vec![0; self.parts.site.settings.classes.len()], ..CoreState::default() };
        for (_, open) in self.requests.iter() {
            state.open[open.class] += u64::from(open.caller.is_some());
            match open.state {
                RequestState::Queued => state.held += 1,
                RequestState::AwaitingResult => state.waiting += 1,
                RequestState::Running | RequestState::AwaitingCall => state.running += 1,
                RequestState::InCall => {
                    state.running += 1;
                    state.calls += 1;
                }
            }
        }
        let (keys, results) = self.keys.size();
        (state.keys, state.results_bytes) = (keys as u64, results as u64);
        state.connections = self.callers.len() as u64;
        state.module = self.controller.iter().flat_map(|module| module.snapshot().figures()).collect();
        state
    }

    // ---- events in ----

    fn tell(&mut self, now: f64, event: Event) {
        if let Some(controller) = &mut self.controller {
            controller.handle(now, event, &mut self.actions);
        }
    }

    /// Takes one input. What the module wants done is carried out by the next [`Core::settle`].
    pub fn take(&mut self, now: f64, input: CoreInput) {
        self.now_ms = now;
        match input {
            CoreInput::ConnectionOpened(caller) => {
                if self.life.phase() >= LifecyclePhase::GoAwaySent {
                    caller.leave();
                }
                self.callers.insert(caller.id(), caller);
            }
            CoreInput::ConnectionClosed(caller) => {
                self.callers.remove(&caller);
                for id in self.requests.owed_to(caller) {
                    self.gone(now, id);
                }
                self.claimants_gone(now, caller, None);
            }
            CoreInput::RequestReceived(arrival) => self.arrived(now, *arrival),
            CoreInput::CallerGone(caller, correlation_id) => {
                if let Some(id) = self.requests.by_correlation_id(caller, correlation_id) {
                    self.gone(now, id);
                } else {
                    self.claimants_gone(now, caller, Some(correlation_id));
                }
            }
            CoreInput::ProtocolError(caller) => {
                for id in self.requests.owed_to(caller) {
                    self.give_up(
                        now,
                        id,
                        Reply::Failed { late: false, reason: FailureReason::ProtocolError },
                    );
                }
                self.claimants_spoilt(now, caller);
            }
            CoreInput::EngineAttached { cold, ms } => self.engine_up(now, cold, ms),
            CoreInput::EngineDetached => {
                self.engine_up = false;
                self.barrier = None;
            }
            CoreInput::RunEnded(attempt_id, end) => {
                if let Some(id) = self.requests.by_attempt_id(&attempt_id) {
                    self.run_ended(now, id, end);
                }
            }
            CoreInput::CallNeeded(attempt_id, notice, body) => {
                let Some(id) = self.requests.by_attempt_id(&attempt_id) else { return };
                let Some(open) = self.requests.get_mut(id) else { return };
                // A further call for the same request gives up the first.
                let given_up =
                    (open.state == RequestState::InCall).then(|| (open.call, call_dropped(now, open)));
                if let Some((call, _)) = given_up {
                    self.parts.store.cancel_call(call);
                }
                open.state = RequestState::AwaitingCall;
                open.need = (notice, body);
                open.feed = None;
                let (over, class) = (open.caller.is_none(), open.class);
                if let Some((call, kind)) = given_up {
                    self.requests.call_over(call);
                    self.emit(id, class, kind);
                }
                self.tell(now, Event::CallNeeded { id });
                if over {
                    self.end_at_call(id);
                }
            }
            CoreInput::Gauges(tag, gauges) => self.stats(now, tag, gauges),
            CoreInput::CommandRejected(command, attempt_id) => {
                count(&self.parts.counters.engine_refusals);
                tracing::warn!(command, attempt_id, "engine-refused");
                if let ("RUN", Some(id)) = (command.as_str(), self.requests.by_attempt_id(&attempt_id)) {
                    self.run_ended(now, id, RunResult::Unknown);
                }
            }
            CoreInput::CallEnded(call, outcome, reply) => self.call_ended(now, call, outcome, reply),
            CoreInput::ReportState => self.parts.observer.core_state(now, &self.state()),
            CoreInput::Reconfigure(new) => self.reconfigure(new),
        }
    }

    /// Puts other settings in force. What is open keeps its class and its due time.
    fn reconfigure(&mut self, new: Reconfiguration) {
        let Reconfiguration { site, stop_ms, memory_mb } = new;
        if let Some(controller) = &mut self.controller
            && let Err(error) = controller.reconfigure(site.settings.clone())
        {
            // The tables go on with the new indexes all the same: requests under them are already on their way.
            tracing::error!(%error, "settings-unusable");
        }
        let (old, settings) = (&self.parts.site.settings, &site.settings);
        // What the module said before meant something else; it says it anew.
        if old.load_report != settings.load_report {
            self.parts.status.hint.set(None);
        }
        if old.caller_idle_timeout_ms != settings.caller_idle_timeout_ms {
            self.caller_idle_timeout_ms = None;
        }
        self.life.reconfigure(times(&site, stop_ms), site.registry_follows_health);
        self.keys.set_results_most(results_most(memory_mb));
        (self.parts.site, self.parts.stop_ms, self.parts.memory_mb) = (site, stop_ms, memory_mb);
        self.reconfigure_handover();
        self.publish();
    }

    fn arrived(&mut self, now: f64, arrival: Arrival) {
        self.parts.counters.count_class(arrival.class, |class| &class.requests);
        self.admit(now, arrival, false);
    }

    /// Brings a request before the module, if nothing speaks against it; `claimed` if the other process of this server has
    /// let this one run its key.
    fn admit(&mut self, now: f64, arrival: Arrival, claimed: bool) {
        let class = &self.parts.site.settings.classes[arrival.class];
        let key = match class.idempotency {
            Idempotency::Keyed => arrival.token.clone().map(|token| (ANY_KEYED_CLASS, token)),
            Idempotency::ReadOnly if self.parts.site.settings.read_result_ttl_ms > 0.0 => {
                arrival.subject.clone().map(|subject| (arrival.class, subject))
            }
            _ => None,
        };
        let idempotency = class.idempotency;
        let deadline_ms = arrival.arrived_ms + class.timeout_ms;
        // All that was read before has its answer, and the process ends in a moment.
        if self.life.phase() >= LifecyclePhase::Finishing {
            self.turn_back(now, &arrival, &Reply::Failed { late: true, reason: FailureReason::Shutdown });
            return;
        }
        // Without a module nothing runs.
        if self.controller.is_none() {
            let reason = RejectReason::NotReady;
            self.turn_back(now, &arrival, &Reply::Rejected { retry_after_ms: 0.0, last: false, reason });
            return;
        }
        // A name in use would mix up two runs. This try has not run, but another of its request may have an effect.
        if self.requests.by_attempt_id(&arrival.attempt_id).is_some() {
            let reply = match class.idempotency {
                Idempotency::ReadOnly => {
                    Reply::Rejected { retry_after_ms: 0.0, last: false, reason: RejectReason::AttemptIdInUse }
                }
                _ => Reply::Failed { late: false, reason: FailureReason::AttemptIdInUse },
            };
            self.turn_back(now, &arrival, &reply);
            return;
        }
        let unread_most = class.timeout_ms * MAX_READ_DELAY_FACTOR + READ_DELAY_MARGIN_MS;
        if !(-MAX_CLOCK_AHEAD_MS..=unread_most).contains(&(now - arrival.arrived_ms)) {
            count(&self.parts.counters.bad_times);
            self.turn_back(
                now,
                &arrival,
                &Reply::Failed { late: false, reason: FailureReason::InvalidArrivalTime },
            );
            return;
        }
        if let Some(key) = &key {
            // Two tries of one key in one instant: the first is settled, so that the second can name it.
            if self.instant_keys.contains(key) {
                self.settle(now);
            }
            self.instant_keys.push(key.clone());
        }
        let digest = self.keys.digest(&arrival.body);
        // Another request under a known key: its sender must not get what was made of the first, nor run.
        if key.as_ref().is_some_and(|key| self.keys.has_other_body(key, arrival.arrived_ms, digest)) {
            count(&self.parts.counters.refused_bodies);
            self.turn_back(
                now,
                &arrival,
                &Reply::Failed { late: false, reason: FailureReason::BodyMismatch },
            );
            return;
        }
        let duplicate_of = key.as_ref().and_then(|key| self.keys.retained_attempt(key, arrival.arrived_ms));
        if let (Idempotency::Keyed, Some(key), None, false) = (idempotency, &key, duplicate_of, claimed) {
            match self.unknown_key(now) {
                UnknownKey::Run => {}
                UnknownKey::Fail => {
                    let reply = Reply::Failed { late: false, reason: FailureReason::KeyStateUnknown };
                    self.turn_back(now, &arrival, &reply);
                    return;
                }
                UnknownKey::Claim => {
                    self.claim(now, key.clone(), digest, arrival);
                    return;
                }
            }
        }
        if duplicate_of.is_some() {
            count(&self.parts.counters.repeats);
        }
        let (has_subject, retry) = (arrival.subject.is_some(), arrival.again);
        let (class, tenant, mem_kb, arrived_ms) =
            (arrival.class, arrival.tenant, arrival.mem_kb, arrival.arrived_ms);
        let work_hint_ms = arrival.est_ms;
        let read = read_kind(now, &arrival);
        let id = self.requests.enter(OpenRequest {
            caller_id: arrival.caller.id(),
            caller: Some(arrival.caller),
            correlation_id: arrival.correlation_id,
            attempt_id: arrival.attempt_id,
            class,
            arrived_ms,
            read_ms: now,
            began_ms: now,
            work_hint_ms,
            degraded: false,
            deadline_ms,
            key,
            body: arrival.body,
            digest,
            state: RequestState::Queued,
            duplicate_of,
            need: (0, Vec::new()),
            feed: None,
            fed: None,
            call: 0,
            called_ms: 0.0,
            commanded: 0,
            halted: false,
        });
        self.emit(id, class, read);
        let queued_ms = (now - arrived_ms).max(0.0);
        let request = Request {
            id,
            class,
            tenant,
            deadline_ms: None,
            work_hint_ms,
            mem_kb,
            retry,
            queued_ms,
            duplicate_of,
            has_subject,
        };
        self.tell(now, Event::RequestArrived(request));
    }

    /// Answers a request that the module does not get to see.
    fn turn_back(&self, now: f64, arrival: &Arrival, reply: &Reply) {
        self.emit(0, arrival.class, read_kind(now, arrival));
        self.count_answer(arrival.class, reply);
        self.emit(
            0,
            arrival.class,
            answer_kind(reply, false, false, arrival.est_ms, now - arrival.arrived_ms),
        );
        arrival.caller.answer(arrival.correlation_id, reply);
    }

    fn count_answer(&self, class: usize, reply: &Reply) {
        self.parts.counters.count_class(class, |class| match reply {
            Reply::Served(_) => &class.served,
            Reply::Rejected { .. } => &class.refused,
            Reply::Failed { .. } => &class.failed,
        });
    }

    fn gone(&mut self, now: f64, id: u32) {
        if self.requests.release(id).is_none() {
            return;
        }
        self.emit_for(id, |open| RequestEventKind::CallerGone { took_ms: now - open.arrived_ms });
        let Some(open) = self.requests.get(id) else { return };
        let phase = open.state;
        self.parts.counters.count_class(open.class, |class| &class.gone);
        self.tell(now, Event::CallerGone { id });
        match phase {
            RequestState::Queued | RequestState::AwaitingResult => self.forget_request(id),
            RequestState::AwaitingCall | RequestState::InCall => self.end_at_call(id),
            RequestState::Running => {}
        }
    }

    fn engine_up(&mut self, now: f64, cold: bool, ms: f64) {
        self.engine_up = true;
        count(&self.parts.counters.engine_links);
        if self.controller.is_some() {
            // What was read from the old link and what was lost with it is known only after the notices
            // that are sent again; the gauges come behind them.
            self.asks += 1;
            self.barrier = Some(self.asks);
            self.parts.engine.stat(self.asks);
            return;
        }
        let began_ms = now - ms.max(0.0);
        if self.handover.is_some() {
            self.engine_up_for_handover(now, EngineStart { cold, began_ms });
        } else {
            self.begin(EngineStart { cold, began_ms });
        }
    }

    /// Begins to serve.
    fn begin(&mut self, EngineStart { cold, began_ms }: EngineStart) {
        if !self.life.engine_up() {
            // Told to leave before, it begins nothing any more.
            return;
        }
        let mut settings = self.parts.site.settings.clone();
        settings.cold = cold;
        match AdmissionController::new(settings, self.parts.seed) {
            Ok(mut controller) => {
                controller.handle(began_ms, Event::Started, &mut self.actions);
                self.controller = Some(controller);
                self.emit_process_event(ProcessEvent::Started { cold });
                self.life.set_healthy(true);
                self.publish();
            }
            Err(error) => tracing::error!(%error, "settings-unusable"),
        }
    }

    /// Sends again what the engine may not have seen: beginning a run that runs, and stopping one, change
    /// nothing the second time. Nor does a reply to a call whose run has told nothing since: lost with the old
    /// link, it would leave the run waiting until its due time. Probes showed that a run that goes on passes a
    /// second reply over, and that a later call takes none but its own. Going on without names its notice.
    fn resend(&mut self) {
        for open in self.requests.iter_mut() {
            let unread = |asks: u64| asks >= self.acked;
            if open.feed.is_some() && open.fed.is_none_or(unread) {
                tracing::info!(attempt_id = open.attempt_id, doubt = open.fed.is_some(), "refeed");
                feed_to(open, &*self.parts.engine);
                open.fed = Some(self.asks);
            } else if unread(open.commanded) && open.halted {
                self.parts.engine.halt(&open.attempt_id);
                open.commanded = self.asks;
            } else if unread(open.commanded) && open.state == RequestState::Running {
                let name = self.parts.site.class_name(open.class);
                self.parts.engine.run(&open.attempt_id, name, &open.body);
                open.commanded = self.asks;
            }
        }
    }

    fn stats(&mut self, now: f64, tag: u64, gauges: Vec<f64>) {
        self.gauges = gauges;
        if self.barrier == Some(tag) {
            self.barrier = None;
            // Before the tag counts: it came over the new link and proves nothing of what the old one lost.
            // Taken the other way round, a run begun while there was no link was never begun.
            self.resend();
        }
        self.acked = self.acked.max(tag);
        if let Some(at) = self.asked.iter().position(|asked| asked.tag == tag)
            && let Some(asked) = self.asked.remove(at)
        {
            let gauges = self.gauges.clone();
            self.tell(now, Event::TimerFired { token: asked.token, gauges });
        }
    }

    fn run_ended(&mut self, now: f64, id: u32, end: RunResult) {
        let Some(open) = self.requests.get(id) else { return };
        if matches!(open.state, RequestState::Queued | RequestState::AwaitingResult) {
            return;
        }
        let (calling, ran_ms) = (open.state == RequestState::InCall, now - open.began_ms);
        if calling {
            self.parts.store.cancel_call(open.call);
        }
        count(&self.parts.counters.runs_ended);
        let (outcome, end, result) = match end {
            RunResult::Complete(bytes) => (Outcome::Done, RunOutcome::Complete, Ok(bytes)),
            RunResult::Error => (Outcome::Failed, RunOutcome::Error, Err(FailureReason::RunFailed)),
            RunResult::Cancelled => {
                (Outcome::Cancelled, RunOutcome::Cancelled, Err(FailureReason::RunCancelled))
            }
            RunResult::Unknown => {
                (Outcome::NotStarted, RunOutcome::NotStarted, Err(FailureReason::RunNotStarted))
            }
        };
        if calling {
            self.emit_for(id, |open| call_dropped(now, open));
        }
        self.emit_for(id, |_| RequestEventKind::RunEnded { end, ran_ms });
        match &result {
            Ok(bytes) => self.answer(id, Reply::Served(bytes.clone()), false),
            Err(reason) => self.answer(id, Reply::Failed { late: false, reason: *reason }, false),
        }
        self.tell(now, Event::RunEnded { id, outcome });
        let key = self.requests.get(id).and_then(|open| open.key.clone());
        self.forget_request(id);
        if let Some(key) = key {
            self.key_ended(&key, id, outcome, result.map_or(AttemptResult::Failed, AttemptResult::Done));
        }
    }

    /// The try `id` of a key is over: its repeats are answered, and its result is kept for those to come. Proved not to
    /// have run, it leaves nothing: the next try is a first one.
    fn key_ended(&mut self, key: &Key, id: u32, outcome: Outcome, result: AttemptResult) {
        self.touch(key);
        let (waiters, dropped) = self.keys.ended(key, id, result.clone(), outcome == Outcome::NotStarted);
        for waiter in waiters {
            self.answer_repeat(waiter, &result);
        }
        if dropped {
            count(&self.parts.counters.results_dropped);
            self.emit_process_event(ProcessEvent::LimitReached(ResourceLimit::Results));
        }
    }

    fn answer_repeat(&mut self, id: u32, result: &AttemptResult) {
        if self.requests.in_state(id, RequestState::AwaitingResult).is_none() {
            return;
        }
        let outcome = match result {
            AttemptResult::Done(bytes) => {
                count(&self.parts.counters.reused);
                self.answer(id, Reply::Served(bytes.clone()), true);
                Outcome::Done
            }
            _ => {
                self.answer(id, Reply::Failed { late: false, reason: FailureReason::OriginalFailed }, true);
                Outcome::Failed
            }
        };
        self.forget_request(id);
        // Told after the batch in hand, as this may be the carrying out of an action.
        self.follow_up.push_back(Event::RunEnded { id, outcome });
    }

    fn call_ended(&mut self, now: f64, call: u64, outcome: Outcome, reply: Option<Vec<u8>>) {
        // One that was given up has been forgotten: its end is no end of a later call.
        let Some(id) = self.requests.call_over(call) else { return };
        let Some(open) = self.requests.in_state(id, RequestState::InCall) else { return };
        let took_ms = now - open.called_ms;
        let end = match outcome {
            Outcome::Done => CallOutcome::Done,
            Outcome::Rejected => CallOutcome::Rejected,
            Outcome::TimedOut => CallOutcome::TimedOut,
            Outcome::Unreachable => CallOutcome::Unreachable,
            Outcome::Reset => CallOutcome::Reset,
            Outcome::Failed | Outcome::Cancelled | Outcome::NotStarted => CallOutcome::Failed,
        };
        let class = open.class;
        match (outcome, reply) {
            (Outcome::Done, Some(reply)) => {
                count(&self.parts.counters.calls_done);
                self.go_on(id, CallResult::Reply(reply));
            }
            _ => {
                count(&self.parts.counters.calls_failed);
                open.state = RequestState::AwaitingCall;
            }
        }
        self.emit(id, class, RequestEventKind::CallEnded { end, called_ms: took_ms });
        self.tell(now, Event::CallEnded { id, outcome, took_ms });
    }

    /// Lets a run go on behind its call.
    fn go_on(&mut self, id: u32, feed: CallResult) {
        let Some(open) = self.requests.get_mut(id) else { return };
        open.state = RequestState::Running;
        open.commanded = 0;
        open.feed = Some(feed);
        // A link that was left a moment ago takes nothing, and the core hears of it behind this.
        let linked = self.engine_up && self.barrier.is_none();
        open.fed = (linked && feed_to(open, &*self.parts.engine)).then_some(self.asks);
    }

    /// The notice to leave, which came at this time.
    pub fn leave(&mut self, now: f64, at_ms: f64) {
        self.now_ms = now;
        if self.handover.is_some() {
            self.notice_in_handover(now, at_ms);
        } else {
            self.leave_service(now, at_ms);
        }
    }

    /// Begins the drain of a process that nobody follows.
    fn leave_service(&mut self, now: f64, at_ms: f64) {
        if !self.life.notice(at_ms) {
            return;
        }
        let late_ms = (now - at_ms).round();
        tracing::info!(open = self.requests.len(), connections = self.callers.len(), late_ms, "leaving");
        let kill_ms = at_ms + self.parts.stop_ms;
        self.publish();
        self.emit_process_event(ProcessEvent::Draining { kill_ms });
        self.tell(at_ms, Event::DrainStarted { kill_ms });
        // One that never served goes at once.
        if self.life.phase() == LifecyclePhase::Closing {
            self.close_doors();
        }
    }

    /// An operator's wish for a drain, or for its end.
    pub fn set_drained(&mut self, now: f64, drained: bool) {
        self.now_ms = now;
        self.apply_drained(drained);
        self.tell_peers_of_drain(now, drained);
    }

    fn apply_drained(&mut self, drained: bool) {
        let done = self.life.set_drained(drained);
        tracing::info!(drained, done, phase = ?self.life.phase(), "drain");
        self.publish();
    }

    /// Tells outside what follows from where the process stands.
    fn publish(&self) {
        let (published, status) = (self.life.published(), &self.parts.status);
        status.phase.set(self.life.phase());
        status.healthy.set(published.healthy);
        if status.listed.replace(published.listed) != published.listed {
            status.report.wake();
        }
    }

    fn close_doors(&self) {
        self.callers.values().for_each(|caller| caller.leave());
        self.release_listeners();
        self.parts.status.shut.open();
    }

    /// Goes on through the life of the process as far as time and what is left allow.
    fn live(&mut self, now: f64) {
        loop {
            let open_sockets = &self.parts.open_sockets;
            let (listeners, connections) = (open_sockets.open(), open_sockets.connections());
            let owed = !self.requests.nothing_owed() || self.has_claims();
            let Some(phase) = self.life.advance(now, Outstanding { listeners, connections, owed }) else {
                return;
            };
            match phase {
                LifecyclePhase::GoAwaySent => self.callers.values().for_each(|caller| caller.leave()),
                LifecyclePhase::Closing => self.close_doors(),
                LifecyclePhase::Finishing => {
                    let owed = self.requests.iter().filter(|(_, open)| open.caller.is_some());
                    for id in owed.map(|(id, _)| id).collect::<Vec<_>>() {
                        count(&self.parts.counters.overdue);
                        self.give_up(now, id, Reply::Failed { late: true, reason: FailureReason::Shutdown });
                    }
                    self.deny_all_claims(now);
                    self.parts.status.finishing.open();
                }
                LifecyclePhase::Starting
                | LifecyclePhase::StartingLameDuck
                | LifecyclePhase::Serving
                | LifecyclePhase::LameDuck
                | LifecyclePhase::Draining
                | LifecyclePhase::HandedOver
                | LifecyclePhase::Terminated => {}
            }
            self.parts.status.phase.set(phase);
        }
    }

    // ---- time ----

    /// When the core has to act next even if nothing comes.
    pub fn next_due(&self) -> Option<f64> {
        let timers = self.timers.iter().map(|(at, _)| *at);
        let asked = self.asked.iter().map(|asked| asked.give_up_ms);
        let idle = self.requests.is_empty() && self.life.phase() < LifecyclePhase::Draining;
        let watch = (!idle).then_some(self.watched_ms + WATCH_MS);
        timers
            .chain(asked)
            .chain(watch)
            .chain(self.life.next_due())
            .chain(self.handover_due())
            .min_by(f64::total_cmp)
    }

    fn run_timers(&mut self, now: f64) {
        let due: Vec<u32> =
            self.timers.iter().filter(|(at, _)| *at <= now).map(|(_, token)| *token).collect();
        self.timers.retain(|(at, _)| *at > now);
        for token in due {
            self.asks += 1;
            // Without a link nothing answers: the last gauges have to do at once.
            let give_up_ms = if self.engine_up { now + GAUGES_MS } else { now };
            if self.engine_up {
                self.parts.engine.stat(self.asks);
            }
            self.asked.push_back(Asked { tag: self.asks, token, give_up_ms });
        }
        while self.asked.front().is_some_and(|asked| asked.give_up_ms <= now) {
            if let Some(asked) = self.asked.pop_front() {
                count(&self.parts.counters.stale_gauges);
                let gauges = self.gauges.clone();
                self.tell(now, Event::TimerFired { token: asked.token, gauges });
            }
        }
        if now >= self.watched_ms + WATCH_MS {
            self.watched_ms = now;
            self.watch(now);
        }
    }

    /// Answers what the decisions have not, and ends what is left of it.
    fn give_up(&mut self, now: f64, id: u32, reply: Reply) {
        self.answer(id, reply, false);
        let phase = self.requests.get(id).map(|open| open.state);
        self.tell(now, Event::CallerGone { id });
        match phase {
            Some(RequestState::Queued | RequestState::AwaitingResult) => self.forget_request(id),
            Some(RequestState::AwaitingCall | RequestState::InCall) => self.end_at_call(id),
            _ => {}
        }
    }

    /// How long after its due time the core answers a request that nothing else has answered, ms.
    fn overdue_slack_ms(&self) -> f64 {
        self.parts.site.settings.rules.answer_slack_ms * OVERDUE_PART
    }

    /// What holds whatever the module does: nothing stays unanswered past its time.
    fn watch(&mut self, now: f64) {
        let slack = self.overdue_slack_ms();
        let owed = self.requests.iter().filter(|(_, open)| open.caller.is_some());
        let late = owed.filter(|(_, open)| now >= open.deadline_ms + slack);
        for id in late.map(|(id, _)| id).collect::<Vec<_>>() {
            count(&self.parts.counters.overdue);
            self.give_up(now, id, Reply::Failed { late: true, reason: FailureReason::Overdue });
        }
        if let Some(after_ms) = self.caller_idle_timeout_ms {
            self.callers.values().for_each(|caller| caller.go_away_if_idle(now - after_ms));
        }
        self.tell_connections(now);
        if now >= self.swept_ms + KEY_SWEEP_MS {
            self.swept_ms = now;
            self.keys.sweep(now);
        }
    }

    // ---- actions out ----

    /// Ends an instant: due timers, one settlement, and everything the module wants done.
    pub fn settle(&mut self, now: f64) {
        self.now_ms = now;
        self.live(now);
        self.run_timers(now);
        self.handover_tick(now);
        self.instant_keys.clear();
        loop {
            while let Some(event) = self.follow_up.pop_front() {
                self.tell(now, event);
            }
            self.tell(now, Event::BatchEnded);
            let actions = std::mem::take(&mut self.actions);
            actions.into_iter().for_each(|action| self.carry_out(now, action));
            if self.follow_up.is_empty() {
                self.ended.clear();
                self.tell_successor_of_keys(now);
                return;
            }
        }
    }

    fn carry_out(&mut self, now: f64, action: Action) {
        match action {
            Action::StartRun { id } => self.start(now, id),
            Action::Reject { id, retry_after_ms, last, reason } => {
                self.emit_for(id, |_| RequestEventKind::Decided(Decision::Reject(reason)));
                self.answer(id, Reply::Rejected { retry_after_ms, last, reason }, false);
                self.drop_unrun(id);
            }
            Action::Fail { id, reason } => {
                let late = self.requests.get(id).is_some_and(|open| now + WATCH_MS >= open.deadline_ms);
                self.emit_for(id, |_| RequestEventKind::Decided(Decision::Fail(reason)));
                self.answer(id, Reply::Failed { late, reason }, false);
                self.drop_unrun(id);
                self.end_at_call(id);
            }
            Action::CancelRun { id } => {
                if let Some(open) = self.requests.in_state(id, RequestState::Running) {
                    count(&self.parts.counters.halts);
                    open.halted = true;
                    open.commanded = self.asks;
                    self.parts.engine.halt(&open.attempt_id);
                }
            }
            Action::StartCall { id, call_timeout_ms } => {
                if self.requests.in_state(id, RequestState::AwaitingCall).is_some()
                    && let Some(call) = self.requests.called(id, now)
                    && let Some(open) = self.requests.get(id)
                {
                    count(&self.parts.counters.calls);
                    let once =
                        self.parts.site.settings.classes[open.class].idempotency != Idempotency::ReadOnly;
                    self.parts.store.clone().call(
                        call,
                        &open.attempt_id,
                        call_timeout_ms,
                        &open.need.1,
                        once,
                    );
                    self.emit_for(id, |_| RequestEventKind::CallStarted);
                }
            }
            Action::SkipCall { id } => {
                if let Some(open) = self.requests.in_state(id, RequestState::AwaitingCall) {
                    open.degraded = true;
                    self.emit_for(id, |_| RequestEventKind::CallSkipped);
                    count(&self.parts.counters.calls_left_out);
                    self.go_on(id, CallResult::Nothing);
                }
            }
            Action::RetainKey { id, ttl_ms } => self.remember(now, id, ttl_ms),
            Action::ReleaseKey { id } => {
                if let Some((key, _)) = self.key_of(id) {
                    self.touch(&key);
                    self.keys.forget(&key, id);
                }
            }
            Action::ReuseResult { id } => self.reuse(id),
            Action::SetHealth { good, .. } => {
                self.life.set_healthy(good);
                self.publish();
            }
            Action::ReportLoad { value } => self.parts.status.hint.set(Some(value)),
            Action::CloseIdleConnections { after_ms } => self.caller_idle_timeout_ms = Some(after_ms),
            Action::SetTimer { after_ms, token } => self.timers.push((now + after_ms, token)),
            Action::Log { text } => tracing::info!(text, "module"),
        }
    }

    fn start(&mut self, now: f64, id: u32) {
        let Some(open) = self.requests.in_state(id, RequestState::Queued) else { return };
        let class = &self.parts.site.settings.classes[open.class];
        if let (Idempotency::Keyed, Some(key)) = (class.idempotency, &open.key) {
            let until = open.arrived_ms + class.dedup_window_ms + 1.0;
            let start = Start { id, digest: open.digest, arrived_ms: open.arrived_ms, until };
            if self.keys.start(key, start).is_err() {
                count(&self.parts.counters.doubles_prevented);
                self.answer(id, Reply::Failed { late: false, reason: FailureReason::AlreadyRan }, false);
                self.forget_request(id);
                self.follow_up.push_back(Event::RunEnded { id, outcome: Outcome::NotStarted });
                return;
            }
        }
        open.state = RequestState::Running;
        open.began_ms = now;
        open.commanded = self.asks;
        self.parts.counters.count_class(open.class, |class| &class.runs);
        if self.engine_up && self.barrier.is_none() {
            self.parts.engine.run(&open.attempt_id, self.parts.site.class_name(open.class), &open.body);
        }
        self.touch_key_of(id);
        self.emit_for(id, |_| RequestEventKind::Decided(Decision::Run));
        self.emit_for(id, |open| RequestEventKind::RunStarted { queue_wait_ms: now - open.read_ms });
    }

    /// Key and digest of a request that is open, or ended in the instant in hand: what the module wants of a key when
    /// its run ends, it says after the end. Dropped for want of the request, the wish to keep a read's answer for a
    /// moment only left it in the table for the whole time that its caller would have waited.
    fn key_of(&self, id: u32) -> Option<(Key, u64)> {
        let open = self.requests.get(id).and_then(|open| Some((open.key.clone()?, open.digest)));
        open.or_else(|| {
            self.ended.iter().find(|(ended, ..)| *ended == id).map(|(_, key, digest)| (key.clone(), *digest))
        })
    }

    fn remember(&mut self, now: f64, id: u32, ttl_ms: f64) {
        if let Some((key, digest)) = self.key_of(id) {
            self.touch(&key);
            self.keys.remember(key, id, digest, now + ttl_ms);
        }
    }

    fn reuse(&mut self, id: u32) {
        let Some(open) = self.requests.in_state(id, RequestState::Queued) else { return };
        open.state = RequestState::AwaitingResult;
        let (key, first) = (open.key.clone(), open.duplicate_of);
        self.emit_for(id, |_| RequestEventKind::Decided(Decision::ReuseResult));
        let remote = key.as_ref().and_then(|key| self.keys.remote_attempt(key));
        let under_way =
            first.is_some_and(|first| self.requests.get(first).is_some() || remote == Some(first));
        if let JoinOutcome::Over(result) = self.keys.join(key.as_ref(), id, first, under_way) {
            self.answer_repeat(id, &result);
        }
    }

    /// Gives the one answer, if it is still owed; `deduplicated` if it was made for another try.
    fn answer(&mut self, id: u32, reply: Reply, deduplicated: bool) {
        let Some(caller) = self.requests.release(id) else { return };
        let Some(open) = self.requests.get(id) else { return };
        let correlation_id = open.correlation_id;
        self.count_answer(open.class, &reply);
        let took_ms = self.now_ms - open.arrived_ms;
        self.emit(
            id,
            open.class,
            answer_kind(&reply, deduplicated, open.degraded, open.work_hint_ms, took_ms),
        );
        caller.answer(correlation_id, &reply);
    }

    /// After an answer: what never ran is over.
    fn drop_unrun(&mut self, id: u32) {
        if self
            .requests
            .get(id)
            .is_some_and(|open| matches!(open.state, RequestState::Queued | RequestState::AwaitingResult))
        {
            self.forget_request(id);
        }
    }

    /// Ends a run that stands at a call and whose request is over; the engine says when it has ended.
    fn end_at_call(&mut self, id: u32) {
        let Some(open) = self.requests.get_mut(id) else { return };
        let mut dropped = None;
        if open.state == RequestState::InCall {
            self.parts.store.cancel_call(open.call);
            open.state = RequestState::AwaitingCall;
            dropped = Some((open.call, open.class, call_dropped(self.now_ms, open)));
        }
        let may_halt = self.parts.site.settings.preemption != Preemption::Never;
        if open.state == RequestState::AwaitingCall && !open.halted && may_halt {
            open.halted = true;
            open.commanded = self.asks;
            self.parts.engine.halt(&open.attempt_id);
        }
        if let Some((call, class, kind)) = dropped {
            self.requests.call_over(call);
            self.emit(id, class, kind);
        }
    }

    fn forget_request(&mut self, id: u32) {
        let Some(open) = self.requests.remove(id) else { return };
        if let Some(key) = open.key {
            self.touch(&key);
            self.keys.left(&key, id, open.state == RequestState::Queued);
            self.ended.push((id, key, open.digest));
        }
    }
}

/// The times of a drain.
fn times(site: &Site, stop_ms: f64) -> DrainTimes {
    let longest_ms = site.settings.longest_timeout_ms().min(HANDOVER_DEADLINE_MOST_MS);
    let handover_stop_ms = stop_ms.min(longest_ms + HANDOVER_MARGIN_MS);
    DrainTimes { grace_ms: site.settings.rules.drain_grace_ms, stop_ms, handover_stop_ms }
}

/// Bytes that kept results may take in a process with so much memory.
fn results_most(memory_mb: f64) -> f64 {
    RESULTS_PART * memory_mb * 1_048_576.0
}

fn read_kind(now: f64, arrival: &Arrival) -> RequestEventKind {
    let (protocol, retry, work_hint_ms) = (arrival.front, arrival.again, arrival.est_ms);
    RequestEventKind::Received {
        protocol,
        retry,
        hint_ms: work_hint_ms,
        read_delay_ms: (now - arrival.arrived_ms).max(0.0),
    }
}

fn answer_kind(
    reply: &Reply,
    deduplicated: bool,
    degraded: bool,
    work_hint_ms: Option<f64>,
    took_ms: f64,
) -> RequestEventKind {
    let answer = match reply {
        Reply::Failed { late: true, reason } => {
            return RequestEventKind::DeadlineExceeded { why: *reason, took_ms };
        }
        Reply::Served(_) => Answer::Served { deduplicated, degraded },
        Reply::Rejected { reason, .. } => Answer::Rejected(*reason),
        Reply::Failed { reason, .. } => Answer::Failed(*reason),
    };
    RequestEventKind::Answered { answer, hint_ms: work_hint_ms, took_ms }
}

fn call_dropped(now: f64, open: &OpenRequest) -> RequestEventKind {
    RequestEventKind::CallEnded { end: CallOutcome::Dropped, called_ms: now - open.called_ms }
}

/// Writes what a run goes on with; tells whether there is a link that it goes to.
fn feed_to(open: &OpenRequest, engine: &dyn Engine) -> bool {
    match &open.feed {
        Some(CallResult::Reply(reply)) => engine.feed(&open.attempt_id, reply),
        Some(CallResult::Nothing) => engine.skip(&open.attempt_id, open.need.0),
        None => false,
    }
}
