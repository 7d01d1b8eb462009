//! Serving: builds the parts of the node, joins them, and runs them to the end. It must never touch a request.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use pinepoint::config::active::ActiveSettings;
use pinepoint::config::site::Site;
use pinepoint::server::control::handover;
use pinepoint::server::control::management::{self, Management};
use pinepoint::server::control::reload::Reloader;
use pinepoint::server::control::status::Status;
use pinepoint::server::core::api::CoreInput;
use pinepoint::server::core::{Core, CoreDependencies, HandoverDependencies};
use pinepoint::server::frontend::context::FrontendContext;
use pinepoint::server::frontend::limiter::ConnectionLimiter;
use pinepoint::server::frontend::listener::{self, Listener};
use pinepoint::server::frontend::{ajp, rpc};
use pinepoint::server::observability::counters::Counters;
use pinepoint::server::observability::{membership, telemetry};
use pinepoint::server::upstream;
use pinepoint_clock::Clock;
use pinepoint_events::{NoopObserver, Observer};
use pinepoint_membership::io::MembershipService;
use pinepoint_telemetry::Telemetry;

use crate::bind::{Bound, bind};
use crate::edge_config::{self, Config, Edge};
use crate::environment::{management_address, named_config};
use crate::limits::ConnectionLimits;
use crate::reload::Reload;
use crate::signals::{Handler, Signs};
use crate::start_error::StartError;
use crate::upgrade::{self, Upgrade};

/// Time in which the other process of this server is told the last changes, ms.
const HANDOVER_LAST_MS: f64 = 100.0;
/// Before the kill nothing is sent any more, ms.
const KILL_MARGIN_MS: f64 = 20.0;
/// Inputs that may wait for the core before fronts and links wait in turn.
const QUEUE: usize = 4096;

/// Serves until the notice to leave and the end of the drain.
pub fn run(
    config: Config,
    edge: Edge,
    edge_file: Option<PathBuf>,
    mut signs: Signs,
) -> Result<(), StartError> {
    let management_address = management_address(&config)?;
    let limits = ConnectionLimits::new(config.sockets, management_address.is_some());
    let (queue, inputs) = async_channel::bounded(QUEUE);
    let process = Process::new(&config, queue);
    let service_links = ServiceLinks::new(&config, &process);
    let mut upgrade = Upgrade::look(management_address);
    process.status.accepting.set(!upgrade.as_ref().is_some_and(Upgrade::may_have_predecessor));
    let opened = upgrade::open(&mut upgrade, "rpc", config.listen, &mut signs, &process.clock)?;
    let Some((rpc_listener, rpc_address)) = opened else { return process.ended() };
    if let Some(address) = management_address {
        let opened = bind("management", address, upgrade::bind_alone, &mut signs, &process.clock)?;
        let Some(bound) = opened else { return process.ended() };
        process.listen_for_operators(bound, limits.management);
    }
    let telemetry = process.start_telemetry(&edge);
    let Watched { observer, member } = process.join_fleet(&edge, observer_of(telemetry.as_ref()))?;
    let front = process.front(observer, ConnectionLimiter::new(limits.callers, config.memory_mb));
    if let Some(options) = edge.ajp {
        let opened = upgrade::open(&mut upgrade, "ajp", options.listen, &mut signs, &process.clock)?;
        let Some(bound) = opened else { return process.ended() };
        process.listen_for_ajp(bound, options, limits.ajp, &front);
    }
    let (handover_links, handover) = upgrade.map(|upgrade| process.link_to(upgrade, &front.limiter)).unzip();
    let core = process.core(&config, &front, &service_links, handover);
    let reloader = process.reloader(config, &front, &service_links, telemetry.clone())?;
    let reload = Reload { reloader, telemetry: telemetry.clone(), edge: edge_file };
    process.handle_signals(signs, reload);
    process.connect(service_links);
    process.listen_for_rpc(Listener::new(rpc_listener, &front.limiter), limits.callers, front);
    tracing::info!(name = process.name, listen = %rpc_address, "started");
    let last_ms = edge.telemetry.last_ms.get() as f64;
    let ending = Ending { handover_links, member, telemetry, last_ms };
    process.run(core, inputs, &ending);
    process.counters.print();
    process.ended()
}

/// Runs what sends reports; without a socket it is off, which is no reason not to serve.
async fn or_off(what: &str, task: impl Future<Output = io::Result<()>>) {
    if let Err(error) = task.await {
        tracing::error!(what, %error, "off");
    }
}

fn observer_of(telemetry: Option<&Rc<Telemetry>>) -> Rc<dyn Observer> {
    match telemetry {
        Some(telemetry) => telemetry.clone(),
        None => Rc::new(NoopObserver),
    }
}

/// The links to engine, store and membership service.
struct ServiceLinks {
    addresses: Rc<upstream::UpstreamAddresses>,
    engine: Rc<upstream::EngineLink>,
    store: Rc<upstream::StoreLink>,
}

impl ServiceLinks {
    fn new(config: &Config, process: &Process) -> Self {
        let addresses =
            Rc::new(upstream::UpstreamAddresses::new(config.engine, config.store, config.registry));
        let store = upstream::StoreLink::new(
            addresses.clone(),
            process.queue.clone(),
            process.clock.clone(),
            process.counters.clone(),
            process.executor.clone(),
        );
        ServiceLinks { addresses, engine: Rc::new(upstream::EngineLink::default()), store: Rc::new(store) }
    }
}

/// The observer of the core, and the fleet member that it feeds, if there is one.
struct Watched {
    observer: Rc<dyn Observer>,
    member: Option<Rc<MembershipService>>,
}

/// What is told to others after the core has ended.
struct Ending {
    handover_links: Option<Rc<handover::HandoverLinks>>,
    member: Option<Rc<MembershipService>>,
    telemetry: Option<Rc<Telemetry>>,
    /// Time for the last delivery of telemetry, ms.
    last_ms: f64,
}

impl Ending {
    /// Tells the last of it, never for so long that the kill comes first.
    async fn finish(&self, kill_ms: f64, clock: &Clock) {
        if let Some(links) = &self.handover_links {
            links.finish(HANDOVER_LAST_MS.min(kill_ms - KILL_MARGIN_MS - clock.now())).await;
        }
        if let Some(member) = &self.member {
            member.leave();
        }
        if let Some(telemetry) = &self.telemetry {
            telemetry.finish((clock.now() + self.last_ms).min(kill_ms - KILL_MARGIN_MS)).await;
        }
    }
}

/// What all parts of the process share.
struct Process {
    name: String,
    site: Rc<Site>,
    seed: u64,
    active_settings: Rc<ActiveSettings>,
    clock: Clock,
    status: Rc<Status>,
    counters: Rc<Counters>,
    queue: Sender<CoreInput>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Process {
    fn new(config: &Config, queue: Sender<CoreInput>) -> Self {
        Process {
            name: config.name.clone(),
            site: config.site.clone(),
            seed: config.seed,
            active_settings: Rc::new(ActiveSettings::new(config.site.clone())),
            clock: Clock::system(),
            status: Rc::new(Status::default()),
            counters: Rc::new(Counters::default()),
            queue,
            executor: Rc::new(LocalExecutor::new()),
        }
    }

    /// Notes the end of the process.
    fn ended(&self) -> Result<(), StartError> {
        tracing::info!(name = self.name, "ended");
        Ok(())
    }

    fn listen_for_operators(&self, (listener, address): Bound, most: usize) {
        tracing::info!(listen = %address, "management");
        let management = Management {
            active_settings: self.active_settings.clone(),
            status: self.status.clone(),
            counters: self.counters.clone(),
            clock: self.clock.clone(),
        };
        let port = management::listen(listener, most, Rc::new(management), self.executor.clone());
        self.executor.spawn(port).detach();
    }

    /// Begins to count and to send what the operators' file says, if it says anything.
    fn start_telemetry(&self, edge: &Edge) -> Option<Rc<Telemetry>> {
        let setup = edge.setup();
        if setup.is_off() {
            return None;
        }
        let host = telemetry::TelemetryContext {
            name: self.name.clone(),
            site: self.site.clone(),
            seed: self.seed,
            clock: self.clock.clone(),
            executor: self.executor.clone(),
            queue: self.queue.clone(),
            counters: self.counters.clone(),
        };
        Some(telemetry::start(&setup, host))
    }

    /// Joins the fleet if the operators' file says so. What it watches for is put before the observer.
    fn join_fleet(&self, edge: &Edge, observer: Rc<dyn Observer>) -> Result<Watched, StartError> {
        let Some(config) = &edge.fleet else { return Ok(Watched { observer, member: None }) };
        let settings = &self.site.settings;
        let keys_most = settings.memory_kb / settings.key_kb;
        let watch = Rc::new(membership::MembershipObserver::new(
            observer,
            self.status.clone(),
            self.clock.clone(),
            self.queue.clone(),
            keys_most,
        ));
        let parts = pinepoint_membership::io::Dependencies {
            name: self.name.clone(),
            cores: settings.cores,
            seed: self.seed,
            clock: self.clock.clone(),
            executor: self.executor.clone(),
            source: watch.clone(),
            observer: watch.clone(),
        };
        let member =
            pinepoint_membership::io::start(config, parts).map_err(|e| StartError::System("fleet", e))?;
        Ok(Watched { observer: watch, member: Some(member) })
    }

    /// What the connections of all fronts share.
    fn front(&self, observer: Rc<dyn Observer>, limiter: ConnectionLimiter) -> Rc<FrontendContext> {
        Rc::new(FrontendContext {
            active_settings: self.active_settings.clone(),
            status: self.status.clone(),
            counters: self.counters.clone(),
            observer,
            clock: self.clock.clone(),
            queue: self.queue.clone(),
            limiter: Rc::new(limiter),
        })
    }

    fn listen_for_ajp(
        &self,
        (listener, address): Bound,
        options: edge_config::Ajp,
        most: usize,
        front: &Rc<FrontendContext>,
    ) {
        tracing::info!(listen = %address, "ajp");
        let edge_config::Ajp { secret, mem_kb, .. } = options;
        let options = Rc::new(ajp::Options { secret, mem_kb: mem_kb.0, seed: self.seed });
        let own = front.clone();
        let serve = move |stream, state| ajp::serve(stream, state, own.clone(), options.clone());
        let door = Listener::new(listener, &front.limiter);
        let listen = listener::listen("ajp", door, most, front.clone(), self.executor.clone(), serve);
        self.executor.spawn(listen).detach();
    }

    fn listen_for_rpc(&self, door: Listener, most: usize, front: Rc<FrontendContext>) {
        let own = front.clone();
        let serve = move |stream, state| rpc::serve(stream, state, own.clone());
        let listen = listener::listen("rpc", door, most, front, self.executor.clone(), serve);
        self.executor.spawn(listen).detach();
    }

    /// The links to the other process of this server, and what the core needs of them.
    fn link_to(
        &self,
        upgrade: Upgrade,
        limiter: &Rc<ConnectionLimiter>,
    ) -> (Rc<handover::HandoverLinks>, HandoverDependencies) {
        upgrade.link(&self.site, |path, inbox| handover::HandoverContext {
            path,
            executor: self.executor.clone(),
            clock: self.clock.clone(),
            status: self.status.clone(),
            limiter: limiter.clone(),
            inbox,
        })
    }

    fn core(
        &self,
        config: &Config,
        front: &FrontendContext,
        service_links: &ServiceLinks,
        handover: Option<HandoverDependencies>,
    ) -> Core {
        Core::new(CoreDependencies {
            site: self.site.clone(),
            seed: self.seed,
            stop_ms: config.stop_ms,
            memory_mb: config.memory_mb,
            clock: self.clock.clone(),
            status: self.status.clone(),
            counters: self.counters.clone(),
            observer: front.observer.clone(),
            engine: service_links.engine.clone(),
            store: service_links.store.clone(),
            open_sockets: front.limiter.clone(),
            handover,
        })
    }

    fn reloader(
        &self,
        config: Config,
        front: &FrontendContext,
        service_links: &ServiceLinks,
        telemetry: Option<Rc<Telemetry>>,
    ) -> Result<Reloader, StartError> {
        Ok(Reloader {
            file: named_config().ok_or(StartError::NoConfig)?,
            config,
            active_settings: self.active_settings.clone(),
            addresses: service_links.addresses.clone(),
            limiter: front.limiter.clone(),
            telemetry,
            counters: self.counters.clone(),
            clock: self.clock.clone(),
            queue: self.queue.clone(),
        })
    }

    fn handle_signals(&self, signs: Signs, reload: Reload) {
        let handler = Handler {
            reload,
            status: self.status.clone(),
            counters: self.counters.clone(),
            clock: self.clock.clone(),
        };
        self.executor.spawn(handler.run(signs)).detach();
    }

    /// Keeps the links to the engine and to the membership service up; the store is connected for each call.
    fn connect(&self, ServiceLinks { addresses, engine, .. }: ServiceLinks) {
        let engine = upstream::engine::maintain_link(
            addresses.clone(),
            engine,
            self.queue.clone(),
            self.clock.clone(),
        );
        self.executor.spawn(engine).detach();
        let members = upstream::registry::send_reports(
            addresses,
            self.name.clone(),
            self.status.clone(),
            self.clock.clone(),
            self.counters.clone(),
        );
        self.executor.spawn(or_off("members", members)).detach();
    }

    /// Runs everything until the core has ended and the last of it is told.
    fn run(&self, core: Core, inputs: Receiver<CoreInput>, ending: &Ending) {
        async_io::block_on(self.executor.run(async {
            let kill_ms = core.run(inputs).await;
            ending.finish(kill_ms, &self.clock).await;
        }));
    }
}
