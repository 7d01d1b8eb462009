//! The inputs and outputs of the idempotency records.

use pinepoint_events::reason_codes;
use pinepoint_store::format::Change;
use serde::{Deserialize, Serialize};

/// An idempotency key: the request class and the client's token, encoded as bytes.
pub type Key = Vec<u8>;

/// Identifies a durable write in [`Action::WriteDurably`] and [`Event::WriteCompleted`].
pub type WriteId = u64;

/// An attempt of a keyed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Identifies the attempt in actions.
    pub ticket: u64,
    /// The idempotency key.
    pub key: Key,
    /// The caller that sent the attempt.
    pub caller: u64,
    /// Digest of the request's body; it must not change across restarts.
    pub digest: u64,
    /// When the request was first sent, Unix ms.
    pub first_sent_ms: f64,
    /// How long after `first_sent_ms` the request must not take effect a second time, ms.
    pub window_ms: f64,
}

/// How a run ended. The order of the variants is part of the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The run ended with this result.
    Completed(Vec<u8>),
    /// The run ended without a result; the request may have taken effect.
    NoResult,
    /// It is certain that the request never ran.
    NeverRan,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An attempt arrived.
    Attempt(Attempt),
    /// A write that [`Action::WriteDurably`] requested is finished.
    WriteCompleted {
        /// The write.
        write: WriteId,
        /// Whether the write is durable. If not, it may still be found after a restart.
        is_durable: bool,
    },
    /// The run of a key ended.
    RunEnded {
        /// The key.
        key: Key,
        /// How the run ended.
        outcome: RunOutcome,
    },
    /// The caller no longer waits for the response to an attempt.
    AttemptCancelled {
        /// The attempt.
        ticket: u64,
        /// Its key.
        key: Key,
    },
    /// Whether the store accepts writes from now on.
    StoreAvailable(bool),
    /// Time has passed.
    Tick,
}

reason_codes! {
    /// Why an attempt is rejected: the request has certainly not taken effect.
    RejectReason {
        /// [`Options::max_records`](super::Options::max_records) is reached.
        RecordsFull = "keys-full",
        /// [`Options::max_records_per_caller`](super::Options::max_records_per_caller) is reached.
        CallerRecordsFull = "caller-keys-full",
        /// The store does not accept writes.
        StoreUnavailable = "no-store",
        /// The write of the intent failed; the request was not run.
        IntentNotDurable = "intent-not-kept",
        /// The run that the attempt waited for never started.
        NeverRan = "never-ran",
    }
}

reason_codes! {
    /// Why an attempt fails: the request may have taken effect.
    FailReason {
        /// The key was used for a request with another body.
        PayloadMismatch = "other-body",
        /// A run may have started before the last restart.
        MayHaveRun = "may-have-run",
        /// The run ended without a result, or its result is not retained.
        NoResult = "without-result",
    }
}

/// An output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write these changes durably, and report the result with [`Event::WriteCompleted`].
    WriteDurably {
        /// Identifies the write.
        write: WriteId,
        /// The changes to write.
        changes: Vec<Change>,
    },
    /// Write these changes at any time; they may be lost.
    WriteLazily(Vec<Change>),
    /// Run the request of this attempt.
    Run {
        /// The attempt.
        ticket: u64,
        /// Its key.
        key: Key,
    },
    /// Respond with the result of the run.
    Respond {
        /// The attempt.
        ticket: u64,
        /// The result.
        result: Vec<u8>,
    },
    /// Reject the attempt.
    Reject {
        /// The attempt.
        ticket: u64,
        /// The reason.
        reason: RejectReason,
    },
    /// Fail the attempt.
    Fail {
        /// The attempt.
        ticket: u64,
        /// The reason.
        reason: FailReason,
    },
}
