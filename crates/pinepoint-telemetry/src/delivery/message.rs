//! What goes into a delivery (events) and what comes out of it (actions).

use std::rc::Rc;

use pinepoint_events::reason_codes;

use crate::snapshot::{Interval, Snapshot};

reason_codes! {
    /// Why a connection to a receiver ended.
    DisconnectReason {
        /// It could not be established.
        Refused = "refused",
        /// It was not established in time.
        ConnectTimeout = "connect-late",
        /// The receiver closed it; what was not acknowledged is in doubt.
        Closed = "closed",
        /// It was reset.
        Reset = "reset",
        /// Almost nothing could be written for some time.
        Stalled = "no-progress",
        /// An acknowledgement did not come in time.
        AckTimeout = "no-receipt",
        /// The receiver sent something that is not an acknowledgement.
        InvalidReply = "bad-reply",
        /// The receiver was removed from the destination.
        Removed = "removed",
        /// Others wait for intervals that only this receiver has not acknowledged.
        Lagging = "lagging",
    }
}

/// A connection to a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId {
    /// The slot of the receiver.
    pub receiver: u8,
    /// The number of the connection, unique within the delivery.
    pub number: u64,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A reporting interval ended.
    IntervalEnded(Snapshot),
    /// A connection was established.
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// Bytes were written to a connection.
    Written {
        /// The connection.
        connection: ConnectionId,
        /// Number of bytes.
        bytes: usize,
        /// Bytes that still have to be written.
        pending: usize,
    },
    /// A receiver acknowledged messages.
    Acknowledged {
        /// The connection.
        connection: ConnectionId,
        /// Sequence number of the last message that is acknowledged; all before it are too.
        up_to: u64,
        /// The connection was closed in order with this.
        closed: bool,
    },
    /// A connection ended, and what was not acknowledged on it is in doubt.
    Disconnected {
        /// The connection.
        connection: ConnectionId,
        /// Why it ended.
        reason: DisconnectReason,
    },
    /// The receivers were reconfigured; these are their names.
    ReceiversChanged(Vec<String>),
    /// The process is about to end: all that is left is sent at once.
    Shutdown,
    /// Time has passed.
    Tick,
}

/// The content of a message to a receiver.
#[derive(Clone, Debug)]
pub enum Message {
    /// A health check.
    Probe,
    /// These points of an interval.
    Points(Rc<Interval>, Rc<[u16]>),
}

/// What has to be done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Open a connection.
    Connect {
        /// The new connection.
        connection: ConnectionId,
    },
    /// Send a message.
    Send {
        /// The connection.
        connection: ConnectionId,
        /// The number of the message on its connection, from 1.
        sequence: u64,
        /// The message.
        message: Message,
    },
    /// Ask the receiver to acknowledge all that was sent.
    RequestAck {
        /// The connection.
        connection: ConnectionId,
    },
    /// Drop a connection.
    Disconnect {
        /// The connection.
        connection: ConnectionId,
    },
    /// Report something to the operators.
    Notify(Notice),
}

/// What is reported to the operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A connection ended.
    Disconnected {
        /// The receiver.
        receiver: String,
        /// Why it ended.
        reason: DisconnectReason,
        /// Points that were not acknowledged on it and are sent again.
        unacknowledged_points: usize,
    },
    /// A receiver is out of service.
    ReceiverDown {
        /// The receiver.
        receiver: String,
        /// Why its last connection ended.
        reason: DisconnectReason,
    },
    /// A receiver is in service again.
    ReceiverUp {
        /// The receiver.
        receiver: String,
    },
    /// Intervals were dropped because of their age.
    IntervalsDropped {
        /// Their number since the start.
        intervals: u64,
    },
}
