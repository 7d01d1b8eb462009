//! All I/O of this crate, over a Unix socket between the two processes. The module decides only which peers
//! are accepted.
//!
//! The predecessor runs an [`Acceptor`]; a successor calls [`connect`]. Both sides exchange a preamble, to
//! which the predecessor attaches its listening sockets, and then send messages over a [`Link`].

mod acceptor;
mod fd_passing;
mod handshake;
mod link;

pub use self::acceptor::{Accepted, Acceptor};
pub use self::fd_passing::MAX_LISTENERS;
pub use self::handshake::{Connected, HandshakeError, connect};
pub use self::link::{Link, LinkCloseReason, LinkTask};

use std::path::{Path, PathBuf};

/// Name of the socket in the directory that both processes share.
const SOCKET_NAME: &str = "pinepoint-handover.sock";
/// Size of a read buffer, bytes.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Path of the socket on which the predecessor listens.
pub fn socket_path(shared_directory: &Path) -> PathBuf {
    shared_directory.join(SOCKET_NAME)
}
