//! The all-to-all heartbeat, a baseline for measurements: each member sends to all others once a period.

use super::dissemination::Recipient;
use super::{Action, Membership};
use crate::member::Liveness;
use crate::wire::PacketBody;

/// A member that was silent for this time is declared lost, periods.
const HEARTBEAT_TIMEOUT: f64 = 5.0;

impl Membership {
    pub(super) fn send_heartbeats(&mut self, now: f64, actions: &mut Vec<Action>) {
        let silent_since_ms = now - HEARTBEAT_TIMEOUT * self.settings.period_ms;
        let up = self.table.iter().filter(|(_, member)| member.record.is_up());
        let members: Vec<_> = up
            .map(|(key, member)| {
                let last_activity_ms = member.last_received_ms.max(member.state_since_ms);
                (key, member.record.identity.clone(), last_activity_ms < silent_since_ms)
            })
            .collect();
        for (key, identity, is_silent) in members {
            self.send(now, Recipient::member(&identity), PacketBody::Gossip, actions);
            if is_silent {
                self.declare(now, key, Liveness::Lost, actions);
            }
        }
    }
}
