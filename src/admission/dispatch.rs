//! Starts queued requests in the order of their scores and learns from runs that end.

use std::cmp::Ordering;

use super::request_table::{OpenRequest, RequestState};
use super::{Action, AdmissionController, Idempotency, Outcome, Request};

/// Shortest core time of a run, ms.
pub(super) const MIN_RUN_MS: f64 = 0.1;
/// Part of an arrival's own work that is added to the work ahead of it when its wait is estimated.
const OWN_WAIT_PART: f64 = 0.5;

/// A queued request that may be started.
struct Candidate {
    id: u32,
    score: f64,
    objective_ms: f64,
}

impl Candidate {
    /// The highest score first, then the earliest objective, then the lowest id.
    fn compare(&self, other: &Candidate) -> Ordering {
        let by_score = self.score.total_cmp(&other.score);
        let by_objective = (-self.objective_ms).total_cmp(&-other.objective_ms);
        by_score.then(by_objective).then(other.id.cmp(&self.id))
    }
}

impl AdmissionController {
    /// Expected work of a request on one core of this server, ms.
    pub(super) fn expected_work_ms(&self, request: &Request) -> f64 {
        self.work.expected_ms(request, &self.settings.classes[request.class])
    }

    /// Expected wait of an arrival in the queue, ms: the work of the requests that would start before it.
    pub(super) fn expected_wait_ms(&self, arrival: &OpenRequest, now_ms: f64) -> f64 {
        if self.on_core() < self.settings.cores {
            return 0.0;
        }
        let own_score = self.score(arrival, now_ms);
        let mut ahead_ms = self.expected_work_ms(&arrival.request) * OWN_WAIT_PART;
        let queued = self.requests.in_state(RequestState::Queued);
        for other in queued.filter(|other| other.request.id != arrival.request.id) {
            if self.score(other, now_ms) >= own_score {
                ahead_ms += self.expected_work_ms(&other.request);
            }
        }
        ahead_ms / (self.run_limit() * self.core_time.share)
    }

    /// Time in which all queued requests could run, ms.
    pub(super) fn queue_drain_ms(&self) -> f64 {
        let queued = self.requests.in_state(RequestState::Queued);
        let work_ms = queued.map(|open| self.expected_work_ms(&open.request)).sum::<f64>();
        work_ms / (self.run_limit() * self.core_time.share)
    }

    /// Starts queued requests as far as the limits allow.
    pub(super) fn start_queued(&mut self, now_ms: f64, actions: &mut Vec<Action>) {
        while let Some(id) = self.next_to_start(now_ms) {
            if !self.may_start(now_ms, id) {
                return;
            }
            self.start_run(now_ms, id, actions);
        }
    }

    fn next_to_start(&self, now_ms: f64) -> Option<u32> {
        let queued = self.requests.in_state(RequestState::Queued);
        let candidates = queued.map(|open| Candidate {
            id: open.request.id,
            score: self.score(open, now_ms),
            objective_ms: open.objective_ms,
        });
        let best = candidates.filter(|candidate| candidate.score > 0.0).max_by(Candidate::compare)?;
        // Starting a read that shares the run of a queued read starts that queued read.
        let shared = self.requests.open[&best.id].follows;
        let queued_leader = shared.filter(|first| self.requests.state(*first) == Some(RequestState::Queued));
        queued_leader.or(Some(best.id))
    }

    /// Whether the limits allow a start now. Takes start credit if starts are paced.
    fn may_start(&mut self, now_ms: f64, id: u32) -> bool {
        let on_core = self.on_core();
        if self.requests.count(RequestState::Running) >= self.concurrency_limit(now_ms)
            || on_core >= self.run_limit()
            || self.lacks_memory_to_run(&self.requests.open[&id])
        {
            return false;
        }
        let paced = on_core >= self.settings.cores && self.loops.is_saturated();
        !paced || self.loops.take_start_credit()
    }

    fn start_run(&mut self, now_ms: f64, id: u32, actions: &mut Vec<Action>) {
        self.loops.record_start();
        let open = self.requests.open.get_mut(&id).expect("chosen from the queue");
        open.state = RequestState::Running;
        open.core_time_at_start_ms = self.core_time.at(now_ms);
        self.tenants.record_start(open.request.tenant);
        actions.push(Action::StartRun { id });
        for (follower, open) in &mut self.requests.open {
            if open.follows == Some(id) && open.state == RequestState::Queued {
                open.state = RequestState::AwaitingResult;
                actions.push(Action::ReuseResult { id: *follower });
            }
        }
    }

    /// Handles the end of a run, or of an answer from a retained result.
    pub(super) fn end_run(&mut self, now_ms: f64, id: u32, outcome: Outcome, actions: &mut Vec<Action>) {
        self.stall.record_progress(now_ms);
        let Some(run) = self.requests.open.remove(&id) else { return };
        if run.state == RequestState::AwaitingResult {
            return;
        }
        if run.state == RequestState::InCall {
            self.calls.record_abandoned(now_ms, self.settings.call_linger_ms);
        }
        if outcome == Outcome::Done {
            self.learn_from_run(now_ms, &run);
        }
        if self.class_of(&run).idempotency == Idempotency::ReadOnly && self.requests.has_key(id) {
            if outcome == Outcome::Done {
                self.retain_key(now_ms, id, self.settings.read_result_ttl_ms, actions);
            } else {
                self.release_key(id, actions);
            }
        }
    }

    fn learn_from_run(&mut self, now_ms: f64, run: &OpenRequest) {
        let class = &self.settings.classes[run.request.class];
        let work_ms = (self.core_time.at(now_ms) - run.core_time_at_start_ms).max(MIN_RUN_MS);
        self.call_profile.record_calls(run.request.class, run.calls);
        self.read_delay.record_completed(run.request.read_delay_ms.max(0.0));
        self.work.record_run(&run.request, class, work_ms);
        if run.work_at_call_ms > 0.0 {
            self.call_profile.record_part_at_call(run.work_at_call_ms, work_ms);
        }
    }
}
