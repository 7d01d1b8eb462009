//! Lifeguard's local health: a member whose own process is slow or was stopped relies less on its own
//! observations.

use super::probing::INDIRECT_PROBES;
use super::{Action, FailureDetector, Membership, Notification};

/// Maximum score. A member's own timeouts are multiplied by up to this plus one.
pub(super) const MAX_HEALTH_SCORE: u32 = 8;
/// Delay of a tick that counts as a stall, periods.
const STALL_THRESHOLD: f64 = 0.6;
/// Added to the score by a stall.
const STALL_PENALTY: u32 = 2;

/// Health of the local process.
pub(super) struct LocalHealth {
    /// Lifeguard's local health multiplier, less one: 0 is healthy.
    score: u32,
    /// Until this time, ms, this member accuses no other member and no suspicion expires.
    accusations_paused_until_ms: f64,
}

impl Default for LocalHealth {
    fn default() -> Self {
        LocalHealth { score: 0, accusations_paused_until_ms: f64::NEG_INFINITY }
    }
}

impl LocalHealth {
    pub(super) fn worsen(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_HEALTH_SCORE);
    }

    pub(super) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    pub(super) fn is_paused(&self, now: f64) -> bool {
        now < self.accusations_paused_until_ms
    }
}

impl Membership {
    pub(super) fn uses_lifeguard(&self) -> bool {
        self.settings.detector == FailureDetector::Lifeguard
    }

    /// Multiplier of this member's own timeouts, 1 or more.
    pub(super) fn health_multiplier(&self) -> f64 {
        if self.uses_lifeguard() { f64::from(self.local_health.score + 1) } else { 1.0 }
    }

    /// Whether this member was stalled just now and therefore accuses no other member.
    pub(super) fn accusations_are_paused(&self, now: f64) -> bool {
        self.uses_lifeguard() && self.local_health.is_paused(now)
    }

    /// Detects that the clock jumped or that the process did not run. In that time, probes that look
    /// unanswered may have been answered, and suspicions that look expired may have been refuted.
    pub(super) fn detect_stall(&mut self, now: f64, actions: &mut Vec<Action>) {
        let late_ms = now - self.next_tick_ms;
        if !self.uses_lifeguard() || late_ms < STALL_THRESHOLD * self.settings.period_ms {
            return;
        }
        self.local_health.worsen(STALL_PENALTY);
        self.probing.in_flight.clear();
        self.relays.clear();
        self.suspicions.values_mut().for_each(|suspicion| suspicion.restart(now));
        // Refutations may have been missed during the stall: an exchange with other members fetches them.
        for identity in self.random_members(INDIRECT_PROBES, None) {
            self.start_sync(now, identity.address, actions);
        }
        let pause_ms = self.settings.period_ms * self.health_multiplier();
        self.local_health.accusations_paused_until_ms = now + pause_ms;
        self.next_tick_ms = now;
        self.probing.next_probe_ms = now;
        self.next_maintenance_ms = now;
        actions.push(Action::Notify(Notification::Stalled { late_ms }));
    }
}
