//! Idempotency keys over restarts: which keyed requests were started, and how they ended.
//!
//! Guarantees, as long as those of [`pinepoint_store`] hold:
//! - Within a key's window its request takes effect at most once, whenever and however often the process is
//!   restarted.
//! - An attempt whose request may have run is never rejected, because a rejection means that it did not run.
//! - A run starts only after its intent is durable; its result is written before it is delivered.
//! - Keys, keys of one caller and retained results are bounded; at a bound new keys are rejected, and no
//!   record whose window is open is evicted.
//!
//! Not guaranteed: a result for a key whose run had started when the process ended. Attempts with this key
//! fail.
//!
//! [`records`] is the state machine, [`clock`] compares the clocks of two processes. Neither does I/O or
//! reads a clock.
//!
//! ```
//! use pinepoint_idempotency::clock::ClockContinuity;
//! use pinepoint_idempotency::records::{Action, Attempt, Event, IdempotencyRecords, Options};
//!
//! let continuity = ClockContinuity::Continuous { elapsed_ms: 0.0 };
//! let (mut records, _) = IdempotencyRecords::open(Options::default(), 0.0, continuity, std::iter::empty());
//! let mut out = Vec::new();
//! let attempt =
//!     Attempt { ticket: 1, key: b"k".to_vec(), caller: 1, digest: 7, first_sent_ms: 0.0, window_ms: 1000.0 };
//! records.handle(0.0, Event::Attempt(attempt), &mut out);
//! assert!(matches!(out[..], [Action::WriteDurably { write: 1, .. }]), "the intent is written first");
//! out.clear();
//! records.handle(0.0, Event::WriteCompleted { write: 1, is_durable: true }, &mut out);
//! assert_eq!(out, [Action::Run { ticket: 1, key: b"k".to_vec() }]);
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod clock;
pub mod records;
