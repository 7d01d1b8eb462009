//! Decides each arrival at the end of its batch: duplicate, rejected, or queued.
//!
//! The order of the questions is fixed: does it duplicate an open or retained request, can it be answered in
//! time and in memory, and is it among the share that loop 1 rejects.

use super::request_table::{OpenRequest, RequestState};
use super::{Action, AdmissionController, FailureReason, Idempotency, RejectReason};

/// Part of the memory beyond which arrivals are rejected, so that queued requests still find memory to run.
const QUEUE_MEMORY_PART: f64 = 0.85;
/// Difference of scores, as a part, below which two requests count as alike.
pub(super) const ALIKE_PART: f64 = 0.15;

/// Reasons against an arrival that hold whatever it is worth.
struct ArrivalLimits {
    /// It came after the grace of a drain.
    drained: bool,
    memory_full: bool,
}

/// What became of an arrival that may be a duplicate.
#[derive(PartialEq, Eq)]
enum DuplicateCheck {
    /// It is answered or tied to the request that it duplicates; nothing is left to decide.
    Settled,
    /// It is decided like any other arrival.
    Undecided,
}

impl AdmissionController {
    /// Decides all arrivals of the batch in their order.
    pub(super) fn decide_arrivals(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        while let Some(id) = self.requests.next_undecided() {
            if self.requests.state(id) == Some(RequestState::Queued) {
                self.decide(now_ms, id, actions);
            }
        }
    }

    fn decide(&mut self, now_ms: f64, id: u32, actions: &mut Vec<Action>) {
        let arrival = self.requests.open[&id].clone();
        let limits = self.arrival_limits(&arrival);
        if self.check_duplicate(&arrival, &limits, actions) == DuplicateCheck::Settled {
            return;
        }
        match self.rejection(now_ms, &arrival, &limits, actions) {
            Some(reason) => self.reject(id, reason, actions),
            None => self.retain_for_duplicates(now_ms, &arrival, actions),
        }
    }

    fn arrival_limits(&self, arrival: &OpenRequest) -> ArrivalLimits {
        // What reached the machine after the grace of a drain is never run, whatever else holds.
        let grace_ms = self.settings.rules.drain_grace_ms;
        let drained = self.drain.is_some_and(|drain| arrival.arrived_ms > drain.started_ms + grace_ms);
        let keyed = self.class_of(arrival).idempotency == Idempotency::Keyed;
        let key_kb = if keyed { self.settings.key_kb } else { 0.0 };
        let memory_full = self.reserved_memory_kb() + key_kb > QUEUE_MEMORY_PART * self.settings.memory_kb;
        ArrivalLimits { drained, memory_full }
    }

    /// Settles a duplicate of an open or retained request so that no effect happens twice.
    fn check_duplicate(
        &mut self,
        arrival: &OpenRequest,
        limits: &ArrivalLimits,
        actions: &mut Vec<Action>,
    ) -> DuplicateCheck {
        let id = arrival.request.id;
        let idempotency = self.class_of(arrival).idempotency;
        let Some(first) = arrival.request.duplicate_of.filter(|first| *first != id) else {
            return DuplicateCheck::Undecided;
        };
        if idempotency == Idempotency::NonIdempotent {
            return DuplicateCheck::Undecided;
        }
        let keyed = idempotency == Idempotency::Keyed;
        let state = self.requests.state(first);
        let first_is_queued = state == Some(RequestState::Queued);
        if keyed && first_is_queued && !limits.drained {
            // Neither attempt has run: the later one, whose caller still waits, takes the place.
            self.requests.release_key(first);
            actions.push(Action::ReleaseKey { id: first });
            self.fail(first, FailureReason::Superseded, actions);
            return DuplicateCheck::Undecided;
        }
        if keyed || !(first_is_queued || state == Some(RequestState::AwaitingResult)) {
            self.reuse_result(id, limits, actions);
            return DuplicateCheck::Settled;
        }
        if first_is_queued && !limits.drained && !limits.memory_full {
            // If it were tied to a request that may yet be rejected, it would fail with it: it joins at the
            // start of the run.
            let open = self.requests.open.get_mut(&id).expect("the arrival is open");
            open.follows = Some(first);
            return DuplicateCheck::Settled;
        }
        DuplicateCheck::Undecided
    }

    /// The first attempt runs, ran, or may have run: its result may be used, but it must not run again.
    fn reuse_result(&mut self, id: u32, limits: &ArrivalLimits, actions: &mut Vec<Action>) {
        if limits.memory_full {
            self.fail(id, FailureReason::MemoryFull, actions);
            return;
        }
        self.requests.set_state(id, RequestState::AwaitingResult);
        actions.push(Action::ReuseResult { id });
    }

    /// Why an arrival is rejected, if it is. It may displace a queued request instead.
    fn rejection(
        &mut self,
        now_ms: f64,
        arrival: &OpenRequest,
        limits: &ArrivalLimits,
        actions: &mut Vec<Action>,
    ) -> Option<RejectReason> {
        let score = self.score(arrival, now_ms + self.expected_wait_ms(arrival, now_ms));
        // Every arrival is ranked, also one that is hopeless: the rank of others depends on it.
        let rank = self.ranking.rank(score);
        let must_wait = self.on_core() >= self.settings.cores;
        let hopeless = self.hopeless_reason(now_ms, arrival, limits, score, must_wait);
        if hopeless.is_some() {
            return hopeless;
        }
        let shed = must_wait
            && rank < self.loops.reject_share
            && !self.finds_place(now_ms, arrival.request.id, actions);
        shed.then_some(RejectReason::LoadShed)
    }

    /// The first reason why an arrival cannot be answered usefully.
    fn hopeless_reason(
        &self,
        now_ms: f64,
        arrival: &OpenRequest,
        limits: &ArrivalLimits,
        score: f64,
        must_wait: bool,
    ) -> Option<RejectReason> {
        // Queued although the wait makes it late, it would be answered late or rejected after the wait.
        let spoilt_by_wait = must_wait && score < self.score(arrival, now_ms);
        if limits.drained {
            Some(RejectReason::Draining)
        } else if limits.memory_full {
            Some(RejectReason::MemoryFull)
        } else if self.stall.stalled {
            Some(RejectReason::Stalled)
        } else if score <= 0.0 && self.call_wait(arrival).for_credit_ms > 0.0 {
            Some(RejectReason::CallUnavailable)
        } else if score <= 0.0 || spoilt_by_wait {
            Some(RejectReason::TooLate)
        } else {
            None
        }
    }

    /// Whether an arrival that loop 1 would reject is queued all the same: the queue is short, or a queued
    /// request is worth less and is rejected instead.
    ///
    /// In a flood reading alone keeps the cores busy and alpha stands at 1. Without this the queue would run
    /// dry, and whatever arrives when a run ends would take the core: mostly late retries.
    fn finds_place(&mut self, now_ms: f64, id: u32, actions: &mut Vec<Action>) -> bool {
        let queued = self.requests.in_state(RequestState::Queued).filter(|other| other.request.id != id);
        let scored: Vec<(f64, &OpenRequest)> =
            queued.map(|other| (self.score(other, now_ms), other)).collect();
        if (scored.len() as f64) < self.settings.cores {
            return true;
        }
        let own_score = self.score(&self.requests.open[&id], now_ms);
        let displaceable = scored.into_iter().filter(|(_, other)| !self.requests.may_repeat_a_run(other));
        let lowest = displaceable.min_by(|a, b| a.0.total_cmp(&b.0));
        let displaced = lowest.filter(|(score, _)| own_score > score * (1.0 + ALIKE_PART));
        let Some(displaced) = displaced.map(|(_, other)| other.request.id) else {
            return false;
        };
        self.reject(displaced, RejectReason::Displaced, actions);
        true
    }

    /// Retains what later duplicates of a queued arrival are recognised by.
    fn retain_for_duplicates(&mut self, now_ms: f64, arrival: &OpenRequest, actions: &mut Vec<Action>) {
        let id = arrival.request.id;
        let class = self.class_of(arrival);
        let read_ttl_ms = self.settings.read_result_ttl_ms;
        let shares_result =
            class.idempotency == Idempotency::ReadOnly && read_ttl_ms > 0.0 && arrival.request.has_subject;
        if class.idempotency == Idempotency::Keyed {
            let ttl_ms = class.dedup_window_ms - (now_ms - arrival.arrived_ms) + 1.0;
            self.retain_key(now_ms, id, ttl_ms, actions);
        } else if shares_result {
            self.retain_key(now_ms, id, arrival.deadline_ms - now_ms + read_ttl_ms, actions);
        }
    }

    /// Retains the key of a request for `ttl_ms`.
    pub(super) fn retain_key(&mut self, now_ms: f64, id: u32, ttl_ms: f64, actions: &mut Vec<Action>) {
        self.requests.retain_key(id, now_ms + ttl_ms);
        actions.push(Action::RetainKey { id, ttl_ms });
    }

    /// Releases the key of a request, if it is retained.
    pub(super) fn release_key(&mut self, id: u32, actions: &mut Vec<Action>) {
        if self.requests.release_key(id) {
            actions.push(Action::ReleaseKey { id });
        }
    }
}
