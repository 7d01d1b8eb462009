//! The membership service, which owns the socket and the task that receives, ticks and sends.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_events::{MembershipSummary, Observer, ProcessEvent};

use super::refusal_check::RefusalChecks;
use super::report;
use super::view_server::ViewServer;
use crate::config::Config;
use crate::member::{Identity, Liveness, Load, MAX_NAME_BYTES, Phase};
use crate::membership::{Action, Event, Membership, MembershipView, Notification};
use crate::wire::{Codec, MAX_DATAGRAM_BYTES, Message, Packet};

/// Source of the process status that a member announces.
pub trait StatusSource {
    /// The phase that the member announces.
    fn phase(&self) -> Phase;
    /// The load of the process.
    fn load(&self) -> Load;
}

/// The inputs of [`start`] besides the configuration.
pub struct Dependencies {
    /// Name of this member, 1 to 64 bytes.
    pub name: String,
    /// Cores of its engine.
    pub cores: f64,
    /// Seed of its random choices.
    pub seed: u64,
    /// The clock of the process.
    pub clock: Clock,
    /// Executor that runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The status of the process.
    pub source: Rc<dyn StatusSource>,
    /// Receives changes of the view.
    pub observer: Rc<dyn Observer>,
}

/// This process's membership in the fleet.
pub struct MembershipService {
    config: Config,
    codec: Codec,
    socket: Async<UdpSocket>,
    membership: RefCell<Membership>,
    clock: Clock,
    source: Rc<dyn StatusSource>,
    observer: Rc<dyn Observer>,
    /// The summary that was last reported to the observer.
    reported_summary: Cell<MembershipSummary>,
    view_server: RefCell<ViewServer>,
    refusal_checks: RefusalChecks,
}

/// Opens the socket and spawns the task of a member. The task runs for as long as the executor does.
///
/// Fails if the name is too long, or if the socket cannot be bound to the address.
pub fn start(config: &Config, dependencies: Dependencies) -> io::Result<Rc<MembershipService>> {
    let Dependencies { name, cores, seed, clock, executor, source, observer } = dependencies;
    if name.len() > MAX_NAME_BYTES {
        let length = name.len();
        let error =
            format!("the comparer's name has {length} bytes, but a fleet allows at most {MAX_NAME_BYTES}");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, error));
    }
    let socket = Async::<UdpSocket>::bind(config.listen)?;
    let address = config.advertise.map_or_else(|| socket.get_ref().local_addr(), Ok)?;
    let instance = random_instance(&clock, address);
    let cores = cores.round().clamp(0.0, f64::from(u16::MAX)) as u16;
    let identity = Identity { name, zone: config.zone.clone(), address, cores, instance };
    let membership = Membership::new(
        config.membership_settings(),
        clock.now(),
        identity,
        config.seeds.clone(),
        seed ^ u64::from(instance),
    );
    tracing::info!(listen = %address, zone = config.zone, fleet = config.name, "fleet");
    let service = Rc::new(MembershipService {
        codec: Codec::new(&config.name),
        config: config.clone(),
        socket,
        membership: RefCell::new(membership),
        clock,
        source,
        observer,
        reported_summary: Cell::default(),
        view_server: RefCell::default(),
        refusal_checks: RefusalChecks::new(executor.clone(), config.period_ms),
    });
    executor.spawn(service.clone().run()).detach();
    Ok(service)
}

/// A number that distinguishes this process from others of the same name: a hash of values that differ
/// between processes, under a random key of the system.
fn random_instance(clock: &Clock, address: SocketAddr) -> u32 {
    RandomState::new().hash_one((std::process::id(), address, clock.now().to_bits())) as u32
}

/// The event that woke the task.
enum Wake {
    TickDue,
    DatagramReceived {
        length: usize,
        from: SocketAddr,
    },
    ConnectionRefused(SocketAddr),
    /// An error caused by an earlier datagram. The task continues to receive.
    Error,
}

impl MembershipService {
    /// The current view.
    pub fn view(&self) -> MembershipView {
        self.membership.borrow().view(self.clock.now())
    }

    /// Announces that this member has left, so that others need not detect it.
    pub fn leave(&self) {
        self.handle(Event::PhaseChanged(Phase::Left));
    }

    async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due_ms = self.membership.borrow().next_due();
            // A due tick is handled before received datagrams, so that a flood of datagrams cannot delay it.
            if self.clock.now() >= due_ms {
                self.tick();
                continue;
            }
            match self.wait(due_ms, &mut buffer).await {
                Wake::TickDue => self.tick(),
                Wake::DatagramReceived { length, from } => self.receive(&buffer[..length], from),
                Wake::ConnectionRefused(address) => self.handle(Event::ConnectionRefused(address)),
                Wake::Error => {}
            }
        }
    }

    async fn wait(&self, due_ms: f64, buffer: &mut [u8]) -> Wake {
        let tick = async {
            self.clock.until(due_ms).await;
            Wake::TickDue
        };
        let datagram = async {
            let received = self.socket.recv_from(buffer).await;
            received.map_or(Wake::Error, |(length, from)| Wake::DatagramReceived { length, from })
        };
        let refusal =
            async { self.refusal_checks.next_refused().await.map_or(Wake::Error, Wake::ConnectionRefused) };
        future::or(datagram, future::or(refusal, tick)).await
    }

    fn tick(&self) {
        self.handle(Event::PhaseChanged(self.source.phase()));
        self.handle(Event::LoadChanged(self.source.load()));
        self.handle(Event::Tick);
        let now = self.clock.now();
        let summary = self.membership.borrow().summary(now);
        if summary != self.reported_summary.replace(summary) {
            self.observer.process_event(now, ProcessEvent::MembershipChanged(summary));
        }
    }

    fn handle(&self, event: Event) {
        let mut actions = Vec::new();
        self.membership.borrow_mut().handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Send(to, packet) => self.send_packet(to, packet),
                Action::Notify(notification) => self.notify(&notification),
            }
        }
    }

    fn notify(&self, notification: &Notification) {
        report::log(notification);
        if let Notification::MemberChanged { record, .. } = notification
            && record.liveness == Liveness::Suspected
        {
            self.refusal_checks.check(record.identity.address);
        }
    }

    fn send_packet(&self, to: SocketAddr, packet: Packet) {
        match self.codec.encode(&Message::Peer(packet)) {
            Ok(bytes) => self.send_datagram(to, &bytes),
            Err(error) => tracing::error!(%to, %error, "fleet-not-sent"),
        }
    }

    /// Sends a datagram. If the system does not accept it at once, it counts as lost on the network.
    fn send_datagram(&self, to: SocketAddr, bytes: &[u8]) {
        let _ = self.socket.get_ref().send_to(bytes, to);
    }

    fn receive(&self, bytes: &[u8], from: SocketAddr) {
        // An empty datagram is another member's check that this process listens, see `refusal_check`.
        if bytes.is_empty() {
            return;
        }
        match self.codec.decode(bytes) {
            Ok(Message::Peer(packet)) => self.handle(Event::PacketReceived(packet)),
            Ok(Message::ViewRequest { snapshot_id, page, .. }) => {
                self.answer_view_request(snapshot_id, page, bytes.len(), from);
            }
            Ok(Message::ViewPage { .. }) => {}
            Err(error) => tracing::debug!(%from, %error, "fleet-not-understood"),
        }
    }

    /// Sends a page of the view if the client may query it. The answer is never larger than the request.
    fn answer_view_request(&self, snapshot_id: u64, page: u16, request_bytes: usize, from: SocketAddr) {
        if !self.config.may_query_view(from.ip()) {
            tracing::warn!(%from, reason = "not-allowed", "fleet-view-refused");
            return;
        }
        let answer = self.view_server.borrow_mut().page(snapshot_id, page, || self.view());
        let Some(answer) = answer else { return };
        if let Ok(bytes) = self.codec.encode(&answer)
            && bytes.len() <= request_bytes
        {
            self.send_datagram(from, &bytes);
        }
    }
}
