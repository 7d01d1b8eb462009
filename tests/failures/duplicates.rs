//! Duplicates of open and retained requests: no effect happens twice, and no caller of a request that may
//! have run is answered that it never ran.

use pinepoint::admission::*;

use crate::common::*;

#[test]
fn reuses_result_of_keyed_run() {
    let mut server = TestServer::new(settings());
    assert!(started(&server.arrive(request(1, 1)), 1));
    assert!(server.log.iter().any(|a| matches!(a, Action::RetainKey { id: 1, ttl_ms } if *ttl_ms >= 8000.0)));
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Failed });
    let actions = server.arrive(Request { duplicate_of: Some(1), ..request(2, 1) });
    assert!(actions.contains(&Action::ReuseResult { id: 2 }));
    assert!(!started(&actions, 2));
}

#[test]
fn runs_keyed_duplicates_in_one_batch_once() {
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
fn follower_survives_rejection_of_queued_read() {
    let mut server = TestServer::new(Settings { read_result_ttl_ms: 600.0, ..settings() });
    let read = |id, deadline_ms, duplicate_of| Request {
        deadline_ms: Some(deadline_ms),
        duplicate_of,
        has_subject: true,
        ..request(id, 0)
    };
    server.arrive(read(1, 9000.0, None));
    server.arrive(read(2, 9000.0, None));
    server.arrive(read(3, 300.0, None));
    assert!(!server.arrive(read(4, 9000.0, Some(3))).contains(&Action::ReuseResult { id: 4 }));
    assert!(rejected(&server.advance(300.0, 0.5, 2.0), 3), "no core became idle in time for request 3");
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
fn started_non_idempotent_run_is_only_failed() {
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
    let rejected_or_cancelled_or_rerun = |id| {
        let ends =
            |a: &&Action| matches!(a, Action::Reject { id: i, .. } | Action::CancelRun { id: i } if *i == id);
        let starts = |a: &&Action| matches!(a, Action::StartRun { id: i } if *i == id);
        server.log.iter().any(|a| ends(&a)) || server.log.iter().filter(starts).count() != 1
    };
    assert!(
        failed(&server.log, 1) && !rejected_or_cancelled_or_rerun(1),
        "request 1 passes its deadline while it runs"
    );
    assert!(
        !failed(&server.log, 2) && !rejected_or_cancelled_or_rerun(2),
        "the caller of request 2 left: it needs no answer, and its run continues"
    );
    assert!(
        rejected(&server.log, 3),
        "request 3 never ran: a rejection reports that, so that another server may run it"
    );
}

/// A server on which a keyed request ran and completed.
fn server_after_keyed_run() -> TestServer {
    let mut server = TestServer::new(settings());
    assert!(started(&server.arrive(request(1, 1)), 1));
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done });
    server
}

fn timer(gauges: [f64; 2]) -> Event {
    Event::TimerFired { token: 0, gauges: gauges.to_vec() }
}

/// The timer rejects queued requests past their deadline, and a rejection reports that the request never ran.
/// A duplicate of a run that arrived in the same instant is not decided yet, so the timer must not reject it.
#[test]
fn timer_does_not_reject_undecided_duplicate() {
    let mut server = server_after_keyed_run();
    server.advance(3500.0, 0.1, 0.0);
    let late = Request { duplicate_of: Some(1), read_delay_ms: 3400.0, ..request(2, 1) };
    let actions = server.batch(vec![Event::RequestArrived(late), timer([0.1, 0.0])]);
    assert!(!rejected(&actions, 2), "{actions:?}");
    assert!(actions.contains(&Action::ReuseResult { id: 2 }), "{actions:?}");
}

#[test]
fn stall_does_not_reject_undecided_duplicate() {
    let mut server = server_after_keyed_run();
    server.arrive(request(2, 0));
    let is_unhealthy = |server: &TestServer| {
        server.log.iter().any(|a| matches!(a, Action::SetHealth { healthy: false, .. }))
    };
    while !is_unhealthy(&server) {
        server.advance(20.0, 0.5, 1.0);
        assert!(server.now < 5000.0, "no run makes progress, but the stall is not detected");
    }
    let duplicate = Request { duplicate_of: Some(1), ..request(3, 1) };
    let actions = server.batch(vec![Event::RequestArrived(duplicate), timer([0.5, 1.0])]);
    assert!(!rejected(&actions, 3), "{actions:?}");
    assert!(actions.contains(&Action::ReuseResult { id: 3 }), "{actions:?}");
}

/// An arrival that would be shed may displace a queued request of lower score, but not an undecided duplicate
/// that arrived in the same instant.
#[test]
fn arrival_does_not_displace_undecided_duplicate() {
    let mut server = server_after_keyed_run();
    for id in 10..80 {
        server.arrive(Request { deadline_ms: Some(server.now + 60_000.0), ..request(id, 0) });
        server.advance(20.0, 1.0, 8.0);
    }
    let mut displaced = false;
    for id in (100..200).step_by(2) {
        // The duplicate is too late to earn anything and is decided after a request with the highest score.
        let high_score =
            Request { work_hint_ms: Some(1.0), deadline_ms: Some(server.now + 60_000.0), ..request(id, 1) };
        let duplicate = Request { duplicate_of: Some(1), read_delay_ms: 2990.0, ..request(id + 1, 1) };
        let actions = server.batch(vec![Event::RequestArrived(high_score), Event::RequestArrived(duplicate)]);
        assert!(!rejected(&actions, id + 1), "{actions:?}");
        displaced |=
            actions.iter().any(|a| matches!(a, Action::Reject { reason: RejectReason::Displaced, .. }));
        server.advance(20.0, 1.0, 8.0);
    }
    assert!(displaced, "no request was displaced, so the test proves nothing");
}
