//! Blocking client that queries a member for its view, used by the command-line tool.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use crate::wire::{Codec, MAX_DATAGRAM_BYTES, Message};

/// Upper bound of the size of a request without its padding, bytes.
const REQUEST_FRAME_BYTES: usize = 40;

/// Why a query has failed.
#[derive(Debug, thiserror::Error)]
pub enum QueryError {
    /// The socket could not be opened or set up.
    #[error(transparent)]
    System(#[from] io::Error),
    /// No answer was received: no member runs there, its fleet has another name, or it does not allow queries
    /// from here.
    #[error(
        "no answer: no member listens there, its fleet has another name (--fleet), or it does not allow queries from \
         here (view_from)"
    )]
    NoAnswer,
    /// The answer is not JSON.
    #[error("the answer is not valid JSON: {0}")]
    InvalidJson(#[source] serde_json::Error),
}

/// One page of a snapshot.
struct Page {
    json: Vec<u8>,
    page_count: u16,
}

/// Queries the member at this address for its view, as JSON. Each page is requested up to `attempts` times,
/// with `timeout` for each attempt.
pub fn query_view(
    fleet_name: &str,
    address: SocketAddr,
    attempts: u32,
    timeout: Duration,
) -> Result<serde_json::Value, QueryError> {
    let codec = Codec::new(fleet_name);
    let socket = super::connected_socket(address)?;
    socket.set_read_timeout(Some(timeout))?;
    let snapshot_id = RandomState::new().hash_one((std::process::id(), socket.local_addr()?));
    let mut json = Vec::new();
    let mut page = 0;
    loop {
        let Page { json: part, page_count } = query_page(&codec, &socket, snapshot_id, page, attempts)?;
        json.extend(part);
        page += 1;
        if page >= page_count {
            return serde_json::from_slice(&json).map_err(QueryError::InvalidJson);
        }
    }
}

fn query_page(
    codec: &Codec,
    socket: &UdpSocket,
    snapshot_id: u64,
    page: u16,
    attempts: u32,
) -> Result<Page, QueryError> {
    let padding = vec![0; MAX_DATAGRAM_BYTES - REQUEST_FRAME_BYTES];
    let request = Message::ViewRequest { snapshot_id, page, padding };
    let bytes = codec.encode(&request).map_err(|_| QueryError::NoAnswer)?;
    for _ in 0..attempts.max(1) {
        // The system reports a closed port on the next call. The member may still start to listen.
        if socket.send(&bytes).is_err() {
            continue;
        }
        if let Some(answer) = receive_page(codec, socket, snapshot_id, page) {
            return Ok(answer);
        }
    }
    Err(QueryError::NoAnswer)
}

/// Waits for a page, until nothing is received for the socket's timeout.
fn receive_page(codec: &Codec, socket: &UdpSocket, snapshot_id: u64, page: u16) -> Option<Page> {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    while let Ok(length) = socket.recv(&mut buffer) {
        if let Ok(Message::ViewPage { snapshot_id: answered_id, page: answered_page, page_count, json }) =
            codec.decode(&buffer[..length])
            && answered_id == snapshot_id
            && answered_page == page
        {
            return Some(Page { json, page_count });
        }
    }
    None
}
