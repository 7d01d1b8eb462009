//! Calls to the dependency: quota, backoff, timeouts, and runs that skip their call.

use pinepoint::admission::*;

use crate::common::*;

fn settings_with_calls() -> Settings {
    let mut config = settings();
    config.call_quota = 4.0;
    config.call_linger_ms = 200.0;
    config.call_quota_window_ms = 5000.0;
    config.classes[0].calls = true;
    config.classes[1].calls = true;
    config
}

fn started_calls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::StartCall { .. })).count()
}

#[test]
fn starts_calls_only_from_earned_call_time() {
    let mut server = TestServer::new(settings_with_calls());
    server.arrive(request(1, 0));
    server.arrive(request(2, 0));
    let actions = server.batch(vec![Event::CallNeeded { id: 1 }, Event::CallNeeded { id: 2 }]);
    assert_eq!(started_calls(&actions), 1);
}

/// The timeout of the first call that these actions start, ms.
fn call_timeout_ms(actions: &[Action]) -> Option<f64> {
    actions.iter().find_map(|action| match action {
        Action::StartCall { call_timeout_ms, .. } => Some(*call_timeout_ms),
        _ => None,
    })
}

/// Total duration of the calls made in a minute of endless demand, if each call takes `call_ms`.
fn call_time_spent_ms(quota: f64, call_ms: f64) -> f64 {
    let mut server = TestServer::new(Settings { call_quota: quota, ..settings_with_calls() });
    let (mut open, mut spent_ms, mut id) = (Vec::new(), 0.0, 0);
    while server.now < 60_000.0 {
        id += 1;
        server.arrive(Request { deadline_ms: Some(server.now + 400.0), ..request(id, 0) });
        let mut actions = server.handle(Event::CallNeeded { id });
        actions.extend(server.advance(100.0, 0.1, 0.0));
        open.extend(actions.iter().filter_map(|a| match a {
            Action::StartCall { id, .. } => Some((*id, server.now)),
            _ => None,
        }));
        while open.first().is_some_and(|(_, since)| since + call_ms <= server.now) {
            let (id, _) = open.remove(0);
            spent_ms += call_ms;
            server.handle(Event::CallEnded { id, outcome: Outcome::Done, took_ms: call_ms });
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
    }
    spent_ms
}

#[test]
fn keeps_mean_call_time_within_small_quota() {
    let in_flight = call_time_spent_ms(0.2, 300.0) / 60_000.0;
    assert!(
        in_flight < 0.1,
        "one call on each of hundreds of servers would far exceed the sum of quotas: {in_flight}"
    );
    assert!(in_flight > 0.02, "calls have to be made all the same: {in_flight}");
}

#[test]
fn forgets_slow_call_duration_without_calls() {
    let mut config = settings_with_calls();
    config.call_quota = 0.2;
    let mut server = TestServer::new(config);
    server.arrive(request(1, 0));
    server.handle(Event::CallNeeded { id: 1 });
    server.advance(2500.0, 0.1, 0.0);
    server.handle(Event::CallEnded { id: 1, outcome: Outcome::Done, took_ms: 2500.0 });
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done });
    assert!(rejected(&server.arrive(request(2, 0)), 2), "the call time spent has to be earned first");
    server.advance(60_000.0, 0.1, 0.0);
    assert!(started(&server.arrive(request(3, 0)), 3), "the slow duration would prevent all further calls");
}

#[test]
fn backs_off_when_dependency_is_unreachable() {
    let mut server = TestServer::new(settings_with_calls());
    server.arrive(request(1, 1));
    assert_eq!(started_calls(&server.handle(Event::CallNeeded { id: 1 })), 1);
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::Unreachable, took_ms: 1.0 });
    assert_eq!(started_calls(&actions), 0, "a call without backoff would overload an unreachable dependency");
    assert_eq!(
        started_calls(&server.advance(200.0, 0.1, 0.0)),
        1,
        "the call provably did not run and may be repeated"
    );
}

#[test]
fn times_out_lost_reply_before_deadline() {
    let mut server = TestServer::new(settings_with_calls());
    server.arrive(Request { deadline_ms: Some(60_000.0), ..request(1, 0) });
    let actions = server.handle(Event::CallNeeded { id: 1 });
    let timeout_ms = call_timeout_ms(&actions);
    assert!(
        timeout_ms.is_some_and(|ms| ms < 6000.0),
        "wanted less than a tenth of the 60 s that the caller waits: {timeout_ms:?}"
    );
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::TimedOut, took_ms: 150.0 });
    assert_eq!(
        started_calls(&actions),
        0,
        "the first call may still be in flight, and call time has to be earned again"
    );
    assert_eq!(started_calls(&server.advance(3000.0, 0.1, 0.0)), 1, "a read may repeat its call");
}

/// Runs a request whose calls all fail until it skips the call or is answered. Returns the last actions and
/// the time, ms.
fn run_without_dependency(weight_without_call: f64) -> (Vec<Action>, f64) {
    let mut config = settings_with_calls();
    config.classes[0].weight_without_call = weight_without_call;
    let mut server = TestServer::new(config);
    server.arrive(request(1, 0));
    server.advance(60.0, 0.5, 1.0);
    let mut actions = server.handle(Event::CallNeeded { id: 1 });
    while server.now < 1500.0
        && !actions.iter().any(|a| matches!(a, Action::SkipCall { .. } | Action::Fail { .. }))
    {
        if started_calls(&actions) > 0 {
            actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::Unreachable, took_ms: 1.0 });
        } else {
            actions = server.advance(5.0, 0.5, 0.0);
        }
    }
    (actions, server.now)
}

#[test]
fn skips_call_as_late_as_possible() {
    let (actions, at) = run_without_dependency(0.3);
    assert!(actions.contains(&Action::SkipCall { id: 1 }), "the caller would get no answer: {actions:?}");
    assert!(
        (600.0..1000.0).contains(&at),
        "the dependency may recover before the objective of 1000 ms: skipped at {at} ms"
    );
    let (actions, _) = run_without_dependency(0.0);
    assert!(failed(&actions, 1), "an answer without the call earns nothing: {actions:?}");
}

#[test]
fn reserves_calls_for_runs_that_cannot_skip() {
    let mut config = settings_with_calls();
    config.call_quota = 0.4;
    config.classes[0].weight_without_call = 0.3;
    let mut server = TestServer::new(config);
    for id in 1..=8 {
        server.arrive(request(id, 0));
        server.handle(Event::CallNeeded { id });
    }
    server.advance(50.0, 0.5, 0.0);
    server.handle(Event::CallEnded { id: 1, outcome: Outcome::Done, took_ms: 50.0 });
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done });
    // A seventh of one call is earned: the seven runs ahead would use up all call time within its objective.
    assert!(started(&server.arrive(request(9, 1)), 9), "the seven runs ahead of it can skip their call");
    server.advance(400.0, 0.5, 0.0);
    assert_eq!(started_calls(&server.log), 1, "the next call is reserved for request 9");
    assert_eq!(started_calls(&server.handle(Event::CallNeeded { id: 9 })), 1);
}

#[test]
fn estimates_remaining_work_at_call() {
    let mut server = TestServer::new(settings_with_calls());
    let mut run = |id: u32, hint: f64, ms: f64| {
        server.arrive(Request { work_hint_ms: Some(hint), ..request(id, 0) });
        server.advance(ms * 0.6, 0.5, 1.0);
        let actions = server.handle(Event::CallNeeded { id });
        server.handle(Event::CallEnded { id, outcome: Outcome::Done, took_ms: 5.0 });
        server.advance(ms * 0.4, 0.5, 1.0);
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        actions
    };
    for id in 1..=40 {
        assert_eq!(started_calls(&run(id, 50.0, 50.0)), 1);
    }
    assert_eq!(
        started_calls(&run(41, 5000.0, 100.0)),
        1,
        "the rest of the run fits, however large its hint is"
    );
    assert!(
        failed(&run(42, 50.0, 1500.0), 42),
        "the rest of the run, two thirds of the work done, ends too late with any call"
    );
}

#[test]
fn tolerates_one_reset_call() {
    let mut server = TestServer::new(settings_with_calls());
    server.arrive(Request { deadline_ms: Some(60_000.0), ..request(1, 0) });
    server.handle(Event::CallNeeded { id: 1 });
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::Reset, took_ms: 2.0 });
    assert_eq!(started_calls(&actions), 1, "one lost reply shows little about the next call");
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::Reset, took_ms: 2.0 });
    assert_eq!(started_calls(&actions), 0, "two lost replies in a row count as a failure");
}

/// A server with this call quota that made many calls of `ms` each and has saved up call time.
fn server_after_calls_of(ms: f64, quota: f64) -> TestServer {
    let mut server = TestServer::new(Settings { call_quota: quota, ..settings_with_calls() });
    for id in 1..=60 {
        server.arrive(request(id, 0));
        server.handle(Event::CallNeeded { id });
        server.advance(ms, 0.5, 0.0);
        server.handle(Event::CallEnded { id, outcome: Outcome::Done, took_ms: ms });
        server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        server.advance(20.0, 0.0, 0.0);
    }
    server
}

/// The timeout of the call of a new request, ms, if the call is started at once.
fn timeout_of_new_call(server: &mut TestServer, id: u32, class: usize) -> Option<f64> {
    server.arrive(Request { deadline_ms: Some(server.now + 60_000.0), ..request(id, class) });
    call_timeout_ms(&server.handle(Event::CallNeeded { id }))
}

#[test]
fn one_lost_reply_does_not_block_calls() {
    let mut server = server_after_calls_of(10.0, 1.9);
    let before = timeout_of_new_call(&mut server, 101, 0).expect("call time was saved up");
    server.advance(before, 0.5, 0.0);
    server.handle(Event::CallEnded { id: 101, outcome: Outcome::TimedOut, took_ms: before });
    server.handle(Event::RunEnded { id: 101, outcome: Outcome::Failed });
    server.advance(60.0, 0.5, 0.0);
    let after = timeout_of_new_call(&mut server, 102, 0)
        .expect("a call that was awaited that long is probably not in flight any more");
    assert!(
        after < before * 1.05,
        "the lost reply changed the expected duration: timeout {before} ms before, {after} ms after"
    );
}

#[test]
fn overdue_call_spends_no_call_time() {
    let mut server = server_after_calls_of(10.0, 2.0);
    timeout_of_new_call(&mut server, 101, 1).expect("call time was saved up");
    server.advance(3000.0, 0.5, 0.0);
    assert!(timeout_of_new_call(&mut server, 102, 1).is_some(), "one lost reply would block all calls");
    assert!(
        timeout_of_new_call(&mut server, 103, 1).is_none(),
        "the quota applies however many replies are lost"
    );
}

#[test]
fn repeatable_call_times_out_sooner() {
    let read =
        timeout_of_new_call(&mut server_after_calls_of(1.0, 1.9), 101, 0).expect("call time was saved up");
    let write =
        timeout_of_new_call(&mut server_after_calls_of(1.0, 1.9), 101, 1).expect("call time was saved up");
    assert!(
        read < write && read > 50.0,
        "timeouts of a read: {read} ms, of a write, which fails if its call fails: {write} ms"
    );
}

#[test]
fn does_not_repeat_keyed_call_after_timeout() {
    let mut server = TestServer::new(settings_with_calls());
    server.arrive(request(1, 1));
    server.handle(Event::CallNeeded { id: 1 });
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::TimedOut, took_ms: 900.0 });
    assert!(failed(&actions, 1));
    assert_eq!(started_calls(&server.advance(2000.0, 0.1, 0.0)), 0);
}

#[test]
fn does_not_start_call_that_ends_too_late() {
    let mut server = TestServer::new(Settings { call_quota: 1.9, ..settings_with_calls() });
    server.arrive(Request { deadline_ms: Some(400.0), ..request(1, 0) });
    server.arrive(Request { deadline_ms: Some(5000.0), ..request(2, 0) });
    server.handle(Event::CallNeeded { id: 2 });
    server.handle(Event::CallNeeded { id: 1 });
    let mut actions = server.advance(370.0, 0.1, 0.0);
    actions.extend(server.handle(Event::CallEnded { id: 2, outcome: Outcome::Done, took_ms: 370.0 }));
    assert!(
        failed(&actions, 1),
        "the request with the earliest deadline would use the call and still be late"
    );
    assert_eq!(started_calls(&actions), 0);
}

#[test]
fn slow_dependency_rejects_only_requests_with_calls() {
    let mut config = settings_with_calls();
    config.classes[1] = Class { calls: false, ..Class::default() };
    config.classes[0].late_weight = 0.2;
    let mut server = TestServer::new(config);
    let mut id = 0;
    for _ in 0..8 {
        id += 1;
        server.arrive(Request { deadline_ms: Some(90_000.0), ..request(id, 0) });
        server.handle(Event::CallNeeded { id });
    }
    for _ in 0..20 {
        server.now += 900.0;
        server.handle(Event::CallEnded { id: 1, outcome: Outcome::Done, took_ms: 900.0 });
        server.handle(Event::CallNeeded { id: 1 });
    }
    server.advance(20.0, 0.1, 0.0);
    assert!(rejected(&server.arrive(request(50, 0)), 50));
    assert!(started(&server.arrive(request(51, 1)), 51));
}
