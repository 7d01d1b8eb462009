//! The experiment on telemetry. It runs the same load in rounds, with telemetry off and with receivers in
//! different failure conditions, and checks that the sums at the receivers finally match the counts of the
//! load generator.

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

/// Duration of a call to the store.
const STORE_CALL: Duration = Duration::from_millis(3);
/// Pause after the start of the program, before its resource usage is read and the load begins.
const WARM_UP: Duration = Duration::from_millis(300);
/// A dripping receiver reads 512 bytes at a time, with a pause of 100 ms before each read.
const DRIP: Mode = Mode::Drip(512, Duration::from_millis(100));
/// How long a restarting receiver is up before it goes down.
const RESTART_UP: Duration = Duration::from_millis(3300);
/// How long a restarting receiver is down before it comes up again.
const RESTART_DOWN: Duration = Duration::from_millis(1200);
/// How long the Graphite receiver may take to report all requests that the program received.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause between two checks whether the Graphite receiver has caught up.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two checks whether the program has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Pause after the exit of the program, in which the polling threads of the receivers read what was sent
/// last.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Share of the requests sent over AJP.
const AJP_SHARE: f64 = 0.25;
/// Maximum number of AJP connections.
const MAX_AJP_CONNECTIONS: usize = 60;

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Whether the program is an earlier one, whose edge file has `every_s` in each section and no receipts.
    pub legacy_config: bool,
    /// Duration of the load of each trial.
    pub duration: Duration,
    /// Number of rounds, each with one trial of each condition.
    pub rounds: u64,
    /// Request rate as a fraction of the engine's capacity.
    pub load_factor: f64,
    /// CPU core reserved for the program; the stubs do not run on it.
    pub cpu: Option<usize>,
    /// Conditions to run, in this order in each round.
    pub conditions: Vec<Condition>,
    /// Length of a telemetry interval, s.
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

    /// Whether sums at the receivers can be compared with the load in this condition.
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
    /// Results of the load generator.
    pub summary: LoadSummary,
    /// CPU time per request, ms.
    pub cpu_ms: f64,
    /// Peak memory, kB.
    pub memory_kb: u64,
    /// Time from SIGTERM to the exit of the process.
    pub shutdown: Duration,
    /// Series whose sum at the receivers differs from the count of the load generator, each with both
    /// numbers.
    pub mismatches: Vec<String>,
    /// Number of intervals for which the Graphite receiver has points.
    pub interval_count: usize,
    /// Maximum of the series `law_off`, by which the program reports that its counts do not add up.
    pub max_law_off: f64,
}

/// The receivers of one trial.
struct Receivers {
    graphite: Graphite,
    collectd: Option<Collectd>,
    /// Address of the collectd receiver; nothing listens there in the condition `Down`.
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

    /// Restarts the Graphite receiver periodically if the condition asks for it. Never completes, so the load
    /// ends first.
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

    /// Makes the Graphite receiver read normally again, in any condition.
    fn recover(&self, condition: Condition) -> io::Result<()> {
        if matches!(condition, Condition::Down | Condition::Restarting) {
            // If the load ended while the receiver was up, its listener is stopped before it is started
            // again.
            self.graphite.stop();
            self.graphite.restart()?;
        }
        self.graphite.set_mode(Mode::Normal);
        Ok(())
    }

    /// Waits until the points at the Graphite receiver cover all requests sent, or [`CATCH_UP_TIMEOUT`] is
    /// over.
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

/// Shuts the program down while the tasks of this thread continue; returns how long that took.
async fn shut_down(process: Process) -> io::Result<Duration> {
    let ending = std::thread::spawn(move || process.shut_down());
    while !ending.is_finished() {
        Timer::after(EXIT_POLL_INTERVAL).await;
    }
    let (elapsed, _) =
        ending.join().map_err(|_| io::Error::other("the thread that shuts the program down panicked"))??;
    Ok(elapsed)
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
        interval_count: count_intervals(&points),
        max_law_off: max_law_off(&points),
        summary,
    })
}

/// Number of intervals with a point in any series.
fn count_intervals(points: &Points) -> usize {
    let times: BTreeSet<u64> = points.values.values().flat_map(|times| times.keys().copied()).collect();
    times.len()
}

fn max_law_off(points: &Points) -> f64 {
    let series = points.values.get("pinepoint.n1.telemetry.law_off");
    series.and_then(|times| times.values().copied().max_by(f64::total_cmp)).unwrap_or(0.0)
}

/// Runs all rounds and writes progress to standard error.
///
/// # Errors
/// If the program does not start or exit, or a stub cannot bind its address.
pub fn measure(options: &Options) -> io::Result<BTreeMap<Condition, Vec<Trial>>> {
    let executor = Rc::new(LocalExecutor::new());
    let mut trials: BTreeMap<Condition, Vec<Trial>> = BTreeMap::new();
    async_io::block_on(executor.run(async {
        let services = StubServices { cores: ENGINE_CORES, call: STORE_CALL };
        let addresses = services.start(&executor)?;
        for round in 1..=options.rounds {
            for (index, condition) in options.conditions.iter().enumerate() {
                write_progress(options, round, index + 1, *condition);
                // All conditions of a round use the same seed, so that their requests have the same times and
                // work.
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
