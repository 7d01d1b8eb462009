//! Opening listening sockets. It must never accept a connection.

use std::io;
use std::net::{SocketAddr, TcpListener};

use async_io::Async;
use pinepoint_clock::Clock;

use crate::signals::Signs;
use crate::start_error::StartError;

/// How long an address that is in use is waited for, and between two tries, ms. The platform gives a start 30 s.
const BIND_MS: f64 = 15_000.0;
const BIND_AGAIN_MS: f64 = 20.0;

/// A listening socket, and the address that it has.
pub type Bound = (Async<TcpListener>, SocketAddr);

/// A listening socket made ready for the executor, and its address.
pub fn with_address(listener: TcpListener) -> io::Result<Bound> {
    let address = listener.local_addr()?;
    Ok((Async::new(listener)?, address))
}

/// Opens a listening socket. An address that is in use is waited for: the process that had it a moment ago is about to
/// end, and a start that failed for it would be a comparer that is missing. Nothing there if the notice to leave came
/// first.
pub fn bind(
    what: &'static str,
    address: SocketAddr,
    open: fn(SocketAddr) -> io::Result<TcpListener>,
    signs: &mut Signs,
    clock: &Clock,
) -> Result<Option<Bound>, StartError> {
    let until = clock.now() + BIND_MS;
    let mut told = false;
    loop {
        match open(address).and_then(with_address) {
            Ok(bound) => return Ok(Some(bound)),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && clock.now() < until => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!(what, %address, "address-in-use");
                }
                if async_io::block_on(signs.notice_within(BIND_AGAIN_MS, clock)) {
                    return Ok(None);
                }
            }
            Err(error) => return Err(StartError::System(what, error)),
        }
    }
}
