//! How the file descriptors of the process are shared out among its connections.

use pinepoint::server::control::management;

/// Part of all descriptors that is reserved for upstream connections, listeners, signals and the like, as a divisor,
/// between two bounds. The process holds about a dozen beside its connections, and one for each call in flight, of which
/// the quota of a server allows a score and more, with the idle ones; clients open up to half of the limit.
const RESERVED_DIVISOR: usize = 4;
const MIN_RESERVED: usize = 16;
const MAX_RESERVED: usize = 64;
/// Part of the other descriptors that AJP connections may take, as a divisor: clients of the other protocol open up to
/// half of them.
const AJP_DIVISOR: usize = 4;

/// How many connections may be open at a time.
pub struct ConnectionLimits {
    /// Of clients, over all protocols.
    pub clients: usize,
    /// Of clients that speak AJP; they count among all clients.
    pub ajp: usize,
    /// Of operators.
    pub management: usize,
}

impl ConnectionLimits {
    /// The limits of a process with so many descriptors, which has a management port or not.
    pub fn new(descriptors: usize, has_management: bool) -> Self {
        let management = management::max_connections(descriptors);
        let management_descriptors = if has_management { 1 + management } else { 0 };
        let reserved = (descriptors / RESERVED_DIVISOR).clamp(MIN_RESERVED, MAX_RESERVED);
        let clients = descriptors.saturating_sub(reserved + management_descriptors).max(1);
        ConnectionLimits { clients, ajp: clients / AJP_DIVISOR, management }
    }
}
