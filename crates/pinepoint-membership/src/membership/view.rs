//! A member's view of the fleet, as shown to operators, and whether the view is settled.

use std::net::SocketAddr;

use pinepoint_events::MembershipSummary;

use super::Membership;
use crate::diagnosis::Verdict;
use crate::member::{Load, MemberRecord};

/// Periods without a change after which a view may be settled. Agreement with other members counts for the
/// same time.
const SETTLED_AFTER: f64 = 3.0;

/// A member's view. It is serialised to JSON; the names of its keys are part of the interface.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct MembershipView {
    /// Name of the member that has this view.
    #[serde(rename = "self")]
    pub local_name: String,
    /// Nothing changes, and members that sent packets lately have the same view.
    pub settled: bool,
    /// Digest, 16 hexadecimal digits. Equal views have equal digests.
    pub digest: String,
    /// The active verdicts.
    pub verdicts: Vec<Verdict>,
    /// All members, the local one included, by name.
    pub members: Vec<MemberView>,
}

/// One member in a view.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct MemberView {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its phase, or `suspected` or `lost`.
    pub state: &'static str,
    /// Its generation.
    #[serde(rename = "start")]
    pub generation: u64,
    /// Time since this view has had the member in this state, ms.
    pub age_ms: f64,
    /// Address at which other members reach it.
    pub address: SocketAddr,
    /// Cores of its engine.
    pub cores: u16,
    /// Its load and the age of that report, ms. None if no message was received from the member itself.
    pub load: Option<(Load, f64)>,
}

impl MemberView {
    fn new(record: &MemberRecord, age_ms: f64, load: Option<(Load, f64)>) -> Self {
        MemberView {
            name: record.identity.name.clone(),
            zone: record.identity.zone.clone(),
            state: record.state_code(),
            generation: record.generation,
            age_ms: age_ms.max(0.0),
            address: record.identity.address,
            cores: record.identity.cores,
            load,
        }
    }
}

impl Membership {
    /// Whether nothing changes and members that sent packets lately have the same view.
    pub fn is_settled(&self, now: f64) -> bool {
        let settling_ms = SETTLED_AFTER * self.settings.period_ms;
        let is_quiet = now - self.last_change_ms >= settling_ms;
        let is_alone = self.table.up_count() == 0;
        is_quiet
            && self.suspicions.is_empty()
            && self.name_conflict.is_none()
            && (is_alone || self.anti_entropy.agrees_with_peers(now, settling_ms))
    }

    /// Counts over the view.
    pub fn summary(&self, now: f64) -> MembershipSummary {
        MembershipSummary {
            up: self.table.up_count() as u32 + 1,
            suspected: self.suspicions.len() as u32,
            lost: self.table.lost().len() as u32,
            verdicts: self.diagnosis.verdicts().count() as u32,
            settled: self.is_settled(now),
        }
    }

    /// The view as shown to operators.
    pub fn view(&self, now: f64) -> MembershipView {
        let others = self.table.iter().map(|(_, member)| {
            let last_received_ms = member.last_received_ms;
            let load = last_received_ms.is_finite().then_some((member.load, now - last_received_ms));
            MemberView::new(&member.record, now - member.state_since_ms, load)
        });
        let mut members: Vec<MemberView> = others.collect();
        let local = &self.local;
        members.push(MemberView::new(&local.record, now - local.phase_since_ms, Some((local.load, 0.0))));
        members.sort_by(|a, b| a.name.cmp(&b.name));
        MembershipView {
            local_name: local.record.identity.name.clone(),
            settled: self.is_settled(now),
            digest: format!("{:016x}", self.digest()),
            verdicts: self.diagnosis.verdicts().cloned().collect(),
            members,
        }
    }
}
