//! One process of the cluster: its files, its start, signals to it, and the share of time in which it may run. It owns the
//! child process and ends it when dropped.

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

/// Length of one period of a throttled process, in which it first stands and then runs.
const THROTTLE_PERIOD: Duration = Duration::from_millis(40);
/// Least share of the time in which a throttled process runs.
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

    /// What the member has logged, over all its starts.
    fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// The file that sets the member's clock off, ms.
    pub(super) fn clock(&self) -> PathBuf {
        self.folder.join(format!("{}-clock", self.name))
    }

    fn write(&self, suffix: &str, text: &str) -> io::Result<PathBuf> {
        let path = self.folder.join(format!("{}-{suffix}", self.name));
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

/// Stops and continues a process in turns until dropped.
struct Throttle {
    stop: Arc<AtomicBool>,
}

impl Throttle {
    /// Lets the process run only in this share of the time.
    fn start(pid: Pid, share: f64) -> Throttle {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        std::thread::spawn(move || {
            let running = THROTTLE_PERIOD.mul_f64(share.max(MIN_THROTTLE_SHARE));
            while !stopped.load(Ordering::Relaxed) && kill_process(pid, Signal::STOP).is_ok() {
                std::thread::sleep(THROTTLE_PERIOD - running);
                if kill_process(pid, Signal::CONT).is_err() {
                    return;
                }
                std::thread::sleep(running);
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

/// A process of the cluster and what a script knows of it.
pub(super) struct Member {
    /// Its name in scripts, which stays.
    pub(super) name: String,
    /// Its name in its configuration, from its next start on.
    pub(super) configured_name: String,
    pub(super) zone: String,
    /// Where it takes datagrams of other members, behind the proxy.
    pub(super) listen: SocketAddr,
    /// Where other members reach it: a port of the proxy.
    pub(super) advertised: SocketAddr,
    /// Where it takes requests, behind the proxy.
    pub(super) rpc: SocketAddr,
    pub(super) services: ServiceAddresses,
    pub(super) engine: EngineControl,
    pub(super) files: MemberFiles,
    /// A script has stopped it.
    pub(super) is_stopped: bool,
    // Dropped before the child, so that no signal goes to a process that has ended.
    throttle: Option<Throttle>,
    child: Option<ChildGuard>,
}

/// Where a member is reached and what it reaches.
pub(super) struct MemberAddresses {
    pub(super) listen: SocketAddr,
    pub(super) advertised: SocketAddr,
    pub(super) rpc: SocketAddr,
    pub(super) services: ServiceAddresses,
}

impl Member {
    /// A member that does not run yet.
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

    /// Starts the process; `seed` is its own, `seeds` the first members to contact, as a list in TOML.
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

    /// Its process id, while there is a process.
    pub(super) fn pid(&self) -> Result<Pid, ScriptError> {
        let id = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        id.and_then(Pid::from_raw).ok_or(ScriptError::NotRunning)
    }

    /// Sends it a signal.
    pub(super) fn signal(&self, signal: Signal) -> Result<(), ScriptError> {
        kill_process(self.pid()?, signal).map_err(io::Error::from)?;
        Ok(())
    }

    /// Whether it was started and neither ended nor stopped by a script.
    pub(super) fn is_running(&self) -> bool {
        self.child.is_some() && !self.is_stopped
    }

    /// Lets it run only in this share of the time.
    pub(super) fn start_throttle(&mut self, share: f64) -> Result<(), ScriptError> {
        self.throttle = Some(Throttle::start(self.pid()?, share));
        Ok(())
    }

    /// Lets it run all the time again.
    pub(super) fn stop_throttle(&mut self) {
        self.throttle = None;
    }

    /// Waits for the end of the process, if there is one.
    pub(super) fn wait_for_exit(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.take().map(|mut child| child.wait()).transpose()
    }

    /// How the process ended, if it did although no script ended it.
    pub(super) fn unexpected_exit(&mut self) -> Option<ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// The first line of its log that matches the pattern, from what stands behind `message=` on.
    pub(super) fn find_in_log(&self, pattern: &str) -> Option<String> {
        let bytes = std::fs::read(self.files.log()).unwrap_or_default();
        let text = String::from_utf8_lossy(&bytes);
        let messages = text.lines().map(|line| line.split_once(" message=").map_or(line, |(_, rest)| rest));
        messages.into_iter().find(|message| matches(pattern, message)).map(str::to_owned)
    }
}
