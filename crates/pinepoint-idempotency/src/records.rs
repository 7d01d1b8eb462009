//! What becomes of each try of a keyed request, for every combination of what the ledger, the engine and the caller say. It owns
//! the rule that no key's effect happens twice in its window, over restarts too; it must never do I/O or read a clock. Events
//! and the time go in, actions come out.
//!
//! An intent is durable before a run leaves, and a result before it is told, so that whatever is read back after a power cut tells
//! for each key whether a run may have begun. One that may have is never run again in its window and never told that it was
//! refused.

use std::collections::BTreeMap;

use pinepoint_events::reason_codes;
use pinepoint_store::format::Change;
use serde::{Deserialize, Serialize};

use crate::clock::ClockContinuity;

/// The table of the store in which entries are kept.
pub const TABLE: &str = "ledger";
/// Entries are removed by the ledger, which knows when they are over; the store's own clock may be wrong.
const NEVER_EXPIRES_MS: f64 = f64::MAX;

/// A class and a token, as bytes.
pub type Key = Vec<u8>;

/// Bounds.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Keys at most.
    pub max_records: usize,
    /// Of these, of one caller.
    pub max_records_per_caller: usize,
    /// Bytes of results at most; beyond, a result is told and not kept.
    pub max_result_bytes: usize,
    /// How long an entry outlives its window, ms, for tries that came in time and were read late.
    pub grace_ms: f64,
    /// What a store that does not write any more means for keyed work.
    pub store_unavailable: StoreUnavailablePolicy,
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            max_records: 20_000,
            max_records_per_caller: 5_000,
            max_result_bytes: 4 << 20,
            grace_ms: 15_000.0,
            store_unavailable: StoreUnavailablePolicy::Reject,
            fault: None,
        }
    }
}

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreUnavailablePolicy {
    /// Keyed work is refused before it runs.
    Reject,
    /// It is served, and forgotten at the next restart.
    RunUnrecorded,
}

/// A fault that is built in for tests that have to find it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The run leaves before its intent is durable.
    IntentAfterRun,
    /// At the bound an open window is given up.
    EvictAtBound,
}

/// A try as it was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Names it in what comes out.
    pub ticket: u64,
    /// Its key.
    pub key: Key,
    /// Whose it is.
    pub caller: u64,
    /// Of its body: the same over restarts.
    pub digest: u64,
    /// When it was first sent, Unix ms.
    pub first_sent_ms: f64,
    /// How long its effect must stay single from then on, ms.
    pub window_ms: f64,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// With this result.
    Completed(Vec<u8>),
    /// Without one; it may have had its effect.
    NoResult,
    /// It is proved that it never ran.
    NeverRan,
}

/// What reaches the ledger.
#[derive(Clone, Debug)]
pub enum Event {
    /// A try was read.
    Attempt(Attempt),
    /// The write of this number is durable, or is not.
    WriteCompleted(u64, bool),
    /// The run of this key is over.
    RunEnded(Key, RunOutcome),
    /// Nobody waits for this try of this key any more.
    AttemptCancelled(u64, Key),
    /// The store does not write any more, or does again.
    StoreAvailable(bool),
    /// Time has passed.
    Tick,
}

reason_codes! {
    /// Why a try is refused: its effect has provably not happened.
    RejectReason {
        /// As many keys are kept as may be.
        RecordsFull = "keys-full",
        /// As many of this caller.
        CallerRecordsFull = "caller-keys-full",
        /// Nothing can be kept.
        StoreUnavailable = "no-store",
        /// Its intent could not be kept; it was not run.
        IntentNotDurable = "intent-not-kept",
        /// The try that it waited for was never run.
        NeverRan = "never-ran",
    }
}

reason_codes! {
    /// Why a try fails: its effect may have happened.
    FailReason {
        /// The key stands for another request.
        PayloadMismatch = "other-body",
        /// A run of it had begun when the power went.
        MayHaveRun = "may-have-run",
        /// Its run ended without a result.
        NoResult = "without-result",
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write this; it has to be durable before [`Event::WriteCompleted`] says so.
    WriteDurably(u64, Vec<Change>),
    /// Write this some time.
    WriteLazily(Vec<Change>),
    /// Run this try.
    Run(u64, Key),
    /// Answer it with this result.
    Respond(u64, Vec<u8>),
    /// Turn it away.
    Reject(u64, RejectReason),
    /// Tell it that it failed.
    Fail(u64, FailReason),
}

/// Where a key stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Its intent is being written, by the write of this number.
    PersistingIntent(u64),
    /// Its run has left.
    Running,
    /// Its end is being written.
    PersistingOutcome(u64, RunOutcome),
    /// It is over, with this result.
    Completed(Vec<u8>),
    /// It is over without one.
    NoResult,
    /// It had begun when the power went.
    MayHaveRun,
}

/// As it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct StoredRecord {
    caller: u64,
    digest: u64,
    first_sent_ms: f64,
    window_ms: f64,
    /// Nothing: it was intended, and may have begun.
    outcome: Option<RunOutcome>,
}

#[derive(Clone, Debug)]
struct Record {
    stored: StoredRecord,
    state: State,
    /// The try that runs, and those that wait for it.
    first: Option<u64>,
    waiting: Vec<u64>,
    /// No try before this is another request, ms; it goes once the afterlife is over too.
    window_end_ms: f64,
}

/// The ledger.
#[derive(Clone, Debug)]
pub struct IdempotencyRecords {
    options: Options,
    entries: BTreeMap<Key, Record>,
    callers: BTreeMap<u64, usize>,
    result_bytes: usize,
    writes: u64,
    /// The key of each write that is under way.
    writing: BTreeMap<u64, Key>,
    is_store_available: bool,
}

/// What was read back at the opening.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RecoveryReport {
    /// The windows as they are on the clock of this life. To be written in one batch with the new mark of the time, and before
    /// any other mark: a second cut would else be judged by a clock that the entries are not of.
    pub rewritten: Vec<Change>,
    /// Keys with a result.
    pub completed: usize,
    /// Keys that may have run.
    pub may_have_run: usize,
    /// Entries that were no entries of this program.
    pub unreadable: usize,
}

impl IdempotencyRecords {
    /// From what the store holds. `continuity` is what is known of the time since it was written: where that is not known, no window
    /// is believed to be over before it has passed once more.
    pub fn open<'a>(
        options: Options,
        now: f64,
        continuity: ClockContinuity,
        entries: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    ) -> (IdempotencyRecords, RecoveryReport) {
        let mut records = IdempotencyRecords {
            options,
            entries: BTreeMap::new(),
            callers: BTreeMap::new(),
            result_bytes: 0,
            writes: 0,
            writing: BTreeMap::new(),
            is_store_available: true,
        };
        let mut report = RecoveryReport::default();
        for (key, value) in entries {
            let Ok(mut stored) = postcard::from_bytes::<StoredRecord>(value) else {
                report.unreadable += 1;
                continue;
            };
            // Where the time between is not known, the window may have begun just now.
            let first_sent_ms = continuity.to_current_clock(stored.first_sent_ms).unwrap_or(now);
            if first_sent_ms != stored.first_sent_ms {
                stored.first_sent_ms = first_sent_ms;
                report.rewritten.push(Self::change(&key.to_vec(), Some(&stored)));
            }
            let window_end_ms = first_sent_ms + stored.window_ms;
            let state = match &stored.outcome {
                Some(RunOutcome::Completed(result)) => State::Completed(result.clone()),
                Some(_) => State::NoResult,
                None => State::MayHaveRun,
            };
            match state {
                State::Completed(_) => report.completed += 1,
                _ => report.may_have_run += 1,
            }
            let record = Record { stored, state, first: None, waiting: Vec::new(), window_end_ms };
            records.insert(key.to_vec(), record);
        }
        (records, report)
    }

    /// Keys that are kept, and bytes of results.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.result_bytes)
    }

    /// Takes one event.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Attempt(tried) => self.attempt(now, tried, out),
            Event::WriteCompleted(number, durable) => self.write_completed(number, durable, out),
            Event::RunEnded(key, end) => self.run_ended(key, end, out),
            Event::AttemptCancelled(ticket, key) => {
                if let Some(record) = self.entries.get_mut(&key) {
                    record.waiting.retain(|waits| *waits != ticket);
                }
            }
            Event::StoreAvailable(writes) => self.is_store_available = writes,
            Event::Tick => self.sweep(now, out),
        }
    }

    // ---- entries ----

    fn insert(&mut self, key: Key, record: Record) {
        *self.callers.entry(record.stored.caller).or_default() += 1;
        if let State::Completed(result) = &record.state {
            self.result_bytes += result.len();
        }
        self.entries.insert(key, record);
    }

    fn remove(&mut self, key: &[u8]) -> Option<Record> {
        let record = self.entries.remove(key)?;
        if let Some(n) = self.callers.get_mut(&record.stored.caller) {
            *n -= 1;
            if *n == 0 {
                self.callers.remove(&record.stored.caller);
            }
        }
        if let State::Completed(result) = &record.state {
            self.result_bytes -= result.len();
        }
        Some(record)
    }

    fn change(key: &Key, stored: Option<&StoredRecord>) -> Change {
        let value = stored.map(|stored| postcard::to_allocvec(stored).unwrap_or_default());
        Change { table: TABLE.into(), key: key.clone(), value, expires_at_ms: NEVER_EXPIRES_MS }
    }

    fn write(&mut self, key: &Key, stored: &StoredRecord, out: &mut Vec<Action>) -> u64 {
        self.writes += 1;
        self.writing.insert(self.writes, key.clone());
        out.push(Action::WriteDurably(self.writes, vec![Self::change(key, Some(stored))]));
        self.writes
    }

    // ---- what comes in ----

    fn attempt(&mut self, now: f64, tried: Attempt, out: &mut Vec<Action>) {
        let Attempt { ticket, key, caller, digest, first_sent_ms, window_ms } = tried;
        // A window counts from the first sending of the try that ran. One that is under way is not over.
        let is_over = self.entries.get(&key).is_some_and(|record| {
            let ended = matches!(record.state, State::Completed(_) | State::NoResult | State::MayHaveRun);
            ended && first_sent_ms >= record.window_end_ms && now >= record.window_end_ms
        });
        if is_over {
            self.remove(&key);
        }
        if let Some(record) = self.entries.get_mut(&key) {
            if record.stored.digest != digest {
                out.push(Action::Fail(ticket, FailReason::PayloadMismatch));
                return;
            }
            match &record.state {
                State::PersistingIntent(_) | State::Running | State::PersistingOutcome(..) => {
                    record.waiting.push(ticket)
                }
                State::Completed(result) => out.push(Action::Respond(ticket, result.clone())),
                State::NoResult => out.push(Action::Fail(ticket, FailReason::NoResult)),
                State::MayHaveRun => out.push(Action::Fail(ticket, FailReason::MayHaveRun)),
            }
            return;
        }
        if self.entries.len() >= self.options.max_records && self.options.fault == Some(Fault::EvictAtBound) {
            let first = self.entries.keys().next().cloned();
            first.and_then(|first| self.remove(&first));
        }
        let refusal = if self.entries.len() >= self.options.max_records {
            Some(RejectReason::RecordsFull)
        } else if self.callers.get(&caller).is_some_and(|n| *n >= self.options.max_records_per_caller) {
            Some(RejectReason::CallerRecordsFull)
        } else if !self.is_store_available && self.options.store_unavailable == StoreUnavailablePolicy::Reject
        {
            Some(RejectReason::StoreUnavailable)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            out.push(Action::Reject(ticket, refusal));
            return;
        }
        let stored = StoredRecord { caller, digest, first_sent_ms, window_ms, outcome: None };
        let hasty = !self.is_store_available || self.options.fault == Some(Fault::IntentAfterRun);
        let state = if self.is_store_available {
            let number = self.write(&key, &stored, out);
            if hasty { State::Running } else { State::PersistingIntent(number) }
        } else {
            State::Running
        };
        if hasty {
            out.push(Action::Run(ticket, key.clone()));
        }
        let window_end_ms = first_sent_ms + window_ms;
        self.insert(key, Record { stored, state, first: Some(ticket), waiting: Vec::new(), window_end_ms });
    }

    fn write_completed(&mut self, number: u64, durable: bool, out: &mut Vec<Action>) {
        let Some(key) = self.writing.remove(&number) else { return };
        let Some(record) = self.entries.get_mut(&key) else { return };
        match record.state.clone() {
            State::PersistingIntent(n) if n == number && durable => {
                record.state = State::Running;
                let first = record.first;
                out.extend(first.map(|ticket| Action::Run(ticket, key)));
            }
            State::PersistingIntent(n) if n == number => {
                // Nothing has left. The intent may be found after a restart, and then keeps the key from running: no harm.
                if let Some(record) = self.remove(&key) {
                    let all = record.first.into_iter().chain(record.waiting);
                    out.extend(all.map(|ticket| Action::Reject(ticket, RejectReason::IntentNotDurable)));
                }
            }
            // Whether the end is safe or not, what was done is told: without it the intent stands, and the key is not run again.
            State::PersistingOutcome(n, end) if n == number => self.complete(&key, end, out),
            _ => {}
        }
    }

    fn run_ended(&mut self, key: Key, end: RunOutcome, out: &mut Vec<Action>) {
        let is_store_available = self.is_store_available;
        let Some(record) = self.entries.get_mut(&key).filter(|record| record.state == State::Running) else {
            return;
        };
        if end == RunOutcome::NeverRan {
            out.push(Action::WriteLazily(vec![Self::change(&key, None)]));
            if let Some(record) = self.remove(&key) {
                let all = record.first.into_iter().chain(record.waiting);
                out.extend(all.map(|ticket| Action::Reject(ticket, RejectReason::NeverRan)));
            }
            return;
        }
        if !is_store_available {
            return self.complete(&key, end, out);
        }
        record.stored.outcome = Some(end.clone());
        let stored = record.stored.clone();
        let number = self.write(&key, &stored, out);
        if let Some(record) = self.entries.get_mut(&key) {
            record.state = State::PersistingOutcome(number, end);
        }
    }

    /// Tells all that wait how it ended.
    fn complete(&mut self, key: &Key, end: RunOutcome, out: &mut Vec<Action>) {
        let room = self.options.max_result_bytes.saturating_sub(self.result_bytes);
        let Some(record) = self.entries.get_mut(key) else { return };
        let all: Vec<u64> =
            record.first.take().into_iter().chain(std::mem::take(&mut record.waiting)).collect();
        let told = |ticket: u64| match &end {
            RunOutcome::Completed(result) => Action::Respond(ticket, result.clone()),
            _ => Action::Fail(ticket, FailReason::NoResult),
        };
        out.extend(all.into_iter().map(told));
        record.state = match end {
            RunOutcome::Completed(result) if result.len() <= room => {
                self.result_bytes += result.len();
                State::Completed(result)
            }
            _ => State::NoResult,
        };
    }

    /// Gives up what no try that comes in time can name any more; never what is under way.
    fn sweep(&mut self, now: f64, out: &mut Vec<Action>) {
        let afterlife = self.options.grace_ms;
        let over = |record: &Record| {
            matches!(record.state, State::Completed(_) | State::NoResult | State::MayHaveRun)
                && now >= record.window_end_ms + afterlife
        };
        let gone: Vec<Key> =
            self.entries.iter().filter(|(_, record)| over(record)).map(|(key, _)| key.clone()).collect();
        if gone.is_empty() {
            return;
        }
        out.push(Action::WriteLazily(gone.iter().map(|key| Self::change(key, None)).collect()));
        for key in gone {
            self.remove(&key);
        }
    }
}
