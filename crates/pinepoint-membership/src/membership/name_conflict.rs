//! Two processes of one name. A record of another process of this name may be of an earlier process of this
//! member, or of a process that is running. Only a message from that process shows that it runs.

use super::dissemination::Recipient;
use super::{Action, Membership, Notification};
use crate::diagnosis::VerdictKind;
use crate::member::MemberRecord;

/// Time without an answer after which the other process of this name counts as ended, periods.
const CONFLICT_TIMEOUT: f64 = 2.0;

/// A record of another process of this name, whose address was pinged.
pub(super) struct NameConflict {
    record: MemberRecord,
    since_ms: f64,
}

impl Membership {
    /// Pings the address in a record of another process of this name, unless a record of the same or higher
    /// precedence is being checked.
    pub(super) fn check_name_conflict(&mut self, now: f64, record: &MemberRecord, actions: &mut Vec<Action>) {
        let precedence = record.precedence();
        if self.name_conflict.as_ref().is_some_and(|known| known.record.precedence() >= precedence) {
            return;
        }
        self.name_conflict = Some(NameConflict { record: record.clone(), since_ms: now });
        self.ping(now, Recipient::unknown(record.identity.address), actions);
    }

    /// Takes over the name from a process that did not answer in time.
    pub(super) fn expire_name_conflict(&mut self, now: f64, actions: &mut Vec<Action>) {
        let timeout_ms = CONFLICT_TIMEOUT * self.settings.period_ms;
        let Some(conflict) = &self.name_conflict else { return };
        if now - conflict.since_ms < timeout_ms {
            return;
        }
        let generation = conflict.record.generation;
        self.name_conflict = None;
        self.raise_generation(now, generation, actions);
    }

    /// Handles a message from another process of this name, which shows that it runs. The name belongs to the
    /// process of the later generation, and both processes report the conflict.
    pub(super) fn confirm_name_conflict(
        &mut self,
        now: f64,
        record: &MemberRecord,
        actions: &mut Vec<Action>,
    ) {
        if record.identity.instance == self.local.record.identity.instance {
            return;
        }
        let address = record.identity.address;
        let is_known = self.diagnosis.has_active(VerdictKind::NameClash);
        let mut changes = Vec::new();
        self.diagnosis.report_name_conflict(now, &address.to_string(), &mut changes);
        let notifications = changes.into_iter().map(Notification::VerdictChanged);
        actions.extend(notifications.map(Action::Notify));
        self.name_conflict = None;
        if !is_known {
            self.ping(now, Recipient::unknown(address), actions);
        }
    }
}
