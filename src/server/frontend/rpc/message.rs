//! Parsing of messages from routers: MessagePack-RPC requests (type 0) and notifications (type 2) are
//! validated and translated into internal types. Stateless.

use super::msgpack::{self, DecodeError, Value};
use crate::admission::Idempotency;
use crate::config::site::Site;
use crate::server::frontend::request_limits::{
    MAX_BODY_BYTES, MAX_KEY_BYTES, MAX_TIMEOUT_MULTIPLE, REQUEST_MEMORY_LIMIT_KB,
};

/// Number of hexadecimal digits of an attempt id.
const ATTEMPT_ID_DIGITS: usize = 16;

/// MessagePack-RPC message types.
const REQUEST: u64 = 0;
const NOTIFICATION: u64 = 2;

/// Names of a request's fields on the wire.
mod field {
    pub const ATTEMPT_ID: &str = "rid";
    pub const ARRIVED_MS: &str = "t0";
    pub const TIMEOUT_MS: &str = "budget";
    pub const RETRY: &str = "again";
    pub const WORK_HINT_MS: &str = "est";
    pub const MEMORY_KB: &str = "mem";
    pub const IDEMPOTENCY_KEY: &str = "token";
    pub const SUBJECT: &str = "obj";
    pub const TENANT: &str = "acct";
    /// Validated, but not used.
    pub const PRIORITY: &str = "prio";
    /// Validated, but not used.
    pub const PEER: &str = "peer";
}

/// Why the input of a connection violates the protocol. The connection ends after such an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// The bytes are not valid MessagePack of this protocol.
    Decode(DecodeError),
    /// Well-formed MessagePack that is not a message of this protocol.
    InvalidMessage,
    /// A message id that is not greater than the previous one.
    MessageIdOrder,
    /// More requests in flight than allowed on one connection.
    TooManyInFlight,
}

impl ProtocolError {
    /// The reason code in the log line of the connection's end.
    pub fn reason_code(self) -> &'static str {
        match self {
            ProtocolError::Decode(DecodeError::Incomplete) => "cut-off",
            ProtocolError::Decode(DecodeError::TooLong) => "message-too-long",
            ProtocolError::Decode(DecodeError::TooDeep) => "message-too-deep",
            ProtocolError::Decode(DecodeError::InvalidType) => "bad-type",
            ProtocolError::InvalidMessage => "bad-message",
            ProtocolError::MessageIdOrder => "bad-message-id",
            ProtocolError::TooManyInFlight => "too-many-open",
        }
    }
}

impl From<DecodeError> for ProtocolError {
    fn from(error: DecodeError) -> Self {
        ProtocolError::Decode(error)
    }
}

/// Why a well-framed request is invalid. The request is answered with an error, and the connection stays
/// open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidRequest {
    /// No class of this name accepts requests.
    UnknownClass,
    /// The body is too long.
    BodyTooLong,
    /// A field is missing, given twice, malformed or out of range.
    InvalidField,
}

impl InvalidRequest {
    /// The name of the error on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            InvalidRequest::UnknownClass => "NoMethod",
            InvalidRequest::BodyTooLong => "TooLarge",
            InvalidRequest::InvalidField => "BadField",
        }
    }
}

/// A message of a router. `id` is the message id that the answer repeats.
#[derive(Debug)]
pub enum Message {
    /// A request.
    Request {
        /// Message id.
        id: u64,
        /// The contents of the request, if they are valid.
        request: Result<Box<Request>, InvalidRequest>,
    },
    /// A health check.
    Ping {
        /// Message id.
        id: u64,
    },
    /// The router no longer waits for the answer to a request.
    Cancel {
        /// Message id of the request.
        id: u64,
    },
}

/// The contents of a request, not yet associated with a connection.
#[derive(Debug)]
pub struct Request {
    /// Identifies the attempt; 16 hexadecimal digits.
    pub attempt_id: String,
    /// Index of the class.
    pub class: usize,
    /// When the request reached the machine, Unix ms.
    pub arrived_ms: f64,
    /// How long the router waits from that time, ms.
    pub timeout_ms: Option<f64>,
    /// Whether the request is marked as a retry.
    pub retry: bool,
    /// The caller's estimate of the work, ms.
    pub work_hint_ms: Option<f64>,
    /// Memory reserved while the request is pending, kB.
    pub memory_kb: f64,
    /// The idempotency key, in classes that need one.
    pub idempotency_key: Option<String>,
    /// The subject of a read.
    pub subject: Option<String>,
    /// Index of the tenant.
    pub tenant: Option<usize>,
    /// The work to be run.
    pub body: Vec<u8>,
}

/// Removes the first message from `input` and returns it, or `None` if it is incomplete.
pub fn take_message(input: &mut Vec<u8>, site: &Site, now_ms: f64) -> Result<Option<Message>, ProtocolError> {
    let Some((value, length)) = msgpack::decode(input)? else { return Ok(None) };
    let message = parse_message(&value, site, now_ms)?;
    input.drain(..length);
    Ok(Some(message))
}

fn parse_message(value: &Value<'_>, site: &Site, now_ms: f64) -> Result<Message, ProtocolError> {
    let Value::Array(parts) = value else { return Err(ProtocolError::InvalidMessage) };
    match parts.as_slice() {
        [Value::Uint(NOTIFICATION), Value::Str("abort"), Value::Array(params)] => parse_cancel(params),
        [Value::Uint(REQUEST), Value::Uint(id), Value::Str("ping"), Value::Array(_)] => {
            Ok(Message::Ping { id: *id })
        }
        [Value::Uint(REQUEST), Value::Uint(id), Value::Str(method), Value::Array(params)] => {
            let [Value::Map(pairs), Value::Bin(body)] = params.as_slice() else {
                return Err(ProtocolError::InvalidMessage);
            };
            let request = parse_request(method, &Fields(pairs), body, site, now_ms).map(Box::new);
            Ok(Message::Request { id: *id, request })
        }
        _ => Err(ProtocolError::InvalidMessage),
    }
}

fn parse_cancel(params: &[Value<'_>]) -> Result<Message, ProtocolError> {
    match params {
        [Value::Uint(id)] => Ok(Message::Cancel { id: *id }),
        _ => Err(ProtocolError::InvalidMessage),
    }
}

/// Every field has to be valid, including unused fields. Values out of range are rejected and not clamped: a
/// clamped value would reserve memory and work that the router did not ask for.
fn parse_request(
    method: &str,
    fields: &Fields<'_>,
    body: &[u8],
    site: &Site,
    now_ms: f64,
) -> Result<Request, InvalidRequest> {
    let class = site.class_of(method, now_ms).ok_or(InvalidRequest::UnknownClass)?;
    if body.len() > MAX_BODY_BYTES {
        return Err(InvalidRequest::BodyTooLong);
    }
    let settings = &site.settings.classes[class];
    let idempotency_key = fields.key(field::IDEMPOTENCY_KEY)?;
    if settings.idempotency == Idempotency::Keyed && idempotency_key.is_none() {
        return Err(InvalidRequest::InvalidField);
    }
    let duration_limit_ms = settings.timeout_ms * MAX_TIMEOUT_MULTIPLE;
    fields.number_in(field::PRIORITY, 0.0, 1.0)?;
    fields.number_in(field::PEER, 0.0, f64::INFINITY)?;
    Ok(Request {
        attempt_id: fields.attempt_id()?.to_owned(),
        class,
        arrived_ms: fields.number(field::ARRIVED_MS)?.ok_or(InvalidRequest::InvalidField)?,
        timeout_ms: fields.number_in(field::TIMEOUT_MS, 0.0, duration_limit_ms)?,
        retry: fields.retry()?,
        work_hint_ms: fields.number_in(field::WORK_HINT_MS, f64::MIN_POSITIVE, duration_limit_ms)?,
        memory_kb: fields
            .number_in(field::MEMORY_KB, f64::MIN_POSITIVE, REQUEST_MEMORY_LIMIT_KB)?
            .unwrap_or(0.0),
        idempotency_key: idempotency_key.map(str::to_owned),
        subject: fields.key(field::SUBJECT)?.map(str::to_owned),
        tenant: fields.text(field::TENANT)?.and_then(|name| site.tenant_of(name, now_ms)),
        body: body.to_vec(),
    })
}

/// The fields of a request: strings by name.
struct Fields<'a>(&'a [(Value<'a>, Value<'a>)]);

impl<'a> Fields<'a> {
    /// The field of this name, if present. A field that is given twice or is not a string is invalid.
    fn text(&self, name: &str) -> Result<Option<&'a str>, InvalidRequest> {
        let mut found = self.0.iter().filter(|(key, _)| *key == Value::Str(name));
        match (found.next(), found.next()) {
            (None, _) => Ok(None),
            (Some((_, Value::Str(text))), None) => Ok(Some(*text)),
            _ => Err(InvalidRequest::InvalidField),
        }
    }

    /// A field with a number of at least 0 in decimal notation.
    fn number(&self, name: &str) -> Result<Option<f64>, InvalidRequest> {
        let Some(text) = self.text(name)? else { return Ok(None) };
        let number = text.parse::<f64>().ok().filter(|value| value.is_finite() && *value >= 0.0);
        number.map(Some).ok_or(InvalidRequest::InvalidField)
    }

    /// A field with a number from `min` up to, but not including, `limit`.
    fn number_in(&self, name: &str, min: f64, limit: f64) -> Result<Option<f64>, InvalidRequest> {
        let number = self.number(name)?;
        if number.is_none_or(|value| value >= min && value < limit) {
            Ok(number)
        } else {
            Err(InvalidRequest::InvalidField)
        }
    }

    /// A field with a string of 1 to 64 bytes.
    fn key(&self, name: &str) -> Result<Option<&'a str>, InvalidRequest> {
        let text = self.text(name)?;
        if text.is_none_or(|key| (1..=MAX_KEY_BYTES).contains(&key.len())) {
            Ok(text)
        } else {
            Err(InvalidRequest::InvalidField)
        }
    }

    fn attempt_id(&self) -> Result<&'a str, InvalidRequest> {
        let is_valid = |id: &&str| id.len() == ATTEMPT_ID_DIGITS && id.bytes().all(|b| b.is_ascii_hexdigit());
        self.text(field::ATTEMPT_ID)?.filter(is_valid).ok_or(InvalidRequest::InvalidField)
    }

    /// Whether the request is marked as a retry, by `1`; no other value is valid.
    fn retry(&self) -> Result<bool, InvalidRequest> {
        match self.text(field::RETRY)? {
            None => Ok(false),
            Some("1") => Ok(true),
            Some(_) => Err(InvalidRequest::InvalidField),
        }
    }
}
