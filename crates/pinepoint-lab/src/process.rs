//! The program under test as a process: its files, its start, where it may run, what it costs, its end.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use crate::machine::ServiceAddresses;

/// The settings of the classes that the lab's plans send.
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

/// A folder of this process for files of the programs under test; it goes with this value.
#[derive(Debug)]
pub(crate) struct TempDir(pub(crate) PathBuf);

impl TempDir {
    /// A new one of this name.
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

/// What the platform tells a comparer: the file that `RELAY_CONFIG` names.
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
    /// The file.
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

/// A start of the program.
#[derive(Clone, Debug)]
pub struct LaunchOptions<'a> {
    /// The program.
    pub program: &'a Path,
    /// A folder for its files.
    pub folder: &'a Path,
    /// What is below it.
    pub addresses: ServiceAddresses,
    /// Cores of the engine, as it is told.
    pub cores: f64,
    /// The edge file, if any.
    pub edge: Option<String>,
    /// The one core that it may use, if it is to have one.
    pub cpu: Option<usize>,
}

/// The running program. It ends with this value.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Where MessagePack-RPC is listened for.
    pub rpc: SocketAddr,
    /// Where AJP is, if it is on.
    pub ajp: Option<SocketAddr>,
    log: Receiver<String>,
}

/// What it cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Time on a core, s.
    pub cpu_s: f64,
    /// Most memory, kB.
    pub memory_kb: u64,
}

impl Process {
    /// Starts it and waits until it listens.
    pub fn start(start: &LaunchOptions<'_>) -> io::Result<Process> {
        let LaunchOptions { program, folder, addresses, cores, edge, cpu } = start;
        let platform = PlatformConfig {
            name: "n1",
            listen: ([127, 0, 0, 1], 0).into(),
            addresses: *addresses,
            seed: 0x8c1f_30d2_7a5b_e964,
            memory_mb: 192,
            sockets: 1024,
            cores: *cores,
        };
        let render = |name: &str, text: &str| -> io::Result<PathBuf> {
            let path = folder.join(name);
            std::fs::write(&path, text)?;
            Ok(path)
        };
        let mut command = Command::new(program);
        command.env("RELAY_CONFIG", render("config.json", &platform.render())?).stderr(Stdio::piped());
        if let Some(edge) = edge {
            command.arg("--edge").arg(render("edge.toml", edge)?);
        }
        let mut child = command.spawn()?;
        if let Some(cpu) = cpu {
            pin_to_cpu(&child, *cpu)?;
        }
        let log = BufReader::new(child.stderr.take().ok_or_else(|| io::Error::other("no log"))?);
        let (sender, lines) = channel();
        std::thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let (mut rpc, mut ajp) = (None, None);
        while rpc.is_none() {
            let line = lines.recv_timeout(Duration::from_secs(10)).map_err(io::Error::other)?;
            let address = line.rsplit('=').next().and_then(|word| word.parse().ok());
            if line.contains("message=started") {
                rpc = address;
            } else if line.contains("message=ajp") {
                ajp = address;
            }
        }
        let rpc = rpc.ok_or_else(|| io::Error::other("it did not start"))?;
        Ok(Process { child, rpc, ajp, log: lines })
    }

    /// What it has cost so far.
    pub fn usage(&self) -> ResourceUsage {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()));
        let stat = read("stat").unwrap_or_default();
        // Behind the name, which may hold anything: state is the third field, user and system time are 14 and 15.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        let status = read("status").unwrap_or_default();
        let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let memory_kb = most.and_then(|text| text.trim().strip_suffix(" kB")?.parse().ok()).unwrap_or(0);
        ResourceUsage { cpu_s: (ticks(11) + ticks(12)) / 100.0, memory_kb }
    }

    /// Asks it to leave and waits for its end; returns how long that took and the lines that it wrote meanwhile.
    pub fn shut_down(mut self) -> io::Result<(Duration, Vec<String>)> {
        let since = Instant::now();
        let id = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        if let Some(id) = rustix::process::Pid::from_raw(id) {
            rustix::process::kill_process(id, rustix::process::Signal::TERM)?;
        }
        self.child.wait()?;
        Ok((since.elapsed(), self.log.try_iter().collect()))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Keeps a process on one core.
fn pin_to_cpu(child: &Child, cpu: usize) -> io::Result<()> {
    let mut set = rustix::thread::CpuSet::new();
    set.set(cpu);
    let id = i32::try_from(child.id()).map_err(io::Error::other)?;
    Ok(rustix::thread::sched_setaffinity(rustix::process::Pid::from_raw(id), &set)?)
}

/// Keeps the calling process off one core.
pub fn avoid_cpu(cpu: usize) -> io::Result<()> {
    let mut set = rustix::thread::CpuSet::new();
    let all = std::thread::available_parallelism()?.get();
    (0..all).filter(|n| *n != cpu || all == 1).for_each(|n| set.set(n));
    Ok(rustix::thread::sched_setaffinity(None, &set)?)
}
