//! A request server with local overload control: it admits, runs and rejects requests inside one server of a fleet.
//!
//! - [`admission`] decides: which requests are admitted, in which order they start, which are rejected. It does no I/O
//!   and reads no clock, and runs on sockets, in simulations and in tests alike.
//! - [`config`] reads the configuration file and the settings in it.
//! - [`server`] puts the decisions on sockets: protocols, the core that owns the tables, and the connections to the
//!   services below.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod admission;
pub mod config;
pub mod server;
