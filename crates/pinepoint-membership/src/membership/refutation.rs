//! The record that a member announces about itself, and its refutation of wrong records that others have
//! about it.

use std::rc::Rc;

use super::dissemination::Recipient;
use super::reception::reject_record;
use super::{Action, InjectedFault, Membership, Notification, RecordRejectReason};
use crate::member::{Identity, Liveness, Load, MemberRecord, Phase};
use crate::table::MAX_GENERATION_AHEAD_MS;
use crate::wire::PacketBody;

/// The local member.
pub(super) struct LocalMember {
    /// Key of the member's name, which never changes.
    key: u64,
    pub(super) record: MemberRecord,
    pub(super) load: Load,
    pub(super) started_ms: f64,
    pub(super) phase_since_ms: f64,
}

impl LocalMember {
    pub(super) fn new(now: f64, identity: Identity) -> Self {
        let record = MemberRecord {
            identity: Rc::new(identity),
            generation: now.max(1.0) as u64,
            incarnation: 0,
            phase: Phase::Joining,
            liveness: Liveness::Alive,
            accuser: 0,
        };
        LocalMember {
            key: record.identity.key(),
            record,
            load: Load::default(),
            started_ms: now,
            phase_since_ms: now,
        }
    }

    pub(super) fn key(&self) -> u64 {
        self.key
    }
}

impl Membership {
    /// Announces another phase of this member. [`Phase::Left`] is final.
    pub(super) fn change_phase(&mut self, now: f64, phase: Phase, actions: &mut Vec<Action>) {
        if self.local.record.phase == phase || self.local.record.phase == Phase::Left {
            return;
        }
        self.local.record.phase = phase;
        self.local.phase_since_ms = now;
        self.raise_incarnation(now);
        if phase == Phase::Left {
            self.announce_leave(now, actions);
        }
    }

    /// Sends the last update at once to several members, because this member sends nothing after it has left.
    fn announce_leave(&mut self, now: f64, actions: &mut Vec<Action>) {
        let count = self.transmission_limit() as usize;
        for identity in self.random_members(count, None) {
            self.send(now, Recipient::member(&identity), PacketBody::Gossip, actions);
        }
    }

    /// Makes the local record override the records that others have of this process.
    pub(super) fn raise_incarnation(&mut self, now: f64) {
        self.local.record.incarnation = self.local.record.incarnation.saturating_add(1);
        self.last_change_ms = now;
        self.gossip.enqueue(self.local.key());
    }

    /// Makes the local record override those of a process of this name whose generation is `above`.
    pub(super) fn raise_generation(&mut self, now: f64, above: u64, actions: &mut Vec<Action>) {
        if above < self.local.record.generation {
            return;
        }
        self.local.record.generation = above + 1;
        self.local.record.incarnation = 0;
        self.raise_incarnation(now);
        let generation = self.local.record.generation;
        actions.push(Action::Notify(Notification::GenerationRaised(generation)));
    }

    /// Handles a record about this member that another member has sent.
    pub(super) fn handle_record_about_self(
        &mut self,
        now: f64,
        record: &MemberRecord,
        actions: &mut Vec<Action>,
    ) {
        if record.identity.instance != self.local.record.identity.instance {
            self.handle_record_of_other_process(now, record, actions);
            return;
        }
        let local = &self.local.record;
        if record.generation != local.generation || record.precedence() <= local.precedence() {
            return;
        }
        if self.settings.injected_fault != Some(InjectedFault::NoRefutation) {
            self.refute(now, record, actions);
        }
    }

    /// Overrides a record in which this process is suspected or lost.
    fn refute(&mut self, now: f64, record: &MemberRecord, actions: &mut Vec<Action>) {
        if record.incarnation == u32::MAX {
            // The largest incarnation can only be overridden by a later generation.
            self.raise_generation(now, self.local.record.generation, actions);
            return;
        }
        self.local.record.incarnation = record.incarnation;
        self.raise_incarnation(now);
        self.local_health.worsen(1);
        actions.push(Action::Notify(Notification::Refuted(record.liveness)));
    }

    /// Handles a record of another process of this name: an earlier process of this member, or a process with
    /// the same name.
    fn handle_record_of_other_process(&mut self, now: f64, record: &MemberRecord, actions: &mut Vec<Action>) {
        let local = &self.local.record;
        if record.generation < local.generation {
            // Some member knows only the earlier process.
            self.gossip.enqueue(self.local.key());
            return;
        }
        if record.generation as f64 > self.clock_horizon_ms + MAX_GENERATION_AHEAD_MS {
            reject_record(RecordRejectReason::ForgedGeneration, record, actions);
            return;
        }
        if record.identity.address == local.identity.address || record.phase == Phase::Left {
            self.raise_generation(now, record.generation, actions);
        } else {
            self.check_name_conflict(now, record, actions);
        }
    }
}
