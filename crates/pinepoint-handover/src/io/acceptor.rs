//! The predecessor's listening end of the handover socket.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{SocketAddr, UnixListener, UnixStream};
use std::path::Path;
use std::rc::Rc;

use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use futures_lite::future;

use super::fd_passing::MAX_LISTENERS;
use super::handshake::{
    HANDSHAKE_TIMEOUT, HandshakeError, receive_successor_preamble, send_preamble, with_handshake_timeout,
};
use super::link::{Link, LinkTask};
use crate::wire::Decoder;

/// Prefix of the socket's temporary name, which ends in the process id. That name is shorter than the final
/// name for any id.
const TEMPORARY_PREFIX: &str = ".pphandover";
/// Maximum number of concurrent handshakes.
const MAX_PENDING_HANDSHAKES: usize = 8;

/// A successor that has received the listening sockets and waits for the `Hello`.
pub struct Accepted {
    /// Sends messages to the successor.
    pub link: Link,
    /// Has to be run for the link to work.
    pub task: LinkTask,
}

/// The socket on which a predecessor waits for its successor.
///
/// The socket file is never removed: a stale file refuses connections, and the next process replaces it
/// atomically.
pub struct Acceptor {
    socket: Async<UnixListener>,
    listeners: RefCell<Vec<OwnedFd>>,
    /// Tasks of pending handshakes by link number; the numbers increase in order of arrival.
    handshakes: RefCell<BTreeMap<u64, Task<()>>>,
}

impl Acceptor {
    /// Listens at `path`, replacing any existing file. Each successor is passed `listeners`, in this order.
    ///
    /// # Errors
    /// More than [`MAX_LISTENERS`] sockets, a path that is too long, or a system error.
    pub fn bind(path: &Path, listeners: &[&TcpListener]) -> io::Result<Acceptor> {
        if listeners.len() > MAX_LISTENERS {
            let message =
                format!("{} listening sockets given: at most {MAX_LISTENERS} can be passed", listeners.len());
            return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
        }
        // The temporary name is shorter: binding it does not prove that the final path is short enough.
        SocketAddr::from_pathname(path)?;
        let listeners = listeners
            .iter()
            .map(|listener| listener.as_fd().try_clone_to_owned())
            .collect::<Result<_, _>>()?;
        let temporary = path.with_file_name(format!("{TEMPORARY_PREFIX}{}", std::process::id()));
        let socket = bind_and_rename(path, &temporary).inspect_err(|_| {
            let _ = std::fs::remove_file(&temporary);
        })?;
        Ok(Acceptor { socket, listeners: RefCell::new(listeners), handshakes: RefCell::default() })
    }

    /// Closes the copies of the listening sockets: later successors are passed none.
    pub fn release(&self) {
        self.listeners.borrow_mut().clear();
    }

    /// Accepts connections, runs each handshake in its own task, and sends the successors to `peers`. Links
    /// are numbered from `first_number` on. Ends when the receiver of `peers` is dropped.
    pub async fn run(
        self: Rc<Self>,
        first_number: u64,
        executor: Rc<LocalExecutor<'_>>,
        peers: Sender<Accepted>,
    ) {
        let mut number = first_number;
        while !peers.is_closed() {
            let closed = async {
                peers.closed().await;
                None
            };
            let accepted = async { Some(self.socket.accept().await) };
            match future::or(accepted, closed).await {
                None => return,
                Some(Ok((stream, _))) => {
                    self.evict_oldest_handshake();
                    let task = executor.spawn(self.clone().handle_connection(number, stream, peers.clone()));
                    self.handshakes.borrow_mut().insert(number, task);
                    number += 1;
                }
                // The process is out of file descriptors, or the peer has already disconnected.
                Some(Err(error)) => {
                    tracing::warn!(%error, "handover-accept");
                    Timer::after(HANDSHAKE_TIMEOUT).await;
                }
            }
        }
    }

    /// Cancels the oldest handshake if too many are pending. A successor sends its preamble at once, so a
    /// peer whose handshake has been pending for long is not a successor.
    fn evict_oldest_handshake(&self) {
        let mut handshakes = self.handshakes.borrow_mut();
        if handshakes.len() >= MAX_PENDING_HANDSHAKES {
            tracing::warn!(reason = %HandshakeError::TooManyPending, "handover-rejected");
            handshakes.pop_first();
        }
    }

    async fn handle_connection(
        self: Rc<Self>,
        number: u64,
        stream: Async<UnixStream>,
        peers: Sender<Accepted>,
    ) {
        let handshake = self.handshake_with_successor(number, stream);
        let result = with_handshake_timeout(handshake, HandshakeError::TimedOut).await;
        // From here on this task can neither be evicted nor be cancelled by dropping its handle.
        if let Some(task) = self.handshakes.borrow_mut().remove(&number) {
            task.detach();
        }
        match result {
            Ok(accepted) => {
                let _ = peers.send(accepted).await;
            }
            Err(reason) => tracing::warn!(%reason, "handover-rejected"),
        }
    }

    async fn handshake_with_successor(
        &self,
        number: u64,
        mut stream: Async<UnixStream>,
    ) -> Result<Accepted, HandshakeError> {
        receive_successor_preamble(&mut stream).await?;
        send_preamble(&mut stream, &self.listeners).await.map_err(|_| HandshakeError::ConnectionLost)?;
        let (link, task) = Link::new(number, stream, Decoder::default());
        Ok(Accepted { link, task })
    }
}

/// Binds under a temporary name and renames, so that a stale socket at the path is replaced atomically.
fn bind_and_rename(path: &Path, temporary: &Path) -> io::Result<Async<UnixListener>> {
    // An earlier process with this id may have left a temporary file.
    let _ = std::fs::remove_file(temporary);
    let socket = Async::<UnixListener>::bind(temporary)?;
    std::fs::set_permissions(temporary, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(temporary, path)?;
    Ok(socket)
}
