//! Decoding of truncated, changed, oversized or foreign bytes: no message is decoded from them, and no limit
//! is exceeded.

use pinepoint_handover::message::{Claim, Hello, Key, KeyRecord, KeyState, Message};
use pinepoint_handover::wire::{self, Decoder, MAX_FRAME_BYTES, PREAMBLE_LENGTH, WireError};
use proptest::prelude::*;

fn key() -> Key {
    Key { class: "pay".into(), token: "t-1".into() }
}

fn record(state: KeyState, until_ms: f64) -> KeyRecord {
    KeyRecord { key: key(), digest: u64::MAX, until_ms, state }
}

fn hello(keys_unknown_until_ms: f64) -> Message {
    let listeners = vec!["rpc".into(), "ajp".into()];
    Message::Hello(Hello { listeners, digest_key: [7; 16], drained: true, keys_unknown_until_ms })
}

fn claim(until_ms: f64) -> Message {
    Message::Claim(Claim { id: 1 << 40, key: key(), digest: 5, until_ms })
}

fn messages() -> Vec<Message> {
    let states =
        [KeyState::Held, KeyState::Ran, KeyState::Done(vec![1; 300]), KeyState::Failed, KeyState::Released];
    vec![
        hello(1e12),
        Message::Keys(states.into_iter().map(|state| record(state, 1e12)).collect()),
        Message::SnapshotEnd,
        Message::TakeOver,
        Message::Yielded,
        claim(1e12),
        Message::ClaimAnswer { id: 3, granted: true },
        Message::Drained(false),
        Message::Connections(u32::MAX),
    ]
}

fn decode_all(decoder: &mut Decoder) -> Result<Vec<Message>, WireError> {
    let mut decoded = Vec::new();
    while let Some(message) = decoder.next_message()? {
        decoded.push(message);
    }
    Ok(decoded)
}

#[test]
fn decodes_messages_split_at_any_byte() {
    let bytes: Vec<u8> =
        messages().iter().flat_map(|message| wire::encode(message).expect("encode the message")).collect();
    for split in 0..=bytes.len() {
        let mut decoder = Decoder::default();
        decoder.push(&bytes[..split]);
        let mut decoded_messages = decode_all(&mut decoder).expect("decode the first part");
        decoder.push(&bytes[split..]);
        decoded_messages.extend(decode_all(&mut decoder).expect("decode the rest"));
        assert_eq!(decoded_messages, messages(), "split at byte {split}");
    }
}

#[test]
fn distinguishes_wrong_magic_and_version() {
    let own = wire::preamble();
    assert_eq!(wire::check_preamble(&own), Ok(()));
    for at in 0..PREAMBLE_LENGTH {
        let mut other = own;
        other[at] ^= 1;
        let expected = if at < 4 { WireError::Magic } else { WireError::Version };
        assert_eq!(wire::check_preamble(&other), Err(expected), "byte {at}");
    }
}

#[test]
fn rejects_oversized_frames() {
    let large = Message::Keys(vec![record(KeyState::Done(vec![0; MAX_FRAME_BYTES]), 1.0)]);
    assert_eq!(wire::encode(&large), Err(WireError::TooLong));
    let mut decoder = Decoder::default();
    decoder.push(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes());
    assert_eq!(decoder.next_message(), Err(WireError::TooLong));
}

#[test]
fn rejects_trailing_bytes_and_non_finite_times() {
    let mut longer = wire::encode(&Message::TakeOver).expect("encode the message");
    longer[3] += 1;
    longer.push(0);
    let non_finite =
        [hello(f64::NAN), claim(f64::INFINITY), Message::Keys(vec![record(KeyState::Held, f64::NAN)])];
    let non_finite = non_finite.iter().map(|message| wire::encode(message).expect("encode the message"));
    for bytes in non_finite.chain([longer, vec![0; 4]]) {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        assert_eq!(decoder.next_message(), Err(WireError::Malformed), "{bytes:?}");
    }
}

proptest! {
    #[test]
    fn decoding_random_bytes_terminates(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..8)) {
        let mut decoder = Decoder::default();
        for part in parts {
            decoder.push(&part);
            if decode_all(&mut decoder).is_err() {
                break;
            }
        }
    }

    #[test]
    fn decoded_random_bodies_survive_reencoding(body in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut decoder = Decoder::default();
        decoder.push(&(body.len() as u32).to_be_bytes());
        decoder.push(&body);
        if let Ok(Some(message)) = decoder.next_message() {
            let bytes = wire::encode(&message).expect("encode the message again");
            let mut again = Decoder::default();
            again.push(&bytes);
            prop_assert_eq!(again.next_message(), Ok(Some(message)));
        }
    }
}
