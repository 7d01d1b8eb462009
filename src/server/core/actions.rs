//! Passes the events of a batch to the admission controller and executes the actions that it returns.

use std::collections::VecDeque;

use pinepoint_events::{Decision, RequestEventKind};

use crate::admission::{Action, Event};
use crate::server::core::Core;
use crate::server::core::answers::AnswerSource;
use crate::server::core::api::Reply;
use crate::server::core::duplicates::KeyedRequest;
use crate::server::core::keys::IdempotencyKey;
use crate::server::core::watchdog::WATCHDOG_INTERVAL_MS;

/// State that the core keeps for one batch.
#[derive(Default)]
pub(super) struct Batch {
    /// Actions of the controller that are not executed yet.
    actions: Vec<Action>,
    /// Events that result from executing an action. The controller receives them once all actions are
    /// executed.
    pub(super) follow_up_events: VecDeque<Event>,
    /// Keys of the requests that were read in this batch.
    pub(super) keys: Vec<IdempotencyKey>,
    /// Requests with keys that ended in this batch.
    pub(super) ended: Vec<KeyedRequest>,
}

impl Core {
    /// Passes an event to the controller.
    pub(super) fn dispatch(&mut self, event: Event) {
        self.dispatch_at(self.now_ms, event);
    }

    /// Passes an event that happened at this time, Unix ms, to the controller.
    pub(super) fn dispatch_at(&mut self, at_ms: f64, event: Event) {
        if let Some(controller) = &mut self.controller {
            controller.handle(at_ms, event, &mut self.batch.actions);
        }
    }

    /// Ends a batch: advances the lifecycle, fires due timers, lets the controller decide on the handled
    /// inputs, and executes the actions that it returns.
    pub fn process_batch(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        self.advance_lifecycle();
        self.fire_due_timers();
        self.check_watchdog();
        self.handover_tick();
        self.batch.keys.clear();
        loop {
            while let Some(event) = self.batch.follow_up_events.pop_front() {
                self.dispatch(event);
            }
            self.dispatch(Event::BatchEnded);
            let actions = std::mem::take(&mut self.batch.actions);
            actions.into_iter().for_each(|action| self.execute(action));
            if self.batch.follow_up_events.is_empty() {
                break;
            }
        }
        self.batch.ended.clear();
        self.send_changed_keys();
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::StartRun { id } => self.start_run(id),
            Action::Reject { id, retry_after_ms, no_retry, reason } => {
                let reply = Reply::Rejected { retry_after_ms, no_retry, reason };
                self.answer_as_decided(id, Decision::Reject(reason), reply);
            }
            Action::Fail { id, reason } => {
                let late = self.is_due_before_next_check(id);
                let reply = Reply::Failed { late, reason };
                self.answer_as_decided(id, Decision::Fail(reason), reply);
                self.cancel_run_at_call(id);
            }
            Action::CancelRun { id } => self.cancel_run(id),
            Action::StartCall { id, call_timeout_ms } => self.start_call(id, call_timeout_ms),
            Action::SkipCall { id } => self.skip_call(id),
            Action::RetainKey { id, ttl_ms } => self.retain_key(id, ttl_ms),
            Action::ReleaseKey { id } => self.release_key(id),
            Action::ReuseResult { id } => self.reuse_result(id),
            Action::SetHealth { healthy, .. } => {
                self.lifecycle.set_healthy(healthy);
                self.publish();
            }
            Action::ReportLoad { value } => self.dependencies.status.load_report.set(Some(value)),
            Action::CloseIdleConnections { after_ms } => self.caller_idle_timeout_ms = Some(after_ms),
            Action::SetTimer { after_ms, token } => self.timers.set(self.now_ms + after_ms, token),
            Action::Log { text } => tracing::info!(text, "module"),
        }
    }

    /// Sends the answer that the controller decided on, and removes the request if it was not started.
    fn answer_as_decided(&mut self, id: u32, decision: Decision, reply: Reply) {
        self.emit_for(id, |_| RequestEventKind::Decided(decision));
        self.answer(id, &reply, AnswerSource::Own);
        self.remove_if_unstarted(id);
    }

    /// Whether the request's deadline passes before the watchdog checks it again.
    fn is_due_before_next_check(&self, id: u32) -> bool {
        self.requests.get(id).is_some_and(|open| self.now_ms + WATCHDOG_INTERVAL_MS >= open.deadline_ms)
    }
}
