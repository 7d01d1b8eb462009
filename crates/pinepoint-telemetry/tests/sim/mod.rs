//! Receivers and a network in simulated time, for one delivery or for hundreds at once. A run depends on its
//! seed alone.

mod receiver;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::rc::Rc;

use pinepoint_telemetry::circuit_breaker;
use pinepoint_telemetry::delivery::{AckMode, Action, Delivery, DeliveryConfig, Event, MinProgress, Notice};
use pinepoint_telemetry::snapshot::Snapshot;
use pinepoint_telemetry::spool::Bounds;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

pub use receiver::{Read, Receiver, ReceiverState};

/// Points of each node.
pub const POINTS: usize = 12;
/// Length of a reporting interval, ms.
pub const EVERY_MS: f64 = 10_000.0;
/// Time between an action and its effect, ms.
const LATENCY_MS: f64 = 2.0;

/// The default configuration of deliveries in the tests.
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

/// The name of a receiver.
pub fn name(receiver: usize) -> String {
    format!("10.0.0.{receiver}:2003")
}

/// A process with one delivery.
pub struct Node {
    pub delivery: Delivery,
    /// The totals of its counters.
    pub totals: Vec<f64>,
    /// Notices of the delivery, with their time.
    pub notices: Vec<(f64, Notice)>,
    /// The maximum size of the spool so far, bytes.
    pub max_backlog_bytes: usize,
    intervals: u64,
    /// The time of its next scheduled tick.
    next_tick_ms: f64,
}

impl Node {
    fn new(at: usize, config: DeliveryConfig, receivers: &[String], seed: u64) -> Self {
        let paths: Rc<[String]> = (0..POINTS).map(|point| format!("p.n{at}.stat{point}")).collect();
        let base_totals: Rc<[f64]> = vec![0.0; POINTS].into();
        Node {
            delivery: Delivery::new(config, receivers, paths, base_totals, seed ^ (at as u64 * 7919 + 1)),
            totals: vec![0.0; POINTS],
            notices: Vec::new(),
            max_backlog_bytes: 0,
            intervals: 0,
            next_tick_ms: f64::INFINITY,
        }
    }
}

/// A scheduled occurrence. Nodes and receivers are given by index.
enum Scheduled {
    /// A node handles an event.
    NodeEvent(usize, Event),
    /// A node is woken up.
    Tick(usize),
    /// An interval of a node ends, and the next one begins.
    Interval(usize),
    /// A receiver changes its state.
    Fault(usize, ReceiverState),
    /// A receiver goes down, and comes up again after this time, ms.
    Restart(usize, f64),
    /// A receiver reads.
    Read(usize),
}

/// The simulation of nodes, receivers and the time.
pub struct Simulation {
    pub now: f64,
    pub nodes: Vec<Node>,
    pub receivers: Vec<Receiver>,
    /// No interval ends after this time.
    pub last_interval_ms: f64,
    random: Pcg64Mcg,
    /// Time in microseconds and sequence number, earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled occurrences by sequence number.
    scheduled: HashMap<u64, Scheduled>,
    last_sequence: u64,
    ack_mode: AckMode,
}

impl Simulation {
    pub fn new(nodes: usize, receivers: usize, config: DeliveryConfig, seed: u64) -> Self {
        let names: Vec<String> = (0..receivers).map(name).collect();
        let mut simulation = Simulation {
            now: 0.0,
            nodes: (0..nodes).map(|at| Node::new(at, config, &names, seed)).collect(),
            receivers: (0..receivers).map(|_| Receiver::new()).collect(),
            last_interval_ms: f64::INFINITY,
            random: Pcg64Mcg::new(u128::from(seed)),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            last_sequence: 0,
            ack_mode: config.ack_mode,
        };
        for at in 0..nodes {
            simulation.schedule(EVERY_MS, Scheduled::Interval(at));
        }
        simulation
    }

    fn schedule(&mut self, at_ms: f64, occurrence: Scheduled) {
        self.last_sequence += 1;
        let at_us = (at_ms * 1000.0).ceil() as u64 + 1;
        self.queue.push(Reverse((at_us, self.last_sequence)));
        self.scheduled.insert(self.last_sequence, occurrence);
    }

    /// Changes the state of a receiver at some time.
    pub fn fault(&mut self, at_ms: f64, receiver: usize, state: ReceiverState) {
        self.schedule(at_ms, Scheduled::Fault(receiver, state));
    }

    /// Takes a receiver down at some time, and up again `down_ms` later.
    pub fn restart(&mut self, at_ms: f64, receiver: usize, down_ms: f64) {
        self.schedule(at_ms, Scheduled::Restart(receiver, down_ms));
    }

    /// Hands an event to a node now, and carries out the resulting actions.
    pub fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        let now = self.now;
        self.nodes[node].delivery.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out(node, action);
        }
        let state = &mut self.nodes[node];
        state.max_backlog_bytes = state.max_backlog_bytes.max(state.delivery.stats().backlog_bytes);
        let Some(due) = state.delivery.next_due() else { return };
        assert!(
            due > now || due <= 0.0,
            "node {node} wants a tick that is due already: due at {due} ms, now {now} ms"
        );
        if due < state.next_tick_ms || state.next_tick_ms <= now {
            state.next_tick_ms = due;
            self.schedule(due, Scheduled::Tick(node));
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        let soon = self.now + LATENCY_MS;
        match action {
            Action::Connect { connection } => {
                let receiver = &mut self.receivers[usize::from(connection.receiver)];
                if let Some(event) = receiver.connect(self.now, node, connection) {
                    self.schedule(soon, Scheduled::NodeEvent(node, event));
                }
            }
            Action::Send { connection, sequence, message } => {
                let at = usize::from(connection.receiver);
                let event = self.receivers[at].send(node, connection, sequence, message);
                self.schedule(soon, Scheduled::NodeEvent(node, event));
                self.schedule(soon, Scheduled::Read(at));
            }
            Action::RequestAck { connection } => {
                let at = usize::from(connection.receiver);
                self.receivers[at].request_ack(node, connection);
                self.schedule(soon, Scheduled::Read(at));
            }
            Action::Disconnect { connection } => {
                self.receivers[usize::from(connection.receiver)].disconnect(node, connection);
            }
            Action::Notify(notice) => self.nodes[node].notices.push((self.now, notice)),
        }
    }

    fn read(&mut self, receiver: usize) {
        let acknowledgements = self.receivers[receiver].read(self.now, self.ack_mode);
        for (node, event) in acknowledgements {
            self.schedule(self.now + LATENCY_MS, Scheduled::NodeEvent(node, event));
        }
        if let Some(next_ms) = self.receivers[receiver].next_read_ms(self.now) {
            self.schedule(next_ms, Scheduled::Read(receiver));
        }
    }

    fn lose_connections(&mut self, receiver: usize) {
        for (node, event) in self.receivers[receiver].lose_connections(&mut self.random) {
            self.schedule(self.now + LATENCY_MS, Scheduled::NodeEvent(node, event));
        }
    }

    /// Runs up to this time.
    pub fn run(&mut self, until_ms: f64) {
        while let Some(Reverse((at_us, sequence))) = self.queue.peek().copied() {
            let at_ms = at_us as f64 / 1000.0;
            if at_ms > until_ms {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at_ms);
            let occurrence = self.scheduled.remove(&sequence).expect("scheduled");
            self.process(occurrence);
        }
        self.now = self.now.max(until_ms);
    }

    fn process(&mut self, occurrence: Scheduled) {
        match occurrence {
            Scheduled::NodeEvent(node, event) => self.handle(node, event),
            Scheduled::Tick(node) => {
                self.nodes[node].next_tick_ms = f64::INFINITY;
                self.handle(node, Event::Tick);
            }
            Scheduled::Interval(node) => {
                if self.now <= self.last_interval_ms {
                    self.end_interval(node);
                    self.schedule(self.now + EVERY_MS, Scheduled::Interval(node));
                }
            }
            Scheduled::Fault(receiver, state) => {
                if state == ReceiverState::Down {
                    self.lose_connections(receiver);
                }
                self.receivers[receiver].state = state;
                self.read(receiver);
            }
            Scheduled::Restart(receiver, down_ms) => {
                self.lose_connections(receiver);
                self.receivers[receiver].state = ReceiverState::Down;
                self.fault(self.now + down_ms, receiver, ReceiverState::Up);
            }
            Scheduled::Read(receiver) => self.read(receiver),
        }
    }

    /// Ends an interval of a node, in which its counters grew.
    pub fn end_interval(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        for (point, total) in state.totals.iter_mut().enumerate() {
            *total += (self.random.next_u32() % 50) as f64 + point as f64;
        }
        state.intervals += 1;
        let snapshot = Snapshot {
            slot_s: state.intervals * 10,
            slots: 1,
            span_ms: (self.now - EVERY_MS, self.now),
            totals: state.totals.as_slice().into(),
            gauges: Vec::new().into(),
            distributions: Vec::new().into(),
        };
        self.handle(node, Event::IntervalEnded(snapshot));
    }

    /// The sum of the values of each point of a node at all receivers, with each slot counted once. Panics if
    /// two receivers have different values of one point.
    pub fn sums(&self, node: usize) -> Vec<f64> {
        (0..POINTS as u16).map(|point| self.sum(node, point)).collect()
    }

    fn sum(&self, node: usize, point: u16) -> f64 {
        let mut slots = BTreeMap::new();
        let stores = self.receivers.iter().filter_map(|receiver| receiver.store.get(&(node, point)));
        for (slot, value) in stores.flatten() {
            let known = slots.insert(*slot, *value);
            let is_same = known.is_none_or(|known| known == *value);
            assert!(is_same, "point {point} of slot {slot} has two values");
        }
        slots.values().sum()
    }
}
