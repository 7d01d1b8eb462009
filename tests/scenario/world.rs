//! The program under test among its stub services, and the execution of scenario steps.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pinepoint_lab::script::{Bindings, Step, matches, steps};

use super::actor::{Actor, Streams, connect_client};
use super::ajp::{self, ajp_request};
use super::options::{Options, ServiceAddresses};
use super::rpc::{self, rpc_request};
use super::stubs::{Answer, datagram_service, idle_gauges, read_line, service, wire_line};

/// Longest wait for an expected event.
const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after a change of the test clock. The program reads that clock again after 1 ms, and its core polls
/// every 50 ms during shutdown. For a stopped program both are due as soon as it continues.
const CLOCK_SETTLE: Duration = Duration::from_millis(60);

/// Number of temporary folders that this process has created; makes their names unique.
static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A temporary folder, removed when dropped.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> TempDir {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("pinepoint-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Encodes the words that an actor sends.
fn bytes_to_send(actor: &str, words: &str) -> Vec<u8> {
    match (words.strip_prefix("hex="), &actor[..3]) {
        (Some(hex), _) => (0..hex.len() / 2)
            .map(|at| u8::from_str_radix(&hex[2 * at..2 * at + 2], 16).expect("hexadecimal"))
            .collect(),
        (_, "rpc") => rpc_request(words),
        (_, "ajp") => ajp_request(words),
        _ => wire_line(words),
    }
}

/// Sends a signal to a process.
fn send_signal(name: &str, pid: u32) {
    let sent = Command::new("kill").args([&format!("-{name}"), &pid.to_string()]).status();
    assert!(sent.is_ok_and(|status| status.success()), "signal {name} was not sent to process {pid}");
}

/// The stub services of a scenario, and their addresses before and after `config=moved`.
struct StubServices {
    actors: HashMap<String, Actor>,
    first: ServiceAddresses,
    moved: ServiceAddresses,
}

impl StubServices {
    fn start(engine: Answer, store: (Actor, SocketAddr)) -> StubServices {
        let mut actors = HashMap::new();
        let mut add = |name: &str, (actor, address): (Actor, SocketAddr)| {
            actors.insert(name.to_owned(), actor);
            address
        };
        let members = || datagram_service(|packet| vec![String::from_utf8_lossy(packet).into_owned()]);
        let first = ServiceAddresses {
            engine: add("engine", service(engine)),
            store: add("store", store),
            members: add("members", members()),
        };
        let moved = ServiceAddresses {
            engine: add("engine2", service(Box::new(idle_gauges))),
            store: add("store2", service(Box::new(|_| Vec::new()))),
            members: add("members2", members()),
        };
        StubServices { actors, first, moved }
    }
}

/// The program and the actors around it. The program is killed when this is dropped.
pub struct World {
    actors: HashMap<String, Actor>,
    /// Address of the MessagePack-RPC listener.
    pub listen: SocketAddr,
    /// Address of the AJP listener; equal to `listen` without an edge file.
    pub ajp: SocketAddr,
    child: Arc<Mutex<Child>>,
    /// While this is locked, the program's log is not read.
    pub log_gate: Arc<Mutex<()>>,
    bindings: Bindings,
    /// Configurations by the names that scenarios use.
    configs: HashMap<&'static str, String>,
    /// Path of the configuration file that the program reads.
    config: PathBuf,
    edge: PathBuf,
    folder: TempDir,
}

impl World {
    /// Starts the program among its stub services. `engine` and `store` answer lines before these reach the
    /// inboxes.
    pub fn start(engine: Answer, store: Answer) -> World {
        World::start_with(engine, service(store), Options::default())
    }

    /// Like [`World::start`], with a store that the caller has started and with these options.
    pub fn start_with(engine: Answer, store: (Actor, SocketAddr), mut options: Options) -> World {
        let occupying_listener = options.occupying_listener.take();
        if let Some(listener) = &occupying_listener {
            options.listen = listener.local_addr().expect("bound");
        }
        let StubServices { mut actors, first, moved } = StubServices::start(engine, store);
        let configs = options.configs(&first, &moved);
        let folder = TempDir::new();
        let (config, edge) = (folder.0.join("config.json"), folder.0.join("edge.toml"));
        if options.startup_signals.is_some() {
            make_pipe(&config);
        } else {
            std::fs::write(&config, &configs["first"]).expect("written");
        }
        std::fs::write(&edge, options.edge_file()).expect("written");
        let (child, log) = spawn_program(&options, &folder.0, &config, &edge);
        if let Some((signals, next)) = options.startup_signals {
            signal_while_reading(&config, child.id(), signals, &configs["first"], &configs[next]);
        }
        let child = Arc::new(Mutex::new(child));
        let log_gate = Arc::new(Mutex::new(()));
        actors.insert("node".into(), start_log_reader(log, child.clone(), log_gate.clone()));
        let mut world = World {
            actors,
            listen: options.listen,
            ajp: options.listen,
            child,
            log_gate,
            bindings: Bindings::default(),
            configs,
            config,
            edge,
            folder,
        };
        if let Some(listener) = occupying_listener {
            world.wait("node", "address-in-use *");
            drop(listener);
        }
        world.learn_addresses(options.without_edge_file);
        world
    }

    /// Waits until the program has logged its listen addresses.
    fn learn_addresses(&mut self, without_edge_file: bool) {
        let address =
            |text: String| text.rsplit_once('=').and_then(|(_, word)| word.parse().ok()).expect(&text);
        if !without_edge_file {
            self.ajp = address(self.wait("node", "ajp listen=*"));
        }
        self.listen = address(self.wait("node", "started *"));
    }

    /// Temporary folder of this world, removed when the world is dropped.
    pub fn folder(&self) -> &Path {
        &self.folder.0
    }

    /// Process id of the program.
    pub fn pid(&self) -> u32 {
        self.child.lock().expect("not poisoned").id()
    }

    /// Text of the configuration of this name.
    pub fn config(&self, name: &str) -> &str {
        &self.configs[name]
    }

    /// Replaces the configuration.
    pub fn write_config(&self, text: &str) {
        std::fs::write(&self.config, text).expect("written");
    }

    /// Replaces the edge file.
    pub fn write_edge(&self, text: &str) {
        std::fs::write(&self.edge, text).expect("written");
    }

    fn receive(&mut self, actor: &str, wanted: &str) -> String {
        self.receive_until(Instant::now() + EVENT_TIMEOUT, actor, wanted)
    }

    fn receive_until(&mut self, deadline: Instant, actor: &str, wanted: &str) -> String {
        let inbox = &self.actor(actor).inbox;
        let received = inbox.recv_timeout(deadline.saturating_duration_since(Instant::now()));
        received.unwrap_or_else(|_| panic!("{actor}: received no line, expected {wanted}"))
    }

    /// Waits for a line that matches, and skips others.
    pub fn wait(&mut self, actor: &str, wanted: &str) -> String {
        // One deadline for all lines, so that an actor that keeps sending lines cannot prolong the wait.
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            let received = self.receive_until(deadline, actor, wanted);
            if matches(wanted, &received) {
                return received;
            }
        }
    }

    fn actor(&self, name: &str) -> &Actor {
        self.actors.get(name).unwrap_or_else(|| panic!("unknown actor {name}"))
    }

    fn actor_mut(&mut self, name: &str) -> &mut Actor {
        self.actors.get_mut(name).unwrap_or_else(|| panic!("unknown actor {name}"))
    }

    fn send(&mut self, actor: &str, words: &str) {
        if let Some(name) = words.strip_prefix("config=") {
            std::fs::write(&self.config, &self.configs[name]).expect("written");
        } else if let Some(ahead) = words.strip_prefix("clock=") {
            std::fs::write(self.folder.0.join("clock"), ahead).expect("written");
            std::thread::sleep(CLOCK_SETTLE);
        } else if actor == "node" {
            send_signal(words, self.pid());
        } else if words == "rest" {
            let rest = std::mem::take(&mut self.actor_mut(actor).unsent);
            self.stream(actor, "").write_all(&rest).expect("sent");
        } else {
            self.send_bytes(actor, words);
        }
    }

    fn send_bytes(&mut self, actor: &str, words: &str) {
        let (cut, words) = match words.strip_prefix("cut=").and_then(|rest| rest.split_once(' ')) {
            Some((length, words)) => (length.parse().ok(), words),
            None => (None, words),
        };
        let sender = self.actor_mut(actor);
        let mut bytes = std::mem::take(&mut sender.unsent);
        bytes.extend(bytes_to_send(actor, words));
        if let Some(length) = cut {
            sender.unsent = bytes.split_off(length);
        }
        let name = words.split(' ').next().unwrap_or_default();
        self.stream(actor, name).write_all(&bytes).expect("sent");
    }

    /// The connection on which `name` was named, or else the latest connection.
    fn stream(&self, actor: &str, name: &str) -> TcpStream {
        let streams = self.actors[actor].streams.lock().expect("not poisoned");
        let stream = streams.get(name).or(streams.get("")).expect("connected");
        stream.try_clone().expect("cloned")
    }

    /// Runs a scenario.
    pub fn run(&mut self, scenario: &str) {
        for step in steps(scenario) {
            if !self.actors.contains_key(step.actor) {
                self.connect(step.actor);
            }
            let words = self.bindings.substitute(step.words);
            self.run_step(step, &words);
        }
    }

    /// Connects a client that is named for the first time.
    fn connect(&mut self, actor: &str) {
        let client = match &actor[..3] {
            "rpc" => connect_client(self.listen, rpc::read_message),
            "ajp" => connect_client(self.ajp, ajp::read_packet),
            _ => panic!("unknown actor {actor}"),
        };
        self.actors.insert(actor.to_owned(), client);
    }

    fn run_step(&mut self, step: Step<'_>, words: &str) {
        let actor = step.actor;
        match step.verb {
            "send" => self.send(actor, words),
            "expect" => {
                let received = self.receive(actor, words);
                let pattern = self.bindings.capture(words, &received);
                assert!(matches(&pattern, &received), "{}\n     got {received}", step.line);
            }
            "wait" => {
                self.wait(actor, words);
            }
            "close" => {
                let _ = self.stream(actor, words).shutdown(Shutdown::Both);
            }
            "shut" => {
                let _ = self.stream(actor, words).shutdown(Shutdown::Write);
            }
            // Without words, the queued bytes are dropped.
            "queue" if words.is_empty() => self.actor_mut(actor).unsent.clear(),
            "queue" => self.actor_mut(actor).unsent.extend(bytes_to_send(actor, words)),
            "never" => {
                let received: Vec<String> = self.actor(actor).inbox.try_iter().collect();
                let unexpected = received.iter().any(|text| matches(words, text));
                assert!(!unexpected, "{}\n     in {received:?}", step.line);
            }
            verb => panic!("unknown verb {verb}"),
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.child.lock().map(|mut child| child.kill());
    }
}

/// Creates a named pipe. The program blocks on reading it until something is written.
fn make_pipe(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().is_ok_and(|status| status.success()));
}

/// Starts the program; returns the process and a reader of its log.
fn spawn_program(
    options: &Options,
    folder: &Path,
    config: &Path,
    edge: &Path,
) -> (Child, BufReader<ChildStderr>) {
    let command_line = [options.wrapper.as_slice(), &[env!("CARGO_BIN_EXE_pinepoint").to_owned()]].concat();
    let mut command = Command::new(&command_line[0]);
    command.args(&command_line[1..]);
    if !options.without_edge_file {
        command.arg("--edge").arg(edge);
    }
    command.env("RELAY_CONFIG", config).env("PINEPOINT_TEST_CLOCK", folder.join("clock"));
    let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
    let log = BufReader::new(child.stderr.take().expect("piped"));
    (child, log)
}

/// Sends signals while the program reads its configuration for the first time, from a pipe. Then replaces the
/// pipe by a file with the configuration `next`, and writes the configuration `first` to the open pipe.
fn signal_while_reading(config: &Path, pid: u32, signals: &[&str], first: &str, next: &str) {
    // Blocks until the program has opened the pipe for reading.
    let mut pipe = std::fs::File::options().write(true).open(config).expect("read by the program");
    signals.iter().for_each(|name| send_signal(name, pid));
    std::fs::remove_file(config).expect("removed");
    std::fs::write(config, next).expect("written");
    pipe.write_all(first.as_bytes()).expect("written");
}

/// Starts a reader of the log; returns the actor whose inbox receives the log lines and finally the exit
/// code.
fn start_log_reader(
    log: impl BufRead + Send + 'static,
    child: Arc<Mutex<Child>>,
    gate: Arc<Mutex<()>>,
) -> Actor {
    let (sender, inbox) = channel();
    std::thread::spawn(move || read_log(log, &sender, &child, &gate));
    Actor::new(inbox, Streams::default())
}

fn read_log(mut log: impl BufRead, sender: &Sender<String>, child: &Mutex<Child>, gate: &Mutex<()>) {
    while let Some(text) = read_line(&mut log) {
        drop(gate.lock());
        // Scenarios do not match time, level and module.
        let text = text.split_once(" message=").map_or(text.as_str(), |(_, message)| message).to_owned();
        let _ = sender.send(text);
    }
    let code = child.lock().expect("not poisoned").wait().ok().and_then(|status| status.code());
    let _ = sender.send(format!("exit {}", code.map_or("killed".into(), |code| code.to_string())));
}
