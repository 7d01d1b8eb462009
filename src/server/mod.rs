//! The server around the admission controller. The controller makes the same decisions on sockets here as in
//! the simulator.
//!
//! A request passes through these modules in this order:
//!
//! - [`frontend`] accepts connections, bounds them and speaks their protocols.
//! - [`core`] owns the admission controller and the tables of requests and idempotency keys.
//! - [`upstream`] holds the connections to the engine, the store and the service registry.
//!
//! Outside of this path:
//!
//! - [`control`] manages the lifecycle of the process: its phases, the management port, reloads and the
//!   handover to a successor.
//! - [`observability`] counts events and reports them.
//! - [`sync`] and [`write_buffer`] are small utilities that several of these modules share.

pub mod control;
pub mod core;
pub mod frontend;
pub mod observability;
pub mod sync;
pub mod upstream;
pub mod write_buffer;
