//! The experiment that compares the CPU time per answered request with an earlier build of the program. All
//! processes run side by side and are loaded in short rounds with the same requests, so that other activity
//! on the machine affects all of them alike.

use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use serde_json::{Value, json};

use super::client::{Client, KEYED_CLASS, READ_CLASS, Reply};
use super::deployment::{Deployment, ManagementSource, Process, Setup, free_address};
use super::engine::{Engine, Finish};
use super::management;
use crate::load::{self, OutcomeCounts, RequestClass, Workload};
use crate::process::cpu_time_s;
use crate::sync::lock;

/// Duration of a run on the engine.
const RUN_TIME: Duration = Duration::from_millis(1);
/// Deduplication window of the keyed class; short, so that the number of retained keys settles within a
/// trial.
const KEY_WINDOW: Duration = Duration::from_secs(3);
/// Number of connections that carry the load.
const CONNECTIONS: usize = 12;
/// Pause between the last answer of a trial and the reading of its CPU time, so that work left by a trial
/// does not count for the next one.
const SETTLE: Duration = Duration::from_millis(300);
/// Pause between two `INFO` queries.
const INFO_INTERVAL: Duration = Duration::from_secs(1);
/// How long a process may take to become healthy.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Pause between two health checks of a process that starts.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The earlier build, the baseline.
    pub before: PathBuf,
    /// The program.
    pub program: PathBuf,
    /// Duration of the load of each trial.
    pub duration: Duration,
    /// Number of rounds, each with one trial of each variant. A warm-up round before them is not counted.
    pub rounds: u64,
    /// Requests per second.
    pub rate: f64,
}

/// User and system CPU time of a process, read from two sources.
#[derive(Clone, Copy, Debug, Default)]
struct CpuTime {
    /// From `/proc/PID/stat`, in s with the resolution of a kernel tick.
    ticks_s: f64,
    /// From `/proc/PID/task/*/schedstat`, in s with a resolution of 1 ns.
    exact_s: f64,
}

impl CpuTime {
    fn of(process: &Process) -> io::Result<CpuTime> {
        let directory = format!("/proc/{}", process.id());
        let mut exact_ns = 0.0;
        for task in std::fs::read_dir(format!("{directory}/task"))? {
            let schedstat = std::fs::read_to_string(task?.path().join("schedstat"))?;
            let on_cpu = schedstat.split_whitespace().next().and_then(|field| field.parse::<f64>().ok());
            exact_ns += on_cpu.ok_or_else(|| io::Error::other("a schedstat file contains no CPU time"))?;
        }
        Ok(CpuTime { ticks_s: cpu_time_s(process.id())?, exact_s: exact_ns / 1e9 })
    }

    fn since(self, earlier: CpuTime) -> CpuTime {
        CpuTime { ticks_s: self.ticks_s - earlier.ticks_s, exact_s: self.exact_s - earlier.exact_s }
    }
}

/// One trial of one variant.
#[derive(Clone, Copy, Debug)]
struct Trial {
    outcomes: OutcomeCounts,
    cpu: CpuTime,
    info_calls: u64,
}

impl Trial {
    fn answered(&self) -> u64 {
        self.outcomes.served + self.outcomes.rejected + self.outcomes.failed
    }

    fn cpu_us_per_request(&self) -> f64 {
        self.cpu.exact_s * 1e6 / self.answered().max(1) as f64
    }
}

/// Whether a variant of the program has a management port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Management {
    /// The variant has no management port.
    Off,
    /// The management port is polled under load.
    Polled,
}

/// A variant of the program in the comparison, with its process and its deployment.
struct Variant {
    name: &'static str,
    /// Whether the management port is polled under load.
    is_polled: bool,
    deployment: Deployment,
    process: Process,
    trials: Vec<Trial>,
}

impl Variant {
    fn start(name: &'static str, program: &Path, management: Management) -> io::Result<Variant> {
        let deployment = Deployment::new(Setup { key_window: KEY_WINDOW, ..Setup::new(program) })?;
        let is_polled = management == Management::Polled;
        let environment = if is_polled { Some(free_address()?) } else { None };
        let source = ManagementSource { environment, configuration: None };
        let process = deployment.start_with(Engine::start(Finish::After(RUN_TIME))?, source)?;
        await_healthy(&deployment)?;
        Ok(Variant { name, is_polled, deployment, process, trials: Vec::new() })
    }

    fn run_trial(&self, options: &Options, seed: u64) -> io::Result<Trial> {
        let workload = Workload {
            classes: vec![request_class(READ_CLASS, false), request_class(KEYED_CLASS, true)],
            rate: options.rate,
            ajp_share: 0.0,
            duration: options.duration,
            rpc_connections: CONNECTIONS,
            max_ajp_connections: 0,
            work_sigma: 0.5,
            seed,
        };
        let poller = self.is_polled.then(|| InfoPoller::start(&self.process));
        let before = CpuTime::of(&self.process)?;
        let executor = Rc::new(LocalExecutor::new());
        let summary = async_io::block_on(executor.run(async {
            let summary = load::run(&workload, self.deployment.listen, None, &executor).await?;
            Timer::after(SETTLE).await;
            Ok::<_, io::Error>(summary)
        }))?;
        let cpu = CpuTime::of(&self.process)?.since(before);
        let info_calls = poller.map_or(Ok(0), InfoPoller::stop)?;
        Ok(Trial { outcomes: summary.all(), cpu, info_calls })
    }
}

fn request_class(name: &'static str, keyed: bool) -> RequestClass {
    RequestClass { name, share: 0.5, work_ms: 1.0, keyed, calls: false }
}

/// Waits until a health check succeeds.
fn await_healthy(deployment: &Deployment) -> io::Result<()> {
    let until = Instant::now() + READY_LIMIT;
    while Instant::now() < until {
        if deployment.connect().is_ok_and(|client: Client| client.ping() == Reply::Health(true)) {
            return Ok(());
        }
        std::thread::sleep(READY_POLL_INTERVAL);
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "a process did not become healthy in time"))
}

/// Queries `INFO` periodically on its own thread.
struct InfoPoller {
    stop: Arc<AtomicBool>,
    calls: Arc<AtomicU64>,
    error: Arc<Mutex<Option<io::Error>>>,
}

impl InfoPoller {
    fn start(process: &Process) -> InfoPoller {
        let poller = InfoPoller { stop: Arc::default(), calls: Arc::default(), error: Arc::default() };
        let (stop, calls, error) = (poller.stop.clone(), poller.calls.clone(), poller.error.clone());
        let address = process.management;
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                match management::ask(address, "INFO").and_then(|answer| answer.figures()) {
                    Ok(_) => calls.fetch_add(1, Ordering::Relaxed),
                    Err(cause) => {
                        *lock(&error) = Some(cause);
                        return;
                    }
                };
                std::thread::sleep(INFO_INTERVAL);
            }
        });
        poller
    }

    /// Stops polling; returns the number of answers, or the error of the query that failed.
    fn stop(self) -> io::Result<u64> {
        self.stop.store(true, Ordering::Relaxed);
        match lock(&self.error).take() {
            Some(error) => Err(error),
            None => Ok(self.calls.load(Ordering::Relaxed)),
        }
    }
}

/// Runs all rounds. Every other round runs the variants in reverse order, so that drift over time favours no
/// variant. Calls `emit` with the report of each trial, and returns the summary.
///
/// # Errors
/// If a program does not start or is not ready in time, or a query of its management port fails.
pub fn measure(options: &Options, emit: &mut dyn FnMut(&Value)) -> io::Result<Value> {
    let mut variants = vec![
        Variant::start("before", &options.before, Management::Off)?,
        Variant::start("now", &options.program, Management::Off)?,
        Variant::start("now, managed, INFO each second", &options.program, Management::Polled)?,
    ];
    for number in 0..=options.rounds {
        let mut order: Vec<usize> = (0..variants.len()).collect();
        if number % 2 == 1 {
            order.reverse();
        }
        for index in order {
            let trial = variants[index].run_trial(options, number + 1)?;
            // Round 0 warms the program up and is not counted.
            if number > 0 {
                emit(&trial_report(variants[index].name, number, &trial));
                variants[index].trials.push(trial);
            }
        }
    }
    Ok(summary(&variants))
}

fn trial_report(variant: &str, number: u64, trial: &Trial) -> Value {
    json!({
        "turn": number,
        "arm": variant,
        "sent": trial.outcomes.sent,
        "served": trial.outcomes.served,
        "refused": trial.outcomes.rejected,
        "failed": trial.outcomes.failed,
        "unanswered": trial.outcomes.unanswered,
        "info_calls": trial.info_calls,
        "cpu_us_per_request": round_to(trial.cpu_us_per_request(), 2),
        "cpu_ticks_s": trial.cpu.ticks_s,
    })
}

fn summary(variants: &[Variant]) -> Value {
    let costs =
        |variant: &Variant| -> Vec<f64> { variant.trials.iter().map(Trial::cpu_us_per_request).collect() };
    let base = variants.first().map(costs).unwrap_or_default();
    let report = |variant: &Variant| {
        let costs = costs(variant);
        let ratios: Vec<f64> = costs.iter().zip(&base).map(|(cost, base)| cost / base).collect();
        let answered: u64 = variant.trials.iter().map(Trial::answered).sum();
        let ticks_s: f64 = variant.trials.iter().map(|trial| trial.cpu.ticks_s).sum();
        json!({
            "arm": variant.name,
            "turns": variant.trials.len(),
            "answered": answered,
            "cpu_us_per_request": median_and_range(costs, 2),
            "by_ticks_us_per_request": round_to(ticks_s * 1e6 / answered.max(1) as f64, 2),
            "ratio_to_before": median_and_range(ratios, 3),
        })
    };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    json!({ "cores": cores, "arms": variants.iter().map(report).collect::<Vec<_>>() })
}

/// Median, minimum and maximum.
fn median_and_range(mut values: Vec<f64>, digits: i32) -> Value {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    let median = match values.len() {
        0 => f64::NAN,
        count if count % 2 == 0 => f64::midpoint(values[middle - 1], values[middle]),
        _ => values[middle],
    };
    let to_json = |value: Option<&f64>| value.map(|value| round_to(*value, digits));
    json!({
        "median": round_to(median, digits),
        "least": to_json(values.first()),
        "largest": to_json(values.last()),
    })
}

fn round_to(value: f64, digits: i32) -> f64 {
    let scale = 10_f64.powi(digits);
    (value * scale).round() / scale
}
