//! The server around the admission controller: the same decisions as in the simulator, on sockets.
//!
//! A request passes through the folders in this order:
//!
//! - [`frontend`] accepts connections, bounds them and speaks their protocols.
//! - [`core`] owns the admission controller and the tables of requests and idempotency keys.
//! - [`upstream`] holds the connections to the engine, the store and the service registry.
//!
//! Beside that way:
//!
//! - [`control`] handles the process lifecycle: phases, the management port, reloads and the handover to a
//!   successor.
//! - [`observability`] counts what happens and reports it.
//! - [`sync`] and [`write_buffer`] are small parts that several of them use.

pub mod control;
pub mod core;
pub mod frontend;
pub mod observability;
pub mod sync;
pub mod upstream;
pub mod write_buffer;
