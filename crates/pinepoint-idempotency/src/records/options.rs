//! Limits and policies.

/// Limits and policies of the idempotency records.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of keys.
    pub max_records: usize,
    /// Maximum number of keys of one caller.
    pub max_records_per_caller: usize,
    /// Maximum size of all retained results, bytes. A result that would exceed it is delivered but not
    /// retained.
    pub max_result_bytes: usize,
    /// How long a record is retained after its window, ms, for attempts that were sent within the window and
    /// arrive late.
    pub grace_ms: f64,
    /// What happens to new keys while the store does not accept writes.
    pub store_unavailable: StoreUnavailablePolicy,
    #[doc(hidden)]
    pub fault: Option<Fault>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            max_records: 20_000,
            max_records_per_caller: 5_000,
            max_result_bytes: 4 << 20,
            grace_ms: 15_000.0,
            store_unavailable: StoreUnavailablePolicy::Reject,
            fault: None,
        }
    }
}

/// What happens to new keys while the store does not accept writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreUnavailablePolicy {
    /// Attempts with new keys are rejected.
    Reject,
    /// Requests with new keys run without a stored intent, and a restart forgets the keys.
    RunUnrecorded,
}

/// A fault that tests inject to show that they detect it.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The run starts before its intent is durable.
    IntentAfterRun,
    /// At [`Options::max_records`] a record is evicted although its window is open.
    EvictAtBound,
}
