//! Every course of two keys, three tries, failing writes, ends of runs, cuts of power that keep any of the unsynced writes, and time
//! that passes, up to a depth: at most one effect for each key in its window, one final answer for each try, and no refusal of
//! what may have run. The program's own records are run; what is enumerated are the choices around it. Two faults that are built in
//! have to be found.

use std::collections::{BTreeMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

use pinepoint_idempotency::clock::ClockContinuity;
use pinepoint_idempotency::records::{
    Action, Attempt, Event, Fault, IdempotencyRecords, Key, Options, RunOutcome,
};
use pinepoint_store::format::Change;

const WINDOW: f64 = 1000.0;
const GRACE: f64 = 500.0;
/// Choices in a row, where `LEDGER_DEPTH` says nothing else.
const DEPTH: usize = 7;

/// One step of the world around the ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Choice {
    /// A try of this key, with this body.
    Attempt(u8, u64),
    /// The oldest write is durable.
    Synced,
    /// It fails, and is there or not.
    Fails(bool),
    /// A run of this key ends.
    Ends(u8, RunEnd),
    /// The power goes, with so many of the writes that wait kept.
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

/// What the clock does over a cut.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Clock {
    Right,
    /// Over a boot nothing is known of it, and it shows an hour more.
    Forward,
    Back,
}

#[derive(Clone, Debug)]
struct World {
    options: Options,
    records: IdempotencyRecords,
    /// True time, and what the clock shows beyond it.
    now: f64,
    shown: f64,
    disk: BTreeMap<Key, Vec<u8>>,
    /// The mark of the time on the disk is of an earlier life than this, and its clock was set since or nobody knows.
    old_mark: bool,
    writes: Vec<(Option<u64>, Vec<Change>)>,
    /// Runs that have left and not ended, by key, and all that may have had their effect: the true time of their first sending.
    running: Vec<Key>,
    effects: Vec<(Key, u64, f64)>,
    /// Tries: key, body, whether an answer came, whether the power went while it waited.
    tries: Vec<(Key, u64, bool, bool)>,
    sent_ms: Vec<f64>,
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
            now: 1e9,
            shown: 0.0,
            disk: BTreeMap::new(),
            old_mark: false,
            writes: Vec::new(),
            running: Vec::new(),
            effects: Vec::new(),
            tries: Vec::new(),
            sent_ms: Vec::new(),
            cuts: 0,
            fails: 0,
            passed: 0,
            wrong: None,
        }
    }

    fn choices(&self, tries: usize, cuts: u32) -> Vec<Choice> {
        let mut all = Vec::new();
        if self.tries.len() < tries {
            all.extend([Choice::Attempt(0, 1), Choice::Attempt(1, 1)]);
            if self.tries.len() == 1 {
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
        if self.cuts < cuts {
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
            Choice::Attempt(key, digest) => {
                let ticket = self.tries.len() as u64;
                self.tries.push((vec![key], digest, false, false));
                self.sent_ms.push(self.now);
                let first_sent_ms = self.now + self.shown;
                let attempt =
                    Attempt { ticket, key: vec![key], caller: 1, digest, first_sent_ms, window_ms: WINDOW };
                self.handle(Event::Attempt(attempt));
            }
            Choice::Synced => {
                let (number, changes) = self.writes.remove(0);
                self.keep(&changes);
                number.into_iter().for_each(|number| {
                    self.handle(Event::WriteCompleted { write: number, is_durable: true })
                });
            }
            Choice::Fails(is_there) => {
                self.fails += 1;
                let (number, changes) = self.writes.remove(0);
                if is_there {
                    self.keep(&changes);
                }
                number.into_iter().for_each(|number| {
                    self.handle(Event::WriteCompleted { write: number, is_durable: false })
                });
            }
            Choice::Ends(key, end) => {
                self.running.retain(|running| running[0] != key);
                let end = match end {
                    RunEnd::Completed => RunOutcome::Completed(vec![key]),
                    RunEnd::NoResult => RunOutcome::NoResult,
                    RunEnd::NeverRan => {
                        // It is proved that it had none.
                        let last = self.effects.iter().rposition(|(of, ..)| of[0] == key);
                        last.map(|at| self.effects.remove(at));
                        RunOutcome::NeverRan
                    }
                };
                self.handle(Event::RunEnded { key: vec![key], outcome: end });
            }
            Choice::Cut(kept, clock) => self.cut(kept, clock),
            Choice::Passes => {
                self.passed += 1;
                self.now += WINDOW + GRACE;
                self.handle(Event::Tick);
            }
        }
    }

    fn keep(&mut self, changes: &[Change]) {
        for change in changes {
            if change.table == "mark" {
                self.old_mark = false;
                continue;
            }
            match &change.value {
                Some(value) => self.disk.insert(change.key.clone(), value.clone()),
                None => self.disk.remove(&change.key),
            };
        }
    }

    fn cut(&mut self, kept: usize, clock: Clock) {
        self.cuts += 1;
        let writes = std::mem::take(&mut self.writes);
        writes[..kept].iter().for_each(|(_, changes)| self.keep(changes));
        self.running.clear();
        self.tries.iter_mut().for_each(|attempt| attempt.3 |= !attempt.2);
        let continuity = match clock {
            Clock::Right if self.old_mark => ClockContinuity::Unknown,
            Clock::Right => ClockContinuity::Continuous { elapsed_ms: 0.0 },
            Clock::Forward => ClockContinuity::Unknown,
            Clock::Back => ClockContinuity::SteppedBack,
        };
        self.shown += match clock {
            Clock::Right => 0.0,
            Clock::Forward => 3_600_000.0,
            Clock::Back => -10_000.0,
        };
        let entries = self.disk.iter().map(|(key, value)| (key.as_slice(), value.as_slice()));
        let (records, mut report) =
            IdempotencyRecords::open(self.options, self.now + self.shown, continuity, entries);
        self.records = records;
        if !matches!(continuity, ClockContinuity::Continuous { .. }) {
            self.old_mark = true;
            let mark = Change {
                table: "mark".into(),
                key: Vec::new(),
                value: Some(Vec::new()),
                expires_at_ms: f64::MAX,
            };
            report.rewritten.push(mark);
            self.writes.push((None, report.rewritten));
        }
    }

    fn handle(&mut self, event: Event) {
        let mut out = Vec::new();
        self.records.handle(self.now + self.shown, event, &mut out);
        for action in out {
            match action {
                Action::WriteDurably { write: number, changes } => self.writes.push((Some(number), changes)),
                Action::WriteLazily(changes) => self.writes.push((None, changes)),
                Action::Run { ticket, key } => self.runs(ticket, key),
                Action::Respond { ticket, .. } | Action::Fail { ticket, .. } => self.answered(ticket),
                Action::Reject { ticket, reason } => {
                    self.answered(ticket);
                    let (key, digest, ..) = &self.tries[ticket as usize];
                    if self.had_effect(key, *digest, self.sent_ms[ticket as usize]) {
                        self.wrong =
                            Some(format!("try {ticket} is refused ({reason:?}), and its key has run"));
                    }
                }
            }
        }
    }

    /// Whether a run of the key may have had its effect in the window in which this time lies.
    fn had_effect(&self, key: &Key, digest: u64, sent_ms: f64) -> bool {
        self.effects.iter().any(|(of, d, at)| of == key && *d == digest && sent_ms < at + WINDOW)
    }

    fn runs(&mut self, ticket: u64, key: Key) {
        let (digest, sent) = (self.tries[ticket as usize].1, self.sent_ms[ticket as usize]);
        if self.had_effect(&key, digest, sent) {
            self.wrong = Some(format!("key {key:?} runs a second time in its window, for try {ticket}"));
        }
        self.effects.push((key.clone(), digest, sent));
        self.running.push(key);
    }

    fn answered(&mut self, ticket: u64) {
        let attempt = &mut self.tries[ticket as usize];
        if attempt.2 {
            self.wrong = Some(format!("a second answer to try {ticket}"));
        }
        attempt.2 = true;
    }

    /// Where nothing is under way every try that the power did not end is answered.
    fn check(&mut self) {
        let idle = self.running.is_empty() && self.writes.iter().all(|(number, _)| number.is_none());
        let open = |(at, attempt): (usize, &(Key, u64, bool, bool))| (!attempt.2 && !attempt.3).then_some(at);
        if idle && let Some(at) = self.tries.iter().enumerate().find_map(open) {
            self.wrong = Some(format!("try {at} waits for nothing"));
        }
    }
}

struct Search {
    seen: HashSet<u64>,
    wrong: Option<(Vec<Choice>, String)>,
    tries: usize,
    cuts: u32,
}

impl Search {
    fn go(&mut self, world: &World, path: &mut Vec<Choice>, left: usize) {
        if left == 0 || self.wrong.is_some() {
            return;
        }
        for choice in world.choices(self.tries, self.cuts) {
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

fn search(options: Options, tries: usize, cuts: u32, depth: usize) -> (Option<(Vec<Choice>, String)>, usize) {
    let mut search = Search { seen: HashSet::new(), wrong: None, tries, cuts };
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
