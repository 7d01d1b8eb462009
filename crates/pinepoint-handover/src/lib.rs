//! Hot restart of a server: the running process (the predecessor) hands its listening sockets and the
//! ownership of its idempotency keys over to the process that replaces it (the successor).
//!
//! Guarantees:
//! - A key runs at most once within its window, whichever process receives its attempts, even if either
//!   process is killed at any step.
//! - The listening sockets stay open throughout, and no connection in their backlogs is lost. One of the
//!   processes accepts connections, except while the predecessor's `Yielded` is on its way.
//! - Every wait for the peer is bounded.
//!
//! Not guaranteed: a retry that reaches the other process may fail instead of being answered with the result.
//!
//! [`predecessor`] and [`successor`] are state machines without I/O or a clock, which share the rules of
//! [`ownership`]; [`message`] and [`wire`] define the protocol; [`io`] does the I/O.
//! `docs/design/handover.md` gives the reasons.
//!
//! # Duties of the embedding server
//!
//! - At startup: call [`io::connect`] and report the outcome as [`successor::Event::PeerConnected`] or
//!   [`successor::Event::NoPredecessor`]; on [`successor::Action::Reconnect`], do so again. Listen on the
//!   passed sockets, or on the server's own sockets if none were passed.
//! - On [`successor::Action::BeginServing`]: accept connections, create the predecessor machine, pass it the
//!   latest [`successor::Action::KeysUnknownUntil`] and each later one, bind and run an [`io::Acceptor`].
//! - Notify the predecessor machine of each [`io::Accepted`] and of each key change, including changes of
//!   keys that were imported or that [`successor::Action::FailPeerKeys`] failed.
//! - Pass messages and link closures to the machine that owns the link, identified by [`io::Link::number`];
//!   drop those of earlier links.
//! - Before running a key that is unknown or whose window is over: call
//!   [`predecessor::Predecessor::unknown_key`]. While a claim is pending, further attempts with its key wait
//!   for the same claim. The key of a granted claim is recorded as [`message::KeyState::Held`] and reported
//!   as a key change.
//! - Set `until_ms` of a key to the end of its window, but no earlier than the deadline of its request. A
//!   request that was queued beyond `until_ms` would be reported as never run while the other process runs a
//!   later attempt.
//! - Never replace a record of this process by an imported record. Grant a claim only if the key is unknown
//!   or its window is over, and this process may run unknown keys; the record then belongs to the
//!   predecessor.
//! - Send `Tick` events at the times that `next_due` of both machines returns.
//! - On exit: call [`io::Link::finish`], and wait a bounded time for the link's task.
//!
//! ```
//! use pinepoint_handover::message::Message;
//! use pinepoint_handover::ownership::Rules;
//! use pinepoint_handover::predecessor::{self, Predecessor};
//! use pinepoint_handover::successor::{self, Successor};
//!
//! let mut predecessor = Predecessor::new(Rules::default(), vec!["rpc".into()], [0; 16]);
//! let mut successor = Successor::new(Rules::default());
//! successor.handle(0.0, successor::Event::EngineUp, &mut Vec::new());
//! let mut to_predecessor = vec![predecessor::Event::PeerConnected];
//! let (mut from_predecessor, mut from_successor) = (Vec::new(), Vec::new());
//! while !successor.is_serving() {
//!     for event in std::mem::take(&mut to_predecessor) {
//!         predecessor.handle(0.0, event, &mut from_predecessor);
//!     }
//!     for action in std::mem::take(&mut from_predecessor) {
//!         match action {
//!             predecessor::Action::Send(Message::Hello(hello)) => {
//!                 successor.handle(0.0, successor::Event::PeerConnected(hello), &mut from_successor);
//!             }
//!             predecessor::Action::Send(message) => {
//!                 successor.handle(0.0, successor::Event::Message(message), &mut from_successor);
//!             }
//!             predecessor::Action::SendSnapshot => {
//!                 to_predecessor.push(predecessor::Event::Snapshot(Vec::new()));
//!             }
//!             _ => {}
//!         }
//!     }
//!     for action in std::mem::take(&mut from_successor) {
//!         if let successor::Action::Send(message) = action {
//!             to_predecessor.push(predecessor::Event::Message(message));
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
