//! The store as a state machine: events and the current time go in, actions come out. It owns the tables in
//! memory and decides what is written, synced, compacted and recovered; it does no I/O and reads no clock.
//!
//! One disk request is in progress at a time. Each concern has its own module: `recovery`, `write_group`
//! (group commit), `compaction` and `table_index`.

mod compaction;
mod error;
mod recovery;
mod table_index;
mod write_group;

pub use self::error::{CloseReason, RejectReason, WriteError};

use self::recovery::Recovery;
use self::table_index::TableIndex;
use self::write_group::{PendingAppend, PendingWrite, WriteQueue};
use crate::disk::{DiskError, DiskRequest, DiskResponse};
use crate::format::{self, Change, SegmentHeader};

/// Limits of a store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length at which a segment is full, bytes.
    pub segment_bytes: u64,
    /// Maximum total length of all segments, bytes. The length of one segment is reserved for compaction.
    pub disk_bytes: u64,
    /// Maximum memory of all entries and queued batches, bytes.
    pub memory_bytes: usize,
    /// Maximum time that a [lazy](Durability::Lazy) batch waits to be written together with others, ms.
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

/// When a batch is acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// Once the batch is synced: it survives a power loss.
    Durable,
    /// Once the batch is written: it survives the end of the process.
    Written,
    /// Immediately: the batch may be lost.
    Lazy,
}

/// An input of the store.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Write a batch of changes, atomically.
    Write {
        /// Identifies the batch in [`Action::Complete`].
        ticket: u64,
        /// The changes, in order.
        changes: Vec<Change>,
        /// When the batch is acknowledged.
        durability: Durability,
    },
    /// The disk has finished the last request.
    DiskCompleted(Result<DiskResponse, DiskError>),
}

/// An output of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this request to the disk. The next request follows only after [`Event::DiskCompleted`].
    Disk(DiskRequest),
    /// A write is finished.
    Complete {
        /// Identifies the batch.
        ticket: u64,
        /// `Ok` if the batch has reached the requested durability.
        result: Result<(), WriteError>,
    },
    /// Recovery is finished: the tables are complete, and writes are accepted.
    Opened,
    /// The store accepts no more writes.
    Closed(CloseReason),
}

/// The disk request that is in progress.
enum PendingRequest {
    List,
    Read(u64),
    Create(SegmentHeader),
    Append(PendingAppend),
    Sync { group: Vec<PendingWrite>, then: AfterSync },
    Remove(u64),
}

/// The next step after a successful sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterSync {
    Nothing,
    RollSegment,
    DropOldestSegment,
}

enum Phase {
    Recovering(Recovery),
    Open,
    Closed(CloseReason),
}

/// The segment that is being written. During recovery, the end of the log that was replayed so far.
#[derive(Default)]
struct ActiveSegment {
    number: u64,
    /// Length up to the end of the last successful append.
    bytes: u64,
    /// Length that is known to be synced.
    synced_bytes: u64,
    /// The hash chain over all records so far.
    chain_hash: u64,
    /// Whether a failed append may have left bytes after the end.
    has_torn_tail: bool,
}

/// The state of a store: its tables, the segment that is being written, and the queued batches.
pub struct Store {
    options: Options,
    expired_before_ms: f64,
    phase: Phase,
    pending_request: Option<PendingRequest>,
    tables: TableIndex,
    active: ActiveSegment,
    queue: WriteQueue,
}

impl Store {
    /// Starts recovery, which ends with [`Action::Opened`] or [`Action::Closed`]. Entries that expire before
    /// `expired_before_ms`, Unix ms, are skipped. It has to be a time that has certainly passed, even if the
    /// clock was set.
    pub fn open(options: Options, expired_before_ms: f64, out: &mut Vec<Action>) -> Store {
        let mut store = Store {
            options,
            expired_before_ms,
            phase: Phase::Recovering(Recovery::default()),
            pending_request: None,
            tables: TableIndex::default(),
            active: ActiveSegment::default(),
            queue: WriteQueue::default(),
        };
        store.submit(DiskRequest::List, PendingRequest::List, out);
        store
    }

    /// The value of an entry that has not expired at `now_ms`.
    pub fn get(&self, now_ms: f64, table: &str, key: &[u8]) -> Option<&[u8]> {
        self.tables.get(now_ms, table, key)
    }

    /// Keys and values of a table's entries that have not expired at `now_ms`, in key order.
    pub fn entries(&self, now_ms: f64, table: &str) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.tables.table(now_ms, table)
    }

    /// Why the store is closed; `None` if it is not.
    pub fn close_reason(&self) -> Option<CloseReason> {
        if let Phase::Closed(reason) = self.phase { Some(reason) } else { None }
    }

    /// Length of all segments, bytes.
    pub fn disk_bytes(&self) -> u64 {
        self.tables.disk_bytes()
    }

    /// Approximate memory of all entries and queued batches, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.tables.memory_bytes() + self.queue.bytes()
    }

    /// Handles one event at this time, Unix ms, and appends the actions that follow from it to `out`.
    pub fn handle(&mut self, now_ms: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Write { ticket, changes, durability } => {
                self.write(now_ms, ticket, changes, durability, out);
            }
            Event::DiskCompleted(result) => self.disk_completed(result, out),
        }
        if matches!(self.phase, Phase::Open) {
            self.tables.expire(now_ms);
            self.start_next_request(now_ms, out);
        }
    }

    fn submit(&mut self, request: DiskRequest, pending: PendingRequest, out: &mut Vec<Action>) {
        self.pending_request = Some(pending);
        out.push(Action::Disk(request));
    }

    /// Starts the most urgent request if none is in progress: a new segment, else the queued writes, else
    /// compaction.
    fn start_next_request(&mut self, now_ms: f64, out: &mut Vec<Action>) {
        if self.pending_request.is_some() {
            return;
        }
        if self.needs_new_segment() {
            self.sync(Vec::new(), AfterSync::RollSegment, out);
        } else if self.is_write_group_due(now_ms) {
            let group = self.queue.take_all();
            self.append(group, out);
        } else {
            self.compact(now_ms, out);
        }
    }

    fn needs_new_segment(&self) -> bool {
        let has_records = self.active.bytes > format::SEGMENT_HEADER_BYTES as u64;
        let is_full = self.active.bytes >= self.options.segment_bytes;
        self.active.has_torn_tail || (is_full && has_records)
    }

    fn disk_completed(&mut self, result: Result<DiskResponse, DiskError>, out: &mut Vec<Action>) {
        let Some(pending) = self.pending_request.take() else { return };
        match (pending, result) {
            (PendingRequest::List, Ok(DiskResponse::Segments(numbers))) => self.segments_listed(numbers, out),
            (PendingRequest::Read(number), Ok(DiskResponse::Contents(bytes))) => {
                self.segment_read(number, bytes, out);
            }
            (PendingRequest::Create(header), Ok(_)) => self.segment_created(&header, out),
            (PendingRequest::Append(append), Ok(_)) => self.appended(append, out),
            (PendingRequest::Append(append), Err(error)) => self.append_failed(append, error, out),
            (PendingRequest::Sync { group, then }, Ok(_)) => self.synced(group, then, out),
            (PendingRequest::Sync { group, .. }, Err(_)) => self.sync_failed(group, out),
            (PendingRequest::Remove(number), Ok(_)) => self.tables.remove_segment(number),
            (_, Err(error)) => self.close(CloseReason::Disk(error), out),
            // The response is of another kind than the request.
            (_, Ok(_)) => self.close(CloseReason::Disk(DiskError::Failed), out),
        }
    }

    fn create_segment(&mut self, number: u64, out: &mut Vec<Action>) {
        let header = SegmentHeader {
            number,
            previous_segment_bytes: self.active.bytes,
            chain_hash: self.active.chain_hash,
        };
        let request = DiskRequest::Create { segment: number, bytes: header.encode() };
        self.submit(request, PendingRequest::Create(header), out);
    }

    fn segment_created(&mut self, header: &SegmentHeader, out: &mut Vec<Action>) {
        let header_bytes = format::SEGMENT_HEADER_BYTES as u64;
        self.active = ActiveSegment {
            number: header.number,
            bytes: header_bytes,
            synced_bytes: header_bytes,
            chain_hash: header.chain_hash,
            has_torn_tail: false,
        };
        self.tables.add_segment(header.number, header_bytes);
        if matches!(self.phase, Phase::Recovering(_)) {
            self.phase = Phase::Open;
            out.push(Action::Opened);
        }
    }
}
