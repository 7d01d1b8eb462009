//! The table of open requests. A request is open from its reading until it is answered and its run has ended.
//! It is found by its number, by its attempt id, by the caller's correlation id, and by the number of its
//! call.
//!
//! The table owns the state of each request. It answers no request, commands no run and decides nothing. All
//! times are Unix ms.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::server::core::api::{Arrival, Caller};
use crate::server::core::keys::IdempotencyKey;

/// The state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Read, but not started.
    Queued,
    /// A duplicate that waits for the result of the attempt it duplicates.
    AwaitingResult,
    /// Running on the engine.
    Running,
    /// Its run waits until a call is started.
    AwaitingCall,
    /// Its run waits for a call in flight.
    InCall,
}

/// The call that a run asked for.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// Number of the engine's notice, by which the engine identifies the call.
    pub notice: u64,
    /// Body of the call.
    pub body: Vec<u8>,
}

/// The result with which a run that waits for a call is resumed.
pub enum CallResult {
    /// The reply of the store.
    Reply(Vec<u8>),
    /// No reply, because the call is skipped.
    Skipped,
}

/// The data that distinguishes a request from others, and its original if it is a duplicate.
pub struct RequestIdentity {
    /// Its idempotency key, or the subject by which reads share a result.
    pub key: Option<IdempotencyKey>,
    /// Digest of its body.
    pub digest: u64,
    /// The attempt that the request duplicates.
    pub duplicate_of: Option<u32>,
}

/// A request from its reading until it is answered and its run has ended.
pub struct OpenRequest {
    /// Where the answer goes; `None` once the request is answered or its caller is gone.
    pub caller: Option<Rc<dyn Caller>>,
    /// [`Caller::id`] of the caller.
    pub caller_id: u64,
    /// The caller's id for the request.
    pub correlation_id: u64,
    /// The id by which engine and store identify the attempt.
    pub attempt_id: String,
    /// Index of its class.
    pub class: usize,
    /// When it reached the machine.
    pub arrived_ms: f64,
    /// When it was read.
    pub read_ms: f64,
    /// When its run was started.
    pub run_started_ms: f64,
    /// Estimate of its work, ms on one core.
    pub work_hint_ms: Option<f64>,
    /// Whether its run was resumed without a call that the run asked for.
    pub degraded: bool,
    /// When its caller stops waiting.
    pub deadline_ms: f64,
    /// Its key, digest and original.
    pub identity: RequestIdentity,
    /// The work, passed to the engine unchanged.
    pub body: Vec<u8>,
    /// Its state.
    pub state: RequestState,
    /// The last call that its run asked for.
    pub call_request: CallRequest,
    /// The result with which the run is resumed after its last call; kept until a later notice of the engine
    /// proves that the engine has received it.
    pub resume_with: Option<CallResult>,
    /// Tag of the last gauge request when `resume_with` was written to the engine; `None` if it was not
    /// written.
    pub resume_tag: Option<u64>,
    /// Number of its last call.
    pub call_id: u64,
    /// When that call was started.
    pub call_started_ms: f64,
    /// Tag of the last gauge request when the last command about the request was written to the engine.
    pub command_tag: u64,
    /// Whether the engine was commanded to cancel its run.
    pub cancelled: bool,
}

impl OpenRequest {
    /// A request that was read now and is queued.
    pub fn new(arrival: Arrival, identity: RequestIdentity, deadline_ms: f64, now_ms: f64) -> Self {
        OpenRequest {
            caller_id: arrival.caller.id(),
            caller: Some(arrival.caller),
            correlation_id: arrival.correlation_id,
            attempt_id: arrival.attempt_id,
            class: arrival.class,
            arrived_ms: arrival.arrived_ms,
            read_ms: now_ms,
            run_started_ms: now_ms,
            work_hint_ms: arrival.work_hint_ms,
            degraded: false,
            deadline_ms,
            identity,
            body: arrival.body,
            state: RequestState::Queued,
            call_request: CallRequest::default(),
            resume_with: None,
            resume_tag: None,
            call_id: 0,
            call_started_ms: 0.0,
            command_tag: 0,
            cancelled: false,
        }
    }

    /// Whether no run of the request was started.
    pub fn is_unstarted(&self) -> bool {
        matches!(self.state, RequestState::Queued | RequestState::AwaitingResult)
    }
}

/// The table of open requests.
#[derive(Default)]
pub struct RequestTable {
    open: BTreeMap<u32, OpenRequest>,
    by_attempt_id: HashMap<String, u32>,
    by_correlation_id: BTreeMap<(u64, u64), u32>,
    by_call: HashMap<u64, u32>,
    last_id: u32,
    last_call: u64,
}

impl RequestTable {
    /// Inserts a request under a number that was never used before.
    pub fn insert(&mut self, open: OpenRequest) -> u32 {
        let id = self.allocate_id();
        self.by_attempt_id.insert(open.attempt_id.clone(), id);
        self.by_correlation_id.insert((open.caller_id, open.correlation_id), id);
        self.open.insert(id, open);
        id
    }

    /// A number that was never used before, as for an attempt in flight in another process.
    pub fn allocate_id(&mut self) -> u32 {
        self.last_id += 1;
        self.last_id
    }

    /// The request with this number.
    pub fn get(&self, id: u32) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// The request with this number, mutable.
    pub fn get_mut(&mut self, id: u32) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// The request with this number, if it is in this state.
    pub fn get_in_state(&mut self, id: u32, state: RequestState) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id).filter(|open| open.state == state)
    }

    /// The request with this attempt id.
    pub fn by_attempt_id(&self, attempt_id: &str) -> Option<u32> {
        self.by_attempt_id.get(attempt_id).copied()
    }

    /// The unanswered request to which this caller gave this correlation id.
    pub fn by_correlation_id(&self, caller: u64, correlation_id: u64) -> Option<u32> {
        self.by_correlation_id.get(&(caller, correlation_id)).copied()
    }

    /// Records that a call is started for a request; returns the call's number, which was never used before.
    pub fn start_call(&mut self, id: u32, now_ms: f64) -> Option<u64> {
        let open = self.open.get_mut(&id)?;
        self.last_call += 1;
        open.call_id = self.last_call;
        open.call_started_ms = now_ms;
        open.state = RequestState::InCall;
        self.by_call.insert(self.last_call, id);
        Some(self.last_call)
    }

    /// Records that a call has ended or was cancelled; returns its request, or nothing if that was recorded
    /// before.
    pub fn end_call(&mut self, call: u64) -> Option<u32> {
        self.by_call.remove(&call)
    }

    /// The unanswered requests of this caller.
    pub fn unanswered_of(&self, caller: u64) -> Vec<u32> {
        self.by_correlation_id.range((caller, 0)..=(caller, u64::MAX)).map(|(_, id)| *id).collect()
    }

    /// All unanswered requests, in the order in which they were read.
    pub fn unanswered(&self) -> impl Iterator<Item = (u32, &OpenRequest)> {
        self.iter().filter(|(_, open)| open.caller.is_some())
    }

    /// Whether no request is unanswered.
    pub fn all_answered(&self) -> bool {
        self.by_correlation_id.is_empty()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Number of open requests.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// All requests, in the order in which they were read.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &OpenRequest)> {
        self.open.iter().map(|(id, open)| (*id, open))
    }

    /// All requests in the order in which they were read, mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut OpenRequest> {
        self.open.values_mut()
    }

    /// Takes the caller of an unanswered request; from then on it counts as answered.
    pub fn take_caller(&mut self, id: u32) -> Option<Rc<dyn Caller>> {
        let open = self.open.get_mut(&id)?;
        let caller = open.caller.take()?;
        self.by_correlation_id.remove(&(open.caller_id, open.correlation_id));
        Some(caller)
    }

    /// Removes a request.
    pub fn remove(&mut self, id: u32) -> Option<OpenRequest> {
        let open = self.open.remove(&id)?;
        self.by_attempt_id.remove(&open.attempt_id);
        self.by_call.remove(&open.call_id);
        self.by_correlation_id.remove(&(open.caller_id, open.correlation_id));
        Some(open)
    }
}
