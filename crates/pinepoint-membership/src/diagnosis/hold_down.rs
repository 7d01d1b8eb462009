//! The active verdicts, and their hold-down against flapping.

use std::collections::BTreeMap;

use super::verdict::{Verdict, VerdictChange, VerdictKind};

/// Flaps beyond this number do not lengthen the hold-down further.
const MAX_FLAPS: u32 = 3;
/// Evidence that was not confirmed for this time has ended, periods.
const UNCONFIRMED_PERIODS: f64 = 2.0;

/// A condition that is found to be true now, from which a verdict is made or renewed.
pub(super) struct Finding {
    pub(super) kind: VerdictKind,
    pub(super) subject: String,
    pub(super) confidence: f64,
    pub(super) evidence: String,
}

#[derive(Clone, Debug)]
struct ActiveVerdict {
    verdict: Verdict,
    confirmed_ms: f64,
    flaps: u32,
}

impl ActiveVerdict {
    /// Time for which the verdict stays active after its evidence has ended: 0, 1, 3 or 7 times the
    /// hold-down.
    fn extension_ms(&self, hold_down_ms: f64) -> f64 {
        hold_down_ms * f64::from((1_u32 << self.flaps.min(MAX_FLAPS)) - 1)
    }

    fn has_expired(&self, now: f64, hold_down_ms: f64, period_ms: f64) -> bool {
        let unconfirmed_ms = self.extension_ms(hold_down_ms).max(UNCONFIRMED_PERIODS * period_ms);
        now - self.confirmed_ms >= unconfirmed_ms && now - self.verdict.since_ms >= hold_down_ms
    }
}

/// A verdict that ended lately.
#[derive(Clone, Copy, Debug)]
struct EndedVerdict {
    ended_ms: f64,
    flaps: u32,
}

/// Kind and subject of a verdict. Ended verdicts are stored under the family of the kind.
type VerdictKey = (VerdictKind, String);

/// The active verdicts, by kind and subject, and those that ended lately.
#[derive(Clone, Debug)]
pub(super) struct VerdictStore {
    hold_down_ms: f64,
    flap_memory_ms: f64,
    period_ms: f64,
    active: BTreeMap<VerdictKey, ActiveVerdict>,
    ended: BTreeMap<VerdictKey, EndedVerdict>,
}

impl VerdictStore {
    pub(super) fn new(hold_down_ms: f64, flap_memory_ms: f64, period_ms: f64) -> Self {
        VerdictStore {
            hold_down_ms,
            flap_memory_ms,
            period_ms,
            active: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Verdict> {
        self.active.values().map(|active| &active.verdict)
    }

    /// Whether a verdict of this kind is active, whatever its subject.
    pub(super) fn has_active(&self, kind: VerdictKind) -> bool {
        self.active.keys().any(|(active, _)| *active == kind)
    }

    /// Whether the verdict of this kind about this subject is active.
    pub(super) fn is_active(&self, kind: VerdictKind, subject: &str) -> bool {
        self.active.contains_key(&(kind, subject.to_owned()))
    }

    /// Renews the verdict that follows from a finding, or makes it.
    pub(super) fn confirm(&mut self, now: f64, finding: Finding, changes: &mut Vec<VerdictChange>) {
        let Finding { kind, subject, confidence, evidence } = finding;
        if let Some(active) = self.active.get_mut(&(kind, subject.clone())) {
            active.verdict.confidence = confidence;
            active.verdict.evidence = evidence;
            active.confirmed_ms = now;
            return;
        }
        let flaps = match self.replace_family(kind, &subject, changes) {
            // Replacing another verdict of its family is no flap.
            Some(replaced) => replaced.flaps,
            None => {
                let ended = self.ended.remove(&(kind.family(), subject.clone()));
                ended.map_or(0, |ended| (ended.flaps + 1).min(MAX_FLAPS))
            }
        };
        let verdict = Verdict {
            kind,
            subject: subject.clone(),
            confidence,
            evidence,
            since_ms: now,
            is_held_down: false,
        };
        changes.push(VerdictChange { verdict: verdict.clone(), holds: true });
        self.active.insert((kind, subject), ActiveVerdict { verdict, confirmed_ms: now, flaps });
    }

    /// Removes the active verdict of the same family about the same subject, if there is one.
    fn replace_family(
        &mut self,
        kind: VerdictKind,
        subject: &str,
        changes: &mut Vec<VerdictChange>,
    ) -> Option<ActiveVerdict> {
        let is_related = |key: &VerdictKey| key.0.family() == kind.family() && key.1 == subject;
        let key = self.active.keys().find(|key| is_related(key)).cloned()?;
        let replaced = self.active.remove(&key)?;
        changes.push(VerdictChange { verdict: replaced.verdict.clone(), holds: false });
        Some(replaced)
    }

    /// Ends a verdict at once, if it is active.
    pub(super) fn withdraw(
        &mut self,
        now: f64,
        kind: VerdictKind,
        subject: &str,
        changes: &mut Vec<VerdictChange>,
    ) {
        let Some(active) = self.active.remove(&(kind, subject.to_owned())) else { return };
        let ended = EndedVerdict { ended_ms: now, flaps: active.flaps };
        self.ended.insert((kind.family(), subject.to_owned()), ended);
        changes.push(VerdictChange { verdict: active.verdict, holds: false });
    }

    /// Marks the verdicts that were not confirmed at `now` as held down, and removes the ended verdicts that
    /// are older than the flap memory.
    pub(super) fn refresh(&mut self, now: f64) {
        for active in self.active.values_mut() {
            active.verdict.is_held_down = active.confirmed_ms < now;
        }
        let flap_memory_ms = self.flap_memory_ms;
        self.ended.retain(|_, ended| now - ended.ended_ms < flap_memory_ms);
    }

    /// Ends the verdicts whose evidence has ended and whose hold-down has passed.
    pub(super) fn expire(&mut self, now: f64, changes: &mut Vec<VerdictChange>) {
        let (hold_down_ms, period_ms) = (self.hold_down_ms, self.period_ms);
        let has_expired = |active: &ActiveVerdict| active.has_expired(now, hold_down_ms, period_ms);
        let expired = self.active.iter().filter(|(_, active)| has_expired(active));
        let expired: Vec<VerdictKey> = expired.map(|(key, _)| key.clone()).collect();
        for (kind, subject) in expired {
            self.withdraw(now, kind, &subject, changes);
        }
    }
}
