//! The connection to the engine, and the commands that are sent again after a reconnect.

use pinepoint_events::ProcessEvent;

use crate::admission::{AdmissionController, Event};
use crate::server::core::Core;
use crate::server::core::api::Engine;
use crate::server::core::calls::send_resume;
use crate::server::core::requests::{CallResult, Delivery, OpenRequest, RequestState, Resume};
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

    /// Allocates the tag of the next gauge request.
    pub(super) fn next_tag(&mut self) -> u64 {
        self.last_tag += 1;
        self.last_tag
    }

    /// Records that the gauge request with this tag was answered. During a resync, an answer comes over
    /// another connection than the commands whose delivery is still to be resolved, and proves nothing.
    pub(super) fn acknowledge(&mut self, tag: u64) {
        if self.resync_tag.is_none() {
            self.acknowledged_tag = self.acknowledged_tag.max(tag);
        }
    }

    /// Records that the engine has read every command that was written so far.
    fn acknowledge_written(&mut self) {
        self.acknowledged_tag = self.last_tag + 1;
    }

    /// How far a command got that was passed to the connection now.
    pub(super) fn delivery(&self, is_written: bool) -> Delivery {
        if is_written { Delivery::Written { tag: self.last_tag } } else { Delivery::NotWritten }
    }

    /// Ends the resync if it waits for the answer to this gauge request; returns whether it did.
    pub(super) fn ends_resync(&mut self, tag: u64) -> bool {
        self.resync_tag.take_if(|resync_tag| *resync_tag == tag).is_some()
    }

    /// Whether the engine may not have read a command that got this far.
    fn may_be_unread(&self, delivery: Delivery) -> bool {
        match delivery {
            Delivery::NotWritten | Delivery::Uncertain => true,
            Delivery::Written { tag } => tag >= self.acknowledged_tag,
            Delivery::Read => false,
        }
    }
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

    /// Handles the proof that nothing was lost with the last connection.
    pub(super) fn handle_engine_commands_read(&mut self) {
        self.engine.acknowledge_written();
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

    /// Resolves the commands that the engine may not have read, after a reconnect.
    ///
    /// Starting a running run or cancelling a run again changes nothing, and a command to skip a call names
    /// the notice of that call: these are sent again. The command that brings a reply names no call. If the
    /// engine has read it, the run may by now wait for its next call and would take the reply for that one,
    /// so it is never written twice: the controller decides what becomes of the run.
    pub(super) fn resend_commands(&mut self) {
        let mut uncertain = Vec::new();
        for (id, open) in self.requests.iter_mut() {
            for command in commands_to_resolve(open, &self.engine) {
                match command {
                    Command::Start => {
                        let class = self.dependencies.site.class_name(open.class);
                        let engine = &self.dependencies.engine;
                        let is_written = engine.start_run(&open.attempt_id, class, &open.body);
                        open.start = self.engine.delivery(is_written);
                    }
                    Command::Resume => resend_resume(open, &self.engine, &*self.dependencies.engine),
                    Command::UncertainReply => uncertain.push(id),
                    Command::Cancel => {
                        let is_written = self.dependencies.engine.cancel_run(&open.attempt_id);
                        open.cancellation = Some(self.engine.delivery(is_written));
                    }
                }
            }
        }
        uncertain.into_iter().for_each(|id| self.report_uncertain_reply(id));
    }

    /// Reports to the controller that a reply may have been lost with the last connection.
    fn report_uncertain_reply(&mut self, id: u32) {
        let Some(open) = self.requests.get_mut(id) else { return };
        let Some(resume) = &mut open.resume else { return };
        resume.delivery = Delivery::Uncertain;
        tracing::info!(attempt_id = open.attempt_id, "reply-uncertain");
        self.dispatch(Event::ReplyUncertain { id });
    }
}

/// A command about one request that the engine may not have read.
enum Command {
    Start,
    /// Resume the run: the command was not written, or may be written again.
    Resume,
    /// Resume the run with a reply, in a command that was written and must not be written again.
    UncertainReply,
    Cancel,
}

/// The commands about a request that the engine may not have read, in the order in which they are sent.
fn commands_to_resolve(open: &OpenRequest, connection: &EngineConnection) -> Vec<Command> {
    let mut commands = Vec::new();
    if open.state == RequestState::Running && connection.may_be_unread(open.start) {
        // Also before a cancellation: the engine reports the end of a run only if it knows the run.
        commands.push(Command::Start);
    }
    let resume = open.resume.as_ref().filter(|resume| connection.may_be_unread(resume.delivery));
    commands.extend(resume.and_then(resume_to_resolve));
    if open.cancellation.is_some_and(|delivery| connection.may_be_unread(delivery)) {
        commands.push(Command::Cancel);
    }
    commands
}

fn resume_to_resolve(resume: &Resume) -> Option<Command> {
    match (&resume.result, resume.delivery) {
        (CallResult::Skipped, _) | (CallResult::Reply(_), Delivery::NotWritten) => Some(Command::Resume),
        (CallResult::Reply(_), Delivery::Written { .. }) => Some(Command::UncertainReply),
        (CallResult::Reply(_), Delivery::Uncertain | Delivery::Read) => None,
    }
}

fn resend_resume(open: &mut OpenRequest, connection: &EngineConnection, engine: &dyn Engine) {
    let Some(resume) = &open.resume else { return };
    tracing::info!(attempt_id = open.attempt_id, delivery = ?resume.delivery, "resume-resent");
    let is_written = send_resume(open, &resume.result, engine);
    if let Some(resume) = &mut open.resume {
        resume.delivery = connection.delivery(is_written);
    }
}
