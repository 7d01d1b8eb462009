//! The AJP13 front, for web servers that forward to a container. It owns the front ends' connections and their
//! wire: packets, body chunks, response packets. It must never decide about a request: one whose head and body
//! were read whole goes to the core, one whose body breaks off was never read and goes nowhere.

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;

use crate::admission::Idempotency;
use crate::config::site::Site;
use crate::server::core::api::{Arrival, Caller, CoreInput, Reply};
use crate::server::frontend::connection::{self, CloseReason, ReadHalf, WriteHalf};
use crate::server::frontend::connection_state::{ConnectionState, MESSAGE_TIMEOUT_MS};
use crate::server::frontend::context::FrontendContext;
use crate::server::frontend::rpc::{MAX_BODY_BYTES, MAX_WORK_HINT_MULTIPLE, REQUEST_MEMORY_LIMIT_KB};
use crate::server::observability::counters::count;
use crate::server::sync::Notify;

/// Longest packet with its head of four bytes, bytes.
const MAX_PACKET_BYTES: usize = 8192;
const PACKET_HEADER_BYTES: usize = 4;
/// Most bytes of a body in one packet to the front end: its head, its code and a length take the rest.
const MAX_BODY_CHUNK_BYTES: usize = MAX_PACKET_BYTES - PACKET_HEADER_BYTES - 3;
/// Most headers of a request, and longest header value that the core gets to see, bytes.
const MAX_HEADERS: usize = 128;
const MAX_TOKEN_BYTES: usize = 64;

const FORWARD_REQUEST: u8 = 2;
const SEND_BODY_CHUNK: u8 = 3;
const SEND_HEADERS: u8 = 4;
const END_RESPONSE: u8 = 5;
const GET_BODY_CHUNK: u8 = 6;
const SHUTDOWN: u8 = 7;
const CPONG: u8 = 9;
const CPING: u8 = 10;

/// What the operators set for this front.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// What a front end has to know, if anything.
    pub secret: Option<String>,
    /// Memory booked for a request that does not tell its own, kB.
    pub mem_kb: f64,
    /// The names of requests are made from it.
    pub seed: u64,
}

// ---- packets ----

/// Why bytes are no AJP13.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketError {
    /// It does not begin with the mark of a packet from a front end.
    Mark,
    /// Longer than a packet may be.
    TooLong,
    /// It ends before what it announces, or goes on after it.
    Length,
    /// Text that is not UTF-8 or not ended by a zero.
    Text,
    /// A code that no packet, header or attribute has.
    Code,
}

impl PacketError {
    /// Reason code for the log.
    pub fn code(self) -> &'static str {
        match self {
            PacketError::Mark => "bad-mark",
            PacketError::TooLong => "packet-too-long",
            PacketError::Length => "bad-length",
            PacketError::Text => "bad-text",
            PacketError::Code => "bad-code",
        }
    }
}

/// Takes the payload of one whole packet off the front of `input`, or nothing if it is not all there yet.
pub fn take_packet(input: &mut Vec<u8>) -> Result<Option<Vec<u8>>, PacketError> {
    if !input.starts_with(&[0x12, 0x34][..input.len().min(2)]) {
        return Err(PacketError::Mark);
    }
    let Some(head) = input.get(..PACKET_HEADER_BYTES) else { return Ok(None) };
    let end = PACKET_HEADER_BYTES + usize::from(u16::from_be_bytes([head[2], head[3]]));
    if end > MAX_PACKET_BYTES {
        return Err(PacketError::TooLong);
    }
    let Some(payload) = input.get(PACKET_HEADER_BYTES..end) else { return Ok(None) };
    let payload = payload.to_vec();
    input.drain(..end);
    Ok(Some(payload))
}

/// The data of a body packet; an empty packet ends the body.
pub fn body_data(payload: &[u8]) -> Result<&[u8], PacketError> {
    let Some((length, data)) = payload.split_first_chunk::<2>() else {
        return if payload.is_empty() { Ok(&[]) } else { Err(PacketError::Length) };
    };
    if data.len() == usize::from(u16::from_be_bytes(*length)) { Ok(data) } else { Err(PacketError::Length) }
}

struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], PacketError> {
        let (head, rest) = self.0.split_at_checked(n).ok_or(PacketError::Length)?;
        self.0 = rest;
        Ok(head)
    }

    fn byte(&mut self) -> Result<u8, PacketError> {
        Ok(self.bytes(1)?[0])
    }

    fn integer(&mut self) -> Result<u16, PacketError> {
        let b = self.bytes(2)?;
        Ok(u16::from_be_bytes([b[0], b[1]]))
    }

    /// Text with its length in front and a zero behind; a length of 0xffff stands for none.
    fn text(&mut self) -> Result<&'a str, PacketError> {
        let n = self.integer()?;
        self.text_of(n)
    }

    fn text_of(&mut self, n: u16) -> Result<&'a str, PacketError> {
        if n == 0xffff {
            return Ok("");
        }
        let text = self.bytes(usize::from(n))?;
        if self.byte()? != 0 {
            return Err(PacketError::Text);
        }
        std::str::from_utf8(text).map_err(|_| PacketError::Text)
    }
}

/// The head of a request, as far as it matters here.
#[derive(Debug, Default, PartialEq)]
pub struct Forward {
    method: u8,
    path: String,
    /// Lower-case names.
    headers: Vec<(String, String)>,
    secret: Option<String>,
}

const HEADER_NAMES: [&str; 14] = [
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

/// Reads the payload of a Forward Request, its code included.
pub fn forward(payload: &[u8]) -> Result<Forward, PacketError> {
    let mut reader = Reader(payload);
    if reader.byte()? != FORWARD_REQUEST {
        return Err(PacketError::Code);
    }
    let method = reader.byte()?;
    let _protocol = reader.text()?;
    let path = reader.text()?.to_owned();
    for _address_host_server in 0..3 {
        reader.text()?;
    }
    let _port = reader.integer()?;
    let _is_ssl = reader.byte()?;
    let count = usize::from(reader.integer()?);
    if count > MAX_HEADERS {
        return Err(PacketError::TooLong);
    }
    let mut headers = Vec::new();
    for _ in 0..count {
        let name = match reader.integer()? {
            coded if coded >> 8 == 0xa0 => {
                let at = usize::from(coded & 0xff).checked_sub(1);
                at.and_then(|at| HEADER_NAMES.get(at)).ok_or(PacketError::Code)?.to_string()
            }
            n => reader.text_of(n)?.to_ascii_lowercase(),
        };
        headers.push((name, reader.text()?.to_owned()));
    }
    let mut secret = None;
    loop {
        match reader.byte()? {
            0xff => break,
            // A request attribute of the front end's own: a name and a value.
            0x0a => {
                reader.text()?;
                reader.text()?;
            }
            // The size of a TLS key is the one value that is a number.
            0x0b => {
                reader.integer()?;
            }
            0x0c => secret = Some(reader.text()?.to_owned()),
            0x01..=0x0d => {
                reader.text()?;
            }
            _ => return Err(PacketError::Code),
        }
    }
    if reader.0.is_empty() { Ok(Forward { method, path, headers, secret }) } else { Err(PacketError::Length) }
}

/// How much body follows a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// That many bytes; the first packet of them comes unasked.
    Known(usize),
    /// Until an empty packet; every packet is asked for.
    Open,
}

/// Why a request that is well framed is not one for the core: its HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status(pub u16);

impl Forward {
    fn header(&self, name: &str) -> Result<Option<&str>, Status> {
        let mut found = self.headers.iter().filter(|(n, _)| n == name);
        match (found.next(), found.next()) {
            (Some((_, value)), None) => Ok(Some(value.as_str())),
            (None, _) => Ok(None),
            // Given twice, it says nothing sure.
            _ => Err(Status(400)),
        }
    }

    fn number(&self, name: &str) -> Result<Option<f64>, Status> {
        let Some(word) = self.header(name)? else { return Ok(None) };
        let value = word.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        value.map(Some).ok_or(Status(400))
    }

    fn word(&self, name: &str) -> Result<Option<&str>, Status> {
        let word = self.header(name)?;
        let fits =
            |w: &str| (1..=MAX_TOKEN_BYTES).contains(&w.len()) && w.bytes().all(|b| b.is_ascii_graphic());
        if word.is_none_or(fits) { Ok(word) } else { Err(Status(400)) }
    }

    /// How much body follows.
    pub fn body_length(&self) -> Result<BodyLength, Status> {
        match (self.header("content-length")?, self.header("transfer-encoding")?) {
            (Some(n), None) if n.bytes().all(|b| b.is_ascii_digit()) => {
                n.parse().map(BodyLength::Known).map_err(|_| Status(400))
            }
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(BodyLength::Open),
            (None, None) => Ok(BodyLength::Known(0)),
            _ => Err(Status(400)),
        }
    }

    /// The request for the core, without its body and its caller.
    fn request(&self, site: &Site, now_ms: f64, secret: Option<&str>) -> Result<Head, Status> {
        if secret.is_some() && secret != self.secret.as_deref() {
            return Err(Status(403));
        }
        // GET and POST; all others ask for something that is not offered.
        if !matches!(self.method, 2 | 4) {
            return Err(Status(400));
        }
        let name = self.path.strip_prefix('/').unwrap_or_default();
        let class = site.class_of(name, now_ms).ok_or(Status(404))?;
        let token = self.word("token")?;
        if site.settings.classes[class].idempotency == Idempotency::Keyed && token.is_none() {
            return Err(Status(400));
        }
        let est_ms = self.number("est")?;
        let mem_kb = self.number("mem")?;
        let est_below = site.settings.classes[class].timeout_ms * MAX_WORK_HINT_MULTIPLE;
        // As strict as the other front: what is out of range is not clamped, it is nobody's figure.
        let out_of = |value: Option<f64>, below: f64| value.is_some_and(|v| v <= 0.0 || v >= below);
        if out_of(est_ms, est_below) || out_of(mem_kb, REQUEST_MEMORY_LIMIT_KB) {
            return Err(Status(400));
        }
        Ok(Head {
            class,
            again: self.header("again")? == Some("1"),
            est_ms,
            mem_kb,
            token: token.map(str::to_owned),
            subject: self.word("obj")?.map(str::to_owned),
        })
    }
}

struct Head {
    class: usize,
    again: bool,
    est_ms: Option<f64>,
    mem_kb: Option<f64>,
    token: Option<String>,
    subject: Option<String>,
}

// ---- responses ----

fn packet(out: &mut Vec<u8>, fill: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0x41, 0x42, 0, 0]);
    fill(out);
    let length = (out.len() - start - PACKET_HEADER_BYTES) as u16;
    out[start + 2..start + PACKET_HEADER_BYTES].copy_from_slice(&length.to_be_bytes());
}

fn text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(&(text.len() as u16).to_be_bytes());
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        413 => "Content Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// Writes a whole response: its headers, its body in chunks, its end.
fn response(out: &mut Vec<u8>, status: u16, headers: &[(&str, String)], body: &[u8], reuse: bool) {
    packet(out, |out| {
        out.push(SEND_HEADERS);
        out.extend_from_slice(&status.to_be_bytes());
        text(out, reason_phrase(status));
        out.extend_from_slice(&(headers.len() as u16 + 1).to_be_bytes());
        // The one coded name that is used: Content-Length.
        out.extend_from_slice(&[0xa0, 0x03]);
        text(out, &body.len().to_string());
        for (name, value) in headers {
            text(out, name);
            text(out, value);
        }
    });
    for chunk in body.chunks(MAX_BODY_CHUNK_BYTES) {
        packet(out, |out| {
            out.push(SEND_BODY_CHUNK);
            out.extend_from_slice(&(chunk.len() as u16).to_be_bytes());
            out.extend_from_slice(chunk);
        });
    }
    packet(out, |out| out.extend_from_slice(&[END_RESPONSE, u8::from(reuse)]));
}

// ---- connections ----

struct Connection {
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
    writer: WriteHalf,
    /// The request that waits for its answer, if one does.
    open: Cell<Option<u64>>,
    answered: Notify,
}

impl Connection {
    fn respond(&self, status: u16, mut headers: Vec<(&str, String)>, body: &[u8], reuse: bool) {
        headers.extend(self.context.status.load_report.get().map(|value| ("hint", format!("{value:.4}"))));
        self.state.last_active_ms.set(self.context.clock.now());
        self.writer.push(|out| response(out, status, &headers, body, reuse));
    }
}

impl Caller for Connection {
    fn id(&self) -> u64 {
        self.state.id
    }

    fn answer(&self, correlation_id: u64, reply: &Reply) {
        if self.open.get() != Some(correlation_id) {
            return;
        }
        self.open.set(None);
        self.state.answered.set(self.state.answered.get() + 1);
        let reuse = !self.state.is_going_away();
        match reply {
            Reply::Served(result) => {
                let kind = vec![("Content-Type", "application/octet-stream".to_owned())];
                self.respond(200, kind, result, reuse);
            }
            Reply::Rejected { retry_after_ms, last, .. } => {
                let seconds = (retry_after_ms / 1000.0).ceil().max(1.0);
                let mut headers = vec![("Retry-After", format!("{seconds:.0}"))];
                headers.extend(last.then(|| ("final", "1".to_owned())));
                self.respond(503, headers, b"", reuse);
            }
            Reply::Failed { late, .. } => self.respond(if *late { 504 } else { 500 }, Vec::new(), b"", reuse),
        }
        self.answered.wake();
    }

    fn go_away(&self) {
        // An idle connection goes now; the front end opens another elsewhere. A request whose body is on its
        // way was not read and holds up nothing, but is given the time to become one.
        self.state.mark_going_away_unannounced(self.context.clock.now());
    }

    fn go_away_if_idle(&self, since_ms: f64) {
        if self.state.last_active_ms.get() < since_ms && !self.state.request_in_flight.get() {
            self.go_away();
        }
    }
}

/// Serves one connection to its end; returns the reason code.
pub async fn serve(
    stream: Rc<Async<TcpStream>>,
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
    options: Rc<Options>,
) -> &'static str {
    let connection = Rc::new(Connection {
        state,
        context: context.clone(),
        writer: WriteHalf::new(context.clone()),
        open: Cell::new(None),
        answered: Notify::default(),
    });
    let _ = context.queue.send(CoreInput::ConnectionOpened(connection.clone())).await;
    let mut input =
        PacketReader { reader: ReadHalf::new(stream.clone(), connection.state.clone(), context.clone()) };
    let reading = converse(&mut input, &connection, &options);
    let nothing_open = || connection.open.get().is_none();
    connection::run(&stream, &connection.state, &context, &connection.writer, reading, nothing_open).await
}

/// The reading half: packets as they are whole.
struct PacketReader {
    reader: ReadHalf,
}

impl PacketReader {
    /// The next packet. One that has begun must be whole in time; with `until` the wait for it ends too.
    async fn packet(&mut self, connection: &Connection, until: Option<f64>) -> Result<Vec<u8>, CloseReason> {
        let mut until = until;
        loop {
            let bytes = &mut self.reader.bytes;
            if let Some(payload) = take_packet(bytes).map_err(|e| CloseReason::ProtocolError(e.code()))? {
                return Ok(payload);
            }
            if until.is_none() && !bytes.is_empty() {
                until = Some(connection.context.clock.now() + MESSAGE_TIMEOUT_MS);
            }
            self.reader.read_more(&connection.writer, until).await?;
        }
    }
}

async fn converse(input: &mut PacketReader, connection: &Rc<Connection>, options: &Options) -> CloseReason {
    let context = &connection.context;
    loop {
        let payload = match input.packet(connection, None).await {
            Ok(payload) => payload,
            Err(stop) => return stop,
        };
        connection.state.message_received(context.clock.now());
        match payload.first() {
            Some(&CPING) if payload.len() == 1 => {
                count(&context.counters.pings);
                connection.writer.push(|out| packet(out, |out| out.push(CPONG)));
            }
            // Anyone who can connect could send it; SIGTERM is the way to stop this process.
            Some(&SHUTDOWN) => {}
            Some(&FORWARD_REQUEST) => {
                connection.state.request_in_flight.set(true);
                let end = request(input, connection, options, &payload).await;
                connection.state.request_in_flight.set(false);
                match end {
                    Ok(()) if connection.state.is_going_away() => return CloseReason::Graceful("drained"),
                    Ok(()) => {}
                    Err(stop) => return stop,
                }
            }
            _ => return CloseReason::ProtocolError("bad-code"),
        }
        connection.writer.ready().await;
        future::yield_now().await;
    }
}

/// One request from its head to its answer.
async fn request(
    input: &mut PacketReader,
    connection: &Rc<Connection>,
    options: &Options,
    payload: &[u8],
) -> Result<(), CloseReason> {
    let context = &connection.context;
    let arrived_ms = context.clock.now();
    let correlation_id = connection.state.read.get() + 1;
    connection.state.read.set(correlation_id);
    let bad = |status: u16, reuse: bool| {
        count(&context.counters.bad_requests);
        connection.state.answered.set(connection.state.answered.get() + 1);
        connection.respond(status, Vec::new(), b"", reuse && !connection.state.is_going_away());
        // Without reuse the rest of the body may be under way, and nothing after it can be made out.
        if reuse { Ok(()) } else { Err(CloseReason::Graceful("bad-request")) }
    };
    let forward = forward(payload).map_err(|e| CloseReason::ProtocolError(e.code()))?;
    let length = match forward.body_length() {
        Ok(length) => length,
        Err(Status(status)) => return bad(status, false),
    };
    let site = context.active_settings.site();
    let head = match forward.request(&site, arrived_ms, options.secret.as_deref()) {
        Ok(head) => head,
        Err(Status(status)) => return bad(status, length == BodyLength::Known(0) && status != 403),
    };
    let until = arrived_ms + site.settings.classes[head.class].timeout_ms;
    let mut body = Vec::new();
    let body_length = match length {
        BodyLength::Known(n) if n > MAX_BODY_BYTES => return bad(413, false),
        BodyLength::Known(n) => n,
        BodyLength::Open => usize::MAX,
    };
    let mut unasked = body_length != usize::MAX;
    while body.len() < body_length {
        if !std::mem::take(&mut unasked) {
            let max_bytes = body_length.saturating_sub(body.len()).min(MAX_BODY_BYTES + 1) as u16;
            connection.writer.push(|out| {
                packet(out, |out| {
                    out.push(GET_BODY_CHUNK);
                    out.extend_from_slice(&max_bytes.to_be_bytes());
                });
            });
        }
        let payload =
            input.packet(connection, Some(until.min(context.clock.now() + MESSAGE_TIMEOUT_MS))).await?;
        let data = body_data(&payload).map_err(|e| CloseReason::ProtocolError(e.code()))?;
        if data.is_empty() {
            if body_length == usize::MAX {
                break;
            }
            // The front end's own client broke off: what there is of the request is not the request.
            return bad(400, false);
        }
        body.extend_from_slice(data);
        if body.len() > body_length {
            return Err(CloseReason::ProtocolError("bad-length"));
        }
        if body.len() > MAX_BODY_BYTES {
            return bad(413, false);
        }
    }
    connection.open.set(Some(correlation_id));
    let arrival = Arrival {
        caller: connection.clone(),
        front: pinepoint_events::Protocol::Ajp,
        correlation_id,
        attempt_id: name(options.seed, connection.state.id, correlation_id),
        class: head.class,
        arrived_ms,
        again: head.again,
        est_ms: head.est_ms,
        mem_kb: head.mem_kb.unwrap_or(options.mem_kb),
        token: head.token,
        subject: head.subject,
        tenant: None,
        body,
    };
    let _ = context.queue.send(CoreInput::RequestReceived(Box::new(arrival))).await;
    while connection.open.get().is_some() {
        let answered = async {
            connection.answered.wait().await;
            Ok(())
        };
        // Read on only to hear of a front end that leaves: it has nothing to say before the answer.
        match future::or(answered, input.reader.read_more(&connection.writer, None)).await {
            Ok(()) => {}
            // Nothing more is taken in; what was read is still answered.
            Err(CloseReason::Finishing) => return Err(CloseReason::Finishing),
            Err(stop) => {
                connection.open.set(None);
                let _ = context
                    .queue
                    .send(CoreInput::CallerGone { caller: connection.state.id, correlation_id })
                    .await;
                return Err(stop);
            }
        }
        if input.reader.bytes.len() > MAX_PACKET_BYTES {
            return Err(CloseReason::ProtocolError("unasked-data"));
        }
    }
    Ok(())
}

/// A name for a try, unlike any other of this process: its place in a row, scrambled one to one.
fn name(seed: u64, connection: u64, correlation_id: u64) -> String {
    let mut x = seed ^ (connection << 32 | correlation_id & 0xffff_ffff);
    for _ in 0..2 {
        x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    format!("{:016x}", x ^ (x >> 29))
}
