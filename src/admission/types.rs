//! Every type that the decision module exposes. Plain data: what is decided lives in `brain.rs`.
//! All times are milliseconds of the host's clock, all memory is in kilobytes.

pub use pinepoint_events::{FailureReason, RejectReason};

/// What a server is told when it starts.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Started just now and not warm yet.
    pub cold: bool,
    /// Cores of this server.
    pub cores: f64,
    /// Memory for held and running requests and kept keys.
    pub memory_kb: f64,
    /// A running request takes this many times its held memory.
    pub running_memory_factor: f64,
    /// Memory of one entry in the table of keys.
    pub key_kb: f64,
    /// The shortest time between two batches of events.
    pub tick_ms: f64,
    /// Servers that share the traffic, this one included.
    pub servers: f64,
    /// Callers that send to them.
    pub callers: f64,
    /// How long the answer to a read may serve other reads of its subject; 0 for never.
    pub read_result_ttl_ms: f64,
    /// Which kind of free value callers read.
    pub load_report: LoadReportKind,
    /// Whether and how running work can be stopped.
    pub preemption: Preemption,
    /// Longest pause that callers honour after a refusal; 0 where pauses are not passed on.
    pub max_retry_after_ms: f64,
    /// Callers close connections idle for this long.
    pub caller_idle_timeout_ms: f64,
    /// This server's part of the calls that the dependency survives, as a mean number in hand.
    pub call_quota: f64,
    /// Averaging window of that mean.
    pub call_quota_window_ms: f64,
    /// An abandoned call may stay with the dependency for this long.
    pub call_linger_ms: f64,
    /// Worth counts for each unit of work, not for each request.
    pub weight_by_work: bool,
    /// Worth of a request beyond its tenant's allowance, as a part of the ordinary worth.
    pub over_quota_weight: f64,
    /// The figures of the rules that no run may break.
    pub rules: Rules,
    /// Classes of requests, addressed by index.
    pub classes: Vec<Class>,
    /// Tenants, addressed by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// What the values that come with a timer mean, in order.
    pub gauges: Vec<Gauge>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            cold: false,
            cores: 1.0,
            memory_kb: f64::INFINITY,
            running_memory_factor: 1.0,
            key_kb: 0.0,
            tick_ms: 1.0,
            servers: 1.0,
            callers: 1.0,
            read_result_ttl_ms: 0.0,
            load_report: LoadReportKind::Silent,
            preemption: Preemption::Never,
            max_retry_after_ms: 0.0,
            caller_idle_timeout_ms: 0.0,
            call_quota: 0.0,
            call_quota_window_ms: 0.0,
            call_linger_ms: 0.0,
            weight_by_work: false,
            over_quota_weight: 1.0,
            rules: Rules::default(),
            classes: vec![Class::default()],
            tenants: Vec::new(),
            gauges: Vec::new(),
        }
    }
}

/// Why [`Settings`] make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// Fewer than one core.
    NoCores,
    /// No class of requests.
    NoClasses,
    /// The named figure is below 0 or above [`FIGURE_MOST`], or no number at all.
    Figure(&'static str),
    /// Fewer classes or tenants than before: what is open refers to them by index.
    Removed,
}

/// Largest figure that settings may hold: as milliseconds over thirty years, as kilobytes a petabyte. Sums and products
/// of what is larger stop being numbers.
pub const FIGURE_MOST: f64 = 1e12;

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SettingsError::NoCores => f.write_str("a server needs at least one core"),
            SettingsError::NoClasses => f.write_str("at least one class of requests is needed"),
            SettingsError::Removed => f.write_str("classes and tenants in use must keep their indexes"),
            SettingsError::Figure(name) => write!(f, "{name} is not a number from 0 to {FIGURE_MOST:e}"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// The longest time that a client of any class waits.
    pub fn longest_timeout_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.timeout_ms).fold(0.0, f64::max)
    }

    /// Tells whether the settings make sense. Only [`Settings::memory_kb`] may be infinite, for no limit.
    pub fn check(&self) -> Result<(), SettingsError> {
        let rules = &self.rules;
        let mut figures = vec![
            ("cores", self.cores),
            ("memory_kb", if self.memory_kb == f64::INFINITY { 0.0 } else { self.memory_kb }),
            ("run_factor", self.running_memory_factor),
            ("key_kb", self.key_kb),
            ("tick_ms", self.tick_ms),
            ("servers", self.servers),
            ("callers", self.callers),
            ("fresh_ms", self.read_result_ttl_ms),
            ("longest_pause_ms", self.max_retry_after_ms),
            ("idle_ms", self.caller_idle_timeout_ms),
            ("calls_share", self.call_quota),
            ("calls_over_ms", self.call_quota_window_ms),
            ("call_linger_ms", self.call_linger_ms),
            ("over_share_worth", self.over_quota_weight),
            ("rules.answer_slack_ms", rules.answer_slack_ms),
            ("rules.drain_grace_ms", rules.drain_grace_ms),
            ("rules.crowd_per_core", rules.max_running_per_core),
            ("rules.cold_speed", rules.warm_up_initial_speed),
            ("rules.cold_ms", rules.warm_up_ms),
        ];
        for class in &self.classes {
            figures.extend([
                ("class.aim_ms", class.latency_objective_ms),
                ("class.deadline_ms", class.timeout_ms),
                ("class.worth", class.weight),
                ("class.late_worth", class.late_weight),
                ("class.worth_without", class.weight_without_call),
                ("class.aim_stretch", class.objective_per_work),
                ("class.key_window_ms", class.dedup_window_ms),
            ]);
        }
        figures.extend(self.tenants.iter().map(|t| ("tenant.allowance_per_s", t.quota_per_s)));
        let bad = figures.iter().find(|(_, value)| !(0.0..=FIGURE_MOST).contains(value));
        match bad {
            Some((name, _)) => Err(SettingsError::Figure(name)),
            None if self.cores < 1.0 => Err(SettingsError::NoCores),
            None if self.classes.is_empty() => Err(SettingsError::NoClasses),
            None => Ok(()),
        }
    }
}

/// Figures of the rules.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// An answer counts until this long after the due time.
    pub answer_slack_ms: f64,
    /// What reached the machine later than this after the notice to leave is not run.
    pub drain_grace_ms: f64,
    /// Requests on the cores, for each core, that a warm server survives.
    pub max_running_per_core: f64,
    /// A cold server starts with this share of its speed, or more.
    pub warm_up_initial_speed: f64,
    /// A cold server is warm after this time at the latest.
    pub warm_up_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack_ms: 0.0,
            drain_grace_ms: 0.0,
            max_running_per_core: 4.0,
            warm_up_initial_speed: 1.0,
            warm_up_ms: 0.0,
        }
    }
}

/// How a request may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A read: running it twice does no harm.
    #[default]
    ReadOnly,
    /// Has an effect, and an idempotency key by which repeats are known.
    Keyed,
    /// Has an effect and no key.
    NonIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of the first try earns the full worth.
    pub latency_objective_ms: f64,
    /// A client waits this long in all.
    pub timeout_ms: f64,
    /// Worth of a request (or of a unit of its work).
    pub weight: f64,
    /// Part of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// Part of the worth that an answer made without its call still earns; 0: it must not go on without.
    pub weight_without_call: f64,
    /// The aim grows by this multiple of the request's own work.
    pub objective_per_work: f64,
    /// How it may be repeated.
    pub idempotency: Idempotency,
    /// How long after its arrival a keyed request can come again.
    pub dedup_window_ms: f64,
    /// Its requests may call the dependency.
    pub calls: bool,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective_ms: 1000.0,
            timeout_ms: 3000.0,
            weight: 1.0,
            late_weight: 0.0,
            weight_without_call: 0.0,
            objective_per_work: 0.0,
            idempotency: Idempotency::ReadOnly,
            dedup_window_ms: 0.0,
            calls: false,
        }
    }
}

/// One tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all servers, within its allowance.
    pub quota_per_s: f64,
    /// It is no longer one of the site's: its allowance holds for what it has open, and adds nothing to the sum of all.
    pub retired: bool,
}

/// What callers make of the free value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportKind {
    /// Nothing may be said.
    #[default]
    Silent,
    /// Requests whose standing is below the value are not sent.
    Level,
    /// The most requests one caller has outstanding here.
    Credit,
    /// The chance that a caller does not skip this server.
    Weight,
}

/// Whether running work can be stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// It cannot.
    #[default]
    Never,
    /// Stopping loses what was done.
    Drop,
    /// Stopped work keeps what was done, and its running memory, until it is started again.
    Pause,
}

/// Meaning of one value that comes with a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Share of the cores that were busy of late.
    BusyShare,
    /// All that needs a core now: runs, reading, checks, new connections.
    Runnable,
    /// Something that no decision uses.
    Other,
}

/// A request that was read and now lies in the hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The host's number for it; never used twice.
    pub id: u32,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// When the caller stops waiting, where callers say so.
    pub deadline_ms: Option<f64>,
    /// Rough work on a standard core, where hinted.
    pub work_hint_ms: Option<f64>,
    /// Memory while held.
    pub mem_kb: f64,
    /// Marked as a further try or a second copy.
    pub retry: bool,
    /// Time since it reached the machine.
    pub queued_ms: f64,
    /// The kept request that this one repeats.
    pub duplicate_of: Option<u32>,
    /// It names a subject, so that reads of it may share an answer.
    pub has_subject: bool,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Done,
    /// It failed and may have taken effect.
    Failed,
    /// The call was declined unseen: it never ran.
    Rejected,
    /// The call was given up and may have taken effect.
    TimedOut,
    /// What lies below could not be reached: the call never ran.
    Unreachable,
    /// The call was cut off and may have taken effect.
    Reset,
    /// The run was stopped, or ended with its answer already given.
    Cancelled,
    /// Nothing was started: the request was already over.
    NotStarted,
}

/// What the host tells the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The first event: the server is up.
    Started,
    /// A request was read.
    RequestArrived(Request),
    /// All events of this instant are in; arrivals are decided and starts made now.
    BatchEnded,
    /// A run, or an answer from a kept result, is over.
    RunEnded {
        /// The request.
        id: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// A running request cannot go on without a call.
    CallNeeded {
        /// The request.
        id: u32,
    },
    /// A call is over.
    CallEnded {
        /// The request.
        id: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since the call was made.
        took_ms: f64,
    },
    /// The caller no longer waits; nothing is owed any more.
    CallerGone {
        /// The request.
        id: u32,
    },
    /// The server is to leave and will be stopped at the stated time.
    DrainStarted {
        /// Time of the kill.
        kill_ms: f64,
    },
    /// A timer went off.
    TimerFired {
        /// The token given with [`Action::SetTimer`].
        token: u32,
        /// The gauges, in the order of [`Settings::gauges`].
        gauges: Vec<f64>,
    },
}

/// What the host carries out, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin a held request.
    StartRun {
        /// The request.
        id: u32,
    },
    /// Final answer: no; this try never ran.
    Reject {
        /// The request.
        id: u32,
        /// How long the caller should stay away; 0 for no advice.
        retry_after_ms: f64,
        /// Ask the caller not to try another server.
        last: bool,
        /// Why.
        reason: RejectReason,
    },
    /// Final answer: an error.
    Fail {
        /// The request.
        id: u32,
        /// Why.
        reason: FailureReason,
    },
    /// Stop running work.
    CancelRun {
        /// The request.
        id: u32,
    },
    /// Make the call that a request waits for.
    StartCall {
        /// The request.
        id: u32,
        /// Give the call up after this time.
        call_timeout_ms: f64,
    },
    /// Go on without the call that a request waits for.
    SkipCall {
        /// The request.
        id: u32,
    },
    /// Keep an entry by which repeats of the request are known.
    RetainKey {
        /// The request.
        id: u32,
        /// Lifetime of the entry from now.
        ttl_ms: f64,
    },
    /// Remove the entry of a request.
    ReleaseKey {
        /// The request.
        id: u32,
    },
    /// Answer a held request with the result of the one it repeats.
    ReuseResult {
        /// The request.
        id: u32,
    },
    /// Answer health checks so from now on.
    SetHealth {
        /// Whether the server is well.
        good: bool,
        /// Answer from this setting alone, without real work.
        from_store: bool,
    },
    /// Send this free value along with every answer from now on.
    ReportLoad {
        /// The value; its meaning is given by [`Settings::load_report`].
        value: f64,
    },
    /// Close connections that carried nothing for this long.
    CloseIdleConnections {
        /// The idle time.
        after_ms: f64,
    },
    /// Send [`Event::TimerFired`] after this time.
    SetTimer {
        /// Time from now.
        after_ms: f64,
        /// Comes back with the event.
        token: u32,
    },
    /// A line for the log.
    Log {
        /// The line.
        text: String,
    },
}
