//! The end of messages in flight: they are acknowledged, or their connection ends and they are in doubt.

use super::connection::UnackedMessage;
use super::{Action, ConnectionId, Delivery, DisconnectReason, Notice};

impl Delivery {
    /// Handles the acknowledgement of the messages of a connection up to this sequence number. `closed` is
    /// true if the receiver also closed the connection in order.
    pub(super) fn acknowledged(
        &mut self,
        now: f64,
        id: ConnectionId,
        up_to: u64,
        closed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.connection_mut(id) else { return };
        let was_probe = std::mem::replace(&mut connection.is_probe, false);
        let messages = connection.acknowledge(up_to);
        let is_incomplete = closed && !connection.unacked.is_empty();
        if messages.is_empty() && !closed {
            return;
        }
        self.stats.acks += 1;
        self.mark_acknowledged(id.receiver, messages);
        if is_incomplete {
            // The receiver closed the connection without having read all messages.
            return self.disconnected(now, id.receiver, DisconnectReason::Closed, actions);
        }
        let max_pause_ms = self.config.max_reconnect_pause_ms;
        let pause_ms = if self.shutting_down { 0.0 } else { max_pause_ms * self.random_fraction() };
        let max_window = self.config.spool.window;
        let Some(receiver) = self.receiver_mut(id.receiver) else { return };
        if closed {
            receiver.connection = None;
            receiver.reconnect_after_ms = now + pause_ms;
        }
        if receiver.circuit_breaker.record_success(now) {
            receiver.send_window = 1;
            actions.push(Action::Notify(Notice::ReceiverUp { receiver: receiver.name.clone() }));
        } else if !was_probe {
            receiver.send_window = (receiver.send_window * 2).min(max_window);
        }
    }

    fn mark_acknowledged(&mut self, slot: u8, messages: Vec<UnackedMessage>) {
        let receiver_bit = 1_u32 << slot;
        for batch in messages.into_iter().filter_map(|message| message.batch) {
            let Some(state) = self.spool.ack_state_mut(batch.interval, self.paths.len()) else { continue };
            for point in batch.points.iter().map(|point| usize::from(*point)) {
                state.in_flight[point] &= !receiver_bit;
                state.acknowledged[point] |= receiver_bit;
            }
        }
    }

    /// Handles the end of a receiver's connection. Its unacknowledged messages are in doubt, and their points
    /// are sent again.
    pub(super) fn disconnected(
        &mut self,
        now: f64,
        slot: u8,
        reason: DisconnectReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.receiver_mut(slot).and_then(|receiver| receiver.connection.take()) else {
            return;
        };
        let unacknowledged_points = self.clear_in_flight(slot, connection.unacked.into());
        self.stats.disconnects += 1;
        self.stats.points_resent += unacknowledged_points as u64;
        let Some(receiver) = self.receivers[usize::from(slot)].as_mut() else { return };
        receiver.send_window = 1;
        let name = receiver.name.clone();
        let is_failure = reason != DisconnectReason::Removed;
        let went_down = is_failure && receiver.circuit_breaker.record_failure(now, &mut self.random);
        let receiver = name.clone();
        actions.push(Action::Notify(Notice::Disconnected { receiver, reason, unacknowledged_points }));
        if went_down {
            actions.push(Action::Notify(Notice::ReceiverDown { receiver: name, reason }));
        }
    }

    /// Marks the points of these messages as no longer in flight. Returns the number of points.
    fn clear_in_flight(&mut self, slot: u8, messages: Vec<UnackedMessage>) -> usize {
        let receiver_bit = 1_u32 << slot;
        let mut points = 0;
        for batch in messages.into_iter().filter_map(|message| message.batch) {
            points += batch.points.len();
            let Some(state) = self.spool.ack_state_mut(batch.interval, self.paths.len()) else { continue };
            for point in batch.points.iter() {
                state.in_flight[usize::from(*point)] &= !receiver_bit;
            }
        }
        points
    }

    /// Drops the connection of a receiver, if it has one.
    pub(super) fn disconnect(
        &mut self,
        now: f64,
        slot: u8,
        reason: DisconnectReason,
        actions: &mut Vec<Action>,
    ) {
        if let Some(connection) = self.current_connection_mut(slot) {
            actions.push(Action::Disconnect { connection: connection.id });
            self.disconnected(now, slot, reason, actions);
        }
    }
}
