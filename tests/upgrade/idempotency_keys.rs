//! Idempotency keys that either process has seen: nothing runs twice, and results are reused.

use std::sync::Barrier;

use rstest::rstest;

use crate::operation::*;
use crate::{SETTLE, retry, take_over};

#[rstest]
#[case::while_the_old_process_is_there(false)]
#[case::after_its_end(true)]
fn a_repeat_at_the_new_process_gets_the_result_of_the_old(#[case] after_its_end: bool) {
    let deployment = deployment();
    let mut old = start_ready(&deployment, quick_engine());
    let key = Request::keyed("key");
    let result = assert_served(&connect(&deployment), &key);
    let new = take_over(&deployment);
    if after_its_end {
        terminate(&deployment, &mut old);
    }
    assert_eq!(assert_served(&connect(&deployment), &retry(&key)), result);
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
    // What neither of them knows is run.
    assert_served(&connect(&deployment), &Request::keyed("fresh"));
}

#[rstest]
#[case::before_the_notice(false)]
#[case::after_the_notice(true)]
fn a_repeat_waits_for_the_run_that_is_under_way_at_the_old_process(#[case] after_the_notice: bool) {
    let deployment = deployment();
    let mut old = start_ready(&deployment, commanded_engine());
    let (first, key) = (connect(&deployment), Request::keyed("key"));
    let first_id = start_run(&old, &first, &key);
    let new = take_over(&deployment);
    if after_the_notice {
        send_signal(&old, Signal::TERM);
    }
    let second = connect(&deployment);
    let second_id = second.send(&retry(&key)).expect("sent");
    std::thread::sleep(SETTLE);
    assert_eq!(new.engine.runs_of("key"), 0, "run a second time");
    assert_eq!(old.engine.finish("key"), 1);
    let result = first.wait(first_id);
    assert!(matches!(result, Reply::Served(_)), "{result:?}");
    assert_eq!(second.wait(second_id), result);
    if !after_the_notice {
        send_signal(&old, Signal::TERM);
    }
    await_exit(&deployment, &mut old);
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
}

/// The old process has had no SIGTERM yet, and its connections are still open.
#[test]
fn a_repeat_at_the_old_process_of_what_ran_at_the_new_is_not_run() {
    let deployment = deployment();
    let old = start_ready(&deployment, quick_engine());
    let resting = connect(&deployment);
    assert_served(&resting, &Request::read("before"));
    let new = take_over(&deployment);
    let key = Request::keyed("key");
    assert_served(&connect(&deployment), &key);
    let reply = resting.call(&retry(&key));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    assert_eq!(runs_of("key", &[&old.engine, &new.engine]), 1);
    assert_served(&resting, &Request::read("after"));
}

/// Whichever process has a key first, and however close the other try, there is one effect at most, and one result.
#[test]
fn tries_at_both_processes_in_one_instant_run_once() {
    const KEYS: usize = 50;
    let deployment = deployment();
    let old = start_ready(&deployment, quick_engine());
    let at_old = connect(&deployment);
    assert_served(&at_old, &Request::read("before"));
    let new = take_over(&deployment);
    let at_new = connect(&deployment);
    let together = Barrier::new(2);
    let send_all = |client: &Client| -> Vec<Reply> {
        let try_key = |n| {
            together.wait();
            client.call(&Request::keyed(&format!("key-{n}")))
        };
        (0..KEYS).map(try_key).collect()
    };
    let (of_old, of_new) = std::thread::scope(|scope| {
        let other = scope.spawn(|| send_all(&at_old));
        let of_new = send_all(&at_new);
        (other.join().expect("no panic"), of_new)
    });
    assert_no_double_runs(&[&old.engine, &new.engine]);
    for (n, replies) in of_old.iter().zip(&of_new).enumerate() {
        let (one, other) = replies;
        assert!(
            ![one, other].iter().any(|reply| matches!(reply, Reply::Lost | Reply::Late)),
            "{n}: {replies:?}"
        );
        if let (Some(one), Some(other)) = (one.result(), other.result()) {
            assert_eq!(one, other, "key {n}");
        }
        // What ran is told as refused to nobody.
        let ran = runs_of(&format!("key-{n}"), &[&old.engine, &new.engine]) == 1;
        assert!(!ran || ![one, other].contains(&&Reply::Busy), "{n}: {replies:?}");
    }
}
