//! An upgrade without a gap: two processes of one server, of which the old one (the predecessor) hands its listening sockets
//! and its idempotency keys to the new one (the successor).
//!
//! What holds:
//! - A key runs at most once in its window, whichever process its tries reach, also if one of the processes is killed at any
//!   step.
//! - The listening sockets stay open throughout and no connection in their backlogs is lost; one of the processes accepts, except
//!   for the moment between the predecessor's yield and its arrival.
//! - Nothing waits for the peer without a bound.
//!
//! What is not promised: that a repeat which reaches the other process gets the result; it may be told that it failed.
//!
//! [`predecessor`] and [`successor`] decide, on [`ownership`]; [`message`] and [`wire`] are the form of messages; [`io`] carries
//! out. Decisions do no I/O and read no clock. `docs/design/handover.md` tells why.
//!
//! # What a core must do
//!
//! - At the start: [`io::connect`], and [`successor::Event::PeerConnected`] or [`successor::Event::NoPredecessor`] from what comes
//!   back; on [`successor::Action::Reconnect`] the same again. Listen on the passed sockets, or on its own if there are none.
//! - On [`successor::Action::BeginServing`]: accept, make the predecessor machine, tell it the latest
//!   [`successor::Action::KeysUnknownUntil`] (and each later one), bind an [`io::Acceptor`] and run it.
//! - Tell the predecessor machine each [`io::Accepted`] and each change of a key, also of one that was imported or failed by
//!   [`successor::Action::FailPeerKeys`].
//! - Hand messages and ends of links to the machine that owns the link, by [`io::Link::number`], and drop those of earlier links.
//! - Before it runs a key that it does not know, or knows as over: [`predecessor::Predecessor::unknown_key`]. While a claim waits,
//!   further tries of its key wait for the same claim. A granted claim is entered as held, and is told as a change.
//! - `until_ms` of a key is the end of its window, but not earlier than its request is due: a request that were held beyond would
//!   be told that it never ran while the other process runs a later one.
//! - An import never replaces a record of its own. A claim is granted only if the key is unknown or over, and this process may
//!   run unknown keys; the record is then the predecessor's.
//! - Events that are due come from `next_due` of both machines.
//! - At its exit: [`io::Link::finish`], and awaits the link's task for a bounded time.
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
