//! The encoding of the protocol: a preamble (magic and u16 version), then frames of a u32 length and a
//! postcard message. All integers outside messages are big endian. No I/O.

use pinepoint_events::reason_codes;

use crate::message::Message;

/// Version of the protocol. Processes of different versions do not hand over.
pub const VERSION: u16 = 1;
/// The first bytes that each side sends.
const MAGIC: [u8; 4] = *b"PPHO";
/// Length of a preamble, bytes.
pub const PREAMBLE_LENGTH: usize = 6;
/// Maximum length of an encoded message, bytes.
pub const MAX_FRAME_BYTES: usize = 64 << 10;
const LENGTH_BYTES: usize = 4;

reason_codes! {
    /// Why bytes cannot be decoded or a message cannot be encoded.
    WireError {
        /// The peer speaks another protocol.
        Magic = "wrong-magic",
        /// The peer speaks another version.
        Version = "wrong-version",
        /// A frame exceeds [`MAX_FRAME_BYTES`].
        TooLong = "frame-too-long",
        /// A frame does not contain exactly one message, or a time in its message is not finite.
        Malformed = "frame-malformed",
    }
}

impl std::error::Error for WireError {}

/// The preamble of [`VERSION`].
pub fn preamble() -> [u8; PREAMBLE_LENGTH] {
    let [m0, m1, m2, m3] = MAGIC;
    let [v0, v1] = VERSION.to_be_bytes();
    [m0, m1, m2, m3, v0, v1]
}

/// Checks that `bytes` is the preamble of [`VERSION`].
pub fn check_preamble(bytes: &[u8; PREAMBLE_LENGTH]) -> Result<(), WireError> {
    if bytes[..MAGIC.len()] != MAGIC {
        return Err(WireError::Magic);
    }
    if *bytes != preamble() {
        return Err(WireError::Version);
    }
    Ok(())
}

/// Encodes a message as a frame.
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

/// Decodes frames from a stream of bytes. It buffers at most one frame and one read.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    start: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next message, or `None` until all of its bytes are received. After an error, decoding
    /// cannot continue.
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
