//! Statistics of a delivery.

/// Statistics of a delivery. Counters are since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeliveryStats {
    /// Counter of intervals that were merged into another.
    pub merged: u64,
    /// Counter of intervals that were dropped.
    pub dropped: u64,
    /// Counter of points sent.
    pub points_sent: u64,
    /// Counter of points that were not acknowledged when their connection ended, and are sent again.
    pub points_resent: u64,
    /// Counter of acknowledgements.
    pub acks: u64,
    /// Counter of connections that failed or were dropped.
    pub disconnects: u64,
    /// Intervals in the spool.
    pub backlog_intervals: usize,
    /// Bytes in the spool.
    pub backlog_bytes: usize,
    /// Receivers out of service.
    pub receivers_down: usize,
}

impl DeliveryStats {
    /// The combined statistics of two deliveries to the same receivers.
    pub fn plus(self, other: DeliveryStats) -> DeliveryStats {
        DeliveryStats {
            merged: self.merged + other.merged,
            dropped: self.dropped + other.dropped,
            points_sent: self.points_sent + other.points_sent,
            points_resent: self.points_resent + other.points_resent,
            acks: self.acks + other.acks,
            disconnects: self.disconnects + other.disconnects,
            backlog_intervals: self.backlog_intervals + other.backlog_intervals,
            backlog_bytes: self.backlog_bytes + other.backlog_bytes,
            receivers_down: self.receivers_down.max(other.receivers_down),
        }
    }

    /// The counters without the gauges, for a delivery that has ended.
    pub(crate) fn counters(self) -> DeliveryStats {
        DeliveryStats { backlog_intervals: 0, backlog_bytes: 0, receivers_down: 0, ..self }
    }
}
