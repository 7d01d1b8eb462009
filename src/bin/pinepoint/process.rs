//! The parts that all tasks of the process share. [`Process`] builds and starts every other part from them.

use std::io;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use pinepoint::config::active::ActiveSettings;
use pinepoint::config::site::Site;
use pinepoint::server::control::handover::{HandoverContext, HandoverLinks};
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
use pinepoint::server::observability::membership::MembershipObserver;
use pinepoint::server::observability::telemetry::{self, TelemetryContext};
use pinepoint::server::upstream::{self, EngineLink, StoreLink, UpstreamAddresses};
use pinepoint_clock::Clock;
use pinepoint_events::{NoopObserver, Observer, Protocol};
use pinepoint_membership::io::{Dependencies, MembershipService};
use pinepoint_telemetry::Telemetry;

use crate::bind::BoundListener;
use crate::edge_config::{Ajp, Config, Edge};
use crate::environment::config_path;
use crate::reload::Reload;
use crate::signals::{SignalHandler, SignalStream};
use crate::start_error::StartError;
use crate::upgrade::Upgrade;

/// Capacity of the core's queue, inputs. While the queue is full, connections wait.
const CORE_QUEUE_CAPACITY: usize = 4096;

/// The parts that all tasks of the process share.
pub struct Process {
    /// Name of this server, the same after a restart.
    pub name: String,
    /// State that the core publishes to the other tasks.
    pub status: Rc<Status>,
    /// Counters of the process.
    pub counters: Rc<Counters>,
    /// The clock of all tasks.
    pub clock: Clock,
    site: Rc<Site>,
    seed: u64,
    active_settings: Rc<ActiveSettings>,
    queue: Sender<CoreInput>,
    executor: Rc<LocalExecutor<'static>>,
}

/// The connections to the services below this server.
pub struct Upstreams {
    addresses: Rc<UpstreamAddresses>,
    engine: Rc<EngineLink>,
    store: Rc<StoreLink>,
}

/// The observer of the core, and the fleet membership to which it reports, if membership is on.
pub struct Observation {
    /// The observer to which the core and the frontends report.
    pub observer: Rc<dyn Observer>,
    /// The membership in the fleet.
    pub membership: Option<Rc<MembershipService>>,
}

impl Process {
    /// The shared parts, and the receiving end of the core's queue.
    pub fn new(config: &Config) -> (Self, Receiver<CoreInput>) {
        let (queue, inputs) = async_channel::bounded(CORE_QUEUE_CAPACITY);
        let process = Process {
            name: config.name.clone(),
            status: Rc::new(Status::default()),
            counters: Rc::new(Counters::default()),
            clock: Clock::system(),
            site: config.site.clone(),
            seed: config.seed,
            active_settings: Rc::new(ActiveSettings::new(config.site.clone())),
            queue,
            executor: Rc::new(LocalExecutor::new()),
        };
        (process, inputs)
    }

    /// Runs all tasks until `main` completes.
    pub fn block_on(&self, main: impl Future<Output = ()>) {
        async_io::block_on(self.executor.run(main));
    }

    /// Builds the upstream links without connecting.
    pub fn upstreams(&self, config: &Config) -> Upstreams {
        let addresses = Rc::new(UpstreamAddresses::new(config.engine, config.store, config.registry));
        let store = StoreLink::new(
            addresses.clone(),
            self.queue.clone(),
            self.clock.clone(),
            self.counters.clone(),
            self.executor.clone(),
        );
        Upstreams { addresses, engine: Rc::new(EngineLink::default()), store: Rc::new(store) }
    }

    /// Starts the link to the engine and the reports to the service registry. The store link needs no task:
    /// it connects when a call is made.
    pub fn start_upstreams(&self, upstreams: Upstreams) {
        let Upstreams { addresses, engine, .. } = upstreams;
        let (queue, clock) = (self.queue.clone(), self.clock.clone());
        let link = upstream::engine::maintain_link(addresses.clone(), engine, queue, clock);
        self.executor.spawn(link).detach();
        let reports = upstream::registry::send_reports(
            addresses,
            self.name.clone(),
            self.status.clone(),
            self.clock.clone(),
            self.counters.clone(),
        );
        self.executor.spawn(run_or_log("members", reports)).detach();
    }

    /// Starts to accept operators on the management port.
    pub fn listen_for_operators(&self, bound: BoundListener, max_connections: usize) {
        tracing::info!(listen = %bound.address, "management");
        let management = Rc::new(Management {
            active_settings: self.active_settings.clone(),
            status: self.status.clone(),
            counters: self.counters.clone(),
            clock: self.clock.clone(),
        });
        let listen = management::listen(bound.listener, max_connections, management, self.executor.clone());
        self.executor.spawn(listen).detach();
    }

    /// Starts to collect and send metrics as the operators' file specifies; `None` if the file switches on no
    /// destination.
    pub fn start_telemetry(&self, edge: &Edge) -> Option<Rc<Telemetry>> {
        let setup = edge.telemetry_setup();
        if setup.is_off() {
            return None;
        }
        let context = TelemetryContext {
            name: self.name.clone(),
            site: self.site.clone(),
            seed: self.seed,
            clock: self.clock.clone(),
            executor: self.executor.clone(),
            queue: self.queue.clone(),
            counters: self.counters.clone(),
        };
        Some(telemetry::start(&setup, context))
    }

    /// Starts the membership in the fleet if the operators' file switches it on. The observer of the
    /// membership forwards to the observer of telemetry.
    pub fn start_membership(
        &self,
        edge: &Edge,
        telemetry: Option<&Rc<Telemetry>>,
    ) -> Result<Observation, StartError> {
        let observer: Rc<dyn Observer> = match telemetry {
            Some(telemetry) => telemetry.clone(),
            None => Rc::new(NoopObserver),
        };
        let Some(config) = &edge.fleet else { return Ok(Observation { observer, membership: None }) };
        let settings = &self.site.settings;
        let observer = Rc::new(MembershipObserver::new(
            observer,
            self.status.clone(),
            self.clock.clone(),
            self.queue.clone(),
            settings.memory_kb / settings.key_kb,
        ));
        let dependencies = Dependencies {
            name: self.name.clone(),
            cores: settings.cores,
            seed: self.seed,
            clock: self.clock.clone(),
            executor: self.executor.clone(),
            source: observer.clone(),
            observer: observer.clone(),
        };
        let membership = pinepoint_membership::io::start(config, dependencies)
            .map_err(|error| StartError::System("fleet", error))?;
        Ok(Observation { observer, membership: Some(membership) })
    }

    /// Builds the context that the connections of all protocols share.
    pub fn frontend(&self, observer: Rc<dyn Observer>, limiter: ConnectionLimiter) -> Rc<FrontendContext> {
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

    /// Starts to accept clients that speak AJP.
    pub fn listen_for_ajp(
        &self,
        bound: BoundListener,
        options: Ajp,
        max_connections: usize,
        frontend: &Rc<FrontendContext>,
    ) {
        tracing::info!(listen = %bound.address, "ajp");
        let Ajp { secret, mem_kb, .. } = options;
        let options = Rc::new(ajp::Options { secret, mem_kb: mem_kb.0, seed: self.seed });
        let context = frontend.clone();
        let serve = move |stream, state| ajp::serve(stream, state, context.clone(), options.clone());
        let listener = Listener::new(bound.listener, &frontend.limiter);
        let executor = self.executor.clone();
        let listen =
            listener::listen(Protocol::Ajp, listener, max_connections, frontend.clone(), executor, serve);
        self.executor.spawn(listen).detach();
    }

    /// Starts to accept clients that speak the platform's protocol.
    pub fn listen_for_rpc(
        &self,
        bound: BoundListener,
        max_connections: usize,
        frontend: &Rc<FrontendContext>,
    ) {
        let context = frontend.clone();
        let serve = move |stream, state| rpc::serve(stream, state, context.clone());
        let listener = Listener::new(bound.listener, &frontend.limiter);
        let executor = self.executor.clone();
        let listen =
            listener::listen(Protocol::Rpc, listener, max_connections, frontend.clone(), executor, serve);
        self.executor.spawn(listen).detach();
    }

    /// Builds the links to the other process of this server, and the part of them that the core uses.
    pub fn handover_links(
        &self,
        upgrade: Upgrade,
        limiter: &Rc<ConnectionLimiter>,
    ) -> (Rc<HandoverLinks>, HandoverDependencies) {
        upgrade.into_links(&self.site, |path, inbox| HandoverContext {
            path,
            executor: self.executor.clone(),
            clock: self.clock.clone(),
            status: self.status.clone(),
            limiter: limiter.clone(),
            inbox,
        })
    }

    /// Builds the core without running it.
    pub fn core(
        &self,
        config: &Config,
        frontend: &FrontendContext,
        upstreams: &Upstreams,
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
            observer: frontend.observer.clone(),
            engine: upstreams.engine.clone(),
            store: upstreams.store.clone(),
            open_sockets: frontend.limiter.clone(),
            handover,
        })
    }

    /// Builds the reloader of the platform's configuration.
    pub fn reloader(
        &self,
        config: Config,
        frontend: &FrontendContext,
        upstreams: &Upstreams,
        telemetry: Option<Rc<Telemetry>>,
    ) -> Result<Reloader, StartError> {
        Ok(Reloader {
            file: config_path().ok_or(StartError::NoConfig)?,
            config,
            active_settings: self.active_settings.clone(),
            addresses: upstreams.addresses.clone(),
            limiter: frontend.limiter.clone(),
            telemetry,
            counters: self.counters.clone(),
            clock: self.clock.clone(),
            queue: self.queue.clone(),
        })
    }

    /// Starts to handle signals.
    pub fn handle_signals(&self, signals: SignalStream, reload: Reload) {
        let handler = SignalHandler {
            reload,
            status: self.status.clone(),
            counters: self.counters.clone(),
            clock: self.clock.clone(),
        };
        self.executor.spawn(handler.run(signals)).detach();
    }
}

/// Runs a task that the server can work without. An error ends the task and is logged.
async fn run_or_log(what: &str, task: impl Future<Output = io::Result<()>>) {
    if let Err(error) = task.await {
        tracing::error!(what, %error, "off");
    }
}
