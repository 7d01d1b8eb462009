//! The client of the store: it makes one call at a time on each connection, and keeps a small pool of idle
//! connections. A reply that is malformed, late or missing affects no other call. Closing the connection
//! cancels a call. The client never repeats a call.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use pinepoint_clock::Clock;

use crate::admission::Outcome;
use crate::server::core::api::{self, CoreInput};
use crate::server::observability::counters::{Counters, count};
use crate::server::upstream::UpstreamAddresses;
use crate::server::upstream::connect::connect;
use crate::server::upstream::line::{Line, LineError, take_line, write_line_with_body};

/// Idle time after which a connection is not used again, ms. The store closes or forgets idle connections
/// long before the promised 10 s, and a call on a forgotten connection ends uncertain. In 20 s under bad
/// conditions, 161 of the connections that were used again within 500 ms had been forgotten, but only 8 of
/// those that were used again within 100 ms. Under load the next call comes sooner.
const MAX_IDLE_MS: f64 = 100.0;
/// Maximum number of calls on one connection. It bounds the attempts that a connection remembers.
const MAX_CALLS_PER_CONNECTION: usize = 128;
/// Maximum number of idle connections that are kept for further calls.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time to wait for a reply after the store should have answered `LATE`, ms.
const REPLY_MARGIN_MS: f64 = 50.0;
/// Shortest call timeout that is sent to the store, ms.
const MIN_CALL_TIMEOUT_MS: f64 = 1.0;
/// Maximum number of replies to other calls that are skipped while a call waits for its own reply.
const MAX_FOREIGN_REPLIES: u32 = 16;
/// Size of the read buffer, bytes.
const READ_CHUNK_BYTES: usize = 4096;

/// Why a connection to the store ended. The text is the reason code in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum ConnectionEnd {
    /// The call on the connection was cancelled, or the process ended.
    #[error("given-up")]
    Cancelled,
    /// The connection was idle for too long or had carried the maximum number of calls, or the pool of idle
    /// connections was full.
    #[error("idle")]
    Idle,
    /// A reload changed the store's address.
    #[error("moved")]
    Moved,
    /// The store closed the connection.
    #[error("closed")]
    Closed,
    /// Reading or writing failed.
    #[error("reset")]
    Reset,
    /// The reply did not arrive in time.
    #[error("no-reply")]
    NoReply,
    /// Too many replies to other calls arrived.
    #[error("foreign-replies")]
    ForeignReplies,
    /// Further bytes followed the reply.
    #[error("more-than-asked")]
    TrailingBytes,
    /// The store broke the protocol.
    #[error("{0}")]
    Protocol(#[from] LineError),
}

/// A connection to the store. Dropping it logs one line with the reason for its end.
#[derive(Debug)]
struct Connection {
    stream: Async<TcpStream>,
    address: SocketAddr,
    /// When the connection was opened, Unix ms.
    opened_ms: f64,
    /// When the last reply arrived, Unix ms.
    last_used_ms: f64,
    /// The attempts that made the calls on this connection, the last one at the end. A reply names its attempt
    /// alone, and copies of earlier replies may still arrive.
    attempt_ids: Vec<String>,
    /// The reason that is logged when the connection is dropped.
    end: ConnectionEnd,
    clock: Clock,
}

impl Connection {
    fn carried_call_of(&self, attempt_id: &str) -> bool {
        self.attempt_ids.iter().any(|carried| carried == attempt_id)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let after_ms = (self.clock.now() - self.opened_ms).round();
        tracing::info!(
            link = "store",
            reason = self.end.to_string(),
            attempt_id = self.attempt_ids.last().map_or("", String::as_str),
            after_ms,
            "link-ended"
        );
    }
}

/// A call to make.
struct Call {
    attempt_id: String,
    /// The encoded line and body.
    bytes: Vec<u8>,
    timeout_ms: f64,
    /// Whether the call must not be made twice.
    once: bool,
}

/// How a call ended.
struct CallResult {
    outcome: Outcome,
    /// The body of the reply, if the call succeeded.
    reply: Option<Vec<u8>>,
}

impl CallResult {
    fn without_reply(outcome: Outcome) -> CallResult {
        CallResult { outcome, reply: None }
    }
}

/// The reply to a call.
struct Reply {
    outcome: Outcome,
    body: Vec<u8>,
    /// Whether further bytes followed the reply.
    has_trailing_bytes: bool,
}

/// The store as the core uses it: each call ends with one [`CoreInput::CallEnded`] unless it is cancelled.
#[derive(Debug)]
pub struct StoreLink {
    addresses: Rc<UpstreamAddresses>,
    queue: Sender<CoreInput>,
    clock: Clock,
    counters: Rc<Counters>,
    executor: Rc<LocalExecutor<'static>>,
    /// The calls in flight, by the number that the core gave them. Dropping a task cancels its call.
    calls: RefCell<HashMap<u64, Task<()>>>,
    /// Idle connections, the most recently used one last.
    idle: RefCell<Vec<Connection>>,
}

impl StoreLink {
    /// Creates a client that has no connections yet.
    pub fn new(
        addresses: Rc<UpstreamAddresses>,
        queue: Sender<CoreInput>,
        clock: Clock,
        counters: Rc<Counters>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        let (calls, idle) = (RefCell::default(), RefCell::default());
        StoreLink { addresses, queue, clock, counters, executor, calls, idle }
    }

    /// Makes one call, on a connection that no other call uses at the same time.
    async fn call(&self, call: &Call) -> CallResult {
        // Without a connection nothing was written: the call never ran.
        let Ok(mut connection) = self.connection_for(call).await else {
            return CallResult::without_reply(Outcome::Unreachable);
        };
        connection.attempt_ids.push(call.attempt_id.clone());
        // From here on the call may have run, even if the connection fails.
        let deadline_ms = self.clock.now() + call.timeout_ms + REPLY_MARGIN_MS;
        match self.exchange(call, deadline_ms, &connection.stream).await {
            Ok(reply) => {
                self.release(connection, &reply);
                let reply_body = (reply.outcome == Outcome::Done).then_some(reply.body);
                CallResult { outcome: reply.outcome, reply: reply_body }
            }
            Err(end) => {
                connection.end = end;
                let timed_out = end == ConnectionEnd::NoReply;
                CallResult::without_reply(if timed_out { Outcome::TimedOut } else { Outcome::Reset })
            }
        }
    }

    /// Returns a connection for this call. A call that must not be made twice gets a new connection: if the
    /// store has forgotten an idle connection, its reset would leave the call uncertain although it never
    /// ran.
    async fn connection_for(&self, call: &Call) -> io::Result<Connection> {
        let idle = if call.once { None } else { self.take_idle(&call.attempt_id) };
        match idle {
            Some(connection) => Ok(connection),
            None => self.open_connection().await,
        }
    }

    async fn open_connection(&self) -> io::Result<Connection> {
        let address = self.addresses.store();
        let opened_ms = self.clock.now();
        let stream = connect(address, &self.clock).await?;
        count(&self.counters.store_links);
        Ok(Connection {
            stream,
            address,
            opened_ms,
            last_used_ms: opened_ms,
            attempt_ids: Vec::new(),
            end: ConnectionEnd::Cancelled,
            clock: self.clock.clone(),
        })
    }

    /// Takes the most recently used idle connection that is still usable, if there is one. Connections that
    /// have carried a call of the same attempt are skipped: a copy of that reply may still arrive, and would
    /// be taken for the reply to this call.
    fn take_idle(&self, attempt_id: &str) -> Option<Connection> {
        let (now_ms, address) = (self.clock.now(), self.addresses.store());
        let mut idle = self.idle.borrow_mut();
        for connection in idle.iter_mut() {
            let same_address = connection.address == address;
            connection.end = if same_address { ConnectionEnd::Idle } else { ConnectionEnd::Moved };
        }
        idle.retain(|connection| {
            now_ms < connection.last_used_ms + MAX_IDLE_MS && connection.address == address
        });
        while let Some(index) = idle.iter().rposition(|connection| !connection.carried_call_of(attempt_id)) {
            let mut connection = idle.remove(index);
            if is_silent(&connection.stream) {
                connection.end = ConnectionEnd::Cancelled;
                return Some(connection);
            }
            connection.end = ConnectionEnd::Closed;
        }
        None
    }

    /// Returns a connection to the pool after its call, or closes it if further bytes followed the reply.
    fn release(&self, mut connection: Connection, reply: &Reply) {
        connection.last_used_ms = self.clock.now();
        if reply.has_trailing_bytes {
            connection.end = ConnectionEnd::TrailingBytes;
            return;
        }
        if connection.attempt_ids.len() >= MAX_CALLS_PER_CONNECTION {
            connection.end = ConnectionEnd::Idle;
            return;
        }
        let mut idle = self.idle.borrow_mut();
        idle.push(connection);
        if idle.len() > MAX_IDLE_CONNECTIONS {
            let mut least_recent = idle.remove(0);
            least_recent.end = ConnectionEnd::Idle;
        }
    }

    /// Writes a call and reads up to its reply. The error is the reason for which the connection ends.
    async fn exchange(
        &self,
        call: &Call,
        deadline_ms: f64,
        mut stream: &Async<TcpStream>,
    ) -> Result<Reply, ConnectionEnd> {
        stream.write_all(&call.bytes).await.map_err(|_| ConnectionEnd::Reset)?;
        let mut input = Vec::new();
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        let mut foreign_replies = 0;
        loop {
            let length = self.read_before(deadline_ms, stream, &mut chunk).await?;
            input.extend_from_slice(&chunk[..length]);
            while let Some(line) = take_line(&mut input, has_body)? {
                let outcome = parse_outcome(&line)?;
                if line.words[0] == call.attempt_id {
                    return Ok(Reply { outcome, body: line.body, has_trailing_bytes: !input.is_empty() });
                }
                // A few copies of earlier replies, or replies with unknown attempt ids, do no harm; an
                // endless stream of them would.
                foreign_replies += 1;
                if foreign_replies > MAX_FOREIGN_REPLIES {
                    return Err(ConnectionEnd::ForeignReplies);
                }
            }
        }
    }

    /// Reads at least one byte before the deadline.
    async fn read_before(
        &self,
        deadline_ms: f64,
        mut stream: &Async<TcpStream>,
        chunk: &mut [u8],
    ) -> Result<usize, ConnectionEnd> {
        let deadline = async {
            self.clock.until(deadline_ms).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        match future::or(stream.read(chunk), deadline).await {
            Ok(0) => Err(ConnectionEnd::Closed),
            Ok(length) => Ok(length),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => Err(ConnectionEnd::NoReply),
            Err(_) => Err(ConnectionEnd::Reset),
        }
    }
}

/// Whether there is nothing to read. Anything to read is the end of the connection, or a copy of a reply that
/// was read before.
fn is_silent(stream: &Async<TcpStream>) -> bool {
    let peeked = stream.get_ref().peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether a reply of the store has a body.
fn has_body(words: &[String]) -> bool {
    words.get(1).is_some_and(|word| word == "OK")
}

fn parse_outcome(line: &Line) -> Result<Outcome, LineError> {
    match line.words.get(1).map(String::as_str) {
        Some("OK") if line.words.len() == 3 => Ok(Outcome::Done),
        // `VOID`: nothing waits for the call any more. Like a rejected call, it never ran.
        Some("BUSY" | "VOID") => Ok(Outcome::Rejected),
        Some("ERR") => Ok(Outcome::Failed),
        Some("LATE") => Ok(Outcome::TimedOut),
        _ => Err(LineError::Malformed),
    }
}

impl api::Store for StoreLink {
    fn start_call(
        self: Rc<Self>,
        call: u64,
        attempt_id: &str,
        call_timeout_ms: f64,
        body: &[u8],
        once: bool,
    ) {
        let timeout_ms = call_timeout_ms.max(MIN_CALL_TIMEOUT_MS);
        let mut bytes = Vec::new();
        write_line_with_body(&mut bytes, &format!("CALL {attempt_id} {timeout_ms:.0}"), body);
        let request = Call { attempt_id: attempt_id.to_owned(), bytes, timeout_ms, once };
        let link = self.clone();
        let task = self.executor.spawn(async move {
            let CallResult { outcome, reply } = link.call(&request).await;
            let _ = link.queue.send(CoreInput::CallEnded { call, outcome, reply }).await;
            link.calls.borrow_mut().remove(&call);
        });
        self.calls.borrow_mut().insert(call, task);
    }

    /// Closes the connection of the call, if the call is in flight.
    fn cancel_call(&self, call: u64) {
        // The table must not be borrowed while the task is dropped.
        let task = self.calls.borrow_mut().remove(&call);
        drop(task);
    }
}
