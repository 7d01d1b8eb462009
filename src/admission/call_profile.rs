//! Learns how many calls the runs of each class make, and at which point of a run.

use super::Class;
use super::filters::{OBSERVATION_WEIGHT, moving_average};

/// Part of its work that a run is assumed to have done when it needs a call, before the first observation.
const INITIAL_PART_AT_CALL: f64 = 0.5;
/// Smallest such part that is learned from a run.
const MIN_PART_AT_CALL: f64 = 0.1;

/// Calls of runs, learned from completed runs.
#[derive(Clone, Debug)]
pub(super) struct CallProfile {
    /// Part of its work that a run has done when it needs a call, 0 to 1.
    pub(super) part_at_call: f64,
    /// Mean number of calls of a run, by class.
    calls_per_run: Vec<f64>,
}

impl CallProfile {
    pub(super) fn new() -> Self {
        CallProfile { part_at_call: INITIAL_PART_AT_CALL, calls_per_run: Vec::new() }
    }

    /// Adds a class without any observation.
    pub(super) fn add_class(&mut self, class: &Class) {
        self.calls_per_run.push(if class.calls { 1.0 } else { 0.0 });
    }

    /// Expected number of calls of a run of this class.
    pub(super) fn calls_per_run(&self, class: usize) -> f64 {
        self.calls_per_run[class]
    }

    /// Records a run that completed after this number of calls.
    pub(super) fn record_calls(&mut self, class: usize, calls: f64) {
        let mean = &mut self.calls_per_run[class];
        *mean = moving_average(*mean, calls, OBSERVATION_WEIGHT);
    }

    /// Records a run that took `work_ms` and had done `work_at_call_ms` of it when it needed its last call.
    pub(super) fn record_part_at_call(&mut self, work_at_call_ms: f64, work_ms: f64) {
        let part = (work_at_call_ms / work_ms).clamp(MIN_PART_AT_CALL, 1.0);
        self.part_at_call = moving_average(self.part_at_call, part, OBSERVATION_WEIGHT);
    }
}
