//! The messages of the admission controller: [`Event`] goes in, [`Action`] comes out.
//!
//! Plain data without behaviour. All times are milliseconds of the host's clock, all memory is in kilobytes.

pub use pinepoint_events::{FailureReason, RejectReason};

/// A request that the host has read and that waits in the queue.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The host's identifier of the request; never used twice.
    pub id: u32,
    /// Index into [`Settings::classes`](super::Settings::classes); the last class if out of range.
    pub class: usize,
    /// Index into [`Settings::tenants`](super::Settings::tenants); no tenant if out of range.
    pub tenant: Option<usize>,
    /// When the caller stops waiting, ms; `None` for the timeout of the class.
    pub deadline_ms: Option<f64>,
    /// Rough estimate of the work on a standard core, ms, where the caller gives one.
    pub work_hint_ms: Option<f64>,
    /// Memory while queued, kB.
    pub mem_kb: f64,
    /// Whether the caller marked the request as a retry or a hedged request.
    pub retry: bool,
    /// Time from its arrival at the machine until the host read it, ms.
    pub read_delay_ms: f64,
    /// The retained request that this one duplicates.
    pub duplicate_of: Option<u32>,
    /// Whether the request names a subject. Reads of the same subject may share a result.
    pub has_subject: bool,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call succeeded.
    Done,
    /// The run or call failed and may have taken effect.
    Failed,
    /// The dependency rejected the call: it never ran.
    Rejected,
    /// The call timed out and may have taken effect.
    TimedOut,
    /// The dependency was unreachable: the call never ran.
    Unreachable,
    /// The connection of the call was reset; the call may have taken effect.
    Reset,
    /// The run was cancelled, or ended after its final answer had been given.
    Cancelled,
    /// The run was never started, for example because the request was already over.
    NotStarted,
}

/// An event that the host passes to the controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The first event: the server is up.
    Started,
    /// A request was read.
    RequestArrived(Request),
    /// All events of this instant have been passed: arrivals are decided, runs and calls are started.
    BatchEnded,
    /// A run, or an answer from a retained result, has ended.
    RunEnded {
        /// The request.
        id: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// A running request needs a call to the dependency before it can continue.
    CallNeeded {
        /// The request.
        id: u32,
    },
    /// A call has ended.
    CallEnded {
        /// The request.
        id: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since the call was started, ms.
        took_ms: f64,
    },
    /// The reply to the last call of a run may be lost, and cannot be sent again: the run either continues, or
    /// still waits for that reply.
    ReplyUncertain {
        /// The request.
        id: u32,
    },
    /// The caller no longer waits; the request needs no answer.
    CallerGone {
        /// The request.
        id: u32,
    },
    /// The server drains and will be killed at the given time.
    DrainStarted {
        /// Time of the kill, ms.
        kill_ms: f64,
    },
    /// A timer fired.
    TimerFired {
        /// The token of the [`Action::SetTimer`].
        token: u32,
        /// The values of [`Settings::gauges`](super::Settings::gauges), in their order.
        gauges: Vec<f64>,
    },
}

/// An action that the host carries out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a queued request.
    StartRun {
        /// The request.
        id: u32,
    },
    /// Final answer: the request is rejected, and this attempt never ran.
    Reject {
        /// The request.
        id: u32,
        /// Retry-After: how long the caller should stay away from this server, ms; 0 for no advice.
        retry_after_ms: f64,
        /// Whether to ask the caller not to try another server.
        no_retry: bool,
        /// The reason of the rejection.
        reason: RejectReason,
    },
    /// Final answer: an error.
    Fail {
        /// The request.
        id: u32,
        /// The reason of the failure.
        reason: FailureReason,
    },
    /// Cancel running work.
    CancelRun {
        /// The request.
        id: u32,
    },
    /// Start the call that a request waits for.
    StartCall {
        /// The request.
        id: u32,
        /// Abandon the call after this time, ms.
        call_timeout_ms: f64,
    },
    /// Continue without the call that a request waits for, or may still wait for after
    /// [`Event::ReplyUncertain`].
    SkipCall {
        /// The request.
        id: u32,
    },
    /// Retain an entry by which duplicates of the request are recognised.
    RetainKey {
        /// The request.
        id: u32,
        /// Time to live of the entry from now, ms.
        ttl_ms: f64,
    },
    /// Release the retained entry of a request.
    ReleaseKey {
        /// The request.
        id: u32,
    },
    /// Answer a queued request with the result of the request it duplicates.
    ReuseResult {
        /// The request.
        id: u32,
    },
    /// Answer health checks like this from now on.
    SetHealth {
        /// Whether the server is healthy.
        healthy: bool,
        /// Whether to answer from this setting alone, without real work.
        from_store: bool,
    },
    /// Add this load report to every answer from now on.
    ReportLoad {
        /// The value; [`Settings::load_report`](super::Settings::load_report) gives its meaning.
        value: f64,
    },
    /// Close connections that have been idle for this long.
    CloseIdleConnections {
        /// The idle timeout, ms.
        after_ms: f64,
    },
    /// Send [`Event::TimerFired`] after this time.
    SetTimer {
        /// Time from now, ms.
        after_ms: f64,
        /// Returned with the event.
        token: u32,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        text: String,
    },
}
