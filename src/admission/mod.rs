//! Admission control: decides, inside one server of a fleet, which requests it admits, runs and rejects.
//!
//! The ordinary path is the pair of PI loops of De Cicco, Cofano and Mascolo, "Local SIP Overload Control"
//! (2015): the share of busy cores sets alpha, the share of arrivals that is rejected when they are read; the
//! length of the queue sets u, the rate of starts. Everything else guards these loops: estimates of work,
//! priorities, quotas of tenants and calls, deadlines, and the feedback to callers. ARCHITECTURE.md lists the
//! guards.
//!
//! The module does no I/O and reads no clock: the host passes in events with their time and carries out the
//! returned actions in the order given. Times are milliseconds of any clock that does not go back, memory is
//! in kilobytes. The same events give the same actions.
//!
//! # Duties of the host
//!
//! - Construct an [`AdmissionController`] at each start of the server, with [`Settings`] and a seed. Every
//!   field of [`Settings`] has a default that switches its feature off; unusable settings are returned as a
//!   [`SettingsError`].
//! - Send [`Event::Started`] first, and [`Event::BatchEnded`] after the last event of each instant: the
//!   controller decides arrivals and starts runs and calls then. No arrival is answered before.
//! - Send [`Event::RequestArrived`] once for each request read, with an id never used before. The
//!   request gets one final answer: a run that ends, [`Action::Reject`] or [`Action::Fail`].
//! - For each [`Action::StartRun`] and each [`Action::ReuseResult`] send one [`Event::RunEnded`] when the
//!   work ends, also after an [`Action::Fail`] or [`Action::CancelRun`] of running work. The result of a
//!   successful run is the answer to the caller.
//! - Send [`Event::CallNeeded`] where running work stops before a call, and [`Event::CallEnded`] for each
//!   [`Action::StartCall`]. After a success the work continues; after any other outcome it still waits for a
//!   call.
//! - Send [`Event::ReplyUncertain`] where the reply to a call may not have reached the run. An
//!   [`Action::SkipCall`] that follows must not affect a run that did receive the reply.
//! - Send [`Event::CallerGone`] when the host learns that the caller left. The request needs no answer then.
//! - For each [`Action::SetTimer`] send [`Event::TimerFired`] with the token and the values of
//!   [`Settings::gauges`]. The first timer is set on [`Event::Started`], and each timer sets the next.
//!   Deadlines are enforced by these timers: a host that drops them loses answers.
//! - Call [`AdmissionController::reconfigure`] when settings change. Classes and tenants keep their indexes,
//!   new ones are appended, and retired ones stay for their open requests.
//! - Retain and release keys on [`Action::RetainKey`] and [`Action::ReleaseKey`], and name the retained
//!   request in [`Request::duplicate_of`] when a duplicate of it arrives. This prevents an effect from
//!   happening twice.
//!
//! An event about a request that has ended changes nothing. The host may drop an action that it cannot carry
//! out because the request ended in the meantime.
//!
//! # Example
//!
//! ```
//! use pinepoint::admission::{Action, AdmissionController, Event, Gauge, Outcome, Request, Settings};
//!
//! let settings = Settings { gauges: vec![Gauge::BusyShare, Gauge::Runnable], ..Settings::default() };
//! let mut controller = AdmissionController::new(settings, 7)?;
//! let mut actions = Vec::new();
//! controller.handle(0.0, Event::Started, &mut actions);
//! let timer = actions.iter().find_map(|action| match action {
//!     Action::SetTimer { after_ms, token } => Some((*after_ms, *token)),
//!     _ => None,
//! });
//! let (after_ms, token) = timer.expect("the start sets the first timer");
//!
//! // One core: the first request runs, the second is queued.
//! for id in [1, 2] {
//!     let request = Request { id, deadline_ms: Some(900.0), mem_kb: 20.0, ..Request::default() };
//!     controller.handle(5.0, Event::RequestArrived(request), &mut actions);
//! }
//! actions.clear();
//! controller.handle(5.0, Event::BatchEnded, &mut actions);
//! assert_eq!(actions, [Action::StartRun { id: 1 }]);
//!
//! // The timer brings the gauges: one core busy, one run on it.
//! actions.clear();
//! controller.handle(after_ms, Event::TimerFired { token, gauges: vec![1.0, 1.0] }, &mut actions);
//! controller.handle(after_ms, Event::BatchEnded, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::SetTimer { .. })), "each timer sets the next");
//!
//! // The first run ends late; the queued request can no longer meet its deadline and is rejected.
//! actions.clear();
//! controller.handle(890.0, Event::RunEnded { id: 1, outcome: Outcome::Done }, &mut actions);
//! controller.handle(890.0, Event::TimerFired { token, gauges: vec![1.0, 0.0] }, &mut actions);
//! controller.handle(890.0, Event::BatchEnded, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Reject { id: 2, .. })));
//! # Ok::<(), pinepoint::admission::SettingsError>(())
//! ```
//!
//! # Module layout
//!
//! The types of the interface are in `settings` and `messages`. [`AdmissionController`] keeps its state in
//! small structs, each in a module of its own with its constants: `control_loops`, `core_time`,
//! `work_estimator`, `call_budget`, `call_profile`, `tenant_usage`, `read_delay`, `health`, `stall_detector`,
//! `idle_policy`, `load_report`, `drain`, `request_table`. The steps that combine them are methods of the
//! controller, by concern: `sampling`, `arrivals`, `decision`, `priority`, `run_limits`, `dispatch`, `calls`,
//! `answers`, `feedback`.

mod answers;
mod arrivals;
mod call_budget;
mod call_profile;
mod calls;
mod control_loops;
mod core_time;
mod decision;
mod dispatch;
mod drain;
mod feedback;
mod filters;
mod health;
mod idle_policy;
mod load_report;
mod messages;
mod pi_controller;
mod priority;
mod read_delay;
mod request_table;
mod run_limits;
mod sampling;
mod settings;
pub mod snapshot;
mod stall_detector;
mod tenant_usage;
mod work_estimator;

use answers::RejectionLog;
use arrivals::CallerBehaviour;
use call_budget::CallBudget;
use call_profile::CallProfile;
use control_loops::ControlLoops;
use core_time::CoreTime;
use drain::Drain;
use health::HealthMonitor;
use idle_policy::IdlePolicy;
use load_report::LoadReporter;
use priority::PriorityRanking;
use read_delay::ReadDelay;
use request_table::RequestTable;
use stall_detector::StallDetector;
use tenant_usage::TenantUsage;
use work_estimator::WorkEstimator;

pub use messages::{Action, Event, FailureReason, Outcome, RejectReason, Request};
pub use settings::{
    Class, Gauge, Idempotency, LoadReportKind, MAX_SETTING, Preemption, Rules, Settings, SettingsError,
    Tenant,
};
pub use snapshot::AdmissionSnapshot;

/// The admission controller of one server. Pass it events in order and carry out the returned actions.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    settings: Settings,
    /// When the server started, ms.
    started_ms: f64,
    drain: Option<Drain>,
    requests: RequestTable,
    loops: ControlLoops,
    core_time: CoreTime,
    work: WorkEstimator,
    callers: CallerBehaviour,
    tenants: TenantUsage,
    ranking: PriorityRanking,
    calls: CallBudget,
    call_profile: CallProfile,
    read_delay: ReadDelay,
    stall: StallDetector,
    health: HealthMonitor,
    idle_policy: IdlePolicy,
    load_reporter: LoadReporter,
    rejections: RejectionLog,
}

impl AdmissionController {
    /// A controller for a server that starts with these settings; `seed` feeds its only random numbers.
    ///
    /// # Errors
    ///
    /// Fails if the settings are unusable; see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let initial_speed = settings.cold.then_some(settings.rules.warm_up_initial_speed);
        let mut controller = AdmissionController {
            started_ms: 0.0,
            drain: None,
            requests: RequestTable::default(),
            loops: ControlLoops::new(),
            core_time: CoreTime::new(),
            work: WorkEstimator::new(initial_speed),
            callers: CallerBehaviour::default(),
            tenants: TenantUsage::default(),
            ranking: PriorityRanking::new(seed),
            calls: CallBudget::new(),
            call_profile: CallProfile::new(),
            read_delay: ReadDelay::new(),
            stall: StallDetector::new(),
            health: HealthMonitor::new(),
            idle_policy: IdlePolicy::new(settings.caller_idle_timeout_ms),
            load_reporter: LoadReporter::default(),
            rejections: RejectionLog::default(),
            settings: Settings::default(),
        };
        controller.apply_settings(settings);
        Ok(controller)
    }

    /// Replaces the settings. Existing classes and tenants keep their indexes; more may be appended. Learned
    /// estimates, and the deadlines and objectives of open requests, stay as they are.
    ///
    /// # Errors
    ///
    /// Fails, and changes nothing, if the settings are unusable or have fewer classes or tenants than before.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        let fewer_classes = settings.classes.len() < self.settings.classes.len();
        let fewer_tenants = settings.tenants.len() < self.settings.tenants.len();
        if fewer_classes || fewer_tenants {
            return Err(SettingsError::IndexRemoved);
        }
        let cold = self.settings.cold;
        self.apply_settings(Settings { cold, ..settings });
        Ok(())
    }

    /// Applies checked settings. New classes and tenants start with initial estimates.
    fn apply_settings(&mut self, mut settings: Settings) {
        settings.servers = settings.servers.max(1.0);
        for class in &settings.classes[self.work.classes()..] {
            self.work.add_class();
            self.callers.add_class(class);
            self.call_profile.add_class(class);
        }
        self.tenants.resize(settings.tenants.len());
        if settings.load_report != self.settings.load_report {
            self.load_reporter.reset();
        }
        if settings.caller_idle_timeout_ms != self.settings.caller_idle_timeout_ms {
            self.idle_policy.reset_timeout(settings.caller_idle_timeout_ms);
        }
        self.settings = settings;
    }

    /// Handles one event at `now_ms` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now_ms: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Started => self.start(now_ms, actions),
            Event::RequestArrived(request) => self.take_arrival(now_ms, request),
            Event::BatchEnded => {
                self.decide_arrivals(now_ms, actions);
                self.start_queued(now_ms, actions);
                self.start_calls(now_ms, actions);
            }
            Event::RunEnded { id, outcome } => self.end_run(now_ms, id, outcome, actions),
            Event::CallNeeded { id } => self.await_call(now_ms, id),
            Event::CallEnded { id, outcome, took_ms } => self.end_call(now_ms, id, outcome, took_ms, actions),
            Event::ReplyUncertain { id } => self.reply_uncertain(now_ms, id, actions),
            Event::CallerGone { id } => self.caller_gone(id, actions),
            Event::DrainStarted { kill_ms } => self.start_drain(now_ms, kill_ms, actions),
            Event::TimerFired { gauges, .. } => self.sample(now_ms, &gauges, actions),
        }
    }

    fn start(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        self.started_ms = now_ms;
        self.core_time.start(now_ms);
        self.calls.start(now_ms);
        // Without this, a run that is open at the first sample would count as without progress since time 0,
        // and so as stalled.
        self.stall.record_progress(now_ms);
        actions.push(Action::SetHealth { healthy: true, from_store: true });
        self.close_idle_connections(0.0, actions);
        self.set_timer(actions);
    }

    fn start_drain(&mut self, now_ms: f64, kill_ms: f64, actions: &mut Vec<Action>) {
        self.drain = Some(Drain { started_ms: now_ms, kill_ms });
        self.health.start_drain();
        actions.push(Action::SetHealth { healthy: false, from_store: true });
    }
}
