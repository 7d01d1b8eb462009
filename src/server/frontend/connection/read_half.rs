//! The read half of a connection: reads bytes, and handles the events that end the wait for them.

use std::future::Future;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::rc::Rc;

use async_io::Async;
use futures_lite::{AsyncReadExt, future};

use super::{CloseReason, WriteHalf};
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::frontend::context::FrontendContext;

/// Maximum number of bytes that are read at a time.
const READ_CHUNK_BYTES: usize = 4096;

/// The read half of a connection.
pub struct ReadHalf {
    stream: Rc<Async<TcpStream>>,
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
    writer: Rc<WriteHalf>,
    /// Bytes that were read and do not form a complete message yet.
    pub bytes: Vec<u8>,
    /// Completes when the connection should close. The future is kept from one read to the next, so that its
    /// timers are set again only if their time has changed.
    close_signal: CloseSignal,
}

type CloseSignal = Pin<Box<dyn Future<Output = ReadEvent>>>;

/// The event that ends the wait for bytes.
enum ReadEvent {
    /// The number of bytes that were read; 0 at the end of the stream.
    Read(io::Result<usize>),
    /// The body of a request was not completed in time.
    TimedOut,
    /// The connection should close if no more input has arrived, for this reason.
    CloseDue(&'static str),
    /// The process is about to end.
    Finishing,
}

/// Completes when the connection should close. Answers that the other side has not taken yet come first, and
/// reading goes on until then: the other side may still send requests.
fn close_signal(
    state: Rc<ConnectionState>,
    context: Rc<FrontendContext>,
    writer: Rc<WriteHalf>,
) -> CloseSignal {
    Box::pin(async move {
        let close_due = async {
            loop {
                let reason = state.close_due(&context.clock, context.caller_idle_timeout_ms()).await;
                if writer.is_flushed() {
                    return ReadEvent::CloseDue(reason);
                }
                writer.flushed().await;
            }
        };
        let finishing = async {
            context.status.finishing.wait().await;
            ReadEvent::Finishing
        };
        future::or(finishing, close_due).await
    })
}

impl ReadHalf {
    /// The read half of a connection from which nothing was read yet.
    pub fn new(
        stream: Rc<Async<TcpStream>>,
        state: Rc<ConnectionState>,
        context: Rc<FrontendContext>,
        writer: Rc<WriteHalf>,
    ) -> Self {
        let close_signal = close_signal(state.clone(), context.clone(), writer.clone());
        ReadHalf { stream, state, context, writer, bytes: Vec::new(), close_signal }
    }

    /// Appends more bytes to [`ReadHalf::bytes`]. `deadline_ms`, Unix ms, limits the wait where the body of a
    /// request must be complete by then. Bytes that arrive before the event that ends the wait are always
    /// read first.
    ///
    /// While an answer is pending, nothing but the other side, the end of the process and that deadline ends
    /// the wait, however long a partial message takes: the other side was not told to send nothing more, and
    /// requests that it sends behind that message have to be read.
    pub async fn read_more(&mut self, deadline_ms: Option<f64>) -> Result<(), CloseReason> {
        self.state.set_partial_message(!self.bytes.is_empty(), self.context.clock.now());
        if self.bytes.is_empty() {
            // Frees the buffer: otherwise its peak capacity would stay allocated until the connection closes.
            self.bytes = Vec::new();
        }
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match self.next_event(&mut chunk, deadline_ms).await {
                ReadEvent::Read(Ok(0)) => return Err(CloseReason::PeerClosed),
                ReadEvent::Read(Ok(read)) => {
                    self.bytes.extend_from_slice(&chunk[..read]);
                    return Ok(());
                }
                ReadEvent::Read(Err(_)) => return Err(CloseReason::PeerGone("peer-reset")),
                ReadEvent::TimedOut => return Err(CloseReason::Graceful("sender-stalled")),
                ReadEvent::Finishing => return Err(CloseReason::Finishing),
                ReadEvent::CloseDue(reason) => {
                    self.close_signal =
                        close_signal(self.state.clone(), self.context.clone(), self.writer.clone());
                    self.shut_down_if_quiet(reason)?;
                }
            }
        }
    }

    async fn next_event(&mut self, chunk: &mut [u8], deadline_ms: Option<f64>) -> ReadEvent {
        let clock = &self.context.clock;
        let timed_out = async {
            match deadline_ms {
                Some(deadline_ms) => clock.until(deadline_ms).await,
                None => future::pending().await,
            }
            ReadEvent::TimedOut
        };
        let mut stream = &*self.stream;
        let read = async { ReadEvent::Read(stream.read(chunk).await) };
        // Reading is polled first, so that bytes in the socket take precedence over the other events.
        future::or(read, future::or(timed_out, &mut self.close_signal)).await
    }

    /// Shuts the write half down and returns `Err`, unless more input has arrived. Nothing else runs between
    /// the check of the socket and the shutdown: input that the other side wrote before is read, and input
    /// that it writes later meets a connection that is shut down, so that the other side sends it again to
    /// another server.
    fn shut_down_if_quiet(&self, reason: &'static str) -> Result<(), CloseReason> {
        let socket = self.stream.get_ref();
        match socket.peek(&mut [0]) {
            Ok(0) => Err(CloseReason::PeerClosed),
            Ok(_) => {
                self.state.cancel_eviction();
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                let _ = socket.shutdown(Shutdown::Write);
                Err(CloseReason::WriteClosed(reason))
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(()),
            Err(_) => Err(CloseReason::PeerGone("peer-reset")),
        }
    }
}
