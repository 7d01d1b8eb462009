//! The result of one reporting interval: running totals and gauges at its end, and distributions of its
//! values.
//!
//! This module defines how two neighbouring snapshots are merged and how the value of a point is computed. It
//! knows nothing of receivers.

use std::rc::Rc;

use crate::distribution::Distribution;
use crate::schema::{Schema, ValueLocation};

/// The result of one reporting interval, or of several that were merged.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Start of the time slot, Unix s: the timestamp of all points, unique within this process.
    pub slot_s: u64,
    /// Number of slots that the snapshot covers: more than one after a merge.
    pub slots: u32,
    /// When the interval began and ended, Unix ms.
    pub span_ms: (f64, f64),
    /// Counters and sums since the start of the process, at the end of the interval.
    pub totals: Rc<[f64]>,
    /// Gauges at the end of the interval.
    pub gauges: Rc<[f64]>,
    /// Distributions of the values recorded in the interval.
    pub distributions: Rc<[Distribution]>,
}

/// Memory of a snapshot besides its rows, bytes.
const SNAPSHOT_OVERHEAD_BYTES: usize = 160;
/// Memory of a distribution besides its buckets, bytes.
const DISTRIBUTION_OVERHEAD_BYTES: usize = 24;

impl Snapshot {
    /// Memory of the snapshot, bytes.
    pub fn bytes(&self) -> usize {
        let of_distribution =
            |distribution: &Distribution| distribution.bytes() + DISTRIBUTION_OVERHEAD_BYTES;
        let distributions: usize = self.distributions.iter().map(of_distribution).sum();
        let numbers = (self.totals.len() + self.gauges.len()) * size_of::<f64>();
        numbers + distributions + SNAPSHOT_OVERHEAD_BYTES
    }

    /// Merges this snapshot with its successor: totals, gauges and timestamp are those of the later one.
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

/// A snapshot and the totals before it, from which the values of its points are computed.
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
            ValueLocation::Counter(index) => match temporality {
                Temporality::Cumulative => snapshot.totals[index],
                Temporality::Delta => snapshot.totals[index] - self.previous_totals[index],
            },
            // `span_s`, the last of the gauges, changes when snapshots are merged.
            ValueLocation::Gauge(index) if index + 1 == schema.gauges() => {
                (snapshot.span_ms.1 - snapshot.span_ms.0) / 1000.0
            }
            ValueLocation::Gauge(index) => snapshot.gauges[index],
            ValueLocation::Distribution(index, statistic) => {
                snapshot.distributions[index].statistic(statistic)?
            }
        };
        value.is_finite().then_some(value)
    }
}
