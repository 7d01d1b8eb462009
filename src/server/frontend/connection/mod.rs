//! One caller's connection, the same for every front: its reading half, its writing half, and the one way in which it
//! ends. No more is taken in, what was read is answered, output is flushed, the writing half is shut, what still comes is
//! read and thrown away under a bound, then it is closed. It must never know a wire or touch a request.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::rc::Rc;

use async_io::Async;
use futures_lite::{AsyncReadExt, future};
use pinepoint_events::{ProcessEvent, ResourceLimit};

use crate::server::core::api::CoreInput;
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::frontend::context::FrontendContext;
use crate::server::sync::{Latch, Notify};
use crate::server::write_buffer::WriteBuffer;

/// Queued bytes past which a connection is not read, and past which it is given up: its reader is too slow.
const PAUSE_READING_AT_BYTES: usize = 64 * 1024;
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Time without progress of a writer that has something to write, ms.
const WRITE_STALL_TIMEOUT_MS: f64 = 15_000.0;
/// Between two looks at a queue that is too long, ms.
const BACKLOG_POLL_MS: f64 = 20.0;
/// How long, ms, and for how many bytes, what comes after the writing half was shut is read and thrown away. A close
/// over unread bytes is a reset, and takes answers along that the other side has not read yet.
const LINGER_MS: f64 = 1000.0;
/// The same where the process is about to end, ms: within what the core leaves between the last answers and the end.
const FINAL_LINGER_MS: f64 = 60.0;
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// Why nothing more is taken in on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// What was read is answered; then it ends in order.
    Graceful(&'static str),
    /// The same, as the other side says nothing more.
    PeerClosed,
    /// The same, as the process is about to end.
    Finishing,
    /// What came is no message of its wire. What was read before it is failed at once, and it ends in order.
    ProtocolError(&'static str),
    /// Nothing was under way, nothing unread, and its writing half is shut already.
    WriteClosed(&'static str),
    /// Nobody is there to be answered.
    PeerGone(&'static str),
}

/// The reading half: bytes as they come.
pub struct ReadHalf {
    stream: Rc<Async<TcpStream>>,
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
    /// What was read and no message was made of yet.
    pub bytes: Vec<u8>,
    /// Waits from one reading to the next: its timers are set anew only where its time has changed.
    close_signal: Pin<Box<dyn Future<Output = ReadEvent>>>,
}

enum ReadEvent {
    Read(io::Result<usize>),
    TimedOut,
    CloseDue(&'static str),
    Finishing,
}

/// Completes when the connection should go, or all that is left was answered.
fn close_signal(
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
) -> Pin<Box<dyn Future<Output = ReadEvent>>> {
    Box::pin(async move {
        let close_due = async {
            ReadEvent::CloseDue(state.close_due(&context.clock, context.caller_idle_timeout_ms()).await)
        };
        let finishing = async {
            context.status.finishing.passed().await;
            ReadEvent::Finishing
        };
        future::or(finishing, close_due).await
    })
}

impl ReadHalf {
    /// Of a connection of which nothing was read.
    pub fn new(
        stream: Rc<Async<TcpStream>>,
        state: Rc<ConnectionState>,
        context: Rc<FrontendContext>,
    ) -> Self {
        let close_signal = close_signal(state.clone(), context.clone());
        ReadHalf { stream, state, context, bytes: Vec::new(), close_signal }
    }

    /// Reads more bytes. With `until` the wait for them has an end: something has begun that must be whole by then.
    /// Whatever brings the end, what had come before it is read first.
    pub async fn read_more(&mut self, writer: &WriteHalf, until: Option<f64>) -> Result<(), CloseReason> {
        self.state.partial_message.set(!self.bytes.is_empty());
        if self.bytes.is_empty() {
            // A buffer that keeps its peak is memory for as long as the connection stays.
            self.bytes = Vec::new();
        }
        let mut chunk = [0; 4096];
        loop {
            let timed_out = async {
                match until {
                    Some(at) => self.context.clock.until(at).await,
                    None => future::pending().await,
                }
                ReadEvent::TimedOut
            };
            let mut stream = &*self.stream;
            // Reading comes first: it tries the socket at each turn.
            let read = async { ReadEvent::Read(stream.read(&mut chunk).await) };
            match future::or(read, future::or(timed_out, &mut self.close_signal)).await {
                ReadEvent::Read(Ok(0)) => return Err(CloseReason::PeerClosed),
                ReadEvent::Read(Ok(n)) => {
                    self.bytes.extend_from_slice(&chunk[..n]);
                    return Ok(());
                }
                ReadEvent::Read(Err(_)) => return Err(CloseReason::PeerGone("peer-reset")),
                ReadEvent::TimedOut => return Err(CloseReason::Graceful("sender-stalled")),
                ReadEvent::Finishing => return Err(CloseReason::Finishing),
                ReadEvent::CloseDue(reason) => {
                    self.close_signal = close_signal(self.state.clone(), self.context.clone());
                    if let Some(stop) = self.shut_down_if_quiet(reason, writer).await {
                        return Err(stop);
                    }
                }
            }
        }
    }

    /// Shuts the writing half unless something came meanwhile. Between the look at the socket and the shutdown nothing
    /// else happens: what the other side wrote before it is read, what it writes after it finds the connection shut and is
    /// sent again elsewhere.
    async fn shut_down_if_quiet(&self, reason: &'static str, writer: &WriteHalf) -> Option<CloseReason> {
        writer.flushed().await;
        let socket = self.stream.get_ref();
        match socket.peek(&mut [0]) {
            Ok(0) => Some(CloseReason::PeerClosed),
            Ok(_) => {
                self.state.cancel_eviction();
                None
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                let _ = socket.shutdown(Shutdown::Write);
                Some(CloseReason::WriteClosed(reason))
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => None,
            Err(_) => Some(CloseReason::PeerGone("peer-reset")),
        }
    }
}

/// The writing half: its bounded queue, and its end.
pub struct WriteHalf {
    buffer: WriteBuffer,
    context: Rc<FrontendContext>,
    accounted_bytes: Cell<usize>,
    reader_too_slow: Latch,
    flushed: Notify,
    end_reason: Cell<Option<&'static str>>,
}

impl WriteHalf {
    /// A writer with an empty queue.
    pub fn new(context: Rc<FrontendContext>) -> Self {
        WriteHalf {
            buffer: WriteBuffer::default(),
            context,
            accounted_bytes: Cell::new(0),
            reader_too_slow: Latch::default(),
            flushed: Notify::default(),
            end_reason: Cell::new(None),
        }
    }

    /// Queues bytes, and marks the connection for its end if nobody reads what is queued.
    pub fn push(&self, fill: impl FnOnce(&mut Vec<u8>)) {
        let backlog = self.buffer.backlog();
        if backlog > MAX_QUEUED_BYTES || self.context.limiter.exceeds_queue_share(backlog) {
            if self.reader_too_slow.open() {
                let context = &self.context;
                context
                    .observer
                    .process_event(context.clock.now(), ProcessEvent::LimitReached(ResourceLimit::Unread));
            }
            return;
        }
        self.buffer.push(fill);
        self.account(self.buffer.backlog());
    }

    /// Ends the connection, for this reason, once nothing is open and all is written.
    fn end(&self, reason: &'static str) {
        self.end_reason.set(self.end_reason.get().or(Some(reason)));
        self.buffer.wake();
    }

    /// Books the bytes that are queued here in the sum over all connections.
    fn account(&self, queued: usize) {
        self.context.limiter.account(self.accounted_bytes.replace(queued), queued);
    }

    /// Completes when the queue is short enough for more to be read.
    pub async fn ready(&self) {
        while self.buffer.backlog() > PAUSE_READING_AT_BYTES {
            self.context.clock.pause(BACKLOG_POLL_MS).await;
        }
    }

    /// Completes when all that was queued is with the system. One whose reader stalls is ended by the writer's own task.
    async fn flushed(&self) {
        while self.buffer.backlog() > 0 {
            self.flushed.wait().await;
        }
    }

    /// Writes what is queued until the connection ends: the reason, in `Ok` if all was written.
    async fn run(
        &self,
        stream: &Async<TcpStream>,
        nothing_open: impl Fn() -> bool,
    ) -> Result<&'static str, &'static str> {
        loop {
            let stalled = async {
                let mut previous = self.buffer.backlog();
                loop {
                    self.context.clock.pause(WRITE_STALL_TIMEOUT_MS).await;
                    let now = self.buffer.backlog();
                    if previous > 0 && now >= previous {
                        return Err("reader-stalled");
                    }
                    previous = now;
                }
            };
            // A write that nobody reads never returns: what ends the connection must not wait for it, or its
            // requests would go on being read and their answers dropped.
            let reader_too_slow = async {
                self.reader_too_slow.passed().await;
                Err("reader-too-slow")
            };
            let flushed = async { self.buffer.flush(stream).await.map_err(|_| "peer-reset") };
            future::or(reader_too_slow, future::or(flushed, stalled)).await?;
            self.account(self.buffer.backlog());
            self.flushed.wake();
            if let Some(reason) =
                self.end_reason.get().filter(|_| nothing_open() && self.buffer.backlog() == 0)
            {
                return Ok(reason);
            }
        }
    }
}

impl Drop for WriteHalf {
    fn drop(&mut self) {
        self.account(0);
    }
}

/// Has a connection from its first byte to its end. `reading` takes messages in until it says why it stops;
/// `nothing_open` tells whether no answer is owed on it. Returns the reason code of the end.
pub async fn run(
    stream: &Async<TcpStream>,
    state: &ConnectionState,
    context: &FrontendContext,
    writer: &WriteHalf,
    reading: impl Future<Output = CloseReason>,
    nothing_open: impl Fn() -> bool,
) -> &'static str {
    let reading = async {
        match reading.await {
            CloseReason::Graceful(reason) => writer.end(reason),
            CloseReason::PeerClosed if state.partial_message.get() => writer.end("cut-off"),
            CloseReason::PeerClosed if state.is_going_away() => writer.end("drained"),
            CloseReason::PeerClosed => writer.end("peer-closed"),
            CloseReason::Finishing => writer.end("stopping"),
            CloseReason::ProtocolError(reason) => {
                let _ = context.queue.send(CoreInput::ProtocolError { caller: state.id }).await;
                writer.end(reason);
            }
            CloseReason::WriteClosed(reason) => return Ok(reason),
            CloseReason::PeerGone(reason) => return Err(reason),
        }
        future::pending().await
    };
    let ended = future::or(reading, writer.run(stream, nothing_open)).await;
    match ended {
        Ok(reason) => {
            linger(stream, state, context).await;
            reason
        }
        // What it was owed nobody reads.
        Err(reason) => reason,
    }
}

/// Shuts the writing half and throws away what still comes, until the other side closes or a bound is reached.
async fn linger(stream: &Async<TcpStream>, state: &ConnectionState, context: &FrontendContext) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    state.set_lingering();
    let finishing = async {
        context.status.finishing.passed().await;
        context.clock.pause(FINAL_LINGER_MS).await;
    };
    let bound = future::or(context.clock.pause(LINGER_MS), future::or(state.eviction_request(), finishing));
    future::or(discard(stream, MAX_LINGER_BYTES), bound).await;
}

/// Reads and throws away what comes, until the other side closes or has sent so many bytes.
pub async fn discard(mut stream: &Async<TcpStream>, max_bytes: usize) {
    let (mut chunk, mut remaining) = ([0; 4096], max_bytes);
    while let Ok(read) = stream.read(&mut chunk).await
        && (1..remaining).contains(&read)
    {
        remaining -= read;
        future::yield_now().await;
    }
}
