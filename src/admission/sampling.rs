//! Takes the gauges that come with each timer and brings all measurements up to date.

use super::control_loops::{SAMPLE_PERIOD_MS, Sample};
use super::health::HealthSample;
use super::load_report::LoadSample;
use super::request_table::RequestState;
use super::stall_detector::RunSample;
use super::{Action, AdmissionController, Gauge};

/// Shortest time between two samples that is divided by, s.
const MIN_SAMPLE_S: f64 = 1e-6;
/// Part of the grace of a drain in which work is still asked for: other servers and callers hear of it seconds
/// late.
const WORKING_GRACE_PART: f64 = 0.7;

/// A drain that has started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// When it started, ms.
    pub(super) started_ms: f64,
    /// When the server is killed, ms.
    pub(super) kill_ms: f64,
}

impl AdmissionController {
    /// Time between two samples, ms.
    pub(super) fn sample_period_ms(&self) -> f64 {
        SAMPLE_PERIOD_MS.max(self.settings.tick_ms)
    }

    /// Asks for the next timer.
    pub(super) fn set_timer(&self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { after_ms: self.sample_period_ms(), token: 0 });
    }

    /// Takes a sample: runs the control loops, answers what is due, and tells callers how this server is.
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
        self.watch_for_stall(now_ms, dt_s);
        self.report_health(dt_s, actions);
        self.update_read_delay(dt_s);
        self.close_idle_connections(dt_s, actions);
        self.report_load(actions);
    }

    /// Everything that wants a core now. Where a gauge is missing, the next best estimate stands in.
    fn measured_runnable(&self, gauges: &[f64]) -> f64 {
        let busy_cores = match self.gauge(Gauge::BusyShare, gauges) {
            Some(busy_share) => busy_share * self.settings.cores,
            None => self.requests.count(RequestState::Running),
        };
        self.gauge(Gauge::Runnable, gauges).unwrap_or(busy_cores)
    }

    fn gauge(&self, wanted: Gauge, values: &[f64]) -> Option<f64> {
        let index = self.settings.gauges.iter().position(|gauge| *gauge == wanted)?;
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

    fn report_health(&mut self, dt_s: f64, actions: &mut Vec<Action>) {
        let changed = self.health.update(&HealthSample {
            dt_s,
            runnable: self.loops.runnable,
            cores: self.settings.cores,
            slowdown: self.work.slowdown,
            stalled: self.stall.stalled,
            draining: self.drain.is_some(),
        });
        if let Some(good) = changed {
            actions.push(Action::SetHealth { good, from_store: true });
        }
    }

    fn update_read_delay(&mut self, dt_s: f64) {
        self.read_delay.update(self.loops.busy_share, self.has_idle_cores(), dt_s);
    }

    /// Tells the host the idle timeout of connections, if it changed.
    pub(super) fn close_idle_connections(&mut self, dt_s: f64, actions: &mut Vec<Action>) {
        let has_idle_cores = self.has_idle_cores();
        if let Some(after_ms) = self.idle_policy.update(&self.settings, has_idle_cores, dt_s) {
            actions.push(Action::CloseIdleConnections { after_ms });
        }
    }

    fn report_load(&mut self, actions: &mut Vec<Action>) {
        let sample = LoadSample {
            delay_ms: self.queue_drain_ms() + self.read_delay.excess_ms().max(0.0),
            wants_none: self.wants_no_traffic(),
            run_limit: self.run_limit(),
            callers: self.settings.callers,
        };
        if let Some(value) = self.load_reporter.update(self.settings.load_report, &sample) {
            actions.push(Action::ReportLoad { value });
        }
    }

    /// Whether callers should send nothing: no run makes progress, or a drain is about to take no more work.
    pub(super) fn wants_no_traffic(&self) -> bool {
        self.stall.stalled || self.is_drain_nearly_over()
    }

    fn is_drain_nearly_over(&self) -> bool {
        let Some(drain) = self.drain else { return false };
        let working_ms = WORKING_GRACE_PART * self.settings.rules.drain_grace_ms;
        let half_way_ms = (drain.started_ms + drain.kill_ms) / 2.0;
        self.core_time.sampled_ms >= (drain.started_ms + working_ms).min(half_way_ms)
    }
}
