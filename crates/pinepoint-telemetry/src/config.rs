//! The settings of telemetry in the edge file: `[telemetry]`, `[graphite]` and `[collectd]`.
//!
//! Invalid values are rejected while they are parsed, so that settings need no further checks.

mod bounded_int;
mod collectd;
mod graphite;

use serde::Deserialize;

pub use bounded_int::{BoundedInt, OutOfRange};
pub use collectd::{
    AddressError, Collectd, CollectdAddress, CollectdError, CollectdProtocol, Security, Types,
};
pub use graphite::{AckPolicy, Graphite, GraphiteProtocol, Receivers, ReceiversError};

use crate::circuit_breaker;
use crate::delivery::{AckMode, DeliveryConfig, MinProgress};
use crate::spool::Bounds;

/// `[telemetry]`: settings of all destinations.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Telemetry {
    /// Length of a reporting interval, s.
    pub every_s: BoundedInt<1, 3600>,
    /// Maximum time after the last answer for the delivery of the remaining intervals, ms.
    pub last_ms: BoundedInt<0, 5000>,
}

impl Default for Telemetry {
    fn default() -> Self {
        Telemetry { every_s: BoundedInt::new(10), last_ms: BoundedInt::new(200) }
    }
}

/// `spool` of a destination.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Spool {
    /// Maximum memory, kB.
    pub kb: BoundedInt<256, 1_048_576>,
    /// Age past which intervals are merged into the next one, s.
    pub age_s: BoundedInt<60, 31_536_000>,
}

impl Default for Spool {
    fn default() -> Self {
        Spool { kb: BoundedInt::new(1024), age_s: BoundedInt::new(86_400) }
    }
}

/// Maximum number of intervals in flight at once.
const WINDOW_INTERVALS: usize = 16;

impl Spool {
    fn bounds(self) -> Bounds {
        Bounds {
            bytes: self.kb.get() as usize * 1024,
            age_ms: self.age_s.get() as f64 * 1000.0,
            window: WINDOW_INTERVALS,
        }
    }

    /// The default parameters of a delivery with this spool. The caller replaces the parameters that a
    /// destination sets itself.
    fn delivery_config(self, every_ms: f64) -> DeliveryConfig {
        DeliveryConfig {
            spool: self.bounds(),
            circuit_breaker: circuit_breaker::Config::default(),
            ack_mode: AckMode::OnClose,
            replication: 1,
            ack_interval_ms: 60_000.0,
            connect_timeout_ms: 3000.0,
            ack_timeout_ms: 15_000.0,
            min_progress: MinProgress { bytes: 256, period_ms: 5000.0 },
            max_lag_ms: 60_000.0,
            max_reconnect_pause_ms: 1000.0,
            max_send_delay_ms: every_ms / 4.0,
        }
    }
}

#[cfg(test)]
mod tests;
