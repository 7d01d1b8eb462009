//! Detects that no run makes progress any more.
//!
//! A stalled server that stayed in rotation would answer with quick rejections, seem fast, and attract all
//! traffic of the fleet.

/// Time without progress that counts as a stall, as a multiple of the mean expected duration of the runs. Two
/// runs take twice their expected duration by chance every few seconds.
pub(super) const STALL_RUNS: f64 = 5.0;
/// Shortest time without progress that counts as a stall, ms. The first runs may all have been short.
pub(super) const MIN_STALL_MS: f64 = 500.0;
/// Sample periods after which a late timer shows that the process itself was paused.
const LATE_TIMER_PERIODS: f64 = 3.0;

/// The measurements of one timer about the runs.
pub(super) struct RunSample {
    /// Time since the previous sample, s.
    pub(super) dt_s: f64,
    /// Sample period, ms.
    pub(super) period_ms: f64,
    /// Number of runs.
    pub(super) running: f64,
    /// Sum of the expected work of the runs, ms.
    pub(super) total_work_ms: f64,
    /// Share of a core that each run receives.
    pub(super) core_share: f64,
}

/// Watches the time since the last progress of any run.
#[derive(Clone, Debug)]
pub(super) struct StallDetector {
    /// Whether no run makes progress.
    pub(super) stalled: bool,
    last_progress_ms: f64,
}

impl StallDetector {
    pub(super) fn new() -> Self {
        StallDetector { stalled: false, last_progress_ms: 0.0 }
    }

    /// Records that a run ended or reached a call.
    pub(super) fn record_progress(&mut self, now_ms: f64) {
        self.last_progress_ms = now_ms;
    }

    /// Takes a sample.
    pub(super) fn update(&mut self, now_ms: f64, sample: &RunSample) {
        let process_was_paused = sample.dt_s * 1000.0 > LATE_TIMER_PERIODS * sample.period_ms;
        if sample.running < 1.0 || process_was_paused {
            // No run could have made progress, so this is no stall.
            self.last_progress_ms = now_ms;
        }
        let stall_timeout_ms =
            STALL_RUNS * sample.total_work_ms / f64::max(sample.running, 1.0) / sample.core_share;
        self.stalled = now_ms - self.last_progress_ms > stall_timeout_ms.max(MIN_STALL_MS);
    }
}
