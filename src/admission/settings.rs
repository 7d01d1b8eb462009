//! The settings of the admission controller and their validation.
//!
//! Plain data: it contains the configuration by the host and nothing that is learned at run time. All times
//! are milliseconds, all memory is in kilobytes.

use thiserror::Error;

/// Largest value that a setting may have: over thirty years in milliseconds, a petabyte in kilobytes. Sums
/// and products of larger values would overflow to infinity.
pub const MAX_SETTING: f64 = 1e12;

/// Configuration of one server. The default of each field switches its feature off.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Whether the server was just started and is not warmed up yet.
    pub cold: bool,
    /// CPU cores of this server, 1 or more.
    pub cores: f64,
    /// Memory for queued and running requests and retained keys, kB; may be infinite for no limit.
    pub memory_kb: f64,
    /// Memory of a running request as a multiple of its memory while queued.
    pub running_memory_factor: f64,
    /// Memory of one retained key, kB.
    pub key_kb: f64,
    /// Shortest time between two batches of events, ms.
    pub tick_ms: f64,
    /// Servers that share the traffic, this one included.
    pub servers: f64,
    /// Callers that send to these servers.
    pub callers: f64,
    /// Time for which the result of a read may answer other reads of its subject, ms; 0 for never.
    pub read_result_ttl_ms: f64,
    /// How callers interpret the load report.
    pub load_report: LoadReportKind,
    /// Whether and how running work can be cancelled.
    pub preemption: Preemption,
    /// Longest Retry-After that callers honour, ms; 0 where Retry-After is not passed on.
    pub max_retry_after_ms: f64,
    /// Idle time after which callers close a connection, ms.
    pub caller_idle_timeout_ms: f64,
    /// This server's quota of the calls that the dependency survives, as a mean number in flight.
    pub call_quota: f64,
    /// Averaging window of [`Settings::call_quota`], ms.
    pub call_quota_window_ms: f64,
    /// Time for which an abandoned call may still be in flight at the dependency, ms.
    pub call_linger_ms: f64,
    /// Whether weights count for each unit of work instead of for each request.
    pub weight_by_work: bool,
    /// Weight of a request beyond its tenant's quota, as a part of its ordinary weight, 0 to 1.
    pub over_quota_weight: f64,
    /// Limits that no run may break.
    pub rules: Rules,
    /// Classes of requests, addressed by index; at least one.
    pub classes: Vec<Class>,
    /// Tenants, addressed by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Meaning of the values that come with [`Event::TimerFired`](super::Event::TimerFired), in order.
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

impl Settings {
    /// The longest time that a caller of any class waits, ms.
    pub fn longest_timeout_ms(&self) -> f64 {
        self.classes.iter().map(|class| class.timeout_ms).fold(0.0, f64::max)
    }

    /// Checks whether the settings are usable. Only [`Settings::memory_kb`] may be infinite.
    ///
    /// # Errors
    ///
    /// Returns the first [`SettingsError`] found: a value out of range, too few cores, or no class.
    pub fn check(&self) -> Result<(), SettingsError> {
        let values = self.server_values().into_iter();
        let values = values.chain(self.rules.values());
        let values = values.chain(self.classes.iter().flat_map(Class::values));
        let values = values.chain(self.tenants.iter().map(|t| ("tenant.allowance_per_s", t.quota_per_s)));
        for (name, value) in values {
            if !(0.0..=MAX_SETTING).contains(&value) {
                return Err(SettingsError::OutOfRange(name));
            }
        }
        if self.cores < 1.0 {
            return Err(SettingsError::NoCores);
        }
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        Ok(())
    }

    /// The values of the server itself under the names that error messages show.
    fn server_values(&self) -> [(&'static str, f64); 14] {
        let finite_memory_kb = if self.memory_kb == f64::INFINITY { 0.0 } else { self.memory_kb };
        [
            ("cores", self.cores),
            ("memory_kb", finite_memory_kb),
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
        ]
    }
}

/// Why [`Settings`] are unusable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// There is less than one core.
    #[error("a server needs at least one core")]
    NoCores,
    /// There is no class of requests.
    #[error("at least one class of requests is needed")]
    NoClasses,
    /// The named value is below 0, above [`MAX_SETTING`], or not a number.
    #[error("{0} is not a number from 0 to {MAX_SETTING:e}")]
    OutOfRange(&'static str),
    /// There are fewer classes or tenants than before, and open requests refer to them by index.
    #[error("classes and tenants in use must keep their indexes")]
    IndexRemoved,
}

/// Limits of the deployment that no run may break.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Time after the deadline until which an answer still counts, ms.
    pub answer_slack_ms: f64,
    /// Time after the start of a drain, ms. A request that reaches the machine later is not run.
    pub drain_grace_ms: f64,
    /// Running requests per core that a warmed-up server survives.
    pub max_running_per_core: f64,
    /// Least part of its warmed-up speed with which a cold server starts, 0 to 1.
    pub warm_up_initial_speed: f64,
    /// Time after which a cold server is warmed up at the latest, ms.
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

impl Rules {
    fn values(&self) -> [(&'static str, f64); 5] {
        [
            ("rules.answer_slack_ms", self.answer_slack_ms),
            ("rules.drain_grace_ms", self.drain_grace_ms),
            ("rules.crowd_per_core", self.max_running_per_core),
            ("rules.cold_speed", self.warm_up_initial_speed),
            ("rules.cold_ms", self.warm_up_ms),
        ]
    }
}

/// Whether a request may be run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A read, which may run more than once.
    #[default]
    ReadOnly,
    /// A request with an effect and with an idempotency key by which duplicates are recognised.
    Keyed,
    /// A request with an effect and without a key.
    NonIdempotent,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency objective: an answer within this time of the first attempt earns the full weight, ms.
    pub latency_objective_ms: f64,
    /// Total time that a caller waits, ms.
    pub timeout_ms: f64,
    /// Priority weight of a request (or of a unit of its work).
    pub weight: f64,
    /// Part of the weight that an answer after the latency objective still earns, 0 to 1.
    pub late_weight: f64,
    /// Part of the weight that an answer without its call earns, 0 to 1; with 0 a call is never skipped.
    pub weight_without_call: f64,
    /// Multiple of the request's own work that is added to the latency objective.
    pub objective_per_work: f64,
    /// Whether its requests may be run more than once.
    pub idempotency: Idempotency,
    /// Time after the arrival of a keyed request in which duplicates of it may arrive, ms.
    pub dedup_window_ms: f64,
    /// Whether its requests may call the dependency.
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

impl Class {
    /// How long a caller waits that states this time, or none, ms: no longer than [`Class::timeout_ms`].
    pub fn caller_timeout_ms(&self, stated_ms: Option<f64>) -> f64 {
        stated_ms.map_or(self.timeout_ms, |ms| ms.min(self.timeout_ms))
    }

    fn values(&self) -> [(&'static str, f64); 7] {
        [
            ("class.aim_ms", self.latency_objective_ms),
            ("class.deadline_ms", self.timeout_ms),
            ("class.worth", self.weight),
            ("class.late_worth", self.late_weight),
            ("class.worth_without", self.weight_without_call),
            ("class.aim_stretch", self.objective_per_work),
            ("class.key_window_ms", self.dedup_window_ms),
        ]
    }
}

/// One tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Quota of the tenant over all servers, requests/s.
    pub quota_per_s: f64,
    /// Whether the tenant was removed from the site. Its quota still applies to its open requests but is left
    /// out of the sum of all quotas.
    pub retired: bool,
}

/// How callers interpret the value of a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReportKind {
    /// No load report is sent.
    #[default]
    Silent,
    /// Requests whose priority is below the value are not sent.
    Level,
    /// The maximum number of requests that one caller may have outstanding at this server.
    Credit,
    /// The probability that a caller does not skip this server.
    Weight,
}

/// Whether running work can be cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// Running work cannot be cancelled.
    #[default]
    Never,
    /// Cancelling discards the work done so far.
    Drop,
    /// Cancelled work keeps its progress, and its running memory, until it is started again.
    Pause,
}

/// Meaning of one value that comes with a timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Share of the cores that were busy recently, 0 to 1.
    BusyShare,
    /// Number of tasks that need a core now: runs, reading, health checks, new connections.
    Runnable,
    /// A value that no decision uses.
    Other,
}
