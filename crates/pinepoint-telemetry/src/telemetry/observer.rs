//! Telemetry as the observer of the core.

use pinepoint_events::{CoreState, Observer, ProcessEvent, ReasonCode, RequestEvent, ResourceLimit};

use super::Telemetry;
use crate::collectd::Severity;

/// Minimum time between two notifications about the same limit, ms.
const LIMIT_NOTIFICATION_INTERVAL_MS: f64 = 60_000.0;

impl Observer for Telemetry {
    fn request_event(&self, _: f64, event: RequestEvent) {
        self.accounts.borrow_mut().record(&event);
    }

    fn process_event(&self, now: f64, event: ProcessEvent) {
        match event {
            ProcessEvent::Started { .. } => {}
            ProcessEvent::MembershipChanged(membership) => self.membership.set(membership),
            ProcessEvent::Draining { .. } => {
                self.is_draining.set(true);
                self.notify(Severity::Warning, "drain", "drain begun".into());
            }
            ProcessEvent::Stopped => self.end_final_interval(now),
            ProcessEvent::LimitReached(limit) => self.notify_limit(now, limit),
        }
    }

    fn core_state(&self, now: f64, state: &CoreState) {
        state.clone_into(&mut self.last_core_state.borrow_mut());
        if !self.is_interval_due.replace(false) {
            return;
        }
        let mut schedule = self.schedule.get();
        if let Some(ended) = schedule.end_if_due(now) {
            self.schedule.set(schedule);
            self.end_interval(ended, state);
            let _ = self.interval_ended.0.try_send(());
        }
    }
}

impl Telemetry {
    fn end_final_interval(&self, now: f64) {
        let mut schedule = self.schedule.get();
        let ended = schedule.end_final(now);
        self.schedule.set(schedule);
        let state = self.last_core_state.borrow().clone();
        self.end_interval(ended, &state);
    }

    /// Notifies the operators of a limit, unless the last notification about it was sent a short time ago.
    fn notify_limit(&self, now: f64, limit: ResourceLimit) {
        let mut notifications = self.limit_notifications.borrow_mut();
        let last_ms = notifications.entry(limit.code()).or_insert(f64::NEG_INFINITY);
        if now < *last_ms + LIMIT_NOTIFICATION_INTERVAL_MS {
            return;
        }
        *last_ms = now;
        let message = match limit {
            ResourceLimit::Connections => "limit of connections reached: one had to give way",
            ResourceLimit::Results => "limit of kept results reached: one was dropped",
            ResourceLimit::Unread => "limit of unread answers reached: a connection was ended",
        };
        self.notify(Severity::Warning, "limit", message.into());
    }
}
