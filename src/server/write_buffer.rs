//! The queue of bytes that wait to be written to one connection. Whoever fills it never waits.

use std::cell::{Cell, RefCell};
use std::io;

use futures_lite::{AsyncWrite, AsyncWriteExt};

use crate::server::sync::Notify;

/// The writer queue of one connection: bytes that wait to be written. Whoever fills it never waits.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    bytes: RefCell<Vec<u8>>,
    signal: Notify,
    writing: Cell<usize>,
}

impl WriteBuffer {
    /// Appends what `fill` writes and wakes the writer.
    pub fn push(&self, fill: impl FnOnce(&mut Vec<u8>)) {
        fill(&mut self.bytes.borrow_mut());
        self.signal.wake();
    }

    /// Bytes that have not been handed to the socket.
    pub fn backlog(&self) -> usize {
        self.bytes.borrow().len() + self.writing.get()
    }

    /// Wakes the writer without bytes, so that it looks whether it is done.
    pub fn wake(&self) {
        self.signal.wake();
    }

    /// Forgets what was not written.
    pub fn clear(&self) {
        self.bytes.borrow_mut().clear();
        self.writing.set(0);
    }

    /// Waits for a wake-up and writes all there is, in order.
    pub async fn flush(&self, mut stream: impl AsyncWrite + Unpin) -> io::Result<()> {
        self.signal.wait().await;
        loop {
            let chunk = self.bytes.take();
            if chunk.is_empty() {
                return Ok(());
            }
            let mut rest = chunk.as_slice();
            self.writing.set(rest.len());
            while !rest.is_empty() {
                let written = stream.write(rest).await?;
                if written == 0 {
                    return Err(io::ErrorKind::WriteZero.into());
                }
                rest = &rest[written..];
                self.writing.set(rest.len());
            }
        }
    }
}
