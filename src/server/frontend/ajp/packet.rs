//! Framing of AJP13: a magic number, a length of two bytes and a payload. The first byte of a payload is a
//! code, except in a body packet. Independent of requests.

/// Maximum length of a packet with its header, bytes.
pub const MAX_PACKET_BYTES: usize = 8192;
/// Length of the magic number and the length field, bytes.
pub const PACKET_HEADER_BYTES: usize = 4;

/// Magic number of packets from a web server.
const WEB_SERVER_MAGIC: [u8; 2] = [0x12, 0x34];
/// Magic number of packets from a container.
const CONTAINER_MAGIC: [u8; 2] = [0x41, 0x42];
/// Length field of an absent string.
const NO_STRING: u16 = 0xffff;

/// Codes of packets.
pub mod code {
    /// From the web server: the head of a request.
    pub const FORWARD_REQUEST: u8 = 2;
    /// To the web server: a part of a response's body.
    pub const SEND_BODY_CHUNK: u8 = 3;
    /// To the web server: status and headers.
    pub const SEND_HEADERS: u8 = 4;
    /// To the web server: the end of a response.
    pub const END_RESPONSE: u8 = 5;
    /// To the web server: asks for a part of a request's body.
    pub const GET_BODY_CHUNK: u8 = 6;
    /// From the web server: stop the container.
    pub const SHUTDOWN: u8 = 7;
    /// To the web server: the answer to a health check.
    pub const CPONG: u8 = 9;
    /// From the web server: a health check.
    pub const CPING: u8 = 10;
}

/// Why bytes are not valid AJP13. The connection ends after such an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketError {
    /// The packet does not begin with the magic number of a web server.
    InvalidMagic,
    /// A packet that is too long, or a request with too many headers.
    TooLong,
    /// The payload is shorter or longer than announced.
    InvalidLength,
    /// A string that is not UTF-8 or does not end with a zero.
    InvalidString,
    /// An unknown code of a packet, header or attribute.
    InvalidCode,
}

impl PacketError {
    /// The reason code in the log line of the connection's end.
    pub fn reason_code(self) -> &'static str {
        match self {
            PacketError::InvalidMagic => "bad-mark",
            PacketError::TooLong => "packet-too-long",
            PacketError::InvalidLength => "bad-length",
            PacketError::InvalidString => "bad-text",
            PacketError::InvalidCode => "bad-code",
        }
    }
}

/// Removes the first packet from `input` and returns its payload, or `None` if it is incomplete.
pub fn take_packet(input: &mut Vec<u8>) -> Result<Option<Vec<u8>>, PacketError> {
    let magic_seen = input.len().min(WEB_SERVER_MAGIC.len());
    if !input.starts_with(&WEB_SERVER_MAGIC[..magic_seen]) {
        return Err(PacketError::InvalidMagic);
    }
    let Some(header) = input.get(..PACKET_HEADER_BYTES) else { return Ok(None) };
    let end = PACKET_HEADER_BYTES + usize::from(u16::from_be_bytes([header[2], header[3]]));
    if end > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong);
    }
    let Some(payload) = input.get(PACKET_HEADER_BYTES..end) else { return Ok(None) };
    let payload = payload.to_vec();
    input.drain(..end);
    Ok(Some(payload))
}

/// The data of a body packet; empty in the packet that ends a body.
pub fn body_data(payload: &[u8]) -> Result<&[u8], PacketError> {
    if payload.is_empty() {
        return Ok(&[]);
    }
    let (length, data) = payload.split_first_chunk::<2>().ok_or(PacketError::InvalidLength)?;
    if data.len() == usize::from(u16::from_be_bytes(*length)) {
        Ok(data)
    } else {
        Err(PacketError::InvalidLength)
    }
}

/// Reads the elements of a payload in order.
pub struct PayloadReader<'a> {
    rest: &'a [u8],
}

impl<'a> PayloadReader<'a> {
    /// Starts at the beginning of a payload.
    pub fn new(payload: &'a [u8]) -> Self {
        PayloadReader { rest: payload }
    }

    /// Whether the whole payload was read.
    pub fn is_at_end(&self) -> bool {
        self.rest.is_empty()
    }

    /// Reads one byte.
    pub fn byte(&mut self) -> Result<u8, PacketError> {
        Ok(self.bytes(1)?[0])
    }

    /// Reads a big-endian integer of two bytes.
    pub fn integer(&mut self) -> Result<u16, PacketError> {
        let bytes = self.bytes(2)?;
        Ok(u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    /// Reads a string: its length, its bytes and a zero. An absent string reads as empty.
    pub fn string(&mut self) -> Result<&'a str, PacketError> {
        let length = self.integer()?;
        self.string_of(length)
    }

    /// Reads a string whose length was already read.
    pub fn string_of(&mut self, length: u16) -> Result<&'a str, PacketError> {
        if length == NO_STRING {
            return Ok("");
        }
        let text = self.bytes(usize::from(length))?;
        if self.byte()? != 0 {
            return Err(PacketError::InvalidString);
        }
        std::str::from_utf8(text).map_err(|_| PacketError::InvalidString)
    }

    fn bytes(&mut self, count: usize) -> Result<&'a [u8], PacketError> {
        let (head, rest) = self.rest.split_at_checked(count).ok_or(PacketError::InvalidLength)?;
        self.rest = rest;
        Ok(head)
    }
}

/// Appends a packet with the payload that `fill` writes.
pub fn write_packet(out: &mut Vec<u8>, fill: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&CONTAINER_MAGIC);
    out.extend_from_slice(&[0, 0]);
    fill(out);
    let length = (out.len() - start - PACKET_HEADER_BYTES) as u16;
    out[start + 2..start + PACKET_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends a big-endian integer of two bytes.
pub fn write_integer(out: &mut Vec<u8>, value: u16) {
    out.extend_from_slice(&value.to_be_bytes());
}

/// Appends a string: its length, its bytes and a zero.
pub fn write_string(out: &mut Vec<u8>, text: &str) {
    write_integer(out, text.len() as u16);
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}
