//! The connection to the engine, and the commands that are sent again after a reconnect.

use pinepoint_events::ProcessEvent;

use crate::admission::{AdmissionController, Event};
use crate::server::core::Core;
use crate::server::core::calls::send_resume;
use crate::server::core::requests::{OpenRequest, RequestState};
use crate::server::observability::counters::count;

/// How the engine started.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineStart {
    /// Whether the engine started cold.
    pub(super) cold: bool,
    /// When the engine started, Unix ms.
    pub(super) started_ms: f64,
}

/// The connection to the engine, and how far the engine is known to have read the commands on it.
///
/// The engine answers a gauge request behind every command that was written before it. So a command written
/// when the tag of the last gauge request was `t` has been read once a request with a tag above `t` is
/// answered.
#[derive(Debug, Default)]
pub(super) struct EngineConnection {
    is_attached: bool,
    /// Tag of the gauge request whose answer ends a resync after a reconnect; until then no run is started or
    /// resumed.
    resync_tag: Option<u64>,
    last_tag: u64,
    acknowledged_tag: u64,
}

impl EngineConnection {
    /// Whether there is a connection.
    pub(super) fn is_attached(&self) -> bool {
        self.is_attached
    }

    /// Whether there is a connection on which runs may be started and resumed.
    pub(super) fn is_ready(&self) -> bool {
        self.is_attached && self.resync_tag.is_none()
    }

    /// The tag of the last gauge request.
    pub(super) fn last_tag(&self) -> u64 {
        self.last_tag
    }

    /// Allocates the tag of the next gauge request.
    pub(super) fn next_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }

    /// Records that the gauge request with this tag was answered.
    pub(super) fn acknowledge(&mut self, tag: u64) {
        self.acknowledged_tag = self.acknowledged_tag.max(tag);
    }

    /// Ends the resync if it waits for the answer to this gauge request; returns whether it did.
    pub(super) fn ends_resync(&mut self, tag: u64) -> bool {
        self.resync_tag.take_if(|resync_tag| *resync_tag == tag).is_some()
    }

    /// Whether the engine may not have read a command that was written under this tag.
    fn may_be_unread(&self, command_tag: u64) -> bool {
        command_tag >= self.acknowledged_tag
    }
}

/// A command about one request.
enum Command {
    Resume,
    Cancel,
    Start,
}

impl Core {
    pub(super) fn handle_engine_attached(&mut self, cold: bool, since_start_ms: f64) {
        self.engine.is_attached = true;
        count(&self.dependencies.counters.engine_links);
        if self.controller.is_some() {
            self.begin_resync();
            return;
        }
        let start = EngineStart { cold, started_ms: self.now_ms - since_start_ms.max(0.0) };
        if self.handover.is_some() {
            self.engine_started_in_handover(start);
        } else {
            self.start_controller(start);
        }
    }

    pub(super) fn handle_engine_detached(&mut self) {
        self.engine.is_attached = false;
        self.engine.resync_tag = None;
    }

    /// Starts a resync after a reconnect. Only the notices that the engine sends again show which commands it
    /// read on the old connection and which were lost; the gauges come after these notices.
    fn begin_resync(&mut self) {
        let tag = self.engine.next_tag();
        self.engine.resync_tag = Some(tag);
        self.dependencies.engine.request_gauges(tag);
    }

    /// Creates the admission controller, with which the process begins to serve. A process that has received
    /// its termination notice does not begin.
    pub(super) fn start_controller(&mut self, start: EngineStart) {
        if !self.lifecycle.engine_up() {
            return;
        }
        let mut settings = self.dependencies.site.settings.clone();
        settings.cold = start.cold;
        match AdmissionController::new(settings, self.dependencies.seed) {
            Ok(controller) => {
                self.controller = Some(controller);
                self.dispatch_at(start.started_ms, Event::Started);
                self.emit_process_event(ProcessEvent::Started { cold: start.cold });
                self.lifecycle.set_healthy(true);
                self.publish();
            }
            Err(error) => tracing::error!(%error, "settings-unusable"),
        }
    }

    /// Sends again the commands that the engine may not have read.
    ///
    /// Starting a running run or cancelling a run again changes nothing. A reply is sent again if its run has
    /// reported nothing since: if the reply was lost with the old connection, the run would wait until its
    /// deadline. A second reply changes nothing either: tests with the engine showed that a resumed run
    /// ignores a second reply, and that a later call takes only its own reply. A command to skip a call names
    /// the notice of that call.
    pub(super) fn resend_commands(&mut self) {
        let last_tag = self.engine.last_tag;
        let engine = &*self.dependencies.engine;
        for open in self.requests.iter_mut() {
            match command_to_resend(open, &self.engine) {
                Some(Command::Resume) => {
                    let doubt = open.resume_tag.is_some();
                    tracing::info!(attempt_id = open.attempt_id, doubt, "resume-resent");
                    send_resume(open, engine);
                    open.resume_tag = Some(last_tag);
                }
                Some(Command::Cancel) => {
                    engine.cancel_run(&open.attempt_id);
                    open.command_tag = last_tag;
                }
                Some(Command::Start) => {
                    let class = self.dependencies.site.class_name(open.class);
                    engine.start_run(&open.attempt_id, class, &open.body);
                    open.command_tag = last_tag;
                }
                None => {}
            }
        }
    }
}

/// The last command about a request, if the engine may not have read it.
fn command_to_resend(open: &OpenRequest, connection: &EngineConnection) -> Option<Command> {
    let resume_may_be_unread = open.resume_tag.is_none_or(|tag| connection.may_be_unread(tag));
    if open.resume_with.is_some() && resume_may_be_unread {
        return Some(Command::Resume);
    }
    if !connection.may_be_unread(open.command_tag) {
        return None;
    }
    if open.cancelled {
        return Some(Command::Cancel);
    }
    (open.state == RequestState::Running).then_some(Command::Start)
}
