//! Requests of the store to a disk, and the responses: plain data, no I/O.
//!
//! The set of requests is small, so that tests can substitute a simulated disk and make every kind of request
//! fail.

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
        /// Initial contents of the segment.
        bytes: Vec<u8>,
    },
    /// Write bytes at the end of a segment.
    Append {
        /// Number of the segment.
        segment: u64,
        /// Offset to write at, bytes: the end of the last successful append.
        offset: u64,
        /// Bytes to write.
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
    /// Response to [`DiskRequest::List`]: numbers of all segments.
    Segments(Vec<u64>),
    /// Response to [`DiskRequest::Read`]: bytes of the segment.
    Contents(Vec<u8>),
    /// Response to all other requests.
    Done,
}

/// Why a request failed. The request may have taken effect in part, in full or not at all.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DiskError {
    /// No space, quota or file size left.
    #[error("the disk space, quota or maximum file size is exhausted")]
    Full,
    /// Any other I/O error.
    #[error("disk I/O failed")]
    Failed,
}
