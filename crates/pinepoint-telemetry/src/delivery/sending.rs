//! Connects to receivers, and chooses and sends the points that each of them gets.

use std::rc::Rc;

use super::connection::{Connection, PointBatch};
use super::{AckMode, Action, ConnectionId, Delivery, Message};
use crate::spool::AckState;

impl Delivery {
    /// Connects to a receiver, or sends points or a health check to it, as far as either is due.
    pub(super) fn serve(&mut self, now: f64, slot: u8, actions: &mut Vec<Action>) {
        let Some(receiver) = self.receiver(slot) else { return };
        let is_in_service = receiver.is_in_service();
        match &receiver.connection {
            None => self.connect(now, slot, actions),
            Some(connection) if !connection.is_writable() => {}
            Some(_) if !is_in_service => self.send_probe(now, slot, actions),
            Some(_) => {
                let send_window = receiver.send_window;
                while let Some(batch) = self.next_batch(now, slot, send_window) {
                    self.send_points(now, slot, batch, actions);
                }
                self.request_ack_if_due(now, slot, actions);
            }
        }
    }

    /// Opens a connection to a receiver with pending points, or to one that is out of service and due for a
    /// health check.
    fn connect(&mut self, now: f64, slot: u8, actions: &mut Vec<Action>) {
        let is_in_service = self.receiver(slot).is_some_and(|receiver| receiver.is_in_service());
        let has_pending_points = is_in_service && self.next_batch(now, slot, 1).is_some();
        let id = ConnectionId { receiver: slot, number: self.last_connection + 1 };
        let Some(receiver) = self.receiver_mut(slot) else { return };
        receiver.has_pending_points = has_pending_points;
        if (has_pending_points || !is_in_service) && now >= receiver.next_connection_ms() {
            receiver.connection = Some(Connection::connecting(id, now, !is_in_service));
            self.last_connection = id.number;
            actions.push(Action::Connect { connection: id });
        }
    }

    /// Sends a health check, unless one is in flight, and requests its acknowledgement.
    fn send_probe(&mut self, now: f64, slot: u8, actions: &mut Vec<Action>) {
        let ack_mode = self.config.ack_mode;
        let Some(connection) = self.current_connection_mut(slot) else { return };
        if !connection.unacked.is_empty() {
            return;
        }
        let sequence = connection.sent(now, None);
        let id = connection.id;
        actions.push(Action::Send { connection: id, sequence, message: Message::Probe });
        if ack_mode == AckMode::OnClose {
            connection.ack_requested(now);
            actions.push(Action::RequestAck { connection: id });
        }
    }

    fn send_points(&mut self, now: f64, slot: u8, batch: PointBatch, actions: &mut Vec<Action>) {
        let Some(interval) = self.spool.interval(batch.interval) else { return };
        let Some(state) = self.spool.ack_state_mut(batch.interval, self.paths.len()) else { return };
        for point in batch.points.iter() {
            state.in_flight[usize::from(*point)] |= 1 << slot;
        }
        self.stats.points_sent += batch.points.len() as u64;
        let message = Message::Points(Rc::new(interval), batch.points.clone());
        let Some(connection) = self.current_connection_mut(slot) else { return };
        let sequence = connection.sent(now, Some(batch));
        actions.push(Action::Send { connection: connection.id, sequence, message });
    }

    /// Requests an acknowledgement if the send window is full, enough time has passed, or the process is
    /// about to end.
    fn request_ack_if_due(&mut self, now: f64, slot: u8, actions: &mut Vec<Action>) {
        let (config, shutting_down) = (self.config, self.shutting_down);
        let Some(receiver) = self.receiver_mut(slot) else { return };
        let Some(connection) = receiver.connection.as_mut() else { return };
        if config.ack_mode != AckMode::OnClose || connection.unacked.is_empty() {
            return;
        }
        let is_window_full = connection.intervals().len() >= receiver.send_window;
        if is_window_full || connection.is_ack_due(now, &config) || shutting_down {
            connection.ack_requested(now);
            actions.push(Action::RequestAck { connection: connection.id });
        }
    }

    /// The points to be sent to this receiver next, all of one interval: the oldest within the send window
    /// that has points for the receiver and is not delayed.
    fn next_batch(&self, now: f64, slot: u8, send_window: usize) -> Option<PointBatch> {
        let connection = self.receiver(slot)?.connection.as_ref();
        let in_flight = connection.map(Connection::intervals).unwrap_or_default();
        let is_delayed = |number: u64| self.delayed.is_some_and(|delayed| delayed.number == number);
        for interval in self.spool.window() {
            let is_within_window = in_flight.contains(&interval.number) || in_flight.len() < send_window;
            if is_delayed(interval.number) || !is_within_window {
                continue;
            }
            let is_for_receiver =
                |point: &usize| self.targets(now, *point, interval.ack_state.as_ref()) & (1 << slot) != 0;
            let points = (0..self.paths.len()).filter(is_for_receiver);
            let points: Rc<[u16]> = points.map(|point| point as u16).collect();
            if !points.is_empty() {
                return Some(PointBatch { interval: interval.number, points });
            }
        }
        None
    }

    /// The receivers to which a point is to be sent now, a bit for each: as many as replicas are missing, in
    /// the order of preference, among the receivers that are in service, have not acknowledged the point and
    /// do not have it in flight. During its slow start a receiver gets only a part of its points, unless no
    /// other receiver is left.
    fn targets(&self, now: f64, point: usize, state: Option<&AckState>) -> u32 {
        let assigned = state.map_or(0, |state| state.receivers(point));
        let mut missing = self.config.replication.max(1).saturating_sub(assigned.count_ones());
        let mut targets = 0;
        for min_fraction in [self.path_fractions[point], 0.0] {
            for slot in &self.preferences[point] {
                if missing == 0 {
                    return targets;
                }
                let Some(receiver) = self.receiver(*slot) else { continue };
                let is_serving = receiver.is_in_service()
                    && receiver.circuit_breaker.slow_start_fraction(now) >= min_fraction;
                if is_serving && (assigned | targets) & (1 << slot) == 0 {
                    targets |= 1 << slot;
                    missing -= 1;
                }
            }
        }
        targets
    }
}
