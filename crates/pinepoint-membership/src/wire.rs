//! Messages between members, and to whoever asks for a view: types, a version and a checksum around a well-kept codec. It
//! owns their form and bounds; it must never do I/O or believe what they say.

use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{Identity, Load, MAX_NAME_BYTES, MemberRecord};

/// First byte of every message.
pub const VERSION: u8 = 1;
/// Longest message, bytes: one datagram on every path.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// What a message takes beside the records and buckets in it, at most.
pub const FRAME_BYTES: usize = 330;
/// Buckets of a view, by the first bits of a member's key.
pub const BUCKET_COUNT: usize = 128;
/// Records that a message may hold: more can't be in a datagram.
const MAX_RECORDS: usize = 64;
const HEADER_BYTES: usize = 5;

/// The sender of a message, as it tells itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SenderState {
    /// What it says of itself.
    pub record: MemberRecord,
    /// How it is loaded.
    pub load: Load,
    /// Digest of its view.
    pub digest: u64,
    /// Members that it knows.
    pub known: u32,
    /// Its clock, Unix ms.
    pub now_ms: f64,
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PacketBody {
    /// Answer this.
    Ping {
        /// Names it.
        seq: u32,
    },
    /// Ask this member in my place.
    PingReq {
        /// Names it.
        seq: u32,
        /// Whom.
        target: Rc<Identity>,
    },
    /// An answer to a ping, mine or of the member that you asked.
    Ack {
        /// Of which.
        seq: u32,
    },
    /// The member that you asked me to ask did not answer me.
    Nack {
        /// Of which.
        seq: u32,
    },
    /// Only news.
    Gossip,
    /// Digests of the buckets of my view: tell me what differs.
    SyncDigests {
        /// One for each bucket.
        buckets: Vec<u32>,
    },
    /// What differs is in the news; tell me yours of these buckets.
    SyncPull {
        /// A bit for each bucket.
        buckets: u128,
    },
}

/// One message between members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// From whom.
    pub from: SenderState,
    /// What for.
    pub body: PacketBody,
    /// What it knows of others.
    pub news: Vec<MemberRecord>,
}

/// Everything that goes over a fleet address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Between members.
    Peer(Packet),
    /// A page of the view is asked for. As large as the largest answer: nobody gets more than was sent.
    ViewRequest {
        /// Names the snapshot: all pages asked for under one name are of one.
        id: u64,
        /// From 0.
        page: u16,
        /// Nothing, of that length.
        pad: Vec<u8>,
    },
    /// A page of the view, as JSON.
    ViewPage {
        /// As asked.
        id: u64,
        /// As asked.
        page: u16,
        /// How many there are.
        pages: u16,
        /// Its part of the text.
        text: Vec<u8>,
    },
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// Longer than [`MAX_DATAGRAM_BYTES`], or shorter than its head.
    InvalidLength,
    /// Of another version.
    UnsupportedVersion(u8),
    /// Cut, changed, garbage, or of a fleet of another name.
    ChecksumMismatch,
    /// Sound bytes that can't be a message of this version, or that break a bound.
    Malformed,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::InvalidLength => f.write_str("length"),
            WireError::UnsupportedVersion(version) => write!(f, "version-{version}"),
            WireError::ChecksumMismatch => f.write_str("checksum-or-other-fleet"),
            WireError::Malformed => f.write_str("form"),
        }
    }
}

impl std::error::Error for WireError {}

/// The codec of one fleet: messages of fleets of other names are not understood.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    seed: u64,
}

impl Codec {
    /// That of the fleet of this name.
    pub fn new(fleet: &str) -> Self {
        Codec { seed: crate::member::key(fleet) }
    }

    fn sum(&self, body: &[u8]) -> [u8; 4] {
        (xxh3_64_with_seed(body, self.seed) as u32).to_le_bytes()
    }

    /// The bytes of a message; an error if it breaks the bound, which whoever made it has to keep.
    pub fn encode(&self, message: &Message) -> Result<Vec<u8>, WireError> {
        let body = postcard::to_allocvec(message).map_err(|_| WireError::Malformed)?;
        if body.len() + HEADER_BYTES > MAX_DATAGRAM_BYTES {
            return Err(WireError::InvalidLength);
        }
        Ok([&[VERSION], &self.sum(&body)[..], &body].concat())
    }

    /// The message that these bytes are.
    pub fn decode(&self, bytes: &[u8]) -> Result<Message, WireError> {
        if bytes.len() < HEADER_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(WireError::InvalidLength);
        }
        let (head, body) = bytes.split_at(HEADER_BYTES);
        if head[0] != VERSION {
            return Err(WireError::UnsupportedVersion(head[0]));
        }
        if head[1..] != self.sum(body) {
            return Err(WireError::ChecksumMismatch);
        }
        let message: Message = postcard::from_bytes(body).map_err(|_| WireError::Malformed)?;
        if is_sound(&message) { Ok(message) } else { Err(WireError::Malformed) }
    }
}

fn is_sound(message: &Message) -> bool {
    let Message::Peer(packet) = message else { return true };
    let named = |identity: &Identity| {
        !identity.name.is_empty()
            && identity.name.len() <= MAX_NAME_BYTES
            && identity.zone.len() <= MAX_NAME_BYTES
    };
    let form = match &packet.body {
        PacketBody::SyncDigests { buckets } => buckets.len() == BUCKET_COUNT,
        PacketBody::PingReq { target, .. } => named(target),
        _ => true,
    };
    form && packet.news.len() <= MAX_RECORDS
        && packet.from.now_ms.is_finite()
        && named(&packet.from.record.identity)
        && packet.news.iter().all(|record| named(&record.identity))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::member::{Liveness, Phase};

    fn packet() -> Packet {
        let address = ([10, 0, 0, 1], 7000).into();
        let identity = Identity { name: "n1".into(), zone: "a".into(), address, cores: 4, instance: 9 };
        let record = MemberRecord {
            identity: Rc::new(identity),
            start: 7,
            incarnation: 0,
            phase: Phase::Serving,
            liveness: Liveness::Alive,
            by: 0,
        };
        let from =
            SenderState { record: record.clone(), load: Load::default(), digest: 1, known: 1, now_ms: 5.0 };
        Packet { from, body: PacketBody::Ping { seq: 3 }, news: vec![record] }
    }

    #[test]
    fn what_is_sent_is_read_and_what_is_cut_changed_or_of_others_is_not() {
        let codec = Codec::new("f");
        let message = Message::Peer(packet());
        let bytes = codec.encode(&message).expect("within the bound");
        assert_eq!(codec.decode(&bytes), Ok(message));
        assert_eq!(Codec::new("g").decode(&bytes), Err(WireError::ChecksumMismatch));
        for at in 0..bytes.len() {
            let mut changed = bytes.clone();
            changed[at] ^= 1;
            assert!(codec.decode(&changed).is_err(), "byte {at}");
            assert!(codec.decode(&bytes[..at]).is_err(), "cut at {at}");
        }
        assert_eq!(
            codec.decode(&[&[VERSION + 1], &bytes[1..]].concat()),
            Err(WireError::UnsupportedVersion(VERSION + 1))
        );
    }

    #[test]
    fn the_largest_frame_leaves_the_room_that_is_counted_on() {
        let mut largest = packet();
        let identity = Identity::largest();
        let record = &mut largest.from.record;
        (record.identity, record.start, record.incarnation) = (Rc::new(identity.clone()), u64::MAX, u32::MAX);
        (largest.from.digest, largest.from.known) = (u64::MAX, u32::MAX);
        largest.from.load = Load { hold_ms: u16::MAX, up_s: u32::MAX, ..Load::default() };
        largest.news.clear();
        largest.body = PacketBody::SyncPull { buckets: u128::MAX };
        let bytes = Codec::new("f").encode(&Message::Peer(largest.clone())).expect("within the bound");
        assert!(bytes.len() <= FRAME_BYTES, "{}", bytes.len());
        largest.body = PacketBody::SyncDigests { buckets: vec![u32::MAX; BUCKET_COUNT] };
        assert!(Codec::new("f").encode(&Message::Peer(largest.clone())).is_ok());
        largest.body = PacketBody::PingReq { seq: u32::MAX, target: Rc::new(identity) };
        let bytes = Codec::new("f").encode(&Message::Peer(largest)).expect("within the bound");
        assert!(bytes.len() <= 2 * FRAME_BYTES, "{}", bytes.len());
    }
}
