//! Which keyed requests were begun and how they ended, over restarts.
//!
//! What holds, as long as the store keeps its own promises ([`pinepoint_store`]):
//! - In the window of a key its effect happens at most once, whenever the process ends and however often it is started.
//! - A try whose run may have begun is never told that it was refused.
//! - A result is kept before it is told; an intent before its run leaves.
//! - Keys, keys of one caller and bytes of results are bounded; at a bound new keys are refused before they run, and no open
//!   window is given up.
//!
//! What is not promised: an answer for a key that had begun when the power went. Nobody can know, and its tries fail.
//!
//! [`records`] decides and [`clock`] judges what the clock did meanwhile. Neither does I/O or reads a clock.
//!
//! ```
//! use pinepoint_idempotency::clock::ClockContinuity;
//! use pinepoint_idempotency::records::{Action, Attempt, Event, IdempotencyRecords, Options};
//!
//! let continuity = ClockContinuity::Continuous(0.0);
//! let (mut records, _) = IdempotencyRecords::open(Options::default(), 0.0, continuity, std::iter::empty());
//! let mut out = Vec::new();
//! let attempt =
//!     Attempt { ticket: 1, key: b"k".to_vec(), caller: 1, digest: 7, first_sent_ms: 0.0, window_ms: 1000.0 };
//! records.handle(0.0, Event::Attempt(attempt), &mut out);
//! assert!(matches!(out[..], [Action::WriteDurably(1, _)]), "the intent first");
//! out.clear();
//! records.handle(0.0, Event::WriteCompleted(1, true), &mut out);
//! assert_eq!(out, [Action::Run(1, b"k".to_vec())]);
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod clock;
pub mod records;
