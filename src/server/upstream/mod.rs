//! The connections of the process to the upstream services: the engine, the store and the service registry.
//!
//! - [`addresses`] stores the addresses of the services, which a reload may change.
//! - [`engine`] keeps the link to the engine up, [`store`] makes calls, [`registry`] reports the
//!   registration.
//! - `line` is the protocol that engine and store share; `connect` opens connections.
//!
//! This module owns sockets, parsing and reconnecting. It decides nothing, keeps no requests and never
//! repeats a command. If a broken connection leaves the result of a command uncertain, the core is notified
//! that it is uncertain.

pub mod addresses;
mod connect;
pub mod engine;
mod line;
pub mod registry;
pub mod store;

pub use addresses::UpstreamAddresses;
pub use engine::EngineLink;
pub use store::StoreLink;
