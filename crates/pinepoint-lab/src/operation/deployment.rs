//! A deployment: the listen address, the service registry, the store and the directory for temporary files,
//! which stay the same while processes of one name replace each other. It starts and stops processes and does
//! not check their answers.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

pub use rustix::process::Signal;
use rustix::process::{Pid, kill_process};

use super::client::Client;
use super::engine::{CORES, Engine};
use super::management::{self, Answer};
use super::services::{ServiceRegistry, Store};
use crate::listen::bind_unique_address;
use crate::process::TempDir;

/// File name of the handover socket, in the directory for temporary files.
const HANDOVER_SOCKET: &str = "pinepoint-handover.sock";
/// Pause between two checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Environment variable with the management address.
const MANAGEMENT_VARIABLE: &str = "RELAY_MANAGEMENT";

/// Settings with the request classes of [`super::client`]. `DEADLINE` is replaced by the deadline of all
/// classes and `WINDOW` by the deduplication window of the keyed class, in ms, `CORES` by the cores of the
/// engine.
const SETTINGS: &str = r#"{"services":[
 {"name":"look","effect":"read_like","promiseMs":1000,"deadlineMs":DEADLINE,"worth":1},
 {"name":"lookup","effect":"read_like","promiseMs":1000,"deadlineMs":DEADLINE,"worth":1},
 {"name":"write","effect":"idempotency_key","keyTtlMs":WINDOW,"promiseMs":1000,"deadlineMs":DEADLINE,"worth":3}],
 "contract":{"answerSlackMs":100,"drainGraceMs":500,"fallMultiple":8,"tipAfterMs":3000},
 "ceilings":{"retryAfter":true,"maxRetryAfterMs":1000},
 "specifics":{"cores":CORES,"heapKb":200000,"runFactor":4,"keyKb":5,"preemption":"drop","signal":"weight",
 "registryFollows":true,"classCalls":[false,true,false],"worthWithout":[0,0,0],"callsOut":8,"callsOverMs":5000,
 "lingerMs":200,"gauges":["cpu_busy","runnable","mem_used","sockets"]}}"#;

/// Number of deployments of this process so far; gives each its own folder.
static DEPLOYMENTS: AtomicUsize = AtomicUsize::new(0);

/// Options of a deployment.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The program.
    pub program: PathBuf,
    /// Time from SIGTERM to SIGKILL: the longest deadline, capped at 3 s, plus 0.7 s.
    pub stop_timeout: Duration,
    /// Limit on the number of sockets of a process.
    pub sockets: u32,
    /// Deduplication window of the keyed class.
    pub key_window: Duration,
    /// Deadline of all classes.
    pub deadline: Duration,
    /// `$TMPDIR` of the processes; `None` for a directory of the deployment.
    pub temp_dir: Option<PathBuf>,
    /// Where the processes send load reports; `None` for the service registry of the deployment.
    pub members: Option<SocketAddr>,
}

impl Setup {
    /// The default options, for this program.
    pub fn new(program: impl Into<PathBuf>) -> Setup {
        Setup {
            program: program.into(),
            stop_timeout: Duration::from_millis(3200),
            sockets: 256,
            key_window: Duration::from_secs(20),
            deadline: Duration::from_millis(2500),
            temp_dir: None,
            members: None,
        }
    }
}

/// Where the management address of a process is set.
#[derive(Clone, Copy, Debug, Default)]
pub struct ManagementSource {
    /// The address in the environment.
    pub environment: Option<SocketAddr>,
    /// The address in the configuration file.
    pub configuration: Option<SocketAddr>,
}

/// The addresses, services and directories that all processes share.
#[derive(Debug)]
pub struct Deployment {
    setup: Setup,
    folder: TempDir,
    started: AtomicUsize,
    /// Address at which all processes listen for clients.
    pub listen: SocketAddr,
    /// The service registry.
    pub registry: ServiceRegistry,
    /// The store.
    pub store: Store,
}

/// A loopback address that nothing listens on at present.
pub fn free_address() -> io::Result<SocketAddr> {
    bind_unique_address()?.local_addr()
}

impl Deployment {
    /// Creates a deployment without processes.
    ///
    /// # Errors
    /// If a folder cannot be created or an address cannot be bound.
    pub fn new(setup: Setup) -> io::Result<Deployment> {
        let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let folder = TempDir::new(&format!("operation-{number}"))?;
        std::fs::create_dir_all(folder.0.join("tmp"))?;
        let (listen, registry, store) = (free_address()?, ServiceRegistry::start()?, Store::start()?);
        Ok(Deployment { setup, folder, started: AtomicUsize::new(0), listen, registry, store })
    }

    /// `$TMPDIR` of the processes.
    pub fn temp_dir(&self) -> PathBuf {
        self.setup.temp_dir.clone().unwrap_or_else(|| self.folder.0.join("tmp"))
    }

    /// Path of the handover socket.
    pub fn handover_socket(&self) -> PathBuf {
        self.temp_dir().join(HANDOVER_SOCKET)
    }

    /// Time from SIGTERM to SIGKILL.
    pub fn stop_timeout(&self) -> Duration {
        self.setup.stop_timeout
    }

    /// Connects to whichever process accepts the connection.
    ///
    /// # Errors
    /// If no process accepts the connection in time.
    pub fn connect(&self) -> io::Result<Client> {
        Client::connect(self.listen)
    }

    /// Starts a process with this engine, and with the management address set in the environment.
    ///
    /// # Errors
    /// If the program does not start.
    pub fn start(&self, engine: Engine) -> io::Result<Process> {
        let source = ManagementSource { environment: Some(free_address()?), configuration: None };
        self.start_with(engine, source)
    }

    /// Starts a process with this engine and with its management address set as `source` says.
    ///
    /// # Errors
    /// If the configuration or log file cannot be written, or the program does not start.
    pub fn start_with(&self, engine: Engine, source: ManagementSource) -> io::Result<Process> {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let config = self.folder.0.join(format!("config-{number}.json"));
        std::fs::write(&config, self.configuration(&engine, source.configuration))?;
        let log = self.folder.0.join(format!("log-{number}"));
        let mut command = Command::new(&self.setup.program);
        command.env("RELAY_CONFIG", &config).env("TMPDIR", self.temp_dir()).env_remove(MANAGEMENT_VARIABLE);
        if let Some(address) = source.environment {
            command.env(MANAGEMENT_VARIABLE, address.to_string());
        }
        let child = command.stdin(Stdio::null()).stderr(std::fs::File::create(&log)?).spawn()?;
        let management = source.environment.or(source.configuration).unwrap_or(self.listen);
        Ok(Process { child, engine, management, config, log })
    }

    fn configuration(&self, engine: &Engine, management: Option<SocketAddr>) -> String {
        let Setup { stop_timeout, sockets, key_window, deadline, members, .. } = &self.setup;
        let settings = SETTINGS
            .replace("CORES", &CORES.to_string())
            .replace("DEADLINE", &deadline.as_millis().to_string())
            .replace("WINDOW", &key_window.as_millis().to_string());
        let (listen, engine, store) = (self.listen, engine.address, self.store.address);
        let members = members.unwrap_or(self.registry.address);
        let management =
            management.map(|address| format!(r#""management":"{address}","#)).unwrap_or_default();
        format!(
            r#"{{"name":"n1","listen":"{listen}","engine":"{engine}","members":"{members}","store":"{store}",{management}
            "seed":"8c1f30d27a5be964","stop_ms":{},"limits":{{"cores":1,"memory_mb":64,"sockets":{sockets}}},
            "settings":{settings}}}"#,
            stop_timeout.as_millis()
        )
    }
}

/// A process of the program. Dropping it kills the process, and prints its log if the thread is panicking, as
/// in a failed test.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The engine of the process.
    pub engine: Engine,
    /// Address of the management port.
    pub management: SocketAddr,
    /// Path of the configuration file.
    pub config: PathBuf,
    log: PathBuf,
}

impl Process {
    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a command to the management port and returns the answer.
    ///
    /// # Errors
    /// If there is no answer in time.
    pub fn ask(&self, command: &str) -> io::Result<Answer> {
        management::ask(self.management, command)
    }

    /// Waits until the management port reports the process ready; returns the time that took.
    ///
    /// # Errors
    /// If the process is not ready within `limit`.
    pub fn await_ready(&self, limit: Duration) -> io::Result<Duration> {
        management::await_ready(self.management, limit)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    /// If the process has exited.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        Ok(kill_process(id.ok_or(io::ErrorKind::InvalidInput)?, signal)?)
    }

    /// Kills the process with SIGKILL and waits for its exit.
    ///
    /// # Errors
    /// If the kill or the wait fails.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        self.child.wait()
    }

    /// Waits for the process to exit; `None` if it is still running after `limit`.
    ///
    /// # Errors
    /// If the wait fails.
    pub fn wait_exit(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + limit;
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    /// The log so far.
    ///
    /// # Errors
    /// If the log cannot be read.
    pub fn log(&self) -> io::Result<String> {
        std::fs::read_to_string(&self.log)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            eprintln!("log of process {}:\n{}", self.child.id(), self.log().unwrap_or_default());
        }
    }
}
