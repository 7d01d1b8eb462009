//! Indirect probes on behalf of other members: a relay pings the target and passes on its ack, or sends a
//! nack.

use std::net::SocketAddr;

use super::dissemination::Recipient;
use super::local_health::MAX_HEALTH_SCORE;
use super::probing::DIRECT_PROBE_TIMEOUT;
use super::{Action, Membership};
use crate::member::Identity;
use crate::wire::PacketBody;

/// Maximum number of relayed probes in flight. The oldest is evicted.
const MAX_RELAYED_PROBES: usize = 64;

/// A probe that is relayed for another member.
pub(super) struct RelayedProbe {
    /// Sequence number of the ping that this member has sent to the target.
    sequence: u32,
    origin: SocketAddr,
    origin_sequence: u32,
    /// When the nack is due, ms. None once the nack was sent.
    nack_due_ms: Option<f64>,
    expires_ms: f64,
}

impl Membership {
    /// Pings the target on behalf of the member at `origin`.
    pub(super) fn relay_probe(
        &mut self,
        now: f64,
        origin: SocketAddr,
        origin_sequence: u32,
        target: &Identity,
        actions: &mut Vec<Action>,
    ) {
        let sequence = self.ping(now, Recipient::member(target), actions);
        if self.relays.len() >= MAX_RELAYED_PROBES {
            self.relays.pop_front();
        }
        let period_ms = self.settings.period_ms;
        self.relays.push_back(RelayedProbe {
            sequence,
            origin,
            origin_sequence,
            nack_due_ms: Some(now + DIRECT_PROBE_TIMEOUT * period_ms),
            expires_ms: now + period_ms * f64::from(MAX_HEALTH_SCORE),
        });
    }

    /// Forwards an ack to the origin of the relayed probe that has this sequence number, if there is one.
    pub(super) fn forward_ack(&mut self, now: f64, sequence: u32, actions: &mut Vec<Action>) {
        let position = self.relays.iter().position(|relay| relay.sequence == sequence);
        let Some(relay) = position.and_then(|position| self.relays.remove(position)) else { return };
        let body = PacketBody::Ack { sequence: relay.origin_sequence };
        self.send(now, Recipient::unknown(relay.origin), body, actions);
    }

    /// Sends the nacks that are due and drops relayed probes that have expired.
    pub(super) fn check_relay_timeouts(&mut self, now: f64, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for relay in &mut self.relays {
            if relay.nack_due_ms.is_some_and(|due_ms| due_ms <= now) {
                relay.nack_due_ms = None;
                due.push((relay.origin, relay.origin_sequence));
            }
        }
        for (origin, sequence) in due {
            self.send(now, Recipient::unknown(origin), PacketBody::Nack { sequence }, actions);
        }
        self.relays.retain(|relay| relay.expires_ms > now);
    }
}
