//! Events of one request.

use crate::{CallOutcome, FailureReason, Protocol, RejectReason, RunOutcome};

/// The decision about a queued request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request is run.
    Run,
    /// The request is answered with the result of the attempt that it retries.
    ReuseResult,
    /// The request is rejected.
    Reject(RejectReason),
    /// The request is failed.
    Fail(FailureReason),
}

/// A final answer that was sent before the deadline; [`RequestEventKind::DeadlineExceeded`] reports the other
/// final answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The request was answered with a result.
    Served {
        /// Whether the result was produced for another attempt of the same request.
        deduplicated: bool,
        /// Whether the result was produced without a downstream call that the run requested.
        degraded: bool,
    },
    /// This attempt never ran.
    Rejected(RejectReason),
    /// This attempt may have run.
    Failed(FailureReason),
}

/// One event of one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestEvent {
    /// The core's number for the request; 0 if the request never reached the admission controller.
    pub id: u32,
    /// Index of its request class.
    pub class: usize,
    /// What happened to the request.
    pub kind: RequestEventKind,
}

/// What happened to a request. All durations are in milliseconds; `took_ms` counts from the arrival at the
/// machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEventKind {
    /// The request was read completely and passed to the core.
    Received {
        /// The frontend that read it.
        protocol: Protocol,
        /// Whether the caller marked it as a retry.
        retry: bool,
        /// Work hint, ms on one core.
        work_hint_ms: Option<f64>,
        /// Time that the request waited in the socket before it was read, ms.
        read_delay_ms: f64,
    },
    /// The admission controller decided about the request.
    Decided(Decision),
    /// The run of the request was started.
    RunStarted {
        /// Time since the request was read, ms.
        queue_wait_ms: f64,
    },
    /// The run of the request ended.
    RunEnded {
        /// How the run ended.
        outcome: RunOutcome,
        /// Time since the run was started, ms.
        duration_ms: f64,
    },
    /// A downstream call was started for the request.
    CallStarted,
    /// A downstream call ended.
    CallEnded {
        /// How the call ended.
        outcome: CallOutcome,
        /// Time since the call was started, ms.
        duration_ms: f64,
    },
    /// The run continues without a downstream call that it requested.
    CallSkipped,
    /// The final answer was sent.
    Answered {
        /// The answer.
        answer: Answer,
        /// Work hint, ms on one core.
        work_hint_ms: Option<f64>,
        /// Time since the request arrived at the machine, ms.
        took_ms: f64,
    },
    /// The final answer was that the deadline had passed.
    DeadlineExceeded {
        /// The reason code, which shows what detected the missed deadline.
        reason: FailureReason,
        /// Time since the request arrived at the machine, ms.
        took_ms: f64,
    },
    /// The caller disconnected or cancelled the request; no answer is sent.
    CallerGone {
        /// Time since the request arrived at the machine, ms.
        took_ms: f64,
    },
}
