//! Keys of classes that this process does not know, as another process of this server told them. The two may have been started
//! with different files, and a reload may bring the class later: its keys must not run again then. It owns these records only.

use std::collections::BTreeMap;

use pinepoint_handover::message::{Key, KeyRecord, KeyState};

/// Records kept at most. Results are not kept: a repeat of such a key is told that it failed.
const RECORDS_MOST: usize = 4096;
/// Records outlive their windows by this much, ms, for tries that came in time and were read late.
const AFTERLIFE_MS: f64 = 15_000.0;

/// The records.
#[derive(Debug, Default)]
pub(super) struct UnknownClasses {
    records: BTreeMap<Key, KeyRecord>,
    /// Until when one of the records that found no room lives, Unix ms.
    dropped_until_ms: f64,
}

impl UnknownClasses {
    /// Keeps a record, in place of an earlier one of the same key.
    pub fn keep(&mut self, now_ms: f64, mut record: KeyRecord) {
        if record.state == KeyState::Released {
            self.records.remove(&record.key);
            return;
        }
        if !record.state.is_open() {
            record.state = KeyState::Failed;
        }
        if self.records.len() >= RECORDS_MOST && !self.records.contains_key(&record.key) {
            self.records.retain(|_, kept| kept.until_ms + AFTERLIFE_MS > now_ms);
        }
        if self.records.len() >= RECORDS_MOST && !self.records.contains_key(&record.key) {
            self.dropped_until_ms = self.dropped_until_ms.max(record.until_ms + AFTERLIFE_MS);
            return;
        }
        self.records.insert(record.key.clone(), record);
    }

    /// The process that told the records is gone: its tries under way have failed.
    pub fn fail_open(&mut self) {
        for record in self.records.values_mut() {
            record.state = KeyState::Failed;
        }
    }

    /// The records of tries under way are told anew.
    pub fn discard_open(&mut self) {
        self.records.retain(|_, record| !record.state.is_open());
    }

    /// All records, for a further process.
    pub fn all(&self) -> impl Iterator<Item = &KeyRecord> {
        self.records.values()
    }

    /// Takes out the records whose classes are known now. Also tells until when some of their keys may be unknown, Unix ms,
    /// if records were dropped.
    pub fn take_known(&mut self, is_known: impl Fn(&Key) -> bool) -> (Vec<KeyRecord>, f64) {
        let known: Vec<Key> = self.records.keys().filter(|key| is_known(key)).cloned().collect();
        let records = known.iter().filter_map(|key| self.records.remove(key)).collect();
        (records, self.dropped_until_ms)
    }
}
