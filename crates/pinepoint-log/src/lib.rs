//! The log: structured lines on standard error, as logfmt or JSON.
//!
//! The crate defines the format of a line and guarantees that a slow reader of the log never blocks the
//! service: a line that cannot be written immediately is dropped and counted. It does not decide what is
//! logged. Timestamps are those of the system clock and only informative.
//!
//! ```
//! let level = "warn".parse().expect("parse the level");
//! let options = pinepoint_log::Options { level, ..Default::default() };
//! pinepoint_log::init(&options).expect("set up the only log");
//! tracing::warn!(conn = 7, reason = "peer-reset", "conn-ended");
//! assert_eq!(pinepoint_log::lines_left_out(), 0);
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod options;
mod writer;

pub use self::options::{LevelFilter, LineFormat, Options, ParseLevelError};
pub use self::writer::{MAX_LINE_BYTES, MakeNonBlockingWriter, NonBlockingWriter, lines_left_out};

use std::io;

use thiserror::Error;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry};

/// A log is already set up in this process.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a log is already set up in this process")]
pub struct AlreadyInitialized;

/// Sets up the log of this process on standard error.
///
/// # Errors
/// [`AlreadyInitialized`] from the second call on.
pub fn init(options: &Options) -> Result<(), AlreadyInitialized> {
    subscriber(options, MakeNonBlockingWriter(io::stderr)).try_init().map_err(|_| AlreadyInitialized)
}

/// Returns a subscriber that writes each line to a writer of `make_writer`.
pub fn subscriber<M>(options: &Options, make_writer: M) -> impl tracing::Subscriber + Send + Sync
where
    M: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = options.level.clone().into_targets();
    let layer: Box<dyn Layer<Registry> + Send + Sync> = match options.format {
        LineFormat::Text => {
            tracing_logfmt::builder().layer().with_writer(make_writer).with_filter(filter).boxed()
        }
        LineFormat::Json => {
            let json = tracing_subscriber::fmt::layer().json().flatten_event(true);
            json.with_writer(make_writer).with_filter(filter).boxed()
        }
    };
    tracing_subscriber::registry().with(layer)
}
