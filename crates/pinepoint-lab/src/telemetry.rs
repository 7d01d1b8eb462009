//! The experiment on telemetry: the same load in rounds with telemetry off and with receivers that fail in one way each, and
//! whether what the receivers have in the end is what the load generator counted.

mod condition;
mod mismatches;
mod report;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;

pub use condition::{CONDITIONS, Condition, UnknownCondition};
pub use report::{report, table};

use crate::collectd::{Collectd, SecurityLevel};
use crate::graphite::{Graphite, Mode, Points, Protocol};
use crate::load::{self, LoadSummary, Workload};
use crate::process::{LaunchOptions, Process, TempDir};
use crate::standard_load::{ENGINE_CORES, RPC_CONNECTIONS, WORK_SIGMA, rate_at, request_classes};
use crate::stub_services::{ServiceAddresses, StubServices};

/// Time of a call to the store.
const STORE_CALL: Duration = Duration::from_millis(3);
/// Pause after the start of the program, before its cost is read and the load begins.
const WARM_UP: Duration = Duration::from_millis(300);
/// How a dripping receiver reads: so many bytes, with this pause before them.
const DRIP: Mode = Mode::Drip(512, Duration::from_millis(100));
/// How long a restarting receiver is up, and then down.
const RESTART_UP: Duration = Duration::from_millis(3300);
/// See above.
const RESTART_DOWN: Duration = Duration::from_millis(1200);
/// How long the receiver is waited for to have read what the program received.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause between two looks at that.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two looks whether the program has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// What was sent last is read by a thread that looks now and then.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Share of the requests that is sent over AJP.
const AJP_SHARE: f64 = 0.25;
/// Connections of AJP at most.
const MAX_AJP_CONNECTIONS: usize = 60;

/// How it is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// It is an earlier program, whose edge file had `every_s` in each section, and no receipts.
    pub legacy_config: bool,
    /// Duration of the load of each trial.
    pub duration: Duration,
    /// Rounds, each with one trial of each condition.
    pub rounds: u64,
    /// Requests a second as a share of what the engine can do.
    pub load_factor: f64,
    /// The core that the program has for itself; the stubs keep off it.
    pub cpu: Option<usize>,
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Length of an interval of telemetry, s.
    pub interval_s: u64,
}

impl Options {
    fn workload(&self, seed: u64) -> Workload {
        Workload {
            classes: request_classes(),
            rate: rate_at(self.load_factor),
            ajp_share: AJP_SHARE,
            duration: self.duration,
            rpc_connections: RPC_CONNECTIONS,
            max_ajp_connections: MAX_AJP_CONNECTIONS,
            work_sigma: WORK_SIGMA,
            seed,
        }
    }

    /// Whether the receivers of this condition get what can be compared with the load.
    fn reports(&self, condition: Condition) -> bool {
        condition != Condition::Off && !self.legacy_config
    }

    fn start_process(
        &self,
        folder: &TempDir,
        addresses: ServiceAddresses,
        edge: String,
    ) -> io::Result<Process> {
        Process::start(&LaunchOptions {
            program: &self.program,
            folder: &folder.0,
            addresses,
            cores: ENGINE_CORES,
            edge: Some(edge),
            cpu: self.cpu,
        })
    }

    fn edge_file(&self, condition: Condition, graphite: &Graphite, collectd: &str) -> String {
        let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\nmem_kb = 40.0\n";
        let (address, every) = (graphite.address(), self.interval_s);
        match (condition, self.legacy_config) {
            (Condition::Off, _) => ajp.to_owned(),
            (_, true) => format!(
                "{ajp}[graphite]\naddress = \"{address}\"\nprefix = \"pinepoint\"\nevery_s = {every}.0\n\
                 [collectd]\naddress = \"{collectd}\"\nevery_s = {every}.0\n"
            ),
            (_, false) => format!(
                "{ajp}[telemetry]\nevery_s = {every}\nlast_ms = 500\n[graphite]\nreceivers = [\"{address}\"]\nreceipt_s = 5\n\
                 [collectd]\naddress = \"{collectd}\"\n"
            ),
        }
    }
}

/// One trial of one condition.
#[derive(Clone, Debug)]
pub struct Trial {
    /// What the load generator counted.
    pub summary: LoadSummary,
    /// CPU time for each request, ms.
    pub cpu_ms: f64,
    /// Peak memory, kB.
    pub memory_kb: u64,
    /// From SIGTERM to the end of the process.
    pub shutdown: Duration,
    /// Series whose sum at the receivers is not what the load generator counted, with both.
    pub mismatches: Vec<String>,
    /// Intervals that the receiver has points of.
    pub slots: usize,
    /// The largest value of the series `law_off`.
    pub law_off: f64,
}

/// The receivers of one trial.
struct Receivers {
    graphite: Graphite,
    collectd: Option<Collectd>,
    /// Where the collectd receiver is, or would be.
    collectd_address: String,
}

impl Receivers {
    fn start(condition: Condition, seed: u64) -> io::Result<Receivers> {
        let graphite = Graphite::start(Protocol::Plaintext)?;
        let collectd = Collectd::network(SecurityLevel::None, seed)?;
        let collectd_address = collectd.address().to_owned();
        let collectd = (condition != Condition::Down).then_some(collectd);
        match condition {
            Condition::Stalled => graphite.set_mode(Mode::Stalled),
            Condition::Dripping => graphite.set_mode(DRIP),
            Condition::Down => graphite.stop(),
            Condition::Off | Condition::Good | Condition::Restarting => {}
        }
        Ok(Receivers { graphite, collectd, collectd_address })
    }

    /// What happens to them while the load runs; never ends.
    async fn disturb(&self, condition: Condition) -> io::Result<LoadSummary> {
        if condition != Condition::Restarting {
            return future::pending().await;
        }
        loop {
            Timer::after(RESTART_UP).await;
            self.graphite.stop();
            Timer::after(RESTART_DOWN).await;
            let _ = self.graphite.restart();
        }
    }

    /// Lets the Graphite receiver read again, whatever its condition was.
    fn recover(&self, condition: Condition) -> io::Result<()> {
        if matches!(condition, Condition::Down | Condition::Restarting) {
            // The load may have ended in the middle of a restart.
            self.graphite.stop();
            self.graphite.restart()?;
        }
        self.graphite.set_mode(Mode::Normal);
        Ok(())
    }

    /// Waits until the Graphite receiver has read of all requests that were sent.
    async fn await_caught_up(&self, summary: &LoadSummary) {
        let sent = summary.all().sent as f64;
        let deadline = Instant::now() + CATCH_UP_TIMEOUT;
        while mismatches::requests_reported(summary, &self.graphite.points()) < sent
            && Instant::now() < deadline
        {
            Timer::after(CATCH_UP_INTERVAL).await;
        }
    }
}

/// Shuts the program down while the tasks of this thread go on; tells how long it took.
async fn shut_down(process: Process) -> io::Result<Duration> {
    let ending = std::thread::spawn(move || process.shut_down());
    while !ending.is_finished() {
        Timer::after(EXIT_POLL_INTERVAL).await;
    }
    let (took, _) = ending.join().map_err(|_| io::Error::other("the wait for its end failed"))??;
    Ok(took)
}

async fn run_trial(
    options: &Options,
    condition: Condition,
    seed: u64,
    addresses: ServiceAddresses,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Trial> {
    let folder = TempDir::new(&format!("telemetry-{seed}"))?;
    let receivers = Receivers::start(condition, seed)?;
    let edge = options.edge_file(condition, &receivers.graphite, &receivers.collectd_address);
    let process = options.start_process(&folder, addresses, edge)?;
    Timer::after(WARM_UP).await;
    let before = process.usage();
    let workload = options.workload(seed);
    let load = load::run(&workload, process.rpc, process.ajp, executor);
    let summary = future::or(load, receivers.disturb(condition)).await?;
    let after = process.usage();
    receivers.recover(condition)?;
    if options.reports(condition) {
        receivers.await_caught_up(&summary).await;
    }
    let shutdown = shut_down(process).await?;
    Timer::after(READ_PAUSE).await;
    let points = receivers.graphite.points();
    let received = receivers.collectd.as_ref().map(Collectd::received);
    let mismatches = if options.reports(condition) {
        mismatches::find(&summary, &points, received.as_ref())
    } else {
        Vec::new()
    };
    Ok(Trial {
        cpu_ms: (after.cpu_s - before.cpu_s) * 1000.0 / summary.all().sent.max(1) as f64,
        memory_kb: after.memory_kb,
        shutdown,
        mismatches,
        slots: interval_count(&points),
        law_off: largest_law_off(&points),
        summary,
    })
}

/// Intervals of which there is a point of any series.
fn interval_count(points: &Points) -> usize {
    let times: BTreeSet<u64> = points.values.values().flat_map(|times| times.keys().copied()).collect();
    times.len()
}

fn largest_law_off(points: &Points) -> f64 {
    let series = points.values.get("pinepoint.n1.telemetry.law_off");
    series.and_then(|times| times.values().copied().max_by(f64::total_cmp)).unwrap_or(0.0)
}

/// Runs all rounds; writes progress to standard error.
///
/// # Errors
/// If the program does not start or end, or a stub cannot bind its address.
pub fn measure(options: &Options) -> io::Result<BTreeMap<Condition, Vec<Trial>>> {
    let executor = Rc::new(LocalExecutor::new());
    let mut trials: BTreeMap<Condition, Vec<Trial>> = BTreeMap::new();
    async_io::block_on(executor.run(async {
        let services = StubServices { cores: ENGINE_CORES, call: STORE_CALL };
        let addresses = services.start(&executor)?;
        for round in 1..=options.rounds {
            for (index, condition) in options.conditions.iter().enumerate() {
                write_progress(options, round, index + 1, *condition);
                // Every condition of a round has the same times and work.
                let trial = run_trial(options, *condition, round, addresses, &executor).await?;
                trials.entry(*condition).or_default().push(trial);
            }
        }
        Ok::<_, io::Error>(())
    }))?;
    Ok(trials)
}

fn write_progress(options: &Options, round: u64, number: usize, condition: Condition) {
    let (rounds, conditions) = (options.rounds, options.conditions.len());
    let line = format!("turn {round} of {rounds}, {number} of {conditions}: {condition:?}");
    let _ = writeln!(io::stderr(), "{line}");
}
