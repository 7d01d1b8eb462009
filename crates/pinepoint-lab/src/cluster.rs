//! Many real processes of the program under failure: each with an engine of its own, one store and one list service,
//! routers in front, a switch between them all, and scripts of faults and expectations. It owns the processes and what a
//! script may say; it knows the program by its command line, its files and its log only.
//!
//! Lines of `ACTOR VERB WORDS` in the language of [`crate::script`]. An actor is a process (`n1`), a zone (`z2`), some of these
//! (`n1,z2`) or `all`; what happens to several happens in the same instant.
//!
//! | line | meaning |
//! | --- | --- |
//! | `n1 start`, `n1 kill` | start the process, kill it and its engine's runs outright |
//! | `n1 stop`, `n1 continue` | stop it as by SIGSTOP, let it go on |
//! | `n1 throttle_stop 0.3` | it runs only in that part of the time; 1 ends it |
//! | `n1 term` | tell it to leave, and wait for its end |
//! | `n1 hup` | tell it to read its files again |
//! | `n1 clock 10000` | set its clock off by so many ms |
//! | `n1 wipe` | its directory is gone |
//! | `n1 named n2` | it goes by that name from its next start on |
//! | `n1 engine down`, `n1 engine up`, `n1 engine chilly 3000` | its engine; chilly for whoever attaches next, ms |
//! | `store down`, `store up`, `store slots 4`, `store call 20`, `store away 5000` | the store that all share; ms |
//! | `list down`, `list up` | the list service |
//! | `net loss 0.2`, `net twice 0.1`, `net delay 50` | of all that is forwarded; ms |
//! | `net deaf n1 0.3` | lose that part of what it is sent |
//! | `net cut n1 n2` | nothing goes from the first to the second; `store`, `list`, `routers` are ends too |
//! | `net part n1 n2`, `net part zone z1` | these reach only each other |
//! | `net heal` | all of the above is over |
//! | `routers send 100`, `routers send 0` | requests a second from now on |
//! | `routers wait served 50`, `routers wait quiet` | so many more are served; all have ended |
//! | `rules hold` | no rule is broken: see [`Cluster::violations`] |
//! | `all wait settled` | every process that runs has a settled view, the same, and true |
//! | `n1 wait n2 STATE` | it holds that of it |
//! | `n1 wait verdict KIND [OF]`, `n1 wait no verdict KIND` | it judges so, or no longer |
//! | `n1 never verdict KIND` | it does not judge so now |
//! | `n1 wait log PATTERN`, `n1 never log PATTERN` | a line of its log that begins with what stands behind `message=`, ever |
//!
//! A wait has a deadline; what it saw last is told when it passes.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use async_io::Async;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::fault_proxy::{Endpoint, FaultProxy};
use crate::listen::bind_unique_address;
use crate::machine::{EngineControl, ServiceAddresses, start_engine};
use crate::process::PlatformConfig;
use crate::routers::{Routers, Workload};
use crate::script::{Step, matches, steps};
use crate::store::{Store, StoreState};
use crate::telemetry::request_classes;

/// What does not come within this time does not come.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Cores of each engine.
const ENGINE_CORES: f64 = 2.0;
/// Between two looks at a view.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A slowed process runs and stands in turns, which together take so long.
const THROTTLE_SLICE: Duration = Duration::from_millis(40);
/// Slots of the store and time of its calls, where a script says nothing else.
const STORE_SLOTS: usize = 64;
const STORE_CALL: Duration = Duration::from_millis(5);
/// Routers.
const ROUTER_COUNT: usize = 3;

/// What a rig is like.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// A folder for its files.
    pub folder: PathBuf,
    /// Processes.
    pub members: usize,
    /// Zones that they are in, in turns.
    pub zones: usize,
    /// Period of the fleet, ms.
    pub period_ms: u64,
    /// What is drawn at random follows from it.
    pub seed: u64,
    /// More lines of the section `[fleet]`.
    pub fleet: String,
    /// More sections of the edge file; `DIR` stands for the directory of the process.
    pub edge: String,
}

struct Member {
    /// In scripts.
    name: String,
    /// In its configuration.
    configured_name: String,
    zone: String,
    listen: SocketAddr,
    rpc: SocketAddr,
    addresses: ServiceAddresses,
    control: EngineControl,
    child: Option<Child>,
    stopped: bool,
    /// Ends its slowness when it is set.
    throttle_stop: Option<Arc<AtomicBool>>,
}

/// The processes and what is around them. They end with this value.
pub struct Cluster {
    options: Options,
    members: Vec<Member>,
    /// Between them.
    pub proxy: FaultProxy,
    /// The store that all share.
    pub store: Store,
    /// The routers in front.
    pub routers: Routers,
}

/// A script that did not go as it says.
#[derive(Debug)]
pub struct ScriptError(pub String);

impl std::fmt::Display for ScriptError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ScriptError {}

impl From<io::Error> for ScriptError {
    fn from(error: io::Error) -> Self {
        ScriptError(error.to_string())
    }
}

/// What is below the processes: an engine for each, the store, and the list service.
struct Services {
    engines: Vec<(SocketAddr, EngineControl)>,
    store: Store,
    list: SocketAddr,
}

/// Starts that on a thread of its own.
fn start_services(members: usize) -> io::Result<Services> {
    let (sender, started) = mpsc::channel();
    std::thread::spawn(move || {
        let executor = std::rc::Rc::new(async_executor::LocalExecutor::new());
        let start = || {
            let engine = |_| {
                let control = EngineControl::default();
                start_engine(ENGINE_CORES, &control, &executor).map(|address| (address, control))
            };
            let engines: io::Result<Vec<_>> = (0..members).map(engine).collect();
            let store = Store::start(StoreState::new(STORE_SLOTS, STORE_CALL), &executor)?;
            let socket = Async::<std::net::UdpSocket>::bind(([127, 0, 0, 1], 0))?;
            let list = socket.get_ref().local_addr()?;
            let reports = async move {
                let mut report = [0; 256];
                while socket.recv(&mut report).await.is_ok() {}
            };
            executor.spawn(reports).detach();
            Ok(Services { engines: engines?, store, list })
        };
        if sender.send(start()).is_ok() {
            async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
        }
    });
    started.recv().map_err(io::Error::other)?
}

/// A port of loopback that nothing listens on now, at an address of its own.
fn free() -> io::Result<SocketAddr> {
    bind_unique_address()?.local_addr()
}

impl Cluster {
    /// Makes everything, and starts all processes at once.
    pub fn start(options: Options) -> io::Result<Cluster> {
        let mut cluster = Cluster::prepare(options)?;
        for at in 0..cluster.members.len() {
            cluster.start_member(at)?;
        }
        Ok(cluster)
    }

    /// Makes everything but starts no process.
    pub fn prepare(options: Options) -> io::Result<Cluster> {
        std::fs::create_dir_all(&options.folder)?;
        let Services { engines, store, list } = start_services(options.members)?;
        let listens: io::Result<Vec<SocketAddr>> = (0..options.members).map(|_| free()).collect();
        let listens = listens?;
        let proxy = FaultProxy::start(listens.clone(), options.seed)?;
        let (mut members, mut front_addresses, mut controls) = (Vec::new(), Vec::new(), Vec::new());
        for (at, ((engine, control), listen)) in engines.into_iter().zip(listens).enumerate() {
            let (end, of_store) = (Endpoint::Member(at), store.clone());
            let addresses = ServiceAddresses {
                engine,
                store: proxy.stream(end, Endpoint::Store, store.address, move || of_store.listens())?,
                members: proxy.datagrams(end, Endpoint::List, list)?,
            };
            let rpc = free()?;
            front_addresses.push(proxy.stream(Endpoint::Routers, end, rpc, || true)?);
            controls.push(control.clone());
            let name = format!("n{}", at + 1);
            members.push(Member {
                configured_name: name.clone(),
                name,
                zone: format!("z{}", at % options.zones.max(1) + 1),
                listen,
                rpc,
                addresses,
                control,
                child: None,
                stopped: false,
                throttle_stop: None,
            });
        }
        let workload = Workload {
            classes: request_classes(1.0).0,
            rate: 0.0,
            routers: ROUTER_COUNT,
            retry_keyed: false,
            seed: options.seed,
        };
        let routers = Routers::start(workload, front_addresses, controls)?;
        Ok(Cluster { options, members, proxy, store, routers })
    }

    fn start_member(&mut self, at: usize) -> io::Result<()> {
        let Options { program, folder, period_ms, fleet, edge, seed, .. } = &self.options;
        let member = &mut self.members[at];
        let own = folder.join(&member.name);
        std::fs::create_dir_all(&own)?;
        let file = |name: &str, text: &str| -> io::Result<PathBuf> {
            let path = folder.join(format!("{}-{name}", member.name));
            std::fs::write(&path, text)?;
            Ok(path)
        };
        let platform = PlatformConfig {
            name: &member.configured_name,
            listen: member.rpc,
            addresses: member.addresses,
            seed: seed + at as u64,
            memory_mb: 64,
            sockets: 256,
            cores: ENGINE_CORES,
        };
        let seeds = self.proxy.seeds();
        let edge = format!(
            "[fleet]\nlisten = \"{}\"\nadvertise = \"{}\"\nzone = \"{}\"\nperiod_ms = {period_ms}.0\nseeds = {seeds}\n{fleet}\n{}\n",
            member.listen,
            self.proxy.ports[at],
            member.zone,
            edge.replace("DIR", &own.display().to_string())
        );
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", member.name)))?;
        let child = Command::new(program)
            .arg("--edge")
            .arg(file("edge.toml", &edge)?)
            .env("RELAY_CONFIG", file("config.json", &platform.render())?)
            .env("PINEPOINT_TEST_CLOCK", folder.join(format!("{}-clock", member.name)))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        (member.child, member.stopped) = (Some(child), false);
        Ok(())
    }

    fn at(&self, name: &str) -> Result<usize, ScriptError> {
        let at = self.members.iter().position(|member| member.name == name);
        at.ok_or_else(|| ScriptError(format!("no member {name}")))
    }

    fn pid(&self, at: usize) -> io::Result<Pid> {
        let id = self.members[at].child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        id.and_then(Pid::from_raw).ok_or_else(|| io::Error::other("it does not run"))
    }

    fn signal(&self, at: usize, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid(at)?, signal)?)
    }

    /// The number by which the system knows a process that runs.
    pub fn pid_of(&self, name: &str) -> Result<i32, ScriptError> {
        Ok(self.pid(self.at(name)?)?.as_raw_nonzero().get())
    }

    /// The engine of a process.
    pub fn control(&self, name: &str) -> Result<&EngineControl, ScriptError> {
        Ok(&self.members[self.at(name)?].control)
    }

    /// The folder with the files and logs of the processes.
    pub fn folder(&self) -> &Path {
        &self.options.folder
    }

    /// The view of a member, as the program's own command line tells it; nothing if it does not answer.
    pub fn view(&self, at: usize) -> Option<Value> {
        let listen = self.members[at].listen.to_string();
        let words = ["fleet", "view", "--json", "--at", &listen];
        let output = Command::new(&self.options.program).args(words).output().ok()?;
        serde_json::from_slice(&output.stdout).ok()
    }

    /// Where a member's datagrams come in, behind the switch.
    pub fn listen(&self, at: usize) -> SocketAddr {
        self.members[at].listen
    }

    /// Runs a script.
    pub fn run(&mut self, script: &str) -> Result<(), ScriptError> {
        for step in steps(script) {
            self.step(step).map_err(|ScriptError(why)| ScriptError(format!("{}: {why}", step.line)))?;
        }
        Ok(())
    }

    fn step(&mut self, step: Step<'_>) -> Result<(), ScriptError> {
        let words: Vec<&str> = step.words.split_whitespace().collect();
        match (step.actor, step.verb, words.as_slice()) {
            ("net", verb, words) => self.net(verb, words),
            ("store", verb, words) => self.change_store(verb, words),
            ("list", "down", []) => {
                let ends: Vec<Endpoint> = (0..self.members.len()).map(Endpoint::Member).collect();
                self.proxy.faults().blocked.extend(ends.into_iter().map(|end| (end, Endpoint::List)));
                Ok(())
            }
            ("list", "up", []) => {
                self.proxy.faults().blocked.retain(|(_, to)| *to != Endpoint::List);
                Ok(())
            }
            ("routers", "send", [rate]) => {
                self.routers.set_rate(number(rate)?);
                Ok(())
            }
            ("routers", "wait", ["served", n]) => {
                let wanted = self.routers.stats().all().served + number(n)? as u64;
                self.await_routers(|stats| stats.all().served >= wanted)
            }
            ("routers", "wait", ["quiet"]) => self.await_routers(|stats| stats.in_flight == 0),
            ("rules", "hold", []) => {
                let violations = self.violations();
                if violations.is_empty() { Ok(()) } else { Err(ScriptError(violations.join("; "))) }
            }
            ("all", "wait", ["settled"]) => self.wait(|| self.unsettled_reason()),
            (actor, "wait", words) => self.await_each(actor, words),
            (actor, "never", ["verdict", kind]) => self.each(actor, |cluster, at| {
                let view = cluster.view(at).ok_or_else(|| ScriptError("it does not answer".into()))?;
                if has_verdict(&view, kind, None) {
                    Err(ScriptError(view["verdicts"].to_string()))
                } else {
                    Ok(())
                }
            }),
            (actor, "never", ["log", ..]) => {
                let pattern = step.words.trim_start_matches("log ");
                self.each(actor, |cluster, at| match cluster.logged_line(at, pattern) {
                    Some(line) => Err(ScriptError(line)),
                    None => Ok(()),
                })
            }
            (actor, verb, words) => {
                let who = self.who(actor)?;
                // All of them first, and only then what takes time.
                for at in &who {
                    self.apply(*at, verb, words)?;
                }
                who.into_iter().try_for_each(|at| self.finish(at, verb))
            }
        }
    }

    /// The processes that an actor stands for.
    fn who(&self, actor: &str) -> Result<Vec<usize>, ScriptError> {
        if actor == "all" {
            return Ok((0..self.members.len()).collect());
        }
        let mut who = Vec::new();
        for word in actor.split(',') {
            let of_zone = (0..self.members.len()).filter(|at| self.members[*at].zone == word);
            let before = who.len();
            who.extend(of_zone);
            if who.len() == before {
                who.push(self.at(word)?);
            }
        }
        Ok(who)
    }

    fn each(
        &self,
        actor: &str,
        check: impl Fn(&Cluster, usize) -> Result<(), ScriptError>,
    ) -> Result<(), ScriptError> {
        let told = |at: usize, why: ScriptError| ScriptError(format!("{}: {why}", self.members[at].name));
        self.who(actor)?.into_iter().try_for_each(|at| check(self, at).map_err(|why| told(at, why)))
    }

    fn await_each(&self, actor: &str, words: &[&str]) -> Result<(), ScriptError> {
        match words {
            ["verdict", kind, of @ ..] => {
                let of = of.first().copied();
                self.each(actor, |cluster, at| cluster.await_view(at, |view| has_verdict(view, kind, of)))
            }
            ["no", "verdict", kind] => {
                self.each(actor, |cluster, at| cluster.await_view(at, |view| !has_verdict(view, kind, None)))
            }
            ["log", words @ ..] => {
                let pattern = words.join(" ");
                let problem = |cluster: &Cluster, at| {
                    cluster.logged_line(at, &pattern).is_none().then(|| "its log never said so".to_owned())
                };
                self.each(actor, |cluster, at| cluster.wait(|| problem(cluster, at)))
            }
            [other, state] => {
                self.at(other)?;
                self.each(actor, |cluster, at| {
                    cluster.await_view(at, |view| state_of(view, other) == Some(state))
                })
            }
            _ => Err(ScriptError("no such line".into())),
        }
    }

    /// A line of its log that is so from `message=` on.
    fn logged_line(&self, at: usize, pattern: &str) -> Option<String> {
        let file = self.options.folder.join(format!("{}.log", self.members[at].name));
        let text = std::fs::read(file).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let said = text.lines().map(|line| line.split_once(" message=").map_or(line, |(_, told)| told));
        said.into_iter().find(|told| matches(pattern, told)).map(str::to_owned)
    }

    /// The rules that were broken so far: a second answer to one try, no answer by its time on a connection that lives,
    /// `Busy` told of a key that has run, a key that was run twice, a fall of the store, a process that ended by itself.
    pub fn violations(&mut self) -> Vec<String> {
        let mut violations = self.routers.stats().violations.clone();
        let mut runs: std::collections::BTreeMap<String, u32> = Default::default();
        for member in &self.members {
            for (body, n) in &member.control.state().started {
                *runs.entry(body.clone()).or_default() += n;
            }
        }
        // Bodies of one request are the same in all its tries, and of no other.
        let keyed = |body: &str| body.ends_with(" keyed");
        let twice = runs.iter().filter(|(body, n)| **n > 1 && keyed(body));
        violations.extend(twice.map(|(body, n)| format!("{body} was run {n} times")));
        let falls = self.store.state().crashes;
        if falls > 0 {
            violations.push(format!("the store fell {falls} times"));
        }
        for member in &mut self.members {
            if let Some(Ok(Some(status))) = member.child.as_mut().map(Child::try_wait) {
                violations.push(format!("{} ended by itself: {status}", member.name));
            }
        }
        violations
    }

    /// Looks until nothing is amiss any more; tells what was amiss last if that does not come in time.
    fn wait(&self, problem: impl Fn() -> Option<String>) -> Result<(), ScriptError> {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let Some(why) = problem() else { return Ok(()) };
            if Instant::now() >= until {
                return Err(ScriptError(format!("not so in time: {why}")));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn await_routers(
        &self,
        condition: impl Fn(&crate::routers::RouterStats) -> bool,
    ) -> Result<(), ScriptError> {
        self.wait(|| {
            let stats = self.routers.stats();
            (!condition(&stats)).then(|| format!("{:?}", stats.all()))
        })
    }

    fn change_store(&mut self, verb: &str, words: &[&str]) -> Result<(), ScriptError> {
        let mut state = self.store.state();
        let ms = |word: &str| number(word).map(|ms| Duration::from_secs_f64(ms / 1000.0));
        match (verb, words) {
            ("down", []) => state.down = true,
            ("up", []) => state.down = false,
            ("slots", [n]) => state.slots = number(n)? as usize,
            ("call", [word]) => state.call = ms(word)?,
            ("away", [word]) => state.outage = ms(word)?,
            _ => return Err(ScriptError("no such line".into())),
        }
        Ok(())
    }

    fn apply(&mut self, at: usize, verb: &str, words: &[&str]) -> Result<(), ScriptError> {
        match (verb, words) {
            ("start", []) => self.start_member(at)?,
            ("kill", []) => {
                self.throttle(at, 1.0)?;
                self.signal(at, Signal::KILL)?;
            }
            ("stop", []) => {
                self.routers.stats().excused.insert(at);
                self.signal(at, Signal::STOP)?;
                self.members[at].stopped = true;
            }
            ("continue", []) => {
                self.signal(at, Signal::CONT)?;
                self.members[at].stopped = false;
            }
            ("slow", [part]) => self.throttle(at, number(part)?)?,
            ("term", []) => self.signal(at, Signal::TERM)?,
            ("hup", []) => self.signal(at, Signal::HUP)?,
            ("clock", [ms]) => {
                number(ms)?;
                let file = self.options.folder.join(format!("{}-clock", self.members[at].name));
                std::fs::write(file, ms)?;
            }
            ("wipe", []) => std::fs::remove_dir_all(self.options.folder.join(&self.members[at].name))?,
            ("named", [name]) => self.members[at].configured_name = (*name).to_owned(),
            ("engine", ["down"]) => self.members[at].control.state().down = true,
            ("engine", ["up"]) => self.members[at].control.state().down = false,
            ("engine", ["chilly", ms]) => {
                self.members[at].control.state().warm_up = Duration::from_secs_f64(number(ms)? / 1000.0);
            }
            _ => return Err(ScriptError("no such line".into())),
        }
        Ok(())
    }

    /// What an act takes time for.
    fn finish(&mut self, at: usize, verb: &str) -> Result<(), ScriptError> {
        if let "kill" | "term" = verb
            && let Some(mut child) = self.members[at].child.take()
        {
            let status = child.wait()?;
            if verb == "term" && !status.success() {
                return Err(ScriptError(format!("it ended with {status}")));
            }
        }
        Ok(())
    }

    /// Lets a process run only in this part of the time.
    fn throttle(&mut self, at: usize, part: f64) -> Result<(), ScriptError> {
        if let Some(stop) = self.members[at].throttle_stop.take() {
            stop.store(true, Ordering::Relaxed);
        }
        if part >= 1.0 {
            return Ok(());
        }
        self.routers.stats().excused.insert(at);
        let pid = self.pid(at)?;
        let stop = Arc::new(AtomicBool::new(false));
        self.members[at].throttle_stop = Some(stop.clone());
        std::thread::spawn(move || {
            let runs = THROTTLE_SLICE.mul_f64(part.max(0.05));
            while !stop.load(Ordering::Relaxed) && kill_process(pid, Signal::STOP).is_ok() {
                std::thread::sleep(THROTTLE_SLICE - runs);
                if kill_process(pid, Signal::CONT).is_err() {
                    return;
                }
                std::thread::sleep(runs);
            }
            let _ = kill_process(pid, Signal::CONT);
        });
        Ok(())
    }

    /// The end of a way that goes by this name.
    fn end(&self, name: &str) -> Result<Endpoint, ScriptError> {
        Ok(match name {
            "store" => Endpoint::Store,
            "list" => Endpoint::List,
            "routers" => Endpoint::Routers,
            _ => Endpoint::Member(self.at(name)?),
        })
    }

    fn net(&mut self, verb: &str, words: &[&str]) -> Result<(), ScriptError> {
        let all: Vec<&str> = std::iter::once(verb).chain(words.iter().copied()).collect();
        match all.as_slice() {
            ["heal"] => *self.proxy.faults() = Default::default(),
            ["loss", part] => self.proxy.faults().loss = number(part)?,
            ["twice", part] => self.proxy.faults().duplication = number(part)?,
            ["delay", ms] => self.proxy.faults().delay_ms = number(ms)? as u64,
            ["deaf", name, part] => {
                let (end, part) = (self.end(name)?, number(part)?);
                self.proxy.faults().receive_loss.insert(end, part);
            }
            ["cut", from, to] => {
                let pair = (self.end(from)?, self.end(to)?);
                self.proxy.faults().blocked.insert(pair);
            }
            ["part", "zone", zone] => {
                let within = self.members.iter().enumerate().filter(|(_, member)| member.zone == *zone);
                let within: Vec<usize> = within.map(|(at, _)| at).collect();
                self.partition(within);
            }
            ["part", names @ ..] => {
                let within: Result<Vec<usize>, ScriptError> =
                    names.iter().map(|name| self.at(name)).collect();
                self.partition(within?);
            }
            _ => return Err(ScriptError("no such fault".into())),
        }
        Ok(())
    }

    fn partition(&mut self, within: Vec<usize>) {
        let mut faults = self.proxy.faults();
        let number = faults.partition.values().max().copied().unwrap_or(0) + 1;
        faults.partition.extend(within.into_iter().map(|at| (Endpoint::Member(at), number)));
    }

    fn await_view(&self, at: usize, condition: impl Fn(&Value) -> bool) -> Result<(), ScriptError> {
        self.wait(|| match self.view(at) {
            Some(view) if condition(&view) => None,
            view => Some(format!("it holds {}", view.unwrap_or(Value::Null))),
        })
    }

    /// Who runs and is not stopped.
    fn running(&self) -> Vec<usize> {
        let runs = |member: &Member| member.child.is_some() && !member.stopped;
        self.members.iter().enumerate().filter(|(_, member)| runs(member)).map(|(at, _)| at).collect()
    }

    /// What is not settled, not the same or not true, if anything.
    fn unsettled_reason(&self) -> Option<String> {
        let running = self.running();
        let mut digest: Option<Value> = None;
        for at in &running {
            let name = &self.members[*at].name;
            let Some(view) = self.view(*at) else { return Some(format!("{name} does not answer")) };
            if view["settled"] != true {
                return Some(format!("{name} is not settled: {view}"));
            }
            if digest.get_or_insert_with(|| view["digest"].clone()) != &view["digest"] {
                return Some(format!("{name} holds another view: {view}"));
            }
            for (other, member) in self.members.iter().enumerate() {
                let state = state_of(&view, &member.name);
                let up = state.is_some_and(|state| !["left", "lost", "suspected"].contains(&state));
                if up != running.contains(&other) {
                    return Some(format!("{name} holds {} {state:?}", member.name));
                }
            }
        }
        None
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for member in &mut self.members {
            if let Some(stop) = &member.throttle_stop {
                stop.store(true, Ordering::Relaxed);
            }
            if let Some(child) = &mut member.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn number(word: &str) -> Result<f64, ScriptError> {
    word.parse::<f64>().map_err(|error| ScriptError(format!("{word}: {error}")))
}

/// What a view holds of a member.
pub fn state_of<'a>(view: &'a Value, name: &str) -> Option<&'a str> {
    let members = view["members"].as_array()?;
    members.iter().find(|member| member["name"] == name)?["state"].as_str()
}

/// Whether a view has this verdict, of anybody or of this one.
pub fn has_verdict(view: &Value, kind: &str, of: Option<&str>) -> bool {
    let verdicts = view["verdicts"].as_array().into_iter().flatten();
    verdicts.into_iter().any(|verdict| verdict["kind"] == kind && of.is_none_or(|of| verdict["of"] == of))
}
