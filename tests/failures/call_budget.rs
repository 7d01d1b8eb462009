//! Calls to the dependency: quota, backoff, timeouts, and runs that go on without their call.

use pinepoint::admission::*;

use crate::common::*;

fn calling() -> Settings {
    let mut set = settings();
    set.call_quota = 4.0;
    set.call_linger_ms = 200.0;
    set.call_quota_window_ms = 5000.0;
    set.classes[0].calls = true;
    set.classes[1].calls = true;
    set
}

fn calls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::StartCall { .. })).count()
}

#[test]
fn a_call_is_made_only_from_call_time_earned() {
    let mut bench = Bench::new(calling());
    bench.arrive(request(1, 0));
    bench.arrive(request(2, 0));
    let out = bench.batch(vec![Event::CallNeeded { id: 1 }, Event::CallNeeded { id: 2 }]);
    assert_eq!(calls(&out), 1);
}

/// Calls made over a minute of endless demand, each taking this long.
fn call_time_spent(share: f64, each_ms: f64) -> f64 {
    let mut bench = Bench::new(Settings { call_quota: share, ..calling() });
    let (mut open, mut spent, mut id) = (Vec::new(), 0.0, 0);
    while bench.now < 60_000.0 {
        id += 1;
        bench.arrive(Request { deadline_ms: Some(bench.now + 400.0), ..request(id, 0) });
        let mut out = bench.tell(Event::CallNeeded { id });
        out.extend(bench.pass(100.0, 0.1, 0.0));
        open.extend(out.iter().filter_map(|a| match a {
            Action::StartCall { id, .. } => Some((*id, bench.now)),
            _ => None,
        }));
        while open.first().is_some_and(|(_, since)| since + each_ms <= bench.now) {
            let (id, _) = open.remove(0);
            spent += each_ms;
            bench.tell(Event::CallEnded { id, outcome: Outcome::Done, took_ms: each_ms });
            bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
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
    let mut set = calling();
    set.call_quota = 0.2;
    let mut bench = Bench::new(set);
    bench.arrive(request(1, 0));
    bench.tell(Event::CallNeeded { id: 1 });
    bench.pass(2500.0, 0.1, 0.0);
    bench.tell(Event::CallEnded { id: 1, outcome: Outcome::Done, took_ms: 2500.0 });
    bench.tell(Event::RunEnded { id: 1, outcome: Outcome::Done });
    assert!(refused(&bench.arrive(request(2, 0)), 2), "what was spent has to be earned first");
    bench.pass(60_000.0, 0.1, 0.0);
    assert!(started(&bench.arrive(request(3, 0)), 3), "no one would ever call again");
}

#[test]
fn a_refused_call_is_not_repeated_at_once() {
    let mut bench = Bench::new(calling());
    bench.arrive(request(1, 1));
    assert_eq!(calls(&bench.tell(Event::CallNeeded { id: 1 })), 1);
    let out = bench.tell(Event::CallEnded { id: 1, outcome: Outcome::Unreachable, took_ms: 1.0 });
    assert_eq!(calls(&out), 0, "an unreachable dependency would be hammered");
    assert_eq!(calls(&bench.pass(200.0, 0.1, 0.0)), 1, "proved not to have run: it may be made again");
}

#[test]
fn a_reply_that_is_lost_is_not_waited_for_until_the_due_time() {
    let mut bench = Bench::new(calling());
    bench.arrive(Request { deadline_ms: Some(60_000.0), ..request(1, 0) });
    let out = bench.tell(Event::CallNeeded { id: 1 });
    let patience = out.iter().find_map(|a| match a {
        Action::StartCall { call_timeout_ms, .. } => Some(*call_timeout_ms),
        _ => None,
    });
    assert!(patience.is_some_and(|ms| ms < 6000.0), "a tenth of what its caller waits: {patience:?}");
    let out = bench.tell(Event::CallEnded { id: 1, outcome: Outcome::TimedOut, took_ms: 150.0 });
    assert_eq!(calls(&out), 0, "it may be under way below, and its time has to be earned again");
    assert_eq!(calls(&bench.pass(3000.0, 0.1, 0.0)), 1, "a read may call again");
}

/// The actions of a run that needs a call while none can be made, until it has an answer or goes on without.
fn with_no_call(weight_without_call: f64) -> (Vec<Action>, f64) {
    let mut set = calling();
    set.classes[0].weight_without_call = weight_without_call;
    let mut bench = Bench::new(set);
    bench.arrive(request(1, 0));
    bench.pass(60.0, 0.5, 1.0);
    let mut out = bench.tell(Event::CallNeeded { id: 1 });
    while bench.now < 1500.0
        && !out.iter().any(|a| matches!(a, Action::SkipCall { .. } | Action::Fail { .. }))
    {
        if calls(&out) > 0 {
            out = bench.tell(Event::CallEnded { id: 1, outcome: Outcome::Unreachable, took_ms: 1.0 });
        } else {
            out = bench.pass(5.0, 0.5, 0.0);
        }
    }
    (out, bench.now)
}

#[test]
fn without_its_call_a_read_goes_on_as_late_as_it_can() {
    let (out, at) = with_no_call(0.3);
    assert!(out.contains(&Action::SkipCall { id: 1 }), "its caller would get nothing: {out:?}");
    assert!((600.0..1000.0).contains(&at), "the dependency may be back before, and its aim is at 1000: {at}");
    let (out, _) = with_no_call(0.0);
    assert!(failed(&out, 1), "an answer without the call is worth nothing: {out:?}");
}

#[test]
fn what_can_go_on_without_a_call_leaves_it_to_what_cannot() {
    let mut set = calling();
    set.call_quota = 0.4;
    set.classes[0].weight_without_call = 0.3;
    let mut bench = Bench::new(set);
    for id in 1..=8 {
        bench.arrive(request(id, 0));
        bench.tell(Event::CallNeeded { id });
    }
    bench.pass(50.0, 0.5, 0.0);
    bench.tell(Event::CallEnded { id: 1, outcome: Outcome::Done, took_ms: 50.0 });
    bench.tell(Event::RunEnded { id: 1, outcome: Outcome::Done });
    // A seventh of one call is earned: the others would use up all there is within its aim.
    assert!(started(&bench.arrive(request(9, 1)), 9), "seven that can do without stand before it");
    bench.pass(400.0, 0.5, 0.0);
    assert_eq!(calls(&bench.log), 1, "the next is kept for it");
    assert_eq!(calls(&bench.tell(Event::CallNeeded { id: 9 })), 1);
}

#[test]
fn what_ran_until_the_call_tells_what_is_left() {
    let mut bench = Bench::new(calling());
    let mut run = |id: u32, hint: f64, ms: f64| {
        bench.arrive(Request { work_hint_ms: Some(hint), ..request(id, 0) });
        bench.pass(ms * 0.6, 0.5, 1.0);
        let out = bench.tell(Event::CallNeeded { id });
        bench.tell(Event::CallEnded { id, outcome: Outcome::Done, took_ms: 5.0 });
        bench.pass(ms * 0.4, 0.5, 1.0);
        bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
        out
    };
    for id in 1..=40 {
        assert_eq!(calls(&run(id, 50.0, 50.0)), 1);
    }
    assert_eq!(calls(&run(41, 5000.0, 100.0)), 1, "most of it is done, and it fits whatever its hint says");
    assert!(failed(&run(42, 50.0, 1500.0), 42), "two thirds of what ran are left: no call can help it");
}

#[test]
fn one_call_cut_off_stops_no_other() {
    let mut bench = Bench::new(calling());
    bench.arrive(Request { deadline_ms: Some(60_000.0), ..request(1, 0) });
    bench.tell(Event::CallNeeded { id: 1 });
    let out = bench.tell(Event::CallEnded { id: 1, outcome: Outcome::Reset, took_ms: 2.0 });
    assert_eq!(calls(&out), 1, "its reply was spoilt, and the next may not be");
    let out = bench.tell(Event::CallEnded { id: 1, outcome: Outcome::Reset, took_ms: 2.0 });
    assert_eq!(calls(&out), 0, "two in a row are no chance");
}

/// A server with this share of calls in hand, after many quick calls and a while of saving.
fn used_to_calls_of(ms: f64, share: f64) -> Bench {
    let mut bench = Bench::new(Settings { call_quota: share, ..calling() });
    for id in 1..=60 {
        bench.arrive(request(id, 0));
        bench.tell(Event::CallNeeded { id });
        bench.pass(ms, 0.5, 0.0);
        bench.tell(Event::CallEnded { id, outcome: Outcome::Done, took_ms: ms });
        bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
        bench.pass(20.0, 0.0, 0.0);
    }
    bench
}

/// The time after which the call of this new request is given up, if it is made at once.
fn patience(bench: &mut Bench, id: u32, class: usize) -> Option<f64> {
    bench.arrive(Request { deadline_ms: Some(bench.now + 60_000.0), ..request(id, class) });
    let out = bench.tell(Event::CallNeeded { id });
    out.iter().find_map(|a| match a {
        Action::StartCall { call_timeout_ms, .. } => Some(*call_timeout_ms),
        _ => None,
    })
}

#[test]
fn a_lost_reply_shuts_no_good_call_out() {
    let mut bench = used_to_calls_of(10.0, 1.9);
    let before = patience(&mut bench, 101, 0).expect("call time was saved");
    bench.pass(before, 0.5, 0.0);
    bench.tell(Event::CallEnded { id: 101, outcome: Outcome::TimedOut, took_ms: before });
    bench.tell(Event::RunEnded { id: 101, outcome: Outcome::Failed });
    bench.pass(60.0, 0.5, 0.0);
    let after = patience(&mut bench, 102, 0).expect("a call waited for that long hardly lingers below");
    assert!(after < before * 1.05, "no call took longer than before: {before} {after}");
}

#[test]
fn a_call_far_overdue_uses_up_no_more_call_time() {
    let mut bench = used_to_calls_of(10.0, 2.0);
    patience(&mut bench, 101, 1).expect("call time was saved");
    bench.pass(3000.0, 0.5, 0.0);
    assert!(patience(&mut bench, 102, 1).is_some(), "one lost reply would hold up all calls");
    assert!(patience(&mut bench, 103, 1).is_none(), "the share itself holds whatever is lost");
}

#[test]
fn a_call_that_may_be_made_again_is_given_up_sooner() {
    let read = patience(&mut used_to_calls_of(1.0, 1.9), 101, 0).expect("call time was saved");
    let write = patience(&mut used_to_calls_of(1.0, 1.9), 101, 1).expect("call time was saved");
    assert!(read < write && read > 50.0, "a write fails with its call: {read} {write}");
}

#[test]
fn a_keyed_call_that_may_have_run_is_not_repeated() {
    let mut bench = Bench::new(calling());
    bench.arrive(request(1, 1));
    bench.tell(Event::CallNeeded { id: 1 });
    let out = bench.tell(Event::CallEnded { id: 1, outcome: Outcome::TimedOut, took_ms: 900.0 });
    assert!(failed(&out, 1));
    assert_eq!(calls(&bench.pass(2000.0, 0.1, 0.0)), 0);
}

#[test]
fn a_call_that_cannot_end_in_time_is_not_made() {
    let mut bench = Bench::new(Settings { call_quota: 1.9, ..calling() });
    bench.arrive(Request { deadline_ms: Some(400.0), ..request(1, 0) });
    bench.arrive(Request { deadline_ms: Some(5000.0), ..request(2, 0) });
    bench.tell(Event::CallNeeded { id: 2 });
    bench.tell(Event::CallNeeded { id: 1 });
    let mut out = bench.pass(370.0, 0.1, 0.0);
    out.extend(bench.tell(Event::CallEnded { id: 2, outcome: Outcome::Done, took_ms: 370.0 }));
    assert!(failed(&out, 1), "the first in line by due time would take the dependency and still be late");
    assert_eq!(calls(&out), 0);
}

#[test]
fn a_long_line_at_the_dependency_turns_away_only_those_who_need_it() {
    let mut set = calling();
    set.classes[1] = Class { calls: false, ..Class::default() };
    set.classes[0].late_weight = 0.2;
    let mut bench = Bench::new(set);
    let mut id = 0;
    for _ in 0..8 {
        id += 1;
        bench.arrive(Request { deadline_ms: Some(90_000.0), ..request(id, 0) });
        bench.tell(Event::CallNeeded { id });
    }
    for _ in 0..20 {
        bench.now += 900.0;
        bench.tell(Event::CallEnded { id: 1, outcome: Outcome::Done, took_ms: 900.0 });
        bench.tell(Event::CallNeeded { id: 1 });
    }
    bench.pass(20.0, 0.1, 0.0);
    assert!(refused(&bench.arrive(request(50, 0)), 50));
    assert!(started(&bench.arrive(request(51, 1)), 51));
}
