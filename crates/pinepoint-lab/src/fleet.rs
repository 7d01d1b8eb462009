//! The experiment on the membership view: its cost for a process that serves requests. Two processes of the
//! program run side by side, one with the view off, one with the view on and with real processes as peers.
//! Both get the same requests in short rounds, so that other load on the machine and random queueing affect
//! both alike.

use std::io::{self, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};

use crate::cluster::{self, Cluster};
use crate::load::{self, Workload};
use crate::process::{LaunchOptions, Process, TICKS_PER_S, TempDir};
use crate::standard_load::{ENGINE_CORES, RPC_CONNECTIONS, WORK_SIGMA, rate_at, request_classes};
use crate::statistics::{interval_95, median};
use crate::stub_services::StubServices;

/// Number of bootstrap resamples of the rounds from which a confidence interval is computed.
const RESAMPLES: usize = 400;
/// Time of a call to the store.
const STORE_CALL: Duration = Duration::from_millis(3);
/// Pause before the first round, in which the members discover each other.
const WARM_UP: Duration = Duration::from_secs(2);
/// Pause after a trial, in which the engine finishes its remaining work, so that no trial is slowed by the
/// previous one.
const SETTLE: Duration = Duration::from_millis(300);
/// Number of zones of the peers.
const ZONES: usize = 3;
/// Period of the membership protocol, ms.
const PERIOD_MS: u64 = 1000;

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the program.
    pub program: PathBuf,
    /// Duration of the load of each trial.
    pub duration: Duration,
    /// Number of rounds, each with one trial of each process. One more round, which is not counted, runs
    /// first.
    pub rounds: u64,
    /// Number of peers in the fleet.
    pub peers: usize,
    /// Request rate as a share of the capacity of the engine.
    pub load_factor: f64,
    /// The core to which the program is pinned, if any.
    pub cpu: Option<usize>,
}

/// The measurements of one trial of one process, or of several trials merged.
#[derive(Clone, Debug)]
struct Trial {
    /// Latency of the served requests, us.
    latency: Histogram<u64>,
    /// CPU time of the process under test, s.
    cpu_s: f64,
    /// Number of sent requests.
    sent: u64,
    /// Time that the hypervisor withheld from this machine's cores, s.
    steal_s: f64,
}

impl Trial {
    fn merge(&mut self, other: &Trial) {
        let _ = self.latency.add(&other.latency);
        self.cpu_s += other.cpu_s;
        self.sent += other.sent;
        self.steal_s += other.steal_s;
    }

    /// Merges trials, of which there has to be at least one.
    fn merged<'a>(mut trials: impl Iterator<Item = &'a Trial>) -> Trial {
        let mut merged = trials.next().expect("at least one trial").clone();
        trials.for_each(|trial| merged.merge(trial));
        merged
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn cpu_ms_per_request(&self) -> f64 {
        self.cpu_s * 1000.0 / self.sent.max(1) as f64
    }
}

/// The trials of one round: with the view off, and on.
#[derive(Clone, Debug)]
struct Round {
    off: Trial,
    on: Trial,
}

impl Round {
    fn merged<'a>(rounds: impl Iterator<Item = &'a Round> + Clone) -> Round {
        Round {
            off: Trial::merged(rounds.clone().map(|round| &round.off)),
            on: Trial::merged(rounds.map(|round| &round.on)),
        }
    }

    fn ratio(&self, metric: &dyn Fn(&Trial) -> f64) -> f64 {
        metric(&self.on) / metric(&self.off)
    }
}

/// Time that the hypervisor withheld from this machine's cores since boot, s ("steal" in proc(5)).
fn steal_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let ticks = stat.lines().next().and_then(|line| line.split_whitespace().nth(8)?.parse::<f64>().ok());
    ticks.unwrap_or(0.0) / TICKS_PER_S
}

fn start_process(
    options: &Options,
    folder: &TempDir,
    edge: Option<String>,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Process> {
    let services = StubServices { cores: ENGINE_CORES, call: STORE_CALL };
    Process::start(&LaunchOptions {
        program: &options.program,
        folder: &folder.0,
        addresses: services.start(executor)?,
        cores: ENGINE_CORES,
        edge,
        cpu: options.cpu,
    })
}

async fn run_trial(
    options: &Options,
    process: &Process,
    seed: u64,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Trial> {
    let (cpu_before, steal_before) = (process.usage().cpu_s, steal_s());
    let workload = Workload {
        classes: request_classes(),
        rate: rate_at(options.load_factor),
        ajp_share: 0.0,
        duration: options.duration,
        rpc_connections: RPC_CONNECTIONS,
        max_ajp_connections: 0,
        work_sigma: WORK_SIGMA,
        seed,
    };
    let summary = load::run(&workload, process.rpc, None, executor).await?;
    Timer::after(SETTLE).await;
    Ok(Trial {
        sent: summary.all().sent,
        latency: summary.latency,
        cpu_s: process.usage().cpu_s - cpu_before,
        steal_s: steal_s() - steal_before,
    })
}

/// The two processes that are compared: with the view off, and on.
struct ComparedProcesses {
    off: Process,
    on: Process,
}

impl ComparedProcesses {
    /// Runs a round. The process that comes first alternates, so that a drift over time favours neither.
    async fn run_round(
        &self,
        options: &Options,
        number: u64,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<Round> {
        let seed = number + 1;
        if number.is_multiple_of(2) {
            let off = run_trial(options, &self.off, seed, executor).await?;
            let on = run_trial(options, &self.on, seed, executor).await?;
            Ok(Round { off, on })
        } else {
            let on = run_trial(options, &self.on, seed, executor).await?;
            let off = run_trial(options, &self.off, seed, executor).await?;
            Ok(Round { off, on })
        }
    }
}

/// Runs all rounds, writes progress to standard error, and returns the report. Ratios are those of the view
/// on to the view off; the interval contains 95 percent of the resamples of the rounds.
///
/// # Errors
/// If the program does not start, or a stub cannot bind its address.
pub fn measure(options: &Options) -> io::Result<Value> {
    let folder = TempDir::new("peers")?;
    let cluster = Cluster::start(cluster::Options {
        program: options.program.clone(),
        folder: folder.0.clone(),
        members: options.peers,
        zones: ZONES,
        period_ms: PERIOD_MS,
        seed: 1,
        ..cluster::Options::default()
    })?;
    let executor = Rc::new(LocalExecutor::new());
    let rounds = async_io::block_on(executor.run(run_rounds(options, &cluster.proxy.seeds(), &executor)))?;
    Ok(report(&rounds))
}

async fn run_rounds(
    options: &Options,
    seeds: &str,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Vec<Round>> {
    let (off_folder, on_folder) = (TempDir::new("off")?, TempDir::new("on")?);
    let edge = format!("[fleet]\nlisten = \"127.0.0.1:0\"\nseeds = {seeds}\n");
    let processes = ComparedProcesses {
        off: start_process(options, &off_folder, None, executor)?,
        on: start_process(options, &on_folder, Some(edge), executor)?,
    };
    Timer::after(WARM_UP).await;
    let mut rounds = Vec::new();
    for number in 0..=options.rounds {
        let _ = writeln!(io::stderr(), "turn {number} of {}", options.rounds);
        let round = processes.run_round(options, number, executor).await?;
        // The first round warms up the program and is not counted.
        if number > 0 {
            rounds.push(round);
        }
    }
    Ok(rounds)
}

fn report(rounds: &[Round]) -> Value {
    let all = Round::merged(rounds.iter());
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let resamples: Vec<Vec<usize>> = (0..RESAMPLES)
        .map(|_| (0..rounds.len()).map(|_| rng.random_range(0..rounds.len())).collect())
        .collect();
    let merged_resamples: Vec<Round> = resamples
        .iter()
        .map(|resample| Round::merged(resample.iter().map(|index| &rounds[*index])))
        .collect();
    let compare = |metric: &dyn Fn(&Trial) -> f64| {
        let ratios: Vec<f64> = rounds.iter().map(|round| round.ratio(metric)).collect();
        let merged_ratios = merged_resamples.iter().map(|round| round.ratio(metric)).collect();
        // Other load on the machine in one round distorts a sum, but hardly changes a median.
        let median_of = |resample: &Vec<usize>| median(resample.iter().map(|index| ratios[*index]).collect());
        let medians = resamples.iter().map(median_of).collect();
        json!({
            "off": metric(&all.off),
            "on": metric(&all.on),
            "ratio": all.ratio(metric),
            "interval": interval_95(merged_ratios),
            "median_of_turns": median(ratios.clone()),
            "its_interval": interval_95(medians),
            "turns": ratios,
        })
    };
    json!({
        "requests": [all.off.sent, all.on.sent],
        "stolen_s": [all.off.steal_s, all.on.steal_s],
        "p50_ms": compare(&|trial| trial.quantile_ms(0.5)),
        "p99_ms": compare(&|trial| trial.quantile_ms(0.99)),
        "cpu_ms_a_request": compare(&Trial::cpu_ms_per_request),
    })
}
