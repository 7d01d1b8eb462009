//! One caller's connection, the same for every protocol: its [`ReadHalf`], its [`WriteHalf`], and the order
//! in which it ends. Reading stops, the requests that were read are answered, output is flushed, the write
//! half is shut down, further input is read and discarded within bounds, then the socket is closed.
//! Independent of protocols and requests.

mod read_half;
mod write_half;

use std::future::Future;
use std::net::{Shutdown, TcpStream};

use async_io::Async;
use futures_lite::{AsyncReadExt, future};

pub use self::read_half::ReadHalf;
pub use self::write_half::WriteHalf;
use crate::server::core::api::CoreInput;
use crate::server::frontend::connection_state::ConnectionState;
use crate::server::frontend::context::FrontendContext;

/// Bounds, in ms and in bytes, on reading and discarding input after the write half was shut down. Closing a
/// socket with unread bytes resets the connection, which destroys answers that the other side has not read
/// yet.
pub const LINGER_MS: f64 = 1000.0;
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// The bound in ms once the process is about to end. It is shorter than the time that the core leaves between
/// the last answers and the end.
const FINAL_LINGER_MS: f64 = 60.0;
/// Number of bytes that are discarded at a time.
const DISCARD_CHUNK_BYTES: usize = 4096;

/// Why reading from a connection has stopped, with the reason code of its end if there are several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The requests that were read are answered, then the connection ends in order.
    Graceful(&'static str),
    /// As [`CloseReason::Graceful`], because the other side sends nothing more.
    PeerClosed,
    /// As [`CloseReason::Graceful`], because the process is about to end.
    Finishing,
    /// The input violates the protocol. Requests that were read before it fail at once, and the connection
    /// ends in order.
    ProtocolError(&'static str),
    /// No request was in flight, no input was unread, and the write half is already shut down.
    WriteClosed(&'static str),
    /// The other side is gone, and no answer can be delivered.
    PeerGone(&'static str),
}

/// Why the writer has stopped.
enum WriterEnd {
    /// All answers were written, or none was pending.
    Flushed(&'static str),
    /// The other side does not read the pending answers.
    Aborted(&'static str),
}

/// Runs a connection from its first byte to its end, and returns the reason code of the end. `reading` reads
/// messages and completes with the reason why it stops. `is_idle` returns whether no answer is pending.
pub async fn run(
    stream: &Async<TcpStream>,
    state: &ConnectionState,
    context: &FrontendContext,
    writer: &WriteHalf,
    reading: impl Future<Output = CloseReason>,
    is_idle: impl Fn() -> bool,
) -> &'static str {
    let reading = async {
        let end_reason = match reading.await {
            CloseReason::WriteClosed(reason) => return WriterEnd::Flushed(reason),
            CloseReason::PeerGone(reason) => return WriterEnd::Aborted(reason),
            CloseReason::ProtocolError(reason) => {
                let _ = context.queue.send(CoreInput::ProtocolError { caller: state.id }).await;
                reason
            }
            CloseReason::Graceful(reason) => reason,
            CloseReason::Finishing => "stopping",
            CloseReason::PeerClosed => peer_closed_code(state),
        };
        writer.end(end_reason);
        future::pending().await
    };
    match future::or(reading, writer.run(stream, is_idle)).await {
        WriterEnd::Flushed(reason) => {
            linger(stream, state, context).await;
            reason
        }
        WriterEnd::Aborted(reason) => reason,
    }
}

/// The reason code of a connection whose other side sends nothing more.
fn peer_closed_code(state: &ConnectionState) -> &'static str {
    if state.has_partial_message() {
        "cut-off"
    } else if state.is_going_away() {
        "drained"
    } else {
        "peer-closed"
    }
}

/// Shuts the write half down and discards further input until the other side closes or a bound is reached.
async fn linger(stream: &Async<TcpStream>, state: &ConnectionState, context: &FrontendContext) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    state.set_lingering();
    let finishing = async {
        context.status.finishing.wait().await;
        context.clock.pause(FINAL_LINGER_MS).await;
    };
    let evicted = state.eviction_request();
    let timeout = context.clock.pause(LINGER_MS);
    let bound = future::or(timeout, future::or(evicted, finishing));
    future::or(discard(stream, MAX_LINGER_BYTES), bound).await;
}

/// Reads and discards input until the other side closes or has sent `max_bytes`.
pub async fn discard(mut stream: &Async<TcpStream>, max_bytes: usize) {
    let mut chunk = [0; DISCARD_CHUNK_BYTES];
    let mut remaining = max_bytes;
    while let Ok(read) = stream.read(&mut chunk).await
        && (1..remaining).contains(&read)
    {
        remaining -= read;
        future::yield_now().await;
    }
}
