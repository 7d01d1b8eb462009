//! Claims: a process that has handed its keys over asks the successor before it runs a key that it does not
//! know, and the requests of that key wait for the answer.

use pinepoint_events::{FailureReason, RequestEventKind};
use pinepoint_handover::message::Claim;
use pinepoint_handover::ownership::{Denial, UnknownKey};
use pinepoint_handover::predecessor;
use pinepoint_handover::successor;

use super::replication::{local_key, shared_key};
use crate::server::core::Core;
use crate::server::core::api::{Arrival, Reply};
use crate::server::core::arrivals::{KeyClaim, deadline_ms, max_read_delay_ms};
use crate::server::core::events::received_event;
use crate::server::core::keys::{Attempt, IdempotencyKey};
use crate::server::core::runs::window_end_ms;
use crate::server::observability::counters::count;

/// Requests of one key that wait until the successor answers whether the key may run here.
pub(super) struct WaitingClaim {
    key: IdempotencyKey,
    arrivals: Vec<Arrival>,
}

impl Core {
    /// All requests that wait for a claim.
    pub(super) fn claimants(&self) -> impl Iterator<Item = &Arrival> {
        let claims = self.handover.iter().flat_map(|handover| handover.claims.values());
        claims.flat_map(|claim| &claim.arrivals)
    }

    /// Whether any claim is unanswered.
    pub(in crate::server::core) fn has_waiting_claims(&self) -> bool {
        self.handover.as_ref().is_some_and(|handover| !handover.claims.is_empty())
    }

    /// When a request that still waits for a claim fails, Unix ms.
    pub(super) fn claim_overdue_ms(&self, arrival: &Arrival) -> f64 {
        deadline_ms(&self.dependencies.site, arrival) + self.overdue_slack_ms()
    }

    /// Asks the successor whether this key may run here; the request waits for the answer.
    pub(in crate::server::core) fn claim_key(&mut self, key: IdempotencyKey, digest: u64, arrival: Arrival) {
        let class = self.class(arrival.class);
        let window_ms = class.dedup_window_ms.max(class.timeout_ms);
        let until_ms = window_end_ms(arrival.arrived_ms, window_ms);
        let Some(handover) = &mut self.handover else { return };
        if let Some(claim) = handover.claims.values_mut().find(|claim| claim.key == key) {
            claim.arrivals.push(arrival);
            return;
        }
        handover.last_claim += 1;
        let claim = Claim { id: handover.last_claim, key: shared_key(&key), digest, until_ms };
        handover.claims.insert(claim.id, WaitingClaim { key, arrivals: vec![arrival] });
        self.predecessor_event(predecessor::Event::ClaimWanted(claim));
    }

    // ---- requests that stop waiting for a claim ----

    /// Removes the waiting requests of a caller whose connection is closed; none of them runs.
    pub(in crate::server::core) fn cancel_claims_of_caller(&mut self, caller: u64) {
        let claimants = self.remove_claimants(|arrival| arrival.caller.id() == caller);
        self.report_callers_gone(&claimants);
    }

    /// Removes a waiting request that its caller gave up; it does not run.
    pub(in crate::server::core) fn cancel_claim_of_request(&mut self, caller: u64, correlation_id: u64) {
        let claimants = self.remove_claimants(|arrival| {
            arrival.caller.id() == caller && arrival.correlation_id == correlation_id
        });
        self.report_callers_gone(&claimants);
    }

    fn report_callers_gone(&self, claimants: &[Arrival]) {
        for arrival in claimants {
            let took_ms = self.now_ms - arrival.arrived_ms;
            self.emit(0, arrival.class, received_event(self.now_ms, arrival));
            self.emit(0, arrival.class, RequestEventKind::CallerGone { took_ms });
            self.dependencies.counters.count_class(arrival.class, |class| &class.gone);
        }
    }

    /// Fails the requests of this caller that wait for a claim.
    pub(in crate::server::core) fn fail_claims_of_caller(&mut self, caller: u64, reply: &Reply) {
        for arrival in self.remove_claimants(|arrival| arrival.caller.id() == caller) {
            self.answer_unadmitted(&arrival, reply);
        }
    }

    /// Fails the overdue requests that wait for a claim.
    pub(super) fn fail_overdue_claims(&mut self) {
        let (site, slack_ms, now_ms) = (self.dependencies.site.clone(), self.overdue_slack_ms(), self.now_ms);
        let is_overdue = |arrival: &Arrival| now_ms >= deadline_ms(&site, arrival) + slack_ms;
        let reply = Reply::Failed { late: true, reason: FailureReason::Overdue };
        for arrival in self.remove_claimants(is_overdue) {
            count(&self.dependencies.counters.overdue);
            self.answer_unadmitted(&arrival, &reply);
        }
    }

    /// Removes the matching requests that wait for a claim, last first. Their claims stay until they are
    /// answered: a key that is granted to no request is given back.
    fn remove_claimants(&mut self, matches: impl Fn(&Arrival) -> bool) -> Vec<Arrival> {
        let Some(handover) = &mut self.handover else { return Vec::new() };
        let mut removed = Vec::new();
        for claim in handover.claims.values_mut().rev() {
            let arrivals = std::mem::take(&mut claim.arrivals);
            let (matching, others): (Vec<_>, Vec<_>) = arrivals.into_iter().partition(&matches);
            claim.arrivals = others;
            removed.extend(matching.into_iter().rev());
        }
        removed
    }

    // ---- answers to claims ----

    fn remove_claim(&mut self, id: u64) -> Option<WaitingClaim> {
        self.handover.as_mut()?.claims.remove(&id)
    }

    /// Admits the requests of a granted claim: the first as a request of a new key, the others as its
    /// duplicates.
    pub(super) fn admit_claimants(&mut self, claim: u64) {
        let Some(WaitingClaim { key, arrivals }) = self.remove_claim(claim) else { return };
        // If the request is rejected without having been retained, the key has to be given back.
        self.mark_key_changed(&key);
        for (index, arrival) in arrivals.into_iter().enumerate() {
            let claim = if index == 0 { KeyClaim::Granted } else { KeyClaim::NotClaimed };
            self.admit(arrival, claim);
        }
    }

    /// Fails the requests of a denied claim.
    pub(super) fn fail_denied_claimants(&mut self, claim: u64, reason: Denial) {
        let Some(WaitingClaim { arrivals, .. }) = self.remove_claim(claim) else { return };
        tracing::info!(%reason, requests = arrivals.len(), "claim-denied");
        let reply = Reply::Failed { late: false, reason: FailureReason::ClaimDenied };
        for arrival in arrivals {
            self.answer_unadmitted(&arrival, &reply);
        }
    }

    /// Treats all claims as denied, because the process is about to end.
    pub(in crate::server::core) fn deny_all_claims(&mut self) {
        let claims: Vec<u64> =
            self.handover.iter().flat_map(|handover| handover.claims.keys().copied()).collect();
        claims.into_iter().for_each(|claim| self.fail_denied_claimants(claim, Denial::NoAnswer));
    }

    /// Decides on a claim of the predecessor.
    pub(super) fn decide_claim(&mut self, claim: Claim) {
        let key = local_key(claim.key);
        let granted = self.may_grant(&key);
        if granted {
            let id = self.requests.allocate_id();
            let attempt = Attempt { id, digest: claim.digest, window_end_ms: claim.until_ms };
            self.keys.insert_remote(&key, attempt);
            self.mark_key_changed(&key);
        }
        self.successor_event(successor::Event::ClaimDecided { id: claim.id, granted });
    }

    /// Whether the predecessor may run this key: this process does not know the key, and its knowledge of
    /// keys is complete.
    fn may_grant(&mut self, key: &IdempotencyKey) -> bool {
        if self.batch.keys.contains(key) {
            self.process_batch(self.now_ms);
        }
        let is_waiting =
            self.handover.iter().flat_map(|handover| handover.claims.values()).any(|claim| claim.key == *key);
        !is_waiting
            && !self.keys.is_known(key, self.earliest_claim_arrival_ms())
            && self.unknown_key_policy() == UnknownKey::Run
    }

    /// The earliest possible arrival of a claimed request, Unix ms. A claim does not carry the arrival time
    /// of its request, which may have been unread for as long as any request may.
    fn earliest_claim_arrival_ms(&self) -> f64 {
        self.now_ms - max_read_delay_ms(self.dependencies.site.settings.longest_timeout_ms())
    }
}
