//! Idempotency keys known to either process: no key runs twice, and results are reused.

use std::sync::Barrier;

use rstest::rstest;

use crate::operation::*;
use crate::{SETTLE, retry, take_over};

#[rstest]
#[case::while_predecessor_runs(false)]
#[case::after_predecessor_ended(true)]
fn successor_reuses_result_of_predecessor(#[case] after_predecessor_ended: bool) {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, quick_engine());
    let key = Request::keyed("key");
    let result = assert_served(&connect(&deployment), &key);
    let successor = take_over(&deployment);
    if after_predecessor_ended {
        terminate(&deployment, &mut predecessor);
    }
    assert_eq!(assert_served(&connect(&deployment), &retry(&key)), result);
    assert_eq!(runs_of("key", &[&predecessor.engine, &successor.engine]), 1);
    // A key that neither process knows is run.
    assert_served(&connect(&deployment), &Request::keyed("fresh"));
}

#[rstest]
#[case::before_sigterm(false)]
#[case::after_sigterm(true)]
fn retry_waits_for_run_of_predecessor(#[case] after_sigterm: bool) {
    let deployment = deployment();
    let mut predecessor = start_ready(&deployment, commanded_engine());
    let (first, key) = (connect(&deployment), Request::keyed("key"));
    let first_id = start_run(&predecessor, &first, &key);
    let successor = take_over(&deployment);
    if after_sigterm {
        send_signal(&predecessor, Signal::TERM);
    }
    let second = connect(&deployment);
    let second_id = second.send(&retry(&key)).expect("sent");
    std::thread::sleep(SETTLE);
    assert_eq!(successor.engine.runs_of("key"), 0, "run a second time");
    assert_eq!(predecessor.engine.finish("key"), 1);
    let result = first.wait(first_id);
    assert!(matches!(result, Reply::Served(_)), "{result:?}");
    assert_eq!(second.wait(second_id), result);
    if !after_sigterm {
        send_signal(&predecessor, Signal::TERM);
    }
    await_exit(&deployment, &mut predecessor);
    assert_eq!(runs_of("key", &[&predecessor.engine, &successor.engine]), 1);
}

/// The predecessor has not received SIGTERM yet, and its connections are still open.
#[test]
fn predecessor_does_not_rerun_key_of_successor() {
    let deployment = deployment();
    let predecessor = start_ready(&deployment, quick_engine());
    let idle = connect(&deployment);
    assert_served(&idle, &Request::read("before"));
    let successor = take_over(&deployment);
    let key = Request::keyed("key");
    assert_served(&connect(&deployment), &key);
    let reply = idle.call(&retry(&key));
    assert!(matches!(reply, Reply::Failed(_)), "{reply:?}");
    assert_eq!(runs_of("key", &[&predecessor.engine, &successor.engine]), 1);
    assert_served(&idle, &Request::read("after"));
}

/// Whichever process receives a key first, and however soon the other attempt follows, the key has at most
/// one effect and one result.
#[test]
fn simultaneous_attempts_at_both_processes_run_once() {
    const KEYS: usize = 50;
    let deployment = deployment();
    let predecessor = start_ready(&deployment, quick_engine());
    let at_predecessor = connect(&deployment);
    assert_served(&at_predecessor, &Request::read("before"));
    let successor = take_over(&deployment);
    let at_successor = connect(&deployment);
    let together = Barrier::new(2);
    let send_all = |client: &Client| -> Vec<Reply> {
        let send_key = |n| {
            together.wait();
            client.call(&Request::keyed(&format!("key-{n}")))
        };
        (0..KEYS).map(send_key).collect()
    };
    let (of_predecessor, of_successor) = std::thread::scope(|scope| {
        let other = scope.spawn(|| send_all(&at_predecessor));
        let of_successor = send_all(&at_successor);
        (other.join().expect("no panic"), of_successor)
    });
    assert_no_double_runs(&[&predecessor.engine, &successor.engine]);
    for (n, replies) in of_predecessor.iter().zip(&of_successor).enumerate() {
        let (one, other) = replies;
        assert!(
            ![one, other].iter().any(|reply| matches!(reply, Reply::Lost | Reply::Late)),
            "{n}: {replies:?}"
        );
        if let (Some(one), Some(other)) = (one.result(), other.result()) {
            assert_eq!(one, other, "key {n}");
        }
        // No client receives a refusal for a key that has run.
        let ran = runs_of(&format!("key-{n}"), &[&predecessor.engine, &successor.engine]) == 1;
        assert!(!ran || ![one, other].contains(&&Reply::Busy), "{n}: {replies:?}");
    }
}
