//! The handshake of both sides: preambles, the listening sockets, and the predecessor's `Hello`.

use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::net::{SocketAddr, UnixStream};
use std::path::Path;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use pinepoint_events::reason_codes;

use super::READ_BUFFER_BYTES;
use super::fd_passing::{receive_with_fds, send_with_fds};
use super::link::{Link, LinkTask};
use crate::message::{Hello, Message};
use crate::ownership::NoPredecessor;
use crate::wire::{self, Decoder, PREAMBLE_LENGTH, WireError};

/// Timeout of a handshake: of the preamble, and on the successor's side of the `Hello` as well.
pub(super) const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the outcome of `work`, or `timeout_error` after [`HANDSHAKE_TIMEOUT`].
pub(super) async fn with_handshake_timeout<T, E>(
    work: impl Future<Output = Result<T, E>>,
    timeout_error: E,
) -> Result<T, E> {
    let timeout = async {
        Timer::after(HANDSHAKE_TIMEOUT).await;
        Err(timeout_error)
    };
    future::or(work, timeout).await
}

fn is_same_user(stream: &Async<UnixStream>) -> bool {
    rustix::net::sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

// ---- the successor's side ----

/// A predecessor that has sent its `Hello`.
pub struct Connected {
    /// The predecessor's `Hello`: the first event of the successor's state machine.
    pub hello: Hello,
    /// The predecessor's listening sockets with their names, in the order of the `Hello`.
    pub listeners: Vec<(String, TcpListener)>,
    /// Sends messages to the predecessor.
    pub link: Link,
    /// Has to be run for the link to work.
    pub task: LinkTask,
}

/// Connects to a predecessor, within one second. `number` identifies the link.
///
/// # Errors
/// The reason why no predecessor is connected.
pub async fn connect(path: &Path, number: u64) -> Result<Connected, NoPredecessor> {
    with_handshake_timeout(handshake_with_predecessor(path, number), NoPredecessor::TimedOut).await
}

async fn handshake_with_predecessor(path: &Path, number: u64) -> Result<Connected, NoPredecessor> {
    SocketAddr::from_pathname(path).map_err(|_| NoPredecessor::BadPath)?;
    let mut stream = Async::<UnixStream>::connect(path).await.map_err(|error| connect_error(&error))?;
    if !is_same_user(&stream) {
        return Err(NoPredecessor::OtherUser);
    }
    stream.write_all(&wire::preamble()).await.map_err(|error| connection_error(&error))?;
    let passed = receive_preamble(&stream).await?;
    let mut decoder = Decoder::default();
    let hello = receive_hello(&mut stream, &mut decoder).await?;
    let listeners = named_listeners(&hello, passed)?;
    let (link, task) = Link::new(number, stream, decoder);
    Ok(Connected { hello, listeners, link, task })
}

fn connect_error(error: &io::Error) -> NoPredecessor {
    match error.kind() {
        io::ErrorKind::NotFound => NoPredecessor::NoSocket,
        io::ErrorKind::ConnectionRefused => NoPredecessor::Refused,
        io::ErrorKind::InvalidInput
        | io::ErrorKind::InvalidFilename
        | io::ErrorKind::PermissionDenied
        | io::ErrorKind::NotADirectory => NoPredecessor::BadPath,
        _ => NoPredecessor::System,
    }
}

fn connection_error(error: &io::Error) -> NoPredecessor {
    match error.kind() {
        io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => {
            NoPredecessor::Closed
        }
        _ => NoPredecessor::System,
    }
}

impl From<WireError> for NoPredecessor {
    fn from(error: WireError) -> Self {
        match error {
            WireError::Version => NoPredecessor::OtherVersion,
            WireError::Magic | WireError::TooLong | WireError::Malformed => NoPredecessor::ProtocolMismatch,
        }
    }
}

/// Receives the predecessor's preamble, and the descriptors attached to it.
async fn receive_preamble(stream: &Async<UnixStream>) -> Result<Vec<OwnedFd>, NoPredecessor> {
    let mut preamble = [0; PREAMBLE_LENGTH];
    let mut passed = Vec::new();
    let mut filled = 0;
    while filled < PREAMBLE_LENGTH {
        let buffer = &mut preamble[filled..];
        let received = stream
            .read_with(|stream| receive_with_fds(stream, buffer, &mut passed))
            .await
            .map_err(|error| connection_error(&error))?;
        if received == 0 {
            return Err(NoPredecessor::Closed);
        }
        filled += received;
    }
    wire::check_preamble(&preamble)?;
    Ok(passed)
}

async fn receive_hello(
    stream: &mut Async<UnixStream>,
    decoder: &mut Decoder,
) -> Result<Hello, NoPredecessor> {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        match decoder.next_message()? {
            Some(Message::Hello(hello)) => return Ok(hello),
            Some(_) => return Err(NoPredecessor::ProtocolMismatch),
            None => {}
        }
        let received = stream.read(&mut buffer).await.map_err(|error| connection_error(&error))?;
        if received == 0 {
            return Err(NoPredecessor::Closed);
        }
        decoder.push(&buffer[..received]);
    }
}

/// Pairs the names of the `Hello` with the passed descriptors, all of which have to be listening sockets.
fn named_listeners(hello: &Hello, passed: Vec<OwnedFd>) -> Result<Vec<(String, TcpListener)>, NoPredecessor> {
    let all_listen =
        passed.iter().all(|socket| rustix::net::sockopt::socket_acceptconn(socket).unwrap_or(false));
    if passed.len() != hello.listeners.len() || !all_listen {
        return Err(NoPredecessor::BadListeners);
    }
    let listeners = passed.into_iter().map(TcpListener::from);
    Ok(hello.listeners.iter().cloned().zip(listeners).collect())
}

// ---- the predecessor's side ----

reason_codes! {
    /// Why a connection to the handover socket is closed before it becomes a link.
    HandshakeError {
        /// The peer runs as another user.
        OtherUser = "other-user",
        /// The peer sent no preamble in time.
        TimedOut = "no-preamble-in-time",
        /// The peer did not send a preamble of the handover protocol.
        ProtocolMismatch = "not-a-handover",
        /// The peer speaks another protocol version.
        OtherVersion = "other-version",
        /// The connection failed.
        ConnectionLost = "closed-in-preamble",
        /// Too many handshakes were pending, and this one was the oldest.
        TooManyPending = "too-many-greeted",
    }
}

impl From<WireError> for HandshakeError {
    fn from(error: WireError) -> Self {
        match error {
            WireError::Version => HandshakeError::OtherVersion,
            WireError::Magic | WireError::TooLong | WireError::Malformed => HandshakeError::ProtocolMismatch,
        }
    }
}

/// Receives a successor's preamble and checks it. A peer of another version is sent the preamble of this
/// version, and no sockets.
pub(super) async fn receive_successor_preamble(stream: &mut Async<UnixStream>) -> Result<(), HandshakeError> {
    if !is_same_user(stream) {
        return Err(HandshakeError::OtherUser);
    }
    let mut preamble = [0; PREAMBLE_LENGTH];
    stream.read_exact(&mut preamble).await.map_err(|_| HandshakeError::ConnectionLost)?;
    let Err(error) = wire::check_preamble(&preamble) else { return Ok(()) };
    if error == WireError::Version {
        let _ = stream.write_all(&wire::preamble()).await;
    }
    Err(error.into())
}

/// Sends the predecessor's preamble with the listening sockets attached: those that are not released when the
/// stream becomes writable.
pub(super) async fn send_preamble(
    stream: &mut Async<UnixStream>,
    listeners: &RefCell<Vec<OwnedFd>>,
) -> io::Result<()> {
    let preamble = wire::preamble();
    let sent = stream.write_with(|stream| send_with_fds(stream, &preamble, &listeners.borrow())).await?;
    stream.write_all(&preamble[sent..]).await
}
