//! A simulated receiver: its connections, its handling of messages, and the values that it has stored.

use std::collections::{BTreeMap, HashMap};

use pinepoint_telemetry::delivery::{AckMode, ConnectionId, DisconnectReason, Event, Message};
use pinepoint_telemetry::snapshot::Interval;
use rand_core::Rng;

/// The behaviour of a receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReceiverState {
    /// Reads and acknowledges everything.
    Up,
    /// Accepts connections and reads nothing.
    Stalled,
    /// Refuses connections.
    Down,
    /// Reads one message per this many ms.
    Slow(f64),
    /// Accepts connections, and its kernel has no space for the data sent on them.
    BufferFull,
    /// Neither accepts nor refuses connections.
    Unreachable,
}

/// A connection of a node.
#[derive(Default)]
struct Connection {
    unread: Vec<(u64, Message)>,
    /// Sequence number of the last message that was read.
    last_read: u64,
    ack_requested: bool,
    /// The node or the receiver closed the connection; messages in the receiver's kernel may still be read.
    closed: bool,
}

/// Points that were read at once.
pub struct Read {
    pub at_ms: f64,
    pub node: usize,
    pub points: usize,
}

/// An event for a node.
pub type NodeEvent = (usize, Event);

/// A simulated receiver.
pub struct Receiver {
    pub state: ReceiverState,
    connections: BTreeMap<(usize, ConnectionId), Connection>,
    /// Values by slot, for each node and point.
    pub store: HashMap<(usize, u16), BTreeMap<u64, f64>>,
    /// When connections were attempted.
    pub connects: Vec<f64>,
    pub reads: Vec<Read>,
    /// A slow receiver reads nothing before this time.
    next_read_ms: f64,
}

impl Receiver {
    pub fn new() -> Self {
        Receiver {
            state: ReceiverState::Up,
            connections: BTreeMap::new(),
            store: HashMap::new(),
            connects: Vec::new(),
            reads: Vec::new(),
            next_read_ms: 0.0,
        }
    }

    /// Handles a connection attempt of a node. Returns the resulting event for the node.
    pub fn connect(&mut self, now: f64, node: usize, id: ConnectionId) -> Option<Event> {
        self.connects.push(now);
        match self.state {
            ReceiverState::Unreachable => None,
            ReceiverState::Down => {
                Some(Event::Disconnected { connection: id, reason: DisconnectReason::Refused })
            }
            _ => {
                self.connections.insert((node, id), Connection::default());
                Some(Event::Connected { connection: id })
            }
        }
    }

    /// Handles a message from a node. The kernel accepts the message, whether or not the process reads it.
    pub fn send(&mut self, node: usize, id: ConnectionId, sequence: u64, message: Message) -> Event {
        if let Some(connection) = self.connections.get_mut(&(node, id)) {
            connection.unread.push((sequence, message));
        }
        let is_full = self.state == ReceiverState::BufferFull;
        let (bytes, pending) = if is_full { (10, 490) } else { (500, 0) };
        Event::Written { connection: id, bytes, pending }
    }

    pub fn request_ack(&mut self, node: usize, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&(node, id)) {
            connection.ack_requested = true;
        }
    }

    pub fn disconnect(&mut self, node: usize, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&(node, id)) {
            connection.closed = true;
        }
    }

    /// Reads the messages that the state allows. Returns the acknowledgements.
    pub fn read(&mut self, now: f64, ack_mode: AckMode) -> Vec<NodeEvent> {
        let mut quota = self.read_quota(now);
        let is_reading = matches!(self.state, ReceiverState::Up | ReceiverState::Slow(_));
        let mut acknowledgements = Vec::new();
        for ((node, id), connection) in &mut self.connections {
            let count = connection.unread.len().min(quota);
            quota -= count;
            for (sequence, message) in connection.unread.drain(..count) {
                connection.last_read = sequence;
                if let Message::Points(interval, points) = message {
                    self.reads.push(Read { at_ms: now, node: *node, points: points.len() });
                    store_points(&mut self.store, *node, &interval, &points);
                }
            }
            let is_acknowledged = match ack_mode {
                AckMode::Inline => count > 0,
                AckMode::OnClose => connection.unread.is_empty() && connection.ack_requested,
            };
            if is_reading && !connection.closed && is_acknowledged {
                let closed = ack_mode == AckMode::OnClose;
                let up_to = connection.last_read;
                acknowledgements.push((*node, Event::Acknowledged { connection: *id, up_to, closed }));
                connection.closed = closed;
            }
        }
        self.connections.retain(|_, connection| !(connection.closed && connection.unread.is_empty()));
        acknowledgements
    }

    /// Number of messages that may be read now.
    fn read_quota(&mut self, now: f64) -> usize {
        match self.state {
            ReceiverState::Up => usize::MAX,
            ReceiverState::Slow(pause_ms) if now >= self.next_read_ms => {
                self.next_read_ms = now + pause_ms;
                1
            }
            _ => 0,
        }
    }

    /// When a slow receiver with unread messages reads again.
    pub fn next_read_ms(&self, now: f64) -> Option<f64> {
        let is_slow = matches!(self.state, ReceiverState::Slow(_));
        let has_unread = self.connections.values().any(|connection| !connection.unread.is_empty());
        (is_slow && has_unread).then_some(self.next_read_ms.max(now + 1.0))
    }

    /// Loses all connections, as when the receiver's process ends. Returns the resulting events for the
    /// nodes.
    pub fn lose_connections(&mut self, random: &mut impl Rng) -> Vec<NodeEvent> {
        let mut events = Vec::new();
        for ((node, id), connection) in std::mem::take(&mut self.connections) {
            // A part of the first unread message may have been read.
            if let Some((_, Message::Points(interval, points))) = connection.unread.first() {
                let count = random.next_u32() as usize % (points.len() + 1);
                store_points(&mut self.store, node, interval, &points[..count]);
            }
            if !connection.closed {
                let is_all_read = connection.unread.is_empty();
                let reason = if is_all_read { DisconnectReason::Closed } else { DisconnectReason::Reset };
                events.push((node, Event::Disconnected { connection: id, reason }));
            }
        }
        events
    }
}

/// Stores points of an interval. Panics if a point of a slot changes its value.
fn store_points(
    store: &mut HashMap<(usize, u16), BTreeMap<u64, f64>>,
    node: usize,
    interval: &Interval,
    points: &[u16],
) {
    let slot = interval.snapshot.slot_s;
    for point in points {
        let at = usize::from(*point);
        let value = interval.snapshot.totals[at] - interval.previous_totals[at];
        let known = store.entry((node, *point)).or_default().insert(slot, value);
        assert!(known.is_none_or(|known| known == value), "point {point} of slot {slot} changed its value");
    }
}
