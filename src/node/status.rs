//! What the core publishes for fronts and links to read. It owns these cells only.

use std::cell::Cell;

use super::sync::{Gate, Signal};

/// What the core publishes for the fronts and the membership report to read.
#[derive(Debug, Default)]
pub struct Status {
    /// Health checks are answered with this.
    pub healthy: Cell<bool>,
    /// The free value that goes with every answer.
    pub hint: Cell<Option<f64>>,
    /// The notice to leave has come.
    pub leaving: Cell<bool>,
    /// What the membership service is told: nothing before the engine is up, then whether work is taken.
    pub listed: Cell<Option<bool>>,
    /// Wakes the membership report.
    pub report: Signal,
    /// The listening sockets are closed from now on.
    pub shut: Gate,
}
