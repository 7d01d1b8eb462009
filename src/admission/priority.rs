//! Scores requests by the weight that they earn for each ms of work, and ranks arrivals among recent ones.

use std::collections::VecDeque;

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

use super::call_budget::CallBudget;
use super::decision::EQUAL_SCORE_PART;
use super::request_table::{OpenRequest, RequestState};
use super::{AdmissionController, Class};

/// Part of the expected work that must fit before the deadline. Estimates are rough, so a request is
/// infeasible only if this part of its work already ends too late.
const MIN_FEASIBLE_WORK_PART: f64 = 0.75;
/// Probability that a run takes no more than [`MIN_FEASIBLE_WORK_PART`] of its expected work, if the standard
/// deviation of work is nearly as large as its mean.
const SHORT_RUN_PROBABILITY: f64 = 0.45;
/// Number of recent scores that an arrival is ranked among.
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

    /// Share of recent arrivals with a lower score, 0 to 1. Rejecting the ranks below alpha rejects a share
    /// of alpha, the lowest scores first.
    ///
    /// Nearly equal scores are ordered at random: estimates drift, and a class whose cost has just risen
    /// slightly above its recent cost would otherwise be rejected as a whole at any alpha.
    pub(super) fn rank(&mut self, score: f64) -> f64 {
        let uniform = f64::from(self.random.next_u32()) / f64::from(u32::MAX);
        let score = score * (1.0 + EQUAL_SCORE_PART * (2.0 * uniform - 1.0));
        let lower = self.recent_scores.iter().filter(|recent| **recent < score).count() as f64;
        let rank = (lower + uniform) / (self.recent_scores.len() as f64 + 1.0);
        self.recent_scores.push_back(score);
        if self.recent_scores.len() > RANKED_SCORES {
            self.recent_scores.pop_front();
        }
        rank
    }
}

/// Expected work of a request, ms.
struct ExpectedWork {
    /// From the start of the run to its end.
    total_ms: f64,
    /// Part that remains to be done.
    left_ms: f64,
}

/// Time that a queued request will lose to calls, ms.
pub(super) struct CallWait {
    /// Duration of the request's own calls.
    pub(super) own_calls_ms: f64,
    /// Time until enough call time is earned for the requests ahead of it and for itself.
    pub(super) for_credit_ms: f64,
}

impl AdmissionController {
    /// Class of an open request.
    pub(super) fn class_of(&self, open: &OpenRequest) -> &Class {
        &self.settings.classes[open.request.class]
    }

    /// Weight that a request earns for each ms of work if it starts, or continues, at `start_ms`; 0 if it
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

    /// Expected work of a request. For a run that awaits a call it follows from the work done so far, which
    /// shows the true work however wrong the hint was.
    fn expected_work(&self, open: &OpenRequest) -> ExpectedWork {
        if open.state != RequestState::AwaitingCall {
            let total_ms = self.expected_work_ms(&open.request);
            return ExpectedWork { total_ms, left_ms: total_ms };
        }
        let part_at_call = self.call_profile.part_at_call;
        let total_ms = open.work_at_call_ms / part_at_call;
        ExpectedWork { total_ms, left_ms: total_ms * (1.0 - part_at_call) }
    }

    /// Expected part of the weight that an answer earns if the estimated end of its run is `end_ms`, 0 to 1.
    fn timely_part(&self, open: &OpenRequest, work_ms: f64, run_ms: f64, end_ms: f64) -> f64 {
        let class = self.class_of(open);
        let earliest_end_ms = end_ms - (1.0 - MIN_FEASIBLE_WORK_PART) * run_ms;
        if end_ms <= open.objective_ms {
            1.0 - self.staleness(open, work_ms) * (1.0 - class.late_weight)
        } else if earliest_end_ms <= open.objective_ms {
            SHORT_RUN_PROBABILITY.max(class.late_weight)
        } else if earliest_end_ms <= open.deadline_ms {
            class.late_weight
        } else {
            0.0
        }
    }

    /// Staleness of a retry, 0 to 1: it grows with the share of retries among arrivals and as the time left
    /// to the retry shrinks. First attempts are never stale.
    fn staleness(&self, open: &OpenRequest, work_ms: f64) -> f64 {
        if !open.request.retry {
            return 0.0;
        }
        let spare_ms = open.objective_ms - open.arrived_ms - work_ms;
        let spare_part = spare_ms / self.class_of(open).timeout_ms.max(1.0);
        self.callers.retry_share * (1.0 - spare_part).max(0.0)
    }

    /// Time that a request will lose to calls; 0 unless the request is queued and its class makes calls.
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

    /// Calls still expected of started requests whose class earns at most this part of its weight without a
    /// call.
    pub(super) fn expected_calls(&self, max_weight_without_call: f64) -> f64 {
        let started = self.requests.open.values().filter(|open| open.state != RequestState::Queued);
        let unanswered = started.filter(|open| open.answer_pending);
        let ahead =
            unanswered.filter(|open| self.class_of(open).weight_without_call <= max_weight_without_call);
        let calls_left =
            |open: &OpenRequest| (self.call_profile.calls_per_run(open.request.class) - open.calls).max(0.0);
        ahead.map(calls_left).sum()
    }
}
