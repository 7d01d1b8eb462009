//! The keys, attempts and outcomes of the table of keys.

use std::rc::Rc;

/// The classes within which a key identifies a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum KeyScope {
    /// One class, by index: the subject of a read, by which reads share a result.
    Class(usize),
    /// All keyed classes: an idempotency key. Attempts of one request may come under different classes, as a reload that
    /// adds a class moves callers to it between two attempts.
    KeyedClasses,
}

/// What identifies a request over all its attempts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey {
    /// Where the value counts.
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

/// The result of the attempt that was started.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// It is still in flight.
    Pending,
    /// It succeeded with this result.
    Done(Rc<[u8]>),
    /// It failed, or its result is no longer retained.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// It ran, or may have run.
    Ran(AttemptResult),
    /// It is proved not to have run: the next attempt is a first one.
    NeverRan,
}

/// An attempt that stands for its key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub id: u32,
    /// Digest of its body: all attempts of one request carry the same.
    pub digest: u64,
    /// Requests of the key that arrived before this time are its duplicates; Unix ms.
    pub window_end_ms: f64,
}

/// A duplicate that waits for the result of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// The duplicate.
    pub id: u32,
    /// The attempt whose result it waits for.
    pub original: u32,
}

/// Another attempt of the key was started, and its window has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AlreadyRan;

/// Whether the attempt that a duplicate names is still in flight, here or in another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginalState {
    /// It is.
    InFlight,
    /// It is not.
    Ended,
}

/// What becomes of a duplicate.
#[derive(Clone, Debug, PartialEq)]
pub enum JoinOutcome {
    /// It waits for the attempt in flight.
    Waits,
    /// That attempt has ended with this result.
    Over(AttemptResult),
}

/// What follows from the end of an attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinishedAttempt {
    /// The duplicates that waited for it, in the order in which they joined.
    pub waiters: Vec<u32>,
    /// Its result was dropped because the table may take no more bytes. The entry stays, so that no duplicate runs.
    pub result_dropped: bool,
}

/// What another process of this server is told of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The attempt that stands for the key.
    pub attempt: Attempt,
    /// Whether it was started. One that was not may still be rejected.
    pub started: bool,
    /// Its result.
    pub result: AttemptResult,
}
