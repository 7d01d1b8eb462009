//! Reason codes of the core: why an attempt was rejected or failed, how calls and runs ended, and related
//! enums.

use crate::reason_codes;

reason_codes! {
    /// Why an attempt was rejected. A rejected attempt never ran.
    RejectReason {
        /// The attempt arrived after the grace period of a drain.
        Draining = "leaving",
        /// The memory for queued and running requests and idempotency keys is used up.
        MemoryFull = "no-room",
        /// The engine makes no progress on any run.
        Stalled = "hung",
        /// The downstream call that the attempt needs cannot be made before the deadline.
        CallUnavailable = "no-call",
        /// The attempt would not complete before its deadline.
        TooLate = "too-late",
        /// Load shedding by control loop 1: the priority weight of the attempt is among the lowest of the
        /// current arrivals.
        LoadShed = "surplus",
        /// The attempt was queued until no time was left before its deadline.
        QueueTimeout = "given-up",
        /// The attempt was queued, and a request of higher priority weight replaced it.
        Displaced = "displaced",
        /// The engine is not up yet.
        NotReady = "not-up",
        /// The attempt ID is already in use.
        AttemptIdInUse = "name-in-use",
    }
}

reason_codes! {
    /// Why an attempt failed. A failed attempt may have run.
    FailureReason {
        /// The deadline of the attempt passed.
        DeadlineExceeded = "late",
        /// The process was about to be stopped.
        Shutdown = "stop",
        /// The admission controller had not answered by the deadline, so the core answered instead.
        Overdue = "overdue",
        /// A later attempt with the same idempotency key replaced this one; neither had run.
        Superseded = "superseded",
        /// No memory is left in which to wait for the result of the attempt that this one retries.
        MemoryFull = "no-room",
        /// The run waited for a downstream call that could not be made in time.
        CallUnavailable = "no-call",
        /// The downstream call may have taken effect and must not be repeated.
        CallOutcomeUnknown = "call-in-doubt",
        /// The engine reported that the run failed.
        RunFailed = "run-error",
        /// The run was stopped.
        RunCancelled = "run-stopped",
        /// The engine did not start the run.
        RunNotStarted = "run-unknown",
        /// The attempt that this one retries failed, or its result is no longer cached.
        OriginalFailed = "repeat-failed",
        /// The idempotency key is known and belongs to a different request body.
        BodyMismatch = "other-body",
        /// The arrival timestamp is invalid.
        InvalidArrivalTime = "bad-time",
        /// Another attempt with the same idempotency key had run, so the core did not start this one.
        AlreadyRan = "already-ran",
        /// The idempotency key may have run in another process of this server, which cannot be queried.
        KeyStateUnknown = "key-unknown",
        /// The other process of this server, which owns the idempotency keys, denied the claim to run the
        /// attempt.
        ClaimDenied = "claim-denied",
        /// The bytes that followed the attempt on its connection are not a valid message.
        ProtocolError = "spoilt-connection",
        /// The attempt ID is already in use, and the other attempt may be taking effect.
        AttemptIdInUse = "name-in-use",
    }
}

reason_codes! {
    /// How a downstream call ended.
    CallOutcome {
        /// The call succeeded.
        Done = "done",
        /// The call failed and may have taken effect.
        Failed = "failed",
        /// The call was rejected and never ran.
        Rejected = "declined",
        /// The call timed out and may have taken effect.
        TimedOut = "timed-out",
        /// The downstream service could not be reached; the call never ran.
        Unreachable = "unreachable",
        /// The connection was reset; the call may have taken effect.
        Reset = "reset",
        /// The request that needed the call has ended, so the result of the call is discarded.
        Dropped = "dropped",
    }
}

reason_codes! {
    /// How the engine ended a run.
    RunOutcome {
        /// The run ended with a result.
        Complete = "complete",
        /// The run ended with an error.
        Error = "error",
        /// The run was stopped.
        Cancelled = "stopped",
        /// The engine does not know the run, and has not started it.
        NotStarted = "unknown",
    }
}

reason_codes! {
    /// A resource limit of the process that was reached.
    ResourceLimit {
        /// Connections of all frontends: one connection was evicted.
        Connections = "connections",
        /// Memory for results of idempotent requests: one result was evicted.
        Results = "results",
        /// Memory for answers that a caller does not read: the caller's connection was closed.
        Unread = "unread",
    }
}

reason_codes! {
    /// The frontend protocol over which a request arrived.
    Protocol {
        /// MessagePack-RPC.
        Rpc = "rpc",
        /// AJP13.
        Ajp = "ajp",
    }
}
