//! Decides whether health checks are answered as healthy.
//!
//! A server leaves the load balancer's rotation when it can serve no caller: it reads its arrivals too late
//! to answer them in time, its runs are stalled, or new connections take all its capacity. Overload alone is
//! no reason.

use super::filters::{LOAD_FILTER_S, OBSERVATION_WEIGHT, indicator, low_pass, moving_average};

/// Share of unservable arrivals from which the health check fails. An arrival is unservable if it stayed
/// unread until no run could answer it in time. Such a server serves no caller, and its callers, which have
/// given up, receive no advice.
const UNHEALTHY_UNSERVABLE_SHARE: f64 = 0.7;
/// Part of the threshold that made the health check fail, below which the check recovers.
const RECOVERY_PART: f64 = 0.4;
/// Slowdown above which a server counts as slow; concurrent runs alone stay below. If health checks failed
/// while the whole fleet is overloaded, many servers would leave and return at once.
const SLOW_SERVER_SLOWDOWN: f64 = 2.0;
/// Tasks per core above which the health check fails. Runs and reading make two; the others are new
/// connections, which callers abandon before they are established, so that no request is read.
const UNHEALTHY_TASKS_PER_CORE: f64 = 6.0;

/// The measurements of one timer about the ability to serve.
pub(super) struct HealthSample {
    /// Time since the previous sample, s.
    pub(super) dt_s: f64,
    /// Number of tasks that need a core now.
    pub(super) runnable: f64,
    /// Cores of the server.
    pub(super) cores: f64,
    /// Factor by which work takes longer than usual.
    pub(super) slowdown: f64,
    /// No run makes progress.
    pub(super) stalled: bool,
    /// The server drains.
    pub(super) draining: bool,
}

/// The answer to health checks and the measurements that it depends on.
#[derive(Clone, Debug)]
pub(super) struct HealthMonitor {
    /// Whether health checks are answered as healthy now.
    pub(super) healthy: bool,
    /// Share of arrivals that could not be answered in time when they were read, 0 to 1.
    unservable_share: f64,
    /// Filtered number of tasks that need each core.
    tasks_per_core: f64,
}

impl HealthMonitor {
    pub(super) fn new() -> Self {
        HealthMonitor { healthy: true, unservable_share: 0.0, tasks_per_core: 0.0 }
    }

    /// Counts an arrival; `unservable` if it could not be answered in time when it was read.
    pub(super) fn record_arrival(&mut self, unservable: bool) {
        self.unservable_share =
            moving_average(self.unservable_share, indicator(unservable), OBSERVATION_WEIGHT);
    }

    /// Reports the server as unhealthy for the rest of the drain.
    pub(super) fn start_drain(&mut self) {
        self.healthy = false;
    }

    /// Takes a sample and returns the new answer if it changed.
    pub(super) fn update(&mut self, sample: &HealthSample) -> Option<bool> {
        if sample.runnable < sample.cores {
            self.unservable_share = low_pass(self.unservable_share, 0.0, sample.dt_s, LOAD_FILTER_S);
        }
        let tasks_per_core = sample.runnable / sample.cores;
        self.tasks_per_core = low_pass(self.tasks_per_core, tasks_per_core, sample.dt_s, LOAD_FILTER_S);
        let healthy = !self.cannot_serve(sample) && !sample.draining;
        if healthy == self.healthy {
            return None;
        }
        self.healthy = healthy;
        Some(healthy)
    }

    /// Whether the server can serve no caller; with hysteresis, so that the answer does not flap.
    fn cannot_serve(&self, sample: &HealthSample) -> bool {
        let threshold_part = if self.healthy { 1.0 } else { RECOVERY_PART };
        let reads_too_late = sample.slowdown > SLOW_SERVER_SLOWDOWN
            && self.unservable_share >= UNHEALTHY_UNSERVABLE_SHARE * threshold_part;
        reads_too_late || sample.stalled || self.tasks_per_core > UNHEALTHY_TASKS_PER_CORE * threshold_part
    }
}
