//! SWIM's probes. Each period one member is pinged, in random rounds. A member that does not answer is pinged
//! through other members, and suspected if that fails too.

use std::collections::BTreeSet;

use super::dissemination::Recipient;
use super::{Action, Membership};
use crate::wire::PacketBody;

/// Members asked to probe on behalf of this one (SWIM's k). This is also the number of confirmations that
/// shorten a suspicion to its minimum.
pub(super) const INDIRECT_PROBES: usize = 3;
/// Maximum number of probes in flight.
const MAX_PROBES: usize = 8;
/// Timeout of the direct ping, periods, multiplied by the local health multiplier.
pub(super) const DIRECT_PROBE_TIMEOUT: f64 = 0.3;
/// Timeout of the whole probe, periods, multiplied by the local health multiplier.
const PROBE_TIMEOUT: f64 = 0.8;
/// Consecutive missed direct probes after which a member counts as not directly reachable.
pub(super) const UNREACHABLE_AFTER: u32 = 2;

/// A probe in flight.
pub(super) struct Probe {
    sequence: u32,
    target: u64,
    sent_ms: f64,
    /// Number of indirect probes requested, at least 1 once the direct ping has timed out; 0 before.
    indirect_requests: u32,
    nacks: u32,
}

/// State of the failure detector's probes.
pub(super) struct Probing {
    /// Keys of the members still to be probed in this round. The last key is probed next.
    pub(super) order: Vec<u64>,
    pub(super) in_flight: Vec<Probe>,
    pub(super) next_probe_ms: f64,
    /// Consecutive probes that neither the target nor a relay answered.
    pub(super) unanswered: u32,
    /// Keys of the members that missed two or more direct probes in a row.
    pub(super) unreachable_directly: BTreeSet<u64>,
    last_sequence: u32,
}

impl Probing {
    pub(super) fn new(next_probe_ms: f64) -> Self {
        Probing {
            order: Vec::new(),
            in_flight: Vec::new(),
            next_probe_ms,
            unanswered: 0,
            unreachable_directly: BTreeSet::new(),
            last_sequence: 0,
        }
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }
}

impl Membership {
    /// Sends a ping and returns its sequence number.
    pub(super) fn ping(&mut self, now: f64, to: Recipient, actions: &mut Vec<Action>) -> u32 {
        let sequence = self.probing.next_sequence();
        self.send(now, to, PacketBody::Ping { sequence }, actions);
        sequence
    }

    /// Probes the next member of the round. A round visits all members that are up, in random order.
    pub(super) fn probe_next(&mut self, now: f64, actions: &mut Vec<Action>) {
        loop {
            let Some(key) = self.probing.order.pop() else {
                self.shuffle_probe_order();
                if self.probing.order.is_empty() {
                    return;
                }
                continue;
            };
            if self.table.get(key).is_some_and(|member| member.record.is_up()) {
                self.probe(now, key, actions);
                return;
            }
        }
    }

    fn shuffle_probe_order(&mut self) {
        let mut order: Vec<u64> = self.table.up().iter().copied().collect();
        for position in (1..order.len()).rev() {
            let other = self.random_index(position + 1);
            order.swap(position, other);
        }
        self.probing.order = order;
    }

    /// Adds a new member at a random position of the current round.
    pub(super) fn insert_into_probe_order(&mut self, key: u64) {
        if self.probing.order.len() < 2 * self.table.len() {
            let position = self.random_index(self.probing.order.len() + 1);
            self.probing.order.insert(position, key);
        }
    }

    /// Probes a member, unless it is being probed or too many probes are in flight.
    pub(super) fn probe(&mut self, now: f64, target: u64, actions: &mut Vec<Action>) {
        let in_flight = &self.probing.in_flight;
        if in_flight.len() >= MAX_PROBES || in_flight.iter().any(|probe| probe.target == target) {
            return;
        }
        let Some(identity) = self.table.identity(target).cloned() else { return };
        let sequence = self.ping(now, Recipient::member(&identity), actions);
        let probe = Probe { sequence, target, sent_ms: now, indirect_requests: 0, nacks: 0 };
        self.probing.in_flight.push(probe);
    }

    /// Requests indirect probes where the direct ping has timed out, and handles probes that have failed.
    pub(super) fn check_probe_timeouts(&mut self, now: f64, actions: &mut Vec<Action>) {
        let multiplier = self.health_multiplier();
        let direct_timeout_ms = DIRECT_PROBE_TIMEOUT * self.settings.period_ms * multiplier;
        let timeout_ms = PROBE_TIMEOUT * self.settings.period_ms * multiplier;
        for position in 0..self.probing.in_flight.len() {
            let probe = &self.probing.in_flight[position];
            if probe.indirect_requests == 0 && now - probe.sent_ms >= direct_timeout_ms {
                self.request_indirect_probes(now, position, actions);
            }
        }
        let is_failed = |probe: &Probe| now - probe.sent_ms >= timeout_ms;
        let (failed, pending): (Vec<Probe>, Vec<Probe>) =
            self.probing.in_flight.drain(..).partition(is_failed);
        self.probing.in_flight = pending;
        for probe in failed {
            self.handle_probe_failure(now, &probe, actions);
        }
    }

    fn request_indirect_probes(&mut self, now: f64, position: usize, actions: &mut Vec<Action>) {
        let Probe { sequence, target, .. } = self.probing.in_flight[position];
        let Some(identity) = self.table.identity(target).cloned() else { return };
        let relays = self.random_members(INDIRECT_PROBES, Some(target));
        self.probing.in_flight[position].indirect_requests = relays.len().max(1) as u32;
        for relay in relays {
            let body = PacketBody::PingReq { sequence, target: identity.clone() };
            self.send(now, Recipient::member(&relay), body, actions);
        }
    }

    fn handle_probe_failure(&mut self, now: f64, probe: &Probe, actions: &mut Vec<Action>) {
        // If the relays do not answer either, this member itself probably does not receive packets.
        let silent_relays = probe.indirect_requests.saturating_sub(probe.nacks);
        self.local_health.worsen(silent_relays.min(1));
        self.probing.unanswered = if probe.nacks == 0 { self.probing.unanswered + 1 } else { 0 };
        self.record_missed_probe(probe.target);
        if !self.accusations_are_paused(now) {
            self.suspect(now, probe.target, actions);
        }
    }

    /// Completes the probe of this sequence number, if it is in flight.
    pub(super) fn complete_probe(&mut self, answered_by: u64, sequence: u32) {
        let in_flight = &mut self.probing.in_flight;
        let Some(position) = in_flight.iter().position(|probe| probe.sequence == sequence) else { return };
        let target = in_flight.swap_remove(position).target;
        self.local_health.improve();
        self.probing.unanswered = 0;
        if target == answered_by {
            self.record_direct_answer(target);
        } else {
            // The ack came through a relay: the target is alive, but may not be directly reachable.
            self.record_missed_probe(target);
        }
    }

    pub(super) fn count_nack(&mut self, sequence: u32) {
        let mut in_flight = self.probing.in_flight.iter_mut();
        if let Some(probe) = in_flight.find(|probe| probe.sequence == sequence) {
            probe.nacks += 1;
        }
    }

    fn record_direct_answer(&mut self, key: u64) {
        let Some(member) = self.table.get_mut(key) else { return };
        member.missed_probes = 0;
        self.probing.unreachable_directly.remove(&key);
    }

    fn record_missed_probe(&mut self, key: u64) {
        let Some(member) = self.table.get_mut(key) else { return };
        member.missed_probes += 1;
        if member.missed_probes >= UNREACHABLE_AFTER {
            self.probing.unreachable_directly.insert(key);
        } else {
            self.probing.unreachable_directly.remove(&key);
        }
    }

    /// Removes members that have left the table, or whose count of missed probes was reset, from the members
    /// that are not directly reachable.
    pub(super) fn prune_unreachable(&mut self) {
        let table = &self.table;
        let is_unreachable =
            |key: &u64| table.get(*key).is_some_and(|member| member.missed_probes >= UNREACHABLE_AFTER);
        self.probing.unreachable_directly.retain(is_unreachable);
    }
}
