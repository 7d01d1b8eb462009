//! The events that the core reports: for any sequence of inputs the events add up, and each received request
//! ends exactly once.

mod core_harness;

use core_harness::{CoreHarness, Step};
use pinepoint::admission::Outcome;
use pinepoint::server::core::api::{CoreInput, Reply};
use pinepoint_events::{Answer, CallOutcome, ProcessEvent, RequestEventKind};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::AttachEngine),
        1 => Just(Step::DetachEngine),
        12 => (0..2usize, 0..6u8, 0..2u8, prop_oneof![6 => 0..50u16, 1 => Just(9000u16)])
            .prop_map(|(class, key, body, age)| Step::Arrive { class, key, body, age }),
        6 => (1..900u16, 0..=100u8).prop_map(|(ms, busy)| Step::Advance { ms, busy }),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(run, how)| Step::EndRun { run, how }),
        4 => any::<u8>().prop_map(|run| Step::NeedCall { run }),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::EndCall { call, how }),
        3 => any::<u8>().prop_map(|correlation_id| Step::CallerGone { correlation_id }),
        1 => any::<u8>().prop_map(|caller| Step::CloseConnection { caller }),
        1 => Just(Step::StartDrain),
    ]
}

/// Steps of runs with many calls on an engine whose connection often breaks.
fn link_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => Just(Step::AttachEngine),
        2 => Just(Step::DetachEngine),
        2 => (0..2usize, 0..6u8).prop_map(|(class, key)| Step::Arrive { class, key, body: 1, age: 0 }),
        4 => (1..60u16, 0..=100u8).prop_map(|(ms, busy)| Step::Advance { ms, busy }),
        4 => any::<u8>().prop_map(|run| Step::NeedCall { run }),
        6 => any::<u8>().prop_map(|call| Step::EndCall { call, how: 0 }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn events_add_up_under_random_inputs(mut steps in proptest::collection::vec(step(), 1..150)) {
        let mut harness = CoreHarness::new();
        steps.insert(0, Step::AttachEngine);
        for step in &steps {
            harness.apply(step);
            harness.handle(CoreInput::ReportState);
            let open = harness.recorded.state.borrow().open.clone();
            for (class, [read, answered, gone]) in harness.totals_by_class().into_iter().enumerate() {
                prop_assert_eq!(read, answered + gone + open[class], "class {} after {:?}", class, step);
            }
        }
        // The events report each answer exactly once.
        let answers = harness.recorded.answers.borrow();
        prop_assert!(answers.values().all(|replies| replies.len() == 1));
        let answered: u64 = harness.totals_by_class().iter().map(|totals_by_class| totals_by_class[1]).sum();
        prop_assert_eq!(answers.len() as u64, answered);
        let events = harness.recorded.request_events.borrow();
        let served = |reply: &&Vec<Reply>| matches!(reply[0], Reply::Served(_));
        let reported = events.iter().filter(|event| {
            matches!(event.kind, RequestEventKind::Answered { answer: Answer::Served { .. }, .. })
        });
        prop_assert_eq!(answers.values().filter(served).count(), reported.count());
        // Each started call has ended or is in flight.
        let started =
            events.iter().filter(|event| matches!(event.kind, RequestEventKind::CallStarted)).count();
        let ended =
            events.iter().filter(|event| matches!(event.kind, RequestEventKind::CallEnded { .. })).count();
        prop_assert_eq!(started, ended + harness.recorded.calls.borrow().len());
    }

    /// Guards against a reply that is delivered again after a reconnect of the engine: the command names no
    /// call, so the run might take it for the reply to its next call.
    #[test]
    fn each_reply_is_delivered_at_most_once(steps in proptest::collection::vec(link_step(), 1..150)) {
        let mut harness = CoreHarness::with_memory(0.001, 20_000.0);
        harness.apply(&Step::AttachEngine);
        for step in &steps {
            harness.apply(step);
            if matches!(step, Step::AttachEngine) {
                let tag = harness.recorded.last_gauge_tag.get();
                harness.handle(CoreInput::Gauges { tag, values: vec![0.5, 1.0] });
            }
        }
        let events = harness.recorded.request_events.borrow();
        let replies = events.iter().filter(|event| {
            matches!(event.kind, RequestEventKind::CallEnded { outcome: CallOutcome::Done, .. })
        });
        prop_assert!(harness.recorded.delivered_replies.borrow().len() <= replies.count());
    }
}

#[test]
fn reports_request_events_in_order() {
    let mut harness = CoreHarness::new();
    harness.apply(&Step::AttachEngine);
    harness.arrive(0, 1, 1, 5.0);
    harness.apply(&Step::NeedCall { run: 0 });
    harness.apply(&Step::EndCall { call: 0, how: 0 });
    harness.apply(&Step::EndRun { run: 0, how: 0 });
    let events = harness.recorded.request_events.borrow();
    let kinds: Vec<String> = events
        .iter()
        .map(|event| format!("{:?}", event.kind).split([' ', '(']).next().unwrap().to_owned())
        .collect();
    let expected = ["Received", "Decided", "RunStarted", "CallStarted", "CallEnded", "RunEnded", "Answered"];
    assert_eq!(kinds, expected);
    assert!(events.iter().all(|event| event.id == 1));
    assert_eq!(*harness.recorded.process_events.borrow(), [ProcessEvent::Started { cold: false }]);
}

/// Guards against taking the end of a cancelled call for the end of the next call. The engine asks for a
/// second call while the end of the first is queued behind that request. Two attempts of one key, which are
/// processed in two batches, are queued between them, so the second call is started before the end of the
/// first is handled.
#[test]
fn ignores_end_of_cancelled_call() {
    let mut harness = CoreHarness::new();
    harness.apply(&Step::AttachEngine);
    harness.arrive(0, 1, 1, 0.0);
    let attempt_id = harness.recorded.runs.borrow()[0].clone();
    harness.handle(CoreInput::CallNeeded { attempt_id: attempt_id.clone(), notice: 1, body: vec![1] });
    let first = harness.recorded.calls.borrow()[0];
    let now = harness.now;
    harness.core.handle(now, CoreInput::CallNeeded { attempt_id, notice: 2, body: vec![2] });
    // The core processes the batch here, as it does between two attempts of one key.
    harness.core.process_batch(now);
    let second = harness.recorded.calls.borrow()[0];
    assert_ne!(first, second);
    harness
        .core
        .handle(now, CoreInput::CallEnded { call: first, outcome: Outcome::Done, reply: Some(vec![9]) });
    harness.core.process_batch(now);
    assert_eq!(
        *harness.recorded.delivered_replies.borrow(),
        Vec::<Vec<u8>>::new(),
        "the reply to the first call must not be delivered for the second"
    );
    harness.handle(CoreInput::CallEnded { call: second, outcome: Outcome::Done, reply: Some(vec![7]) });
    assert_eq!(*harness.recorded.delivered_replies.borrow(), [vec![7]]);
}
