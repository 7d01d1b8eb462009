//! The inputs and outputs of the idempotency records.

use pinepoint_events::reason_codes;
use pinepoint_store::format::Change;
use serde::{Deserialize, Serialize};

/// An idempotency key: the request class and the client's token, encoded as bytes.
pub type Key = Vec<u8>;

/// Names a durable write between [`Action::WriteDurably`] and [`Event::WriteCompleted`].
pub type WriteId = u64;

/// An attempt of a keyed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Names the attempt in actions.
    pub ticket: u64,
    /// The idempotency key.
    pub key: Key,
    /// The caller that sent it.
    pub caller: u64,
    /// Digest of the request's body; the same after a restart.
    pub digest: u64,
    /// When the request was first sent, Unix ms.
    pub first_sent_ms: f64,
    /// How long from then on the request must not take effect a second time, ms.
    pub window_ms: f64,
}

/// How a run ended. The order of the variants is part of the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// With this result.
    Completed(Vec<u8>),
    /// Without a result; it may have taken effect.
    NoResult,
    /// It is proved that it never ran.
    NeverRan,
}

/// An input.
#[derive(Clone, Debug)]
pub enum Event {
    /// An attempt arrived.
    Attempt(Attempt),
    /// A write of [`Action::WriteDurably`] is finished.
    WriteCompleted {
        /// The write.
        write: WriteId,
        /// Whether it is durable. If not, it may still be found after a restart.
        is_durable: bool,
    },
    /// The run of a key ended.
    RunEnded {
        /// The key.
        key: Key,
        /// How it ended.
        outcome: RunOutcome,
    },
    /// Nobody waits for the response to an attempt any more.
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

/// An output.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write these changes durably, and answer with [`Event::WriteCompleted`].
    WriteDurably {
        /// Names the write.
        write: WriteId,
        /// What to write.
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
        /// Why.
        reason: RejectReason,
    },
    /// Fail the attempt.
    Fail {
        /// The attempt.
        ticket: u64,
        /// Why.
        reason: FailReason,
    },
}
