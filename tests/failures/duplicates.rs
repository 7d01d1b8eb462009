//! Duplicates of open and retained requests: no effect happens twice, and nobody is told otherwise.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn a_repeat_of_a_keyed_run_is_answered_from_it() {
    let mut server = TestServer::new(settings());
    assert!(started(&server.arrive(request(1, 1)), 1));
    assert!(server.log.iter().any(|a| matches!(a, Action::RetainKey { id: 1, ttl_ms } if *ttl_ms >= 8000.0)));
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Failed });
    let actions = server.arrive(Request { duplicate_of: Some(1), ..request(2, 1) });
    assert!(actions.contains(&Action::ReuseResult { id: 2 }));
    assert!(!started(&actions, 2));
}

#[test]
fn two_tries_of_one_keyed_request_in_a_batch_run_once() {
    let mut server = TestServer::new(settings());
    let one = Event::RequestArrived(Request { duplicate_of: Some(2), ..request(1, 1) });
    let two = Event::RequestArrived(Request { duplicate_of: Some(1), ..request(2, 1) });
    let actions = server.batch(vec![one, two]);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::StartRun { .. })).count(), 1);
    let answered =
        actions.iter().filter(|a| matches!(a, Action::Fail { .. } | Action::ReuseResult { .. })).count();
    assert_eq!(answered, 1);
}

#[test]
fn a_read_that_shares_a_held_read_outlives_its_refusal() {
    let mut server = TestServer::new(Settings { read_result_ttl_ms: 600.0, ..settings() });
    let read = |id, due, duplicate_of| Request {
        deadline_ms: Some(due),
        duplicate_of,
        has_subject: true,
        ..request(id, 0)
    };
    server.arrive(read(1, 9000.0, None));
    server.arrive(read(2, 9000.0, None));
    server.arrive(read(3, 300.0, None));
    assert!(!server.arrive(read(4, 9000.0, Some(3))).contains(&Action::ReuseResult { id: 4 }));
    assert!(rejected(&server.advance(300.0, 0.5, 2.0), 3), "no core came free in time for the first");
    assert!(started(&server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done }), 4));
}

#[test]
fn reads_of_one_subject_share_one_run() {
    let mut server = TestServer::new(Settings { read_result_ttl_ms: 600.0, ..settings() });
    let read = |id, duplicate_of| Request {
        duplicate_of,
        has_subject: true,
        deadline_ms: Some(9000.0),
        ..request(id, 0)
    };
    for id in 1..=3 {
        server.arrive(read(id, None));
    }
    server.arrive(read(4, Some(3)));
    server.arrive(read(5, Some(3)));
    let actions = server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done });
    assert!(
        started(&actions, 3)
            && actions.contains(&Action::ReuseResult { id: 4 })
            && actions.contains(&Action::ReuseResult { id: 5 })
    );
}

#[test]
fn an_effect_without_a_key_that_began_is_failed_never_refused_halted_or_run_again() {
    let mut config = Settings { preemption: Preemption::Drop, ..settings() };
    config.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut server = TestServer::new(config);
    server.arrive(Request { deadline_ms: Some(400.0), ..request(1, 0) });
    server.arrive(request(2, 0));
    assert!(started(&server.log, 1) && started(&server.log, 2));
    assert!(!started(&server.arrive(Request { duplicate_of: Some(1), ..request(3, 0) }), 1));
    server.handle(Event::CallerGone { id: 2 });
    server.advance(500.0, 1.0, 2.0);
    server.handle(Event::DrainStarted { kill_ms: server.now + 800.0 });
    server.advance(800.0, 1.0, 2.0);
    let touched = |id| {
        let of =
            |a: &&Action| matches!(a, Action::Reject { id: i, .. } | Action::CancelRun { id: i } if *i == id);
        let again = |a: &&Action| matches!(a, Action::StartRun { id: i } if *i == id);
        server.log.iter().any(|a| of(&a)) || server.log.iter().filter(again).count() != 1
    };
    assert!(failed(&server.log, 1) && !touched(1), "past its deadline while it runs");
    assert!(
        !failed(&server.log, 2) && !touched(2),
        "its caller is gone: nothing is owed, its effect goes on"
    );
    assert!(
        rejected(&server.log, 3),
        "it was queued and never ran: a rejection says so, and another server may run it"
    );
}

/// A server on which a keyed request ran to its end.
fn with_a_keyed_run() -> TestServer {
    let mut server = TestServer::new(settings());
    assert!(started(&server.arrive(request(1, 1)), 1));
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done });
    server
}

fn timer(gauges: [f64; 2]) -> Event {
    Event::TimerFired { token: 0, gauges: gauges.to_vec() }
}

/// The timer answers requests past their deadline. One that arrived in the same instant is not decided yet: if it
/// duplicates a run, its caller must not be told that it never ran.
#[test]
fn a_repeat_that_comes_too_late_in_the_instant_of_a_timer_is_not_turned_away() {
    let mut server = with_a_keyed_run();
    server.advance(3500.0, 0.1, 0.0);
    let late = Request { duplicate_of: Some(1), queued_ms: 3400.0, ..request(2, 1) };
    let actions = server.batch(vec![Event::RequestArrived(late), timer([0.1, 0.0])]);
    assert!(!rejected(&actions, 2), "{actions:?}");
    assert!(actions.contains(&Action::ReuseResult { id: 2 }), "{actions:?}");
}

#[test]
fn a_repeat_in_the_instant_in_which_a_hang_is_seen_is_not_turned_away() {
    let mut server = with_a_keyed_run();
    server.arrive(request(2, 0));
    let said = |server: &TestServer| {
        server.log.iter().any(|a| matches!(a, Action::SetHealth { healthy: false, .. }))
    };
    while !said(&server) {
        server.advance(20.0, 0.5, 1.0);
        assert!(server.now < 5000.0, "no run makes progress, and the stall is not detected");
    }
    let repeat = Request { duplicate_of: Some(1), ..request(3, 1) };
    let actions = server.batch(vec![Event::RequestArrived(repeat), timer([0.5, 1.0])]);
    assert!(!rejected(&actions, 3), "{actions:?}");
    assert!(actions.contains(&Action::ReuseResult { id: 3 }), "{actions:?}");
}

/// An arrival that would be shed may displace a queued request of lower score, but not one of its own instant.
#[test]
fn a_repeat_is_not_displaced_by_one_that_came_in_the_same_instant() {
    let mut server = with_a_keyed_run();
    for id in 10..80 {
        server.arrive(Request { deadline_ms: Some(server.now + 60_000.0), ..request(id, 0) });
        server.advance(20.0, 1.0, 8.0);
    }
    let mut seen = false;
    for id in (100..200).step_by(2) {
        // The duplicate earns nothing any more and is decided after a request of the highest score.
        let worthy =
            Request { work_hint_ms: Some(1.0), deadline_ms: Some(server.now + 60_000.0), ..request(id, 1) };
        let repeat = Request { duplicate_of: Some(1), queued_ms: 2990.0, ..request(id + 1, 1) };
        let actions = server.batch(vec![Event::RequestArrived(worthy), Event::RequestArrived(repeat)]);
        assert!(!rejected(&actions, id + 1), "{actions:?}");
        seen |= actions.iter().any(|a| matches!(a, Action::Reject { reason: RejectReason::Displaced, .. }));
        server.advance(20.0, 1.0, 8.0);
    }
    assert!(seen, "the test shows nothing if nothing is displaced");
}
