//! The task of one delivery: it feeds the state machine with events and carries out its actions.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use futures_lite::future;
use pinepoint_clock::Clock;

use crate::collectd::{Notification, Severity};
use crate::delivery::{Action, ConnectionId, Delivery, DeliveryStats, Event, Message, Notice};
use crate::encoder::Encoder;
use crate::schema::Destination;
use crate::transport::{Command, ConnectionTask, EncodedMessage};

/// The sequence number of messages that need no acknowledgement.
const UNTRACKED_SEQUENCE: u64 = 0;

/// The handle of a delivery task for the rest of telemetry.
pub(super) struct DeliveryHandle {
    /// Events for the delivery.
    pub(super) events: Sender<Event>,
    /// Current statistics.
    pub(super) stats: Rc<Cell<DeliveryStats>>,
    /// Signals that all intervals were delivered after [`Event::Shutdown`].
    pub(super) done: Receiver<()>,
    /// Set once another delivery has replaced this delivery.
    pub(super) superseded: Rc<Cell<bool>>,
}

/// A connection whose task is running. Dropping it closes the connection.
struct OpenConnection {
    commands: Sender<Command>,
    _task: Task<()>,
}

/// The task of one delivery.
pub(super) struct DeliveryTask {
    destination: Destination,
    delivery: Delivery,
    encoder: Encoder,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    events: (Sender<Event>, Receiver<Event>),
    connections: HashMap<ConnectionId, OpenConnection>,
    notifications: (Sender<Notification>, Receiver<Notification>),
    stats: Rc<Cell<DeliveryStats>>,
    done: Sender<()>,
    superseded: Rc<Cell<bool>>,
}

/// The input that the task waits for.
enum Input {
    Event(Event),
    Notification(Notification),
}

impl DeliveryTask {
    /// A task that is not running yet, and its handle. `notifications` is the process's queue of
    /// notifications.
    pub(super) fn new(
        destination: Destination,
        delivery: Delivery,
        encoder: Encoder,
        clock: Clock,
        executor: Rc<LocalExecutor<'static>>,
        notifications: (Sender<Notification>, Receiver<Notification>),
    ) -> (Self, DeliveryHandle) {
        let events = async_channel::unbounded();
        let (done, done_receiver) = async_channel::bounded(1);
        let stats = Rc::new(Cell::new(DeliveryStats::default()));
        let superseded = Rc::new(Cell::new(false));
        let handle = DeliveryHandle {
            events: events.0.clone(),
            stats: stats.clone(),
            done: done_receiver,
            superseded: superseded.clone(),
        };
        let task = DeliveryTask {
            destination,
            delivery,
            encoder,
            clock,
            executor,
            events,
            connections: HashMap::new(),
            notifications,
            stats,
            done,
            superseded,
        };
        (task, handle)
    }

    /// Runs until the task is dropped.
    pub(super) async fn run(mut self) {
        let mut shutting_down = false;
        while let Some(input) = self.next_input().await {
            match input {
                Input::Event(event) => {
                    shutting_down |= matches!(event, Event::Shutdown);
                    self.handle(event);
                }
                Input::Notification(notification) => self.send_notification(&notification),
            }
            self.stats.set(self.delivery.stats());
            if shutting_down && self.delivery.is_done() {
                let _ = self.done.try_send(());
            }
        }
    }

    async fn next_input(&self) -> Option<Input> {
        let event = async { self.events.1.recv().await.ok().map(Input::Event) };
        let notification = async {
            if !self.accepts_notifications() {
                return future::pending().await;
            }
            self.notifications.1.recv().await.ok().map(Input::Notification)
        };
        let tick = async {
            match self.delivery.next_due() {
                Some(due_ms) => self.clock.until(due_ms).await,
                None => future::pending().await,
            }
            Some(Input::Event(Event::Tick))
        };
        future::or(event, future::or(notification, tick)).await
    }

    fn accepts_notifications(&self) -> bool {
        self.destination == Destination::Collectd && !self.superseded.get()
    }

    fn handle(&mut self, event: Event) {
        if let Event::Acknowledged { connection, closed: true, .. } | Event::Disconnected { connection, .. } =
            event
        {
            self.connections.remove(&connection);
        }
        let mut actions = Vec::new();
        self.delivery.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Connect { connection } => self.connect(connection),
            Action::Send { connection, sequence, message } => {
                // A message that cannot be encoded is never acknowledged, and its connection times out.
                if let Some(message) = self.encode(&message) {
                    self.command(connection, Command::Send { sequence, message });
                }
            }
            Action::RequestAck { connection } => self.command(connection, Command::RequestAck),
            Action::Disconnect { connection } => {
                self.connections.remove(&connection);
            }
            Action::Notify(notice) => self.report(notice),
        }
    }

    fn encode(&self, message: &Message) -> Option<EncodedMessage> {
        match message {
            Message::Probe => self.encoder.probe(self.clock.now()),
            Message::Points(interval, points) => self.encoder.points(interval, points),
        }
    }

    fn connect(&mut self, id: ConnectionId) {
        let name = self.delivery.receiver_name(id.receiver);
        let Some(transport) = name.and_then(|name| self.encoder.transport(name)) else { return };
        let (commands, command_receiver) = async_channel::unbounded();
        let (events, clock) = (self.events.0.clone(), self.clock.clone());
        let task = ConnectionTask { id, events, commands: command_receiver, clock };
        let task = self.executor.spawn(task.run(transport));
        self.connections.insert(id, OpenConnection { commands, _task: task });
    }

    fn command(&self, id: ConnectionId, command: Command) {
        if let Some(connection) = self.connections.get(&id) {
            let _ = connection.commands.try_send(command);
        }
    }

    /// Sends a notification over any open connection. If none is open, the notification is dropped: it
    /// describes this moment and would be out of date later.
    fn send_notification(&self, notification: &Notification) {
        let Some(connection) = self.connections.values().next() else { return };
        let Some(message) = self.encoder.notification(self.clock.now(), notification) else { return };
        let _ = connection.commands.try_send(Command::Send { sequence: UNTRACKED_SEQUENCE, message });
    }

    /// Logs a notice. A notice that a receiver goes out of service or returns is also sent as a notification.
    fn report(&self, notice: Notice) {
        let to = self.destination.name();
        match notice {
            Notice::Disconnected { receiver, reason, unacknowledged_points: doubt } => {
                tracing::info!(link = to, receiver, reason = %reason, doubt, "link-ended");
            }
            Notice::ReceiverDown { receiver, reason } => {
                tracing::warn!(to, receiver, reason = %reason, "receiver-lost");
                self.notify(Severity::Failure, format!("{to} receiver {receiver} lost: {reason}"));
            }
            Notice::ReceiverUp { receiver } => {
                tracing::info!(to, receiver, "receiver-back");
                self.notify(Severity::Okay, format!("{to} receiver {receiver} back"));
            }
            Notice::IntervalsDropped { intervals } => tracing::warn!(to, intervals, "telemetry-dropped"),
        }
    }

    fn notify(&self, severity: Severity, message: String) {
        let _ = self.notifications.0.try_send(Notification { severity, subject: "receiver", message });
    }
}
