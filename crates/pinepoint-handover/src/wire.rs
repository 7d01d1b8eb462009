//! Bytes to messages and back: a fixed preamble, then frames of a length and a message. No I/O.

use pinepoint_events::reason_codes;

use crate::message::Message;

/// The version of the messages. Processes of different versions hand nothing over.
pub const VERSION: u16 = 1;
/// The first bytes of each direction.
const MAGIC: [u8; 4] = *b"PPHO";
/// Length of a preamble.
pub const PREAMBLE_LENGTH: usize = 6;
/// Bytes of a frame's message at most.
pub const MAX_FRAME_BYTES: usize = 64 << 10;
const LENGTH_BYTES: usize = 4;

reason_codes! {
    /// Why bytes are no message.
    WireError {
        /// The other side speaks something else.
        Magic = "wrong-magic",
        /// It speaks another version.
        Version = "wrong-version",
        /// A frame is longer than any may be.
        TooLong = "frame-too-long",
        /// A frame holds no message, or one with a time that is none.
        Malformed = "frame-malformed",
    }
}

impl std::error::Error for WireError {}

/// The preamble of this version.
pub fn preamble() -> [u8; PREAMBLE_LENGTH] {
    let [m0, m1, m2, m3] = MAGIC;
    let [v0, v1] = VERSION.to_be_bytes();
    [m0, m1, m2, m3, v0, v1]
}

/// Whether this is the preamble of this version.
pub fn check_preamble(bytes: &[u8; PREAMBLE_LENGTH]) -> Result<(), WireError> {
    if bytes[..MAGIC.len()] != MAGIC {
        return Err(WireError::Magic);
    }
    if *bytes != preamble() {
        return Err(WireError::Version);
    }
    Ok(())
}

/// A message as a frame.
pub fn encode(message: &Message) -> Result<Vec<u8>, WireError> {
    let frame = postcard::to_extend(message, vec![0; LENGTH_BYTES]).map_err(|_| WireError::Malformed)?;
    let length = frame.len() - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(WireError::TooLong);
    }
    let mut frame = frame;
    frame[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Takes bytes as they come, and gives messages as they become whole. It holds one frame and one read at most.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    start: usize,
}

impl Decoder {
    /// Takes what came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// The next message, if it is whole. After an error nothing more can be read.
    pub fn next_message(&mut self) -> Result<Option<Message>, WireError> {
        let rest = &self.bytes[self.start..];
        let Some((length, rest)) = rest.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(WireError::TooLong);
        }
        let Some(body) = rest.get(..length) else { return Ok(None) };
        let message = decode(body)?;
        self.start += LENGTH_BYTES + length;
        Ok(Some(message))
    }
}

fn decode(body: &[u8]) -> Result<Message, WireError> {
    let (message, rest) = postcard::take_from_bytes::<Message>(body).map_err(|_| WireError::Malformed)?;
    if rest.is_empty() && times_are_finite(&message) { Ok(message) } else { Err(WireError::Malformed) }
}

fn times_are_finite(message: &Message) -> bool {
    match message {
        Message::Hello(hello) => hello.keys_unknown_until_ms.is_finite(),
        Message::Keys(records) => records.iter().all(|record| record.until_ms.is_finite()),
        Message::Claim(claim) => claim.until_ms.is_finite(),
        _ => true,
    }
}
