//! The state that the core publishes and the other tasks read, and the requests that bypass the core's queue:
//! the termination notice and the operators' lame duck mode. It owns these cells and decides nothing.

use std::cell::Cell;

use crate::server::control::lifecycle::Phase;
use crate::server::sync::{Flag, Latch, Notify};

/// Published state and out-of-band requests of one process.
#[derive(Debug)]
pub struct Status {
    /// The answer to health checks.
    pub healthy: Cell<bool>,
    /// The load report that is sent with each answer; `None` before the first report.
    pub load_report: Cell<Option<f64>>,
    /// When the termination notice arrived, Unix ms; the core takes the value. The notice does not queue
    /// behind the core's inputs.
    pub termination_notice_ms: Cell<Option<f64>>,
    /// The latest request of an operator to enter (`true`) or leave (`false`) lame duck mode; the core takes
    /// the value.
    pub lame_duck_request: Cell<Option<bool>>,
    /// Wakes the core to check the two requests above and the messages of the other process.
    pub core_wakeup: Notify,
    /// The current phase of the process.
    pub phase: Cell<Phase>,
    /// The report to the service registry: none, or whether requests are accepted.
    pub registered: Cell<Option<bool>>,
    /// Wakes the task that reports to the service registry.
    pub registry_wakeup: Notify,
    /// Whether connections are accepted. Off while another process accepts on the shared listening sockets.
    pub accepting: Flag,
    /// Whether a successor accepts in place of this process, on the shared listening sockets.
    pub successor_serves: Flag,
    /// Opens when the listeners have to accept their backlog and then close.
    pub stop_accepting: Latch,
    /// Opens when all requests that were read are answered and nothing more is read: the process is about to
    /// end.
    pub finishing: Latch,
}

impl Default for Status {
    fn default() -> Self {
        Status {
            healthy: Cell::default(),
            load_report: Cell::default(),
            termination_notice_ms: Cell::default(),
            lame_duck_request: Cell::default(),
            core_wakeup: Notify::default(),
            phase: Cell::default(),
            registered: Cell::default(),
            registry_wakeup: Notify::default(),
            accepting: Flag::new(true),
            successor_serves: Flag::new(false),
            stop_accepting: Latch::default(),
            finishing: Latch::default(),
        }
    }
}
