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
    let record = &mut largest.sender.record;
    (record.identity, record.generation, record.incarnation) =
        (Rc::new(identity.clone()), u64::MAX, u32::MAX);
    (largest.sender.digest, largest.sender.known_members) = (u64::MAX, u32::MAX);
    largest.sender.load = Load { hold_ms: u16::MAX, up_s: u32::MAX, ..Load::default() };
    largest.updates.clear();
    largest.body = PacketBody::SyncPull { buckets: u128::MAX };
    let bytes = Codec::new("f").encode(&Message::Peer(largest.clone())).expect("within the bound");
    assert!(bytes.len() <= FRAME_BYTES, "{}", bytes.len());
    largest.body = PacketBody::SyncDigests { bucket_digests: vec![u32::MAX; BUCKET_COUNT] };
    assert!(Codec::new("f").encode(&Message::Peer(largest.clone())).is_ok());
    largest.body = PacketBody::PingReq { sequence: u32::MAX, target: Rc::new(identity) };
    let bytes = Codec::new("f").encode(&Message::Peer(largest)).expect("within the bound");
    assert!(bytes.len() <= 2 * FRAME_BYTES, "{}", bytes.len());
}

#[test]
fn the_bytes_of_each_kind_of_message_are_those_of_version_1() {
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
    let hashes = messages.iter().map(|message| xxh3_64(&codec.encode(message).expect("within the bound")));
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
