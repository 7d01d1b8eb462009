//! The connections of the process to the services below it: the engine, the store and the service registry.
//!
//! - [`addresses`] holds where the services are; a reload changes that.
//! - [`engine`] keeps the link to the engine up, [`store`] makes calls, [`registry`] reports the registration.
//! - `line` is the protocol that engine and store share, `connect` the way to open connections.
//!
//! This module owns sockets, parsing and reconnecting. It decides nothing, keeps no requests and never repeats a
//! command: what a broken connection leaves uncertain is reported to the core as uncertain.

pub mod addresses;
mod connect;
pub mod engine;
mod line;
pub mod registry;
pub mod store;

pub use addresses::UpstreamAddresses;
pub use engine::EngineLink;
pub use store::StoreLink;
