//! The on-disk format: segment headers, records, and how a segment is read back and verified. No I/O.
//!
//! A segment is a header followed by records without gaps; all integers are little endian. Each record
//! carries a checksum that is seeded with the record's position, a hash chain over all earlier records, and
//! how much of its segment was known to be synced when it was written. A truncated, altered, moved or missing
//! record therefore fails verification. A valid record after a corrupt one can prove that the corrupt one had
//! been synced, which rules out a crash as the cause.
//!
//! ```text
//! header:  magic [6], version u16, number u64, previous segment's bytes u64, chain hash u64,
//!          XXH3-64 of the bytes before
//! record:  payload length u32, synced bytes u64, chain hash u64, checksum u64,
//!          payload (postcard: a list of `Change`)
//! ```

use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Version of the format.
pub const FORMAT_VERSION: u16 = 1;
const MAGIC: [u8; 6] = *b"ppkept";
/// Length of a segment header, bytes.
pub const SEGMENT_HEADER_BYTES: usize = 40;
/// Length of a record without its payload, bytes.
pub const RECORD_HEADER_BYTES: usize = 28;
/// Maximum length of a record's payload, bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 24;
/// Length of a checksum, bytes.
const CHECKSUM_BYTES: usize = 8;

/// A change of one entry. The order of the fields is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The table.
    pub table: String,
    /// The key within the table.
    pub key: Vec<u8>,
    /// The new value; `None` removes the entry.
    pub value: Option<Vec<u8>>,
    /// When the entry expires, Unix ms. For a removal: when the removed entry would have expired.
    pub expires_at_ms: f64,
}

/// The header of a segment. It records where the previous segment ends, so that recovery ignores bytes that a
/// crash left after that end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SegmentHeader {
    /// The segment's number: that of the previous segment plus one.
    pub number: u64,
    /// Valid bytes of the previous segment.
    pub previous_segment_bytes: u64,
    /// The hash chain at the end of the previous segment.
    pub chain_hash: u64,
}

/// Why a file has no usable segment header.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SegmentHeaderError {
    /// Truncated, altered, or not a segment of this number.
    #[error("the segment header is truncated, altered or of another segment")]
    Corrupt,
    /// Written by a later version of the program.
    #[error("segment format version {0} is not supported")]
    UnsupportedVersion(u16),
}

impl SegmentHeader {
    /// Encodes the header into [`SEGMENT_HEADER_BYTES`] bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(SEGMENT_HEADER_BYTES);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes.extend_from_slice(&self.number.to_le_bytes());
        bytes.extend_from_slice(&self.previous_segment_bytes.to_le_bytes());
        bytes.extend_from_slice(&self.chain_hash.to_le_bytes());
        bytes.extend_from_slice(&xxh3_64(&bytes).to_le_bytes());
        bytes
    }

    /// Decodes the header of the segment with this number from the beginning of its file.
    pub fn decode(bytes: &[u8], number: u64) -> Result<SegmentHeader, SegmentHeaderError> {
        let bytes = bytes.get(..SEGMENT_HEADER_BYTES).ok_or(SegmentHeaderError::Corrupt)?;
        let checksum_offset = SEGMENT_HEADER_BYTES - CHECKSUM_BYTES;
        let is_intact = xxh3_64(&bytes[..checksum_offset]) == read_u64(bytes, checksum_offset);
        if !is_intact || bytes[..6] != MAGIC {
            return Err(SegmentHeaderError::Corrupt);
        }
        let version = u16::from_le_bytes([bytes[6], bytes[7]]);
        if version != FORMAT_VERSION {
            return Err(SegmentHeaderError::UnsupportedVersion(version));
        }
        let header = SegmentHeader {
            number: read_u64(bytes, 8),
            previous_segment_bytes: read_u64(bytes, 16),
            chain_hash: read_u64(bytes, 24),
        };
        if header.number == number { Ok(header) } else { Err(SegmentHeaderError::Corrupt) }
    }
}

/// The little-endian integer at this offset; 0 if the bytes end before.
fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let field = bytes.get(offset..).and_then(|rest| rest.first_chunk::<8>());
    field.map_or(0, |field| u64::from_le_bytes(*field))
}

/// Where a record is written. The record's header and checksum cover these values in addition to the payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// Number of the segment.
    pub segment: u64,
    /// Offset of the record's first byte in the segment.
    pub offset: u64,
    /// The hash chain over all earlier records.
    pub chain_hash: u64,
    /// Bytes of the segment that are known to be synced.
    pub synced_bytes: u64,
}

/// An encoded record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedRecord {
    /// The bytes to append.
    pub bytes: Vec<u8>,
    /// The hash chain including this record.
    pub chain_hash: u64,
}

/// Encodes a batch of changes as one record.
pub fn encode_record(changes: &[Change], position: LogPosition) -> Result<EncodedRecord, postcard::Error> {
    let payload = postcard::to_allocvec(changes)?;
    let mut bytes = Vec::with_capacity(RECORD_HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&position.synced_bytes.to_le_bytes());
    bytes.extend_from_slice(&position.chain_hash.to_le_bytes());
    bytes.extend_from_slice(&[0; CHECKSUM_BYTES]);
    bytes.extend_from_slice(&payload);
    let checksum = record_checksum(&bytes, position.segment, position.offset);
    bytes[RECORD_HEADER_BYTES - CHECKSUM_BYTES..RECORD_HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Ok(EncodedRecord { bytes, chain_hash: extend_chain(position.chain_hash, checksum) })
}

/// The hash chain after a record with this checksum.
fn extend_chain(chain_hash: u64, checksum: u64) -> u64 {
    xxh3_64_with_seed(&checksum.to_le_bytes(), chain_hash)
}

/// The checksum of a record's header and payload. It is seeded with the position, so that a moved record
/// fails verification.
fn record_checksum(record: &[u8], segment: u64, offset: u64) -> u64 {
    let position_seed = segment.rotate_left(40) ^ offset;
    let header = &record[..RECORD_HEADER_BYTES - CHECKSUM_BYTES];
    xxh3_64_with_seed(&record[RECORD_HEADER_BYTES..], xxh3_64_with_seed(header, position_seed))
}

/// A record with a valid checksum. Whether it continues the hash chain is not checked yet.
struct ValidRecord<'a> {
    payload: &'a [u8],
    synced_bytes: u64,
    chain_hash: u64,
    checksum: u64,
}

fn validate_record(bytes: &[u8], segment: u64, offset: usize) -> Option<ValidRecord<'_>> {
    let rest = bytes.get(offset..)?;
    let payload_length = u32::from_le_bytes(*rest.first_chunk()?) as usize;
    if payload_length > MAX_PAYLOAD_BYTES {
        return None;
    }
    let record = rest.get(..RECORD_HEADER_BYTES + payload_length)?;
    let checksum = read_u64(record, RECORD_HEADER_BYTES - CHECKSUM_BYTES);
    if record_checksum(record, segment, offset as u64) != checksum {
        return None;
    }
    Some(ValidRecord {
        payload: &record[RECORD_HEADER_BYTES..],
        synced_bytes: read_u64(record, 4),
        chain_hash: read_u64(record, 12),
        checksum,
    })
}

/// The valid records of a segment.
#[derive(Clone, Debug, PartialEq)]
pub struct SegmentContents {
    /// The batches, in the order in which they were written.
    pub batches: Vec<Vec<Change>>,
    /// Length of the valid part, bytes.
    pub valid_bytes: u64,
    /// The hash chain after the last valid record.
    pub chain_hash: u64,
}

/// Corruption of synced data, which a crash alone does not cause.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("segment {segment} is corrupted at byte {offset}")]
pub struct Corruption {
    /// Number of the segment.
    pub segment: u64,
    /// Offset at which the valid part of the segment ends.
    pub offset: u64,
}

/// Reads the records of a segment. `expected_bytes` is the segment's length according to the next segment's
/// header; `None` for the last segment, whose unsynced end a crash may have truncated or partly overwritten.
///
/// # Errors
/// [`Corruption`] if bytes that had been synced are missing or not valid.
pub fn read_segment(
    bytes: &[u8],
    header: &SegmentHeader,
    expected_bytes: Option<u64>,
) -> Result<SegmentContents, Corruption> {
    let segment = header.number;
    let end = expected_bytes.map_or(bytes.len(), |expected| expected as usize);
    let corruption = |offset: usize| Corruption { segment, offset: offset as u64 };
    let content = bytes.get(..end).ok_or(corruption(bytes.len()))?;
    let mut offset = SEGMENT_HEADER_BYTES;
    let mut chain_hash = header.chain_hash;
    let mut batches = Vec::new();
    while offset < end {
        let record = validate_record(content, segment, offset);
        let Some(record) = record.filter(|record| record.chain_hash == chain_hash) else { break };
        let Ok(changes) = postcard::from_bytes(record.payload) else { break };
        batches.push(changes);
        chain_hash = extend_chain(chain_hash, record.checksum);
        offset += RECORD_HEADER_BYTES + record.payload.len();
    }
    let is_complete = offset == end;
    if !is_complete && (expected_bytes.is_some() || was_synced_beyond(content, segment, offset)) {
        return Err(corruption(offset));
    }
    Ok(SegmentContents { batches, valid_bytes: offset as u64, chain_hash })
}

/// Whether a valid record after this offset proves that the bytes at the offset had been synced.
fn was_synced_beyond(bytes: &[u8], segment: u64, offset: usize) -> bool {
    (offset + 1..bytes.len()).any(|later| {
        validate_record(bytes, segment, later).is_some_and(|record| record.synced_bytes > offset as u64)
    })
}

/// Whether a file without a valid header contains a valid record. If so, the header had been synced and was
/// corrupted later.
pub fn contains_valid_record(bytes: &[u8], segment: u64) -> bool {
    (SEGMENT_HEADER_BYTES..bytes.len()).any(|offset| validate_record(bytes, segment, offset).is_some())
}
