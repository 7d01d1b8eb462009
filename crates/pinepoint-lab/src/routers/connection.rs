//! The connection of one router to one member. It matches answers to the requests in flight.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_channel::{Receiver, Sender, bounded};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

use crate::load::{Incoming, Outcome, Request, take_incoming};

/// Maximum number of requests in flight on one connection.
const MAX_IN_FLIGHT: usize = 32;
/// Pause before a reconnect.
pub(super) const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes that are read at a time.
const READ_BYTES: usize = 16 * 1024;

/// Error of a request whose connection was lost before its answer was received.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionLost;

/// Result of a request on a connection.
pub(super) type Answer = Result<Outcome, ConnectionLost>;

/// An open connection and the requests in flight on it.
pub(super) struct Connection {
    stream: Async<TcpStream>,
    pending: RefCell<HashMap<u64, Sender<Answer>>>,
    last_id: Cell<u64>,
    is_draining: Cell<bool>,
}

impl Connection {
    /// Connects to a member.
    pub(super) async fn connect(address: SocketAddr) -> io::Result<Connection> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Connection {
            stream,
            pending: RefCell::default(),
            last_id: Cell::new(0),
            is_draining: Cell::new(false),
        })
    }

    /// Whether a request may be sent on this connection now.
    pub(super) fn accepts_requests(&self) -> bool {
        !self.is_draining.get() && self.pending.borrow().len() < MAX_IN_FLIGHT
    }

    /// Sends one attempt of a request. Returns the channel on which its answer arrives.
    pub(super) async fn send(
        &self,
        request: &Request,
        first_sent_ms: u128,
        is_retry: bool,
    ) -> Result<Receiver<Answer>, ConnectionLost> {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let bytes = request.message(id, first_sent_ms, is_retry).map_err(|_| ConnectionLost)?;
        let (sender, answer) = bounded(1);
        self.pending.borrow_mut().insert(id, sender);
        (&self.stream).write_all(&bytes).await.map_err(|_| ConnectionLost)?;
        Ok(answer)
    }

    /// Reads messages until the connection ends, or until it is draining and no request is in flight.
    pub(super) async fn read_messages(&self, on_unexpected_answer: impl Fn()) {
        let (mut input, mut chunk) = (Vec::new(), vec![0; READ_BYTES]);
        loop {
            match (&self.stream).read(&mut chunk).await {
                Ok(n) if n > 0 => input.extend_from_slice(&chunk[..n]),
                _ => return,
            }
            while let Some(incoming) = take_incoming(&mut input) {
                match incoming {
                    Incoming::GoAway => self.is_draining.set(true),
                    Incoming::Answer(id, outcome) => match self.pending.borrow_mut().remove(&id) {
                        Some(answer_sender) => {
                            let _ = answer_sender.try_send(Ok(outcome));
                        }
                        None => on_unexpected_answer(),
                    },
                }
            }
            if self.is_draining.get() && self.pending.borrow().is_empty() {
                return;
            }
        }
    }

    /// Fails all requests in flight with [`ConnectionLost`].
    pub(super) fn fail_pending(&self) {
        for (_, answer_sender) in self.pending.take() {
            let _ = answer_sender.try_send(Err(ConnectionLost));
        }
    }
}
