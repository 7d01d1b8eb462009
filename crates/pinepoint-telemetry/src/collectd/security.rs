//! Signing and encryption of packets of the binary protocol.

use std::fmt;

use aes::Aes256;
use hmac::{Hmac, KeyInit, Mac};
use ofb::cipher::{KeyIvInit, StreamCipher};
use sha1::Sha1;
use sha2::{Digest, Sha256};

use super::MAX_DATAGRAM_BYTES;
use super::network::{PART_HEADER_BYTES, write_part};

const SIGNATURE: u16 = 0x0200;
const ENCRYPTION: u16 = 0x0210;

/// Bytes that a signature adds besides the user name: header and HMAC.
const SIGNATURE_BYTES: usize = PART_HEADER_BYTES + 32;
/// Bytes that encryption adds besides the user name: header, length of the name, initialization vector,
/// digest.
const ENCRYPTION_BYTES: usize = PART_HEADER_BYTES + 2 + 16 + 20;

/// An initialization vector.
pub type InitializationVector = [u8; 16];

/// How packets are secured (collectd's `SecurityLevel`).
#[derive(Clone, Default)]
pub enum PacketSecurity {
    /// Neither signed nor encrypted.
    #[default]
    None,
    /// Signed with HMAC-SHA-256.
    Signed(Credentials),
    /// Encrypted with AES-256 in OFB mode, with a SHA-1 digest inside.
    Encrypted(Credentials),
}

/// A user name and its password.
#[derive(Clone)]
pub struct Credentials {
    /// The user name.
    pub user: String,
    /// The password.
    pub password: String,
}

/// Prints the user name but never the password.
impl fmt::Debug for PacketSecurity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PacketSecurity::None => f.write_str("none"),
            PacketSecurity::Signed(credentials) => write!(f, "signed by {}", credentials.user),
            PacketSecurity::Encrypted(credentials) => write!(f, "encrypted by {}", credentials.user),
        }
    }
}

impl PacketSecurity {
    /// Bytes of a datagram that are left for values.
    pub(super) fn max_payload_bytes(&self) -> usize {
        match self {
            PacketSecurity::None => MAX_DATAGRAM_BYTES,
            PacketSecurity::Signed(credentials) => {
                MAX_DATAGRAM_BYTES - SIGNATURE_BYTES - credentials.user.len()
            }
            PacketSecurity::Encrypted(credentials) => {
                MAX_DATAGRAM_BYTES - ENCRYPTION_BYTES - credentials.user.len()
            }
        }
    }

    /// Seals these parts into a datagram. `vector` is used only for encryption, and must then be a new one
    /// for each datagram, also across restarts.
    pub fn seal(&self, parts: Vec<u8>, vector: InitializationVector) -> Vec<u8> {
        match self {
            PacketSecurity::None => parts,
            PacketSecurity::Signed(credentials) => sign(credentials, &parts),
            PacketSecurity::Encrypted(credentials) => encrypt(credentials, &parts, vector),
        }
    }
}

fn sign(Credentials { user, password }: &Credentials, parts: &[u8]) -> Vec<u8> {
    let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(password.as_bytes())
        .expect("HMAC accepts keys of any length");
    mac.update(user.as_bytes());
    mac.update(parts);
    let payload = [mac.finalize().into_bytes().as_slice(), user.as_bytes()].concat();
    let mut packet = Vec::with_capacity(SIGNATURE_BYTES + user.len() + parts.len());
    write_part(&mut packet, SIGNATURE, &payload);
    packet.extend_from_slice(parts);
    packet
}

fn encrypt(
    Credentials { user, password }: &Credentials,
    parts: &[u8],
    vector: InitializationVector,
) -> Vec<u8> {
    let key = Sha256::digest(password.as_bytes());
    let mut sealed = [Sha1::digest(parts).as_slice(), parts].concat();
    ofb::Ofb::<Aes256>::new(&key, &vector.into()).apply_keystream(&mut sealed);
    let user_length = (user.len() as u16).to_be_bytes();
    let payload = [&user_length, user.as_bytes(), &vector, &sealed].concat();
    let mut packet = Vec::with_capacity(payload.len() + PART_HEADER_BYTES);
    write_part(&mut packet, ENCRYPTION, &payload);
    packet
}
