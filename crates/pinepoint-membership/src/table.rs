//! The table of other members: the latest record about each, and the digests that anti-entropy compares. The
//! table enforces the maximum number of members and rejects generations too far in the future. It does no
//! I/O, reads no clock and does not decide which members to contact.

mod indexes;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use indexmap::IndexSet;
use rustc_hash::{FxBuildHasher, FxHashMap};

use crate::member::{Identity, Liveness, Load, MemberRecord, Phase};
use crate::wire::BUCKET_COUNT;
use indexes::Indexes;

/// A generation further ahead than this of all received clocks is forged or comes from a broken clock, ms.
pub const MAX_GENERATION_AHEAD_MS: f64 = 86_400_000.0;

/// The local state of another member.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// The record of highest precedence.
    pub record: MemberRecord,
    /// When its liveness, phase or process last changed in this table, ms.
    pub state_since_ms: f64,
    /// When a message of this process was last received, ms. Minus infinity if none was.
    pub last_received_ms: f64,
    /// Its load, as reported in its last message.
    pub load: Load,
    /// Consecutive direct probes of the local member that it did not answer.
    pub missed_probes: u32,
    /// The system reported that no process listens at its address.
    pub connection_refused: bool,
    /// The member became lost by gossip alone, without having been suspected in this table first.
    pub lost_by_gossip: bool,
    /// How the member last recovered from being lost.
    pub recovery: Recovery,
    /// When it last recovered, ms. Minus infinity if it never did.
    pub recovered_ms: f64,
}

impl MemberState {
    fn new(now: f64, record: MemberRecord) -> Self {
        let lost_by_gossip = record.liveness == Liveness::Lost;
        MemberState {
            record,
            state_since_ms: now,
            last_received_ms: f64::NEG_INFINITY,
            load: Load::default(),
            missed_probes: 0,
            connection_refused: false,
            lost_by_gossip,
            recovery: Recovery::None,
            recovered_ms: f64::NEG_INFINITY,
        }
    }

    /// Whether a message of this process was received.
    fn has_sent_message(&self) -> bool {
        self.last_received_ms.is_finite()
    }

    /// Replaces the record with one of higher precedence and returns the previous one.
    fn replace_record(&mut self, now: f64, record: &MemberRecord) -> MemberRecord {
        let previous = &self.record;
        let is_new_process = previous.process_id() != record.process_id();
        if previous.liveness == Liveness::Lost && record.is_up() {
            self.recovery = if is_new_process { Recovery::NewGeneration } else { Recovery::SameGeneration };
            self.recovered_ms = now;
        }
        if is_new_process {
            self.last_received_ms = f64::NEG_INFINITY;
            self.load = Load::default();
            self.connection_refused = false;
        }
        let liveness_changed = record.liveness != previous.liveness;
        if liveness_changed {
            self.lost_by_gossip =
                record.liveness == Liveness::Lost && previous.liveness != Liveness::Suspected;
        }
        if is_new_process || liveness_changed || previous.phase != record.phase {
            self.state_since_ms = now;
            self.missed_probes = 0;
        }
        // All records of a process share one identity.
        let is_same_identity = previous.identity == record.identity;
        let identity = if is_same_identity { previous.identity.clone() } else { record.identity.clone() };
        std::mem::replace(&mut self.record, MemberRecord { identity, ..record.clone() })
    }
}

/// How a member recovered from being lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Recovery {
    /// The member was never lost, or has not recovered.
    #[default]
    None,
    /// The same process is up again.
    SameGeneration,
    /// The member was restarted.
    NewGeneration,
}

/// Result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record changed the table.
    Applied,
    /// The record has the same precedence as the known one.
    Duplicate,
    /// The known record overrides it.
    Stale,
    /// The record's generation is too far in the future.
    ForgedGeneration,
    /// The table is full.
    TableFull,
}

/// The processes from which messages were received since the table was created.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SenderSummary {
    /// Number of members from whose current process a message was received.
    pub members: usize,
    /// Earliest start of any process from which a message was received, computed from the uptime it reported,
    /// Unix ms. Infinity if no message was received.
    pub earliest_start_ms: f64,
}

/// The table of all members but the local one. Indexes are updated with each record, so that the work of a
/// period depends neither on the size of the fleet nor on how much of it is lost.
#[derive(Clone, Debug)]
pub struct MemberTable {
    members: FxHashMap<u64, MemberState>,
    /// Sorted keys. A bucket is a range of these.
    keys: BTreeSet<u64>,
    capacity: usize,
    /// XOR of the digests of the records in each bucket.
    bucket_digests: [u64; BUCKET_COUNT],
    /// XOR of the digests of all records.
    digest: u64,
    indexes: Indexes,
    /// When a message of any member was last received, ms.
    last_received_ms: f64,
    senders: SenderSummary,
    has_seen_leave: bool,
}

/// Number of low bits of a key below those that give its bucket.
const BUCKET_SHIFT: u32 = u64::BITS - BUCKET_COUNT.ilog2();

/// The bucket of a member's key.
pub fn bucket_of(key: u64) -> usize {
    (key >> BUCKET_SHIFT) as usize
}

impl MemberTable {
    /// An empty table for at most `capacity` members.
    pub fn new(capacity: usize) -> Self {
        MemberTable {
            members: FxHashMap::default(),
            keys: BTreeSet::new(),
            capacity,
            bucket_digests: [0; BUCKET_COUNT],
            digest: 0,
            indexes: Indexes::default(),
            last_received_ms: f64::NEG_INFINITY,
            senders: SenderSummary { members: 0, earliest_start_ms: f64::INFINITY },
            has_seen_leave: false,
        }
    }

    /// The member of this key.
    pub fn get(&self, key: u64) -> Option<&MemberState> {
        self.members.get(&key)
    }

    /// The member of this key, mutable. Only [`MemberTable::merge`] may change its record.
    pub fn get_mut(&mut self, key: u64) -> Option<&mut MemberState> {
        self.members.get_mut(&key)
    }

    /// The identity of the member of this key.
    pub fn identity(&self, key: u64) -> Option<&Rc<Identity>> {
        self.members.get(&key).map(|member| &member.record.identity)
    }

    /// All members, by key.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &MemberState)> {
        self.keys.iter().filter_map(|key| Some((*key, self.members.get(key)?)))
    }

    /// The members of one bucket, by key.
    pub fn in_bucket(&self, bucket: usize) -> impl Iterator<Item = (u64, &MemberState)> {
        let first = (bucket as u64) << BUCKET_SHIFT;
        let last = first | ((1 << BUCKET_SHIFT) - 1);
        self.keys.range(first..=last).filter_map(|key| Some((*key, self.members.get(key)?)))
    }

    /// The members that announce this address: more than one if a member has replaced another at its address.
    pub fn members_at(&self, address: SocketAddr) -> impl Iterator<Item = u64> {
        self.indexes.members_at(address)
    }

    /// Number of known members, whatever their state.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Number of members that are neither left nor lost.
    pub fn up_count(&self) -> usize {
        self.indexes.up.len()
    }

    /// Keys of the members that are neither left nor lost, in no meaningful order, accessible by position.
    pub fn up(&self) -> &IndexSet<u64, FxBuildHasher> {
        &self.indexes.up
    }

    /// Keys of the members that are suspected or lost and did not leave.
    pub fn unresponsive(&self) -> &BTreeSet<u64> {
        &self.indexes.unresponsive
    }

    /// Keys of the members that are lost and did not leave.
    pub fn lost(&self) -> &BTreeSet<u64> {
        &self.indexes.lost
    }

    /// Keys of the members that did not leave, by zone.
    pub fn zones(&self) -> impl Iterator<Item = (&str, &BTreeSet<u64>)> {
        self.indexes.zones.iter().map(|(zone, members)| (zone.as_str(), members))
    }

    /// When a message of any member was last received, ms. Minus infinity if none was.
    pub fn last_received_ms(&self) -> f64 {
        self.last_received_ms
    }

    /// The processes from which messages were received.
    pub fn senders(&self) -> SenderSummary {
        self.senders
    }

    /// Whether any member has left gracefully since the table was created.
    pub fn has_seen_leave(&self) -> bool {
        self.has_seen_leave
    }

    /// Digests of the buckets, the local member's own record included.
    pub fn bucket_digests(&self, local: &MemberRecord) -> [u64; BUCKET_COUNT] {
        let mut digests = self.bucket_digests;
        digests[bucket_of(local.identity.key())] ^= local.digest();
        digests
    }

    /// Digest of the whole table, the local member's own record included.
    pub fn digest(&self, local: &MemberRecord) -> u64 {
        self.digest ^ local.digest()
    }

    /// Records that a message was received from the known process of a member.
    pub fn record_message(&mut self, now: f64, key: u64, load: Load) {
        let Some(member) = self.members.get_mut(&key) else { return };
        self.senders.members += usize::from(!member.has_sent_message());
        member.last_received_ms = now;
        member.load = load;
        member.connection_refused = false;
        self.last_received_ms = self.last_received_ms.max(now);
        let start_ms = now - f64::from(load.up_s) * 1000.0;
        self.senders.earliest_start_ms = self.senders.earliest_start_ms.min(start_ms);
    }

    /// Records that the system reported that no process listens at this address.
    pub fn record_connection_refused(&mut self, address: SocketAddr) {
        for key in self.indexes.members_at(address) {
            if let Some(member) = self.members.get_mut(&key) {
                member.connection_refused = true;
            }
        }
    }

    /// Merges a record: applies it if it overrides the known one. `clock_horizon_ms` is the latest plausible
    /// clock received from any member.
    pub fn merge(&mut self, now: f64, clock_horizon_ms: f64, record: &MemberRecord) -> MergeOutcome {
        if record.generation as f64 > clock_horizon_ms + MAX_GENERATION_AHEAD_MS {
            return MergeOutcome::ForgedGeneration;
        }
        let key = record.identity.key();
        if !self.members.contains_key(&key) {
            return self.insert(now, key, record);
        }
        self.update(now, key, record)
    }

    fn insert(&mut self, now: f64, key: u64, record: &MemberRecord) -> MergeOutcome {
        if self.members.len() >= self.capacity && !self.evict_longest_down() {
            return MergeOutcome::TableFull;
        }
        self.update_digests(key, record.digest());
        self.members.insert(key, MemberState::new(now, record.clone()));
        self.keys.insert(key);
        self.reindex(key, None, Some(record));
        MergeOutcome::Applied
    }

    fn update(&mut self, now: f64, key: u64, record: &MemberRecord) -> MergeOutcome {
        let Some(member) = self.members.get_mut(&key) else { return MergeOutcome::Stale };
        match record.precedence().cmp(&member.record.precedence()) {
            std::cmp::Ordering::Less => return MergeOutcome::Stale,
            std::cmp::Ordering::Equal => return MergeOutcome::Duplicate,
            std::cmp::Ordering::Greater => {}
        }
        let had_sent_message = member.has_sent_message();
        let previous = member.replace_record(now, record);
        self.senders.members -= usize::from(had_sent_message && !member.has_sent_message());
        self.update_digests(key, previous.digest() ^ record.digest());
        self.reindex(key, Some(&previous), Some(record));
        MergeOutcome::Applied
    }

    /// Applies the change of one record's digest to the digests of its bucket and of the table.
    fn update_digests(&mut self, key: u64, change: u64) {
        self.bucket_digests[bucket_of(key)] ^= change;
        self.digest ^= change;
    }

    fn reindex(&mut self, key: u64, previous: Option<&MemberRecord>, current: Option<&MemberRecord>) {
        self.has_seen_leave |= current.is_some_and(|record| record.phase == Phase::Left);
        self.indexes.update(key, previous, current);
    }

    /// Removes the member that has been left or lost for longest. Returns whether there was one.
    fn evict_longest_down(&mut self) -> bool {
        let down = self.indexes.down.iter();
        let since = down.filter_map(|key| Some((*key, self.members.get(key)?.state_since_ms)));
        let oldest = since.min_by(|a, b| a.1.total_cmp(&b.1)).map(|(key, _)| key);
        oldest.is_some_and(|key| self.remove(key))
    }

    fn remove(&mut self, key: u64) -> bool {
        let Some(member) = self.members.remove(&key) else { return false };
        self.keys.remove(&key);
        self.senders.members -= usize::from(member.has_sent_message());
        self.update_digests(key, member.record.digest());
        self.reindex(key, Some(&member.record), None);
        true
    }

    /// Removes the members that left or were lost before these times, ms. Returns how many were removed.
    pub fn expire(&mut self, left_before_ms: f64, lost_before_ms: f64) -> usize {
        let is_expired = |member: &MemberState| match member.record.phase {
            Phase::Left => member.state_since_ms < left_before_ms,
            _ => member.state_since_ms < lost_before_ms,
        };
        let down = self.indexes.down.iter();
        let expired = down.filter(|key| self.members.get(key).is_some_and(is_expired));
        let keys: Vec<u64> = expired.copied().collect();
        keys.iter().filter(|key| self.remove(**key)).count()
    }
}

#[cfg(test)]
mod tests;
