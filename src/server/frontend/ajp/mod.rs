//! The AJP13 frontend, for web servers that forward to a container. `packet` implements the framing,
//! `request` parses the head of a request, `response` writes the answers, `request_reader` reads the requests
//! of one connection, and `connection` is that connection for the core. The frontend decides nothing about a request: a request with a complete head and body goes to
//! the core, an incomplete one does not.

mod connection;
mod packet;
mod request;
mod request_reader;
mod response;

pub use connection::serve;

/// The options that operators set for this frontend.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The secret that a web server has to send, if any.
    pub secret: Option<String>,
    /// Memory reserved for a request that does not state its own, kB.
    pub mem_kb: f64,
    /// Seed of the attempt ids.
    pub seed: u64,
}
