//! Deadlines, drain and kill: every request gets its final answer in time.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn rejects_arrivals_after_drain_grace() {
    let mut server = TestServer::new(settings());
    server.handle(Event::DrainStarted { kill_ms: 5000.0 });
    server.advance(1000.0, 0.1, 0.0);
    assert!(rejected(&server.arrive(request(1, 0)), 1));
    assert!(started(&server.arrive(Request { read_delay_ms: 700.0, ..request(2, 0) }), 2));
}

#[test]
fn answers_all_requests_before_kill() {
    let mut server = TestServer::new(settings());
    for id in 1..=6 {
        server.arrive(Request { deadline_ms: Some(60_000.0), ..request(id, 0) });
    }
    server.handle(Event::DrainStarted { kill_ms: 400.0 });
    let actions = server.advance(300.0, 1.0, 4.0);
    for id in 1..=6 {
        let rejected = server.log.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if *i == id));
        assert!(rejected || failed(&actions, id), "request {id} is unanswered at the kill");
    }
}

#[test]
fn fails_run_past_its_deadline() {
    let mut server = TestServer::new(settings());
    server.arrive(Request { deadline_ms: Some(500.0), ..request(1, 0) });
    assert!(!failed(&server.advance(400.0, 0.5, 1.0), 1));
    assert!(failed(&server.advance(155.0, 0.5, 1.0), 1), "the run is failed within the slack of 60 ms");
}

#[test]
fn ignores_events_of_ended_requests() {
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
fn cancels_overdue_reads_if_preemption_allows() {
    let cancels_read = |preemption| {
        let mut server = TestServer::new(Settings { preemption, ..settings() });
        server.arrive(Request { deadline_ms: Some(500.0), ..request(1, 0) });
        server.arrive(Request { deadline_ms: Some(500.0), ..request(2, 1) });
        let actions = server.advance(600.0, 0.5, 2.0);
        assert!(failed(&actions, 1) && failed(&actions, 2));
        assert!(!actions.contains(&Action::CancelRun { id: 2 }), "a run with an effect is never cancelled");
        actions.contains(&Action::CancelRun { id: 1 })
    };
    assert!(
        cancels_read(Preemption::Drop) && cancels_read(Preemption::Pause),
        "the run would keep its core and memory"
    );
    assert!(!cancels_read(Preemption::Never), "running work cannot be cancelled here");
}
