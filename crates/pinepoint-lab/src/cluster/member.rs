//! One process of the cluster: its files, its start, signals to it, and throttling. A [`Member`] owns the
//! child process and kills it when dropped.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::{ENGINE_CORES, Options, ScriptError};
use crate::process::{ChildGuard, PlatformConfig};
use crate::script::matches;
use crate::simulated_engine::EngineControl;
use crate::stub_services::ServiceAddresses;

/// Length of one period of a throttled process, in which the process is first stopped and then runs.
const THROTTLE_PERIOD: Duration = Duration::from_millis(40);
/// Minimum share of the time in which a throttled process runs.
const MIN_THROTTLE_SHARE: f64 = 0.05;
/// Limit on the memory of a member, MB.
const MEMORY_MB: u32 = 64;
/// Limit on the sockets of a member.
const SOCKETS: u32 = 256;

/// The files of a member, all in the folder of the cluster.
pub(super) struct MemberFiles {
    folder: PathBuf,
    name: String,
}

impl MemberFiles {
    pub(super) fn new(folder: &Path, name: &str) -> MemberFiles {
        MemberFiles { folder: folder.to_owned(), name: name.to_owned() }
    }

    /// The directory that the member may write to.
    pub(super) fn directory(&self) -> PathBuf {
        self.folder.join(&self.name)
    }

    /// The log of the member over all its starts.
    fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// The file with the offset of the member's clock, ms.
    pub(super) fn clock(&self) -> PathBuf {
        self.folder.join(format!("{}-clock", self.name))
    }

    fn write(&self, suffix: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{}-{suffix}", self.name));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

/// Stops and continues a process alternately until dropped.
struct Throttle {
    stop: Arc<AtomicBool>,
}

impl Throttle {
    /// Starts to throttle a process, which runs only in this share of the time.
    fn start(pid: Pid, share: f64) -> Throttle {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = stop.clone();
        std::thread::spawn(move || {
            let running_time = THROTTLE_PERIOD.mul_f64(share.max(MIN_THROTTLE_SHARE));
            while !stop_requested.load(Ordering::Relaxed) && kill_process(pid, Signal::STOP).is_ok() {
                std::thread::sleep(THROTTLE_PERIOD - running_time);
                if kill_process(pid, Signal::CONT).is_err() {
                    return;
                }
                std::thread::sleep(running_time);
            }
            let _ = kill_process(pid, Signal::CONT);
        });
        Throttle { stop }
    }
}

impl Drop for Throttle {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// A process of the cluster, with its addresses, files and engine.
pub(super) struct Member {
    /// Name in scripts; never changes.
    pub(super) name: String,
    /// Name in the configuration, from the next start on.
    pub(super) configured_name: String,
    pub(super) zone: String,
    /// Receives datagrams of other members, behind the proxy.
    pub(super) listen: SocketAddr,
    /// The port of the proxy through which other members reach this one.
    pub(super) advertised: SocketAddr,
    /// Receives requests, behind the proxy.
    pub(super) rpc: SocketAddr,
    pub(super) services: ServiceAddresses,
    pub(super) engine: EngineControl,
    pub(super) files: MemberFiles,
    /// A script has stopped the process with SIGSTOP.
    pub(super) is_stopped: bool,
    // Declared before `child` and so dropped first, so that no signal is sent to a process that has ended.
    throttle: Option<Throttle>,
    child: Option<ChildGuard>,
}

/// The addresses of a member and of its services; see [`Member`].
pub(super) struct MemberAddresses {
    pub(super) listen: SocketAddr,
    pub(super) advertised: SocketAddr,
    pub(super) rpc: SocketAddr,
    pub(super) services: ServiceAddresses,
}

impl Member {
    /// A member whose process is not started yet.
    pub(super) fn new(
        name: String,
        zone: String,
        addresses: MemberAddresses,
        engine: EngineControl,
        folder: &Path,
    ) -> Member {
        let MemberAddresses { listen, advertised, rpc, services } = addresses;
        Member {
            configured_name: name.clone(),
            files: MemberFiles::new(folder, &name),
            name,
            zone,
            listen,
            advertised,
            rpc,
            services,
            engine,
            is_stopped: false,
            throttle: None,
            child: None,
        }
    }

    /// Starts the process. `seed` is for its random numbers; `seeds` are the members that it contacts first,
    /// as a list in TOML.
    pub(super) fn start(&mut self, options: &Options, seed: u64, seeds: &str) -> io::Result<()> {
        let directory = self.files.directory();
        std::fs::create_dir_all(&directory)?;
        let platform = PlatformConfig {
            name: &self.configured_name,
            listen: self.rpc,
            addresses: self.services,
            seed,
            memory_mb: MEMORY_MB,
            sockets: SOCKETS,
            cores: ENGINE_CORES,
        };
        let edge = self.edge_file(options, seeds);
        let log = std::fs::File::options().create(true).append(true).open(self.files.log())?;
        let child = Command::new(&options.program)
            .arg("--edge")
            .arg(self.files.write("edge.toml", &edge)?)
            .env("RELAY_CONFIG", self.files.write("config.json", &platform.render())?)
            .env("PINEPOINT_TEST_CLOCK", self.files.clock())
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(ChildGuard::new(child));
        self.is_stopped = false;
        Ok(())
    }

    fn edge_file(&self, options: &Options, seeds: &str) -> String {
        let Options { period_ms, fleet, edge, .. } = options;
        format!(
            "[fleet]\nlisten = \"{}\"\nadvertise = \"{}\"\nzone = \"{}\"\nperiod_ms = {period_ms}.0\nseeds = {seeds}\n{fleet}\n{}\n",
            self.listen,
            self.advertised,
            self.zone,
            edge.replace("DIR", &self.files.directory().display().to_string())
        )
    }

    /// The process id, while there is a process.
    pub(super) fn pid(&self) -> Result<Pid, ScriptError> {
        let id = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        id.and_then(Pid::from_raw).ok_or(ScriptError::NotRunning)
    }

    /// Sends a signal to the process.
    pub(super) fn signal(&self, signal: Signal) -> Result<(), ScriptError> {
        kill_process(self.pid()?, signal).map_err(io::Error::from)?;
        Ok(())
    }

    /// Whether the process was started and no script has ended or stopped it.
    pub(super) fn is_running(&self) -> bool {
        self.child.is_some() && !self.is_stopped
    }

    /// Throttles the process, which runs only in this share of the time.
    pub(super) fn start_throttle(&mut self, share: f64) -> Result<(), ScriptError> {
        self.throttle = Some(Throttle::start(self.pid()?, share));
        Ok(())
    }

    /// Ends the throttling of the process.
    pub(super) fn stop_throttle(&mut self) {
        self.throttle = None;
    }

    /// Waits for the exit of the process, if there is one.
    pub(super) fn wait_for_exit(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.take().map(|mut child| child.wait()).transpose()
    }

    /// The exit status of a process that exited although no script ended it.
    pub(super) fn unexpected_exit(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// The text after `message=` of the first log line in which this text matches the pattern.
    pub(super) fn find_in_log(&self, pattern: &str) -> Option<String> {
        let bytes = std::fs::read(self.files.log()).unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        let messages = text.lines().map(|line| line.split_once(" message=").map_or(line, |(_, rest)| rest));
        messages.into_iter().find(|message| matches(pattern, message)).map(str::to_owned)
    }
}
