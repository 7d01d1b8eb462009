//! A snapshot of the core's own tables.

/// The state of the core at one instant, counted in its own tables rather than derived from events.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoreState {
    /// For each request class, the number of requests that were received and have not ended yet.
    pub open: Vec<u64>,
    /// Requests in the queue.
    pub queued: u64,
    /// Retries that wait for the result of an earlier attempt.
    pub awaiting_result: u64,
    /// Running requests, including those that wait for a downstream call.
    pub running: u64,
    /// Downstream calls in flight.
    pub calls: u64,
    /// Entries in the table of idempotency keys.
    pub keys: u64,
    /// Cached results, bytes.
    pub results_bytes: u64,
    /// Connections of all frontends.
    pub connections: u64,
    /// Gauges of the admission controller as names and values; the names and their order never change.
    pub admission: Vec<(&'static str, f64)>,
}
