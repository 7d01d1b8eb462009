//! Why a write fails, and why a store is closed.

use thiserror::Error;

use crate::disk::DiskError;
use crate::format::Corruption;

/// Why the store accepts no more writes. After the cause is removed, the store has to be opened again.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CloseReason {
    /// A segment could not be listed, read, created or removed.
    #[error(transparent)]
    Disk(DiskError),
    /// A sync failed. All changes since the last successful sync were rolled back.
    #[error("a sync failed and unsynced changes were rolled back; reopen the store once the disk works")]
    SyncFailed,
    /// Synced data is corrupt.
    #[error("{0}; no data after this position is accepted")]
    Corrupt(Corruption),
    /// The segment with this number is missing between two others.
    #[error("segment {0} is missing although later segments exist")]
    MissingSegment(u64),
    /// A segment has this format version: a later version of the program wrote it.
    #[error("a segment has format version {0}, which only a later version of the program supports")]
    NewerFormat(u16),
}

/// Why a batch was rejected. It had no effect.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RejectReason {
    /// The batch would exceed [`Options::memory_bytes`](super::Options::memory_bytes).
    #[error("the batch would exceed the store's memory limit")]
    MemoryFull,
    /// The batch would exceed [`Options::disk_bytes`](super::Options::disk_bytes), less the segment reserved
    /// for compaction.
    #[error("the batch would exceed the store's disk limit")]
    DiskFull,
    /// The batch is larger than half a segment or than the maximum payload of a record.
    #[error("the batch is larger than half a segment or than the maximum payload of a record")]
    TooLarge,
    /// Recovery is not finished yet.
    #[error("the store is not open yet: recovery is in progress")]
    NotOpen,
    /// The store is closed.
    #[error("the store is closed: {0}")]
    Closed(CloseReason),
}

/// How a write failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum WriteError {
    /// The write had no effect.
    #[error(transparent)]
    Rejected(RejectReason),
    /// The batch is not in the tables now, but may be there after the store is opened again.
    #[error("the outcome of the write is unknown: {0}")]
    OutcomeUnknown(CloseReason),
}
