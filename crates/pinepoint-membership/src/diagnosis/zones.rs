//! Outages of zones, and isolation of this member, which looks like an outage of all other members.

use std::collections::{BTreeMap, BTreeSet};

use super::hold_down::Finding;
use super::{DiagnosisEngine, LocalObservation, MIN_MISSED_PROBES, VerdictChange, VerdictKind};
use crate::table::{MemberState, MemberTable, Recovery};

/// The kinds of verdicts about a zone.
const ZONE_KINDS: [VerdictKind; 3] =
    [VerdictKind::ZoneUnreachable, VerdictKind::ZoneLost, VerdictKind::ZoneCutOff];

/// Counts of the members of one zone. Members that were lost long before the outage are not counted.
struct ZoneTally<'a> {
    members: &'a BTreeSet<u64>,
    /// Members that answer, or answered until the outage.
    total: usize,
    /// Members of `total` that have not answered since the outage began.
    unresponsive: usize,
    /// Unresponsive members at whose address no process listens.
    refused: usize,
    /// Unresponsive members from which messages were received since they stopped answering.
    received_since: usize,
    first_unresponsive_ms: f64,
}

impl<'a> ZoneTally<'a> {
    fn new(members: &'a BTreeSet<u64>) -> Self {
        let total = members.len();
        ZoneTally {
            members,
            total,
            unresponsive: 0,
            refused: 0,
            received_since: 0,
            first_unresponsive_ms: f64::INFINITY,
        }
    }

    fn count_unresponsive(&mut self, member: &MemberState, unresponsive_since_ms: f64) {
        self.unresponsive += 1;
        self.first_unresponsive_ms = self.first_unresponsive_ms.min(unresponsive_since_ms);
        self.refused += usize::from(member.connection_refused);
        // A message received after it became suspected or lost shows that it runs but receives nothing from
        // this member.
        self.received_since += usize::from(member.last_received_ms > member.state_since_ms);
    }

    /// Number of members that came back with a new process since the outage began.
    fn restarted_since(&self, outage_ms: f64, table: &MemberTable) -> usize {
        let members = self.members.iter().filter_map(|key| table.get(*key));
        let restarted = members
            .filter(|member| member.recovery == Recovery::NewGeneration && member.recovered_ms >= outage_ms);
        restarted.count()
    }
}

/// Counts of the members of all zones.
struct FleetTally {
    total: usize,
    unresponsive: usize,
    refused: usize,
    first_unresponsive_ms: f64,
}

impl FleetTally {
    fn of(zones: &BTreeMap<&str, ZoneTally<'_>>) -> Self {
        let mut fleet =
            FleetTally { total: 0, unresponsive: 0, refused: 0, first_unresponsive_ms: f64::INFINITY };
        for zone in zones.values() {
            fleet.total += zone.total;
            fleet.unresponsive += zone.unresponsive;
            fleet.refused += zone.refused;
            fleet.first_unresponsive_ms = fleet.first_unresponsive_ms.min(zone.first_unresponsive_ms);
        }
        fleet
    }
}

fn fraction(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

impl DiagnosisEngine {
    /// Detects outages of zones, unless this member itself is isolated.
    pub(super) fn diagnose_outages(
        &mut self,
        now: f64,
        local: LocalObservation<'_>,
        table: &MemberTable,
        changes: &mut Vec<VerdictChange>,
    ) {
        let window_ms = self.settings.outage_window * self.period_ms * local.health_multiplier;
        let zones = self.tally_zones(now, window_ms, table);
        let fleet = FleetTally::of(&zones);
        let isolation = self.find_isolation(now, window_ms, &fleet, local, table);
        self.zone_outages.retain(|name, _| zones.contains_key(name.as_str()));
        if let Some(finding) = isolation {
            self.isolated_since_ms.get_or_insert(fleet.first_unresponsive_ms.min(now));
            self.verdicts.confirm(now, finding, changes);
            self.withdraw_zone_verdicts(now, &zones, changes);
            return;
        }
        self.isolated_since_ms = None;
        let any_member_answers = fleet.total > fleet.unresponsive;
        for (name, zone) in &zones {
            let may_be_down = any_member_answers && *name != local.zone && !name.is_empty();
            if may_be_down && self.is_zone_down(name, zone) {
                self.diagnose_zone(now, name, zone, table, changes);
            } else {
                self.zone_outages.remove(*name);
            }
        }
    }

    fn tally_zones<'a>(
        &self,
        now: f64,
        window_ms: f64,
        table: &'a MemberTable,
    ) -> BTreeMap<&'a str, ZoneTally<'a>> {
        let mut zones: BTreeMap<&str, ZoneTally<'_>> =
            table.zones().map(|(name, members)| (name, ZoneTally::new(members))).collect();
        // Only unresponsive members are examined one by one.
        for member in table.unresponsive().iter().filter_map(|key| table.get(*key)) {
            let name = member.record.identity.zone.as_str();
            let Some(zone) = zones.get_mut(name) else { continue };
            let unresponsive_since_ms = self.unresponsive_since_ms(member);
            if unresponsive_since_ms > now {
                continue;
            }
            let outage_ms = self.isolated_since_ms.or_else(|| self.zone_outages.get(name).copied());
            if unresponsive_since_ms < outage_ms.unwrap_or(now) - window_ms {
                zone.total -= 1;
            } else {
                zone.count_unresponsive(member, unresponsive_since_ms);
            }
        }
        zones
    }

    /// Time from which a member that does not answer counts as unresponsive, ms. A loss learnt by gossip
    /// alone may come from a member that was isolated itself, and be refuted soon by the members concerned.
    /// The loss therefore counts only after a delay.
    fn unresponsive_since_ms(&self, member: &MemberState) -> f64 {
        let delay = if member.lost_by_gossip { self.settings.outage_window * self.period_ms } else { 0.0 };
        member.state_since_ms + delay
    }

    /// Detects that this member itself is isolated: it receives nothing at all, or it lost most of the fleet
    /// at once without a sign that the fleet is down.
    fn find_isolation(
        &self,
        now: f64,
        window_ms: f64,
        fleet: &FleetTally,
        local: LocalObservation<'_>,
        table: &MemberTable,
    ) -> Option<Finding> {
        let FleetTally { total, unresponsive, refused, .. } = *fleet;
        if total <= self.settings.min_members {
            return None;
        }
        let silence_ms = now - table.last_received_ms();
        let unanswered = local.unanswered_probes;
        let receives_nothing = silence_ms.is_finite()
            && silence_ms >= self.settings.isolation_silence * self.period_ms
            && unanswered >= MIN_MISSED_PROBES;
        let most_are_unresponsive = 2 * unresponsive > total + 1 && 2 * refused < unresponsive;
        let (confidence, evidence) = if receives_nothing {
            let evidence = format!(
                "nobody of {total} members heard for {silence_ms:.0} ms, {unanswered} questions unanswered"
            );
            (1.0, evidence)
        } else if most_are_unresponsive {
            let evidence =
                format!("{unresponsive} of {total} members stopped answering within {window_ms:.0} ms");
            (fraction(unresponsive, total), evidence)
        } else {
            return None;
        };
        Some(Finding { kind: VerdictKind::SelfCutOff, subject: String::new(), confidence, evidence })
    }

    /// Withdraws all verdicts about zones, which are void while this member is isolated.
    fn withdraw_zone_verdicts(
        &mut self,
        now: f64,
        zones: &BTreeMap<&str, ZoneTally<'_>>,
        changes: &mut Vec<VerdictChange>,
    ) {
        for name in zones.keys() {
            self.zone_outages.remove(*name);
            for kind in ZONE_KINDS {
                self.verdicts.withdraw(now, kind, name, changes);
            }
        }
    }

    fn is_zone_down(&self, name: &str, zone: &ZoneTally<'_>) -> bool {
        let is_ongoing = self.zone_outages.contains_key(name);
        let threshold =
            if is_ongoing { self.settings.ongoing_outage_fraction } else { self.settings.outage_fraction };
        zone.total >= self.settings.min_members && fraction(zone.unresponsive, zone.total) >= threshold
    }

    fn diagnose_zone(
        &mut self,
        now: f64,
        name: &str,
        zone: &ZoneTally<'_>,
        table: &MemberTable,
        changes: &mut Vec<VerdictChange>,
    ) {
        let outage_ms = *self.zone_outages.entry(name.to_owned()).or_insert(zone.first_unresponsive_ms);
        let restarted = zone.restarted_since(outage_ms, table);
        let ZoneTally { total, unresponsive, refused, received_since, .. } = *zone;
        let found = if received_since > 0 {
            VerdictKind::ZoneCutOff
        } else if 2 * refused >= unresponsive || restarted > 0 {
            VerdictKind::ZoneLost
        } else {
            VerdictKind::ZoneUnreachable
        };
        let evidence = format!(
            "{unresponsive} of {total} stopped answering; of these {refused} have nobody listening, {received_since} \
             were heard since, {restarted} came back with a new start"
        );
        let finding = Finding {
            kind: self.most_specific_kind(found, name),
            subject: name.to_owned(),
            confidence: fraction(unresponsive, total),
            evidence,
        };
        self.verdicts.confirm(now, finding, changes);
    }

    /// The kind of verdict to make about a zone. A more specific kind replaces
    /// [`VerdictKind::ZoneUnreachable`], but not the other way round.
    fn most_specific_kind(&self, found: VerdictKind, zone: &str) -> VerdictKind {
        if found != VerdictKind::ZoneUnreachable {
            return found;
        }
        let specific = [VerdictKind::ZoneLost, VerdictKind::ZoneCutOff];
        let active = specific.into_iter().find(|kind| self.verdicts.is_active(*kind, zone));
        active.unwrap_or(found)
    }
}
