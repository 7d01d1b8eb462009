//! Group commit: batches that arrive while a disk request is in progress are appended together and share one
//! sync.

use std::collections::VecDeque;

use super::table_index::{LAST_SYNC, Savepoint, memory_size};
use super::{
    Action, AfterSync, CloseReason, Durability, PendingRequest, Phase, RejectReason, Store, WriteError,
};
use crate::disk::{DiskError, DiskRequest};
use crate::format::{self, Change, LogPosition};

/// A batch that is not acknowledged yet.
pub(super) struct PendingWrite {
    /// Identifies the batch in its acknowledgement; `None` if no acknowledgement is due any more.
    pub(super) ticket: Option<u64>,
    pub(super) changes: Vec<Change>,
    pub(super) durability: Durability,
    pub(super) queued_at_ms: f64,
}

impl PendingWrite {
    fn complete(self, result: Result<(), WriteError>, out: &mut Vec<Action>) {
        out.extend(self.ticket.map(|ticket| Action::Complete { ticket, result }));
    }
}

/// Completes all writes of a group in the same way.
fn complete_all(
    writes: impl IntoIterator<Item = PendingWrite>,
    result: Result<(), WriteError>,
    out: &mut Vec<Action>,
) {
    writes.into_iter().for_each(|write| write.complete(result, out));
}

/// Batches that wait for the next append.
#[derive(Default)]
pub(super) struct WriteQueue {
    writes: VecDeque<PendingWrite>,
    /// Memory of the queued batches, bytes.
    bytes: usize,
}

impl WriteQueue {
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    fn push(&mut self, write: PendingWrite, bytes: usize) {
        self.bytes += bytes;
        self.writes.push_back(write);
    }

    pub(super) fn take_all(&mut self) -> Vec<PendingWrite> {
        self.bytes = 0;
        self.writes.drain(..).collect()
    }
}

/// An append that is in progress.
pub(super) struct PendingAppend {
    writes: Vec<PendingWrite>,
    bytes: u64,
    /// The hash chain after the append.
    chain_hash: u64,
    /// The state of the tables before the append.
    savepoint: Savepoint,
}

impl Store {
    /// Queues a batch, or rejects it.
    pub(super) fn write(
        &mut self,
        now_ms: f64,
        ticket: u64,
        changes: Vec<Change>,
        durability: Durability,
        out: &mut Vec<Action>,
    ) {
        let bytes = memory_size(&changes);
        if let Err(reason) = self.check_capacity(bytes) {
            let result = Err(WriteError::Rejected(reason));
            return out.push(Action::Complete { ticket, result });
        }
        let is_lazy = durability == Durability::Lazy;
        if is_lazy {
            out.push(Action::Complete { ticket, result: Ok(()) });
        }
        let ticket = (!is_lazy).then_some(ticket);
        self.queue.push(PendingWrite { ticket, changes, durability, queued_at_ms: now_ms }, bytes);
    }

    /// Checks whether a batch of this size may be queued.
    fn check_capacity(&self, bytes: usize) -> Result<(), RejectReason> {
        match self.phase {
            Phase::Closed(reason) => return Err(RejectReason::Closed(reason)),
            Phase::Recovering(_) => return Err(RejectReason::NotOpen),
            Phase::Open => {}
        }
        let max_batch_bytes = format::MAX_PAYLOAD_BYTES.min(self.options.segment_bytes as usize / 2);
        if bytes > max_batch_bytes {
            return Err(RejectReason::TooLarge);
        }
        if self.memory_bytes() + bytes > self.options.memory_bytes {
            return Err(RejectReason::MemoryFull);
        }
        let queued_bytes = self.queue.bytes() + bytes + format::RECORD_HEADER_BYTES;
        let reserved_for_compaction = self.options.segment_bytes;
        let max_disk_bytes = self.options.disk_bytes.saturating_sub(reserved_for_compaction);
        if self.disk_bytes() + queued_bytes as u64 > max_disk_bytes {
            return Err(RejectReason::DiskFull);
        }
        Ok(())
    }

    /// Whether the queued batches have to be appended now.
    pub(super) fn is_write_group_due(&self, now_ms: f64) -> bool {
        let is_due = |write: &PendingWrite| {
            write.durability != Durability::Lazy
                || now_ms - write.queued_at_ms >= self.options.max_lazy_delay_ms
        };
        self.queue.writes.iter().any(is_due) || self.queue.bytes as u64 > self.options.segment_bytes / 4
    }

    /// Appends a group of batches, each as one record, and applies them to the tables.
    pub(super) fn append(&mut self, group: Vec<PendingWrite>, out: &mut Vec<Action>) {
        let savepoint = self.tables.savepoint();
        let mut bytes = Vec::new();
        let mut chain_hash = self.active.chain_hash;
        let mut writes = Vec::new();
        for write in group {
            let position = LogPosition {
                segment: self.active.number,
                offset: self.active.bytes + bytes.len() as u64,
                chain_hash,
                synced_bytes: self.active.synced_bytes,
            };
            let Ok(record) = format::encode_record(&write.changes, position) else {
                write.complete(Err(WriteError::Rejected(RejectReason::TooLarge)), out);
                continue;
            };
            bytes.extend_from_slice(&record.bytes);
            chain_hash = record.chain_hash;
            for change in &write.changes {
                self.tables.apply(change, self.active.number);
            }
            writes.push(write);
        }
        let pending = PendingAppend { writes, bytes: bytes.len() as u64, chain_hash, savepoint };
        let request = DiskRequest::Append { segment: self.active.number, offset: self.active.bytes, bytes };
        self.submit(request, PendingRequest::Append(pending), out);
    }

    /// Requests a sync. Its success acknowledges this group.
    pub(super) fn sync(&mut self, group: Vec<PendingWrite>, then: AfterSync, out: &mut Vec<Action>) {
        let request = DiskRequest::Sync(self.active.number);
        self.submit(request, PendingRequest::Sync { group, then }, out);
    }

    pub(super) fn appended(&mut self, append: PendingAppend, out: &mut Vec<Action>) {
        self.active.bytes += append.bytes;
        self.active.chain_hash = append.chain_hash;
        self.tables.set_segment_bytes(self.active.number, self.active.bytes);
        let unacknowledged = append.writes.into_iter().filter(|write| write.ticket.is_some());
        let (written, durable): (Vec<_>, Vec<_>) =
            unacknowledged.partition(|write| write.durability == Durability::Written);
        complete_all(written, Ok(()), out);
        if !durable.is_empty() {
            self.sync(durable, AfterSync::Nothing, out);
        }
    }

    pub(super) fn append_failed(&mut self, append: PendingAppend, error: DiskError, out: &mut Vec<Action>) {
        self.tables.roll_back(append.savepoint);
        // Part of the append may be on disk, and nothing is written after that part.
        self.active.has_torn_tail = true;
        complete_all(append.writes, Err(WriteError::OutcomeUnknown(CloseReason::Disk(error))), out);
    }

    pub(super) fn synced(&mut self, group: Vec<PendingWrite>, then: AfterSync, out: &mut Vec<Action>) {
        self.active.synced_bytes = self.active.bytes;
        self.tables.commit();
        complete_all(group, Ok(()), out);
        match then {
            AfterSync::Nothing => {}
            AfterSync::RollSegment => self.create_segment(self.active.number + 1, out),
            AfterSync::DropOldestSegment => self.drop_oldest_segment(out),
        }
    }

    /// Closes the store: the kernel may have dropped the dirty pages, and a second sync would then succeed
    /// without writing them.
    pub(super) fn sync_failed(&mut self, group: Vec<PendingWrite>, out: &mut Vec<Action>) {
        self.tables.roll_back(LAST_SYNC);
        complete_all(group, Err(WriteError::OutcomeUnknown(CloseReason::SyncFailed)), out);
        self.close(CloseReason::SyncFailed, out);
    }

    /// Closes the store: rejects all queued batches and all later ones.
    pub(super) fn close(&mut self, reason: CloseReason, out: &mut Vec<Action>) {
        self.phase = Phase::Closed(reason);
        let rejected = Err(WriteError::Rejected(RejectReason::Closed(reason)));
        complete_all(self.queue.take_all(), rejected, out);
        out.push(Action::Closed(reason));
    }
}
