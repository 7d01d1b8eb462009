//! A read-only snapshot of the controller for telemetry. It has no state of its own and influences no
//! action.

use super::AdmissionController;
use super::request_table::RequestState;

/// The measurements and outputs of an [`AdmissionController`] at one instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSnapshot {
    /// Share of arrivals that loop 1 rejects (alpha), 0 to 1.
    pub reject_share: f64,
    /// Rate of starts that loop 2 allows (u), 1/s.
    pub start_rate_per_s: f64,
    /// Filtered share of busy cores, 0 to 1: the controlled variable of loop 1.
    pub busy_share: f64,
    /// Filtered rate of arrivals, 1/s.
    pub arrivals_per_s: f64,
    /// Number of queued requests: the controlled variable of loop 2.
    pub queued: f64,
    /// Time in which all queued requests could run, ms.
    pub queue_drain_ms: f64,
    /// Filtered delay of requests before they were read, ms.
    pub read_delay_ms: f64,
    /// Factor by which work takes longer than usual; 1 is the usual speed.
    pub slowdown: f64,
    /// Expected duration of a call, ms.
    pub call_duration_ms: f64,
    /// Calls that count against the quota, abandoned ones included.
    pub calls_in_flight: f64,
    /// Memory reserved for requests and keys, kB.
    pub reserved_kb: f64,
    /// Whether health checks are answered as healthy.
    pub healthy: bool,
    /// Whether no run makes progress.
    pub stalled: bool,
}

impl AdmissionSnapshot {
    /// The names of [`AdmissionSnapshot::figures`]. They are metric names and must not change.
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

    /// Each value under its metric name, always in the same order; booleans are 0 or 1.
    pub fn figures(self) -> impl Iterator<Item = (&'static str, f64)> {
        let values = [
            self.reject_share,
            self.start_rate_per_s,
            self.busy_share,
            self.arrivals_per_s,
            self.queued,
            self.queue_drain_ms,
            self.read_delay_ms,
            self.slowdown,
            self.call_duration_ms,
            self.calls_in_flight,
            self.reserved_kb,
            f64::from(u8::from(self.healthy)),
            f64::from(u8::from(self.stalled)),
        ];
        Self::NAMES.into_iter().zip(values)
    }
}

impl AdmissionController {
    /// The state after the last event.
    pub fn snapshot(&self) -> AdmissionSnapshot {
        AdmissionSnapshot {
            reject_share: self.loops.reject_share,
            start_rate_per_s: self.loops.start_rate_per_s,
            busy_share: self.loops.busy_share,
            arrivals_per_s: self.loops.arrivals_per_s,
            queued: self.requests.count(RequestState::Queued),
            queue_drain_ms: self.queue_drain_ms(),
            read_delay_ms: self.read_delay.mean_ms,
            slowdown: self.work.slowdown,
            call_duration_ms: self.calls.duration_ms,
            calls_in_flight: self.calls.in_flight,
            reserved_kb: self.reserved_memory_kb(),
            healthy: self.health.healthy,
            stalled: self.stall.stalled,
        }
    }
}
