//! The store's decisions: what is written and synced together, when a segment is full, what is moved on and dropped, what is
//! refused, and what is believed after a crash. It owns the tables in memory; it must never do I/O or read a clock. Events
//! and the time go in, actions come out; one request is with the disk at a time, and what comes meanwhile waits and goes
//! together.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use crate::disk::{DiskError, DiskRequest, DiskResponse};
use crate::format::{self, Change, Corruption, LogPosition, SegmentHeader, SegmentHeaderError};

/// What one entry takes in memory beside its key and value, about.
const ENTRY_BYTES: usize = 160;
/// Bytes that are moved on at once while nothing else waits.
const MAX_COMPACTION_BATCH_BYTES: usize = 64 * 1024;
/// A segment of which less than this part still lives is moved on.
const MIN_LIVE_FRACTION: f64 = 0.5;

/// Bounds.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Bytes after which a segment is full.
    pub segment_bytes: u64,
    /// Bytes on disk at most. One segment of them is kept for moving entries on.
    pub disk_bytes: u64,
    /// Bytes in memory at most: entries and what waits.
    pub memory_bytes: usize,
    /// Lazy batches wait so long for others to go with, ms.
    pub max_lazy_delay_ms: f64,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            segment_bytes: 4 << 20,
            disk_bytes: 64 << 20,
            memory_bytes: 8 << 20,
            max_lazy_delay_ms: 500.0,
        }
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
    DiskCompleted(Result<DiskResponse, DiskError>),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the disk; the next request comes only after its answer went in.
    Disk(DiskRequest),
    /// The batch of this ticket has ended so.
    Complete(u64, Result<(), WriteError>),
    /// The store is open.
    Opened,
    /// From now on nothing is written.
    Closed(CloseReason),
}

/// Why nothing is written any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// A file could not be read, made, written or removed.
    Disk(DiskError),
    /// A sync failed: what had not been synced before is not believed.
    SyncFailed,
    /// What had been synced is not as it was.
    Corrupt(Corruption),
    /// A segment between others is missing.
    MissingSegment(u64),
    /// Written by a later version of the program.
    NewerFormat(u16),
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::Disk(error) => write!(f, "{error}"),
            CloseReason::SyncFailed => {
                f.write_str("a sync failed; open the store anew once the disk is sound")
            }
            CloseReason::Corrupt(damage) => write!(f, "{damage}; nothing behind that is believed"),
            CloseReason::MissingSegment(number) => write!(f, "segment {number} is missing"),
            CloseReason::NewerFormat(version) => write!(f, "written in form {version} by a later program"),
        }
    }
}

/// Why a batch was not written. Nothing of it has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// No room in memory.
    MemoryFull,
    /// No room in the part of the disk that the store may use.
    DiskFull,
    /// Larger than any batch may be.
    TooLarge,
    /// It is not open yet.
    NotOpen,
    /// Nothing is written any more.
    Closed(CloseReason),
}

/// How a batch failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// Nothing of it has happened.
    Rejected(RejectReason),
    /// It is not in the store now, and may be there once it is opened anew.
    OutcomeUnknown(CloseReason),
}

type Key = (String, Vec<u8>);

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    value: Vec<u8>,
    expires_at_ms: f64,
    segment: u64,
}

#[derive(Clone, Debug, Default)]
struct Segment {
    bytes: u64,
    live: BTreeSet<Key>,
    live_bytes: u64,
}

struct PendingWrite {
    ticket: Option<u64>,
    changes: Vec<Change>,
    durability: Durability,
    since_ms: f64,
}

/// What the disk was asked for.
enum PendingRequest {
    List,
    Read(u64),
    /// The first segment of this life, or a further one.
    Create(SegmentHeader),
    Append {
        bytes: u64,
        chain: u64,
        group: Vec<PendingWrite>,
        undo_from: usize,
    },
    Sync {
        group: Vec<PendingWrite>,
        then: AfterSync,
    },
    Remove(u64),
}

/// What follows a sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterSync {
    Nothing,
    RollSegment,
    DropOldestSegment,
}

enum Phase {
    Recovering { left: VecDeque<u64>, last: Option<(SegmentHeader, Vec<u8>)>, highest: u64 },
    Open,
    Closed(CloseReason),
}

/// The store.
pub struct Store {
    rules: Options,
    expired_before_ms: f64,
    phase: Phase,
    asked: Option<PendingRequest>,
    index: BTreeMap<Key, Entry>,
    ends: BTreeSet<(u64, Key)>,
    segments: BTreeMap<u64, Segment>,
    /// The segment that is written, its sound bytes, the part of them that is synced, and the chain.
    current: u64,
    bytes: u64,
    synced: u64,
    chain: u64,
    queue: VecDeque<PendingWrite>,
    queued_bytes: usize,
    memory: usize,
    /// How to take back what was done since the last sync.
    undo: Vec<(Key, Option<Entry>)>,
    /// The end of the current segment holds what a failed write left.
    has_torn_tail: bool,
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
    pub fn open(rules: Options, expired_before_ms: f64, out: &mut Vec<Action>) -> Store {
        out.push(Action::Disk(DiskRequest::List));
        Store {
            rules,
            expired_before_ms,
            phase: Phase::Recovering { left: VecDeque::new(), last: None, highest: 0 },
            asked: Some(PendingRequest::List),
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
            has_torn_tail: false,
        }
    }

    /// The value of an entry that is not over.
    pub fn get(&self, now: f64, table: &str, key: &[u8]) -> Option<&[u8]> {
        let entry = self.index.get(&(table.to_owned(), key.to_vec()))?;
        (entry.expires_at_ms > now).then_some(entry.value.as_slice())
    }

    /// All entries of a table that are not over, by key.
    pub fn entries(&self, now: f64, table: &str) -> impl Iterator<Item = (&[u8], &[u8])> {
        let from = (table.to_owned(), Vec::new());
        let all = self.index.range(from..).take_while(move |(key, _)| key.0 == table);
        let all = all.filter(move |(_, entry)| entry.expires_at_ms > now);
        all.map(|(key, entry)| (key.1.as_slice(), entry.value.as_slice()))
    }

    /// Whether it is open for writing, and why not.
    pub fn close_reason(&self) -> Option<CloseReason> {
        if let Phase::Closed(reason) = self.phase { Some(reason) } else { None }
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
            Event::DiskCompleted(answer) => self.answered(answer, out),
        }
        if matches!(self.phase, Phase::Open) {
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
        let on_disk = self.bytes().0 + (self.queued_bytes + bytes + format::RECORD_HEADER_BYTES) as u64;
        let refusal = match self.phase {
            Phase::Closed(reason) => Some(RejectReason::Closed(reason)),
            Phase::Recovering { .. } => Some(RejectReason::NotOpen),
            Phase::Open if bytes > format::MAX_PAYLOAD_BYTES.min(self.rules.segment_bytes as usize / 2) => {
                Some(RejectReason::TooLarge)
            }
            Phase::Open if self.memory + self.queued_bytes + bytes > self.rules.memory_bytes => {
                Some(RejectReason::MemoryFull)
            }
            Phase::Open if on_disk > self.rules.disk_bytes.saturating_sub(self.rules.segment_bytes) => {
                Some(RejectReason::DiskFull)
            }
            Phase::Open => None,
        };
        if let Some(refusal) = refusal {
            out.push(Action::Complete(ticket, Err(WriteError::Rejected(refusal))));
            return;
        }
        let lazy = durability == Durability::Lazy;
        if lazy {
            out.push(Action::Complete(ticket, Ok(())));
        }
        self.queued_bytes += bytes;
        let ticket = (!lazy).then_some(ticket);
        self.queue.push_back(PendingWrite { ticket, changes, durability, since_ms: now });
    }

    // ---- the tables ----

    fn put(&mut self, key: Key, entry: Option<Entry>) -> Option<Entry> {
        let old = self.index.remove(&key);
        if let Some(old) = &old {
            self.memory -= key.0.len() + key.1.len() + old.value.len() + ENTRY_BYTES;
            self.ends.remove(&(old.expires_at_ms.to_bits(), key.clone()));
            if let Some(segment) = self.segments.get_mut(&old.segment)
                && segment.live.remove(&key)
            {
                segment.live_bytes -= entry_bytes(&key, &old.value);
            }
        }
        if let Some(entry) = entry {
            self.memory += key.0.len() + key.1.len() + entry.value.len() + ENTRY_BYTES;
            self.ends.insert((entry.expires_at_ms.to_bits(), key.clone()));
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
        let expires_at_ms = change.expires_at_ms.max(0.0);
        let entry = change.value.clone().map(|value| Entry { value, expires_at_ms, segment: number });
        let old = self.put(key.clone(), entry);
        (key, old)
    }

    fn roll_back(&mut self, from: usize) {
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

    fn ask(&mut self, request: DiskRequest, asked: PendingRequest, out: &mut Vec<Action>) {
        self.asked = Some(asked);
        out.push(Action::Disk(request));
    }

    fn next(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.asked.is_some() {
            return;
        }
        let hurry = |w: &PendingWrite| {
            w.durability != Durability::Lazy || now - w.since_ms >= self.rules.max_lazy_delay_ms
        };
        let due = self.queue.iter().any(hurry) || self.queued_bytes as u64 > self.rules.segment_bytes / 4;
        let is_full = self.bytes >= self.rules.segment_bytes;
        if self.has_torn_tail || (is_full && self.bytes > format::SEGMENT_HEADER_BYTES as u64) {
            return self.sync(Vec::new(), AfterSync::RollSegment, out);
        }
        if due {
            let group: Vec<PendingWrite> = self.queue.drain(..).collect();
            self.queued_bytes = 0;
            return self.append(group, out);
        }
        self.compact(now, out);
    }

    fn append(&mut self, group: Vec<PendingWrite>, out: &mut Vec<Action>) {
        let (mut bytes, mut chain) = (Vec::new(), self.chain);
        let undo_from = self.undo.len();
        let mut kept = Vec::new();
        for waiting in group {
            let spot = LogPosition {
                segment: self.current,
                offset: self.bytes + bytes.len() as u64,
                chain_hash: chain,
                synced_bytes: self.synced,
            };
            let Ok(record) = format::encode_record(&waiting.changes, spot) else {
                let refused = WriteError::Rejected(RejectReason::TooLarge);
                out.extend(waiting.ticket.map(|ticket| Action::Complete(ticket, Err(refused))));
                continue;
            };
            bytes.extend_from_slice(&record.bytes);
            chain = record.chain_hash;
            for change in &waiting.changes {
                let back = self.change(change, self.current);
                self.undo.push(back);
            }
            kept.push(waiting);
        }
        let asked = PendingRequest::Append { bytes: bytes.len() as u64, chain, group: kept, undo_from };
        self.ask(DiskRequest::Append(self.current, self.bytes, bytes), asked, out);
    }

    fn sync(&mut self, group: Vec<PendingWrite>, then: AfterSync, out: &mut Vec<Action>) {
        self.ask(DiskRequest::Sync(self.current), PendingRequest::Sync { group, then }, out);
    }

    /// Drops the oldest segment if nothing in it lives, or moves what lives in it on, a little at a time.
    fn compact(&mut self, now: f64, out: &mut Vec<Action>) {
        let Some((&oldest, segment)) = self.segments.first_key_value() else { return };
        if oldest == self.current {
            return;
        }
        if segment.live.is_empty() {
            // What was moved on has to be safe first.
            return self.sync(Vec::new(), AfterSync::DropOldestSegment, out);
        }
        let crowded = self.bytes().0 > self.rules.disk_bytes / 2;
        let worth = segment.live_bytes as f64 / segment.bytes.max(1) as f64;
        if !crowded && worth >= MIN_LIVE_FRACTION {
            return;
        }
        let (mut changes, mut moved) = (Vec::new(), 0);
        for key in &segment.live {
            let Some(entry) = self.index.get(key) else { continue };
            moved += entry.value.len() + key.1.len();
            let (table, value) = (key.0.clone(), Some(entry.value.clone()));
            changes.push(Change { table, key: key.1.clone(), value, expires_at_ms: entry.expires_at_ms });
            if moved >= MAX_COMPACTION_BATCH_BYTES {
                break;
            }
        }
        let lazy = PendingWrite { ticket: None, changes, durability: Durability::Lazy, since_ms: now };
        self.append(vec![lazy], out);
    }

    // ---- answers of the disk ----

    fn answered(&mut self, answer: Result<DiskResponse, DiskError>, out: &mut Vec<Action>) {
        let Some(asked) = self.asked.take() else { return };
        match (asked, answer) {
            (PendingRequest::List, Ok(DiskResponse::Segments(mut numbers))) => {
                numbers.sort_unstable();
                let highest = numbers.last().copied().unwrap_or(0);
                self.phase = Phase::Recovering { left: numbers.into(), last: None, highest };
                self.read_next(out);
            }
            (PendingRequest::Read(number), Ok(DiskResponse::Contents(bytes))) => {
                self.segment_read(number, bytes, out)
            }
            (PendingRequest::Create(head), Ok(_)) => self.begin(head, out),
            (PendingRequest::Append { bytes, chain, group, .. }, Ok(_)) => {
                self.bytes += bytes;
                self.chain = chain;
                if let Some(segment) = self.segments.get_mut(&self.current) {
                    segment.bytes = self.bytes;
                }
                let written = |w: &PendingWrite| w.durability == Durability::Written;
                let (written, durable): (Vec<PendingWrite>, Vec<PendingWrite>) =
                    group.into_iter().filter(|w| w.ticket.is_some()).partition(written);
                let done = written.into_iter().filter_map(|w| w.ticket);
                out.extend(done.map(|ticket| Action::Complete(ticket, Ok(()))));
                if !durable.is_empty() {
                    self.sync(durable, AfterSync::Nothing, out);
                }
            }
            (PendingRequest::Append { group, undo_from, .. }, Err(error)) => {
                // A part of it may be there: nothing is written behind that.
                self.roll_back(undo_from);
                self.has_torn_tail = true;
                let reason = CloseReason::Disk(error);
                fail(group, reason, out);
            }
            (PendingRequest::Sync { group, then }, Ok(_)) => {
                self.synced = self.bytes;
                self.undo.clear();
                let done = group.into_iter().filter_map(|w| w.ticket);
                out.extend(done.map(|ticket| Action::Complete(ticket, Ok(()))));
                match then {
                    AfterSync::Nothing => {}
                    AfterSync::RollSegment => {
                        self.create(self.current + 1, out);
                    }
                    AfterSync::DropOldestSegment => {
                        let oldest = self.segments.first_key_value().map(|(number, _)| *number);
                        if let Some(oldest) = oldest.filter(|oldest| *oldest != self.current) {
                            self.ask(DiskRequest::Remove(oldest), PendingRequest::Remove(oldest), out);
                        }
                    }
                }
            }
            (PendingRequest::Sync { group, .. }, Err(_)) => {
                // What the system still holds of it may be gone for good, and asking again would hide that.
                self.roll_back(0);
                fail(group, CloseReason::SyncFailed, out);
                self.close(CloseReason::SyncFailed, out);
            }
            (PendingRequest::Remove(number), Ok(_)) => {
                self.segments.remove(&number);
            }
            (_, Err(error)) => self.close(CloseReason::Disk(error), out),
            (_, Ok(_)) => self.close(CloseReason::Disk(DiskError::Failed), out),
        }
    }

    fn close(&mut self, reason: CloseReason, out: &mut Vec<Action>) {
        self.phase = Phase::Closed(reason);
        self.queued_bytes = 0;
        let refused = WriteError::Rejected(RejectReason::Closed(reason));
        let waiting = self.queue.drain(..).filter_map(|w| w.ticket);
        out.extend(waiting.map(|ticket| Action::Complete(ticket, Err(refused))));
        out.push(Action::Closed(reason));
    }

    fn create(&mut self, number: u64, out: &mut Vec<Action>) {
        let head = SegmentHeader { number, previous_segment_bytes: self.bytes, chain_hash: self.chain };
        self.ask(DiskRequest::Create(number, head.encode()), PendingRequest::Create(head), out);
    }

    fn begin(&mut self, head: SegmentHeader, out: &mut Vec<Action>) {
        let was_opening = matches!(self.phase, Phase::Recovering { .. });
        (self.current, self.bytes, self.synced) =
            (head.number, format::SEGMENT_HEADER_BYTES as u64, format::SEGMENT_HEADER_BYTES as u64);
        self.has_torn_tail = false;
        self.segments.insert(head.number, Segment { bytes: self.bytes, ..Segment::default() });
        if was_opening {
            self.phase = Phase::Open;
            out.push(Action::Opened);
        }
    }

    // ---- opening ----

    fn read_next(&mut self, out: &mut Vec<Action>) {
        let Phase::Recovering { left, last, highest } = &mut self.phase else { return };
        if let Some(number) = left.pop_front() {
            self.ask(DiskRequest::Read(number), PendingRequest::Read(number), out);
            return;
        }
        let (last, highest) = (last.take(), *highest);
        if let Some((head, bytes)) = last
            && let Err(reason) = self.replay_segment(&head, &bytes, None)
        {
            return self.close(reason, out);
        }
        // Nothing is written behind what a crash may have left.
        let number = self.segments.last_key_value().map_or(highest + 1, |(number, _)| number + 1);
        self.create(number, out);
    }

    fn segment_read(&mut self, number: u64, bytes: Vec<u8>, out: &mut Vec<Action>) {
        let Phase::Recovering { left, last, highest } = &mut self.phase else { return };
        let is_last = left.is_empty();
        let before = last.take();
        match SegmentHeader::decode(&bytes, number) {
            Ok(head) => {
                if let Some((earlier, bytes)) = before {
                    if earlier.number + 1 != number {
                        return self.close(CloseReason::MissingSegment(earlier.number + 1), out);
                    }
                    if let Err(reason) = self.replay_segment(&earlier, &bytes, Some(&head)) {
                        return self.close(reason, out);
                    }
                }
                if let Phase::Recovering { last, .. } = &mut self.phase {
                    *last = Some((head, bytes));
                }
            }
            Err(SegmentHeaderError::UnsupportedVersion(version)) => {
                return self.close(CloseReason::NewerFormat(version), out);
            }
            // It was being made when the power went: its head is synced before anything else is.
            // It is made anew.
            Err(SegmentHeaderError::Corrupt) if is_last && !format::contains_valid_record(&bytes, number) => {
                (*last, *highest) = (before, number.saturating_sub(1));
            }
            Err(SegmentHeaderError::Corrupt) => {
                return self.close(CloseReason::Corrupt(Corruption { segment: number, offset: 0 }), out);
            }
        }
        self.read_next(out);
    }

    /// Takes what a segment says, as far as the one behind it says that it goes.
    fn replay_segment(
        &mut self,
        head: &SegmentHeader,
        bytes: &[u8],
        behind: Option<&SegmentHeader>,
    ) -> Result<(), CloseReason> {
        let ends = behind.map(|behind| behind.previous_segment_bytes);
        let read = format::read_segment(bytes, head, ends).map_err(CloseReason::Corrupt)?;
        if behind.is_some_and(|behind| behind.chain_hash != read.chain_hash) {
            return Err(CloseReason::Corrupt(Corruption { segment: head.number, offset: read.valid_bytes }));
        }
        self.segments.insert(head.number, Segment { bytes: read.valid_bytes, ..Segment::default() });
        for change in read.batches.iter().flatten() {
            let back = self.change(change, head.number);
            // Over for sure: as if it had been removed.
            if change.expires_at_ms < self.expired_before_ms {
                self.put(back.0, None);
            }
        }
        (self.bytes, self.chain) = (read.valid_bytes, read.chain_hash);
        Ok(())
    }
}

fn fail(group: Vec<PendingWrite>, reason: CloseReason, out: &mut Vec<Action>) {
    let tickets = group.into_iter().filter_map(|w| w.ticket);
    out.extend(tickets.map(|ticket| Action::Complete(ticket, Err(WriteError::OutcomeUnknown(reason)))));
}
