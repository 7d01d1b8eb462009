//! Calls to the store: a run that needs a call waits for it, and is resumed with the reply or without it.

use pinepoint_events::{CallOutcome, RequestEventKind};

use crate::admission::{Event, Idempotency, Outcome};
use crate::server::core::Core;
use crate::server::core::api::Engine;
use crate::server::core::events::call_cancelled_event;
use crate::server::core::requests::{CallRequest, CallResult, Delivery, OpenRequest, RequestState, Resume};
use crate::server::observability::counters::count;

impl Core {
    /// Handles a run that needs a call. A call that is still in flight for the run is cancelled.
    pub(super) fn handle_call_needed(&mut self, attempt_id: &str, call_request: CallRequest) {
        let Some(id) = self.requests.by_attempt_id(attempt_id) else { return };
        let cancelled = self.cancel_call(id);
        let Some(open) = self.requests.get_mut(id) else { return };
        open.state = RequestState::AwaitingCall;
        open.call_request = call_request;
        open.start = Delivery::Read;
        open.resume = None;
        let (needs_no_answer, class) = (open.caller.is_none(), open.class);
        if let Some(event) = cancelled {
            self.emit(id, class, event);
        }
        self.dispatch(Event::CallNeeded { id });
        if needs_no_answer {
            self.cancel_run_at_call(id);
        }
    }

    /// Executes the controller's decision to start a call.
    pub(super) fn start_call(&mut self, id: u32, call_timeout_ms: f64) {
        if self.requests.get_in_state(id, RequestState::AwaitingCall).is_none() {
            return;
        }
        let Some(call) = self.requests.start_call(id, self.now_ms) else { return };
        let Some(open) = self.requests.get(id) else { return };
        count(&self.dependencies.counters.calls);
        let once = self.class(open.class).idempotency != Idempotency::ReadOnly;
        let store = self.dependencies.store.clone();
        store.start_call(call, &open.attempt_id, call_timeout_ms, &open.call_request.body, once);
        self.emit(id, open.class, RequestEventKind::CallStarted);
    }

    /// Executes the controller's decision to resume a run without its call. A run that did receive the reply
    /// to this call ignores the command, which names the notice of the call.
    pub(super) fn skip_call(&mut self, id: u32) {
        let Some(open) = self.requests.get_mut(id).filter(|open| open.may_await_call()) else { return };
        open.degraded = true;
        self.emit_for(id, |_| RequestEventKind::CallSkipped);
        count(&self.dependencies.counters.calls_left_out);
        self.resume_run(id, CallResult::Skipped);
    }

    pub(super) fn handle_call_ended(&mut self, call: u64, outcome: Outcome, reply: Option<Vec<u8>>) {
        // A cancelled call is no longer in the table, so its end is not mistaken for the end of a later call.
        let Some(id) = self.requests.end_call(call) else { return };
        let Some(open) = self.requests.get_in_state(id, RequestState::InCall) else { return };
        let (class, took_ms) = (open.class, self.now_ms - open.call_started_ms);
        match (outcome, reply) {
            (Outcome::Done, Some(reply)) => {
                count(&self.dependencies.counters.calls_done);
                self.resume_run(id, CallResult::Reply(reply));
            }
            _ => {
                count(&self.dependencies.counters.calls_failed);
                open.state = RequestState::AwaitingCall;
            }
        }
        let end = call_outcome(outcome);
        self.emit(id, class, RequestEventKind::CallEnded { outcome: end, duration_ms: took_ms });
        self.dispatch(Event::CallEnded { id, outcome, took_ms });
    }

    /// Resumes a run that waits for a call.
    fn resume_run(&mut self, id: u32, result: CallResult) {
        let Some(open) = self.requests.get_mut(id) else { return };
        open.state = RequestState::Running;
        // A connection that was just lost takes no command, and its loss is reported to the core only later.
        let is_written = self.engine.is_ready() && send_resume(open, &result, &*self.dependencies.engine);
        open.resume = Some(Resume { result, delivery: self.engine.delivery(is_written) });
    }

    /// Cancels the call in flight for a request, if there is one. Returns the event of the cancellation,
    /// which the calling function emits.
    pub(super) fn cancel_call(&mut self, id: u32) -> Option<RequestEventKind> {
        let open = self.requests.get_in_state(id, RequestState::InCall)?;
        self.dependencies.store.cancel_call(open.call_id);
        open.state = RequestState::AwaitingCall;
        let event = call_cancelled_event(self.now_ms, open);
        let call = open.call_id;
        self.requests.end_call(call);
        Some(event)
    }
}

/// Sends the command that resumes a run; returns whether there is a connection that takes the command.
pub(super) fn send_resume(open: &OpenRequest, result: &CallResult, engine: &dyn Engine) -> bool {
    match result {
        CallResult::Reply(reply) => engine.deliver_reply(&open.attempt_id, reply),
        CallResult::Skipped => engine.skip_call(&open.attempt_id, open.call_request.notice),
    }
}

fn call_outcome(outcome: Outcome) -> CallOutcome {
    match outcome {
        Outcome::Done => CallOutcome::Done,
        Outcome::Rejected => CallOutcome::Rejected,
        Outcome::TimedOut => CallOutcome::TimedOut,
        Outcome::Unreachable => CallOutcome::Unreachable,
        Outcome::Reset => CallOutcome::Reset,
        Outcome::Failed | Outcome::Cancelled | Outcome::NotStarted => CallOutcome::Failed,
    }
}
