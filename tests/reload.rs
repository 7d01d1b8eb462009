//! The admission controller and the core during a change of settings: open requests, keys and deduplication
//! windows keep the settings with which they arrived.

mod core_harness;
mod reload_support;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use core_harness::CoreHarness;
use pinepoint::admission::{
    Action, AdmissionController, Class, Event, FailureReason, Gauge, Idempotency, Request, Settings,
    SettingsError,
};
use pinepoint::config::site::Site;
use pinepoint::server::core::api::{CoreInput, Reply, RunResult};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use reload_support::{KEYED, READ, service, site};
use serde_json::{Value, json};

// ---- the admission controller ----

fn settings(classes: &[f64]) -> Settings {
    let class = |timeout_ms: &f64| Class { timeout_ms: *timeout_ms, ..Class::default() };
    Settings {
        classes: classes.iter().map(class).collect(),
        gauges: vec![Gauge::BusyShare, Gauge::Runnable],
        ..Settings::default()
    }
}

#[test]
fn controller_rejects_settings_that_remove_an_index() {
    let mut controller = AdmissionController::new(settings(&[3000.0, 3000.0]), 1).expect("valid settings");
    assert_eq!(controller.reconfigure(settings(&[3000.0])), Err(SettingsError::IndexRemoved));
    let invalid = Settings { cores: 0.0, ..settings(&[3000.0; 2]) };
    assert_eq!(controller.reconfigure(invalid), Err(SettingsError::NoCores));
    assert_eq!(controller.reconfigure(settings(&[3000.0; 3])), Ok(()));
}

#[test]
fn controller_keeps_deadlines_of_open_requests() {
    let mut controller = AdmissionController::new(settings(&[3000.0]), 1).expect("valid settings");
    let (mut out, mut now) = (Vec::new(), 0.0);
    controller.handle(now, Event::Started, &mut out);
    // The first request runs on the one core, the second is queued.
    for id in [1, 2] {
        controller.handle(
            now,
            Event::RequestArrived(Request { id, mem_kb: 1.0, ..Request::default() }),
            &mut out,
        );
    }
    controller.handle(now, Event::BatchEnded, &mut out);
    controller.reconfigure(settings(&[400.0])).expect("valid settings");
    out.clear();
    while now < 2500.0 {
        now += 20.0;
        controller.handle(now, Event::TimerFired { token: 0, gauges: vec![1.0, 1.0] }, &mut out);
        controller.handle(now, Event::BatchEnded, &mut out);
        // A run that ends keeps the controller from classifying the core as hung.
        controller.handle(
            now,
            Event::RunEnded { id: 99, outcome: pinepoint::admission::Outcome::Done },
            &mut out,
        );
    }
    let is_failure = |action: &Action| matches!(action, Action::Fail { .. });
    assert!(!out.iter().any(is_failure), "failed before the deadline set at arrival: {out:?}");
    controller.handle(3200.0, Event::TimerFired { token: 0, gauges: vec![1.0, 1.0] }, &mut out);
    assert!(out.contains(&Action::Fail { id: 1, reason: FailureReason::DeadlineExceeded }), "{out:?}");
}

#[test]
fn unchanged_settings_change_no_decision() {
    let run = |reload: bool| {
        let mut controller = AdmissionController::new(settings(&[900.0, 3000.0]), 3).expect("valid settings");
        let (mut log, mut out, mut running) = (Vec::new(), Vec::new(), Vec::new());
        controller.handle(0.0, Event::Started, &mut out);
        for step in 0..4000_u32 {
            let now = f64::from(step) * 5.0;
            if step % 3 != 0 {
                let class = (step % 2) as usize;
                let request = Request { id: step + 1, class, mem_kb: 1.0, ..Request::default() };
                controller.handle(now, Event::RequestArrived(request), &mut out);
            }
            if step % 4 == 0 {
                controller.handle(now, Event::TimerFired { token: 0, gauges: vec![1.0, 2.0] }, &mut out);
            }
            if step % 11 == 0 && !running.is_empty() {
                let id = running.remove(0);
                controller.handle(
                    now,
                    Event::RunEnded { id, outcome: pinepoint::admission::Outcome::Done },
                    &mut out,
                );
            }
            if reload && step % 50 == 0 {
                controller.reconfigure(settings(&[900.0, 3000.0])).expect("valid settings");
            }
            controller.handle(now, Event::BatchEnded, &mut out);
            let started_id =
                |action: &Action| if let Action::StartRun { id } = action { Some(*id) } else { None };
            running.extend(out.iter().filter_map(started_id));
            log.append(&mut out);
        }
        log
    };
    let (with, without) = (run(true), run(false));
    assert!(without.iter().filter(|a| matches!(a, Action::StartRun { .. })).count() > 100);
    assert_eq!(with, without);
}

// ---- the core ----

/// A core that serves and was started with the settings `site`.
fn serving(site: &Site) -> CoreHarness {
    let mut harness = CoreHarness::with_site(site.clone(), 1.0, 2000.0);
    harness.recorded.records_classes.set(true);
    harness.handle(CoreInput::EngineAttached { cold: false, since_start_ms: 9000.0 });
    harness
}

fn answers(harness: &CoreHarness) -> Vec<Reply> {
    harness.recorded.answers.borrow().values().flatten().cloned().collect()
}

fn complete(harness: &mut CoreHarness, attempt_id: &str, body: &[u8]) {
    harness.handle(CoreInput::RunEnded {
        attempt_id: attempt_id.into(),
        result: RunResult::Complete(body.into()),
    });
}

#[test]
fn open_keyed_request_keeps_key_and_window_over_reload() {
    let first = site(&[("look", READ), ("brief", READ), ("write", KEYED)]);
    let mut harness = serving(&first);
    let arrived_ms = harness.now;
    harness.arrive_as(1, 2, Some("k".into()), 7, 0.0);
    assert_eq!(harness.recorded.run_classes.borrow()["r1"], "write");
    // The reload drops the class before `write`, and shortens the window of `write` to almost nothing.
    let mut changed = site(&[("look", READ), ("write", KEYED), ("more", KEYED)]);
    changed.settings.classes[1].dedup_window_ms = 1.0;
    let changed = Rc::new(first.merged_with(changed, harness.now).expect("accepted"));
    harness.reload(changed.clone(), 1.0, 2000.0);
    let write = changed.class_of("write", harness.now).expect("a known class");
    harness.advance(300.0, 0.5);
    harness.arrive_as(2, write, Some("k".into()), 7, 0.0);
    // Callers that a reload moves to a new class send a retry under the new class name: it is still the same
    // request.
    let more = changed.class_of("more", harness.now).expect("a known class");
    harness.arrive_as(2, more, Some("k".into()), 7, 0.0);
    assert_eq!(harness.recorded.runs.borrow().as_slice(), ["r1"]);
    complete(&mut harness, "r1", b"receipt");
    let served = |body: &[u8]| Reply::Served(body.into());
    assert_eq!(answers(&harness), [served(b"receipt"), served(b"receipt"), served(b"receipt")]);
    // A request with another body is another request, which must not receive the result of the first.
    harness.arrive_as(1, more, Some("k".into()), 8, 0.0);
    assert_eq!(
        harness.recorded.answers.borrow()[&(1, 4)],
        [Reply::Failed { late: false, reason: pinepoint::admission::FailureReason::BodyMismatch }]
    );
    // This is still within the window with which the run began.
    harness.advance(arrived_ms + 4900.0 - harness.now, 0.5);
    harness.arrive_as(0, write, Some("k".into()), 7, 0.0);
    assert_eq!(harness.recorded.runs.borrow().as_slice(), ["r1"], "the duplicate does not run");
    assert_eq!(harness.recorded.answers.borrow()[&(0, 5)], [served(b"receipt")]);
    harness.advance(arrived_ms + 5100.0 - harness.now, 0.5);
    harness.arrive_as(0, write, Some("k".into()), 7, 0.0);
    assert_eq!(harness.recorded.runs.borrow().as_slice(), ["r1", "r6"], "the key is free after the window");
}

#[test]
fn restored_class_keeps_its_keys() {
    let both = site(&[("look", READ), ("write", KEYED)]);
    let mut harness = serving(&both);
    harness.arrive_as(1, 1, Some("k".into()), 7, 0.0);
    complete(&mut harness, "r1", b"receipt");
    let dropped = both.merged_with(site(&[("look", READ)]), harness.now).expect("accepted");
    harness.reload(Rc::new(dropped.clone()), 1.0, 2000.0);
    harness.advance(500.0, 0.1);
    let restored = Rc::new(dropped.merged_with(both, harness.now).expect("accepted"));
    harness.reload(restored.clone(), 1.0, 2000.0);
    harness.arrive_as(
        1,
        restored.class_of("write", harness.now).expect("a known class"),
        Some("k".into()),
        7,
        0.0,
    );
    assert_eq!(harness.recorded.runs.borrow().len(), 1);
    assert_eq!(answers(&harness), [Reply::Served((*b"receipt").into()), Reply::Served((*b"receipt").into())]);
}

#[test]
fn queued_request_of_dropped_class_runs_under_its_class_name() {
    let first = site(&[("look", READ), ("brief", READ)]);
    let mut harness = serving(&first);
    for _ in 0..3 {
        harness.arrive_as(1, 1, None, 7, 0.0);
    }
    assert_eq!(harness.recorded.runs.borrow().len(), 2, "each of the two cores runs one request");
    let dropped = first.merged_with(site(&[("look", READ)]), harness.now).expect("accepted");
    harness.reload(Rc::new(dropped), 1.0, 2000.0);
    complete(&mut harness, "r1", b"one");
    harness.advance(30.0, 0.5);
    assert_eq!(harness.recorded.run_classes.borrow().get("r3").map(String::as_str), Some("brief"));
}

#[test]
fn changed_deadline_applies_to_later_requests_only() {
    let first = site(&[("look", READ)]);
    let mut harness = serving(&first);
    harness.arrive_as(1, 0, None, 7, 0.0);
    let mut shorter = first.clone();
    shorter.settings.classes[0].timeout_ms = 600.0;
    harness.reload(Rc::new(first.merged_with(shorter, harness.now).expect("accepted")), 1.0, 2000.0);
    harness.arrive_as(1, 0, None, 8, 0.0);
    harness.advance(800.0, 0.5);
    let (of_first, of_second) = (
        harness.recorded.answers.borrow().get(&(1, 1)).cloned(),
        harness.recorded.answers.borrow().get(&(1, 2)).cloned(),
    );
    assert_eq!(of_first, None, "the first request keeps its own deadline");
    assert!(
        matches!(
            of_second.as_deref(),
            Some([Reply::Failed { late: true, reason: FailureReason::DeadlineExceeded }])
        ),
        "{of_second:?}"
    );
    harness.advance(2400.0, 0.5);
    assert!(matches!(answers(&harness).first(), Some(Reply::Failed { late: true, .. })));
}

#[test]
fn reload_before_engine_attaches_applies_to_first_requests() {
    let first = site(&[("look", READ)]);
    let mut harness = CoreHarness::with_site(first.clone(), 1.0, 2000.0);
    harness.recorded.records_classes.set(true);
    let more = first.merged_with(site(&[("look", READ), ("more", READ)]), harness.now).expect("accepted");
    harness.reload(Rc::new(more), 1.0, 2000.0);
    harness.handle(CoreInput::EngineAttached { cold: false, since_start_ms: 9000.0 });
    harness.arrive_as(1, 1, None, 7, 0.0);
    assert_eq!(harness.recorded.run_classes.borrow()["r1"], "more");
}

#[test]
fn reduced_memory_applies_to_later_results() {
    let first = site(&[("write", KEYED)]);
    let mut harness = serving(&first);
    harness.reload(Rc::new(first.merged_with(first.clone(), harness.now).expect("accepted")), 0.0001, 2000.0);
    harness.arrive_as(1, 0, Some("k".into()), 7, 0.0);
    complete(&mut harness, "r1", &[1; 2000]);
    harness.arrive_as(1, 0, Some("k".into()), 7, 0.0);
    let last = answers(&harness).pop();
    assert!(
        matches!(last, Some(Reply::Failed { .. })),
        "a result above the limit must not be kept: {last:?}"
    );
    assert_eq!(harness.recorded.runs.borrow().len(), 1);
}

// ---- any sequence of settings ----

/// A generated class.
#[derive(Clone, Copy, Debug)]
struct ClassSpec {
    /// Index into [`NAMES`].
    name: usize,
    /// Index into [`EFFECTS`].
    effect: usize,
    timeout_ms: u16,
    window_ms: u16,
}

#[derive(Clone, Debug)]
enum Step {
    Reload(Vec<ClassSpec>),
    Arrive { name: usize, token: u8 },
    Advance(u16),
    EndRun { run: u8, succeeds: bool },
    CallerGone(u8),
}

const NAMES: [&str; 5] = ["one", "two", "three", "four", "five"];
const EFFECTS: [&str; 3] = [READ, KEYED, "non_idempotent"];

fn class_spec(effect: impl Strategy<Value = usize>) -> impl Strategy<Value = ClassSpec> {
    let fields = (0..NAMES.len(), effect, 300..4000_u16, 1..6000_u16);
    fields.prop_map(|(name, effect, timeout_ms, window_ms)| ClassSpec { name, effect, timeout_ms, window_ms })
}

fn step() -> impl Strategy<Value = Step> {
    let class = class_spec(prop_oneof![4 => Just(1_usize), 1 => Just(0), 1 => Just(2)]);
    prop_oneof![
        2 => proptest::collection::vec(class, 1..6).prop_map(Step::Reload),
        12 => (0..NAMES.len(), 0..3_u8).prop_map(|(name, token)| Step::Arrive { name, token }),
        6 => (1..700_u16).prop_map(Step::Advance),
        8 => (any::<u8>(), any::<bool>()).prop_map(|(run, succeeds)| Step::EndRun { run, succeeds }),
        1 => any::<u8>().prop_map(Step::CallerGone),
    ]
}

/// Settings with these classes; of two classes with the same name, the last is used.
fn site_of(classes: &[ClassSpec]) -> Site {
    let unique: BTreeMap<usize, _> = classes.iter().map(|class| (class.name, class)).collect();
    let mut classes: Vec<Value> = unique
        .into_values()
        .map(|spec| {
            let mut class = service(NAMES[spec.name], EFFECTS[spec.effect]);
            class["deadlineMs"] = json!(spec.timeout_ms);
            class["keyTtlMs"] = json!(spec.window_ms);
            class
        })
        .collect();
    classes.reverse();
    let settings = json!({"services": classes,
        "contract": {"answerSlackMs": 100, "drainGraceMs": 1000, "fallMultiple": 8},
        "specifics": {"cores": 3, "heapKb": 30000, "runFactor": 4, "keyKb": 5, "gauges": ["cpu_busy", "runnable"]}});
    Site::from_json(&settings).expect("valid settings")
}

/// The properties of a request at its arrival.
#[derive(Clone, Debug)]
struct SentRequest {
    class: usize,
    name: &'static str,
    key: Option<(usize, String)>,
    arrived_ms: f64,
    deadline_ms: f64,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(29), ..ProptestConfig::default()
    })]

    /// For any sequence of settings: each request has one answer by the deadline set at its arrival and runs
    /// under the class name with which it arrived; no key runs twice within the window with which its run
    /// began; and the counts of each class add up.
    #[test]
    fn any_sequence_of_reloads_keeps_deadlines_windows_and_counts(
        first in proptest::collection::vec(class_spec(0..3_usize), 1..6),
        steps in proptest::collection::vec(step(), 1..120),
    ) {
        let mut site = Rc::new(site_of(&first));
        let mut harness = serving(&site);
        let mut sent: Vec<SentRequest> = Vec::new();
        let mut windows: BTreeMap<(usize, String), f64> = BTreeMap::new();
        let (mut runs_seen, mut gone) = (0, BTreeSet::new());
        for step in &steps {
            match step {
                Step::Reload(classes) => {
                    let previous = site.clone();
                    site = Rc::new(site.merged_with(site_of(classes), harness.now).expect("names below the limit"));
                    for class in 0..previous.settings.classes.len() {
                        prop_assert_eq!(site.class_name(class), previous.class_name(class));
                        prop_assert_eq!(
                            site.settings.classes[class].idempotency, previous.settings.classes[class].idempotency
                        );
                    }
                    harness.reload(site.clone(), 1.0, 2000.0);
                }
                Step::Arrive { name, token } => {
                    if let Some(class) = site.class_of(NAMES[*name], harness.now) {
                        let settings = &site.settings.classes[class];
                        let token = (settings.idempotency == Idempotency::Keyed).then(|| format!("k{token}"));
                        sent.push(SentRequest {
                            class,
                            name: NAMES[*name],
                            key: token.clone().map(|token| (class, token)),
                            arrived_ms: harness.now,
                            deadline_ms: harness.now + settings.timeout_ms,
                        });
                        harness.arrive_as(1, class, token, 7, 0.0);
                    }
                }
                Step::Advance(ms) => harness.advance(f64::from(*ms), 0.6),
                Step::EndRun { run, succeeds } => {
                    let runs = harness.recorded.runs.borrow().clone();
                    if let Some(attempt_id) = runs.get(usize::from(*run) % runs.len().max(1)) {
                        let end = if *succeeds { RunResult::Complete(attempt_id.as_bytes().into()) } else { RunResult::Error };
                        harness.handle(CoreInput::RunEnded { attempt_id: attempt_id.clone(), result: end });
                    }
                }
                Step::CallerGone(correlation_id) => {
                    let correlation_id = u64::from(*correlation_id) % (harness.last_correlation_id + 1);
                    gone.insert(correlation_id);
                    harness.handle(CoreInput::CallerGone { caller: 1, correlation_id });
                }
            }
            let runs = harness.recorded.runs.borrow().clone();
            for attempt_id in &runs[runs_seen..] {
                let number: usize = attempt_id[1..].parse().expect("a number");
                let request = &sent[number - 1];
                prop_assert_eq!(&harness.recorded.run_classes.borrow()[attempt_id], request.name);
                if let Some(key) = &request.key {
                    let window_ms = site.settings.classes[request.class].dedup_window_ms;
                    let until = windows.insert(key.clone(), request.arrived_ms + window_ms);
                    prop_assert!(until.is_none_or(|until| request.arrived_ms >= until), "{:?} ran twice: {}", key, attempt_id);
                }
            }
            runs_seen = runs.len();
            harness.handle(CoreInput::ReportState);
            let open = harness.recorded.state.borrow().open.clone();
            prop_assert_eq!(open.len(), site.settings.classes.len());
            for (class, [read, answered, gone]) in harness.totals_by_class().into_iter().enumerate() {
                prop_assert_eq!(read, answered + gone + open[class], "class {} after {:?}", class, step);
                let sent = sent.iter().filter(|request| request.class == class).count() as u64;
                prop_assert_eq!(read, sent, "class {}", class);
            }
            for (number, request) in sent.iter().enumerate() {
                let correlation_id = number as u64 + 1;
                let answered = harness.recorded.answers.borrow().contains_key(&(1, correlation_id));
                prop_assert!(
                    answered || gone.contains(&correlation_id) || harness.now < request.deadline_ms + 200.0,
                    "{} of {:?} is open at {}", correlation_id, request, harness.now
                );
            }
        }
        harness.advance(5000.0, 0.2);
        harness.handle(CoreInput::ReportState);
        prop_assert_eq!(harness.recorded.state.borrow().open.iter().sum::<u64>(), 0);
        let answers = harness.recorded.answers.borrow();
        prop_assert!(answers.values().all(|replies| replies.len() == 1));
        // The admission controller knows each class and answers at the deadline, so the core never has to.
        let is_overdue = |reply: &Reply| matches!(reply, Reply::Failed { reason: FailureReason::Overdue, .. });
        prop_assert!(!answers.values().flatten().any(is_overdue), "{:?}", answers);
    }
}
