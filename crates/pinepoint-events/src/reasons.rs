//! Reason codes of the core: why an attempt was rejected or failed, how calls and runs ended, and related
//! enums.

use crate::reason_codes;

reason_codes! {
    /// Why an attempt was rejected. A rejected attempt never ran.
    RejectReason {
        /// It arrived after the grace period of a drain.
        Draining = "leaving",
        /// The memory for queued and running requests and idempotency keys is used up.
        MemoryFull = "no-room",
        /// The engine makes no progress on any run.
        Stalled = "hung",
        /// The downstream call it needs cannot be made before its deadline.
        CallUnavailable = "no-call",
        /// It would not complete before its deadline.
        TooLate = "too-late",
        /// Load shedding by control loop 1: its priority weight is among the lowest of the current arrivals.
        LoadShed = "surplus",
        /// It was queued until no time was left before its deadline.
        QueueTimeout = "given-up",
        /// It was queued, and a request of higher priority weight took its place.
        Displaced = "displaced",
        /// The engine is not up yet.
        NotReady = "not-up",
        /// Its attempt ID is already in use.
        AttemptIdInUse = "name-in-use",
    }
}

reason_codes! {
    /// Why an attempt failed. A failed attempt may have run.
    FailureReason {
        /// Its deadline passed.
        DeadlineExceeded = "late",
        /// The process was about to be stopped.
        Shutdown = "stop",
        /// The admission controller had not answered by the deadline, so the core answered instead.
        Overdue = "overdue",
        /// A later attempt with the same idempotency key replaced it; neither had run.
        Superseded = "superseded",
        /// There is no memory to wait for the result of the attempt that it retries.
        MemoryFull = "no-room",
        /// Its run waited for a downstream call that could not be made in time.
        CallUnavailable = "no-call",
        /// Its downstream call may have taken effect and must not be repeated.
        CallOutcomeUnknown = "call-in-doubt",
        /// The engine reported that the run failed.
        RunFailed = "run-error",
        /// The run was stopped.
        RunCancelled = "run-stopped",
        /// The engine started nothing.
        RunNotStarted = "run-unknown",
        /// The attempt that it retries failed, or its result is no longer cached.
        OriginalFailed = "repeat-failed",
        /// Its idempotency key is known and belongs to a different request body.
        BodyMismatch = "other-body",
        /// Its arrival timestamp is invalid.
        InvalidArrivalTime = "bad-time",
        /// Another attempt with its idempotency key had run, so the core did not start it.
        AlreadyRan = "already-ran",
        /// Its idempotency key may have run in another process of this server that cannot be queried.
        KeyStateUnknown = "key-unknown",
        /// The other process of this server, which owns the idempotency keys, did not let this one run it.
        ClaimDenied = "claim-denied",
        /// The bytes that followed it on its connection are not a valid message.
        ProtocolError = "spoilt-connection",
        /// Its attempt ID is already in use, and the other attempt may be taking effect.
        AttemptIdInUse = "name-in-use",
    }
}

reason_codes! {
    /// How a downstream call ended.
    CallOutcome {
        /// It succeeded.
        Done = "done",
        /// It failed and may have taken effect.
        Failed = "failed",
        /// It was rejected and never ran.
        Rejected = "declined",
        /// It timed out and may have taken effect.
        TimedOut = "timed-out",
        /// The downstream service could not be reached; the call never ran.
        Unreachable = "unreachable",
        /// The connection was reset; the call may have taken effect.
        Reset = "reset",
        /// Its request has ended, so its result is discarded.
        Dropped = "dropped",
    }
}

reason_codes! {
    /// How the engine ended a run.
    RunOutcome {
        /// With a result.
        Complete = "complete",
        /// With an error.
        Error = "error",
        /// It was stopped.
        Cancelled = "stopped",
        /// The engine does not know the run: it started nothing.
        NotStarted = "unknown",
    }
}

reason_codes! {
    /// A resource limit of the process that was reached.
    ResourceLimit {
        /// Connections of all frontends: one was closed to make room.
        Connections = "connections",
        /// Memory for results of idempotent requests: one result was evicted.
        Results = "results",
        /// Memory for answers that the caller does not read: its connection was closed.
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
