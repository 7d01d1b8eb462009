//! How the descriptors of the process are shared out.

use pinepoint::server::control::management;

/// Descriptors kept for links, listeners, signals and the like: a part of all, as a divisor, between two bounds.
/// The program holds about a dozen beside its connections, and one for each call in hand, of which the share of a
/// comparer allows a score and more, with those kept for the next; routers open up to half of the limit.
const RESERVED_PART: usize = 4;
const RESERVED_LEAST: usize = 16;
const RESERVED_MOST: usize = 64;
/// The part of the other descriptors, as a divisor, that AJP may take: routers open up to half of them.
const AJP_PART: usize = 4;

/// How many connections may be open at a time.
pub struct ConnectionLimits {
    /// Of callers, over all fronts.
    pub callers: usize,
    /// Of front ends that speak AJP, among them.
    pub ajp: usize,
    /// Of operators.
    pub management: usize,
}

impl ConnectionLimits {
    /// The limits of a process with so many descriptors, which listens for operators or not.
    pub fn new(descriptors: usize, has_management: bool) -> Self {
        let management = management::most_connections(descriptors);
        let reserved = (descriptors / RESERVED_PART).clamp(RESERVED_LEAST, RESERVED_MOST);
        let reserved = reserved + if has_management { 1 + management } else { 0 };
        let callers = descriptors.saturating_sub(reserved).max(1);
        ConnectionLimits { callers, ajp: callers / AJP_PART, management }
    }
}
