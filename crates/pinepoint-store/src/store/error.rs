//! Why a write fails, and why a store is closed.

use thiserror::Error;

use crate::disk::DiskError;
use crate::format::Corruption;

/// Why the store accepts no writes any more. It has to be opened again, after the cause is removed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum CloseReason {
    /// A segment could not be listed, read, created or removed.
    #[error(transparent)]
    Disk(DiskError),
    /// A sync failed. All changes since the last successful sync were rolled back.
    #[error("a sync failed; open the store anew once the disk is sound")]
    SyncFailed,
    /// Data that had been synced is corrupt.
    #[error("{0}; nothing behind that is believed")]
    Corrupt(Corruption),
    /// The segment with this number is missing between two others.
    #[error("segment {0} is missing")]
    MissingSegment(u64),
    /// A segment was written in this format version, by a later version of the program.
    #[error("written in form {0} by a later program")]
    NewerFormat(u16),
}

/// Why a batch was rejected. It had no effect.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RejectReason {
    /// It would exceed [`Options::memory_bytes`](super::Options::memory_bytes).
    #[error("the store's memory limit is reached")]
    MemoryFull,
    /// It would exceed [`Options::disk_bytes`](super::Options::disk_bytes), less the segment that compaction needs.
    #[error("the store's disk limit is reached")]
    DiskFull,
    /// It is larger than half a segment or than a record may be.
    #[error("the batch is too large")]
    TooLarge,
    /// Recovery is not finished yet.
    #[error("the store is not open yet")]
    NotOpen,
    /// The store is closed.
    #[error("the store is closed: {0}")]
    Closed(CloseReason),
}

/// How a write failed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum WriteError {
    /// It had no effect.
    #[error(transparent)]
    Rejected(RejectReason),
    /// It is not in the tables now, but may be there after the store is opened again.
    #[error("the outcome of the write is unknown: {0}")]
    OutcomeUnknown(CloseReason),
}
