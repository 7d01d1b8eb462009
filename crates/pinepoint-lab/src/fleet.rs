//! What the view of the fleet costs a comparer that works: the same load in turns with the view off, and on among peers
//! that are real processes.

use std::io::{self, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use serde_json::{Value, json};

use crate::load::{self, Plan};
use crate::machine::Machine;
use crate::process::{Folder, Process, Start};
use crate::rig::{self, Rig};
use crate::telemetry::{CORES, classes};

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

/// One run: median and 99th percentile, ms, and time on a core for each request, ms.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    p50: f64,
    p99: f64,
    cpu: f64,
}

async fn one(
    options: &Options,
    on: Option<&Rig>,
    seed: u64,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Outcome> {
    let machine = Machine { cores: CORES, call: Duration::from_millis(3) };
    let (places, _) = machine.start(executor)?;
    let folder = Folder::new("fleet")?;
    let edge = on.map(|rig| format!("[fleet]\nlisten = \"127.0.0.1:0\"\nseeds = {}\n", rig.switch.seeds()));
    let start =
        Start { program: &options.program, folder: &folder.0, places, cores: CORES, edge, cpu: options.cpu };
    let process = Process::start(&start)?;
    Timer::after(Duration::from_secs(2)).await;
    let before = process.cost();
    let (classes, rate) = classes(options.part);
    let plan =
        Plan { classes, rate, ajp: 0.0, length: options.length, connections: (12, 0), spread: 0.5, seed };
    let seen = load::run(&plan, process.rpc, None, executor).await?;
    let after = process.cost();
    let ms = |q: f64| seen.latency.value_at_quantile(q) as f64 / 1000.0;
    let cpu = (after.cpu_s - before.cpu_s) * 1000.0 / seen.all().sent.max(1) as f64;
    Ok(Outcome { p50: ms(0.5), p99: ms(0.99), cpu })
}

/// Runs all turns, off and on in each; tells progress on standard error. Ratios are on to off, for each turn.
pub fn measure(options: &Options) -> io::Result<Value> {
    let folder = Folder::new("peers")?;
    let peers = rig::Options {
        program: options.program.clone(),
        folder: folder.0.clone(),
        members: options.peers,
        zones: 3,
        period_ms: 1000,
        seed: 1,
    };
    let rig = Rig::start(peers)?;
    let executor = Rc::new(LocalExecutor::new());
    let mut rows = Vec::new();
    async_io::block_on(executor.run(async {
        for turn in 0..options.turns {
            // Which comes first changes, so that what grows with time favours neither.
            let mut pair = [None, None];
            for on in if turn % 2 == 0 { [false, true] } else { [true, false] } {
                let _ = writeln!(
                    io::stderr(),
                    "turn {} of {}: {}",
                    turn + 1,
                    options.turns,
                    if on { "on" } else { "off" }
                );
                pair[usize::from(on)] = Some(one(options, on.then_some(&rig), turn + 1, &executor).await?);
            }
            if let [Some(off), Some(on)] = pair {
                rows.push((off, on));
            }
        }
        Ok::<_, io::Error>(())
    }))?;
    let told = |of: fn(&Outcome) -> f64| {
        let ratios: Vec<f64> = rows.iter().map(|(off, on)| of(on) / of(off)).collect();
        let mean = |side: fn(&(Outcome, Outcome)) -> Outcome| {
            rows.iter().map(|row| of(&side(row))).sum::<f64>() / rows.len().max(1) as f64
        };
        json!({ "off": mean(|row| row.0), "on": mean(|row| row.1), "ratios": ratios })
    };
    Ok(json!({ "p50_ms": told(|o| o.p50), "p99_ms": told(|o| o.p99), "cpu_ms_a_request": told(|o| o.cpu) }))
}
