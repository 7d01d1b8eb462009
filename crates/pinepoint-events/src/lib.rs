//! What happens to requests, as small typed values, and the seam through which the core tells one observer. It owns
//! this vocabulary: the word of a reason is the same in the log, the counters, the trace and the operators' pages.
//! It must never allocate, do I/O or depend on any other crate of the workspace.
//!
//! ```
//! use pinepoint_events::{RequestEvent, RequestEventKind, Observer, ReasonCode, RejectReason};
//!
//! struct Last(std::cell::Cell<Option<RequestEvent>>);
//! impl Observer for Last {
//!     fn request_event(&self, _now_ms: f64, fact: RequestEvent) {
//!         self.0.set(Some(fact));
//!     }
//! }
//! let last = Last(None.into());
//! last.note(1.0, RequestEvent { id: 7, class: 0, kind: RequestEventKind::CallerGone { took_ms: 12.0 } });
//! assert_eq!(last.0.get().map(|fact| fact.id), Some(7));
//! assert_eq!(RejectReason::TooLate.code(), "too-late");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

/// An enum of reasons, each with one word.
pub trait ReasonCode: Copy + Eq + 'static {
    /// All of them, in a fixed order: the order of [`ReasonCode::index`].
    const ALL: &'static [Self];
    /// The word for it: lower-case letters and hyphens.
    fn code(self) -> &'static str;
    /// Its place in [`ReasonCode::ALL`].
    fn index(self) -> usize;
}

/// Makes an enum of reasons, each with one word: `Name { Variant = "word", ... }`, all of it documented.
#[macro_export]
macro_rules! reason_codes {
    ($(#[$outer:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $word:literal,)+ }) => {
        $(#[$outer])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name { $($(#[$doc])* $variant,)+ }

        impl $crate::ReasonCode for $name {
            const ALL: &'static [Self] = &[$($name::$variant,)+];

            fn code(self) -> &'static str {
                match self { $($name::$variant => $word,)+ }
            }

            fn index(self) -> usize {
                self as usize
            }
        }

        /// The word, as everywhere else.
        impl std::fmt::Debug for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str($crate::ReasonCode::code(*self))
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str($crate::ReasonCode::code(*self))
            }
        }
    };
}

reason_codes! {
    /// Why a try was turned away. It never ran.
    RejectReason {
        /// It reached the machine after the grace of a drain.
        Draining = "leaving",
        /// Memory for held and running requests and keys is used up.
        MemoryFull = "no-room",
        /// No run gets anywhere.
        Stalled = "hung",
        /// The call it needs can't be made in time.
        CallUnavailable = "no-call",
        /// It would not end in time.
        TooLate = "too-late",
        /// It is among the least worthy of the share that loop 1 refuses.
        LoadShed = "surplus",
        /// Held until no time was left.
        QueueTimeout = "given-up",
        /// Held, and one worth more took its place.
        Displaced = "displaced",
        /// The engine is not up yet.
        NotReady = "not-up",
        /// The name of the try is in use.
        AttemptIdInUse = "name-in-use",
    }
}

reason_codes! {
    /// Why a try failed. It may have run.
    FailureReason {
        /// Its time was over.
        DeadlineExceeded = "late",
        /// The stop of the process was near.
        Shutdown = "stop",
        /// The decisions had not answered by its time; the core did.
        Overdue = "overdue",
        /// A later try of its key took its place; neither had run.
        Superseded = "superseded",
        /// There is no memory to wait for the result of the try that it repeats.
        MemoryFull = "no-room",
        /// Its run stood at a call that could not be made in time.
        CallUnavailable = "no-call",
        /// Its call may have taken effect and must not be made again.
        CallOutcomeUnknown = "call-in-doubt",
        /// The engine said that the run failed.
        RunFailed = "run-error",
        /// The run was stopped.
        RunCancelled = "run-stopped",
        /// The engine started nothing.
        RunNotStarted = "run-unknown",
        /// The try that it repeats failed, or its result is no longer kept.
        OriginalFailed = "repeat-failed",
        /// Its key is known and stands for another body.
        BodyMismatch = "other-body",
        /// Its time of arrival can't be.
        InvalidArrivalTime = "bad-time",
        /// Another try of its key had run, and the core did not start it.
        AlreadyRan = "already-ran",
        /// Its key may have run in another process of this server that cannot be asked.
        KeyStateUnknown = "key-unknown",
        /// The other process of this server, which owns the keys, did not let this one run it.
        ClaimDenied = "claim-denied",
        /// What came behind it on its connection is no message.
        ProtocolError = "spoilt-connection",
        /// The name of the try is in use, and the effect of another may be under way.
        AttemptIdInUse = "name-in-use",
    }
}

reason_codes! {
    /// How a call ended.
    CallOutcome {
        /// It went well.
        Done = "done",
        /// It failed and may have taken effect.
        Failed = "failed",
        /// It was turned away and never ran.
        Rejected = "declined",
        /// It was given up and may have taken effect.
        TimedOut = "timed-out",
        /// What lies below could not be reached: it never ran.
        Unreachable = "unreachable",
        /// It was cut off and may have taken effect.
        Reset = "reset",
        /// Nobody waits for it any more: its request is over.
        Dropped = "dropped",
    }
}

reason_codes! {
    /// How the engine ended a run.
    RunOutcome {
        /// With a result.
        Complete = "complete",
        /// It failed.
        Error = "error",
        /// It was stopped.
        Cancelled = "stopped",
        /// Nothing was started.
        NotStarted = "unknown",
    }
}

reason_codes! {
    /// A bound of the process that was reached.
    ResourceLimit {
        /// Connections of all fronts: one had to give way.
        Connections = "connections",
        /// Memory for results of keyed requests: one was dropped.
        Results = "results",
        /// Memory for answers that nobody reads: a connection was ended.
        Unread = "unread",
    }
}

reason_codes! {
    /// The front that read a request.
    Protocol {
        /// MessagePack-RPC.
        Rpc = "rpc",
        /// AJP13.
        Ajp = "ajp",
    }
}

/// What was decided about a held request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It is run.
    Run,
    /// It gets the result of the try that it repeats.
    ReuseResult,
    /// It is rejected.
    Reject(RejectReason),
    /// It is failed.
    Fail(FailureReason),
}

/// A final answer, but for those that came too late to be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With a result.
    Served {
        /// Made for another try of the same request.
        deduplicated: bool,
        /// Made without a call that the run asked for.
        degraded: bool,
    },
    /// This try never ran.
    Rejected(RejectReason),
    /// Nothing is promised.
    Failed(FailureReason),
}

/// One thing that happened to one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestEvent {
    /// The core's number for the request; 0 for one that the decision module did not get to see.
    pub id: u32,
    /// Index of its class.
    pub class: usize,
    /// What happened.
    pub kind: RequestEventKind,
}

/// What happened to a request. All durations are milliseconds; `took_ms` counts from the arrival at the machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEventKind {
    /// It was read whole and handed to the core.
    Received {
        /// By this front.
        protocol: Protocol,
        /// Marked as a further try.
        retry: bool,
        /// Work hint, ms on one core.
        hint_ms: Option<f64>,
        /// Time that it lay unread.
        read_delay_ms: f64,
    },
    /// The module decided about it.
    Decided(Decision),
    /// Its run was begun.
    RunStarted {
        /// Time since it was read.
        queue_wait_ms: f64,
    },
    /// Its run is over.
    RunEnded {
        /// How.
        end: RunOutcome,
        /// Time since its run was begun.
        ran_ms: f64,
    },
    /// A call was made for it.
    CallStarted,
    /// A call is over.
    CallEnded {
        /// How.
        end: CallOutcome,
        /// Time since the call was made.
        called_ms: f64,
    },
    /// Its run goes on without its call.
    CallSkipped,
    /// It got its final answer.
    Answered {
        /// The answer.
        answer: Answer,
        /// Work hint, ms on one core.
        hint_ms: Option<f64>,
        /// Time since it reached the machine.
        took_ms: f64,
    },
    /// It was told that there was no time left: its final answer as well.
    DeadlineExceeded {
        /// Why that was seen.
        why: FailureReason,
        /// Time since it reached the machine.
        took_ms: f64,
    },
    /// Its caller left; no answer is owed.
    CallerGone {
        /// Time since it reached the machine.
        took_ms: f64,
    },
}

/// What happened to the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessEvent {
    /// The engine is up and the module was made.
    Started {
        /// The machine had started cold.
        cold: bool,
    },
    /// The notice to leave has come; the process is killed at that time, Unix ms.
    Draining {
        /// Time of the kill.
        kill_ms: f64,
    },
    /// Nothing is owed any more, and the process is about to end.
    Stopped,
    /// A bound was reached.
    LimitReached(ResourceLimit),
    /// The view of the fleet has changed.
    MembershipChanged(MembershipSummary),
}

/// What the view of the fleet holds, in figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipSummary {
    /// Members that are there, this one included; suspected ones are.
    pub up: u32,
    /// Of these, suspected.
    pub suspected: u32,
    /// Lost members that are still asked.
    pub lost: u32,
    /// Verdicts that hold.
    pub verdicts: u32,
    /// Nothing changes, and those heard lately hold the same.
    pub settled: bool,
}

/// The state of the core at one instant, counted in its own tables.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CoreState {
    /// For each class, requests read that were neither answered nor given up.
    pub open: Vec<u64>,
    /// Requests held.
    pub held: u64,
    /// Requests that wait for the try they repeat.
    pub waiting: u64,
    /// Runs, those at a call included.
    pub running: u64,
    /// Calls in hand.
    pub calls: u64,
    /// Entries in the table of keys.
    pub keys: u64,
    /// Results kept, bytes.
    pub results_bytes: u64,
    /// Connections of all fronts.
    pub connections: u64,
    /// What the module says of itself: a name and a figure each, always the same names in the same order.
    pub module: Vec<(&'static str, f64)>,
}

/// Who is told what happens. Told from the core's thread in the order of things; must neither wait nor fail.
pub trait Observer {
    /// Something happened to a request.
    fn request_event(&self, now_ms: f64, fact: RequestEvent);

    /// Something happened to the process.
    fn process_event(&self, now_ms: f64, turn: ProcessEvent) {
        let _ = (now_ms, turn);
    }

    /// The state of the core, in answer to a question for it.
    fn core_state(&self, now_ms: f64, state: &CoreState) {
        let _ = (now_ms, state);
    }
}

/// Nobody watches.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopObserver;

impl Observer for NoopObserver {
    fn request_event(&self, _: f64, _: RequestEvent) {}
}

#[cfg(test)]
mod tests {
    use super::*;

    fn check<R: ReasonCode + std::fmt::Debug>() {
        let words: std::collections::BTreeSet<_> = R::ALL.iter().map(|r| r.code()).collect();
        assert_eq!(words.len(), R::ALL.len(), "each has a word of its own");
        for (at, reason) in R::ALL.iter().enumerate() {
            assert_eq!(reason.index(), at);
            assert!(reason.code().bytes().all(|b| b.is_ascii_lowercase() || b == b'-'), "{reason:?}");
        }
    }

    #[test]
    fn every_reason_has_one_plain_word() {
        check::<RejectReason>();
        check::<FailureReason>();
        check::<CallOutcome>();
        check::<RunOutcome>();
        check::<ResourceLimit>();
        check::<Protocol>();
    }

    #[test]
    fn a_fact_is_small() {
        assert!(std::mem::size_of::<RequestEvent>() <= 64, "{}", std::mem::size_of::<RequestEvent>());
    }
}
