//! Calls to the dependency: quota, backoff, timeouts, and runs that go on without their call.

use pinepoint::admission::*;

use crate::common::*;

fn calling() -> Settings {
    let mut config = settings();
    config.call_quota = 4.0;
    config.call_linger_ms = 200.0;
    config.call_quota_window_ms = 5000.0;
    config.classes[0].calls = true;
    config.classes[1].calls = true;
    config
}

fn calls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::StartCall { .. })).count()
}

#[test]
fn a_call_is_made_only_from_call_time_earned() {
    let mut server = TestServer::new(calling());
    server.arrive(request(1, 0));
    server.arrive(request(2, 0));
    let actions = server.batch(vec![Event::CallNeeded { id: 1 }, Event::CallNeeded { id: 2 }]);
    assert_eq!(calls(&actions), 1);
}

/// Calls made over a minute of endless demand, each taking this long.
fn call_time_spent(share: f64, each_ms: f64) -> f64 {
    let mut server = TestServer::new(Settings { call_quota: share, ..calling() });
    let (mut open, mut spent, mut id) = (Vec::new(), 0.0, 0);
    while server.now < 60_000.0 {
        id += 1;
        server.arrive(Request { deadline_ms: Some(server.now + 400.0), ..request(id, 0) });
        let mut actions = server.handle(Event::CallNeeded { id });
        actions.extend(server.advance(100.0, 0.1, 0.0));
        open.extend(actions.iter().filter_map(|a| match a {
            Action::StartCall { id, .. } => Some((*id, server.now)),
            _ => None,
        }));
        while open.first().is_some_and(|(_, since)| since + each_ms <= server.now) {
            let (id, _) = open.remove(0);
            spent += each_ms;
            server.handle(Event::CallEnded { id, outcome: Outcome::Done, took_ms: each_ms });
            server.handle(Event::RunEnded { id, outcome: Outcome::Done });
        }
    }
    spent
}

#[test]
fn a_share_far_below_one_call_is_kept_in_the_mean() {
    let spent = call_time_spent(0.2, 300.0) / 60_000.0;
    assert!(spent < 0.1, "hundreds of servers with a call each would hold many times the shares: {spent}");
    assert!(spent > 0.02, "and calls are still made: {spent}");
}

#[test]
fn the_slow_time_of_calls_is_forgotten_when_none_are_made() {
    let mut config = calling();
    config.call_quota = 0.2;
    let mut server = TestServer::new(config);
    server.arrive(request(1, 0));
    server.handle(Event::CallNeeded { id: 1 });
    server.advance(2500.0, 0.1, 0.0);
    server.handle(Event::CallEnded { id: 1, outcome: Outcome::Done, took_ms: 2500.0 });
    server.handle(Event::RunEnded { id: 1, outcome: Outcome::Done });
    assert!(rejected(&server.arrive(request(2, 0)), 2), "what was spent has to be earned first");
    server.advance(60_000.0, 0.1, 0.0);
    assert!(started(&server.arrive(request(3, 0)), 3), "no one would ever call again");
}

#[test]
fn a_refused_call_is_not_repeated_at_once() {
    let mut server = TestServer::new(calling());
    server.arrive(request(1, 1));
    assert_eq!(calls(&server.handle(Event::CallNeeded { id: 1 })), 1);
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::Unreachable, took_ms: 1.0 });
    assert_eq!(calls(&actions), 0, "an unreachable dependency would be hammered");
    assert_eq!(calls(&server.advance(200.0, 0.1, 0.0)), 1, "proved not to have run: it may be made again");
}

#[test]
fn a_reply_that_is_lost_is_not_waited_for_until_the_due_time() {
    let mut server = TestServer::new(calling());
    server.arrive(Request { deadline_ms: Some(60_000.0), ..request(1, 0) });
    let actions = server.handle(Event::CallNeeded { id: 1 });
    let patience = actions.iter().find_map(|a| match a {
        Action::StartCall { call_timeout_ms, .. } => Some(*call_timeout_ms),
        _ => None,
    });
    assert!(patience.is_some_and(|ms| ms < 6000.0), "a tenth of what its caller waits: {patience:?}");
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::TimedOut, took_ms: 150.0 });
    assert_eq!(calls(&actions), 0, "it may be under way below, and its time has to be earned again");
    assert_eq!(calls(&server.advance(3000.0, 0.1, 0.0)), 1, "a read may call again");
}

/// The actions of a run that needs a call while none can be made, until it has an answer or goes on without.
fn with_no_call(weight_without_call: f64) -> (Vec<Action>, f64) {
    let mut config = calling();
    config.classes[0].weight_without_call = weight_without_call;
    let mut server = TestServer::new(config);
    server.arrive(request(1, 0));
    server.advance(60.0, 0.5, 1.0);
    let mut actions = server.handle(Event::CallNeeded { id: 1 });
    while server.now < 1500.0
        && !actions.iter().any(|a| matches!(a, Action::SkipCall { .. } | Action::Fail { .. }))
    {
        if calls(&actions) > 0 {
            actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::Unreachable, took_ms: 1.0 });
        } else {
            actions = server.advance(5.0, 0.5, 0.0);
        }
    }
    (actions, server.now)
}

#[test]
fn without_its_call_a_read_goes_on_as_late_as_it_can() {
    let (actions, at) = with_no_call(0.3);
    assert!(actions.contains(&Action::SkipCall { id: 1 }), "its caller would get nothing: {actions:?}");
    assert!((600.0..1000.0).contains(&at), "the dependency may be back before, and its aim is at 1000: {at}");
    let (actions, _) = with_no_call(0.0);
    assert!(failed(&actions, 1), "an answer without the call is worth nothing: {actions:?}");
}

#[test]
fn what_can_go_on_without_a_call_leaves_it_to_what_cannot() {
    let mut config = calling();
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
    // A seventh of one call is earned: the others would use up all there is within its aim.
    assert!(started(&server.arrive(request(9, 1)), 9), "seven that can do without stand before it");
    server.advance(400.0, 0.5, 0.0);
    assert_eq!(calls(&server.log), 1, "the next is kept for it");
    assert_eq!(calls(&server.handle(Event::CallNeeded { id: 9 })), 1);
}

#[test]
fn what_ran_until_the_call_tells_what_is_left() {
    let mut server = TestServer::new(calling());
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
        assert_eq!(calls(&run(id, 50.0, 50.0)), 1);
    }
    assert_eq!(calls(&run(41, 5000.0, 100.0)), 1, "most of it is done, and it fits whatever its hint says");
    assert!(failed(&run(42, 50.0, 1500.0), 42), "two thirds of what ran are left: no call can help it");
}

#[test]
fn one_call_cut_off_stops_no_other() {
    let mut server = TestServer::new(calling());
    server.arrive(Request { deadline_ms: Some(60_000.0), ..request(1, 0) });
    server.handle(Event::CallNeeded { id: 1 });
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::Reset, took_ms: 2.0 });
    assert_eq!(calls(&actions), 1, "its reply was spoilt, and the next may not be");
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::Reset, took_ms: 2.0 });
    assert_eq!(calls(&actions), 0, "two in a row are no chance");
}

/// A server with this share of calls in hand, after many quick calls and a while of saving.
fn used_to_calls_of(ms: f64, share: f64) -> TestServer {
    let mut server = TestServer::new(Settings { call_quota: share, ..calling() });
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

/// The time after which the call of this new request is given up, if it is made at once.
fn patience(server: &mut TestServer, id: u32, class: usize) -> Option<f64> {
    server.arrive(Request { deadline_ms: Some(server.now + 60_000.0), ..request(id, class) });
    let actions = server.handle(Event::CallNeeded { id });
    actions.iter().find_map(|a| match a {
        Action::StartCall { call_timeout_ms, .. } => Some(*call_timeout_ms),
        _ => None,
    })
}

#[test]
fn a_lost_reply_shuts_no_good_call_out() {
    let mut server = used_to_calls_of(10.0, 1.9);
    let before = patience(&mut server, 101, 0).expect("call time was saved");
    server.advance(before, 0.5, 0.0);
    server.handle(Event::CallEnded { id: 101, outcome: Outcome::TimedOut, took_ms: before });
    server.handle(Event::RunEnded { id: 101, outcome: Outcome::Failed });
    server.advance(60.0, 0.5, 0.0);
    let after = patience(&mut server, 102, 0).expect("a call waited for that long hardly lingers below");
    assert!(after < before * 1.05, "no call took longer than before: {before} {after}");
}

#[test]
fn a_call_far_overdue_uses_up_no_more_call_time() {
    let mut server = used_to_calls_of(10.0, 2.0);
    patience(&mut server, 101, 1).expect("call time was saved");
    server.advance(3000.0, 0.5, 0.0);
    assert!(patience(&mut server, 102, 1).is_some(), "one lost reply would hold up all calls");
    assert!(patience(&mut server, 103, 1).is_none(), "the share itself holds whatever is lost");
}

#[test]
fn a_call_that_may_be_made_again_is_given_up_sooner() {
    let read = patience(&mut used_to_calls_of(1.0, 1.9), 101, 0).expect("call time was saved");
    let write = patience(&mut used_to_calls_of(1.0, 1.9), 101, 1).expect("call time was saved");
    assert!(read < write && read > 50.0, "a write fails with its call: {read} {write}");
}

#[test]
fn a_keyed_call_that_may_have_run_is_not_repeated() {
    let mut server = TestServer::new(calling());
    server.arrive(request(1, 1));
    server.handle(Event::CallNeeded { id: 1 });
    let actions = server.handle(Event::CallEnded { id: 1, outcome: Outcome::TimedOut, took_ms: 900.0 });
    assert!(failed(&actions, 1));
    assert_eq!(calls(&server.advance(2000.0, 0.1, 0.0)), 0);
}

#[test]
fn a_call_that_cannot_end_in_time_is_not_made() {
    let mut server = TestServer::new(Settings { call_quota: 1.9, ..calling() });
    server.arrive(Request { deadline_ms: Some(400.0), ..request(1, 0) });
    server.arrive(Request { deadline_ms: Some(5000.0), ..request(2, 0) });
    server.handle(Event::CallNeeded { id: 2 });
    server.handle(Event::CallNeeded { id: 1 });
    let mut actions = server.advance(370.0, 0.1, 0.0);
    actions.extend(server.handle(Event::CallEnded { id: 2, outcome: Outcome::Done, took_ms: 370.0 }));
    assert!(failed(&actions, 1), "the first in line by due time would take the dependency and still be late");
    assert_eq!(calls(&actions), 0);
}

#[test]
fn a_long_line_at_the_dependency_turns_away_only_those_who_need_it() {
    let mut config = calling();
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
