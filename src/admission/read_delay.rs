//! Measures how long requests wait at the machine before the host reads them.
//!
//! Where the cores cannot even keep up with reading, this delay is the only sign of the excess demand.

use super::filters::{FORGET_S, LOAD_FILTER_S, OBSERVATION_WEIGHT, low_pass};

/// Time constant with which the delay decays while cores are idle, s. If congestion were remembered longer,
/// all callers would return at the same moment.
const IDLE_FORGET_S: f64 = 0.1;
/// Growth factor of the floor per arrival: an unusually low delay is forgotten within hundreds of arrivals.
const FLOOR_GROWTH: f64 = 1.002;
/// Excess delay beyond which callers are asked not to try elsewhere, ms: the cores cannot even keep up with
/// reading, so each further attempt costs the fleet more than it brings.
const CONGESTION_EXCESS_MS: f64 = 20.0;
/// Sustained busy share above which a delay counts as congestion. Below it a delay is a short queue that
/// arose by chance, and other servers may well have capacity.
const CONGESTION_BUSY_SHARE: f64 = 0.95;

/// Delay between the arrival of requests at the machine and their being read.
#[derive(Clone, Debug)]
pub(super) struct ReadDelay {
    /// Filtered delay, ms.
    pub(super) mean_ms: f64,
    /// Shortest delay of recent completed requests, ms; infinite before the first one.
    floor_ms: f64,
    /// Busy share over half a second, 0 to 1.
    sustained_busy_share: f64,
}

impl ReadDelay {
    pub(super) fn new() -> Self {
        ReadDelay { mean_ms: 0.0, floor_ms: f64::INFINITY, sustained_busy_share: 0.0 }
    }

    /// Records the delay of an arrival, ms.
    pub(super) fn record_arrival(&mut self, delay_ms: f64) {
        // Twice the usual weight. The factors stay apart so that the rounding stays the same.
        self.mean_ms += (delay_ms - self.mean_ms) * OBSERVATION_WEIGHT * 2.0;
        self.floor_ms *= FLOOR_GROWTH;
    }

    /// Records, after the run of a request completed, the delay that the request had when it was read, ms.
    ///
    /// If the floor were learned from all arrivals, misbehaving clients could simulate reads without any
    /// delay and so make the usual delay look like congestion.
    pub(super) fn record_completed(&mut self, delay_ms: f64) {
        self.floor_ms = self.floor_ms.min(delay_ms);
    }

    /// Takes a sample `dt_s` seconds after the previous one.
    pub(super) fn update(&mut self, busy_share: f64, has_idle_cores: bool, dt_s: f64) {
        // With idle cores nothing stays unread: the congestion is over, however long the last arrivals
        // waited.
        let forget_s = if has_idle_cores { IDLE_FORGET_S } else { FORGET_S };
        self.mean_ms = low_pass(self.mean_ms, self.floor_ms.min(self.mean_ms), dt_s, forget_s);
        self.sustained_busy_share = low_pass(self.sustained_busy_share, busy_share, dt_s, LOAD_FILTER_S);
    }

    /// Delay beyond the floor, ms; below 0 while the floor is not known.
    pub(super) fn excess_ms(&self) -> f64 {
        self.mean_ms - self.floor_ms
    }

    /// Whether the cores cannot keep up with reading.
    pub(super) fn is_congested(&self) -> bool {
        self.sustained_busy_share > CONGESTION_BUSY_SHARE && self.excess_ms() > CONGESTION_EXCESS_MS
    }
}
