//! The events of pinepoint: small typed values for everything that happens to requests and to the process,
//! and the [`Observer`] trait through which the core reports them.
//!
//! A reason code ([`ReasonCode`]) is spelled the same in the log, the counters, the trace and the operators'
//! pages. The crate does not allocate while an event is reported, does no I/O and depends on no other crate
//! of the workspace.
//!
//! ```
//! use pinepoint_events::{RequestEvent, RequestEventKind, Observer, ReasonCode, RejectReason};
//!
//! struct LastEvent(std::cell::Cell<Option<RequestEvent>>);
//! impl Observer for LastEvent {
//!     fn request_event(&self, _now_ms: f64, event: RequestEvent) {
//!         self.0.set(Some(event));
//!     }
//! }
//! let last = LastEvent(None.into());
//! let kind = RequestEventKind::CallerGone { took_ms: 12.0 };
//! last.request_event(1.0, RequestEvent { id: 7, class: 0, kind });
//! assert_eq!(last.0.get().map(|event| event.id), Some(7));
//! assert_eq!(RejectReason::TooLate.code(), "too-late");
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod core_state;
mod observer;
mod process_event;
mod reason_code;
mod reasons;
mod request_event;

pub use core_state::CoreState;
pub use observer::{NoopObserver, Observer};
pub use process_event::{MembershipSummary, ProcessEvent};
pub use reason_code::ReasonCode;
pub use reasons::{CallOutcome, FailureReason, Protocol, RejectReason, ResourceLimit, RunOutcome};
pub use request_event::{Answer, Decision, RequestEvent, RequestEventKind};

#[cfg(test)]
mod tests;
