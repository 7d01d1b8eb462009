//! Connections of callers: [`listener`] accepts them, [`limiter`] bounds them, [`connection`] and [`connection_state`]
//! carry each of them, and [`rpc`] and [`ajp`] speak their protocols. `shared_backlog` gives capacity to a successor that
//! accepts in place of this process. [`context`] is what all of them share. Nothing here decides about a request.

pub mod ajp;
pub mod connection;
pub mod connection_state;
pub mod context;
pub mod limiter;
pub mod listener;
pub mod rpc;
mod shared_backlog;
