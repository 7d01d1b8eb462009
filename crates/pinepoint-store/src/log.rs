//! The form of the log on disk: heads of segments, records, and what can be read back of them. It owns that form, its
//! version and its checksums; it must never do I/O or decide what is kept.
//!
//! A segment is a head and records, back to back. A record tells its length, up to where its segment was known to be synced
//! when it was written, the chain of all records before it, and a checksum over all of that, keyed by where it stands. So a
//! record that is cut, changed, of another place, or behind one that is missing is told from a sound one, and a sound one
//! behind a damaged one proves whether what is damaged had been synced.

use std::fmt;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Version of the form.
pub const VERSION: u16 = 1;
const MAGIC: [u8; 6] = *b"ppkept";
/// Bytes of the head of a segment.
pub const HEAD: usize = 40;
/// Bytes of a record beside its payload.
pub const FRAME: usize = 28;
/// Longest payload of a record.
pub const PAYLOAD_MOST: usize = 1 << 24;

/// One change of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The table.
    pub table: String,
    /// The key.
    pub key: Vec<u8>,
    /// The new value; nothing to remove the entry.
    pub value: Option<Vec<u8>>,
    /// When the entry is over, Unix ms. Of a removal: when what it removes would have been.
    pub end_ms: f64,
}

/// The head of a segment. It says where the one before it ends, so that what a crash left behind that is never read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Head {
    /// Its number: one more than that before it.
    pub number: u64,
    /// Sound bytes of the segment before it.
    pub before_bytes: u64,
    /// The chain up to there.
    pub chain: u64,
}

/// Why a file is no segment of this program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// Cut, changed or not a segment.
    Unsound,
    /// Of a later version of the program.
    Version(u16),
}

impl Head {
    /// As bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&self.number.to_le_bytes());
        bytes.extend_from_slice(&self.before_bytes.to_le_bytes());
        bytes.extend_from_slice(&self.chain.to_le_bytes());
        bytes.extend_from_slice(&xxh3_64(&bytes).to_le_bytes());
        bytes
    }

    /// From the first bytes of a file that goes by this number.
    pub fn decode(bytes: &[u8], number: u64) -> Result<Head, HeadError> {
        let bytes = bytes.get(..HEAD).ok_or(HeadError::Unsound)?;
        let sum = xxh3_64(&bytes[..HEAD - 8]) == word(bytes, HEAD - 8);
        if !sum || bytes[..6] != MAGIC {
            return Err(HeadError::Unsound);
        }
        let version = u16::from_le_bytes([bytes[6], bytes[7]]);
        if version != VERSION {
            return Err(HeadError::Version(version));
        }
        let head = Head { number: word(bytes, 8), before_bytes: word(bytes, 16), chain: word(bytes, 24) };
        if head.number == number { Ok(head) } else { Err(HeadError::Unsound) }
    }
}

/// Eight bytes from there on; nought where there are none.
fn word(bytes: &[u8], at: usize) -> u64 {
    bytes.get(at..at + 8).map_or(0, |eight| {
        let mut word = [0; 8];
        word.copy_from_slice(eight);
        u64::from_le_bytes(word)
    })
}

/// The chain behind a record of this checksum.
fn link(chain: u64, sum: u64) -> u64 {
    xxh3_64_with_seed(&sum.to_le_bytes(), chain)
}

/// The key of a checksum: a record that stands elsewhere is not sound.
fn place(segment: u64, offset: u64) -> u64 {
    segment.rotate_left(40) ^ offset
}

/// What a record needs to know of where it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spot {
    /// The number of its segment.
    pub segment: u64,
    /// Its first byte there.
    pub offset: u64,
    /// The chain before it.
    pub chain: u64,
    /// Up to where the segment is known to be synced.
    pub synced: u64,
}

/// A batch of changes as a record; returns the chain behind it too.
pub fn encode(changes: &[Change], spot: Spot) -> Result<(Vec<u8>, u64), postcard::Error> {
    let payload = postcard::to_allocvec(changes)?;
    let mut bytes = Vec::with_capacity(FRAME + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&spot.synced.to_le_bytes());
    bytes.extend_from_slice(&spot.chain.to_le_bytes());
    bytes.extend_from_slice(&0_u64.to_le_bytes());
    bytes.extend_from_slice(&payload);
    let sum = sum(&bytes, spot.segment, spot.offset);
    bytes[FRAME - 8..FRAME].copy_from_slice(&sum.to_le_bytes());
    Ok((bytes, link(spot.chain, sum)))
}

fn sum(record: &[u8], segment: u64, offset: u64) -> u64 {
    let seed = place(segment, offset);
    xxh3_64_with_seed(&record[FRAME..], xxh3_64_with_seed(&record[..FRAME - 8], seed))
}

/// A record that is sound by itself, whatever stands before it.
struct Sound<'a> {
    payload: &'a [u8],
    synced: u64,
    chain: u64,
    sum: u64,
}

fn sound(bytes: &[u8], segment: u64, offset: usize) -> Option<Sound<'_>> {
    let rest = bytes.get(offset..)?;
    let length = u32::from_le_bytes(rest.get(..4)?.try_into().ok()?) as usize;
    if length > PAYLOAD_MOST {
        return None;
    }
    let record = rest.get(..FRAME + length)?;
    let told = word(record, FRAME - 8);
    (sum(record, segment, offset as u64) == told).then(|| Sound {
        payload: &record[FRAME..],
        synced: word(record, 4),
        chain: word(record, 12),
        sum: told,
    })
}

/// What could be read of a segment.
#[derive(Clone, Debug, PartialEq)]
pub struct Read {
    /// The batches, in order.
    pub batches: Vec<Vec<Change>>,
    /// Up to where it is sound.
    pub bytes: u64,
    /// The chain there.
    pub chain: u64,
}

/// Damage in what had been synced: a crash alone does not do that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    /// The segment.
    pub segment: u64,
    /// Where its sound part ends.
    pub offset: u64,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "segment {} is damaged at byte {}", self.segment, self.offset)
    }
}

/// Reads the records of a segment behind its head. `ends` is where the next segment says that it ends; nothing for the
/// last, which a crash may have left cut or torn behind what was synced.
pub fn read(bytes: &[u8], head: &Head, ends: Option<u64>) -> Result<Read, Damage> {
    let segment = head.number;
    let most = ends.map_or(bytes.len(), |ends| ends as usize);
    let damage = |offset: usize| Damage { segment, offset: offset as u64 };
    let within = bytes.get(..most).ok_or(damage(bytes.len()))?;
    let (mut offset, mut chain, mut batches) = (HEAD, head.chain, Vec::new());
    while offset < most {
        let Some(record) = sound(within, segment, offset).filter(|record| record.chain == chain) else {
            break;
        };
        let Ok(changes) = postcard::from_bytes(record.payload) else { break };
        batches.push(changes);
        chain = link(chain, record.sum);
        offset += FRAME + record.payload.len();
    }
    let is_whole = offset == most;
    if !is_whole && (ends.is_some() || is_synced_beyond(within, segment, offset)) {
        return Err(damage(offset));
    }
    Ok(Read { batches, bytes: offset as u64, chain })
}

/// Whether a sound record behind this place says that what stands there had been synced.
fn is_synced_beyond(bytes: &[u8], segment: u64, from: usize) -> bool {
    (from + 1..bytes.len())
        .any(|at| sound(bytes, segment, at).is_some_and(|record| record.synced > from as u64))
}

/// Whether a file without a sound head has ever held a record: its head was synced before, and is damaged.
pub fn has_records(bytes: &[u8], segment: u64) -> bool {
    (HEAD..bytes.len()).any(|at| sound(bytes, segment, at).is_some())
}
