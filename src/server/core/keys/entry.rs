//! One entry of the table of keys.

use super::types::{Attempt, AttemptResult, Waiter};

/// How long an entry is kept after its window, ms, for attempts that arrived within the window and were read
/// late: longer than any caller waits.
const RETENTION_MARGIN_MS: f64 = 15_000.0;

/// The retained state of one key.
#[derive(Debug)]
pub(super) struct Entry {
    /// The attempt that the admission controller wants retained.
    pub(super) retained: Option<Attempt>,
    /// The attempt that was started, in keyed classes. No other attempt may be started before its window
    /// ends.
    pub(super) started: Option<Attempt>,
    /// The attempt that was started before `started`, and whose window has ended. Requests that arrived
    /// within that window may still be read, and this attempt counts again if the later attempt is proved not
    /// to have run.
    pub(super) previous_started: Option<Attempt>,
    /// The attempt that `result` belongs to.
    pub(super) result_of: u32,
    pub(super) result: AttemptResult,
    pub(super) waiters: Vec<Waiter>,
    /// The attempt that is in flight in another process of this server. It counts as started.
    pub(super) remote: Option<u32>,
}

impl Entry {
    pub(super) fn new(id: u32) -> Self {
        Entry {
            retained: None,
            started: None,
            previous_started: None,
            result_of: id,
            result: AttemptResult::Pending,
            waiters: Vec::new(),
            remote: None,
        }
    }

    /// The attempt that a request which arrived at this time duplicates.
    pub(super) fn covering(&self, arrived_ms: f64) -> Option<Attempt> {
        let covers = |attempt: &Attempt| arrived_ms < attempt.window_end_ms;
        self.started.filter(covers).or(self.retained.filter(covers))
    }

    pub(super) fn release(&mut self, id: u32) {
        self.retained = self.retained.filter(|retained| retained.id != id);
    }

    /// Whether the entry has no attempt and no waiting duplicate.
    pub(super) fn is_empty(&self) -> bool {
        self.retained.is_none() && self.started.is_none() && self.waiters.is_empty()
    }

    /// Whether a request that arrived within the window may still refer to the entry.
    pub(super) fn is_alive(&self, now_ms: f64) -> bool {
        let alive = |attempt: Option<Attempt>| {
            attempt.is_some_and(|attempt| attempt.window_end_ms + RETENTION_MARGIN_MS > now_ms)
        };
        alive(self.started) || alive(self.retained) || !self.waiters.is_empty()
    }

    pub(super) fn result_bytes(&self) -> usize {
        if let AttemptResult::Done(bytes) = &self.result { bytes.len() } else { 0 }
    }
}
