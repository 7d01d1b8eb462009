//! The state machine of idempotency keys: for each attempt it decides whether to run the request, wait for a
//! run, respond, reject or fail. Events and the current time go in, actions come out; it does no I/O and
//! reads no clock.
//!
//! The intent of a run is durable before the run starts, and its outcome is written before it is delivered.
//! The records that are read back after a crash therefore show for each key whether a run may have started.
//! Such a key is not run again in its window, and its attempts are failed, not rejected.

mod event;
mod options;
mod table;

pub use self::event::{Action, Attempt, Event, FailReason, Key, RejectReason, RunOutcome, WriteId};
#[doc(hidden)]
pub use self::options::Fault;
pub use self::options::{Options, StoreUnavailablePolicy};
pub use self::table::TABLE;

use std::collections::BTreeMap;

use pinepoint_store::format::Change;

use self::table::{Record, RecordTable, State, StoredRecord, put_change, remove_change};
use crate::clock::ClockContinuity;

/// The idempotency records of a process.
#[derive(Clone, Debug)]
pub struct IdempotencyRecords {
    options: Options,
    table: RecordTable,
    last_write: WriteId,
    /// The key of each write that is in progress.
    pending_writes: BTreeMap<WriteId, Key>,
    is_store_available: bool,
}

/// Result of restoring the records from the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveryReport {
    /// Changes that store the records whose windows were moved to the current clock. They have to be written
    /// in one batch with a new [`ClockReading`](crate::clock::ClockReading), and before any other reading.
    /// Otherwise a second restart would compare them with a clock that they do not follow.
    pub rewritten: Vec<Change>,
    /// Number of keys with a result.
    pub completed: usize,
    /// Number of keys without a result: their requests may have run.
    pub may_have_run: usize,
    /// Number of stored values that are not records of this program.
    pub unreadable: usize,
}

impl IdempotencyRecords {
    /// Restores the records from keys and values of the store's table [`TABLE`]. `continuity` relates the
    /// clock of the process that wrote them to the current one; if the relation is not known, all windows
    /// start again at `now_ms`, Unix ms.
    pub fn open<'a>(
        options: Options,
        now_ms: f64,
        continuity: ClockContinuity,
        entries: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    ) -> (IdempotencyRecords, RecoveryReport) {
        let mut table = RecordTable::default();
        let mut report = RecoveryReport::default();
        for (key, value) in entries {
            let Ok(mut stored) = postcard::from_bytes::<StoredRecord>(value) else {
                report.unreadable += 1;
                continue;
            };
            let first_sent_ms = continuity.to_current_clock(stored.first_sent_ms).unwrap_or(now_ms);
            if first_sent_ms != stored.first_sent_ms {
                stored.first_sent_ms = first_sent_ms;
                report.rewritten.push(put_change(key, &stored));
            }
            let record = Record::recovered(stored);
            match record.state {
                State::Completed(_) => report.completed += 1,
                _ => report.may_have_run += 1,
            }
            table.insert(key.to_vec(), record);
        }
        let records = IdempotencyRecords {
            options,
            table,
            last_write: 0,
            pending_writes: BTreeMap::new(),
            is_store_available: true,
        };
        (records, report)
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Size of all retained results, bytes.
    pub fn result_bytes(&self) -> usize {
        self.table.result_bytes()
    }

    /// Handles one event at this time, Unix ms, and appends the actions that follow from it to `out`.
    pub fn handle(&mut self, now_ms: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Attempt(attempt) => self.attempt(now_ms, attempt, out),
            Event::WriteCompleted { write, is_durable } => self.write_completed(write, is_durable, out),
            Event::RunEnded { key, outcome } => self.run_ended(&key, outcome, out),
            Event::AttemptCancelled { ticket, key } => {
                if let Some(record) = self.table.get_mut(&key) {
                    record.cancel(ticket);
                }
            }
            Event::StoreAvailable(is_available) => self.is_store_available = is_available,
            Event::Tick => self.remove_expired(now_ms, out),
        }
    }

    // ---- attempts ----

    fn attempt(&mut self, now_ms: f64, attempt: Attempt, out: &mut Vec<Action>) {
        let first_sent_ms = attempt.first_sent_ms;
        let known = self.table.get_mut(&attempt.key);
        if known.is_some_and(|record| record.is_outdated_for(now_ms, first_sent_ms)) {
            self.table.remove(&attempt.key);
        }
        match self.table.get_mut(&attempt.key) {
            Some(record) => attempt_of_known_key(record, &attempt, out),
            None => self.attempt_of_new_key(attempt, out),
        }
    }

    fn attempt_of_new_key(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        if self.options.fault == Some(Fault::EvictAtBound) {
            self.evict_at_bound();
        }
        if let Err(reason) = self.check_capacity(attempt.caller) {
            return out.push(Action::Reject { ticket: attempt.ticket, reason });
        }
        let Attempt { ticket, key, caller, digest, first_sent_ms, window_ms } = attempt;
        let stored = StoredRecord { caller, digest, first_sent_ms, window_ms, outcome: None };
        let intent = self.is_store_available.then(|| self.write_durably(&key, &stored, out));
        let state = match intent {
            Some(write) if self.options.fault != Some(Fault::IntentAfterRun) => {
                State::PersistingIntent(write)
            }
            _ => {
                out.push(Action::Run { ticket, key: key.clone() });
                State::Running
            }
        };
        self.table.insert(key, Record::new(stored, state, ticket));
    }

    fn check_capacity(&self, caller: u64) -> Result<(), RejectReason> {
        let requires_store = self.options.store_unavailable == StoreUnavailablePolicy::Reject;
        if self.table.len() >= self.options.max_records {
            Err(RejectReason::RecordsFull)
        } else if self.table.len_of_caller(caller) >= self.options.max_records_per_caller {
            Err(RejectReason::CallerRecordsFull)
        } else if !self.is_store_available && requires_store {
            Err(RejectReason::StoreUnavailable)
        } else {
            Ok(())
        }
    }

    /// Implements [`Fault::EvictAtBound`], a fault that tests inject.
    fn evict_at_bound(&mut self) {
        if self.table.len() >= self.options.max_records
            && let Some(key) = self.table.first_key()
        {
            self.table.remove(&key);
        }
    }

    // ---- writes and runs ----

    fn write_durably(&mut self, key: &Key, stored: &StoredRecord, out: &mut Vec<Action>) -> WriteId {
        self.last_write += 1;
        let write = self.last_write;
        self.pending_writes.insert(write, key.clone());
        out.push(Action::WriteDurably { write, changes: vec![put_change(key, stored)] });
        write
    }

    fn write_completed(&mut self, write: WriteId, is_durable: bool, out: &mut Vec<Action>) {
        let Some(key) = self.pending_writes.remove(&write) else { return };
        let Some(record) = self.table.get_mut(&key) else { return };
        match &record.state {
            State::PersistingIntent(pending) if *pending == write => {
                if is_durable {
                    record.state = State::Running;
                    let running = record.running_attempt();
                    out.extend(running.map(|ticket| Action::Run { ticket, key }));
                } else {
                    // The request did not run. If the intent is found after a restart nevertheless, attempts
                    // with this key fail for one window.
                    self.reject_all(&key, RejectReason::IntentNotDurable, out);
                }
            }
            // Even if the write failed: the intent is still stored and prevents a second run.
            State::PersistingOutcome(pending, outcome) if *pending == write => {
                let outcome = outcome.clone();
                self.finish(&key, outcome, out);
            }
            _ => {}
        }
    }

    fn run_ended(&mut self, key: &Key, outcome: RunOutcome, out: &mut Vec<Action>) {
        let Some(record) = self.table.get_mut(key).filter(|record| record.state == State::Running) else {
            return;
        };
        if outcome == RunOutcome::NeverRan {
            out.push(Action::WriteLazily(vec![remove_change(key)]));
            self.reject_all(key, RejectReason::NeverRan, out);
        } else if self.is_store_available {
            record.stored.outcome = Some(outcome.clone());
            let stored = record.stored.clone();
            let write = self.write_durably(key, &stored, out);
            if let Some(record) = self.table.get_mut(key) {
                record.state = State::PersistingOutcome(write, outcome);
            }
        } else {
            self.finish(key, outcome, out);
        }
    }

    /// Finishes a record and answers all its attempts.
    fn finish(&mut self, key: &[u8], outcome: RunOutcome, out: &mut Vec<Action>) {
        let result = match &outcome {
            RunOutcome::Completed(result) => Some(result.clone()),
            RunOutcome::NoResult | RunOutcome::NeverRan => None,
        };
        for ticket in self.table.finish(key, outcome, self.options.max_result_bytes) {
            out.push(match &result {
                Some(result) => Action::Respond { ticket, result: result.clone() },
                None => Action::Fail { ticket, reason: FailReason::NoResult },
            });
        }
    }

    /// Removes the record of a key whose request never ran, and rejects all its attempts.
    fn reject_all(&mut self, key: &[u8], reason: RejectReason, out: &mut Vec<Action>) {
        let Some(mut record) = self.table.remove(key) else { return };
        out.extend(record.take_attempts().into_iter().map(|ticket| Action::Reject { ticket, reason }));
    }

    fn remove_expired(&mut self, now_ms: f64, out: &mut Vec<Action>) {
        let keys = self.table.expired_keys(now_ms, self.options.grace_ms);
        if keys.is_empty() {
            return;
        }
        out.push(Action::WriteLazily(keys.iter().map(|key| remove_change(key)).collect()));
        for key in keys {
            self.table.remove(&key);
        }
    }
}

fn attempt_of_known_key(record: &mut Record, attempt: &Attempt, out: &mut Vec<Action>) {
    let ticket = attempt.ticket;
    if record.stored.digest != attempt.digest {
        out.push(Action::Fail { ticket, reason: FailReason::PayloadMismatch });
        return;
    }
    match &record.state {
        State::PersistingIntent(_) | State::Running | State::PersistingOutcome(..) => record.wait(ticket),
        State::Completed(result) => out.push(Action::Respond { ticket, result: result.clone() }),
        State::NoResult => out.push(Action::Fail { ticket, reason: FailReason::NoResult }),
        State::MayHaveRun => out.push(Action::Fail { ticket, reason: FailReason::MayHaveRun }),
    }
}
