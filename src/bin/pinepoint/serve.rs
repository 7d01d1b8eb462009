//! `pinepoint serve`: builds and connects the parts of the server, runs them and shuts down. This module
//! handles no requests.

use std::path::PathBuf;
use std::rc::Rc;

use async_channel::Receiver;
use pinepoint::server::control::handover::HandoverLinks;
use pinepoint::server::core::Core;
use pinepoint::server::core::api::CoreInput;
use pinepoint::server::frontend::limiter::ConnectionLimiter;
use pinepoint_clock::Clock;
use pinepoint_membership::io::MembershipService;
use pinepoint_telemetry::Telemetry;

use crate::bind::{bind, listen_exclusively};
use crate::edge_config::{Config, Edge};
use crate::environment::management_address;
use crate::limits::ConnectionLimits;
use crate::process::{Observation, Process};
use crate::reload::Reload;
use crate::signals::SignalStream;
use crate::start_error::StartError;
use crate::upgrade::{Upgrade, open_listener};

/// Time limit for sending the last changes to the other process of this server, ms.
const HANDOVER_FINISH_MS: f64 = 100.0;
/// Time before the kill by which all sending has ended, ms.
const KILL_MARGIN_MS: f64 = 20.0;

/// Serves until a termination notice arrives and the drain has ended. A termination notice during the start
/// also ends the process in order.
pub fn run(
    config: Config,
    edge: Edge,
    edge_file: Option<PathBuf>,
    signals: SignalStream,
) -> Result<(), StartError> {
    let management = management_address(&config)?;
    let limits = ConnectionLimits::new(config.sockets, management.is_some());
    let (process, inputs) = Process::new(&config);
    let builder = ServerBuilder { config, edge, edge_file, signals, management, limits };
    match builder.build(&process) {
        Ok(server) => server.run(&process, inputs),
        Err(StartError::Terminated) => {}
        Err(error) => return Err(error),
    }
    tracing::info!(name = process.name, "ended");
    Ok(())
}

/// The inputs from which the server is built, beside the shared parts of the process.
struct ServerBuilder {
    config: Config,
    edge: Edge,
    edge_file: Option<PathBuf>,
    signals: SignalStream,
    /// Address of the management port.
    management: Option<std::net::SocketAddr>,
    limits: ConnectionLimits,
}

impl ServerBuilder {
    /// Opens the listening sockets, builds the parts and starts their tasks, which run in [`Server::run`].
    fn build(self, process: &Process) -> Result<Server, StartError> {
        let ServerBuilder { config, edge, edge_file, mut signals, management, limits } = self;
        let clock = &process.clock;

        let mut upgrade = Upgrade::find_predecessor(management);
        let may_have_predecessor = upgrade.as_ref().is_some_and(Upgrade::may_have_predecessor);
        process.status.accepting.set(!may_have_predecessor);

        let rpc = open_listener(&mut upgrade, "rpc", config.listen, &mut signals, clock)?;
        if let Some(address) = management {
            let bound = bind("management", address, listen_exclusively, &mut signals, clock)?;
            process.listen_for_operators(bound, limits.management);
        }

        let telemetry = process.start_telemetry(&edge);
        let Observation { observer, membership } = process.start_membership(&edge, telemetry.as_ref())?;
        let limiter = ConnectionLimiter::new(limits.clients, config.memory_mb);
        let frontend = process.frontend(observer, limiter);
        if let Some(options) = edge.ajp {
            let bound = open_listener(&mut upgrade, "ajp", options.listen, &mut signals, clock)?;
            process.listen_for_ajp(bound, options, limits.ajp, &frontend);
        }

        let upstreams = process.upstreams(&config);
        let handover = upgrade.map(|upgrade| process.handover_links(upgrade, &frontend.limiter));
        let (handover_links, handover_dependencies) = handover.unzip();
        let core = process.core(&config, &frontend, &upstreams, handover_dependencies);

        let reloader = process.reloader(config, &frontend, &upstreams, telemetry.clone())?;
        process.handle_signals(signals, Reload { reloader, telemetry: telemetry.clone(), edge_file });
        process.start_upstreams(upstreams);
        let rpc_address = rpc.address;
        process.listen_for_rpc(rpc, limits.clients, &frontend);
        tracing::info!(name = process.name, listen = %rpc_address, "started");

        let last_delivery_ms = edge.telemetry.last_ms.get() as f64;
        let shutdown = Shutdown { handover_links, membership, telemetry, last_delivery_ms };
        Ok(Server { core, shutdown })
    }
}

/// A server whose tasks are started.
struct Server {
    core: Core,
    shutdown: Shutdown,
}

impl Server {
    /// Runs everything until the core has ended and the last messages are sent.
    fn run(self, process: &Process, inputs: Receiver<CoreInput>) {
        let Server { core, shutdown } = self;
        process.block_on(async {
            let kill_ms = core.run(inputs).await;
            shutdown.run(kill_ms, &process.clock).await;
        });
        process.counters.log();
    }
}

/// Sends the last messages to other processes after the core has ended.
struct Shutdown {
    handover_links: Option<Rc<HandoverLinks>>,
    membership: Option<Rc<MembershipService>>,
    telemetry: Option<Rc<Telemetry>>,
    /// Time limit for the last delivery of telemetry, ms.
    last_delivery_ms: f64,
}

impl Shutdown {
    /// Sends the last messages, and ends before the kill at `kill_ms` (Unix ms).
    async fn run(&self, kill_ms: f64, clock: &Clock) {
        let deadline_ms = kill_ms - KILL_MARGIN_MS;
        if let Some(links) = &self.handover_links {
            links.finish(HANDOVER_FINISH_MS.min(deadline_ms - clock.now())).await;
        }
        if let Some(membership) = &self.membership {
            membership.leave();
        }
        if let Some(telemetry) = &self.telemetry {
            telemetry.finish((clock.now() + self.last_delivery_ms).min(deadline_ms)).await;
        }
    }
}
