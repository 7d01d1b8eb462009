//! The MessagePack-RPC frontend for routers. `msgpack` decodes and encodes values, `message` parses the
//! messages of routers, `response` writes the answers, and `connection` handles one connection. The frontend
//! decides nothing about a request: every valid request goes to the core.

mod connection;
mod message;
mod msgpack;
mod response;

pub use connection::serve;

use crate::server::frontend::request_limits::MAX_BODY_BYTES;

/// Maximum length of a message, bytes: the longest body and 4096 bytes for the fields.
const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 4096;
/// Maximum nesting depth of a message: the message, its parameters, its fields, their names.
const MAX_NESTING_DEPTH: u32 = 4;
/// Maximum number of requests in flight on one connection.
const MAX_IN_FLIGHT_REQUESTS: usize = 32;
