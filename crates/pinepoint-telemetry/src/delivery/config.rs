//! Parameters of a delivery.

use crate::circuit_breaker;
use crate::spool::Bounds;

/// How a receiver acknowledges data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckMode {
    /// By closing the connection in order, after an acknowledgement was requested.
    OnClose,
    /// On the open connection, without a request.
    Inline,
}

/// The minimum progress that a connection has to make while data waits to be written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MinProgress {
    /// Bytes to be written within each period.
    pub bytes: usize,
    /// Length of a period, ms.
    pub period_ms: f64,
}

/// Parameters of a delivery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeliveryConfig {
    /// Bounds of the spool.
    pub spool: Bounds,
    /// Backoff and circuit breaker of each receiver.
    pub circuit_breaker: circuit_breaker::Config,
    /// How receivers acknowledge data.
    pub ack_mode: AckMode,
    /// Number of receivers that each point goes to.
    pub replication: u32,
    /// Time for which a connection is used before an acknowledgement is requested, ms.
    pub ack_interval_ms: f64,
    /// Timeout for connecting, ms.
    pub connect_timeout_ms: f64,
    /// Timeout for an acknowledgement, ms.
    pub ack_timeout_ms: f64,
    /// Minimum progress of writing.
    pub min_progress: MinProgress,
    /// How long a receiver may keep the others waiting before it is taken out of service, ms.
    pub max_lag_ms: f64,
    /// Longest pause between a connection that was closed in order and the next, ms. The actual pause is
    /// random, so that not all processes with a backlog for one receiver reconnect at once.
    pub max_reconnect_pause_ms: f64,
    /// Longest delay between the end of an interval and sending it, ms. The actual delay is random, so that
    /// not all processes send at once.
    pub max_send_delay_ms: f64,
}
