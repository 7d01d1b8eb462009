//! The table of open requests: each from its reading until it is answered and its run is over, by its number, by
//! the name of its try and by the caller's own name for it. It owns where a request stands; it must never answer
//! one, command a run or decide.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use crate::server::core::api::Caller;
use crate::server::core::keys::IdempotencyKey;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Read, not started.
    Queued,
    /// Waits for the try that it repeats.
    AwaitingResult,
    /// Runs on the engine.
    Running,
    /// Its run stands before a call.
    AwaitingCall,
    /// Its call is under way.
    InCall,
}

/// What a run that waits for a call goes on with.
pub enum CallResult {
    /// The reply of the store.
    Reply(Vec<u8>),
    /// Nothing: the call is left out.
    Nothing,
}

/// A request from its reading until it is answered and its run is over.
pub struct OpenRequest {
    /// Where the answer goes, while one is owed.
    pub caller: Option<Rc<dyn Caller>>,
    /// Whose it is.
    pub caller_id: u64,
    /// The caller's name for it.
    pub correlation_id: u64,
    /// The name that engine and store know it by.
    pub attempt_id: String,
    /// Index of its class.
    pub class: usize,
    /// When it reached the machine, ms.
    pub arrived_ms: f64,
    /// When it was read, ms.
    pub read_ms: f64,
    /// When its run was begun, ms.
    pub run_started_ms: f64,
    /// Work hint, ms.
    pub work_hint_ms: Option<f64>,
    /// Its run went on without a call.
    pub degraded: bool,
    /// When its caller stops waiting, ms.
    pub deadline_ms: f64,
    /// Its key, or the subject that reads share.
    pub key: Option<IdempotencyKey>,
    /// The work.
    pub body: Vec<u8>,
    /// Digest of the body, for tries of one key.
    pub digest: u64,
    /// Where it stands.
    pub state: RequestState,
    /// The kept try whose result it asks for.
    pub duplicate_of: Option<u32>,
    /// The notice that asked for the call, and what the call is to carry.
    pub need: (u64, Vec<u8>),
    /// What the run goes on with after its last call, until a later notice shows that the engine has it.
    pub resume_with: Option<CallResult>,
    /// How many times gauges had been asked for when that was written; nothing there if it was not.
    pub resume_tag: Option<u64>,
    /// The number of its last call.
    pub call_id: u64,
    /// When that was made, ms.
    pub call_started_ms: f64,
    /// How many times gauges had been asked for when the last command about it was written.
    pub command_tag: u64,
    /// The engine was told to stop it.
    pub cancelled: bool,
}

/// The table.
#[derive(Default)]
pub struct RequestTable {
    open: BTreeMap<u32, OpenRequest>,
    by_attempt_id: HashMap<String, u32>,
    by_correlation_id: BTreeMap<(u64, u64), u32>,
    by_call: HashMap<u64, u32>,
    last: u32,
    calls: u64,
}

impl RequestTable {
    /// Enters a request under a number never used before.
    pub fn insert(&mut self, open: OpenRequest) -> u32 {
        self.last += 1;
        self.by_attempt_id.insert(open.attempt_id.clone(), self.last);
        self.by_correlation_id.insert((open.caller_id, open.correlation_id), self.last);
        self.open.insert(self.last, open);
        self.last
    }

    /// A number never used before, for a request that is not in the table: it is in another process.
    pub fn allocate_id(&mut self) -> u32 {
        self.last += 1;
        self.last
    }

    /// The request of this number.
    pub fn get(&self, id: u32) -> Option<&OpenRequest> {
        self.open.get(&id)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, id: u32) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id)
    }

    /// The same, if it stands there.
    pub fn get_in_state(&mut self, id: u32, state: RequestState) -> Option<&mut OpenRequest> {
        self.open.get_mut(&id).filter(|open| open.state == state)
    }

    /// The number of the try of this name.
    pub fn by_attempt_id(&self, attempt_id: &str) -> Option<u32> {
        self.by_attempt_id.get(attempt_id).copied()
    }

    /// The number of the request that this caller named so, while an answer is owed.
    pub fn by_correlation_id(&self, caller: u64, correlation_id: u64) -> Option<u32> {
        self.by_correlation_id.get(&(caller, correlation_id)).copied()
    }

    /// Notes that a call is made for a request, under a number never used before.
    pub fn start_call(&mut self, id: u32, now: f64) -> Option<u64> {
        let open = self.open.get_mut(&id)?;
        self.calls += 1;
        (open.call_id, open.call_started_ms, open.state) = (self.calls, now, RequestState::InCall);
        self.by_call.insert(self.calls, id);
        Some(self.calls)
    }

    /// The request whose call of this number is over or given up; nothing if that is known already.
    pub fn end_call(&mut self, call: u64) -> Option<u32> {
        self.by_call.remove(&call)
    }

    /// The requests for which an answer is owed to this caller.
    pub fn unanswered_of(&self, caller: u64) -> Vec<u32> {
        self.by_correlation_id.range((caller, 0)..=(caller, u64::MAX)).map(|(_, id)| *id).collect()
    }

    /// Whether no answer is owed to anyone.
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

    /// All of them, in the order of their reading.
    pub fn iter(&self) -> impl Iterator<Item = (u32, &OpenRequest)> {
        self.open.iter().map(|(id, open)| (*id, open))
    }

    /// The same, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut OpenRequest> {
        self.open.values_mut()
    }

    /// Takes the caller to whom an answer is owed; from here on none is.
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
