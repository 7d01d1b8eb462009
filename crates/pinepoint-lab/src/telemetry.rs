//! The measurement of telemetry: the same load in turns with telemetry off and with receivers that fail in one way each,
//! and whether what the receivers have in the end is what the load tool counted.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::collectd::{Collectd, Wanted};
use crate::graphite::{Form, Graphite, Mode, Points};
use crate::load::{self, Class, Plan, Seen};
use crate::machine::{Machine, Places};
use crate::process::{Folder, Process, Start};

/// What the receivers do in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
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

/// All of them, in the order of a turn.
pub const WAYS: [Way; 6] = [Way::Off, Way::Good, Way::Stalled, Way::Dripping, Way::Down, Way::Restarting];

/// How it is measured.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// An earlier program, whose edge file had `every_s` in each section, and no receipts.
    pub earlier: bool,
    /// Length of the load of each run.
    pub length: Duration,
    /// Turns.
    pub turns: u64,
    /// Requests a second as a part of what the engine can do.
    pub part: f64,
    /// The core that the program has for itself; the stand-ins keep off it.
    pub cpu: Option<usize>,
    /// Which ways.
    pub ways: Vec<Way>,
    /// Length of an interval, s.
    pub every_s: u64,
}

pub(crate) const CORES: f64 = 4.0;

/// The classes that are sent, and the rate that is this part of what the engine can do.
pub(crate) fn classes(part: f64) -> (Vec<Class>, f64) {
    let class = |name, share, work_ms, keyed, calls| Class { name, share, work_ms, keyed, calls };
    let classes = vec![
        class("quick-match", 0.34, 12.0, false, false),
        class("report-view", 0.45, 12.0, false, true),
        class("thesis-submit", 0.21, 7.0, true, true),
    ];
    let mean_ms: f64 = classes.iter().map(|class| class.share * class.work_ms).sum();
    let rate = part * CORES * 1000.0 / mean_ms;
    (classes, rate)
}

fn plan(options: &Options, seed: u64) -> Plan {
    let (classes, rate) = classes(options.part);
    Plan { classes, rate, ajp: 0.25, length: options.length, connections: (12, 60), spread: 0.5, seed }
}

/// One run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The load tool's side.
    pub seen: Seen,
    /// Time on a core for each request, ms.
    pub cpu_ms: f64,
    /// Most memory, kB.
    pub memory_kb: u64,
    /// From the notice to leave to the end.
    pub leave: Duration,
    /// Series whose sum at the receivers is not what the load tool counted, with both.
    pub off: Vec<String>,
    /// Slots that the receiver has points of.
    pub slots: usize,
    /// The largest `law_off` that was told.
    pub law_off: f64,
}

fn edge(options: &Options, way: Way, graphite: &Graphite, collectd: &str) -> String {
    let ajp = "[ajp]\nlisten = \"127.0.0.1:0\"\nmem_kb = 40.0\n";
    let (address, every) = (graphite.address(), options.every_s);
    match (way, options.earlier) {
        (Way::Off, _) => ajp.to_owned(),
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

async fn one(
    options: &Options,
    way: Way,
    seed: u64,
    places: Places,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<Outcome> {
    let folder = Folder::new(&format!("telemetry-{seed}"))?;
    let graphite = Graphite::start(Form::Plaintext)?;
    let collectd = Collectd::network(Wanted::Nothing, seed)?;
    let place = collectd.place().to_owned();
    let collectd = (way != Way::Down).then_some(collectd);
    match way {
        Way::Stalled => graphite.set(Mode::Stalled),
        Way::Dripping => graphite.set(Mode::Drip(512, Duration::from_millis(100))),
        Way::Down => graphite.stop(),
        Way::Off | Way::Good | Way::Restarting => {}
    }
    let process = Process::start(&Start {
        program: &options.program,
        folder: &folder.0,
        places,
        cores: CORES,
        edge: Some(edge(options, way, &graphite, &place)),
        cpu: options.cpu,
    })?;
    Timer::after(Duration::from_millis(300)).await;
    let before = process.cost();
    let plan = plan(options, seed);
    let load = load::run(&plan, process.rpc, process.ajp, executor);
    let restarts = async {
        loop {
            Timer::after(Duration::from_millis(3300)).await;
            if way == Way::Restarting {
                graphite.stop();
                Timer::after(Duration::from_millis(1200)).await;
                let _ = graphite.start_again();
            }
        }
    };
    let seen = futures_lite::future::or(load, restarts).await?;
    let after = process.cost();
    if matches!(way, Way::Down | Way::Restarting) {
        // The load may have ended in the middle of a restart.
        graphite.stop();
        graphite.start_again()?;
    }
    graphite.set(Mode::Good);
    let all = seen.all();
    let told = |points: &Points| -> f64 { seen.ends.keys().map(|class| sum(points, class, &["read"])).sum() };
    if way != Way::Off && !options.earlier {
        let until = Instant::now() + Duration::from_secs(120);
        while told(&graphite.points()) < all.sent as f64 && Instant::now() < until {
            Timer::after(Duration::from_millis(50)).await;
        }
    }
    let leaving = std::thread::spawn(move || process.leave());
    while !leaving.is_finished() {
        Timer::after(Duration::from_millis(2)).await;
    }
    let (leave, _) = leaving.join().map_err(|_| io::Error::other("the wait for its end failed"))??;
    // What was sent last is read by a thread that looks now and then.
    Timer::after(Duration::from_millis(100)).await;
    let points = graphite.points();
    let mut off = Vec::new();
    if way != Way::Off && !options.earlier {
        off = differences(&seen, |class, stats| sum(&points, class, stats));
        if let Some(collectd) = &collectd {
            let taken = collectd.taken();
            let last = |class: &str, stats: &[&str]| -> f64 {
                let heads: Vec<String> = stats
                    .iter()
                    .map(|stat| format!("n1/pinepoint-{class}/derive-{}", stat.replace('.', "-")))
                    .collect();
                let series = taken.values.keys().filter(|name| heads.iter().any(|head| of(name, head)));
                series.filter_map(|name| taken.last(name)).sum()
            };
            off.extend(differences(&seen, last).into_iter().map(|text| format!("collectd {text}")));
        }
        if points.bad + points.changed > 0 {
            off.push(format!("{} bad lines, {} points changed", points.bad, points.changed));
        }
    }
    let slots: BTreeSet<u64> = points.values.values().flat_map(|times| times.keys().copied()).collect();
    let law = points.values.get("pinepoint.n1.telemetry.law_off");
    Ok(Outcome {
        cpu_ms: (after.cpu_s - before.cpu_s) * 1000.0 / all.sent.max(1) as f64,
        memory_kb: after.memory_kb,
        leave,
        off,
        slots: slots.len(),
        law_off: law.and_then(|times| times.values().copied().max_by(f64::total_cmp)).unwrap_or(0.0),
        seen,
    })
}

/// Whether a series is the named one, or one of its reasons.
fn of(name: &str, head: &str) -> bool {
    name == head || head.ends_with('-') && name.starts_with(head)
}

/// The sum over the series of a class; a name that ends with a dot stands for all its reasons.
fn sum(points: &Points, class: &str, stats: &[&str]) -> f64 {
    let head = format!("pinepoint.n1.class.{class}.");
    let series = points.values.keys().filter(|path| {
        path.strip_prefix(&head).is_some_and(|stat| {
            stats.iter().any(|wanted| stat == *wanted || wanted.ends_with('.') && stat.starts_with(wanted))
        })
    });
    series.map(|path| points.sum(path)).sum()
}

fn differences(seen: &Seen, told: impl Fn(&str, &[&str]) -> f64) -> Vec<String> {
    let mut off = Vec::new();
    for (class, ends) in &seen.ends {
        let rows: [(&str, u64, &[&str]); 4] = [
            ("read", ends.sent, &["read"]),
            ("served", ends.served, &["served_in_aim", "served_late"]),
            ("refused", ends.refused, &["refused."]),
            ("failed", ends.failed, &["failed.", "expired"]),
        ];
        for (what, counted, stats) in rows {
            let told = told(class, stats);
            if told != counted as f64 {
                off.push(format!("{class} {what}: {told} told, {counted} counted"));
            }
        }
    }
    off
}

/// Runs all turns; tells progress on standard error.
pub fn measure(options: &Options) -> io::Result<BTreeMap<Way, Vec<Outcome>>> {
    let executor = Rc::new(LocalExecutor::new());
    let mut outcomes: BTreeMap<Way, Vec<Outcome>> = BTreeMap::new();
    async_io::block_on(executor.run(async {
        let machine = Machine { cores: CORES, call: Duration::from_millis(3) };
        let (places, _) = machine.start(&executor)?;
        for turn in 0..options.turns {
            for (n, way) in options.ways.iter().enumerate() {
                let mut err = io::stderr().lock();
                let _ = writeln!(
                    err,
                    "turn {} of {}, {} of {}: {way:?}",
                    turn + 1,
                    options.turns,
                    n + 1,
                    options.ways.len()
                );
                drop(err);
                // The same times and work in each way of a turn.
                let outcome = one(options, *way, turn + 1, places, &executor).await?;
                outcomes.entry(*way).or_default().push(outcome);
            }
        }
        Ok::<_, io::Error>(())
    }))?;
    Ok(outcomes)
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// What the turns show for each way. Quantiles are those of all turns together; ratios are to the same with telemetry
/// off, with the least and the largest ratio of any one turn behind them.
pub fn report(outcomes: &BTreeMap<Way, Vec<Outcome>>) -> Value {
    let quantile = |latency: &Histogram<u64>, q: f64| latency.value_at_quantile(q) as f64 / 1000.0;
    let pooled = |runs: &[Outcome]| {
        let mut all = runs[0].seen.latency.clone();
        for run in &runs[1..] {
            // They have the same bounds, so this cannot fail.
            let _ = all.add(&run.seen.latency);
        }
        all
    };
    let off = outcomes.get(&Way::Off).filter(|runs| !runs.is_empty());
    let mut rows = Vec::new();
    for (way, runs) in outcomes.iter().filter(|(_, runs)| !runs.is_empty()) {
        let all = pooled(runs);
        let ratio = |q: f64| off.map(|off| quantile(&all, q) / quantile(&pooled(off), q));
        let range = |of: &dyn Fn(&Outcome) -> f64| {
            let pairs = runs.iter().zip(off.into_iter().flatten()).map(|(run, off)| of(run) / of(off));
            let ratios: Vec<f64> = pairs.collect();
            let (least, most) =
                (ratios.iter().copied().reduce(f64::min), ratios.iter().copied().reduce(f64::max));
            json!([least, median(ratios), most])
        };
        let ends = runs.iter().map(|run| run.seen.all());
        let total = ends.fold([0; 5], |sum, e| {
            [sum[0] + e.sent, sum[1] + e.served, sum[2] + e.refused, sum[3] + e.failed, sum[4] + e.unanswered]
        });
        rows.push(json!({
            "way": format!("{way:?}").to_lowercase(),
            "p50": ratio(0.5), "p99": ratio(0.99), "p999": ratio(0.999),
            "p50_of_turns": range(&|run| quantile(&run.seen.latency, 0.5)),
            "p99_of_turns": range(&|run| quantile(&run.seen.latency, 0.99)),
            "p999_of_turns": range(&|run| quantile(&run.seen.latency, 0.999)),
            "cpu_of_turns": range(&|run| run.cpu_ms),
            "p50_ms": quantile(&all, 0.5), "p99_ms": quantile(&all, 0.99), "p999_ms": quantile(&all, 0.999),
            "cpu_ms": median(runs.iter().map(|run| run.cpu_ms).collect()),
            "memory_kb": runs.iter().map(|run| run.memory_kb).max(),
            "leave_ms": median(runs.iter().map(|run| run.leave.as_secs_f64() * 1000.0).collect()),
            "sent": total[0], "served": total[1], "refused": total[2], "failed": total[3], "unanswered": total[4],
            "no_room": runs.iter().map(|run| run.seen.no_room).sum::<u64>(),
            "doubles": runs.iter().map(|run| run.seen.doubles).sum::<u64>(),
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
            let part = |at: usize| number(&row[name][at]);
            format!("{:.2} {:.2} {:.2}", part(0), part(1), part(2))
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
