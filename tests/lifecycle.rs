//! The life of the process by itself: which phase may follow on which, whatever comes in whatever order.

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
const NOTHING_OUTSTANDING: Outstanding = Outstanding { listeners: 0, connections: 0, answers_pending: false };
const OPEN_LISTENER: Outstanding = Outstanding { listeners: 1, ..NOTHING_OUTSTANDING };

fn serving() -> Lifecycle {
    let mut life = Lifecycle::new(TIMES, true);
    assert!(life.engine_up());
    life.set_healthy(true);
    life
}

/// Advances as far as it goes at this time.
fn advance(life: &mut Lifecycle, now: f64, outstanding: Outstanding) -> Phase {
    while life.advance(now, outstanding).is_some() {}
    life.phase()
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
    // Only the end of a drain leads back.
    let back: Vec<_> = legal.into_iter().filter(|(from, to)| from >= to).collect();
    assert_eq!(back, [(StartingLameDuck, Starting), (LameDuck, Serving)]);
}

#[test]
fn a_drain_goes_through_its_phases_by_the_time_of_the_notice() {
    let mut life = serving();
    assert!(life.begin_drain(5000.0), "taken late, it counts from when it came");
    assert_eq!(advance(&mut life, 5799.0, OPEN_LISTENER), Draining);
    assert_eq!(advance(&mut life, 5800.0, OPEN_LISTENER), GoAwaySent);
    assert_eq!(advance(&mut life, 5999.0, NOTHING_OUTSTANDING), GoAwaySent, "others still hear of it late");
    assert_eq!(advance(&mut life, 6000.0, OPEN_LISTENER), Closing);
    assert_eq!(advance(&mut life, 6799.0, OPEN_LISTENER), Closing);
    assert_eq!(advance(&mut life, 6800.0, OPEN_LISTENER), Finishing);
    assert_eq!(advance(&mut life, 6939.0, OPEN_LISTENER), Finishing);
    assert_eq!(advance(&mut life, 6940.0, OPEN_LISTENER), Terminated, "the kill is near");
    assert_eq!(life.kill_ms(), Some(7000.0));
    assert!(!life.begin_drain(6950.0), "a second notice moves nothing");
    assert_eq!(life.kill_ms(), Some(7000.0));
}

#[test]
fn it_ends_when_nothing_is_left_and_not_before() {
    let cases = [
        OPEN_LISTENER,
        Outstanding { connections: 1, ..NOTHING_OUTSTANDING },
        Outstanding { answers_pending: true, ..NOTHING_OUTSTANDING },
    ];
    for outstanding in cases {
        let mut life = serving();
        life.begin_drain(0.0);
        assert_eq!(advance(&mut life, 1000.0, outstanding), Closing, "{outstanding:?}");
        assert_eq!(advance(&mut life, 1001.0, NOTHING_OUTSTANDING), Terminated);
    }
}

#[test]
fn the_notice_before_the_engine_is_up_is_not_undone_by_the_engine() {
    let mut life = Lifecycle::new(TIMES, true);
    assert_eq!(life.published(), Published { healthy: false, registered: None });
    assert!(life.begin_drain(0.0));
    assert_eq!(life.phase(), Closing);
    assert!(!life.engine_up(), "nothing may begin to serve");
    life.set_healthy(true);
    assert_eq!(life.published(), Published { healthy: false, registered: Some(false) });
    assert_eq!(advance(&mut life, 1.0, NOTHING_OUTSTANDING), Terminated, "nobody was ever told of it");
}

#[test]
fn the_list_follows_health_only_where_the_site_says_so() {
    for (by_health, registered) in [(true, false), (false, true)] {
        let mut life = Lifecycle::new(TIMES, by_health);
        life.engine_up();
        life.set_healthy(false);
        assert_eq!(life.published(), Published { healthy: false, registered: Some(registered) });
    }
}

#[test]
fn a_drain_by_operators_ends_and_begins_in_any_phase_that_serves() {
    let mut life = Lifecycle::new(TIMES, true);
    assert!(life.set_lame_duck(true));
    assert_eq!(life.published(), Published { healthy: false, registered: None }, "the engine is not up");
    assert!(life.engine_up());
    life.set_healthy(true);
    assert_eq!(life.phase(), LameDuck);
    assert_eq!(life.published(), Published { healthy: false, registered: Some(false) });
    assert!(life.set_lame_duck(true), "asked twice, it stays");
    assert!(!life.engine_up(), "an engine that comes back ends no drain");
    assert_eq!(life.phase(), LameDuck);
    assert!(life.set_lame_duck(false));
    assert!(life.set_lame_duck(false), "nothing to end");
    assert_eq!(life.published(), Published { healthy: true, registered: Some(true) });
}

#[test]
fn the_notice_ends_a_drain_by_operators_in_either_order() {
    for drained_first in [true, false] {
        let mut life = serving();
        if drained_first {
            assert!(life.set_lame_duck(true));
        }
        assert!(life.begin_drain(0.0));
        assert!(life.set_lame_duck(true), "it takes no new work anyhow");
        assert!(!life.set_lame_duck(false), "there is no way back");
        assert_eq!(life.phase(), Draining);
        assert_eq!(life.published(), Published { healthy: false, registered: Some(false) });
    }
    let mut life = Lifecycle::new(TIMES, true);
    assert!(life.set_lame_duck(true));
    assert!(life.begin_drain(0.0));
    assert_eq!(life.phase(), Closing, "one that never served has nobody to wait for");
}

#[test]
fn one_that_is_handed_over_stays_healthy_and_is_no_business_of_the_list() {
    let mut life = serving();
    assert!(life.mark_handed_over(5000.0));
    assert_eq!(life.published(), Published { healthy: true, registered: None });
    assert_eq!(advance(&mut life, 5001.0, OPEN_LISTENER), HandedOver);
    assert_eq!(life.kill_ms(), Some(6500.0));
    assert_eq!(advance(&mut life, 6300.0, OPEN_LISTENER), Finishing);
    assert_eq!(life.published(), Published { healthy: false, registered: None });
    assert_eq!(advance(&mut life, 6440.0, OPEN_LISTENER), Terminated);

    let mut life = serving();
    life.set_lame_duck(true);
    assert!(life.mark_handed_over(5000.0));
    assert_eq!(life.published(), Published { healthy: false, registered: None }, "drained, it stays so");
    assert_eq!(advance(&mut life, 5001.0, NOTHING_OUTSTANDING), Terminated, "nothing keeps it");
}

#[test]
fn a_take_over_that_comes_behind_the_notice_ends_the_reports() {
    let mut life = serving();
    assert!(life.begin_drain(5000.0));
    assert_eq!(life.published(), Published { healthy: false, registered: Some(false) });
    assert!(life.mark_handed_over(5400.0));
    assert_eq!(life.published().registered, None);
    assert_eq!(life.kill_ms(), Some(6500.0), "the kill counts from the notice");
    assert!(!life.mark_handed_over(5500.0));
    let mut late = serving();
    late.begin_drain(0.0);
    advance(&mut late, 1000.0, OPEN_LISTENER);
    assert!(!late.mark_handed_over(1001.0), "its doors are shut");
}

#[derive(Clone, Debug)]
enum Step {
    Drain(bool),
    HandOver,
    Up,
    Notice,
    Health(bool),
    Pass(f64, bool),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Whatever the times of a site and the order of events: phases only go on, nothing is published as taking work
    /// past the notice, what is answered last is written for a moment, and each wait has an end.
    #[test]
    fn whatever_comes_in_whatever_order(
        grace_ms in prop_oneof![Just(0.0), 1.0..5000.0f64],
        stop_ms in prop_oneof![0.001..10.0f64, 10.0..6000.0f64],
        steps in proptest::collection::vec(prop_oneof![
            1 => Just(Step::Up),
            1 => Just(Step::Notice),
            1 => any::<bool>().prop_map(Step::Health),
            1 => any::<bool>().prop_map(Step::Drain),
            1 => Just(Step::HandOver),
            4 => (0.0..1500.0f64, any::<bool>()).prop_map(|(ms, left)| Step::Pass(ms, left)),
        ], 1..20),
    ) {
        let handover_stop_ms = stop_ms * 0.9;
        let mut life = Lifecycle::new(DrainTimes { grace_ms, stop_ms, handover_stop_ms }, true);
        let (mut now, mut told, mut handed_over) = (1e12, None, false);
        for step in &steps {
            let before = life.phase();
            match step {
                Step::Up => {
                    prop_assert_eq!(life.engine_up(), matches!(before, Starting | StartingLameDuck));
                }
                Step::Notice => {
                    prop_assert_eq!(life.begin_drain(now), told.is_none());
                    told = told.or(Some(now));
                }
                Step::Health(good) => life.set_healthy(*good),
                Step::Drain(drained) => {
                    prop_assert_eq!(life.set_lame_duck(*drained), before < Draining || *drained && before != Terminated);
                }
                Step::HandOver => {
                    let may = matches!(before, Serving | LameDuck | Draining | GoAwaySent);
                    prop_assert_eq!(life.mark_handed_over(now), may);
                    handed_over |= may;
                    told = told.or(may.then_some(now));
                }
                Step::Pass(ms, left) => {
                    now += ms;
                    advance(&mut life, now, if *left { OPEN_LISTENER } else { NOTHING_OUTSTANDING });
                }
            }
            let back = matches!((before, life.phase()), (StartingLameDuck, Starting) | (LameDuck, Serving));
            prop_assert!(life.phase() >= before || back && matches!(step, Step::Drain(false)));
            let published = life.published();
            if handed_over {
                prop_assert_eq!(published.registered, None);
            } else if told.is_some() {
                prop_assert_eq!(published, Published { healthy: false, registered: Some(false) });
            }
            if matches!(life.phase(), StartingLameDuck | LameDuck) {
                prop_assert!(!published.healthy && published.registered != Some(true));
            }
            if let Some(since) = told {
                let kill = (since + stop_ms).max(now + 100.0);
                prop_assert!(life.phase() == Terminated || life.next_deadline_ms().is_some_and(|due| due <= kill));
            }
        }
        if let Some(since) = told {
            let late = advance(&mut life, now.max(since + stop_ms), OPEN_LISTENER);
            prop_assert!(late >= Finishing);
            prop_assert_eq!(advance(&mut life, now.max(since + stop_ms) + 100.0, OPEN_LISTENER), Terminated);
        }
    }
}

/// One that stood still until the kill was near: what it answers then it still writes.
#[test]
fn the_last_answers_are_written_however_late_they_are_given() {
    let mut life = serving();
    life.begin_drain(5000.0);
    assert_eq!(advance(&mut life, 7100.0, OPEN_LISTENER), Finishing);
    assert_eq!(advance(&mut life, 7199.0, OPEN_LISTENER), Finishing);
    assert_eq!(advance(&mut life, 7200.0, OPEN_LISTENER), Terminated);
}
