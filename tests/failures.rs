//! One small test for each failure found, and for each rule that a single decision could break.

mod common;

use common::*;
use pinepoint::admission::*;

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
fn one_that_leaves_asks_for_work_while_others_still_send_it() {
    let mut bench = Bench::new(settings());
    bench.pass(1000.0, 0.2, 0.0);
    bench.tell(Event::DrainStarted { kill_ms: bench.now + 3000.0 });
    let none = |out: &[Action]| out.contains(&Action::ReportLoad { value: 0.0 });
    assert!(!none(&bench.pass(300.0, 0.2, 0.0)), "all would crowd the others, and its grace be spent idle");
    assert!(none(&bench.pass(100.0, 0.2, 0.0)), "what comes after the grace must not run");
}

#[test]
fn what_bad_clients_send_does_not_feign_a_jam() {
    let mut bench = Bench::new(settings());
    for id in 0..400 {
        bench.arrive(Request { queued_ms: 80.0, ..request(10 * id + 1, 0) });
        let id = 10 * id + 2;
        bench.batch(vec![Event::RequestArrived(request(id, 0)), Event::CallerGone { id }]);
        bench.pass(10.0, 1.0, 2.0);
        let mut started = bench.log.iter().filter_map(|a| match a {
            Action::StartRun { id } => Some(*id),
            _ => None,
        });
        if let Some(id) = started.nth(id as usize / 20) {
            bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
        }
    }
    let refused = |last: bool| {
        let meant = |a: &&Action| matches!(a, Action::Reject { last: l, .. } if *l == last);
        bench.log.iter().filter(meant).count()
    };
    assert!(refused(false) > 50, "the cores are full");
    assert_eq!(refused(true), 0, "all had waited alike, and others may well have room");
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
fn jammed_reading_asks_callers_not_to_go_on() {
    let mut bench = Bench::new(settings());
    for id in 1..=3 {
        bench.arrive(Request { queued_ms: 20.0, ..request(id, 0) });
        bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
    }
    bench.pass(3000.0, 1.0, 6.0);
    let mut last = false;
    for id in 10..40 {
        let out = bench.arrive(Request { queued_ms: 900.0, ..request(id, 0) });
        last |= out
            .iter()
            .any(|a| matches!(a, Action::Reject { last: true, retry_after_ms, .. } if *retry_after_ms > 0.0));
    }
    assert!(last, "refusals that walk the list jam the reading of all servers");
}

#[test]
fn advice_falls_with_delay_and_returns_with_it() {
    let mut bench = Bench::new(settings());
    let said = |bench: &Bench| {
        bench.log.iter().rev().find_map(|a| match a {
            Action::ReportLoad { value } => Some(*value),
            _ => None,
        })
    };
    bench.pass(200.0, 0.1, 0.0);
    assert_eq!(said(&bench), Some(1.0));
    bench.arrive(request(99, 0));
    bench.tell(Event::RunEnded { id: 99, outcome: Outcome::Done });
    for id in 1..30 {
        bench.arrive(Request { queued_ms: 900.0, ..request(id, 0) });
        bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
    }
    bench.pass(100.0, 1.0, 6.0);
    assert!(said(&bench) < Some(0.2), "{:?}", said(&bench));
    bench.pass(20_000.0, 0.1, 0.0);
    assert!(said(&bench) > Some(0.9), "{:?}", said(&bench));
}

#[test]
fn a_repeat_of_a_keyed_run_is_answered_from_it() {
    let mut bench = Bench::new(settings());
    assert!(started(&bench.arrive(request(1, 1)), 1));
    assert!(bench.log.iter().any(|a| matches!(a, Action::RetainKey { id: 1, ttl_ms } if *ttl_ms >= 8000.0)));
    bench.tell(Event::RunEnded { id: 1, outcome: Outcome::Failed });
    let out = bench.arrive(Request { duplicate_of: Some(1), ..request(2, 1) });
    assert!(out.contains(&Action::ReuseResult { id: 2 }));
    assert!(!started(&out, 2));
}

#[test]
fn two_tries_of_one_keyed_request_in_a_batch_run_once() {
    let mut bench = Bench::new(settings());
    let one = Event::RequestArrived(Request { duplicate_of: Some(2), ..request(1, 1) });
    let two = Event::RequestArrived(Request { duplicate_of: Some(1), ..request(2, 1) });
    let out = bench.batch(vec![one, two]);
    assert_eq!(out.iter().filter(|a| matches!(a, Action::StartRun { .. })).count(), 1);
    let answered =
        out.iter().filter(|a| matches!(a, Action::Fail { .. } | Action::ReuseResult { .. })).count();
    assert_eq!(answered, 1);
}

#[test]
fn what_comes_after_the_grace_is_never_run() {
    let mut bench = Bench::new(settings());
    bench.tell(Event::DrainStarted { kill_ms: 5000.0 });
    bench.pass(1000.0, 0.1, 0.0);
    assert!(refused(&bench.arrive(request(1, 0)), 1));
    assert!(started(&bench.arrive(Request { queued_ms: 700.0, ..request(2, 0) }), 2));
}

#[test]
fn everything_is_answered_before_the_kill() {
    let mut bench = Bench::new(settings());
    for id in 1..=6 {
        bench.arrive(Request { deadline_ms: Some(60_000.0), ..request(id, 0) });
    }
    bench.tell(Event::DrainStarted { kill_ms: 400.0 });
    let out = bench.pass(300.0, 1.0, 4.0);
    for id in 1..=6 {
        let before = bench.log.iter().any(|a| matches!(a, Action::Reject { id: i, .. } if *i == id));
        assert!(before || failed(&out, id), "request {id} is unanswered at the kill");
    }
}

#[test]
fn a_run_that_passes_its_due_time_is_answered_with_an_error() {
    let mut bench = Bench::new(settings());
    bench.arrive(Request { deadline_ms: Some(500.0), ..request(1, 0) });
    assert!(!failed(&bench.pass(400.0, 0.5, 1.0), 1));
    assert!(failed(&bench.pass(155.0, 0.5, 1.0), 1), "answered within the slack of 60 ms");
}

#[test]
fn memory_is_kept_free_for_what_is_taken() {
    let mut bench = Bench::new(Settings { memory_kb: 500.0, ..settings() });
    for id in 1..=40 {
        bench.arrive(Request { deadline_ms: Some(60_000.0), ..request(id, (id % 2) as usize) });
    }
    let starts = bench.log.iter().filter(|a| matches!(a, Action::StartRun { .. })).count() as f64;
    let keys = bench.log.iter().filter(|a| matches!(a, Action::RetainKey { .. })).count() as f64;
    let refusals = bench.log.iter().filter(|a| matches!(a, Action::Reject { .. })).count() as f64;
    let held = 40.0 - starts - refusals;
    assert!(starts * 80.0 + held * 20.0 + keys * 10.0 <= 500.0);
    assert!(starts >= 1.0);
}

#[test]
fn a_burst_of_starts_stays_far_under_the_crowd_that_a_cold_server_survives() {
    let mut set = Settings { cold: true, ..settings() };
    set.rules.warm_up_initial_speed = 0.2;
    set.rules.warm_up_ms = 10_000.0;
    let mut bench = Bench::new(set);
    for id in 1..=40 {
        bench.arrive(Request { deadline_ms: Some(60_000.0), ..request(id, 0) });
        bench.pass(20.0, 0.0, 0.0);
    }
    let starts = bench.log.iter().filter(|a| matches!(a, Action::StartRun { .. })).count() as f64;
    assert!(starts <= 2.0 * (1.0 + 3.0 * 0.28), "{starts} runs on two cold cores");
}

#[test]
fn settled_requests_may_be_spoken_of_again() {
    let mut bench = Bench::new(settings());
    bench.arrive(request(1, 0));
    bench.tell(Event::RunEnded { id: 1, outcome: Outcome::Done });
    for event in [
        Event::RunEnded { id: 1, outcome: Outcome::Done },
        Event::CallNeeded { id: 1 },
        Event::CallEnded { id: 1, outcome: Outcome::Done, took_ms: 1.0 },
        Event::CallerGone { id: 1 },
    ] {
        assert!(!bench.tell(event).iter().any(|a| !matches!(a, Action::SetTimer { .. })));
    }
}

#[test]
fn health_fails_while_all_that_is_read_is_dead_on_arrival() {
    let health = |out: &[Action]| {
        out.iter().rev().find_map(|a| match a {
            Action::SetHealth { good, .. } => Some(*good),
            _ => None,
        })
    };
    for slow in [false, true] {
        let mut bench = Bench::new(settings());
        for id in 1..=40 {
            bench.arrive(Request { queued_ms: 10.0, ..request(id, 0) });
            bench.pass(40.0, 0.5, 2.0);
            bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
        }
        let mut out = Vec::new();
        for id in 41..60 {
            bench.arrive(Request { queued_ms: 10.0, ..request(id, 0) });
            out.extend(bench.pass(if slow { 400.0 } else { 40.0 }, 0.5, 2.0));
            bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
        }
        for id in 60..90 {
            bench.arrive(Request { queued_ms: 2990.0, ..request(id, 0) });
            out.extend(bench.pass(40.0, 1.0, 2.0));
        }
        let wanted = if slow { Some(false) } else { None };
        assert_eq!(health(&out), wanted, "slowed: {slow}; a jam of the whole fleet must not empty the list");
        let back = health(&bench.pass(5000.0, 0.0, 0.0));
        assert_eq!(back, if slow { Some(true) } else { None }, "the unread line is gone");
    }
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

#[test]
fn a_rough_hint_does_not_turn_work_away_from_idle_cores() {
    let mut bench = Bench::new(settings());
    for id in 1..=20 {
        bench
            .arrive(Request { work_hint_ms: Some(if id % 2 == 0 { 20.0 } else { 600.0 }), ..request(id, 0) });
        bench.pass(200.0, 0.5, 1.0);
        bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
    }
    let out = bench.arrive(Request { work_hint_ms: Some(2000.0), ..request(50, 0) });
    assert!(started(&out, 50), "hints are rough: the mean of ratios made large ones look hopeless");
}

#[test]
fn a_read_that_shares_a_held_read_outlives_its_refusal() {
    let mut bench = Bench::new(Settings { read_result_ttl_ms: 600.0, ..settings() });
    let read = |id, due, duplicate_of| Request {
        deadline_ms: Some(due),
        duplicate_of,
        has_subject: true,
        ..request(id, 0)
    };
    bench.arrive(read(1, 9000.0, None));
    bench.arrive(read(2, 9000.0, None));
    bench.arrive(read(3, 300.0, None));
    assert!(!bench.arrive(read(4, 9000.0, Some(3))).contains(&Action::ReuseResult { id: 4 }));
    assert!(refused(&bench.pass(300.0, 0.5, 2.0), 3), "no core came free in time for the first");
    assert!(started(&bench.tell(Event::RunEnded { id: 1, outcome: Outcome::Done }), 4));
}

#[test]
fn reads_of_one_subject_share_one_run() {
    let mut bench = Bench::new(Settings { read_result_ttl_ms: 600.0, ..settings() });
    let read = |id, duplicate_of| Request {
        duplicate_of,
        has_subject: true,
        deadline_ms: Some(9000.0),
        ..request(id, 0)
    };
    for id in 1..=3 {
        bench.arrive(read(id, None));
    }
    bench.arrive(read(4, Some(3)));
    bench.arrive(read(5, Some(3)));
    let out = bench.tell(Event::RunEnded { id: 1, outcome: Outcome::Done });
    assert!(
        started(&out, 3)
            && out.contains(&Action::ReuseResult { id: 4 })
            && out.contains(&Action::ReuseResult { id: 5 })
    );
}

#[test]
fn a_hung_server_does_not_swallow_traffic() {
    let mut bench = Bench::new(settings());
    bench.arrive(request(1, 0));
    bench.pass(900.0, 1.0, 1.0);
    let out = bench.arrive(request(2, 0));
    let pauses = |a: &Action| matches!(a, Action::Reject { retry_after_ms, last: false, .. } if *retry_after_ms == 1000.0);
    assert!(out.iter().any(pauses), "its quick refusals would make it look idle: {out:?}");
    assert!(bench.log.contains(&Action::ReportLoad { value: 0.0 }));
    assert!(bench.log.contains(&Action::SetHealth { good: false, from_store: true }));
    bench.tell(Event::RunEnded { id: 1, outcome: Outcome::Done });
    assert!(bench.pass(100.0, 0.1, 0.0).contains(&Action::SetHealth { good: true, from_store: true }));
    assert!(started(&bench.arrive(request(3, 0)), 3));
}

#[test]
fn connections_of_many_callers_are_not_kept_until_they_forget_them() {
    let closes = |callers| {
        let bench = Bench::new(Settings { callers, caller_idle_timeout_ms: 30_000.0, ..settings() });
        bench
            .log
            .iter()
            .any(|a| matches!(a, Action::CloseIdleConnections { after_ms } if *after_ms < 10_000.0))
    };
    assert!(closes(1000.0), "each comes back after minutes: the table fills with idle connections");
    assert!(!closes(3.0), "a handshake for each pause of a few callers buys nothing");
}

#[test]
fn a_cold_server_learns_its_speed_without_turning_work_away() {
    let mut set = Settings { cold: true, ..settings() };
    (set.rules.warm_up_initial_speed, set.rules.warm_up_ms) = (0.25, 10_000.0);
    let mut bench = Bench::new(set);
    for id in 1..=12 {
        // Work of 150 ms that takes 600 ms cold: at two requests a second both cores are never in use.
        let out = bench.arrive(Request { deadline_ms: Some(bench.now + 1000.0), ..request(id, 0) });
        assert!(started(&out, id), "slowness learned twice over makes request {id} look hopeless");
        bench.pass(600.0, 0.5, 1.0);
        bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
    }
}

#[test]
fn settings_without_sense_are_a_typed_error() {
    let refused = |set: Settings| AdmissionController::new(set, 1).expect_err("makes no sense");
    assert_eq!(refused(Settings { cores: 0.0, ..settings() }), SettingsError::NoCores);
    assert_eq!(refused(Settings { classes: vec![], ..settings() }), SettingsError::NoClasses);
    assert_eq!(refused(Settings { key_kb: -1.0, ..settings() }), SettingsError::OutOfRange("key_kb"));
    assert_eq!(refused(Settings { cores: f64::NAN, ..settings() }), SettingsError::OutOfRange("cores"));
    assert!(AdmissionController::new(Settings { memory_kb: f64::INFINITY, ..settings() }, 1).is_ok());
}

#[test]
fn short_first_runs_do_not_make_a_server_look_slowed() {
    let mut bench = Bench::new(settings());
    for id in 1..=8 {
        bench.arrive(Request { queued_ms: 10.0, ..request(id, 0) });
        bench.pass(if id <= 1 { 5.0 } else { 100.0 }, 0.5, 1.0);
        bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
    }
    for id in 30..60 {
        bench.arrive(Request { queued_ms: 2990.0, ..request(id, 0) });
        bench.pass(40.0, 1.0, 2.0);
    }
    let failed = Action::SetHealth { good: false, from_store: true };
    assert!(
        !bench.log.contains(&failed),
        "in a jam of the fleet such servers would leave the list by chance"
    );
}

#[test]
fn what_the_wait_in_the_hold_makes_late_is_refused_at_read() {
    let mut set = settings();
    set.classes[0].late_weight = 0.2;
    let mut bench = Bench::new(set);
    let mut refusals = Vec::new();
    for id in 1..=20 {
        if refused(&bench.arrive(Request { deadline_ms: Some(20_000.0), ..request(id, 0) }), id) {
            refusals.push(id);
        }
    }
    let first = refusals.first().copied().unwrap_or(99);
    assert!((8..=18).contains(&first), "work of 150 ms on two cores and an aim of 1 s: {refusals:?}");
}

#[test]
fn reasons_of_refusals_are_logged_once_in_many() {
    let mut bench = Bench::new(settings());
    for id in 1..=120 {
        bench.arrive(Request { queued_ms: 2995.0, ..request(id, 0) });
    }
    let refusals = bench.log.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    let is_reason = |a: &&Action| matches!(a, Action::Log { text } if text.contains("too-late"));
    assert!(refusals >= 100, "dead on arrival, nearly all: {refusals}");
    assert_eq!(bench.log.iter().filter(is_reason).count(), refusals / 50);
}

#[test]
fn a_server_that_turns_most_away_makes_no_room_for_more_connections() {
    let mut bench = Bench::new(Settings { callers: 1000.0, caller_idle_timeout_ms: 30_000.0, ..settings() });
    let kept = |bench: &Bench| {
        bench.log.iter().rev().find_map(|a| match a {
            Action::CloseIdleConnections { after_ms } => Some(*after_ms),
            _ => None,
        })
    };
    assert!(kept(&bench) < Some(10_000.0), "room for newcomers while they can be served");
    for id in 1..=60 {
        bench.arrive(Request { queued_ms: 2995.0, ..request(id, 0) });
        bench.pass(20.0, 1.0, 4.0);
    }
    assert!(kept(&bench) > Some(25_000.0), "each new connection would cost a handshake to be refused");
    for id in 100..200 {
        bench.arrive(request(id, 0));
        bench.pass(50.0, 0.5, 1.0);
        bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
    }
    assert!(kept(&bench) < Some(10_000.0), "and it forgets as fast");
}

/// Two cores whose runs take half a second, an arrival every 25 ms; `make` gives class and retry mark by number.
fn flood(make: impl Fn(u32) -> (usize, bool)) -> Vec<(u32, Action)> {
    let mut bench = Bench::new(settings());
    let (mut running, mut seen) = (Vec::new(), Vec::new());
    for id in 1..=600 {
        let (class, retry) = make(id);
        let mut out = bench.arrive(Request { retry, queued_ms: 10.0, ..request(id, class) });
        out.extend(bench.pass(25.0, 1.0, 4.0));
        if id % 10 == 0 && !running.is_empty() {
            out.extend(bench.tell(Event::RunEnded { id: running.remove(0), outcome: Outcome::Done }));
        }
        running.extend(
            out.iter().filter_map(|a| if let Action::StartRun { id } = a { Some(*id) } else { None }),
        );
        seen.extend(out.into_iter().map(|a| (id, a)));
    }
    seen
}

#[test]
fn in_a_flood_of_retries_the_cores_go_to_first_tries() {
    let seen = flood(|id| (0, id % 5 != 0));
    let ran = |a: &(u32, Action)| matches!(a, (at, Action::StartRun { id }) if *at > 200 && id % 5 == 0);
    let firsts = seen.iter().filter(|a| ran(a)).count();
    assert!(firsts >= 28, "40 runs end; those that take their cores should still be in time: {firsts}");
}

#[test]
fn in_a_flood_the_best_displaces_the_least_worthy_that_waits() {
    let seen = flood(|id| (usize::from(id % 10 == 0), false));
    let displaced =
        |a: &(u32, Action)| matches!(a, (at, Action::Reject { id, .. }) if at % 10 == 0 && id < at);
    assert!(seen.iter().any(displaced), "worth three times as much, it is not left to chance");
    let ran = |a: &(u32, Action)| matches!(a, (at, Action::StartRun { id }) if *at > 200 && id % 10 == 0);
    let best = seen.iter().filter(|a| ran(a)).count();
    assert!(best >= 30, "{best} of the 40 that are worth most");
}

#[test]
fn two_long_runs_are_not_a_hang() {
    let mut set = settings();
    set.classes[0] = Class { latency_objective_ms: 1400.0, timeout_ms: 4500.0, ..Class::default() };
    let mut bench = Bench::new(set);
    bench.arrive(request(1, 0));
    bench.arrive(request(2, 0));
    bench.arrive(request(3, 0));
    let out = bench.pass(700.0, 1.0, 2.0);
    assert!(
        !out.contains(&Action::SetHealth { good: false, from_store: true }),
        "runs of 210 ms vary by as much"
    );
    assert!(!refused(&out, 3), "what is held would be refused by chance");
    let out = bench.pass(1000.0, 1.0, 2.0);
    assert!(out.contains(&Action::SetHealth { good: false, from_store: true }), "eight times that is one");
}

#[test]
fn a_retry_whose_caller_waits_as_long_as_ever_is_not_hopeless() {
    let mut set = settings();
    set.classes[0] = Class { latency_objective_ms: 1400.0, timeout_ms: 4500.0, ..Class::default() };
    let mut bench = Bench::new(set);
    for id in 1..=40 {
        bench.arrive(Request { deadline_ms: Some(bench.now + 2250.0), ..request(id, 0) });
        bench.pass(200.0, 0.5, 1.0);
        bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
    }
    let again = |id, wait| Request { retry: true, deadline_ms: Some(wait), ..request(id, 0) };
    let now = bench.now;
    assert!(started(&bench.arrive(again(50, now + 2250.0)), 50), "half the deadline is what each try gets");
    assert!(refused(&bench.arrive(again(51, now + 300.0)), 51), "what is left of the deadline tells its age");
}

#[test]
fn the_weight_of_a_hint_follows_what_runs_show() {
    // Hints of a fifth to five times the mean; work follows them fully, or not at all.
    let turns_away_long = |follows: bool| {
        let mut bench = Bench::new(settings());
        for id in 1..=60 {
            let hint = [60.0, 120.0, 300.0, 500.0][id as usize % 4];
            bench.arrive(Request { work_hint_ms: Some(hint), ..request(id, 0) });
            bench.pass(if follows { hint } else { 245.0 }, 0.5, 1.0);
            bench.tell(Event::RunEnded { id, outcome: Outcome::Done });
        }
        refused(&bench.arrive(Request { work_hint_ms: Some(2500.0), ..request(99, 0) }), 99)
    };
    assert!(turns_away_long(true), "2.5 s of work for an aim of 1 s: another server may be fast enough");
    assert!(!turns_away_long(false), "hints that say nothing turn nobody away");
}

#[test]
fn a_server_buried_in_new_connections_leaves_the_list() {
    let mut bench = Bench::new(settings());
    let told = |out: &[Action], good| out.contains(&Action::SetHealth { good, from_store: true });
    assert!(!told(&bench.pass(3000.0, 1.0, 8.0), false), "runs, reading and a few connections");
    assert!(told(&bench.pass(2000.0, 1.0, 40.0), false), "it reads no one and says nothing to anyone");
    assert!(told(&bench.pass(3000.0, 1.0, 3.0), true));
}

#[test]
fn a_run_that_no_one_waits_for_is_ended_where_work_can_be_stopped_or_paused() {
    let ends = |preemption| {
        let mut bench = Bench::new(Settings { preemption, ..settings() });
        bench.arrive(Request { deadline_ms: Some(500.0), ..request(1, 0) });
        bench.arrive(Request { deadline_ms: Some(500.0), ..request(2, 1) });
        let out = bench.pass(600.0, 0.5, 2.0);
        assert!(failed(&out, 1) && failed(&out, 2));
        assert!(!out.contains(&Action::CancelRun { id: 2 }), "an effect is never cut short");
        out.contains(&Action::CancelRun { id: 1 })
    };
    assert!(ends(Preemption::Drop) && ends(Preemption::Pause), "it would keep its core and memory");
    assert!(!ends(Preemption::Never), "not where it is a fault");
}

#[test]
fn on_a_slow_server_the_tenant_that_floods_gives_way() {
    let mut set = settings();
    let tenant = Tenant { quota_per_s: 40.0, ..Tenant::default() };
    set.tenants = vec![tenant; 2];
    (set.servers, set.over_quota_weight) = (10.0, 0.05);
    set.classes[0] = Class { latency_objective_ms: 4000.0, timeout_ms: 12_000.0, ..Class::default() };
    let mut bench = Bench::new(set);
    let (mut running, mut ran, mut came) = (Vec::new(), [0, 0], [0, 0]);
    // Two runs a second, far under an allowance of four a second and server for each.
    for id in 1..=1200u32 {
        let tenant = usize::from(id % 10 == 0);
        came[tenant] += 1;
        let mut out = bench.arrive(Request { tenant: Some(tenant), queued_ms: 10.0, ..request(id, 0) });
        out.extend(bench.pass(25.0, 1.0, 4.0));
        if id % 20 == 0 && !running.is_empty() {
            out.extend(bench.tell(Event::RunEnded { id: running.remove(0), outcome: Outcome::Done }));
        }
        for started in
            out.iter().filter_map(|a| if let Action::StartRun { id } = a { Some(*id) } else { None })
        {
            running.push(started);
            ran[usize::from(started % 10 == 0)] += 1;
        }
    }
    assert!(ran[1] * 2 >= ran[0], "a tenth of what comes, half of the allowances: {ran:?} of {came:?}");
}

#[test]
fn an_effect_without_a_key_that_began_is_failed_never_refused_halted_or_run_again() {
    let mut set = Settings { preemption: Preemption::Drop, ..settings() };
    set.classes[0].idempotency = Idempotency::NonIdempotent;
    let mut bench = Bench::new(set);
    bench.arrive(Request { deadline_ms: Some(400.0), ..request(1, 0) });
    bench.arrive(request(2, 0));
    assert!(started(&bench.log, 1) && started(&bench.log, 2));
    assert!(!started(&bench.arrive(Request { duplicate_of: Some(1), ..request(3, 0) }), 1));
    bench.tell(Event::CallerGone { id: 2 });
    bench.pass(500.0, 1.0, 2.0);
    bench.tell(Event::DrainStarted { kill_ms: bench.now + 800.0 });
    bench.pass(800.0, 1.0, 2.0);
    let touched = |id| {
        let of =
            |a: &&Action| matches!(a, Action::Reject { id: i, .. } | Action::CancelRun { id: i } if *i == id);
        let again = |a: &&Action| matches!(a, Action::StartRun { id: i } if *i == id);
        bench.log.iter().any(|a| of(&a)) || bench.log.iter().filter(again).count() != 1
    };
    assert!(failed(&bench.log, 1) && !touched(1), "due while it runs");
    assert!(!failed(&bench.log, 2) && !touched(2), "its caller is gone: nothing is owed, its effect goes on");
    assert!(refused(&bench.log, 3), "held, it never ran: a refusal says so, and another server may run it");
}

/// A keyed try that ran, and is over.
fn with_a_keyed_run() -> Bench {
    let mut bench = Bench::new(settings());
    assert!(started(&bench.arrive(request(1, 1)), 1));
    bench.tell(Event::RunEnded { id: 1, outcome: Outcome::Done });
    bench
}

fn timer(gauges: [f64; 2]) -> Event {
    Event::TimerFired { token: 0, gauges: gauges.to_vec() }
}

/// The timer answers what is past its due time; one that came in the same instant is not decided yet, and a repeat of what
/// ran must not be told that it never did.
#[test]
fn a_repeat_that_comes_too_late_in_the_instant_of_a_timer_is_not_turned_away() {
    let mut bench = with_a_keyed_run();
    bench.pass(3500.0, 0.1, 0.0);
    let late = Request { duplicate_of: Some(1), queued_ms: 3400.0, ..request(2, 1) };
    let out = bench.batch(vec![Event::RequestArrived(late), timer([0.1, 0.0])]);
    assert!(!refused(&out, 2), "{out:?}");
    assert!(out.contains(&Action::ReuseResult { id: 2 }), "{out:?}");
}

#[test]
fn a_repeat_in_the_instant_in_which_a_hang_is_seen_is_not_turned_away() {
    let mut bench = with_a_keyed_run();
    bench.arrive(request(2, 0));
    let said = |bench: &Bench| bench.log.iter().any(|a| matches!(a, Action::SetHealth { good: false, .. }));
    while !said(&bench) {
        bench.pass(20.0, 0.5, 1.0);
        assert!(bench.now < 5000.0, "nothing gets anywhere, and it is not seen");
    }
    let repeat = Request { duplicate_of: Some(1), ..request(3, 1) };
    let out = bench.batch(vec![Event::RequestArrived(repeat), timer([0.5, 1.0])]);
    assert!(!refused(&out, 3), "{out:?}");
    assert!(out.contains(&Action::ReuseResult { id: 3 }), "{out:?}");
}

/// Past the share that is refused, one worth more takes the place of one that is held: not of one of its own instant.
#[test]
fn a_repeat_is_not_displaced_by_one_that_came_in_the_same_instant() {
    let mut bench = with_a_keyed_run();
    for id in 10..80 {
        bench.arrive(Request { deadline_ms: Some(bench.now + 60_000.0), ..request(id, 0) });
        bench.pass(20.0, 1.0, 8.0);
    }
    let mut seen = false;
    for id in (100..200).step_by(2) {
        // The repeat is worth nothing any more, and stands behind one that is worth most.
        let worthy =
            Request { work_hint_ms: Some(1.0), deadline_ms: Some(bench.now + 60_000.0), ..request(id, 1) };
        let repeat = Request { duplicate_of: Some(1), queued_ms: 2990.0, ..request(id + 1, 1) };
        let out = bench.batch(vec![Event::RequestArrived(worthy), Event::RequestArrived(repeat)]);
        assert!(!refused(&out, id + 1), "{out:?}");
        seen |= out.iter().any(|a| matches!(a, Action::Reject { reason: RejectReason::Displaced, .. }));
        bench.pass(20.0, 1.0, 8.0);
    }
    assert!(seen, "the test is of no worth if nothing is displaced");
}
