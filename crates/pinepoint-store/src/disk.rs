//! The requests that the store makes of a disk, and the responses: plain data, no I/O.
//!
//! The set is small, so that the tests can put a simulated disk in its place and fail every kind of request.

use thiserror::Error;

/// A request to the disk. Segments are named by their numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum DiskRequest {
    /// List the numbers of all segments, in any order. Response: [`DiskResponse::Segments`].
    List,
    /// Read all bytes of a segment. Response: [`DiskResponse::Contents`].
    Read(u64),
    /// Create a segment with these bytes, replacing any contents, and sync both the file and the directory.
    Create {
        /// Number of the segment.
        segment: u64,
        /// Its contents.
        bytes: Vec<u8>,
    },
    /// Write bytes at the end of a segment.
    Append {
        /// Number of the segment.
        segment: u64,
        /// The end of what was appended successfully, bytes.
        offset: u64,
        /// What to write.
        bytes: Vec<u8>,
    },
    /// Sync a segment: all appends so far survive a power loss.
    Sync(u64),
    /// Remove a segment and sync the directory.
    Remove(u64),
}

/// The response to a request that succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DiskResponse {
    /// To [`DiskRequest::List`].
    Segments(Vec<u64>),
    /// To [`DiskRequest::Read`].
    Contents(Vec<u8>),
    /// To all other requests.
    Done,
}

/// Why a request failed. Its effect may have happened in part, in full or not at all.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DiskError {
    /// No space, quota or file size left.
    #[error("the disk is full")]
    Full,
    /// Any other I/O error.
    #[error("the disk failed")]
    Failed,
}
