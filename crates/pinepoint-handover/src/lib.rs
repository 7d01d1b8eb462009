//! Hot restart: two processes of one server, of which the old one (the predecessor) hands its listening sockets and the
//! ownership of its idempotency keys to the new one (the successor).
//!
//! Guarantees:
//! - A key runs at most once in its window, whichever process receives its attempts, also if either process is killed at any
//!   step.
//! - The listening sockets stay open throughout, and no connection in their backlogs is lost. One of the processes accepts
//!   connections, except for the moment between the predecessor's `Yielded` and its arrival.
//! - Every wait for the peer is bounded.
//!
//! Not guaranteed: a result for a retry that reaches the other process; it may fail instead.
//!
//! [`predecessor`] and [`successor`] are state machines without I/O or a clock, on the rules of [`ownership`]; [`message`] and
//! [`wire`] define the protocol; [`io`] does the I/O. `docs/design/handover.md` gives the reasons.
//!
//! # What the embedding server has to do
//!
//! - At the start: call [`io::connect`] and pass its outcome on as [`successor::Event::PeerConnected`] or
//!   [`successor::Event::NoPredecessor`]; on [`successor::Action::Reconnect`] do so again. Listen on the passed sockets, or on its
//!   own if there are none.
//! - On [`successor::Action::BeginServing`]: accept connections, create the predecessor machine, tell it the latest
//!   [`successor::Action::KeysUnknownUntil`] (and each later one), bind an [`io::Acceptor`] and run it.
//! - Tell the predecessor machine each [`io::Accepted`] and each change of a key, also of keys that were imported or failed by
//!   [`successor::Action::FailPeerKeys`].
//! - Pass messages and the ends of links to the machine that owns the link, by [`io::Link::number`]; drop those of earlier links.
//! - Before running a key that is unknown, or whose window is over: ask [`predecessor::Predecessor::unknown_key`]. While a claim is
//!   pending, further attempts of its key wait for the same claim. A granted claim is entered as held, and reported as a change.
//! - Set `until_ms` of a key to the end of its window, but not before the deadline of its request: a request that were queued for
//!   longer would be reported as never run while the other process runs a later attempt.
//! - Never replace a record of its own by an imported one. Grant a claim only if the key is unknown or its window is over, and
//!   this process may run unknown keys; the record then belongs to the predecessor.
//! - Send `Tick` events at the times that `next_due` of both machines return.
//! - At its exit: call [`io::Link::finish`], and wait for the link's task for a bounded time.
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
#![deny(missing_docs)]

pub mod io;
pub mod message;
pub mod ownership;
pub mod predecessor;
pub mod successor;
pub mod wire;
