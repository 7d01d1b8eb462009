//! The interface through which the core reports events.

use crate::{CoreState, ProcessEvent, RequestEvent};

/// Receives the events of the core, on the core's thread and in the order in which they happened.
///
/// An implementation must neither block nor panic: the core waits for each call.
pub trait Observer {
    /// Receives an event of one request, at `now_ms` (Unix ms).
    fn request_event(&self, now_ms: f64, event: RequestEvent);

    /// Receives an event of the process, at `now_ms` (Unix ms). Ignored by default.
    fn process_event(&self, now_ms: f64, event: ProcessEvent) {
        let _ = (now_ms, event);
    }

    /// Receives the requested state of the core at `now_ms` (Unix ms). Ignored by default.
    fn core_state(&self, now_ms: f64, state: &CoreState) {
        let _ = (now_ms, state);
    }
}

/// An observer that ignores everything.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoopObserver;

impl Observer for NoopObserver {
    fn request_event(&self, _: f64, _: RequestEvent) {}
}
