//! Carries out what the delivery decides, ends the intervals and is the core's observer. It owns the tasks of telemetry;
//! it must never delay the core: what it is told is counted at once, and everything else happens in tasks of its own.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::{LocalExecutor, Task};
use futures_lite::future;
use pinepoint_clock::Clock;
use pinepoint_events::{CoreState, Observer, ProcessEvent, ReasonCode, RequestEvent, ResourceLimit};

use crate::accounts::{Accounts, Class};
use crate::collectd::{Lists, Notification, Protection, Secret, Severity};
use crate::config::{self, CollectdProtocol, GraphiteProtocol, Place, Security, Types};
use crate::delivery::{Action, Delivery, Event, Figures, Load, Notice, Rules};
use crate::graphite::{self, Form};
use crate::links::{Bytes, Command, Link, Way};
use crate::names::Naming;
use crate::schema::{DELIVERY_COUNTS, DELIVERY_GAUGES, DESTINATIONS, STATE, Schema};
use crate::slots::{Ended, Slots};
use crate::snapshot::{Counting, Interval, Snapshot};

/// Places in [`DESTINATIONS`].
const GRAPHITE: usize = 0;
const COLLECTD: usize = 1;
/// Wait for the core's state after it was asked for, ms; then it is asked again.
const ASK_MS: f64 = 1000.0;
/// Between two notifications about one limit, ms.
const LIMIT_MS: f64 = 60_000.0;
/// Notifications that may wait to be sent; what comes then is left out.
const NOTIFICATIONS_MOST: usize = 64;
/// Least intervals that a spool can hold beside those in its window.
const BESIDE_WINDOW: usize = 4;
/// Deliveries of narrower schemas that a destination may still be working off; what an older one holds is dropped.
const SUPERSEDED_MOST: usize = 2;

/// What operators chose.
#[derive(Clone, Debug, Default)]
pub struct Setup {
    /// For all destinations.
    pub telemetry: config::Telemetry,
    /// Graphite, if it is on.
    pub graphite: Option<config::Graphite>,
    /// collectd, if it is on.
    pub collectd: Option<config::Collectd>,
}

impl Setup {
    /// Whether anything is to be sent anywhere.
    pub fn is_off(&self) -> bool {
        self.graphite.is_none() && self.collectd.is_none()
    }
}

/// What telemetry needs from the rest of the process.
pub trait Source {
    /// Asks the core to tell its state to its observer. Must not wait.
    fn ask(&self);
    /// Counts of the node, in the order of their names in the schema.
    fn counts(&self) -> Vec<u64>;
    /// Memory of the process, kB, and descriptors that it has open.
    fn process(&self) -> (u64, u64);
    /// Lines left out of the log.
    fn log_lines_left_out(&self) -> u64;
}

/// What is told at the start.
pub struct Parts {
    /// The series.
    pub schema: Rc<Schema>,
    /// For judging what is done, in the order of the schema's classes.
    pub classes: Vec<Class>,
    /// Worth counts for each unit of work.
    pub by_work: bool,
    /// The comparer's name.
    pub host: String,
    /// The clock.
    pub clock: Clock,
    /// Where tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// For random numbers.
    pub seed: u64,
    /// The rest of the process.
    pub source: Rc<dyn Source>,
}

/// Telemetry of one process.
pub struct Telemetry {
    schema: RefCell<Rc<Schema>>,
    clock: Clock,
    source: Rc<dyn Source>,
    accounts: RefCell<Accounts>,
    /// Totals at the end of the last interval: what a new delivery counts from.
    last_totals: RefCell<Rc<[f64]>>,
    setup: Setup,
    slots: Cell<Slots>,
    /// An interval is due, and the core was asked for its state.
    due: Cell<bool>,
    cut: (Sender<()>, Receiver<()>),
    last_state: RefCell<CoreState>,
    fleet: Cell<pinepoint_events::MembershipSummary>,
    leaving: Cell<Option<f64>>,
    limits: RefCell<HashMap<&'static str, f64>>,
    destinations: [RefCell<Option<Destination>>; DESTINATIONS.len()],
    /// Deliveries whose schema lacks classes that were added since: they send what they have and take no more.
    superseded: [RefCell<Vec<Destination>>; DESTINATIONS.len()],
    /// Figures of the superseded ones that are gone.
    past: [Cell<Figures>; DESTINATIONS.len()],
    /// To the one destination that takes notifications; nobody listens where it is off.
    notifications: (Sender<Notification>, Receiver<Notification>),
    host: String,
    executor: Rc<LocalExecutor<'static>>,
    seed: Cell<u64>,
}

/// A destination as the rest of telemetry sees it.
struct Destination {
    events: Sender<Event>,
    figures: Rc<Cell<Figures>>,
    _task: Task<()>,
    done: Receiver<()>,
    receivers: Vec<String>,
    superseded: Rc<Cell<bool>>,
}

impl Telemetry {
    /// Begins to count, and to send where the setup says.
    pub fn start(setup: &Setup, parts: Parts) -> Rc<Self> {
        let Parts { schema, classes, by_work, host, clock, executor, seed, source } = parts;
        let slots = Slots::new(clock.now(), setup.telemetry.every_s.get() as u64);
        let telemetry = Rc::new(Telemetry {
            accounts: RefCell::new(Accounts::new(schema.clone(), classes, by_work)),
            last_totals: RefCell::new(vec![0.0; schema.counts()].into()),
            schema: RefCell::new(schema),
            setup: setup.clone(),
            clock,
            source,
            slots: Cell::new(slots),
            due: Cell::new(false),
            cut: async_channel::bounded(1),
            last_state: RefCell::default(),
            fleet: Cell::default(),
            leaving: Cell::new(None),
            limits: RefCell::default(),
            destinations: Default::default(),
            superseded: Default::default(),
            past: Default::default(),
            notifications: async_channel::bounded(NOTIFICATIONS_MOST),
            host,
            executor: executor.clone(),
            seed: Cell::new(seed),
        });
        telemetry.set_up();
        let cutter = telemetry.clone();
        executor.spawn(async move { cutter.cut_intervals().await }).detach();
        telemetry
    }

    /// Takes the receivers of the setup from now on. A destination that was off or is off now, and anything else about
    /// one, needs a new start; tells what of it was left alone.
    pub fn reload(&self, setup: &Setup) -> Vec<&'static str> {
        let mut left_alone = Vec::new();
        let told = [
            setup.graphite.as_ref().map(|graphite| graphite.receivers.names().to_vec()),
            setup.collectd.as_ref().map(|collectd| vec![collectd.address.to_string()]),
        ];
        for ((names, destination), what) in told.into_iter().zip(&self.destinations).zip(DESTINATIONS) {
            match (names, destination.borrow_mut().as_mut()) {
                (Some(names), Some(destination)) if names != destination.receivers => {
                    destination.receivers.clone_from(&names);
                    let _ = destination.events.try_send(Event::Receivers(names));
                }
                (Some(_), Some(_)) | (None, None) => {}
                _ => left_alone.push(what),
            }
        }
        left_alone
    }

    /// Goes on with these classes, by index: their names, and what they are judged by. The first must be those there
    /// were. Classes of one name share their series, and a name that is new gets series of its own.
    pub fn set_classes(&self, names: &[String], classes: Vec<Class>, by_work: bool) {
        let before = self.schema();
        let mut series_names = before.classes().to_vec();
        let mut series = Vec::new();
        for name in names {
            let at = series_names.iter().position(|known| known == name).unwrap_or(series_names.len());
            if at == series_names.len() {
                series_names.push(name.clone());
            }
            series.push(at);
        }
        let is_wider = series_names.len() > before.classes().len();
        let schema = if is_wider { Rc::new(before.with_classes(&series_names)) } else { before.clone() };
        self.accounts.borrow_mut().set_classes(schema.clone(), classes, series, by_work);
        if is_wider {
            let totals = schema.widen(&before, &self.last_totals.borrow());
            *self.last_totals.borrow_mut() = totals.into();
            *self.schema.borrow_mut() = schema;
            self.supersede();
        }
    }

    /// Puts a delivery with the schema of now in the place of each. The old ones send what they have.
    fn supersede(&self) {
        let receivers: Vec<Option<Vec<String>>> = self
            .destinations
            .iter()
            .map(|destination| destination.borrow().as_ref().map(|destination| destination.receivers.clone()))
            .collect();
        for (at, destination) in self.destinations.iter().enumerate() {
            let Some(destination) = destination.take() else { continue };
            destination.superseded.set(true);
            let _ = destination.events.try_send(Event::Leave);
            let mut superseded = self.superseded[at].borrow_mut();
            superseded.push(destination);
            while superseded.len() > SUPERSEDED_MOST {
                let figures = superseded.remove(0).figures.get();
                if figures.backlog > 0 {
                    tracing::warn!(to = DESTINATIONS[at], intervals = figures.backlog, "telemetry-dropped");
                }
                let dropped = figures.dropped + figures.backlog as u64;
                self.add_past(at, Figures { dropped, ..figures });
            }
        }
        self.set_up();
        // Those of a reload since the start stay.
        for (receivers, destination) in receivers.into_iter().zip(&self.destinations) {
            if let (Some(names), Some(destination)) = (receivers, destination.borrow_mut().as_mut())
                && names != destination.receivers
            {
                destination.receivers.clone_from(&names);
                let _ = destination.events.try_send(Event::Receivers(names));
            }
        }
    }

    fn add_past(&self, at: usize, figures: Figures) {
        let gone = Figures { backlog: 0, backlog_bytes: 0, down: 0, ..figures };
        self.past[at].set(self.past[at].get().plus(gone));
    }

    /// Figures of a destination since the start, all its deliveries together.
    fn figures(&self, at: usize) -> Figures {
        self.superseded[at].borrow_mut().retain(|destination| {
            let figures = destination.figures.get();
            let has_left = destination.done.try_recv().is_ok() && figures.backlog == 0;
            if has_left {
                self.add_past(at, figures);
            }
            !has_left
        });
        let superseded = self.superseded[at].borrow();
        let current = self.destinations[at].borrow();
        let all = superseded.iter().chain(current.iter()).map(|destination| destination.figures.get());
        all.fold(self.past[at].get(), Figures::plus)
    }

    fn schema(&self) -> Rc<Schema> {
        self.schema.borrow().clone()
    }

    fn set_up(&self) {
        let (setup, schema) = (&self.setup, self.schema());
        let every_ms = setup.telemetry.every_s.get() as f64 * 1000.0;
        if let Some(graphite) = &setup.graphite {
            let wire = Wire::graphite(&schema, &self.host, graphite);
            let names = graphite.receivers.names().to_vec();
            self.add(GRAPHITE, wire, names, graphite.rules(every_ms));
        }
        if let Some(collectd) = &setup.collectd {
            let wire = Wire::collectd(&schema, &self.host, every_ms, collectd);
            self.add(COLLECTD, wire, vec![collectd.address.to_string()], collectd.rules(every_ms));
        }
    }

    fn add(&self, at: usize, wire: Wire, receivers: Vec<String>, mut rules: Rules) {
        let (base, schema) = (self.last_totals.borrow().clone(), self.schema());
        // A window that leaves room for some intervals beside it, however many classes there are.
        let one = schema.counts() * 8 + schema.gauges() * 8 + schema.dists() * 400 + wire.paths().len() * 8;
        let room = (rules.spool.bytes / one.max(1)).saturating_sub(BESIDE_WINDOW);
        rules.spool.window = rules.spool.window.min(room).max(2);
        self.seed.set(self.seed.get().wrapping_add(0x9e37_79b9_7f4a_7c15));
        let delivery = Delivery::new(rules, &receivers, wire.paths(), base, self.seed.get());
        let (events, told) = async_channel::unbounded();
        let (done, is_done) = async_channel::bounded(1);
        let figures = Rc::new(Cell::new(Figures::default()));
        let superseded = Rc::new(Cell::new(false));
        let driver = Driver {
            what: DESTINATIONS[at],
            delivery,
            wire,
            schema,
            clock: self.clock.clone(),
            executor: self.executor.clone(),
            told,
            events: events.clone(),
            notify: self.notifications.0.clone(),
            notifications: (at == COLLECTD).then(|| self.notifications.1.clone()),
            links: HashMap::new(),
            figures: figures.clone(),
            done,
            superseded: superseded.clone(),
        };
        let task = self.executor.spawn(driver.run());
        let destination = Destination { events, figures, _task: task, done: is_done, receivers, superseded };
        *self.destinations[at].borrow_mut() = Some(destination);
    }

    /// Ends intervals for ever.
    async fn cut_intervals(&self) {
        loop {
            self.clock.until(self.slots.get().due_ms()).await;
            if self.clock.now() < self.slots.get().due_ms() {
                continue;
            }
            self.due.set(true);
            self.source.ask();
            let late = async {
                self.clock.pause(ASK_MS).await;
            };
            let cut = async {
                // Both ends live as long as this value does.
                let _ = self.cut.1.recv().await;
            };
            future::or(cut, late).await;
        }
    }

    /// Makes a snapshot of an interval that ended and hands it to all destinations.
    fn snapshot(&self, ended: Ended, state: &CoreState) {
        let schema = self.schema();
        let mut accounts = self.accounts.borrow_mut();
        let law_off = accounts.law_off(state);
        accounts.set(schema.node().start, &self.source.counts());
        accounts.set(schema.log_lines(), &[self.source.log_lines_left_out()]);
        let mut gauges = vec![0.0; schema.gauges()];
        for (gauge, open) in gauges.iter_mut().zip(&accounts.open_by_series(state)) {
            *gauge = *open as f64;
        }
        let (state_at, module, law_at) = schema.state();
        let (memory_kb, descriptors) = self.source.process();
        let leaving = u64::from(self.leaving.get().is_some());
        let fleet = self.fleet.get();
        let told: [u64; STATE.len()] = [
            state.held,
            state.waiting,
            state.running,
            state.calls,
            state.keys,
            state.results_bytes,
            state.connections,
            memory_kb,
            descriptors,
            leaving,
            fleet.up.into(),
            fleet.suspected.into(),
            fleet.lost.into(),
            fleet.verdicts.into(),
            fleet.settled.into(),
        ];
        for (gauge, value) in gauges[state_at..].iter_mut().zip(told) {
            *gauge = value as f64;
        }
        for (gauge, (_, value)) in gauges[module].iter_mut().zip(&state.module) {
            *gauge = *value;
        }
        for at in 0..DESTINATIONS.len() {
            let figures = self.figures(at);
            let (counts_at, gauges_at) = schema.delivery(at);
            let counts: [u64; DELIVERY_COUNTS.len()] = [
                figures.merged,
                figures.dropped,
                figures.sent,
                figures.doubted,
                figures.receipts,
                figures.breaks,
            ];
            accounts.set(counts_at, &counts);
            let told: [f64; DELIVERY_GAUGES.len()] =
                [figures.backlog as f64, figures.backlog_bytes as f64 / 1024.0, figures.down as f64];
            gauges[gauges_at..gauges_at + told.len()].copy_from_slice(&told);
        }
        gauges[law_at] = law_off;
        let (totals, dists) = accounts.cut();
        *self.last_totals.borrow_mut() = totals.clone();
        let Ended { slot_s, span_ms } = ended;
        let snapshot = Snapshot { slot_s, slots: 1, span_ms, totals, gauges: gauges.into(), dists };
        if law_off != 0.0 {
            tracing::error!(law_off, slot_s, "counts-do-not-add-up");
        }
        for destination in &self.destinations {
            if let Some(destination) = destination.borrow().as_ref() {
                let _ = destination.events.try_send(Event::Interval(snapshot.clone()));
            }
        }
    }

    fn notify(&self, severity: Severity, what: &'static str, message: String) {
        let _ = self.notifications.0.try_send(Notification { severity, what, message });
    }

    /// After the core has ended: sends what is left and waits for it, until this time, ms, at the latest.
    pub async fn finish(&self, until_ms: f64) {
        let mut waits = Vec::new();
        for (destination, superseded) in self.destinations.iter().zip(&self.superseded) {
            for destination in superseded.borrow().iter().chain(destination.borrow().as_ref()) {
                let _ = destination.events.try_send(Event::Leave);
                waits.push(destination.done.clone());
            }
        }
        let all = async {
            for done in &waits {
                let _ = done.recv().await;
            }
            true
        };
        let late = async {
            self.clock.until(until_ms).await;
            false
        };
        if !future::or(all, late).await {
            for (at, what) in DESTINATIONS.into_iter().enumerate() {
                let left = self.figures(at).backlog;
                if left > 0 {
                    tracing::warn!(to = what, intervals = left, "telemetry-lost-at-exit");
                }
            }
        }
    }
}

impl Observer for Telemetry {
    fn request_event(&self, _: f64, fact: RequestEvent) {
        self.accounts.borrow_mut().note(&fact);
    }

    fn process_event(&self, now: f64, turn: ProcessEvent) {
        match turn {
            ProcessEvent::Started { .. } => {}
            ProcessEvent::MembershipChanged(fleet) => self.fleet.set(fleet),
            ProcessEvent::Draining { kill_ms } => {
                self.leaving.set(Some(kill_ms));
                self.notify(Severity::Warning, "drain", "drain begun".into());
            }
            ProcessEvent::Stopped => {
                let mut slots = self.slots.get();
                let ended = slots.end_last(now);
                self.slots.set(slots);
                let state = self.last_state.borrow().clone();
                self.snapshot(ended, &state);
            }
            ProcessEvent::LimitReached(limit) => {
                let mut limits = self.limits.borrow_mut();
                let last = limits.entry(limit.code()).or_insert(f64::NEG_INFINITY);
                if now >= *last + LIMIT_MS {
                    *last = now;
                    let what = match limit {
                        ResourceLimit::Connections => "limit of connections reached: one had to give way",
                        ResourceLimit::Results => "limit of kept results reached: one was dropped",
                        ResourceLimit::Unread => "limit of unread answers reached: a connection was ended",
                    };
                    self.notify(Severity::Warning, "limit", what.into());
                }
            }
        }
    }

    fn core_state(&self, now: f64, state: &CoreState) {
        state.clone_into(&mut self.last_state.borrow_mut());
        let mut slots = self.slots.get();
        if let Some(ended) = self.due.replace(false).then(|| slots.end(now)).flatten() {
            self.slots.set(slots);
            self.snapshot(ended, state);
            let _ = self.cut.0.try_send(());
        }
    }
}

/// The bytes of a destination.
enum Wire {
    Graphite {
        form: Form,
        counting: Counting,
        paths: Rc<[String]>,
        probe: String,
        receipt: config::Receipt,
        udp: bool,
    },
    Collectd {
        lists: Rc<Lists>,
        names: Rc<[String]>,
        protection: Protection,
        text: bool,
    },
}

impl Wire {
    fn graphite(schema: &Schema, host: &str, graphite: &config::Graphite) -> Wire {
        let naming = Naming { prefix: graphite.prefix.clone(), host: host.to_owned(), tags: graphite.tags };
        let paths: Rc<[String]> = naming.paths(schema).into();
        let (form, counting, udp) = match graphite.protocol {
            GraphiteProtocol::Plaintext => (Form::Plaintext, Counting::Interval, false),
            GraphiteProtocol::Pickle => (Form::Pickle, Counting::Interval, false),
            // Of what is lost on the way nobody hears.
            GraphiteProtocol::Udp => (Form::Plaintext, Counting::Total, true),
        };
        // Beside `span_s`, the last of the gauges, which every process has.
        let last = &paths[schema.counts() + schema.gauges() - 1];
        let probe = last.replace("span_s", "probe");
        Wire::Graphite { form, counting, paths, probe, receipt: graphite.receipt, udp }
    }

    fn collectd(schema: &Schema, host: &str, every_ms: f64, collectd: &config::Collectd) -> Wire {
        let types = match collectd.types {
            Types::Standard => crate::collectd::Types::Standard,
            Types::Own => crate::collectd::Types::Own,
        };
        let lists = Lists::new(schema, host, every_ms, types);
        let secret = || Secret { user: collectd.username.clone(), password: collectd.password.clone() };
        let protection = match collectd.security {
            Security::None => Protection::None,
            Security::Sign => Protection::Signed(secret()),
            Security::Encrypt => Protection::Encrypted(secret()),
        };
        let names: Rc<[String]> = lists.names().into();
        let text = collectd.protocol == CollectdProtocol::Text;
        Wire::Collectd { lists: Rc::new(lists), names, protection, text }
    }

    fn paths(&self) -> Rc<[String]> {
        match self {
            Wire::Graphite { paths, .. } => paths.clone(),
            Wire::Collectd { names, .. } => names.clone(),
        }
    }

    fn way(&self, receiver: &str) -> Option<Way> {
        let address = || receiver.parse::<SocketAddr>().ok();
        Some(match self {
            Wire::Graphite { udp: true, .. } | Wire::Collectd { text: false, .. } => {
                Way::Datagrams(address()?)
            }
            Wire::Graphite { receipt, .. } => Way::Stream(address()?, *receipt),
            Wire::Collectd { .. } => Way::Answered(Place::try_from(receiver.to_owned()).ok()?),
        })
    }

    /// These points of an interval; nothing where the system has no random numbers for encryption.
    fn points(&self, schema: &Schema, interval: &Interval, points: &[u16]) -> Option<Bytes> {
        let points = points.iter().map(|point| usize::from(*point));
        Some(match self {
            Wire::Graphite { form, counting, paths, udp, .. } => {
                let mut out = Vec::new();
                graphite::write(&mut out, *form, schema, paths, interval, *counting, points);
                if *udp {
                    Bytes::Datagrams(graphite::datagrams(&out).map(<[u8]>::to_vec).collect())
                } else {
                    Bytes::Stream(out)
                }
            }
            Wire::Collectd { lists, text: true, .. } => {
                let mut out = Vec::new();
                let lines = lists.commands(&mut out, schema, interval, points);
                Bytes::Lines(out, lines)
            }
            Wire::Collectd { lists, protection, .. } => {
                let packets = lists.packets(schema, interval, points, protection);
                let sealed = packets.into_iter().map(|packet| Some(protection.seal(packet, vector()?)));
                Bytes::Datagrams(sealed.collect::<Option<_>>()?)
            }
        })
    }

    fn probe(&self, now_ms: f64) -> Option<Bytes> {
        match self {
            Wire::Graphite { form, probe, udp, .. } => {
                let mut out = Vec::new();
                graphite::probe(&mut out, *form, probe, (now_ms / 1000.0) as u64);
                Some(if *udp { Bytes::Datagrams(vec![out]) } else { Bytes::Stream(out) })
            }
            Wire::Collectd { .. } => {
                let message = "looking whether anyone is there".to_owned();
                self.notification(now_ms, &Notification { severity: Severity::Okay, what: "probe", message })
            }
        }
    }

    /// Nothing where no notifications are taken.
    fn notification(&self, now_ms: f64, notification: &Notification) -> Option<Bytes> {
        match self {
            Wire::Graphite { .. } => None,
            Wire::Collectd { lists, text: true, .. } => {
                Some(Bytes::Lines(lists.notification_command(now_ms, notification).into_bytes(), 1))
            }
            Wire::Collectd { lists, protection, .. } => {
                let packet = protection.seal(lists.notification(now_ms, notification), vector()?);
                Some(Bytes::Datagrams(vec![packet]))
            }
        }
    }
}

/// An initialization vector, new for each packet, also over restarts: two packets with one would give away what they
/// have in common.
fn vector() -> Option<[u8; 16]> {
    let mut vector = [0; 16];
    getrandom::fill(&mut vector).ok().map(|()| vector)
}

/// The task of one destination.
struct Driver {
    what: &'static str,
    delivery: Delivery,
    wire: Wire,
    schema: Rc<Schema>,
    clock: Clock,
    executor: Rc<LocalExecutor<'static>>,
    told: Receiver<Event>,
    events: Sender<Event>,
    notify: Sender<Notification>,
    /// Those to be sent here.
    notifications: Option<Receiver<Notification>>,
    links: HashMap<(u8, u64), (Sender<Command>, Task<()>)>,
    figures: Rc<Cell<Figures>>,
    done: Sender<()>,
    /// Another delivery has taken its place.
    superseded: Rc<Cell<bool>>,
}

impl Driver {
    async fn run(mut self) {
        let mut leaving = false;
        loop {
            let due = self.delivery.next_due();
            let event = async { self.told.recv().await.ok().map(Ok) };
            let notification = async {
                match &self.notifications {
                    Some(notifications) if !self.superseded.get() => notifications.recv().await.ok().map(Err),
                    _ => future::pending().await,
                }
            };
            let timer = async {
                match due {
                    Some(at) => self.clock.until(at).await,
                    None => future::pending().await,
                }
                Some(Ok(Event::Time))
            };
            let told = future::or(event, future::or(notification, timer)).await;
            match told {
                Some(Ok(event)) => {
                    leaving |= matches!(event, Event::Leave);
                    self.handle(event);
                }
                Some(Err(notification)) => self.send_notification(&notification),
                None => return,
            }
            self.figures.set(self.delivery.figures());
            if leaving && self.delivery.is_done() {
                let _ = self.done.try_send(());
            }
        }
    }

    fn handle(&mut self, event: Event) {
        if let Event::Taken { receiver, link, over: true, .. } | Event::Broken { receiver, link, .. } = event
        {
            self.links.remove(&(receiver, link));
        }
        let mut actions = Vec::new();
        self.delivery.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            match action {
                Action::Open { receiver, link } => self.open(receiver, link),
                Action::Send { receiver, link, send, load } => {
                    let bytes = match load {
                        Load::Probe => self.wire.probe(self.clock.now()),
                        Load::Points(interval, points) => self.wire.points(&self.schema, &interval, &points),
                    };
                    // Without bytes the send is never taken, and its connection is given up in time.
                    if let Some(bytes) = bytes {
                        self.command(receiver, link, Command::Send { send, bytes });
                    }
                }
                Action::Finish { receiver, link } => self.command(receiver, link, Command::Finish),
                Action::Abandon { receiver, link } => {
                    self.links.remove(&(receiver, link));
                }
                Action::Tell(notice) => self.tell(notice),
            }
        }
    }

    fn open(&mut self, receiver: u8, link: u64) {
        let Some(way) = self.delivery.name(receiver).and_then(|name| self.wire.way(name)) else { return };
        let (commands, told) = async_channel::unbounded();
        let (events, clock) = (self.events.clone(), self.clock.clone());
        let connection = Link { receiver, link, events, commands: told, clock };
        self.links.insert((receiver, link), (commands, self.executor.spawn(connection.run(way))));
    }

    fn command(&self, receiver: u8, link: u64, command: Command) {
        if let Some((commands, _)) = self.links.get(&(receiver, link)) {
            let _ = commands.try_send(command);
        }
    }

    /// A notification goes out over a connection that is open, or not at all: it is about this moment.
    fn send_notification(&mut self, notification: &Notification) {
        let now = self.clock.now();
        if let Some((commands, _)) = self.links.values().next()
            && let Some(bytes) = self.wire.notification(now, notification)
        {
            // Its number is that of no send: nothing waits for it.
            let _ = commands.try_send(Command::Send { send: 0, bytes });
        }
    }

    fn tell(&self, notice: Notice) {
        let to = self.what;
        let notify = |severity, message| {
            let _ = self.notify.try_send(Notification { severity, what: "receiver", message });
        };
        match notice {
            Notice::Ended { receiver, why, doubt } => {
                tracing::info!(link = to, receiver, reason = %why, doubt, "link-ended");
            }
            Notice::Lost { receiver, why } => {
                tracing::warn!(to, receiver, reason = %why, "receiver-lost");
                notify(Severity::Failure, format!("{to} receiver {receiver} lost: {why}"));
            }
            Notice::Back { receiver } => {
                tracing::info!(to, receiver, "receiver-back");
                notify(Severity::Okay, format!("{to} receiver {receiver} back"));
            }
            Notice::Dropped { intervals } => tracing::warn!(to, intervals, "telemetry-dropped"),
        }
    }
}
