//! What the view of the fleet costs a comparer that works: two processes of the program side by side, one with the view
//! off, one with it on among peers that are real processes. They are loaded in short turns with the same requests, so that
//! what the machine does meanwhile, and what a queue does by chance, falls on both alike.

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
use crate::machine::Machine;
use crate::process::{LaunchOptions, Process, TempDir};
use crate::telemetry::{ENGINE_CORES, request_classes};

/// Drawings with replacement of all turns, by which an interval is told.
const RESAMPLES: usize = 400;

/// How it is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Length of the load of each run.
    pub duration: Duration,
    /// Turns.
    pub rounds: u64,
    /// Peers in the fleet.
    pub peers: usize,
    /// Requests a second as a part of what the engine can do.
    pub load_factor: f64,
    /// The core that the program has for itself.
    pub cpu: Option<usize>,
}

/// One turn of one side: times of what was served, time on a core, s, requests, and time that the machine under this one took
/// for others, s.
#[derive(Clone, Debug)]
struct Trial {
    latency: Histogram<u64>,
    cpu_s: f64,
    sent: u64,
    steal_s: f64,
}

/// Time that this machine's cores were not given, s since it runs ("steal" in proc(5)).
fn steal_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let ticks = stat.lines().next().and_then(|line| line.split_whitespace().nth(8)?.parse::<f64>().ok());
    ticks.unwrap_or(0.0) / 100.0
}

/// Several turns as one.
fn merge<'a>(rounds: impl Iterator<Item = &'a Trial>) -> Trial {
    let mut all: Option<Trial> = None;
    for trial in rounds {
        match &mut all {
            None => all = Some(trial.clone()),
            Some(all) => {
                let _ = all.latency.add(&trial.latency);
                all.cpu_s += trial.cpu_s;
                all.sent += trial.sent;
                all.steal_s += trial.steal_s;
            }
        }
    }
    all.expect("at least one turn")
}

fn ms(trial: &Trial, quantile: f64) -> f64 {
    trial.latency.value_at_quantile(quantile) as f64 / 1000.0
}

fn cpu_ms(trial: &Trial) -> f64 {
    trial.cpu_s * 1000.0 / trial.sent.max(1) as f64
}

fn start_process(
    options: &Options,
    folder: &TempDir,
    edge: Option<String>,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Process> {
    let machine = Machine { cores: ENGINE_CORES, call: Duration::from_millis(3) };
    let (addresses, _) = machine.start(executor)?;
    Process::start(&LaunchOptions {
        program: &options.program,
        folder: &folder.0,
        addresses,
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
    let (before, steal_before) = (process.usage(), steal_s());
    let (request_classes, rate) = request_classes(options.load_factor);
    let workload = Workload {
        classes: request_classes,
        rate,
        ajp: 0.0,
        duration: options.duration,
        connections: (12, 0),
        work_sigma: 0.5,
        seed,
    };
    let summary = load::run(&workload, process.rpc, None, executor).await?;
    // What is left in the engine is worked off, so that no turn pays for the one before it.
    Timer::after(Duration::from_millis(300)).await;
    let cpu_s = process.usage().cpu_s - before.cpu_s;
    Ok(Trial { sent: summary.all().sent, latency: summary.latency, cpu_s, steal_s: steal_s() - steal_before })
}

/// Runs all turns, off and on in each; tells progress on standard error. Ratios are on to off; the interval holds 95 of 100
/// drawings of the turns.
pub fn measure(options: &Options) -> io::Result<Value> {
    let folder = TempDir::new("peers")?;
    let peers = cluster::Options {
        program: options.program.clone(),
        folder: folder.0.clone(),
        members: options.peers,
        zones: 3,
        period_ms: 1000,
        seed: 1,
        ..cluster::Options::default()
    };
    let cluster = Cluster::start(peers)?;
    let executor = Rc::new(LocalExecutor::new());
    let mut rows: Vec<(Trial, Trial)> = Vec::new();
    async_io::block_on(executor.run(async {
        let folders = (TempDir::new("off")?, TempDir::new("on")?);
        let edge = format!("[fleet]\nlisten = \"127.0.0.1:0\"\nseeds = {}\n", cluster.proxy.seeds());
        let off = start_process(options, &folders.0, None, &executor)?;
        let on = start_process(options, &folders.1, Some(edge), &executor)?;
        Timer::after(Duration::from_secs(2)).await;
        // The first turn, with a cold program, counts for nothing.
        for number in 0..options.rounds + 1 {
            let _ = writeln!(io::stderr(), "turn {number} of {}", options.rounds);
            // Which comes first changes, so that what grows with time favours neither.
            let pair = if number % 2 == 0 {
                let off = run_trial(options, &off, number + 1, &executor).await?;
                (off, run_trial(options, &on, number + 1, &executor).await?)
            } else {
                let on = run_trial(options, &on, number + 1, &executor).await?;
                (run_trial(options, &off, number + 1, &executor).await?, on)
            };
            if number > 0 {
                rows.push(pair);
            }
        }
        Ok::<_, io::Error>(())
    }))?;
    Ok(report(&rows))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// What 95 of 100 of these lie between.
fn interval(mut values: Vec<f64>) -> [f64; 2] {
    values.sort_by(f64::total_cmp);
    [0.025, 0.975].map(|quantile| values[((values.len() - 1) as f64 * quantile) as usize])
}

fn report(rows: &[(Trial, Trial)]) -> Value {
    let sides = |rows: &[&(Trial, Trial)]| {
        (merge(rows.iter().map(|row| &row.0)), merge(rows.iter().map(|row| &row.1)))
    };
    let all: Vec<&(Trial, Trial)> = rows.iter().collect();
    let (off, on) = sides(&all);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let draws: Vec<Vec<usize>> =
        (0..RESAMPLES).map(|_| (0..rows.len()).map(|_| rng.random_range(0..rows.len())).collect()).collect();
    let resampled: Vec<(Trial, Trial)> =
        draws.iter().map(|draw| sides(&draw.iter().map(|at| &rows[*at]).collect::<Vec<_>>())).collect();
    let compare = |of: &dyn Fn(&Trial) -> f64| {
        let ratios = resampled.iter().map(|(off, on)| of(on) / of(off)).collect();
        let rounds: Vec<f64> = rows.iter().map(|(off, on)| of(on) / of(off)).collect();
        // A turn in which the machine was busy elsewhere spoils a sum and hardly moves a median.
        let medians = draws.iter().map(|draw| median(draw.iter().map(|at| rounds[*at]).collect())).collect();
        json!({ "off": of(&off), "on": of(&on), "ratio": of(&on) / of(&off), "interval": interval(ratios),
                "median_of_turns": median(rounds.clone()),
                "its_interval": interval(medians), "turns": rounds })
    };
    json!({
        "requests": [off.sent, on.sent],
        "stolen_s": [off.steal_s, on.steal_s],
        "p50_ms": compare(&|o| ms(o, 0.5)),
        "p99_ms": compare(&|o| ms(o, 0.99)),
        "cpu_ms_a_request": compare(&cpu_ms),
    })
}
