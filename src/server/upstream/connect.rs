//! Opening connections with a timeout, and the pause between attempts. It keeps no connection.

use std::io;
use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use futures_lite::future;
use pinepoint_clock::Clock;

/// Connect timeout, ms: longer than any loopback takes, and short beside what clients wait.
const CONNECT_TIMEOUT_MS: f64 = 1000.0;
/// First pause between two attempts, ms.
const INITIAL_BACKOFF_MS: f64 = 20.0;
/// Longest pause between two attempts, ms.
const MAX_BACKOFF_MS: f64 = 500.0;

/// Connects, or fails with [`io::ErrorKind::TimedOut`]: nothing was written then, which proves as much as a refused
/// connection does.
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
    /// The pause before the next attempt, ms; each is twice the one before, up to the longest.
    pub(super) fn next_pause_ms(&mut self) -> f64 {
        let pause_ms = self.next_ms;
        self.next_ms = (pause_ms * 2.0).min(MAX_BACKOFF_MS);
        pause_ms
    }

    /// Begins with the shortest pause again.
    pub(super) fn reset(&mut self) {
        *self = Backoff::default();
    }
}
