//! SWIM/Lifeguard gossip membership: each member keeps a view of the fleet by itself. It says who is there, who is shutting
//! down, who is new, and which part of the fleet this member is cut off from. There is no central service, no election, and
//! no guarantee about anything but this view.
//!
//! Guarantees:
//! - A member that is gone is declared lost by all, in a time that grows with the logarithm of the fleet; one that runs
//!   refutes.
//! - Draining and left are announced by the member itself, never guessed.
//! - A restart is told from a return: generations only grow, and a record of an earlier one never overrides a later one.
//! - After the last fault, all members that reach each other converge to the same view.
//!
//! Not guaranteed: that two views are equal at any instant; that a lost member does not run; that a verdict is more than its
//! evidence says.
//!
//! [`membership`] is the protocol, a state machine over [`table`] and [`member`]; [`diagnosis`] finds faults that concern
//! more than one member; [`wire`] is the format of messages; [`io`] runs a member on a socket; [`config`] is the section of
//! the edge file. Only [`io`] does I/O and reads a clock.
//!
//! ```
//! use pinepoint_membership::membership::{Action, Event, Membership, MembershipSettings};
//! use pinepoint_membership::member::Identity;
//!
//! let member = |n: u8, seeds: &[u8]| {
//!     let at = |n| ([127, 0, 0, n], 7000).into();
//!     let identity = Identity {
//!         name: format!("n{n}"), zone: "a".into(), address: at(n), cores: 2, instance: u32::from(n),
//!     };
//!     Membership::new(MembershipSettings::default(), 0.0, identity, seeds.iter().map(|n| at(*n)).collect(), u64::from(n))
//! };
//! let (mut a, mut b) = (member(1, &[]), member(2, &[1]));
//! let mut out = Vec::new();
//! while b.table().is_empty() {
//!     let now = b.next_due();
//!     b.handle(now, Event::Tick, &mut out);
//!     for action in std::mem::take(&mut out) {
//!         let Action::Send(_, packet) = action else { continue };
//!         let mut answers = Vec::new();
//!         a.handle(now, Event::PacketReceived(packet), &mut answers);
//!         for answer in answers {
//!             if let Action::Send(_, packet) = answer {
//!                 b.handle(now, Event::PacketReceived(packet), &mut Vec::new());
//!             }
//!         }
//!     }
//! }
//! assert_eq!((a.table().len(), b.table().len()), (1, 1));
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
