//! Connections of callers: [`listener`] accepts them, [`limiter`] bounds them, [`connection`] and
//! [`connection_state`] implement a single connection, and [`rpc`] and [`ajp`] speak the protocols
//! within the [`request_limits`].
//! `shared_backlog` frees capacity for a successor that accepts in place of this process. [`context`] holds
//! the parts that all connections share. This module makes no decision about a request.

pub mod ajp;
pub mod connection;
pub mod connection_state;
pub mod context;
pub mod limiter;
pub mod listener;
pub mod request_limits;
pub mod rpc;
mod shared_backlog;
