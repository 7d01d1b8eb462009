//! The measurement of telemetry: the same load in turns with telemetry off and with receivers that fail in one way each,
//! and whether what the receivers have in the end is what the load tool counted.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::str::FromStr;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::collectd::{Collectd, SecurityLevel};
use crate::graphite::{Graphite, Mode, Points, Protocol};
use crate::load::{self, LoadSummary, RequestClass, Workload};
use crate::machine::{Machine, ServiceAddresses};
use crate::process::{LaunchOptions, Process, TempDir};

/// What the receivers do in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Condition {
    /// Telemetry is off.
    Off,
    /// They read what comes.
    Good,
    /// Graphite accepts and reads nothing until the load is over.
    Stalled,
    /// Graphite reads a little at a time.
    Dripping,
    /// Graphite is down until the load is over, and collectd for good.
    Down,
    /// Graphite restarts every few seconds.
    Restarting,
}

/// All conditions, in the order of a round.
pub const CONDITIONS: [Condition; 6] = [
    Condition::Off,
    Condition::Good,
    Condition::Stalled,
    Condition::Dripping,
    Condition::Down,
    Condition::Restarting,
];

impl Condition {
    /// Its name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Condition::Off => "off",
            Condition::Good => "good",
            Condition::Stalled => "stalled",
            Condition::Dripping => "dripping",
            Condition::Down => "down",
            Condition::Restarting => "restarting",
        }
    }
}

/// A name that is none of a [`Condition`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is none of off, good, stalled, dripping, down, restarting")]
pub struct UnknownCondition(String);

impl FromStr for Condition {
    type Err = UnknownCondition;

    fn from_str(name: &str) -> Result<Condition, UnknownCondition> {
        let named = |condition: &Condition| condition.name().eq_ignore_ascii_case(name);
        CONDITIONS.into_iter().find(named).ok_or_else(|| UnknownCondition(name.to_owned()))
    }
}

/// How it is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// An earlier program, whose edge file had `interval_s` in each section, and no receipts.
    pub legacy_config: bool,
    /// Length of the load of each run.
    pub duration: Duration,
    /// Turns.
    pub rounds: u64,
    /// Requests a second as a part of what the engine can do.
    pub load_factor: f64,
    /// The core that the program has for itself; the stand-ins keep off it.
    pub cpu: Option<usize>,
    /// Which ways.
    pub conditions: Vec<Condition>,
    /// Length of an interval, s.
    pub interval_s: u64,
}

pub(crate) const ENGINE_CORES: f64 = 4.0;

/// The classes that are sent, and the rate that is this part of what the engine can do.
pub(crate) fn request_classes(load_factor: f64) -> (Vec<RequestClass>, f64) {
    let class = |name, share, work_ms, keyed, calls| RequestClass { name, share, work_ms, keyed, calls };
    let request_classes = vec![
        class("quick-match", 0.34, 12.0, false, false),
        class("report-view", 0.45, 12.0, false, true),
        class("thesis-submit", 0.21, 7.0, true, true),
    ];
    let mean_ms: f64 = request_classes.iter().map(|class| class.share * class.work_ms).sum();
    let rate = load_factor * ENGINE_CORES * 1000.0 / mean_ms;
    (request_classes, rate)
}

fn workload(options: &Options, seed: u64) -> Workload {
    let (request_classes, rate) = request_classes(options.load_factor);
    Workload {
        classes: request_classes,
        rate,
        ajp: 0.25,
        duration: options.duration,
        connections: (12, 60),
        work_sigma: 0.5,
        seed,
    }
}

/// One run.
#[derive(Clone, Debug)]
pub struct Trial {
    /// The load tool's side.
    pub summary: LoadSummary,
    /// Time on a core for each request, ms.
    pub cpu_ms: f64,
    /// Most memory, kB.
    pub memory_kb: u64,
    /// From the notice to leave to the end.
    pub shutdown: Duration,
    /// Series whose sum at the receivers is not what the load tool counted, with both.
    pub off: Vec<String>,
    /// Slots that the receiver has points of.
    pub slots: usize,
    /// The largest `law_off` that was told.
    pub law_off: f64,
}

fn edge_file(options: &Options, condition: Condition, graphite: &Graphite, collectd: &str) -> String {
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\nmem_kb = 40.0\n";
    let (address, every) = (graphite.address(), options.interval_s);
    match (condition, options.legacy_config) {
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

async fn run_trial(
    options: &Options,
    condition: Condition,
    seed: u64,
    addresses: ServiceAddresses,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Trial> {
    let folder = TempDir::new(&format!("telemetry-{seed}"))?;
    let graphite = Graphite::start(Protocol::Plaintext)?;
    let collectd = Collectd::network(SecurityLevel::None, seed)?;
    let place = collectd.address().to_owned();
    let collectd = (condition != Condition::Down).then_some(collectd);
    match condition {
        Condition::Stalled => graphite.set_mode(Mode::Stalled),
        Condition::Dripping => graphite.set_mode(Mode::Drip(512, Duration::from_millis(100))),
        Condition::Down => graphite.stop(),
        Condition::Off | Condition::Good | Condition::Restarting => {}
    }
    let process = Process::start(&LaunchOptions {
        program: &options.program,
        folder: &folder.0,
        addresses,
        cores: ENGINE_CORES,
        edge: Some(edge_file(options, condition, &graphite, &place)),
        cpu: options.cpu,
    })?;
    Timer::after(Duration::from_millis(300)).await;
    let before = process.usage();
    let workload = workload(options, seed);
    let load = load::run(&workload, process.rpc, process.ajp, executor);
    let restarts = async {
        loop {
            Timer::after(Duration::from_millis(3300)).await;
            if condition == Condition::Restarting {
                graphite.stop();
                Timer::after(Duration::from_millis(1200)).await;
                let _ = graphite.restart();
            }
        }
    };
    let summary = futures_lite::future::or(load, restarts).await?;
    let after = process.usage();
    if matches!(condition, Condition::Down | Condition::Restarting) {
        // The load may have ended in the middle of a restart.
        graphite.stop();
        graphite.restart()?;
    }
    graphite.set_mode(Mode::Normal);
    let all = summary.all();
    let reported = |points: &Points| -> f64 {
        summary.outcomes.keys().map(|class| sum_of_class(points, class, &["read"])).sum()
    };
    if condition != Condition::Off && !options.legacy_config {
        let until = Instant::now() + Duration::from_secs(120);
        while reported(&graphite.points()) < all.sent as f64 && Instant::now() < until {
            Timer::after(Duration::from_millis(50)).await;
        }
    }
    let leaving = std::thread::spawn(move || process.shut_down());
    while !leaving.is_finished() {
        Timer::after(Duration::from_millis(2)).await;
    }
    let (shutdown, _) = leaving.join().map_err(|_| io::Error::other("the wait for its end failed"))??;
    // What was sent last is read by a thread that looks now and then.
    Timer::after(Duration::from_millis(100)).await;
    let points = graphite.points();
    let mut off = Vec::new();
    if condition != Condition::Off && !options.legacy_config {
        off = mismatches(&summary, |class, stats| sum_of_class(&points, class, stats));
        if let Some(collectd) = &collectd {
            let received = collectd.received();
            let last = |class: &str, stats: &[&str]| -> f64 {
                let heads: Vec<String> = stats
                    .iter()
                    .map(|stat| format!("n1/pinepoint-{class}/derive-{}", stat.replace('.', "-")))
                    .collect();
                let series =
                    received.values.keys().filter(|name| heads.iter().any(|head| matches_series(name, head)));
                series.filter_map(|name| received.last(name)).sum()
            };
            off.extend(mismatches(&summary, last).into_iter().map(|text| format!("collectd {text}")));
        }
        if points.malformed + points.conflicting > 0 {
            off.push(format!("{} bad lines, {} points changed", points.malformed, points.conflicting));
        }
    }
    let slots: BTreeSet<u64> = points.values.values().flat_map(|times| times.keys().copied()).collect();
    let law = points.values.get("pinepoint.n1.telemetry.law_off");
    Ok(Trial {
        cpu_ms: (after.cpu_s - before.cpu_s) * 1000.0 / all.sent.max(1) as f64,
        memory_kb: after.memory_kb,
        shutdown,
        off,
        slots: slots.len(),
        law_off: law.and_then(|times| times.values().copied().max_by(f64::total_cmp)).unwrap_or(0.0),
        summary,
    })
}

/// Whether a series is the named one, or one of its reasons.
fn matches_series(name: &str, head: &str) -> bool {
    name == head || head.ends_with('-') && name.starts_with(head)
}

/// The sum over the series of a class; a name that ends with a dot stands for all its reasons.
fn sum_of_class(points: &Points, class: &str, stats: &[&str]) -> f64 {
    let head = format!("pinepoint.n1.class.{class}.");
    let series = points.values.keys().filter(|path| {
        path.strip_prefix(&head).is_some_and(|stat| {
            stats.iter().any(|wanted| stat == *wanted || wanted.ends_with('.') && stat.starts_with(wanted))
        })
    });
    series.map(|path| points.sum(path)).sum()
}

fn mismatches(summary: &LoadSummary, reported: impl Fn(&str, &[&str]) -> f64) -> Vec<String> {
    let mut off = Vec::new();
    for (class, outcomes) in &summary.outcomes {
        let rows: [(&str, u64, &[&str]); 4] = [
            ("read", outcomes.sent, &["read"]),
            ("served", outcomes.served, &["served_in_aim", "served_late"]),
            ("refused", outcomes.rejected, &["refused."]),
            ("failed", outcomes.failed, &["failed.", "expired"]),
        ];
        for (what, counted, stats) in rows {
            let reported = reported(class, stats);
            if reported != counted as f64 {
                off.push(format!("{class} {what}: {reported} told, {counted} counted"));
            }
        }
    }
    off
}

/// Runs all turns; tells progress on standard error.
pub fn measure(options: &Options) -> io::Result<BTreeMap<Condition, Vec<Trial>>> {
    let executor = Rc::new(LocalExecutor::new());
    let mut trials: BTreeMap<Condition, Vec<Trial>> = BTreeMap::new();
    async_io::block_on(executor.run(async {
        let machine = Machine { cores: ENGINE_CORES, call: Duration::from_millis(3) };
        let (addresses, _) = machine.start(&executor)?;
        for round in 0..options.rounds {
            for (n, condition) in options.conditions.iter().enumerate() {
                let mut err = io::stderr().lock();
                let _ = writeln!(
                    err,
                    "turn {} of {}, {} of {}: {condition:?}",
                    round + 1,
                    options.rounds,
                    n + 1,
                    options.conditions.len()
                );
                drop(err);
                // The same times and work in each way of a turn.
                let trial = run_trial(options, *condition, round + 1, addresses, &executor).await?;
                trials.entry(*condition).or_default().push(trial);
            }
        }
        Ok::<_, io::Error>(())
    }))?;
    Ok(trials)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// What the turns show for each way. Quantiles are those of all turns together; ratios are to the same with telemetry
/// off, with the least and the largest ratio of any one turn behind them.
pub fn report(trials: &BTreeMap<Condition, Vec<Trial>>) -> Value {
    let quantile = |latency: &Histogram<u64>, q: f64| latency.value_at_quantile(q) as f64 / 1000.0;
    let pooled = |runs: &[Trial]| {
        let mut all = runs[0].summary.latency.clone();
        for run in &runs[1..] {
            // They have the same bounds, so this cannot fail.
            let _ = all.add(&run.summary.latency);
        }
        all
    };
    let off = trials.get(&Condition::Off).filter(|runs| !runs.is_empty());
    let mut rows = Vec::new();
    for (condition, runs) in trials.iter().filter(|(_, runs)| !runs.is_empty()) {
        let all = pooled(runs);
        let ratio = |q: f64| off.map(|off| quantile(&all, q) / quantile(&pooled(off), q));
        let range = |matches_series: &dyn Fn(&Trial) -> f64| {
            let pairs = runs
                .iter()
                .zip(off.into_iter().flatten())
                .map(|(run, off)| matches_series(run) / matches_series(off));
            let ratios: Vec<f64> = pairs.collect();
            let (least, most) =
                (ratios.iter().copied().reduce(f64::min), ratios.iter().copied().reduce(f64::max));
            json!([least, median(ratios), most])
        };
        let outcomes = runs.iter().map(|run| run.summary.all());
        let total = outcomes.fold([0; 5], |sum_of_class, e| {
            [
                sum_of_class[0] + e.sent,
                sum_of_class[1] + e.served,
                sum_of_class[2] + e.rejected,
                sum_of_class[3] + e.failed,
                sum_of_class[4] + e.unanswered,
            ]
        });
        rows.push(json!({
            "way": condition.name(),
            "p50": ratio(0.5), "p99": ratio(0.99), "p999": ratio(0.999),
            "p50_of_turns": range(&|run| quantile(&run.summary.latency, 0.5)),
            "p99_of_turns": range(&|run| quantile(&run.summary.latency, 0.99)),
            "p999_of_turns": range(&|run| quantile(&run.summary.latency, 0.999)),
            "cpu_of_turns": range(&|run| run.cpu_ms),
            "p50_ms": quantile(&all, 0.5), "p99_ms": quantile(&all, 0.99), "p999_ms": quantile(&all, 0.999),
            "cpu_ms": median(runs.iter().map(|run| run.cpu_ms).collect()),
            "memory_kb": runs.iter().map(|run| run.memory_kb).max(),
            "leave_ms": median(runs.iter().map(|run| run.shutdown.as_secs_f64() * 1000.0).collect()),
            "sent": total[0], "served": total[1], "refused": total[2], "failed": total[3], "unanswered": total[4],
            "no_room": runs.iter().map(|run| run.summary.no_capacity).sum::<u64>(),
            "doubles": runs.iter().map(|run| run.summary.duplicate_answers).sum::<u64>(),
            "law_off": runs.iter().map(|run| run.law_off).fold(0.0, f64::max),
            "slots": median(runs.iter().map(|run| run.slots as f64).collect()),
            "off": runs.iter().flat_map(|run| run.off.clone()).collect::<Vec<_>>(),
        }));
    }
    Value::Array(rows)
}

/// The report as a table.
pub fn table(report: &Value) -> String {
    let mut text = String::from(
        "way         p50    p99    p99.9  (p99 of turns)      cpu (of turns)       leave ms sent    refused failed \
         unanswered slots sums off\n",
    );
    for row in report.as_array().into_iter().flatten() {
        let number = |value: &Value| value.as_f64().unwrap_or(f64::NAN);
        let range = |name: &str| {
            let load_factor = |at: usize| number(&row[name][at]);
            format!("{:.2} {:.2} {:.2}", load_factor(0), load_factor(1), load_factor(2))
        };
        text += &format!(
            "{:<11} {:<6.3} {:<6.3} {:<6.3} ({:<16}) ({:<16}) {:<8.0} {:<7} {:<7} {:<6} {:<10} {:<5} {}\n",
            row["way"].as_str().unwrap_or_default(),
            number(&row["p50"]),
            number(&row["p99"]),
            number(&row["p999"]),
            range("p99_of_turns"),
            range("cpu_of_turns"),
            number(&row["leave_ms"]),
            row["sent"],
            row["refused"],
            row["failed"],
            row["unanswered"],
            row["slots"],
            row["off"].as_array().map_or(0, Vec::len),
        );
    }
    text
}
