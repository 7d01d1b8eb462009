//! The core without a socket: whatever reaches it and in which order, the facts that it tells add up, and each
//! request read has exactly one end.

mod bench;

use bench::{Bench, Step};
use pinepoint::admission::Outcome;
use pinepoint::server::core::api::{CoreInput, Reply};
use pinepoint_events::{Answer, ProcessEvent, RequestEventKind};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => Just(Step::Up),
        1 => Just(Step::Down),
        12 => (0..2usize, 0..6u8, 0..2u8, prop_oneof![6 => 0..50u16, 1 => Just(9000u16)])
            .prop_map(|(class, key, body, age)| Step::Arrive { class, key, body, age }),
        6 => (1..900u16, 0..=100u8).prop_map(|(ms, busy)| Step::Pass { ms, busy }),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(run, how)| Step::End { run, how }),
        4 => any::<u8>().prop_map(|run| Step::Need { run }),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(call, how)| Step::CallOver { call, how }),
        3 => any::<u8>().prop_map(|correlation_id| Step::Gone { correlation_id }),
        1 => any::<u8>().prop_map(|caller| Step::Closed { caller }),
        1 => Just(Step::Leave),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn facts_add_up_whatever_happens(mut steps in proptest::collection::vec(step(), 1..150)) {
        let mut bench = Bench::new();
        steps.insert(0, Step::Up);
        for step in &steps {
            bench.run(step);
            bench.tell(CoreInput::ReportState);
            let open = bench.seen.state.borrow().open.clone();
            for (class, [read, answered, gone]) in bench.sums().into_iter().enumerate() {
                prop_assert_eq!(read, answered + gone + open[class], "class {} after {:?}", class, step);
            }
        }
        // What was answered is what the facts say, once each.
        let answers = bench.seen.answers.borrow();
        prop_assert!(answers.values().all(|replies| replies.len() == 1));
        let answered: u64 = bench.sums().iter().map(|sums| sums[1]).sum();
        prop_assert_eq!(answers.len() as u64, answered);
        let facts = bench.seen.facts.borrow();
        let served = |reply: &&Vec<Reply>| matches!(reply[0], Reply::Served(_));
        let told = facts.iter().filter(|f| {
            matches!(f.kind, RequestEventKind::Answered { answer: Answer::Served { .. }, .. })
        });
        prop_assert_eq!(answers.values().filter(served).count(), told.count());
        // Calls made are over or in hand.
        let made = facts.iter().filter(|f| matches!(f.kind, RequestEventKind::CallStarted)).count();
        let over = facts.iter().filter(|f| matches!(f.kind, RequestEventKind::CallEnded { .. })).count();
        prop_assert_eq!(made, over + bench.seen.calls.borrow().len());
    }
}

#[test]
fn a_request_tells_its_life_in_order() {
    let mut bench = Bench::new();
    bench.run(&Step::Up);
    bench.arrive(0, 1, 1, 5.0);
    bench.run(&Step::Need { run: 0 });
    bench.run(&Step::CallOver { call: 0, how: 0 });
    bench.run(&Step::End { run: 0, how: 0 });
    let facts = bench.seen.facts.borrow();
    let words: Vec<String> =
        facts.iter().map(|f| format!("{:?}", f.kind).split([' ', '(']).next().unwrap().to_owned()).collect();
    let expected = ["Received", "Decided", "RunStarted", "CallStarted", "CallEnded", "RunEnded", "Answered"];
    assert_eq!(words, expected);
    assert!(facts.iter().all(|fact| fact.id == 1));
    assert_eq!(*bench.seen.turns.borrow(), [ProcessEvent::Started { cold: false }]);
}

/// The engine tells of a further call while the end of the one before stands in line behind it, and a pair of tries that
/// must be settled one after the other stands between: the second call is made before the end of the first is heard.
#[test]
fn the_end_of_a_call_is_not_taken_for_that_of_its_successor() {
    let mut bench = Bench::new();
    bench.run(&Step::Up);
    bench.arrive(0, 1, 1, 0.0);
    let attempt_id = bench.seen.runs.borrow()[0].clone();
    bench.tell(CoreInput::CallNeeded { attempt_id: attempt_id.clone(), notice: 1, body: vec![1] });
    let first = bench.seen.calls.borrow()[0];
    let now = bench.now;
    bench.core.handle(now, CoreInput::CallNeeded { attempt_id, notice: 2, body: vec![2] });
    // What `Core::run` does between two tries of one key in one instant.
    bench.core.process_batch(now);
    let second = bench.seen.calls.borrow()[0];
    assert_ne!(first, second);
    bench
        .core
        .handle(now, CoreInput::CallEnded { call: first, outcome: Outcome::Done, reply: Some(vec![9]) });
    bench.core.process_batch(now);
    assert_eq!(
        *bench.seen.feeds.borrow(),
        Vec::<Vec<u8>>::new(),
        "the reply to the first is no reply to the second"
    );
    bench.tell(CoreInput::CallEnded { call: second, outcome: Outcome::Done, reply: Some(vec![7]) });
    assert_eq!(*bench.seen.feeds.borrow(), [vec![7]]);
}
