//! One member's part in the membership protocol: which members it probes and suspects, what it gossips, and
//! what it announces about itself. A state machine: events and the time go in, actions come out. It does no
//! I/O and reads no clock.
//!
//! From SWIM (Das, Gupta, Motivala, DSN 2002) come probing in random rounds, indirect probes, suspicion,
//! incarnations, and gossip piggybacked on probes. From Lifeguard (Dadgar, Phillips, Currey, 2017) come the
//! local health multiplier, suspicions that shorten with confirmations, and notifying the suspected member
//! first. Beyond these, the protocol has generations, anti-entropy by digests of buckets, probes of lost
//! members, and separate gossip packets between probes while updates are pending.

mod anti_entropy;
mod discovery;
mod dissemination;
mod event;
mod heartbeat;
mod local_health;
mod name_conflict;
mod probing;
mod reception;
mod refutation;
mod relay;
mod sampling;
mod settings;
mod suspicion;
mod view;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::diagnosis::{DiagnosisEngine, LocalObservation, Verdict};
use crate::member::{Identity, MemberRecord, Phase};
use crate::table::MemberTable;
use anti_entropy::AntiEntropy;
use dissemination::GossipQueue;
pub use event::{Action, Event, Notification, RecordRejectReason};
use local_health::LocalHealth;
use name_conflict::NameConflict;
use probing::Probing;
use refutation::LocalMember;
use relay::RelayedProbe;
pub use settings::{FailureDetector, InjectedFault, MembershipSettings};
use suspicion::Suspicion;
pub use view::{MemberView, MembershipView};

/// Ticks in a period. Pending updates are gossiped once per tick.
const TICKS_PER_PERIOD: f64 = 5.0;

/// The protocol state of one member.
pub struct Membership {
    settings: MembershipSettings,
    random: Pcg64Mcg,
    local: LocalMember,
    seeds: Vec<SocketAddr>,
    table: MemberTable,
    diagnosis: DiagnosisEngine,
    probing: Probing,
    relays: VecDeque<RelayedProbe>,
    suspicions: BTreeMap<u64, Suspicion>,
    gossip: GossipQueue,
    local_health: LocalHealth,
    anti_entropy: AntiEntropy,
    name_conflict: Option<NameConflict>,
    next_tick_ms: f64,
    next_maintenance_ms: f64,
    last_change_ms: f64,
    /// The latest plausible clock received from any member. Generations far beyond it are rejected.
    clock_horizon_ms: f64,
    /// The last reported value of [`Membership::is_settled`].
    was_settled: bool,
}

impl Membership {
    /// A member that starts at `now`, Unix ms, and knows no other member. Its generation is that time, unless
    /// other members know a later generation of it. `seeds` are the addresses to contact first; all random
    /// choices follow from `random_seed`.
    pub fn new(
        settings: MembershipSettings,
        now: f64,
        identity: Identity,
        seeds: Vec<SocketAddr>,
        random_seed: u64,
    ) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(random_seed);
        // Spreads the first probes of members that start at the same instant over a period.
        let offset = random.next_u32() as f64 / f64::from(u32::MAX);
        let first_probe_ms = now + settings.period_ms * offset;
        let local = LocalMember::new(now, identity);
        Membership {
            settings,
            random,
            seeds,
            table: MemberTable::new(settings.max_members.saturating_sub(1)),
            diagnosis: DiagnosisEngine::new(settings.diagnosis, settings.period_ms),
            probing: Probing::new(first_probe_ms),
            relays: VecDeque::new(),
            suspicions: BTreeMap::new(),
            gossip: GossipQueue::with(local.key()),
            local,
            local_health: LocalHealth::default(),
            anti_entropy: AntiEntropy::new(now),
            name_conflict: None,
            next_tick_ms: now + (first_probe_ms - now) / TICKS_PER_PERIOD,
            next_maintenance_ms: first_probe_ms,
            last_change_ms: now,
            clock_horizon_ms: now,
            was_settled: false,
        }
    }

    /// Fills the table as if this member had been running for long, for simulations of large fleets.
    #[doc(hidden)]
    pub fn preload<'a>(&mut self, now: f64, records: impl Iterator<Item = &'a MemberRecord>) {
        for record in records.filter(|record| record.identity.key() != self.local.key()) {
            self.table.merge(now, self.clock_horizon_ms, record);
        }
        self.gossip.clear();
    }

    /// When [`Event::Tick`] is due, Unix ms.
    pub fn next_due(&self) -> f64 {
        self.next_tick_ms
    }

    /// The record of this member itself.
    pub fn local_record(&self) -> &MemberRecord {
        &self.local.record
    }

    /// The other members that this member knows.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Digest of this member's view. Members with equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.table.digest(&self.local.record)
    }

    /// The active verdicts.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.diagnosis.verdicts()
    }

    /// Handles one event at `now`, Unix ms, and appends the actions that follow from it. Time may jump in
    /// either direction; a member treats a forward jump as a stall of its own process.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        self.clock_horizon_ms = self.clock_horizon_ms.max(now);
        self.detect_stall(now, actions);
        match event {
            Event::Tick => self.tick(now, actions),
            Event::PacketReceived(packet) => self.receive(now, packet, actions),
            Event::ConnectionRefused(address) => self.table.record_connection_refused(address),
            Event::LoadChanged(load) => self.local.load = load,
            Event::PhaseChanged(phase) => self.change_phase(now, phase, actions),
        }
    }

    fn tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        if now < self.next_tick_ms {
            return;
        }
        self.schedule_next_tick(now);
        if self.local.record.phase == Phase::Left {
            return;
        }
        self.check_probe_timeouts(now, actions);
        self.expire_suspicions(now, actions);
        self.check_relay_timeouts(now, actions);
        let uses_heartbeat = self.settings.detector == FailureDetector::Heartbeat;
        if now >= self.probing.next_probe_ms {
            self.probing.next_probe_ms = now + self.settings.period_ms * self.health_multiplier();
            if uses_heartbeat {
                self.send_heartbeats(now, actions);
            } else {
                self.probe_next(now, actions);
            }
        }
        if now >= self.next_maintenance_ms {
            self.next_maintenance_ms = now + self.settings.period_ms;
            self.maintain(now, actions);
        }
        if !uses_heartbeat {
            self.gossip_to_random_members(now, actions);
        }
        self.sync_with_divergent_peer(now, actions);
        self.report_settled(now, actions);
    }

    /// Keeps ticks at a fixed rate; after a delay of more than one tick, the rate restarts from `now`.
    fn schedule_next_tick(&mut self, now: f64) {
        let interval_ms = self.settings.period_ms / TICKS_PER_PERIOD;
        let is_late = now - self.next_tick_ms > interval_ms;
        self.next_tick_ms = if is_late { now + interval_ms } else { self.next_tick_ms + interval_ms };
    }

    /// Runs the tasks that are due once a period, whatever the local health.
    fn maintain(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.discover(now, actions);
        self.expire_name_conflict(now, actions);
        let left_before_ms = now - self.settings.left_retention_ms;
        let lost_before_ms = now - self.settings.lost_retention_ms;
        if self.table.expire(left_before_ms, lost_before_ms) > 0 {
            self.last_change_ms = now;
        }
        self.prune_unreachable();
        self.diagnose(now, actions);
    }

    fn diagnose(&mut self, now: f64, actions: &mut Vec<Action>) {
        let observation = LocalObservation {
            zone: &self.local.record.identity.zone,
            uptime_ms: now - self.local.started_ms,
            is_recovering: self.local_health.is_paused(now),
            unanswered_probes: self.probing.unanswered,
            health_multiplier: self.health_multiplier(),
            unreachable_directly: &self.probing.unreachable_directly,
        };
        let mut changes = Vec::new();
        self.diagnosis.evaluate(now, observation, &self.table, &mut changes);
        let notifications = changes.into_iter().map(Notification::VerdictChanged);
        actions.extend(notifications.map(Action::Notify));
    }

    fn report_settled(&mut self, now: f64, actions: &mut Vec<Action>) {
        let settled = self.is_settled(now);
        if settled != self.was_settled {
            self.was_settled = settled;
            actions.push(Action::Notify(Notification::SettledChanged(settled)));
        }
    }
}
