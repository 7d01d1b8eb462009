//! A drain: from the notice that the server will be stopped until the kill.

use super::Rules;

/// Part of the grace of a drain in which the load report still asks for work: other servers and callers learn
/// of the drain seconds late.
const WORKING_GRACE_PART: f64 = 0.7;
/// Time before the kill at which the last answers are sent, ms.
const KILL_MARGIN_MS: f64 = 150.0;

/// A drain in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// Start of the drain, ms.
    pub(super) started_ms: f64,
    /// Time at which the server is killed, ms.
    pub(super) kill_ms: f64,
}

impl Drain {
    /// Whether a request reached the machine after the grace. Such a request is never run.
    pub(super) fn excludes(&self, arrived_ms: f64, rules: &Rules) -> bool {
        arrived_ms > self.started_ms + rules.drain_grace_ms
    }

    /// Whether the server will soon take no more work.
    pub(super) fn is_nearly_over(&self, now_ms: f64, rules: &Rules) -> bool {
        let working_ms = WORKING_GRACE_PART * rules.drain_grace_ms;
        let half_way_ms = (self.started_ms + self.kill_ms) / 2.0;
        now_ms >= (self.started_ms + working_ms).min(half_way_ms)
    }

    /// Time by which the last answers must be sent, ms.
    pub(super) fn last_answer_ms(&self) -> f64 {
        self.kill_ms - KILL_MARGIN_MS
    }
}
