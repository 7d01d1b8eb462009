//! What callers and the load balancer hear: load report, health, Retry-After, idle connections.

use pinepoint::admission::*;

use crate::common::*;

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

#[test]
fn a_server_buried_in_new_connections_leaves_the_list() {
    let mut bench = Bench::new(settings());
    let told = |out: &[Action], good| out.contains(&Action::SetHealth { good, from_store: true });
    assert!(!told(&bench.pass(3000.0, 1.0, 8.0), false), "runs, reading and a few connections");
    assert!(told(&bench.pass(2000.0, 1.0, 40.0), false), "it reads no one and says nothing to anyone");
    assert!(told(&bench.pass(3000.0, 1.0, 3.0), true));
}
