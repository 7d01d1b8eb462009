//! The state of one connection: its unacknowledged messages and its timeouts.

use std::collections::VecDeque;
use std::rc::Rc;

use super::{AckMode, ConnectionId, DeliveryConfig, DisconnectReason};

/// Points of one interval.
#[derive(Clone, Debug)]
pub(super) struct PointBatch {
    /// The number of the interval.
    pub(super) interval: u64,
    pub(super) points: Rc<[u16]>,
}

/// A message that was sent and not acknowledged yet.
#[derive(Debug)]
pub(super) struct UnackedMessage {
    sequence: u64,
    sent_ms: f64,
    /// The points of the message; `None` for a health check.
    pub(super) batch: Option<PointBatch>,
}

/// Progress of writing in the current period.
#[derive(Clone, Copy, Debug)]
struct WriteProgress {
    since_ms: f64,
    bytes: usize,
}

/// A connection to a receiver.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) id: ConnectionId,
    is_connected: bool,
    /// When connecting began or, once connected, when the connection was established.
    since_ms: f64,
    /// The connection was opened for a health check of a receiver that is out of service.
    pub(super) is_probe: bool,
    ack_requested_ms: Option<f64>,
    last_sequence: u64,
    pub(super) unacked: VecDeque<UnackedMessage>,
    /// `None` if no data waits to be written.
    progress: Option<WriteProgress>,
}

impl Connection {
    /// A connection that is being established.
    pub(super) fn connecting(id: ConnectionId, now: f64, is_probe: bool) -> Self {
        Connection {
            id,
            is_connected: false,
            since_ms: now,
            is_probe,
            ack_requested_ms: None,
            last_sequence: 0,
            unacked: VecDeque::new(),
            progress: None,
        }
    }

    pub(super) fn connected(&mut self, now: f64) {
        self.is_connected = true;
        self.since_ms = now;
    }

    pub(super) fn written(&mut self, now: f64, bytes: usize, pending: usize) {
        let progress = self.progress.unwrap_or(WriteProgress { since_ms: now, bytes: 0 });
        let bytes = progress.bytes + bytes;
        self.progress = (pending > 0).then_some(WriteProgress { bytes, ..progress });
    }

    /// Whether messages can be sent on the connection.
    pub(super) fn is_writable(&self) -> bool {
        self.is_connected && self.ack_requested_ms.is_none()
    }

    /// Records a message as sent, and returns its sequence number.
    pub(super) fn sent(&mut self, now: f64, batch: Option<PointBatch>) -> u64 {
        self.last_sequence += 1;
        self.progress = self.progress.or(Some(WriteProgress { since_ms: now, bytes: 0 }));
        self.unacked.push_back(UnackedMessage { sequence: self.last_sequence, sent_ms: now, batch });
        self.last_sequence
    }

    /// Removes the messages up to this sequence number and returns them.
    pub(super) fn acknowledge(&mut self, up_to: u64) -> Vec<UnackedMessage> {
        let count = self.unacked.iter().take_while(|message| message.sequence <= up_to).count();
        self.unacked.drain(..count).collect()
    }

    pub(super) fn ack_requested(&mut self, now: f64) {
        self.ack_requested_ms = Some(now);
    }

    /// Whether the connection was used long enough for an acknowledgement to be requested.
    pub(super) fn is_ack_due(&self, now: f64, config: &DeliveryConfig) -> bool {
        now >= self.since_ms + config.ack_interval_ms
    }

    /// The numbers of the intervals in flight on the connection.
    pub(super) fn intervals(&self) -> Vec<u64> {
        let mut intervals = Vec::new();
        for batch in self.unacked.iter().filter_map(|message| message.batch.as_ref()) {
            if !intervals.contains(&batch.interval) {
                intervals.push(batch.interval);
            }
        }
        intervals
    }

    /// The timeout that has expired, if any.
    pub(super) fn expired_timeout(&self, now: f64, config: &DeliveryConfig) -> Option<DisconnectReason> {
        if !self.is_connected {
            let is_late = now >= self.since_ms + config.connect_timeout_ms;
            return is_late.then_some(DisconnectReason::ConnectTimeout);
        }
        let min = config.min_progress;
        let is_stalled =
            |progress: WriteProgress| now >= progress.since_ms + min.period_ms && progress.bytes < min.bytes;
        if self.progress.is_some_and(is_stalled) {
            return Some(DisconnectReason::Stalled);
        }
        let is_overdue = |since_ms: f64| now >= since_ms + config.ack_timeout_ms;
        let oldest = self.unacked.front().filter(|_| config.ack_mode == AckMode::Inline);
        let is_ack_overdue = self.ack_requested_ms.is_some_and(is_overdue)
            || oldest.is_some_and(|message| is_overdue(message.sent_ms));
        is_ack_overdue.then_some(DisconnectReason::AckTimeout)
    }

    /// Starts a new period of progress if the current one is over. Progress in the ended period restarts the
    /// timeout of a requested acknowledgement.
    pub(super) fn renew_progress(&mut self, now: f64, config: &DeliveryConfig) {
        let Some(progress) = self.progress else { return };
        if now < progress.since_ms + config.min_progress.period_ms {
            return;
        }
        self.progress = Some(WriteProgress { since_ms: now, bytes: 0 });
        if progress.bytes > 0 {
            self.ack_requested_ms = self.ack_requested_ms.map(|_| now);
        }
    }

    /// When the next timeout, end of a progress period or request of an acknowledgement is due, ms.
    pub(super) fn next_due_ms(&self, config: &DeliveryConfig) -> Option<f64> {
        let connect = (!self.is_connected).then_some(self.since_ms + config.connect_timeout_ms);
        let requested_ack = self.ack_requested_ms.map(|requested| requested + config.ack_timeout_ms);
        let progress = self.progress.map(|progress| progress.since_ms + config.min_progress.period_ms);
        let oldest = self.unacked.front().filter(|_| self.is_writable());
        let ack = oldest.map(|message| match config.ack_mode {
            AckMode::OnClose => self.since_ms + config.ack_interval_ms,
            AckMode::Inline => message.sent_ms + config.ack_timeout_ms,
        });
        [connect, requested_ack, progress, ack].into_iter().flatten().min_by(f64::total_cmp)
    }
}
