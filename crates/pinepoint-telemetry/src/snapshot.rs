//! What an interval leaves: running totals and gauges at its end, and the distributions of its values. It owns how two
//! neighbours become one and what the value of a point is; it must never know where a point goes.

use std::rc::Rc;

use hdrhistogram::Histogram;

use crate::schema::{Part, Row, Schema};

/// Distributions count in tenths of a millisecond, up to ten minutes, with two digits.
const UNIT_MS: f64 = 0.1;
const MOST_UNITS: u64 = 6_000_000;
const DIGITS: u8 = 2;

/// A distribution that still grows. It allocates nothing once it is made.
#[derive(Clone, Debug)]
pub(crate) struct Growing {
    histogram: Histogram<u32>,
    sum_ms: f64,
}

impl Default for Growing {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MOST_UNITS, DIGITS).expect("the bounds are sound");
        Growing { histogram, sum_ms: 0.0 }
    }
}

impl Growing {
    pub(crate) fn record(&mut self, ms: f64) {
        let ms = if ms.is_finite() { ms.max(0.0) } else { 0.0 };
        self.histogram.saturating_record((ms / UNIT_MS).round().max(1.0) as u64);
        self.sum_ms += ms;
    }

    /// What was recorded, leaving nothing.
    pub(crate) fn take(&mut self) -> Dist {
        let pairs = self.histogram.iter_recorded();
        let pairs =
            pairs.map(|step| (step.value_iterated_to() as u32, step.count_since_last_iteration() as u32));
        let dist = Dist { pairs: pairs.collect(), sum_ms: self.sum_ms };
        self.histogram.reset();
        self.sum_ms = 0.0;
        dist
    }
}

/// A distribution as it is kept: the values that occurred, in units of the histogram, and how often each.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Dist {
    pairs: Box<[(u32, u32)]>,
    sum_ms: f64,
}

impl Dist {
    fn merged(&self, other: &Dist) -> Dist {
        let mut pairs: Vec<(u32, u32)> = self.pairs.iter().chain(&other.pairs).copied().collect();
        pairs.sort_unstable();
        pairs.dedup_by(|next, first| {
            let same = next.0 == first.0;
            if same {
                first.1 = first.1.saturating_add(next.1);
            }
            same
        });
        Dist { pairs: pairs.into(), sum_ms: self.sum_ms + other.sum_ms }
    }

    fn count(&self) -> u64 {
        self.pairs.iter().map(|(_, n)| u64::from(*n)).sum()
    }

    /// A figure of the distribution, ms but for the count; nothing of a value where there is none.
    fn part(&self, part: Part) -> Option<f64> {
        let value = |units: &u32| f64::from(*units) * UNIT_MS;
        match part {
            Part::Count => Some(self.count() as f64),
            Part::Sum => Some(self.sum_ms),
            Part::Most => self.pairs.last().map(|(units, _)| value(units)),
            Part::Quantile(thousandths) => {
                let rank = (self.count() * u64::from(thousandths)).div_ceil(1000).max(1);
                let mut seen = 0;
                let mut reached = |n: u32| {
                    seen += u64::from(n);
                    seen >= rank
                };
                self.pairs.iter().find(|(_, n)| reached(*n)).map(|(units, _)| value(units))
            }
        }
    }
}

/// What an interval leaves.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Start of its slot, Unix s: the time of its points, unlike that of any other of this process.
    pub slot_s: u64,
    /// Slots that it stands for: more than one once it was merged.
    pub slots: u32,
    /// When it began and ended, Unix ms.
    pub span_ms: (f64, f64),
    /// Counts and sums since the start of the process, at its end.
    pub totals: Rc<[f64]>,
    /// Gauges at its end.
    pub gauges: Rc<[f64]>,
    /// Distributions of what happened in it.
    pub dists: Rc<[Dist]>,
}

impl Snapshot {
    /// Memory that it takes, bytes.
    pub fn bytes(&self) -> usize {
        let pairs: usize = self.dists.iter().map(|dist| dist.pairs.len() * 8 + 24).sum();
        (self.totals.len() + self.gauges.len()) * 8 + pairs + 160
    }

    /// This and the one behind it as one: totals and gauges are those of the later, and its time.
    pub fn merged(&self, later: &Snapshot) -> Snapshot {
        let dists = self.dists.iter().zip(later.dists.iter()).map(|(a, b)| a.merged(b)).collect();
        Snapshot {
            slot_s: later.slot_s,
            slots: self.slots.saturating_add(later.slots),
            span_ms: (self.span_ms.0, later.span_ms.1),
            totals: later.totals.clone(),
            gauges: later.gauges.clone(),
            dists,
        }
    }
}

/// How counts and sums are told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Counting {
    /// What was added in the interval: the sum of all points is the truth.
    #[default]
    Interval,
    /// What was added since the start of the process: a lost point is healed by the next.
    Total,
}

/// A snapshot with the totals before it: all that its points are made of.
#[derive(Clone, Debug)]
pub struct Interval {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// Totals at the end of the one before it.
    pub before: Rc<[f64]>,
}

impl Interval {
    /// The value of a point; nothing where the interval has none.
    pub fn value(&self, schema: &Schema, counting: Counting, point: usize) -> Option<f64> {
        let snapshot = &self.snapshot;
        let value = match schema.row(point) {
            Row::Count(at) if counting == Counting::Total => snapshot.totals[at],
            Row::Count(at) => snapshot.totals[at] - self.before[at],
            Row::Gauge(at) if at + 1 == schema.gauges() => (snapshot.span_ms.1 - snapshot.span_ms.0) / 1000.0,
            Row::Gauge(at) => snapshot.gauges[at],
            Row::Dist(at, part) => snapshot.dists[at].part(part)?,
        };
        value.is_finite().then_some(value)
    }
}

#[cfg(test)]
mod tests;
