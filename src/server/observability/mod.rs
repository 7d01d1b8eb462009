//! Reports of the server about itself: [`counters`] for the log and the management port, [`telemetry`] for
//! Graphite and collectd, and [`membership`] for the other members of the fleet.

pub mod counters;
pub mod membership;
pub mod telemetry;
