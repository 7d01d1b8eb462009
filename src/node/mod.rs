//! The real comparer: the same decisions as in the simulator, on sockets. The parts and what each owns:
//!
//! - [`core`] owns the decision module; [`requests`] and [`keys`] are its tables, [`port`] its ports.
//! - [`rpc`] and [`ajp`] are the fronts; [`listen`] accepts for them, [`connection`] and [`connection_state`] carry each of
//!   their connections, [`room`] bounds all of them, and [`front`] is what they share.
//! - [`links`] are the connections to engine, store and membership service.
//! - [`management`] is the operators' port: [`counters`] and the drain.
//! - [`handover`] is the way to another process of this server, during an upgrade.
//! - [`reload`] puts a configuration that was read again in force.
//! - [`fleet`] tells others what this comparer is and does.
//! - [`telemetry`] is what counts are brought out by, beside the [`counters`]; [`status`] is what the core publishes.

pub mod ajp;
pub mod connection;
pub mod connection_state;
pub mod core;
pub mod counters;
pub mod fleet;
pub mod front;
pub mod handover;
pub mod keys;
pub mod lifecycle;
pub mod links;
pub mod listen;
pub mod management;
pub mod outbox;
pub mod port;
pub mod reload;
pub mod requests;
pub mod room;
pub mod rpc;
pub mod status;
pub mod sync;
pub mod telemetry;
