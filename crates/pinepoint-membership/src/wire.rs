//! The wire format of messages between members and of queries for the view: their types, and a codec of a
//! version byte, a keyed checksum and postcard. The codec checks form and bounds. It does no I/O and does not
//! check whether a message's content is true.
//!
//! postcard encodes enum variants and fields by their order: neither may be reordered.

use std::rc::Rc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Identity, Load, MAX_NAME_BYTES, MemberRecord};

/// First byte of every message.
pub const VERSION: u8 = 1;
/// Maximum length of a message, bytes. A message is one unfragmented datagram on every path.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Upper bound of the size of a packet without its updates and bucket digests, bytes.
pub const FRAME_BYTES: usize = 330;
/// Number of buckets into which a table is divided for anti-entropy, by the highest bits of the members'
/// keys.
pub const BUCKET_COUNT: usize = 128;
/// Maximum number of updates in a packet. More do not fit into a datagram.
const MAX_UPDATES: usize = 64;
/// Size of the version and checksum, bytes.
const HEADER_BYTES: usize = 5;

/// The sender of a packet, as it describes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SenderState {
    /// Its record about itself.
    pub record: MemberRecord,
    /// Its load.
    pub load: Load,
    /// Digest of its table, its own record included.
    pub digest: u64,
    /// Number of members that it knows, itself excluded.
    pub known_members: u32,
    /// Its clock, Unix ms.
    pub now_ms: f64,
}

/// The kind of a packet. All kinds carry gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PacketBody {
    /// Direct probe, to be answered with an ack.
    Ping {
        /// Sequence number chosen by the prober.
        sequence: u32,
    },
    /// Request for an indirect probe: the receiver pings the target on behalf of the sender.
    PingReq {
        /// Sequence number chosen by the prober.
        sequence: u32,
        /// The member to probe.
        target: Rc<Identity>,
    },
    /// Answer to a ping or to a request for an indirect probe, sent by the target or by the relay.
    Ack {
        /// Sequence number of the ping or of the request.
        sequence: u32,
    },
    /// The target of an indirect probe did not answer the relay.
    Nack {
        /// Sequence number of the request.
        sequence: u32,
    },
    /// Carries updates only.
    Gossip,
    /// Starts an anti-entropy exchange: asks for the records of buckets that differ.
    SyncDigests {
        /// Digest of each bucket of the sender's table, lower 32 bits.
        bucket_digests: Vec<u32>,
    },
    /// Second step of the exchange: carries the sender's records of buckets that differ, and asks for the
    /// receiver's.
    SyncPull {
        /// Bit set of the requested buckets.
        buckets: u128,
    },
}

/// One message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender of the packet.
    pub sender: SenderState,
    /// Kind of the packet, with its fields.
    pub body: PacketBody,
    /// Gossip: records of other members.
    pub updates: Vec<MemberRecord>,
}

/// A message sent to or by a member's socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A packet between members.
    Peer(Packet),
    /// Requests a page of the view. The request is padded to the size of the largest answer, so that it
    /// cannot be used to amplify traffic.
    ViewRequest {
        /// Chosen by the client. All pages requested under one id are of one snapshot.
        snapshot_id: u64,
        /// Number of the page, from 0.
        page: u16,
        /// Zero bytes.
        padding: Vec<u8>,
    },
    /// A page of the view.
    ViewPage {
        /// Snapshot id of the request.
        snapshot_id: u64,
        /// Page number of the request.
        page: u16,
        /// Number of pages of the snapshot.
        page_count: u16,
        /// This page's part of the JSON text.
        json: Vec<u8>,
    },
}

/// Why bytes are not a valid message. The error text is the reason that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// Longer than [`MAX_DATAGRAM_BYTES`], or shorter than the header.
    #[error("length")]
    InvalidLength,
    /// The message is of another version.
    #[error("version-{0}")]
    UnsupportedVersion(u8),
    /// The bytes are truncated, corrupted or no message, or are of a fleet of another name.
    #[error("checksum-or-other-fleet")]
    ChecksumMismatch,
    /// The checksum is right, but the bytes are not a message of this version, or exceed a bound.
    #[error("form")]
    Malformed,
}

/// The codec of one fleet. Its checksum is keyed by the fleet's name, so that messages of other fleets are
/// rejected.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    checksum_seed: u64,
}

impl Codec {
    /// The codec of the fleet of this name.
    pub fn new(fleet_name: &str) -> Self {
        Codec { checksum_seed: crate::member::member_key(fleet_name) }
    }

    fn checksum(&self, body: &[u8]) -> [u8; 4] {
        (xxh3_64_with_seed(body, self.checksum_seed) as u32).to_le_bytes()
    }

    /// Encodes a message. Fails with [`WireError::InvalidLength`] if the message does not fit into a
    /// datagram, which the caller has to ensure.
    pub fn encode(&self, message: &Message) -> Result<Vec<u8>, WireError> {
        let body = postcard::to_allocvec(message).map_err(|_| WireError::Malformed)?;
        if body.len() + HEADER_BYTES > MAX_DATAGRAM_BYTES {
            return Err(WireError::InvalidLength);
        }
        Ok([&[VERSION], &self.checksum(&body)[..], &body].concat())
    }

    /// Decodes and validates a message.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, WireError> {
        if bytes.len() < HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::InvalidLength);
        }
        let (header, body) = bytes.split_at(HEADER_BYTES);
        if header[0] != VERSION {
            return Err(WireError::UnsupportedVersion(header[0]));
        }
        if header[1..] != self.checksum(body) {
            return Err(WireError::ChecksumMismatch);
        }
        let message: Message = postcard::from_bytes(body).map_err(|_| WireError::Malformed)?;
        if is_within_bounds(&message) { Ok(message) } else { Err(WireError::Malformed) }
    }
}

fn is_within_bounds(message: &Message) -> bool {
    let Message::Peer(packet) = message else { return true };
    let body_is_valid = match &packet.body {
        PacketBody::SyncDigests { bucket_digests } => bucket_digests.len() == BUCKET_COUNT,
        PacketBody::PingReq { target, .. } => has_valid_names(target),
        _ => true,
    };
    body_is_valid
        && packet.updates.len() <= MAX_UPDATES
        && packet.sender.now_ms.is_finite()
        && has_valid_names(&packet.sender.record.identity)
        && packet.updates.iter().all(|record| has_valid_names(&record.identity))
}

fn has_valid_names(identity: &Identity) -> bool {
    !identity.name.is_empty()
        && identity.name.len() <= MAX_NAME_BYTES
        && identity.zone.len() <= MAX_NAME_BYTES
}

#[cfg(test)]
mod tests;
