//! One real comparer. This file owns the configuration, the signals and the exit; it must never touch a
//! request.

#![forbid(unsafe_code)]

mod ask;
mod config;
mod upgrade;
mod view;

use std::collections::VecDeque;
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use clap::{Parser, Subcommand};
use futures_lite::{StreamExt, future};

use pinepoint::deployment::Deployment;
use pinepoint::node::core::{Core, Parts};
use pinepoint::node::counters::Counters;
use pinepoint::node::front::Front;
use pinepoint::node::listen::{self, Door};
use pinepoint::node::management::{self, Management};
use pinepoint::node::reload::Reloader;
use pinepoint::node::room::Room;
use pinepoint::node::status::Status;
use pinepoint::node::{ajp, fleet, handover, links, rpc, telemetry};
use pinepoint_clock::Clock;
use pinepoint_facts::{Observer, Unwatched};
use pinepoint_telemetry::Telemetry;

use upgrade::Upgrade;

use config::{Config, Edge, FileError};

/// Descriptors kept for links, listeners, signals and the like: a part of all, as a divisor, between two bounds.
/// The program holds about a dozen beside its connections, and one for each call in hand, of which the share of a
/// comparer allows a score and more, with those kept for the next; routers open up to half of the limit.
const RESERVED_PART: usize = 4;
const RESERVED_LEAST: usize = 16;
const RESERVED_MOST: usize = 64;
/// The part of the other descriptors, as a divisor, that AJP may take: routers open up to half of them.
const AJP_PART: usize = 4;
/// Time in which the other process of this server is told the last changes, ms.
const HANDOVER_LAST_MS: f64 = 100.0;
/// Before the kill nothing is sent any more, ms.
const KILL_MARGIN_MS: f64 = 20.0;
/// How long an address that is in use is waited for, and between two tries, ms. The platform gives a start 30 s.
const BIND_MS: f64 = 15_000.0;
const BIND_AGAIN_MS: f64 = 20.0;
/// Wait after signals that could not be read, ms.
const SIGNAL_AGAIN_MS: f64 = 1000.0;
/// Inputs that may wait for the core before fronts and links wait in turn.
const QUEUE: usize = 4096;

/// One comparer: takes requests from routers, runs them on the engine of its machine, and turns away what it cannot
/// serve in time.
#[derive(Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// What the operators switch on, as TOML; without it only the platform's protocol is served
    #[arg(long, value_name = "FILE")]
    edge: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Serve in the foreground until SIGTERM; the same as no command
    Serve {
        /// What the operators switch on, as TOML
        #[arg(long, value_name = "FILE")]
        edge: Option<PathBuf>,
    },
    /// Read the files and tell what is wrong with them: exit status 0 if nothing is, else 2
    Check {
        /// The operators' file
        #[arg(long, value_name = "FILE")]
        edge: Option<PathBuf>,
        /// The platform's file; if left out, the one that RELAY_CONFIG names, if it names one
        config: Option<PathBuf>,
        /// Print one JSON object for each file
        #[arg(long)]
        json: bool,
    },
    /// Ask a running comparer at its management port
    Ask {
        /// What to ask
        #[arg(ignore_case = true)]
        call: ask::Call,
        /// Its management address
        #[arg(long, value_name = "ADDRESS", env = MANAGEMENT)]
        at: std::net::SocketAddr,
    },
    /// Ask a running comparer what it knows of its fleet
    Fleet {
        #[command(subcommand)]
        ask: view::Ask,
    },
}

/// Exit status for a command line or a file that cannot be used.
const UNUSABLE: u8 = 2;

/// Why the program does not serve.
#[derive(Debug)]
enum StartError {
    /// The environment does not name a configuration.
    NoConfig,
    /// The environment names a management address that is none.
    Management(String),
    /// A file cannot be used.
    File(FileError),
    /// The system does not give what is needed.
    System(&'static str, io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NoConfig => f.write_str("RELAY_CONFIG is not set: it has to name the configuration"),
            StartError::Management(text) => {
                write!(f, "{MANAGEMENT} is {text:?}: it has to be an address and a port, as 127.0.0.1:9800")
            }
            StartError::File(error) => error.fmt(f),
            StartError::System(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<FileError> for StartError {
    fn from(error: FileError) -> Self {
        StartError::File(error)
    }
}

/// Names the management address, before the configuration does.
const MANAGEMENT: &str = "RELAY_MANAGEMENT";

/// The platform's file, if the environment names one.
fn named_config() -> Option<PathBuf> {
    std::env::var_os("RELAY_CONFIG").map(PathBuf::from)
}

/// Where operators connect: the environment goes before the configuration. Without either nothing listens.
fn management_address(config: &Config) -> Result<Option<SocketAddr>, StartError> {
    match std::env::var(MANAGEMENT) {
        Ok(text) => text.parse().map(Some).map_err(|_| StartError::Management(text)),
        Err(_) => Ok(config.management),
    }
}

fn configuration() -> Result<Config, StartError> {
    Ok(Config::read(&named_config().ok_or(StartError::NoConfig)?)?)
}

fn read_edge(file: Option<&Path>) -> Result<Edge, StartError> {
    Ok(file.map_or_else(|| Ok(Edge::default()), Edge::read)?)
}

/// Puts the configuration in force as it is now, and moves telemetry to the receivers of the edge file. A file that
/// cannot be used changes nothing: it may be half written, and a program that ends or loses its links on SIGHUP loses
/// every request it holds.
async fn reload(reloader: &mut Reloader, telemetry: Option<&Telemetry>, edge: Option<&Path>) {
    reloader.reload().await;
    let Some(telemetry) = telemetry else { return };
    match read_edge(edge) {
        Ok(edge) => {
            let left_alone = telemetry.reload(&edge.setup());
            tracing::info!("edge-reloaded");
            for what in left_alone {
                tracing::warn!(what, "needs-a-new-start");
            }
        }
        Err(error) => tracing::error!(receivers = "kept", %error, "edge-reload-failed"),
    }
}

/// The signals, from before anything else is done: one that comes while its handler is not there ends the process, and
/// takes what the program was about to do along. What comes during the start is taken when that is over, in its order.
struct Signs {
    signals: Signals,
    /// Taken already, and not yet heeded.
    early: VecDeque<Signal>,
}

impl Signs {
    fn new() -> io::Result<Self> {
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])?;
        Ok(Signs { signals, early: VecDeque::new() })
    }

    async fn next(&mut self, clock: &Clock) -> Signal {
        if let Some(signal) = self.early.pop_front() {
            return signal;
        }
        loop {
            match self.signals.next().await {
                Some(Ok(signal)) => return signal,
                // An error is no notice to leave.
                Some(Err(error)) => tracing::warn!(%error, "signal-not-read"),
                None => tracing::warn!("signals-ended"),
            }
            clock.pause(SIGNAL_AGAIN_MS).await;
        }
    }

    /// Waits a moment for a notice to leave; tells whether it came. What else comes is kept.
    async fn notice_within(&mut self, ms: f64, clock: &Clock) -> bool {
        let signal = async { Some(self.signals.next().await) };
        let late = async {
            clock.pause(ms).await;
            None
        };
        let Some(Some(Ok(signal))) = future::or(signal, late).await else { return false };
        self.early.push_back(signal);
        matches!(signal, Signal::Term | Signal::Int)
    }
}

fn with_address(listener: TcpListener) -> io::Result<(Async<TcpListener>, SocketAddr)> {
    let address = listener.local_addr()?;
    Ok((Async::new(listener)?, address))
}

/// Opens a door. An address that is in use is waited for: the process that had it a moment ago is about to end, and a
/// start that failed for it would be a comparer that is missing. Nothing there if the notice to leave came first.
fn bind(
    what: &'static str,
    address: SocketAddr,
    open: fn(SocketAddr) -> io::Result<TcpListener>,
    signs: &mut Signs,
    clock: &Clock,
) -> Result<Option<(Async<TcpListener>, SocketAddr)>, StartError> {
    let until = clock.now() + BIND_MS;
    let mut told = false;
    loop {
        match open(address).and_then(with_address) {
            Ok(bound) => return Ok(Some(bound)),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && clock.now() < until => {
                if !std::mem::replace(&mut told, true) {
                    tracing::warn!(what, %address, "address-in-use");
                }
                if async_io::block_on(signs.notice_within(BIND_AGAIN_MS, clock)) {
                    return Ok(None);
                }
            }
            Err(error) => return Err(StartError::System(what, error)),
        }
    }
}

fn main() -> ExitCode {
    let edge = match Cli::parse() {
        Cli { command: Some(Command::Check { edge, config, json }), .. } => return check(edge, config, json),
        Cli { command: Some(Command::Ask { call, at }), .. } => return ask::run(call, at),
        Cli { command: Some(Command::Fleet { ask }), .. } => return view::run(&ask),
        Cli { command: Some(Command::Serve { edge }), .. } | Cli { command: None, edge } => edge,
    };
    let signs = Signs::new().map_err(|e| StartError::System("signals", e));
    let read = read_edge(edge.as_deref());
    // What is wrong with the file is told in the ordinary form: the one that it chooses is not known.
    let log = read.as_ref().map_or_else(|_| pinepoint_log::Options::default(), |edge| edge.log.clone());
    if let Err(error) = pinepoint_log::init(&log) {
        eprintln!("pinepoint: {error}");
        return ExitCode::FAILURE;
    }
    match read.and_then(|read| serve(configuration()?, read, edge, signs?)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "not-started");
            match error {
                StartError::NoConfig | StartError::Management(_) | StartError::File(_) => {
                    ExitCode::from(UNUSABLE)
                }
                StartError::System(..) => ExitCode::FAILURE,
            }
        }
    }
}

/// Reads both files and tells of each whether it would be taken.
fn check(edge: Option<PathBuf>, config: Option<PathBuf>, json: bool) -> ExitCode {
    let config = config.or_else(named_config);
    let edge = edge.map(|file| (Edge::read(&file).err(), file));
    let config = config.map(|file| (Config::read(&file).err(), file));
    let checked: Vec<(Option<FileError>, PathBuf)> = edge.into_iter().chain(config).collect();
    if checked.is_empty() {
        eprintln!("pinepoint: nothing to check: name a file with --edge, as CONFIG or in RELAY_CONFIG");
        return ExitCode::from(UNUSABLE);
    }
    for (error, file) in &checked {
        match (error, json) {
            (None, false) => println!("{}: good", file.display()),
            (Some(error), false) => println!("{error}"),
            (error, true) => println!("{}", told(file, error.as_ref())),
        }
    }
    if checked.iter().any(|(error, _)| error.is_some()) {
        ExitCode::from(UNUSABLE)
    } else {
        ExitCode::SUCCESS
    }
}

/// The verdict on a file, for a script.
fn told(file: &Path, error: Option<&FileError>) -> serde_json::Value {
    let at = error.and_then(|error| error.at);
    serde_json::json!({
        "file": file.display().to_string(),
        "good": error.is_none(),
        "line": at.map(|(line, _)| line),
        "column": at.map(|(_, column)| column),
        "field": error.map(|error| error.field.as_str()),
        "wrong": error.map(|error| error.wrong.as_str()),
    })
}

/// Runs what sends reports; without a socket it is off, which is no reason not to serve.
async fn or_off(what: &str, task: impl Future<Output = io::Result<()>>) {
    if let Err(error) = task.await {
        tracing::error!(what, %error, "off");
    }
}

fn serve(config: Config, edge: Edge, edge_file: Option<PathBuf>, mut signs: Signs) -> Result<(), StartError> {
    let management_address = management_address(&config)?;
    let reserved = (config.sockets / RESERVED_PART).clamp(RESERVED_LEAST, RESERVED_MOST);
    let management_most = management::most_connections(config.sockets);
    let reserved = reserved + management_address.map_or(0, |_| 1 + management_most);
    let connections = config.sockets.saturating_sub(reserved).max(1);
    let (name, site, seed) = (config.name.clone(), config.site.clone(), config.seed);
    let deployment = Rc::new(Deployment::new(site.clone()));
    let clock = Clock::system();
    let status = Rc::new(Status::default());
    let counters = Rc::new(Counters::default());
    let (queue, inputs) = async_channel::bounded(QUEUE);
    let executor = Rc::new(LocalExecutor::new());
    let peers = Rc::new(links::Peers::new(config.engine, config.store, config.members));
    let engine = Rc::new(links::EngineLink::default());
    let parts = (peers.clone(), queue.clone(), clock.clone(), counters.clone(), executor.clone());
    let store = Rc::new(links::StoreLink::new(parts.0, parts.1, parts.2, parts.3, parts.4));
    let mut upgrade = Upgrade::look(management_address);
    status.accepting.set(!upgrade.as_ref().is_some_and(Upgrade::may_have_predecessor));
    let opened = upgrade::open(&mut upgrade, "rpc", config.listen, &mut signs, &clock)?;
    let Some((listener, address)) = opened else {
        tracing::info!(name, "ended");
        return Ok(());
    };
    if let Some(address) = management_address {
        let opened = bind("management", address, upgrade::bind_alone, &mut signs, &clock)?;
        let Some((listener, address)) = opened else {
            tracing::info!(name, "ended");
            return Ok(());
        };
        tracing::info!(listen = %address, "management");
        let management = Management {
            deployment: deployment.clone(),
            status: status.clone(),
            counters: counters.clone(),
            clock: clock.clone(),
        };
        let port = management::listen(listener, management_most, Rc::new(management), executor.clone());
        executor.spawn(port).detach();
    }
    let setup = edge.setup();
    let telemetry = (!setup.is_off()).then(|| {
        let host = telemetry::Host {
            name: name.clone(),
            site: site.clone(),
            seed,
            clock: clock.clone(),
            executor: executor.clone(),
            queue: queue.clone(),
            counters: counters.clone(),
        };
        telemetry::start(&setup, host)
    });
    let observer: Rc<dyn Observer> = match &telemetry {
        Some(telemetry) => telemetry.clone(),
        None => Rc::new(Unwatched),
    };
    let (observer, member) = match &edge.fleet {
        None => (observer, None),
        Some(config) => {
            let keys_most = site.settings.memory_kb / site.settings.key_kb;
            let watch = fleet::Watch::new(observer, status.clone(), clock.clone(), queue.clone(), keys_most);
            let watch = Rc::new(watch);
            let parts = pinepoint_fleet::io::Parts {
                name: name.clone(),
                cores: site.settings.cores,
                seed,
                clock: clock.clone(),
                executor: executor.clone(),
                source: watch.clone(),
                observer: watch.clone(),
            };
            let member =
                pinepoint_fleet::io::start(config, parts).map_err(|e| StartError::System("fleet", e))?;
            (watch as Rc<dyn Observer>, Some(member))
        }
    };
    let room = Rc::new(Room::new(connections, config.memory_mb));
    let front = Rc::new(Front {
        deployment: deployment.clone(),
        status: status.clone(),
        counters: counters.clone(),
        observer,
        clock: clock.clone(),
        queue: queue.clone(),
        room: room.clone(),
    });
    if let Some(config::Ajp { listen, secret, mem_kb }) = edge.ajp {
        let opened = upgrade::open(&mut upgrade, "ajp", listen, &mut signs, &clock)?;
        let Some((listener, address)) = opened else {
            tracing::info!(name, "ended");
            return Ok(());
        };
        tracing::info!(listen = %address, "ajp");
        let options = Rc::new(ajp::Options { secret, mem_kb: mem_kb.0, seed });
        let own = front.clone();
        let serve = move |stream, guest| ajp::serve(stream, guest, own.clone(), options.clone());
        let most = connections / AJP_PART;
        executor
            .spawn(listen::listen(
                "ajp",
                Door::new(listener, &room),
                most,
                front.clone(),
                executor.clone(),
                serve,
            ))
            .detach();
    }
    let host = |path, inbox| handover::Host {
        path,
        executor: executor.clone(),
        clock: clock.clone(),
        status: status.clone(),
        room: room.clone(),
        inbox,
    };
    let (handover_links, handover) = upgrade.map(|upgrade| upgrade.link(&site, host)).unzip();
    let core = Core::new(Parts {
        site: site.clone(),
        seed,
        stop_ms: config.stop_ms,
        memory_mb: config.memory_mb,
        clock: clock.clone(),
        status: status.clone(),
        counters: counters.clone(),
        observer: front.observer.clone(),
        engine: engine.clone(),
        store,
        doors: room.clone(),
        handover,
    });
    let mut reloader = Reloader {
        file: named_config().ok_or(StartError::NoConfig)?,
        config,
        deployment,
        peers: peers.clone(),
        room,
        telemetry: telemetry.clone(),
        counters: counters.clone(),
        clock: clock.clone(),
        queue: queue.clone(),
    };
    let on_signal = {
        let (clock, counters, status) = (clock.clone(), counters.clone(), status.clone());
        let telemetry = telemetry.clone();
        async move {
            loop {
                match signs.next(&clock).await {
                    Signal::Usr1 => counters.print(),
                    Signal::Hup => {
                        reload(&mut reloader, telemetry.as_deref(), edge_file.as_deref()).await;
                        status.report.wake();
                    }
                    _ => {
                        // The grace and the kill count from now, whatever the core has in hand.
                        let first = status.notice_ms.take();
                        status.notice_ms.set(first.or(Some(clock.now())));
                        status.notice.wake();
                    }
                }
            }
        }
    };
    executor.spawn(on_signal).detach();
    executor.spawn(links::engine(peers.clone(), engine, queue.clone(), clock.clone())).detach();
    let members = links::members(peers, name.clone(), status, clock.clone(), counters.clone());
    executor.spawn(or_off("members", members)).detach();
    let own = front.clone();
    let serve = move |stream, guest| rpc::serve(stream, guest, own.clone());
    let door = Door::new(listener, &front.room);
    executor.spawn(listen::listen("rpc", door, connections, front, executor.clone(), serve)).detach();
    tracing::info!(name, listen = %address, "started");
    let last_ms = edge.telemetry.last_ms.get() as f64;
    async_io::block_on(executor.run(async {
        let kill_ms = core.run(inputs).await;
        if let Some(links) = &handover_links {
            links.finish(HANDOVER_LAST_MS.min(kill_ms - KILL_MARGIN_MS - clock.now())).await;
        }
        if let Some(member) = &member {
            member.leave();
        }
        if let Some(telemetry) = &telemetry {
            // Never so long that the kill comes first.
            telemetry.finish((clock.now() + last_ms).min(kill_ms - KILL_MARGIN_MS)).await;
        }
    }));
    counters.print();
    tracing::info!(name, "ended");
    Ok(())
}
