//! Opens listening sockets, and accepts no connections.

use std::io;
use std::net::{SocketAddr, TcpListener};

use async_io::Async;
use pinepoint_clock::Clock;

use crate::signals::SignalStream;
use crate::start_error::StartError;

/// Time to wait for an address that is in use, ms. The platform allows 30 s for a start.
const ADDRESS_IN_USE_TIMEOUT_MS: f64 = 15_000.0;
/// Pause between two attempts, ms.
const RETRY_MS: f64 = 20.0;

/// A listening socket that is ready for the executor.
pub struct BoundListener {
    /// The socket.
    pub listener: Async<TcpListener>,
    /// Address of the socket, with the port that the system chose for port 0.
    pub address: SocketAddr,
}

impl BoundListener {
    /// Makes a listening socket ready for the executor.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let address = listener.local_addr()?;
        Ok(BoundListener { listener: Async::new(listener)?, address })
    }
}

/// Opens a socket on which no other process can listen.
pub fn listen_exclusively(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
}

/// Opens a listening socket with `open`, and retries for a while if the address is in use: the previous
/// process on that address is about to end, and a failed start would leave the fleet with one server less.
///
/// # Errors
///
/// [`StartError::Terminated`] if a termination notice arrives during the wait, [`StartError::System`] for any
/// other failure and if the address is still in use after the wait. `name` identifies the socket in logs and
/// errors.
pub fn bind(
    name: &'static str,
    address: SocketAddr,
    open: fn(SocketAddr) -> io::Result<TcpListener>,
    signals: &mut SignalStream,
    clock: &Clock,
) -> Result<BoundListener, StartError> {
    let deadline_ms = clock.now() + ADDRESS_IN_USE_TIMEOUT_MS;
    let mut is_logged = false;
    loop {
        match open(address).and_then(BoundListener::new) {
            Ok(bound) => return Ok(bound),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && clock.now() < deadline_ms => {
                if !is_logged {
                    tracing::warn!(what = name, %address, "address-in-use");
                    is_logged = true;
                }
                if async_io::block_on(signals.terminated_within(RETRY_MS, clock)) {
                    return Err(StartError::Terminated);
                }
            }
            Err(error) => return Err(StartError::System(name, error)),
        }
    }
}
