//! An upgrade without a gap: two processes of one server, of which the old one (the predecessor) hands its listening sockets
//! and its idempotency keys to the new one (the successor).
//!
//! What holds:
//! - A key runs at most once in its window, whichever process its tries reach, also if one of the processes is killed at any
//!   step.
//! - At any time one of the processes accepts connections, and no connection in the backlog is lost.
//! - Nothing waits for the peer without a bound.
//!
//! What is not promised: that a repeat which reaches the other process gets the result; it may be told that it failed.
//!
//! [`predecessor`] and [`successor`] decide, on [`ownership`]; [`message`] and [`wire`] are the form of messages; [`io`] carries
//! out. Decisions do no I/O and read no clock. `docs/design/handover.md` tells why.
//!
//! ```
//! use pinepoint_handover::ownership::Rules;
//! use pinepoint_handover::predecessor::{Action as OldAction, Event as OldEvent, Predecessor};
//! use pinepoint_handover::successor::{Action as NewAction, Event as NewEvent, Successor};
//!
//! let mut old = Predecessor::new(Rules::default(), vec!["rpc".into()], [0; 16]);
//! let mut new = Successor::new(Rules::default());
//! new.handle(0.0, NewEvent::EngineUp, &mut Vec::new());
//! let (mut to_old, mut from_old, mut from_new) = (vec![OldEvent::PeerConnected], Vec::new(), Vec::new());
//! while !new.is_serving() {
//!     for event in std::mem::take(&mut to_old) {
//!         old.handle(0.0, event, &mut from_old);
//!     }
//!     for action in std::mem::take(&mut from_old) {
//!         match action {
//!             OldAction::Send(pinepoint_handover::message::Message::Hello(hello)) => {
//!                 new.handle(0.0, NewEvent::PeerConnected(hello), &mut from_new);
//!             }
//!             OldAction::Send(message) => new.handle(0.0, NewEvent::Message(message), &mut from_new),
//!             OldAction::SendSnapshot => to_old.push(OldEvent::Snapshot(Vec::new())),
//!             _ => {}
//!         }
//!     }
//!     for action in std::mem::take(&mut from_new) {
//!         if let NewAction::Send(message) = action {
//!             to_old.push(OldEvent::Message(message));
//!         }
//!     }
//! }
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod io;
pub mod message;
pub mod ownership;
pub mod predecessor;
pub mod successor;
pub mod wire;
