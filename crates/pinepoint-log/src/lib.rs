//! The log: structured lines on standard error, as `name=value` words or as JSON. It owns the form of a line and the
//! promise that a reader of the log that has stopped reading stops nobody: what does not fit into its pipe now is
//! left out and counted. It must never wait, and it must never decide what is worth a line.
//!
//! Times in it are the system's own: they are for people, and nothing is decided by them.
//!
//! ```
//! let options = pinepoint_log::Options { level: "warn".parse().expect("a level"), ..Default::default() };
//! pinepoint_log::init(&options).expect("no other log is set up");
//! tracing::warn!(conn = 7, reason = "peer-reset", "conn-ended");
//! assert_eq!(pinepoint_log::lines_left_out(), 0);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::str::FromStr;
use std::sync::atomic::{AtomicU64, Ordering};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde::Deserialize;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry};

/// Longest line, bytes: as much as a pipe that can be written to takes without waiting (POSIX `PIPE_BUF`).
pub const LINE_MOST: usize = 4096;

static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Lines that were left out so far, as their reader did not read or they were too long.
pub fn lines_left_out() -> u64 {
    LEFT_OUT.load(Ordering::Relaxed)
}

/// What the operators choose.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// The form of a line.
    pub form: Form,
    /// What is worth a line.
    pub level: Level,
}

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Form {
    /// Words as `name=value`, quoted where they need it.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// A level for all, and others for parts of the program: `info,pinepoint::node::links=debug`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(try_from = "String")]
pub struct Level(Targets);

impl Default for Level {
    fn default() -> Self {
        Level(Targets::new().with_default(tracing::Level::INFO))
    }
}

/// Text that is no level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LevelError(String);

impl fmt::Display for LevelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} is no level: write error, warn, info, debug or trace, or PART=LEVEL, with commas",
            self.0
        )
    }
}

impl std::error::Error for LevelError {}

impl FromStr for Level {
    type Err = LevelError;

    fn from_str(text: &str) -> Result<Self, LevelError> {
        // A word alone is taken for the name of a part by the library; a misspelt level would silence nothing.
        let known =
            |word: &str| word.contains('=') || word.parse::<tracing::Level>().is_ok() || word == "off";
        match text.parse::<Targets>() {
            Ok(targets) if !text.is_empty() && text.split(',').all(|word| known(word.trim())) => {
                Ok(Level(targets))
            }
            _ => Err(LevelError(format!("{text:?}"))),
        }
    }
}

impl TryFrom<String> for Level {
    type Error = LevelError;

    fn try_from(text: String) -> Result<Self, LevelError> {
        text.parse()
    }
}

/// A log is set up already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadySet;

impl fmt::Display for AlreadySet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a log is set up already in this process")
    }
}

impl std::error::Error for AlreadySet {}

/// Sets up the log of this process, once.
pub fn init(options: &Options) -> Result<(), AlreadySet> {
    subscriber(options, Pipe(io::stderr)).try_init().map_err(|_| AlreadySet)
}

/// A log that writes its lines there.
pub fn subscriber<M>(options: &Options, to: M) -> impl tracing::Subscriber + Send + Sync
where
    M: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let Options { form, level } = options.clone();
    let layer: Box<dyn Layer<Registry> + Send + Sync> = match form {
        Form::Text => tracing_logfmt::builder().layer().with_writer(to).with_filter(level.0).boxed(),
        Form::Json => {
            let json = tracing_subscriber::fmt::layer().json().flatten_event(true);
            json.with_writer(to).with_filter(level.0).boxed()
        }
    };
    tracing_subscriber::registry().with(layer)
}

/// Makes writers that write a line only where that does not wait.
#[derive(Clone, Copy, Debug)]
pub struct Pipe<F>(pub F);

impl<'a, F: Fn() -> W, W: Write + AsFd> MakeWriter<'a> for Pipe<F> {
    type Writer = Line<W>;

    fn make_writer(&'a self) -> Line<W> {
        Line((self.0)())
    }
}

/// A writer for one line. What can't be written now is left out, and counted.
#[derive(Debug)]
pub struct Line<W>(W);

impl<W: Write + AsFd> Write for Line<W> {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        let ready = poll(&mut [PollFd::new(&self.0, PollFlags::OUT)], Some(&at_once)).is_ok_and(|n| n > 0);
        // A log that cannot be written is no reason to stop serving either.
        if line.len() > LINE_MOST || !ready || self.0.write_all(line).is_err() {
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn levels_are_read_and_what_is_none_is_refused() {
        for good in ["info", "warn,pinepoint::node::links=debug", "off", "pinepoint=trace"] {
            assert!(good.parse::<Level>().is_ok(), "{good}");
        }
        for bad in ["", "loud", "info,loud", "links=loud"] {
            let error = bad.parse::<Level>().expect_err(bad);
            assert!(error.to_string().contains("is no level"), "{error}");
        }
    }

    #[test]
    fn a_pipe_that_nobody_reads_is_not_waited_for() {
        let (reader, writer) = std::io::pipe().expect("a pipe");
        let before = lines_left_out();
        let mut line = Line(writer);
        let text = [b'x'; 1000];
        for _ in 0..1000 {
            line.write_all(&text).expect("never fails");
        }
        let left_out = lines_left_out() - before;
        assert!((900..1000).contains(&left_out), "a pipe takes 64 KiB: {left_out}");
        drop(reader);
        line.write_all(&text).expect("nor does it without a reader");
    }
}
