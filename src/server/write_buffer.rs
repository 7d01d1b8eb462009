//! A queue of bytes that wait to be written to one connection. Pushing never waits; the user of the queue
//! bounds its length.

use std::cell::{Cell, RefCell};
use std::io;

use futures_lite::{AsyncWrite, AsyncWriteExt};

use crate::server::sync::Notify;

/// The bytes that wait to be written to one connection.
#[derive(Debug, Default)]
pub struct WriteBuffer {
    /// Bytes that no flush has taken out yet.
    queued: RefCell<Vec<u8>>,
    wakeup: Notify,
    /// Number of bytes that a flush has taken out and not written yet.
    being_written: Cell<usize>,
}

impl WriteBuffer {
    /// Appends the bytes that `fill` writes and wakes the writer.
    pub fn push(&self, fill: impl FnOnce(&mut Vec<u8>)) {
        fill(&mut self.queued.borrow_mut());
        self.wakeup.wake();
    }

    /// Number of bytes that have not been passed to the socket.
    pub fn backlog(&self) -> usize {
        self.queued.borrow().len() + self.being_written.get()
    }

    /// Wakes the writer without new bytes, so that it checks whether it is done.
    pub fn wake(&self) {
        self.wakeup.wake();
    }

    /// Drops the bytes that were not written.
    pub fn clear(&self) {
        self.queued.borrow_mut().clear();
        self.being_written.set(0);
    }

    /// Waits for a wake-up and writes all queued bytes in order. Returns the errors of the stream, and
    /// `WriteZero` if the stream accepts no more bytes.
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
