//! The telemetry service of a process: it observes the core, ends the reporting intervals and hands their
//! snapshots to the deliveries.
//!
//! The service never delays the core: an event is counted at once, and all other work runs in separate tasks.

mod delivery_task;
mod destination;
mod observer;
mod setup;
mod snapshots;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_events::{CoreState, MembershipSummary};

use delivery_task::DeliveryTask;
use destination::DestinationDeliveries;
pub use setup::{Parts, Setup, Source};

use crate::accounts::{Accounts, Class};
use crate::collectd::{Notification, Severity};
use crate::delivery::{Delivery, DeliveryConfig, Event};
use crate::encoder::Encoder;
use crate::interval_schedule::IntervalSchedule;
use crate::schema::{Destination, Schema};

/// Maximum number of queued notifications; further ones are dropped.
const MAX_QUEUED_NOTIFICATIONS: usize = 64;
/// Minimum number of intervals that a spool has space for besides those in its window.
const MIN_INTERVALS_OUTSIDE_WINDOW: usize = 4;
/// The smallest window, in intervals.
const MIN_WINDOW_INTERVALS: usize = 2;
/// Estimated memory of a distribution in a snapshot, bytes.
const DISTRIBUTION_BYTES: usize = 400;
/// Memory of a number in a snapshot, and of the acknowledgements of a point, bytes.
const NUMBER_BYTES: usize = 8;
/// Added to the seed for each delivery (2^64 over the golden ratio, as in SplitMix64).
const SEED_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Telemetry of one process.
pub struct Telemetry {
    setup: Setup,
    host: String,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    source: Rc<dyn Source>,
    seed: Cell<u64>,
    schema: RefCell<Rc<Schema>>,
    accounts: RefCell<Accounts>,
    /// Totals at the end of the last interval, to which the increases of a new delivery are relative.
    last_totals: RefCell<Rc<[f64]>>,
    schedule: Cell<IntervalSchedule>,
    /// Whether an interval is due and the core was asked for its state.
    is_interval_due: Cell<bool>,
    /// Signals that a due interval has ended.
    interval_ended: (Sender<()>, Receiver<()>),
    last_core_state: RefCell<CoreState>,
    membership: Cell<MembershipSummary>,
    is_draining: Cell<bool>,
    /// For each resource limit, when the last notification about it was sent, ms.
    limit_notifications: RefCell<HashMap<&'static str, f64>>,
    destinations: [DestinationDeliveries; Destination::ALL.len()],
    /// Notifications for collectd; dropped while the queue is full. Without `[collectd]` nothing reads the
    /// queue, so that it soon fills up.
    notifications: (Sender<Notification>, Receiver<Notification>),
}

impl Telemetry {
    /// Starts counting, and delivering to the destinations of the setup.
    pub fn start(setup: &Setup, parts: Parts) -> Rc<Self> {
        let Parts { schema, classes, weight_by_work, host, clock, executor, seed, source } = parts;
        let schedule = IntervalSchedule::new(clock.now(), setup.telemetry.every_s.get() as u64);
        let telemetry = Rc::new(Telemetry {
            accounts: RefCell::new(Accounts::new(schema.clone(), classes, weight_by_work)),
            last_totals: RefCell::new(vec![0.0; schema.counts()].into()),
            schema: RefCell::new(schema),
            setup: setup.clone(),
            clock,
            source,
            schedule: Cell::new(schedule),
            is_interval_due: Cell::new(false),
            interval_ended: async_channel::bounded(1),
            last_core_state: RefCell::default(),
            membership: Cell::default(),
            is_draining: Cell::new(false),
            limit_notifications: RefCell::default(),
            destinations: Destination::ALL.map(DestinationDeliveries::new),
            notifications: async_channel::bounded(MAX_QUEUED_NOTIFICATIONS),
            host,
            executor: executor.clone(),
            seed: Cell::new(seed),
        });
        telemetry.start_deliveries();
        // The task runs as long as the process and keeps its telemetry alive.
        let service = telemetry.clone();
        executor.spawn(async move { service.end_intervals().await }).detach();
        telemetry
    }

    /// Applies the receivers of a new setup. Any other change of a destination, and switching a destination
    /// on or off, needs a restart. Returns the names of the destinations that the new setup switches on or
    /// off; they are left as they are.
    pub fn reload(&self, setup: &Setup) -> Vec<&'static str> {
        let mut needs_restart = Vec::new();
        for deliveries in &self.destinations {
            match (setup.receivers(deliveries.destination), deliveries.is_active()) {
                (Some(receivers), true) => deliveries.set_receivers(receivers),
                (None, false) => {}
                _ => needs_restart.push(deliveries.destination.name()),
            }
        }
        needs_restart
    }

    /// Replaces the request classes, given by index: their names, and how their answers are valued. They have
    /// to begin with the previous classes. Classes of the same name share their metrics; a new name gets its
    /// own metrics.
    pub fn set_classes(&self, names: &[String], classes: Vec<Class>, weight_by_work: bool) {
        let schema_before = self.schema();
        let mut schema_classes = schema_before.classes().to_vec();
        let mut series = Vec::new();
        for name in names {
            let existing = schema_classes.iter().position(|class| class == name);
            series.push(existing.unwrap_or(schema_classes.len()));
            if existing.is_none() {
                schema_classes.push(name.clone());
            }
        }
        let is_wider = schema_classes.len() > schema_before.classes().len();
        let schema = if is_wider {
            Rc::new(schema_before.with_classes(&schema_classes))
        } else {
            schema_before.clone()
        };
        self.accounts.borrow_mut().set_classes(schema.clone(), classes, series, weight_by_work);
        if is_wider {
            let totals = schema.widen(&schema_before, &self.last_totals.borrow());
            *self.last_totals.borrow_mut() = totals.into();
            *self.schema.borrow_mut() = schema;
            self.restart_deliveries();
        }
    }

    /// Replaces each delivery by one with the current schema. The superseded deliveries send the intervals
    /// that they have.
    fn restart_deliveries(&self) {
        let receivers = self.destinations.each_ref().map(DestinationDeliveries::supersede);
        self.start_deliveries();
        // A reload may have changed the receivers of the setup.
        for (receivers, deliveries) in receivers.into_iter().zip(&self.destinations) {
            if let Some(receivers) = receivers {
                deliveries.set_receivers(receivers);
            }
        }
    }

    fn schema(&self) -> Rc<Schema> {
        self.schema.borrow().clone()
    }

    fn deliveries(&self, destination: Destination) -> &DestinationDeliveries {
        &self.destinations[destination as usize]
    }

    fn start_deliveries(&self) {
        let (setup, schema) = (&self.setup, self.schema());
        let every_ms = setup.telemetry.every_s.get() as f64 * 1000.0;
        if let Some(graphite) = &setup.graphite {
            let encoder = Encoder::graphite(schema.clone(), &self.host, graphite);
            self.start_delivery(Destination::Graphite, encoder, graphite.delivery_config(every_ms));
        }
        if let Some(collectd) = &setup.collectd {
            let encoder = Encoder::collectd(schema, &self.host, every_ms, collectd);
            self.start_delivery(Destination::Collectd, encoder, collectd.delivery_config(every_ms));
        }
    }

    fn start_delivery(&self, destination: Destination, encoder: Encoder, mut config: DeliveryConfig) {
        let receivers = self.setup.receivers(destination).unwrap_or_default();
        config.spool.window =
            self.window_within(config.spool.bytes, encoder.paths().len(), config.spool.window);
        self.seed.set(self.seed.get().wrapping_add(SEED_INCREMENT));
        let base_totals = self.last_totals.borrow().clone();
        let delivery = Delivery::new(config, &receivers, encoder.paths(), base_totals, self.seed.get());
        let (task, handle) = DeliveryTask::new(
            destination,
            delivery,
            encoder,
            self.clock.clone(),
            self.executor.clone(),
            self.notifications.clone(),
        );
        let running = destination::RunningDelivery::new(handle, receivers, self.executor.spawn(task.run()));
        self.deliveries(destination).set_current(running);
    }

    /// The window, reduced so that a spool of `spool_bytes` has space for some intervals outside it, however
    /// many classes there are.
    fn window_within(&self, spool_bytes: usize, points: usize, window: usize) -> usize {
        let schema = self.schema();
        let numbers = schema.counts() + schema.gauges() + points;
        let interval_bytes = numbers * NUMBER_BYTES + schema.distributions() * DISTRIBUTION_BYTES;
        let max_intervals = spool_bytes / interval_bytes.max(1);
        window.min(max_intervals.saturating_sub(MIN_INTERVALS_OUTSIDE_WINDOW)).max(MIN_WINDOW_INTERVALS)
    }

    fn notify(&self, severity: Severity, subject: &'static str, message: String) {
        let _ = self.notifications.0.try_send(Notification { severity, subject, message });
    }

    /// Delivers the remaining intervals after the core has ended, until `until_ms` (Unix ms) at the latest.
    /// Logs how many could not be delivered.
    pub async fn finish(&self, until_ms: f64) {
        let done: Vec<Receiver<()>> =
            self.destinations.iter().flat_map(DestinationDeliveries::shut_down).collect();
        let all_done = async {
            for done in &done {
                let _ = done.recv().await;
            }
            true
        };
        let timeout = async {
            self.clock.until(until_ms).await;
            false
        };
        if !future::or(all_done, timeout).await {
            for deliveries in &self.destinations {
                let intervals = deliveries.stats().backlog_intervals;
                if intervals > 0 {
                    let to = deliveries.destination.name();
                    tracing::warn!(to, intervals, "telemetry-lost-at-exit");
                }
            }
        }
    }

    /// Hands an event to the current delivery of each destination.
    fn send_to_deliveries(&self, event: &Event) {
        for deliveries in &self.destinations {
            deliveries.send(event.clone());
        }
    }
}
