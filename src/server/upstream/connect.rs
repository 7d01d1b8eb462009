//! Opens connections with a timeout, and computes the pause between attempts. This module keeps no
//! connection.

use std::io;
use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use futures_lite::future;
use pinepoint_clock::Clock;

/// Connect timeout, ms: longer than connecting over loopback ever takes, and short compared with the time
/// that clients wait for an answer.
const CONNECT_TIMEOUT_MS: f64 = 1000.0;
/// First pause between two attempts to connect, ms.
const INITIAL_BACKOFF_MS: f64 = 20.0;
/// Longest pause between two attempts to connect, ms.
const MAX_BACKOFF_MS: f64 = 500.0;

/// Connects, or fails with [`io::ErrorKind::TimedOut`]. Like a refused connection, a timeout proves that
/// nothing was written.
pub(super) async fn connect(address: SocketAddr, clock: &Clock) -> io::Result<Async<TcpStream>> {
    let timeout = async {
        clock.pause(CONNECT_TIMEOUT_MS).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = future::or(Async::<TcpStream>::connect(address), timeout).await?;
    stream.get_ref().set_nodelay(true)?;
    Ok(stream)
}

/// Exponential backoff between attempts to connect.
#[derive(Debug)]
pub(super) struct Backoff {
    next_ms: f64,
}

impl Default for Backoff {
    fn default() -> Self {
        Backoff { next_ms: INITIAL_BACKOFF_MS }
    }
}

impl Backoff {
    /// The pause before the next attempt, ms. Each pause is twice the previous one, up to [`MAX_BACKOFF_MS`].
    pub(super) fn next_pause_ms(&mut self) -> f64 {
        let pause_ms = self.next_ms;
        self.next_ms = (pause_ms * 2.0).min(MAX_BACKOFF_MS);
        pause_ms
    }

    /// Resets the next pause to [`INITIAL_BACKOFF_MS`].
    pub(super) fn reset(&mut self) {
        *self = Backoff::default();
    }
}
