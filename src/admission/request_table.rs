//! The table of open requests, undecided arrivals and retained keys.

use std::collections::{BTreeMap, VecDeque};

use super::Request;

/// State of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestState {
    /// Read but not started.
    Queued,
    /// Running on a core or waiting for the disk.
    Running,
    /// Waiting for a call to be started.
    AwaitingCall,
    /// Waiting for the reply of a call.
    InCall,
    /// Waiting for the result of the request that it duplicates.
    AwaitingResult,
}

/// One open request.
#[derive(Clone, Debug)]
pub(super) struct OpenRequest {
    pub(super) request: Request,
    pub(super) state: RequestState,
    /// Queued read of the same subject whose run this request will share.
    pub(super) follows: Option<u32>,
    /// Whether the request still needs its final answer.
    pub(super) answer_pending: bool,
    /// Time at which the request reached the machine, ms.
    pub(super) arrived_ms: f64,
    /// Time at which its caller stops waiting, ms.
    pub(super) deadline_ms: f64,
    /// Time until which an answer earns the full weight, ms.
    pub(super) objective_ms: f64,
    /// Reading of the core time at the start of the run, ms; moved forward by the time spent in calls.
    pub(super) core_time_at_start_ms: f64,
    /// Reading of the core time when the run last needed a call, ms.
    pub(super) core_time_at_call_ms: f64,
    /// Core time that the run had received when it last needed a call, ms; 0 before the first call.
    pub(super) work_at_call_ms: f64,
    /// Start of its last call, ms.
    pub(super) call_started_ms: f64,
    /// Number of calls that the run made or skipped.
    pub(super) calls: f64,
    /// Since when it is uncertain whether the run received the reply to its last call, ms.
    pub(super) reply_uncertain_since_ms: Option<f64>,
}

impl OpenRequest {
    /// A request that was just read.
    pub(super) fn new(request: Request, arrived_ms: f64, deadline_ms: f64, objective_ms: f64) -> Self {
        OpenRequest {
            request,
            state: RequestState::Queued,
            follows: None,
            answer_pending: true,
            arrived_ms,
            deadline_ms,
            objective_ms,
            core_time_at_start_ms: 0.0,
            core_time_at_call_ms: 0.0,
            work_at_call_ms: 0.0,
            call_started_ms: 0.0,
            calls: 0.0,
            reply_uncertain_since_ms: None,
        }
    }

    /// Whether no run of the request was started.
    pub(super) fn is_unstarted(&self) -> bool {
        matches!(self.state, RequestState::Queued | RequestState::AwaitingResult)
    }
}

/// The open requests by id, the undecided arrivals in their order, and the retained keys.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestTable {
    pub(super) open: BTreeMap<u32, OpenRequest>,
    undecided: VecDeque<u32>,
    /// Time until which the key of each request is retained, ms.
    keys: BTreeMap<u32, f64>,
}

impl RequestTable {
    /// Adds an arrival, to be decided at the end of the batch.
    pub(super) fn insert(&mut self, open: OpenRequest) {
        let id = open.request.id;
        self.undecided.push_back(id);
        self.open.insert(id, open);
    }

    /// Removes and returns the next undecided arrival.
    pub(super) fn next_undecided(&mut self) -> Option<u32> {
        self.undecided.pop_front()
    }

    /// State of an open request.
    pub(super) fn state(&self, id: u32) -> Option<RequestState> {
        self.open.get(&id).map(|open| open.state)
    }

    pub(super) fn set_state(&mut self, id: u32, state: RequestState) {
        if let Some(open) = self.open.get_mut(&id) {
            open.state = state;
        }
    }

    /// Records that it is no longer uncertain whether the run of a request received its reply.
    pub(super) fn set_reply_certain(&mut self, id: u32) {
        if let Some(open) = self.open.get_mut(&id) {
            open.reply_uncertain_since_ms = None;
        }
    }

    /// Open requests in this state, in the order of their ids.
    pub(super) fn in_state(&self, state: RequestState) -> impl Iterator<Item = &OpenRequest> {
        self.open.values().filter(move |open| open.state == state)
    }

    /// Number of open requests in this state.
    pub(super) fn count(&self, state: RequestState) -> f64 {
        self.in_state(state).count() as f64
    }

    /// Whether a request is an undecided duplicate of a request that ran or may have run. Until it is
    /// decided, it must not be rejected, as a rejection tells the caller that the request never ran.
    pub(super) fn may_repeat_a_run(&self, open: &OpenRequest) -> bool {
        let may_have_run = |first: u32| self.state(first) != Some(RequestState::Queued);
        self.undecided.contains(&open.request.id) && open.request.duplicate_of.is_some_and(may_have_run)
    }

    /// Retains the key of a request until `until_ms`.
    pub(super) fn retain_key(&mut self, id: u32, until_ms: f64) {
        self.keys.insert(id, until_ms);
    }

    /// Whether the key of a request is retained.
    pub(super) fn has_key(&self, id: u32) -> bool {
        self.keys.contains_key(&id)
    }

    /// Drops the key of a request; returns whether it was retained.
    pub(super) fn release_key(&mut self, id: u32) -> bool {
        self.keys.remove(&id).is_some()
    }

    /// Drops the keys that have expired.
    pub(super) fn expire_keys(&mut self, now_ms: f64) {
        self.keys.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// Number of retained keys.
    pub(super) fn retained_keys(&self) -> usize {
        self.keys.len()
    }
}
