//! Received packets: their records are merged into the table, and each kind of packet is answered.

use std::net::SocketAddr;

use super::dissemination::Recipient;
use super::{Action, InjectedFault, Membership, Notification, RecordRejectReason};
use crate::member::{Liveness, MemberRecord, Phase};
use crate::table::{MAX_GENERATION_AHEAD_MS, MergeOutcome};
use crate::wire::{FRAME_BYTES, MAX_DATAGRAM_BYTES, Packet, PacketBody};

/// Expected number of members that probe a newly suspected member at once, so that the suspicion is confirmed
/// or refuted soon.
const EXPECTED_VERIFIERS: f64 = 6.0;

/// The sender of a packet that is being handled.
struct Peer {
    key: u64,
    address: SocketAddr,
    /// The local record of the peer is of another process or not alive. The peer has to receive that record,
    /// so that it can refute it.
    has_to_refute: bool,
}

impl Peer {
    fn recipient(&self) -> Recipient {
        Recipient::known(self.address, self.key)
    }
}

impl Membership {
    pub(super) fn receive(&mut self, now: f64, packet: Packet, actions: &mut Vec<Action>) {
        let Packet { sender, body, updates } = packet;
        let key = sender.record.identity.key();
        if key == self.local.key() {
            self.confirm_name_conflict(now, &sender.record, actions);
            return;
        }
        if self.local.record.phase == Phase::Left {
            return;
        }
        self.advance_clock_horizon(sender.now_ms);
        self.merge_record(now, &sender.record, actions);
        let Some(member) = self.table.get(key) else { return };
        let is_current = member.record.process_id() == sender.record.process_id();
        let has_to_refute = !is_current || member.record.liveness != Liveness::Alive;
        if is_current {
            self.table.record_message(now, key, sender.load);
        }
        let peer = Peer { key, address: sender.record.identity.address, has_to_refute };
        let refutations = self.merge_updates(now, &updates, actions);
        // A pull is answered with the records of its buckets anyway.
        if !matches!(body, PacketBody::SyncPull { .. }) {
            self.send_refutations(now, peer.address, refutations, actions);
        }
        self.compare_digest(now, &sender);
        self.handle_body(now, &peer, body, actions);
    }

    /// Advances the horizon to a clock that is ahead of it by less than `MAX_GENERATION_AHEAD_MS`. Clocks
    /// further ahead are ignored.
    fn advance_clock_horizon(&mut self, clock_ms: f64) {
        let horizon_ms = self.clock_horizon_ms;
        if clock_ms > horizon_ms && clock_ms < horizon_ms + MAX_GENERATION_AHEAD_MS {
            self.clock_horizon_ms = clock_ms;
        }
    }

    fn handle_body(&mut self, now: f64, peer: &Peer, body: PacketBody, actions: &mut Vec<Action>) {
        match body {
            PacketBody::Ping { sequence } => {
                self.send(now, peer.recipient(), PacketBody::Ack { sequence }, actions);
            }
            PacketBody::PingReq { sequence, target } => {
                self.relay_probe(now, peer.address, sequence, &target, actions);
            }
            PacketBody::Ack { sequence } => {
                self.complete_probe(peer.key, sequence);
                self.forward_ack(now, sequence, actions);
            }
            PacketBody::Nack { sequence } => self.count_nack(sequence),
            PacketBody::Gossip if peer.has_to_refute => {
                self.send(now, peer.recipient(), PacketBody::Gossip, actions);
            }
            PacketBody::Gossip => {}
            PacketBody::SyncDigests { bucket_digests } => {
                self.answer_sync(now, peer.address, &bucket_digests, actions);
            }
            PacketBody::SyncPull { buckets } => self.answer_pull(now, peer.address, buckets, actions),
        }
    }

    /// Merges gossiped records. For those that are stale accusations, returns the records that override them.
    fn merge_updates(
        &mut self,
        now: f64,
        updates: &[MemberRecord],
        actions: &mut Vec<Action>,
    ) -> Vec<MemberRecord> {
        let mut refutations = Vec::new();
        for record in updates {
            let outcome = self.merge_record(now, record, actions);
            if outcome == MergeOutcome::Stale && record.liveness != Liveness::Alive {
                refutations.extend(self.record_to_gossip(record.identity.key(), 0));
            }
        }
        refutations
    }

    /// Answers stale accusations with the records that override them, as many as fit into one datagram.
    fn send_refutations(
        &mut self,
        now: f64,
        to: SocketAddr,
        mut refutations: Vec<MemberRecord>,
        actions: &mut Vec<Action>,
    ) {
        if refutations.is_empty() {
            return;
        }
        let mut remaining = MAX_DATAGRAM_BYTES - FRAME_BYTES;
        refutations.retain(|record| {
            let bytes = record.max_encoded_bytes();
            let fits = bytes <= remaining;
            remaining -= if fits { bytes } else { 0 };
            fits
        });
        let sender = self.sender_state(now);
        let packet = Packet { sender, body: PacketBody::Gossip, updates: refutations };
        actions.push(Action::Send(to, packet));
    }

    /// Merges one record, about this member or another.
    pub(super) fn merge_record(
        &mut self,
        now: f64,
        record: &MemberRecord,
        actions: &mut Vec<Action>,
    ) -> MergeOutcome {
        let key = record.identity.key();
        if key == self.local.key() {
            self.handle_record_about_self(now, record, actions);
            return MergeOutcome::Duplicate;
        }
        let previous = self.table.get(key).map(|member| member.record.clone());
        self.inject_stale_generation(now, record, previous.as_ref());
        let outcome = self.table.merge(now, self.clock_horizon_ms, record);
        match outcome {
            MergeOutcome::Applied => self.handle_update(now, previous.as_ref(), record, actions),
            MergeOutcome::Duplicate if record.liveness == Liveness::Suspected => {
                self.confirm_suspicion(key, record.accuser);
            }
            MergeOutcome::Duplicate | MergeOutcome::Stale => {}
            MergeOutcome::ForgedGeneration => {
                reject_record(RecordRejectReason::ForgedGeneration, record, actions);
            }
            MergeOutcome::TableFull => reject_record(RecordRejectReason::TableFull, record, actions),
        }
        outcome
    }

    /// Injects a fault: a record of an earlier generation is applied as if it were of the known generation.
    fn inject_stale_generation(&mut self, now: f64, record: &MemberRecord, known: Option<&MemberRecord>) {
        if self.settings.injected_fault != Some(InjectedFault::AcceptStaleGeneration) {
            return;
        }
        let Some(known) = known.filter(|known| record.generation < known.generation) else { return };
        let forged = MemberRecord {
            generation: known.generation,
            identity: known.identity.clone(),
            incarnation: known.incarnation,
            ..record.clone()
        };
        self.table.merge(now, self.clock_horizon_ms, &forged);
    }

    /// Handles a record that changed the table: gossips it, and begins or ends a suspicion.
    fn handle_update(
        &mut self,
        now: f64,
        previous: Option<&MemberRecord>,
        record: &MemberRecord,
        actions: &mut Vec<Action>,
    ) {
        let key = record.identity.key();
        self.last_change_ms = now;
        self.gossip.enqueue(key);
        let is_new_process = previous.is_none_or(|previous| previous.process_id() != record.process_id());
        if record.liveness != Liveness::Suspected {
            self.suspicions.remove(&key);
        } else if is_new_process || !self.suspicions.contains_key(&key) {
            self.begin_suspicion(now, key, record.accuser);
            self.maybe_verify_suspicion(now, record, actions);
        }
        if is_new_process && record.is_up() {
            self.insert_into_probe_order(key);
        }
        let state_changed = previous.is_none_or(|previous| {
            is_new_process || previous.liveness != record.liveness || previous.phase != record.phase
        });
        if state_changed {
            let notification = Notification::MemberChanged { record: record.clone(), is_new_process };
            actions.push(Action::Notify(notification));
        }
    }

    /// Probes a newly suspected member at once, with a probability such that only a few members of the fleet
    /// do, whatever its size.
    fn maybe_verify_suspicion(&mut self, now: f64, record: &MemberRecord, actions: &mut Vec<Action>) {
        let members = self.table.up_count() as f64;
        if record.accuser != self.accuser_key() && self.random_event(EXPECTED_VERIFIERS / members) {
            self.probe(now, record.identity.key(), actions);
        }
    }
}

pub(super) fn reject_record(reason: RecordRejectReason, record: &MemberRecord, actions: &mut Vec<Action>) {
    let member = record.identity.name.clone();
    actions.push(Action::Notify(Notification::RecordRejected { reason, member }));
}
