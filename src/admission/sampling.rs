//! Takes the gauges that come with each timer and updates all measurements.

use super::control_loops::{SAMPLE_PERIOD_MS, Sample};
use super::request_table::RequestState;
use super::stall_detector::RunSample;
use super::{Action, AdmissionController, Gauge};

/// Smallest time between two samples that is used as a divisor, s.
const MIN_SAMPLE_S: f64 = 1e-6;

impl AdmissionController {
    /// Time between two samples, ms.
    pub(super) fn sample_period_ms(&self) -> f64 {
        SAMPLE_PERIOD_MS.max(self.settings.tick_ms)
    }

    /// Sets the next timer.
    pub(super) fn set_timer(&self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { after_ms: self.sample_period_ms(), token: 0 });
    }

    /// Takes a sample: runs the control loops, gives the answers that are due, and updates the feedback to
    /// callers.
    pub(super) fn sample(&mut self, now_ms: f64, gauges: &[f64], actions: &mut Vec<Action>) {
        self.set_timer(actions);
        let dt_s = ((now_ms - self.core_time.sampled_ms) / 1000.0).max(MIN_SAMPLE_S);
        let runnable = self.measured_runnable(gauges);
        self.core_time.update(now_ms, self.settings.cores, runnable);
        self.loops.update(&Sample {
            dt_s,
            cores: self.settings.cores,
            runnable,
            queued: self.requests.count(RequestState::Queued),
            mean_run_ms: self.work.mean_run_ms,
            excess_read_delay_ms: self.read_delay.excess_ms(),
        });
        self.tenants.update(dt_s);
        self.requests.expire_keys(now_ms);
        self.answer_due(now_ms, actions);
        self.end_runs_without_reply(now_ms, actions);
        self.watch_for_stall(now_ms, dt_s);
        self.report_health(dt_s, actions);
        self.read_delay.update(self.loops.busy_share, self.has_idle_cores(), dt_s);
        self.close_idle_connections(dt_s, actions);
        self.report_load(actions);
    }

    /// Number of tasks that need a core now. Where a gauge is missing, the next best estimate replaces it.
    fn measured_runnable(&self, gauges: &[f64]) -> f64 {
        let busy_cores = match self.gauge(Gauge::BusyShare, gauges) {
            Some(busy_share) => busy_share * self.settings.cores,
            None => self.requests.count(RequestState::Running),
        };
        self.gauge(Gauge::Runnable, gauges).unwrap_or(busy_cores)
    }

    fn gauge(&self, kind: Gauge, values: &[f64]) -> Option<f64> {
        let index = self.settings.gauges.iter().position(|gauge| *gauge == kind)?;
        values.get(index).copied().filter(|value| value.is_finite())
    }

    fn watch_for_stall(&mut self, now_ms: f64, dt_s: f64) {
        let mut running = 0.0;
        let mut total_work_ms = 0.0;
        for open in self.requests.in_state(RequestState::Running) {
            running += 1.0;
            total_work_ms += self.expected_work_ms(&open.request);
        }
        let period_ms = self.sample_period_ms();
        let core_share = self.core_time.share;
        self.stall.update(now_ms, &RunSample { dt_s, period_ms, running, total_work_ms, core_share });
    }
}
