//! The tables in memory: entries by key and by expiry time, the segment that holds each entry, and an undo
//! log of changes that are not synced yet.

use std::collections::{BTreeMap, BTreeSet};

use crate::format::Change;

/// Approximate memory of an entry besides its key and value, bytes.
const ENTRY_OVERHEAD_BYTES: usize = 160;
/// Upper bound of an entry's size in a record besides its key and value, bytes.
const RECORD_OVERHEAD_BYTES: usize = 24;

/// Memory that a batch takes once it is applied, bytes.
pub(super) fn memory_size(changes: &[Change]) -> usize {
    let value_bytes = |change: &Change| change.value.as_ref().map_or(0, Vec::len);
    changes.iter().map(|c| c.table.len() + c.key.len() + value_bytes(c) + ENTRY_OVERHEAD_BYTES).sum()
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EntryKey {
    table: String,
    key: Vec<u8>,
}

impl EntryKey {
    fn bytes(&self) -> usize {
        self.table.len() + self.key.len()
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    value: Vec<u8>,
    expires_at_ms: f64,
    /// Number of the segment that holds this version.
    segment: u64,
}

impl Entry {
    /// Sort key of the expiry time: the bits of non-negative floats sort in the same order as the floats.
    fn expiry_bits(&self) -> u64 {
        self.expires_at_ms.to_bits()
    }

    fn memory_bytes(&self, key: &EntryKey) -> usize {
        key.bytes() + self.value.len() + ENTRY_OVERHEAD_BYTES
    }

    fn record_bytes(&self, key: &EntryKey) -> u64 {
        (key.bytes() + self.value.len() + RECORD_OVERHEAD_BYTES) as u64
    }
}

/// A segment on disk, with its live entries.
#[derive(Clone, Debug, Default)]
pub(super) struct Segment {
    /// Length of the segment, bytes.
    bytes: u64,
    /// Keys of the entries whose latest version is in this segment.
    live_keys: BTreeSet<EntryKey>,
    /// Size of these entries in the segment, bytes.
    live_bytes: u64,
}

impl Segment {
    /// Whether the segment holds no entry's latest version.
    pub(super) fn is_dead(&self) -> bool {
        self.live_keys.is_empty()
    }

    /// The fraction of the segment that is live, from 0 to 1.
    pub(super) fn live_fraction(&self) -> f64 {
        self.live_bytes as f64 / self.bytes.max(1) as f64
    }
}

/// The version of an entry before a change.
struct UndoRecord {
    key: EntryKey,
    previous: Option<Entry>,
}

/// A position in the undo log.
#[derive(Clone, Copy)]
pub(super) struct Savepoint(usize);

/// The state at the last successful sync.
pub(super) const LAST_SYNC: Savepoint = Savepoint(0);

/// All tables, and the segments that hold their entries.
#[derive(Default)]
pub(super) struct TableIndex {
    entries: BTreeMap<EntryKey, Entry>,
    expirations: BTreeSet<(u64, EntryKey)>,
    segments: BTreeMap<u64, Segment>,
    memory_bytes: usize,
    undo_log: Vec<UndoRecord>,
}

impl TableIndex {
    pub(super) fn get(&self, now_ms: f64, table: &str, key: &[u8]) -> Option<&[u8]> {
        let entry = self.entries.get(&EntryKey { table: table.to_owned(), key: key.to_vec() })?;
        (entry.expires_at_ms > now_ms).then_some(entry.value.as_slice())
    }

    pub(super) fn table(&self, now_ms: f64, table: &str) -> impl Iterator<Item = (&[u8], &[u8])> {
        let first = EntryKey { table: table.to_owned(), key: Vec::new() };
        let in_table = self.entries.range(first..).take_while(move |(key, _)| key.table == table);
        let unexpired = in_table.filter(move |(_, entry)| entry.expires_at_ms > now_ms);
        unexpired.map(|(key, entry)| (key.key.as_slice(), entry.value.as_slice()))
    }

    /// Memory of all entries, bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    // ---- changes ----

    /// Applies a change that is in this segment. It can be rolled back until [`Self::commit`].
    pub(super) fn apply(&mut self, change: &Change, segment: u64) {
        let undo = self.apply_unlogged(change, segment);
        self.undo_log.push(undo);
    }

    /// Applies a change that was read back from this segment. If it expires before `expired_before_ms`, its
    /// key is removed.
    pub(super) fn replay(&mut self, change: &Change, segment: u64, expired_before_ms: f64) {
        let UndoRecord { key, .. } = self.apply_unlogged(change, segment);
        if change.expires_at_ms < expired_before_ms {
            self.replace(key, None);
        }
    }

    fn apply_unlogged(&mut self, change: &Change, segment: u64) -> UndoRecord {
        let key = EntryKey { table: change.table.clone(), key: change.key.clone() };
        let expires_at_ms = change.expires_at_ms.max(0.0);
        let entry = change.value.clone().map(|value| Entry { value, expires_at_ms, segment });
        let previous = self.replace(key.clone(), entry);
        UndoRecord { key, previous }
    }

    /// The current state, for [`Self::roll_back`].
    pub(super) fn savepoint(&self) -> Savepoint {
        Savepoint(self.undo_log.len())
    }

    /// Undoes all changes since the savepoint.
    pub(super) fn roll_back(&mut self, savepoint: Savepoint) {
        for UndoRecord { key, previous } in self.undo_log.split_off(savepoint.0).into_iter().rev() {
            // If the segment of the previous version has been removed since, that version has expired.
            let previous = previous.filter(|entry| self.segments.contains_key(&entry.segment));
            self.replace(key, previous);
        }
    }

    /// Marks all changes so far as synced: they can no longer be rolled back.
    pub(super) fn commit(&mut self) {
        self.undo_log.clear();
    }

    /// Removes all entries that have expired.
    pub(super) fn expire(&mut self, now_ms: f64) {
        while let Some((expiry_bits, key)) = self.expirations.first()
            && f64::from_bits(*expiry_bits) <= now_ms
        {
            let key = key.clone();
            self.replace(key, None);
        }
    }

    /// Replaces the entry of a key, and returns the previous one.
    fn replace(&mut self, key: EntryKey, entry: Option<Entry>) -> Option<Entry> {
        let previous = self.entries.remove(&key);
        if let Some(previous) = &previous {
            self.unlink(&key, previous);
        }
        if let Some(entry) = entry {
            self.link(&key, &entry);
            self.entries.insert(key, entry);
        }
        previous
    }

    fn link(&mut self, key: &EntryKey, entry: &Entry) {
        self.memory_bytes += entry.memory_bytes(key);
        self.expirations.insert((entry.expiry_bits(), key.clone()));
        if let Some(segment) = self.segments.get_mut(&entry.segment) {
            segment.live_keys.insert(key.clone());
            segment.live_bytes += entry.record_bytes(key);
        }
    }

    fn unlink(&mut self, key: &EntryKey, entry: &Entry) {
        self.memory_bytes -= entry.memory_bytes(key);
        self.expirations.remove(&(entry.expiry_bits(), key.clone()));
        if let Some(segment) = self.segments.get_mut(&entry.segment)
            && segment.live_keys.remove(key)
        {
            segment.live_bytes -= entry.record_bytes(key);
        }
    }

    // ---- segments ----

    /// Adds a segment of this length, which holds no entries yet.
    pub(super) fn add_segment(&mut self, number: u64, bytes: u64) {
        self.segments.insert(number, Segment { bytes, ..Segment::default() });
    }

    /// Updates the length of a segment.
    pub(super) fn set_segment_bytes(&mut self, number: u64, bytes: u64) {
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.bytes = bytes;
        }
    }

    /// Drops a segment that was removed from the disk.
    pub(super) fn remove_segment(&mut self, number: u64) {
        self.segments.remove(&number);
    }

    /// The segment with the lowest number.
    pub(super) fn oldest_segment(&self) -> Option<(u64, &Segment)> {
        self.segments.first_key_value().map(|(number, segment)| (*number, segment))
    }

    /// The highest segment number.
    pub(super) fn newest_segment_number(&self) -> Option<u64> {
        self.segments.last_key_value().map(|(number, _)| *number)
    }

    /// Length of all segments, bytes.
    pub(super) fn disk_bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.bytes).sum()
    }

    /// Changes that rewrite the live entries of a segment, in key order, until their keys and values reach
    /// `max_bytes`.
    pub(super) fn live_changes(&self, segment: u64, max_bytes: usize) -> Vec<Change> {
        let mut changes = Vec::new();
        let mut bytes = 0;
        let live_keys = self.segments.get(&segment).into_iter().flat_map(|segment| &segment.live_keys);
        for key in live_keys {
            let Some(entry) = self.entries.get(key) else { continue };
            bytes += entry.value.len() + key.key.len();
            changes.push(Change {
                table: key.table.clone(),
                key: key.key.clone(),
                value: Some(entry.value.clone()),
                expires_at_ms: entry.expires_at_ms,
            });
            if bytes >= max_bytes {
                break;
            }
        }
        changes
    }
}
