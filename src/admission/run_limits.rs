//! The limits on concurrent runs and on memory.

use super::AdmissionController;
use super::request_table::{OpenRequest, RequestState};

/// Requests that run on the cores, per core. Reading uses the time between the end of a run and the next
/// start; more runs would only slow down all runs.
const RUNS_PER_CORE: f64 = 1.0;
/// Of the concurrent runs that the server survives, the part that may be open at once, runs waiting for the
/// disk included. The rest is a reserve.
const CONCURRENT_RUNS_PART: f64 = 0.7;
/// Part of the memory that queued requests, runs and keys may take together.
const RUN_MEMORY_PART: f64 = 0.92;

impl AdmissionController {
    /// Runs that need a core now. The gauge leaves out runs that wait for the disk.
    pub(super) fn on_core(&self) -> f64 {
        self.requests.count(RequestState::Running).min(self.loops.max_on_core())
    }

    /// Whether some core is idle.
    pub(super) fn has_idle_cores(&self) -> bool {
        self.loops.runnable < self.settings.cores
    }

    /// Number of runs that may be on the cores.
    pub(super) fn run_limit(&self) -> f64 {
        (self.settings.cores * RUNS_PER_CORE).max(1.0).floor()
    }

    /// Number of runs that may be open, runs waiting for the disk included. The server survives it if all of
    /// them need a core at once.
    pub(super) fn concurrency_limit(&self, now_ms: f64) -> f64 {
        let extra_per_core = (self.settings.rules.max_running_per_core - 1.0).max(0.0);
        let per_core = 1.0 + extra_per_core * self.warm_up_speed(now_ms);
        (CONCURRENT_RUNS_PART * self.settings.cores * per_core).max(1.0)
    }

    /// Speed of this server as a part of its warmed-up speed, 0 to 1. It rises linearly.
    fn warm_up_speed(&self, now_ms: f64) -> f64 {
        let rules = &self.settings.rules;
        if !self.settings.cold || rules.warm_up_ms <= 0.0 {
            return 1.0;
        }
        let warmed_part = ((now_ms - self.started_ms) / rules.warm_up_ms).clamp(0.0, 1.0);
        rules.warm_up_initial_speed + (1.0 - rules.warm_up_initial_speed) * warmed_part
    }

    /// Memory reserved for open requests and retained keys, kB.
    pub(super) fn reserved_memory_kb(&self) -> f64 {
        let running_factor = self.settings.running_memory_factor.max(1.0);
        let reserved_kb = |open: &OpenRequest| {
            if open.is_unstarted() { open.request.mem_kb } else { open.request.mem_kb * running_factor }
        };
        let requests_kb = self.requests.open.values().map(reserved_kb).sum::<f64>();
        requests_kb + self.requests.retained_keys() as f64 * self.settings.key_kb
    }

    /// Whether there is too little memory to start a queued request.
    pub(super) fn lacks_memory_to_run(&self, open: &OpenRequest) -> bool {
        let extra_kb = open.request.mem_kb * (self.settings.running_memory_factor - 1.0).max(0.0);
        self.reserved_memory_kb() + extra_kb > RUN_MEMORY_PART * self.settings.memory_kb
    }
}
