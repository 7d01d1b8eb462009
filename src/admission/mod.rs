//! Admission control: decides, inside one server of a fleet, what the server admits, runs and rejects.
//!
//! The ordinary path is the pair of PI loops of De Cicco, Cofano and Mascolo, "Local SIP Overload
//! Control" (2015): the busy-cores share sets alpha, the share of arrivals rejected at read; the length
//! of the queue sets u, the rate of starts. The rest are guards around them; ARCHITECTURE.md names them.
//!
//! The module does no I/O and reads no clock: the host hands in events with the time and carries out the
//! actions that come back, in the order given. Times are milliseconds of any clock that does not go
//! back, memory is in kilobytes. The same events give the same actions.
//!
//! # What a host must do
//!
//! - Construct a [`AdmissionController`] at each start of the server, with [`Settings`] and a seed. Every field of
//!   [`Settings`] has a default that switches off what it is for; settings that make no sense come
//!   back as a [`SettingsError`].
//! - Send [`Event::Started`] first, and [`Event::BatchEnded`] after the last event of each instant: arrivals are
//!   decided and runs and calls started there. No arrival is answered before it.
//! - Send [`Event::RequestArrived`] once for each request read, with an id never used before. It is owed one final
//!   answer: a run that ends, [`Action::Reject`] or [`Action::Fail`].
//! - For each [`Action::StartRun`] and each [`Action::ReuseResult`] send one [`Event::RunEnded`] when the work ends, also
//!   after a [`Action::Fail`] or [`Action::CancelRun`] of running work; a success answers the caller by itself.
//! - Send [`Event::CallNeeded`] where running work stops before a call, and [`Event::CallEnded`] for each
//!   [`Action::StartCall`]; after a success the work goes on, after anything else it waits as before.
//! - Send [`Event::CallerGone`] where the host hears of it; nothing is owed from then on.
//! - For each [`Action::SetTimer`] send [`Event::TimerFired`] with the token and the gauges of
//!   [`Settings::gauges`]; the first comes of [`Event::Started`] and each timer asks for the next. Due times
//!   are kept by these timers: a host that drops them loses answers.
//! - Where settings change, call [`AdmissionController::reconfigure`]: classes and tenants keep their indexes, new ones come behind
//!   them, and one that is dropped stays for what is open of it.
//! - Enter and drop keys as [`Action::RetainKey`] and [`Action::ReleaseKey`] say, and name the kept request in
//!   [`Request::duplicate_of`] when it is repeated: this is how no effect happens twice.
//!
//! An event about a request that is over changes nothing. An action that the host cannot carry out (the
//! request ended in the meantime) may be dropped.
//!
//! # The life of a request
//!
//! ```
//! use pinepoint::admission::{Action, AdmissionController, Event, Gauge, Outcome, Request, Settings};
//!
//! let settings = Settings { gauges: vec![Gauge::BusyShare, Gauge::Runnable], ..Settings::default() };
//! let mut controller = AdmissionController::new(settings, 7)?;
//! let mut actions = Vec::new();
//! controller.handle(0.0, Event::Started, &mut actions);
//! let timer = actions.iter().find_map(|a| match a {
//!     Action::SetTimer { after_ms, token } => Some((*after_ms, *token)),
//!     _ => None,
//! });
//! let (after_ms, token) = timer.expect("the first timer comes of the beginning");
//!
//! // One core: the first request runs, the second is held.
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
//! assert!(actions.iter().any(|a| matches!(a, Action::SetTimer { .. })), "each timer asks for the next");
//!
//! // The first ends late; what cannot be done in time any more is refused, not run.
//! actions.clear();
//! controller.handle(890.0, Event::RunEnded { id: 1, outcome: Outcome::Done }, &mut actions);
//! controller.handle(890.0, Event::TimerFired { token, gauges: vec![1.0, 0.0] }, &mut actions);
//! controller.handle(890.0, Event::BatchEnded, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Reject { id: 2, .. })));
//! # Ok::<(), pinepoint::admission::SettingsError>(())
//! ```

use std::collections::{BTreeMap, VecDeque};

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

mod messages;
mod settings;
pub mod snapshot;

pub use messages::{Action, Event, FailureReason, Outcome, RejectReason, Request};
pub use settings::{
    Class, Gauge, Idempotency, LoadReportKind, MAX_SETTING, Preemption, Rules, Settings, SettingsError,
    Tenant,
};
pub use snapshot::AdmissionSnapshot;

/// Setpoint CT of the busy-cores share, 1. The paper leaves it open. Two cores are all busy by chance for a
/// second at a time: at 0.97 a fleet at two thirds of its load refused a sixth of it beside short holds.
const BUSY_SETPOINT: f64 = 0.99;
/// Unread wait that counts like all cores once more, ms: the gauge ends at 1, and past it only the wait
/// before reading tells how far the demand is beyond what the cores can do.
const UNREAD_FULL_MS: f64 = 3000.0;
/// Unread wait that a few arrivals at once cause by chance, ms.
const UNREAD_CHANCE_MS: f64 = 100.0;
/// Gains of loop 1 from the paper's tuning: proportional (1), integral (1/s).
const BUSY_KP: f64 = 3.5;
const BUSY_KI: f64 = 10.3;
/// Gains of loop 2 from the paper's tuning: proportional (1/s), integral (1/s^2).
const START_KP: f64 = 19.2;
const START_KI: f64 = 130.5;
/// Queueing time that loop 2 steers to, s: the paper's setpoint.
const QUEUE_TIME_S: f64 = 0.05;
/// Time constant of the low-pass on the busy share: the paper's, s, where many runs end within it, and the
/// time in which this many runs end where few do. A filter over less sees single requests.
const BUSY_FILTER_S: f64 = 0.1;
const BUSY_FILTER_RUNS: f64 = 6.0;
/// Time constant of the low-pass on the arrival rate, s. A server reads a few tens of requests a
/// second, so the paper's 0.1 s would see single requests.
const RATE_FILTER_S: f64 = 1.0;
/// The same for the rate of a tenant, s: a few requests a second of all tenants have to show a share.
const TENANT_FILTER_S: f64 = 10.0;
/// Starts of each core within a sample, 1, to which loop 2 is clamped: enough to fill all cores at once.
const STARTS_MOST: f64 = 4.0;
/// Sample period, ms: twice the paper's, well inside the filters, at half the cost in timers.
const SAMPLE_MS: f64 = 20.0;

/// Requests that run on the cores, for each core. Reading fills the gaps between an end and the next
/// start; more runs only make all of them slower.
const RUNS_PER_CORE: f64 = 1.0;
/// Part of the survivable crowd that may run at once, disk waiters included. The rest is for surprise.
const CROWD_PART: f64 = 0.7;
/// Part of the memory that holds, runs and keys may take together.
const MEMORY_PART: f64 = 0.92;
/// Part of the memory beyond which new requests are refused, so that held ones still find room to run.
const MEMORY_HOLD_PART: f64 = 0.85;
/// Part of this server's share of calls that it may spend in the mean, 1, abandoned calls included. The share
/// is what the dependency survives; it slows down long before, and others may be using theirs up.
const CALLS_PART: f64 = 0.35;
/// Call time that may be saved up while few calls are made, as a part of the window of the rule, 1: all
/// servers spend what they saved at the same moment, when the dependency slows down.
const CALLS_SAVED: f64 = 0.2;
/// Time of a call before any was seen, ms, and weight of a new observation, 1.
const FIRST_CALL_MS: f64 = 50.0;
const CALL_WEIGHT: f64 = 0.2;
/// Part of its work done when a run stops before a call, 1: before any was seen, and the least believed.
const FIRST_PART_AT_CALL: f64 = 0.5;
const PART_LEAST: f64 = 0.1;
/// Wait before a call that was proved not to have run is made again, ms: doubled with every failure in
/// a row up to the longest, so that a dead dependency is not hammered.
const CALL_PAUSE_MS: f64 = 50.0;
const CALL_PAUSE_MOST_MS: f64 = 800.0;

/// Time after which a call is given up, as a multiple of the time of one, 1, and at the least, ms. A reply
/// that was lost never comes; waited for until the due time, its call would be paid for out of the share of
/// others, and what needs calls would pile up behind it. Over a slow dependency 8 times loses.
const CALL_PATIENCE: f64 = 20.0;
const CALL_PATIENCE_LEAST_MS: f64 = 250.0;
/// The same where the call may be made again, ms, and times the time of one that hardly any takes, 1.
const CALL_AGAIN_LEAST_MS: f64 = 100.0;
const CALL_USUAL_MOST: f64 = 4.0;
/// Times its usual time after which a call in hand is no longer charged, 1, and at the least, ms.
const CALL_OVERDUE: f64 = 10.0;
const CALL_OVERDUE_LEAST_MS: f64 = 40.0;
/// What a call cut off or without reply tells of the dependency, beside one that was turned away, 1: one
/// alone may be a lost reply, two in a row are none.
const CALL_CUT_OFF: f64 = 0.5;

/// Work of a request before any was seen, as a part of its aim.
const FIRST_WORK: f64 = 0.15;
/// Weight of a new observation of this server's speed, 1, and of the mean work of a class: speed changes
/// within seconds, the work of a class hardly ever.
const WORK_WEIGHT: f64 = 0.1;
const NOMINAL_WEIGHT: f64 = 0.03;
/// Finishes after which what they show is half trusted: the mean of a class, the weight of hints.
const FEW_SEEN: f64 = 10.0;
/// Part of the expected work that must fit before the due time, 1: estimates are rough, so a request is
/// hopeless only if even this much of them comes too late.
const HOPEFUL_PART: f64 = 0.75;
/// Chance that a run takes no more than that part, 1, for work spread nearly as widely as its mean.
const SHORT_RUN: f64 = 0.45;
/// Power of a hint before any was seen, 1, and the largest logarithm that one finish shows.
const HINT_FIRST: f64 = 0.5;
const HINT_MOST: f64 = 2.0;
/// Recent scores that an arrival is ranked among.
const SCORES_KEPT: usize = 64;
/// Difference of scores, as a part, within which chance decides, 1.
const ALIKE: f64 = 0.15;

/// Delay that takes the advised traffic down by a factor e, ms. Advice follows delay at once and is not
/// integrated: were it, all servers of a loaded fleet would end at the least value together, and a
/// slowed one would draw as much traffic as the well ones.
const ADVICE_DELAY_MS: f64 = 300.0;
/// Least traffic advised while runs get somewhere, 1: one that hears nothing comes back with all it has.
const ADVICE_FLOOR: f64 = 0.15;
/// Time constant of the low-pass on the wait before reading, s.
const INTAKE_FILTER_S: f64 = 0.5;
/// Time over which waits, refusals and call times are forgotten while nothing renews them, s.
const FORGET_S: f64 = 2.0;
/// The same while cores stand idle, s: a jam remembered then would send all callers back together.
const INTAKE_IDLE_S: f64 = 0.1;
/// Growth per arrival of the least wait before reading, 1: forgets a lucky low in hundreds of arrivals.
const INTAKE_DRIFT: f64 = 1.002;
/// Excess wait before reading past which callers are asked not to try elsewhere, ms: the cores can't even
/// keep up with reading, so each further try costs the fleet more than it brings.
const INTAKE_JAM_MS: f64 = 20.0;
/// Busy share over half a second, 1, without which a wait is a chance queue and others may well have room.
const JAM_BUSY: f64 = 0.95;
/// Share of arrivals that lay unread until no run could answer them, past which the health answer fails. Such
/// a server serves no one, and its callers, having given up, hear no advice.
const DEAD_FAILS: f64 = 0.7;
/// Part of what made the health answer fail, 1, under which it recovers.
const RECOVERS: f64 = 0.4;
/// Times its usual time that work must take for the server to count as slowed, 1: crowding alone stays below.
/// Were health to fail in a jam of the whole fleet, servers would leave and return in floods.
const SLOWED: f64 = 2.0;
/// Things that want each core past which the health answer fails, 1. Runs and reading make two, the rest are
/// new connections, given up before they are made, and no one is read. From 5 to 8 alike, 3 loses.
const BURIED: f64 = 6.0;
/// Silence of all runs that counts as a hang, as a multiple of their mean expected time: two runs last twice
/// theirs by chance every few seconds. A hung server refuses at once, looks swift, and draws all traffic.
const HANG_RUNS: f64 = 5.0;
/// And at the least, ms: the first runs may all have been short.
const HANG_LEAST_MS: f64 = 500.0;
/// Time that an idle connection is kept while little is turned away, ms. With hundreds of callers each
/// comes back after minutes only: what they leave open fills the table, taxes the cores and shuts others
/// out. One that comes again in this time saves its handshake; 5 to 8 s make no difference, 2.5 and 14 lose.
const IDLE_KEPT_MS: f64 = 6000.0;
/// Share of arrivals turned away from which idle connections are kept longer, and at which they stay as
/// long as the callers keep them, 1.
const SHUT_FROM: f64 = 0.3;
const SHUT_ALL: f64 = 0.63;
/// Arrivals over which that share is taken: a few seconds of a small server.
const TURNED_OVER: f64 = 30.0;
/// Least change of the idle time that is told, logarithm.
const IDLE_STEP: f64 = 0.1;
/// Callers for each core, up to which no table fills and connections stay as the callers keep them.
const FEW_CALLERS: f64 = 8.0;
/// Part of the slack after the due time that a run may still use, 1: the rest is for batches that come late.
const SLACK_PART: f64 = 0.3;
/// Part of the grace of a drain in which work is asked for as before, 1.
const WORK_PART: f64 = 0.7;
/// Answers at a drain go out this long before the kill, ms.
const DRAIN_MARGIN_MS: f64 = 150.0;

/// Refusals for each line in the log that tells their reasons.
const NOTE_EVERY: u32 = 50;

/// A PI controller with clamped output and clamped integral (anti-windup).
#[derive(Clone, Debug, Default)]
struct Pi {
    kp: f64,
    ki: f64,
    integral: f64,
}

impl Pi {
    fn step(&mut self, error: f64, dt_s: f64, low: f64, high: f64) -> f64 {
        self.integral = (self.integral + self.ki * error * dt_s).clamp(low, high);
        (self.kp * error + self.integral).clamp(low, high)
    }
}

fn low_pass(old: f64, new: f64, dt_s: f64, time_constant_s: f64) -> f64 {
    old + (new - old) * (dt_s / (time_constant_s + dt_s))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// Read, not started.
    Queued,
    /// On the cores or at the disk.
    Running,
    /// Stopped before a call.
    AwaitingCall,
    /// In a call.
    InCall,
    /// Waits for the result of the request it repeats.
    AwaitingResult,
}

#[derive(Clone, Debug)]
struct Entry {
    request: Request,
    state: RequestState,
    /// Held read of the same subject whose run it will share.
    follows: Option<u32>,
    /// An answer is still owed.
    owed: bool,
    arrived_ms: f64,
    deadline_ms: f64,
    latency_objective_ms: f64,
    /// Core time received by any one run until this one began, ms; waits for calls move it on.
    share_at_start: f64,
    calls: f64,
    stopped_share: f64,
    /// Core time received when it last stopped before a call, ms.
    done_ms: f64,
    called_ms: f64,
}

#[derive(Clone, Debug)]
struct Random(Pcg64Mcg);

impl Default for Random {
    fn default() -> Self {
        Random(Pcg64Mcg::new(0))
    }
}

/// Decides for one server. Feed it events in order and carry out the actions.
#[derive(Clone, Debug)]
pub struct AdmissionController(Module);

#[derive(Clone, Debug, Default)]
struct Module {
    set: Settings,
    rng: Random,
    entries: BTreeMap<u32, Entry>,
    fresh: VecDeque<u32>,
    keys: BTreeMap<u32, f64>,
    began_ms: f64,
    leave: Option<(f64, f64)>,
    // loops and sampling
    sampled_ms: f64,
    runnable: f64,
    started_since: f64,
    arrived_since: f64,
    busy: f64,
    rate_per_s: f64,
    alpha_loop: Pi,
    start_loop: Pi,
    alpha: f64,
    credit: f64,
    start_rate: f64,
    turned_away: BTreeMap<RejectReason, u32>,
    // what runs take
    core_share: f64,
    share_total: f64,
    work: Vec<(f64, f64, f64)>,
    stretch: f64,
    hints: (f64, f64),
    run_ms: f64,
    // who comes
    scores: VecDeque<f64>,
    tenant_rate: Vec<f64>,
    tenant_since: Vec<f64>,
    waits_ms: Vec<f64>,
    // calls
    abandoned: Vec<f64>,
    call_ms: f64,
    calls_per_run: Vec<f64>,
    part_at_call: f64,
    call_failures: f64,
    calls_from_ms: f64,
    call_credit_ms: f64,
    calls_in_hand: f64,
    calls_charged: f64,
    calls_paid_ms: f64,
    // what callers hear
    idle_kept_ms: f64,
    healthy: bool,
    hung: bool,
    progress_ms: f64,
    dead: f64,
    intake_ms: f64,
    least_intake_ms: f64,
    busy_slow: f64,
    crowd: f64,
    turned_share: f64,
    retried: f64,
    said: f64,
}

impl AdmissionController {
    /// A controller for a server that starts with these settings; `seed` feeds its only random numbers.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let mut new = Module {
            rng: Random(Pcg64Mcg::new(u128::from(seed))),
            alpha_loop: Pi { kp: BUSY_KP, ki: BUSY_KI, integral: 0.0 },
            start_loop: Pi { kp: START_KP, ki: START_KI, integral: 0.0 },
            core_share: 1.0,
            stretch: if settings.cold {
                1.0 / settings.rules.warm_up_initial_speed.clamp(0.05, 1.0)
            } else {
                1.0
            },
            hints: (HINT_FIRST * FEW_SEEN, FEW_SEEN),
            call_ms: FIRST_CALL_MS,
            part_at_call: FIRST_PART_AT_CALL,
            calls_from_ms: f64::NEG_INFINITY,
            healthy: true,
            least_intake_ms: f64::INFINITY,
            ..Module::default()
        };
        new.take_settings(settings);
        Ok(AdmissionController(new))
    }

    /// Goes on under these settings. The classes and tenants there were keep their indexes, more may follow;
    /// what was learned, and due time and aim of what is open, stay as they are.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), SettingsError> {
        settings.check()?;
        let (old, tenants) = (&self.0.set, settings.tenants.len());
        if settings.classes.len() < old.classes.len() || tenants < old.tenants.len() {
            return Err(SettingsError::IndexRemoved);
        }
        self.0.take_settings(Settings { cold: old.cold, ..settings });
        Ok(())
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.0.handle(now, event, out);
    }
}

impl Module {
    /// Puts settings in force. What has no figures of its own yet gets the first ones.
    fn take_settings(&mut self, mut settings: Settings) {
        settings.servers = settings.servers.max(1.0);
        for class in &settings.classes[self.work.len()..] {
            self.work.push((0.0, 0.0, 0.0));
            self.waits_ms.push(class.timeout_ms);
            self.calls_per_run.push(if class.calls { 1.0 } else { 0.0 });
        }
        self.tenant_rate.resize(settings.tenants.len(), 0.0);
        self.tenant_since.resize(settings.tenants.len(), 0.0);
        // What callers were told before holds no longer if it meant something else.
        self.said = if settings.load_report == self.set.load_report { self.said } else { f64::NAN };
        if settings.caller_idle_timeout_ms != self.set.caller_idle_timeout_ms {
            self.idle_kept_ms = settings.caller_idle_timeout_ms;
        }
        self.set = settings;
    }

    fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Started => {
                (self.began_ms, self.sampled_ms, self.calls_paid_ms) = (now, now, now);
                out.push(Action::SetHealth { good: true, from_store: true });
                self.close_idle(0.0, out);
                out.push(Action::SetTimer { after_ms: self.period_ms(), token: 0 });
            }
            Event::RequestArrived(request) => self.arrived(now, request),
            Event::BatchEnded => self.settle(now, out),
            Event::RunEnded { id, outcome } => self.finished(now, id, outcome, out),
            Event::CallNeeded { id } => {
                let share = self.share_now(now);
                self.progress_ms = now;
                if let Some(entry) = self.entries.get_mut(&id) {
                    entry.state = RequestState::AwaitingCall;
                    entry.stopped_share = share;
                    entry.done_ms = (share - entry.share_at_start).max(0.1);
                }
            }
            Event::CallEnded { id, outcome, took_ms } => self.call_ended(now, id, outcome, took_ms, out),
            Event::CallerGone { id } => self.caller_gone(id, out),
            Event::DrainStarted { kill_ms } => {
                self.leave = Some((now, kill_ms));
                self.healthy = false;
                out.push(Action::SetHealth { good: false, from_store: true });
            }
            Event::TimerFired { gauges, .. } => self.sample(now, &gauges, out),
        }
    }

    // ---- loops and sampling ----

    fn period_ms(&self) -> f64 {
        SAMPLE_MS.max(self.set.tick_ms)
    }

    fn gauge(&self, wanted: Gauge, values: &[f64]) -> Option<f64> {
        let at = self.set.gauges.iter().position(|g| *g == wanted)?;
        values.get(at).copied().filter(|v| v.is_finite())
    }

    fn sample(&mut self, now: f64, gauges: &[f64], out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after_ms: self.period_ms(), token: 0 });
        let dt = ((now - self.sampled_ms) / 1000.0).max(1e-6);
        let cores = self.set.cores;
        self.share_total = self.share_now(now);
        self.sampled_ms = now;
        let running = self.count(RequestState::Running);
        let busy_cores = self.gauge(Gauge::BusyShare, gauges).map_or(running, |share| share * cores);
        self.runnable = self.gauge(Gauge::Runnable, gauges).unwrap_or(busy_cores);
        let busy = (self.runnable / cores).clamp(0.0, 1.0);
        let filter_s = BUSY_FILTER_S.max(BUSY_FILTER_RUNS * self.run_ms / cores / 1000.0);
        self.busy = low_pass(self.busy, busy, dt, filter_s);
        let unread = (self.intake_ms - self.least_intake_ms - UNREAD_CHANCE_MS).max(0.0);
        self.core_share = (cores / self.runnable.max(cores)).clamp(0.05, 1.0);
        self.rate_per_s = low_pass(self.rate_per_s, self.arrived_since / dt, dt, RATE_FILTER_S);
        for (rate, since) in self.tenant_rate.iter_mut().zip(&mut self.tenant_since) {
            *rate = low_pass(*rate, *since / dt, dt, TENANT_FILTER_S);
            *since = 0.0;
        }
        (self.started_since, self.arrived_since) = (0.0, 0.0);
        self.alpha = self.alpha_loop.step(self.busy + unread / UNREAD_FULL_MS - BUSY_SETPOINT, dt, 0.0, 1.0);
        let held = self.count(RequestState::Queued);
        let most = STARTS_MOST * cores / dt.max(0.001);
        self.start_rate = self.start_loop.step(held - QUEUE_TIME_S * self.rate_per_s, dt, 0.0, most);
        self.credit = (self.credit + self.start_rate * dt).min(1.0 + self.start_rate * dt);
        self.keys.retain(|_, until| *until > now);
        self.answer_due(now, out);
        self.watch_progress(now, dt);
        self.report_health(dt, out);
        self.advise(dt, out);
    }

    fn count(&self, state: RequestState) -> f64 {
        self.entries.values().filter(|e| e.state == state).count() as f64
    }

    /// Core time that one run received since the start, ms.
    fn share_now(&self, now: f64) -> f64 {
        self.share_total + (now - self.sampled_ms) * self.core_share
    }

    // ---- arrival: repeat? feasible? room? alpha ----

    fn arrived(&mut self, now: f64, mut request: Request) {
        request.class = request.class.min(self.set.classes.len() - 1);
        request.tenant = request.tenant.filter(|t| *t < self.set.tenants.len());
        let class = &self.set.classes[request.class];
        let queued = request.queued_ms.max(0.0);
        let arrived_ms = now - queued;
        let deadline_ms = request.deadline_ms.unwrap_or(arrived_ms + class.timeout_ms);
        // A caller may give each try a part of the deadline only: a further one is as old as it waits less
        // than first ones do, or all of them would look hopeless beside idle cores.
        let (waits_ms, usual_ms) = (deadline_ms - arrived_ms, &mut self.waits_ms[request.class]);
        *usual_ms += if request.retry { 0.0 } else { (waits_ms - *usual_ms) * WORK_WEIGHT };
        let lost_ms = if request.retry { (*usual_ms - waits_ms).max(0.0) } else { 0.0 };
        let stretch = class.objective_per_work * request.work_hint_ms.unwrap_or(0.0);
        let latency_objective_ms =
            (arrived_ms - lost_ms + class.latency_objective_ms + stretch).min(deadline_ms);
        self.arrived_since += 1.0;
        self.turned_share -= self.turned_share / TURNED_OVER;
        self.retried += (f64::from(u8::from(request.retry)) - self.retried) / TURNED_OVER;
        self.intake_ms += (queued - self.intake_ms) * WORK_WEIGHT * 2.0;
        self.least_intake_ms *= INTAKE_DRIFT;
        let usable = self.work_ms(&request) / self.core_share < deadline_ms - now;
        self.dead += (f64::from(u8::from(queued > deadline_ms - now && !usable)) - self.dead) * WORK_WEIGHT;
        let id = request.id;
        self.fresh.push_back(id);
        let entry = Entry {
            request,
            state: RequestState::Queued,
            follows: None,
            owed: true,
            arrived_ms,
            deadline_ms,
            latency_objective_ms,
            share_at_start: 0.0,
            calls: 0.0,
            stopped_share: 0.0,
            done_ms: 0.0,
            called_ms: 0.0,
        };
        self.entries.insert(id, entry);
    }

    fn settle(&mut self, now: f64, out: &mut Vec<Action>) {
        while let Some(id) = self.fresh.pop_front() {
            if self.entries.get(&id).is_some_and(|e| e.state == RequestState::Queued) {
                self.decide(now, id, out);
            }
        }
        self.start_held(now, out);
        self.make_calls(now, out);
    }

    fn decide(&mut self, now: f64, id: u32, out: &mut Vec<Action>) {
        let entry = self.entries[&id].clone();
        let class = self.set.classes[entry.request.class].clone();
        let keyed = class.idempotency == Idempotency::Keyed;
        let too_late = self.leave.is_some_and(|(since, _)| {
            // Drain rule: what reached the machine after the grace is never run, whatever else holds.
            entry.arrived_ms > since + self.set.rules.drain_grace_ms
        });
        let key_kb = if keyed { self.set.key_kb } else { 0.0 };
        let no_room = self.memory_kb() + key_kb > MEMORY_HOLD_PART * self.set.memory_kb;
        if let Some(first) =
            entry.request.duplicate_of.filter(|f| *f != id && class.idempotency != Idempotency::NonIdempotent)
        {
            let state = self.entries.get(&first).map(|e| e.state);
            if keyed && state == Some(RequestState::Queued) && !too_late {
                // Neither try has run: the later one, whose caller still waits, takes the place.
                self.keys.remove(&first);
                out.push(Action::ReleaseKey { id: first });
                self.fail(first, FailureReason::Superseded, out);
            } else if keyed || !matches!(state, Some(RequestState::AwaitingResult | RequestState::Queued)) {
                // It runs, ran, or may have run: a second run is out of the question, its result is not.
                if no_room {
                    self.fail(id, FailureReason::MemoryFull, out);
                } else {
                    self.entries.get_mut(&id).expect("just seen").state = RequestState::AwaitingResult;
                    out.push(Action::ReuseResult { id });
                }
                return;
            } else if state == Some(RequestState::Queued) && !too_late && !no_room {
                // Tied to a request that may yet be refused, it would fail with it: it joins at the start.
                self.entries.get_mut(&id).expect("just seen").follows = Some(first);
                return;
            }
        }
        let score = self.score(&entry, now + self.wait_ms(&entry, now));
        let rank = self.rank(score);
        let shares = class.idempotency == Idempotency::ReadOnly
            && self.set.read_result_ttl_ms > 0.0
            && entry.request.has_subject;
        let must_wait = self.on_core() >= self.set.cores;
        // Taken although the wait makes it late, it would be answered late or turned away after the wait.
        let spoilt = must_wait && score < self.score(&entry, now);
        let reason_codes = [
            (too_late, RejectReason::Draining),
            (no_room, RejectReason::MemoryFull),
            (self.hung, RejectReason::Stalled),
            (score <= 0.0 && self.call_wait_ms(&entry).1 > 0.0, RejectReason::CallUnavailable),
            (score <= 0.0 || spoilt, RejectReason::TooLate),
        ];
        let hopeless = reason_codes.iter().find(|(applies, _)| *applies).map(|(_, reason)| *reason);
        let mut surplus = || must_wait && rank < self.alpha && !self.finds_place(now, id, out);
        if let Some(reason) = hopeless.or_else(|| surplus().then_some(RejectReason::LoadShed)) {
            self.refuse(id, reason, out);
            return;
        }
        if keyed {
            self.remember(now, id, class.dedup_window_ms - (now - entry.arrived_ms) + 1.0, out);
        } else if shares {
            self.remember(now, id, entry.deadline_ms - now + self.set.read_result_ttl_ms, out);
        }
    }

    /// Whether what loop 1 would refuse goes on: the hold is short, or one that waits is worth less and goes
    /// instead. Reading alone keeps the cores busy in a flood, alpha stands at 1, the hold runs dry, and
    /// whatever comes when a run ends takes the core: mostly late retries.
    fn finds_place(&mut self, now: f64, id: u32, out: &mut Vec<Action>) -> bool {
        let held = self.entries.iter().filter(|(other, e)| e.state == RequestState::Queued && **other != id);
        let scored: Vec<(f64, u32)> = held.map(|(other, e)| (self.score(e, now), *other)).collect();
        if (scored.len() as f64) < self.set.cores {
            return true;
        }
        let mine = self.score(&self.entries[&id], now);
        let least =
            scored.into_iter().filter(|(_, other)| !self.may_repeat_a_run(*other, &self.entries[other]));
        let least = least.min_by(|a, b| a.0.total_cmp(&b.0)).filter(|least| mine > least.0 * (1.0 + ALIKE));
        least.inspect(|(_, other)| self.refuse(*other, RejectReason::Displaced, out)).is_some()
    }

    /// Read in the instant in hand and not decided yet: nothing else may tell it that its request never ran.
    fn may_repeat_a_run(&self, id: u32, entry: &Entry) -> bool {
        let may_have_run = |f: u32| self.entries.get(&f).is_none_or(|e| e.state != RequestState::Queued);
        self.fresh.contains(&id) && entry.request.duplicate_of.is_some_and(may_have_run)
    }

    fn remember(&mut self, now: f64, id: u32, ttl_ms: f64, out: &mut Vec<Action>) {
        self.keys.insert(id, now + ttl_ms);
        out.push(Action::RetainKey { id, ttl_ms });
    }

    /// Share of recent arrivals that scored less: refusing below alpha refuses a share of alpha, the least
    /// worthy first. What is about alike is told apart by chance: estimates drift, and a class that just
    /// became a little dearer than its own recent past would be refused whole at any alpha.
    fn rank(&mut self, score: f64) -> f64 {
        let chance = f64::from(self.rng.0.next_u32()) / f64::from(u32::MAX);
        let score = score * (1.0 + ALIKE * (2.0 * chance - 1.0));
        let less = self.scores.iter().filter(|s| **s < score).count() as f64;
        let rank = (less + chance) / (self.scores.len() as f64 + 1.0);
        self.scores.push_back(score);
        if self.scores.len() > SCORES_KEPT {
            self.scores.pop_front();
        }
        rank
    }

    /// One finish tells of the class and of this server's speed. Each learns what the other does not explain:
    /// a slow spell learned by both would be multiplied, and all that comes would look hopeless.
    fn learn(&mut self, request: &Request, took_ms: f64) {
        let expected = self.work_ms(request) / self.stretch;
        let (work, hint, seen) = &mut self.work[request.class];
        // A mean of few is mostly below the true one: taken at its word, every server would look slowed.
        let trust = *seen / (*seen + FEW_SEEN);
        if let (Some(own), true) = (request.work_hint_ms, *hint > 0.0) {
            let hinted = (own / *hint).ln().clamp(-HINT_MOST, HINT_MOST);
            let worked = (took_ms / (*work * self.stretch)).ln().clamp(-HINT_MOST, HINT_MOST);
            self.hints = (self.hints.0 + hinted * worked, self.hints.1 + hinted * hinted);
        }
        self.stretch += ((took_ms / expected).clamp(0.1, 10.0) - self.stretch) * WORK_WEIGHT * trust;
        *seen += 1.0;
        self.run_ms += (took_ms - self.run_ms) * WORK_WEIGHT;
        let weight = NOMINAL_WEIGHT.max(1.0 / *seen);
        *work += (took_ms / self.stretch - *work) * weight;
        *hint += (request.work_hint_ms.unwrap_or(0.0) - *hint) * weight;
    }

    /// Work that a request is expected to take of one core of this server, ms. A hint is rough: it counts by
    /// a power beside the mean of its class, the slope of work on hints seen here (least squares of logs).
    fn work_ms(&self, request: &Request) -> f64 {
        let (work, hint, seen) = self.work[request.class];
        let first = self.set.classes[request.class].latency_objective_ms * FIRST_WORK;
        let mean = if seen > 0.0 { work } else { request.work_hint_ms.unwrap_or(first) };
        let of_mean = match request.work_hint_ms {
            Some(own) if hint > 0.0 => (own / hint).powf((self.hints.0 / self.hints.1).clamp(0.0, 1.0)),
            _ => 1.0,
        };
        (mean * of_mean * self.stretch).max(0.1)
    }

    /// Worth for each ms of work, if the request starts at this time.
    fn score(&self, entry: &Entry, start_ms: f64) -> f64 {
        let class = &self.set.classes[entry.request.class];
        // What ran until its call shows its true work, however wrong its hint was.
        let (at_call, part) = (entry.state == RequestState::AwaitingCall, self.part_at_call);
        let work = if at_call { entry.done_ms / part } else { self.work_ms(&entry.request) };
        let left_ms = if at_call { work * (1.0 - part) } else { work };
        let run_ms = left_ms / self.core_share;
        let (own_calls, call_line) = self.call_wait_ms(entry);
        let in_time = |end: f64| {
            let hopeful_end = end - (1.0 - HOPEFUL_PART) * run_ms;
            if end <= entry.latency_objective_ms {
                let left = (entry.latency_objective_ms - entry.arrived_ms - work) / class.timeout_ms.max(1.0);
                let stale = if entry.request.retry { self.retried * (1.0 - left).max(0.0) } else { 0.0 };
                1.0 - stale * (1.0 - class.late_weight)
            } else if hopeful_end <= entry.latency_objective_ms {
                SHORT_RUN.max(class.late_weight)
            } else if hopeful_end <= entry.deadline_ms {
                class.late_weight
            } else {
                0.0
            }
        };
        let without = class.weight_without_call * in_time(start_ms + run_ms);
        let in_time = in_time(start_ms + run_ms + own_calls + call_line).max(without);
        let worth = class.weight * if self.set.weight_by_work { work } else { 1.0 };
        worth * self.within_share(entry.request.tenant) * in_time / work
    }

    /// Time that a request not started yet will lose to calls: its own, after those in line before it.
    fn call_wait_ms(&self, entry: &Entry) -> (f64, f64) {
        let own = self.calls_per_run[entry.request.class];
        if own == 0.0 || entry.state != RequestState::Queued {
            return (0.0, 0.0);
        }
        let line = self.calls_to_come(self.set.classes[entry.request.class].weight_without_call);
        let unearned = ((own + line) * self.call_ms - self.call_credit_ms).max(0.0);
        (own * self.call_ms, unearned / self.call_rate())
    }

    /// Calls that are yet to be made for what was started, of classes that earn no more than this without.
    fn calls_to_come(&self, weight_without_call: f64) -> f64 {
        let first = self.entries.values().filter(|e| e.state != RequestState::Queued && e.owed);
        let first =
            first.filter(|e| self.set.classes[e.request.class].weight_without_call <= weight_without_call);
        first.map(|e| (self.calls_per_run[e.request.class] - e.calls).max(0.0)).sum()
    }

    /// Worth left to the next of a tenant that was served beyond its allowance, here or as a part of all: a
    /// slow server serves nobody's allowance, and would take everything from the one that floods the fleet.
    fn within_share(&self, tenant: Option<usize>) -> f64 {
        let Some(t) = tenant else { return 1.0 };
        let all: f64 = self.set.tenants.iter().filter(|t| !t.retired).map(|t| t.quota_per_s).sum();
        let served = self.tenant_rate.iter().sum::<f64>() / all.max(1e-9);
        let allowed = self.set.tenants[t].quota_per_s * served.min(1.0 / self.set.servers);
        let within = (allowed / self.tenant_rate[t].max(1e-9)).min(1.0).powi(2);
        within + (1.0 - within) * self.set.over_quota_weight
    }

    /// Expected wait in the hold, ms: the work of those that would start before it.
    fn wait_ms(&self, entry: &Entry, now: f64) -> f64 {
        if self.on_core() < self.set.cores {
            return 0.0;
        }
        let mine = self.score(entry, now);
        let mut ahead = self.work_ms(&entry.request) * 0.5;
        let held = self.entries.values().filter(|e| e.state == RequestState::Queued);
        let others = held.filter(|other| other.request.id != entry.request.id);
        for other in others.filter(|other| self.score(other, now) >= mine) {
            ahead += self.work_ms(&other.request);
        }
        ahead / (self.run_limit() * self.core_share)
    }

    // ---- hold and start order ----

    /// Runs that need a core now: those waiting for the disk are not in the gauge.
    fn on_core(&self) -> f64 {
        self.count(RequestState::Running).min(self.runnable + self.started_since)
    }

    fn run_limit(&self) -> f64 {
        (self.set.cores * RUNS_PER_CORE).max(1.0).floor()
    }

    /// Runs that the server survives, disk waiters included, should all want a core at once.
    fn crowd_limit(&self, now: f64) -> f64 {
        let rules = &self.set.rules;
        let speed = if self.set.cold && rules.warm_up_ms > 0.0 {
            let warmed = ((now - self.began_ms) / rules.warm_up_ms).clamp(0.0, 1.0);
            rules.warm_up_initial_speed + (1.0 - rules.warm_up_initial_speed) * warmed
        } else {
            1.0
        };
        (CROWD_PART * self.set.cores * (1.0 + (rules.max_running_per_core - 1.0).max(0.0) * speed)).max(1.0)
    }

    fn memory_kb(&self) -> f64 {
        let each = |e: &Entry| match e.state {
            RequestState::Queued | RequestState::AwaitingResult => e.request.mem_kb,
            _ => e.request.mem_kb * self.set.running_memory_factor.max(1.0),
        };
        self.entries.values().map(each).sum::<f64>() + self.keys.len() as f64 * self.set.key_kb
    }

    fn start_held(&mut self, now: f64, out: &mut Vec<Action>) {
        while let Some(id) = self.next_to_start(now) {
            let on_core = self.on_core();
            let room = self.entries[&id].request.mem_kb * (self.set.running_memory_factor - 1.0).max(0.0);
            if self.count(RequestState::Running) >= self.crowd_limit(now)
                || on_core >= self.run_limit()
                || self.memory_kb() + room > MEMORY_PART * self.set.memory_kb
            {
                return;
            }
            let paced = on_core >= self.set.cores && self.busy >= BUSY_SETPOINT;
            if paced {
                if self.credit < 1.0 {
                    return;
                }
                self.credit -= 1.0;
            }
            self.started_since += 1.0;
            let share = self.share_now(now);
            let entry = self.entries.get_mut(&id).expect("chosen from the hold");
            entry.state = RequestState::Running;
            entry.share_at_start = share;
            if let Some(t) = entry.request.tenant {
                self.tenant_since[t] += 1.0;
            }
            out.push(Action::StartRun { id });
            for (follower, entry) in &mut self.entries {
                if entry.follows == Some(id) && entry.state == RequestState::Queued {
                    entry.state = RequestState::AwaitingResult;
                    out.push(Action::ReuseResult { id: *follower });
                }
            }
        }
    }

    fn next_to_start(&self, now: f64) -> Option<u32> {
        let held = self.entries.iter().filter(|(_, e)| e.state == RequestState::Queued);
        let ranked =
            held.map(|(id, e)| (self.score(e, now), -e.latency_objective_ms, std::cmp::Reverse(*id)));
        let best = ranked.filter(|(score, ..)| *score > 0.0);
        let (.., std::cmp::Reverse(id)) =
            best.max_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)))?;
        let first = self.entries[&id].follows;
        first.filter(|f| self.entries.get(f).is_some_and(|e| e.state == RequestState::Queued)).or(Some(id))
    }

    fn finished(&mut self, now: f64, id: u32, outcome: Outcome, out: &mut Vec<Action>) {
        let share = self.share_now(now);
        self.progress_ms = now;
        let Some(entry) = self.entries.remove(&id) else { return };
        let idempotency = self.set.classes[entry.request.class].idempotency;
        if entry.state == RequestState::AwaitingResult {
            return;
        }
        if entry.state == RequestState::InCall {
            self.abandoned.push(now + self.set.call_linger_ms);
        }
        if outcome == Outcome::Done {
            let calls = &mut self.calls_per_run[entry.request.class];
            *calls += (entry.calls - *calls) * WORK_WEIGHT;
            let took_ms = (share - entry.share_at_start).max(0.1);
            // Learned from all that arrives, bad clients would feign reading without any wait, and so a jam.
            self.least_intake_ms = self.least_intake_ms.min(entry.request.queued_ms.max(0.0));
            self.learn(&entry.request, took_ms);
            if entry.done_ms > 0.0 {
                let part = (entry.done_ms / took_ms).clamp(PART_LEAST, 1.0);
                self.part_at_call += (part - self.part_at_call) * WORK_WEIGHT;
            }
        }
        if idempotency == Idempotency::ReadOnly && self.keys.contains_key(&id) {
            if outcome == Outcome::Done {
                self.remember(now, id, self.set.read_result_ttl_ms, out);
            } else {
                self.keys.remove(&id);
                out.push(Action::ReleaseKey { id });
            }
        }
    }

    // ---- calls ----

    fn make_calls(&mut self, now: f64, out: &mut Vec<Action>) {
        // The rule is a mean of calls in hand over a window, and a share may be far below one call: call time
        // is earned at a part of the share and spent by each call in hand, or a large fleet that keeps to one
        // call a server holds many times what the dependency survives.
        let elapsed = now - self.calls_paid_ms;
        let earned = (self.call_rate() - self.calls_charged) * elapsed;
        let most = CALLS_SAVED * self.set.call_quota_window_ms * self.call_rate();
        self.call_credit_ms = (self.call_credit_ms + earned).min(most);
        self.calls_paid_ms = now;
        self.abandoned.retain(|until| *until > now);
        self.calls_in_hand = self.count(RequestState::InCall) + self.abandoned.len() as f64;
        // A call far beyond its time has ended below, and its reply is lost: it fills the share, which holds
        // whatever it is, but earns no less for the good ones. Where calls fail in a row nothing is known.
        let overdue_ms = (CALL_OVERDUE * self.call_ms).max(CALL_OVERDUE_LEAST_MS);
        let calling =
            self.entries.values().filter(|e| e.state == RequestState::InCall && self.call_failures < 1.0);
        let overdue = calling.filter(|e| now - e.called_ms > overdue_ms).count() as f64;
        self.calls_charged = self.calls_in_hand - overdue;
        if self.calls_in_hand == 0.0 {
            // Refusing all that needs a call would otherwise keep alive the slow time that is its reason.
            self.call_ms = low_pass(self.call_ms, 0.0, elapsed / 1000.0, FORGET_S);
        }
        let at_call = self.entries.iter().filter(|(_, e)| e.state == RequestState::AwaitingCall && e.owed);
        let without = |e: &Entry| self.set.classes[e.request.class].weight_without_call;
        let gain = |e: &Entry| self.score(e, now + self.call_ms) * (1.0 - without(e));
        let mut waiting: Vec<(f64, f64, u32, f64)> =
            at_call.map(|(id, e)| (gain(e), e.latency_objective_ms, *id, without(e))).collect();
        // In the order of their aims: one let in for a call that others then overtake is work for nothing.
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let kept_back = self.calls_to_come(0.0);
        for (score, _, id, without) in waiting {
            // A call that can be left out leaves call time to those of other runs that can't.
            let spoken_for = self.calls_charged + if without > 0.0 { kept_back } else { 0.0 };
            let spoken_for = spoken_for * self.call_ms;
            let may_call = now >= self.calls_from_ms
                && self.calls_in_hand + 1.0 <= self.most_calls()
                && self.call_credit_ms >= spoken_for;
            if score <= 0.0 || !may_call {
                self.go_without(now, id, score, out);
                continue;
            }
            self.calls_in_hand += 1.0;
            self.calls_charged += 1.0;
            let entry = self.entries.get_mut(&id).expect("just listed");
            entry.state = RequestState::InCall;
            entry.calls += 1.0;
            entry.called_ms = now;
            let again = self.set.classes[entry.request.class].idempotency == Idempotency::ReadOnly;
            let least_ms = if again { CALL_AGAIN_LEAST_MS } else { CALL_PATIENCE_LEAST_MS };
            let call_timeout_ms = (self.call_ms * CALL_PATIENCE).max(least_ms);
            out.push(Action::StartCall {
                id,
                call_timeout_ms: call_timeout_ms.min(entry.deadline_ms - now).max(1.0),
            });
        }
    }

    /// What waits for a call that is not made now goes on without, as late as it can and be in time, where
    /// that is worth something. No answer comes of the rest: the call would only load what is slow already.
    fn go_without(&mut self, now: f64, id: u32, score: f64, out: &mut Vec<Action>) {
        let share = self.share_now(now);
        let entry = &self.entries[&id];
        let may = self.set.classes[entry.request.class].weight_without_call > 0.0;
        let soon = now + self.call_ms.max(2.0 * self.period_ms());
        if may && self.score(entry, now) > 0.0 && (score <= 0.0 || self.score(entry, soon) <= 0.0) {
            let entry = self.entries.get_mut(&id).expect("just seen");
            entry.state = RequestState::Running;
            entry.calls += 1.0;
            entry.share_at_start += share - entry.stopped_share;
            out.push(Action::SkipCall { id });
        } else if score <= 0.0 {
            self.fail(id, FailureReason::CallUnavailable, out);
        }
    }

    /// Calls that may be in hand. After a failure one at a time feels out whether the dependency is back.
    fn most_calls(&self) -> f64 {
        if self.call_failures >= 1.0 { 1.0 } else { self.set.call_quota.max(1.0) }
    }

    /// Calls that may be in hand in the mean: call time that is earned in a unit of time.
    fn call_rate(&self) -> f64 {
        // A server that was told no share has only the count to go by.
        if self.set.call_quota > 0.0 { self.set.call_quota * CALLS_PART } else { 1.0 }
    }

    fn call_ended(&mut self, now: f64, id: u32, outcome: Outcome, took_ms: f64, out: &mut Vec<Action>) {
        if outcome == Outcome::Done {
            self.call_failures = 0.0;
        } else {
            let cut_off = matches!(outcome, Outcome::TimedOut | Outcome::Reset);
            self.call_failures += if cut_off { CALL_CUT_OFF } else { 1.0 };
            if self.call_failures >= 1.0 {
                let pause = CALL_PAUSE_MS * (self.call_failures - 1.0).min(10.0).exp2();
                self.calls_from_ms = now + pause.min(CALL_PAUSE_MOST_MS);
            }
        }
        let lone = self.call_failures < 1.0;
        if outcome == Outcome::TimedOut {
            // What was waited for beyond its time has mostly ended below, and its reply was lost.
            let beyond = if lone { (took_ms - CALL_USUAL_MOST * self.call_ms).max(0.0) } else { 0.0 };
            self.abandoned.push(now + (self.set.call_linger_ms - beyond).max(0.0));
        }
        // Nor does it tell how slow calls are: learned from each, lost replies would shut the good calls out.
        if outcome == Outcome::Done || took_ms > self.call_ms && !lone {
            // How long one was waited for that never ended is this server's choice, and no call's time.
            let time_ms = if outcome == Outcome::Done { took_ms } else { took_ms.min(2.0 * self.call_ms) };
            self.call_ms += (time_ms - self.call_ms) * CALL_WEIGHT;
        }
        let share = self.share_now(now);
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if outcome == Outcome::Done {
            entry.share_at_start += share - entry.stopped_share;
        }
        let safe = self.set.classes[entry.request.class].idempotency == Idempotency::ReadOnly;
        let unseen = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
        entry.state =
            if outcome == Outcome::Done { RequestState::Running } else { RequestState::AwaitingCall };
        if outcome != Outcome::Done && !unseen && !safe {
            // The call may have taken effect: making it again could do it twice.
            self.fail(id, FailureReason::CallOutcomeUnknown, out);
        }
    }

    // ---- answers and due times ----

    fn refuse(&mut self, id: u32, reason: RejectReason, out: &mut Vec<Action>) {
        let given_up = matches!(reason, RejectReason::QueueTimeout | RejectReason::Displaced);
        self.entries.remove(&id);
        self.turned_share += 1.0 / TURNED_OVER;
        *self.turned_away.entry(reason).or_default() += 1;
        if self.turned_away.values().sum::<u32>() >= NOTE_EVERY {
            let text = format!("turned away: {:?}", std::mem::take(&mut self.turned_away));
            out.push(Action::Log { text });
        }
        if self.keys.remove(&id).is_some() {
            out.push(Action::ReleaseKey { id });
        }
        let jammed = self.busy_slow > JAM_BUSY && self.intake_ms - self.least_intake_ms > INTAKE_JAM_MS;
        let away = self.hung || self.is_going();
        let stay_away_ms = if away { f64::INFINITY } else { self.intake_ms };
        // One given up after a wait is told to come back when what is held has had its turn.
        let back_ms = if given_up { self.hold_ms().max(self.period_ms()) } else { 0.0 };
        let retry_after_ms =
            if away || jammed { stay_away_ms } else { back_ms }.min(self.set.max_retry_after_ms);
        // All share the dependency: callers of one that finds no call need not go on.
        out.push(Action::Reject {
            id,
            retry_after_ms,
            last: reason == RejectReason::CallUnavailable || (jammed && !away),
            reason,
        });
    }

    fn fail(&mut self, id: u32, reason: FailureReason, out: &mut Vec<Action>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if std::mem::replace(&mut entry.owed, false) {
            out.push(Action::Fail { id, reason });
        }
        if matches!(entry.state, RequestState::Queued | RequestState::AwaitingResult) {
            self.entries.remove(&id);
        }
    }

    fn answer_due(&mut self, now: f64, out: &mut Vec<Action>) {
        let kill = self.leave.map_or(f64::INFINITY, |(_, kill)| kill - DRAIN_MARGIN_MS);
        let late = now + self.period_ms();
        let slack = self.set.rules.answer_slack_ms * SLACK_PART;
        let (mut refused, mut failed) = (Vec::new(), Vec::new());
        for (id, entry) in self.entries.iter().filter(|(id, e)| !self.may_repeat_a_run(**id, e)) {
            let over =
                || late >= entry.deadline_ms || late >= kill || self.hung || self.score(entry, now) <= 0.0;
            if entry.state == RequestState::Queued && entry.owed && over() {
                refused.push(*id);
            } else if entry.owed && (late >= entry.deadline_ms + slack || late >= kill) {
                failed.push(*id);
            }
        }
        refused.into_iter().for_each(|id| self.refuse(id, RejectReason::QueueTimeout, out));
        for id in failed {
            self.fail(
                id,
                if late >= kill { FailureReason::Shutdown } else { FailureReason::DeadlineExceeded },
                out,
            );
            self.halt_useless(id, out);
        }
    }

    fn caller_gone(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.owed = false;
        if matches!(entry.state, RequestState::Queued | RequestState::AwaitingResult) {
            self.entries.remove(&id);
            if self.keys.remove(&id).is_some() {
                out.push(Action::ReleaseKey { id });
            }
        } else {
            self.halt_useless(id, out);
        }
    }

    /// Stops a run whose result no one can use. An effect is never cut short: its repeat wants the result.
    fn halt_useless(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some(entry) = self.entries.get(&id) else { return };
        let safe = self.set.classes[entry.request.class].idempotency == Idempotency::ReadOnly;
        if self.set.preemption != Preemption::Never
            && safe
            && entry.state == RequestState::Running
            && !entry.owed
        {
            out.push(Action::CancelRun { id });
        }
    }

    // ---- what callers hear ----

    /// Watches for runs that no longer get anywhere.
    fn watch_progress(&mut self, now: f64, dt: f64) {
        let runs = self.entries.values().filter(|e| e.state == RequestState::Running);
        let (count, work) = runs.fold((0.0, 0.0), |(n, w), e| (n + 1.0, w + self.work_ms(&e.request)));
        if count < 1.0 || dt * 1000.0 > 3.0 * self.period_ms() {
            // Nothing runs, or the process itself stood still: no one is to blame for the silence.
            self.progress_ms = now;
        }
        let patience = HANG_RUNS * work / f64::max(count, 1.0) / self.core_share;
        self.hung = now - self.progress_ms > patience.max(HANG_LEAST_MS);
    }

    fn report_health(&mut self, dt: f64, out: &mut Vec<Action>) {
        if self.runnable < self.set.cores {
            self.dead = low_pass(self.dead, 0.0, dt, INTAKE_FILTER_S);
        }
        self.crowd = low_pass(self.crowd, self.runnable / self.set.cores, dt, INTAKE_FILTER_S);
        let ease = if self.healthy { 1.0 } else { RECOVERS };
        let dead = self.stretch > SLOWED && self.dead >= DEAD_FAILS * ease;
        let lost = dead || self.hung || self.crowd > BURIED * ease;
        let good = !lost && self.leave.is_none();
        if good != self.healthy {
            self.healthy = good;
            out.push(Action::SetHealth { good, from_store: true });
        }
    }

    /// Sets the time for which an idle connection is kept. Connections made only to be refused are work for
    /// nothing: where most of what comes is turned away, the table stays as it is and lets newcomers in about
    /// as slowly as the cores can serve them. Catches any overload by many callers, slow servers first.
    fn close_idle(&mut self, dt: f64, out: &mut Vec<Action>) {
        if self.set.callers <= FEW_CALLERS * self.set.cores {
            return;
        }
        if self.runnable < self.set.cores {
            // Shut out, nobody comes to prove it wrong.
            self.turned_share = low_pass(self.turned_share, 0.0, dt, FORGET_S);
        }
        let shut = ((self.turned_share - SHUT_FROM) / (SHUT_ALL - SHUT_FROM)).clamp(0.0, 1.0);
        let kept_ms = self.set.caller_idle_timeout_ms.min(IDLE_KEPT_MS).powf(1.0 - shut)
            * self.set.caller_idle_timeout_ms.powf(shut);
        if (kept_ms / self.idle_kept_ms).ln().abs() > IDLE_STEP {
            self.idle_kept_ms = kept_ms;
            out.push(Action::CloseIdleConnections { after_ms: kept_ms });
        }
    }

    /// Leaves, and is about to take no more work: others hear of the next server seconds late.
    fn is_going(&self) -> bool {
        let work_ms = WORK_PART * self.set.rules.drain_grace_ms;
        self.leave.is_some_and(|(since, kill)| self.sampled_ms >= (since + work_ms).min((since + kill) / 2.0))
    }

    /// Time in which all that is held now could run, ms.
    fn hold_ms(&self) -> f64 {
        let held = self.entries.values().filter(|e| e.state == RequestState::Queued);
        held.map(|e| self.work_ms(&e.request)).sum::<f64>() / (self.run_limit() * self.core_share)
    }

    fn advise(&mut self, dt: f64, out: &mut Vec<Action>) {
        let wait = self.hold_ms();
        // Idle cores leave nothing unread: the jam is over, whatever the last arrivals had waited.
        let settle_s = if self.runnable < self.set.cores { INTAKE_IDLE_S } else { FORGET_S };
        self.intake_ms = low_pass(self.intake_ms, self.least_intake_ms.min(self.intake_ms), dt, settle_s);
        self.busy_slow = low_pass(self.busy_slow, self.busy, dt, INTAKE_FILTER_S);
        self.close_idle(dt, out);
        let delay = wait + (self.intake_ms - self.least_intake_ms).max(0.0);
        let traffic = (-delay / ADVICE_DELAY_MS).exp().max(ADVICE_FLOOR);
        let traffic = if self.is_going() || self.hung { 0.0 } else { traffic };
        let value = match self.set.load_report {
            LoadReportKind::Silent => return,
            LoadReportKind::Weight => traffic,
            LoadReportKind::Level => 1.0 - traffic,
            LoadReportKind::Credit => traffic * (2.0 * self.run_limit() / self.set.callers.max(1.0)).max(1.0),
        };
        if self.said.is_nan() || (value - self.said).abs() > 0.02 || (value == 0.0 && self.said != 0.0) {
            self.said = value;
            out.push(Action::ReportLoad { value });
        }
    }
}
