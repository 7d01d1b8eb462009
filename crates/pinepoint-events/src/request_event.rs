//! Events in the life of one request.

use crate::{CallOutcome, FailureReason, Protocol, RejectReason, RunOutcome};

/// What was decided about a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is run.
    Run,
    /// It gets the result of the attempt that it retries.
    ReuseResult,
    /// It is rejected.
    Reject(RejectReason),
    /// It is failed.
    Fail(FailureReason),
}

/// A final answer that was sent before the deadline; see [`RequestEventKind::DeadlineExceeded`] for the
/// others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With a result.
    Served {
        /// The result was produced for another attempt of the same request.
        deduplicated: bool,
        /// The result was produced without a downstream call that the run asked for.
        degraded: bool,
    },
    /// This attempt never ran.
    Rejected(RejectReason),
    /// This attempt may have run.
    Failed(FailureReason),
}

/// One event in the life of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestEvent {
    /// The core's number for the request; 0 for one that never reached the admission controller.
    pub id: u32,
    /// Index of its request class.
    pub class: usize,
    /// What happened.
    pub kind: RequestEventKind,
}

/// What happened to a request. All durations are in milliseconds; `took_ms` counts from the arrival at the
/// machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEventKind {
    /// It was read completely and passed to the core.
    Received {
        /// The frontend that read it.
        protocol: Protocol,
        /// Whether the caller marked it as a retry.
        retry: bool,
        /// Work hint, ms on one core.
        work_hint_ms: Option<f64>,
        /// Time that it waited in the socket before it was read, ms.
        read_delay_ms: f64,
    },
    /// The admission controller decided about it.
    Decided(Decision),
    /// Its run was started.
    RunStarted {
        /// Time since it was read, ms.
        queue_wait_ms: f64,
    },
    /// Its run ended.
    RunEnded {
        /// How it ended.
        outcome: RunOutcome,
        /// Time since the run was started, ms.
        duration_ms: f64,
    },
    /// A downstream call was started for it.
    CallStarted,
    /// A downstream call ended.
    CallEnded {
        /// How it ended.
        outcome: CallOutcome,
        /// Time since the call was started, ms.
        duration_ms: f64,
    },
    /// Its run continues without the downstream call that it asked for.
    CallSkipped,
    /// It got its final answer.
    Answered {
        /// The answer.
        answer: Answer,
        /// Work hint, ms on one core.
        work_hint_ms: Option<f64>,
        /// Time since it arrived at the machine, ms.
        took_ms: f64,
    },
    /// It was answered that its deadline had passed, which is a final answer too.
    DeadlineExceeded {
        /// Where that was detected.
        reason: FailureReason,
        /// Time since it arrived at the machine, ms.
        took_ms: f64,
    },
    /// Its caller disconnected or cancelled it; no answer is sent.
    CallerGone {
        /// Time since it arrived at the machine, ms.
        took_ms: f64,
    },
}
