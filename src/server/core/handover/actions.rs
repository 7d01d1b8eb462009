//! Executes the actions of the two state machines of a handover.

use pinepoint_handover::predecessor::{self, Predecessor};
use pinepoint_handover::successor;

use crate::server::control::lifecycle::Phase as LifecyclePhase;
use crate::server::core::Core;
use crate::server::core::keys::{AttemptEnd, AttemptResult};

impl Core {
    pub(super) fn execute_as_successor(&mut self, action: successor::Action) {
        use successor::Action;
        let Some(handover) = &self.handover else { return };
        let transport = handover.dependencies.transport.clone();
        match action {
            Action::Send(message) => transport.send_to_predecessor(&message),
            Action::Reconnect => transport.find_predecessor(),
            Action::DropPeer(reason) => {
                tracing::warn!(%reason, "predecessor-dropped");
                transport.drop_predecessor();
            }
            Action::BeginServing => self.begin_serving(),
            Action::Import(record) => self.import_record(record),
            Action::DiscardImports => self.finish_remote_attempts(&AttemptEnd::NeverRan),
            Action::FailPeerKeys => {
                self.finish_remote_attempts(&AttemptEnd::Ran(AttemptResult::Failed));
            }
            Action::KeysUnknownUntil(until_ms) => self.fail_unknown_keys_until(until_ms),
            Action::DecideClaim(claim) => self.decide_claim(claim),
            Action::SetDrained(drained) => {
                self.apply_lame_duck(drained);
                self.predecessor_event(predecessor::Event::DrainChanged(drained));
            }
            Action::PeerConnections(open) => transport.set_peer_connections(open as usize),
            Action::Leave => {
                let notice_ms = handover.notice_ms;
                self.drain_without_successor(notice_ms);
            }
        }
    }

    pub(super) fn execute_as_predecessor(&mut self, action: predecessor::Action) {
        use predecessor::Action;
        let Some(handover) = &self.handover else { return };
        let transport = handover.dependencies.transport.clone();
        match action {
            Action::Send(message) => transport.send_to_successor(&message),
            Action::SendSnapshot => {
                let records = self.key_records();
                self.predecessor_event(predecessor::Event::Snapshot(records));
            }
            Action::RefusePeer => {}
            Action::DropPeer(reason) => {
                tracing::warn!(%reason, "successor-dropped");
                transport.drop_successor();
            }
            Action::StopAccepting => self.dependencies.status.accepting.set(false),
            Action::ResumeAccepting => self.dependencies.status.accepting.set(true),
            Action::BindAcceptor => transport.listen_for_successor(),
            Action::Grant(id) => self.admit_claimants(id),
            Action::Deny(id, reason) => self.fail_denied_claimants(id, reason),
            Action::SetDrained(drained) => {
                self.apply_lame_duck(drained);
                self.successor_event(successor::Event::DrainChanged(drained));
            }
            Action::KeysUnknownUntil(until_ms) => self.log_unknown_keys(until_ms),
            Action::Leave { handed_over } => {
                let notice_ms = handover.notice_ms;
                if handed_over {
                    self.drain_after_handover(notice_ms);
                } else {
                    self.drain_without_successor(notice_ms);
                }
            }
        }
    }

    /// Begins to serve: this process owns the keys now, and may have a successor itself from now on.
    fn begin_serving(&mut self) {
        let drained = self.lifecycle.phase() == LifecyclePhase::StartingLameDuck;
        let digest_key = self.keys.digest_key();
        let Some(handover) = &mut self.handover else { return };
        let (rules, listener_names) =
            (handover.dependencies.rules.clone(), handover.dependencies.listener_names.clone());
        handover.predecessor = Some(Predecessor::new(rules, listener_names, digest_key));
        let (engine_start, unknown_until_ms) = (handover.engine_start, handover.keys_unknown_until_ms);
        let transport = handover.dependencies.transport.clone();
        self.predecessor_event(predecessor::Event::KeysUnknownUntil(unknown_until_ms));
        self.predecessor_event(predecessor::Event::DrainChanged(drained));
        if let Some(start) = engine_start {
            self.start_controller(start);
        }
        if self.lifecycle.phase() < LifecyclePhase::Draining {
            transport.listen_for_successor();
            self.dependencies.status.accepting.set(true);
        }
    }

    /// Until this time, Unix ms, fails the requests whose key this process does not know.
    fn fail_unknown_keys_until(&mut self, until_ms: f64) {
        self.log_unknown_keys(until_ms);
        let Some(handover) = &mut self.handover else { return };
        handover.keys_unknown_until_ms = handover.keys_unknown_until_ms.max(until_ms);
        self.predecessor_event(predecessor::Event::KeysUnknownUntil(until_ms));
    }

    fn log_unknown_keys(&self, until_ms: f64) {
        tracing::warn!(for_ms = (until_ms - self.now_ms).round(), "keys-unknown");
    }
}
