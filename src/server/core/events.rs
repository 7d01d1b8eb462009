//! Reports to the observer: events of requests and of the process, and the state of the core.

use pinepoint_events::{CallOutcome, CoreState, ProcessEvent, RequestEvent, RequestEventKind};

use crate::server::core::Core;
use crate::server::core::api::Arrival;
use crate::server::core::requests::{OpenRequest, RequestState};

impl Core {
    /// Reports an event of a request; `id` is 0 for a request that is not passed to the controller.
    pub(super) fn emit(&self, id: u32, class: usize, kind: RequestEventKind) {
        self.dependencies.observer.request_event(self.now_ms, RequestEvent { id, class, kind });
    }

    /// Reports an event of an open request.
    pub(super) fn emit_for(&self, id: u32, kind: impl FnOnce(&OpenRequest) -> RequestEventKind) {
        if let Some(open) = self.requests.get(id) {
            self.emit(id, open.class, kind(open));
        }
    }

    /// Reports an event of the process.
    pub(super) fn emit_process_event(&self, event: ProcessEvent) {
        self.dependencies.observer.process_event(self.now_ms, event);
    }

    /// The current sizes of the tables, and the controller's own figures.
    pub fn state(&self) -> CoreState {
        let mut state = CoreState {
            open: vec![0; self.dependencies.site.settings.classes.len()],
            ..CoreState::default()
        };
        for (_, open) in self.requests.iter() {
            state.open[open.class] += u64::from(open.caller.is_some());
            count_request_state(&mut state, open.state);
        }
        let (keys, result_bytes) = self.keys.size();
        state.keys = keys as u64;
        state.results_bytes = result_bytes as u64;
        state.connections = self.callers.len() as u64;
        state.admission =
            self.controller.iter().flat_map(|controller| controller.snapshot().figures()).collect();
        state
    }
}

fn count_request_state(state: &mut CoreState, request: RequestState) {
    match request {
        RequestState::Queued => state.queued += 1,
        RequestState::AwaitingResult => state.awaiting_result += 1,
        RequestState::Running | RequestState::AwaitingCall => state.running += 1,
        RequestState::InCall => {
            state.running += 1;
            state.calls += 1;
        }
    }
}

/// The event of a request that was read.
pub(super) fn received_event(now_ms: f64, arrival: &Arrival) -> RequestEventKind {
    RequestEventKind::Received {
        protocol: arrival.protocol,
        retry: arrival.retry,
        work_hint_ms: arrival.work_hint_ms,
        read_delay_ms: (now_ms - arrival.arrived_ms).max(0.0),
    }
}

/// The event of a cancelled call.
pub(super) fn call_cancelled_event(now_ms: f64, open: &OpenRequest) -> RequestEventKind {
    RequestEventKind::CallEnded { outcome: CallOutcome::Dropped, duration_ms: now_ms - open.call_started_ms }
}
