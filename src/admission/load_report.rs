//! Chooses the load report to callers: how much traffic this server asks for.
//!
//! The report follows the delay at once and is not integrated. With integration, all servers of a loaded
//! fleet would reach the smallest value, and a slow server would get as much traffic as the others.

use super::LoadReportKind;

/// Delay that lowers the advised traffic by a factor e, ms.
const DELAY_SCALE_MS: f64 = 300.0;
/// Smallest advised traffic while runs make progress, 0 to 1: a caller that receives no report sends all its
/// traffic again.
const MIN_TRAFFIC: f64 = 0.15;
/// Smallest change of the report that is sent to the host.
const MIN_CHANGE: f64 = 0.02;

/// The measurements that a report depends on.
pub(super) struct LoadSample {
    /// Expected delay of an arrival, ms.
    pub(super) delay_ms: f64,
    /// The server should get no traffic at all.
    pub(super) wants_no_traffic: bool,
    /// Runs that may be on the cores.
    pub(super) run_limit: f64,
    /// Callers that send to the servers.
    pub(super) callers: f64,
}

/// Remembers the last report.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadReporter {
    last: Option<f64>,
}

impl LoadReporter {
    /// Forgets the last report, as values now have another meaning.
    pub(super) fn reset(&mut self) {
        self.last = None;
    }

    /// Returns the report to send, if it changed enough since the last one.
    pub(super) fn update(&mut self, kind: LoadReportKind, sample: &LoadSample) -> Option<f64> {
        let traffic = (-sample.delay_ms / DELAY_SCALE_MS).exp().max(MIN_TRAFFIC);
        let traffic = if sample.wants_no_traffic { 0.0 } else { traffic };
        let value = match kind {
            LoadReportKind::Silent => return None,
            LoadReportKind::Weight => traffic,
            LoadReportKind::Level => 1.0 - traffic,
            LoadReportKind::Credit => traffic * (2.0 * sample.run_limit / sample.callers.max(1.0)).max(1.0),
        };
        if !self.has_changed_enough(value) {
            return None;
        }
        self.last = Some(value);
        Some(value)
    }

    fn has_changed_enough(&self, value: f64) -> bool {
        self.last.is_none_or(|last| (value - last).abs() > MIN_CHANGE || (value == 0.0 && last != 0.0))
    }
}
