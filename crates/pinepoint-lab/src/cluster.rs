//! A test cluster: many real processes of the program under failure, each with a stub engine of its own, one store and
//! one list service, routers in front, a fault injection proxy between them all, and scripts of faults and expectations.
//! It owns the processes and the lines of a script; it knows the program by its command line, its files and its log only.
//!
//! Scripts are lines of `ACTOR VERB WORDS` in the language of [`crate::script`]. An actor is a process (`n1`), a zone (`z2`), some of these
//! (`n1,z2`) or `all`; what happens to several happens in the same instant.
//!
//! | line | meaning |
//! | --- | --- |
//! | `n1 start`, `n1 kill` | start the process, kill it and its engine's runs outright |
//! | `n1 stop`, `n1 continue` | SIGSTOP, SIGCONT |
//! | `n1 throttle_stop 0.3` | throttle it to that share of the time; 1 ends that |
//! | `n1 term` | SIGTERM, and wait for its end |
//! | `n1 hup` | SIGHUP: it reads its files again |
//! | `n1 clock 10000` | set its clock off by so many ms |
//! | `n1 wipe` | its directory is gone |
//! | `n1 named n2` | it goes by that name from its next start on |
//! | `n1 engine down`, `n1 engine up`, `n1 engine chilly 3000` | its engine; warming up for so long from the next attach on, ms |
//! | `store down`, `store up`, `store slots 4`, `store call 20`, `store away 5000` | the store that all share; ms |
//! | `list down`, `list up` | the list service |
//! | `net loss 0.2`, `net twice 0.1`, `net delay 50` | of all that is forwarded; ms |
//! | `net deaf n1 0.3` | lose that share of what it is sent |
//! | `net cut n1 n2` | block that direction; `store`, `list`, `routers` are endpoints too |
//! | `net part n1 n2`, `net part zone z1` | a partition: these reach only each other |
//! | `net heal` | all of the above is over |
//! | `routers send 100`, `routers send 0` | requests a second from now on |
//! | `routers wait served 50`, `routers wait quiet` | so many more are served; all have ended |
//! | `rules hold` | no rule is violated: see [`Cluster::violations`] |
//! | `all wait settled` | every process that runs has a settled view, the same, and true |
//! | `n1 wait n2 STATE` | it holds that of it |
//! | `n1 wait verdict KIND [OF]`, `n1 wait no verdict KIND` | it judges so, or no longer |
//! | `n1 never verdict KIND` | it does not judge so now |
//! | `n1 wait log PATTERN`, `n1 never log PATTERN` | a line of its log that begins with what stands behind `message=`, ever |
//!
//! A wait has a deadline; when it passes, the error says what was observed last.

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

/// How a cluster is set up.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// A folder for its files.
    pub folder: PathBuf,
    /// Number of processes.
    pub members: usize,
    /// Number of zones, to which the processes are assigned round-robin.
    pub zones: usize,
    /// Period of the membership protocol, ms.
    pub period_ms: u64,
    /// Seed of all random numbers.
    pub seed: u64,
    /// More lines of the section `[fleet]`.
    pub fleet: String,
    /// More sections of the edge file; `DIR` stands for the directory of the process.
    pub edge: String,
}

/// The processes and what is around them. They end with this value.
pub struct Cluster {
    options: Options,
    members: Vec<Member>,
    /// The network between them.
    pub proxy: FaultProxy,
    /// The store that all share.
    pub store: Store,
    /// The routers in front.
    pub routers: Routers,
}

impl Cluster {
    /// Sets a cluster up, and starts all processes at once.
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

    /// Sets a cluster up, but starts no process.
    ///
    /// # Errors
    /// If the folder cannot be written or an address cannot be bound.
    pub fn prepare(options: Options) -> io::Result<Cluster> {
        std::fs::create_dir_all(&options.folder)?;
        let Services { engines, store, list } = Services::start(options.members)?;
        let listens: io::Result<Vec<SocketAddr>> = (0..options.members).map(|_| unused_address()).collect();
        let listens = listens?;
        let proxy = FaultProxy::start(listens.clone(), options.seed)?;
        let (mut members, mut router_targets) = (Vec::new(), Vec::new());
        for (index, (engine, listen)) in engines.into_iter().zip(listens).enumerate() {
            let services = connect_services(&proxy, index, &engine, &store, list)?;
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

    /// The process id of a member that runs.
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

    /// The view of a member, as the program's own command line prints it; nothing if it does not answer.
    pub fn view(&self, index: usize) -> Option<Value> {
        view::query(&self.options.program, self.members[index].listen)
    }

    /// Where a member takes datagrams, behind the proxy.
    pub fn listen(&self, index: usize) -> SocketAddr {
        self.members[index].listen
    }
}

/// Opens the network paths of a member to its services; returns the addresses that it is to use.
fn connect_services(
    proxy: &FaultProxy,
    index: usize,
    engine: &MemberEngine,
    store: &Store,
    list: SocketAddr,
) -> io::Result<ServiceAddresses> {
    let (member, target) = (Endpoint::Member(index), store.clone());
    Ok(ServiceAddresses {
        engine: engine.address,
        store: proxy.stream(member, Endpoint::Store, store.address, move || target.listens())?,
        members: proxy.datagrams(member, Endpoint::List, list)?,
    })
}

/// What the routers send: nothing until a script sets a rate.
fn idle_workload(seed: u64) -> Workload {
    Workload { classes: request_classes(), rate: 0.0, routers: ROUTER_COUNT, retry_keyed: false, seed }
}

/// A port of loopback that nothing listens on now, at an address of its own.
fn unused_address() -> io::Result<SocketAddr> {
    bind_unique_address()?.local_addr()
}
