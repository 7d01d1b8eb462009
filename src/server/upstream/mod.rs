//! The node's own connections: to the engine, the store and the membership service. It owns their sockets,
//! their wire and their reconnecting; it must never decide anything, keep requests, or run a command twice.
//! What a broken link leaves uncertain is told to the core as just that.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use pinepoint_clock::Clock;

use crate::admission::Outcome;
use crate::server::control::status::Status;
use crate::server::core::api::{self, CoreInput, RunResult};
use crate::server::observability::counters::{Counters, count};
use crate::server::sync::Notify;
use crate::server::write_buffer::WriteBuffer;

/// Longest line that is read, bytes.
const LINE_MOST: usize = 512;
/// Longest body that follows a line, bytes: results are limited to 4 KiB, replies to nothing.
const BODY_MOST: usize = 64 * 1024;
/// Wait before a link is made again, ms, doubled up to the longest.
const RETRY_MS: f64 = 20.0;
const RETRY_MOST_MS: f64 = 500.0;
/// Wait for a connection, ms: longer than any loopback takes, and short beside what callers wait.
const CONNECT_MS: f64 = 1000.0;
/// Idle time after which a connection to the store is not used again, ms. The store closes or forgets idle ones
/// long before the 10 s it promises, and a call written into that ends uncertain: of those used again within
/// 500 ms 161 had been forgotten in 20 s of a bad day, within 100 ms 8. Under load the next call comes sooner.
const STORE_IDLE_MS: f64 = 100.0;
/// Connections to the store that are kept for further calls.
const STORE_IDLE_MOST: usize = 8;
/// Wait for the reply to a call after the store should have said `LATE`, ms.
const CALL_MARGIN_MS: f64 = 50.0;
/// Reason code of a connection on which the reply to a call stayed away.
const NO_REPLY: &str = "no-reply";
/// Replies under other names that are passed over before the one that is waited for.
const FOREIGN_MOST: u32 = 16;
/// Between two reports to the membership service, ms: an entry lapses after 3 s, and reports get lost. With a
/// quarter lost one entry in 250 would lapse at four reports in that time; at a dozen none does.
const REPORT_MS: f64 = 250.0;
/// The gauges that a link which is to be left asks for last, and the wait for them, ms: they prove that every
/// command before them was read. What an engine that stays silent may have missed is sent again on the new link.
const LAST_TAG: u64 = 0;
const LEAVE_MS: f64 = 250.0;

/// Where the three services are. A reload moves them while the links are in use.
#[derive(Debug)]
pub struct UpstreamAddresses {
    engine: Cell<SocketAddr>,
    store: Cell<SocketAddr>,
    members: Cell<SocketAddr>,
    moved: Notify,
}

impl UpstreamAddresses {
    /// The addresses as the program starts.
    pub fn new(engine: SocketAddr, store: SocketAddr, members: SocketAddr) -> Self {
        let (engine, store, members) = (Cell::new(engine), Cell::new(store), Cell::new(members));
        UpstreamAddresses { engine, store, members, moved: Notify::default() }
    }

    /// Moves all three at once. Open calls to the store end where they are.
    pub fn set(&self, engine: SocketAddr, store: SocketAddr, members: SocketAddr) {
        self.engine.set(engine);
        self.store.set(store);
        self.members.set(members);
        self.moved.wake();
    }

    /// Completes when the engine is no longer at this address.
    async fn engine_left(&self, address: SocketAddr) {
        while self.engine.get() == address {
            self.moved.wait().await;
        }
    }
}

// ---- lines ----

/// A line of words, with the body that follows it if its form has one.
#[derive(Debug, PartialEq)]
pub struct Line {
    /// The words.
    pub words: Vec<String>,
    /// The bytes after the line.
    pub body: Vec<u8>,
}

/// What is wrong with what came over a link.
#[derive(Debug, PartialEq, Eq)]
pub enum LineError {
    /// Longer than any line may be.
    TooLong,
    /// Not words of printable ASCII ended by CR LF.
    Malformed,
    /// A length that is no number or above the limit.
    Length,
}

impl LineError {
    /// Reason code for the log.
    fn code(self) -> &'static str {
        match self {
            LineError::TooLong => "line-too-long",
            LineError::Malformed => "malformed-line",
            LineError::Length => "bad-length",
        }
    }
}

/// Takes one whole line off the front of `input`, or nothing if it is not all there yet. `has_body` tells
/// from the words whether the last one is a length.
pub fn take_line(input: &mut Vec<u8>, has_body: fn(&[String]) -> bool) -> Result<Option<Line>, LineError> {
    let Some(end) = input.iter().take(LINE_MOST).position(|b| *b == b'\n') else {
        return if input.len() >= LINE_MOST { Err(LineError::TooLong) } else { Ok(None) };
    };
    let Some(text) = input[..end].strip_suffix(b"\r") else { return Err(LineError::Malformed) };
    // What a remark says is nobody's business: it must not end the link.
    let remark = text.starts_with(b"NOTE ");
    if text.is_empty() || !(remark || text.iter().all(|b| (b' '..=b'~').contains(b))) {
        return Err(LineError::Malformed);
    }
    let words: Vec<String> =
        text.split(|b| *b == b' ').map(|w| String::from_utf8_lossy(w).into_owned()).collect();
    let mut used = end + 1;
    let mut body = Vec::new();
    if has_body(&words) {
        let length = words.last().and_then(|w| whole(w)).ok_or(LineError::Length)?;
        let length = usize::try_from(length).ok().filter(|l| *l <= BODY_MOST).ok_or(LineError::Length)?;
        let Some(rest) = input.get(used..used + length + 2) else { return Ok(None) };
        if &rest[length..] != b"\r\n" {
            return Err(LineError::Malformed);
        }
        body = rest[..length].to_vec();
        used += length + 2;
    }
    input.drain(..used);
    Ok(Some(Line { words, body }))
}

/// A number of digits only.
fn whole(word: &str) -> Option<u64> {
    word.bytes().all(|b| b.is_ascii_digit()).then(|| word.parse().ok()).flatten()
}

/// Connects, or gives up in time: no byte was written then, which proves as much as a refusal.
async fn connect(address: SocketAddr, clock: &Clock) -> io::Result<Async<TcpStream>> {
    let late = async {
        clock.pause(CONNECT_MS).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = future::or(Async::<TcpStream>::connect(address), late).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

// ---- engine ----

/// The link to the engine, as the core uses it: commands are queued, and dropped while there is no link.
#[derive(Debug, Default)]
pub struct EngineLink {
    outbox: WriteBuffer,
    up: Cell<bool>,
}

impl EngineLink {
    /// Whether there is a link that the command goes to.
    fn command(&self, fill: impl FnOnce(&mut Vec<u8>)) -> bool {
        if self.up.get() {
            self.outbox.push(fill);
        }
        self.up.get()
    }
}

impl api::Engine for EngineLink {
    fn start_run(&self, attempt_id: &str, class: &str, body: &[u8]) {
        self.command(|out| with_body(out, &format!("RUN {attempt_id} {class}"), body));
    }

    fn cancel_run(&self, attempt_id: &str) {
        self.command(|out| out.extend_from_slice(format!("HALT {attempt_id}\r\n").as_bytes()));
    }

    fn deliver_reply(&self, attempt_id: &str, reply: &[u8]) -> bool {
        self.command(|out| with_body(out, &format!("FEED {attempt_id}"), reply))
    }

    fn skip_call(&self, attempt_id: &str, notice: u64) -> bool {
        self.command(|out| out.extend_from_slice(format!("SKIP {attempt_id} {notice}\r\n").as_bytes()))
    }

    fn request_gauges(&self, tag: u64) {
        self.command(|out| out.extend_from_slice(format!("STAT {tag}\r\n").as_bytes()));
    }
}

fn with_body(out: &mut Vec<u8>, head: &str, body: &[u8]) {
    out.extend_from_slice(format!("{head} {}\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
}

/// Keeps the engine's link up for ever, wherever the engine is.
pub async fn engine(
    peers: Rc<UpstreamAddresses>,
    link: Rc<EngineLink>,
    queue: Sender<CoreInput>,
    clock: Clock,
) {
    // Notices up to this one reached the core; the engine sends what came after it once more.
    let mut last = 0;
    let mut retry = RETRY_MS;
    loop {
        let began = clock.now();
        let address = peers.engine.get();
        let reason = match connect(address, &clock).await {
            Ok(stream) => {
                link.outbox.clear();
                link.outbox.push(|out| out.extend_from_slice(format!("ATTACH {last}\r\n").as_bytes()));
                let writer = async {
                    loop {
                        if let Err(error) = link.outbox.flush(&stream).await {
                            return error.to_string();
                        }
                    }
                };
                // A link that is left for a new address is first emptied: what the core wants done meanwhile
                // it keeps, and what was written before is proved to have been read by the last gauges.
                let moved = async {
                    peers.engine_left(address).await;
                    if link.up.replace(false) {
                        let _ = queue.send(CoreInput::EngineDetached).await;
                        link.outbox.push(|out| {
                            out.extend_from_slice(format!("STAT {LAST_TAG}\r\n").as_bytes());
                        });
                        clock.pause(LEAVE_MS).await;
                    }
                    "moved".to_owned()
                };
                future::or(moved, future::or(read_engine(&stream, &link, &queue, &mut last), writer)).await
            }
            Err(error) => error.to_string(),
        };
        if link.up.replace(false) {
            let _ = queue.send(CoreInput::EngineDetached).await;
            retry = RETRY_MS;
        }
        let after_ms = (clock.now() - began).round();
        tracing::info!(link = "engine", reason, after_ms, "link-ended");
        if peers.engine.get() == address {
            future::or(clock.pause(retry), peers.engine_left(address)).await;
            retry = (retry * 2.0).min(RETRY_MOST_MS);
        } else {
            retry = RETRY_MS;
        }
    }
}

async fn read_engine(
    mut stream: &Async<TcpStream>,
    link: &EngineLink,
    queue: &Sender<CoreInput>,
    last: &mut u64,
) -> String {
    let mut input = Vec::new();
    let mut chunk = vec![0; 16 * 1024];
    loop {
        match stream.read(&mut chunk).await {
            Ok(0) => return "closed".into(),
            Ok(n) => input.extend_from_slice(&chunk[..n]),
            Err(error) => return error.to_string(),
        }
        loop {
            let has_body = |words: &[String]| matches!(words[0].as_str(), "DONE" | "NEED");
            match take_line(&mut input, has_body) {
                Ok(None) => break,
                Ok(Some(line)) => {
                    let (number, news) = match engine_notice(line) {
                        Ok(notice) => notice,
                        Err(error) => return error.code().to_owned(),
                    };
                    // Some come twice under one number.
                    if number.is_some_and(|n| n <= *last) {
                        continue;
                    }
                    match news {
                        Some(CoreInput::EngineAttached { .. }) => link.up.set(true),
                        Some(CoreInput::Gauges { tag: LAST_TAG, values: _ }) => return "moved".into(),
                        _ => {}
                    }
                    if let Some(news) = news
                        && queue.send(news).await.is_err()
                    {
                        return "no-core".into();
                    }
                    // Only now: the link may break while the core's queue is full, and the notice with it.
                    *last = number.unwrap_or(*last);
                }
                Err(error) => return error.code().to_owned(),
            }
        }
    }
}

/// What a line of the engine tells the core, nothing for a remark, and the number of a notice.
fn engine_notice(line: Line) -> Result<(Option<u64>, Option<CoreInput>), LineError> {
    let words: Vec<&str> = line.words.iter().map(String::as_str).collect();
    let number = |word: &str| whole(word).ok_or(LineError::Malformed);
    Ok(match words.as_slice() {
        ["HELLO", state @ ("chilly" | "hot"), ms] => {
            let ms = ms.parse::<f64>().ok().filter(|v| v.is_finite()).ok_or(LineError::Malformed)?;
            (None, Some(CoreInput::EngineAttached { cold: *state == "chilly", ms }))
        }
        ["DONE", n, id, end, _ms, _length] => {
            let end = match *end {
                "complete" => RunResult::Complete(line.body.as_slice().into()),
                "error" => RunResult::Error,
                "cancelled" => RunResult::Cancelled,
                "unknown" => RunResult::Unknown,
                _ => return Err(LineError::Malformed),
            };
            (Some(number(n)?), Some(CoreInput::RunEnded { attempt_id: (*id).to_owned(), result: end }))
        }
        ["NEED", n, id, _length] => (
            Some(number(n)?),
            Some(CoreInput::CallNeeded { attempt_id: (*id).to_owned(), notice: number(n)?, body: line.body }),
        ),
        ["STATS", tag, gauges @ ..] => {
            let gauges = gauges.iter().map(|g| g.parse::<f64>().ok().filter(|v| v.is_finite()));
            let gauges = gauges.collect::<Option<Vec<_>>>().ok_or(LineError::Malformed)?;
            (None, Some(CoreInput::Gauges { tag: number(tag)?, values: gauges }))
        }
        ["NO", command, id, ..] => (
            None,
            Some(CoreInput::CommandRejected { command: (*command).to_owned(), attempt_id: (*id).to_owned() }),
        ),
        ["NOTE", n, ..] => (Some(number(n)?), None),
        _ => return Err(LineError::Malformed),
    })
}

// ---- store ----

/// A connection to the store; its end, whatever brings it, leaves one line in the log.
#[derive(Debug)]
struct Connection {
    stream: Async<TcpStream>,
    address: SocketAddr,
    began_ms: f64,
    used_ms: f64,
    /// The last request that a call was made for here: a copy of its reply may still come.
    attempt_id: String,
    reason: &'static str,
    clock: Clock,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let after_ms = (self.clock.now() - self.began_ms).round();
        tracing::info!(
            link = "store",
            reason = self.reason,
            attempt_id = self.attempt_id,
            after_ms,
            "link-ended"
        );
    }
}

/// The way to the store, as the core uses it: each call ends with one [`CoreInput::CallEnded`] unless it is dropped.
/// A connection carries one call at a time, so that a reply that is spoilt, late or missing takes no other call
/// along, and closing the connection is what gives a call up.
#[derive(Debug)]
pub struct StoreLink {
    peers: Rc<UpstreamAddresses>,
    queue: Sender<CoreInput>,
    clock: Clock,
    counters: Rc<Counters>,
    executor: Rc<LocalExecutor<'static>>,
    /// The calls under way; one that is taken out is cancelled.
    calls: RefCell<HashMap<u64, Task<()>>>,
    idle: RefCell<Vec<Connection>>,
}

impl StoreLink {
    /// The way to a store that no call was made to.
    pub fn new(
        peers: Rc<UpstreamAddresses>,
        queue: Sender<CoreInput>,
        clock: Clock,
        counters: Rc<Counters>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        let (calls, idle) = (RefCell::default(), RefCell::default());
        StoreLink { peers, queue, clock, counters, executor, calls, idle }
    }

    /// A used connection that is as good as new, if there is one.
    fn used(&self, attempt_id: &str) -> Option<Connection> {
        let (now, address) = (self.clock.now(), self.peers.store.get());
        let mut idle = self.idle.borrow_mut();
        for connection in idle.iter_mut() {
            connection.reason = if connection.address == address { "idle" } else { "moved" };
        }
        idle.retain(|i| now < i.used_ms + STORE_IDLE_MS && i.address == address);
        while let Some(at) = idle.iter().rposition(|i| i.attempt_id != attempt_id) {
            let mut connection = idle.remove(at);
            // Anything to read is its end, or a copy of a reply that was read.
            let quiet = connection.stream.get_ref().peek(&mut [0]);
            if quiet.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock) {
                connection.reason = "given-up";
                return Some(connection);
            }
            connection.reason = "closed";
        }
        None
    }

    /// One call, on a connection that nothing else uses meanwhile.
    async fn converse(
        &self,
        attempt_id: &str,
        call: &[u8],
        call_timeout_ms: f64,
        once: bool,
    ) -> Result<(Outcome, Option<Vec<u8>>), Outcome> {
        let used = if once { None } else { self.used(attempt_id) };
        let mut connection = match used {
            Some(connection) => connection,
            None => {
                let address = self.peers.store.get();
                let began_ms = self.clock.now();
                // Nothing was written: the call never ran.
                let stream = connect(address, &self.clock).await.map_err(|_| Outcome::Unreachable)?;
                count(&self.counters.store_links);
                let (attempt_id, clock) = (String::new(), self.clock.clone());
                Connection {
                    stream,
                    address,
                    began_ms,
                    used_ms: began_ms,
                    attempt_id,
                    reason: "given-up",
                    clock,
                }
            }
        };
        connection.attempt_id = attempt_id.to_owned();
        // From here on it may have run, whatever becomes of the connection.
        let until = self.clock.now() + call_timeout_ms + CALL_MARGIN_MS;
        let end = self.reply(attempt_id, call, until, &connection.stream).await;
        match end {
            Ok((line, outcome, alone)) => {
                connection.used_ms = self.clock.now();
                if alone {
                    let mut idle = self.idle.borrow_mut();
                    idle.push(connection);
                    if idle.len() > STORE_IDLE_MOST {
                        idle.remove(0).reason = "idle";
                    }
                } else {
                    connection.reason = "more-than-asked";
                }
                Ok((outcome, (outcome == Outcome::Done).then_some(line.body)))
            }
            Err(reason) => {
                connection.reason = reason;
                Err(if reason == NO_REPLY { Outcome::TimedOut } else { Outcome::Reset })
            }
        }
    }

    /// Writes a call and reads up to its reply; tells too whether nothing came behind that. An error is the
    /// reason code of the connection's end.
    async fn reply(
        &self,
        attempt_id: &str,
        call: &[u8],
        until: f64,
        mut socket: &Async<TcpStream>,
    ) -> Result<(Line, Outcome, bool), &'static str> {
        socket.write_all(call).await.map_err(|_| "reset")?;
        let (mut input, mut chunk, mut foreign) = (Vec::new(), vec![0; 4096], 0);
        loop {
            let late = async {
                self.clock.until(until).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            match future::or(socket.read(&mut chunk), late).await {
                Ok(0) => return Err("closed"),
                Ok(n) => input.extend_from_slice(&chunk[..n]),
                Err(error) if error.kind() == io::ErrorKind::TimedOut => return Err(NO_REPLY),
                Err(_) => return Err("reset"),
            }
            let has_body = |words: &[String]| words.get(1).is_some_and(|w| w == "OK");
            while let Some(line) = take_line(&mut input, has_body).map_err(LineError::code)? {
                let outcome = match line.words.get(1).map(String::as_str) {
                    Some("OK") if line.words.len() == 3 => Outcome::Done,
                    // Nothing waits for the call any more: like one turned away, it never ran.
                    Some("BUSY" | "VOID") => Outcome::Rejected,
                    Some("ERR") => Outcome::Failed,
                    Some("LATE") => Outcome::TimedOut,
                    _ => return Err(LineError::Malformed.code()),
                };
                if line.words[0] == attempt_id {
                    return Ok((line, outcome, input.is_empty()));
                }
                // A copy of an earlier reply, or one under an unknown name, harms nobody; a stream does.
                foreign += 1;
                if foreign > FOREIGN_MOST {
                    return Err("foreign-replies");
                }
            }
        }
    }
}

impl api::Store for StoreLink {
    /// One that must not be made twice gets a connection of its own: the reset of a used one, forgotten by the
    /// store, would leave it uncertain though it never ran.
    fn start_call(
        self: Rc<Self>,
        call: u64,
        attempt_id: &str,
        call_timeout_ms: f64,
        body: &[u8],
        once: bool,
    ) {
        let call_timeout_ms = call_timeout_ms.max(1.0);
        let mut bytes = Vec::new();
        with_body(&mut bytes, &format!("CALL {attempt_id} {call_timeout_ms:.0}"), body);
        let (link, attempt_id) = (self.clone(), attempt_id.to_owned());
        let conversation = async move {
            let (outcome, reply) = match link.converse(&attempt_id, &bytes, call_timeout_ms, once).await {
                Ok((outcome, reply)) => (outcome, reply),
                Err(outcome) => (outcome, None),
            };
            let _ = link.queue.send(CoreInput::CallEnded { call, outcome, reply }).await;
            link.calls.borrow_mut().remove(&call);
        };
        let task = self.executor.spawn(conversation);
        self.calls.borrow_mut().insert(call, task);
    }

    /// By closing its connection.
    fn cancel_call(&self, call: u64) {
        let task = self.calls.borrow_mut().remove(&call);
        drop(task);
    }
}

// ---- membership ----

/// A socket from which datagrams can be sent to this address.
pub fn datagrams_to(address: SocketAddr) -> io::Result<Async<UdpSocket>> {
    let any: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    Async::<UdpSocket>::bind(any)
}

/// Reports to the membership service: at once when something changes, and so often that losses do not matter.
pub async fn members(
    peers: Rc<UpstreamAddresses>,
    name: String,
    status: Rc<Status>,
    clock: Clock,
    counters: Rc<Counters>,
) -> io::Result<()> {
    let socket = datagrams_to(peers.members.get())?;
    loop {
        if let Some(up) = status.registered.get() {
            let report = format!("HB {name} {}", if up { "UP" } else { "OUT" });
            // The service may be down, which a later report finds mended.
            if socket.send_to(report.as_bytes(), peers.members.get()).await.is_ok() {
                count(&counters.reports);
            }
        }
        future::or(status.registry_wakeup.wait(), clock.pause(REPORT_MS)).await;
    }
}
