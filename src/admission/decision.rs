//! Decides each arrival at the end of its batch: duplicate, rejected, or queued.
//!
//! The order of the checks is fixed: does the arrival duplicate an open or retained request, can it be
//! answered in time and in the memory left, and is it in the share that loop 1 rejects.

use super::request_table::{OpenRequest, RequestState};
use super::{Action, AdmissionController, FailureReason, Idempotency, RejectReason};

/// Part of the memory beyond which arrivals are rejected, so that there is memory left to run queued
/// requests.
const QUEUE_MEMORY_PART: f64 = 0.85;
/// Relative difference of scores below which two requests count as equal.
pub(super) const EQUAL_SCORE_PART: f64 = 0.15;

/// Limits that apply to an arrival whatever its score.
struct ArrivalLimits {
    /// The arrival reached the machine after the grace of a drain.
    drained: bool,
    /// There is no memory to queue the arrival.
    memory_full: bool,
}

/// How to treat an arrival that may duplicate an open or retained request.
enum DuplicateHandling {
    /// The arrival is no duplicate, or it may run as well as the first attempt.
    DecideAsNew,
    /// Neither attempt has run. The arrival, whose caller still waits, replaces this first attempt.
    Supersede(u32),
    /// The first attempt runs, ran, or may have run: the arrival may use its result but must not run itself.
    ReuseResult,
    /// The arrival will share the run of this queued read, from the start of the run on. If it joined
    /// earlier, it would fail together with a read that may still be rejected.
    Follow(u32),
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
        match self.duplicate_handling(&arrival, &limits) {
            DuplicateHandling::DecideAsNew => self.admit_or_reject(now_ms, &arrival, &limits, actions),
            DuplicateHandling::Supersede(first) => {
                self.supersede(first, actions);
                self.admit_or_reject(now_ms, &arrival, &limits, actions);
            }
            DuplicateHandling::ReuseResult => self.reuse_result(id, &limits, actions),
            DuplicateHandling::Follow(first) => self.follow(id, first),
        }
    }

    fn admit_or_reject(
        &mut self,
        now_ms: f64,
        arrival: &OpenRequest,
        limits: &ArrivalLimits,
        actions: &mut Vec<Action>,
    ) {
        match self.rejection(now_ms, arrival, limits, actions) {
            Some(reason) => self.reject(arrival.request.id, reason, actions),
            None => self.retain_for_duplicates(now_ms, arrival, actions),
        }
    }

    fn arrival_limits(&self, arrival: &OpenRequest) -> ArrivalLimits {
        let rules = &self.settings.rules;
        let drained = self.drain.is_some_and(|drain| drain.excludes(arrival.arrived_ms, rules));
        let keyed = self.class_of(arrival).idempotency == Idempotency::Keyed;
        let key_kb = if keyed { self.settings.key_kb } else { 0.0 };
        let memory_full = self.reserved_memory_kb() + key_kb > QUEUE_MEMORY_PART * self.settings.memory_kb;
        ArrivalLimits { drained, memory_full }
    }

    /// Chooses how to treat an arrival so that no effect happens twice.
    fn duplicate_handling(&self, arrival: &OpenRequest, limits: &ArrivalLimits) -> DuplicateHandling {
        let Some(first) = arrival.request.duplicate_of.filter(|first| *first != arrival.request.id) else {
            return DuplicateHandling::DecideAsNew;
        };
        let state = self.requests.state(first);
        let first_is_queued = state == Some(RequestState::Queued);
        match self.class_of(arrival).idempotency {
            Idempotency::NonIdempotent => DuplicateHandling::DecideAsNew,
            Idempotency::Keyed if first_is_queued && !limits.drained => DuplicateHandling::Supersede(first),
            Idempotency::Keyed => DuplicateHandling::ReuseResult,
            Idempotency::ReadOnly if first_is_queued && !limits.drained && !limits.memory_full => {
                DuplicateHandling::Follow(first)
            }
            Idempotency::ReadOnly if first_is_queued || state == Some(RequestState::AwaitingResult) => {
                DuplicateHandling::DecideAsNew
            }
            Idempotency::ReadOnly => DuplicateHandling::ReuseResult,
        }
    }

    fn supersede(&mut self, first: u32, actions: &mut Vec<Action>) {
        self.requests.release_key(first);
        actions.push(Action::ReleaseKey { id: first });
        self.fail(first, FailureReason::Superseded, actions);
    }

    fn follow(&mut self, id: u32, first: u32) {
        if let Some(open) = self.requests.open.get_mut(&id) {
            open.follows = Some(first);
        }
    }

    fn reuse_result(&mut self, id: u32, limits: &ArrivalLimits, actions: &mut Vec<Action>) {
        if limits.memory_full {
            self.fail(id, FailureReason::MemoryFull, actions);
            return;
        }
        self.requests.set_state(id, RequestState::AwaitingResult);
        actions.push(Action::ReuseResult { id });
    }

    /// Returns why to reject an arrival, or `None` to queue it. The arrival may displace a queued request.
    fn rejection(
        &mut self,
        now_ms: f64,
        arrival: &OpenRequest,
        limits: &ArrivalLimits,
        actions: &mut Vec<Action>,
    ) -> Option<RejectReason> {
        let score = self.score(arrival, now_ms + self.expected_wait_ms(arrival, now_ms));
        // Infeasible arrivals are ranked as well: the rank of other arrivals depends on them.
        let rank = self.ranking.rank(score);
        let must_wait = self.on_core() >= self.settings.cores;
        let infeasible = self.infeasible_reason(now_ms, arrival, limits, score, must_wait);
        if infeasible.is_some() {
            return infeasible;
        }
        let shed = must_wait
            && rank < self.loops.reject_share
            && !self.finds_queue_place(now_ms, arrival.request.id, actions);
        shed.then_some(RejectReason::LoadShed)
    }

    /// Returns the first reason why an arrival cannot be answered usefully.
    fn infeasible_reason(
        &self,
        now_ms: f64,
        arrival: &OpenRequest,
        limits: &ArrivalLimits,
        score: f64,
        must_wait: bool,
    ) -> Option<RejectReason> {
        // If it were queued although the wait makes it late, it would be answered late or rejected after the
        // wait.
        let late_by_wait = must_wait && score < self.score(arrival, now_ms);
        if limits.drained {
            Some(RejectReason::Draining)
        } else if limits.memory_full {
            Some(RejectReason::MemoryFull)
        } else if self.stall.stalled {
            Some(RejectReason::Stalled)
        } else if score <= 0.0 && self.call_wait(arrival).for_credit_ms > 0.0 {
            Some(RejectReason::CallUnavailable)
        } else if score <= 0.0 || late_by_wait {
            Some(RejectReason::TooLate)
        } else {
            None
        }
    }

    /// Whether to queue an arrival that loop 1 would reject: the queue is short, or a queued request has a
    /// lower score and is rejected instead.
    ///
    /// In a flood, reading alone keeps the cores busy and alpha stays at 1. Without this the queue would
    /// become empty, and the next arrival after the end of a run would get the core: mostly a late retry.
    fn finds_queue_place(&mut self, now_ms: f64, id: u32, actions: &mut Vec<Action>) -> bool {
        let queued = self.requests.in_state(RequestState::Queued).filter(|other| other.request.id != id);
        let scored: Vec<(f64, &OpenRequest)> =
            queued.map(|other| (self.score(other, now_ms), other)).collect();
        if (scored.len() as f64) < self.settings.cores {
            return true;
        }
        let own_score = self.score(&self.requests.open[&id], now_ms);
        let displaceable = scored.into_iter().filter(|(_, other)| !self.requests.may_repeat_a_run(other));
        let lowest = displaceable.min_by(|a, b| a.0.total_cmp(&b.0));
        let displaced = lowest.filter(|(score, _)| own_score > score * (1.0 + EQUAL_SCORE_PART));
        let Some(displaced) = displaced.map(|(_, other)| other.request.id) else {
            return false;
        };
        self.reject(displaced, RejectReason::Displaced, actions);
        true
    }

    /// Retains the key by which later duplicates of a queued arrival are recognised.
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
