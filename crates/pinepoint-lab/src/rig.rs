//! Many real processes of the program under failure: each with an engine of its own, one store and one list service, a
//! switch between them, and scripts of faults and expectations. It owns the processes and the language; it knows the program
//! by its command line and its files only.
//!
//! Lines of `ACTOR VERB WORDS`, as in the node's scenarios:
//!
//! | line | meaning |
//! | --- | --- |
//! | `n1 start`, `n1 kill` | start the process, kill it outright |
//! | `n1 stop`, `n1 continue` | stop it as by SIGSTOP, let it go on |
//! | `n1 term` | tell it to leave, and wait for its end |
//! | `net loss 0.2`, `net twice 0.1`, `net delay 50` | of all datagrams; ms |
//! | `net deaf n1 0.3` | lose that part of what it is sent |
//! | `net cut n1 n2` | nothing goes from the first to the second |
//! | `net part n1 n2`, `net part zone z1` | these hear only each other |
//! | `net heal` | all of the above is over |
//! | `all wait settled` | every process that runs has a settled view, the same, and true |
//! | `n1 wait n2 STATE` | it holds that of it |
//! | `n1 wait verdict KIND [OF]` | it judges so |
//! | `n1 never verdict KIND` | it does not judge so now |
//!
//! A wait has a deadline; what it saw last is told when it passes.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::machine::{Machine, Places};
use crate::process::Platform;
use crate::switch::Switch;

/// What does not come within this time does not come.
const PATIENCE: Duration = Duration::from_secs(30);
/// Cores of each engine.
const CORES: f64 = 2.0;
/// Between two looks at a view.
const LOOK: Duration = Duration::from_millis(50);

/// What a rig is like.
#[derive(Clone, Debug)]
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
}

struct Member {
    name: String,
    zone: String,
    listen: SocketAddr,
    engine: SocketAddr,
    child: Option<Child>,
    stopped: bool,
}

/// The processes and what is around them. They end with this value.
pub struct Rig {
    options: Options,
    members: Vec<Member>,
    /// Between them.
    pub switch: Switch,
    places: Places,
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

/// Starts an engine for each member, and one store and list service for all, on a thread of their own.
fn machines(members: usize) -> io::Result<Vec<Places>> {
    let (sender, places) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let executor = std::rc::Rc::new(async_executor::LocalExecutor::new());
        let machine = Machine { cores: CORES, call: Duration::from_millis(5) };
        for _ in 0..members {
            let started = machine.start(&executor).map(|(places, _)| places);
            if sender.send(started).is_err() {
                return;
            }
        }
        drop(sender);
        async_io::block_on(executor.run(futures_lite::future::pending::<()>()));
    });
    places.iter().collect()
}

/// Members of all rigs of this process: each has an address of its own, so that no two are given one port.
static MEMBERS: AtomicUsize = AtomicUsize::new(0);

/// A port of loopback that nothing listens on now, at an address of its own: systems hand out ports at 127.0.0.1.
fn free() -> io::Result<SocketAddr> {
    let number = MEMBERS.fetch_add(1, Ordering::Relaxed);
    let (high, low) = ((number / 250 % 100) as u8, 1 + (number % 250) as u8);
    let host = [127, 77 + high, (std::process::id() % 250) as u8, low];
    TcpListener::bind((std::net::Ipv4Addr::from(host), 0))?.local_addr()
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
        let machines = machines(options.members)?;
        let mut members = Vec::new();
        for (at, places) in machines.iter().enumerate() {
            members.push(Member {
                name: format!("n{}", at + 1),
                zone: format!("z{}", at % options.zones.max(1) + 1),
                listen: free()?,
                engine: places.engine,
                child: None,
                stopped: false,
            });
        }
        let behind = members.iter().map(|member| member.listen).collect();
        let switch = Switch::start(behind, options.seed)?;
        let places =
            machines.first().copied().ok_or_else(|| io::Error::other("a rig needs at least one member"))?;
        Ok(Rig { options, members, switch, places })
    }

    fn spawn(&mut self, at: usize) -> io::Result<()> {
        let Options { program, folder, period_ms, .. } = &self.options;
        let member = &mut self.members[at];
        let file = |name: &str, text: &str| -> io::Result<PathBuf> {
            let path = folder.join(format!("{}-{name}", member.name));
            std::fs::write(&path, text)?;
            Ok(path)
        };
        let platform = Platform {
            name: &member.name,
            places: Places { engine: member.engine, ..self.places },
            seed: self.options.seed + at as u64,
            memory_mb: 64,
            sockets: 256,
            cores: CORES,
        };
        let seeds = self.switch.seeds();
        let edge = format!(
            "[fleet]\nlisten = \"{}\"\nadvertise = \"{}\"\nzone = \"{}\"\nperiod_ms = {period_ms}.0\nseeds = {seeds}\n",
            member.listen, self.switch.ports[at], member.zone
        );
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", member.name)))?;
        let child = Command::new(program)
            .arg("--edge")
            .arg(file("edge.toml", &edge)?)
            .env("RELAY_CONFIG", file("config.json", &platform.file())?)
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

    fn signal(&self, at: usize, signal: Signal) -> io::Result<()> {
        let id = self.members[at].child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        let pid = id.and_then(Pid::from_raw).ok_or_else(|| io::Error::other("it does not run"))?;
        Ok(kill_process(pid, signal)?)
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
        for line in script.lines().map(str::trim).filter(|line| !line.is_empty() && !line.starts_with('#')) {
            let words: Vec<&str> = line.split_whitespace().collect();
            self.line(&words).map_err(|Broken(why)| Broken(format!("{line}: {why}")))?;
        }
        Ok(())
    }

    fn line(&mut self, words: &[&str]) -> Result<(), Broken> {
        match words {
            ["net", words @ ..] => self.net(words),
            ["all", "wait", "settled"] => self.await_settled(),
            [name, verb] => {
                let at = self.at(name)?;
                self.act(at, verb)
            }
            [name, "wait", "verdict", kind, of @ ..] => {
                let (at, of) = (self.at(name)?, of.first().copied());
                self.await_view(at, |view| judges(view, kind, of))
            }
            [name, "wait", other, state] => {
                let at = self.at(name)?;
                self.await_view(at, |view| state_of(view, other) == Some(state))
            }
            [name, "never", "verdict", kind] => {
                let view = self.view(self.at(name)?).ok_or_else(|| Broken("it does not answer".into()))?;
                if judges(&view, kind, None) { Err(Broken(view["verdicts"].to_string())) } else { Ok(()) }
            }
            _ => Err(Broken("no such line".into())),
        }
    }

    fn act(&mut self, at: usize, verb: &str) -> Result<(), Broken> {
        match verb {
            "start" => self.spawn(at)?,
            "kill" => {
                if let Some(mut child) = self.members[at].child.take() {
                    child.kill()?;
                    child.wait()?;
                }
            }
            "stop" => {
                self.signal(at, Signal::STOP)?;
                self.members[at].stopped = true;
            }
            "continue" => {
                self.signal(at, Signal::CONT)?;
                self.members[at].stopped = false;
            }
            "term" => {
                self.signal(at, Signal::TERM)?;
                if let Some(mut child) = self.members[at].child.take() {
                    let status = child.wait()?;
                    if !status.success() {
                        return Err(Broken(format!("it ended with {status}")));
                    }
                }
            }
            _ => return Err(Broken("no such verb".into())),
        }
        Ok(())
    }

    fn net(&mut self, words: &[&str]) -> Result<(), Broken> {
        let number = |word: &str| word.parse::<f64>().map_err(|error| Broken(format!("{word}: {error}")));
        match words {
            ["heal"] => *self.switch.faults() = Default::default(),
            ["loss", part] => self.switch.faults().loss = number(part)?,
            ["twice", part] => self.switch.faults().twice = number(part)?,
            ["delay", ms] => self.switch.faults().delay_ms = number(ms)? as u64,
            ["deaf", name, part] => {
                let (at, part) = (self.at(name)?, number(part)?);
                self.switch.faults().deaf.insert(at, part);
            }
            ["cut", from, to] => {
                let pair = (self.at(from)?, self.at(to)?);
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
        faults.part.extend(within.into_iter().map(|at| (at, number)));
    }

    fn await_view(&self, at: usize, is_so: impl Fn(&Value) -> bool) -> Result<(), Broken> {
        let until = Instant::now() + PATIENCE;
        let mut last = Value::Null;
        while Instant::now() < until {
            if let Some(view) = self.view(at) {
                if is_so(&view) {
                    return Ok(());
                }
                last = view;
            }
            std::thread::sleep(LOOK);
        }
        Err(Broken(format!("not so in time; it holds {last}")))
    }

    /// Who runs and is not stopped.
    fn running(&self) -> Vec<usize> {
        let runs = |member: &Member| member.child.is_some() && !member.stopped;
        self.members.iter().enumerate().filter(|(_, member)| runs(member)).map(|(at, _)| at).collect()
    }

    fn await_settled(&self) -> Result<(), Broken> {
        let until = Instant::now() + PATIENCE;
        let mut last = String::new();
        while Instant::now() < until {
            match self.untrue() {
                None => return Ok(()),
                Some(why) => last = why,
            }
            std::thread::sleep(LOOK);
        }
        Err(Broken(format!("not so in time: {last}")))
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
            if let Some(child) = &mut member.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
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
