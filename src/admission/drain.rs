//! A drain: from the notice that the server will be stopped until the kill.

use super::Rules;

/// Part of the grace of a drain in which work is still asked for: other servers and callers hear of the drain
/// seconds late.
const WORKING_GRACE_PART: f64 = 0.7;
/// Answers go out this long before the kill, ms.
const KILL_MARGIN_MS: f64 = 150.0;

/// A drain that has started.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    /// When it started, ms.
    pub(super) started_ms: f64,
    /// When the server is killed, ms.
    pub(super) kill_ms: f64,
}

impl Drain {
    /// Whether a request reached the machine after the grace: it is never run, whatever else holds.
    pub(super) fn excludes(&self, arrived_ms: f64, rules: &Rules) -> bool {
        arrived_ms > self.started_ms + rules.drain_grace_ms
    }

    /// Whether the server is about to take no more work.
    pub(super) fn is_nearly_over(&self, now_ms: f64, rules: &Rules) -> bool {
        let working_ms = WORKING_GRACE_PART * rules.drain_grace_ms;
        let half_way_ms = (self.started_ms + self.kill_ms) / 2.0;
        now_ms >= (self.started_ms + working_ms).min(half_way_ms)
    }

    /// When the last answers have to be out, ms.
    pub(super) fn last_answer_ms(&self) -> f64 {
        self.kill_ms - KILL_MARGIN_MS
    }
}
