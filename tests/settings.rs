//! Settings of any deployment: those that pass the check start and serve, those that don't are rejected with the field at
//! fault.

mod core_harness;

use core_harness::{CoreHarness, Step};
use pinepoint::config::site::Site;
use pinepoint::server::control::lifecycle::Phase;
use pinepoint::server::core::api::CoreInput;
use pinepoint_events::ProcessEvent;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// A figure of any size: those that mean off, those at the bounds, ordinary ones; and some that are none.
fn figure() -> BoxedStrategy<Value> {
    prop_oneof![
        3 => Just(json!(0)),
        1 => Just(json!(1e-9)),
        1 => Just(json!(1e12)),
        1 => Just(json!(null)),
        8 => (0.0..20_000.0f64).prop_map(|n| json!(n)),
        8 => (0.0..4.0f64).prop_map(|n| json!(n)),
    ]
    .boxed()
}

/// A figure above 0, as a deadline has to be.
fn positive_figure() -> BoxedStrategy<Value> {
    prop_oneof![
        1 => Just(json!(1e-9)),
        1 => Just(json!(1e12)),
        8 => (1.0..20_000.0f64).prop_map(|n| json!(n)),
        4 => (0.01..4.0f64).prop_map(|n| json!(n)),
    ]
    .boxed()
}

/// A figure that no settings may have.
fn wrong_figure() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(json!(-1)),
        Just(json!(-1e-300)),
        Just(json!(1.1e12)),
        Just(json!(1e308)),
        Just(json!("4"))
    ]
}

fn class(name: usize) -> BoxedStrategy<Value> {
    let idempotency =
        prop_oneof![Just("read_like"), Just("idempotency_key"), Just("non_idempotent"), Just("")];
    let figures = (figure(), positive_figure(), figure(), figure(), figure(), figure());
    (idempotency, figures).prop_map(move |(idempotency, (aim, deadline, worth, late, stretch, window))| {
        json!({"name": format!("c{name}"), "effect": idempotency, "promiseMs": aim, "deadlineMs": deadline, "worth": worth,
            "lateWorth": late, "aimStretch": stretch, "keyTtlMs": window})
    })
    .boxed()
}

prop_compose! {
    fn specifics()(
        cores in prop_oneof![Just(1.0), 1.0..64.0f64, Just(1e12)],
        heap in figure(), factor in figure(), key in figure(), callers in figure(), fresh in figure(),
        signal in prop_oneof![Just("level"), Just("credit"), Just("weight"), Just("silent")],
        preemption in prop_oneof![Just("drop"), Just("pause"), Just("silent")],
        idle in figure(), out in figure(), over in figure(), linger in figure(),
        flags in (any::<bool>(), any::<bool>(), any::<bool>()),
        without in proptest::collection::vec(figure(), 0..5),
        gauges in prop_oneof![Just(vec![]), Just(vec!["cpu_busy", "runnable"]), Just(vec!["mem_used"])],
    ) -> Value {
        json!({"cores": cores, "heapKb": heap, "runFactor": factor, "keyKb": key, "clientsTotal": callers,
            "freshForMs": fresh, "signal": signal, "preemption": preemption, "callerIdleMs": idle, "callsOut": out,
            "callsOverMs": over, "lingerMs": linger, "cold": flags.0, "registryFollows": flags.1,
            "classCalls": [flags.2, !flags.2, true], "worthWithout": without, "gauges": gauges})
    }
}

prop_compose! {
    fn settings()(
        classes in (1..5usize).prop_flat_map(|n| (0..n).map(class).collect::<Vec<_>>()),
        specifics in specifics().boxed(),
        figures in (figure(), figure(), figure(), figure(), figure(), figure(), figure(), figure()),
        tenants in proptest::collection::vec(figure(), 0..4),
        flags in (any::<bool>(), any::<bool>()),
    ) -> Value {
        let (slack, grace, fall, capacity, cold, pause, servers, tick) = figures;
        let tenants: Vec<Value> =
            tenants.into_iter().enumerate().map(|(n, a)| json!({"name": format!("t{n}"), "allowancePerS": a})).collect();
        json!({"services": classes, "specifics": specifics, "projects": tenants, "servers": servers, "tickMs": tick,
            "worthBy": if flags.0 { "work" } else { "request" },
            "ceilings": {"retryAfter": flags.1, "maxRetryAfterMs": pause},
            "contract": {"answerSlackMs": slack, "drainGraceMs": grace, "fallMultiple": fall,
                "startCapacity": capacity, "coldMs": cold}})
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..4usize, 0..6u8, 0..2u8, prop_oneof![6 => 0..50u16, 1 => Just(9000u16)])
            .prop_map(|(class, key, body, age)| Step::Arrive { class, key, body, age }),
        6 => (1..900u16, 0..=100u8).prop_map(|(ms, busy)| Step::Advance { ms, busy }),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(run, how)| Step::EndRun { run, how }),
        4 => any::<u8>().prop_map(|run| Step::NeedCall { run }),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::EndCall { call, how }),
        2 => any::<u8>().prop_map(|correlation_id| Step::CallerGone { correlation_id }),
        1 => Just(Step::DetachEngine),
        1 => Just(Step::AttachEngine),
    ]
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(400))]

    /// It starts, answers each request once, waits between its turns, and ends after the notice.
    #[test]
    fn whatever_passes_the_check_starts_serves_and_leaves(
        settings in settings().boxed(),
        steps in proptest::collection::vec(step(), 1..60),
        stop_ms in prop_oneof![Just(1.0), 1.0..5000.0f64],
    ) {
        let site = Site::from_json(&settings).expect("well formed");
        let checked = site.settings.check();
        prop_assert!(checked.is_ok(), "{checked:?} of {settings}");
        let classes = site.settings.classes.len();
        let mut harness = CoreHarness::with_site(site, 0.01, stop_ms);
        harness.apply(&Step::AttachEngine);
        prop_assert!(harness.recorded.process_events.borrow().iter().any(|turn| matches!(turn, ProcessEvent::Started { .. })), "never ready");
        for step in &steps {
            match step {
                Step::Arrive { class, key, body, age } => {
                    harness.apply(&Step::Arrive { class: class % classes, key: *key, body: *body, age: *age });
                }
                step => harness.apply(step),
            }
            harness.handle(CoreInput::ReportState);
            let open = harness.recorded.state.borrow().open.clone();
            for (class, [read, answered, gone]) in harness.totals_by_class().into_iter().enumerate() {
                prop_assert_eq!(read, answered + gone + open[class], "class {} after {:?}", class, step);
            }
        }
        harness.apply(&Step::StartDrain);
        harness.advance(stop_ms + 200.0, 0.5);
        prop_assert_eq!(harness.core.phase(), Phase::Terminated);
        let unanswered = harness.totals_by_class().into_iter().map(|[read, answered, gone]| read - answered - gone).sum::<u64>();
        prop_assert_eq!(unanswered, 0, "all that was read is answered before the end");
        prop_assert!(harness.recorded.answers.borrow().values().all(|replies| replies.len() == 1));
    }

    /// One figure that can't be, anywhere: refused, and the field is named.
    #[test]
    fn one_figure_that_cannot_be_is_refused_by_name(
        settings in settings().boxed(),
        wrong in wrong_figure(),
        (section, field, named) in prop_oneof![
            Just(("/specifics", "cores", "cores")),
            Just(("/specifics", "heapKb", "memory_kb")),
            Just(("/specifics", "keyKb", "key_kb")),
            Just(("/specifics", "callerIdleMs", "idle_ms")),
            Just(("/specifics", "callsOut", "calls_share")),
            Just(("/contract", "drainGraceMs", "drain_grace_ms")),
            Just(("/contract", "answerSlackMs", "answer_slack_ms")),
            Just(("/services/0", "deadlineMs", "deadline_ms")),
            Just(("/services/0", "keyTtlMs", "key_window_ms")),
            Just(("", "tickMs", "tick_ms")),
        ],
    ) {
        let mut settings = settings;
        settings.pointer_mut(section).and_then(Value::as_object_mut).expect("there").insert(field.into(), wrong);
        let told = match Site::from_json(&settings) {
            Err(error) => error.to_string(),
            Ok(site) => site.settings.check().expect_err("refused").to_string(),
        };
        prop_assert!(told.contains(field) || told.contains(named), "{told}: {field}");
    }
}

#[test]
fn names_that_no_line_and_no_caller_can_tell_apart_are_refused() {
    let named = |names: &[&str]| {
        let classes: Vec<Value> = names.iter().map(|name| json!({"name": name})).collect();
        Site::from_json(&json!({"services": classes, "specifics": {"cores": 2}}))
            .map(|_| ())
            .map_err(|e| e.to_string())
    };
    assert_eq!(named(&["look", "write", "kn\u{ed}ha"]), Ok(()));
    for wrong in [&["look", ""][..], &["look", "two words"], &["look", "a\r\nb"], &["look"; 2]] {
        let told = named(wrong).expect_err("refused");
        assert!(told.contains("name"), "{wrong:?}: {told}");
    }
}

#[test]
fn a_deadline_that_is_given_is_a_number_above_0() {
    let with = |class: Value| {
        let settings = json!({"services": [{"name": "look"}, class], "specifics": {"cores": 2}});
        Site::from_json(&settings).map(|site| site.settings.classes[1].timeout_ms).map_err(|e| e.to_string())
    };
    assert_eq!(with(json!({"name": "write"})), Ok(pinepoint::admission::Class::default().timeout_ms));
    assert_eq!(with(json!({"name": "write", "deadlineMs": 0.5})), Ok(0.5));
    for wrong in [json!(null), json!("900"), json!(0), json!(-5), json!(-0.0), json!([900]), json!(true)] {
        let told = with(json!({"name": "write", "deadlineMs": wrong.clone()})).expect_err("refused");
        let wanted = "field services[1].deadlineMs is missing or not a number above 0";
        assert_eq!(told, wanted, "for {wrong}");
    }
}
