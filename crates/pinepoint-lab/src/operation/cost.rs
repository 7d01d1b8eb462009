//! CPU time of the program for each answered request, against an earlier build of it. All processes run side by side and
//! are loaded in short turns with the same requests, so that what the machine does meanwhile falls on all alike.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use serde_json::{Value, json};

use super::client::{Client, KEYED_CLASS, READ_CLASS, Reply};
use super::deployment::{Deployment, ManagementSource, Process, Setup, free_address};
use super::engine::{Engine, Finish};
use super::management;
use crate::load::{self, OutcomeCounts, RequestClass, Workload};

/// Time that a run takes on the engine.
const RUN_TIME: Duration = Duration::from_millis(1);
/// Window of the keyed class: short, so that the number of kept keys settles within a turn.
const KEY_WINDOW: Duration = Duration::from_secs(3);
/// Connections that carry the load.
const CONNECTIONS: usize = 12;
/// Between a turn's last answer and the reading of its cost, so that no turn pays for the one before it.
const SETTLE: Duration = Duration::from_millis(300);
/// Between two calls of `INFO`.
const INFO_INTERVAL: Duration = Duration::from_secs(1);
/// A process that does not serve in this time does not.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Between two looks whether a process serves.
const READY_AGAIN: Duration = Duration::from_millis(20);
/// Kernel ticks of `/proc/PID/stat` in a second.
const TICKS_PER_S: f64 = 100.0;

/// What is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The earlier program.
    pub before: PathBuf,
    /// The program.
    pub program: PathBuf,
    /// Length of the load of each turn.
    pub duration: Duration,
    /// Turns, beside the first one, which is not counted.
    pub trials: u64,
    /// Requests a second.
    pub rate: f64,
}

/// CPU time of a process, user and system, s.
#[derive(Clone, Copy, Debug, Default)]
struct CpuTime {
    /// From `/proc/PID/stat`, in kernel ticks.
    ticks_s: f64,
    /// The same from `/proc/PID/task/*/schedstat`, in ns.
    exact_s: f64,
}

impl CpuTime {
    fn of(process: &Process) -> io::Result<CpuTime> {
        let directory = format!("/proc/{}", process.id());
        let stat = std::fs::read_to_string(format!("{directory}/stat"))?;
        // Behind the name, which may hold anything, the state is the third field; user and system time are 14 and 15.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        let mut exact_ns = 0.0;
        for task in std::fs::read_dir(format!("{directory}/task"))? {
            let schedstat = std::fs::read_to_string(task?.path().join("schedstat"))?;
            let on_cpu = schedstat.split_whitespace().next().and_then(|field| field.parse::<f64>().ok());
            exact_ns += on_cpu.ok_or_else(|| io::Error::other("schedstat without a time"))?;
        }
        Ok(CpuTime { ticks_s: (ticks(11) + ticks(12)) / TICKS_PER_S, exact_s: exact_ns / 1e9 })
    }

    fn since(self, earlier: CpuTime) -> CpuTime {
        CpuTime { ticks_s: self.ticks_s - earlier.ticks_s, exact_s: self.exact_s - earlier.exact_s }
    }
}

/// One turn of one process.
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

/// A process that is compared, with its surroundings.
struct Variant {
    name: &'static str,
    /// Its management port is asked for its figures while it is loaded.
    polled: bool,
    deployment: Deployment,
    process: Process,
    trials: Vec<Trial>,
}

impl Variant {
    fn start(name: &'static str, program: &PathBuf, managed: bool) -> io::Result<Variant> {
        let deployment = Deployment::new(Setup { key_window: KEY_WINDOW, ..Setup::new(program) })?;
        let environment = if managed { Some(free_address()?) } else { None };
        let source = ManagementSource { environment, configuration: None };
        let process = deployment.start_with(Engine::start(Finish::After(RUN_TIME))?, source)?;
        await_healthy(&deployment)?;
        Ok(Variant { name, polled: managed, deployment, process, trials: Vec::new() })
    }

    fn trial(&self, options: &Options, seed: u64) -> io::Result<Trial> {
        let workload = Workload {
            classes: vec![request_class(READ_CLASS, false), request_class(KEYED_CLASS, true)],
            rate: options.rate,
            ajp: 0.0,
            duration: options.duration,
            connections: (CONNECTIONS, 0),
            work_sigma: 0.5,
            seed,
        };
        let poller = self.polled.then(|| InfoPoller::start(&self.process));
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

/// Waits until a health check is answered with yes.
fn await_healthy(deployment: &Deployment) -> io::Result<()> {
    let until = Instant::now() + READY_LIMIT;
    while Instant::now() < until {
        if deployment.connect().is_ok_and(|client: Client| client.ping() == Reply::Health(true)) {
            return Ok(());
        }
        std::thread::sleep(READY_AGAIN);
    }
    Err(io::Error::new(io::ErrorKind::TimedOut, "a process does not serve"))
}

/// Calls `INFO` once an interval on a thread of its own.
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
                    Err(wrong) => {
                        *error.lock().unwrap_or_else(PoisonError::into_inner) = Some(wrong);
                        return;
                    }
                };
                std::thread::sleep(INFO_INTERVAL);
            }
        });
        poller
    }

    /// Tells how many calls were answered; an error if one was not.
    fn stop(self) -> io::Result<u64> {
        self.stop.store(true, Ordering::Relaxed);
        match self.error.lock().unwrap_or_else(PoisonError::into_inner).take() {
            Some(error) => Err(error),
            None => Ok(self.calls.load(Ordering::Relaxed)),
        }
    }
}

/// Runs all turns, every other one in the reverse order, so that what grows with time favours no process.
pub fn measure(options: &Options, tell: &mut dyn FnMut(&Value)) -> io::Result<Value> {
    let mut variants = vec![
        Variant::start("before", &options.before, false)?,
        Variant::start("now", &options.program, false)?,
        Variant::start("now, managed, INFO each second", &options.program, true)?,
    ];
    for number in 0..=options.trials {
        let mut order: Vec<usize> = (0..variants.len()).collect();
        if number % 2 == 1 {
            order.reverse();
        }
        for at in order {
            let trial = variants[at].trial(options, number + 1)?;
            // The first turn, with a cold program, counts for nothing.
            if number > 0 {
                tell(&trial_report(variants[at].name, number, &trial));
                variants[at].trials.push(trial);
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
        "cpu_us_per_request": rounded(trial.cpu_us_per_request(), 2),
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
            "cpu_us_per_request": spread(costs, 2),
            "by_ticks_us_per_request": rounded(ticks_s * 1e6 / answered.max(1) as f64, 2),
            "ratio_to_before": spread(ratios, 3),
        })
    };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    json!({ "cores": cores, "arms": variants.iter().map(report).collect::<Vec<_>>() })
}

/// Median, least and largest.
fn spread(mut values: Vec<f64>, digits: i32) -> Value {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    let median = match values.len() {
        0 => f64::NAN,
        count if count % 2 == 0 => f64::midpoint(values[middle - 1], values[middle]),
        _ => values[middle],
    };
    let at = |value: Option<&f64>| value.map(|value| rounded(*value, digits));
    json!({ "median": rounded(median, digits), "least": at(values.first()), "largest": at(values.last()) })
}

fn rounded(value: f64, digits: i32) -> f64 {
    let scale = 10_f64.powi(digits);
    (value * scale).round() / scale
}
