//! Takes arrivals: computes their deadline and latency objective and updates the traffic measurements.

use super::filters::{OBSERVATION_WEIGHT, indicator, moving_average};
use super::request_table::OpenRequest;
use super::{AdmissionController, Class, Request};

/// Arrivals over which the share of retries is averaged: a small server receives them in a few seconds.
const RETRIES_OVER_ARRIVALS: f64 = 30.0;

/// Measurements of how callers behave, learned from arrivals.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerBehaviour {
    /// Share of arrivals that are retries, 0 to 1.
    pub(super) retry_share: f64,
    /// Mean time that callers wait for a first attempt, by class, ms.
    first_attempt_wait_ms: Vec<f64>,
}

impl CallerBehaviour {
    /// Adds a class without any observation.
    pub(super) fn add_class(&mut self, class: &Class) {
        self.first_attempt_wait_ms.push(class.timeout_ms);
    }

    /// Takes an arrival whose caller waits `wait_ms` for this attempt, and returns the age of the request
    /// before this attempt, ms.
    ///
    /// A caller may give each attempt only a part of its deadline. The age of a retry is therefore the time
    /// by which its caller waits less than for first attempts. Without this rule all retries would be
    /// rejected as too late beside idle cores.
    fn record_arrival(&mut self, request: &Request, wait_ms: f64) -> f64 {
        self.retry_share += (indicator(request.retry) - self.retry_share) / RETRIES_OVER_ARRIVALS;
        let mean_wait_ms = &mut self.first_attempt_wait_ms[request.class];
        if request.retry {
            return (*mean_wait_ms - wait_ms).max(0.0);
        }
        *mean_wait_ms = moving_average(*mean_wait_ms, wait_ms, OBSERVATION_WEIGHT);
        0.0
    }
}

impl AdmissionController {
    /// Queues a request that was read. It is decided at the end of the batch.
    pub(super) fn take_arrival(&mut self, now_ms: f64, mut request: Request) {
        request.class = request.class.min(self.settings.classes.len() - 1);
        request.tenant = request.tenant.filter(|tenant| *tenant < self.settings.tenants.len());
        let class = &self.settings.classes[request.class];
        let read_delay_ms = request.read_delay_ms.max(0.0);
        let arrived_ms = now_ms - read_delay_ms;
        let deadline_ms = request.deadline_ms.unwrap_or(arrived_ms + class.timeout_ms);
        let prior_age_ms = self.callers.record_arrival(&request, deadline_ms - arrived_ms);
        let own_work_ms = class.objective_per_work * request.work_hint_ms.unwrap_or(0.0);
        let objective_ms =
            (arrived_ms - prior_age_ms + class.latency_objective_ms + own_work_ms).min(deadline_ms);
        self.loops.record_arrival();
        self.idle_policy.record_arrival();
        self.read_delay.record_arrival(read_delay_ms);
        let left_ms = deadline_ms - now_ms;
        let can_end_in_time = self.expected_work_ms(&request) / self.core_time.share < left_ms;
        self.health.record_arrival(read_delay_ms > left_ms && !can_end_in_time);
        self.requests.insert(OpenRequest::new(request, arrived_ms, deadline_ms, objective_ms));
    }
}
