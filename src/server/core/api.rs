//! The core's ports: everything that reaches it, and the narrow traits through which it reaches fronts and
//! links. It owns these types only; it must never hold state, know a wire or decide.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use pinepoint_events::Protocol;
use pinepoint_handover::message::{Hello, Message};
use pinepoint_handover::ownership::NoPredecessor;

use crate::admission::{FailureReason, Outcome, RejectReason};
use crate::config::site::Site;

/// One end of a connection on which requests came. The core answers through it and never waits for it.
pub trait Caller {
    /// Tells callers apart, over all fronts.
    fn id(&self) -> u64;
    /// Queues the one answer to the request that this caller named `correlation_id`.
    fn answer(&self, correlation_id: u64, reply: &Reply);
    /// No new request should come on this connection; it may go once everything on it is answered.
    fn go_away(&self);
    /// Leaves if nothing was carried since this time.
    fn go_away_if_idle(&self, since_ms: f64);
}

/// The engine, as the core commands it. Commands are queued; while there is no link they are dropped.
pub trait Engine {
    /// Begins a run.
    fn start_run(&self, attempt_id: &str, class: &str, body: &[u8]);
    /// Stops a run.
    fn cancel_run(&self, attempt_id: &str);
    /// Hands a run the reply to its call; tells whether there is a link that it goes to.
    fn deliver_reply(&self, attempt_id: &str, reply: &[u8]) -> bool;
    /// Lets a run go on without the call that this notice asked for; tells whether there is a link.
    fn skip_call(&self, attempt_id: &str, notice: u64) -> bool;
    /// Asks for the gauges.
    fn request_gauges(&self, tag: u64);
}

/// The store, as the core calls it: each call ends with one [`CoreInput::CallEnded`] unless it is dropped. Calls are told
/// apart by numbers of the core's own: the name of the request may stand for a later call of it, or for another request.
pub trait Store {
    /// Makes a call for this request; `once` if it must not be made twice.
    fn start_call(self: Rc<Self>, call: u64, attempt_id: &str, call_timeout_ms: f64, body: &[u8], once: bool);
    /// Gives a call up; nothing is told of its end.
    fn cancel_call(&self, call: u64);
}

/// The other process of this server during an upgrade, as the core reaches it: the predecessor that it takes over from, or the
/// successor that takes over from it. Nothing here waits.
pub trait HandoverTransport {
    /// Sends to the predecessor; nothing is sent where there is none.
    fn send_to_predecessor(&self, message: &Message);
    /// Sends to the successor; nothing is sent where there is none.
    fn send_to_successor(&self, message: &Message);
    /// Ends the link to the predecessor; nothing is told of it any more.
    fn drop_predecessor(&self);
    /// Ends the link to the successor; nothing is told of it any more.
    fn drop_successor(&self);
    /// Looks for the predecessor again, which is told by [`PeerEvent`].
    fn find_predecessor(&self);
    /// Listens for a successor, in place of whoever listened before.
    fn listen_for_successor(&self);
    /// Closes the listening sockets that were kept for a successor.
    fn release_listeners(&self);
    /// The other process holds so many connections of callers.
    fn set_peer_connections(&self, connections: usize);
}

/// What the core is told of the other process of this server.
#[derive(Debug)]
pub enum PeerEvent {
    /// A predecessor was found, and said this.
    PredecessorFound(Hello),
    /// None was found.
    NoPredecessor(NoPredecessor),
    /// A message of the predecessor.
    FromPredecessor(Message),
    /// The link to the predecessor is over.
    PredecessorLost,
    /// A successor has connected.
    SuccessorFound,
    /// A message of the successor.
    FromSuccessor(Message),
    /// The link to the successor is over.
    SuccessorLost,
}

/// What the other process has told and the core has not taken yet. It does not stand in line behind requests: it is bounded by
/// what the other process may have on its way.
#[derive(Debug, Default)]
pub struct PeerInbox(RefCell<VecDeque<PeerEvent>>);

impl PeerInbox {
    /// Puts one in.
    pub fn push(&self, input: PeerEvent) {
        self.0.borrow_mut().push_back(input);
    }

    /// Takes the oldest out.
    pub fn pop(&self) -> Option<PeerEvent> {
        self.0.borrow_mut().pop_front()
    }
}

/// The doors of the process, as one that leaves looks at them.
pub trait OpenSockets {
    /// Listening sockets that are open, or that someone stands before.
    fn listeners(&self) -> usize;
    /// Connections of callers that are not closed, whether the core has heard of them or not.
    fn connections(&self) -> usize;
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The result that the engine made.
    Served(Rc<[u8]>),
    /// This try never ran. The caller should stay away for `retry_after_ms`, and not try elsewhere if `last`.
    Rejected {
        /// 0 for no advice.
        retry_after_ms: f64,
        /// Ask for no further try.
        last: bool,
        /// Why.
        reason: RejectReason,
    },
    /// It failed; nothing is promised. `late` if there was no time left.
    Failed {
        /// It was out of time.
        late: bool,
        /// Why.
        reason: FailureReason,
    },
}

/// A request as a front has read it.
pub struct Arrival {
    /// Where the answer goes.
    pub caller: Rc<dyn Caller>,
    /// The front that read it.
    pub front: Protocol,
    /// The caller's own name for it, not in use.
    pub correlation_id: u64,
    /// The name that engine and store know it by, new with every try.
    pub attempt_id: String,
    /// Index of its class.
    pub class: usize,
    /// When it reached the machine, Unix ms.
    pub arrived_ms: f64,
    /// Marked as a further try.
    pub again: bool,
    /// Work hint, ms.
    pub est_ms: Option<f64>,
    /// Memory while held, kB.
    pub mem_kb: f64,
    /// The idempotency key, in keyed classes.
    pub token: Option<String>,
    /// The subject of a read.
    pub subject: Option<String>,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// The work itself, passed on as it is.
    pub body: Vec<u8>,
}

/// How the engine ended a run.
#[derive(Clone, Debug, PartialEq)]
pub enum RunResult {
    /// With this result.
    Complete(Rc<[u8]>),
    /// It failed.
    Error,
    /// It was stopped.
    Cancelled,
    /// Nothing was started.
    Unknown,
}

/// What a reload changes for the core.
pub struct Reconfiguration {
    /// Settings and names, with all indexes as they were.
    pub site: Rc<Site>,
    /// From the notice to leave to the kill, ms.
    pub stop_ms: f64,
    /// Memory limit of the process, MB.
    pub memory_mb: f64,
}

/// What reaches the core.
pub enum CoreInput {
    /// A connection was accepted.
    ConnectionOpened(Rc<dyn Caller>),
    /// A connection has ended; nobody waits for what is still open on it.
    ConnectionClosed {
        /// [`Caller::id`] of the connection.
        caller: u64,
    },
    /// A request was read.
    RequestReceived(Box<Arrival>),
    /// The caller no longer waits for one request.
    CallerGone {
        /// [`Caller::id`] of the connection.
        caller: u64,
        /// The caller's own name for the request.
        correlation_id: u64,
    },
    /// What came on a connection breaks its protocol: the requests that were read on it before fail.
    ProtocolError {
        /// [`Caller::id`] of the connection.
        caller: u64,
    },
    /// The engine accepted the connection to it.
    EngineAttached {
        /// The engine started cold.
        cold: bool,
        /// Time since its start, ms.
        ms: f64,
    },
    /// The connection to the engine is lost.
    EngineDetached,
    /// A run is over.
    RunEnded {
        /// The attempt that ran.
        attempt_id: String,
        /// How it ended.
        result: RunResult,
    },
    /// A run waits for the reply to a call.
    CallNeeded {
        /// The attempt that runs.
        attempt_id: String,
        /// Number of the engine's notice, by which the call is named.
        notice: u64,
        /// What the call carries.
        body: Vec<u8>,
    },
    /// The gauges that were requested with this tag.
    Gauges {
        /// The tag of the request.
        tag: u64,
        /// The values, in the order of the settings.
        values: Vec<f64>,
    },
    /// The engine did not carry out a command.
    CommandRejected {
        /// The command's word.
        command: String,
        /// The attempt that it was for.
        attempt_id: String,
    },
    /// A call is over.
    CallEnded {
        /// The core's number of the call.
        call: u64,
        /// How it ended.
        outcome: Outcome,
        /// The reply, if it succeeded.
        reply: Option<Vec<u8>>,
    },
    /// The observer is told the state of the core.
    ReportState,
    /// These settings are in force for everything that follows in the queue.
    Reconfigure(Reconfiguration),
}
