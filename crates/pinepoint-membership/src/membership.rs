//! One member's part in keeping the view: whom it asks, whom it suspects, what it passes on, what it says of itself. It owns
//! these decisions; it must never do I/O or read a clock. Events and the time go in, actions come out.
//!
//! SWIM (Das, Gupta, Motivala, DSN 2002): random-round probing, indirect probes, suspicion, incarnations, news that ride on
//! probes. Lifeguard (Dadgar, Phillips, Currey, 2017): own trouble stretches own waits, suspicion times shrink with
//! confirmations, the accused is told at once. Beside these: starts, digests with repair by buckets, lost members that are
//! asked again, and news spread on their own between probes while there are any.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use pinepoint_events::reason_codes;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::diagnosis::{self, DiagnosisEngine, LocalObservation, Verdict, VerdictChange};
use crate::member::{Identity, Liveness, Load, MemberRecord, Phase};
use crate::table::{MemberTable, MergeOutcome, bucket};
use crate::wire::{BUCKET_COUNT, FRAME_BYTES, MAX_DATAGRAM_BYTES, Packet, PacketBody, SenderState};

/// Steps in a period: news spread on their own once in each.
const TICKS_PER_PERIOD: f64 = 5.0;
/// Members that are asked to ask in one's place, and confirmations that shorten a suspicion to its least.
const INDIRECT_PROBES: usize = 3;
/// To how many news go in a step.
const GOSSIP_FANOUT: usize = 3;
/// Parts of a period: till helpers are asked, till a question has failed, a clock's gap that counts as a stop.
const DIRECT_PROBE_TIMEOUT: f64 = 0.3;
const PROBE_TIMEOUT: f64 = 0.8;
const STALL_THRESHOLD: f64 = 0.6;
/// Most that own trouble stretches waits by, beside once.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Questions under way at once, questions for others, datagrams of one repair.
const MAX_PROBES: usize = 8;
const MAX_RELAYED_PROBES: usize = 64;
const MAX_SYNC_DATAGRAMS: usize = 4;
/// Seeds asked in a period by one that knows nobody.
const SEEDS_PER_PERIOD: usize = 3;
/// Among how many a suspicion makes others ask at once.
const EXPECTED_VERIFIERS: f64 = 6.0;
/// Periods without change till the view may be settled; between repairs while it changes; till a rival that says nothing is
/// held to be gone.
const SETTLED_AFTER: f64 = 3.0;
const MAX_SYNC_INTERVAL: f64 = 5.0;
const NAME_CONFLICT_TIMEOUT: f64 = 2.0;
/// Periods after which the plain heartbeat holds a silent member lost.
const HEARTBEAT_TIMEOUT: f64 = 5.0;

/// How members are watched. The others than the first are what it is measured against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FailureDetector {
    /// SWIM with own trouble, as described above.
    #[default]
    Lifeguard,
    /// SWIM without own trouble and with fixed times of suspicion.
    Swim,
    /// Everybody tells everybody once a period.
    Heartbeat,
}

/// A fault that is built in for tests that have to find it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// The accused says nothing.
    NoRefutation,
    /// An earlier start overrides a later one.
    AcceptStaleGeneration,
}

/// What holds for a member. All times are ms.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Between two questions of one member.
    pub period_ms: f64,
    /// How members are watched.
    pub detector: FailureDetector,
    /// Members that are known at most.
    pub members: usize,
    /// Who left is known for so long, and who was lost is known and asked again.
    pub keep_left_ms: f64,
    /// See above.
    pub keep_lost_ms: f64,
    /// Of verdicts.
    pub judge: diagnosis::DiagnosisSettings,
    #[doc(hidden)]
    pub fault: Option<InjectedFault>,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
            period_ms: 1000.0,
            detector: FailureDetector::Lifeguard,
            members: 4096,
            keep_left_ms: 600_000.0,
            keep_lost_ms: 86_400_000.0,
            judge: diagnosis::DiagnosisSettings::default(),
            fault: None,
        }
    }
}

/// What reaches a member.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed: [`Membership::next_due`] is over.
    Tick,
    /// A message came.
    PacketReceived(Packet),
    /// The system says that nobody listens at this address.
    ConnectionRefused(SocketAddr),
    /// How this member is loaded.
    LoadChanged(Load),
    /// What this member is to tell of itself from now on.
    PhaseChanged(Phase),
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send this there.
    Send(SocketAddr, Packet),
    /// Tell whoever watches.
    Notify(Notification),
}

reason_codes! {
    /// Why a saying was not believed.
    RecordRejectReason {
        /// Its start lies in the future.
        ForgedGeneration = "forged-start",
        /// As many members are known as may be.
        TableFull = "full",
    }
}

/// What is worth telling.
#[derive(Clone, Debug, PartialEq)]
pub enum Notification {
    /// A member is known anew, or its phase, standing or start has changed.
    MemberChanged {
        /// As it is now.
        record: MemberRecord,
        /// It was not known, or it is another life.
        new: bool,
    },
    /// A verdict holds, or no longer.
    VerdictChanged(VerdictChange),
    /// This member was stopped or starved for so long, ms.
    Stalled(f64),
    /// This member was held suspected or lost, and refutes that.
    Refuted(Liveness),
    /// Others knew a later start of this member: it goes on from that.
    GenerationRaised(u64),
    /// Something was not believed.
    RecordRejected(RecordRejectReason, String),
    /// The view is settled, or no longer.
    SettledChanged(bool),
}

struct Probe {
    seq: u32,
    target: u64,
    sent_ms: f64,
    helpers: u32,
    nacks: u32,
}

struct RelayedProbe {
    seq: u32,
    origin: SocketAddr,
    origin_seq: u32,
    nack_ms: Option<f64>,
    over_ms: f64,
}

struct Suspicion {
    began_ms: f64,
    accusers: Vec<u32>,
    least_ms: f64,
    most_ms: f64,
}

impl Suspicion {
    /// When it is over, by the law of Lifeguard: the more have accused independently, the sooner.
    fn over_ms(&self) -> f64 {
        let confirmed = (self.accusers.len().max(1) as f64).ln() / ((INDIRECT_PROBES + 1) as f64).ln();
        self.began_ms + (self.most_ms - (self.most_ms - self.least_ms) * confirmed).max(self.least_ms)
    }
}

struct NameConflict {
    record: MemberRecord,
    since_ms: f64,
}

/// A member's view as others may read it.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct MembershipView {
    /// The member whose view it is.
    #[serde(rename = "self")]
    pub own: String,
    /// Nothing changes, and those heard lately hold the same.
    pub settled: bool,
    /// The same in all views that are equal.
    pub digest: String,
    /// Judgements over more than one member.
    pub verdicts: Vec<Verdict>,
    /// All members, this one included, by name.
    pub members: Vec<MemberView>,
}

/// A member in a view.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its phase, or `suspected` or `lost`.
    pub state: &'static str,
    /// Its start.
    pub start: u64,
    /// For how long it is in this state here, ms.
    pub age_ms: f64,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Cores of its engine.
    pub cores: u16,
    /// Its load, if a message came from itself, and how old that is, ms.
    pub load: Option<(Load, f64)>,
}

/// One member.
pub struct Membership {
    rules: MembershipSettings,
    random: Pcg64Mcg,
    own: MemberRecord,
    load: Load,
    began_ms: f64,
    own_since_ms: f64,
    seeds: Vec<SocketAddr>,
    table: MemberTable,
    judge: DiagnosisEngine,
    order: Vec<u64>,
    probes: Vec<Probe>,
    relays: VecDeque<RelayedProbe>,
    suspects: BTreeMap<u64, Suspicion>,
    /// What is passed on, and how often it was.
    news: BTreeMap<u64, u32>,
    trouble: u32,
    unanswered: u32,
    /// Members that did not answer directly, twice or more in a row.
    dubious: BTreeSet<u64>,
    quiet_until_ms: f64,
    seq: u32,
    step_ms: f64,
    probe_ms: f64,
    period_ms: f64,
    changed_ms: f64,
    agreed_ms: f64,
    differed: Option<(f64, SocketAddr, u32)>,
    repaired_ms: f64,
    horizon_ms: f64,
    rival: Option<NameConflict>,
    settled: bool,
}

impl Membership {
    /// A member that knows nobody yet, at this time. Its start is the time unless others know a later one.
    pub fn new(
        rules: MembershipSettings,
        now: f64,
        identity: Identity,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let record = MemberRecord {
            identity: Rc::new(identity),
            start: now.max(1.0) as u64,
            incarnation: 0,
            phase: Phase::Joining,
            liveness: Liveness::Alive,
            by: 0,
        };
        // All that start in one instant are spread over a period.
        let first = now + rules.period_ms * (random.next_u32() as f64 / f64::from(u32::MAX));
        let own_key = record.identity.key();
        Membership {
            rules,
            random,
            own: record,
            load: Load::default(),
            began_ms: now,
            own_since_ms: now,
            seeds,
            table: MemberTable::new(rules.members.saturating_sub(1)),
            judge: DiagnosisEngine::new(rules.judge, rules.period_ms),
            order: Vec::new(),
            probes: Vec::new(),
            relays: VecDeque::new(),
            suspects: BTreeMap::new(),
            news: BTreeMap::from([(own_key, 0)]),
            trouble: 0,
            unanswered: 0,
            dubious: BTreeSet::new(),
            quiet_until_ms: f64::NEG_INFINITY,
            seq: 0,
            step_ms: now + (first - now) / TICKS_PER_PERIOD,
            probe_ms: first,
            period_ms: first,
            changed_ms: now,
            agreed_ms: f64::NEG_INFINITY,
            differed: None,
            repaired_ms: now,
            horizon_ms: now,
            rival: None,
            settled: false,
        }
    }

    /// A member that knows these already, as one that has been there for long: for simulations of large fleets.
    #[doc(hidden)]
    pub fn preload<'a>(&mut self, now: f64, records: impl Iterator<Item = &'a MemberRecord>) {
        for record in records.filter(|record| record.identity.key() != self.own.identity.key()) {
            self.table.take(now, self.horizon_ms, record);
        }
        self.news.clear();
    }

    /// When [`Event::Tick`] is due, ms.
    pub fn next_due(&self) -> f64 {
        self.step_ms
    }

    /// What this member says of itself.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// The members that it knows.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Digest of its view.
    pub fn digest(&self) -> u64 {
        self.table.digest(&self.own)
    }

    /// The verdicts that hold.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.judge.verdicts()
    }

    /// Whether nothing changes and those heard lately hold the same.
    pub fn is_settled(&self, now: f64) -> bool {
        let quiet = SETTLED_AFTER * self.rules.period_ms;
        let alone = self.table.up() == 0;
        let differs = self.differed.is_some_and(|(at, ..)| now - at < quiet);
        now - self.changed_ms >= quiet
            && self.suspects.is_empty()
            && self.rival.is_none()
            && (alone || (now - self.agreed_ms < quiet && !differs))
    }

    /// The view in figures.
    pub fn figures(&self, now: f64) -> pinepoint_events::MembershipSummary {
        pinepoint_events::MembershipSummary {
            up: self.table.up() as u32 + 1,
            suspected: self.suspects.len() as u32,
            lost: self.table.lost().len() as u32,
            verdicts: self.judge.verdicts().count() as u32,
            settled: self.is_settled(now),
        }
    }

    /// The view.
    pub fn view(&self, now: f64) -> MembershipView {
        let seen = |record: &MemberRecord, since_ms: f64, load: Option<(Load, f64)>| MemberView {
            name: record.identity.name.clone(),
            zone: record.identity.zone.clone(),
            state: record.state(),
            start: record.start,
            age_ms: (now - since_ms).max(0.0),
            address: record.identity.address,
            cores: record.identity.cores,
            load,
        };
        let others = self.table.iter().map(|(_, member)| {
            let load = member.heard_ms.is_finite().then_some((member.load, now - member.heard_ms));
            seen(&member.record, member.since_ms, load)
        });
        let mut members: Vec<MemberView> = others.collect();
        members.push(seen(&self.own, self.own_since_ms, Some((self.load, 0.0))));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        MembershipView {
            own: self.own.identity.name.clone(),
            settled: self.is_settled(now),
            digest: format!("{:016x}", self.digest()),
            verdicts: self.judge.verdicts().cloned().collect(),
            members,
        }
    }

    /// Takes one event.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        self.horizon_ms = self.horizon_ms.max(now);
        self.notice_gap(now, out);
        match event {
            Event::Tick => self.tick(now, out),
            Event::PacketReceived(packet) => self.packet(now, packet, out),
            Event::ConnectionRefused(address) => {
                let there: Vec<u64> = self.table.at(address).collect();
                for key in there {
                    if let Some(member) = self.table.get_mut(key) {
                        member.refused = true;
                    }
                }
            }
            Event::LoadChanged(load) => self.load = load,
            Event::PhaseChanged(phase) => self.change_phase(now, phase, out),
        }
    }

    // ---- random numbers, times, own trouble ----

    fn below(&mut self, n: usize) -> usize {
        (self.random.next_u64() % n.max(1) as u64) as usize
    }

    /// Some members that are up, other than this one, each once. Costs as many draws as are wanted, not as there are members.
    fn some(&mut self, n: usize, but: u64) -> Vec<Rc<Identity>> {
        let all = self.table.up();
        let others = all - usize::from(self.table.ups().contains(&but));
        let mut keys: Vec<u64> = Vec::new();
        if others <= 4 * n {
            keys.extend(self.table.ups().iter().filter(|key| **key != but));
            while keys.len() > n {
                let at = self.below(keys.len());
                keys.swap_remove(at);
            }
        }
        while keys.len() < n.min(others) {
            let at = self.below(all);
            let key = self.table.ups()[at];
            if key != but && !keys.contains(&key) {
                keys.push(key);
            }
        }
        keys.into_iter().filter_map(|key| self.table.identity(key).cloned()).collect()
    }

    fn minds_itself(&self) -> bool {
        self.rules.detector == FailureDetector::Lifeguard
    }

    /// How much own waits are stretched.
    fn stretch(&self) -> f64 {
        if self.minds_itself() { f64::from(self.trouble + 1) } else { 1.0 }
    }

    fn worse(&mut self, by: u32) {
        self.trouble = (self.trouble + by).min(MAX_LOCAL_HEALTH);
    }

    /// A clock that jumped, or a process that was not run: what it holds to be unanswered may have been answered. It accuses
    /// nobody for a while, and what ran out meanwhile did not.
    fn notice_gap(&mut self, now: f64, out: &mut Vec<Action>) {
        let late = now - self.step_ms;
        if !self.minds_itself() || late < STALL_THRESHOLD * self.rules.period_ms {
            return;
        }
        self.worse(2);
        self.probes.clear();
        self.relays.clear();
        // What refuted them meanwhile was not heard: they begin anew, and others are asked for what they hold.
        self.suspects.values_mut().for_each(|suspicion| suspicion.began_ms = now);
        for identity in self.some(INDIRECT_PROBES, 0) {
            self.ask_for_repair(now, identity.address, out);
        }
        self.quiet_until_ms = now + self.rules.period_ms * self.stretch();
        (self.step_ms, self.probe_ms, self.period_ms) = (now, now, now);
        out.push(Action::Notify(Notification::Stalled(late)));
    }

    // ---- messages out ----

    fn sender(&self, now: f64) -> SenderState {
        SenderState {
            record: self.own.clone(),
            load: Load { up_s: ((now - self.began_ms).max(0.0) / 1000.0) as u32, ..self.load },
            digest: self.digest(),
            known: self.table.len() as u32,
            now_ms: now,
        }
    }

    /// The saying that is passed on about a member.
    fn saying(&self, key: u64, turn: u32) -> Option<MemberRecord> {
        if key == self.own.identity.key() {
            return Some(self.own.clone());
        }
        let mut record = self.table.get(key)?.record.clone();
        if let Some(suspicion) = self.suspects.get(&key).filter(|s| !s.accusers.is_empty()) {
            record.by = suspicion.accusers[turn as usize % suspicion.accusers.len()];
        }
        Some(record)
    }

    /// How often a saying is passed on: grows as the logarithm of the fleet.
    fn passes(&self) -> u32 {
        4 * ((self.table.len() + 2) as f64).log10().ceil() as u32
    }

    /// Sayings that fit into so many bytes: what the receiver most needs to know first, then what was passed on least.
    fn pick_news(&mut self, to: Option<u64>, room: usize) -> Vec<MemberRecord> {
        let (mut picked, mut left) = (Vec::new(), room);
        if let Some(record) = to.and_then(|key| self.saying(key, 0)).filter(|r| r.liveness != Liveness::Alive)
        {
            left = left.saturating_sub(record.size());
            picked.push(record);
        }
        let mut waiting: Vec<(u32, u64)> = self.news.iter().map(|(key, sent)| (*sent, *key)).collect();
        waiting.sort_unstable();
        let most = self.passes();
        for (sent, key) in waiting {
            let Some(record) = self.saying(key, sent) else {
                self.news.remove(&key);
                continue;
            };
            if record.size() > left {
                break;
            }
            left -= record.size();
            picked.push(record);
            if sent + 1 >= most {
                self.news.remove(&key);
            } else {
                self.news.insert(key, sent + 1);
            }
        }
        picked
    }

    fn send(&mut self, now: f64, to: (SocketAddr, Option<u64>), body: PacketBody, out: &mut Vec<Action>) {
        let frame = match body {
            PacketBody::SyncDigests { .. } => MAX_DATAGRAM_BYTES,
            PacketBody::PingReq { .. } => 2 * FRAME_BYTES,
            _ => FRAME_BYTES,
        };
        let news = self.pick_news(to.1, MAX_DATAGRAM_BYTES - frame);
        out.push(Action::Send(to.0, Packet { from: self.sender(now), body, news }));
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    fn ping(&mut self, now: f64, to: (SocketAddr, Option<u64>), out: &mut Vec<Action>) -> u32 {
        let seq = self.next_seq();
        self.send(now, to, PacketBody::Ping { seq }, out);
        seq
    }

    // ---- time ----

    fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        let step = self.rules.period_ms / TICKS_PER_PERIOD;
        if now < self.step_ms {
            return;
        }
        self.step_ms = if now - self.step_ms > step { now + step } else { self.step_ms + step };
        if self.own.phase == Phase::Left {
            return;
        }
        self.follow_probes(now, out);
        self.end_suspicions(now, out);
        self.follow_relays(now, out);
        if now >= self.probe_ms {
            self.probe_ms = now + self.rules.period_ms * self.stretch();
            match self.rules.detector {
                FailureDetector::Heartbeat => self.beat(now, out),
                _ => self.probe_next(now, out),
            }
        }
        if now >= self.period_ms {
            self.period_ms = now + self.rules.period_ms;
            self.each_period(now, out);
        }
        if !self.news.is_empty() && self.rules.detector != FailureDetector::Heartbeat {
            for identity in self.some(GOSSIP_FANOUT, 0) {
                if self.news.is_empty() {
                    break;
                }
                self.send(now, (identity.address, Some(identity.key())), PacketBody::Gossip, out);
            }
        }
        self.repair(now, out);
        let settled = self.is_settled(now);
        if settled != self.settled {
            self.settled = settled;
            out.push(Action::Notify(Notification::SettledChanged(settled)));
        }
    }

    fn each_period(&mut self, now: f64, out: &mut Vec<Action>) {
        self.find_others(now, out);
        if let Some(rival) = &self.rival
            && now - rival.since_ms >= NAME_CONFLICT_TIMEOUT * self.rules.period_ms
        {
            let start = rival.record.start;
            self.rival = None;
            self.raise_start(now, start, out);
        }
        let forgotten = self.table.forget(now - self.rules.keep_left_ms, now - self.rules.keep_lost_ms);
        if forgotten > 0 {
            self.changed_ms = now;
        }
        let table = &self.table;
        self.dubious.retain(|key| table.get(*key).is_some_and(|member| member.unanswered >= 2));
        let mut changes = Vec::new();
        let identity = self.own.identity.clone();
        let own = LocalObservation {
            zone: &identity.zone,
            up_ms: now - self.began_ms,
            in_trouble: now < self.quiet_until_ms,
            unanswered: self.unanswered,
            stretch: self.stretch(),
            dubious: &self.dubious,
        };
        self.judge.judge(now, own, &self.table, &mut changes);
        out.extend(changes.into_iter().map(|change| Action::Notify(Notification::VerdictChanged(change))));
    }

    /// Asks seeds while nobody is known, and now and then one that is nobody's address: what was never one fleet, or fell
    /// apart for longer than the lost are kept, finds together through them. Of the lost one is asked again now and then.
    fn find_others(&mut self, now: f64, out: &mut Vec<Action>) {
        let up = self.table.up();
        let asked = if up == 0 { SEEDS_PER_PERIOD } else { usize::from(self.below(10) == 0) };
        let first = self.below(self.seeds.len());
        for at in (0..self.seeds.len()).take(asked) {
            let seed = self.seeds[(first + at) % self.seeds.len()];
            let known = self.table.at(seed).any(|key| self.table.ups().contains(&key));
            if seed != self.own.identity.address && !known {
                self.ping(now, (seed, None), out);
            }
        }
        let lost = self.table.lost().len();
        // As many as are up share the work.
        if lost > 0 && (up < 2 * lost || self.below(2) == 0) {
            let at = self.below(lost);
            let key = self.table.lost().iter().nth(at).copied();
            if let Some((key, identity)) = key.and_then(|key| Some((key, self.table.identity(key).cloned()?)))
            {
                self.ping(now, (identity.address, Some(key)), out);
            }
        }
    }

    fn beat(&mut self, now: f64, out: &mut Vec<Action>) {
        let silent = now - HEARTBEAT_TIMEOUT * self.rules.period_ms;
        let all: Vec<(u64, Rc<Identity>, bool)> = self
            .table
            .iter()
            .filter(|(_, m)| m.record.is_up())
            .map(|(key, m)| (key, m.record.identity.clone(), m.heard_ms.max(m.since_ms) < silent))
            .collect();
        for (key, identity, is_silent) in all {
            self.send(now, (identity.address, Some(key)), PacketBody::Gossip, out);
            if is_silent {
                self.hold(now, key, Liveness::Lost, out);
            }
        }
    }

    // ---- questions ----

    fn probe_next(&mut self, now: f64, out: &mut Vec<Action>) {
        loop {
            let Some(key) = self.order.pop() else {
                self.order = self.table.ups().iter().copied().collect();
                for at in (1..self.order.len()).rev() {
                    let other = self.below(at + 1);
                    self.order.swap(at, other);
                }
                if self.order.is_empty() {
                    return;
                }
                continue;
            };
            if self.table.get(key).is_some_and(|m| m.record.is_up()) {
                self.probe(now, key, out);
                return;
            }
        }
    }

    fn probe(&mut self, now: f64, key: u64, out: &mut Vec<Action>) {
        if self.probes.len() >= MAX_PROBES || self.probes.iter().any(|probe| probe.target == key) {
            return;
        }
        let Some(identity) = self.table.identity(key).cloned() else { return };
        let seq = self.ping(now, (identity.address, Some(key)), out);
        self.probes.push(Probe { seq, target: key, sent_ms: now, helpers: 0, nacks: 0 });
    }

    fn follow_probes(&mut self, now: f64, out: &mut Vec<Action>) {
        let (period, stretch) = (self.rules.period_ms, self.stretch());
        for at in 0..self.probes.len() {
            let Probe { seq, target, sent_ms, helpers, .. } = self.probes[at];
            if helpers == 0 && now - sent_ms >= DIRECT_PROBE_TIMEOUT * period * stretch {
                let Some(identity) = self.table.identity(target).cloned() else { continue };
                let asked = self.some(INDIRECT_PROBES, target);
                self.probes[at].helpers = asked.len().max(1) as u32;
                for helper in asked {
                    let body = PacketBody::PingReq { seq, target: identity.clone() };
                    self.send(now, (helper.address, Some(helper.key())), body, out);
                }
            }
        }
        let failed = |probe: &Probe| now - probe.sent_ms >= PROBE_TIMEOUT * period * stretch;
        let (over, going): (Vec<Probe>, Vec<Probe>) = self.probes.drain(..).partition(failed);
        self.probes = going;
        for probe in over {
            // Helpers that say nothing either are a sign that it is this member that does not hear.
            let silent = probe.helpers.saturating_sub(probe.nacks);
            self.worse(silent.min(1));
            self.unanswered = if probe.nacks == 0 { self.unanswered + 1 } else { 0 };
            self.note_direct(probe.target, false);
            if !self.minds_itself() || now >= self.quiet_until_ms {
                self.accuse(now, probe.target, out);
            }
        }
    }

    fn follow_relays(&mut self, now: f64, out: &mut Vec<Action>) {
        let due: Vec<(SocketAddr, u32)> = self
            .relays
            .iter_mut()
            .filter(|relay| relay.nack_ms.is_some_and(|at| at <= now))
            .map(|relay| {
                relay.nack_ms = None;
                (relay.origin, relay.origin_seq)
            })
            .collect();
        for (origin, seq) in due {
            self.send(now, (origin, None), PacketBody::Nack { seq }, out);
        }
        self.relays.retain(|relay| relay.over_ms > now);
    }

    // ---- suspicion ----

    fn by(&self) -> u32 {
        (self.own.identity.key() as u32) | 1
    }

    fn accuse(&mut self, now: f64, key: u64, out: &mut Vec<Action>) {
        let Some(member) = self.table.get(key) else { return };
        if !member.record.is_up() {
            return;
        }
        let address = member.record.identity.address;
        if member.record.liveness == Liveness::Alive {
            self.hold(now, key, Liveness::Suspected, out);
        } else {
            let by = self.by();
            self.confirm(key, by);
        }
        // The accused hears of it first.
        self.send(now, (address, Some(key)), PacketBody::Gossip, out);
    }

    /// This member's own judgement of another.
    fn hold(&mut self, now: f64, key: u64, liveness: Liveness, out: &mut Vec<Action>) {
        let Some(member) = self.table.get(key) else { return };
        let record = MemberRecord { liveness, by: self.by(), ..member.record.clone() };
        self.take(now, &record, out);
    }

    fn confirm(&mut self, key: u64, by: u32) {
        if let Some(suspicion) = self.suspects.get_mut(&key)
            && by != 0
            && suspicion.accusers.len() <= INDIRECT_PROBES
            && !suspicion.accusers.contains(&by)
        {
            suspicion.accusers.push(by);
            self.news.insert(key, 0);
        }
    }

    fn begin_suspicion(&mut self, now: f64, key: u64, by: u32) {
        let n = (self.table.len() + 1) as f64;
        let least = (0.8 * n.log10()).max(1.5) * self.rules.period_ms;
        let most = if self.minds_itself() { 3.0 * least } else { least };
        let accusers = if by == 0 { Vec::new() } else { vec![by] };
        self.suspects.insert(key, Suspicion { began_ms: now, accusers, least_ms: least, most_ms: most });
    }

    fn end_suspicions(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.minds_itself() && now < self.quiet_until_ms {
            return;
        }
        let over = self.suspects.iter().filter(|(_, suspicion)| suspicion.over_ms() <= now);
        let over: Vec<u64> = over.map(|(key, _)| *key).collect();
        for key in over {
            self.suspects.remove(&key);
            self.hold(now, key, Liveness::Lost, out);
        }
    }

    // ---- messages in ----

    fn packet(&mut self, now: f64, packet: Packet, out: &mut Vec<Action>) {
        let Packet { from, body, news } = packet;
        let key = from.record.identity.key();
        if key == self.own.identity.key() {
            self.namesake(now, &from.record, out);
            return;
        }
        if self.own.phase == Phase::Left {
            return;
        }
        // Clocks that are somewhat ahead move the horizon; one that is far off does not.
        if from.now_ms > self.horizon_ms
            && from.now_ms < self.horizon_ms + crate::table::MAX_GENERATION_AHEAD_MS
        {
            self.horizon_ms = from.now_ms;
        }
        let address = from.record.identity.address;
        self.take(now, &from.record, out);
        let Some(member) = self.table.get(key) else { return };
        let current = member.record.life() == from.record.life();
        let must_refute = !current || member.record.liveness != Liveness::Alive;
        if current {
            self.table.hear(now, key, from.load);
        }
        let mut outdated = Vec::new();
        for record in &news {
            if self.take(now, record, out) == MergeOutcome::Stale && record.liveness != Liveness::Alive {
                outdated.extend(self.saying(record.identity.key(), 0));
            }
        }
        // Who holds gone what has refuted that hears so at once.
        if !outdated.is_empty() && !matches!(body, PacketBody::SyncPull { .. }) {
            let mut room = MAX_DATAGRAM_BYTES - FRAME_BYTES;
            outdated.retain(|record| {
                let fits = record.size() <= room;
                room -= if fits { record.size() } else { 0 };
                fits
            });
            out.push(Action::Send(
                address,
                Packet { from: self.sender(now), body: PacketBody::Gossip, news: outdated },
            ));
        }
        if from.digest == self.digest() {
            self.agreed_ms = now;
            if self.differed.is_some_and(|(_, with, _)| with == address) {
                self.differed = None;
            }
        } else {
            self.differed = Some((now, address, from.known));
        }
        match body {
            PacketBody::Ping { seq } => self.send(now, (address, Some(key)), PacketBody::Ack { seq }, out),
            PacketBody::PingReq { seq, target } => {
                let own_seq = self.ping(now, (target.address, Some(target.key())), out);
                if self.relays.len() >= MAX_RELAYED_PROBES {
                    self.relays.pop_front();
                }
                let period = self.rules.period_ms;
                self.relays.push_back(RelayedProbe {
                    seq: own_seq,
                    origin: address,
                    origin_seq: seq,
                    nack_ms: Some(now + DIRECT_PROBE_TIMEOUT * period),
                    over_ms: now + period * f64::from(MAX_LOCAL_HEALTH),
                });
            }
            PacketBody::Ack { seq } => self.acked(now, key, seq, out),
            PacketBody::Nack { seq } => {
                if let Some(probe) = self.probes.iter_mut().find(|probe| probe.seq == seq) {
                    probe.nacks += 1;
                }
            }
            PacketBody::Gossip if must_refute => {
                self.send(now, (address, Some(key)), PacketBody::Gossip, out)
            }
            PacketBody::Gossip => {}
            PacketBody::SyncDigests { buckets } => self.compare(now, (address, key), &buckets, out),
            PacketBody::SyncPull { buckets } => {
                let wanted = (0..BUCKET_COUNT).filter(|at| buckets >> at & 1 == 1).collect();
                self.tell_buckets(now, address, wanted, false, out);
            }
        }
    }

    /// Whether it answered directly.
    fn note_direct(&mut self, key: u64, answered: bool) {
        let Some(member) = self.table.get_mut(key) else { return };
        member.unanswered = if answered { 0 } else { member.unanswered + 1 };
        if member.unanswered >= 2 {
            self.dubious.insert(key);
        } else {
            self.dubious.remove(&key);
        }
    }

    fn acked(&mut self, now: f64, from: u64, seq: u32, out: &mut Vec<Action>) {
        if let Some(at) = self.probes.iter().position(|probe| probe.seq == seq) {
            let probe = self.probes.swap_remove(at);
            self.trouble = self.trouble.saturating_sub(1);
            self.unanswered = 0;
            // Through a helper: it lives, and the direct way does not go.
            self.note_direct(probe.target, probe.target == from);
        }
        if let Some(at) = self.relays.iter().position(|relay| relay.seq == seq)
            && let Some(relay) = self.relays.remove(at)
        {
            self.send(now, (relay.origin, None), PacketBody::Ack { seq: relay.origin_seq }, out);
        }
    }

    /// Takes a saying, whoever it is about.
    fn take(&mut self, now: f64, record: &MemberRecord, out: &mut Vec<Action>) -> MergeOutcome {
        let key = record.identity.key();
        if key == self.own.identity.key() {
            self.about_self(now, record, out);
            return MergeOutcome::Duplicate;
        }
        let was = self.table.get(key).map(|member| member.record.clone());
        if self.rules.fault == Some(InjectedFault::AcceptStaleGeneration)
            && let Some(was) = &was
            && record.start < was.start
        {
            let (start, identity) = (was.start, was.identity.clone());
            let forged = MemberRecord { start, identity, incarnation: was.incarnation, ..record.clone() };
            self.table.take(now, self.horizon_ms, &forged);
        }
        let taken = self.table.take(now, self.horizon_ms, record);
        match taken {
            MergeOutcome::Applied => self.learned(now, key, was.as_ref(), record, out),
            MergeOutcome::Duplicate if record.liveness == Liveness::Suspected => self.confirm(key, record.by),
            MergeOutcome::Duplicate | MergeOutcome::Stale => {}
            MergeOutcome::ForgedGeneration => {
                let name = record.identity.name.clone();
                out.push(Action::Notify(Notification::RecordRejected(
                    RecordRejectReason::ForgedGeneration,
                    name,
                )));
            }
            MergeOutcome::TableFull => {
                let name = record.identity.name.clone();
                out.push(Action::Notify(Notification::RecordRejected(RecordRejectReason::TableFull, name)));
            }
        }
        taken
    }

    fn learned(
        &mut self,
        now: f64,
        key: u64,
        was: Option<&MemberRecord>,
        record: &MemberRecord,
        out: &mut Vec<Action>,
    ) {
        self.changed_ms = now;
        self.news.insert(key, 0);
        let new = was.is_none_or(|was| was.life() != record.life());
        if record.liveness == Liveness::Suspected {
            if new || !self.suspects.contains_key(&key) {
                self.begin_suspicion(now, key, record.by);
                // A few look for themselves at once, however large the fleet.
                let n = self.table.up() as f64;
                if record.by != self.by()
                    && (self.below(1 << 20) as f64) < EXPECTED_VERIFIERS / n * f64::from(1 << 20)
                {
                    self.probe(now, key, out);
                }
            }
        } else {
            self.suspects.remove(&key);
        }
        if new && record.is_up() && self.order.len() < 2 * self.table.len() {
            let at = self.below(self.order.len() + 1);
            self.order.insert(at, key);
        }
        let told = was.is_none_or(|was| new || was.liveness != record.liveness || was.phase != record.phase);
        if told {
            out.push(Action::Notify(Notification::MemberChanged { record: record.clone(), new }));
        }
    }

    // ---- about itself ----

    fn change_phase(&mut self, now: f64, phase: Phase, out: &mut Vec<Action>) {
        // Having left is the last word.
        if self.own.phase == phase || self.own.phase == Phase::Left {
            return;
        }
        self.own.phase = phase;
        self.own_since_ms = now;
        self.speak(now);
        if phase == Phase::Left {
            // Its last word goes out at once, and more than once.
            let n = self.passes() as usize;
            for identity in self.some(n, 0) {
                self.send(now, (identity.address, Some(identity.key())), PacketBody::Gossip, out);
            }
        }
    }

    /// Something new is said of itself.
    fn speak(&mut self, now: f64) {
        self.own.incarnation = self.own.incarnation.saturating_add(1);
        self.changed_ms = now;
        self.news.insert(self.own.identity.key(), 0);
    }

    fn about_self(&mut self, now: f64, record: &MemberRecord, out: &mut Vec<Action>) {
        let own = &self.own;
        if record.identity.instance != own.identity.instance {
            if record.start < own.start {
                // Old news somewhere: the present is told again.
                self.news.insert(self.own.identity.key(), 0);
                return;
            }
            if record.start as f64 > self.horizon_ms + crate::table::MAX_GENERATION_AHEAD_MS {
                let name = record.identity.name.clone();
                out.push(Action::Notify(Notification::RecordRejected(
                    RecordRejectReason::ForgedGeneration,
                    name,
                )));
                return;
            }
            // An earlier life of this member, unless its process speaks for itself.
            if record.identity.address == own.identity.address || record.phase == Phase::Left {
                self.raise_start(now, record.start, out);
            } else if self.rival.as_ref().is_none_or(|rival| rival.record.precedence() < record.precedence())
            {
                let address = record.identity.address;
                self.rival = Some(NameConflict { record: record.clone(), since_ms: now });
                self.ping(now, (address, None), out);
            }
            return;
        }
        if record.start != own.start || record.precedence() <= own.precedence() {
            return;
        }
        if self.rules.fault == Some(InjectedFault::NoRefutation) {
            return;
        }
        if record.incarnation == u32::MAX {
            // No later incarnation can be: another life.
            self.raise_start(now, own.start, out);
            return;
        }
        self.own.incarnation = record.incarnation;
        self.speak(now);
        self.worse(1);
        out.push(Action::Notify(Notification::Refuted(record.liveness)));
    }

    fn raise_start(&mut self, now: f64, over: u64, out: &mut Vec<Action>) {
        if over >= self.own.start {
            self.own.start = over + 1;
            self.own.incarnation = 0;
            self.speak(now);
            out.push(Action::Notify(Notification::GenerationRaised(self.own.start)));
        }
    }

    /// A message from a process of this member's name.
    fn namesake(&mut self, now: f64, record: &MemberRecord, out: &mut Vec<Action>) {
        if record.identity.instance == self.own.identity.instance {
            return;
        }
        let address = record.identity.address;
        let known = self.judge.holds(diagnosis::VerdictKind::NameClash);
        let mut changes = Vec::new();
        self.judge.clash(now, &address.to_string(), &mut changes);
        out.extend(changes.into_iter().map(|change| Action::Notify(Notification::VerdictChanged(change))));
        // It lives: the name is the later start's, and both say so.
        self.rival = None;
        if !known {
            self.ping(now, (address, None), out);
        }
    }

    // ---- repair ----

    /// Compares views with one that was seen to differ: at once if it knows many more, else once this one's news are out.
    fn repair(&mut self, now: f64, out: &mut Vec<Action>) {
        let Some((at, with, known)) = self.differed else { return };
        let period = self.rules.period_ms;
        let knows_more = f64::from(known) > 1.1 * self.table.len() as f64 + 1.0;
        let pause = if knows_more { 0.0 } else { period };
        let calm = now - self.changed_ms >= period || now - self.repaired_ms >= MAX_SYNC_INTERVAL * period;
        if now - at > 2.0 * period || now - self.repaired_ms < pause || !(calm || knows_more) {
            return;
        }
        (self.repaired_ms, self.differed) = (now, None);
        self.ask_for_repair(now, with, out);
    }

    fn ask_for_repair(&mut self, now: f64, with: SocketAddr, out: &mut Vec<Action>) {
        let buckets = self.table.digests(&self.own).iter().map(|digest| *digest as u32).collect();
        self.send(now, (with, None), PacketBody::SyncDigests { buckets }, out);
    }

    fn compare(&mut self, now: f64, from: (SocketAddr, u64), theirs: &[u32], out: &mut Vec<Action>) {
        let own = self.table.digests(&self.own);
        let differ = |at: &usize| own[*at] as u32 != theirs.get(*at).copied().unwrap_or(0);
        let mut differing: Vec<usize> = (0..BUCKET_COUNT).filter(differ).collect();
        if differing.is_empty() {
            return;
        }
        // From a random place on: where not all fits, several repairs with several peers cover all.
        let first = self.below(differing.len());
        differing.rotate_left(first);
        self.tell_buckets(now, from.0, differing, true, out);
    }

    /// Sends what is known in these buckets, as far as a few datagrams hold it.
    fn tell_buckets(
        &mut self,
        now: f64,
        to: SocketAddr,
        wanted: Vec<usize>,
        ask: bool,
        out: &mut Vec<Action>,
    ) {
        let (mut parts, mut room) = (vec![Vec::new()], MAX_DATAGRAM_BYTES - FRAME_BYTES);
        let mut told = 0_u128;
        let own_bucket = bucket(self.own.identity.key());
        'all: for at in wanted {
            let mut records: Vec<MemberRecord> =
                self.table.in_bucket(at).map(|(_, m)| m.record.clone()).collect();
            if at == own_bucket {
                records.push(self.own.clone());
            }
            for record in records {
                if record.size() > room {
                    if parts.len() == MAX_SYNC_DATAGRAMS {
                        break 'all;
                    }
                    parts.push(Vec::new());
                    room = MAX_DATAGRAM_BYTES - FRAME_BYTES;
                }
                room -= record.size();
                if let Some(part) = parts.last_mut() {
                    part.push(record);
                }
            }
            told |= 1 << at;
        }
        for (at, news) in parts.into_iter().enumerate() {
            let body =
                if ask && at == 0 { PacketBody::SyncPull { buckets: told } } else { PacketBody::Gossip };
            out.push(Action::Send(to, Packet { from: self.sender(now), body, news }));
        }
    }
}
