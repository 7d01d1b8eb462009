//! A test cluster: many real processes of the program under faults, each with a stub engine of its own, one
//! shared store and one service registry, routers in front, a fault injection proxy between all of them, and
//! scripts of faults and expectations. This module owns the processes and the steps of a script. It uses only
//! the command line, the files and the log of the program.
//!
//! Scripts are lines of `ACTOR VERB WORDS` in the language of [`crate::script`]. An actor is a process
//! (`n1`), a zone (`z2`), a list of these (`n1,z2`) or `all`. A step with several processes acts on all of
//! them at once.
//!
//! | line | meaning |
//! | --- | --- |
//! | `n1 start`, `n1 kill` | start the process; SIGKILL, which also drops the runs on its engine |
//! | `n1 stop`, `n1 continue` | SIGSTOP, SIGCONT |
//! | `n1 slow 0.3` | throttle the process: it runs only in that share of the time; 1 ends the throttling |
//! | `n1 term` | SIGTERM, and wait for the exit |
//! | `n1 hup` | SIGHUP: the process reloads its files |
//! | `n1 clock 10000` | offset of its clock, ms |
//! | `n1 wipe` | remove its directory |
//! | `n1 named n2` | its name in its configuration, from its next start on |
//! | `n1 engine down`, `n1 engine up`, `n1 engine chilly 3000` | its engine; the warm-up time counts from the next attach, ms |
//! | `store down`, `store up`, `store slots 4`, `store call 20`, `store away 5000` | the shared store; its slots, call time and outage after a crash, ms |
//! | `list down`, `list up` | block, unblock the direction from every member to the service registry |
//! | `net loss 0.2`, `net twice 0.1`, `net delay 50` | share of the traffic lost, share of the datagrams duplicated, longest delay (ms) |
//! | `net deaf n1 0.3` | share that is lost of the traffic to n1 |
//! | `net cut n1 n2` | block the direction from n1 to n2; `store`, `list` (the service registry) and `routers` are endpoints too |
//! | `net part n1 n2`, `net part zone z1` | a partition: its members reach only each other |
//! | `net heal` | remove all network faults |
//! | `routers send 100`, `routers send 0` | requests per second from now on |
//! | `routers wait served 50`, `routers wait quiet` | until that many more requests are served; until no request is in flight |
//! | `rules hold` | no rule is violated: see [`Cluster::violations`] |
//! | `all wait settled` | every running process has a settled view; the views are equal and match the real states |
//! | `n1 wait n2 STATE` | the view of n1 has n2 in this state |
//! | `n1 wait verdict KIND [OF]`, `n1 wait no verdict KIND` | the view of n1 has such a verdict, or no longer has one |
//! | `n1 never verdict KIND` | the view of n1 has no such verdict now |
//! | `n1 wait log PATTERN`, `n1 never log PATTERN` | the text after `message=` of some line, or of no line, of its log matches the pattern, over all its starts |
//!
//! Every wait has a deadline. When it passes, the error reports the last observation.

mod assertions;
mod error;
mod member;
mod services;
mod steps;
mod view;

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;

pub use error::ScriptError;
use member::{Member, MemberAddresses};
use services::{MemberEngine, Services};

use crate::fault_proxy::{Endpoint, FaultProxy};
use crate::listen::bind_unique_address;
use crate::routers::{Routers, Workload};
use crate::simulated_engine::EngineControl;
use crate::standard_load::request_classes;
use crate::store::Store;
use crate::stub_services::ServiceAddresses;

/// Cores of each engine.
const ENGINE_CORES: f64 = 2.0;
/// Routers in front of the members.
const ROUTER_COUNT: usize = 3;

/// Settings of a cluster.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Path of the program.
    pub program: PathBuf,
    /// Folder for the files of the cluster.
    pub folder: PathBuf,
    /// Number of processes.
    pub members: usize,
    /// Number of zones, to which the processes are assigned round-robin.
    pub zones: usize,
    /// Period of the membership protocol, ms.
    pub period_ms: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Further lines of the section `[fleet]`.
    pub fleet: String,
    /// Further sections of the edge file; `DIR` stands for the directory of the process.
    pub edge: String,
}

/// The processes and the services around them. Dropping it kills the processes.
pub struct Cluster {
    options: Options,
    members: Vec<Member>,
    /// The network between the processes and their services.
    pub proxy: FaultProxy,
    /// The store that all processes share.
    pub store: Store,
    /// The routers in front of the processes.
    pub routers: Routers,
}

impl Cluster {
    /// Sets up a cluster and starts all processes.
    ///
    /// # Errors
    /// If the folder cannot be written, an address cannot be bound, or the program does not start.
    pub fn start(options: Options) -> io::Result<Cluster> {
        let mut cluster = Cluster::prepare(options)?;
        for member in 0..cluster.members.len() {
            cluster.start_member(member)?;
        }
        Ok(cluster)
    }

    /// Sets up a cluster without starting a process.
    ///
    /// # Errors
    /// If the folder cannot be written or an address cannot be bound.
    pub fn prepare(options: Options) -> io::Result<Cluster> {
        std::fs::create_dir_all(&options.folder)?;
        let Services { engines, store, registry } = Services::start(options.members)?;
        let listen_addresses: io::Result<Vec<SocketAddr>> =
            (0..options.members).map(|_| unused_address()).collect();
        let listen_addresses = listen_addresses?;
        let proxy = FaultProxy::start(listen_addresses.clone(), options.seed)?;
        let (mut members, mut router_targets) = (Vec::new(), Vec::new());
        for (index, (engine, listen)) in engines.into_iter().zip(listen_addresses).enumerate() {
            let services = connect_services(&proxy, index, &engine, &store, registry)?;
            let rpc = unused_address()?;
            router_targets.push(proxy.stream(Endpoint::Routers, Endpoint::Member(index), rpc, || true)?);
            let addresses = MemberAddresses { listen, advertised: proxy.ports[index], rpc, services };
            let name = format!("n{}", index + 1);
            let zone = format!("z{}", index % options.zones.max(1) + 1);
            members.push(Member::new(name, zone, addresses, engine.control, &options.folder));
        }
        let engines = members.iter().map(|member| member.engine.clone()).collect();
        let routers = Routers::start(idle_workload(options.seed), router_targets, engines)?;
        Ok(Cluster { options, members, proxy, store, routers })
    }

    fn start_member(&mut self, index: usize) -> io::Result<()> {
        let seed = self.options.seed + index as u64;
        self.members[index].start(&self.options, seed, &self.proxy.seeds())
    }

    fn index_of(&self, name: &str) -> Result<usize, ScriptError> {
        let index = self.members.iter().position(|member| member.name == name);
        index.ok_or_else(|| ScriptError::UnknownMember(name.to_owned()))
    }

    /// The process id of a running member.
    ///
    /// # Errors
    /// [`ScriptError::UnknownMember`] or [`ScriptError::NotRunning`].
    pub fn pid_of(&self, name: &str) -> Result<i32, ScriptError> {
        Ok(self.members[self.index_of(name)?].pid()?.as_raw_nonzero().get())
    }

    /// The engine of a member.
    ///
    /// # Errors
    /// [`ScriptError::UnknownMember`].
    pub fn engine(&self, name: &str) -> Result<&EngineControl, ScriptError> {
        Ok(&self.members[self.index_of(name)?].engine)
    }

    /// The folder with the files and logs of the processes.
    pub fn folder(&self) -> &Path {
        &self.options.folder
    }

    /// The view of a member, as the program's own command line prints it; `None` if the member does not
    /// answer.
    pub fn view(&self, index: usize) -> Option<Value> {
        view::query(&self.options.program, self.members[index].listen)
    }

    /// The address at which a member receives datagrams, behind the proxy.
    pub fn listen(&self, index: usize) -> SocketAddr {
        self.members[index].listen
    }
}

/// Opens the network paths from a member to its services. Returns the addresses that the member has to use.
fn connect_services(
    proxy: &FaultProxy,
    index: usize,
    engine: &MemberEngine,
    store: &Store,
    registry: SocketAddr,
) -> io::Result<ServiceAddresses> {
    let (member, target) = (Endpoint::Member(index), store.clone());
    Ok(ServiceAddresses {
        engine: engine.address,
        store: proxy.stream(member, Endpoint::Store, store.address, move || target.listens())?,
        members: proxy.datagrams(member, Endpoint::Registry, registry)?,
    })
}

/// The workload of the routers, which send nothing until a script sets a rate.
fn idle_workload(seed: u64) -> Workload {
    Workload { classes: request_classes(), rate: 0.0, routers: ROUTER_COUNT, retry_keyed: false, seed }
}

/// A loopback address of its own, with a port on which nothing listens now.
fn unused_address() -> io::Result<SocketAddr> {
    bind_unique_address()?.local_addr()
}
