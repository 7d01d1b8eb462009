//! A simulated process, the requests that it received and the runs that it started.

use std::rc::Rc;

use pinepoint::config::site::Site;
use pinepoint::server::control::status::Status;
use pinepoint::server::core::Core;
use pinepoint::server::core::api::{PeerInbox, Reply};
use pinepoint::server::observability::counters::Counters;
use pinepoint_clock::Clock;

use super::links::Port;
use crate::core_harness::RecordingPorts;

/// A request that a process received.
pub struct ReceivedRequest {
    pub correlation_id: u64,
    pub read_ms: f64,
    pub deadline_ms: f64,
    /// Whether its caller cancelled the request or closed the connection.
    pub cancelled: bool,
    pub(super) caller: u64,
}

/// A run that an engine was commanded to start.
#[derive(Clone, Debug)]
pub struct Run {
    pub process: usize,
    pub attempt_id: String,
    pub ended: bool,
    /// Its idempotency key, in a keyed class.
    pub(super) key: Option<String>,
    pub(super) arrived_ms: f64,
    pub(super) until_ms: f64,
    pub(super) never_ran: bool,
}

pub struct Process {
    pub core: Core,
    pub recorded: Rc<RecordingPorts>,
    pub status: Rc<Status>,
    pub site: Rc<Site>,
    pub received: Vec<ReceivedRequest>,
    pub alive: bool,
    /// When the process received its termination notice.
    pub notice_ms: Option<f64>,
    /// Whether a successor served at that time.
    pub had_successor_at_notice: bool,
    /// Whether the process has connected to a predecessor or proved that there is none.
    pub has_searched_predecessor: bool,
    pub(super) counters: Rc<Counters>,
    pub(super) clock: Clock,
    pub(super) port: Rc<Port>,
    pub(super) inbox: Rc<PeerInbox>,
    pub(super) runs_seen: usize,
    pub(super) has_released_listeners: bool,
    /// When the process looks for a predecessor again.
    pub(super) reconnect_ms: Option<f64>,
    pub(super) kill_ms: Option<f64>,
}

impl Process {
    pub(super) fn answers(&self, request: &ReceivedRequest) -> Vec<Reply> {
        self.recorded
            .answers
            .borrow()
            .get(&(request.caller, request.correlation_id))
            .cloned()
            .unwrap_or_default()
    }
}
