//! The metrics of a process: their names, their kinds and the positions of their values in a snapshot.
//!
//! A schema never changes, so that a snapshot is a plain row of numbers. When classes are added, a wider
//! schema replaces it.

mod layout;
mod stats;

use std::borrow::Cow;

use pinepoint_events::{CallOutcome, FailureReason, ReasonCode, RejectReason, RunOutcome};

use layout::DeliveryOffsets;
pub(crate) use layout::ValueLocation;
pub(crate) use stats::{
    CLASS_COUNTERS, CORE_STATE_GAUGES, ClassCounter, ClassDistribution, DELIVERY_COUNTERS, DELIVERY_GAUGES,
};
pub use stats::{Destination, STATISTICS, Statistic};

/// The part of the process that a metric belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Scope {
    /// The request class of this index.
    Class(usize),
    /// The node: connections, upstream links, counters without a class.
    Node,
    /// The core's tables and the process.
    State,
    /// The admission controller.
    Module,
    /// Telemetry itself.
    Telemetry,
}

impl Scope {
    /// The component for the scope in metric names.
    pub(crate) fn area(self) -> &'static str {
        match self {
            Scope::Class(_) => "class",
            Scope::Node => "node",
            Scope::State => "state",
            Scope::Module => "module",
            Scope::Telemetry => "telemetry",
        }
    }
}

/// The name of a metric within the process.
#[derive(Clone, Debug, PartialEq, Eq)]
struct MetricName {
    scope: Scope,
    stat: Cow<'static, str>,
}

/// The kind of the values of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// An integer that only grows.
    Counter,
    /// A real number that only grows.
    Sum,
    /// A value at one instant.
    Gauge,
    /// One statistic of a distribution over the interval.
    Statistic(Statistic),
}

/// The description of one point of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricDescriptor {
    /// The part of the process that the metric belongs to.
    pub scope: Scope,
    /// The measured quantity: letters, digits, hyphens and underscores, with dots between levels.
    pub stat: Cow<'static, str>,
    /// The kind of the values.
    pub kind: MetricKind,
}

/// All metrics of a process.
#[derive(Clone, Debug)]
pub struct Schema {
    classes: Vec<String>,
    node: Vec<&'static str>,
    module: Vec<&'static str>,
    counters: Vec<(MetricName, MetricKind)>,
    gauges: Vec<MetricName>,
    distributions: Vec<MetricName>,
    /// Index of the first counter of the node.
    node_offset: usize,
    /// Index of the first gauge of the admission controller.
    module_offset: usize,
    /// Indices of the first counter and gauge of the deliveries.
    delivery_offsets: DeliveryOffsets,
}

impl Schema {
    /// The metrics of a process with these request classes, counters of the node and gauges of the admission
    /// controller.
    pub fn new(classes: &[String], node: &[&'static str], module: &[&'static str]) -> Self {
        let mut counters = Vec::new();
        let mut distributions = Vec::new();
        let mut gauges = Vec::new();
        for class in 0..classes.len() {
            let scope = Scope::Class(class);
            counters.extend(class_counters().map(|(stat, kind)| (MetricName { scope, stat }, kind)));
            distributions.extend(ClassDistribution::STATS.iter().map(|stat| static_name(scope, stat)));
            gauges.push(static_name(scope, "open"));
        }
        let node_offset = counters.len();
        counters.extend(node.iter().map(|stat| (static_name(Scope::Node, stat), MetricKind::Counter)));
        let delivery_counters_offset = counters.len();
        counters.extend(per_destination(&DELIVERY_COUNTERS).map(|name| (name, MetricKind::Counter)));
        counters.push((static_name(Scope::Telemetry, "log_lines_left_out"), MetricKind::Counter));

        gauges.extend(CORE_STATE_GAUGES.iter().map(|stat| static_name(Scope::State, stat)));
        let module_offset = gauges.len();
        gauges.extend(module.iter().map(|stat| static_name(Scope::Module, stat)));
        let delivery_gauges_offset = gauges.len();
        gauges.extend(per_destination(&DELIVERY_GAUGES));
        gauges.push(static_name(Scope::Telemetry, "law_off"));
        gauges.push(static_name(Scope::Telemetry, "span_s"));
        Schema {
            classes: classes.to_vec(),
            node: node.to_vec(),
            module: module.to_vec(),
            counters,
            gauges,
            distributions,
            node_offset,
            module_offset,
            delivery_offsets: DeliveryOffsets {
                counters: delivery_counters_offset,
                gauges: delivery_gauges_offset,
            },
        }
    }

    /// The same schema with other classes, which begin with the classes of this schema.
    pub fn with_classes(&self, classes: &[String]) -> Self {
        Schema::new(classes, &self.node, &self.module)
    }

    /// Moves the totals of a schema with fewer classes to their positions in this schema, which was made from
    /// that one by [`Schema::with_classes`]. The totals of added classes are 0.
    pub fn widen(&self, narrow: &Schema, totals: &[f64]) -> Vec<f64> {
        let (class_totals, other_totals) = totals.split_at(narrow.node_offset);
        let added = vec![0.0; self.node_offset - narrow.node_offset];
        [class_totals, &added, other_totals].concat()
    }

    /// Names of the request classes.
    pub fn classes(&self) -> &[String] {
        &self.classes
    }

    /// Number of counters and sums.
    pub fn counts(&self) -> usize {
        self.counters.len()
    }

    /// Number of gauges.
    pub fn gauges(&self) -> usize {
        self.gauges.len()
    }

    /// Number of distributions.
    pub fn distributions(&self) -> usize {
        self.distributions.len()
    }

    /// Number of points of a snapshot: one for each counter, sum and gauge, and the [`STATISTICS`] of each
    /// distribution.
    pub fn points(&self) -> usize {
        self.counters.len() + self.gauges.len() + self.distributions.len() * STATISTICS.len()
    }

    /// Describes a point, 0 to [`Schema::points`].
    pub fn describe(&self, point: usize) -> MetricDescriptor {
        let kind = self.kind(point);
        let (name, suffix) = match self.location(point) {
            ValueLocation::Counter(index) => (&self.counters[index].0, None),
            ValueLocation::Gauge(index) => (&self.gauges[index], None),
            ValueLocation::Distribution(index, statistic) => {
                (&self.distributions[index], Some(statistic.suffix()))
            }
        };
        let stat = match suffix {
            None => name.stat.clone(),
            Some(suffix) => Cow::Owned(format!("{}.{suffix}", name.stat)),
        };
        MetricDescriptor { scope: name.scope, stat, kind }
    }

    /// The kind of the values of a point.
    pub fn kind(&self, point: usize) -> MetricKind {
        match self.location(point) {
            ValueLocation::Counter(index) => self.counters[index].1,
            ValueLocation::Gauge(_) => MetricKind::Gauge,
            ValueLocation::Distribution(_, statistic) => MetricKind::Statistic(statistic),
        }
    }
}

/// The counters and sums of one class, in the order that [`Schema::class_counter`] and its neighbours assume.
fn class_counters() -> impl Iterator<Item = (Cow<'static, str>, MetricKind)> {
    let plain = CLASS_COUNTERS.iter().map(|(stat, kind)| (Cow::Borrowed(*stat), *kind));
    plain
        .chain(per_reason::<RejectReason>("refused"))
        .chain(per_reason::<FailureReason>("failed"))
        .chain(per_reason::<CallOutcome>("call"))
        .chain(per_reason::<RunOutcome>("run_end"))
}

/// A counter for each reason code.
fn per_reason<R: ReasonCode>(prefix: &'static str) -> impl Iterator<Item = (Cow<'static, str>, MetricKind)> {
    let stat = move |reason: &R| Cow::Owned(format!("{prefix}.{}", reason.code()));
    R::ALL.iter().map(move |reason| (stat(reason), MetricKind::Counter))
}

/// A metric of telemetry itself for each destination.
fn per_destination(stats: &'static [&'static str]) -> impl Iterator<Item = MetricName> {
    Destination::ALL.iter().flat_map(move |destination| {
        stats.iter().map(move |stat| MetricName {
            scope: Scope::Telemetry,
            stat: Cow::Owned(format!("{}.{stat}", destination.name())),
        })
    })
}

fn static_name(scope: Scope, stat: &'static str) -> MetricName {
    MetricName { scope, stat: Cow::Borrowed(stat) }
}

#[cfg(test)]
mod tests;
