//! Runs a member on a UDP socket, in one task, and answers queries for the view. It carries out the actions
//! of [`crate::membership`], makes no decisions itself and never waits for a peer.

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

/// A socket connected to one address. It receives only datagrams and reported errors from that address.
fn connected_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let any_port: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0; 16], 0).into() };
    let socket = UdpSocket::bind(any_port)?;
    socket.connect(address)?;
    Ok(socket)
}
