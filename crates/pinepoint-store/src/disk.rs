//! What the store asks of a disk, one request after the other: narrow enough that a simulated one can fail in every way that
//! a real one does. It owns the words; it must never do I/O.

use std::fmt;

/// A request. Segments go by their numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// The numbers of the segments that are there.
    List,
    /// All bytes of one.
    Read(u64),
    /// Make it anew with these bytes, empty before, and sync it and the directory.
    Create(u64, Vec<u8>),
    /// Add these bytes at the offset, which is its end.
    Append(u64, u64, Vec<u8>),
    /// What was added so far survives a power cut.
    Sync(u64),
    /// It goes, and that survives a power cut.
    Remove(u64),
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// To a list.
    Listed(Vec<u64>),
    /// To a read.
    Bytes(Vec<u8>),
    /// To all others.
    Well,
}

/// Why a request failed. What it was to do may have happened, in part or whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskError {
    /// There is no room left.
    Full,
    /// Anything else.
    Failed,
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DiskError::Full => "the disk is full",
            DiskError::Failed => "the disk failed",
        })
    }
}

impl std::error::Error for DiskError {}
