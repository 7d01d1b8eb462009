//! The receivers of a destination, and how they are added and removed.

use super::connection::Connection;
use super::{Action, Delivery, DeliveryConfig, DisconnectReason};
use crate::circuit_breaker::CircuitBreaker;
use crate::hash_ring::{HashRing, MAX_RECEIVERS};

/// One receiver of the destination.
#[derive(Debug)]
pub(super) struct Receiver {
    pub(super) name: String,
    pub(super) circuit_breaker: CircuitBreaker,
    pub(super) connection: Option<Connection>,
    /// Maximum number of intervals in flight until the next acknowledgement. Grows as TCP's congestion window
    /// in slow start.
    pub(super) send_window: usize,
    /// Whether points wait for the receiver.
    pub(super) has_pending_points: bool,
    /// No connection is opened before this time, ms.
    pub(super) reconnect_after_ms: f64,
    /// Since when the receiver has kept the others waiting, ms.
    pub(super) lagging_since_ms: Option<f64>,
}

impl Receiver {
    fn new(name: String, config: &DeliveryConfig) -> Self {
        Receiver {
            name,
            circuit_breaker: CircuitBreaker::new(config.circuit_breaker),
            connection: None,
            send_window: config.spool.window,
            has_pending_points: false,
            reconnect_after_ms: f64::NEG_INFINITY,
            lagging_since_ms: None,
        }
    }

    pub(super) fn is_in_service(&self) -> bool {
        self.circuit_breaker.is_closed()
    }

    /// The earliest time of the next connection, ms.
    pub(super) fn next_connection_ms(&self) -> f64 {
        self.circuit_breaker.next_attempt_ms().max(self.reconnect_after_ms)
    }

    /// Ends the backoff and the pause before the next connection, and opens the send window fully.
    pub(super) fn prepare_shutdown(&mut self, config: &DeliveryConfig) {
        self.circuit_breaker = CircuitBreaker::new(config.circuit_breaker);
        self.send_window = config.spool.window;
        self.reconnect_after_ms = f64::NEG_INFINITY;
    }
}

impl Delivery {
    /// Removes the receivers that are not listed and adds those that are new.
    pub(super) fn set_receivers(&mut self, names: &[String], actions: &mut Vec<Action>) {
        for slot in self.occupied_slots() {
            if self.receiver(slot).is_some_and(|receiver| !names.contains(&receiver.name)) {
                self.disconnect(0.0, slot, DisconnectReason::Removed, actions);
                self.receivers[usize::from(slot)] = None;
            }
        }
        for name in names.iter().take(MAX_RECEIVERS) {
            if self.receivers().all(|receiver| receiver.name != *name) {
                let receiver = Receiver::new(name.clone(), &self.config);
                let slot = self.claim_slot();
                self.receivers[slot] = Some(receiver);
            }
        }
        let slots_and_names = self.receivers.iter().enumerate();
        let slots_and_names = slots_and_names
            .filter_map(|(slot, receiver)| Some((slot as u8, receiver.as_ref()?.name.as_str())));
        let ring = HashRing::new(slots_and_names);
        self.preferences = self.paths.iter().map(|path| ring.preference(path)).collect();
    }

    /// Finds a free slot, preferably one that no point in the spool refers to, and clears its bit in all
    /// points.
    fn claim_slot(&mut self) -> usize {
        let referenced =
            self.spool.ack_states_mut().fold(0, |referenced, state| referenced | state.all_receivers());
        let is_free = |slot: &usize| !matches!(self.receivers.get(*slot), Some(Some(_)));
        let free: Vec<usize> = (0..MAX_RECEIVERS).filter(is_free).collect();
        let unreferenced = free.iter().find(|slot| referenced & (1 << **slot) == 0);
        let slot = unreferenced.or(free.first()).copied().unwrap_or(MAX_RECEIVERS - 1);
        for state in self.spool.ack_states_mut() {
            state.remove_receiver(1 << slot);
        }
        if self.receivers.len() <= slot {
            self.receivers.resize_with(slot + 1, || None);
        }
        slot
    }
}
