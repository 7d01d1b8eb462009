//! The series that exist, each with a name and a place. It owns these and nothing else. A schema never changes, so that a
//! snapshot is a row of numbers; where classes are added, a wider one takes its place.

use std::borrow::Cow;

use pinepoint_events::{CallOutcome, FailureReason, ReasonCode, RejectReason, RunOutcome};

/// What a series belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The class of this index.
    Class(usize),
    /// The node: connections, links, counters without a class.
    Node,
    /// The core's tables and the process.
    State,
    /// The decision module.
    Module,
    /// The delivery of these figures themselves.
    Telemetry,
}

/// The name of a series: letters, digits, hyphens and underscores, with dots between its levels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name {
    /// What it belongs to.
    pub scope: Scope,
    /// What it tells.
    pub stat: Cow<'static, str>,
}

/// How the values of a series add up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    /// A whole number that only grows.
    Count,
    /// A number with a fraction that only grows.
    Sum,
    /// A state at one moment.
    Gauge,
    /// One figure of a distribution over the interval.
    Part(Part),
}

/// A figure of a distribution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// How many.
    Count,
    /// Their sum, ms.
    Sum,
    /// The value, ms, that this share of them does not pass; in thousandths.
    Quantile(u16),
    /// The largest, ms.
    Most,
}

/// The figures of a distribution that are exported, in order.
pub const PARTS: [(Part, &str); 7] = [
    (Part::Count, "count"),
    (Part::Sum, "sum_ms"),
    (Part::Quantile(500), "p50_ms"),
    (Part::Quantile(900), "p90_ms"),
    (Part::Quantile(990), "p99_ms"),
    (Part::Quantile(999), "p999_ms"),
    (Part::Most, "max_ms"),
];

macro_rules! class_counts {
    ($($(#[$doc:meta])* $name:ident = $word:literal $sort:ident,)+) => {
        /// The counts of a class that have no reason, by their place in its block.
        #[allow(non_camel_case_types, clippy::upper_case_acronyms)]
        #[derive(Clone, Copy, Debug)]
        pub(crate) enum Plain { $($(#[$doc])* $name,)+ }

        const PLAIN: &[(&str, Sort)] = &[$(($word, Sort::$sort),)+];
    };
}

class_counts! {
    /// Tries read.
    Read = "read" Count,
    /// Those marked as further ones.
    ReadAgain = "read_again" Count,
    /// Served within the aim.
    InAim = "served_in_aim" Count,
    /// Served after it.
    Late = "served_late" Count,
    /// Of the served, those with the result of another try.
    Reused = "reused" Count,
    /// Of the served, those made without a call that was asked for.
    Poorer = "poorer" Count,
    /// Told that there was no time left.
    Expired = "expired" Count,
    /// Callers that left.
    Gone = "gone" Count,
    /// Runs begun.
    Runs = "runs" Count,
    /// Calls made.
    Calls = "calls" Count,
    /// Calls left out.
    LeftOut = "calls_left_out" Count,
    /// Worth of what was read.
    Asked = "worth_asked" Sum,
    /// Worth of what was served.
    Served = "worth_served" Sum,
}

/// The distributions of a class, ms.
pub(crate) const DISTS: [&str; 4] = ["hold", "run", "total", "call"];

/// The gauges of the core's state, before those of the module.
pub(crate) const STATE: [&str; 15] = [
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

/// What is told of each destination's delivery.
pub(crate) const DELIVERY_COUNTS: [&str; 6] =
    ["intervals_merged", "intervals_dropped", "points_sent", "points_resent", "receipts", "breaks"];
pub(crate) const DELIVERY_GAUGES: [&str; 3] = ["backlog_intervals", "backlog_kb", "receivers_down"];

/// The kinds of destinations, whether they are set up or not.
pub const DESTINATIONS: [&str; 2] = ["graphite", "collectd"];

/// All series of a process.
#[derive(Clone, Debug)]
pub struct Schema {
    classes: Vec<String>,
    node: Vec<&'static str>,
    module: Vec<&'static str>,
    counts: Vec<(Name, Sort)>,
    gauges: Vec<Name>,
    dists: Vec<Name>,
    node_at: usize,
    module_at: usize,
    delivery_at: (usize, usize),
}

impl Schema {
    /// The series of a process with these classes, whose node counts these things, and whose module tells these
    /// figures.
    pub fn new(classes: &[String], node: &[&'static str], module: &[&'static str]) -> Self {
        let reason_codes = |head: &'static str, words: Vec<&'static str>| {
            words.into_iter().map(move |word| (Cow::Owned(format!("{head}.{word}")), Sort::Count))
        };
        let mut counts = Vec::new();
        let mut dists = Vec::new();
        for class in 0..classes.len() {
            let scope = Scope::Class(class);
            let plain = PLAIN.iter().map(|(word, sort)| (Cow::Borrowed(*word), *sort));
            let of_class = plain
                .chain(reason_codes("refused", words::<RejectReason>()))
                .chain(reason_codes("failed", words::<FailureReason>()))
                .chain(reason_codes("call", words::<CallOutcome>()))
                .chain(reason_codes("run_end", words::<RunOutcome>()));
            counts.extend(of_class.map(|(stat, sort)| (Name { scope, stat }, sort)));
            dists.extend(DISTS.iter().map(|stat| Name { scope, stat: Cow::Borrowed(stat) }));
        }
        let node_at = counts.len();
        let named = |scope, stat: &'static str| Name { scope, stat: Cow::Borrowed(stat) };
        counts.extend(node.iter().map(|stat| (named(Scope::Node, stat), Sort::Count)));
        let delivery_counts_at = counts.len();
        let of_delivery = |stats: &'static [&'static str]| {
            DESTINATIONS.iter().flat_map(move |to| {
                stats.iter().map(move |stat| Name {
                    scope: Scope::Telemetry,
                    stat: Cow::Owned(format!("{to}.{stat}")),
                })
            })
        };
        counts.extend(of_delivery(&DELIVERY_COUNTS).map(|name| (name, Sort::Count)));
        counts.push((named(Scope::Telemetry, "log_lines_left_out"), Sort::Count));
        let mut gauges: Vec<Name> = (0..classes.len())
            .map(|class| Name { scope: Scope::Class(class), stat: Cow::Borrowed("open") })
            .collect();
        gauges.extend(STATE.iter().map(|stat| named(Scope::State, stat)));
        let module_at = gauges.len();
        gauges.extend(module.iter().map(|stat| named(Scope::Module, stat)));
        let delivery_gauges_at = gauges.len();
        gauges.extend(of_delivery(&DELIVERY_GAUGES));
        gauges.push(named(Scope::Telemetry, "law_off"));
        gauges.push(named(Scope::Telemetry, "span_s"));
        let delivery_at = (delivery_counts_at, delivery_gauges_at);
        let (classes, node, module) = (classes.to_vec(), node.to_vec(), module.to_vec());
        Schema { classes, node, module, counts, gauges, dists, node_at, module_at, delivery_at }
    }

    /// The same with other classes, of which the first are those of this schema.
    pub fn with_classes(&self, classes: &[String]) -> Self {
        Schema::new(classes, &self.node, &self.module)
    }

    /// Counts of a schema with fewer classes in their places of this one, which was made by [`Schema::with_classes`].
    pub fn widen(&self, narrow: &Schema, totals: &[f64]) -> Vec<f64> {
        let (of_classes, others) = totals.split_at(narrow.node_at);
        let added = vec![0.0; self.node_at - narrow.node_at];
        [of_classes, &added, others].concat()
    }

    /// Names of the classes.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Number of counts and sums.
    pub fn counts(&self) -> usize {
        self.counts.len()
    }

    /// Number of gauges.
    pub fn gauges(&self) -> usize {
        self.gauges.len()
    }

    /// Number of distributions.
    pub fn dists(&self) -> usize {
        self.dists.len()
    }

    /// Number of points that a snapshot makes: a value for each count and gauge, and the parts of each distribution.
    pub fn points(&self) -> usize {
        self.counts.len() + self.gauges.len() + self.dists.len() * PARTS.len()
    }

    /// What a point belongs to, what it tells, and how it adds up. Points go from 0 to [`Schema::points`].
    pub fn point(&self, at: usize) -> (Scope, Cow<'static, str>, Sort) {
        if let Some((name, sort)) = self.counts.get(at) {
            return (name.scope, name.stat.clone(), *sort);
        }
        let at = at - self.counts.len();
        if let Some(name) = self.gauges.get(at) {
            return (name.scope, name.stat.clone(), Sort::Gauge);
        }
        let at = at - self.gauges.len();
        let (name, (part, word)) = (&self.dists[at / PARTS.len()], PARTS[at % PARTS.len()]);
        (name.scope, Cow::Owned(format!("{}.{word}", name.stat)), Sort::Part(part))
    }

    /// Where a point stands: in which row, and at which place of it.
    pub(crate) fn row(&self, at: usize) -> Row {
        let (counts, gauges) = (self.counts.len(), self.gauges.len());
        if at < counts {
            Row::Count(at)
        } else if at < counts + gauges {
            Row::Gauge(at - counts)
        } else {
            let at = at - counts - gauges;
            Row::Dist(at / PARTS.len(), PARTS[at % PARTS.len()].0)
        }
    }

    /// How a point adds up.
    pub fn sort(&self, at: usize) -> Sort {
        match self.row(at) {
            Row::Count(at) => self.counts[at].1,
            Row::Gauge(_) => Sort::Gauge,
            Row::Dist(_, part) => Sort::Part(part),
        }
    }

    fn block(&self) -> usize {
        PLAIN.len()
            + RejectReason::ALL.len()
            + FailureReason::ALL.len()
            + CallOutcome::ALL.len()
            + RunOutcome::ALL.len()
    }

    pub(crate) fn plain(&self, class: usize, plain: Plain) -> usize {
        class * self.block() + plain as usize
    }

    pub(crate) fn refused(&self, class: usize, why: RejectReason) -> usize {
        class * self.block() + PLAIN.len() + why.index()
    }

    pub(crate) fn failed(&self, class: usize, why: FailureReason) -> usize {
        class * self.block() + PLAIN.len() + RejectReason::ALL.len() + why.index()
    }

    pub(crate) fn call(&self, class: usize, end: CallOutcome) -> usize {
        class * self.block() + PLAIN.len() + RejectReason::ALL.len() + FailureReason::ALL.len() + end.index()
    }

    pub(crate) fn run(&self, class: usize, end: RunOutcome) -> usize {
        self.call(class, CallOutcome::Done) + CallOutcome::ALL.len() + end.index()
    }

    pub(crate) fn dist(&self, class: usize, dist: usize) -> usize {
        class * DISTS.len() + dist
    }

    /// The place of the node's counts.
    pub(crate) fn node(&self) -> std::ops::Range<usize> {
        self.node_at..self.delivery_at.0
    }

    /// The place of the counts and of the gauges of a destination.
    pub(crate) fn delivery(&self, destination: usize) -> (usize, usize) {
        let (counts, gauges) = self.delivery_at;
        (counts + destination * DELIVERY_COUNTS.len(), gauges + destination * DELIVERY_GAUGES.len())
    }

    /// The place of the count of log lines left out, the last of the counts.
    pub(crate) fn log_lines(&self) -> usize {
        self.counts.len() - 1
    }

    /// The places of the gauges of the core's state, of the module, and of `law_off`, behind which stands `span_s`.
    pub(crate) fn state(&self) -> (usize, std::ops::Range<usize>, usize) {
        (self.classes.len(), self.module_at..self.delivery_at.1, self.gauges.len() - 2)
    }
}

/// Where a point stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Row {
    Count(usize),
    Gauge(usize),
    Dist(usize, Part),
}

fn words<R: ReasonCode>() -> Vec<&'static str> {
    R::ALL.iter().map(|reason| reason.code()).collect()
}

#[cfg(test)]
mod tests;
