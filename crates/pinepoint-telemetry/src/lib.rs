//! Telemetry: counts the outcomes of requests, and delivers the counts to Graphite and collectd despite
//! failures of the receivers.
//!
//! Events of the core are counted ([`accounts`], [`distribution`]). At the end of each reporting interval
//! ([`interval_schedule`]) a [`snapshot`] goes into a bounded spool for each destination ([`spool`]), from
//! which it is delivered: [`delivery`] decides, over a [`hash_ring`] of receivers with a [`circuit_breaker`]
//! each, in the formats of [`graphite`] and [`collectd`]. These modules do no I/O and read no clock; the
//! private modules `telemetry` and `transport` carry their decisions out on sockets.
//! `docs/design/telemetry.md` explains the design, `docs/operations/telemetry.md` the use.
//!
//! ```
//! use std::rc::Rc;
//!
//! use pinepoint_events::{Answer, Protocol, RequestEvent, RequestEventKind};
//! use pinepoint_telemetry::accounts::{Accounts, Class};
//! use pinepoint_telemetry::schema::Schema;
//!
//! let schema = Rc::new(Schema::new(&["look".into()], &[], &[]));
//! let class = Class {
//!     latency_objective_ms: 900.0,
//!     objective_per_work: 0.0,
//!     weight: 1.0,
//!     late_weight: 0.2,
//!     weight_without_call: 0.3,
//! };
//! let mut accounts = Accounts::new(schema.clone(), vec![class], false);
//! let event = |kind| RequestEvent { id: 1, class: 0, kind };
//! let protocol = Protocol::Rpc;
//! let (retry, work_hint_ms, read_delay_ms) = (false, None, 0.0);
//! accounts.record(&event(RequestEventKind::Received { protocol, retry, work_hint_ms, read_delay_ms }));
//! let answer = Answer::Served { deduplicated: false, degraded: false };
//! accounts.record(&event(RequestEventKind::Answered { answer, work_hint_ms: None, took_ms: 12.0 }));
//! let (totals, _) = accounts.end_interval();
//! let served = (0..schema.points()).find(|point| schema.describe(*point).stat == "served_in_aim");
//! assert_eq!(totals[served.expect("a metric of this name")], 1.0);
//! ```
#![deny(unsafe_code)]
#![deny(missing_docs)]

pub mod accounts;
pub mod circuit_breaker;
pub mod collectd;
pub mod config;
pub mod delivery;
pub mod distribution;
mod encoder;
pub mod graphite;
pub mod hash_ring;
pub mod interval_schedule;
pub mod metric_names;
pub mod schema;
mod send_queue;
pub mod snapshot;
pub mod spool;
mod telemetry;
mod transport;

pub use telemetry::{Parts, Setup, Source, Telemetry};
