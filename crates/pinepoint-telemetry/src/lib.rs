//! Telemetry: counts of what became of requests, brought to Graphite and collectd whatever happens to them.
//!
//! Facts of the core are counted ([`accounts`]), cut into intervals ([`slots`], [`snapshot`]), kept in a bounded spool
//! for each destination ([`spool`]) and delivered ([`delivery`], which decides over [`ring`] and [`circuit`]) in the
//! bytes of [`graphite`] and [`collectd`]. All of these do no I/O and read no clock; `io` and `links` carry out what
//! they decide, on sockets. `docs/design/telemetry.md` has the reasons, `docs/operations/telemetry.md` the use.
//!
//! ```
//! use std::rc::Rc;
//!
//! use pinepoint_events::{Answer, RequestEvent, Protocol, RequestEventKind};
//! use pinepoint_telemetry::accounts::{Accounts, Class};
//! use pinepoint_telemetry::schema::Schema;
//!
//! let schema = Rc::new(Schema::new(&["look".into()], &[], &[]));
//! let class = Class { aim_ms: 900.0, aim_stretch: 0.0, worth: 1.0, late_worth: 0.2, worth_without: 0.3 };
//! let mut accounts = Accounts::new(schema.clone(), vec![class], false);
//! let fact = |kind| RequestEvent { id: 1, class: 0, kind };
//! accounts.note(&fact(RequestEventKind::Received { protocol: Protocol::Rpc, retry: false, hint_ms: None, read_delay_ms: 0.0 }));
//! let answer = Answer::Served { deduplicated: false, degraded: false };
//! accounts.note(&fact(RequestEventKind::Answered { answer, hint_ms: None, took_ms: 12.0 }));
//! let (totals, _) = accounts.cut();
//! let at = (0..schema.points()).find(|at| schema.point(*at).1 == "served_in_aim").expect("a series");
//! assert_eq!(totals[at], 1.0);
//! ```
#![deny(unsafe_code)]
#![warn(missing_docs)]

pub mod accounts;
pub mod circuit;
pub mod collectd;
pub mod config;
pub mod delivery;
pub mod graphite;
mod io;
mod links;
pub mod names;
mod outq;
pub mod ring;
pub mod schema;
pub mod slots;
pub mod snapshot;
pub mod spool;

pub use io::{Parts, Setup, Source, Telemetry};
