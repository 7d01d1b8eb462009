//! The input of a delivery (events) and its output (actions).

use std::rc::Rc;

use pinepoint_events::reason_codes;

use crate::snapshot::{Interval, Snapshot};

reason_codes! {
    /// Why a connection to a receiver ended.
    DisconnectReason {
        /// The connection could not be established.
        Refused = "refused",
        /// The connection was not established in time.
        ConnectTimeout = "connect-late",
        /// The receiver closed the connection; unacknowledged messages are in doubt.
        Closed = "closed",
        /// The connection was reset.
        Reset = "reset",
        /// Writing made less than the minimum progress.
        Stalled = "no-progress",
        /// An acknowledgement did not arrive in time.
        AckTimeout = "no-receipt",
        /// The receiver sent something that is not an acknowledgement.
        InvalidReply = "bad-reply",
        /// The receiver was removed from the destination.
        Removed = "removed",
        /// Other receivers waited for intervals that only this receiver had not acknowledged.
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

/// An event that the delivery handles.
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
        /// Sequence number of the last acknowledged message; all earlier messages are acknowledged too.
        up_to: u64,
        /// Whether the receiver closed the connection in order as well.
        closed: bool,
    },
    /// A connection ended, and its unacknowledged messages are in doubt.
    Disconnected {
        /// The connection.
        connection: ConnectionId,
        /// Why it ended.
        reason: DisconnectReason,
    },
    /// The receivers were reconfigured; these are their names.
    ReceiversChanged(Vec<String>),
    /// The process is about to end: all remaining intervals are sent at once.
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

/// An action that the caller has to carry out.
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
    /// Ask the receiver to acknowledge all messages sent on a connection.
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

/// A report to the operators.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A connection ended.
    Disconnected {
        /// The receiver.
        receiver: String,
        /// Why it ended.
        reason: DisconnectReason,
        /// Number of points that were not acknowledged on the connection and are sent again.
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
        /// Number of intervals dropped since the start.
        intervals: u64,
    },
}
