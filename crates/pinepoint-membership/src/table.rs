//! The table of members: who is known, which saying about each is the latest, and the digests of all that. It owns the
//! bound on members, the horizon of starts, and the sets by which nobody has to walk over all members; it must never do
//! I/O, read a clock or decide whom to ask.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexSet;
use rustc_hash::{FxBuildHasher, FxHashMap};

use crate::member::{Identity, Liveness, Load, MemberRecord, Phase};
use crate::wire::BUCKET_COUNT;

/// A start further ahead of the clock than this is forged or of a broken clock, ms.
pub const MAX_GENERATION_AHEAD_MS: f64 = 86_400_000.0;

/// A member as it is known here.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// The latest saying.
    pub record: MemberRecord,
    /// When its standing or phase changed here, ms.
    pub since_ms: f64,
    /// When a message came from itself, ms; minus infinity if none did.
    pub heard_ms: f64,
    /// Its load as it told it itself then.
    pub load: Load,
    /// Direct questions of ours in a row that it did not answer.
    pub unanswered: u32,
    /// Its system said that nobody listens there.
    pub refused: bool,
    /// It came to be held lost by news alone: nobody was seen to suspect it first.
    pub lost_by_gossip: bool,
    /// Where it stood in its life before this one, if that was known: a new start came after a loss.
    pub recovery: Recovery,
    /// When it returned, ms.
    pub recovered_ms: f64,
}

/// How a member came back after it was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Recovery {
    /// It was not lost.
    #[default]
    None,
    /// It was there all the while: the same start.
    SameGeneration,
    /// It was started anew.
    NewGeneration,
}

/// What became of a saying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// It is news.
    Applied,
    /// It is what is known.
    Duplicate,
    /// It is older than what is known.
    Stale,
    /// Its start lies in the future.
    ForgedGeneration,
    /// There is no room for another member.
    TableFull,
}

/// The table, without this member itself. Beside the members it keeps, as sayings come, whatever is asked of them each
/// period, so that neither a fleet in which nothing happens nor one in which something does costs more the larger it is.
#[derive(Clone, Debug)]
pub struct MemberTable {
    members: FxHashMap<u64, MemberState>,
    /// Of all of them: a bucket is a range of these.
    keys: BTreeSet<u64>,
    most: usize,
    buckets: [u64; BUCKET_COUNT],
    /// Of all buckets.
    digest: u64,
    /// Who is there, as far as is believed, in an order in which one can be drawn at random.
    ups: IndexSet<u64, FxBuildHasher>,
    /// Who is not: left or lost.
    gone: BTreeSet<u64>,
    /// Who is suspected or lost, and did not leave.
    down: BTreeSet<u64>,
    lost: BTreeSet<u64>,
    /// Who did not leave, by zone.
    zones: BTreeMap<String, BTreeSet<u64>>,
    /// Who says that it is reached there.
    addresses: BTreeSet<(SocketAddr, u64)>,
    /// When anybody was last heard, and the earliest beginning of a process of which one was, ms.
    heard_ms: f64,
    first_began_ms: f64,
    /// Members of which a message of this life came.
    heard: usize,
    /// Somebody has left in order since this table is kept.
    seen_leave: bool,
}

/// The bucket of a key.
pub fn bucket(key: u64) -> usize {
    (key >> 57) as usize
}

impl MemberTable {
    /// An empty table for at most so many members.
    pub fn new(most: usize) -> Self {
        MemberTable {
            members: FxHashMap::default(),
            keys: BTreeSet::new(),
            most,
            buckets: [0; BUCKET_COUNT],
            digest: 0,
            ups: IndexSet::default(),
            gone: BTreeSet::new(),
            down: BTreeSet::new(),
            lost: BTreeSet::new(),
            zones: BTreeMap::new(),
            addresses: BTreeSet::new(),
            heard_ms: f64::NEG_INFINITY,
            first_began_ms: f64::INFINITY,
            heard: 0,
            seen_leave: false,
        }
    }

    /// The member of this key.
    pub fn get(&self, key: u64) -> Option<&MemberState> {
        self.members.get(&key)
    }

    /// The same; its record is changed by [`MemberTable::take`] only.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut MemberState> {
        self.members.get_mut(&key)
    }

    /// All of them, by key.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &MemberState)> {
        self.keys.iter().filter_map(|key| Some((*key, self.members.get(key)?)))
    }

    /// All in one bucket.
    pub fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = (u64, &MemberState)> {
        let first = (bucket as u64) << 57;
        let keys = self.keys.range(first..=first | (u64::MAX >> 7));
        keys.filter_map(|key| Some((*key, self.members.get(key)?)))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// How many are there, as far as is believed.
    pub fn up(&self) -> usize {
        self.ups.len()
    }

    /// Those that are there, in an order that means nothing: each can be had by its place.
    pub fn ups(&self) -> &IndexSet<u64, FxBuildHasher> {
        &self.ups
    }

    /// Those that are suspected or lost, and did not leave.
    pub fn down(&self) -> &BTreeSet<u64> {
        &self.down
    }

    /// Those that did not leave, by zone.
    pub fn zones(&self) -> impl Iterator<Item = (&str, &BTreeSet<u64>)> {
        self.zones.iter().map(|(zone, members)| (zone.as_str(), members))
    }

    /// When anybody was last heard, ms; minus infinity if nobody was.
    pub fn heard_ms(&self) -> f64 {
        self.heard_ms
    }

    /// Members of which a message of this life came, and the earliest beginning of a process that was heard, ms.
    pub fn heard(&self) -> (usize, f64) {
        (self.heard, self.first_began_ms)
    }

    /// Whether somebody has left in order since this table is kept.
    pub fn seen_leave(&self) -> bool {
        self.seen_leave
    }

    /// Notes that a message came from a member itself, in the life that is known of it.
    pub fn hear(&mut self, now: f64, key: u64, load: Load) {
        let Some(member) = self.members.get_mut(&key) else { return };
        self.heard += usize::from(member.heard_ms == f64::NEG_INFINITY);
        (member.heard_ms, member.load, member.refused) = (now, load, false);
        self.heard_ms = self.heard_ms.max(now);
        self.first_began_ms = self.first_began_ms.min(now - f64::from(load.up_s) * 1000.0);
    }

    /// Those that are lost and did not leave.
    pub fn lost(&self) -> &BTreeSet<u64> {
        &self.lost
    }

    /// Whether nobody is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Digests of the buckets with this member's own saying about itself in them.
    pub fn digests(&self, own: &MemberRecord) -> [u64; BUCKET_COUNT] {
        let mut buckets = self.buckets;
        buckets[bucket(own.identity.key())] ^= own.hash();
        buckets
    }

    /// Digest of all, with this member's own saying about itself in it.
    pub fn digest(&self, own: &MemberRecord) -> u64 {
        self.digest ^ own.hash()
    }

    /// Keeps the digests where the saying about a member changes by this.
    fn mix(&mut self, key: u64, change: u64) {
        self.buckets[bucket(key)] ^= change;
        self.digest ^= change;
    }

    /// Takes a saying, if it is later than what is known.
    pub fn take(&mut self, now: f64, horizon_ms: f64, record: &MemberRecord) -> MergeOutcome {
        if record.start as f64 > horizon_ms + MAX_GENERATION_AHEAD_MS {
            return MergeOutcome::ForgedGeneration;
        }
        let key = record.identity.key();
        if let Some(member) = self.members.get_mut(&key) {
            if record.precedence() <= member.record.precedence() {
                return if record.precedence() == member.record.precedence() {
                    MergeOutcome::Duplicate
                } else {
                    MergeOutcome::Stale
                };
            }
            let was = &member.record;
            let new_life = was.life() != record.life();
            if was.liveness == Liveness::Lost && record.is_up() {
                member.recovery = if new_life { Recovery::NewGeneration } else { Recovery::SameGeneration };
                member.recovered_ms = now;
            }
            if new_life {
                self.heard -= usize::from(member.heard_ms.is_finite());
                (member.heard_ms, member.load, member.refused) = (f64::NEG_INFINITY, Load::default(), false);
            }
            if record.liveness != was.liveness {
                member.lost_by_gossip =
                    record.liveness == Liveness::Lost && was.liveness != Liveness::Suspected;
            }
            if new_life || was.liveness != record.liveness || was.phase != record.phase {
                (member.since_ms, member.unanswered) = (now, 0);
            }
            let change = was.hash() ^ record.hash();
            let identity =
                if was.identity == record.identity { was.identity.clone() } else { record.identity.clone() };
            let was = std::mem::replace(&mut member.record, MemberRecord { identity, ..record.clone() });
            self.mix(key, change);
            self.sort(key, Some(&was), Some(record));
            return MergeOutcome::Applied;
        }
        if self.members.len() >= self.most && !self.make_room() {
            return MergeOutcome::TableFull;
        }
        self.mix(key, record.hash());
        let member = MemberState {
            record: record.clone(),
            since_ms: now,
            heard_ms: f64::NEG_INFINITY,
            load: Load::default(),
            unanswered: 0,
            refused: false,
            lost_by_gossip: record.liveness == Liveness::Lost,
            recovery: Recovery::None,
            recovered_ms: f64::NEG_INFINITY,
        };
        self.members.insert(key, member);
        self.keys.insert(key);
        self.sort(key, None, Some(record));
        MergeOutcome::Applied
    }

    /// Keeps the sets, where what was said of a member is now this, or forgotten.
    fn sort(&mut self, key: u64, was: Option<&MemberRecord>, now: Option<&MemberRecord>) {
        let here = |record: Option<&MemberRecord>, is: fn(&MemberRecord) -> bool| record.is_some_and(is);
        fn keep(set: &mut BTreeSet<u64>, key: u64, within: bool) {
            if within {
                set.insert(key);
            } else {
                set.remove(&key);
            }
        }
        if here(now, MemberRecord::is_up) {
            self.ups.insert(key);
        } else {
            self.ups.swap_remove(&key);
        }
        keep(&mut self.gone, key, here(now, |r| !r.is_up()));
        keep(&mut self.down, key, here(now, |r| r.phase != Phase::Left && r.liveness != Liveness::Alive));
        keep(&mut self.lost, key, here(now, |r| r.phase != Phase::Left && r.liveness == Liveness::Lost));
        self.seen_leave |= here(now, |r| r.phase == Phase::Left);
        let address = |record: &MemberRecord| record.identity.address;
        if was.map(address) != now.map(address) {
            was.map(|was| self.addresses.remove(&(address(was), key)));
            now.map(|now| self.addresses.insert((address(now), key)));
        }
        let zone = |record: Option<&MemberRecord>| {
            record.filter(|r| r.phase != Phase::Left).map(|r| r.identity.zone.clone())
        };
        // Names are compared only where they may differ: nearly always it is one and the same.
        let same = matches!((was, now), (Some(was), Some(now))
            if Rc::ptr_eq(&was.identity, &now.identity) && (was.phase == Phase::Left) == (now.phase == Phase::Left));
        if !same && zone(was) != zone(now) {
            if let Some(zone) = zone(was)
                && let Some(members) = self.zones.get_mut(&zone)
            {
                members.remove(&key);
                if members.is_empty() {
                    self.zones.remove(&zone);
                }
            }
            if let Some(zone) = zone(now) {
                self.zones.entry(zone).or_default().insert(key);
            }
        }
    }

    /// Gives up the member that is gone for longest; tells whether there was one.
    fn make_room(&mut self) -> bool {
        let gone = self.gone.iter().filter_map(|key| Some((*key, self.members.get(key)?.since_ms)));
        let oldest = gone.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(key, _)| key);
        oldest.is_some_and(|key| self.remove(key))
    }

    fn remove(&mut self, key: u64) -> bool {
        let Some(member) = self.members.remove(&key) else { return false };
        self.keys.remove(&key);
        self.heard -= usize::from(member.heard_ms.is_finite());
        self.mix(key, member.record.hash());
        self.sort(key, Some(&member.record), None);
        true
    }

    /// Forgets who left or was lost before these times, ms.
    pub fn forget(&mut self, left_before: f64, lost_before: f64) -> usize {
        let over = |member: &MemberState| match member.record.phase {
            Phase::Left => member.since_ms < left_before,
            _ => member.since_ms < lost_before,
        };
        let gone = self.gone.iter().filter(|key| self.members.get(key).is_some_and(over));
        let keys: Vec<u64> = gone.copied().collect();
        keys.iter().filter(|key| self.remove(**key)).count()
    }

    /// Who says that it is reached at this address: more than one where a member took the place of another.
    pub fn at(&self, address: SocketAddr) -> impl Iterator<Item = u64> {
        self.addresses.range((address, 0)..=(address, u64::MAX)).map(|(_, key)| *key)
    }

    /// Who a member is.
    pub fn identity(&self, key: u64) -> Option<&Rc<Identity>> {
        self.members.get(&key).map(|member| &member.record.identity)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// What the sets have to be, from the members alone.
    fn check(table: &MemberTable) {
        let keys = |is: fn(&MemberState) -> bool| -> BTreeSet<u64> {
            table.iter().filter(|(_, member)| is(member)).map(|(key, _)| key).collect()
        };
        let here = |m: &MemberState| m.record.phase != Phase::Left;
        assert_eq!(table.ups.iter().copied().collect::<BTreeSet<_>>(), keys(|m| m.record.is_up()));
        assert_eq!(table.gone, keys(|m| !m.record.is_up()));
        let down = |m: &MemberState| m.record.phase != Phase::Left && m.record.liveness != Liveness::Alive;
        assert_eq!(table.down, keys(down));
        assert_eq!(
            table.lost,
            keys(|m| m.record.phase != Phase::Left && m.record.liveness == Liveness::Lost)
        );
        assert_eq!(table.heard, keys(|m| m.heard_ms.is_finite()).len());
        let mut zones: BTreeMap<String, BTreeSet<u64>> = BTreeMap::new();
        for (key, member) in table.iter().filter(|(_, m)| here(m)) {
            zones.entry(member.record.identity.zone.clone()).or_default().insert(key);
        }
        assert_eq!(table.zones, zones);
        let addresses = table.iter().map(|(key, member)| (member.record.identity.address, key));
        assert_eq!(table.addresses, addresses.collect());
        let digest = table.iter().fold(0, |sum, (_, member)| sum ^ member.record.hash());
        assert_eq!(table.digest, digest);
        assert!(table.len() <= table.most);
    }

    fn record() -> impl Strategy<Value = MemberRecord> {
        let phase = prop_oneof![Just(Phase::Serving), Just(Phase::Draining), Just(Phase::Left)];
        let liveness = prop_oneof![Just(Liveness::Alive), Just(Liveness::Suspected), Just(Liveness::Lost)];
        (0..9_u8, 0..3_u8, 0..4_u8, 1..4_u64, 0..3_u32, phase, liveness).prop_map(
            |(name, zone, address, start, incarnation, phase, liveness)| {
                let identity = Identity {
                    name: format!("n{name}"),
                    zone: format!("z{zone}"),
                    address: ([10, 0, 0, address], 7000).into(),
                    cores: 4,
                    instance: u32::from(name) + start as u32,
                };
                MemberRecord { identity: Rc::new(identity), start, incarnation, phase, liveness, by: 0 }
            },
        )
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

        #[test]
        fn its_sets_are_what_its_members_say(sayings in proptest::collection::vec((record(), any::<bool>()), 1..120)) {
            let mut table = MemberTable::new(6);
            for (at, (record, heard)) in sayings.into_iter().enumerate() {
                let now = at as f64;
                table.take(now, 1e6, &record);
                if heard {
                    table.hear(now, record.identity.key(), Load::default());
                }
                if at % 7 == 6 {
                    table.forget(now - 5.0, now - 20.0);
                }
                check(&table);
            }
        }
    }
}
