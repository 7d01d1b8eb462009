//! Detects that no run makes progress any more.
//!
//! A stalled server would reject at once, look fast, and draw all traffic of the fleet.

/// Time without progress that counts as a stall, as a multiple of the mean expected duration of the runs: two
/// runs take twice theirs by chance every few seconds.
const STALL_RUNS: f64 = 5.0;
/// Least time without progress that counts as a stall, ms: the first runs may all have been short.
const MIN_STALL_MS: f64 = 500.0;
/// Sample periods after which a late timer shows that the process itself stood still.
const LATE_TIMER_PERIODS: f64 = 3.0;

/// What one timer measured about the runs.
pub(super) struct RunSample {
    /// Time since the sample before, s.
    pub(super) dt_s: f64,
    /// Sample period, ms.
    pub(super) period_ms: f64,
    /// Number of runs.
    pub(super) running: f64,
    /// Sum of their expected work, ms.
    pub(super) total_work_ms: f64,
    /// Share of a core that each run receives.
    pub(super) core_share: f64,
}

/// Watches the time since the last progress of any run.
#[derive(Clone, Debug)]
pub(super) struct StallDetector {
    /// No run makes progress.
    pub(super) stalled: bool,
    progress_ms: f64,
}

impl StallDetector {
    pub(super) fn new() -> Self {
        StallDetector { stalled: false, progress_ms: 0.0 }
    }

    /// A run ended or reached a call.
    pub(super) fn record_progress(&mut self, now_ms: f64) {
        self.progress_ms = now_ms;
    }

    /// Takes a sample.
    pub(super) fn update(&mut self, now_ms: f64, sample: &RunSample) {
        let process_stood_still = sample.dt_s * 1000.0 > LATE_TIMER_PERIODS * sample.period_ms;
        if sample.running < 1.0 || process_stood_still {
            // No run is to blame for the silence.
            self.progress_ms = now_ms;
        }
        let patience_ms =
            STALL_RUNS * sample.total_work_ms / f64::max(sample.running, 1.0) / sample.core_share;
        self.stalled = now_ms - self.progress_ms > patience_ms.max(MIN_STALL_MS);
    }
}
