//! The thin MessagePack-RPC front. It owns the routers' connections and their wire: framing, fields, message
//! ids, writer queues. It must never decide about a request: what is well formed goes to the core.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
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
use crate::server::observability::counters::count;

/// Longest body of a request, bytes.
pub const MAX_BODY_BYTES: usize = 2048;
/// Longest message, bytes: the longest body and ample fields.
const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 4096;
/// Nesting of a message: itself, its parameters, its fields, their names.
const MAX_NESTING_DEPTH: u32 = 4;
/// Memory that no request may book while it is held, kB.
pub const REQUEST_MEMORY_LIMIT_KB: f64 = 2000.0;
/// Largest hint of work that is believed, as a multiple of the time its caller waits.
pub const MAX_WORK_HINT_MULTIPLE: f64 = 100.0;
/// Requests that may be open on one connection.
const MAX_IN_FLIGHT_REQUESTS: usize = 32;

// ---- MessagePack ----

/// A value of a message, borrowed from its bytes.
#[derive(Debug, PartialEq)]
pub enum Value<'a> {
    /// Nil.
    Nil,
    /// True or false.
    Bool(bool),
    /// An unsigned integer.
    Uint(u64),
    /// Text.
    Str(&'a str),
    /// Bytes.
    Bin(&'a [u8]),
    /// A row.
    Array(Vec<Value<'a>>),
    /// Pairs in their order.
    Map(Vec<(Value<'a>, Value<'a>)>),
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// It goes on; not wrong yet.
    Short,
    /// Longer than any message may be.
    TooLong,
    /// Nested too deeply.
    TooDeep,
    /// A type that no message holds, or text that is not UTF-8.
    Type,
    /// Well-formed MessagePack that is no call of this protocol.
    Shape,
    /// A message id that does not count upward.
    Id,
    /// More open requests than allowed.
    TooManyOpen,
}

impl FrameError {
    /// Reason code for the log.
    pub fn code(self) -> &'static str {
        match self {
            FrameError::Short => "cut-off",
            FrameError::TooLong => "message-too-long",
            FrameError::TooDeep => "message-too-deep",
            FrameError::Type => "bad-type",
            FrameError::Shape => "bad-message",
            FrameError::Id => "bad-message-id",
            FrameError::TooManyOpen => "too-many-open",
        }
    }
}

/// Reads values off a slice.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn bytes(&mut self, n: usize) -> Result<&'a [u8], FrameError> {
        if n > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong);
        }
        let (head, rest) = self.0.split_at_checked(n).ok_or(FrameError::Short)?;
        self.0 = rest;
        Ok(head)
    }

    fn number(&mut self, n: usize) -> Result<u64, FrameError> {
        Ok(self.bytes(n)?.iter().fold(0, |sum, b| (sum << 8) | u64::from(*b)))
    }

    fn length(&mut self, n: usize) -> Result<usize, FrameError> {
        usize::try_from(self.number(n)?).map_err(|_| FrameError::TooLong)
    }

    fn value(&mut self, depth: u32) -> Result<Value<'a>, FrameError> {
        if depth == 0 {
            return Err(FrameError::TooDeep);
        }
        let tag = self.bytes(1)?[0];
        match tag {
            0x00..=0x7f => Ok(Value::Uint(u64::from(tag))),
            0x80..=0x8f => self.map(usize::from(tag & 0x0f), depth),
            0x90..=0x9f => self.array(usize::from(tag & 0x0f), depth),
            0xa0..=0xbf => self.text(usize::from(tag & 0x1f)),
            0xc0 => Ok(Value::Nil),
            0xc2 | 0xc3 => Ok(Value::Bool(tag == 0xc3)),
            0xc4..=0xc6 => {
                let n = self.length(1 << (tag - 0xc4))?;
                Ok(Value::Bin(self.bytes(n)?))
            }
            0xcc..=0xcf => Ok(Value::Uint(self.number(1 << (tag - 0xcc))?)),
            0xd9..=0xdb => {
                let n = self.length(1 << (tag - 0xd9))?;
                self.text(n)
            }
            0xdc | 0xdd => {
                let n = self.length(2 << (tag - 0xdc))?;
                self.array(n, depth)
            }
            0xde | 0xdf => {
                let n = self.length(2 << (tag - 0xde))?;
                self.map(n, depth)
            }
            _ => Err(FrameError::Type),
        }
    }

    fn text(&mut self, n: usize) -> Result<Value<'a>, FrameError> {
        std::str::from_utf8(self.bytes(n)?).map(Value::Str).map_err(|_| FrameError::Type)
    }

    // A count is believed only as far as bytes are there for it: each value takes one at the least.
    fn array(&mut self, n: usize, depth: u32) -> Result<Value<'a>, FrameError> {
        if n > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong);
        }
        let mut row = Vec::new();
        for _ in 0..n {
            row.push(self.value(depth - 1)?);
        }
        Ok(Value::Array(row))
    }

    fn map(&mut self, n: usize, depth: u32) -> Result<Value<'a>, FrameError> {
        if n > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong);
        }
        let mut pairs = Vec::new();
        for _ in 0..n {
            pairs.push((self.value(depth - 1)?, self.value(depth - 1)?));
        }
        Ok(Value::Map(pairs))
    }
}

/// Reads one value off the front of `input`: it and its length, or nothing if it is not all there.
pub fn read_value(input: &[u8]) -> Result<Option<(Value<'_>, usize)>, FrameError> {
    let mut reader = Reader(input);
    match reader.value(MAX_NESTING_DEPTH) {
        Ok(value) if input.len() - reader.0.len() <= MAX_MESSAGE_BYTES => {
            Ok(Some((value, input.len() - reader.0.len())))
        }
        Err(FrameError::Short) if input.len() <= MAX_MESSAGE_BYTES => Ok(None),
        Ok(_) | Err(FrameError::Short) => Err(FrameError::TooLong),
        Err(error) => Err(error),
    }
}

fn write_uint(out: &mut Vec<u8>, n: u64) {
    let be = n.to_be_bytes();
    match n {
        0..=0x7f => out.push(be[7]),
        0x80..=0xff => out.extend_from_slice(&[0xcc, be[7]]),
        0x100..=0xffff => out.extend_from_slice(&[0xcd, be[6], be[7]]),
        0x1_0000..=0xffff_ffff => {
            out.push(0xce);
            out.extend_from_slice(&be[4..]);
        }
        _ => {
            out.push(0xcf);
            out.extend_from_slice(&be);
        }
    }
}

fn write_str(out: &mut Vec<u8>, text: &str) {
    match u8::try_from(text.len()) {
        Ok(n) if n < 32 => out.push(0xa0 | n),
        Ok(n) => out.extend_from_slice(&[0xd9, n]),
        Err(_) => {
            out.push(0xda);
            out.extend_from_slice(&(text.len() as u16).to_be_bytes());
        }
    }
    out.extend_from_slice(text.as_bytes());
}

fn write_bin(out: &mut Vec<u8>, bytes: &[u8]) {
    match u16::try_from(bytes.len()) {
        Ok(n) if n < 256 => out.extend_from_slice(&[0xc4, n as u8]),
        Ok(n) => {
            out.push(0xc5);
            out.extend_from_slice(&n.to_be_bytes());
        }
        Err(_) => {
            out.push(0xc6);
            out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        }
    }
    out.extend_from_slice(bytes);
}

/// The head of an answer, up to its error.
fn write_head(out: &mut Vec<u8>, id: u64) {
    out.extend_from_slice(&[0x94, 0x01]);
    write_uint(out, id);
}

fn write_fields(out: &mut Vec<u8>, fields: &[(&str, String)]) {
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        write_str(out, name);
        write_str(out, value);
    }
}

// ---- messages ----

/// A message of a router.
#[derive(Debug)]
pub enum Message {
    /// A request; `Err` if it is well framed but unusable, with the error's name.
    Request(u64, Result<Box<Fields>, &'static str>),
    /// A health check.
    Ping(u64),
    /// A request is given up.
    Abort(u64),
}

/// The parts of a request, before it is tied to a connection.
#[derive(Debug)]
pub struct Fields {
    attempt_id: String,
    class: usize,
    arrived_ms: f64,
    again: bool,
    est_ms: Option<f64>,
    mem_kb: f64,
    token: Option<String>,
    subject: Option<String>,
    tenant: Option<usize>,
    body: Vec<u8>,
}

/// Reads one message off the front of `input`.
pub fn take_message(input: &mut Vec<u8>, site: &Site, now_ms: f64) -> Result<Option<Message>, FrameError> {
    let Some((value, used)) = read_value(input)? else { return Ok(None) };
    let message = message(value, site, now_ms)?;
    input.drain(..used);
    Ok(Some(message))
}

fn message(value: Value<'_>, site: &Site, now_ms: f64) -> Result<Message, FrameError> {
    let Value::Array(parts) = value else { return Err(FrameError::Shape) };
    match parts.as_slice() {
        [Value::Uint(2), Value::Str("abort"), Value::Array(ids)] => match ids.as_slice() {
            [Value::Uint(id)] => Ok(Message::Abort(*id)),
            _ => Err(FrameError::Shape),
        },
        [Value::Uint(0), Value::Uint(id), Value::Str("ping"), Value::Array(_)] => Ok(Message::Ping(*id)),
        [Value::Uint(0), Value::Uint(id), Value::Str(method), Value::Array(params)] => {
            match params.as_slice() {
                [Value::Map(pairs), Value::Bin(body)] => {
                    Ok(Message::Request(*id, fields(method, pairs, body, site, now_ms).map(Box::new)))
                }
                _ => Err(FrameError::Shape),
            }
        }
        _ => Err(FrameError::Shape),
    }
}

fn fields(
    method: &str,
    pairs: &[(Value<'_>, Value<'_>)],
    body: &[u8],
    site: &Site,
    now_ms: f64,
) -> Result<Fields, &'static str> {
    let class = site.class_of(method, now_ms).ok_or("NoMethod")?;
    if body.len() > MAX_BODY_BYTES {
        return Err("TooLarge");
    }
    let text = |name: &str| {
        let mut found = pairs.iter().filter(|(key, _)| *key == Value::Str(name));
        match (found.next(), found.next()) {
            (None, _) => Ok(None),
            (Some((_, Value::Str(value))), None) => Ok(Some(*value)),
            _ => Err("BadField"),
        }
    };
    let number = |name: &str| match text(name)? {
        None => Ok(None),
        Some(word) => {
            word.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0).map(Some).ok_or("BadField")
        }
    };
    // What is out of range is no router's: believed or clamped, it would book memory and work that nobody asked
    // for. Every field has to be right, also the ones that nothing here uses.
    let within = |name: &str, least: f64, below: f64| {
        let value = number(name)?;
        if value.is_none_or(|v| v >= least && v < below) { Ok(value) } else { Err("BadField") }
    };
    let hex = |word: &str, n: usize| word.len() == n && word.bytes().all(|b| b.is_ascii_hexdigit());
    let attempt_id = text("rid")?.filter(|word| hex(word, 16)).ok_or("BadField")?;
    let settings = &site.settings.classes[class];
    let keyed = settings.idempotency == Idempotency::Keyed;
    let (token, subject, again) = (text("token")?, text("obj")?, text("again")?);
    let fits = |word: Option<&str>| word.is_none_or(|w| (1..=64).contains(&w.len()));
    if keyed && token.is_none() || !fits(token) || !fits(subject) || again.is_some_and(|word| word != "1") {
        return Err("BadField");
    }
    let est_ms = within("est", f64::MIN_POSITIVE, settings.timeout_ms * MAX_WORK_HINT_MULTIPLE)?;
    let mem_kb = within("mem", f64::MIN_POSITIVE, REQUEST_MEMORY_LIMIT_KB)?.unwrap_or(0.0);
    within("prio", 0.0, 1.0)?;
    within("peer", 0.0, f64::INFINITY)?;
    Ok(Fields {
        attempt_id: attempt_id.to_owned(),
        class,
        arrived_ms: number("t0")?.ok_or("BadField")?,
        again: again.is_some(),
        est_ms,
        mem_kb,
        token: token.map(str::to_owned),
        subject: subject.map(str::to_owned),
        tenant: text("acct")?.and_then(|name| site.tenant_of(name, now_ms)),
        body: body.to_vec(),
    })
}

// ---- connections ----

struct Connection {
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
    writer: WriteHalf,
    open: RefCell<BTreeSet<u64>>,
    last_id: Cell<u64>,
}

impl Connection {
    /// The fields that go with every answer.
    fn hint(&self) -> Vec<(&'static str, String)> {
        self.context
            .status
            .load_report
            .get()
            .map(|value| ("hint", format!("{value:.4}")))
            .into_iter()
            .collect()
    }

    /// Takes a request off those that are open; tells whether it was.
    fn close(&self, id: u64) -> bool {
        let was_open = self.open.borrow_mut().remove(&id);
        self.state.request_in_flight.set(!self.open.borrow().is_empty());
        was_open
    }

    fn error(&self, id: u64, name: &str, extra: Vec<(&'static str, String)>) {
        let mut fields = self.hint();
        fields.extend(extra);
        self.writer.push(|out| {
            write_head(out, id);
            out.push(0x92);
            write_str(out, name);
            write_fields(out, &fields);
            out.push(0xc0);
        });
    }
}

impl Caller for Connection {
    fn id(&self) -> u64 {
        self.state.id
    }

    fn answer(&self, correlation_id: u64, reply: &Reply) {
        // Nothing is owed to a request that was given up, and nothing twice to any.
        if !self.close(correlation_id) {
            return;
        }
        self.state.last_active_ms.set(self.context.clock.now());
        self.state.answered.set(self.state.answered.get() + 1);
        match reply {
            Reply::Served(result) => {
                let fields = self.hint();
                self.writer.push(|out| {
                    write_head(out, correlation_id);
                    out.extend_from_slice(&[0xc0, 0x92]);
                    write_bin(out, result);
                    write_fields(out, &fields);
                });
            }
            Reply::Rejected { retry_after_ms, last, .. } => {
                let mut extra = Vec::new();
                if *retry_after_ms > 0.0 {
                    extra.push(("backoff", format!("{:.0}", retry_after_ms.ceil())));
                }
                if *last {
                    extra.push(("final", "1".to_owned()));
                }
                self.error(correlation_id, "Busy", extra);
            }
            Reply::Failed { .. } => self.error(correlation_id, "Failed", Vec::new()),
        }
    }

    fn go_away(&self) {
        if self.state.mark_go_away_sent(self.context.clock.now()) {
            self.writer.push(|out| {
                out.extend_from_slice(&[0x93, 0x02]);
                write_str(out, "goaway");
                out.push(0x90);
            });
        }
    }

    fn go_away_if_idle(&self, since_ms: f64) {
        if self.state.last_active_ms.get() < since_ms && !self.state.request_in_flight.get() {
            self.go_away();
        }
    }
}

/// Serves one connection to its end.
pub async fn serve(
    stream: Rc<Async<TcpStream>>,
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
) -> &'static str {
    let connection = Rc::new(Connection {
        state,
        context: context.clone(),
        writer: WriteHalf::new(context.clone()),
        open: RefCell::new(BTreeSet::new()),
        last_id: Cell::new(0),
    });
    let _ = context.queue.send(CoreInput::ConnectionOpened(connection.clone())).await;
    let mut reader = ReadHalf::new(stream.clone(), connection.state.clone(), context.clone());
    let reading = read(&mut reader, &connection);
    let nothing_open = || connection.open.borrow().is_empty();
    connection::run(&stream, &connection.state, &context, &connection.writer, reading, nothing_open).await
}

async fn read(reader: &mut ReadHalf, connection: &Rc<Connection>) -> CloseReason {
    let context = &connection.context;
    // When the message began whose first part is all there is.
    let mut part_ms = None;
    loop {
        if let Err(stop) =
            reader.read_more(&connection.writer, part_ms.map(|began: f64| began + MESSAGE_TIMEOUT_MS)).await
        {
            return stop;
        }
        loop {
            match take_message(&mut reader.bytes, &context.active_settings.site(), context.clock.now()) {
                Ok(None) => break,
                Ok(Some(message)) => {
                    part_ms = None;
                    connection.state.message_received(context.clock.now());
                    if let Err(error) = handle(message, connection).await {
                        return CloseReason::ProtocolError(error.code());
                    }
                }
                Err(error) => return CloseReason::ProtocolError(error.code()),
            }
        }
        part_ms = (!reader.bytes.is_empty()).then(|| part_ms.unwrap_or(context.clock.now()));
        connection.writer.ready().await;
        future::yield_now().await;
    }
}

async fn handle(message: Message, connection: &Rc<Connection>) -> Result<(), FrameError> {
    let context = &connection.context;
    match message {
        Message::Abort(id) => {
            if connection.close(id) {
                let _ = context
                    .queue
                    .send(CoreInput::CallerGone { caller: connection.state.id, correlation_id: id })
                    .await;
            }
        }
        Message::Ping(id) => {
            next_id(connection, id)?;
            count(&context.counters.pings);
            let fields = connection.hint();
            let good = context.status.healthy.get();
            connection.writer.push(|out| {
                write_head(out, id);
                out.extend_from_slice(&[0xc0, 0x92, if good { 0xc3 } else { 0xc2 }]);
                write_fields(out, &fields);
            });
        }
        Message::Request(id, fields) => {
            next_id(connection, id)?;
            match fields {
                Err(name) => {
                    count(&context.counters.bad_requests);
                    connection.error(id, name, Vec::new());
                }
                Ok(fields) => {
                    if connection.open.borrow().len() >= MAX_IN_FLIGHT_REQUESTS {
                        return Err(FrameError::TooManyOpen);
                    }
                    connection.open.borrow_mut().insert(id);
                    connection.state.request_in_flight.set(true);
                    let arrival = Arrival {
                        caller: connection.clone(),
                        front: pinepoint_events::Protocol::Rpc,
                        correlation_id: id,
                        attempt_id: fields.attempt_id,
                        class: fields.class,
                        arrived_ms: fields.arrived_ms,
                        again: fields.again,
                        est_ms: fields.est_ms,
                        mem_kb: fields.mem_kb,
                        token: fields.token,
                        subject: fields.subject,
                        tenant: fields.tenant,
                        body: fields.body,
                    };
                    let _ = context.queue.send(CoreInput::RequestReceived(Box::new(arrival))).await;
                }
            }
        }
    }
    Ok(())
}

fn next_id(connection: &Connection, id: u64) -> Result<(), FrameError> {
    connection.state.read.set(connection.state.read.get() + 1);
    if id <= connection.last_id.replace(id) { Err(FrameError::Id) } else { Ok(()) }
}
