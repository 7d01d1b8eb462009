//! Decoding and encoding of the part of [MessagePack](https://github.com/msgpack/msgpack/blob/master/spec.md)
//! that the protocol uses: no negative numbers, no floats, no extension types. Independent of messages and
//! connections.

use super::{MAX_MESSAGE_BYTES, MAX_NESTING_DEPTH};

/// A decoded value that borrows from the encoded bytes.
#[derive(Debug, PartialEq)]
pub enum Value<'a> {
    /// Nil.
    Nil,
    /// A boolean.
    Bool(bool),
    /// An integer of at least 0, in any of the unsigned or signed forms.
    Uint(u64),
    /// A UTF-8 string.
    Str(&'a str),
    /// A byte string.
    Bin(&'a [u8]),
    /// An array.
    Array(Vec<Value<'a>>),
    /// A map, as pairs in wire order.
    Map(Vec<(Value<'a>, Value<'a>)>),
}

/// Why bytes cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The value is not complete; more bytes may complete it.
    Incomplete,
    /// The value is longer than any message may be.
    TooLong,
    /// The value is nested too deeply.
    TooDeep,
    /// A type that messages do not use, or a string that is not UTF-8.
    InvalidType,
}

/// Decodes the value at the start of `input`. Returns the value and its encoded length, or `None` if it is
/// incomplete.
pub fn decode(input: &[u8]) -> Result<Option<(Value<'_>, usize)>, DecodeError> {
    let mut decoder = Decoder { rest: input };
    let decoded = decoder.value(MAX_NESTING_DEPTH);
    let length = input.len() - decoder.rest.len();
    match decoded {
        Ok(value) if length <= MAX_MESSAGE_BYTES => Ok(Some((value, length))),
        Err(DecodeError::Incomplete) if input.len() <= MAX_MESSAGE_BYTES => Ok(None),
        Ok(_) | Err(DecodeError::Incomplete) => Err(DecodeError::TooLong),
        Err(error) => Err(error),
    }
}

/// Decodes values from the start of a slice.
struct Decoder<'a> {
    rest: &'a [u8],
}

impl<'a> Decoder<'a> {
    /// Decodes one value, in which values may be nested up to this depth.
    fn value(&mut self, depth: u32) -> Result<Value<'a>, DecodeError> {
        if depth == 0 {
            return Err(DecodeError::TooDeep);
        }
        let tag = self.bytes(1)?[0];
        match tag {
            0x00..=0x7f => Ok(Value::Uint(u64::from(tag))),
            0x80..=0x8f => self.map(usize::from(tag & 0x0f), depth),
            0x90..=0x9f => self.array(usize::from(tag & 0x0f), depth),
            0xa0..=0xbf => self.string(usize::from(tag & 0x1f)),
            0xc0 => Ok(Value::Nil),
            0xc2 | 0xc3 => Ok(Value::Bool(tag == 0xc3)),
            0xc4..=0xc6 => {
                let length = self.length(1 << (tag - 0xc4))?;
                Ok(Value::Bin(self.bytes(length)?))
            }
            0xcc..=0xcf => Ok(Value::Uint(self.integer(1 << (tag - 0xcc))?)),
            0xd0..=0xd3 => Ok(Value::Uint(self.non_negative_integer(1 << (tag - 0xd0))?)),
            0xd9..=0xdb => {
                let length = self.length(1 << (tag - 0xd9))?;
                self.string(length)
            }
            0xdc | 0xdd => {
                let count = self.length(2 << (tag - 0xdc))?;
                self.array(count, depth)
            }
            0xde | 0xdf => {
                let count = self.length(2 << (tag - 0xde))?;
                self.map(count, depth)
            }
            _ => Err(DecodeError::InvalidType),
        }
    }

    fn bytes(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        if count > MAX_MESSAGE_BYTES {
            return Err(DecodeError::TooLong);
        }
        let (head, rest) = self.rest.split_at_checked(count).ok_or(DecodeError::Incomplete)?;
        self.rest = rest;
        Ok(head)
    }

    /// Decodes a big-endian integer of `bytes` bytes, at most 8.
    fn integer(&mut self, bytes: usize) -> Result<u64, DecodeError> {
        Ok(self.bytes(bytes)?.iter().fold(0, |sum, byte| (sum << 8) | u64::from(*byte)))
    }

    /// Decodes a big-endian integer in two's complement of `bytes` bytes, at most 8, which must not be
    /// negative.
    fn non_negative_integer(&mut self, bytes: usize) -> Result<u64, DecodeError> {
        let value = self.integer(bytes)?;
        let sign_bit = 1 << (bytes * 8 - 1);
        if value & sign_bit == 0 { Ok(value) } else { Err(DecodeError::InvalidType) }
    }

    fn length(&mut self, bytes: usize) -> Result<usize, DecodeError> {
        usize::try_from(self.integer(bytes)?).map_err(|_| DecodeError::TooLong)
    }

    fn string(&mut self, length: usize) -> Result<Value<'a>, DecodeError> {
        std::str::from_utf8(self.bytes(length)?).map(Value::Str).map_err(|_| DecodeError::InvalidType)
    }

    fn array(&mut self, count: usize, depth: u32) -> Result<Value<'a>, DecodeError> {
        check_count(count)?;
        let mut items = Vec::new();
        for _ in 0..count {
            items.push(self.value(depth - 1)?);
        }
        Ok(Value::Array(items))
    }

    fn map(&mut self, count: usize, depth: u32) -> Result<Value<'a>, DecodeError> {
        check_count(count)?;
        let mut pairs = Vec::new();
        for _ in 0..count {
            pairs.push((self.value(depth - 1)?, self.value(depth - 1)?));
        }
        Ok(Value::Map(pairs))
    }
}

/// Bounds an announced number of items, each of which takes at least one byte. Memory is allocated only for
/// items that are present.
fn check_count(count: usize) -> Result<(), DecodeError> {
    if count > MAX_MESSAGE_BYTES { Err(DecodeError::TooLong) } else { Ok(()) }
}

/// Appends the header of an array of fewer than 16 items.
pub fn write_array_header(out: &mut Vec<u8>, count: u8) {
    out.push(0x90 | count);
}

/// Appends the header of a map of fewer than 16 pairs.
pub fn write_map_header(out: &mut Vec<u8>, count: u8) {
    out.push(0x80 | count);
}

/// Appends nil.
pub fn write_nil(out: &mut Vec<u8>) {
    out.push(0xc0);
}

/// Appends a boolean.
pub fn write_bool(out: &mut Vec<u8>, value: bool) {
    out.push(if value { 0xc3 } else { 0xc2 });
}

/// Appends an unsigned integer in its shortest form.
pub fn write_uint(out: &mut Vec<u8>, value: u64) {
    let bytes = value.to_be_bytes();
    match value {
        0..=0x7f => out.push(bytes[7]),
        0x80..=0xff => out.extend_from_slice(&[0xcc, bytes[7]]),
        0x100..=0xffff => out.extend_from_slice(&[0xcd, bytes[6], bytes[7]]),
        0x1_0000..=0xffff_ffff => {
            out.push(0xce);
            out.extend_from_slice(&bytes[4..]);
        }
        _ => {
            out.push(0xcf);
            out.extend_from_slice(&bytes);
        }
    }
}

/// Appends a string of at most 65,535 bytes.
pub fn write_str(out: &mut Vec<u8>, text: &str) {
    match u8::try_from(text.len()) {
        Ok(length) if length < 32 => out.push(0xa0 | length),
        Ok(length) => out.extend_from_slice(&[0xd9, length]),
        Err(_) => {
            out.push(0xda);
            out.extend_from_slice(&(text.len() as u16).to_be_bytes());
        }
    }
    out.extend_from_slice(text.as_bytes());
}

/// Appends a byte string.
pub fn write_bin(out: &mut Vec<u8>, bytes: &[u8]) {
    match u16::try_from(bytes.len()) {
        Ok(length) if length < 256 => out.extend_from_slice(&[0xc4, length as u8]),
        Ok(length) => {
            out.push(0xc5);
            out.extend_from_slice(&length.to_be_bytes());
        }
        Err(_) => {
            out.push(0xc6);
            out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        }
    }
    out.extend_from_slice(bytes);
}
