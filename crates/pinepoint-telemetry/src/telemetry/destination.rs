//! The deliveries of one destination: the current delivery, and the deliveries that it has superseded.

use std::cell::{Cell, RefCell};

use async_channel::Receiver;
use async_executor::Task;

use super::delivery_task::DeliveryHandle;
use crate::delivery::{DeliveryStats, Event};
use crate::schema::Destination;

/// Maximum number of superseded deliveries that are still sending. When there are more, the oldest is dropped
/// with its intervals.
const MAX_SUPERSEDED: usize = 2;

/// A delivery whose task is running. Dropping it stops the task.
pub(super) struct RunningDelivery {
    handle: DeliveryHandle,
    receivers: Vec<String>,
    _task: Task<()>,
}

impl RunningDelivery {
    pub(super) fn new(handle: DeliveryHandle, receivers: Vec<String>, task: Task<()>) -> Self {
        RunningDelivery { handle, receivers, _task: task }
    }

    fn send(&self, event: Event) {
        // Fails only if the task is gone.
        let _ = self.handle.events.try_send(event);
    }

    fn set_receivers(&mut self, receivers: Vec<String>) {
        if receivers != self.receivers {
            self.receivers.clone_from(&receivers);
            self.send(Event::ReceiversChanged(receivers));
        }
    }
}

/// The deliveries of one destination.
pub(super) struct DestinationDeliveries {
    pub(super) destination: Destination,
    /// `None` if the destination is off.
    current: RefCell<Option<RunningDelivery>>,
    /// Deliveries whose schema lacks classes that were added since: they send the intervals that they have
    /// and get no new ones.
    superseded: RefCell<Vec<RunningDelivery>>,
    /// Sum of the counters of the superseded deliveries that have ended.
    ended: Cell<DeliveryStats>,
}

impl DestinationDeliveries {
    pub(super) fn new(destination: Destination) -> Self {
        DestinationDeliveries {
            destination,
            current: RefCell::default(),
            superseded: RefCell::default(),
            ended: Cell::default(),
        }
    }

    pub(super) fn is_active(&self) -> bool {
        self.current.borrow().is_some()
    }

    pub(super) fn set_current(&self, delivery: RunningDelivery) {
        *self.current.borrow_mut() = Some(delivery);
    }

    pub(super) fn set_receivers(&self, receivers: Vec<String>) {
        if let Some(current) = self.current.borrow_mut().as_mut() {
            current.set_receivers(receivers);
        }
    }

    /// Sends an event to the current delivery.
    pub(super) fn send(&self, event: Event) {
        if let Some(current) = self.current.borrow().as_ref() {
            current.send(event);
        }
    }

    /// Asks all deliveries to send their remaining intervals at once. Returns, for each delivery, the channel
    /// that signals that it is done.
    pub(super) fn shut_down(&self) -> Vec<Receiver<()>> {
        let (superseded, current) = (self.superseded.borrow(), self.current.borrow());
        let deliveries = superseded.iter().chain(current.iter());
        deliveries
            .map(|delivery| {
                delivery.send(Event::Shutdown);
                delivery.handle.done.clone()
            })
            .collect()
    }

    /// Makes the current delivery a superseded one, which sends its remaining intervals at once. Returns its
    /// receivers.
    pub(super) fn supersede(&self) -> Option<Vec<String>> {
        let delivery = self.current.take()?;
        let receivers = delivery.receivers.clone();
        delivery.handle.superseded.set(true);
        delivery.send(Event::Shutdown);
        let mut superseded = self.superseded.borrow_mut();
        superseded.push(delivery);
        while superseded.len() > MAX_SUPERSEDED {
            self.drop_delivery(superseded.remove(0));
        }
        Some(receivers)
    }

    /// Drops a delivery, and counts and logs its undelivered intervals as dropped.
    fn drop_delivery(&self, delivery: RunningDelivery) {
        let stats = delivery.handle.stats.get();
        let intervals = stats.backlog_intervals;
        if intervals > 0 {
            tracing::warn!(to = self.destination.name(), intervals, "telemetry-dropped");
        }
        self.add_ended(DeliveryStats { dropped: stats.dropped + intervals as u64, ..stats });
    }

    fn add_ended(&self, stats: DeliveryStats) {
        self.ended.set(self.ended.get().plus(stats.counters()));
    }

    /// Statistics since the start, of all deliveries together. Releases superseded deliveries that are done.
    pub(super) fn stats(&self) -> DeliveryStats {
        self.superseded.borrow_mut().retain(|delivery| {
            let stats = delivery.handle.stats.get();
            let is_done = delivery.handle.done.try_recv().is_ok() && stats.backlog_intervals == 0;
            if is_done {
                self.add_ended(stats);
            }
            !is_done
        });
        let (superseded, current) = (self.superseded.borrow(), self.current.borrow());
        let stats = superseded.iter().chain(current.iter()).map(|delivery| delivery.handle.stats.get());
        stats.fold(self.ended.get(), DeliveryStats::plus)
    }
}
