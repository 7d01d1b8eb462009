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
//! | `n1 slow 0.3` | it runs only in that part of the time; 1 ends it |
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
//! | `rules hold` | no rule is broken: see [`Rig::broken_rules`] |
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

use crate::listen::own_port;
use crate::machine::{Places, Switchboard, start_engine};
use crate::process::Platform;
use crate::routers::{Plan, Routers};
use crate::script::{Step, matches, steps};
use crate::store::{Crowd, Store};
use crate::switch::{End, Switch};
use crate::telemetry::classes;

/// What does not come within this time does not come.
const PATIENCE: Duration = Duration::from_secs(40);
/// Cores of each engine.
const CORES: f64 = 2.0;
/// Between two looks at a view.
const LOOK: Duration = Duration::from_millis(50);
/// A slowed process runs and stands in turns, which together take so long.
const SLICE: Duration = Duration::from_millis(40);
/// Slots of the store and time of its calls, where a script says nothing else.
const SLOTS: usize = 64;
const CALL: Duration = Duration::from_millis(5);
/// Routers.
const ROUTERS: usize = 3;

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
    goes_by: String,
    zone: String,
    listen: SocketAddr,
    rpc: SocketAddr,
    places: Places,
    board: Switchboard,
    child: Option<Child>,
    stopped: bool,
    /// Ends its slowness when it is set.
    slow: Option<Arc<AtomicBool>>,
}

/// The processes and what is around them. They end with this value.
pub struct Rig {
    options: Options,
    members: Vec<Member>,
    /// Between them.
    pub switch: Switch,
    /// The store that all share.
    pub store: Store,
    /// The routers in front.
    pub routers: Routers,
}

/// A script that did not go as it says.
#[derive(Debug)]
pub struct Broken(pub String);

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Broken {}

impl From<io::Error> for Broken {
    fn from(error: io::Error) -> Self {
        Broken(error.to_string())
    }
}

/// What is below the processes: an engine for each, the store, and the list service.
struct Below {
    engines: Vec<(SocketAddr, Switchboard)>,
    store: Store,
    list: SocketAddr,
}

/// Starts that on a thread of its own.
fn below(members: usize) -> io::Result<Below> {
    let (sender, started) = mpsc::channel();
    std::thread::spawn(move || {
        let executor = std::rc::Rc::new(async_executor::LocalExecutor::new());
        let start = || {
            let engine = |_| {
                let board = Switchboard::default();
                start_engine(CORES, &board, &executor).map(|address| (address, board))
            };
            let engines: io::Result<Vec<_>> = (0..members).map(engine).collect();
            let store = Store::start(Crowd::new(SLOTS, CALL), &executor)?;
            let socket = Async::<std::net::UdpSocket>::bind(([127, 0, 0, 1], 0))?;
            let list = socket.get_ref().local_addr()?;
            let reports = async move {
                let mut report = [0; 256];
                while socket.recv(&mut report).await.is_ok() {}
            };
            executor.spawn(reports).detach();
            Ok(Below { engines: engines?, store, list })
        };
        if sender.send(start()).is_ok() {
            async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
        }
    });
    started.recv().map_err(io::Error::other)?
}

/// A port of loopback that nothing listens on now, at an address of its own.
fn free() -> io::Result<SocketAddr> {
    own_port()?.local_addr()
}

impl Rig {
    /// Makes everything, and starts all processes at once.
    pub fn start(options: Options) -> io::Result<Rig> {
        let mut rig = Rig::prepare(options)?;
        for at in 0..rig.members.len() {
            rig.spawn(at)?;
        }
        Ok(rig)
    }

    /// Makes everything but starts no process.
    pub fn prepare(options: Options) -> io::Result<Rig> {
        std::fs::create_dir_all(&options.folder)?;
        let Below { engines, store, list } = below(options.members)?;
        let listens: io::Result<Vec<SocketAddr>> = (0..options.members).map(|_| free()).collect();
        let listens = listens?;
        let switch = Switch::start(listens.clone(), options.seed)?;
        let (mut members, mut fronts, mut boards) = (Vec::new(), Vec::new(), Vec::new());
        for (at, ((engine, board), listen)) in engines.into_iter().zip(listens).enumerate() {
            let (end, of_store) = (End::Member(at), store.clone());
            let places = Places {
                engine,
                store: switch.stream(end, End::Store, store.address, move || of_store.listens())?,
                members: switch.datagrams(end, End::List, list)?,
            };
            let rpc = free()?;
            fronts.push(switch.stream(End::Routers, end, rpc, || true)?);
            boards.push(board.clone());
            let name = format!("n{}", at + 1);
            members.push(Member {
                goes_by: name.clone(),
                name,
                zone: format!("z{}", at % options.zones.max(1) + 1),
                listen,
                rpc,
                places,
                board,
                child: None,
                stopped: false,
                slow: None,
            });
        }
        let plan = Plan {
            classes: classes(1.0).0,
            rate: 0.0,
            routers: ROUTERS,
            repeat_keyed: false,
            seed: options.seed,
        };
        let routers = Routers::start(plan, fronts, boards)?;
        Ok(Rig { options, members, switch, store, routers })
    }

    fn spawn(&mut self, at: usize) -> io::Result<()> {
        let Options { program, folder, period_ms, fleet, edge, seed, .. } = &self.options;
        let member = &mut self.members[at];
        let own = folder.join(&member.name);
        std::fs::create_dir_all(&own)?;
        let file = |name: &str, text: &str| -> io::Result<PathBuf> {
            let path = folder.join(format!("{}-{name}", member.name));
            std::fs::write(&path, text)?;
            Ok(path)
        };
        let platform = Platform {
            name: &member.goes_by,
            listen: member.rpc,
            places: member.places,
            seed: seed + at as u64,
            memory_mb: 64,
            sockets: 256,
            cores: CORES,
        };
        let seeds = self.switch.seeds();
        let edge = format!(
            "[fleet]\nlisten = \"{}\"\nadvertise = \"{}\"\nzone = \"{}\"\nperiod_ms = {period_ms}.0\nseeds = {seeds}\n{fleet}\n{}\n",
            member.listen,
            self.switch.ports[at],
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
            .env("RELAY_CONFIG", file("config.json", &platform.file())?)
            .env("PINEPOINT_TEST_CLOCK", folder.join(format!("{}-clock", member.name)))
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        (member.child, member.stopped) = (Some(child), false);
        Ok(())
    }

    fn at(&self, name: &str) -> Result<usize, Broken> {
        let at = self.members.iter().position(|member| member.name == name);
        at.ok_or_else(|| Broken(format!("no member {name}")))
    }

    fn pid(&self, at: usize) -> io::Result<Pid> {
        let id = self.members[at].child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        id.and_then(Pid::from_raw).ok_or_else(|| io::Error::other("it does not run"))
    }

    fn signal(&self, at: usize, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid(at)?, signal)?)
    }

    /// The number by which the system knows a process that runs.
    pub fn pid_of(&self, name: &str) -> Result<i32, Broken> {
        Ok(self.pid(self.at(name)?)?.as_raw_nonzero().get())
    }

    /// The engine of a process.
    pub fn board(&self, name: &str) -> Result<&Switchboard, Broken> {
        Ok(&self.members[self.at(name)?].board)
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
    pub fn run(&mut self, script: &str) -> Result<(), Broken> {
        for step in steps(script) {
            self.step(step).map_err(|Broken(why)| Broken(format!("{}: {why}", step.line)))?;
        }
        Ok(())
    }

    fn step(&mut self, step: Step<'_>) -> Result<(), Broken> {
        let words: Vec<&str> = step.words.split_whitespace().collect();
        match (step.actor, step.verb, words.as_slice()) {
            ("net", verb, words) => self.net(verb, words),
            ("store", verb, words) => self.change_store(verb, words),
            ("list", "down", []) => {
                let ends: Vec<End> = (0..self.members.len()).map(End::Member).collect();
                self.switch.faults().cut.extend(ends.into_iter().map(|end| (end, End::List)));
                Ok(())
            }
            ("list", "up", []) => {
                self.switch.faults().cut.retain(|(_, to)| *to != End::List);
                Ok(())
            }
            ("routers", "send", [rate]) => {
                self.routers.set_rate(number(rate)?);
                Ok(())
            }
            ("routers", "wait", ["served", n]) => {
                let wanted = self.routers.book().all().served + number(n)? as u64;
                self.await_routers(|book| book.all().served >= wanted)
            }
            ("routers", "wait", ["quiet"]) => self.await_routers(|book| book.open == 0),
            ("rules", "hold", []) => {
                let broken = self.broken_rules();
                if broken.is_empty() { Ok(()) } else { Err(Broken(broken.join("; "))) }
            }
            ("all", "wait", ["settled"]) => self.wait(|| self.untrue()),
            (actor, "wait", words) => self.await_each(actor, words),
            (actor, "never", ["verdict", kind]) => self.each(actor, |rig, at| {
                let view = rig.view(at).ok_or_else(|| Broken("it does not answer".into()))?;
                if judges(&view, kind, None) { Err(Broken(view["verdicts"].to_string())) } else { Ok(()) }
            }),
            (actor, "never", ["log", ..]) => {
                let pattern = step.words.trim_start_matches("log ");
                self.each(actor, |rig, at| match rig.logged(at, pattern) {
                    Some(line) => Err(Broken(line)),
                    None => Ok(()),
                })
            }
            (actor, verb, words) => {
                let who = self.who(actor)?;
                // All of them first, and only then what takes time.
                for at in &who {
                    self.act(*at, verb, words)?;
                }
                who.into_iter().try_for_each(|at| self.finish(at, verb))
            }
        }
    }

    /// The processes that an actor stands for.
    fn who(&self, actor: &str) -> Result<Vec<usize>, Broken> {
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

    fn each(&self, actor: &str, check: impl Fn(&Rig, usize) -> Result<(), Broken>) -> Result<(), Broken> {
        let told = |at: usize, why: Broken| Broken(format!("{}: {why}", self.members[at].name));
        self.who(actor)?.into_iter().try_for_each(|at| check(self, at).map_err(|why| told(at, why)))
    }

    fn await_each(&self, actor: &str, words: &[&str]) -> Result<(), Broken> {
        match words {
            ["verdict", kind, of @ ..] => {
                let of = of.first().copied();
                self.each(actor, |rig, at| rig.await_view(at, |view| judges(view, kind, of)))
            }
            ["no", "verdict", kind] => {
                self.each(actor, |rig, at| rig.await_view(at, |view| !judges(view, kind, None)))
            }
            ["log", words @ ..] => {
                let pattern = words.join(" ");
                let amiss = |rig: &Rig, at| {
                    rig.logged(at, &pattern).is_none().then(|| "its log never said so".to_owned())
                };
                self.each(actor, |rig, at| rig.wait(|| amiss(rig, at)))
            }
            [other, state] => {
                self.at(other)?;
                self.each(actor, |rig, at| rig.await_view(at, |view| state_of(view, other) == Some(state)))
            }
            _ => Err(Broken("no such line".into())),
        }
    }

    /// A line of its log that is so from `message=` on.
    fn logged(&self, at: usize, pattern: &str) -> Option<String> {
        let file = self.options.folder.join(format!("{}.log", self.members[at].name));
        let text = std::fs::read(file).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let said = text.lines().map(|line| line.split_once(" message=").map_or(line, |(_, told)| told));
        said.into_iter().find(|told| matches(pattern, told)).map(str::to_owned)
    }

    /// The rules that were broken so far: a second answer to one try, no answer by its time on a connection that lives,
    /// `Busy` told of a key that has run, a key that was run twice, a fall of the store, a process that ended by itself.
    pub fn broken_rules(&mut self) -> Vec<String> {
        let mut broken = self.routers.book().broken.clone();
        let mut runs: std::collections::BTreeMap<String, u32> = Default::default();
        for member in &self.members {
            for (body, n) in &member.board.power().begun {
                *runs.entry(body.clone()).or_default() += n;
            }
        }
        // Bodies of one request are the same in all its tries, and of no other.
        let keyed = |body: &str| body.ends_with(" keyed");
        let twice = runs.iter().filter(|(body, n)| **n > 1 && keyed(body));
        broken.extend(twice.map(|(body, n)| format!("{body} was run {n} times")));
        let falls = self.store.crowd().falls;
        if falls > 0 {
            broken.push(format!("the store fell {falls} times"));
        }
        for member in &mut self.members {
            if let Some(Ok(Some(status))) = member.child.as_mut().map(Child::try_wait) {
                broken.push(format!("{} ended by itself: {status}", member.name));
            }
        }
        broken
    }

    /// Looks until nothing is amiss any more; tells what was amiss last if that does not come in time.
    fn wait(&self, amiss: impl Fn() -> Option<String>) -> Result<(), Broken> {
        let until = Instant::now() + PATIENCE;
        loop {
            let Some(why) = amiss() else { return Ok(()) };
            if Instant::now() >= until {
                return Err(Broken(format!("not so in time: {why}")));
            }
            std::thread::sleep(LOOK);
        }
    }

    fn await_routers(&self, is_so: impl Fn(&crate::routers::Book) -> bool) -> Result<(), Broken> {
        self.wait(|| {
            let book = self.routers.book();
            (!is_so(&book)).then(|| format!("{:?}", book.all()))
        })
    }

    fn change_store(&mut self, verb: &str, words: &[&str]) -> Result<(), Broken> {
        let mut crowd = self.store.crowd();
        let ms = |word: &str| number(word).map(|ms| Duration::from_secs_f64(ms / 1000.0));
        match (verb, words) {
            ("down", []) => crowd.down = true,
            ("up", []) => crowd.down = false,
            ("slots", [n]) => crowd.slots = number(n)? as usize,
            ("call", [word]) => crowd.call = ms(word)?,
            ("away", [word]) => crowd.away = ms(word)?,
            _ => return Err(Broken("no such line".into())),
        }
        Ok(())
    }

    fn act(&mut self, at: usize, verb: &str, words: &[&str]) -> Result<(), Broken> {
        match (verb, words) {
            ("start", []) => self.spawn(at)?,
            ("kill", []) => {
                self.be_slow(at, 1.0)?;
                self.signal(at, Signal::KILL)?;
            }
            ("stop", []) => {
                self.routers.book().excused.insert(at);
                self.signal(at, Signal::STOP)?;
                self.members[at].stopped = true;
            }
            ("continue", []) => {
                self.signal(at, Signal::CONT)?;
                self.members[at].stopped = false;
            }
            ("slow", [part]) => self.be_slow(at, number(part)?)?,
            ("term", []) => self.signal(at, Signal::TERM)?,
            ("hup", []) => self.signal(at, Signal::HUP)?,
            ("clock", [ms]) => {
                number(ms)?;
                let file = self.options.folder.join(format!("{}-clock", self.members[at].name));
                std::fs::write(file, ms)?;
            }
            ("wipe", []) => std::fs::remove_dir_all(self.options.folder.join(&self.members[at].name))?,
            ("named", [name]) => self.members[at].goes_by = (*name).to_owned(),
            ("engine", ["down"]) => self.members[at].board.power().down = true,
            ("engine", ["up"]) => self.members[at].board.power().down = false,
            ("engine", ["chilly", ms]) => {
                self.members[at].board.power().chilly = Duration::from_secs_f64(number(ms)? / 1000.0);
            }
            _ => return Err(Broken("no such line".into())),
        }
        Ok(())
    }

    /// What an act takes time for.
    fn finish(&mut self, at: usize, verb: &str) -> Result<(), Broken> {
        if let "kill" | "term" = verb
            && let Some(mut child) = self.members[at].child.take()
        {
            let status = child.wait()?;
            if verb == "term" && !status.success() {
                return Err(Broken(format!("it ended with {status}")));
            }
        }
        Ok(())
    }

    /// Lets a process run only in this part of the time.
    fn be_slow(&mut self, at: usize, part: f64) -> Result<(), Broken> {
        if let Some(over) = self.members[at].slow.take() {
            over.store(true, Ordering::Relaxed);
        }
        if part >= 1.0 {
            return Ok(());
        }
        self.routers.book().excused.insert(at);
        let pid = self.pid(at)?;
        let over = Arc::new(AtomicBool::new(false));
        self.members[at].slow = Some(over.clone());
        std::thread::spawn(move || {
            let runs = SLICE.mul_f64(part.max(0.05));
            while !over.load(Ordering::Relaxed) && kill_process(pid, Signal::STOP).is_ok() {
                std::thread::sleep(SLICE - runs);
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
    fn end(&self, name: &str) -> Result<End, Broken> {
        Ok(match name {
            "store" => End::Store,
            "list" => End::List,
            "routers" => End::Routers,
            _ => End::Member(self.at(name)?),
        })
    }

    fn net(&mut self, verb: &str, words: &[&str]) -> Result<(), Broken> {
        let all: Vec<&str> = std::iter::once(verb).chain(words.iter().copied()).collect();
        match all.as_slice() {
            ["heal"] => *self.switch.faults() = Default::default(),
            ["loss", part] => self.switch.faults().loss = number(part)?,
            ["twice", part] => self.switch.faults().twice = number(part)?,
            ["delay", ms] => self.switch.faults().delay_ms = number(ms)? as u64,
            ["deaf", name, part] => {
                let (end, part) = (self.end(name)?, number(part)?);
                self.switch.faults().deaf.insert(end, part);
            }
            ["cut", from, to] => {
                let pair = (self.end(from)?, self.end(to)?);
                self.switch.faults().cut.insert(pair);
            }
            ["part", "zone", zone] => {
                let within = self.members.iter().enumerate().filter(|(_, member)| member.zone == *zone);
                let within: Vec<usize> = within.map(|(at, _)| at).collect();
                self.part(within);
            }
            ["part", names @ ..] => {
                let within: Result<Vec<usize>, Broken> = names.iter().map(|name| self.at(name)).collect();
                self.part(within?);
            }
            _ => return Err(Broken("no such fault".into())),
        }
        Ok(())
    }

    fn part(&mut self, within: Vec<usize>) {
        let mut faults = self.switch.faults();
        let number = faults.part.values().max().copied().unwrap_or(0) + 1;
        faults.part.extend(within.into_iter().map(|at| (End::Member(at), number)));
    }

    fn await_view(&self, at: usize, is_so: impl Fn(&Value) -> bool) -> Result<(), Broken> {
        self.wait(|| match self.view(at) {
            Some(view) if is_so(&view) => None,
            view => Some(format!("it holds {}", view.unwrap_or(Value::Null))),
        })
    }

    /// Who runs and is not stopped.
    fn running(&self) -> Vec<usize> {
        let runs = |member: &Member| member.child.is_some() && !member.stopped;
        self.members.iter().enumerate().filter(|(_, member)| runs(member)).map(|(at, _)| at).collect()
    }

    /// What is not settled, not the same or not true, if anything.
    fn untrue(&self) -> Option<String> {
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

impl Drop for Rig {
    fn drop(&mut self) {
        for member in &mut self.members {
            if let Some(over) = &member.slow {
                over.store(true, Ordering::Relaxed);
            }
            if let Some(child) = &mut member.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

fn number(word: &str) -> Result<f64, Broken> {
    word.parse::<f64>().map_err(|error| Broken(format!("{word}: {error}")))
}

/// What a view holds of a member.
pub fn state_of<'a>(view: &'a Value, name: &str) -> Option<&'a str> {
    let members = view["members"].as_array()?;
    members.iter().find(|member| member["name"] == name)?["state"].as_str()
}

/// Whether a view has this verdict, of anybody or of this one.
pub fn judges(view: &Value, kind: &str, of: Option<&str>) -> bool {
    let verdicts = view["verdicts"].as_array().into_iter().flatten();
    verdicts.into_iter().any(|verdict| verdict["kind"] == kind && of.is_none_or(|of| verdict["of"] == of))
}
