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

use crate::time::Gap;

/// The table of the store in which entries are kept.
pub const TABLE: &str = "ledger";
/// Entries are removed by the ledger, which knows when they are over; the store's own clock may be wrong.
const NEVER_MS: f64 = f64::MAX;

/// A class and a token, as bytes.
pub type Key = Vec<u8>;

/// Bounds.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Keys at most.
    pub entries: usize,
    /// Of these, of one caller.
    pub of_caller: usize,
    /// Bytes of results at most; beyond, a result is told and not kept.
    pub result_bytes: usize,
    /// How long an entry outlives its window, ms, for tries that came in time and were read late.
    pub afterlife_ms: f64,
    /// What a store that does not write any more means for keyed work.
    pub without_store: WithoutStore,
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            entries: 20_000,
            of_caller: 5_000,
            result_bytes: 4 << 20,
            afterlife_ms: 15_000.0,
            without_store: WithoutStore::Refuse,
            fault: None,
        }
    }
}

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutStore {
    /// Keyed work is refused before it runs.
    Refuse,
    /// It is served, and forgotten at the next restart.
    Serve,
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
pub struct Try {
    /// Names it in what comes out.
    pub ticket: u64,
    /// Its key.
    pub key: Key,
    /// Whose it is.
    pub caller: u64,
    /// Of its body: the same over restarts.
    pub digest: u64,
    /// When it was first sent, Unix ms.
    pub t0_ms: f64,
    /// How long its effect must stay single from then on, ms.
    pub window_ms: f64,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// With this result.
    Whole(Vec<u8>),
    /// Without one; it may have had its effect.
    Without,
    /// It is proved that it never ran.
    Moot,
}

/// What reaches the ledger.
#[derive(Clone, Debug)]
pub enum Event {
    /// A try was read.
    Try(Try),
    /// The write of this number is durable, or is not.
    Written(u64, bool),
    /// The run of this key is over.
    Ended(Key, End),
    /// Nobody waits for this try of this key any more.
    Gone(u64, Key),
    /// The store does not write any more, or does again.
    Store(bool),
    /// Time has passed.
    Tick,
}

reason_codes! {
    /// Why a try is refused: its effect has provably not happened.
    Refusal {
        /// As many keys are kept as may be.
        Full = "keys-full",
        /// As many of this caller.
        CallerFull = "caller-keys-full",
        /// Nothing can be kept.
        NoStore = "no-store",
        /// Its intent could not be kept; it was not run.
        NotKept = "intent-not-kept",
        /// The try that it waited for was never run.
        NeverRan = "never-ran",
    }
}

reason_codes! {
    /// Why a try fails: its effect may have happened.
    Failure {
        /// The key stands for another request.
        OtherBody = "other-body",
        /// A run of it had begun when the power went.
        MayHaveRun = "may-have-run",
        /// Its run ended without a result.
        WithoutResult = "without-result",
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write this; it has to be durable before [`Event::Written`] says so.
    Write(u64, Vec<Change>),
    /// Write this some time.
    Lazy(Vec<Change>),
    /// Run this try.
    Run(u64, Key),
    /// Answer it with this result.
    Answer(u64, Vec<u8>),
    /// Turn it away.
    Refuse(u64, Refusal),
    /// Tell it that it failed.
    Fail(u64, Failure),
}

/// Where a key stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// Its intent is being written, by the write of this number.
    Intending(u64),
    /// Its run has left.
    Running,
    /// Its end is being written.
    Ending(u64, End),
    /// It is over, with this result.
    Done(Vec<u8>),
    /// It is over without one.
    Without,
    /// It had begun when the power went.
    Unknown,
}

/// As it is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Kept {
    caller: u64,
    digest: u64,
    t0_ms: f64,
    window_ms: f64,
    /// Nothing: it was intended, and may have begun.
    end: Option<End>,
}

#[derive(Clone, Debug)]
struct Entry {
    kept: Kept,
    state: State,
    /// The try that runs, and those that wait for it.
    first: Option<u64>,
    waiting: Vec<u64>,
    /// No try before this is another request, ms; it goes once the afterlife is over too.
    until_ms: f64,
}

/// The ledger.
#[derive(Clone, Debug)]
pub struct Ledger {
    rules: Rules,
    entries: BTreeMap<Key, Entry>,
    callers: BTreeMap<u64, usize>,
    result_bytes: usize,
    writes: u64,
    /// The key of each write that is under way.
    writing: BTreeMap<u64, Key>,
    has_store: bool,
}

/// What was read back at the opening.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Opened {
    /// The windows as they are on the clock of this life. To be written in one batch with the new mark of the time, and before
    /// any other mark: a second cut would else be judged by a clock that the entries are not of.
    pub anew: Vec<Change>,
    /// Keys with a result.
    pub done: usize,
    /// Keys that may have run.
    pub unknown: usize,
    /// Entries that were no entries of this program.
    pub unreadable: usize,
}

impl Ledger {
    /// From what the store holds. `gap` is what is known of the time since it was written: where that is not known, no window
    /// is believed to be over before it has passed once more.
    pub fn open<'a>(
        rules: Rules,
        now: f64,
        gap: Gap,
        entries: impl Iterator<Item = (&'a [u8], &'a [u8])>,
    ) -> (Ledger, Opened) {
        let mut ledger = Ledger {
            rules,
            entries: BTreeMap::new(),
            callers: BTreeMap::new(),
            result_bytes: 0,
            writes: 0,
            writing: BTreeMap::new(),
            has_store: true,
        };
        let mut opened = Opened::default();
        for (key, value) in entries {
            let Ok(mut kept) = postcard::from_bytes::<Kept>(value) else {
                opened.unreadable += 1;
                continue;
            };
            // Where the time between is not known, the window may have begun just now.
            let t0_ms = gap.on_this_clock(kept.t0_ms).unwrap_or(now);
            if t0_ms != kept.t0_ms {
                kept.t0_ms = t0_ms;
                opened.anew.push(Self::change(&key.to_vec(), Some(&kept)));
            }
            let until_ms = t0_ms + kept.window_ms;
            let state = match &kept.end {
                Some(End::Whole(result)) => State::Done(result.clone()),
                Some(_) => State::Without,
                None => State::Unknown,
            };
            match state {
                State::Done(_) => opened.done += 1,
                _ => opened.unknown += 1,
            }
            let entry = Entry { kept, state, first: None, waiting: Vec::new(), until_ms };
            ledger.enter(key.to_vec(), entry);
        }
        (ledger, opened)
    }

    /// Keys that are kept, and bytes of results.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.result_bytes)
    }

    /// Takes one event.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Try(tried) => self.tried(now, tried, out),
            Event::Written(number, durable) => self.written(number, durable, out),
            Event::Ended(key, end) => self.ended(key, end, out),
            Event::Gone(ticket, key) => {
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.waiting.retain(|waits| *waits != ticket);
                }
            }
            Event::Store(writes) => self.has_store = writes,
            Event::Tick => self.sweep(now, out),
        }
    }

    // ---- entries ----

    fn enter(&mut self, key: Key, entry: Entry) {
        *self.callers.entry(entry.kept.caller).or_default() += 1;
        if let State::Done(result) = &entry.state {
            self.result_bytes += result.len();
        }
        self.entries.insert(key, entry);
    }

    fn remove(&mut self, key: &[u8]) -> Option<Entry> {
        let entry = self.entries.remove(key)?;
        if let Some(n) = self.callers.get_mut(&entry.kept.caller) {
            *n -= 1;
            if *n == 0 {
                self.callers.remove(&entry.kept.caller);
            }
        }
        if let State::Done(result) = &entry.state {
            self.result_bytes -= result.len();
        }
        Some(entry)
    }

    fn change(key: &Key, kept: Option<&Kept>) -> Change {
        let value = kept.map(|kept| postcard::to_allocvec(kept).unwrap_or_default());
        Change { table: TABLE.into(), key: key.clone(), value, expires_at_ms: NEVER_MS }
    }

    fn write(&mut self, key: &Key, kept: &Kept, out: &mut Vec<Action>) -> u64 {
        self.writes += 1;
        self.writing.insert(self.writes, key.clone());
        out.push(Action::Write(self.writes, vec![Self::change(key, Some(kept))]));
        self.writes
    }

    // ---- what comes in ----

    fn tried(&mut self, now: f64, tried: Try, out: &mut Vec<Action>) {
        let Try { ticket, key, caller, digest, t0_ms, window_ms } = tried;
        // A window counts from the first sending of the try that ran. One that is under way is not over.
        let is_over = self.entries.get(&key).is_some_and(|entry| {
            let ended = matches!(entry.state, State::Done(_) | State::Without | State::Unknown);
            ended && t0_ms >= entry.until_ms && now >= entry.until_ms
        });
        if is_over {
            self.remove(&key);
        }
        if let Some(entry) = self.entries.get_mut(&key) {
            if entry.kept.digest != digest {
                out.push(Action::Fail(ticket, Failure::OtherBody));
                return;
            }
            match &entry.state {
                State::Intending(_) | State::Running | State::Ending(..) => entry.waiting.push(ticket),
                State::Done(result) => out.push(Action::Answer(ticket, result.clone())),
                State::Without => out.push(Action::Fail(ticket, Failure::WithoutResult)),
                State::Unknown => out.push(Action::Fail(ticket, Failure::MayHaveRun)),
            }
            return;
        }
        if self.entries.len() >= self.rules.entries && self.rules.fault == Some(Fault::EvictAtBound) {
            let first = self.entries.keys().next().cloned();
            first.and_then(|first| self.remove(&first));
        }
        let refusal = if self.entries.len() >= self.rules.entries {
            Some(Refusal::Full)
        } else if self.callers.get(&caller).is_some_and(|n| *n >= self.rules.of_caller) {
            Some(Refusal::CallerFull)
        } else if !self.has_store && self.rules.without_store == WithoutStore::Refuse {
            Some(Refusal::NoStore)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            out.push(Action::Refuse(ticket, refusal));
            return;
        }
        let kept = Kept { caller, digest, t0_ms, window_ms, end: None };
        let hasty = !self.has_store || self.rules.fault == Some(Fault::IntentAfterRun);
        let state = if self.has_store {
            let number = self.write(&key, &kept, out);
            if hasty { State::Running } else { State::Intending(number) }
        } else {
            State::Running
        };
        if hasty {
            out.push(Action::Run(ticket, key.clone()));
        }
        let until_ms = t0_ms + window_ms;
        self.enter(key, Entry { kept, state, first: Some(ticket), waiting: Vec::new(), until_ms });
    }

    fn written(&mut self, number: u64, durable: bool, out: &mut Vec<Action>) {
        let Some(key) = self.writing.remove(&number) else { return };
        let Some(entry) = self.entries.get_mut(&key) else { return };
        match entry.state.clone() {
            State::Intending(n) if n == number && durable => {
                entry.state = State::Running;
                let first = entry.first;
                out.extend(first.map(|ticket| Action::Run(ticket, key)));
            }
            State::Intending(n) if n == number => {
                // Nothing has left. The intent may be found after a restart, and then keeps the key from running: no harm.
                if let Some(entry) = self.remove(&key) {
                    let all = entry.first.into_iter().chain(entry.waiting);
                    out.extend(all.map(|ticket| Action::Refuse(ticket, Refusal::NotKept)));
                }
            }
            // Whether the end is safe or not, what was done is told: without it the intent stands, and the key is not run again.
            State::Ending(n, end) if n == number => self.over(&key, end, out),
            _ => {}
        }
    }

    fn ended(&mut self, key: Key, end: End, out: &mut Vec<Action>) {
        let has_store = self.has_store;
        let Some(entry) = self.entries.get_mut(&key).filter(|entry| entry.state == State::Running) else {
            return;
        };
        if end == End::Moot {
            out.push(Action::Lazy(vec![Self::change(&key, None)]));
            if let Some(entry) = self.remove(&key) {
                let all = entry.first.into_iter().chain(entry.waiting);
                out.extend(all.map(|ticket| Action::Refuse(ticket, Refusal::NeverRan)));
            }
            return;
        }
        if !has_store {
            return self.over(&key, end, out);
        }
        entry.kept.end = Some(end.clone());
        let kept = entry.kept.clone();
        let number = self.write(&key, &kept, out);
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = State::Ending(number, end);
        }
    }

    /// Tells all that wait how it ended.
    fn over(&mut self, key: &Key, end: End, out: &mut Vec<Action>) {
        let room = self.rules.result_bytes.saturating_sub(self.result_bytes);
        let Some(entry) = self.entries.get_mut(key) else { return };
        let all: Vec<u64> =
            entry.first.take().into_iter().chain(std::mem::take(&mut entry.waiting)).collect();
        let told = |ticket: u64| match &end {
            End::Whole(result) => Action::Answer(ticket, result.clone()),
            _ => Action::Fail(ticket, Failure::WithoutResult),
        };
        out.extend(all.into_iter().map(told));
        entry.state = match end {
            End::Whole(result) if result.len() <= room => {
                self.result_bytes += result.len();
                State::Done(result)
            }
            _ => State::Without,
        };
    }

    /// Gives up what no try that comes in time can name any more; never what is under way.
    fn sweep(&mut self, now: f64, out: &mut Vec<Action>) {
        let afterlife = self.rules.afterlife_ms;
        let over = |entry: &Entry| {
            matches!(entry.state, State::Done(_) | State::Without | State::Unknown)
                && now >= entry.until_ms + afterlife
        };
        let gone: Vec<Key> =
            self.entries.iter().filter(|(_, entry)| over(entry)).map(|(key, _)| key.clone()).collect();
        if gone.is_empty() {
            return;
        }
        out.push(Action::Lazy(gone.iter().map(|key| Self::change(key, None)).collect()));
        for key in gone {
            self.remove(&key);
        }
    }
}
