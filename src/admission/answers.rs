//! Gives final answers: rejections, failures, and answers that are due at a deadline.

use std::collections::BTreeMap;

use super::request_table::{OpenRequest, RequestState};
use super::{Action, AdmissionController, FailureReason, Idempotency, Preemption, RejectReason};

/// Rejections for each log line that counts their reasons.
const REJECTIONS_PER_LOG_LINE: u32 = 50;
/// Part of the slack after the deadline that a run may still use; the rest is reserved for late batches.
const USED_SLACK_PART: f64 = 0.3;

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
        let retry_after_ms = self.retry_after_ms(reason);
        let no_retry = self.advises_no_retry(reason);
        actions.push(Action::Reject { id, retry_after_ms, no_retry, reason });
    }

    /// Fails a request, unless its answer was already given. A started run stays open until it ends.
    pub(super) fn fail(&mut self, id: u32, reason: FailureReason, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        if std::mem::replace(&mut open.answer_pending, false) {
            actions.push(Action::Fail { id, reason });
        }
        if open.is_unstarted() {
            self.requests.open.remove(&id);
        }
    }

    /// Rejects or fails the requests that cannot wait for the next sample.
    pub(super) fn answer_due(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let next_sample_ms = now_ms + self.sample_period_ms();
        let kill_is_near = self.drain.is_some_and(|drain| next_sample_ms >= drain.last_answer_ms());
        let mut infeasible = Vec::new();
        let mut overdue = Vec::new();
        for (id, open) in &self.requests.open {
            if !open.answer_pending || self.requests.may_repeat_a_run(open) {
                continue;
            }
            if open.state == RequestState::Queued {
                if kill_is_near || self.is_infeasible(open, now_ms, next_sample_ms) {
                    infeasible.push(*id);
                }
            } else if kill_is_near || self.is_overdue(open, next_sample_ms) {
                overdue.push(*id);
            }
        }
        for id in infeasible {
            self.reject(id, RejectReason::QueueTimeout, actions);
        }
        let reason = if kill_is_near { FailureReason::Shutdown } else { FailureReason::DeadlineExceeded };
        for id in overdue {
            self.fail(id, reason, actions);
            self.cancel_if_useless(id, actions);
        }
    }

    /// Whether a queued request can no longer be answered usefully.
    fn is_infeasible(&self, open: &OpenRequest, now_ms: f64, next_sample_ms: f64) -> bool {
        next_sample_ms >= open.deadline_ms || self.stall.stalled || self.score(open, now_ms) <= 0.0
    }

    /// Whether an answer to a started request at the next sample would no longer count.
    fn is_overdue(&self, open: &OpenRequest, next_sample_ms: f64) -> bool {
        let slack_ms = self.settings.rules.answer_slack_ms * USED_SLACK_PART;
        next_sample_ms >= open.deadline_ms + slack_ms
    }

    /// Handles a caller that no longer waits for its request.
    pub(super) fn caller_gone(&mut self, id: u32, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        open.answer_pending = false;
        if open.is_unstarted() {
            self.requests.open.remove(&id);
            self.release_key(id, actions);
        } else {
            self.cancel_if_useless(id, actions);
        }
    }

    /// Cancels a run whose result nobody can use. A run with an effect is never cancelled: its duplicates
    /// need the result.
    fn cancel_if_useless(&mut self, id: u32, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get(&id) else { return };
        let useless = open.state == RequestState::Running && !open.answer_pending;
        let read_only = self.class_of(open).idempotency == Idempotency::ReadOnly;
        if useless && read_only && self.settings.preemption != Preemption::Never {
            actions.push(Action::CancelRun { id });
        }
    }
}
