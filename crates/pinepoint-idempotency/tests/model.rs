//! Every course of two keys, three attempts, failing writes, ends of runs, power losses that keep any of the unsynced writes, and
//! time that passes, up to a depth: at most one effect for each key in its window, one final answer for each attempt, and no
//! rejection of what may have run. The records are the program's own; the choices around them are enumerated. Two injected faults
//! have to be found.

use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use pinepoint_idempotency::clock::ClockContinuity;
use pinepoint_idempotency::records::{
    Action, Attempt, Event, Fault, IdempotencyRecords, Key, Options, RunOutcome, WriteId,
};
use pinepoint_store::format::Change;

const WINDOW: f64 = 1000.0;
const GRACE: f64 = 500.0;
/// The table of the clock reading.
const CLOCK_TABLE: &str = "clock";
/// Choices in a row, where `LEDGER_DEPTH` says nothing else.
const DEPTH: usize = 7;

/// One step of the world around the records.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    /// An attempt of this key, with this body.
    Attempt(u8, u64),
    /// The oldest write is durable.
    Synced,
    /// The oldest write fails, and is on disk or not.
    Fails(bool),
    /// A run of this key ends.
    Ends(u8, RunEnd),
    /// The power fails, with so many of the pending writes on disk.
    Cut(usize, Clock),
    /// A window passes.
    Passes,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum RunEnd {
    Completed,
    NoResult,
    NeverRan,
}

/// What the clock does over a power loss.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Clock {
    Right,
    /// The machine was booted, and the clock shows an hour more.
    Forward,
    Back,
}

/// An attempt that was sent.
#[derive(Clone, Debug)]
struct SentAttempt {
    key: Key,
    digest: u64,
    /// True time.
    sent_ms: f64,
    is_answered: bool,
    /// The power failed before it was answered.
    is_interrupted: bool,
}

/// A run that may have taken effect.
#[derive(Clone, Debug)]
struct Effect {
    key: Key,
    digest: u64,
    /// When its request was first sent, true time.
    sent_ms: f64,
}

/// A write that is not on disk yet; a lazy one has no id.
#[derive(Clone, Debug)]
struct PendingWrite {
    id: Option<WriteId>,
    changes: Vec<Change>,
}

#[derive(Clone, Debug)]
struct World {
    options: Options,
    records: IdempotencyRecords,
    /// True time, and by how much the clock differs from it, ms.
    now_ms: f64,
    clock_error_ms: f64,
    disk: BTreeMap<Key, Vec<u8>>,
    /// The clock reading on disk is of an earlier process than the last, and the clock may have been set since.
    has_old_reading: bool,
    writes: Vec<PendingWrite>,
    /// Keys of the runs under way.
    running: Vec<Key>,
    effects: Vec<Effect>,
    attempts: Vec<SentAttempt>,
    cuts: u32,
    fails: u32,
    passed: u32,
    wrong: Option<String>,
}

impl World {
    fn new(options: Options) -> World {
        let (records, _) = IdempotencyRecords::open(
            options,
            0.0,
            ClockContinuity::Continuous { elapsed_ms: 0.0 },
            std::iter::empty(),
        );
        World {
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
            cuts: 0,
            fails: 0,
            passed: 0,
            wrong: None,
        }
    }

    fn choices(&self, max_attempts: usize, max_cuts: u32) -> Vec<Choice> {
        let mut all = Vec::new();
        if self.attempts.len() < max_attempts {
            all.extend([Choice::Attempt(0, 1), Choice::Attempt(1, 1)]);
            if self.attempts.len() == 1 {
                all.push(Choice::Attempt(0, 2));
            }
        }
        if !self.writes.is_empty() {
            all.push(Choice::Synced);
            if self.fails == 0 {
                all.extend([Choice::Fails(true), Choice::Fails(false)]);
            }
        }
        for key in &self.running {
            all.extend(
                [RunEnd::Completed, RunEnd::NoResult, RunEnd::NeverRan].map(|end| Choice::Ends(key[0], end)),
            );
        }
        if self.cuts < max_cuts {
            for kept in 0..=self.writes.len() {
                all.extend([Clock::Right, Clock::Forward, Clock::Back].map(|clock| Choice::Cut(kept, clock)));
            }
        }
        if self.passed == 0 {
            all.push(Choice::Passes);
        }
        all
    }

    fn step(&mut self, choice: Choice) {
        match choice {
            Choice::Attempt(key, digest) => self.attempt(vec![key], digest),
            Choice::Synced => self.complete_oldest_write(true, true),
            Choice::Fails(is_on_disk) => {
                self.fails += 1;
                self.complete_oldest_write(is_on_disk, false);
            }
            Choice::Ends(key, end) => self.end_run(key, end),
            Choice::Cut(kept, clock) => self.cut_power(kept, clock),
            Choice::Passes => {
                self.passed += 1;
                self.now_ms += WINDOW + GRACE;
                self.handle(Event::Tick);
            }
        }
    }

    /// What the clock shows.
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
        let attempt = Attempt { ticket, key, caller: 1, digest, first_sent_ms, window_ms: WINDOW };
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

    fn cut_power(&mut self, kept: usize, clock: Clock) {
        self.cuts += 1;
        let writes = std::mem::take(&mut self.writes);
        writes[..kept].iter().for_each(|write| self.apply(&write.changes));
        self.running.clear();
        self.attempts.iter_mut().for_each(|attempt| attempt.is_interrupted |= !attempt.is_answered);
        let continuity = match clock {
            Clock::Right if self.has_old_reading => ClockContinuity::Unknown,
            Clock::Right => ClockContinuity::Continuous { elapsed_ms: 0.0 },
            Clock::Forward => ClockContinuity::Unknown,
            Clock::Back => ClockContinuity::SteppedBack,
        };
        self.clock_error_ms += match clock {
            Clock::Right => 0.0,
            Clock::Forward => 3_600_000.0,
            Clock::Back => -10_000.0,
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
                Action::Run { ticket, key } => self.runs(ticket, key),
                Action::Respond { ticket, .. } | Action::Fail { ticket, .. } => self.answered(ticket),
                Action::Reject { ticket, reason } => {
                    self.answered(ticket);
                    if self.had_effect(&self.attempts[ticket as usize]) {
                        self.wrong =
                            Some(format!("try {ticket} is refused ({reason:?}), and its key has run"));
                    }
                }
            }
        }
    }

    /// Whether the request of an attempt may have taken effect in the window in which it was sent.
    fn had_effect(&self, attempt: &SentAttempt) -> bool {
        self.effects.iter().any(|effect| {
            effect.key == attempt.key
                && effect.digest == attempt.digest
                && attempt.sent_ms < effect.sent_ms + WINDOW
        })
    }

    fn runs(&mut self, ticket: u64, key: Key) {
        let attempt = &self.attempts[ticket as usize];
        if self.had_effect(attempt) {
            self.wrong = Some(format!("key {key:?} runs a second time in its window, for try {ticket}"));
        }
        let (digest, sent_ms) = (attempt.digest, attempt.sent_ms);
        self.effects.push(Effect { key: key.clone(), digest, sent_ms });
        self.running.push(key);
    }

    fn answered(&mut self, ticket: u64) {
        let attempt = &mut self.attempts[ticket as usize];
        if attempt.is_answered {
            self.wrong = Some(format!("a second answer to try {ticket}"));
        }
        attempt.is_answered = true;
    }

    /// Once nothing is under way, every attempt is answered, unless the power failed.
    fn check(&mut self) {
        let is_idle = self.running.is_empty() && self.writes.iter().all(|write| write.id.is_none());
        let waits = |attempt: &SentAttempt| !attempt.is_answered && !attempt.is_interrupted;
        if is_idle && let Some(ticket) = self.attempts.iter().position(waits) {
            self.wrong = Some(format!("try {ticket} waits for nothing"));
        }
    }
}

struct Search {
    seen: HashSet<u64>,
    wrong: Option<(Vec<Choice>, String)>,
    max_attempts: usize,
    max_cuts: u32,
}

impl Search {
    fn go(&mut self, world: &World, path: &mut Vec<Choice>, left: usize) {
        if left == 0 || self.wrong.is_some() {
            return;
        }
        for choice in world.choices(self.max_attempts, self.max_cuts) {
            let mut next = world.clone();
            next.step(choice);
            next.check();
            path.push(choice);
            if let Some(wrong) = next.wrong.take() {
                self.wrong = Some((path.clone(), wrong));
                return;
            }
            let mut hasher = DefaultHasher::new();
            (format!("{next:?}"), left).hash(&mut hasher);
            if self.seen.insert(hasher.finish()) {
                self.go(&next, path, left - 1);
            }
            path.pop();
        }
    }
}

fn search(
    options: Options,
    max_attempts: usize,
    max_cuts: u32,
    depth: usize,
) -> (Option<(Vec<Choice>, String)>, usize) {
    let mut search = Search { seen: HashSet::new(), wrong: None, max_attempts, max_cuts };
    search.go(&World::new(options), &mut Vec::new(), depth);
    (search.wrong, search.seen.len())
}

fn depth() -> usize {
    std::env::var("LEDGER_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(DEPTH)
}

fn options() -> Options {
    Options { max_records: 1, grace_ms: GRACE, ..Options::default() }
}

#[test]
fn no_course_runs_a_key_twice_refuses_what_ran_or_leaves_a_try_without_its_answer() {
    // One key more than may be kept, and room for both.
    for max_records in [1, 2] {
        let (wrong, states) = search(Options { max_records, ..options() }, 3, 2, depth());
        println!("{states} states with room for {max_records}");
        assert!(wrong.is_none(), "with room for {max_records}, after {states} states: {wrong:#?}");
    }
}

#[test]
fn an_intent_after_the_run_and_an_open_window_that_is_given_up_are_found() {
    for fault in [Fault::IntentAfterRun, Fault::EvictAtBound] {
        let (wrong, states) = search(Options { fault: Some(fault), ..options() }, 3, 2, depth());
        println!("{fault:?} after {states} states: {wrong:?}");
        assert!(wrong.is_some(), "{fault:?} is not found in {states} states");
    }
}
