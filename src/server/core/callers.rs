//! The open connections of callers, and the end of the requests on a connection that closes or fails.

use std::rc::Rc;

use pinepoint_events::{FailureReason, RequestEventKind};

use crate::server::control::lifecycle::Phase as LifecyclePhase;
use crate::server::core::Core;
use crate::server::core::api::{Caller, Reply};

impl Core {
    pub(super) fn handle_connection_opened(&mut self, caller: Rc<dyn Caller>) {
        if self.lifecycle.phase() >= LifecyclePhase::GoAwaySent {
            caller.go_away();
        }
        self.callers.insert(caller.id(), caller);
    }

    pub(super) fn handle_connection_closed(&mut self, caller: u64) {
        self.callers.remove(&caller);
        for id in self.requests.unanswered_of(caller) {
            self.cancel_request(id);
        }
        self.cancel_claims_of_caller(caller);
    }

    pub(super) fn handle_caller_gone(&mut self, caller: u64, correlation_id: u64) {
        match self.requests.by_correlation_id(caller, correlation_id) {
            Some(id) => self.cancel_request(id),
            None => self.cancel_claim_of_request(caller, correlation_id),
        }
    }

    /// Fails all requests on a connection that carried data that is not a message of its protocol.
    pub(super) fn handle_protocol_error(&mut self, caller: u64) {
        let reply = Reply::Failed { late: false, reason: FailureReason::ProtocolError };
        for id in self.requests.unanswered_of(caller) {
            self.fail_request(id, &reply);
        }
        self.fail_claims_of_caller(caller, &reply);
    }

    /// Ends a request whose caller no longer waits for it. The request gets no answer.
    fn cancel_request(&mut self, id: u32) {
        if self.requests.take_caller(id).is_none() {
            return;
        }
        let Some(open) = self.requests.get(id) else { return };
        let took_ms = self.now_ms - open.arrived_ms;
        self.emit(id, open.class, RequestEventKind::CallerGone { took_ms });
        self.dependencies.counters.count_class(open.class, |class| &class.gone);
        self.abandon_request(id);
    }

    /// Asks all callers to send no new request on their connections.
    pub(super) fn send_go_away(&self) {
        self.callers.values().for_each(|caller| caller.go_away());
    }

    /// Closes the connections that carried nothing for the time that the controller asked for.
    pub(super) fn close_idle_connections(&self) {
        if let Some(timeout_ms) = self.caller_idle_timeout_ms {
            self.callers.values().for_each(|caller| caller.go_away_if_idle(self.now_ms - timeout_ms));
        }
    }
}
