//! The write half of a connection: its bounded queue of bytes, the writer that empties the queue, and the
//! limits on slow readers.

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

/// Number of queued bytes above which nothing is read from the connection. More than the longest answers to
/// as many requests as may be open: the requests of a caller within that limit are read, however slowly it
/// takes its answers.
const PAUSE_READING_AT_BYTES: usize = 144 * 1024;
/// Number of queued bytes above which the connection is aborted because its reader is too slow.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Time without progress, while bytes are queued, after which the connection is aborted, ms.
const WRITE_STALL_TIMEOUT_MS: f64 = 15_000.0;
/// Interval at which a queue that is too long is checked, ms.
const BACKLOG_POLL_MS: f64 = 20.0;

/// The write half of a connection.
pub struct WriteHalf {
    buffer: WriteBuffer,
    context: Rc<FrontendContext>,
    /// Number of queued bytes that were reported to the limiter.
    accounted_bytes: Cell<usize>,
    /// Opened when the queued bytes have reached a limit.
    reader_too_slow: Latch,
    flushed: Notify,
    /// The reason code of the end, once the connection is to end.
    end_reason: Cell<Option<&'static str>>,
}

impl WriteHalf {
    /// A write half with an empty queue.
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

    /// Queues the bytes that `fill` appends. Above the limits nothing is queued, and the connection ends.
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

    /// Whether all queued bytes were passed to the system.
    pub(super) fn is_flushed(&self) -> bool {
        self.buffer.backlog() == 0
    }

    /// Completes when all queued bytes were passed to the system. [`WriteHalf::run`] ends a connection whose
    /// reader stalls.
    pub(super) async fn flushed(&self) {
        while !self.is_flushed() {
            self.flushed.wait().await;
        }
    }

    /// Ends the connection with this reason code once no answer is pending and all queued bytes are written.
    pub(super) fn end(&self, reason: &'static str) {
        self.end_reason.set(self.end_reason.get().or(Some(reason)));
        self.buffer.wake();
    }

    /// Writes the queued bytes until the connection ends.
    pub(super) async fn run(&self, stream: &Async<TcpStream>, is_idle: impl Fn() -> bool) -> WriterEnd {
        loop {
            if let Err(reason) = self.flush(stream).await {
                return WriterEnd::Aborted(reason);
            }
            self.account();
            self.flushed.wake();
            if let Some(reason) = self.end_reason.get().filter(|_| is_idle() && self.is_flushed()) {
                return WriterEnd::Flushed(reason);
            }
        }
    }

    /// Waits for bytes and writes them. `Err` holds the reason code if the connection has to be aborted.
    async fn flush(&self, stream: &Async<TcpStream>) -> Result<(), &'static str> {
        // A write that the other side never reads does not complete. The end of the connection must not wait
        // for it: otherwise more requests would be read and their answers dropped.
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

    /// Completes when nothing was written for the stall timeout although bytes were queued.
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

    /// Reports the number of queued bytes to the limiter.
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
