//! MessagePack-RPC messages as callers of the program write and read them. This module owns their encoding;
//! its users own the connections.

use std::io;
use std::time::{SystemTime, UNIX_EPOCH};

use rmpv::Value;

/// First element of a request.
const REQUEST: u64 = 0;
/// First element of a response.
pub(crate) const RESPONSE: u64 = 1;
/// First element of a notification.
pub(crate) const NOTIFICATION: u64 = 2;

/// Memory that every request declares, kB.
const MEMORY_KB: &str = "40";

/// The current time, Unix ms.
pub(crate) fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// The fields of a request besides its class and body.
#[derive(Clone, Debug)]
pub(crate) struct RequestFields {
    /// Identifier of one attempt.
    pub(crate) attempt_id: u64,
    /// Time at which the request was first sent, Unix ms.
    pub(crate) first_sent_ms: u128,
    /// Estimate of the work of the request in ms, as written in the message.
    pub(crate) estimate_ms: String,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) is_retry: bool,
}

impl RequestFields {
    fn into_map(self) -> Value {
        let mut fields = vec![
            ("rid", format!("{:016x}", self.attempt_id)),
            ("t0", self.first_sent_ms.to_string()),
            ("est", self.estimate_ms),
            ("mem", MEMORY_KB.to_owned()),
        ];
        fields.extend(self.idempotency_key.map(|key| ("token", key)));
        fields.extend(self.is_retry.then(|| ("again", "1".to_owned())));
        Value::Map(fields.into_iter().map(|(name, value)| (name.into(), value.into())).collect())
    }
}

/// Encodes a request with this message id.
pub(crate) fn encode_request(
    message_id: u64,
    class: &str,
    fields: RequestFields,
    body: &str,
) -> io::Result<Vec<u8>> {
    let params = vec![fields.into_map(), Value::Binary(body.as_bytes().to_vec())];
    encode_call(message_id, class, params)
}

/// Encodes a request with this method and these parameters.
pub(crate) fn encode_call(message_id: u64, method: &str, params: Vec<Value>) -> io::Result<Vec<u8>> {
    encode(vec![REQUEST.into(), message_id.into(), method.into(), Value::Array(params)])
}

/// Encodes a notification.
pub(crate) fn encode_notification(method: &str, params: Vec<Value>) -> io::Result<Vec<u8>> {
    encode(vec![NOTIFICATION.into(), method.into(), Value::Array(params)])
}

fn encode(message: Vec<Value>) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &Value::Array(message)).map_err(io::Error::other)?;
    Ok(bytes)
}

/// Takes a complete message off the front of the input, if there is one.
pub(crate) fn take_message(input: &mut Vec<u8>) -> Option<Value> {
    let mut rest = input.as_slice();
    let message = rmpv::decode::read_value(&mut rest).ok()?;
    let consumed = input.len() - rest.len();
    input.drain(..consumed);
    Some(message)
}
