//! The real comparer: the same decisions as in the simulator, on sockets. The parts and what each owns:
//!
//! - [`core`] owns the decision module; [`requests`] and [`keys`] are its tables, [`port`] its ports.
//! - [`rpc`] and [`ajp`] are the fronts, [`listen`] what they share.
//! - [`links`] are the connections to engine, store and membership service.
//! - [`reload`] puts a configuration that was read again in force.
//! - [`fleet`] tells others what this comparer is and does.
//! - [`telemetry`] is what counts are brought out by, beside the [`counters`]; [`status`] is what the core publishes.

pub mod ajp;
pub mod connection;
pub mod core;
pub mod counters;
pub mod fleet;
pub mod keys;
pub mod lifecycle;
pub mod links;
pub mod listen;
pub mod outbox;
pub mod port;
pub mod reload;
pub mod requests;
pub mod rpc;
pub mod status;
pub mod sync;
pub mod telemetry;
