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
