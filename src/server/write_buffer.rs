//! A queue of bytes that wait to be written to one connection. Its bound is its user's. Whoever fills it never waits.

use std::cell::{Cell, RefCell};
use std::io;

use futures_lite::{AsyncWrite, AsyncWriteExt};

use crate::server::sync::Notify;

/// The bytes that wait to be written to one connection.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    /// Bytes that no flush has taken yet.
    queued: RefCell<Vec<u8>>,
    wakeup: Notify,
    /// Bytes that a flush has taken and not written yet.
    being_written: Cell<usize>,
}

impl WriteBuffer {
    /// Appends what `fill` writes and wakes the writer.
    pub fn push(&self, fill: impl FnOnce(&mut Vec<u8>)) {
        fill(&mut self.queued.borrow_mut());
        self.wakeup.wake();
    }

    /// Bytes that have not been handed to the socket.
    pub fn backlog(&self) -> usize {
        self.queued.borrow().len() + self.being_written.get()
    }

    /// Wakes the writer without bytes, so that it checks whether it is done.
    pub fn wake(&self) {
        self.wakeup.wake();
    }

    /// Drops what was not written.
    pub fn clear(&self) {
        self.queued.borrow_mut().clear();
        self.being_written.set(0);
    }

    /// Waits for a wake-up and writes all there is, in order. Errors are those of the stream, and `WriteZero` where it takes
    /// nothing more.
    pub async fn flush(&self, mut stream: impl AsyncWrite + Unpin) -> io::Result<()> {
        self.wakeup.wait().await;
        loop {
            let chunk = self.queued.take();
            if chunk.is_empty() {
                return Ok(());
            }
            self.write(&chunk, &mut stream).await?;
        }
    }

    async fn write(&self, chunk: &[u8], stream: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        let mut rest = chunk;
        self.being_written.set(rest.len());
        while !rest.is_empty() {
            let written = stream.write(rest).await?;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[written..];
            self.being_written.set(rest.len());
        }
        Ok(())
    }
}
