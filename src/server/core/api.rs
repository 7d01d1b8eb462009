//! The interface of the core: the inputs that reach it, and the traits through which it reaches callers,
//! engine, store and the other processes of this server.
//!
//! These are plain types and traits. They hold no state of the core, know no wire format and decide nothing.
//! All times are Unix ms, all durations ms.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use pinepoint_events::Protocol;
use pinepoint_handover::message::{Hello, Message};
use pinepoint_handover::ownership::NoPredecessor;

use crate::admission::{FailureReason, Outcome, RejectReason};
use crate::config::site::Site;

/// A connection on which requests come in. The core answers through it and never waits for it.
pub trait Caller {
    /// Identifies the caller over all frontends.
    fn id(&self) -> u64;
    /// Queues the one answer to the request with this correlation id.
    fn answer(&self, correlation_id: u64, reply: &Reply);
    /// Asks the caller to send no new request on this connection, which closes once all requests on it are
    /// answered.
    fn go_away(&self);
    /// Does the same as [`Caller::go_away`] if the connection has carried nothing since this time, Unix ms.
    fn go_away_if_idle(&self, since_ms: f64);
}

/// The engine, as the core commands it. Commands are queued; while there is no connection they are dropped.
pub trait Engine {
    /// Starts a run; a run that the engine already knows is left unchanged. Returns whether there is a
    /// connection that takes the command.
    fn start_run(&self, attempt_id: &str, class: &str, body: &[u8]) -> bool;
    /// Cancels a run. Returns whether there is a connection that takes the command.
    fn cancel_run(&self, attempt_id: &str) -> bool;
    /// Resumes a run with the reply to its call. The command names no call: the engine takes it for the call
    /// that the run waits for when the command is read, so it must not be written twice. Returns whether
    /// there is a connection that takes the command.
    fn deliver_reply(&self, attempt_id: &str, reply: &[u8]) -> bool;
    /// Resumes a run without the call that this notice asked for, if the run waits for that call. Returns
    /// whether there is a connection that takes the command.
    fn skip_call(&self, attempt_id: &str, notice: u64) -> bool;
    /// Requests the gauges. They arrive as [`CoreInput::Gauges`] with this tag, after all earlier commands
    /// have taken effect.
    fn request_gauges(&self, tag: u64);
}

/// The store, as the core calls it. Each call ends with one [`CoreInput::CallEnded`], unless it is cancelled.
///
/// Calls have numbers of their own, because an attempt id may stand for a later call of the same request, or
/// for another request.
pub trait Store {
    /// Starts a call for this attempt, which is given up after `call_timeout_ms`. With `once` it must not be
    /// retried, because it may have an effect.
    fn start_call(self: Rc<Self>, call: u64, attempt_id: &str, call_timeout_ms: f64, body: &[u8], once: bool);
    /// Cancels a call; its end is not reported.
    fn cancel_call(&self, call: u64);
}

/// The connections to the other processes of this server during an upgrade: to the predecessor that this
/// process takes over from, and to the successor that takes over from it. No method waits.
pub trait HandoverTransport {
    /// Sends a message to the predecessor, if there is one.
    fn send_to_predecessor(&self, message: &Message);
    /// Sends a message to the successor, if there is one.
    fn send_to_successor(&self, message: &Message);
    /// Closes the connection to the predecessor; no event of it follows.
    fn drop_predecessor(&self);
    /// Closes the connection to the successor; no event of it follows.
    fn drop_successor(&self);
    /// Looks for the predecessor again; the result comes as a [`PeerEvent`].
    fn find_predecessor(&self);
    /// Listens for a successor, in place of the process that listened before.
    fn listen_for_successor(&self);
    /// Closes the copies of the listening sockets that were kept for a successor.
    fn release_listeners(&self);
    /// Reports the number of connections of callers that the other process has open.
    fn set_peer_connections(&self, connections: usize);
}

/// An event of the connections to the other processes of this server.
#[derive(Debug)]
pub enum PeerEvent {
    /// A predecessor was found, and sent this greeting.
    PredecessorFound(Hello),
    /// No predecessor was found.
    NoPredecessor(NoPredecessor),
    /// A message from the predecessor.
    FromPredecessor(Message),
    /// The connection to the predecessor is lost.
    PredecessorLost,
    /// A successor has connected.
    SuccessorFound,
    /// A message from the successor.
    FromSuccessor(Message),
    /// The connection to the successor is lost.
    SuccessorLost,
}

/// Events that the core has not handled yet. They bypass the queue of requests. Their number is bounded by
/// the number of messages that the other process may have in flight.
#[derive(Debug, Default)]
pub struct PeerInbox(RefCell<VecDeque<PeerEvent>>);

impl PeerInbox {
    /// Appends an event.
    pub fn push(&self, event: PeerEvent) {
        self.0.borrow_mut().push_back(event);
    }

    /// Removes the oldest event.
    pub fn pop(&self) -> Option<PeerEvent> {
        self.0.borrow_mut().pop_front()
    }
}

/// The sockets of the process. A drain waits until they are closed.
pub trait OpenSockets {
    /// Listening sockets that are open, or have connections that are not accepted yet.
    fn listeners(&self) -> usize;
    /// Open connections of callers, including connections that were not reported to the core yet.
    fn connections(&self) -> usize;
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The result of a run.
    Served(Rc<[u8]>),
    /// This attempt never ran.
    Rejected {
        /// Delay before which the caller should not retry, ms; 0 for no advice.
        retry_after_ms: f64,
        /// Whether the caller should not retry at another server either.
        no_retry: bool,
        /// The reason.
        reason: RejectReason,
    },
    /// The request failed; it may have had an effect.
    Failed {
        /// Whether its deadline has passed.
        late: bool,
        /// The reason.
        reason: FailureReason,
    },
}

/// A request as a frontend has read it.
pub struct Arrival {
    /// Where the answer goes.
    pub caller: Rc<dyn Caller>,
    /// The frontend that read it.
    pub protocol: Protocol,
    /// The caller's id for the request, unique among the caller's open requests.
    pub correlation_id: u64,
    /// The id by which engine and store identify the attempt; every retry has a new id.
    pub attempt_id: String,
    /// Index of its class.
    pub class: usize,
    /// When it reached the machine, Unix ms.
    pub arrived_ms: f64,
    /// How long the caller waits from that time, ms, where the caller states it. The timeout of the class holds
    /// as well.
    pub timeout_ms: Option<f64>,
    /// Whether the request is marked as a retry.
    pub retry: bool,
    /// Estimate of its work, ms on one core.
    pub work_hint_ms: Option<f64>,
    /// Memory that it takes while queued, kB.
    pub mem_kb: f64,
    /// The idempotency key, in keyed classes.
    pub idempotency_key: Option<String>,
    /// The subject of a read.
    pub subject: Option<String>,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// The work, passed to the engine unchanged.
    pub body: Vec<u8>,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunResult {
    /// The run succeeded with this result.
    Complete(Rc<[u8]>),
    /// The run failed.
    Error,
    /// The run was cancelled.
    Cancelled,
    /// The engine does not know the run: it was never started.
    Unknown,
}

/// The values that a reload changes in the core.
pub struct Reconfiguration {
    /// Settings and names. Classes and tenants keep their indexes.
    pub site: Rc<Site>,
    /// Time from the termination notice to the kill, ms.
    pub stop_ms: f64,
    /// Memory limit of the process, MB.
    pub memory_mb: f64,
}

/// An input of the core.
pub enum CoreInput {
    /// A connection was accepted.
    ConnectionOpened(Rc<dyn Caller>),
    /// A connection was closed: its open requests need no answer.
    ConnectionClosed {
        /// [`Caller::id`] of the connection.
        caller: u64,
    },
    /// A request was received completely.
    RequestReceived(Box<Arrival>),
    /// The caller no longer waits for one request.
    CallerGone {
        /// [`Caller::id`] of the connection.
        caller: u64,
        /// The caller's id for the request.
        correlation_id: u64,
    },
    /// A connection carried data that violates its protocol: its open requests fail.
    ProtocolError {
        /// [`Caller::id`] of the connection.
        caller: u64,
    },
    /// The engine has accepted a connection.
    EngineAttached {
        /// Whether the engine started cold.
        cold: bool,
        /// Time since the engine's start, ms.
        since_start_ms: f64,
    },
    /// The connection to the engine is lost.
    EngineDetached,
    /// The engine has read every command that was written to the connection lost last.
    EngineCommandsRead,
    /// A run has ended.
    RunEnded {
        /// The attempt that ran.
        attempt_id: String,
        /// How it ended.
        result: RunResult,
    },
    /// A run needs a call, and waits for its reply.
    CallNeeded {
        /// The attempt that runs.
        attempt_id: String,
        /// Number of the engine's notice, by which the engine identifies the call.
        notice: u64,
        /// Body of the call.
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
        /// The word of the command on the wire.
        command: String,
        /// The attempt that it was for.
        attempt_id: String,
    },
    /// A call has ended.
    CallEnded {
        /// The core's number of the call.
        call: u64,
        /// How it ended.
        outcome: Outcome,
        /// The reply, if it succeeded.
        reply: Option<Vec<u8>>,
    },
    /// Asks for a report of the core's state to the observer.
    ReportState,
    /// New settings, which apply to every later input in the queue.
    Reconfigure(Reconfiguration),
}
