//! The AJP13 frontend, for web servers that forward to a container. `packet` frames, `request` parses the head of a
//! request, `response` writes what goes back, and `connection` carries one connection. It decides nothing about a
//! request: one whose head and body are complete goes to the core, one whose body breaks off goes nowhere.

mod connection;
mod packet;
mod request;
mod response;

pub use connection::serve;

/// What the operators set for this frontend.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The secret that a web server has to send, if any.
    pub secret: Option<String>,
    /// Memory booked for a request that does not state its own, kB.
    pub mem_kb: f64,
    /// Seed of the attempt ids.
    pub seed: u64,
}
