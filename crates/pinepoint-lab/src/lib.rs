//! The laboratory: stand-ins for everything around pinepoint, written from public specifications, which fail on command,
//! and a load tool. They know nothing of the program and share no code with it, so that what they say of it is worth
//! something. Loopback addresses only.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cluster;
pub mod collectd;
pub mod fault_proxy;
pub mod fleet;
pub mod graphite;
mod listen;
pub mod load;
pub mod machine;
pub mod operation;
pub mod process;
pub mod routers;
pub mod script;
pub mod store;
pub mod telemetry;
