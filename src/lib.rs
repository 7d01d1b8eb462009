//! A request server with local overload control: it admits, runs and rejects requests inside one server of a
//! fleet.
//!
//! - [`admission`] decides which requests are admitted, in which order they start, and which are rejected. It
//!   does no I/O and reads no clock, so the same code runs on sockets, in simulations and in tests.
//! - [`config`] reads the configuration file and the settings in it.
//! - [`server`] applies the decisions to sockets: it contains the protocols, the core that owns the tables,
//!   and the connections to the upstream services.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod admission;
pub mod config;
pub mod server;
