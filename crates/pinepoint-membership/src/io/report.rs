//! Notifications as log lines for operators. The lines are documented in `docs/operations/fleet.md`.

use pinepoint_events::ReasonCode;

use crate::diagnosis::VerdictChange;
use crate::member::MemberRecord;
use crate::membership::Notification;

pub(super) fn log(notification: &Notification) {
    match notification {
        Notification::MemberChanged { record, is_new_process } => log_member(record, *is_new_process),
        Notification::VerdictChanged(change) => log_verdict(change),
        Notification::Stalled { late_ms } => tracing::warn!(reason = "own-trouble", late_ms, "fleet-self"),
        Notification::Refuted(liveness) => {
            tracing::warn!(reason = "refuted", held = liveness.code(), "fleet-self");
        }
        Notification::GenerationRaised(generation) => {
            tracing::warn!(reason = "start-raised", start = generation, "fleet-self");
        }
        Notification::RecordRejected { reason, member } => {
            tracing::warn!(reason = reason.code(), name = member, "fleet-disbelieved");
        }
        Notification::SettledChanged(settled) => tracing::info!(settled, "fleet-view"),
    }
}

fn log_member(record: &MemberRecord, is_new_process: bool) {
    tracing::info!(
        name = record.identity.name,
        zone = record.identity.zone,
        reason = record.state_code(),
        start = record.generation,
        new = is_new_process,
        "fleet-member"
    );
}

fn log_verdict(change: &VerdictChange) {
    let verdict = &change.verdict;
    tracing::warn!(
        reason = verdict.kind.code(),
        of = verdict.subject,
        holds = change.holds,
        sure = verdict.confidence,
        evidence = verdict.evidence,
        "fleet-verdict"
    );
}
