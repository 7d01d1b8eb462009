//! The core time that each run receives while runs share the cores equally.

/// Smallest share of a core that a run is assumed to receive, 0 to 1.
const MIN_SHARE: f64 = 0.05;

/// A clock of the core time that a single run received since the start of the server (processor sharing).
///
/// The core time of a run is the difference of two readings, even if the number of runs changed in between.
#[derive(Clone, Debug)]
pub(super) struct CoreTime {
    /// Share of a core that each run receives now, above 0 and up to 1.
    pub(super) share: f64,
    /// Time of the last sample, ms.
    pub(super) sampled_ms: f64,
    at_sample_ms: f64,
}

impl CoreTime {
    pub(super) fn new() -> Self {
        CoreTime { share: 1.0, sampled_ms: 0.0, at_sample_ms: 0.0 }
    }

    /// Starts the clock, as the server is up.
    pub(super) fn start(&mut self, now_ms: f64) {
        self.sampled_ms = now_ms;
    }

    /// Reading of the clock at `now_ms`, ms of core time.
    pub(super) fn at(&self, now_ms: f64) -> f64 {
        self.at_sample_ms + (now_ms - self.sampled_ms) * self.share
    }

    /// Takes a sample: from now on `runnable` tasks share the cores.
    pub(super) fn update(&mut self, now_ms: f64, cores: f64, runnable: f64) {
        self.at_sample_ms = self.at(now_ms);
        self.sampled_ms = now_ms;
        self.share = (cores / runnable.max(cores)).clamp(MIN_SHARE, 1.0);
    }
}
