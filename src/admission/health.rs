//! Decides whether health checks are answered as healthy.
//!
//! A server leaves the load balancer's rotation when it can serve no one: its arrivals are dead on arrival,
//! its runs are stalled, or it is buried in new connections. Overload alone is no reason.

use super::filters::{LOAD_FILTER_S, OBSERVATION_WEIGHT, indicator, low_pass, moving_average};

/// Share of arrivals that lay unread until no run could answer them in time, from which the health check
/// fails. Such a server serves no one, and its callers, having given up, hear no advice.
const UNHEALTHY_DEAD_SHARE: f64 = 0.7;
/// Part of what made the health check fail, below which it recovers.
const RECOVERY_PART: f64 = 0.4;
/// Slowdown from which a server counts as slow; crowding alone stays below. If health failed in a jam of the
/// whole fleet, servers would leave and return in floods.
const SLOW_SERVER: f64 = 2.0;
/// Tasks that want each core from which the health check fails. Runs and reading make two; the rest are new
/// connections, which their callers abandon before they are made, so that no one is read.
const UNHEALTHY_TASKS_PER_CORE: f64 = 6.0;

/// What one timer measured about the ability to serve.
pub(super) struct HealthSample {
    /// Time since the sample before, s.
    pub(super) dt_s: f64,
    /// Everything that wants a core now.
    pub(super) runnable: f64,
    /// Cores of the server.
    pub(super) cores: f64,
    /// How much longer work takes than usual.
    pub(super) slowdown: f64,
    /// No run makes progress.
    pub(super) stalled: bool,
    /// The server drains.
    pub(super) draining: bool,
}

/// The answer to health checks and what it depends on.
#[derive(Clone, Debug)]
pub(super) struct HealthMonitor {
    /// How health checks are answered now.
    pub(super) healthy: bool,
    /// Share of arrivals that were dead on arrival, 0 to 1.
    dead_share: f64,
    /// Filtered number of tasks that want each core.
    tasks_per_core: f64,
}

impl HealthMonitor {
    pub(super) fn new() -> Self {
        HealthMonitor { healthy: true, dead_share: 0.0, tasks_per_core: 0.0 }
    }

    /// Counts an arrival that could, or could not, be answered in time when it was read.
    pub(super) fn record_arrival(&mut self, dead_on_arrival: bool) {
        self.dead_share = moving_average(self.dead_share, indicator(dead_on_arrival), OBSERVATION_WEIGHT);
    }

    /// The server drains: it is unhealthy from now on.
    pub(super) fn start_drain(&mut self) {
        self.healthy = false;
    }

    /// Takes a sample and returns the new answer if it changed.
    pub(super) fn update(&mut self, sample: &HealthSample) -> Option<bool> {
        if sample.runnable < sample.cores {
            self.dead_share = low_pass(self.dead_share, 0.0, sample.dt_s, LOAD_FILTER_S);
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

    /// Whether the server can serve no one; with hysteresis, so that it does not flap.
    fn cannot_serve(&self, sample: &HealthSample) -> bool {
        let threshold_part = if self.healthy { 1.0 } else { RECOVERY_PART };
        let dead = sample.slowdown > SLOW_SERVER && self.dead_share >= UNHEALTHY_DEAD_SHARE * threshold_part;
        dead || sample.stalled || self.tasks_per_core > UNHEALTHY_TASKS_PER_CORE * threshold_part
    }
}
