//! The store's decisions: what is written and synced together, when a segment is full, what is moved on and dropped, what is
//! refused, and what is believed after a crash. It owns the tables in memory; it must never do I/O or read a clock. Events
//! and the time go in, actions come out; one request is with the disk at a time, and what comes meanwhile waits and goes
//! together.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::disk::{DiskError, Done, Request};
use crate::log::{self, Change, Damage, Head, HeadError, Spot};

/// What one entry takes in memory beside its key and value, about.
const ENTRY_BYTES: usize = 160;
/// Bytes that are moved on at once while nothing else waits.
const MOVED_AT_ONCE: usize = 64 * 1024;
/// A segment of which less than this part still lives is moved on.
const WORTH_KEEPING: f64 = 0.5;

/// Bounds.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Bytes after which a segment is full.
    pub segment_bytes: u64,
    /// Bytes on disk at most. One segment of them is kept for moving entries on.
    pub disk_bytes: u64,
    /// Bytes in memory at most: entries and what waits.
    pub memory_bytes: usize,
    /// Lazy batches wait so long for others to go with, ms.
    pub lazy_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { segment_bytes: 4 << 20, disk_bytes: 64 << 20, memory_bytes: 8 << 20, lazy_ms: 500.0 }
    }
}

/// How sure a batch has to be before it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// It survives a power cut.
    Durable,
    /// It survives the end of the process.
    Written,
    /// It is answered at once, and may be lost.
    Lazy,
}

/// What reaches the store.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A batch: all of it or nothing. The ticket names it in the answer.
    Write(u64, Vec<Change>, Durability),
    /// What the disk answered to the last request.
    Disk(Result<Done, DiskError>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the disk; the next request comes only after its answer went in.
    Disk(Request),
    /// The batch of this ticket has ended so.
    Answer(u64, Result<(), WriteError>),
    /// The store is open.
    Opened,
    /// From now on nothing is written.
    Shut(Reason),
}

/// Why nothing is written any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A file could not be read, made, written or removed.
    Disk(DiskError),
    /// A sync failed: what had not been synced before is not believed.
    SyncFailed,
    /// What had been synced is not as it was.
    Damaged(Damage),
    /// A segment between others is missing.
    Missing(u64),
    /// Written by a later version of the program.
    Newer(u16),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Disk(error) => write!(f, "{error}"),
            Reason::SyncFailed => f.write_str("a sync failed; open the store anew once the disk is sound"),
            Reason::Damaged(damage) => write!(f, "{damage}; nothing behind that is believed"),
            Reason::Missing(number) => write!(f, "segment {number} is missing"),
            Reason::Newer(version) => write!(f, "written in form {version} by a later program"),
        }
    }
}

/// Why a batch was not written. Nothing of it has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No room in memory.
    Memory,
    /// No room in the part of the disk that the store may use.
    Disk,
    /// Larger than any batch may be.
    TooLarge,
    /// It is not open yet.
    NotOpen,
    /// Nothing is written any more.
    Shut(Reason),
}

/// How a batch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// Nothing of it has happened.
    Refused(Refusal),
    /// It is not in the store now, and may be there once it is opened anew.
    Unknown(Reason),
}

type Key = (String, Vec<u8>);

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    value: Vec<u8>,
    end_ms: f64,
    segment: u64,
}

#[derive(Clone, Debug, Default)]
struct Segment {
    bytes: u64,
    live: BTreeSet<Key>,
    live_bytes: u64,
}

struct Waiting {
    ticket: Option<u64>,
    changes: Vec<Change>,
    durability: Durability,
    since_ms: f64,
}

/// What the disk was asked for.
enum Asked {
    List,
    Read(u64),
    /// The first segment of this life, or a further one.
    Create(Head),
    Append {
        bytes: u64,
        chain: u64,
        group: Vec<Waiting>,
        undo_from: usize,
    },
    Sync {
        group: Vec<Waiting>,
        then: Then,
    },
    Remove(u64),
}

/// What follows a sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    Nothing,
    Roll,
    Drop,
}

enum Phase {
    Opening { left: VecDeque<u64>, last: Option<(Head, Vec<u8>)>, highest: u64 },
    Ready,
    Shut(Reason),
}

/// The store.
pub struct Store {
    rules: Rules,
    over_before_ms: f64,
    phase: Phase,
    asked: Option<Asked>,
    index: BTreeMap<Key, Entry>,
    ends: BTreeSet<(u64, Key)>,
    segments: BTreeMap<u64, Segment>,
    /// The segment that is written, its sound bytes, the part of them that is synced, and the chain.
    current: u64,
    bytes: u64,
    synced: u64,
    chain: u64,
    queue: VecDeque<Waiting>,
    queued_bytes: usize,
    memory: usize,
    /// How to take back what was done since the last sync.
    undo: Vec<(Key, Option<Entry>)>,
    /// The end of the current segment holds what a failed write left.
    is_torn: bool,
}

fn size(changes: &[Change]) -> usize {
    let one = |c: &Change| c.table.len() + c.key.len() + c.value.as_ref().map_or(0, Vec::len) + ENTRY_BYTES;
    changes.iter().map(one).sum()
}

/// Bytes of an entry in a record, about and never less.
fn entry_bytes(key: &Key, value: &[u8]) -> u64 {
    (key.0.len() + key.1.len() + value.len() + 24) as u64
}

impl Store {
    /// Begins to open the store. What is over before this time is surely over, whatever the clock did: it is passed over.
    pub fn open(rules: Rules, over_before_ms: f64, out: &mut Vec<Action>) -> Store {
        out.push(Action::Disk(Request::List));
        Store {
            rules,
            over_before_ms,
            phase: Phase::Opening { left: VecDeque::new(), last: None, highest: 0 },
            asked: Some(Asked::List),
            index: BTreeMap::new(),
            ends: BTreeSet::new(),
            segments: BTreeMap::new(),
            current: 0,
            bytes: 0,
            synced: 0,
            chain: 0,
            queue: VecDeque::new(),
            queued_bytes: 0,
            memory: 0,
            undo: Vec::new(),
            is_torn: false,
        }
    }

    /// The value of an entry that is not over.
    pub fn get(&self, now: f64, table: &str, key: &[u8]) -> Option<&[u8]> {
        let entry = self.index.get(&(table.to_owned(), key.to_vec()))?;
        (entry.end_ms > now).then_some(entry.value.as_slice())
    }

    /// All entries of a table that are not over, by key.
    pub fn entries(&self, now: f64, table: &str) -> impl Iterator<Item = (&[u8], &[u8])> {
        let from = (table.to_owned(), Vec::new());
        let all = self.index.range(from..).take_while(move |(key, _)| key.0 == table);
        let all = all.filter(move |(_, entry)| entry.end_ms > now);
        all.map(|(key, entry)| (key.1.as_slice(), entry.value.as_slice()))
    }

    /// Whether it is open for writing, and why not.
    pub fn shut(&self) -> Option<Reason> {
        if let Phase::Shut(reason) = self.phase { Some(reason) } else { None }
    }

    /// Bytes on disk, and in memory.
    pub fn bytes(&self) -> (u64, usize) {
        (self.segments.values().map(|segment| segment.bytes).sum(), self.memory + self.queued_bytes)
    }

    /// Takes one event.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Write(ticket, changes, durability) => self.write(now, ticket, changes, durability, out),
            Event::Disk(answer) => self.answered(answer, out),
        }
        if matches!(self.phase, Phase::Ready) {
            self.expire(now);
            self.next(now, out);
        }
    }

    // ---- taking ----

    fn write(
        &mut self,
        now: f64,
        ticket: u64,
        changes: Vec<Change>,
        durability: Durability,
        out: &mut Vec<Action>,
    ) {
        let bytes = size(&changes);
        let on_disk = self.bytes().0 + (self.queued_bytes + bytes + log::FRAME) as u64;
        let refusal = match self.phase {
            Phase::Shut(reason) => Some(Refusal::Shut(reason)),
            Phase::Opening { .. } => Some(Refusal::NotOpen),
            Phase::Ready if bytes > log::PAYLOAD_MOST.min(self.rules.segment_bytes as usize / 2) => {
                Some(Refusal::TooLarge)
            }
            Phase::Ready if self.memory + self.queued_bytes + bytes > self.rules.memory_bytes => {
                Some(Refusal::Memory)
            }
            Phase::Ready if on_disk > self.rules.disk_bytes.saturating_sub(self.rules.segment_bytes) => {
                Some(Refusal::Disk)
            }
            Phase::Ready => None,
        };
        if let Some(refusal) = refusal {
            out.push(Action::Answer(ticket, Err(WriteError::Refused(refusal))));
            return;
        }
        let lazy = durability == Durability::Lazy;
        if lazy {
            out.push(Action::Answer(ticket, Ok(())));
        }
        self.queued_bytes += bytes;
        let ticket = (!lazy).then_some(ticket);
        self.queue.push_back(Waiting { ticket, changes, durability, since_ms: now });
    }

    // ---- the tables ----

    fn put(&mut self, key: Key, entry: Option<Entry>) -> Option<Entry> {
        let old = self.index.remove(&key);
        if let Some(old) = &old {
            self.memory -= key.0.len() + key.1.len() + old.value.len() + ENTRY_BYTES;
            self.ends.remove(&(old.end_ms.to_bits(), key.clone()));
            if let Some(segment) = self.segments.get_mut(&old.segment)
                && segment.live.remove(&key)
            {
                segment.live_bytes -= entry_bytes(&key, &old.value);
            }
        }
        if let Some(entry) = entry {
            self.memory += key.0.len() + key.1.len() + entry.value.len() + ENTRY_BYTES;
            self.ends.insert((entry.end_ms.to_bits(), key.clone()));
            if let Some(segment) = self.segments.get_mut(&entry.segment) {
                segment.live.insert(key.clone());
                segment.live_bytes += entry_bytes(&key, &entry.value);
            }
            self.index.insert(key, entry);
        }
        old
    }

    /// Does a change that stands in this segment; tells how to take it back.
    fn change(&mut self, change: &Change, number: u64) -> (Key, Option<Entry>) {
        let key = (change.table.clone(), change.key.clone());
        // Ends order by their bits, which those of positive numbers do.
        let end_ms = change.end_ms.max(0.0);
        let entry = change.value.clone().map(|value| Entry { value, end_ms, segment: number });
        let old = self.put(key.clone(), entry);
        (key, old)
    }

    fn take_back(&mut self, from: usize) {
        for (key, old) in self.undo.split_off(from).into_iter().rev() {
            // Where it stood may be gone by now: then it is over.
            let old = old.filter(|old| self.segments.contains_key(&old.segment));
            self.put(key, old);
        }
    }

    fn expire(&mut self, now: f64) {
        while let Some((end, key)) = self.ends.first().cloned()
            && f64::from_bits(end) <= now
        {
            self.put(key, None);
        }
    }

    // ---- what comes next ----

    fn ask(&mut self, request: Request, asked: Asked, out: &mut Vec<Action>) {
        self.asked = Some(asked);
        out.push(Action::Disk(request));
    }

    fn next(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.asked.is_some() {
            return;
        }
        let hurry = |w: &Waiting| w.durability != Durability::Lazy || now - w.since_ms >= self.rules.lazy_ms;
        let due = self.queue.iter().any(hurry) || self.queued_bytes as u64 > self.rules.segment_bytes / 4;
        let is_full = self.bytes >= self.rules.segment_bytes;
        if self.is_torn || (is_full && self.bytes > log::HEAD as u64) {
            return self.sync(Vec::new(), Then::Roll, out);
        }
        if due {
            let group: Vec<Waiting> = self.queue.drain(..).collect();
            self.queued_bytes = 0;
            return self.append(group, out);
        }
        self.tidy(now, out);
    }

    fn append(&mut self, group: Vec<Waiting>, out: &mut Vec<Action>) {
        let (mut bytes, mut chain) = (Vec::new(), self.chain);
        let undo_from = self.undo.len();
        let mut kept = Vec::new();
        for waiting in group {
            let spot = Spot {
                segment: self.current,
                offset: self.bytes + bytes.len() as u64,
                chain,
                synced: self.synced,
            };
            let Ok((record, behind)) = log::encode(&waiting.changes, spot) else {
                let refused = WriteError::Refused(Refusal::TooLarge);
                out.extend(waiting.ticket.map(|ticket| Action::Answer(ticket, Err(refused))));
                continue;
            };
            bytes.extend_from_slice(&record);
            chain = behind;
            for change in &waiting.changes {
                let back = self.change(change, self.current);
                self.undo.push(back);
            }
            kept.push(waiting);
        }
        let asked = Asked::Append { bytes: bytes.len() as u64, chain, group: kept, undo_from };
        self.ask(Request::Append(self.current, self.bytes, bytes), asked, out);
    }

    fn sync(&mut self, group: Vec<Waiting>, then: Then, out: &mut Vec<Action>) {
        self.ask(Request::Sync(self.current), Asked::Sync { group, then }, out);
    }

    /// Drops the oldest segment if nothing in it lives, or moves what lives in it on, a little at a time.
    fn tidy(&mut self, now: f64, out: &mut Vec<Action>) {
        let Some((&oldest, segment)) = self.segments.first_key_value() else { return };
        if oldest == self.current {
            return;
        }
        if segment.live.is_empty() {
            // What was moved on has to be safe first.
            return self.sync(Vec::new(), Then::Drop, out);
        }
        let crowded = self.bytes().0 > self.rules.disk_bytes / 2;
        let worth = segment.live_bytes as f64 / segment.bytes.max(1) as f64;
        if !crowded && worth >= WORTH_KEEPING {
            return;
        }
        let (mut changes, mut moved) = (Vec::new(), 0);
        for key in &segment.live {
            let Some(entry) = self.index.get(key) else { continue };
            moved += entry.value.len() + key.1.len();
            let (table, value) = (key.0.clone(), Some(entry.value.clone()));
            changes.push(Change { table, key: key.1.clone(), value, end_ms: entry.end_ms });
            if moved >= MOVED_AT_ONCE {
                break;
            }
        }
        let lazy = Waiting { ticket: None, changes, durability: Durability::Lazy, since_ms: now };
        self.append(vec![lazy], out);
    }

    // ---- answers of the disk ----

    fn answered(&mut self, answer: Result<Done, DiskError>, out: &mut Vec<Action>) {
        let Some(asked) = self.asked.take() else { return };
        match (asked, answer) {
            (Asked::List, Ok(Done::Listed(mut numbers))) => {
                numbers.sort_unstable();
                let highest = numbers.last().copied().unwrap_or(0);
                self.phase = Phase::Opening { left: numbers.into(), last: None, highest };
                self.read_next(out);
            }
            (Asked::Read(number), Ok(Done::Bytes(bytes))) => self.opened_one(number, bytes, out),
            (Asked::Create(head), Ok(_)) => self.begin(head, out),
            (Asked::Append { bytes, chain, group, .. }, Ok(_)) => {
                self.bytes += bytes;
                self.chain = chain;
                if let Some(segment) = self.segments.get_mut(&self.current) {
                    segment.bytes = self.bytes;
                }
                let written = |w: &Waiting| w.durability == Durability::Written;
                let (written, durable): (Vec<Waiting>, Vec<Waiting>) =
                    group.into_iter().filter(|w| w.ticket.is_some()).partition(written);
                let done = written.into_iter().filter_map(|w| w.ticket);
                out.extend(done.map(|ticket| Action::Answer(ticket, Ok(()))));
                if !durable.is_empty() {
                    self.sync(durable, Then::Nothing, out);
                }
            }
            (Asked::Append { group, undo_from, .. }, Err(error)) => {
                // A part of it may be there: nothing is written behind that.
                self.take_back(undo_from);
                self.is_torn = true;
                let reason = Reason::Disk(error);
                fail(group, reason, out);
            }
            (Asked::Sync { group, then }, Ok(_)) => {
                self.synced = self.bytes;
                self.undo.clear();
                let done = group.into_iter().filter_map(|w| w.ticket);
                out.extend(done.map(|ticket| Action::Answer(ticket, Ok(()))));
                match then {
                    Then::Nothing => {}
                    Then::Roll => {
                        self.create(self.current + 1, out);
                    }
                    Then::Drop => {
                        let oldest = self.segments.first_key_value().map(|(number, _)| *number);
                        if let Some(oldest) = oldest.filter(|oldest| *oldest != self.current) {
                            self.ask(Request::Remove(oldest), Asked::Remove(oldest), out);
                        }
                    }
                }
            }
            (Asked::Sync { group, .. }, Err(_)) => {
                // What the system still holds of it may be gone for good, and asking again would hide that.
                self.take_back(0);
                fail(group, Reason::SyncFailed, out);
                self.shut_down(Reason::SyncFailed, out);
            }
            (Asked::Remove(number), Ok(_)) => {
                self.segments.remove(&number);
            }
            (_, Err(error)) => self.shut_down(Reason::Disk(error), out),
            (_, Ok(_)) => self.shut_down(Reason::Disk(DiskError::Failed), out),
        }
    }

    fn shut_down(&mut self, reason: Reason, out: &mut Vec<Action>) {
        self.phase = Phase::Shut(reason);
        self.queued_bytes = 0;
        let refused = WriteError::Refused(Refusal::Shut(reason));
        let waiting = self.queue.drain(..).filter_map(|w| w.ticket);
        out.extend(waiting.map(|ticket| Action::Answer(ticket, Err(refused))));
        out.push(Action::Shut(reason));
    }

    fn create(&mut self, number: u64, out: &mut Vec<Action>) {
        let head = Head { number, before_bytes: self.bytes, chain: self.chain };
        self.ask(Request::Create(number, head.encode()), Asked::Create(head), out);
    }

    fn begin(&mut self, head: Head, out: &mut Vec<Action>) {
        let was_opening = matches!(self.phase, Phase::Opening { .. });
        (self.current, self.bytes, self.synced) = (head.number, log::HEAD as u64, log::HEAD as u64);
        self.is_torn = false;
        self.segments.insert(head.number, Segment { bytes: self.bytes, ..Segment::default() });
        if was_opening {
            self.phase = Phase::Ready;
            out.push(Action::Opened);
        }
    }

    // ---- opening ----

    fn read_next(&mut self, out: &mut Vec<Action>) {
        let Phase::Opening { left, last, highest } = &mut self.phase else { return };
        if let Some(number) = left.pop_front() {
            self.ask(Request::Read(number), Asked::Read(number), out);
            return;
        }
        let (last, highest) = (last.take(), *highest);
        if let Some((head, bytes)) = last
            && let Err(reason) = self.believe(&head, &bytes, None)
        {
            return self.shut_down(reason, out);
        }
        // Nothing is written behind what a crash may have left.
        let number = self.segments.last_key_value().map_or(highest + 1, |(number, _)| number + 1);
        self.create(number, out);
    }

    fn opened_one(&mut self, number: u64, bytes: Vec<u8>, out: &mut Vec<Action>) {
        let Phase::Opening { left, last, highest } = &mut self.phase else { return };
        let is_last = left.is_empty();
        let before = last.take();
        match Head::decode(&bytes, number) {
            Ok(head) => {
                if let Some((earlier, bytes)) = before {
                    if earlier.number + 1 != number {
                        return self.shut_down(Reason::Missing(earlier.number + 1), out);
                    }
                    if let Err(reason) = self.believe(&earlier, &bytes, Some(&head)) {
                        return self.shut_down(reason, out);
                    }
                }
                if let Phase::Opening { last, .. } = &mut self.phase {
                    *last = Some((head, bytes));
                }
            }
            Err(HeadError::Version(version)) => return self.shut_down(Reason::Newer(version), out),
            // It was being made when the power went: its head is synced before anything else is.
            // It is made anew.
            Err(HeadError::Unsound) if is_last && !log::has_records(&bytes, number) => {
                (*last, *highest) = (before, number.saturating_sub(1));
            }
            Err(HeadError::Unsound) => {
                return self.shut_down(Reason::Damaged(Damage { segment: number, offset: 0 }), out);
            }
        }
        self.read_next(out);
    }

    /// Takes what a segment says, as far as the one behind it says that it goes.
    fn believe(&mut self, head: &Head, bytes: &[u8], behind: Option<&Head>) -> Result<(), Reason> {
        let ends = behind.map(|behind| behind.before_bytes);
        let read = log::read(bytes, head, ends).map_err(Reason::Damaged)?;
        if behind.is_some_and(|behind| behind.chain != read.chain) {
            return Err(Reason::Damaged(Damage { segment: head.number, offset: read.bytes }));
        }
        self.segments.insert(head.number, Segment { bytes: read.bytes, ..Segment::default() });
        for change in read.batches.iter().flatten() {
            let back = self.change(change, head.number);
            // Over for sure: as if it had been removed.
            if change.end_ms < self.over_before_ms {
                self.put(back.0, None);
            }
        }
        (self.bytes, self.chain) = (read.bytes, read.chain);
        Ok(())
    }
}

fn fail(group: Vec<Waiting>, reason: Reason, out: &mut Vec<Action>) {
    let tickets = group.into_iter().filter_map(|w| w.ticket);
    out.extend(tickets.map(|ticket| Action::Answer(ticket, Err(WriteError::Unknown(reason)))));
}
