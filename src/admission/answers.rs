//! Gives final answers: rejections with their Retry-After, failures, and what is due at a deadline.

use std::collections::BTreeMap;

use super::request_table::{OpenRequest, RequestState};
use super::{Action, AdmissionController, FailureReason, Idempotency, Preemption, RejectReason};

/// Rejections for each log line that tells their reasons.
const REJECTIONS_PER_LOG_LINE: u32 = 50;
/// Part of the slack after the deadline that a run may still use; the rest is for batches that come late.
const USED_SLACK_PART: f64 = 0.3;
/// Answers of a drain go out this long before the kill, ms.
const KILL_MARGIN_MS: f64 = 150.0;

/// Counts rejections by reason for the log.
#[derive(Clone, Debug, Default)]
pub(super) struct RejectionLog {
    by_reason: BTreeMap<RejectReason, u32>,
}

impl RejectionLog {
    /// Counts a rejection; returns the log line that is due after it, if any.
    fn record(&mut self, reason: RejectReason) -> Option<String> {
        *self.by_reason.entry(reason).or_default() += 1;
        if self.by_reason.values().sum::<u32>() < REJECTIONS_PER_LOG_LINE {
            return None;
        }
        Some(format!("turned away: {:?}", std::mem::take(&mut self.by_reason)))
    }
}

impl AdmissionController {
    /// Rejects a queued request.
    pub(super) fn reject(&mut self, id: u32, reason: RejectReason, actions: &mut Vec<Action>) {
        self.requests.open.remove(&id);
        self.idle_policy.record_rejection();
        if let Some(text) = self.rejections.record(reason) {
            actions.push(Action::Log { text });
        }
        self.release_key(id, actions);
        let jammed = self.read_delay.is_jammed() && !self.wants_no_traffic();
        // All servers share the dependency: a caller that finds no call here need not try elsewhere.
        let last = reason == RejectReason::CallUnavailable || jammed;
        let retry_after_ms = self.retry_after_ms(reason);
        actions.push(Action::Reject { id, retry_after_ms, last, reason });
    }

    /// How long the caller of a rejected request should stay away, ms.
    fn retry_after_ms(&self, reason: RejectReason) -> f64 {
        let waited = matches!(reason, RejectReason::QueueTimeout | RejectReason::Displaced);
        let advice_ms = if self.wants_no_traffic() {
            f64::INFINITY
        } else if self.read_delay.is_jammed() {
            self.read_delay.mean_ms
        } else if waited {
            // It may come back when all that is queued now has had its turn.
            self.queue_drain_ms().max(self.sample_period_ms())
        } else {
            0.0
        };
        advice_ms.min(self.settings.max_retry_after_ms)
    }

    /// Fails a request whose answer is owed. A started run stays open until it ends.
    pub(super) fn fail(&mut self, id: u32, reason: FailureReason, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        if std::mem::replace(&mut open.answer_owed, false) {
            actions.push(Action::Fail { id, reason });
        }
        if open.is_waiting() {
            self.requests.open.remove(&id);
        }
    }

    /// Answers the requests that cannot wait for the next sample.
    pub(super) fn answer_due(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let kill_ms = self.drain.map_or(f64::INFINITY, |drain| drain.kill_ms - KILL_MARGIN_MS);
        let next_sample_ms = now_ms + self.sample_period_ms();
        let killed = next_sample_ms >= kill_ms;
        let mut hopeless = Vec::new();
        let mut overdue = Vec::new();
        for (id, open) in &self.requests.open {
            if !open.answer_owed || self.requests.may_repeat_a_run(open) {
                continue;
            }
            if open.state == RequestState::Queued {
                if killed || self.is_hopeless(open, now_ms, next_sample_ms) {
                    hopeless.push(*id);
                }
            } else if killed || self.is_overdue(open, next_sample_ms) {
                overdue.push(*id);
            }
        }
        for id in hopeless {
            self.reject(id, RejectReason::QueueTimeout, actions);
        }
        let reason = if killed { FailureReason::Shutdown } else { FailureReason::DeadlineExceeded };
        for id in overdue {
            self.fail(id, reason, actions);
            self.cancel_if_useless(id, actions);
        }
    }

    /// Whether a queued request can no longer be answered usefully.
    fn is_hopeless(&self, open: &OpenRequest, now_ms: f64, next_sample_ms: f64) -> bool {
        next_sample_ms >= open.deadline_ms || self.stall.stalled || self.score(open, now_ms) <= 0.0
    }

    /// Whether an answer to a started request at the next sample would no longer count.
    fn is_overdue(&self, open: &OpenRequest, next_sample_ms: f64) -> bool {
        let slack_ms = self.settings.rules.answer_slack_ms * USED_SLACK_PART;
        next_sample_ms >= open.deadline_ms + slack_ms
    }

    /// The caller of a request no longer waits.
    pub(super) fn caller_gone(&mut self, id: u32, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        open.answer_owed = false;
        if open.is_waiting() {
            self.requests.open.remove(&id);
            self.release_key(id, actions);
        } else {
            self.cancel_if_useless(id, actions);
        }
    }

    /// Cancels a run whose result nobody can use. An effect is never cut short: its duplicates want the result.
    fn cancel_if_useless(&mut self, id: u32, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get(&id) else { return };
        let useless = open.state == RequestState::Running && !open.answer_owed;
        let read_only = self.class_of(open).idempotency == Idempotency::ReadOnly;
        if useless && read_only && self.settings.preemption != Preemption::Never {
            actions.push(Action::CancelRun { id });
        }
    }
}
