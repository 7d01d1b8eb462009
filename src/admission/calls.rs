//! Starts the calls that runs wait for, and handles their outcomes.

use super::call_budget::CallRepeat;
use super::dispatch::MIN_RUN_MS;
use super::request_table::{OpenRequest, RequestState};
use super::stall_detector::{MIN_STALL_MS, STALL_RUNS};
use super::{Action, AdmissionController, FailureReason, Idempotency, Outcome, Preemption};

/// A run that waits for a call.
struct WaitingRun {
    id: u32,
    /// Score of the run if the call is made now, less the part that it earns without the call.
    gain: f64,
    objective_ms: f64,
    weight_without_call: f64,
}

impl AdmissionController {
    /// Records that a run needs a call before it can continue.
    pub(super) fn await_call(&mut self, now_ms: f64, id: u32) {
        self.stall.record_progress(now_ms);
        let core_time_ms = self.core_time.at(now_ms);
        if let Some(open) = self.requests.open.get_mut(&id) {
            open.state = RequestState::AwaitingCall;
            open.reply_uncertain_since_ms = None;
            open.core_time_at_call_ms = core_time_ms;
            open.work_at_call_ms = (core_time_ms - open.core_time_at_start_ms).max(MIN_RUN_MS);
        }
    }

    /// Starts calls as far as the budget allows.
    pub(super) fn start_calls(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let in_call = self.requests.in_state(RequestState::InCall);
        let started_ms: Vec<f64> = in_call.map(|open| open.call_started_ms).collect();
        self.calls.update(now_ms, &self.settings, &started_ms);
        let waiting = self.runs_awaiting_calls(now_ms);
        // Runs that can skip their call leave call time to the runs that cannot.
        let reserved_calls = self.expected_calls(0.0);
        for run in waiting {
            let reserved = if run.weight_without_call > 0.0 { reserved_calls } else { 0.0 };
            if run.gain > 0.0 && self.calls.allows_call(now_ms, &self.settings, reserved) {
                self.start_call(now_ms, run.id, actions);
            } else {
                self.do_without_call(now_ms, &run, actions);
            }
        }
    }

    /// Runs that wait for a call, the highest gain first, then the earliest objective. If later runs overtook
    /// a run that was admitted for a call, its work so far would be wasted.
    fn runs_awaiting_calls(&self, now_ms: f64) -> Vec<WaitingRun> {
        let end_of_call_ms = now_ms + self.calls.duration_ms;
        let awaiting = self.requests.in_state(RequestState::AwaitingCall).filter(|open| open.answer_pending);
        let waiting = awaiting.map(|open| {
            let weight_without_call = self.class_of(open).weight_without_call;
            WaitingRun {
                id: open.request.id,
                gain: self.score(open, end_of_call_ms) * (1.0 - weight_without_call),
                objective_ms: open.objective_ms,
                weight_without_call,
            }
        });
        let mut waiting: Vec<WaitingRun> = waiting.collect();
        waiting.sort_by(|a, b| {
            let by_gain = b.gain.total_cmp(&a.gain);
            by_gain.then(a.objective_ms.total_cmp(&b.objective_ms)).then(a.id.cmp(&b.id))
        });
        waiting
    }

    fn start_call(&mut self, now_ms: f64, id: u32, actions: &mut Vec<Action>) {
        self.calls.record_start();
        let open = self.requests.open.get_mut(&id).expect("listed among the waiting runs");
        open.state = RequestState::InCall;
        open.calls += 1.0;
        open.call_started_ms = now_ms;
        let read_only = self.settings.classes[open.request.class].idempotency == Idempotency::ReadOnly;
        let repeat = if read_only { CallRepeat::Allowed } else { CallRepeat::Forbidden };
        let left_ms = open.deadline_ms - now_ms;
        let call_timeout_ms = self.calls.timeout_ms(repeat).min(left_ms).max(1.0);
        actions.push(Action::StartCall { id, call_timeout_ms });
    }

    /// Handles a run whose call is not made now. If an answer without the call earns something, the run skips
    /// the call at the latest moment that still meets its deadline. A run that cannot be answered usefully at
    /// all fails: its call would only add load to a slow dependency.
    fn do_without_call(&mut self, now_ms: f64, run: &WaitingRun, actions: &mut Vec<Action>) {
        let open = &self.requests.open[&run.id];
        let can_skip = self.class_of(open).weight_without_call > 0.0 && self.score(open, now_ms) > 0.0;
        let next_chance_ms = now_ms + self.calls.duration_ms.max(2.0 * self.sample_period_ms());
        if can_skip && (run.gain <= 0.0 || self.score(open, next_chance_ms) <= 0.0) {
            self.skip_call(now_ms, run.id, actions);
        } else if run.gain <= 0.0 {
            self.fail(run.id, FailureReason::CallUnavailable, actions);
        }
    }

    fn skip_call(&mut self, now_ms: f64, id: u32, actions: &mut Vec<Action>) {
        let core_time_ms = self.core_time.at(now_ms);
        let open = self.requests.open.get_mut(&id).expect("listed among the waiting runs");
        open.calls += 1.0;
        open.resume(core_time_ms);
        actions.push(Action::SkipCall { id });
    }

    /// Handles a call that ended after `took_ms`.
    pub(super) fn end_call(
        &mut self,
        now_ms: f64,
        id: u32,
        outcome: Outcome,
        took_ms: f64,
        actions: &mut Vec<Action>,
    ) {
        self.calls.record_end(now_ms, outcome, took_ms, self.settings.call_linger_ms);
        let core_time_ms = self.core_time.at(now_ms);
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        if outcome == Outcome::Done {
            open.resume(core_time_ms);
            return;
        }
        open.state = RequestState::AwaitingCall;
        let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
        let read_only = self.settings.classes[open.request.class].idempotency == Idempotency::ReadOnly;
        if !never_ran && !read_only {
            // The call may have taken effect, and a second call could repeat the effect.
            self.fail(id, FailureReason::CallOutcomeUnknown, actions);
        }
    }

    /// Handles a run that may still wait for a reply that was lost. It skips the call if an answer without
    /// the call earns something: a run that did receive the reply ignores that. Any other run has some time
    /// to show that it continues.
    pub(super) fn reply_uncertain(&mut self, now_ms: f64, id: u32, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.open.get_mut(&id) else { return };
        if open.state != RequestState::Running {
            return;
        }
        if self.settings.classes[open.request.class].weight_without_call > 0.0 {
            actions.push(Action::SkipCall { id });
        } else {
            open.reply_uncertain_since_ms = Some(now_ms);
        }
    }

    /// Fails and cancels the runs whose reply must be lost: each was silent for a multiple of its expected
    /// duration since the reply became uncertain.
    pub(super) fn end_runs_without_reply(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        let is_silent = |open: &OpenRequest| {
            let run_ms = self.expected_work_ms(&open.request) / self.core_time.share;
            let timeout_ms = (STALL_RUNS * run_ms).max(MIN_STALL_MS);
            open.reply_uncertain_since_ms.is_some_and(|since_ms| now_ms - since_ms > timeout_ms)
        };
        let running = self.requests.in_state(RequestState::Running);
        let silent: Vec<u32> = running.filter(|open| is_silent(open)).map(|open| open.request.id).collect();
        for id in silent {
            self.fail(id, FailureReason::CallOutcomeUnknown, actions);
            self.requests.set_reply_certain(id);
            if self.settings.preemption != Preemption::Never {
                actions.push(Action::CancelRun { id });
            }
        }
    }
}

impl OpenRequest {
    /// Continues the run after its call. The time of the call does not count as core time.
    fn resume(&mut self, core_time_ms: f64) {
        self.state = RequestState::Running;
        self.core_time_at_start_ms += core_time_ms - self.core_time_at_call_ms;
    }
}
