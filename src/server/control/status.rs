//! What the core publishes for fronts and links to read. It owns these cells only.

use std::cell::Cell;

use crate::server::control::lifecycle::Phase;
use crate::server::sync::{Flag, Latch, Notify};

/// What the core publishes for the fronts and the membership report to read.
#[derive(Debug)]
pub struct Status {
    /// Health checks are answered with this.
    pub healthy: Cell<bool>,
    /// The free value that goes with every answer.
    pub hint: Cell<Option<f64>>,
    /// When the notice to leave came, Unix ms. It does not stand in line behind what else reaches the core.
    pub notice_ms: Cell<Option<f64>>,
    /// What an operator asked for last, and the core has not looked at: a drain, or its end.
    pub drain: Cell<Option<bool>>,
    /// Wakes the core to look at either.
    pub notice: Notify,
    /// Where the process stands in its life.
    pub phase: Cell<Phase>,
    /// What the membership service is told: nothing before the engine is up, then whether work is taken.
    pub listed: Cell<Option<bool>>,
    /// Wakes the membership report.
    pub report: Notify,
    /// Connections are accepted. Off while another process accepts on the sockets that both hold.
    pub accepting: Flag,
    /// The doors shut from now on, behind those who stand before them.
    pub shut: Latch,
    /// All that was read is answered, and nothing more is taken in: the process is about to end.
    pub finishing: Latch,
}

impl Default for Status {
    fn default() -> Self {
        Status {
            healthy: Cell::default(),
            hint: Cell::default(),
            notice_ms: Cell::default(),
            drain: Cell::default(),
            notice: Notify::default(),
            phase: Cell::default(),
            listed: Cell::default(),
            report: Notify::default(),
            accepting: Flag::new(true),
            shut: Latch::default(),
            finishing: Latch::default(),
        }
    }
}
