//! The head of an AJP13 request: parses a Forward Request packet and extracts the fields that the core uses.
//! Independent of connections and bodies.

use super::packet::{PacketError, PayloadReader, code};
use crate::admission::Idempotency;
use crate::config::site::Site;
use crate::server::frontend::request_limits::{MAX_KEY_BYTES, MAX_TIMEOUT_MULTIPLE, REQUEST_MEMORY_LIMIT_KB};

/// Maximum number of headers of a request.
const MAX_HEADERS: u16 = 128;

/// Codes of the supported HTTP methods.
const METHOD_GET: u8 = 2;
const METHOD_POST: u8 = 4;

/// High byte of a header name that is sent as a code.
const CODED_HEADER_NAME: u16 = 0xa0;
/// The header names that have a code, from code 1 on.
const CODED_HEADER_NAMES: [&str; 14] = [
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "authorization",
    "connection",
    "content-type",
    "content-length",
    "cookie",
    "cookie2",
    "host",
    "pragma",
    "referer",
    "user-agent",
];

/// Codes of the attributes that follow the headers.
mod attribute {
    /// A request attribute that the web server defines: a name and a value.
    pub const REQUEST_ATTRIBUTE: u8 = 0x0a;
    /// The only attribute whose value is a number.
    pub const SSL_KEY_SIZE: u8 = 0x0b;
    pub const SECRET: u8 = 0x0c;
    /// The lowest and the highest code of attributes with one string.
    pub const FIRST: u8 = 0x01;
    pub const LAST: u8 = 0x0d;
    /// The end of a request's head.
    pub const END: u8 = 0xff;
}

/// Names of the headers that this frontend evaluates.
mod header {
    pub const CONTENT_LENGTH: &str = "content-length";
    pub const TRANSFER_ENCODING: &str = "transfer-encoding";
    pub const TIMEOUT_MS: &str = "budget";
    pub const RETRY: &str = "again";
    pub const WORK_HINT_MS: &str = "est";
    pub const MEMORY_KB: &str = "mem";
    pub const IDEMPOTENCY_KEY: &str = "token";
    pub const SUBJECT: &str = "obj";
}

/// The HTTP status of a well-framed request that does not reach the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpStatus(pub u16);

impl HttpStatus {
    pub const BAD_REQUEST: HttpStatus = HttpStatus(400);
    pub const FORBIDDEN: HttpStatus = HttpStatus(403);
    pub const NOT_FOUND: HttpStatus = HttpStatus(404);
    pub const CONTENT_TOO_LARGE: HttpStatus = HttpStatus(413);
    pub const SERVICE_UNAVAILABLE: HttpStatus = HttpStatus(503);
    pub const GATEWAY_TIMEOUT: HttpStatus = HttpStatus(504);
}

/// The length of the body that follows a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The length in bytes is known; the web server sends the first body packet without a request for it.
    Known(usize),
    /// The body ends with an empty packet; the container requests every packet.
    Chunked,
}

/// The parts of a Forward Request that are used here.
#[derive(Debug, Default, PartialEq)]
pub struct ForwardRequest {
    method: u8,
    path: String,
    /// Names in lower case and values.
    headers: Vec<(String, String)>,
    secret: Option<String>,
}

/// The fields of a request's head that the core uses.
pub struct RequestHead {
    /// Index of the class.
    pub class: usize,
    /// How long the web server waits, from the arrival of the head on, ms.
    pub timeout_ms: Option<f64>,
    /// Whether the request is marked as a retry.
    pub retry: bool,
    /// The caller's estimate of the work, ms.
    pub work_hint_ms: Option<f64>,
    /// Memory reserved while the request is pending, kB.
    pub memory_kb: Option<f64>,
    /// The idempotency key, in classes that need one.
    pub idempotency_key: Option<String>,
    /// The subject of a read.
    pub subject: Option<String>,
}

impl ForwardRequest {
    /// Parses the payload of a Forward Request packet, its code included.
    pub fn parse(payload: &[u8]) -> Result<Self, PacketError> {
        let mut reader = PayloadReader::new(payload);
        if reader.byte()? != code::FORWARD_REQUEST {
            return Err(PacketError::InvalidCode);
        }
        let method = reader.byte()?;
        let _protocol = reader.string()?;
        let path = reader.string()?.to_owned();
        let _remote_address = reader.string()?;
        let _remote_host = reader.string()?;
        let _server_name = reader.string()?;
        let _server_port = reader.integer()?;
        let _is_ssl = reader.byte()?;
        let headers = parse_headers(&mut reader)?;
        let secret = parse_attributes(&mut reader)?;
        if reader.is_at_end() {
            Ok(ForwardRequest { method, path, headers, secret })
        } else {
            Err(PacketError::InvalidLength)
        }
    }

    /// The length of the body that follows.
    pub fn body_length(&self) -> Result<BodyLength, HttpStatus> {
        match (self.header(header::CONTENT_LENGTH)?, self.header(header::TRANSFER_ENCODING)?) {
            (Some(length), None) if length.bytes().all(|b| b.is_ascii_digit()) => {
                length.parse().map(BodyLength::Known).map_err(|_| HttpStatus::BAD_REQUEST)
            }
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyLength::Chunked),
            (None, None) => Ok(BodyLength::Known(0)),
            _ => Err(HttpStatus::BAD_REQUEST),
        }
    }

    /// Extracts the fields for the core if the request is valid and carries the required secret, if any.
    /// Values out of range are rejected and not clamped, as in the MessagePack-RPC frontend.
    pub fn head(&self, site: &Site, now_ms: f64, secret: Option<&str>) -> Result<RequestHead, HttpStatus> {
        if secret.is_some() && secret != self.secret.as_deref() {
            return Err(HttpStatus::FORBIDDEN);
        }
        if !matches!(self.method, METHOD_GET | METHOD_POST) {
            return Err(HttpStatus::BAD_REQUEST);
        }
        let class_name = self.path.strip_prefix('/').unwrap_or_default();
        let class = site.class_of(class_name, now_ms).ok_or(HttpStatus::NOT_FOUND)?;
        let settings = &site.settings.classes[class];
        let idempotency_key = self.key(header::IDEMPOTENCY_KEY)?;
        if settings.idempotency == Idempotency::Keyed && idempotency_key.is_none() {
            return Err(HttpStatus::BAD_REQUEST);
        }
        let duration_limit_ms = settings.timeout_ms * MAX_TIMEOUT_MULTIPLE;
        Ok(RequestHead {
            class,
            timeout_ms: self.positive_number(header::TIMEOUT_MS, duration_limit_ms)?,
            retry: self.header(header::RETRY)? == Some("1"),
            work_hint_ms: self.positive_number(header::WORK_HINT_MS, duration_limit_ms)?,
            memory_kb: self.positive_number(header::MEMORY_KB, REQUEST_MEMORY_LIMIT_KB)?,
            idempotency_key: idempotency_key.map(str::to_owned),
            subject: self.key(header::SUBJECT)?.map(str::to_owned),
        })
    }

    /// The value of a header, if present. A header that is given twice is ambiguous and therefore invalid.
    fn header(&self, name: &str) -> Result<Option<&str>, HttpStatus> {
        let mut found = self.headers.iter().filter(|(found_name, _)| found_name == name);
        match (found.next(), found.next()) {
            (Some((_, value)), None) => Ok(Some(value.as_str())),
            (None, _) => Ok(None),
            _ => Err(HttpStatus::BAD_REQUEST),
        }
    }

    /// A header with a number above 0 and below `limit` in decimal notation.
    fn positive_number(&self, name: &str, limit: f64) -> Result<Option<f64>, HttpStatus> {
        let Some(text) = self.header(name)? else { return Ok(None) };
        let number = text.trim().parse::<f64>().ok().filter(|value| *value > 0.0 && *value < limit);
        number.map(Some).ok_or(HttpStatus::BAD_REQUEST)
    }

    /// A header with a string of 1 to 64 visible ASCII characters.
    fn key(&self, name: &str) -> Result<Option<&str>, HttpStatus> {
        let value = self.header(name)?;
        let is_valid =
            |key: &str| (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic());
        if value.is_none_or(is_valid) { Ok(value) } else { Err(HttpStatus::BAD_REQUEST) }
    }
}

fn parse_headers(reader: &mut PayloadReader<'_>) -> Result<Vec<(String, String)>, PacketError> {
    let count = reader.integer()?;
    if count > MAX_HEADERS {
        return Err(PacketError::TooLong);
    }
    let mut headers = Vec::new();
    for _ in 0..count {
        let name = parse_header_name(reader)?;
        headers.push((name, reader.string()?.to_owned()));
    }
    Ok(headers)
}

/// Parses a header name, which is a code or a string; the high byte of a string's length never equals that of
/// a code.
fn parse_header_name(reader: &mut PayloadReader<'_>) -> Result<String, PacketError> {
    let code_or_length = reader.integer()?;
    if code_or_length >> 8 != CODED_HEADER_NAME {
        return Ok(reader.string_of(code_or_length)?.to_ascii_lowercase());
    }
    let index = usize::from(code_or_length & 0xff).checked_sub(1);
    let name = index.and_then(|index| CODED_HEADER_NAMES.get(index));
    name.map(|name| (*name).to_owned()).ok_or(PacketError::InvalidCode)
}

/// Reads the attributes up to their end, and returns the secret among them.
fn parse_attributes(reader: &mut PayloadReader<'_>) -> Result<Option<String>, PacketError> {
    let mut secret = None;
    loop {
        match reader.byte()? {
            attribute::END => return Ok(secret),
            attribute::REQUEST_ATTRIBUTE => {
                let _name = reader.string()?;
                let _value = reader.string()?;
            }
            attribute::SSL_KEY_SIZE => {
                reader.integer()?;
            }
            attribute::SECRET => secret = Some(reader.string()?.to_owned()),
            attribute::FIRST..=attribute::LAST => {
                reader.string()?;
            }
            _ => return Err(PacketError::InvalidCode),
        }
    }
}
