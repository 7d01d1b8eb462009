//! Decides, inside one server of a fleet, what the server takes, runs and turns away.
//!
//! Two local PI loops carry the ordinary path: one turns the filtered share of busy cores into the
//! share of arrivals refused at read, the other turns the length of the hold into the rate of starts.
//! The crate does no I/O and reads no clock: the host hands in events with the time and carries out the
//! actions that come back, in the order given. Times are milliseconds of any clock that does not go
//! back, memory is in kilobytes. The same events give the same actions.
//!
//! # What a host must do
//!
//! - Construct a [`Controller`] at each start of the server, with [`Settings`] and a seed. Every field of
//!   [`Settings`] has a default that switches off what it is for; settings that make no sense come
//!   back as a [`SettingsError`].
//! - Send [`Event::Begin`] first, and [`Event::Settled`] after the last event of each instant: arrivals are
//!   decided and runs and calls started there. No arrival is answered before it.
//! - Send [`Event::Arrived`] once for each request read, with an id never used before. It is owed one final
//!   answer: a run that ends, [`Action::Refuse`] or [`Action::Fail`].
//! - For each [`Action::Start`] and each [`Action::Reuse`] send one [`Event::Finished`] when the work ends, also
//!   after a [`Action::Fail`] or [`Action::Halt`] of running work; a success answers the caller by itself.
//! - Send [`Event::NeedsCall`] where running work stops before a call, and [`Event::CallEnded`] for each
//!   [`Action::Call`]; after a success the work goes on, after anything else it waits as before.
//! - Send [`Event::CallerGone`] where the host hears of it; nothing is owed from then on.
//! - For each [`Action::Timer`] send [`Event::Timer`] with the token and the gauges of
//!   [`Settings::gauges`]; the first comes of [`Event::Begin`] and each timer asks for the next. Due times
//!   are kept by these timers: a host that drops them loses answers.
//! - Where settings change, call [`Controller::reconfigure`]: classes and tenants keep their indexes, new ones come behind
//!   them, and one that is dropped stays for what is open of it.
//! - Enter and drop keys as [`Action::Remember`] and [`Action::Forget`] say, and name the kept request in
//!   [`Request::repeats`] when it is repeated: this is how no effect happens twice.
//!
//! An event about a request that is over changes nothing. An action that the host cannot carry out (the
//! request ended in the meantime) may be dropped.
//!
//! # The life of a request
//!
//! ```
//! use pinepoint::{Action, Controller, Event, Gauge, Outcome, Request, Settings};
//!
//! let settings = Settings { gauges: vec![Gauge::BusyShare, Gauge::Runnable], ..Settings::default() };
//! let mut controller = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//! controller.handle(0.0, Event::Begin, &mut actions);
//! let timer = actions.iter().find_map(|a| match a {
//!     Action::Timer { after_ms, token } => Some((*after_ms, *token)),
//!     _ => None,
//! });
//! let (after_ms, token) = timer.expect("the first timer comes of the beginning");
//!
//! // One core: the first request runs, the second is held.
//! for id in [1, 2] {
//!     let request = Request { id, due_ms: Some(900.0), mem_kb: 20.0, ..Request::default() };
//!     controller.handle(5.0, Event::Arrived(request), &mut actions);
//! }
//! actions.clear();
//! controller.handle(5.0, Event::Settled, &mut actions);
//! assert_eq!(actions, [Action::Start { id: 1 }]);
//!
//! // The timer brings the gauges: one core busy, one run on it.
//! actions.clear();
//! controller.handle(after_ms, Event::Timer { token, gauges: vec![1.0, 1.0] }, &mut actions);
//! controller.handle(after_ms, Event::Settled, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Timer { .. })), "each timer asks for the next");
//!
//! // The first ends late; what cannot be done in time any more is refused, not run.
//! actions.clear();
//! controller.handle(890.0, Event::Finished { id: 1, outcome: Outcome::Done }, &mut actions);
//! controller.handle(890.0, Event::Timer { token, gauges: vec![1.0, 0.0] }, &mut actions);
//! controller.handle(890.0, Event::Settled, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Refuse { id: 2, .. })));
//! # Ok::<(), pinepoint::SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod brain;
pub mod configuration;
pub mod deployment;
mod interface;
pub mod node;
pub mod settings;

pub use brain::Controller;
pub use brain::view::View;
pub use interface::*;
