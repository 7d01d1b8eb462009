use xxhash_rust::xxh3::xxh3_64;

use super::*;
use crate::member::{Liveness, Phase};

fn packet() -> Packet {
    let address = ([10, 0, 0, 1], 7000).into();
    let identity = Identity { name: "n1".into(), zone: "a".into(), address, cores: 4, instance: 9 };
    let record = MemberRecord {
        identity: Rc::new(identity),
        generation: 7,
        incarnation: 0,
        phase: Phase::Serving,
        liveness: Liveness::Alive,
        accuser: 0,
    };
    let sender = SenderState {
        record: record.clone(),
        load: Load::default(),
        digest: 1,
        known_members: 1,
        now_ms: 5.0,
    };
    Packet { sender, body: PacketBody::Ping { sequence: 3 }, updates: vec![record] }
}

#[test]
fn decodes_intact_messages_and_rejects_others() {
    let codec = Codec::new("f");
    let message = Message::Peer(packet());
    let bytes = codec.encode(&message).expect("it fits into a datagram");
    assert_eq!(codec.decode(&bytes), Ok(message));
    assert_eq!(Codec::new("g").decode(&bytes), Err(WireError::ChecksumMismatch));
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        assert!(codec.decode(&changed).is_err(), "a flipped bit in byte {index} was accepted");
        assert!(codec.decode(&bytes[..index]).is_err(), "a message truncated to {index} bytes was accepted");
    }
    assert_eq!(
        codec.decode(&[&[VERSION + 1], &bytes[1..]].concat()),
        Err(WireError::UnsupportedVersion(VERSION + 1))
    );
}

#[test]
fn largest_frames_fit_size_bounds() {
    let mut largest = packet();
    let identity = Identity::largest();
    let record = &mut largest.sender.record;
    (record.identity, record.generation, record.incarnation) =
        (Rc::new(identity.clone()), u64::MAX, u32::MAX);
    (largest.sender.digest, largest.sender.known_members) = (u64::MAX, u32::MAX);
    largest.sender.load = Load { hold_ms: u16::MAX, up_s: u32::MAX, ..Load::default() };
    largest.updates.clear();
    largest.body = PacketBody::SyncPull { buckets: u128::MAX };
    let bytes = Codec::new("f").encode(&Message::Peer(largest.clone())).expect("it fits into a datagram");
    assert!(bytes.len() <= FRAME_BYTES, "{} bytes, expected at most {FRAME_BYTES}", bytes.len());
    largest.body = PacketBody::SyncDigests { bucket_digests: vec![u32::MAX; BUCKET_COUNT] };
    assert!(Codec::new("f").encode(&Message::Peer(largest.clone())).is_ok());
    largest.body = PacketBody::PingReq { sequence: u32::MAX, target: Rc::new(identity) };
    let bytes = Codec::new("f").encode(&Message::Peer(largest)).expect("it fits into a datagram");
    assert!(bytes.len() <= 2 * FRAME_BYTES, "{} bytes, expected at most 2 * {FRAME_BYTES}", bytes.len());
}

#[test]
fn encoding_matches_version_1() {
    let target = packet().sender.record.identity;
    let bodies = [
        PacketBody::Ping { sequence: 3 },
        PacketBody::PingReq { sequence: 3, target },
        PacketBody::Ack { sequence: 3 },
        PacketBody::Nack { sequence: 3 },
        PacketBody::Gossip,
        PacketBody::SyncDigests { bucket_digests: vec![3; BUCKET_COUNT] },
        PacketBody::SyncPull { buckets: 3 },
    ];
    let mut messages = bodies.map(|body| Message::Peer(Packet { body, ..packet() })).to_vec();
    messages.push(Message::ViewRequest { snapshot_id: 3, page: 1, padding: vec![0; 4] });
    messages.push(Message::ViewPage { snapshot_id: 3, page: 1, page_count: 2, json: b"{}".to_vec() });
    let codec = Codec::new("f");
    let hashes =
        messages.iter().map(|message| xxh3_64(&codec.encode(message).expect("it fits into a datagram")));
    let version_1 = [
        0x056655d35208f553,
        0xc0987ae21fc35247,
        0xd2d9e1dba5d9b834,
        0xa9bb531d77a52362,
        0xcfe95bf299a1606b,
        0x031a8a9cd0a07eb4,
        0xd8a9bf963ce44c34,
        0xf1e248e4af6deac3,
        0x5916919a7b7fc685,
    ];
    assert_eq!(hashes.collect::<Vec<u64>>(), version_1);
}
