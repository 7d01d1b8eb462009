//! The positions of values in a snapshot: each class has a block of counters, followed by the counters of the
//! node and of telemetry itself. Gauges and distributions are laid out in the same way.

use std::ops::Range;

use pinepoint_events::{CallOutcome, FailureReason, ReasonCode, RejectReason, RunOutcome};

use super::{
    CLASS_COUNTERS, ClassCounter, ClassDistribution, DELIVERY_COUNTERS, DELIVERY_GAUGES, Destination,
    STATISTICS, Schema, Statistic,
};

/// The position of the value of a point in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ValueLocation {
    /// At this index of the totals.
    Counter(usize),
    /// At this index of the gauges.
    Gauge(usize),
    /// A statistic of the distribution at this index.
    Distribution(usize, Statistic),
}

/// Indices of the first counter and the first gauge of a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeliveryOffsets {
    pub(crate) counters: usize,
    pub(crate) gauges: usize,
}

/// Indices of gauges that have no class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GaugeOffsets {
    /// The first gauge of the core's state.
    pub(crate) core_state: usize,
    /// The gauges of the admission controller.
    pub(crate) module: Range<usize>,
    /// The accounting error, the gauge `law_off`. The gauge `span_s` follows it.
    pub(crate) accounting_error: usize,
}

/// Number of counters of one class.
const CLASS_BLOCK: usize = RUN_OUTCOMES_OFFSET + RunOutcome::ALL.len();
/// Offsets within the block of a class.
const REJECTIONS_OFFSET: usize = CLASS_COUNTERS.len();
const FAILURES_OFFSET: usize = REJECTIONS_OFFSET + RejectReason::ALL.len();
const CALL_OUTCOMES_OFFSET: usize = FAILURES_OFFSET + FailureReason::ALL.len();
const RUN_OUTCOMES_OFFSET: usize = CALL_OUTCOMES_OFFSET + CallOutcome::ALL.len();

impl Schema {
    /// The position of the value of a point.
    pub(crate) fn location(&self, point: usize) -> ValueLocation {
        let (counters, gauges) = (self.counts(), self.gauges());
        if point < counters {
            ValueLocation::Counter(point)
        } else if point < counters + gauges {
            ValueLocation::Gauge(point - counters)
        } else {
            let index = point - counters - gauges;
            ValueLocation::Distribution(index / STATISTICS.len(), STATISTICS[index % STATISTICS.len()].0)
        }
    }

    /// Index of a counter of a class.
    pub(crate) fn class_counter(&self, class: usize, counter: ClassCounter) -> usize {
        class * CLASS_BLOCK + counter as usize
    }

    /// Index of the counter of a reject reason.
    pub(crate) fn rejected(&self, class: usize, reason: RejectReason) -> usize {
        self.rejections(class).start + reason.index()
    }

    /// Indices of the counters of all reject reasons of a class.
    pub(crate) fn rejections(&self, class: usize) -> Range<usize> {
        class * CLASS_BLOCK + REJECTIONS_OFFSET..class * CLASS_BLOCK + FAILURES_OFFSET
    }

    /// Index of the counter of a failure reason.
    pub(crate) fn failed(&self, class: usize, reason: FailureReason) -> usize {
        self.failures(class).start + reason.index()
    }

    /// Indices of the counters of all failure reasons of a class.
    pub(crate) fn failures(&self, class: usize) -> Range<usize> {
        class * CLASS_BLOCK + FAILURES_OFFSET..class * CLASS_BLOCK + CALL_OUTCOMES_OFFSET
    }

    /// Index of the counter of a call outcome.
    pub(crate) fn call(&self, class: usize, outcome: CallOutcome) -> usize {
        class * CLASS_BLOCK + CALL_OUTCOMES_OFFSET + outcome.index()
    }

    /// Index of the counter of a run outcome.
    pub(crate) fn run(&self, class: usize, outcome: RunOutcome) -> usize {
        class * CLASS_BLOCK + RUN_OUTCOMES_OFFSET + outcome.index()
    }

    /// Index of a distribution of a class.
    pub(crate) fn distribution(&self, class: usize, distribution: ClassDistribution) -> usize {
        class * ClassDistribution::STATS.len() + distribution as usize
    }

    /// Indices of the counters of the node.
    pub(crate) fn node(&self) -> Range<usize> {
        self.node_offset..self.delivery_offsets.counters
    }

    /// Indices of the counters and gauges of the delivery to a destination.
    pub(crate) fn delivery(&self, destination: Destination) -> DeliveryOffsets {
        let index = destination as usize;
        DeliveryOffsets {
            counters: self.delivery_offsets.counters + index * DELIVERY_COUNTERS.len(),
            gauges: self.delivery_offsets.gauges + index * DELIVERY_GAUGES.len(),
        }
    }

    /// Index of the counter of suppressed log lines, the last of the counters.
    pub(crate) fn log_lines_left_out(&self) -> usize {
        self.counts() - 1
    }

    /// Indices of the gauges without a class.
    pub(crate) fn gauge_offsets(&self) -> GaugeOffsets {
        GaugeOffsets {
            core_state: self.classes().len(),
            module: self.module_offset..self.delivery_offsets.gauges,
            accounting_error: self.gauges() - 2,
        }
    }
}
