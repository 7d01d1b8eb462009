//! Runs a member on a real socket: one UDP socket, one task, and answers to queries for the view. It carries out what
//! [`crate::membership`] decides; it decides nothing itself and never waits for a peer.

mod refusal_check;
mod report;
mod service;
mod view_client;
mod view_server;

use std::io;
use std::net::{SocketAddr, UdpSocket};

pub use service::{Dependencies, MembershipService, StatusSource, start};
pub use view_client::{QueryError, query_view};
pub use view_server::PAGE_BYTES;

/// A socket that is connected to one address: it receives from there only, errors reported by that system included.
fn connected_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let any_port: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0; 16], 0).into() };
    let socket = UdpSocket::bind(any_port)?;
    socket.connect(address)?;
    Ok(socket)
}
