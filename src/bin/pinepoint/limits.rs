//! Divides the file descriptors of the process among its connections.

use pinepoint::server::control::management;

/// Share of all descriptors that is reserved for upstream connections, listeners, signals and the like, as a
/// divisor; the result is kept between the two bounds. Beside its client connections the process uses about a
/// dozen descriptors, plus one for each call in flight, of which the quota of a server allows 20 and more,
/// and one for each idle store connection. Clients open up to half of the limit.
const RESERVED_DIVISOR: usize = 4;
const MIN_RESERVED: usize = 16;
const MAX_RESERVED: usize = 64;
/// Share of the remaining descriptors that AJP connections may use, as a divisor. Clients of the other
/// protocol open up to half of the descriptors.
const AJP_DIVISOR: usize = 4;

/// Limits of the connections that are open at a time.
pub struct ConnectionLimits {
    /// Connections of clients, over all protocols.
    pub clients: usize,
    /// Connections of clients that speak AJP; these also count towards `clients`.
    pub ajp: usize,
    /// Connections of operators.
    pub management: usize,
}

impl ConnectionLimits {
    /// The limits of a process with this number of descriptors, with or without a management port.
    pub fn new(descriptors: usize, has_management: bool) -> Self {
        let management = management::max_connections(descriptors);
        let management_descriptors = if has_management { 1 + management } else { 0 };
        let reserved = (descriptors / RESERVED_DIVISOR).clamp(MIN_RESERVED, MAX_RESERVED);
        let clients = descriptors.saturating_sub(reserved + management_descriptors).max(1);
        ConnectionLimits { clients, ajp: clients / AJP_DIVISOR, management }
    }
}
