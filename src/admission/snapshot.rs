//! A read-only view of the decision module, for those that watch it. It owns no state and decides nothing: were
//! it removed, no action would change.

use super::{AdmissionController, Module, RequestState};

/// What a [`AdmissionController`] knows and wants at one instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSnapshot {
    /// Share of arrivals that loop 1 refuses at read, 0 to 1.
    pub refusal_share: f64,
    /// Rate of starts that loop 2 allows, 1/s.
    pub start_rate_per_s: f64,
    /// Filtered share of busy cores, 0 to 1: what loop 1 steers.
    pub busy_share: f64,
    /// Filtered rate of arrivals, 1/s.
    pub arrivals_per_s: f64,
    /// Requests held: what loop 2 steers.
    pub held: f64,
    /// Time in which all that is held could run, ms.
    pub hold_ms: f64,
    /// Filtered wait of requests before they were read, ms.
    pub unread_ms: f64,
    /// How much longer work takes than usual, 1.
    pub stretch: f64,
    /// Expected time of a call, ms.
    pub call_ms: f64,
    /// Calls that count against the share, abandoned ones included.
    pub calls_in_hand: f64,
    /// Memory booked for requests and keys, kB.
    pub booked_kb: f64,
    /// Health checks are answered well.
    pub healthy: bool,
    /// No run gets anywhere.
    pub hung: bool,
}

impl AdmissionSnapshot {
    /// The names of [`AdmissionSnapshot::figures`].
    pub const NAMES: [&'static str; 13] = [
        "refusal_share",
        "start_rate_per_s",
        "busy_share",
        "arrivals_per_s",
        "held",
        "hold_ms",
        "unread_ms",
        "stretch",
        "call_ms",
        "calls_in_hand",
        "booked_kb",
        "healthy",
        "hung",
    ];

    /// Each figure under its name, always in the same order.
    pub fn figures(self) -> impl Iterator<Item = (&'static str, f64)> {
        let figures = [
            self.refusal_share,
            self.start_rate_per_s,
            self.busy_share,
            self.arrivals_per_s,
            self.held,
            self.hold_ms,
            self.unread_ms,
            self.stretch,
            self.call_ms,
            self.calls_in_hand,
            self.booked_kb,
            f64::from(u8::from(self.healthy)),
            f64::from(u8::from(self.hung)),
        ];
        Self::NAMES.into_iter().zip(figures)
    }
}

impl AdmissionController {
    /// The state at the last event.
    pub fn view(&self) -> AdmissionSnapshot {
        self.0.view()
    }
}

impl Module {
    fn view(&self) -> AdmissionSnapshot {
        AdmissionSnapshot {
            refusal_share: self.alpha,
            start_rate_per_s: self.start_rate,
            busy_share: self.busy,
            arrivals_per_s: self.rate_per_s,
            held: self.count(RequestState::Queued),
            hold_ms: self.hold_ms(),
            unread_ms: self.intake_ms,
            stretch: self.stretch,
            call_ms: self.call_ms,
            calls_in_hand: self.calls_in_hand,
            booked_kb: self.memory_kb(),
            healthy: self.healthy,
            hung: self.hung,
        }
    }
}
