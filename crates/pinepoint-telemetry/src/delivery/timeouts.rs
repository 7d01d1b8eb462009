//! Timeouts of connections, and when the next one is due.

use super::receiver::Receiver;
use super::{Action, Delivery};

impl Delivery {
    /// When the delivery needs a tick even if no other event occurs, ms; `None` if no timeout is pending.
    pub fn next_due(&self) -> Option<f64> {
        let due = self.receivers().flat_map(|receiver| {
            let lag = receiver.lagging_since_ms.map(|since| since + self.config.max_lag_ms);
            [self.connection_due_ms(receiver), lag]
        });
        let delayed = self.delayed.map(|delayed| delayed.until_ms);
        due.flatten().chain(delayed).min_by(f64::total_cmp)
    }

    fn connection_due_ms(&self, receiver: &Receiver) -> Option<f64> {
        match &receiver.connection {
            Some(connection) => connection.next_due_ms(&self.config),
            None if receiver.has_pending_points || !receiver.is_in_service() => {
                Some(receiver.next_connection_ms().max(0.0))
            }
            None => None,
        }
    }

    /// Drops the connections with an expired timeout.
    pub(super) fn enforce_timeouts(&mut self, now: f64, actions: &mut Vec<Action>) {
        let config = self.config;
        for slot in self.occupied_slots() {
            let Some(connection) = self.current_connection_mut(slot) else { continue };
            let expired = connection.expired_timeout(now, &config);
            connection.renew_progress(now, &config);
            if let Some(reason) = expired {
                self.disconnect(now, slot, reason, actions);
            }
        }
    }
}
