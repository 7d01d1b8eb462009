//! Deadlines, drain and kill: every request gets its final answer in time.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn what_comes_after_the_grace_is_never_run() {
    let mut server = TestServer::new(settings());
    server.handle(Event::DrainStarted { kill_ms: 5000.0 });
    server.advance(1000.0, 0.1, 0.0);
    assert!(rejected(&server.arrive(request(1, 0)), 1));
    assert!(started(&server.arrive(Request { queued_ms: 700.0, ..request(2, 0) }), 2));
}

#[test]
fn everything_is_answered_before_the_kill() {
    let mut server = TestServer::new(settings());
    for id in 1..=6 {
        server.arrive(Request { deadline_ms: Some(60_000.0), ..request(id, 0) });
    }
    server.handle(Event::DrainStarted { kill_ms: 400.0 });
    let actions = server.advance(300.0, 1.0, 4.0);
    for id in 1..=6 {
        let before = server.log.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if *i == id));
        assert!(before || failed(&actions, id), "request {id} is unanswered at the kill");
    }
}

#[test]
fn a_run_that_passes_its_due_time_is_answered_with_an_error() {
    let mut server = TestServer::new(settings());
    server.arrive(Request { deadline_ms: Some(500.0), ..request(1, 0) });
    assert!(!failed(&server.advance(400.0, 0.5, 1.0), 1));
    assert!(failed(&server.advance(155.0, 0.5, 1.0), 1), "answered within the slack of 60 ms");
}

#[test]
fn settled_requests_may_be_spoken_of_again() {
    let mut server = TestServer::new(settings());
    server.arrive(request(1, 0));
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done });
    for event in [
        Event::RunEnded { id: 1, outcome: Outcome::Done },
        Event::CallNeeded { id: 1 },
        Event::CallEnded { id: 1, outcome: Outcome::Done, took_ms: 1.0 },
        Event::CallerGone { id: 1 },
    ] {
        assert!(!server.handle(event).iter().any(|a| !matches!(a, Action::SetTimer { .. })));
    }
}

#[test]
fn a_run_that_no_one_waits_for_is_ended_where_work_can_be_stopped_or_paused() {
    let ends = |preemption| {
        let mut server = TestServer::new(Settings { preemption, ..settings() });
        server.arrive(Request { deadline_ms: Some(500.0), ..request(1, 0) });
        server.arrive(Request { deadline_ms: Some(500.0), ..request(2, 1) });
        let actions = server.advance(600.0, 0.5, 2.0);
        assert!(failed(&actions, 1) && failed(&actions, 2));
        assert!(!actions.contains(&Action::CancelRun { id: 2 }), "an effect is never cut short");
        actions.contains(&Action::CancelRun { id: 1 })
    };
    assert!(ends(Preemption::Drop) && ends(Preemption::Pause), "it would keep its core and memory");
    assert!(!ends(Preemption::Never), "not where it is a fault");
}
