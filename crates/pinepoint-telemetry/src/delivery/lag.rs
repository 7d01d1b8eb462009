//! Detection of receivers that keep the others waiting.

use super::receiver::Receiver;
use super::{Action, Delivery, DisconnectReason, Notice};

impl Delivery {
    /// Takes each receiver out of service that has kept the others waiting for too long, so that its points
    /// go to the others.
    pub(super) fn enforce_max_lag(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.update_lag(now);
        for slot in self.occupied_slots() {
            let max_lag_ms = self.config.max_lag_ms;
            let Some(receiver) = self.receiver_mut(slot) else { continue };
            if receiver.lagging_since_ms.is_none_or(|since| now < since + max_lag_ms) {
                continue;
            }
            receiver.lagging_since_ms = None;
            receiver.circuit_breaker.open_on_next_failure();
            if receiver.connection.is_some() {
                self.disconnect(now, slot, DisconnectReason::Lagging, actions);
            } else {
                self.fail_unconnected(now, slot, actions);
            }
        }
    }

    /// Records since when each receiver has been lagging. A receiver is lagging while the window is full,
    /// another receiver is idle, and the receiver itself has not acknowledged the oldest interval.
    fn update_lag(&mut self, now: f64) {
        let Some(oldest) = self.spool.window().next().map(|interval| interval.number) else {
            self.receivers.iter_mut().flatten().for_each(|receiver| receiver.lagging_since_ms = None);
            return;
        };
        let is_window_full = self.spool.size().0 > self.config.spool.window;
        let others_wait = self.receivers().any(|receiver| receiver.is_in_service() && receiver.is_idle());
        for receiver in self.receivers.iter_mut().flatten() {
            let is_lagging = is_window_full
                && others_wait
                && receiver.is_in_service()
                && receiver.has_unacknowledged(oldest);
            let since = receiver.lagging_since_ms.unwrap_or(now);
            receiver.lagging_since_ms = is_lagging.then_some(since);
        }
    }

    /// Records the failure of a receiver without a connection.
    fn fail_unconnected(&mut self, now: f64, slot: u8, actions: &mut Vec<Action>) {
        let Some(receiver) = self.receivers[usize::from(slot)].as_mut() else { return };
        if receiver.circuit_breaker.record_failure(now, &mut self.random) {
            let (receiver, reason) = (receiver.name.clone(), DisconnectReason::Lagging);
            actions.push(Action::Notify(Notice::ReceiverDown { receiver, reason }));
        }
    }
}

impl Receiver {
    /// Whether no points wait for the receiver and none are in flight to it.
    fn is_idle(&self) -> bool {
        !self.has_pending_points && self.connection.as_ref().is_none_or(|c| c.unacked.is_empty())
    }

    /// Whether points wait for the receiver, or points of the interval are in flight to it.
    fn has_unacknowledged(&self, interval: u64) -> bool {
        let is_in_flight = self.connection.as_ref().is_some_and(|c| c.intervals().contains(&interval));
        self.has_pending_points || is_in_flight
    }
}
