//! What the server reports about itself: [`counters`] to the log and the management port, [`telemetry`] to Graphite and
//! collectd, and [`membership`] to the other members of the fleet.

pub mod counters;
pub mod membership;
pub mod telemetry;
