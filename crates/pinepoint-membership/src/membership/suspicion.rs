//! SWIM's suspicions: a member that failed a probe is suspected before it is declared lost, and may refute
//! the suspicion until then. With Lifeguard, a suspicion is shorter the more members have confirmed it
//! independently.

use super::dissemination::Recipient;
use super::probing::INDIRECT_PROBES;
use super::{Action, Membership};
use crate::member::{Liveness, MemberRecord};
use crate::wire::PacketBody;

/// The minimum duration of a suspicion, periods, is the larger of this and of `DURATION_PER_DECADE` times
/// log10 of the number of members.
const MIN_DURATION: f64 = 1.5;
const DURATION_PER_DECADE: f64 = 0.8;
/// With Lifeguard, ratio of the maximum duration of a suspicion to the minimum.
const MAX_DURATION_FACTOR: f64 = 3.0;

/// A member that is suspected.
pub(super) struct Suspicion {
    began_ms: f64,
    /// Short keys of the members that accused it independently.
    pub(super) accusers: Vec<u32>,
    min_duration_ms: f64,
    max_duration_ms: f64,
}

impl Suspicion {
    /// Lifeguard's formula for suspicion timeouts: the duration falls logarithmically from the maximum, with
    /// one accuser, to the minimum, with `INDIRECT_PROBES` more.
    fn ends_ms(&self) -> f64 {
        let accusers = self.accusers.len().max(1) as f64;
        let confirmed = accusers.ln() / ((INDIRECT_PROBES + 1) as f64).ln();
        let range_ms = self.max_duration_ms - self.min_duration_ms;
        self.began_ms + (self.max_duration_ms - range_ms * confirmed).max(self.min_duration_ms)
    }

    /// Starts the suspicion's duration anew.
    pub(super) fn restart(&mut self, now: f64) {
        self.began_ms = now;
    }
}

impl Membership {
    /// The short key under which this member accuses others. It is never 0, which stands for no accuser.
    pub(super) fn accuser_key(&self) -> u32 {
        (self.local.key() as u32) | 1
    }

    /// Suspects a member that failed a probe, or confirms a suspicion raised by other members.
    pub(super) fn suspect(&mut self, now: f64, key: u64, actions: &mut Vec<Action>) {
        let Some(member) = self.table.get(key) else { return };
        if !member.record.is_up() {
            return;
        }
        let accused = Recipient::member(&member.record.identity);
        if member.record.liveness == Liveness::Alive {
            self.declare(now, key, Liveness::Suspected, actions);
        } else {
            self.confirm_suspicion(key, self.accuser_key());
        }
        // The accused is notified first (Lifeguard's buddy system), so that it can refute at once.
        self.send(now, accused, PacketBody::Gossip, actions);
    }

    /// Records this member's own observation of another's liveness in the table, which also gossips it.
    pub(super) fn declare(&mut self, now: f64, key: u64, liveness: Liveness, actions: &mut Vec<Action>) {
        let Some(member) = self.table.get(key) else { return };
        let record = MemberRecord { liveness, accuser: self.accuser_key(), ..member.record.clone() };
        self.merge_record(now, &record, actions);
    }

    /// Counts one more independent accuser of a suspected member, and gossips its accusation.
    pub(super) fn confirm_suspicion(&mut self, key: u64, accuser: u32) {
        let Some(suspicion) = self.suspicions.get_mut(&key) else { return };
        let is_enough = suspicion.accusers.len() > INDIRECT_PROBES;
        if accuser == 0 || is_enough || suspicion.accusers.contains(&accuser) {
            return;
        }
        suspicion.accusers.push(accuser);
        self.gossip.enqueue(key);
    }

    pub(super) fn begin_suspicion(&mut self, now: f64, key: u64, accuser: u32) {
        let members = (self.table.len() + 1) as f64;
        let min_duration = (DURATION_PER_DECADE * members.log10()).max(MIN_DURATION);
        let min_duration_ms = min_duration * self.settings.period_ms;
        let max_duration_ms =
            if self.uses_lifeguard() { MAX_DURATION_FACTOR * min_duration_ms } else { min_duration_ms };
        let accusers = if accuser == 0 { Vec::new() } else { vec![accuser] };
        let suspicion = Suspicion { began_ms: now, accusers, min_duration_ms, max_duration_ms };
        self.suspicions.insert(key, suspicion);
    }

    /// Declares those members lost that did not refute the suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.accusations_are_paused(now) {
            return;
        }
        let expired = self.suspicions.iter().filter(|(_, suspicion)| suspicion.ends_ms() <= now);
        let expired: Vec<u64> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            self.suspicions.remove(&key);
            self.declare(now, key, Liveness::Lost, actions);
        }
    }
}
