//! Carries out what the fleet decides: one socket, one task, and answers to whoever asks for the view. It owns the socket
//! and the task; it must never decide, wait for a peer or hold up the core.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_events::{Observer, ProcessEvent, ReasonCode};

use crate::config::Config;
use crate::diagnosis::VerdictChange;
use crate::member::{Identity, Liveness, Load, MAX_NAME_BYTES, Phase};
use crate::membership::{Action, Event, Membership, MembershipView, Notification};
use crate::wire::{Codec, MAX_DATAGRAM_BYTES, Message};

/// Text in one page of a view: with its head it is never larger than the question.
pub const PAGE_BYTES: usize = 1200;
/// Snapshots that are kept for their further pages.
const MAX_SNAPSHOTS: usize = 4;
/// Members at once of which is asked whether anybody listens there.
const MAX_REFUSAL_CHECKS: u32 = 8;

/// What a member is told of its own process.
pub trait StatusSource {
    /// What it is to tell of itself.
    fn phase(&self) -> Phase;
    /// How it is loaded.
    fn load(&self) -> Load;
}

/// What the start takes beside the section of the edge file.
pub struct Dependencies {
    /// The comparer's name.
    pub name: String,
    /// Cores of its engine.
    pub cores: f64,
    /// For random numbers.
    pub seed: u64,
    /// The clock.
    pub clock: Clock,
    /// Where tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The rest of the process.
    pub source: Rc<dyn StatusSource>,
    /// Who is told when the view changes.
    pub observer: Rc<dyn Observer>,
}

/// How many datagrams went and came, and why some were not understood.
#[derive(Debug, Default)]
pub struct DatagramCounters {
    /// Sent.
    pub sent: Cell<u64>,
    /// Received and understood.
    pub received: Cell<u64>,
    /// Received and not understood.
    pub not_understood: Cell<u64>,
    /// Questions for the view from where none are allowed.
    pub not_allowed: Cell<u64>,
}

fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// This process's part in the fleet.
pub struct MembershipService {
    config: Config,
    codec: Codec,
    socket: Async<UdpSocket>,
    fleet: RefCell<Membership>,
    clock: Clock,
    source: Rc<dyn StatusSource>,
    observer: Rc<dyn Observer>,
    /// What the observer was told last.
    figures: Cell<pinepoint_events::MembershipSummary>,
    executor: Rc<LocalExecutor<'static>>,
    snapshots: RefCell<VecDeque<(u64, Rc<[u8]>)>>,
    knocks: Cell<u32>,
    /// Addresses at which nobody listens.
    refused: (Sender<SocketAddr>, Receiver<SocketAddr>),
    /// Datagrams.
    pub counts: DatagramCounters,
}

/// Opens the socket and begins to take part.
pub fn start(config: &Config, parts: Dependencies) -> io::Result<Rc<MembershipService>> {
    let Dependencies { name, cores, seed, clock, executor, source, observer } = parts;
    if name.len() > MAX_NAME_BYTES {
        let wrong = format!(
            "the comparer's name has {} bytes, and {MAX_NAME_BYTES} are the most in a fleet",
            name.len()
        );
        return Err(io::Error::new(io::ErrorKind::InvalidInput, wrong));
    }
    let socket = Async::<UdpSocket>::bind(config.listen)?;
    let address = config.advertise.map_or_else(|| socket.get_ref().local_addr(), Ok)?;
    let instance = instance(&clock, address);
    let cores = cores.round().clamp(0.0, f64::from(u16::MAX)) as u16;
    let identity = Identity { name, zone: config.zone.clone(), address, cores, instance };
    let fleet = Membership::new(
        config.rules(),
        clock.now(),
        identity,
        config.seeds.clone(),
        seed ^ u64::from(instance),
    );
    tracing::info!(listen = %address, zone = config.zone, fleet = config.name, "fleet");
    let member = Rc::new(MembershipService {
        codec: Codec::new(&config.name),
        config: config.clone(),
        socket,
        fleet: RefCell::new(fleet),
        clock,
        source,
        observer,
        figures: Cell::default(),
        executor: executor.clone(),
        snapshots: RefCell::default(),
        knocks: Cell::new(0),
        refused: async_channel::bounded(64),
        counts: DatagramCounters::default(),
    });
    executor.spawn(member.clone().run()).detach();
    Ok(member)
}

/// A number that no other process of this name has: from what differs between two of them, under a key drawn by the
/// system.
fn instance(clock: &Clock, address: SocketAddr) -> u32 {
    RandomState::new().hash_one((std::process::id(), address, clock.now().to_bits())) as u32
}

enum Wake {
    Due,
    Came(usize, SocketAddr),
    Refused(SocketAddr),
    Nothing,
}

impl MembershipService {
    /// The view now.
    pub fn view(&self) -> MembershipView {
        self.fleet.borrow().view(self.clock.now())
    }

    async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let due = self.fleet.borrow().next_due();
            // However much comes in, what is due is done.
            if self.clock.now() >= due {
                self.step();
                continue;
            }
            let timer = async {
                self.clock.until(due).await;
                Wake::Due
            };
            let came = async {
                // What is told of an earlier datagram is no reason to stop hearing.
                self.socket
                    .recv_from(&mut buffer)
                    .await
                    .map_or(Wake::Nothing, |(n, from)| Wake::Came(n, from))
            };
            let refused = async { self.refused.1.recv().await.map_or(Wake::Nothing, Wake::Refused) };
            match future::or(came, future::or(refused, timer)).await {
                Wake::Due => self.step(),
                Wake::Came(n, from) => self.came(&buffer[..n], from),
                Wake::Refused(address) => self.handle(Event::ConnectionRefused(address)),
                Wake::Nothing => {}
            }
        }
    }

    fn step(self: &Rc<Self>) {
        self.handle(Event::PhaseChanged(self.source.phase()));
        self.handle(Event::LoadChanged(self.source.load()));
        self.handle(Event::Tick);
        let now = self.clock.now();
        let figures = self.fleet.borrow().figures(now);
        if figures != self.figures.replace(figures) {
            self.observer.process_event(now, ProcessEvent::MembershipChanged(figures));
        }
    }

    /// Tells the last word: others need not guess.
    pub fn leave(self: &Rc<Self>) {
        self.handle(Event::PhaseChanged(Phase::Left));
    }

    fn handle(self: &Rc<Self>, event: Event) {
        let mut out = Vec::new();
        self.fleet.borrow_mut().handle(self.clock.now(), event, &mut out);
        for action in out {
            match action {
                Action::Send(to, packet) => self.send(to, &Message::Peer(packet)),
                Action::Notify(told) => self.tell(&told),
            }
        }
    }

    fn send(&self, to: SocketAddr, message: &Message) {
        let bytes = match self.codec.encode(message) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::error!(%to, %error, "fleet-not-sent");
                return;
            }
        };
        // A datagram that does not go out at once is as good as lost on the way.
        if self.socket.get_ref().send_to(&bytes, to).is_ok() {
            count(&self.counts.sent);
        }
    }

    fn came(self: &Rc<Self>, bytes: &[u8], from: SocketAddr) {
        // Somebody asks the system whether anybody listens here: see `knock`.
        if bytes.is_empty() {
            return;
        }
        match self.codec.decode(bytes) {
            Ok(Message::Peer(packet)) => {
                count(&self.counts.received);
                self.handle(Event::PacketReceived(packet));
            }
            Ok(Message::ViewRequest { id, page, .. }) => self.answer(id, page, bytes.len(), from),
            Ok(Message::ViewPage { .. }) => {}
            Err(error) => {
                count(&self.counts.not_understood);
                tracing::debug!(%from, %error, "fleet-not-understood");
            }
        }
    }

    /// A page of the view, to those who may ask, and never larger than the question.
    fn answer(&self, id: u64, page: u16, asked: usize, from: SocketAddr) {
        if !self.config.may_ask(from.ip()) {
            count(&self.counts.not_allowed);
            tracing::warn!(%from, reason = "not-allowed", "fleet-view-refused");
            return;
        }
        let mut snapshots = self.snapshots.borrow_mut();
        let kept = snapshots.iter().find(|(kept, _)| *kept == id).map(|(_, text)| text.clone());
        let text = kept.unwrap_or_else(|| {
            let text: Rc<[u8]> = serde_json::to_vec(&self.view()).unwrap_or_default().into();
            if snapshots.len() >= MAX_SNAPSHOTS {
                snapshots.pop_front();
            }
            snapshots.push_back((id, text.clone()));
            text
        });
        let pages = text.len().div_ceil(PAGE_BYTES).min(usize::from(u16::MAX)) as u16;
        let Some(part) = text.chunks(PAGE_BYTES).nth(usize::from(page)) else { return };
        let message = Message::ViewPage { id, page, pages, text: part.to_vec() };
        if self.codec.encode(&message).is_ok_and(|bytes| bytes.len() <= asked) {
            self.send(from, &message);
        }
    }

    fn tell(self: &Rc<Self>, told: &Notification) {
        match told {
            Notification::MemberChanged { record, new } => {
                let (name, zone) = (&record.identity.name, &record.identity.zone);
                tracing::info!(
                    name,
                    zone,
                    reason = record.state(),
                    start = record.start,
                    new,
                    "fleet-member"
                );
                if record.liveness == Liveness::Suspected {
                    self.knock(record.identity.address);
                }
            }
            Notification::VerdictChanged(VerdictChange { verdict, holds }) => {
                let (of, evidence, sure) = (&verdict.of, &verdict.evidence, verdict.confidence);
                tracing::warn!(reason = verdict.kind.code(), of, holds, sure, evidence, "fleet-verdict");
            }
            Notification::Stalled(late_ms) => tracing::warn!(reason = "own-trouble", late_ms, "fleet-self"),
            Notification::Refuted(liveness) => {
                tracing::warn!(reason = "refuted", held = liveness.code(), "fleet-self");
            }
            Notification::GenerationRaised(start) => {
                tracing::warn!(reason = "start-raised", start, "fleet-self")
            }
            Notification::RecordRejected(why, name) => {
                tracing::warn!(reason = why.code(), name, "fleet-disbelieved")
            }
            Notification::SettledChanged(settled) => tracing::info!(settled, "fleet-view"),
        }
    }

    /// Asks the system whether anybody listens there: a socket of its own hears of a refusal, the shared one does not.
    fn knock(self: &Rc<Self>, address: SocketAddr) {
        if self.knocks.get() >= MAX_REFUSAL_CHECKS {
            return;
        }
        self.knocks.set(self.knocks.get() + 1);
        let (member, period) = (self.clone(), Duration::from_secs_f64(self.config.period_ms / 1000.0));
        let knock = async move {
            let asked = async {
                let socket = Async::new(towards(address)?)?;
                socket.send(&[]).await?;
                socket.recv(&mut [0; 1]).await
            };
            let late = async {
                Timer::after(period).await;
                Err(io::ErrorKind::TimedOut.into())
            };
            let answer = future::or(asked, late).await;
            if answer.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused) {
                let _ = member.refused.0.try_send(address);
            }
            member.knocks.set(member.knocks.get() - 1);
        };
        self.executor.spawn(knock).detach();
    }
}

/// A socket of its own that hears that address only, its system's refusals included.
fn towards(address: SocketAddr) -> io::Result<UdpSocket> {
    let any: SocketAddr = if address.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0; 16], 0).into() };
    let socket = UdpSocket::bind(any)?;
    socket.connect(address)?;
    Ok(socket)
}

/// Why there is no view.
#[derive(Debug)]
pub enum QueryError {
    /// The system does not give a socket, or does not send.
    System(io::Error),
    /// Nobody answered: not running, another fleet's name, or not allowed to ask.
    NoAnswer,
    /// What came is no view.
    NotAView(serde_json::Error),
}

impl std::fmt::Display for QueryError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            QueryError::System(error) => write!(f, "{error}"),
            QueryError::NoAnswer => f.write_str(
                "no answer: no member listens there, its fleet has another name (--fleet), or it may not be asked from here \
                 (view_from)",
            ),
            QueryError::NotAView(error) => write!(f, "what came is no view: {error}"),
        }
    }
}

impl std::error::Error for QueryError {}

impl From<io::Error> for QueryError {
    fn from(error: io::Error) -> Self {
        QueryError::System(error)
    }
}

/// Asks the member at this address for its view, as JSON. Each page is asked for up to `tries` times, `wait` each.
pub fn query_view(
    fleet: &str,
    at: SocketAddr,
    tries: u32,
    wait: Duration,
) -> Result<serde_json::Value, QueryError> {
    let codec = Codec::new(fleet);
    let socket = towards(at)?;
    socket.set_read_timeout(Some(wait))?;
    let id = RandomState::new().hash_one((std::process::id(), socket.local_addr()?));
    let (mut text, mut page) = (Vec::new(), 0);
    loop {
        let (part, pages) = ask_page(&codec, &socket, (id, page), tries)?;
        text.extend(part);
        page += 1;
        if page >= pages {
            return serde_json::from_slice(&text).map_err(QueryError::NotAView);
        }
    }
}

fn ask_page(
    codec: &Codec,
    socket: &UdpSocket,
    (id, page): (u64, u16),
    tries: u32,
) -> Result<(Vec<u8>, u16), QueryError> {
    let question = Message::ViewRequest { id, page, pad: vec![0; MAX_DATAGRAM_BYTES - 40] };
    let bytes = codec.encode(&question).map_err(|_| QueryError::NoAnswer)?;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    for _ in 0..tries.max(1) {
        // Refused by its system is told at the next call: nobody listens there, or not yet.
        if socket.send(&bytes).is_err() {
            continue;
        }
        while let Ok(n) = socket.recv(&mut buffer) {
            if let Ok(Message::ViewPage { id: i, page: p, pages, text }) = codec.decode(&buffer[..n])
                && (i, p) == (id, page)
            {
                return Ok((text, pages));
            }
        }
    }
    Err(QueryError::NoAnswer)
}
