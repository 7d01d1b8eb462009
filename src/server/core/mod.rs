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
pub use self::handover::{HandoverDependencies, HandoverState, longest_dedup_window_ms};
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
use crate::server::core::keys::{
    Attempt, AttemptEnd, AttemptResult, IdempotencyKey, JoinOutcome, KeyTable, OriginalState, Waiter,
};
use crate::server::core::requests::{CallResult, OpenRequest, RequestState, RequestTable};
use crate::server::observability::counters::{Counters, count};

/// Wait for the gauges after a timer is due, ms: due times hang on timers, so a silent engine must not hold
/// them up. Several rounds of a loaded loopback, and well under the slack of an answer.
const GAUGE_TIMEOUT_MS: f64 = 25.0;
/// Between two looks of the core at what is owed, ms.
const WATCHDOG_INTERVAL_MS: f64 = 50.0;
/// Part of the answer slack after which the core answers what the decisions have not.
const OVERDUE_SLACK_RATIO: f64 = 0.8;
/// Between two clearings of the key table, ms.
const KEY_SWEEP_INTERVAL_MS: f64 = 1000.0;
/// How far ahead of the clock a request may say it came, ms, and how many times its class's time, and this much
/// more, it may have lain unread. What says otherwise is no router's, and would stretch due times and keys'
/// windows without end, or pass for a jam that no one could have read through.
const MAX_CLOCK_AHEAD_MS: f64 = 1000.0;
const MAX_READ_DELAY_FACTOR: f64 = 2.0;
const READ_DELAY_MARGIN_MS: f64 = 1000.0;
/// From the notice to the kill of a process that another one follows, ms: the longest deadline, which counts as so much at
/// most, and a margin.
const MAX_HANDOVER_TIMEOUT_MS: f64 = 3000.0;
const HANDOVER_MARGIN_MS: f64 = 700.0;
/// Part of the process memory that kept results may take; past it a repeat is failed, still never run.
const RESULT_MEMORY_RATIO: f64 = 0.25;

/// How the engine started.
#[derive(Clone, Copy, Debug)]
struct EngineStart {
    cold: bool,
    /// When, ms.
    run_started_ms: f64,
}

struct GaugePoll {
    tag: u64,
    token: u32,
    deadline_ms: f64,
}

/// Everything the core needs from the rest of the node.
pub struct CoreDependencies {
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
    pub handover: Option<HandoverDependencies>,
}

/// The core. [`Core::run`] is its task; the rest is for that task alone.
pub struct Core {
    dependencies: CoreDependencies,
    lifecycle: Lifecycle,
    controller: Option<AdmissionController>,
    callers: BTreeMap<u64, Rc<dyn Caller>>,
    requests: RequestTable,
    keys: KeyTable,
    actions: Vec<Action>,
    follow_up_events: VecDeque<Event>,
    timers: Vec<(f64, u32)>,
    pending_polls: VecDeque<GaugePoll>,
    last_gauge_tag: u64,
    acknowledged_tag: u64,
    resync_tag: Option<u64>,
    engine_attached: bool,
    latest_gauges: Vec<f64>,
    last_watchdog_ms: f64,
    last_key_sweep_ms: f64,
    caller_idle_timeout_ms: Option<f64>,
    batch_keys: Vec<IdempotencyKey>,
    /// Requests with keys that ended in the instant in hand: number, key, digest.
    ended_requests: Vec<(u32, IdempotencyKey, u64)>,
    /// The instant in hand, ms.
    now_ms: f64,
    handover: Option<Handover>,
}

impl Core {
    /// A core without a decision module: that is made when the engine says how the machine started.
    pub fn new(mut dependencies: CoreDependencies) -> Self {
        let keys = KeyTable::new(max_result_bytes(dependencies.memory_mb));
        let times = drain_times(&dependencies.site, dependencies.stop_ms);
        let handover = dependencies.handover.take().map(Handover::new);
        Core {
            lifecycle: Lifecycle::new(times, dependencies.site.registry_follows_health),
            dependencies,
            controller: None,
            callers: BTreeMap::new(),
            requests: RequestTable::default(),
            keys,
            actions: Vec::new(),
            follow_up_events: VecDeque::new(),
            timers: Vec::new(),
            pending_polls: VecDeque::new(),
            last_gauge_tag: 0,
            acknowledged_tag: 0,
            resync_tag: None,
            engine_attached: false,
            latest_gauges: Vec::new(),
            last_watchdog_ms: 0.0,
            last_key_sweep_ms: 0.0,
            caller_idle_timeout_ms: None,
            batch_keys: Vec::new(),
            ended_requests: Vec::new(),
            now_ms: 0.0,
            handover,
        }
    }

    /// Serves until the node has left: all that is queued, then one settlement, then sleep. Returns when the process
    /// will be killed, ms.
    pub async fn run(mut self, queue: Receiver<CoreInput>) -> f64 {
        let (clock, status) = (self.dependencies.clock.clone(), self.dependencies.status.clone());
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
                status.core_wakeup.wait().await;
                None
            };
            let first = future::or(async { queue.recv().await.ok() }, future::or(notice, timer)).await;
            let now = clock.now();
            if let Some(at_ms) = status.termination_notice_ms.take() {
                self.start_drain(now, at_ms);
            }
            if let Some(drained) = status.lame_duck_request.take() {
                self.set_drained(now, drained);
            }
            self.handle_peer_events(now);
            first.into_iter().for_each(|input| self.handle(now, input));
            while let Ok(input) = queue.try_recv() {
                self.handle(now, input);
            }
            self.process_batch(now);
            if self.lifecycle.phase() == LifecyclePhase::Terminated {
                self.dependencies.observer.core_state(now, &self.state());
                self.emit_process_event(ProcessEvent::Stopped);
                return self.lifecycle.kill_ms().unwrap_or(f64::INFINITY);
            }
            // A timer that is due again at once must not keep all others from theirs.
            future::yield_now().await;
        }
    }

    // ---- facts out ----

    fn emit(&self, id: u32, class: usize, kind: RequestEventKind) {
        self.dependencies.observer.request_event(self.now_ms, RequestEvent { id, class, kind });
    }

    /// The same for a request in the table.
    fn emit_for(&self, id: u32, kind: impl FnOnce(&OpenRequest) -> RequestEventKind) {
        if let Some(open) = self.requests.get(id) {
            self.emit(id, open.class, kind(open));
        }
    }

    fn emit_process_event(&self, turn: ProcessEvent) {
        self.dependencies.observer.process_event(self.now_ms, turn);
    }

    /// Where the process stands in its life.
    pub fn phase(&self) -> LifecyclePhase {
        self.lifecycle.phase()
    }

    /// What the tables hold now, and what the module says of itself.
    pub fn state(&self) -> CoreState {
        let mut state = CoreState {
            open: vec![0; self.dependencies.site.settings.classes.len()],
            ..CoreState::default()
        };
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
        state.module = self.controller.iter().flat_map(|module| module.view().figures()).collect();
        state
    }

    // ---- events in ----

    fn dispatch(&mut self, now: f64, event: Event) {
        if let Some(controller) = &mut self.controller {
            controller.handle(now, event, &mut self.actions);
        }
    }

    /// Takes one input. What the module wants done is carried out by the next [`Core::process_batch`].
    pub fn handle(&mut self, now: f64, input: CoreInput) {
        self.now_ms = now;
        match input {
            CoreInput::ConnectionOpened(caller) => {
                if self.lifecycle.phase() >= LifecyclePhase::GoAwaySent {
                    caller.go_away();
                }
                self.callers.insert(caller.id(), caller);
            }
            CoreInput::ConnectionClosed { caller } => {
                self.callers.remove(&caller);
                for id in self.requests.unanswered_of(caller) {
                    self.handle_caller_gone(now, id);
                }
                self.remove_claimants(now, caller, None);
            }
            CoreInput::RequestReceived(arrival) => self.handle_arrival(now, *arrival),
            CoreInput::CallerGone { caller, correlation_id } => {
                if let Some(id) = self.requests.by_correlation_id(caller, correlation_id) {
                    self.handle_caller_gone(now, id);
                } else {
                    self.remove_claimants(now, caller, Some(correlation_id));
                }
            }
            CoreInput::ProtocolError { caller } => {
                for id in self.requests.unanswered_of(caller) {
                    self.fail_request(
                        now,
                        id,
                        Reply::Failed { late: false, reason: FailureReason::ProtocolError },
                    );
                }
                self.fail_claimants(now, caller);
            }
            CoreInput::EngineAttached { cold, ms } => self.handle_engine_attached(now, cold, ms),
            CoreInput::EngineDetached => {
                self.engine_attached = false;
                self.resync_tag = None;
            }
            CoreInput::RunEnded { attempt_id, result: end } => {
                if let Some(id) = self.requests.by_attempt_id(&attempt_id) {
                    self.handle_run_ended(now, id, end);
                }
            }
            CoreInput::CallNeeded { attempt_id, notice, body } => {
                let Some(id) = self.requests.by_attempt_id(&attempt_id) else { return };
                let Some(open) = self.requests.get_mut(id) else { return };
                // A further call for the same request gives up the first.
                let given_up = (open.state == RequestState::InCall)
                    .then(|| (open.call_id, dropped_call_event(now, open)));
                if let Some((call, _)) = given_up {
                    self.dependencies.store.cancel_call(call);
                }
                open.state = RequestState::AwaitingCall;
                open.need = (notice, body);
                open.resume_with = None;
                let (over, class) = (open.caller.is_none(), open.class);
                if let Some((call, kind)) = given_up {
                    self.requests.end_call(call);
                    self.emit(id, class, kind);
                }
                self.dispatch(now, Event::CallNeeded { id });
                if over {
                    self.cancel_run_at_call(id);
                }
            }
            CoreInput::Gauges { tag, values: gauges } => self.handle_gauges(now, tag, gauges),
            CoreInput::CommandRejected { command, attempt_id } => {
                count(&self.dependencies.counters.engine_refusals);
                tracing::warn!(command, attempt_id, "engine-refused");
                if let ("RUN", Some(id)) = (command.as_str(), self.requests.by_attempt_id(&attempt_id)) {
                    self.handle_run_ended(now, id, RunResult::Unknown);
                }
            }
            CoreInput::CallEnded { call, outcome, reply } => {
                self.handle_call_ended(now, call, outcome, reply)
            }
            CoreInput::ReportState => self.dependencies.observer.core_state(now, &self.state()),
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
        let (old, settings) = (&self.dependencies.site.settings, &site.settings);
        // What the module said before meant something else; it says it anew.
        if old.load_report != settings.load_report {
            self.dependencies.status.load_report.set(None);
        }
        if old.caller_idle_timeout_ms != settings.caller_idle_timeout_ms {
            self.caller_idle_timeout_ms = None;
        }
        self.lifecycle.reconfigure(drain_times(&site, stop_ms), site.registry_follows_health);
        self.keys.set_max_result_bytes(max_result_bytes(memory_mb));
        (self.dependencies.site, self.dependencies.stop_ms, self.dependencies.memory_mb) =
            (site, stop_ms, memory_mb);
        self.reconfigure_handover();
        self.publish();
    }

    fn handle_arrival(&mut self, now: f64, arrival: Arrival) {
        self.dependencies.counters.count_class(arrival.class, |class| &class.requests);
        self.admit(now, arrival, false);
    }

    /// Brings a request before the module, if nothing speaks against it; `claimed` if the other process of this server has
    /// let this one run its key.
    fn admit(&mut self, now: f64, arrival: Arrival, claimed: bool) {
        let class = &self.dependencies.site.settings.classes[arrival.class];
        let key = match class.idempotency {
            Idempotency::Keyed => arrival.token.clone().map(IdempotencyKey::of_keyed_classes),
            Idempotency::ReadOnly if self.dependencies.site.settings.read_result_ttl_ms > 0.0 => {
                arrival.subject.clone().map(|subject| IdempotencyKey::of_class(arrival.class, subject))
            }
            _ => None,
        };
        let idempotency = class.idempotency;
        let deadline_ms = arrival.arrived_ms + class.timeout_ms;
        // All that was read before has its answer, and the process ends in a moment.
        if self.lifecycle.phase() >= LifecyclePhase::Finishing {
            self.reject_unadmitted(
                now,
                &arrival,
                &Reply::Failed { late: true, reason: FailureReason::Shutdown },
            );
            return;
        }
        // Without a module nothing runs.
        if self.controller.is_none() {
            let reason = RejectReason::NotReady;
            self.reject_unadmitted(
                now,
                &arrival,
                &Reply::Rejected { retry_after_ms: 0.0, last: false, reason },
            );
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
            self.reject_unadmitted(now, &arrival, &reply);
            return;
        }
        let unread_most = class.timeout_ms * MAX_READ_DELAY_FACTOR + READ_DELAY_MARGIN_MS;
        if !(-MAX_CLOCK_AHEAD_MS..=unread_most).contains(&(now - arrival.arrived_ms)) {
            count(&self.dependencies.counters.bad_times);
            self.reject_unadmitted(
                now,
                &arrival,
                &Reply::Failed { late: false, reason: FailureReason::InvalidArrivalTime },
            );
            return;
        }
        if let Some(key) = &key {
            // Two tries of one key in one instant: the first is settled, so that the second can name it.
            if self.batch_keys.contains(key) {
                self.process_batch(now);
            }
            self.batch_keys.push(key.clone());
        }
        let digest = self.keys.digest(&arrival.body);
        // Another request under a known key: its sender must not get what was made of the first, nor run.
        if key.as_ref().is_some_and(|key| self.keys.has_other_body(key, arrival.arrived_ms, digest)) {
            count(&self.dependencies.counters.refused_bodies);
            self.reject_unadmitted(
                now,
                &arrival,
                &Reply::Failed { late: false, reason: FailureReason::BodyMismatch },
            );
            return;
        }
        let duplicate_of = key.as_ref().and_then(|key| self.keys.original_of(key, arrival.arrived_ms));
        if let (Idempotency::Keyed, Some(key), None, false) = (idempotency, &key, duplicate_of, claimed) {
            match self.unknown_key_policy(now) {
                UnknownKey::Run => {}
                UnknownKey::Fail => {
                    let reply = Reply::Failed { late: false, reason: FailureReason::KeyStateUnknown };
                    self.reject_unadmitted(now, &arrival, &reply);
                    return;
                }
                UnknownKey::Claim => {
                    self.claim(now, key.clone(), digest, arrival);
                    return;
                }
            }
        }
        if duplicate_of.is_some() {
            count(&self.dependencies.counters.repeats);
        }
        let (has_subject, retry) = (arrival.subject.is_some(), arrival.again);
        let (class, tenant, mem_kb, arrived_ms) =
            (arrival.class, arrival.tenant, arrival.mem_kb, arrival.arrived_ms);
        let work_hint_ms = arrival.est_ms;
        let read = received_event(now, &arrival);
        let id = self.requests.insert(OpenRequest {
            caller_id: arrival.caller.id(),
            caller: Some(arrival.caller),
            correlation_id: arrival.correlation_id,
            attempt_id: arrival.attempt_id,
            class,
            arrived_ms,
            read_ms: now,
            run_started_ms: now,
            work_hint_ms,
            degraded: false,
            deadline_ms,
            key,
            body: arrival.body,
            digest,
            state: RequestState::Queued,
            duplicate_of,
            need: (0, Vec::new()),
            resume_with: None,
            resume_tag: None,
            call_id: 0,
            call_started_ms: 0.0,
            command_tag: 0,
            cancelled: false,
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
        self.dispatch(now, Event::RequestArrived(request));
    }

    /// Answers a request that the module does not get to see.
    fn reject_unadmitted(&self, now: f64, arrival: &Arrival, reply: &Reply) {
        self.emit(0, arrival.class, received_event(now, arrival));
        self.count_answer(arrival.class, reply);
        self.emit(
            0,
            arrival.class,
            answer_event(reply, false, false, arrival.est_ms, now - arrival.arrived_ms),
        );
        arrival.caller.answer(arrival.correlation_id, reply);
    }

    fn count_answer(&self, class: usize, reply: &Reply) {
        self.dependencies.counters.count_class(class, |class| match reply {
            Reply::Served(_) => &class.served,
            Reply::Rejected { .. } => &class.refused,
            Reply::Failed { .. } => &class.failed,
        });
    }

    fn handle_caller_gone(&mut self, now: f64, id: u32) {
        if self.requests.take_caller(id).is_none() {
            return;
        }
        self.emit_for(id, |open| RequestEventKind::CallerGone { took_ms: now - open.arrived_ms });
        let Some(open) = self.requests.get(id) else { return };
        let phase = open.state;
        self.dependencies.counters.count_class(open.class, |class| &class.gone);
        self.dispatch(now, Event::CallerGone { id });
        match phase {
            RequestState::Queued | RequestState::AwaitingResult => self.remove_request(id),
            RequestState::AwaitingCall | RequestState::InCall => self.cancel_run_at_call(id),
            RequestState::Running => {}
        }
    }

    fn handle_engine_attached(&mut self, now: f64, cold: bool, ms: f64) {
        self.engine_attached = true;
        count(&self.dependencies.counters.engine_links);
        if self.controller.is_some() {
            // What was read from the old link and what was lost with it is known only after the notices
            // that are sent again; the gauges come behind them.
            self.last_gauge_tag += 1;
            self.resync_tag = Some(self.last_gauge_tag);
            self.dependencies.engine.request_gauges(self.last_gauge_tag);
            return;
        }
        let run_started_ms = now - ms.max(0.0);
        if self.handover.is_some() {
            self.handle_engine_attached_in_handover(now, EngineStart { cold, run_started_ms });
        } else {
            self.start_controller(EngineStart { cold, run_started_ms });
        }
    }

    /// Begins to serve.
    fn start_controller(&mut self, EngineStart { cold, run_started_ms }: EngineStart) {
        if !self.lifecycle.engine_up() {
            // Told to leave before, it begins nothing any more.
            return;
        }
        let mut settings = self.dependencies.site.settings.clone();
        settings.cold = cold;
        match AdmissionController::new(settings, self.dependencies.seed) {
            Ok(mut controller) => {
                controller.handle(run_started_ms, Event::Started, &mut self.actions);
                self.controller = Some(controller);
                self.emit_process_event(ProcessEvent::Started { cold });
                self.lifecycle.set_healthy(true);
                self.publish();
            }
            Err(error) => tracing::error!(%error, "settings-unusable"),
        }
    }

    /// Sends again what the engine may not have seen: beginning a run that runs, and stopping one, change
    /// nothing the second time. Nor does a reply to a call whose run has told nothing since: lost with the old
    /// link, it would leave the run waiting until its due time. Probes showed that a run that goes on passes a
    /// second reply over, and that a later call takes none but its own. Going on without names its notice.
    fn resend_commands(&mut self) {
        for open in self.requests.iter_mut() {
            let unread = |last_gauge_tag: u64| last_gauge_tag >= self.acknowledged_tag;
            if open.resume_with.is_some() && open.resume_tag.is_none_or(unread) {
                tracing::info!(attempt_id = open.attempt_id, doubt = open.resume_tag.is_some(), "refeed");
                send_resume(open, &*self.dependencies.engine);
                open.resume_tag = Some(self.last_gauge_tag);
            } else if unread(open.command_tag) && open.cancelled {
                self.dependencies.engine.cancel_run(&open.attempt_id);
                open.command_tag = self.last_gauge_tag;
            } else if unread(open.command_tag) && open.state == RequestState::Running {
                let name = self.dependencies.site.class_name(open.class);
                self.dependencies.engine.start_run(&open.attempt_id, name, &open.body);
                open.command_tag = self.last_gauge_tag;
            }
        }
    }

    fn handle_gauges(&mut self, now: f64, tag: u64, gauges: Vec<f64>) {
        self.latest_gauges = gauges;
        if self.resync_tag == Some(tag) {
            self.resync_tag = None;
            // Before the tag counts: it came over the new link and proves nothing of what the old one lost.
            // Taken the other way round, a run begun while there was no link was never begun.
            self.resend_commands();
        }
        self.acknowledged_tag = self.acknowledged_tag.max(tag);
        if let Some(at) = self.pending_polls.iter().position(|asked| asked.tag == tag)
            && let Some(asked) = self.pending_polls.remove(at)
        {
            let gauges = self.latest_gauges.clone();
            self.dispatch(now, Event::TimerFired { token: asked.token, gauges });
        }
    }

    fn handle_run_ended(&mut self, now: f64, id: u32, end: RunResult) {
        let Some(open) = self.requests.get(id) else { return };
        if matches!(open.state, RequestState::Queued | RequestState::AwaitingResult) {
            return;
        }
        let (calling, ran_ms) = (open.state == RequestState::InCall, now - open.run_started_ms);
        if calling {
            self.dependencies.store.cancel_call(open.call_id);
        }
        count(&self.dependencies.counters.runs_ended);
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
            self.emit_for(id, |open| dropped_call_event(now, open));
        }
        self.emit_for(id, |_| RequestEventKind::RunEnded { end, ran_ms });
        match &result {
            Ok(bytes) => self.answer(id, Reply::Served(bytes.clone()), false),
            Err(reason) => self.answer(id, Reply::Failed { late: false, reason: *reason }, false),
        }
        self.dispatch(now, Event::RunEnded { id, outcome });
        let key = self.requests.get(id).and_then(|open| open.key.clone());
        self.remove_request(id);
        if let Some(key) = key {
            let end = match (outcome, result) {
                (Outcome::NotStarted, _) => AttemptEnd::NeverRan,
                (_, Ok(bytes)) => AttemptEnd::Ran(AttemptResult::Done(bytes)),
                (_, Err(_)) => AttemptEnd::Ran(AttemptResult::Failed),
            };
            self.finish_attempt(&key, id, end);
        }
    }

    /// An attempt of a key has ended: its duplicates are answered, and its result is retained for those to come.
    fn finish_attempt(&mut self, key: &IdempotencyKey, id: u32, end: AttemptEnd) {
        self.mark_key_changed(key);
        let result = match &end {
            AttemptEnd::Ran(result) => result.clone(),
            AttemptEnd::NeverRan => AttemptResult::Failed,
        };
        let finished = self.keys.finish(key, id, end);
        for waiter in finished.waiters {
            self.answer_duplicate(waiter, &result);
        }
        if finished.result_dropped {
            count(&self.dependencies.counters.results_dropped);
            self.emit_process_event(ProcessEvent::LimitReached(ResourceLimit::Results));
        }
    }

    fn answer_duplicate(&mut self, id: u32, result: &AttemptResult) {
        if self.requests.get_in_state(id, RequestState::AwaitingResult).is_none() {
            return;
        }
        let outcome = match result {
            AttemptResult::Done(bytes) => {
                count(&self.dependencies.counters.reused);
                self.answer(id, Reply::Served(bytes.clone()), true);
                Outcome::Done
            }
            _ => {
                self.answer(id, Reply::Failed { late: false, reason: FailureReason::OriginalFailed }, true);
                Outcome::Failed
            }
        };
        self.remove_request(id);
        // Told after the batch in hand, as this may be the carrying out of an action.
        self.follow_up_events.push_back(Event::RunEnded { id, outcome });
    }

    fn handle_call_ended(&mut self, now: f64, call: u64, outcome: Outcome, reply: Option<Vec<u8>>) {
        // One that was given up has been forgotten: its end is no end of a later call.
        let Some(id) = self.requests.end_call(call) else { return };
        let Some(open) = self.requests.get_in_state(id, RequestState::InCall) else { return };
        let took_ms = now - open.call_started_ms;
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
                count(&self.dependencies.counters.calls_done);
                self.resume_run(id, CallResult::Reply(reply));
            }
            _ => {
                count(&self.dependencies.counters.calls_failed);
                open.state = RequestState::AwaitingCall;
            }
        }
        self.emit(id, class, RequestEventKind::CallEnded { end, called_ms: took_ms });
        self.dispatch(now, Event::CallEnded { id, outcome, took_ms });
    }

    /// Lets a run go on behind its call.
    fn resume_run(&mut self, id: u32, resume_with: CallResult) {
        let Some(open) = self.requests.get_mut(id) else { return };
        open.state = RequestState::Running;
        open.command_tag = 0;
        open.resume_with = Some(resume_with);
        // A link that was left a moment ago takes nothing, and the core hears of it behind this.
        let linked = self.engine_attached && self.resync_tag.is_none();
        open.resume_tag =
            (linked && send_resume(open, &*self.dependencies.engine)).then_some(self.last_gauge_tag);
    }

    /// The notice to leave, which came at this time.
    pub fn start_drain(&mut self, now: f64, at_ms: f64) {
        self.now_ms = now;
        if self.handover.is_some() {
            self.start_drain_in_handover(now, at_ms);
        } else {
            self.drain_without_successor(now, at_ms);
        }
    }

    /// Begins the drain of a process that nobody follows.
    fn drain_without_successor(&mut self, now: f64, at_ms: f64) {
        if !self.lifecycle.begin_drain(at_ms) {
            return;
        }
        let late_ms = (now - at_ms).round();
        tracing::info!(open = self.requests.len(), connections = self.callers.len(), late_ms, "leaving");
        let kill_ms = at_ms + self.dependencies.stop_ms;
        self.publish();
        self.emit_process_event(ProcessEvent::Draining { kill_ms });
        self.dispatch(at_ms, Event::DrainStarted { kill_ms });
        // One that never served goes at once.
        if self.lifecycle.phase() == LifecyclePhase::Closing {
            self.close_listeners();
        }
    }

    /// An operator's wish for a drain, or for its end.
    pub fn set_drained(&mut self, now: f64, drained: bool) {
        self.now_ms = now;
        self.apply_drained(drained);
        self.send_drained_to_peers(now, drained);
    }

    fn apply_drained(&mut self, drained: bool) {
        let done = self.lifecycle.set_lame_duck(drained);
        tracing::info!(drained, done, phase = ?self.lifecycle.phase(), "drain");
        self.publish();
    }

    /// Tells outside what follows from where the process stands.
    fn publish(&self) {
        let (published, status) = (self.lifecycle.published(), &self.dependencies.status);
        status.phase.set(self.lifecycle.phase());
        status.healthy.set(published.healthy);
        if status.registered.replace(published.registered) != published.registered {
            status.registry_wakeup.wake();
        }
    }

    fn close_listeners(&self) {
        self.callers.values().for_each(|caller| caller.go_away());
        self.release_listeners();
        self.dependencies.status.stop_accepting.open();
    }

    /// Goes on through the life of the process as far as time and what is left allow.
    fn advance_lifecycle(&mut self, now: f64) {
        loop {
            let open_sockets = &self.dependencies.open_sockets;
            let (listeners, connections) = (open_sockets.listeners(), open_sockets.connections());
            let owed = !self.requests.all_answered() || self.has_claims();
            let Some(phase) =
                self.lifecycle.advance(now, Outstanding { listeners, connections, answers_pending: owed })
            else {
                return;
            };
            match phase {
                LifecyclePhase::GoAwaySent => self.callers.values().for_each(|caller| caller.go_away()),
                LifecyclePhase::Closing => self.close_listeners(),
                LifecyclePhase::Finishing => {
                    let owed = self.requests.iter().filter(|(_, open)| open.caller.is_some());
                    for id in owed.map(|(id, _)| id).collect::<Vec<_>>() {
                        count(&self.dependencies.counters.overdue);
                        self.fail_request(
                            now,
                            id,
                            Reply::Failed { late: true, reason: FailureReason::Shutdown },
                        );
                    }
                    self.deny_all_claims(now);
                    self.dependencies.status.finishing.open();
                }
                LifecyclePhase::Starting
                | LifecyclePhase::StartingLameDuck
                | LifecyclePhase::Serving
                | LifecyclePhase::LameDuck
                | LifecyclePhase::Draining
                | LifecyclePhase::HandedOver
                | LifecyclePhase::Terminated => {}
            }
            self.dependencies.status.phase.set(phase);
        }
    }

    // ---- time ----

    /// When the core has to act next even if nothing comes.
    pub fn next_due(&self) -> Option<f64> {
        let timers = self.timers.iter().map(|(at, _)| *at);
        let asked = self.pending_polls.iter().map(|asked| asked.deadline_ms);
        let idle = self.requests.is_empty() && self.lifecycle.phase() < LifecyclePhase::Draining;
        let watch = (!idle).then_some(self.last_watchdog_ms + WATCHDOG_INTERVAL_MS);
        timers
            .chain(asked)
            .chain(watch)
            .chain(self.lifecycle.next_deadline_ms())
            .chain(self.handover_due())
            .min_by(f64::total_cmp)
    }

    fn run_due_timers(&mut self, now: f64) {
        let due: Vec<u32> =
            self.timers.iter().filter(|(at, _)| *at <= now).map(|(_, token)| *token).collect();
        self.timers.retain(|(at, _)| *at > now);
        for token in due {
            self.last_gauge_tag += 1;
            // Without a link nothing answers: the last gauges have to do at once.
            let deadline_ms = if self.engine_attached { now + GAUGE_TIMEOUT_MS } else { now };
            if self.engine_attached {
                self.dependencies.engine.request_gauges(self.last_gauge_tag);
            }
            self.pending_polls.push_back(GaugePoll { tag: self.last_gauge_tag, token, deadline_ms });
        }
        while self.pending_polls.front().is_some_and(|asked| asked.deadline_ms <= now) {
            if let Some(asked) = self.pending_polls.pop_front() {
                count(&self.dependencies.counters.stale_gauges);
                let gauges = self.latest_gauges.clone();
                self.dispatch(now, Event::TimerFired { token: asked.token, gauges });
            }
        }
        if now >= self.last_watchdog_ms + WATCHDOG_INTERVAL_MS {
            self.last_watchdog_ms = now;
            self.run_watchdog(now);
        }
    }

    /// Answers what the decisions have not, and ends what is left of it.
    fn fail_request(&mut self, now: f64, id: u32, reply: Reply) {
        self.answer(id, reply, false);
        let phase = self.requests.get(id).map(|open| open.state);
        self.dispatch(now, Event::CallerGone { id });
        match phase {
            Some(RequestState::Queued | RequestState::AwaitingResult) => self.remove_request(id),
            Some(RequestState::AwaitingCall | RequestState::InCall) => self.cancel_run_at_call(id),
            _ => {}
        }
    }

    /// How long after its due time the core answers a request that nothing else has answered, ms.
    fn overdue_slack_ms(&self) -> f64 {
        self.dependencies.site.settings.rules.answer_slack_ms * OVERDUE_SLACK_RATIO
    }

    /// What holds whatever the module does: nothing stays unanswered past its time.
    fn run_watchdog(&mut self, now: f64) {
        let slack = self.overdue_slack_ms();
        let owed = self.requests.iter().filter(|(_, open)| open.caller.is_some());
        let late = owed.filter(|(_, open)| now >= open.deadline_ms + slack);
        for id in late.map(|(id, _)| id).collect::<Vec<_>>() {
            count(&self.dependencies.counters.overdue);
            self.fail_request(now, id, Reply::Failed { late: true, reason: FailureReason::Overdue });
        }
        if let Some(after_ms) = self.caller_idle_timeout_ms {
            self.callers.values().for_each(|caller| caller.go_away_if_idle(now - after_ms));
        }
        self.send_connection_count(now);
        if now >= self.last_key_sweep_ms + KEY_SWEEP_INTERVAL_MS {
            self.last_key_sweep_ms = now;
            self.keys.remove_expired(now);
        }
    }

    // ---- actions out ----

    /// Ends an instant: due timers, one settlement, and everything the module wants done.
    pub fn process_batch(&mut self, now: f64) {
        self.now_ms = now;
        self.advance_lifecycle(now);
        self.run_due_timers(now);
        self.handover_tick(now);
        self.batch_keys.clear();
        loop {
            while let Some(event) = self.follow_up_events.pop_front() {
                self.dispatch(now, event);
            }
            self.dispatch(now, Event::BatchEnded);
            let actions = std::mem::take(&mut self.actions);
            actions.into_iter().for_each(|action| self.execute(now, action));
            if self.follow_up_events.is_empty() {
                self.ended_requests.clear();
                self.send_changed_keys(now);
                return;
            }
        }
    }

    fn execute(&mut self, now: f64, action: Action) {
        match action {
            Action::StartRun { id } => self.start_run(now, id),
            Action::Reject { id, retry_after_ms, last, reason } => {
                self.emit_for(id, |_| RequestEventKind::Decided(Decision::Reject(reason)));
                self.answer(id, Reply::Rejected { retry_after_ms, last, reason }, false);
                self.remove_if_not_started(id);
            }
            Action::Fail { id, reason } => {
                let late =
                    self.requests.get(id).is_some_and(|open| now + WATCHDOG_INTERVAL_MS >= open.deadline_ms);
                self.emit_for(id, |_| RequestEventKind::Decided(Decision::Fail(reason)));
                self.answer(id, Reply::Failed { late, reason }, false);
                self.remove_if_not_started(id);
                self.cancel_run_at_call(id);
            }
            Action::CancelRun { id } => {
                if let Some(open) = self.requests.get_in_state(id, RequestState::Running) {
                    count(&self.dependencies.counters.halts);
                    open.cancelled = true;
                    open.command_tag = self.last_gauge_tag;
                    self.dependencies.engine.cancel_run(&open.attempt_id);
                }
            }
            Action::StartCall { id, call_timeout_ms } => {
                if self.requests.get_in_state(id, RequestState::AwaitingCall).is_some()
                    && let Some(call) = self.requests.start_call(id, now)
                    && let Some(open) = self.requests.get(id)
                {
                    count(&self.dependencies.counters.calls);
                    let once = self.dependencies.site.settings.classes[open.class].idempotency
                        != Idempotency::ReadOnly;
                    self.dependencies.store.clone().start_call(
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
                if let Some(open) = self.requests.get_in_state(id, RequestState::AwaitingCall) {
                    open.degraded = true;
                    self.emit_for(id, |_| RequestEventKind::CallSkipped);
                    count(&self.dependencies.counters.calls_left_out);
                    self.resume_run(id, CallResult::Nothing);
                }
            }
            Action::RetainKey { id, ttl_ms } => self.retain_key(now, id, ttl_ms),
            Action::ReleaseKey { id } => {
                if let Some((key, _)) = self.key_and_digest(id) {
                    self.mark_key_changed(&key);
                    self.keys.release(&key, id);
                }
            }
            Action::ReuseResult { id } => self.reuse_result(id),
            Action::SetHealth { good, .. } => {
                self.lifecycle.set_healthy(good);
                self.publish();
            }
            Action::ReportLoad { value } => self.dependencies.status.load_report.set(Some(value)),
            Action::CloseIdleConnections { after_ms } => self.caller_idle_timeout_ms = Some(after_ms),
            Action::SetTimer { after_ms, token } => self.timers.push((now + after_ms, token)),
            Action::Log { text } => tracing::info!(text, "module"),
        }
    }

    fn start_run(&mut self, now: f64, id: u32) {
        let Some(open) = self.requests.get_in_state(id, RequestState::Queued) else { return };
        let class = &self.dependencies.site.settings.classes[open.class];
        if let (Idempotency::Keyed, Some(key)) = (class.idempotency, &open.key) {
            let window_end_ms = open.arrived_ms + class.dedup_window_ms + 1.0;
            let attempt = Attempt { id, digest: open.digest, window_end_ms };
            if self.keys.start(key, attempt, open.arrived_ms).is_err() {
                count(&self.dependencies.counters.doubles_prevented);
                self.answer(id, Reply::Failed { late: false, reason: FailureReason::AlreadyRan }, false);
                self.remove_request(id);
                self.follow_up_events.push_back(Event::RunEnded { id, outcome: Outcome::NotStarted });
                return;
            }
        }
        open.state = RequestState::Running;
        open.run_started_ms = now;
        open.command_tag = self.last_gauge_tag;
        self.dependencies.counters.count_class(open.class, |class| &class.runs);
        if self.engine_attached && self.resync_tag.is_none() {
            self.dependencies.engine.start_run(
                &open.attempt_id,
                self.dependencies.site.class_name(open.class),
                &open.body,
            );
        }
        self.mark_request_key_changed(id);
        self.emit_for(id, |_| RequestEventKind::Decided(Decision::Run));
        self.emit_for(id, |open| RequestEventKind::RunStarted { queue_wait_ms: now - open.read_ms });
    }

    /// Key and digest of a request that is open, or ended in the instant in hand: what the module wants of a key when
    /// its run ends, it says after the end. Dropped for want of the request, the wish to keep a read's answer for a
    /// moment only left it in the table for the whole time that its caller would have waited.
    fn key_and_digest(&self, id: u32) -> Option<(IdempotencyKey, u64)> {
        let open = self.requests.get(id).and_then(|open| Some((open.key.clone()?, open.digest)));
        open.or_else(|| {
            self.ended_requests
                .iter()
                .find(|(ended, ..)| *ended == id)
                .map(|(_, key, digest)| (key.clone(), *digest))
        })
    }

    fn retain_key(&mut self, now: f64, id: u32, ttl_ms: f64) {
        if let Some((key, digest)) = self.key_and_digest(id) {
            self.mark_key_changed(&key);
            self.keys.retain(key, Attempt { id, digest, window_end_ms: now + ttl_ms });
        }
    }

    fn reuse_result(&mut self, id: u32) {
        let Some(open) = self.requests.get_in_state(id, RequestState::Queued) else { return };
        open.state = RequestState::AwaitingResult;
        let (key, first) = (open.key.clone(), open.duplicate_of);
        self.emit_for(id, |_| RequestEventKind::Decided(Decision::ReuseResult));
        let outcome = match (key, first) {
            (Some(key), Some(original)) => self.join_original(&key, Waiter { id, original }),
            _ => JoinOutcome::Over(AttemptResult::Failed),
        };
        if let JoinOutcome::Over(result) = outcome {
            self.answer_duplicate(id, &result);
        }
    }

    fn join_original(&mut self, key: &IdempotencyKey, waiter: Waiter) -> JoinOutcome {
        let is_local = self.requests.get(waiter.original).is_some();
        let is_remote = self.keys.remote_attempt(key) == Some(waiter.original);
        let original = if is_local || is_remote { OriginalState::InFlight } else { OriginalState::Ended };
        self.keys.join(key, waiter, original)
    }

    /// Gives the one answer, if it is still owed; `deduplicated` if it was made for another try.
    fn answer(&mut self, id: u32, reply: Reply, deduplicated: bool) {
        let Some(caller) = self.requests.take_caller(id) else { return };
        let Some(open) = self.requests.get(id) else { return };
        let correlation_id = open.correlation_id;
        self.count_answer(open.class, &reply);
        let took_ms = self.now_ms - open.arrived_ms;
        self.emit(
            id,
            open.class,
            answer_event(&reply, deduplicated, open.degraded, open.work_hint_ms, took_ms),
        );
        caller.answer(correlation_id, &reply);
    }

    /// After an answer: what never ran is over.
    fn remove_if_not_started(&mut self, id: u32) {
        if self
            .requests
            .get(id)
            .is_some_and(|open| matches!(open.state, RequestState::Queued | RequestState::AwaitingResult))
        {
            self.remove_request(id);
        }
    }

    /// Ends a run that stands at a call and whose request is over; the engine says when it has ended.
    fn cancel_run_at_call(&mut self, id: u32) {
        let Some(open) = self.requests.get_mut(id) else { return };
        let mut dropped = None;
        if open.state == RequestState::InCall {
            self.dependencies.store.cancel_call(open.call_id);
            open.state = RequestState::AwaitingCall;
            dropped = Some((open.call_id, open.class, dropped_call_event(self.now_ms, open)));
        }
        let may_halt = self.dependencies.site.settings.preemption != Preemption::Never;
        if open.state == RequestState::AwaitingCall && !open.cancelled && may_halt {
            open.cancelled = true;
            open.command_tag = self.last_gauge_tag;
            self.dependencies.engine.cancel_run(&open.attempt_id);
        }
        if let Some((call, class, kind)) = dropped {
            self.requests.end_call(call);
            self.emit(id, class, kind);
        }
    }

    fn remove_request(&mut self, id: u32) {
        let Some(open) = self.requests.remove(id) else { return };
        if let Some(key) = open.key {
            self.mark_key_changed(&key);
            if open.state == RequestState::Queued {
                self.keys.remove_queued(&key, id);
            } else {
                self.keys.remove_waiter(&key, id);
            }
            self.ended_requests.push((id, key, open.digest));
        }
    }
}

/// The times of a drain.
fn drain_times(site: &Site, stop_ms: f64) -> DrainTimes {
    let longest_ms = site.settings.longest_timeout_ms().min(MAX_HANDOVER_TIMEOUT_MS);
    let handover_stop_ms = stop_ms.min(longest_ms + HANDOVER_MARGIN_MS);
    DrainTimes { grace_ms: site.settings.rules.drain_grace_ms, stop_ms, handover_stop_ms }
}

/// Bytes that kept results may take in a process with so much memory.
fn max_result_bytes(memory_mb: f64) -> f64 {
    RESULT_MEMORY_RATIO * memory_mb * 1_048_576.0
}

fn received_event(now: f64, arrival: &Arrival) -> RequestEventKind {
    let (protocol, retry, work_hint_ms) = (arrival.front, arrival.again, arrival.est_ms);
    RequestEventKind::Received {
        protocol,
        retry,
        hint_ms: work_hint_ms,
        read_delay_ms: (now - arrival.arrived_ms).max(0.0),
    }
}

fn answer_event(
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

fn dropped_call_event(now: f64, open: &OpenRequest) -> RequestEventKind {
    RequestEventKind::CallEnded { end: CallOutcome::Dropped, called_ms: now - open.call_started_ms }
}

/// Writes what a run goes on with; tells whether there is a link that it goes to.
fn send_resume(open: &OpenRequest, engine: &dyn Engine) -> bool {
    match &open.resume_with {
        Some(CallResult::Reply(reply)) => engine.deliver_reply(&open.attempt_id, reply),
        Some(CallResult::Nothing) => engine.skip_call(&open.attempt_id, open.need.0),
        None => false,
    }
}
