//! The keys, attempts and outcomes of the table of keys.

use std::rc::Rc;

/// The classes within which a key identifies a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyScope {
    /// One class, by index: the subject of a read, by which reads share a result.
    Class(usize),
    /// All keyed classes: an idempotency key. Attempts of one request may come under different classes, as a
    /// reload that adds a class moves callers to it between two attempts.
    KeyedClasses,
}

/// The key that identifies a request over all its attempts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey {
    /// The classes within which the value identifies a request.
    pub scope: KeyScope,
    /// The idempotency key of the caller, or the subject of a read.
    pub value: String,
}

impl IdempotencyKey {
    /// The idempotency key of a request of a keyed class.
    pub fn of_keyed_classes(value: String) -> Self {
        IdempotencyKey { scope: KeyScope::KeyedClasses, value }
    }

    /// The subject of a read of this class.
    pub fn of_class(class: usize, subject: String) -> Self {
        IdempotencyKey { scope: KeyScope::Class(class), value: subject }
    }

    /// Whether the key protects an effect, rather than letting reads share a result.
    pub fn protects_effect(&self) -> bool {
        self.scope == KeyScope::KeyedClasses
    }
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// The attempt is still in flight.
    Pending,
    /// The attempt succeeded with this result.
    Done(Rc<[u8]>),
    /// The attempt failed, or its result is no longer retained.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The attempt ran, or may have run.
    Ran(AttemptResult),
    /// The attempt is proved not to have run; the next attempt counts as the first.
    NeverRan,
}

/// An attempt that is known under its key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// Number of the request.
    pub id: u32,
    /// Digest of its body; all attempts of one request have the same digest.
    pub digest: u64,
    /// Requests of the key that arrived before this time are its duplicates; Unix ms.
    pub window_end_ms: f64,
}

/// A duplicate that waits for the result of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Number of the duplicate.
    pub id: u32,
    /// The attempt whose result it waits for.
    pub original: u32,
}

/// Error: another attempt of the key was started, and its window has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyRan;

/// Whether the attempt that a duplicate names is still in flight, here or in another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginalState {
    /// The attempt is in flight.
    InFlight,
    /// The attempt has ended.
    Ended,
}

/// The outcome of joining a duplicate to its original.
#[derive(Clone, Debug, PartialEq)]
pub enum JoinOutcome {
    /// The duplicate waits for the attempt in flight.
    Waits,
    /// The attempt has ended with this result.
    Finished(AttemptResult),
}

/// The effects of the end of an attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// The duplicates that waited for the attempt, in the order in which they joined.
    pub waiters: Vec<u32>,
    /// Whether its result was dropped because the table may take no more bytes. The entry stays, so that no
    /// duplicate runs.
    pub result_dropped: bool,
}

/// The state of a key that is reported to another process of this server.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The known attempt of the key.
    pub attempt: Attempt,
    /// Whether the attempt was started. An attempt that was not started may still be rejected.
    pub started: bool,
    /// The result of the attempt.
    pub result: AttemptResult,
}
