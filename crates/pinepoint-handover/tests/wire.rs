//! Bytes that are cut, changed, too long or of others: no message comes of them, and nothing is read beyond the bounds.

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

fn drain(decoder: &mut Decoder) -> Result<Vec<Message>, WireError> {
    let mut all = Vec::new();
    while let Some(message) = decoder.next_message()? {
        all.push(message);
    }
    Ok(all)
}

#[test]
fn what_is_encoded_is_decoded_wherever_the_bytes_are_cut() {
    let bytes: Vec<u8> = messages().iter().flat_map(|message| wire::encode(message).expect("fits")).collect();
    for cut in 0..=bytes.len() {
        let mut decoder = Decoder::default();
        decoder.push(&bytes[..cut]);
        let mut read = drain(&mut decoder).expect("a part is no error");
        decoder.push(&bytes[cut..]);
        read.extend(drain(&mut decoder).expect("whole"));
        assert_eq!(read, messages(), "cut at {cut}");
    }
}

#[test]
fn a_preamble_of_others_or_of_another_version_is_told_apart() {
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
fn a_frame_beyond_the_bound_is_neither_sent_nor_awaited() {
    let large = Message::Keys(vec![record(KeyState::Done(vec![0; MAX_FRAME_BYTES]), 1.0)]);
    assert_eq!(wire::encode(&large), Err(WireError::TooLong));
    let mut decoder = Decoder::default();
    decoder.push(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes());
    assert_eq!(decoder.next_message(), Err(WireError::TooLong));
}

#[test]
fn a_frame_with_more_than_its_message_or_with_a_time_that_is_none_is_malformed() {
    let mut longer = wire::encode(&Message::TakeOver).expect("fits");
    longer[3] += 1;
    longer.push(0);
    let no_times =
        [hello(f64::NAN), claim(f64::INFINITY), Message::Keys(vec![record(KeyState::Held, f64::NAN)])];
    let no_times = no_times.iter().map(|message| wire::encode(message).expect("fits"));
    for bytes in no_times.chain([longer, vec![0; 4]]) {
        let mut decoder = Decoder::default();
        decoder.push(&bytes);
        assert_eq!(decoder.next_message(), Err(WireError::Malformed), "{bytes:?}");
    }
}

proptest! {
    #[test]
    fn random_bytes_end_in_an_error_or_wait_for_more(parts in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 0..8)) {
        let mut decoder = Decoder::default();
        for part in parts {
            decoder.push(&part);
            if drain(&mut decoder).is_err() {
                break;
            }
        }
    }

    #[test]
    fn random_bodies_are_read_as_what_is_encoded_the_same_or_not_at_all(body in prop::collection::vec(any::<u8>(), 0..64)) {
        let mut decoder = Decoder::default();
        decoder.push(&(body.len() as u32).to_be_bytes());
        decoder.push(&body);
        if let Ok(Some(message)) = decoder.next_message() {
            let bytes = wire::encode(&message).expect("it fitted");
            let mut again = Decoder::default();
            again.push(&bytes);
            prop_assert_eq!(again.next_message(), Ok(Some(message)));
        }
    }
}
