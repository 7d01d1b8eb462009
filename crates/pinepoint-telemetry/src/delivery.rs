//! The delivery to one destination: decides which points are sent to which receiver and when, and tracks
//! which points were acknowledged.
//!
//! A state machine without I/O that serves every protocol: events and the time go in, actions come out.
//!
//! For each point of an interval the spool records the receivers that acknowledged it and the receivers to
//! which it is in flight. From these records, the hash ring and the receivers in service, the delivery
//! computes after each event which points to send. Failover, recovery, and added or removed receivers are
//! therefore no special cases.

mod acknowledgement;
mod config;
mod connection;
mod lag;
mod message;
mod receiver;
mod sending;
mod stats;
mod timeouts;

use std::rc::Rc;

use rand_core::Rng;
use rand_pcg::Pcg64Mcg;

pub use config::{AckMode, DeliveryConfig, MinProgress};
pub use message::{Action, ConnectionId, DisconnectReason, Event, Message, Notice};
pub use stats::DeliveryStats;

use connection::Connection;
use receiver::Receiver;

use crate::hash_ring::path_fraction;
use crate::snapshot::Snapshot;
use crate::spool::Spool;

/// The delivery to one destination.
#[derive(Debug)]
pub struct Delivery {
    config: DeliveryConfig,
    random: Pcg64Mcg,
    spool: Spool,
    paths: Rc<[String]>,
    /// The [`path_fraction`] of each path.
    path_fractions: Vec<f64>,
    /// The receivers of each path, given by slot, in the order of preference.
    preferences: Vec<Box<[u8]>>,
    /// Receivers by slot; `None` is a free slot.
    receivers: Vec<Option<Receiver>>,
    delayed: Option<DelayedInterval>,
    shutting_down: bool,
    last_connection: u64,
    stats: DeliveryStats,
}

/// The newest interval, and the time before which it is not sent, so that not all processes send at once.
#[derive(Clone, Copy, Debug)]
struct DelayedInterval {
    number: u64,
    until_ms: f64,
}

impl Delivery {
    /// Creates a delivery to these receivers, at most [`MAX_RECEIVERS`](crate::hash_ring::MAX_RECEIVERS).
    /// `paths` are the names of the points, in order. The increases of the first interval are relative to
    /// `base_totals`.
    pub fn new(
        config: DeliveryConfig,
        receivers: &[String],
        paths: Rc<[String]>,
        base_totals: Rc<[f64]>,
        seed: u64,
    ) -> Self {
        let mut delivery = Delivery {
            config,
            random: Pcg64Mcg::new(u128::from(seed)),
            spool: Spool::new(config.spool, base_totals),
            path_fractions: paths.iter().map(|path| path_fraction(path)).collect(),
            paths,
            preferences: Vec::new(),
            receivers: Vec::new(),
            delayed: None,
            shutting_down: false,
            last_connection: 0,
            stats: DeliveryStats::default(),
        };
        delivery.set_receivers(receivers, &mut Vec::new());
        delivery
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::IntervalEnded(snapshot) => self.add_interval(now, snapshot, actions),
            Event::Connected { connection } => {
                if let Some(connection) = self.connection_mut(connection) {
                    connection.connected(now);
                }
            }
            Event::Written { connection, bytes, pending } => {
                if let Some(connection) = self.connection_mut(connection) {
                    connection.written(now, bytes, pending);
                }
            }
            Event::Acknowledged { connection, up_to, closed } => {
                self.acknowledged(now, connection, up_to, closed, actions);
            }
            Event::Disconnected { connection, reason } => {
                if self.connection_mut(connection).is_some() {
                    self.disconnected(now, connection.receiver, reason, actions);
                }
            }
            Event::ReceiversChanged(names) => self.set_receivers(&names, actions),
            Event::Shutdown => self.shut_down(),
            Event::Tick => {}
        }
        self.advance(now, actions);
    }

    /// Whether no interval is left to deliver.
    pub fn is_done(&self) -> bool {
        self.spool.is_empty()
    }

    /// Statistics of the delivery.
    pub fn stats(&self) -> DeliveryStats {
        let losses = self.spool.losses();
        let (backlog_intervals, backlog_bytes) = self.spool.size();
        let is_down = |receiver: &&Receiver| !receiver.is_in_service();
        DeliveryStats {
            merged: losses.merged,
            dropped: losses.dropped,
            backlog_intervals,
            backlog_bytes,
            receivers_down: self.receivers().filter(is_down).count(),
            ..self.stats
        }
    }

    /// The name of the receiver in a slot.
    pub fn receiver_name(&self, slot: u8) -> Option<&str> {
        self.receiver(slot).map(|receiver| receiver.name.as_str())
    }

    fn add_interval(&mut self, now: f64, snapshot: Snapshot, actions: &mut Vec<Action>) {
        let dropped_before = self.spool.losses().dropped;
        let number = self.spool.push(now, snapshot);
        let delay_ms = self.config.max_send_delay_ms * self.random_fraction();
        let delayed = DelayedInterval { number, until_ms: now + delay_ms };
        self.delayed = (!self.shutting_down).then_some(delayed);
        let intervals = self.spool.losses().dropped;
        if intervals > dropped_before {
            actions.push(Action::Notify(Notice::IntervalsDropped { intervals }));
        }
    }

    /// Prepares to send all remaining intervals at once. Receivers out of service get one last attempt too.
    fn shut_down(&mut self) {
        self.shutting_down = true;
        self.delayed = None;
        let config = self.config;
        for receiver in self.receivers.iter_mut().flatten() {
            receiver.prepare_shutdown(&config);
        }
    }

    /// Enforces timeouts, removes delivered intervals, and connects to receivers or sends to them as the
    /// state and the time require.
    fn advance(&mut self, now: f64, actions: &mut Vec<Action>) {
        if self.delayed.is_some_and(|delayed| now >= delayed.until_ms) {
            self.delayed = None;
        }
        self.enforce_timeouts(now, actions);
        let in_service = self.receivers().filter(|receiver| receiver.is_in_service()).count() as u32;
        let replicas = self.config.replication.min(in_service).max(1);
        self.spool.remove_delivered(|state| {
            state.acknowledged.iter().all(|receivers| receivers.count_ones() >= replicas)
        });
        for slot in self.occupied_slots() {
            self.serve(now, slot, actions);
        }
        self.enforce_max_lag(now, actions);
    }

    // ---- access to receivers and connections ----

    fn receivers(&self) -> impl Iterator<Item = &Receiver> {
        self.receivers.iter().flatten()
    }

    fn receiver(&self, slot: u8) -> Option<&Receiver> {
        self.receivers.get(usize::from(slot))?.as_ref()
    }

    fn receiver_mut(&mut self, slot: u8) -> Option<&mut Receiver> {
        self.receivers.get_mut(usize::from(slot))?.as_mut()
    }

    fn occupied_slots(&self) -> Vec<u8> {
        let slots = self.receivers.iter().enumerate();
        slots.filter(|(_, receiver)| receiver.is_some()).map(|(slot, _)| slot as u8).collect()
    }

    /// The current connection of the receiver in a slot, whatever its number.
    fn current_connection_mut(&mut self, slot: u8) -> Option<&mut Connection> {
        self.receiver_mut(slot)?.connection.as_mut()
    }

    /// The connection with this ID; `None` if it has ended.
    fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.current_connection_mut(id.receiver).filter(|connection| connection.id == id)
    }

    /// A random number, 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }
}
