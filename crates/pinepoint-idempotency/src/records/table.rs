//! The records by key, with the counts that the limits need, and their stored form.

use std::collections::BTreeMap;

use pinepoint_store::format::Change;
use serde::{Deserialize, Serialize};

use super::event::{Key, RunOutcome, WriteId};

/// The table of the store that holds the records.
pub const TABLE: &str = "ledger";
/// Expiry time in the store, ms. Records are removed explicitly, because the store's expiry depends on a
/// clock that may be wrong.
const NEVER_EXPIRES_MS: f64 = f64::MAX;

/// A record as it is stored. The order of the fields is part of the stored format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct StoredRecord {
    pub(super) caller: u64,
    pub(super) digest: u64,
    pub(super) first_sent_ms: f64,
    pub(super) window_ms: f64,
    /// `None` for an intent: the run may have started.
    pub(super) outcome: Option<RunOutcome>,
}

impl StoredRecord {
    pub(super) fn window_end_ms(&self) -> f64 {
        self.first_sent_ms + self.window_ms
    }
}

/// The change that stores a record.
pub(super) fn put_change(key: &[u8], stored: &StoredRecord) -> Change {
    change(key, Some(postcard::to_allocvec(stored).unwrap_or_default()))
}

/// The change that removes a stored record.
pub(super) fn remove_change(key: &[u8]) -> Change {
    change(key, None)
}

fn change(key: &[u8], value: Option<Vec<u8>>) -> Change {
    Change { table: TABLE.into(), key: key.to_vec(), value, expires_at_ms: NEVER_EXPIRES_MS }
}

/// The state of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The intent is being written.
    PersistingIntent(WriteId),
    /// The request runs.
    Running,
    /// The run ended, and its outcome is being written.
    PersistingOutcome(WriteId, RunOutcome),
    /// The run ended with this result.
    Completed(Vec<u8>),
    /// The run ended without a result, or its result is not retained.
    NoResult,
    /// An intent without an outcome was read back after a restart: the request may have run.
    MayHaveRun,
}

#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) stored: StoredRecord,
    pub(super) state: State,
    /// The attempt that is being run.
    running: Option<u64>,
    /// Attempts that wait for the same run.
    waiting: Vec<u64>,
}

impl Record {
    /// A record for a new key, with the attempt that runs it.
    pub(super) fn new(stored: StoredRecord, state: State, running: u64) -> Record {
        Record { stored, state, running: Some(running), waiting: Vec::new() }
    }

    /// A record that was read back from the store.
    pub(super) fn recovered(stored: StoredRecord) -> Record {
        let state = match &stored.outcome {
            Some(RunOutcome::Completed(result)) => State::Completed(result.clone()),
            Some(RunOutcome::NoResult | RunOutcome::NeverRan) => State::NoResult,
            None => State::MayHaveRun,
        };
        Record { stored, state, running: None, waiting: Vec::new() }
    }

    fn is_finished(&self) -> bool {
        matches!(self.state, State::Completed(_) | State::NoResult | State::MayHaveRun)
    }

    /// Whether a request that was first sent at this time is a new request, because the window of the
    /// finished record is over.
    pub(super) fn is_outdated_for(&self, now_ms: f64, first_sent_ms: f64) -> bool {
        let window_end_ms = self.stored.window_end_ms();
        self.is_finished() && first_sent_ms >= window_end_ms && now_ms >= window_end_ms
    }

    /// Whether the record is finished and its grace period is over, so that no attempt refers to it any more.
    pub(super) fn is_expired(&self, now_ms: f64, grace_ms: f64) -> bool {
        self.is_finished() && now_ms >= self.stored.window_end_ms() + grace_ms
    }

    pub(super) fn running_attempt(&self) -> Option<u64> {
        self.running
    }

    pub(super) fn wait(&mut self, ticket: u64) {
        self.waiting.push(ticket);
    }

    pub(super) fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|waiting| *waiting != ticket);
    }

    /// Takes all attempts that have to be answered: first the running attempt, then the waiting ones.
    pub(super) fn take_attempts(&mut self) -> Vec<u64> {
        let running = self.running.take();
        running.into_iter().chain(std::mem::take(&mut self.waiting)).collect()
    }
}

/// All records.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordTable {
    records: BTreeMap<Key, Record>,
    per_caller: BTreeMap<u64, usize>,
    /// Size of all retained results, bytes.
    result_bytes: usize,
}

impl RecordTable {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) fn len_of_caller(&self, caller: u64) -> usize {
        self.per_caller.get(&caller).copied().unwrap_or(0)
    }

    pub(super) fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    pub(super) fn get_mut(&mut self, key: &[u8]) -> Option<&mut Record> {
        self.records.get_mut(key)
    }

    pub(super) fn first_key(&self) -> Option<Key> {
        self.records.keys().next().cloned()
    }

    pub(super) fn insert(&mut self, key: Key, record: Record) {
        *self.per_caller.entry(record.stored.caller).or_default() += 1;
        if let State::Completed(result) = &record.state {
            self.result_bytes += result.len();
        }
        self.records.insert(key, record);
    }

    pub(super) fn remove(&mut self, key: &[u8]) -> Option<Record> {
        let record = self.records.remove(key)?;
        if let Some(count) = self.per_caller.get_mut(&record.stored.caller) {
            *count -= 1;
            if *count == 0 {
                self.per_caller.remove(&record.stored.caller);
            }
        }
        if let State::Completed(result) = &record.state {
            self.result_bytes -= result.len();
        }
        Some(record)
    }

    /// Finishes the record of a key, and returns the attempts that have to be answered. The result is
    /// retained only if all results then stay within `max_result_bytes`.
    pub(super) fn finish(&mut self, key: &[u8], outcome: RunOutcome, max_result_bytes: usize) -> Vec<u64> {
        let available_bytes = max_result_bytes.saturating_sub(self.result_bytes);
        let Some(record) = self.records.get_mut(key) else { return Vec::new() };
        record.state = match outcome {
            RunOutcome::Completed(result) if result.len() <= available_bytes => {
                self.result_bytes += result.len();
                State::Completed(result)
            }
            _ => State::NoResult,
        };
        record.take_attempts()
    }

    /// Keys of all expired records.
    pub(super) fn expired_keys(&self, now_ms: f64, grace_ms: f64) -> Vec<Key> {
        let expired = self.records.iter().filter(|(_, record)| record.is_expired(now_ms, grace_ms));
        expired.map(|(key, _)| key.clone()).collect()
    }
}
