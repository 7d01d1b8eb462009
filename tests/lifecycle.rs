//! The lifecycle of the process: the legal transitions between phases, for any order of events.

use pinepoint::server::control::lifecycle::{DrainTimes, Lifecycle, Outstanding, Phase, Published};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use Phase::{
    Closing, Draining, Finishing, GoAwaySent, HandedOver, LameDuck, Serving, Starting, StartingLameDuck,
    Terminated,
};

const ALL_PHASES: [Phase; 10] = [
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
const LISTENER_OPEN: Outstanding = Outstanding { listeners: 1, ..NOTHING_OUTSTANDING };

fn serving() -> Lifecycle {
    let mut lifecycle = Lifecycle::new(TIMES, true);
    assert!(lifecycle.engine_up());
    lifecycle.set_healthy(true);
    lifecycle
}

/// Advances as far as possible at `now`; returns the phase reached.
fn advance(lifecycle: &mut Lifecycle, now: f64, outstanding: Outstanding) -> Phase {
    while lifecycle.advance(now, outstanding).is_some() {}
    lifecycle.phase()
}

#[test]
fn allows_only_legal_transitions() {
    let legal: Vec<(Phase, Phase)> = ALL_PHASES
        .into_iter()
        .flat_map(|from| ALL_PHASES.into_iter().map(move |to| (from, to)))
        .filter(|(from, to)| from.may_become(*to))
        .collect();
    let expected = [
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
    assert_eq!(legal, expected);
    // Only an operator who ends lame duck mode moves a process backward.
    let backward: Vec<_> = legal.into_iter().filter(|(from, to)| from >= to).collect();
    assert_eq!(backward, [(StartingLameDuck, Starting), (LameDuck, Serving)]);
}

#[test]
fn drain_deadlines_count_from_notice() {
    let mut lifecycle = serving();
    assert!(lifecycle.begin_drain(5000.0), "the first notice begins the drain");
    assert_eq!(advance(&mut lifecycle, 5799.0, LISTENER_OPEN), Draining);
    assert_eq!(advance(&mut lifecycle, 5800.0, LISTENER_OPEN), GoAwaySent);
    assert_eq!(
        advance(&mut lifecycle, 5999.0, NOTHING_OUTSTANDING),
        GoAwaySent,
        "callers may still learn of the drain late"
    );
    assert_eq!(advance(&mut lifecycle, 6000.0, LISTENER_OPEN), Closing);
    assert_eq!(advance(&mut lifecycle, 6799.0, LISTENER_OPEN), Closing);
    assert_eq!(advance(&mut lifecycle, 6800.0, LISTENER_OPEN), Finishing);
    assert_eq!(advance(&mut lifecycle, 6939.0, LISTENER_OPEN), Finishing);
    assert_eq!(
        advance(&mut lifecycle, 6940.0, LISTENER_OPEN),
        Terminated,
        "the process ends before the kill"
    );
    assert_eq!(lifecycle.kill_ms(), Some(7000.0));
    assert!(!lifecycle.begin_drain(6950.0), "a second notice changes nothing");
    assert_eq!(lifecycle.kill_ms(), Some(7000.0));
}

#[test]
fn terminates_once_nothing_is_outstanding() {
    let unfinished = [
        LISTENER_OPEN,
        Outstanding { connections: 1, ..NOTHING_OUTSTANDING },
        Outstanding { answers_pending: true, ..NOTHING_OUTSTANDING },
    ];
    for outstanding in unfinished {
        let mut lifecycle = serving();
        lifecycle.begin_drain(0.0);
        assert_eq!(advance(&mut lifecycle, 1000.0, outstanding), Closing, "{outstanding:?}");
        assert_eq!(advance(&mut lifecycle, 1001.0, NOTHING_OUTSTANDING), Terminated);
    }
}

#[test]
fn engine_up_does_not_undo_earlier_notice() {
    let mut lifecycle = Lifecycle::new(TIMES, true);
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: None });
    assert!(lifecycle.begin_drain(0.0));
    assert_eq!(lifecycle.phase(), Closing);
    assert!(!lifecycle.engine_up(), "the process must not begin to serve after the notice");
    lifecycle.set_healthy(true);
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: Some(false) });
    assert_eq!(advance(&mut lifecycle, 1.0, NOTHING_OUTSTANDING), Terminated, "the process never served");
}

#[test]
fn registration_follows_health_only_if_configured() {
    for (follows_health, registered) in [(true, false), (false, true)] {
        let mut lifecycle = Lifecycle::new(TIMES, follows_health);
        lifecycle.engine_up();
        lifecycle.set_healthy(false);
        assert_eq!(lifecycle.published(), Published { healthy: false, registered: Some(registered) });
    }
}

#[test]
fn enters_and_leaves_lame_duck_in_any_phase_before_drain() {
    let mut lifecycle = Lifecycle::new(TIMES, true);
    assert!(lifecycle.set_lame_duck(true));
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: None }, "the engine is not up");
    assert!(lifecycle.engine_up());
    lifecycle.set_healthy(true);
    assert_eq!(lifecycle.phase(), LameDuck);
    assert_eq!(lifecycle.published(), Published { healthy: false, registered: Some(false) });
    assert!(lifecycle.set_lame_duck(true), "a repeated request succeeds");
    assert!(!lifecycle.engine_up(), "an engine that reconnects does not end lame duck mode");
    assert_eq!(lifecycle.phase(), LameDuck);
    assert!(lifecycle.set_lame_duck(false));
    assert!(lifecycle.set_lame_duck(false), "a repeated request succeeds");
    assert_eq!(lifecycle.published(), Published { healthy: true, registered: Some(true) });
}

#[test]
fn notice_overrides_lame_duck_in_either_order() {
    for lame_duck_first in [true, false] {
        let mut lifecycle = serving();
        if lame_duck_first {
            assert!(lifecycle.set_lame_duck(true));
        }
        assert!(lifecycle.begin_drain(0.0));
        assert!(lifecycle.set_lame_duck(true), "a draining process accepts the request");
        assert!(!lifecycle.set_lame_duck(false), "a draining process cannot return to service");
        assert_eq!(lifecycle.phase(), Draining);
        assert_eq!(lifecycle.published(), Published { healthy: false, registered: Some(false) });
    }
    let mut lifecycle = Lifecycle::new(TIMES, true);
    assert!(lifecycle.set_lame_duck(true));
    assert!(lifecycle.begin_drain(0.0));
    assert_eq!(lifecycle.phase(), Closing, "a process that never served has no clients");
}

#[test]
fn handed_over_process_keeps_health_and_stops_reporting() {
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
    assert_eq!(
        lifecycle.published(),
        Published { healthy: false, registered: None },
        "a lame duck stays unhealthy"
    );
    assert_eq!(advance(&mut lifecycle, 5001.0, NOTHING_OUTSTANDING), Terminated, "nothing is outstanding");
}

#[test]
fn handover_after_notice_stops_reporting() {
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
    assert!(!late.mark_handed_over(1001.0), "the listeners are closed already");
}

#[derive(Clone, Debug)]
enum Step {
    SetLameDuck(bool),
    MarkHandedOver,
    EngineUp,
    BeginDrain,
    SetHealthy(bool),
    /// The time that passes, ms, and whether a listener is open; if not, nothing is outstanding.
    Advance(f64, bool),
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// For any times and order of events: the process returns to no earlier phase except from lame duck mode,
    /// is never published as serving after the notice, has time to write its last answers, and ends every
    /// wait.
    #[test]
    fn keeps_invariants_for_any_event_order(
        grace_ms in prop_oneof![Just(0.0), 1.0..5000.0f64],
        stop_ms in prop_oneof![0.001..10.0f64, 10.0..6000.0f64],
        steps in proptest::collection::vec(prop_oneof![
            1 => Just(Step::EngineUp),
            1 => Just(Step::BeginDrain),
            1 => any::<bool>().prop_map(Step::SetHealthy),
            1 => any::<bool>().prop_map(Step::SetLameDuck),
            1 => Just(Step::MarkHandedOver),
            4 => (0.0..1500.0f64, any::<bool>())
                .prop_map(|(ms, listener_open)| Step::Advance(ms, listener_open)),
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
                Step::BeginDrain => {
                    prop_assert_eq!(lifecycle.begin_drain(now), notice_ms.is_none());
                    notice_ms = notice_ms.or(Some(now));
                }
                Step::SetHealthy(healthy) => lifecycle.set_healthy(*healthy),
                Step::SetLameDuck(lame_duck) => {
                    prop_assert_eq!(
                        lifecycle.set_lame_duck(*lame_duck),
                        before < Draining || *lame_duck && before != Terminated
                    );
                }
                Step::MarkHandedOver => {
                    let is_legal = matches!(before, Serving | LameDuck | Draining | GoAwaySent);
                    prop_assert_eq!(lifecycle.mark_handed_over(now), is_legal);
                    handed_over |= is_legal;
                    notice_ms = notice_ms.or(is_legal.then_some(now));
                }
                Step::Advance(ms, listener_open) => {
                    now += ms;
                    advance(
                        &mut lifecycle,
                        now,
                        if *listener_open { LISTENER_OPEN } else { NOTHING_OUTSTANDING },
                    );
                }
            }
            let backward =
                matches!((before, lifecycle.phase()), (StartingLameDuck, Starting) | (LameDuck, Serving));
            prop_assert!(lifecycle.phase() >= before || backward && matches!(step, Step::SetLameDuck(false)));
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
fn late_final_answers_have_time_to_be_written() {
    let mut lifecycle = serving();
    lifecycle.begin_drain(5000.0);
    assert_eq!(advance(&mut lifecycle, 7100.0, LISTENER_OPEN), Finishing);
    assert_eq!(advance(&mut lifecycle, 7199.0, LISTENER_OPEN), Finishing);
    assert_eq!(advance(&mut lifecycle, 7200.0, LISTENER_OPEN), Terminated);
}
