//! Model check of the idempotency records. It explores every sequence, up to a depth, of attempts with two
//! keys, failing writes, ends of runs, power losses that keep any number of the unsynced writes, and passing
//! time. Invariants: each key takes effect at most once in its window, each attempt gets one final answer,
//! and no attempt is rejected whose request may have run. The records are the program's own; their
//! environment is modelled. Two injected faults have to be detected.

use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use pinepoint_idempotency::clock::ClockContinuity;
use pinepoint_idempotency::records::{
    Action, Attempt, Event, Fault, IdempotencyRecords, Key, Options, RunOutcome, WriteId,
};
use pinepoint_store::format::Change;

const WINDOW_MS: f64 = 1000.0;
const GRACE_MS: f64 = 500.0;
/// The table that holds the clock reading.
const CLOCK_TABLE: &str = "clock";
/// Length of the sequences, unless `LEDGER_DEPTH` sets another one.
const DEFAULT_DEPTH: usize = 7;

/// One step of the modelled environment.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    /// An attempt with this key and this digest of the body arrives.
    Attempt(u8, u64),
    /// The oldest write becomes durable.
    WriteSynced,
    /// The oldest write fails; the flag says whether it is on disk nevertheless.
    WriteFails(bool),
    /// The run of this key ends.
    RunEnds(u8, RunEnd),
    /// The power fails, with this number of the pending writes on disk, oldest first.
    PowerLoss(usize, ClockChange),
    /// A window and its grace period pass.
    WindowPasses,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RunEnd {
    Completed,
    NoResult,
    NeverRan,
}

/// How the clock is set over a power loss.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ClockChange {
    Unchanged,
    /// The machine was booted, and the clock was set forward by an hour.
    Forward,
    /// The machine was booted, and the clock was set back by 10 s.
    Backward,
}

/// An attempt that was sent.
#[derive(Clone, Debug)]
struct SentAttempt {
    key: Key,
    digest: u64,
    /// Model time, ms.
    sent_ms: f64,
    is_answered: bool,
    /// The power failed before the attempt was answered.
    is_interrupted: bool,
}

/// A run that may have taken effect.
#[derive(Clone, Debug)]
struct Effect {
    key: Key,
    digest: u64,
    /// When the request was first sent, model time, ms.
    sent_ms: f64,
}

/// A write that is not on disk yet. A lazy write has no id.
#[derive(Clone, Debug)]
struct PendingWrite {
    id: Option<WriteId>,
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct Model {
    options: Options,
    records: IdempotencyRecords,
    /// Model time, ms.
    now_ms: f64,
    /// Difference of the clock from the model time, ms.
    clock_error_ms: f64,
    disk: BTreeMap<Key, Vec<u8>>,
    /// The clock reading on disk is from an earlier process than the running one, and the clock may have been
    /// set since.
    has_old_reading: bool,
    writes: Vec<PendingWrite>,
    /// Keys of the runs in progress.
    running: Vec<Key>,
    effects: Vec<Effect>,
    attempts: Vec<SentAttempt>,
    power_losses: u32,
    failed_writes: u32,
    passed_windows: u32,
    violation: Option<String>,
}

impl Model {
    fn new(options: Options) -> Model {
        let (records, _) = IdempotencyRecords::open(
            options,
            0.0,
            ClockContinuity::Continuous { elapsed_ms: 0.0 },
            std::iter::empty(),
        );
        Model {
            options,
            records,
            now_ms: 1e9,
            clock_error_ms: 0.0,
            disk: BTreeMap::new(),
            has_old_reading: false,
            writes: Vec::new(),
            running: Vec::new(),
            effects: Vec::new(),
            attempts: Vec::new(),
            power_losses: 0,
            failed_writes: 0,
            passed_windows: 0,
            violation: None,
        }
    }

    fn choices(&self, max_attempts: usize, max_power_losses: u32) -> Vec<Choice> {
        let mut choices = Vec::new();
        if self.attempts.len() < max_attempts {
            choices.extend([Choice::Attempt(0, 1), Choice::Attempt(1, 1)]);
            if self.attempts.len() == 1 {
                choices.push(Choice::Attempt(0, 2));
            }
        }
        if !self.writes.is_empty() {
            choices.push(Choice::WriteSynced);
            if self.failed_writes == 0 {
                choices.extend([Choice::WriteFails(true), Choice::WriteFails(false)]);
            }
        }
        for key in &self.running {
            choices.extend(
                [RunEnd::Completed, RunEnd::NoResult, RunEnd::NeverRan]
                    .map(|end| Choice::RunEnds(key[0], end)),
            );
        }
        if self.power_losses < max_power_losses {
            for kept_writes in 0..=self.writes.len() {
                choices.extend(
                    [ClockChange::Unchanged, ClockChange::Forward, ClockChange::Backward]
                        .map(|clock_change| Choice::PowerLoss(kept_writes, clock_change)),
                );
            }
        }
        if self.passed_windows == 0 {
            choices.push(Choice::WindowPasses);
        }
        choices
    }

    fn step(&mut self, choice: Choice) {
        match choice {
            Choice::Attempt(key, digest) => self.attempt(vec![key], digest),
            Choice::WriteSynced => self.complete_oldest_write(true, true),
            Choice::WriteFails(is_on_disk) => {
                self.failed_writes += 1;
                self.complete_oldest_write(is_on_disk, false);
            }
            Choice::RunEnds(key, end) => self.end_run(key, end),
            Choice::PowerLoss(kept_writes, clock_change) => self.lose_power(kept_writes, clock_change),
            Choice::WindowPasses => {
                self.passed_windows += 1;
                self.now_ms += WINDOW_MS + GRACE_MS;
                self.handle(Event::Tick);
            }
        }
    }

    /// The time that the clock shows, ms.
    fn clock_ms(&self) -> f64 {
        self.now_ms + self.clock_error_ms
    }

    fn attempt(&mut self, key: Key, digest: u64) {
        let ticket = self.attempts.len() as u64;
        let sent_ms = self.now_ms;
        self.attempts.push(SentAttempt {
            key: key.clone(),
            digest,
            sent_ms,
            is_answered: false,
            is_interrupted: false,
        });
        let first_sent_ms = self.clock_ms();
        let attempt = Attempt { ticket, key, caller: 1, digest, first_sent_ms, window_ms: WINDOW_MS };
        self.handle(Event::Attempt(attempt));
    }

    fn complete_oldest_write(&mut self, is_on_disk: bool, is_durable: bool) {
        let PendingWrite { id, changes } = self.writes.remove(0);
        if is_on_disk {
            self.apply(&changes);
        }
        if let Some(write) = id {
            self.handle(Event::WriteCompleted { write, is_durable });
        }
    }

    fn end_run(&mut self, key: u8, end: RunEnd) {
        self.running.retain(|running| running[0] != key);
        let outcome = match end {
            RunEnd::Completed => RunOutcome::Completed(vec![key]),
            RunEnd::NoResult => RunOutcome::NoResult,
            RunEnd::NeverRan => {
                let last = self.effects.iter().rposition(|effect| effect.key[0] == key);
                last.map(|index| self.effects.remove(index));
                RunOutcome::NeverRan
            }
        };
        self.handle(Event::RunEnded { key: vec![key], outcome });
    }

    fn apply(&mut self, changes: &[Change]) {
        for change in changes {
            if change.table == CLOCK_TABLE {
                self.has_old_reading = false;
                continue;
            }
            match &change.value {
                Some(value) => self.disk.insert(change.key.clone(), value.clone()),
                None => self.disk.remove(&change.key),
            };
        }
    }

    fn lose_power(&mut self, kept_writes: usize, clock_change: ClockChange) {
        self.power_losses += 1;
        let writes = std::mem::take(&mut self.writes);
        writes[..kept_writes].iter().for_each(|write| self.apply(&write.changes));
        self.running.clear();
        self.attempts.iter_mut().for_each(|attempt| attempt.is_interrupted |= !attempt.is_answered);
        let continuity = match clock_change {
            ClockChange::Unchanged if self.has_old_reading => ClockContinuity::Unknown,
            ClockChange::Unchanged => ClockContinuity::Continuous { elapsed_ms: 0.0 },
            ClockChange::Forward => ClockContinuity::Unknown,
            ClockChange::Backward => ClockContinuity::SteppedBack,
        };
        self.clock_error_ms += match clock_change {
            ClockChange::Unchanged => 0.0,
            ClockChange::Forward => 3_600_000.0,
            ClockChange::Backward => -10_000.0,
        };
        let entries = self.disk.iter().map(|(key, value)| (key.as_slice(), value.as_slice()));
        let (records, mut report) =
            IdempotencyRecords::open(self.options, self.clock_ms(), continuity, entries);
        self.records = records;
        if !matches!(continuity, ClockContinuity::Continuous { .. }) {
            self.has_old_reading = true;
            let reading = Change {
                table: CLOCK_TABLE.into(),
                key: Vec::new(),
                value: Some(Vec::new()),
                expires_at_ms: f64::MAX,
            };
            report.rewritten.push(reading);
            self.writes.push(PendingWrite { id: None, changes: report.rewritten });
        }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.records.handle(self.clock_ms(), event, &mut out);
        for action in out {
            match action {
                Action::WriteDurably { write, changes } => {
                    self.writes.push(PendingWrite { id: Some(write), changes });
                }
                Action::WriteLazily(changes) => self.writes.push(PendingWrite { id: None, changes }),
                Action::Run { ticket, key } => self.start_run(ticket, key),
                Action::Respond { ticket, .. } | Action::Fail { ticket, .. } => self.record_answer(ticket),
                Action::Reject { ticket, reason } => {
                    self.record_answer(ticket);
                    if self.had_effect(&self.attempts[ticket as usize]) {
                        self.violation =
                            Some(format!("attempt {ticket} is rejected ({reason:?}), but its key has run"));
                    }
                }
            }
        }
    }

    /// Whether the request of an attempt may have taken effect in the window in which the attempt was sent.
    fn had_effect(&self, attempt: &SentAttempt) -> bool {
        self.effects.iter().any(|effect| {
            effect.key == attempt.key
                && effect.digest == attempt.digest
                && attempt.sent_ms < effect.sent_ms + WINDOW_MS
        })
    }

    fn start_run(&mut self, ticket: u64, key: Key) {
        let attempt = &self.attempts[ticket as usize];
        if self.had_effect(attempt) {
            self.violation = Some(format!("attempt {ticket} runs key {key:?} a second time in its window"));
        }
        let (digest, sent_ms) = (attempt.digest, attempt.sent_ms);
        self.effects.push(Effect { key: key.clone(), digest, sent_ms });
        self.running.push(key);
    }

    fn record_answer(&mut self, ticket: u64) {
        let attempt = &mut self.attempts[ticket as usize];
        if attempt.is_answered {
            self.violation = Some(format!("attempt {ticket} is answered a second time"));
        }
        attempt.is_answered = true;
    }

    /// Checks that every attempt is answered once no run or write is in progress, unless the power failed.
    fn check_all_answered(&mut self) {
        let is_idle = self.running.is_empty() && self.writes.iter().all(|write| write.id.is_none());
        let is_unanswered = |attempt: &SentAttempt| !attempt.is_answered && !attempt.is_interrupted;
        if is_idle && let Some(ticket) = self.attempts.iter().position(is_unanswered) {
            self.violation = Some(format!("attempt {ticket} is unanswered, but no run or write is pending"));
        }
    }
}

struct Search {
    visited: HashSet<u64>,
    violation: Option<(Vec<Choice>, String)>,
    max_attempts: usize,
    max_power_losses: u32,
}

impl Search {
    fn explore(&mut self, model: &Model, sequence: &mut Vec<Choice>, remaining_depth: usize) {
        if remaining_depth == 0 || self.violation.is_some() {
            return;
        }
        for choice in model.choices(self.max_attempts, self.max_power_losses) {
            let mut next = model.clone();
            next.step(choice);
            next.check_all_answered();
            sequence.push(choice);
            if let Some(violation) = next.violation.take() {
                self.violation = Some((sequence.clone(), violation));
                return;
            }
            let mut hasher = DefaultHasher::new();
            (format!("{next:?}"), remaining_depth).hash(&mut hasher);
            if self.visited.insert(hasher.finish()) {
                self.explore(&next, sequence, remaining_depth - 1);
            }
            sequence.pop();
        }
    }
}

fn search(
    options: Options,
    max_attempts: usize,
    max_power_losses: u32,
    depth: usize,
) -> (Option<(Vec<Choice>, String)>, usize) {
    let mut search = Search { visited: HashSet::new(), violation: None, max_attempts, max_power_losses };
    search.explore(&Model::new(options), &mut Vec::new(), depth);
    (search.violation, search.visited.len())
}

fn depth() -> usize {
    std::env::var("LEDGER_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_DEPTH)
}

fn options() -> Options {
    Options { max_records: 1, grace_ms: GRACE_MS, ..Options::default() }
}

#[test]
fn all_sequences_keep_invariants() {
    // Capacity for one of the two keys, and for both.
    for max_records in [1, 2] {
        let (violation, states) = search(Options { max_records, ..options() }, 3, 2, depth());
        println!("{states} states with max_records {max_records}");
        assert!(violation.is_none(), "max_records {max_records}, after {states} states: {violation:#?}");
    }
}

#[test]
fn detects_injected_faults() {
    for fault in [Fault::IntentAfterRun, Fault::EvictAtBound] {
        let (violation, states) = search(Options { fault: Some(fault), ..options() }, 3, 2, depth());
        println!("{fault:?} after {states} states: {violation:?}");
        assert!(violation.is_some(), "{fault:?} is not detected in {states} states");
    }
}
