//! Test tool of pinepoint: stubs of the services that the program uses, written from public specifications,
//! which fail on command; load generators; experiments; and a test cluster of many processes. It shares no
//! code with the program, so that its results are independent. It uses loopback addresses only.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cluster;
pub mod collectd;
pub mod fault_proxy;
pub mod fleet;
pub mod graphite;
mod line_protocol;
mod listen;
pub mod load;
pub mod operation;
pub mod process;
pub mod routers;
mod rpc;
pub mod script;
pub mod simulated_engine;
mod standard_load;
mod statistics;
pub mod store;
pub mod stub_services;
mod sync;
pub mod telemetry;
