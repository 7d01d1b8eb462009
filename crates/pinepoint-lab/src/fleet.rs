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

use crate::load::{self, Plan};
use crate::machine::Machine;
use crate::process::{Folder, Process, Start};
use crate::rig::{self, Rig};
use crate::telemetry::{CORES, classes};

/// Drawings with replacement of all turns, by which an interval is told.
const RESAMPLES: usize = 400;

/// How it is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Length of the load of each run.
    pub length: Duration,
    /// Turns.
    pub turns: u64,
    /// Peers in the fleet.
    pub peers: usize,
    /// Requests a second as a part of what the engine can do.
    pub part: f64,
    /// The core that the program has for itself.
    pub cpu: Option<usize>,
}

/// One turn of one side: times of what was served, time on a core, s, requests, and time that the machine under this one took
/// for others, s.
#[derive(Clone, Debug)]
struct Outcome {
    latency: Histogram<u64>,
    cpu_s: f64,
    sent: u64,
    stolen_s: f64,
}

/// Time that this machine's cores were not given, s since it runs ("steal" in proc(5)).
fn stolen_s() -> f64 {
    let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let ticks = stat.lines().next().and_then(|line| line.split_whitespace().nth(8)?.parse::<f64>().ok());
    ticks.unwrap_or(0.0) / 100.0
}

/// Several turns as one.
fn pooled<'a>(turns: impl Iterator<Item = &'a Outcome>) -> Outcome {
    let mut all: Option<Outcome> = None;
    for turn in turns {
        match &mut all {
            None => all = Some(turn.clone()),
            Some(all) => {
                let _ = all.latency.add(&turn.latency);
                all.cpu_s += turn.cpu_s;
                all.sent += turn.sent;
                all.stolen_s += turn.stolen_s;
            }
        }
    }
    all.expect("at least one turn")
}

fn ms(outcome: &Outcome, quantile: f64) -> f64 {
    outcome.latency.value_at_quantile(quantile) as f64 / 1000.0
}

fn cpu_ms(outcome: &Outcome) -> f64 {
    outcome.cpu_s * 1000.0 / outcome.sent.max(1) as f64
}

fn begin(
    options: &Options,
    folder: &Folder,
    edge: Option<String>,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Process> {
    let machine = Machine { cores: CORES, call: Duration::from_millis(3) };
    let (places, _) = machine.start(executor)?;
    Process::start(&Start {
        program: &options.program,
        folder: &folder.0,
        places,
        cores: CORES,
        edge,
        cpu: options.cpu,
    })
}

async fn turn(
    options: &Options,
    process: &Process,
    seed: u64,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Outcome> {
    let (before, stolen) = (process.cost(), stolen_s());
    let (classes, rate) = classes(options.part);
    let plan =
        Plan { classes, rate, ajp: 0.0, length: options.length, connections: (12, 0), spread: 0.5, seed };
    let seen = load::run(&plan, process.rpc, None, executor).await?;
    // What is left in the engine is worked off, so that no turn pays for the one before it.
    Timer::after(Duration::from_millis(300)).await;
    let cpu_s = process.cost().cpu_s - before.cpu_s;
    Ok(Outcome { sent: seen.all().sent, latency: seen.latency, cpu_s, stolen_s: stolen_s() - stolen })
}

/// Runs all turns, off and on in each; tells progress on standard error. Ratios are on to off; the interval holds 95 of 100
/// drawings of the turns.
pub fn measure(options: &Options) -> io::Result<Value> {
    let folder = Folder::new("peers")?;
    let peers = rig::Options {
        program: options.program.clone(),
        folder: folder.0.clone(),
        members: options.peers,
        zones: 3,
        period_ms: 1000,
        seed: 1,
        ..rig::Options::default()
    };
    let rig = Rig::start(peers)?;
    let executor = Rc::new(LocalExecutor::new());
    let mut rows: Vec<(Outcome, Outcome)> = Vec::new();
    async_io::block_on(executor.run(async {
        let folders = (Folder::new("off")?, Folder::new("on")?);
        let edge = format!("[fleet]\nlisten = \"127.0.0.1:0\"\nseeds = {}\n", rig.switch.seeds());
        let off = begin(options, &folders.0, None, &executor)?;
        let on = begin(options, &folders.1, Some(edge), &executor)?;
        Timer::after(Duration::from_secs(2)).await;
        // The first turn, with a cold program, counts for nothing.
        for number in 0..options.turns + 1 {
            let _ = writeln!(io::stderr(), "turn {number} of {}", options.turns);
            // Which comes first changes, so that what grows with time favours neither.
            let pair = if number % 2 == 0 {
                let off = turn(options, &off, number + 1, &executor).await?;
                (off, turn(options, &on, number + 1, &executor).await?)
            } else {
                let on = turn(options, &on, number + 1, &executor).await?;
                (turn(options, &off, number + 1, &executor).await?, on)
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
    [0.025, 0.975].map(|part| values[((values.len() - 1) as f64 * part) as usize])
}

fn report(rows: &[(Outcome, Outcome)]) -> Value {
    let sides = |rows: &[&(Outcome, Outcome)]| {
        (pooled(rows.iter().map(|row| &row.0)), pooled(rows.iter().map(|row| &row.1)))
    };
    let all: Vec<&(Outcome, Outcome)> = rows.iter().collect();
    let (off, on) = sides(&all);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let draws: Vec<Vec<usize>> = (0..RESAMPLES)
        .map(|_| (0..rows.len()).map(|_| random.random_range(0..rows.len())).collect())
        .collect();
    let drawn: Vec<(Outcome, Outcome)> =
        draws.iter().map(|draw| sides(&draw.iter().map(|at| &rows[*at]).collect::<Vec<_>>())).collect();
    let told = |of: &dyn Fn(&Outcome) -> f64| {
        let ratios = drawn.iter().map(|(off, on)| of(on) / of(off)).collect();
        let turns: Vec<f64> = rows.iter().map(|(off, on)| of(on) / of(off)).collect();
        // A turn in which the machine was busy elsewhere spoils a sum and hardly moves a median.
        let medians = draws.iter().map(|draw| median(draw.iter().map(|at| turns[*at]).collect())).collect();
        json!({ "off": of(&off), "on": of(&on), "ratio": of(&on) / of(&off), "interval": interval(ratios),
                "median_of_turns": median(turns.clone()),
                "its_interval": interval(medians), "turns": turns })
    };
    json!({
        "requests": [off.sent, on.sent],
        "stolen_s": [off.stolen_s, on.stolen_s],
        "p50_ms": told(&|o| ms(o, 0.5)),
        "p99_ms": told(&|o| ms(o, 0.99)),
        "cpu_ms_a_request": told(&cpu_ms),
    })
}
