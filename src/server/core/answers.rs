//! Answers: each request that was read gets exactly one, and every answer is counted and reported to the
//! observer.

use pinepoint_events::{Answer, RequestEventKind};

use crate::admission::Event;
use crate::server::core::Core;
use crate::server::core::api::{Arrival, Reply};
use crate::server::core::events::received_event;
use crate::server::core::requests::{OpenRequest, RequestState};

/// The attempt that produced an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerSource {
    /// The request's own attempt.
    Own,
    /// The attempt that the request duplicates.
    Original,
}

impl Core {
    /// Answers an open request, unless it was answered already or its caller is gone.
    pub(super) fn answer(&mut self, id: u32, reply: &Reply, source: AnswerSource) {
        let Some(caller) = self.requests.take_caller(id) else { return };
        let Some(open) = self.requests.get(id) else { return };
        self.count_answer(open.class, reply);
        self.emit(id, open.class, answered_event(self.now_ms, open, reply, source));
        caller.answer(open.correlation_id, reply);
    }

    /// Answers a request that is not passed to the controller.
    pub(super) fn answer_unadmitted(&self, arrival: &Arrival, reply: &Reply) {
        let took_ms = self.now_ms - arrival.arrived_ms;
        let served = Answer::Served { deduplicated: false, degraded: false };
        self.emit(0, arrival.class, received_event(self.now_ms, arrival));
        self.count_answer(arrival.class, reply);
        self.emit(0, arrival.class, reply_event(reply, served, arrival.work_hint_ms, took_ms));
        arrival.caller.answer(arrival.correlation_id, reply);
    }

    fn count_answer(&self, class: usize, reply: &Reply) {
        self.dependencies.counters.count_class(class, |class| match reply {
            Reply::Served(_) => &class.served,
            Reply::Rejected { .. } => &class.refused,
            Reply::Failed { .. } => &class.failed,
        });
    }

    /// Fails an open request in place of the controller, and ends its remaining work.
    pub(super) fn fail_request(&mut self, id: u32, reply: &Reply) {
        self.answer(id, reply, AnswerSource::Own);
        self.abandon_request(id);
    }

    /// Ends a request that needs no answer any more. A request that was not started is removed at once, a run
    /// that waits for a call is cancelled there if running work can be cancelled, and any other run continues
    /// to its end unless the controller cancels it.
    pub(super) fn abandon_request(&mut self, id: u32) {
        let state = self.requests.get(id).map(|open| open.state);
        self.dispatch(Event::CallerGone { id });
        match state {
            Some(RequestState::Queued | RequestState::AwaitingResult) => self.remove_request(id),
            Some(RequestState::AwaitingCall | RequestState::InCall) => self.cancel_run_at_call(id),
            Some(RequestState::Running) | None => {}
        }
    }

    /// Removes an answered request that was not started.
    pub(super) fn remove_if_unstarted(&mut self, id: u32) {
        if self.requests.get(id).is_some_and(OpenRequest::is_unstarted) {
            self.remove_request(id);
        }
    }
}

fn answered_event(now_ms: f64, open: &OpenRequest, reply: &Reply, source: AnswerSource) -> RequestEventKind {
    let deduplicated = source == AnswerSource::Original;
    let served = Answer::Served { deduplicated, degraded: open.degraded };
    reply_event(reply, served, open.work_hint_ms, now_ms - open.arrived_ms)
}

/// The event of a reply; `served` is the answer to report if the reply carries a result.
fn reply_event(reply: &Reply, served: Answer, work_hint_ms: Option<f64>, took_ms: f64) -> RequestEventKind {
    let answer = match reply {
        Reply::Failed { late: true, reason } => {
            return RequestEventKind::DeadlineExceeded { reason: *reason, took_ms };
        }
        Reply::Served(_) => served,
        Reply::Rejected { reason, .. } => Answer::Rejected(*reason),
        Reply::Failed { reason, .. } => Answer::Failed(*reason),
    };
    RequestEventKind::Answered { answer, work_hint_ms, took_ms }
}
