//! Diagnosis of faults that concern more than one member: a lost or unreachable zone, a link that fails in
//! one direction, isolation of this member, a start of the whole fleet, two processes of one name. The
//! diagnosis owns the verdicts and their evidence. It does no I/O, reads no clock and does not change the
//! table of members.

mod hold_down;
mod verdict;
mod zones;

use std::collections::{BTreeMap, BTreeSet};

use crate::table::MemberTable;
use hold_down::{Finding, VerdictStore};
pub use verdict::{Verdict, VerdictChange, VerdictKind};

/// A verdict about a link requires that a message of the member was received within this time, periods.
const LINK_RECEIVED_WITHIN: f64 = 4.0;
/// Consecutive missed probes that count as a sign of a network fault.
const MIN_MISSED_PROBES: u32 = 2;

/// The thresholds of diagnosis. Times are in protocol periods.
#[derive(Clone, Copy, Debug)]
pub struct DiagnosisSettings {
    /// Members that stop answering within this time count as having stopped together.
    pub outage_window: f64,
    /// Fraction of a zone that has to stop answering together for a verdict about the zone.
    pub outage_fraction: f64,
    /// An outage of a zone lasts while at least this fraction of the zone is unresponsive.
    pub ongoing_outage_fraction: f64,
    /// No verdict is made about a zone or a fleet with fewer members than this.
    pub min_members: usize,
    /// Minimum duration of a verdict. A verdict that is made again within `flap_memory` of its end stays
    /// active for this time after its evidence has ended, on further repetitions for three and for seven
    /// times as long. This dampens flapping as BGP route flap damping does (RFC 2439): changes become rare,
    /// and no verdict is made late.
    pub hold_down: f64,
    /// Time after the end of a verdict in which making it again counts as a flap, see `hold_down`.
    pub flap_memory: f64,
    /// A fleet start requires that all processes of the fleet started within this time.
    pub fleet_start_window: f64,
    /// A member that has received nothing for this time may be isolated.
    pub isolation_silence: f64,
}

impl Default for DiagnosisSettings {
    fn default() -> Self {
        DiagnosisSettings {
            outage_window: 12.0,
            outage_fraction: 0.8,
            ongoing_outage_fraction: 0.5,
            min_members: 2,
            hold_down: 10.0,
            flap_memory: 160.0,
            fleet_start_window: 60.0,
            isolation_silence: 4.0,
        }
    }
}

/// The local member's state, as input of a diagnosis.
#[derive(Clone, Copy, Debug)]
pub struct LocalObservation<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// Its uptime, ms.
    pub uptime_ms: f64,
    /// The local member was stopped or starved lately, so that its observations of others are no evidence.
    pub is_recovering: bool,
    /// Consecutive probes that neither the target nor a relay answered.
    pub unanswered_probes: u32,
    /// Its local health multiplier, 1 or more: its own failure detection takes that many times as long.
    pub health_multiplier: f64,
    /// Keys of the members that missed two or more direct probes in a row.
    pub unreachable_directly: &'a BTreeSet<u64>,
}

/// Makes verdicts from the table of members and keeps them.
#[derive(Clone, Debug)]
pub struct DiagnosisEngine {
    settings: DiagnosisSettings,
    period_ms: f64,
    verdicts: VerdictStore,
    /// Per zone with an outage, when its first member stopped answering, ms.
    zone_outages: BTreeMap<String, f64>,
    /// While this member is isolated, when the first other member stopped answering, ms.
    isolated_since_ms: Option<f64>,
    /// Another process started long before this one, or a member left gracefully, so that the fleet did not
    /// start together with this member.
    fleet_is_older: bool,
}

impl DiagnosisEngine {
    /// An engine without verdicts.
    pub fn new(settings: DiagnosisSettings, period_ms: f64) -> Self {
        DiagnosisEngine {
            settings,
            period_ms,
            verdicts: VerdictStore::new(
                settings.hold_down * period_ms,
                settings.flap_memory * period_ms,
                period_ms,
            ),
            zone_outages: BTreeMap::new(),
            isolated_since_ms: None,
            fleet_is_older: false,
        }
    }

    /// The active verdicts.
    pub fn verdicts(&self) -> impl Iterator<Item = &Verdict> {
        self.verdicts.iter()
    }

    /// Whether a verdict of this kind is active, whatever its subject.
    pub fn has_active(&self, kind: VerdictKind) -> bool {
        self.verdicts.has_active(kind)
    }

    /// Records that a message was received from another process of this member's name, at this address.
    pub fn report_name_conflict(&mut self, now: f64, address: &str, changes: &mut Vec<VerdictChange>) {
        let finding = Finding {
            kind: VerdictKind::NameClash,
            subject: address.to_owned(),
            confidence: 1.0,
            evidence: format!("a message came from another process of this name at {address}"),
        };
        self.verdicts.confirm(now, finding, changes);
    }

    /// Diagnoses the current table. Has to be called once a period.
    pub fn evaluate(
        &mut self,
        now: f64,
        local: LocalObservation<'_>,
        table: &MemberTable,
        changes: &mut Vec<VerdictChange>,
    ) {
        if !local.is_recovering {
            if self.has_signs_of_outage(local, table) {
                self.diagnose_outages(now, local, table, changes);
            }
            self.diagnose_links(now, local, table, changes);
        }
        self.diagnose_fleet_start(now, local, table, changes);
        self.verdicts.refresh(now);
        // A process that was stopped has made no observations meanwhile, so its verdicts do not expire.
        if !local.is_recovering {
            self.verdicts.expire(now, changes);
        }
    }

    /// Whether zones have to be examined. While all members answer this is not needed, which saves work in
    /// large fleets.
    fn has_signs_of_outage(&self, local: LocalObservation<'_>, table: &MemberTable) -> bool {
        !table.unresponsive().is_empty()
            || local.unanswered_probes >= MIN_MISSED_PROBES
            || !self.zone_outages.is_empty()
            || self.isolated_since_ms.is_some()
    }

    fn diagnose_links(
        &mut self,
        now: f64,
        local: LocalObservation<'_>,
        table: &MemberTable,
        changes: &mut Vec<VerdictChange>,
    ) {
        let received_within_ms = LINK_RECEIVED_WITHIN * self.period_ms;
        for member in local.unreachable_directly.iter().filter_map(|key| table.get(*key)) {
            let silence_ms = now - member.last_received_ms;
            let missed = member.missed_probes;
            if missed < MIN_MISSED_PROBES || silence_ms >= received_within_ms || !member.record.is_up() {
                continue;
            }
            let finding = Finding {
                kind: VerdictKind::OneWay,
                subject: member.record.identity.name.clone(),
                confidence: 1.0 - 0.5_f64.powi(missed as i32),
                evidence: format!("heard {silence_ms:.0} ms ago, {missed} questions unanswered"),
            };
            self.verdicts.confirm(now, finding, changes);
        }
    }

    fn diagnose_fleet_start(
        &mut self,
        now: f64,
        local: LocalObservation<'_>,
        table: &MemberTable,
        changes: &mut Vec<VerdictChange>,
    ) {
        let window_ms = self.settings.fleet_start_window * self.period_ms;
        if self.fleet_is_older || local.uptime_ms > 2.0 * window_ms {
            return;
        }
        let senders = table.senders();
        let started_ms = now - local.uptime_ms;
        self.fleet_is_older = table.has_seen_leave() || started_ms - senders.earliest_start_ms > window_ms;
        let members = senders.members;
        if self.fleet_is_older || members < self.settings.min_members || local.uptime_ms >= window_ms {
            return;
        }
        let finding = Finding {
            kind: VerdictKind::FleetStart,
            subject: String::new(),
            confidence: members as f64 / (members as f64 + 1.0),
            evidence: format!(
                "none of {members} members heard started over {window_ms:.0} ms before me, and none has left"
            ),
        };
        self.verdicts.confirm(now, finding, changes);
    }
}
