//! Writers that drop a line if writing it would block.

use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tracing_subscriber::fmt::MakeWriter;

/// Maximum length of a line, bytes: as much as a writable pipe takes without blocking (POSIX `PIPE_BUF`).
pub const MAX_LINE_BYTES: usize = 4096;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of lines that this process has dropped, because the reader of the log was too slow or the lines
/// were too long.
pub fn lines_left_out() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Makes a [`NonBlockingWriter`] for each line, over a writer that the function returns.
#[derive(Clone, Copy, Debug)]
pub struct MakeNonBlockingWriter<F>(pub F);

impl<'a, F: Fn() -> W, W: Write + AsFd> MakeWriter<'a> for MakeNonBlockingWriter<F> {
    type Writer = NonBlockingWriter<W>;

    fn make_writer(&'a self) -> NonBlockingWriter<W> {
        NonBlockingWriter((self.0)())
    }
}

/// Writes a line if that does not block; otherwise drops and counts the line. Writing never fails.
#[derive(Debug)]
pub struct NonBlockingWriter<W>(W);

impl<W: Write + AsFd> Write for NonBlockingWriter<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
        let ready = poll(&mut [PollFd::new(&self.0, PollFlags::OUT)], Some(&no_wait));
        let is_writable = ready.is_ok_and(|count| count > 0);
        // A write error is not returned: an unwritable log must not stop the service.
        if line.len() > MAX_LINE_BYTES || !is_writable || self.0.write_all(line).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
