//! Parses packets of collectd's binary protocol: signed, encrypted and plain packets, and their parts.

use std::collections::HashMap;

use aes::Aes256;
use hmac::{Hmac, KeyInit, Mac};
use ofb::cipher::{KeyIvInit, StreamCipher};
use sha1::Sha1;
use sha2::{Digest, Sha256};

use super::received::{Notification, Received, Value};
use super::{Credentials, SecurityLevel};

/// Numbers of the part types.
mod part_type {
    pub(super) const HOST: u16 = 0x0000;
    pub(super) const PLUGIN: u16 = 0x0002;
    pub(super) const PLUGIN_INSTANCE: u16 = 0x0003;
    pub(super) const TYPE: u16 = 0x0004;
    pub(super) const TYPE_INSTANCE: u16 = 0x0005;
    pub(super) const VALUES: u16 = 0x0006;
    pub(super) const TIME_HIGH_RESOLUTION: u16 = 0x0008;
    pub(super) const INTERVAL_HIGH_RESOLUTION: u16 = 0x0009;
    pub(super) const MESSAGE: u16 = 0x0100;
    pub(super) const SEVERITY: u16 = 0x0101;
    pub(super) const SIGNATURE: u16 = 0x0200;
    pub(super) const ENCRYPTION: u16 = 0x0210;
}

/// Type code of a gauge in a values part.
const GAUGE: u8 = 1;
/// Type code of a derive in a values part.
const DERIVE: u8 = 2;
/// Length of an HMAC-SHA256, bytes.
const MAC_BYTES: usize = 32;
/// Length of a SHA-1 digest, bytes.
const DIGEST_BYTES: usize = 20;
/// Length of an initialization vector, bytes.
const VECTOR_BYTES: usize = 16;
/// High-resolution times count in units of 2^-30 s.
const TICKS_PER_S: f64 = (1 << 30) as f64;

/// Parses a packet; `None` if it is truncated, has an unknown form, or is not protected as required.
pub(super) fn parse(security: &SecurityLevel, bytes: &[u8]) -> Option<Received> {
    let (part_type, head, rest) = split_part(bytes)?;
    match (security, part_type) {
        (SecurityLevel::Sign(user, password), part_type::SIGNATURE) => {
            parse_parts(verify(&Credentials { user, password }, head, rest)?)
        }
        (SecurityLevel::Encrypt(user, password), part_type::ENCRYPTION) if rest.is_empty() => {
            parse_parts(&decrypt(&Credentials { user, password }, head)?)
        }
        (SecurityLevel::None, part_type) if part_type < part_type::SIGNATURE => parse_parts(bytes),
        _ => None,
    }
}

/// Splits off the first part; returns its type, its payload and the remaining bytes.
fn split_part(bytes: &[u8]) -> Option<(u16, &[u8], &[u8])> {
    let part_type = read_u16(bytes.get(..2)?)?;
    let length = usize::from(read_u16(bytes.get(2..4)?)?);
    Some((part_type, bytes.get(4..length)?, bytes.get(length..)?))
}

/// Returns the signed rest of a packet if the user and the signature are valid.
fn verify<'a>(credentials: &Credentials<'_>, head: &[u8], rest: &'a [u8]) -> Option<&'a [u8]> {
    let (mac, user) = head.split_at_checked(MAC_BYTES)?;
    let mut expected = <Hmac<Sha256> as KeyInit>::new_from_slice(credentials.password.as_bytes()).ok()?;
    expected.update(user);
    expected.update(rest);
    let is_valid = user == credentials.user.as_bytes() && expected.verify_slice(mac).is_ok();
    is_valid.then_some(rest)
}

/// Decrypts a packet; returns its parts if the user and the digest are valid.
fn decrypt(credentials: &Credentials<'_>, head: &[u8]) -> Option<Vec<u8>> {
    let user_length = usize::from(read_u16(head.get(..2)?)?);
    let (user, rest) = head.get(2..)?.split_at_checked(user_length)?;
    let (vector, ciphertext) = rest.split_at_checked(VECTOR_BYTES)?;
    let vector: [u8; VECTOR_BYTES] = to_array(vector)?;
    let mut plaintext = ciphertext.to_vec();
    let key = Sha256::digest(credentials.password.as_bytes());
    ofb::Ofb::<Aes256>::new(&key, &vector.into()).apply_keystream(&mut plaintext);
    let (digest, parts) = plaintext.split_at_checked(DIGEST_BYTES)?;
    let is_valid = user == credentials.user.as_bytes() && Sha1::digest(parts).as_slice() == digest;
    is_valid.then(|| parts.to_vec())
}

/// State while parsing a packet: the parts read so far, which apply to the values that follow.
#[derive(Default)]
struct Context {
    /// Names by part type.
    names: HashMap<u16, String>,
    time_s: f64,
    severity: u64,
    received: Received,
}

impl Context {
    fn name(&self, part_type: u16) -> &str {
        self.names.get(&part_type).map_or("", String::as_str)
    }

    /// Series of the next values: `host/plugin-instance/type-instance`.
    fn series(&self) -> String {
        let [host, plugin, plugin_instance, value_type, type_instance] = [
            part_type::HOST,
            part_type::PLUGIN,
            part_type::PLUGIN_INSTANCE,
            part_type::TYPE,
            part_type::TYPE_INSTANCE,
        ]
        .map(|part_type| self.name(part_type));
        format!("{host}/{plugin}-{plugin_instance}/{value_type}-{type_instance}")
    }

    fn read_part(&mut self, part_type: u16, payload: &[u8]) -> Option<()> {
        match part_type {
            part_type::HOST | part_type::PLUGIN..=part_type::TYPE_INSTANCE => {
                self.names.insert(part_type, read_string(payload)?.to_owned());
            }
            part_type::MESSAGE => {
                let message = read_string(payload)?.to_owned();
                let type_instance = self.name(part_type::TYPE_INSTANCE).to_owned();
                let notification = Notification { severity: self.severity, type_instance, message };
                self.received.notifications.push(notification);
            }
            part_type::VALUES => {
                let values = read_values(payload)?;
                self.received.insert(self.series(), self.time_s, values);
            }
            part_type::TIME_HIGH_RESOLUTION => self.time_s = read_seconds(payload)?,
            part_type::INTERVAL_HIGH_RESOLUTION => self.received.interval_s = read_seconds(payload)?,
            part_type::SEVERITY => self.severity = read_u64(payload)?,
            _ => return None,
        }
        Some(())
    }
}

fn parse_parts(mut bytes: &[u8]) -> Option<Received> {
    let mut context = Context::default();
    while !bytes.is_empty() {
        let (part_type, payload, rest) = split_part(bytes)?;
        context.read_part(part_type, payload)?;
        bytes = rest;
    }
    Some(context.received)
}

fn read_values(payload: &[u8]) -> Option<Vec<Value>> {
    let count = usize::from(read_u16(payload.get(..2)?)?);
    let (types, numbers) = payload.get(2..)?.split_at_checked(count)?;
    if numbers.len() != count * 8 {
        return None;
    }
    let values = types.iter().zip(numbers.chunks(8));
    values.map(|(value_type, bytes)| read_value(*value_type, bytes)).collect()
}

/// Reads a value. Gauges are little-endian, all other values big-endian.
fn read_value(value_type: u8, bytes: &[u8]) -> Option<Value> {
    match value_type {
        GAUGE => Some(Value::Gauge(f64::from_le_bytes(to_array(bytes)?))),
        DERIVE => Some(Value::Derive(i64::from_be_bytes(to_array(bytes)?))),
        _ => None,
    }
}

fn read_string(payload: &[u8]) -> Option<&str> {
    std::str::from_utf8(payload.strip_suffix(&[0])?).ok()
}

fn read_seconds(payload: &[u8]) -> Option<f64> {
    Some(read_u64(payload)? as f64 / TICKS_PER_S)
}

fn read_u16(bytes: &[u8]) -> Option<u16> {
    Some(u16::from_be_bytes(to_array(bytes)?))
}

fn read_u64(bytes: &[u8]) -> Option<u64> {
    Some(u64::from_be_bytes(to_array(bytes)?))
}

fn to_array<const N: usize>(bytes: &[u8]) -> Option<[u8; N]> {
    bytes.try_into().ok()
}
