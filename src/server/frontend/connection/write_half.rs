//! The writing half of a connection: its bounded queue of bytes, the writer that empties it, and the limits on readers
//! that are too slow.

use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use pinepoint_events::{ProcessEvent, ResourceLimit};

use super::WriterEnd;
use crate::server::frontend::context::FrontendContext;
use crate::server::sync::{Latch, Notify};
use crate::server::write_buffer::WriteBuffer;

/// Queued bytes past which a connection is not read.
const PAUSE_READING_AT_BYTES: usize = 64 * 1024;
/// Queued bytes past which a connection is given up: its reader is too slow.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Time without progress of a writer that has something to write, after which the connection is given up, ms.
const WRITE_STALL_TIMEOUT_MS: f64 = 15_000.0;
/// Interval of the checks of a queue that is too long, ms.
const BACKLOG_POLL_MS: f64 = 20.0;

/// The writing half of a connection.
pub struct WriteHalf {
    buffer: WriteBuffer,
    context: Rc<FrontendContext>,
    /// Queued bytes that the limiter has been told of.
    accounted_bytes: Cell<usize>,
    /// Opened when what is queued has reached a limit.
    reader_too_slow: Latch,
    flushed: Notify,
    /// The reason code of the end, once the connection is to end.
    end_reason: Cell<Option<&'static str>>,
}

impl WriteHalf {
    /// A writing half with an empty queue.
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

    /// Queues the bytes that `fill` appends. Past the limits nothing is queued, and the connection ends.
    pub fn push(&self, fill: impl FnOnce(&mut Vec<u8>)) {
        let backlog = self.buffer.backlog();
        if backlog > MAX_QUEUED_BYTES || self.context.limiter.exceeds_queue_share(backlog) {
            if self.reader_too_slow.open() {
                let event = ProcessEvent::LimitReached(ResourceLimit::Unread);
                self.context.observer.process_event(self.context.clock.now(), event);
            }
            return;
        }
        self.buffer.push(fill);
        self.account();
    }

    /// Completes when the queue is short enough for more to be read.
    pub async fn ready(&self) {
        while self.buffer.backlog() > PAUSE_READING_AT_BYTES {
            self.context.clock.pause(BACKLOG_POLL_MS).await;
        }
    }

    /// Completes when all that was queued is with the system. [`WriteHalf::run`] ends a connection whose reader stalls.
    pub(super) async fn flushed(&self) {
        while self.buffer.backlog() > 0 {
            self.flushed.wait().await;
        }
    }

    /// Ends the connection, for this reason, once no answer is owed and all is written.
    pub(super) fn end(&self, reason: &'static str) {
        self.end_reason.set(self.end_reason.get().or(Some(reason)));
        self.buffer.wake();
    }

    /// Writes what is queued until the connection ends.
    pub(super) async fn run(&self, stream: &Async<TcpStream>, is_idle: impl Fn() -> bool) -> WriterEnd {
        loop {
            if let Err(reason) = self.flush(stream).await {
                return WriterEnd::Aborted(reason);
            }
            self.account();
            self.flushed.wake();
            if let Some(reason) = self.end_reason.get().filter(|_| is_idle() && self.buffer.backlog() == 0) {
                return WriterEnd::Flushed(reason);
            }
        }
    }

    /// Waits for bytes and writes them; in `Err` the reason code of a connection that cannot go on.
    async fn flush(&self, stream: &Async<TcpStream>) -> Result<(), &'static str> {
        // A write that nobody reads never returns: what ends the connection must not wait for it, or its requests would
        // go on being read and their answers dropped.
        let too_slow = async {
            self.reader_too_slow.wait().await;
            Err("reader-too-slow")
        };
        let flushed = async { self.buffer.flush(stream).await.map_err(|_| "peer-reset") };
        let stalled = async {
            self.stalled().await;
            Err("reader-stalled")
        };
        future::or(too_slow, future::or(flushed, stalled)).await
    }

    /// Completes when nothing was written for the time of the timeout though something was queued.
    async fn stalled(&self) {
        let mut previous_backlog = self.buffer.backlog();
        loop {
            self.context.clock.pause(WRITE_STALL_TIMEOUT_MS).await;
            let backlog = self.buffer.backlog();
            if previous_backlog > 0 && backlog >= previous_backlog {
                return;
            }
            previous_backlog = backlog;
        }
    }

    /// Tells the limiter how many bytes are queued here.
    fn account(&self) {
        self.set_accounted(self.buffer.backlog());
    }

    fn set_accounted(&self, bytes: usize) {
        self.context.limiter.account_queued(self.accounted_bytes.replace(bytes), bytes);
    }
}

impl Drop for WriteHalf {
    fn drop(&mut self) {
        self.set_accounted(0);
    }
}
