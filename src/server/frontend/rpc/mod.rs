//! The MessagePack-RPC frontend for routers. `msgpack` decodes and encodes values, `message` parses what routers
//! send, `response` writes what they get, and `connection` carries one connection. It decides nothing about a
//! request: each valid one goes to the core.

mod connection;
mod message;
mod msgpack;
mod response;

pub use connection::serve;

/// Longest body of a request, bytes.
pub const MAX_BODY_BYTES: usize = 2048;
/// Longest message, bytes: the longest body and ample fields.
const MAX_MESSAGE_BYTES: usize = MAX_BODY_BYTES + 4096;
/// Nesting of a message: the message, its parameters, its fields, their names.
const MAX_NESTING_DEPTH: u32 = 4;
/// The memory that a request books while it is held has to be below this, kB.
pub const REQUEST_MEMORY_LIMIT_KB: f64 = 2000.0;
/// A hint of work has to be below this multiple of the timeout of its class.
pub const MAX_WORK_HINT_MULTIPLE: f64 = 100.0;
/// Requests that may be in flight on one connection.
const MAX_IN_FLIGHT_REQUESTS: usize = 32;
