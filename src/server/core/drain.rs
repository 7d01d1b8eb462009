//! Graceful shutdown: the termination notice, the drain that operators request, and the effects of each phase
//! of the process lifecycle.

use pinepoint_events::{FailureReason, ProcessEvent};

use crate::admission::Event;
use crate::config::site::Site;
use crate::server::control::lifecycle::{DrainTimes, Outstanding, Phase as LifecyclePhase};
use crate::server::core::Core;
use crate::server::core::api::Reply;
use crate::server::observability::counters::count;

/// Time from the termination notice to the kill of a process with a successor, ms: the longest timeout of a
/// class, capped at [`MAX_HANDOVER_TIMEOUT_MS`], plus [`HANDOVER_MARGIN_MS`].
const MAX_HANDOVER_TIMEOUT_MS: f64 = 3000.0;
const HANDOVER_MARGIN_MS: f64 = 700.0;

/// The times of a drain under these settings.
pub(super) fn drain_times(site: &Site, stop_ms: f64) -> DrainTimes {
    let longest_timeout_ms = site.settings.longest_timeout_ms().min(MAX_HANDOVER_TIMEOUT_MS);
    let handover_stop_ms = stop_ms.min(longest_timeout_ms + HANDOVER_MARGIN_MS);
    DrainTimes { grace_ms: site.settings.rules.drain_grace_ms, stop_ms, handover_stop_ms }
}

impl Core {
    /// Starts the drain of the process, whose termination notice came at `notice_ms`.
    pub fn start_drain(&mut self, now_ms: f64, notice_ms: f64) {
        self.now_ms = now_ms;
        if self.handover.is_some() {
            self.start_drain_in_handover(notice_ms);
        } else {
            self.drain_without_successor(notice_ms);
        }
    }

    /// Starts the drain of a process that has no successor.
    pub(super) fn drain_without_successor(&mut self, notice_ms: f64) {
        if !self.lifecycle.begin_drain(notice_ms) {
            return;
        }
        let (open, connections) = (self.requests.len(), self.callers.len());
        let late_ms = (self.now_ms - notice_ms).round();
        tracing::info!(open, connections, late_ms, "leaving");
        let kill_ms = notice_ms + self.dependencies.stop_ms;
        self.publish();
        self.emit_process_event(ProcessEvent::Draining { kill_ms });
        self.dispatch_at(notice_ms, Event::DrainStarted { kill_ms });
        // A process that never served closes at once.
        if self.lifecycle.phase() == LifecyclePhase::Closing {
            self.close_listeners();
        }
    }

    /// Starts the drain of a process whose successor serves. Callers are asked to leave at once, as the
    /// successor can serve them.
    pub(super) fn drain_after_handover(&mut self, notice_ms: f64) {
        if !self.lifecycle.mark_handed_over(notice_ms) {
            return;
        }
        let (open, connections) = (self.requests.len(), self.callers.len());
        let late_ms = (self.now_ms - notice_ms).round();
        tracing::info!(open, connections, late_ms, "leaving-handed-over");
        self.publish();
        let kill_ms = self.lifecycle.kill_ms().unwrap_or(f64::INFINITY);
        self.emit_process_event(ProcessEvent::Draining { kill_ms });
        self.close_listeners();
    }

    /// Drains the process or takes it back into service, as an operator asks.
    pub fn set_lame_duck(&mut self, now_ms: f64, drained: bool) {
        self.now_ms = now_ms;
        self.apply_lame_duck(drained);
        self.send_lame_duck_to_peers(drained);
    }

    /// Drains this process or takes it back into service, as an operator or another process of the server
    /// asks.
    pub(super) fn apply_lame_duck(&mut self, drained: bool) {
        let done = self.lifecycle.set_lame_duck(drained);
        tracing::info!(drained, done, phase = ?self.lifecycle.phase(), "drain");
        self.publish();
    }

    /// Publishes the phase, and the resulting state for health checks and the service registry.
    pub(super) fn publish(&self) {
        let (published, status) = (self.lifecycle.published(), &self.dependencies.status);
        status.phase.set(self.lifecycle.phase());
        status.healthy.set(published.healthy);
        if status.registered.replace(published.registered) != published.registered {
            status.registry_wakeup.wake();
        }
    }

    /// Closes the listening sockets and asks all callers to leave.
    fn close_listeners(&self) {
        self.send_go_away();
        self.release_listeners();
        self.dependencies.status.stop_accepting.open();
    }

    /// Advances the lifecycle through its phases as far as time and outstanding work allow.
    pub(super) fn advance_lifecycle(&mut self) {
        loop {
            let outstanding = self.outstanding();
            let Some(phase) = self.lifecycle.advance(self.now_ms, outstanding) else { return };
            self.enter_phase(phase);
            self.dependencies.status.phase.set(phase);
        }
    }

    fn outstanding(&self) -> Outstanding {
        let open_sockets = &self.dependencies.open_sockets;
        Outstanding {
            listeners: open_sockets.listeners(),
            connections: open_sockets.connections(),
            answers_pending: !self.requests.all_answered() || self.has_waiting_claims(),
        }
    }

    fn enter_phase(&mut self, phase: LifecyclePhase) {
        match phase {
            LifecyclePhase::GoAwaySent => self.send_go_away(),
            LifecyclePhase::Closing => self.close_listeners(),
            LifecyclePhase::Finishing => {
                self.fail_unanswered_requests();
                self.deny_all_claims();
                self.dependencies.status.finishing.open();
            }
            LifecyclePhase::Starting
            | LifecyclePhase::StartingLameDuck
            | LifecyclePhase::Serving
            | LifecyclePhase::LameDuck
            | LifecyclePhase::Draining
            | LifecyclePhase::HandedOver
            | LifecyclePhase::Terminated => {}
        }
    }

    fn fail_unanswered_requests(&mut self) {
        for id in self.requests.unanswered().map(|(id, _)| id).collect::<Vec<_>>() {
            count(&self.dependencies.counters.overdue);
            self.fail_request(id, &Reply::Failed { late: true, reason: FailureReason::Shutdown });
        }
    }
}
