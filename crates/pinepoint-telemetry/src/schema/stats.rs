//! The fixed lists of statistics, counters and gauges. Their strings are parts of metric names and never
//! change.

use super::MetricKind;

/// A statistic of a distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statistic {
    /// The number of values.
    Count,
    /// The sum of the values, ms.
    Sum,
    /// The quantile at this rank, in thousandths; its value is in ms.
    Quantile(u16),
    /// The maximum, ms.
    Max,
}

/// The statistics of a distribution that are exported, with their suffix in metric names, in order.
pub const STATISTICS: [(Statistic, &str); 7] = [
    (Statistic::Count, "count"),
    (Statistic::Sum, "sum_ms"),
    (Statistic::Quantile(500), "p50_ms"),
    (Statistic::Quantile(900), "p90_ms"),
    (Statistic::Quantile(990), "p99_ms"),
    (Statistic::Quantile(999), "p999_ms"),
    (Statistic::Max, "max_ms"),
];

impl Statistic {
    /// The suffix in metric names; empty for a statistic that is not exported.
    pub(super) fn suffix(self) -> &'static str {
        STATISTICS.iter().find(|(statistic, _)| *statistic == self).map_or("", |(_, suffix)| suffix)
    }
}

macro_rules! class_counters {
    ($($(#[$doc:meta])* $name:ident = $stat:literal $kind:ident,)+) => {
        /// The counters and sums of a class that have no reason code, by their position in the class's block.
        #[derive(Clone, Copy, Debug)]
        pub(crate) enum ClassCounter { $($(#[$doc])* $name,)+ }

        /// Stat and kind of each [`ClassCounter`].
        pub(crate) const CLASS_COUNTERS: &[(&str, MetricKind)] = &[$(($stat, MetricKind::$kind),)+];
    };
}

class_counters! {
    /// Attempts received.
    Received = "read" Counter,
    /// Received attempts that were marked as retries.
    Retries = "read_again" Counter,
    /// Served within the latency objective.
    ServedWithinObjective = "served_in_aim" Counter,
    /// Served after the latency objective.
    ServedLate = "served_late" Counter,
    /// Served with the result of another attempt.
    Deduplicated = "reused" Counter,
    /// Served without a downstream call that was requested.
    Degraded = "poorer" Counter,
    /// Answered with the error that the deadline had passed.
    DeadlineExceeded = "expired" Counter,
    /// Disconnected or cancelled by the caller, and not answered.
    CallerGone = "gone" Counter,
    /// Runs started.
    RunsStarted = "runs" Counter,
    /// Downstream calls started.
    CallsStarted = "calls" Counter,
    /// Downstream calls skipped.
    CallsSkipped = "calls_left_out" Counter,
    /// Priority weight of received requests.
    WeightReceived = "worth_asked" Sum,
    /// Priority weight of served requests.
    WeightServed = "worth_served" Sum,
}

/// The latency distributions of a class, ms, by their position in the class's block.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ClassDistribution {
    /// From reading a request to the start of its run.
    QueueWait,
    /// From the start of a run to its end.
    Run,
    /// From the arrival at the machine to the final answer.
    Total,
    /// From the start of a downstream call to its end.
    Call,
}

impl ClassDistribution {
    /// The names in metrics, in the order of the variants.
    pub(crate) const STATS: [&'static str; 4] = ["hold", "run", "total", "call"];
}

/// The gauges of the core's state and of the process, in this order.
pub(crate) const CORE_STATE_GAUGES: [&str; 15] = [
    "held",
    "waiting",
    "running",
    "calls",
    "keys",
    "results_bytes",
    "connections",
    "memory_kb",
    "descriptors",
    "leaving",
    "fleet_up",
    "fleet_suspected",
    "fleet_lost",
    "fleet_verdicts",
    "fleet_settled",
];

/// The counters of the delivery to each destination.
pub(crate) const DELIVERY_COUNTERS: [&str; 6] =
    ["intervals_merged", "intervals_dropped", "points_sent", "points_resent", "receipts", "breaks"];
/// The gauges of the delivery to each destination.
pub(crate) const DELIVERY_GAUGES: [&str; 3] = ["backlog_intervals", "backlog_kb", "receivers_down"];

/// A kind of destination, configured or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// Graphite.
    Graphite,
    /// collectd.
    Collectd,
}

impl Destination {
    /// All kinds, in the order of their metrics.
    pub const ALL: [Destination; 2] = [Destination::Graphite, Destination::Collectd];

    /// The name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Destination::Graphite => "graphite",
            Destination::Collectd => "collectd",
        }
    }
}
