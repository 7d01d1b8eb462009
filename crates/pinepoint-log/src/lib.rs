//! The log: structured lines on standard error, as logfmt or JSON.
//!
//! It owns the format of a line, and the guarantee that a slow reader of the log never blocks the service: a line that does not
//! fit into the pipe at once is dropped and counted. It does not decide what is logged. Timestamps are those of the system clock
//! and only informative.
//!
//! ```
//! let options = pinepoint_log::Options { level: "warn".parse().expect("a level"), ..Default::default() };
//! pinepoint_log::init(&options).expect("no other log is set up");
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

/// The process has a log already.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a log is set up already in this process")]
pub struct AlreadyInitialized;

/// Sets up the log of this process on standard error.
///
/// # Errors
/// [`AlreadyInitialized`] from the second call on.
pub fn init(options: &Options) -> Result<(), AlreadyInitialized> {
    subscriber(options, MakeNonBlockingWriter(io::stderr)).try_init().map_err(|_| AlreadyInitialized)
}

/// A subscriber that writes lines to writers of `make_writer`.
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
