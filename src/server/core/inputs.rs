//! Dispatch of each input to its handler.

use crate::server::core::Core;
use crate::server::core::api::CoreInput;
use crate::server::core::requests::CallRequest;

impl Core {
    /// Handles one input. The next [`Core::process_batch`] executes the actions that the controller returns
    /// for it.
    pub fn handle(&mut self, now_ms: f64, input: CoreInput) {
        self.now_ms = now_ms;
        match input {
            CoreInput::ConnectionOpened(caller) => self.handle_connection_opened(caller),
            CoreInput::ConnectionClosed { caller } => self.handle_connection_closed(caller),
            CoreInput::RequestReceived(arrival) => self.handle_arrival(*arrival),
            CoreInput::CallerGone { caller, correlation_id } => {
                self.handle_caller_gone(caller, correlation_id);
            }
            CoreInput::ProtocolError { caller } => self.handle_protocol_error(caller),
            CoreInput::EngineAttached { cold, since_start_ms } => {
                self.handle_engine_attached(cold, since_start_ms);
            }
            CoreInput::EngineDetached => self.handle_engine_detached(),
            CoreInput::EngineCommandsRead => self.handle_engine_commands_read(),
            CoreInput::RunEnded { attempt_id, result } => self.handle_run_ended(&attempt_id, result),
            CoreInput::CallNeeded { attempt_id, notice, body } => {
                self.handle_call_needed(&attempt_id, CallRequest { notice, body });
            }
            CoreInput::Gauges { tag, values } => self.handle_gauges(tag, values),
            CoreInput::CommandRejected { command, attempt_id } => {
                self.handle_command_rejected(&command, &attempt_id);
            }
            CoreInput::CallEnded { call, outcome, reply } => self.handle_call_ended(call, outcome, reply),
            CoreInput::ReportState => self.dependencies.observer.core_state(now_ms, &self.state()),
            CoreInput::Reconfigure(reconfiguration) => self.reconfigure(reconfiguration),
        }
    }
}
