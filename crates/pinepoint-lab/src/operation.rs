//! Upgrades and management of the program: runs real processes among stub services, and contains the
//! experiment that measures upgrades under load. Uses loopback addresses only.

pub mod client;
pub mod cost;
pub mod deployment;
pub mod engine;
pub mod load;
pub mod management;
pub mod services;
pub mod stubs;

use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::{Value, json};

use deployment::{Deployment, Process, Setup, Signal};
use engine::{Engine, Finish};
use load::{Load, Plan, ReplyCounts};

/// Duration of a run on the engine.
const RUN_TIME: Duration = Duration::from_millis(5);
/// How long a new process may take to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// How long the load runs before, between and after the steps of an upgrade.
const SETTLE: Duration = Duration::from_millis(300);
/// Number of management port queries per command, once without load and once at full load.
const QUERIES: usize = 300;
/// Pause before each query, so that the queries are spread over the load.
const QUERY_PAUSE: Duration = Duration::from_millis(5);
/// Management commands whose answer time is measured.
const COMMANDS: [&str; 2] = ["PING", "INFO"];

/// Options of the experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// Number of consecutive upgrades.
    pub upgrades: usize,
    /// Number of clients that send requests continuously.
    pub clients: usize,
}

/// Measurements of one upgrade.
#[derive(Clone, Copy, Debug)]
struct Upgrade {
    /// Time from the start of the new process until its management port reported it ready.
    ready: Duration,
    /// Time from SIGTERM to the exit of the old process; `None` if it had to be killed.
    exit: Option<Duration>,
    replies: ReplyCounts,
}

impl Upgrade {
    fn report(&self, number: usize) -> Value {
        json!({
            "upgrade": number,
            "ready_ms": self.ready.as_millis() as u64,
            "exit_ms": self.exit.map(|exit| exit.as_millis() as u64),
            "sent": self.replies.sent,
            "served": self.replies.served,
            "busy": self.replies.busy,
            "failed": self.replies.failed,
            "lost": self.replies.lost,
            "late": self.replies.late,
            "refused_connections": self.replies.refused_connections,
            "ended_unannounced": self.replies.ended_unannounced,
        })
    }
}

/// Runs the experiment: calls `emit` with the report of each upgrade as it ends, and returns the summary.
///
/// # Errors
/// If the program does not start, is not ready in time, or does not answer on its management port.
pub fn measure(options: &Options, emit: &mut dyn FnMut(&Value)) -> io::Result<Value> {
    let deployment = Deployment::new(Setup::new(&options.program))?;
    let mut current = start(&deployment)?;
    current.await_ready(READY_LIMIT)?;
    let idle = answer_times(&current)?;
    let full_load = Load::start(load_plan(&deployment, options.clients, Duration::ZERO));
    std::thread::sleep(SETTLE);
    let loaded = answer_times(&current)?;
    let full_load = full_load.stop()?;

    let since = Instant::now();
    let mut upgrades = Vec::new();
    for number in 1..=options.upgrades {
        let (upgrade, next) = upgrade(&deployment, current, options.clients)?;
        current = next;
        emit(&upgrade.report(number));
        upgrades.push(upgrade);
    }
    let out_reports = deployment.registry.reports_since(since).iter().filter(|report| !report.up).count();
    let mut summary = summary(&upgrades, out_reports, &idle, &loaded);
    summary["full_load"] =
        json!({"sent": full_load.sent, "served": full_load.served, "busy": full_load.busy});
    Ok(summary)
}

fn start(deployment: &Deployment) -> io::Result<Process> {
    deployment.start(Engine::start(Finish::After(RUN_TIME))?)
}

fn load_plan(deployment: &Deployment, clients: usize, pause: Duration) -> Plan {
    Plan { address: deployment.listen, clients, depth: 4, pause, reconnect: false }
}

/// Runs one upgrade under load; returns its measurements and the new process, which serves from now on.
fn upgrade(deployment: &Deployment, mut old: Process, clients: usize) -> io::Result<(Upgrade, Process)> {
    let load = Load::start(load_plan(deployment, clients, Duration::from_millis(5)));
    std::thread::sleep(SETTLE);
    let began = Instant::now();
    let new = start(deployment)?;
    new.await_ready(READY_LIMIT)?;
    let ready = began.elapsed();
    std::thread::sleep(SETTLE);
    let signalled = Instant::now();
    old.signal(Signal::TERM)?;
    let exit = old.wait_exit(deployment.stop_timeout())?.map(|_| signalled.elapsed());
    drop(old);
    std::thread::sleep(SETTLE);
    Ok((Upgrade { ready, exit, replies: load.stop()? }, new))
}

/// Answer times in us for each command, in the order of [`COMMANDS`].
fn answer_times(process: &Process) -> io::Result<Vec<Histogram<u64>>> {
    let times = |command: &&str| {
        let mut times = Histogram::new(3).map_err(io::Error::other)?;
        for _ in 0..QUERIES {
            std::thread::sleep(QUERY_PAUSE);
            let answer = process.ask(command)?;
            if !answer.is_ok() {
                return Err(io::Error::other(format!(
                    "{command} was answered {:?} instead of +OK",
                    answer.head()
                )));
            }
            times.saturating_record(answer.took.as_micros() as u64);
        }
        Ok(times)
    };
    COMMANDS.iter().map(times).collect()
}

fn summary(
    upgrades: &[Upgrade],
    out_reports: usize,
    idle: &[Histogram<u64>],
    loaded: &[Histogram<u64>],
) -> Value {
    let mut ready: Vec<u64> = upgrades.iter().map(|upgrade| upgrade.ready.as_millis() as u64).collect();
    ready.sort_unstable();
    let quantile = |part: f64| ready.get(((ready.len() as f64 * part).ceil() as usize).saturating_sub(1));
    let mut total = ReplyCounts::default();
    upgrades.iter().for_each(|upgrade| total += upgrade.replies);
    let exit = upgrades.iter().filter_map(|upgrade| upgrade.exit).max();
    let answers = |times: &[Histogram<u64>], at: usize| {
        let ms = |quantile: f64| times[at].value_at_quantile(quantile) as f64 / 1000.0;
        json!({"p50": ms(0.5), "p99": ms(0.99)})
    };
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    json!({
        "cores": cores,
        "upgrades": upgrades.len(),
        "requests": total.sent,
        "failed": total.failed,
        "ended_without_answer": total.ended_without_answer(),
        "ended_without_answer_per_upgrade": total.ended_without_answer() as f64 / upgrades.len().max(1) as f64,
        "old_processes_killed": upgrades.iter().filter(|upgrade| upgrade.exit.is_none()).count(),
        "reports_out": out_reports,
        "ready_ms": {"p50": quantile(0.5), "p90": quantile(0.9), "max": ready.last()},
        "exit_ms_max": exit.map(|exit| exit.as_millis() as u64),
        "ping_ms": {"idle": answers(idle, 0), "full_load": answers(loaded, 0)},
        "info_ms": {"idle": answers(idle, 1), "full_load": answers(loaded, 1)},
    })
}
