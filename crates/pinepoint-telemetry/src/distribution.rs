//! Latency distributions: a recorder that never allocates while it records, and the compact form that
//! snapshots keep.

use hdrhistogram::Histogram;

use crate::schema::Statistic;

/// Values are counted in tenths of a millisecond, up to ten minutes, with two significant digits.
const UNIT_MS: f64 = 0.1;
const MAX_UNITS: u64 = 6_000_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Records the values of the current interval. Recording allocates nothing.
#[derive(Clone, Debug)]
pub(crate) struct DistributionRecorder {
    histogram: Histogram<u32>,
    sum_ms: f64,
}

impl Default for DistributionRecorder {
    fn default() -> Self {
        let histogram =
            Histogram::new_with_bounds(1, MAX_UNITS, SIGNIFICANT_DIGITS).expect("the bounds are valid");
        DistributionRecorder { histogram, sum_ms: 0.0 }
    }
}

impl DistributionRecorder {
    /// Records a value, ms. Negative and non-finite values count as 0, too large ones as the largest value
    /// that fits.
    pub(crate) fn record(&mut self, ms: f64) {
        let ms = if ms.is_finite() { ms.max(0.0) } else { 0.0 };
        self.histogram.saturating_record((ms / UNIT_MS).round().max(1.0) as u64);
        self.sum_ms += ms;
    }

    /// Returns the recorded distribution and clears the recorder.
    pub(crate) fn take(&mut self) -> Distribution {
        let recorded = self.histogram.iter_recorded();
        let buckets = recorded
            .map(|bucket| Bucket {
                units: bucket.value_iterated_to() as u32,
                count: bucket.count_since_last_iteration() as u32,
            })
            .collect();
        let distribution = Distribution { buckets, sum_ms: self.sum_ms };
        self.histogram.reset();
        self.sum_ms = 0.0;
        distribution
    }
}

/// A value in units of the histogram, and how often it occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Bucket {
    units: u32,
    count: u32,
}

/// A recorded distribution: the non-empty buckets of its histogram, by value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Distribution {
    buckets: Box<[Bucket]>,
    sum_ms: f64,
}

impl Distribution {
    /// The distribution of the values of both.
    pub(crate) fn merged(&self, other: &Distribution) -> Distribution {
        let mut buckets: Vec<Bucket> = self.buckets.iter().chain(&other.buckets).copied().collect();
        buckets.sort_unstable();
        buckets.dedup_by(|next, first| {
            let same = next.units == first.units;
            if same {
                first.count = first.count.saturating_add(next.count);
            }
            same
        });
        Distribution { buckets: buckets.into(), sum_ms: self.sum_ms + other.sum_ms }
    }

    /// Memory of the buckets, bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.buckets.len() * size_of::<Bucket>()
    }

    /// A statistic, in ms except for the count; `None` for a quantile or maximum of no values.
    pub(crate) fn statistic(&self, statistic: Statistic) -> Option<f64> {
        match statistic {
            Statistic::Count => Some(self.count() as f64),
            Statistic::Sum => Some(self.sum_ms),
            Statistic::Max => self.buckets.last().map(Bucket::value_ms),
            Statistic::Quantile(thousandths) => self.quantile(thousandths),
        }
    }

    fn count(&self) -> u64 {
        self.buckets.iter().map(|bucket| u64::from(bucket.count)).sum()
    }

    fn quantile(&self, thousandths: u16) -> Option<f64> {
        let rank = (self.count() * u64::from(thousandths)).div_ceil(1000).max(1);
        let mut seen = 0;
        for bucket in &self.buckets {
            seen += u64::from(bucket.count);
            if seen >= rank {
                return Some(bucket.value_ms());
            }
        }
        None
    }
}

impl Bucket {
    fn value_ms(&self) -> f64 {
        f64::from(self.units) * UNIT_MS
    }
}

#[cfg(test)]
mod tests;
