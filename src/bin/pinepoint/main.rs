//! One real comparer. This file owns the configuration, the signals and the exit; it must never touch a
//! request.

#![forbid(unsafe_code)]

use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use serde::Deserialize;

use pinepoint::node::core::{Core, Parts};
use pinepoint::node::counters::{Counters, log};
use pinepoint::node::listen::{self, Front, Room};
use pinepoint::node::observe::{self, Target};
use pinepoint::node::port::Input;
use pinepoint::node::status::Status;
use pinepoint::node::{ajp, links, rpc};
use pinepoint::settings::Site;
use pinepoint_clock::Clock;
use pinepoint_facts::Unwatched;

/// Descriptors kept for links, listeners, signals and the like: a part of all, as a divisor, between two bounds.
/// The program holds about a dozen beside its connections, and one for each call in hand, of which the share of a
/// comparer allows a score and more, with those kept for the next; routers open up to half of the limit.
const RESERVED_PART: usize = 4;
const RESERVED_LEAST: usize = 16;
const RESERVED_MOST: usize = 64;
/// The part of the other descriptors, as a divisor, that AJP may take: routers open up to half of them.
const AJP_PART: usize = 4;
/// Inputs that may wait for the core before fronts and links wait in turn.
const QUEUE: usize = 4096;

#[derive(Deserialize)]
struct Config {
    name: String,
    listen: SocketAddr,
    engine: SocketAddr,
    members: SocketAddr,
    store: SocketAddr,
    seed: String,
    stop_ms: f64,
    limits: Limits,
    settings: serde_json::Value,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: f64,
    sockets: usize,
}

/// What `--edge FILE` switches on; without it all of this is off.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Edge {
    ajp: Option<Ajp>,
    graphite: Option<Graphite>,
    collectd: Option<Collectd>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Ajp {
    listen: SocketAddr,
    secret: Option<String>,
    /// Memory booked for a request that does not tell its own, kB.
    mem_kb: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Graphite {
    address: SocketAddr,
    prefix: String,
    every_s: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Collectd {
    address: SocketAddr,
    every_s: f64,
}

/// Reads the command line: nothing, or `--edge FILE`.
fn edge() -> Result<Edge, StartError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        [] => Ok(Edge::default()),
        ["--edge", path] => {
            toml::from_str(&read(path)?).map_err(|e| StartError::Content((*path).to_owned(), e.to_string()))
        }
        _ => Err(StartError::Usage),
    }
}

/// Why the program does not serve.
#[derive(Debug)]
enum StartError {
    /// The command line is not understood.
    Usage,
    /// The environment does not name a configuration.
    NoConfig,
    /// A file cannot be read.
    File(String, io::Error),
    /// A file is not what it should be.
    Content(String, String),
    /// The settings make no sense.
    Settings(String),
    /// A figure is out of its range.
    Figure(&'static str),
    /// The system does not give what is needed.
    System(&'static str, io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Usage => f.write_str("usage: pinepoint [--edge FILE]"),
            StartError::NoConfig => f.write_str("RELAY_CONFIG is not set"),
            StartError::File(path, error) => write!(f, "cannot read {path}: {error}"),
            StartError::Content(path, error) => write!(f, "{path}: {error}"),
            StartError::Settings(error) => write!(f, "settings: {error}"),
            StartError::Figure(name) => write!(f, "{name} is out of its range"),
            StartError::System(what, error) => write!(f, "{what}: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

fn read(path: &str) -> Result<String, StartError> {
    std::fs::read_to_string(path).map_err(|e| StartError::File(path.to_owned(), e))
}

fn configuration() -> Result<Config, StartError> {
    let path = std::env::var("RELAY_CONFIG").map_err(|_| StartError::NoConfig)?;
    serde_json::from_str(&read(&path)?).map_err(|e| StartError::Content(path, e.to_string()))
}

/// Moves the links to where the configuration says now. A file that cannot be used changes nothing: it may be
/// half written, and a program that ends or loses its links on SIGHUP loses every request it holds.
fn reload(peers: &links::Peers) {
    match configuration() {
        Ok(Config { engine, store, members, .. }) => {
            peers.set(engine, store, members);
            log(format_args!("reloaded engine={engine} store={store} members={members}"));
        }
        Err(error) => log(format_args!("reload-failed addresses=kept {error}")),
    }
}

fn bind(what: &'static str, address: SocketAddr) -> Result<(Async<TcpListener>, SocketAddr), StartError> {
    let bound = Async::<TcpListener>::bind(address).and_then(|l| Ok((l.get_ref().local_addr()?, l)));
    bound.map(|(address, listener)| (listener, address)).map_err(|e| StartError::System(what, e))
}

fn main() -> ExitCode {
    match edge().and_then(|edge| serve(configuration()?, edge)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log(format_args!("pinepoint: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Runs what sends reports; without a socket it is off, which is no reason not to serve.
async fn or_off(what: &str, task: impl Future<Output = io::Result<()>>) {
    if let Err(error) = task.await {
        log(format_args!("{what}-off {error}"));
    }
}

fn serve(config: Config, edge: Edge) -> Result<(), StartError> {
    let site = Rc::new(Site::read(&config.settings).map_err(|e| StartError::Settings(e.to_string()))?);
    site.settings.check().map_err(|e| StartError::Settings(e.to_string()))?;
    let seed = u64::from_str_radix(&config.seed, 16).map_err(|_| StartError::Figure("seed"))?;
    let reserved = (config.limits.sockets / RESERVED_PART).clamp(RESERVED_LEAST, RESERVED_MOST);
    let connections = config.limits.sockets.saturating_sub(reserved).max(1);
    let name = config.name;
    let clock = Clock::system();
    let status = Rc::new(Status::default());
    let counters = Rc::new(Counters::default());
    let (queue, inputs) = async_channel::bounded(QUEUE);
    let executor = Rc::new(LocalExecutor::new());
    let peers = Rc::new(links::Peers::new(config.engine, config.store, config.members));
    let engine = Rc::new(links::EngineLink::default());
    let parts = (peers.clone(), queue.clone(), clock.clone(), counters.clone(), executor.clone());
    let store = Rc::new(links::StoreLink::new(parts.0, parts.1, parts.2, parts.3, parts.4));
    let (listener, address) = bind("listen", config.listen)?;
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
        .map_err(|e| StartError::System("signals", e))?;
    let core = Core::new(Parts {
        site: site.clone(),
        seed,
        stop_ms: config.stop_ms,
        memory_mb: config.limits.memory_mb,
        clock: clock.clone(),
        status: status.clone(),
        counters: counters.clone(),
        observer: Rc::new(Unwatched),
        engine: engine.clone(),
        store,
    });
    let front = Rc::new(Front {
        site,
        status: status.clone(),
        counters: counters.clone(),
        clock: clock.clone(),
        queue: queue.clone(),
        room: Room::new(connections, config.limits.memory_mb),
    });
    if let Some(Ajp { listen, secret, mem_kb }) = edge.ajp {
        let (listener, address) = bind("ajp", listen)?;
        log(format_args!("ajp listen={address}"));
        let options = Rc::new(ajp::Options { secret, mem_kb, seed });
        let own = front.clone();
        let serve = move |stream, guest| ajp::serve(stream, guest, own.clone(), options.clone());
        let most = connections / AJP_PART;
        executor
            .spawn(listen::listen("ajp", listener, most, front.clone(), executor.clone(), serve))
            .detach();
    }
    let on_signal = {
        let (queue, counters, peers, status) =
            (queue.clone(), counters.clone(), peers.clone(), status.clone());
        async move {
            while let Some(signal) = signals.next().await {
                match signal {
                    Ok(Signal::Usr1) => counters.print(),
                    Ok(Signal::Hup) => {
                        reload(&peers);
                        status.report.wake();
                    }
                    _ => {
                        let _ = queue.send(Input::Leave).await;
                    }
                }
            }
        }
    };
    executor.spawn(on_signal).detach();
    executor.spawn(links::engine(peers.clone(), engine, queue.clone(), clock.clone())).detach();
    let members = links::members(peers, name.clone(), status, clock.clone(), counters.clone());
    executor.spawn(or_off("members", members)).detach();
    let target = |address, every_s: f64| match every_s {
        s if s >= 0.1 && s.is_finite() => Ok(Target { address, host: name.clone(), every_ms: s * 1000.0 }),
        // Less would be a load, and no monitor asks for it.
        _ => Err(StartError::Figure("every_s")),
    };
    if let Some(Graphite { address, prefix, every_s }) = edge.graphite {
        let report = observe::graphite(target(address, every_s)?, prefix, counters.clone(), clock.clone());
        executor.spawn(report).detach();
    }
    if let Some(Collectd { address, every_s }) = edge.collectd {
        let report = observe::collectd(target(address, every_s)?, counters.clone(), clock.clone());
        executor.spawn(or_off("collectd", report)).detach();
    }
    let own = front.clone();
    let serve = move |stream, guest| rpc::serve(stream, guest, own.clone());
    executor.spawn(listen::listen("rpc", listener, connections, front, executor.clone(), serve)).detach();
    log(format_args!("started name={name} listen={address}"));
    async_io::block_on(executor.run(core.run(inputs)));
    counters.print();
    log(format_args!("ended name={name}"));
    Ok(())
}
