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

/// How far a command to the engine got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It was not written, because there was no connection.
    NotWritten,
    /// It was written when the last gauge request had this tag. The answer to a later gauge request on the
    /// same connection proves that the engine has read it.
    Written {
        /// The tag.
        tag: u64,
    },
    /// It was written to a connection that was lost before anything proved that the engine has read it.
    Uncertain,
    /// The engine has read it.
    Read,
}

/// The command that resumes a run after a call.
pub struct Resume {
    /// What the run is resumed with.
    pub result: CallResult,
    /// How far the command got.
    pub delivery: Delivery,
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
    /// The command that resumes the run after its last call; kept until the run needs its next call or ends.
    pub resume: Option<Resume>,
    /// Number of its last call.
    pub call_id: u64,
    /// When that call was started.
    pub call_started_ms: f64,
    /// How far the command to start its run got.
    pub start: Delivery,
    /// How far the command to cancel its run got, if the run is to be cancelled.
    pub cancellation: Option<Delivery>,
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
            resume: None,
            call_id: 0,
            call_started_ms: 0.0,
            start: Delivery::NotWritten,
            cancellation: None,
        }
    }

    /// Whether no run of the request was started.
    pub fn is_unstarted(&self) -> bool {
        matches!(self.state, RequestState::Queued | RequestState::AwaitingResult)
    }

    /// Whether its run waits for a call, or may still wait for a reply that was lost.
    pub fn may_await_call(&self) -> bool {
        let is_uncertain = |resume: &Resume| resume.delivery == Delivery::Uncertain;
        self.state == RequestState::AwaitingCall || self.resume.as_ref().is_some_and(is_uncertain)
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
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut OpenRequest)> {
        self.open.iter_mut().map(|(id, open)| (*id, open))
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
