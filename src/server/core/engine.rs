//! The connection to the engine, and the commands that are sent again after it was lost.

use pinepoint_events::ProcessEvent;

use crate::admission::{AdmissionController, Event};
use crate::server::core::Core;
use crate::server::core::calls::send_resume;
use crate::server::core::requests::{OpenRequest, RequestState};
use crate::server::observability::counters::count;

/// How the engine started.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineStart {
    /// It started cold.
    pub(super) cold: bool,
    /// When it started, Unix ms.
    pub(super) started_ms: f64,
}

/// The connection to the engine, and how far the engine is known to have read the commands on it.
///
/// The engine answers a gauge request behind every command that was written before it. So a command written when the tag of
/// the last gauge request was `t` has been read once a request with a tag above `t` is answered.
#[derive(Debug, Default)]
pub(super) struct EngineConnection {
    is_attached: bool,
    /// While the answer to this gauge request is awaited after a reconnect, no run is started or resumed.
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

    /// A tag for the next gauge request.
    pub(super) fn next_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }

    /// The gauge request with this tag was answered.
    pub(super) fn acknowledge(&mut self, tag: u64) {
        self.acknowledged_tag = self.acknowledged_tag.max(tag);
    }

    /// Whether the answer to this gauge request ends a resync; it is over then.
    pub(super) fn ends_resync(&mut self, tag: u64) -> bool {
        self.resync_tag.take_if(|resync_tag| *resync_tag == tag).is_some()
    }

    /// Whether a command written under this tag may not have been read.
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

    /// After a reconnect, what the engine read on the old connection and what was lost with it is known only after the notices
    /// that it sends again; the gauges come behind them.
    fn begin_resync(&mut self) {
        let tag = self.engine.next_tag();
        self.engine.resync_tag = Some(tag);
        self.dependencies.engine.request_gauges(tag);
    }

    /// Creates the admission controller, and begins to serve by that; a process that was told to terminate does not.
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

    /// Sends again what the engine may not have read.
    ///
    /// To start a run that runs, or to cancel one again, changes nothing. Nor does a second reply to a call whose run has
    /// reported nothing since: lost with the old connection, it would leave the run waiting until its deadline. Tests with
    /// the engine showed that a run which was resumed ignores a second reply, and that a later call takes none but its own.
    /// A command to skip a call names the notice of that call.
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
