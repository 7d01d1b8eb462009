//! Scores requests by the weight they earn for each ms of work, and ranks arrivals among recent ones.

use std::collections::VecDeque;

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use super::call_budget::CallBudget;
use super::decision::ALIKE_PART;
use super::request_table::{OpenRequest, RequestState};
use super::{AdmissionController, Class};

/// Part of the expected work that must fit before the deadline. Estimates are rough, so a request is hopeless
/// only if even this part of its work ends too late.
const HOPEFUL_WORK_PART: f64 = 0.75;
/// Probability that a run takes no more than that part, for work spread nearly as widely as its mean.
const SHORT_RUN_PROBABILITY: f64 = 0.45;
/// Recent scores that an arrival is ranked among.
const RANKED_SCORES: usize = 64;

/// Ranks arrivals among the most recent ones.
#[derive(Clone, Debug)]
pub(super) struct PriorityRanking {
    random: Pcg64Mcg,
    recent_scores: VecDeque<f64>,
}

impl PriorityRanking {
    pub(super) fn new(seed: u64) -> Self {
        PriorityRanking { random: Pcg64Mcg::new(u128::from(seed)), recent_scores: VecDeque::new() }
    }

    /// Share of recent arrivals that scored less, 0 to 1. Rejecting the ranks below alpha rejects a share of
    /// alpha, the lowest scores first.
    ///
    /// Scores that are about alike are told apart by chance: estimates drift, and a class that just became a
    /// little more costly than its own recent past would be rejected as a whole at any alpha.
    pub(super) fn rank(&mut self, score: f64) -> f64 {
        let chance = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        let score = score * (1.0 + ALIKE_PART * (2.0 * chance - 1.0));
        let lower = self.recent_scores.iter().filter(|recent| **recent < score).count() as f64;
        let rank = (lower + chance) / (self.recent_scores.len() as f64 + 1.0);
        self.recent_scores.push_back(score);
        if self.recent_scores.len() > RANKED_SCORES {
            self.recent_scores.pop_front();
        }
        rank
    }
}

/// Expected work of a request, ms.
struct ExpectedWork {
    /// From its start to its end.
    total_ms: f64,
    /// Still to be done.
    left_ms: f64,
}

/// Time that a queued request will lose to calls, ms.
pub(super) struct CallWait {
    /// Duration of its own calls.
    pub(super) own_calls_ms: f64,
    /// Until enough call time is earned for those ahead of it and for itself.
    pub(super) for_credit_ms: f64,
}

impl AdmissionController {
    /// Class of an open request.
    pub(super) fn class_of(&self, open: &OpenRequest) -> &Class {
        &self.settings.classes[open.request.class]
    }

    /// Weight that a request earns for each ms of work if it starts, or goes on, at `start_ms`; 0 if it
    /// cannot end in time.
    pub(super) fn score(&self, open: &OpenRequest, start_ms: f64) -> f64 {
        let class = self.class_of(open);
        let work = self.expected_work(open);
        let run_ms = work.left_ms / self.core_time.share;
        let call_wait = self.call_wait(open);
        let end_without_call_ms = start_ms + run_ms;
        let end_with_call_ms = start_ms + run_ms + call_wait.own_calls_ms + call_wait.for_credit_ms;
        let without_call =
            class.weight_without_call * self.timely_part(open, work.total_ms, run_ms, end_without_call_ms);
        let with_call = self.timely_part(open, work.total_ms, run_ms, end_with_call_ms);
        let earned_part = with_call.max(without_call);
        let weight = class.weight * if self.settings.weight_by_work { work.total_ms } else { 1.0 };
        weight * self.tenants.weight_factor(open.request.tenant, &self.settings) * earned_part / work.total_ms
    }

    /// What a run has done until its call shows its true work, however wrong its hint was.
    fn expected_work(&self, open: &OpenRequest) -> ExpectedWork {
        if open.state != RequestState::AwaitingCall {
            let total_ms = self.expected_work_ms(&open.request);
            return ExpectedWork { total_ms, left_ms: total_ms };
        }
        let part_at_call = self.call_profile.part_at_call;
        let total_ms = open.work_at_call_ms / part_at_call;
        ExpectedWork { total_ms, left_ms: total_ms * (1.0 - part_at_call) }
    }

    /// Expected part of the weight that an answer earns if it is expected at `end_ms`, 0 to 1.
    fn timely_part(&self, open: &OpenRequest, work_ms: f64, run_ms: f64, end_ms: f64) -> f64 {
        let class = self.class_of(open);
        let hopeful_end_ms = end_ms - (1.0 - HOPEFUL_WORK_PART) * run_ms;
        if end_ms <= open.objective_ms {
            1.0 - self.staleness(open, work_ms) * (1.0 - class.late_weight)
        } else if hopeful_end_ms <= open.objective_ms {
            SHORT_RUN_PROBABILITY.max(class.late_weight)
        } else if hopeful_end_ms <= open.deadline_ms {
            class.late_weight
        } else {
            0.0
        }
    }

    /// How much a retry counts as stale, 0 to 1: the more arrivals are retries and the less of its time is
    /// left. First attempts are never stale.
    fn staleness(&self, open: &OpenRequest, work_ms: f64) -> f64 {
        if !open.request.retry {
            return 0.0;
        }
        let spare_ms = open.objective_ms - open.arrived_ms - work_ms;
        let spare_part = spare_ms / self.class_of(open).timeout_ms.max(1.0);
        self.callers.retry_share * (1.0 - spare_part).max(0.0)
    }

    /// Time that a request will lose to calls: none unless it is queued and its class makes calls.
    pub(super) fn call_wait(&self, open: &OpenRequest) -> CallWait {
        let own_calls = self.call_profile.calls_per_run(open.request.class);
        if own_calls == 0.0 || open.state != RequestState::Queued {
            return CallWait { own_calls_ms: 0.0, for_credit_ms: 0.0 };
        }
        let calls_ahead = self.expected_calls(self.class_of(open).weight_without_call);
        let duration_ms = self.calls.duration_ms;
        let unearned_ms = ((own_calls + calls_ahead) * duration_ms - self.calls.credit_ms).max(0.0);
        CallWait {
            own_calls_ms: own_calls * duration_ms,
            for_credit_ms: unearned_ms / CallBudget::earned_rate(&self.settings),
        }
    }

    /// Calls still expected of started requests, of the classes that earn at most this part of their weight
    /// without a call.
    pub(super) fn expected_calls(&self, max_weight_without_call: f64) -> f64 {
        let started = self.requests.open.values().filter(|open| open.state != RequestState::Queued);
        let owed = started.filter(|open| open.answer_owed);
        let served_first =
            owed.filter(|open| self.class_of(open).weight_without_call <= max_weight_without_call);
        let calls_left =
            |open: &OpenRequest| (self.call_profile.calls_per_run(open.request.class) - open.calls).max(0.0);
        served_first.map(calls_left).sum()
    }
}
