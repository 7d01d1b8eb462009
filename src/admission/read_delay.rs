//! Measures how long requests wait at the machine before the host reads them.
//!
//! Where the cores cannot even keep up with reading, this delay is the only sign of the excess demand.

use super::filters::{FORGET_S, LOAD_FILTER_S, OBSERVATION_WEIGHT, low_pass};

/// Time over which the delay is forgotten while cores are idle, s. A jam remembered then would send all
/// callers back together.
const IDLE_FORGET_S: f64 = 0.1;
/// Growth of the floor per arrival: forgets a lucky low within hundreds of arrivals.
const FLOOR_GROWTH: f64 = 1.002;
/// Excess delay beyond which callers are asked not to try elsewhere, ms: the cores cannot even keep up with
/// reading, so each further attempt costs the fleet more than it brings.
const JAM_EXCESS_MS: f64 = 20.0;
/// Sustained busy share without which a delay is a chance queue and other servers may well have capacity.
const JAM_BUSY_SHARE: f64 = 0.95;

/// Delay between the arrival of requests at the machine and their being read.
#[derive(Clone, Debug)]
pub(super) struct ReadDelay {
    /// Filtered delay, ms.
    pub(super) mean_ms: f64,
    /// Least delay of recent completed requests, ms; infinite before the first.
    floor_ms: f64,
    /// Busy share over half a second, 0 to 1.
    sustained_busy_share: f64,
}

impl ReadDelay {
    pub(super) fn new() -> Self {
        ReadDelay { mean_ms: 0.0, floor_ms: f64::INFINITY, sustained_busy_share: 0.0 }
    }

    /// Takes the delay of an arrival, ms.
    pub(super) fn record_arrival(&mut self, delay_ms: f64) {
        // Twice the usual weight. The factors stay apart so that the rounding stays the same.
        self.mean_ms += (delay_ms - self.mean_ms) * OBSERVATION_WEIGHT * 2.0;
        self.floor_ms *= FLOOR_GROWTH;
    }

    /// Takes the delay that a request had when it was read, once its run is complete, ms.
    ///
    /// If the floor were learned from all arrivals, misbehaving clients could feign reading without any
    /// delay, and so a jam.
    pub(super) fn record_completed(&mut self, delay_ms: f64) {
        self.floor_ms = self.floor_ms.min(delay_ms);
    }

    /// Takes a sample, `dt_s` seconds after the one before.
    pub(super) fn update(&mut self, busy_share: f64, has_idle_cores: bool, dt_s: f64) {
        // Idle cores leave nothing unread: the jam is over, whatever the last arrivals had waited.
        let forget_s = if has_idle_cores { IDLE_FORGET_S } else { FORGET_S };
        self.mean_ms = low_pass(self.mean_ms, self.floor_ms.min(self.mean_ms), dt_s, forget_s);
        self.sustained_busy_share = low_pass(self.sustained_busy_share, busy_share, dt_s, LOAD_FILTER_S);
    }

    /// Delay beyond its floor, ms; below 0 while the floor is not known.
    pub(super) fn excess_ms(&self) -> f64 {
        self.mean_ms - self.floor_ms
    }

    /// Whether the cores cannot keep up with reading.
    pub(super) fn is_jammed(&self) -> bool {
        self.sustained_busy_share > JAM_BUSY_SHARE && self.excess_ms() > JAM_EXCESS_MS
    }
}
