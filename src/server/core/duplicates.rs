//! Duplicates: the controller's decisions on the table of keys, and the answers to requests that repeat
//! another attempt.

use pinepoint_events::{Decision, FailureReason, ProcessEvent, RequestEventKind, ResourceLimit};

use crate::admission::{Event, Outcome};
use crate::server::core::Core;
use crate::server::core::answers::AnswerSource;
use crate::server::core::api::Reply;
use crate::server::core::keys::{
    Attempt, AttemptEnd, AttemptResult, IdempotencyKey, JoinOutcome, OriginalState, Waiter,
};
use crate::server::core::requests::{OpenRequest, RequestState};
use crate::server::observability::counters::count;

/// A request with a key.
#[derive(Clone, Debug)]
pub(super) struct KeyedRequest {
    id: u32,
    pub(super) key: IdempotencyKey,
    /// Digest of its body.
    digest: u64,
}

impl Core {
    /// Key and digest of a request that is open or ended in this batch.
    ///
    /// The controller decides on the key of a run only after the run has ended. If the request were not found
    /// then, the result of a read that should be shared for a moment would be lost, and its entry would stay
    /// in the table for as long as the caller of the read may wait.
    pub(super) fn keyed_request(&self, id: u32) -> Option<KeyedRequest> {
        if let Some(open) = self.requests.get(id)
            && let Some(key) = &open.identity.key
        {
            return Some(KeyedRequest { id, key: key.clone(), digest: open.identity.digest });
        }
        self.batch.ended.iter().find(|ended| ended.id == id).cloned()
    }

    /// Executes the controller's decision to retain the attempt of a request.
    pub(super) fn retain_key(&mut self, id: u32, ttl_ms: f64) {
        if let Some(KeyedRequest { key, digest, .. }) = self.keyed_request(id) {
            self.mark_key_changed(&key);
            self.keys.retain(key, Attempt { id, digest, window_end_ms: self.now_ms + ttl_ms });
        }
    }

    /// Executes the controller's decision to stop retaining the attempt of a request.
    pub(super) fn release_key(&mut self, id: u32) {
        if let Some(KeyedRequest { key, .. }) = self.keyed_request(id) {
            self.mark_key_changed(&key);
            self.keys.release(&key, id);
        }
    }

    /// Executes the controller's decision to answer a duplicate with the result of its original.
    pub(super) fn reuse_result(&mut self, id: u32) {
        let Some(open) = self.requests.get_in_state(id, RequestState::Queued) else { return };
        open.state = RequestState::AwaitingResult;
        let (key, original) = (open.identity.key.clone(), open.identity.duplicate_of);
        self.emit_for(id, |_| RequestEventKind::Decided(Decision::ReuseResult));
        let outcome = match (key, original) {
            (Some(key), Some(original)) => self.join_original(&key, Waiter { id, original }),
            _ => JoinOutcome::Finished(AttemptResult::Failed),
        };
        if let JoinOutcome::Finished(result) = outcome {
            self.answer_duplicate(id, &result);
        }
    }

    fn join_original(&mut self, key: &IdempotencyKey, waiter: Waiter) -> JoinOutcome {
        let is_local = self.requests.get(waiter.original).is_some();
        let is_remote = self.keys.remote_attempt(key) == Some(waiter.original);
        let original = if is_local || is_remote { OriginalState::InFlight } else { OriginalState::Ended };
        self.keys.join(key, waiter, original)
    }

    fn answer_duplicate(&mut self, id: u32, result: &AttemptResult) {
        if self.requests.get_in_state(id, RequestState::AwaitingResult).is_none() {
            return;
        }
        let (reply, outcome) = match result {
            AttemptResult::Done(bytes) => {
                count(&self.dependencies.counters.reused);
                (Reply::Served(bytes.clone()), Outcome::Done)
            }
            AttemptResult::Pending | AttemptResult::Failed => {
                let reason = FailureReason::OriginalFailed;
                (Reply::Failed { late: false, reason }, Outcome::Failed)
            }
        };
        self.answer(id, &reply, AnswerSource::Original);
        self.remove_request(id);
        // The event is dispatched after the current actions, as this function may be executing one of them.
        self.batch.follow_up_events.push_back(Event::RunEnded { id, outcome });
    }

    /// Ends an attempt of a key: answers its duplicates, and retains its result for later duplicates.
    pub(super) fn finish_attempt(&mut self, key: &IdempotencyKey, id: u32, end: AttemptEnd) {
        self.mark_key_changed(key);
        let result = match &end {
            AttemptEnd::Ran(result) => result.clone(),
            AttemptEnd::NeverRan => AttemptResult::Failed,
        };
        let finished = self.keys.finish(key, id, end);
        for waiter in finished.waiters {
            self.answer_duplicate(waiter, &result);
        }
        if finished.result_dropped {
            count(&self.dependencies.counters.results_dropped);
            self.emit_process_event(ProcessEvent::LimitReached(ResourceLimit::Results));
        }
    }

    /// Detaches a removed request from its key: the request no longer waits for a result and, if it was
    /// queued, is no longer retained under its key.
    pub(super) fn detach_from_key(&mut self, id: u32, open: OpenRequest) {
        let Some(key) = open.identity.key else { return };
        self.mark_key_changed(&key);
        if open.state == RequestState::Queued {
            self.keys.remove_queued(&key, id);
        } else {
            self.keys.remove_waiter(&key, id);
        }
        self.batch.ended.push(KeyedRequest { id, key, digest: open.identity.digest });
    }
}
