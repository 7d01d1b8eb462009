//! Receivers and a network in simulated time, for one delivery or for hundreds at once. Everything follows from a seed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

use pinepoint_telemetry::circuit_breaker;
use pinepoint_telemetry::delivery::{
    AckMode, Action, ConnectionId, Delivery, DeliveryConfig, DisconnectReason, Event, Message, MinProgress,
    Notice,
};
use pinepoint_telemetry::snapshot::{Interval, Snapshot};
use pinepoint_telemetry::spool::Bounds;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

pub const POINTS: usize = 12;
const LATENCY_MS: f64 = 2.0;
pub const EVERY_MS: f64 = 10_000.0;

pub fn config() -> DeliveryConfig {
    DeliveryConfig {
        spool: Bounds { bytes: 60_000, age_ms: 86_400_000.0, window: 8 },
        circuit_breaker: circuit_breaker::Config::default(),
        ack_mode: AckMode::OnClose,
        replication: 1,
        ack_interval_ms: 60_000.0,
        connect_timeout_ms: 3000.0,
        ack_timeout_ms: 15_000.0,
        min_progress: MinProgress { bytes: 256, period_ms: 5000.0 },
        max_lag_ms: 60_000.0,
        max_reconnect_pause_ms: 1000.0,
        max_send_delay_ms: 2500.0,
    }
}

/// What a receiver does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Up,
    /// Accepts and reads nothing.
    Stalled,
    /// Refuses.
    Down,
    /// Reads one message in so many ms.
    Dripping(f64),
    /// Accepts, and its system has no room for what is sent.
    Clogged,
    /// Not even a refusal comes back.
    Silent,
}

#[derive(Default)]
struct Connection {
    unread: Vec<(u64, Message)>,
    read: u64,
    asked: bool,
    abandoned: bool,
}

pub struct Rx {
    pub state: State,
    connections: BTreeMap<(usize, ConnectionId), Connection>,
    /// Value by node, point and slot.
    pub store: HashMap<(usize, u16), BTreeMap<u64, f64>>,
    /// When connections were made.
    pub connects: Vec<f64>,
    /// Points read: when, of which node, how many.
    pub reads: Vec<(f64, usize, usize)>,
    drip_ms: f64,
}

pub struct Node {
    pub delivery: Delivery,
    pub totals: Vec<f64>,
    pub notices: Vec<(f64, Notice)>,
    pub most_bytes: usize,
    number: u64,
    checked_ms: f64,
}

enum Thing {
    Tell(usize, Event),
    Check(usize),
    Interval(usize),
    Fault(usize, State),
    Restart(usize, f64),
    Read(usize),
}

pub struct World {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub receivers: Vec<Rx>,
    pub random: Pcg64Mcg,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    things: HashMap<u64, Thing>,
    sequence: u64,
    pub last_interval_ms: f64,
    ack_mode: AckMode,
}

pub fn name(at: usize) -> String {
    format!("10.0.0.{at}:2003")
}

impl World {
    pub fn new(nodes: usize, receivers: usize, config: DeliveryConfig, seed: u64) -> Self {
        let names: Vec<String> = (0..receivers).map(name).collect();
        let node = |at: usize| {
            let paths: Rc<[String]> = (0..POINTS).map(|point| format!("p.n{at}.stat{point}")).collect();
            let base: Rc<[f64]> = vec![0.0; POINTS].into();
            Node {
                delivery: Delivery::new(config, &names, paths, base, seed ^ (at as u64 * 7919 + 1)),
                totals: vec![0.0; POINTS],
                notices: Vec::new(),
                most_bytes: 0,
                number: 0,
                checked_ms: f64::INFINITY,
            }
        };
        let rx = |_| Rx {
            state: State::Up,
            connections: BTreeMap::new(),
            store: HashMap::new(),
            connects: Vec::new(),
            reads: Vec::new(),
            drip_ms: 0.0,
        };
        let mut world = World {
            now: 0.0,
            nodes: (0..nodes).map(node).collect(),
            receivers: (0..receivers).map(rx).collect(),
            random: Pcg64Mcg::new(u128::from(seed)),
            queue: BinaryHeap::new(),
            things: HashMap::new(),
            sequence: 0,
            last_interval_ms: f64::INFINITY,
            ack_mode: config.ack_mode,
        };
        for at in 0..nodes {
            world.at(EVERY_MS, Thing::Interval(at));
        }
        world
    }

    fn at(&mut self, ms: f64, thing: Thing) {
        self.sequence += 1;
        self.queue.push(Reverse(((ms * 1000.0).ceil() as u64 + 1, self.sequence)));
        self.things.insert(self.sequence, thing);
    }

    pub fn fault(&mut self, ms: f64, receiver: usize, state: State) {
        self.at(ms, Thing::Fault(receiver, state));
    }

    /// Ends what a receiver has, and starts it again so much later.
    pub fn restart(&mut self, ms: f64, receiver: usize, down_ms: f64) {
        self.at(ms, Thing::Restart(receiver, down_ms));
    }

    pub fn tell(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.now;
        self.nodes[node].delivery.handle(now, event, &mut out);
        for action in out {
            self.carry_out(node, action);
        }
        let entry = &mut self.nodes[node];
        entry.most_bytes = entry.most_bytes.max(entry.delivery.stats().backlog_bytes);
        if let Some(due) = entry.delivery.next_due() {
            assert!(
                due > now || due <= 0.0,
                "node {node} wants to be told the time at once, for ever: {due} at {now}"
            );
            if due < entry.checked_ms || entry.checked_ms <= now {
                entry.checked_ms = due;
                self.at(due, Thing::Check(node));
            }
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        let soon = self.now + LATENCY_MS;
        match action {
            Action::Connect { connection: id } => {
                let rx = &mut self.receivers[usize::from(id.receiver)];
                rx.connects.push(self.now);
                if rx.state == State::Silent {
                    return;
                }
                let event = if rx.state == State::Down {
                    Event::Disconnected { connection: id, reason: DisconnectReason::Refused }
                } else {
                    rx.connections.insert((node, id), Connection::default());
                    Event::Connected { connection: id }
                };
                self.at(soon, Thing::Tell(node, event));
            }
            Action::Send { connection: id, sequence, message } => {
                if let Some(connection) =
                    self.receivers[usize::from(id.receiver)].connections.get_mut(&(node, id))
                {
                    connection.unread.push((sequence, message));
                }
                // The kernel takes it, whoever reads it.
                let clogged = self.receivers[usize::from(id.receiver)].state == State::Clogged;
                let (bytes, pending) = if clogged { (10, 490) } else { (500, 0) };
                self.at(soon, Thing::Tell(node, Event::Written { connection: id, bytes, pending }));
                self.at(soon, Thing::Read(usize::from(id.receiver)));
            }
            Action::RequestAck { connection: id } => {
                if let Some(connection) =
                    self.receivers[usize::from(id.receiver)].connections.get_mut(&(node, id))
                {
                    connection.asked = true;
                }
                self.at(soon, Thing::Read(usize::from(id.receiver)));
            }
            Action::Disconnect { connection: id } => {
                // What the receiver's kernel has, it may yet read.
                if let Some(connection) =
                    self.receivers[usize::from(id.receiver)].connections.get_mut(&(node, id))
                {
                    connection.abandoned = true;
                }
            }
            Action::Notify(notice) => self.nodes[node].notices.push((self.now, notice)),
        }
    }

    fn read(&mut self, receiver: usize) {
        let now = self.now;
        let mut told = Vec::new();
        let rx = &mut self.receivers[receiver];
        let mut messages = match rx.state {
            State::Up => usize::MAX,
            State::Dripping(ms) if now >= rx.drip_ms => {
                rx.drip_ms = now + ms;
                1
            }
            _ => 0,
        };
        for ((node, id), connection) in &mut rx.connections {
            let n = connection.unread.len().min(messages);
            messages -= n;
            for (sequence, message) in connection.unread.drain(..n) {
                connection.read = sequence;
                if let Message::Points(interval, points) = message {
                    rx.reads.push((now, *node, points.len()));
                    store(&mut rx.store, *node, &interval, &points);
                }
            }
            let reads = matches!(rx.state, State::Up | State::Dripping(_));
            let on_close = self.ack_mode == AckMode::OnClose;
            if reads
                && !connection.abandoned
                && (n > 0 && !on_close || on_close && connection.unread.is_empty() && connection.asked)
            {
                told.push((
                    *node,
                    Event::Acknowledged { connection: *id, up_to: connection.read, closed: on_close },
                ));
                connection.abandoned = on_close;
            }
        }
        rx.connections.retain(|_, connection| !(connection.abandoned && connection.unread.is_empty()));
        let more = matches!(rx.state, State::Dripping(_))
            && rx.connections.values().any(|connection| !connection.unread.is_empty());
        let again = rx.drip_ms;
        for (node, event) in told {
            self.at(now + LATENCY_MS, Thing::Tell(node, event));
        }
        if more {
            self.at(again.max(now + 1.0), Thing::Read(receiver));
        }
    }

    fn cut_off(&mut self, receiver: usize) {
        let connections = std::mem::take(&mut self.receivers[receiver].connections);
        for ((node, id), connection) in connections {
            // A part of what was sent last may have been read.
            if let Some((_, Message::Points(interval, points))) = connection.unread.first() {
                let n = self.random.next_u32() as usize % (points.len() + 1);
                store(&mut self.receivers[receiver].store, node, interval, &points[..n]);
            }
            if !connection.abandoned {
                let reason = if connection.unread.is_empty() {
                    DisconnectReason::Closed
                } else {
                    DisconnectReason::Reset
                };
                let event = Event::Disconnected { connection: id, reason };
                self.at(self.now + LATENCY_MS, Thing::Tell(node, event));
            }
        }
    }

    /// Plays up to this time.
    pub fn run(&mut self, until: f64) {
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at as f64 / 1000.0 > until {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at as f64 / 1000.0);
            match self.things.remove(&sequence).expect("queued") {
                Thing::Tell(node, event) => self.tell(node, event),
                Thing::Check(node) => {
                    self.nodes[node].checked_ms = f64::INFINITY;
                    self.tell(node, Event::Tick);
                }
                Thing::Interval(node) => {
                    if self.now <= self.last_interval_ms {
                        self.interval(node);
                        self.at(self.now + EVERY_MS, Thing::Interval(node));
                    }
                }
                Thing::Fault(receiver, state) => {
                    if state == State::Down {
                        self.cut_off(receiver);
                    }
                    self.receivers[receiver].state = state;
                    self.read(receiver);
                }
                Thing::Restart(receiver, down_ms) => {
                    self.cut_off(receiver);
                    self.receivers[receiver].state = State::Down;
                    self.at(self.now + down_ms, Thing::Fault(receiver, State::Up));
                }
                Thing::Read(receiver) => self.read(receiver),
            }
        }
        self.now = self.now.max(until);
    }

    /// Ends an interval of a node.
    pub fn interval(&mut self, node: usize) {
        let entry = &mut self.nodes[node];
        for (n, total) in entry.totals.iter_mut().enumerate() {
            *total += (self.random.next_u32() % 50) as f64 + n as f64;
        }
        entry.number += 1;
        let snapshot = Snapshot {
            slot_s: entry.number * 10,
            slots: 1,
            span_ms: (self.now - EVERY_MS, self.now),
            totals: entry.totals.as_slice().into(),
            gauges: Vec::new().into(),
            dists: Vec::new().into(),
        };
        self.tell(node, Event::IntervalEnded(snapshot));
    }

    /// The sum of all points that any receiver has of a node, each slot once. Panics where two receivers were told
    /// different values of one point.
    pub fn sums(&self, node: usize) -> Vec<f64> {
        let sum = |point: u16| {
            let mut slots = BTreeMap::new();
            for rx in &self.receivers {
                for (slot, value) in rx.store.get(&(node, point)).into_iter().flatten() {
                    let known = slots.insert(*slot, *value);
                    assert!(
                        known.is_none_or(|known| known == *value),
                        "point {point} of slot {slot} has two values"
                    );
                }
            }
            slots.values().sum()
        };
        (0..POINTS as u16).map(sum).collect()
    }
}

fn store(
    store: &mut HashMap<(usize, u16), BTreeMap<u64, f64>>,
    node: usize,
    interval: &Interval,
    points: &[u16],
) {
    for point in points {
        let at = usize::from(*point);
        let value = interval.snapshot.totals[at] - interval.previous_totals[at];
        let known = store.entry((node, *point)).or_default().insert(interval.snapshot.slot_s, value);
        let slot = interval.snapshot.slot_s;
        assert!(known.is_none_or(|known| known == value), "point {point} of slot {slot} changed its value");
    }
}
