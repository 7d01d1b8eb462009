//! The result of one reporting interval: running totals and gauges at its end, and distributions of its
//! values.
//!
//! It defines how two neighbouring snapshots are merged and what the value of a point is. Where points are
//! sent is not its concern.

use std::rc::Rc;

use crate::distribution::Distribution;
use crate::schema::{Schema, ValueLocation};

/// The result of one reporting interval, or of several that were merged.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Start of its time slot, Unix s: the timestamp of its points, unique within this process.
    pub slot_s: u64,
    /// Number of slots that it covers: more than one after a merge.
    pub slots: u32,
    /// When it began and ended, Unix ms.
    pub span_ms: (f64, f64),
    /// Counters and sums since the start of the process, at its end.
    pub totals: Rc<[f64]>,
    /// Gauges at its end.
    pub gauges: Rc<[f64]>,
    /// Distributions of the values in it.
    pub distributions: Rc<[Distribution]>,
}

/// Memory of a snapshot beside its rows, bytes.
const SNAPSHOT_OVERHEAD_BYTES: usize = 160;
/// Memory of a distribution beside its buckets, bytes.
const DISTRIBUTION_OVERHEAD_BYTES: usize = 24;

impl Snapshot {
    /// Memory that it takes, bytes.
    pub fn bytes(&self) -> usize {
        let of_distribution =
            |distribution: &Distribution| distribution.bytes() + DISTRIBUTION_OVERHEAD_BYTES;
        let distributions: usize = self.distributions.iter().map(of_distribution).sum();
        let numbers = (self.totals.len() + self.gauges.len()) * size_of::<f64>();
        numbers + distributions + SNAPSHOT_OVERHEAD_BYTES
    }

    /// This snapshot and the next one as one: totals, gauges and timestamp are those of the later.
    pub fn merged(&self, later: &Snapshot) -> Snapshot {
        let distributions =
            self.distributions.iter().zip(later.distributions.iter()).map(|(a, b)| a.merged(b)).collect();
        Snapshot {
            slot_s: later.slot_s,
            slots: self.slots.saturating_add(later.slots),
            span_ms: (self.span_ms.0, later.span_ms.1),
            totals: later.totals.clone(),
            gauges: later.gauges.clone(),
            distributions,
        }
    }
}

/// How counters and sums are reported (aggregation temporality, as in OpenTelemetry).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Temporality {
    /// The increase within the interval: the points of all intervals add up.
    #[default]
    Delta,
    /// The total since the start of the process: the next point makes up for a lost one.
    Cumulative,
}

/// A snapshot and the totals before it: all that its points are made of.
#[derive(Clone, Debug)]
pub struct Interval {
    /// The snapshot at the end of the interval.
    pub snapshot: Snapshot,
    /// Totals at the end of the previous interval.
    pub previous_totals: Rc<[f64]>,
}

impl Interval {
    /// The value of a point; `None` if the interval has none.
    pub fn value(&self, schema: &Schema, temporality: Temporality, point: usize) -> Option<f64> {
        let snapshot = &self.snapshot;
        let value = match schema.location(point) {
            ValueLocation::Counter(at) => match temporality {
                Temporality::Cumulative => snapshot.totals[at],
                Temporality::Delta => snapshot.totals[at] - self.previous_totals[at],
            },
            // `span_s`, the last of the gauges, changes when snapshots are merged.
            ValueLocation::Gauge(at) if at + 1 == schema.gauges() => {
                (snapshot.span_ms.1 - snapshot.span_ms.0) / 1000.0
            }
            ValueLocation::Gauge(at) => snapshot.gauges[at],
            ValueLocation::Distribution(at, statistic) => snapshot.distributions[at].statistic(statistic)?,
        };
        value.is_finite().then_some(value)
    }
}
