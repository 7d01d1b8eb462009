//! SWIM/Lifeguard gossip membership: each member keeps its own view of the fleet. The view shows which
//! members are up, which are shutting down, which are new, and which part of the fleet this member is cut off
//! from. There is no central service, no election, and no guarantee about anything but this view.
//!
//! Guarantees:
//! - All members declare a crashed member lost, in a time that grows with the logarithm of the fleet's size.
//!   A running member refutes the suspicion.
//! - Only the member itself announces that it drains or has left; other members never infer it.
//! - A restart is distinguished from a recovery of the same process: generations only grow, and a record of
//!   an earlier generation never overrides a later one.
//! - After the last fault, all members that reach each other converge to the same view.
//!
//! Not guaranteed: that two views are equal at any instant; that a lost member does not run; that a verdict
//! is true beyond the evidence it states.
//!
//! [`membership`] is the protocol, a state machine over [`table`] and [`member`]. [`diagnosis`] detects
//! faults that concern more than one member. [`wire`] is the message format, [`io`] runs a member on a
//! socket, and [`config`] is the `[fleet]` section of the edge file. Only [`io`] does I/O and reads a clock.
//!
//! ```
//! use std::net::SocketAddr;
//!
//! use pinepoint_membership::member::Identity;
//! use pinepoint_membership::membership::{Action, Event, Membership, MembershipSettings};
//! use pinepoint_membership::wire::Packet;
//!
//! fn address(number: u8) -> SocketAddr {
//!     ([127, 0, 0, number], 7000).into()
//! }
//!
//! fn member(number: u8, seeds: Vec<SocketAddr>) -> Membership {
//!     let identity = Identity {
//!         name: format!("n{number}"),
//!         zone: "a".into(),
//!         address: address(number),
//!         cores: 2,
//!         instance: u32::from(number),
//!     };
//!     Membership::new(MembershipSettings::default(), 0.0, identity, seeds, u64::from(number))
//! }
//!
//! /// Lets a member handle an event, and returns the packets that it sends.
//! fn handle(member: &mut Membership, now: f64, event: Event) -> Vec<Packet> {
//!     let mut actions = Vec::new();
//!     member.handle(now, event, &mut actions);
//!     let packets = actions.into_iter().filter_map(|action| match action {
//!         Action::Send(_, packet) => Some(packet),
//!         Action::Notify(_) => None,
//!     });
//!     packets.collect()
//! }
//!
//! let mut first = member(1, Vec::new());
//! let mut second = member(2, vec![address(1)]);
//! while second.table().is_empty() {
//!     let now = second.next_due();
//!     for packet in handle(&mut second, now, Event::Tick) {
//!         for answer in handle(&mut first, now, Event::PacketReceived(packet)) {
//!             handle(&mut second, now, Event::PacketReceived(answer));
//!         }
//!     }
//! }
//! assert_eq!((first.table().len(), second.table().len()), (1, 1));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod config;
pub mod diagnosis;
pub mod io;
pub mod member;
pub mod membership;
pub mod table;
pub mod wire;
