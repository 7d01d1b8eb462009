//! A view of the fleet that its members keep by themselves: who is there, who is going, who is new, and which part of the
//! fleet one is cut off from. No centre, no election, no promise about any other matter than this view.
//!
//! What holds:
//! - A member that is gone is held lost by all in a time that grows as the logarithm of the fleet; one that lives refutes.
//! - Draining and left are told by the member itself, never guessed.
//! - A restart is told apart from a return: starts only grow, and an earlier start never touches a later one.
//! - After the last fault all that can reach each other come to hold the same.
//!
//! What is not promised: that two views are the same at any instant; that a lost member does not run; that a verdict is
//! more than what its evidence says.
//!
//! [`fleet`] decides, on [`table`] and [`member`]; [`judge`] judges over the single member; [`wire`] is the form of
//! messages; [`io`] carries out; [`config`] is what operators choose. Decisions do no I/O and read no clock.
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
#![warn(missing_docs)]

pub mod config;

pub mod diagnosis;
pub mod io;
pub mod member;
pub mod membership;
pub mod table;
pub mod wire;
