//! Runs on the engine: their start, their cancellation and their end.

use pinepoint_events::{Decision, FailureReason, RequestEventKind, RunOutcome};

use crate::admission::{Event, Idempotency, Outcome, Preemption};
use crate::server::core::Core;
use crate::server::core::answers::AnswerSource;
use crate::server::core::api::{Reply, RunResult};
use crate::server::core::keys::{AlreadyRan, Attempt, AttemptEnd, AttemptResult};
use crate::server::core::requests::RequestState;
use crate::server::observability::counters::count;

/// Added to the deduplication window of a key, ms.
const WINDOW_MARGIN_MS: f64 = 1.0;

/// When the deduplication window of a request that arrived at this time ends, Unix ms.
pub(super) fn window_end_ms(arrived_ms: f64, window_ms: f64) -> f64 {
    arrived_ms + window_ms + WINDOW_MARGIN_MS
}

impl Core {
    /// Executes the controller's decision to start a run.
    pub(super) fn start_run(&mut self, id: u32) {
        if self.requests.get_in_state(id, RequestState::Queued).is_none() {
            return;
        }
        if self.enter_started_key(id).is_err() {
            self.fail_as_already_run(id);
            return;
        }
        let Some(open) = self.requests.get_mut(id) else { return };
        open.state = RequestState::Running;
        open.run_started_ms = self.now_ms;
        let queue_wait_ms = self.now_ms - open.read_ms;
        self.dependencies.counters.count_class(open.class, |class| &class.runs);
        let class = self.dependencies.site.class_name(open.class);
        let is_written =
            self.engine.is_ready() && self.dependencies.engine.start_run(&open.attempt_id, class, &open.body);
        open.start = self.engine.delivery(is_written);
        self.mark_request_key_changed(id);
        self.emit_for(id, |_| RequestEventKind::Decided(Decision::Run));
        self.emit_for(id, |_| RequestEventKind::RunStarted { queue_wait_ms });
    }

    /// Enters the key of a request that is about to be started, if the request has an effect.
    fn enter_started_key(&mut self, id: u32) -> Result<(), AlreadyRan> {
        let Some(open) = self.requests.get(id) else { return Ok(()) };
        let class = &self.dependencies.site.settings.classes[open.class];
        let (Idempotency::Keyed, Some(key)) = (class.idempotency, &open.identity.key) else { return Ok(()) };
        let window_end_ms = window_end_ms(open.arrived_ms, class.dedup_window_ms);
        let attempt = Attempt { id, digest: open.identity.digest, window_end_ms };
        self.keys.start(key, attempt, open.arrived_ms)
    }

    /// Fails a request whose key the controller would run twice, and reports to the controller that the
    /// request did not run.
    fn fail_as_already_run(&mut self, id: u32) {
        count(&self.dependencies.counters.doubles_prevented);
        let reply = Reply::Failed { late: false, reason: FailureReason::AlreadyRan };
        self.answer(id, &reply, AnswerSource::Own);
        self.remove_request(id);
        self.batch.follow_up_events.push_back(Event::RunEnded { id, outcome: Outcome::NotStarted });
    }

    /// Executes the controller's decision to cancel a run.
    pub(super) fn cancel_run(&mut self, id: u32) {
        if let Some(open) = self.requests.get_in_state(id, RequestState::Running) {
            count(&self.dependencies.counters.halts);
            let is_written = self.dependencies.engine.cancel_run(&open.attempt_id);
            open.cancellation = Some(self.engine.delivery(is_written));
        }
    }

    /// Cancels the call in flight of an answered request and, if running work can be cancelled, the run that
    /// waits for a call. The request stays in the table until the engine reports the end of the run.
    pub(super) fn cancel_run_at_call(&mut self, id: u32) {
        let cancelled_call = self.cancel_call(id);
        let may_cancel = self.dependencies.site.settings.preemption != Preemption::Never;
        let Some(open) = self.requests.get_mut(id) else { return };
        if open.state == RequestState::AwaitingCall && open.cancellation.is_none() && may_cancel {
            let is_written = self.dependencies.engine.cancel_run(&open.attempt_id);
            open.cancellation = Some(self.engine.delivery(is_written));
        }
        let class = open.class;
        if let Some(event) = cancelled_call {
            self.emit(id, class, event);
        }
    }

    /// Handles a command that the engine did not carry out. Only a failed start ends a run.
    pub(super) fn handle_command_rejected(&mut self, command: &str, attempt_id: &str) {
        count(&self.dependencies.counters.engine_refusals);
        tracing::warn!(command, attempt_id, "engine-refused");
        if command == "RUN" {
            self.handle_run_ended(attempt_id, RunResult::Unknown);
        }
    }

    pub(super) fn handle_run_ended(&mut self, attempt_id: &str, result: RunResult) {
        let Some(id) = self.requests.by_attempt_id(attempt_id) else { return };
        let Some(open) = self.requests.get(id).filter(|open| !open.is_unstarted()) else { return };
        let (class, ran_ms) = (open.class, self.now_ms - open.run_started_ms);
        let cancelled_call = self.cancel_call(id);
        count(&self.dependencies.counters.runs_ended);
        if let Some(event) = cancelled_call {
            self.emit(id, class, event);
        }
        let (outcome, event_outcome) = run_outcome(&result);
        self.emit(id, class, RequestEventKind::RunEnded { outcome: event_outcome, duration_ms: ran_ms });
        self.answer(id, &reply_of(&result), AnswerSource::Own);
        self.dispatch(Event::RunEnded { id, outcome });
        let key = self.requests.get(id).and_then(|open| open.identity.key.clone());
        self.remove_request(id);
        if let Some(key) = key {
            self.finish_attempt(&key, id, attempt_end(result));
        }
    }

    /// Removes a request for good. The controller's remaining decisions on its key follow within the batch.
    pub(super) fn remove_request(&mut self, id: u32) {
        let Some(open) = self.requests.remove(id) else { return };
        self.detach_from_key(id, open);
    }
}

fn run_outcome(result: &RunResult) -> (Outcome, RunOutcome) {
    match result {
        RunResult::Complete(_) => (Outcome::Done, RunOutcome::Complete),
        RunResult::Error => (Outcome::Failed, RunOutcome::Error),
        RunResult::Cancelled => (Outcome::Cancelled, RunOutcome::Cancelled),
        RunResult::Unknown => (Outcome::NotStarted, RunOutcome::NotStarted),
    }
}

fn reply_of(result: &RunResult) -> Reply {
    let reason = match result {
        RunResult::Complete(bytes) => return Reply::Served(bytes.clone()),
        RunResult::Error => FailureReason::RunFailed,
        RunResult::Cancelled => FailureReason::RunCancelled,
        RunResult::Unknown => FailureReason::RunNotStarted,
    };
    Reply::Failed { late: false, reason }
}

fn attempt_end(result: RunResult) -> AttemptEnd {
    match result {
        RunResult::Complete(bytes) => AttemptEnd::Ran(AttemptResult::Done(bytes)),
        RunResult::Error | RunResult::Cancelled => AttemptEnd::Ran(AttemptResult::Failed),
        RunResult::Unknown => AttemptEnd::NeverRan,
    }
}
