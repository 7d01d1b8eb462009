//! Feedback to callers and the load balancer: health, load report, idle timeout and Retry-After.

use super::health::HealthSample;
use super::load_report::LoadSample;
use super::{Action, AdmissionController, RejectReason};

impl AdmissionController {
    /// Changes the answer to health checks if the sample requires it.
    pub(super) fn report_health(&mut self, dt_s: f64, actions: &mut Vec<Action>) {
        let changed = self.health.update(&HealthSample {
            dt_s,
            runnable: self.loops.runnable,
            cores: self.settings.cores,
            slowdown: self.work.slowdown,
            stalled: self.stall.stalled,
            draining: self.drain.is_some(),
        });
        if let Some(healthy) = changed {
            actions.push(Action::SetHealth { healthy, from_store: true });
        }
    }

    /// Sends the idle timeout of connections to the host if it changed.
    pub(super) fn close_idle_connections(&mut self, dt_s: f64, actions: &mut Vec<Action>) {
        let has_idle_cores = self.has_idle_cores();
        if let Some(after_ms) = self.idle_policy.update(&self.settings, has_idle_cores, dt_s) {
            actions.push(Action::CloseIdleConnections { after_ms });
        }
    }

    /// Sends a new load report if the value changed enough.
    pub(super) fn report_load(&mut self, actions: &mut Vec<Action>) {
        let sample = LoadSample {
            delay_ms: self.queue_drain_ms() + self.read_delay.excess_ms().max(0.0),
            wants_no_traffic: self.wants_no_traffic(),
            run_limit: self.run_limit(),
            callers: self.settings.callers,
        };
        if let Some(value) = self.load_reporter.update(self.settings.load_report, &sample) {
            actions.push(Action::ReportLoad { value });
        }
    }

    /// How long the caller of a rejected request should stay away, ms.
    pub(super) fn retry_after_ms(&self, reason: RejectReason) -> f64 {
        let waited = matches!(reason, RejectReason::QueueTimeout | RejectReason::Displaced);
        let advice_ms = if self.wants_no_traffic() {
            f64::INFINITY
        } else if self.read_delay.is_congested() {
            self.read_delay.mean_ms
        } else if waited {
            // The caller may return when all requests queued now could have run.
            self.queue_drain_ms().max(self.sample_period_ms())
        } else {
            0.0
        };
        advice_ms.min(self.settings.max_retry_after_ms)
    }

    /// Whether the caller of a rejected request is asked not to try another server.
    pub(super) fn advises_no_retry(&self, reason: RejectReason) -> bool {
        let congested = self.read_delay.is_congested() && !self.wants_no_traffic();
        // All servers share the dependency: if no call can be made here, none can be made elsewhere.
        reason == RejectReason::CallUnavailable || congested
    }

    /// Whether callers should send nothing: no run makes progress, or the drain will soon take no more work.
    fn wants_no_traffic(&self) -> bool {
        let sampled_ms = self.core_time.sampled_ms;
        let rules = &self.settings.rules;
        self.stall.stalled || self.drain.is_some_and(|drain| drain.is_nearly_over(sampled_ms, rules))
    }
}
