//! The program under test as a process: its configuration files, start, CPU affinity, resource usage and
//! shutdown.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use rustix::thread::{CpuSet, sched_setaffinity};

use crate::stub_services::ServiceAddresses;

/// Kernel ticks of `/proc/PID/stat` and `/proc/stat` in a second.
pub(crate) const TICKS_PER_S: f64 = 100.0;
/// Maximum time between two log lines of the program until it reports that it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Position of the user time in `/proc/PID/stat` among the fields after the process name: field 14 of the
/// whole line.
const USER_TIME_FIELD: usize = 11;
/// Position of the system time, counted in the same way: field 15 of the whole line.
const SYSTEM_TIME_FIELD: usize = 12;

/// The settings of the program, with the request classes that experiments send; `CORES` stands for the cores
/// of the engine.
pub const SETTINGS: &str = r#"{"services":[
 {"name":"quick-match","effect":"read_like","promiseMs":1500,"deadlineMs":3800,"worth":1,"lateWorth":0.2},
 {"name":"report-view","effect":"read_like","promiseMs":2800,"deadlineMs":9400,"worth":1,"lateWorth":0.2},
 {"name":"thesis-submit","effect":"idempotency_key","keyTtlMs":22599,"promiseMs":2300,"deadlineMs":7500,"worth":3,
  "lateWorth":0.1}],
 "contract":{"answerSlackMs":100,"drainGraceMs":500,"fallMultiple":8,"tipAfterMs":3000},
 "ceilings":{"retryAfter":true,"maxRetryAfterMs":1000},"worthBy":"work",
 "specifics":{"cores":CORES,"heapKb":200000,"runFactor":4,"keyKb":5,"preemption":"drop","signal":"weight",
 "registryFollows":true,"classCalls":[false,true,true],"worthWithout":[0,0.3,0],"callsOut":64,
 "callsOverMs":5000,"lingerMs":200,"gauges":["cpu_busy","runnable","mem_used","sockets"]}}"#;

/// A folder for files of the processes under test, which is removed when dropped.
#[derive(Debug)]
pub(crate) struct TempDir(pub(crate) PathBuf);

impl TempDir {
    /// Creates a folder whose path ends with this name.
    pub(crate) fn new(name: &str) -> io::Result<TempDir> {
        let path = std::env::temp_dir().join(format!("pinepoint-lab-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempDir(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The configuration that the platform passes to a process: the file named by `RELAY_CONFIG`.
pub(crate) struct PlatformConfig<'a> {
    pub(crate) name: &'a str,
    pub(crate) listen: SocketAddr,
    pub(crate) addresses: ServiceAddresses,
    pub(crate) seed: u64,
    pub(crate) memory_mb: u32,
    pub(crate) sockets: u32,
    pub(crate) cores: f64,
}

impl PlatformConfig<'_> {
    /// The content of the file.
    pub(crate) fn render(&self) -> String {
        let PlatformConfig { name, listen, addresses, seed, memory_mb, sockets, cores } = self;
        let ServiceAddresses { engine, store, members } = addresses;
        let settings = SETTINGS.replace("CORES", &cores.to_string());
        format!(
            r#"{{"name":"{name}","listen":"{listen}","engine":"{engine}","members":"{members}","store":"{store}",
            "seed":"{seed:016x}","stop_ms":2000,"limits":{{"cores":1,"memory_mb":{memory_mb},"sockets":{sockets}}},
            "settings":{settings}}}"#
        )
    }
}

/// A child process, which is killed when dropped.
#[derive(Debug)]
pub(crate) struct ChildGuard(Child);

impl ChildGuard {
    pub(crate) fn new(child: Child) -> ChildGuard {
        ChildGuard(child)
    }
}

impl Deref for ChildGuard {
    type Target = Child;

    fn deref(&self) -> &Child {
        &self.0
    }
}

impl DerefMut for ChildGuard {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Options for starting the program.
#[derive(Clone, Debug)]
pub struct LaunchOptions<'a> {
    /// Path of the program.
    pub program: &'a Path,
    /// Folder for the files of the program.
    pub folder: &'a Path,
    /// Addresses of the services that the program uses.
    pub addresses: ServiceAddresses,
    /// Cores of the engine, as the program is configured.
    pub cores: f64,
    /// Content of the edge file, if any.
    pub edge: Option<String>,
    /// The core to which the program is pinned, if any.
    pub cpu: Option<usize>,
}

impl LaunchOptions<'_> {
    /// Writes the files, and starts the program with its standard error piped.
    fn spawn(&self) -> io::Result<ChildGuard> {
        let platform = PlatformConfig {
            name: "n1",
            listen: ([127, 0, 0, 1], 0).into(),
            addresses: self.addresses,
            seed: 0x8c1f_30d2_7a5b_e964,
            memory_mb: 192,
            sockets: 1024,
            cores: self.cores,
        };
        let mut command = Command::new(self.program);
        command.env("RELAY_CONFIG", self.write("config.json", &platform.render())?).stderr(Stdio::piped());
        if let Some(edge) = &self.edge {
            command.arg("--edge").arg(self.write("edge.toml", edge)?);
        }
        let child = ChildGuard::new(command.spawn()?);
        if let Some(cpu) = self.cpu {
            pin_to_cpu(&child, cpu)?;
        }
        Ok(child)
    }

    fn write(&self, name: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

/// The running program, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    child: ChildGuard,
    /// Address of the MessagePack-RPC listener.
    pub rpc: SocketAddr,
    /// Address of the AJP listener, if there is one.
    pub ajp: Option<SocketAddr>,
    log: Receiver<String>,
}

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// CPU time, user and system, s.
    pub cpu_s: f64,
    /// Peak memory, kB.
    pub memory_kb: u64,
}

impl Process {
    /// Starts the program and waits until it listens.
    ///
    /// # Errors
    /// If its files cannot be written, or the program does not start and listen in time.
    pub fn start(options: &LaunchOptions<'_>) -> io::Result<Process> {
        let mut child = options.spawn()?;
        let stderr = child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("the standard error of the program is not piped"))?;
        let log = read_log(stderr);
        let (rpc, ajp) = await_listening(&log)?;
        Ok(Process { child, rpc, ajp, log })
    }

    /// The resources that the program has used so far.
    pub fn usage(&self) -> ResourceUsage {
        let id = self.child.id();
        let cpu_s = cpu_time_s(id).unwrap_or(0.0);
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let peak_memory = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let memory_kb =
            peak_memory.and_then(|text| text.trim().strip_suffix(" kB")?.parse().ok()).unwrap_or(0);
        ResourceUsage { cpu_s, memory_kb }
    }

    /// Sends SIGTERM to the program and waits for its exit. Returns how long the exit took, and the lines
    /// logged since the start that were not read while waiting for the program to listen.
    ///
    /// # Errors
    /// If the signal cannot be sent, or the wait for the exit fails.
    pub fn shut_down(mut self) -> io::Result<(Duration, Vec<String>)> {
        let start = Instant::now();
        if let Some(id) = pid(&self.child)? {
            kill_process(id, Signal::TERM)?;
        }
        self.child.wait()?;
        Ok((start.elapsed(), self.log.try_iter().collect()))
    }
}

/// Reads a log on a thread of its own until the log ends or the receiver of its lines is dropped.
fn read_log(stderr: ChildStderr) -> Receiver<String> {
    let log = BufReader::new(stderr);
    let (sender, lines) = channel();
    std::thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
    lines
}

/// Waits until the log reports the address of the MessagePack-RPC listener. An AJP listener is reported
/// before that.
fn await_listening(log: &Receiver<String>) -> io::Result<(SocketAddr, Option<SocketAddr>)> {
    let mut ajp = None;
    loop {
        let line = log.recv_timeout(START_TIMEOUT).map_err(io::Error::other)?;
        let address = line.rsplit('=').next().and_then(|word| word.parse().ok());
        if line.contains("message=started") {
            if let Some(rpc) = address {
                return Ok((rpc, ajp));
            }
        } else if line.contains("message=ajp") {
            ajp = address;
        }
    }
}

/// CPU time of a process, user and system, with the resolution of a kernel tick, s.
///
/// # Errors
/// If there is no such process.
pub(crate) fn cpu_time_s(id: u32) -> io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    // The process name is in parentheses and may contain any characters; it ends at the last `)`.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks =
        |position: usize| fields.get(position).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(USER_TIME_FIELD) + ticks(SYSTEM_TIME_FIELD)) / TICKS_PER_S)
}

fn pid(child: &Child) -> io::Result<Option<Pid>> {
    let id = i32::try_from(child.id()).map_err(io::Error::other)?;
    Ok(Pid::from_raw(id))
}

/// Pins a process to one core.
fn pin_to_cpu(child: &Child, cpu: usize) -> io::Result<()> {
    let mut cpus = CpuSet::new();
    cpus.set(cpu);
    Ok(sched_setaffinity(pid(child)?, &cpus)?)
}

/// Keeps the calling thread, and the threads that it starts, off one core, unless that is the only core.
///
/// # Errors
/// If the system refuses to set the CPU affinity.
pub fn avoid_cpu(cpu: usize) -> io::Result<()> {
    let mut cpus = CpuSet::new();
    let count = std::thread::available_parallelism()?.get();
    (0..count).filter(|n| *n != cpu || count == 1).for_each(|n| cpus.set(n));
    Ok(sched_setaffinity(None, &cpus)?)
}
