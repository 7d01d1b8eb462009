//! The lifecycle of the process: which phase may follow which, in whatever order the events come.

use pinepoint::server::control::lifecycle::{DrainTimes, Lifecycle, Outstanding, Phase, Published};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use Phase::{
    Closing, Draining, Finishing, GoAwaySent, HandedOver, LameDuck, Serving, Starting, StartingLameDuck,
    Terminated,
};

const ALL: [Phase; 10] = [
    Starting,
    StartingLameDuck,
    Serving,
    LameDuck,
    Draining,
    GoAwaySent,
    HandedOver,
    Closing,
    Finishing,
    Terminated,
];
const TIMES: DrainTimes = DrainTimes { grace_ms: 1000.0, stop_ms: 2000.0, handover_stop_ms: 1500.0 };
const NOTHING_LEFT: Outstanding = Outstanding { listeners: 0, connections: 0, answers_pending: false };
const LISTENER_OPEN: Outstanding = Outstanding { listeners: 1, ..NOTHING_LEFT };

fn serving() -> Lifecycle {
    let mut lifecycle = Lifecycle::new(TIMES, true);
    assert!(lifecycle.engine_up());
    lifecycle.set_healthy(true);
    lifecycle
}

/// Advances as far as possible at this time.
fn advance(lifecycle: &mut Lifecycle, now: f64, left: Outstanding) -> Phase {
    while lifecycle.advance(now, left).is_some() {}
    lifecycle.phase()
}

#[test]
fn no_phase_comes_back_and_only_known_ones_follow() {
    let legal: Vec<(Phase, Phase)> = ALL
        .into_iter()
        .flat_map(|from| ALL.into_iter().map(move |to| (from, to)))
        .filter(|(from, to)| from.may_become(*to))
        .collect();
    let wanted = [
        (Starting, StartingLameDuck),
        (Starting, Serving),
        (Starting, Closing),
        (StartingLameDuck, Starting),
        (StartingLameDuck, LameDuck),
        (StartingLameDuck, Closing),
        (Serving, LameDuck),
        (Serving, Draining),
        (Serving, HandedOver),
        (LameDuck, Serving),
        (LameDuck, Draining),
        (LameDuck, HandedOver),
        (Draining, GoAwaySent),
        (Draining, HandedOver),
        (GoAwaySent, HandedOver),
        (GoAwaySent, Closing),
        (HandedOver, Finishing),
        (HandedOver, Terminated),
        (Closing, Finishing),
        (Closing, Terminated),
        (Finishing, Terminated),
    ];
    assert_eq!(legal, wanted);
    // Only an operator who ends a drain leads back.
    let back: Vec<_> = legal.into_iter().filter(|(from, to)| from >= to).collect();
    assert_eq!(back, [(StartingLameDuck, Starting), (LameDuck, Serving)]);
}

#[test]
fn a_drain_goes_through_its_phases_by_the_time_of_the_notice() {
    let mut lifecycle = serving();
    assert!(lifecycle.begin_drain(5000.0), "taken late, it counts from when it came");
    assert_eq!(advance(&mut lifecycle, 5799.0, LISTENER_OPEN), Draining);
    assert_eq!(advance(&mut lifecycle, 5800.0, LISTENER_OPEN), GoAwaySent);
    assert_eq!(
        advance(&mut lifecycle, 5999.0, NOTHING_LEFT),
        GoAwaySent,
        "callers may still hear of it late"
    );
    assert_eq!(advance(&mut lifecycle, 6000.0, LISTENER_OPEN), Closing);
    assert_eq!(advance(&mut lifecycle, 6799.0, LISTENER_OPEN), Closing);
    assert_eq!(advance(&mut lifecycle, 6800.0, LISTENER_OPEN), Finishing);
    assert_eq!(advance(&mut lifecycle, 6939.0, LISTENER_OPEN), Finishing);
    assert_eq!(advance(&mut lifecycle, 6940.0, LISTENER_OPEN), Terminated, "the kill is near");
    assert_eq!(lifecycle.kill_ms(), Some(7000.0));
    assert!(!lifecycle.begin_drain(6950.0), "a second notice moves nothing");
    assert_eq!(lifecycle.kill_ms(), Some(7000.0));
}

#[test]
fn it_ends_when_nothing_is_left_and_not_before() {
    let somebody = [
        LISTENER_OPEN,
        Outstanding { connections: 1, ..NOTHING_LEFT },
        Outstanding { answers_pending: true, ..NOTHING_LEFT },
    ];
    for left in somebody {
        let mut lifecycle = serving();
        lifecycle.begin_drain(0.0);
        assert_eq!(advance(&mut lifecycle, 1000.0, left), Closing, "{left:?}");
        assert_eq!(advance(&mut lifecycle, 1001.0, NOTHING_LEFT), Terminated);
    }
}

#[test]
fn the_notice_before_the_engine_is_up_is_not_undone_by_the_engine() {
    let mut lifecycle = Lifecycle::new(TIMES, true);
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: None });
    assert!(lifecycle.begin_drain(0.0));
    assert_eq!(lifecycle.phase(), Closing);
    assert!(!lifecycle.engine_up(), "nothing may begin to serve");
    lifecycle.set_healthy(true);
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: Some(false) });
    assert_eq!(advance(&mut lifecycle, 1.0, NOTHING_LEFT), Terminated, "nobody was ever told of it");
}

#[test]
fn the_list_follows_health_only_where_the_site_says_so() {
    for (by_health, registered) in [(true, false), (false, true)] {
        let mut lifecycle = Lifecycle::new(TIMES, by_health);
        lifecycle.engine_up();
        lifecycle.set_healthy(false);
        assert_eq!(lifecycle.published(), Published { healthy: false, registered: Some(registered) });
    }
}

#[test]
fn a_drain_by_operators_ends_and_begins_in_any_phase_that_serves() {
    let mut lifecycle = Lifecycle::new(TIMES, true);
    assert!(lifecycle.set_lame_duck(true));
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: None }, "the engine is not up");
    assert!(lifecycle.engine_up());
    lifecycle.set_healthy(true);
    assert_eq!(lifecycle.phase(), LameDuck);
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: Some(false) });
    assert!(lifecycle.set_lame_duck(true), "asked twice, it stays");
    assert!(!lifecycle.engine_up(), "an engine that comes back ends no drain");
    assert_eq!(lifecycle.phase(), LameDuck);
    assert!(lifecycle.set_lame_duck(false));
    assert!(lifecycle.set_lame_duck(false), "nothing to end");
    assert_eq!(lifecycle.published(), Published { healthy: true, registered: Some(true) });
}

#[test]
fn the_notice_ends_a_drain_by_operators_in_either_order() {
    for drained_first in [true, false] {
        let mut lifecycle = serving();
        if drained_first {
            assert!(lifecycle.set_lame_duck(true));
        }
        assert!(lifecycle.begin_drain(0.0));
        assert!(lifecycle.set_lame_duck(true), "it takes no new work anyhow");
        assert!(!lifecycle.set_lame_duck(false), "there is no way back");
        assert_eq!(lifecycle.phase(), Draining);
        assert_eq!(lifecycle.published(), Published { healthy: false, registered: Some(false) });
    }
    let mut lifecycle = Lifecycle::new(TIMES, true);
    assert!(lifecycle.set_lame_duck(true));
    assert!(lifecycle.begin_drain(0.0));
    assert_eq!(lifecycle.phase(), Closing, "one that never served has nobody to wait for");
}

#[test]
fn one_that_is_handed_over_stays_healthy_and_is_no_business_of_the_list() {
    let mut lifecycle = serving();
    assert!(lifecycle.mark_handed_over(5000.0));
    assert_eq!(lifecycle.published(), Published { healthy: true, registered: None });
    assert_eq!(advance(&mut lifecycle, 5001.0, LISTENER_OPEN), HandedOver);
    assert_eq!(lifecycle.kill_ms(), Some(6500.0));
    assert_eq!(advance(&mut lifecycle, 6300.0, LISTENER_OPEN), Finishing);
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: None });
    assert_eq!(advance(&mut lifecycle, 6440.0, LISTENER_OPEN), Terminated);

    let mut lifecycle = serving();
    lifecycle.set_lame_duck(true);
    assert!(lifecycle.mark_handed_over(5000.0));
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: None }, "drained, it stays so");
    assert_eq!(advance(&mut lifecycle, 5001.0, NOTHING_LEFT), Terminated, "nothing keeps it");
}

#[test]
fn a_take_over_that_comes_behind_the_notice_ends_the_reports() {
    let mut lifecycle = serving();
    assert!(lifecycle.begin_drain(5000.0));
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: Some(false) });
    assert!(lifecycle.mark_handed_over(5400.0));
    assert_eq!(lifecycle.published().registered, None);
    assert_eq!(lifecycle.kill_ms(), Some(6500.0), "the kill counts from the notice");
    assert!(!lifecycle.mark_handed_over(5500.0));
    let mut late = serving();
    late.begin_drain(0.0);
    advance(&mut late, 1000.0, LISTENER_OPEN);
    assert!(!late.mark_handed_over(1001.0), "its listeners are closed");
}

#[derive(Clone, Debug)]
enum Step {
    SetLameDuck(bool),
    HandOver,
    EngineUp,
    Notice,
    Health(bool),
    /// Time passes, ms, and a listener is open or nothing is left.
    Advance(f64, bool),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Whatever the times and the order of events: no phase comes back, nothing is published as serving after the notice, the
    /// last answers have time to be written, and each wait ends.
    #[test]
    fn whatever_comes_in_whatever_order(
        grace_ms in prop_oneof![Just(0.0), 1.0..5000.0f64],
        stop_ms in prop_oneof![0.001..10.0f64, 10.0..6000.0f64],
        steps in proptest::collection::vec(prop_oneof![
            1 => Just(Step::EngineUp),
            1 => Just(Step::Notice),
            1 => any::<bool>().prop_map(Step::Health),
            1 => any::<bool>().prop_map(Step::SetLameDuck),
            1 => Just(Step::HandOver),
            4 => (0.0..1500.0f64, any::<bool>()).prop_map(|(ms, left)| Step::Advance(ms, left)),
        ], 1..20),
    ) {
        let handover_stop_ms = stop_ms * 0.9;
        let mut lifecycle = Lifecycle::new(DrainTimes { grace_ms, stop_ms, handover_stop_ms }, true);
        let (mut now, mut notice_ms, mut handed_over) = (1e12, None, false);
        for step in &steps {
            let before = lifecycle.phase();
            match step {
                Step::EngineUp => {
                    prop_assert_eq!(lifecycle.engine_up(), matches!(before, Starting | StartingLameDuck));
                }
                Step::Notice => {
                    prop_assert_eq!(lifecycle.begin_drain(now), notice_ms.is_none());
                    notice_ms = notice_ms.or(Some(now));
                }
                Step::Health(good) => lifecycle.set_healthy(*good),
                Step::SetLameDuck(drained) => {
                    prop_assert_eq!(lifecycle.set_lame_duck(*drained), before < Draining || *drained && before != Terminated);
                }
                Step::HandOver => {
                    let may = matches!(before, Serving | LameDuck | Draining | GoAwaySent);
                    prop_assert_eq!(lifecycle.mark_handed_over(now), may);
                    handed_over |= may;
                    notice_ms = notice_ms.or(may.then_some(now));
                }
                Step::Advance(ms, left) => {
                    now += ms;
                    advance(&mut lifecycle, now, if *left { LISTENER_OPEN } else { NOTHING_LEFT });
                }
            }
            let back = matches!((before, lifecycle.phase()), (StartingLameDuck, Starting) | (LameDuck, Serving));
            prop_assert!(lifecycle.phase() >= before || back && matches!(step, Step::SetLameDuck(false)));
            let published = lifecycle.published();
            if handed_over {
                prop_assert_eq!(published.registered, None);
            } else if notice_ms.is_some() {
                prop_assert_eq!(published, Published { healthy: false, registered: Some(false) });
            }
            if matches!(lifecycle.phase(), StartingLameDuck | LameDuck) {
                prop_assert!(!published.healthy && published.registered != Some(true));
            }
            if let Some(since) = notice_ms {
                let kill = (since + stop_ms).max(now + 100.0);
                prop_assert!(lifecycle.phase() == Terminated || lifecycle.next_deadline_ms().is_some_and(|due| due <= kill));
            }
        }
        if let Some(since) = notice_ms {
            let late = advance(&mut lifecycle, now.max(since + stop_ms), LISTENER_OPEN);
            prop_assert!(late >= Finishing);
            prop_assert_eq!(advance(&mut lifecycle, now.max(since + stop_ms) + 100.0, LISTENER_OPEN), Terminated);
        }
    }
}

/// A process that was stopped until shortly before the kill still has time to write its last answers.
#[test]
fn the_last_answers_are_written_however_late_they_are_given() {
    let mut lifecycle = serving();
    lifecycle.begin_drain(5000.0);
    assert_eq!(advance(&mut lifecycle, 7100.0, LISTENER_OPEN), Finishing);
    assert_eq!(advance(&mut lifecycle, 7199.0, LISTENER_OPEN), Finishing);
    assert_eq!(advance(&mut lifecycle, 7200.0, LISTENER_OPEN), Terminated);
}
