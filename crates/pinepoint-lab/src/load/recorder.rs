//! Records counts and latencies while a load runs.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Instant;

use hdrhistogram::Histogram;

use super::request::Outcome;
use super::{LoadSummary, OutcomeCounts};

/// Upper bound of the latency histogram, us.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Significant digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;

/// Collects the results of all connections of a load.
pub(super) struct Recorder {
    summary: RefCell<LoadSummary>,
    in_flight: Cell<u64>,
}

impl Recorder {
    pub(super) fn new() -> Recorder {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        let latency = latency.expect("the histogram bounds are valid");
        let summary =
            LoadSummary { outcomes: BTreeMap::new(), latency, no_capacity: 0, duplicate_answers: 0 };
        Recorder { summary: RefCell::new(summary), in_flight: Cell::new(0) }
    }

    /// Records that a request was sent.
    pub(super) fn sent(&self, class: &'static str) {
        self.summary.borrow_mut().outcomes.entry(class).or_default().sent += 1;
        self.in_flight.set(self.in_flight.get() + 1);
    }

    /// Records the answer to a request that was sent at `sent`.
    pub(super) fn answered(&self, class: &'static str, outcome: Outcome, sent: Instant) {
        self.in_flight.set(self.in_flight.get() - 1);
        let mut summary = self.summary.borrow_mut();
        let outcomes = summary.outcomes.entry(class).or_default();
        match outcome {
            Outcome::Served => outcomes.served += 1,
            Outcome::Rejected => outcomes.rejected += 1,
            Outcome::Failed => outcomes.failed += 1,
        }
        if outcome == Outcome::Served {
            summary.latency.saturating_record(sent.elapsed().as_micros() as u64);
        }
    }

    /// Records that a request was not sent because no connection had capacity.
    pub(super) fn no_capacity(&self) {
        self.summary.borrow_mut().no_capacity += 1;
    }

    /// Records an answer that matches no pending request.
    pub(super) fn duplicate_answer(&self) {
        self.summary.borrow_mut().duplicate_answers += 1;
    }

    /// Number of requests not answered yet.
    pub(super) fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Returns the results; requests without an answer at this point count as unanswered.
    pub(super) fn finish(&self) -> LoadSummary {
        let mut summary = self.summary.borrow().clone();
        for outcomes in summary.outcomes.values_mut() {
            let OutcomeCounts { sent, served, rejected, failed, .. } = *outcomes;
            outcomes.unanswered = sent - served - rejected - failed;
        }
        summary
    }
}
