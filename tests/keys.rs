//! The table of keys by itself: what runs once, what is told to repeats, and what it takes.

use pinepoint::server::core::keys::{AlreadyRan, AttemptResult, JoinOutcome, Key, KeyTable, Start};

/// What no try that comes in time can name any more is gone this much after its window, ms.
const LONG_AFTER: f64 = 20_000.0;

fn key() -> Key {
    (0, "k".into())
}

fn start(id: u32, arrived_ms: f64) -> Start {
    Start { id, digest: 7, arrived_ms, until: arrived_ms + 100.0 }
}

fn done(bytes: usize) -> AttemptResult {
    AttemptResult::Done(vec![0; bytes].as_slice().into())
}

#[test]
fn a_key_that_ran_is_not_started_again_in_its_window_whatever_is_forgotten() {
    let mut keys = KeyTable::new(1000.0);
    keys.remember(key(), 1, 7, 100.0);
    assert_eq!(keys.start(&key(), start(1, 0.0)), Ok(()));
    keys.forget(&key(), 1);
    keys.left(&key(), 1, false);
    assert_eq!(keys.start(&key(), start(2, 99.0)), Err(AlreadyRan));
    assert_eq!(keys.start(&key(), start(2, 100.0)), Ok(()), "the window counts from t0 of the try that ran");
}

#[test]
fn results_are_bounded_and_their_entries_stay() {
    let mut keys = KeyTable::new(10.0);
    for (n, dropped) in [(1, false), (2, true)] {
        let key = (0, n.to_string());
        assert_eq!(keys.start(&key, start(n, 0.0)), Ok(()));
        assert_eq!(keys.ended(&key, n, done(6), false), (vec![], dropped));
        assert_eq!(keys.start(&key, start(9, 50.0)), Err(AlreadyRan));
    }
    assert_eq!(keys.size(), (2, 6));
    keys.sweep(100.0 + LONG_AFTER);
    assert_eq!(keys.size(), (0, 0));
}

/// Reads that share answers: each holder's result is its own, and takes no room after it.
#[test]
fn the_result_of_an_earlier_holder_is_neither_told_nor_counted() {
    let mut keys = KeyTable::new(10.0);
    for id in 1..=20 {
        let since = f64::from(id) * 50.0;
        assert_eq!(keys.retained_attempt(&key(), since), None, "the one before is no longer fresh");
        keys.remember(key(), id, 7, since + 40.0);
        assert_eq!(keys.join(Some(&key()), 100 + id, Some(id), true), JoinOutcome::Waits);
        assert_eq!(keys.ended(&key(), id, done(6), false), (vec![100 + id], false));
        assert_eq!(keys.size(), (1, 6));
    }
    keys.forget(&key(), 20);
    assert_eq!(keys.size(), (0, 0), "with the entry goes its result");
}

/// The window is over while the first try still runs, as one that is shorter than the deadline allows.
#[test]
fn repeats_get_the_result_of_the_try_that_they_wait_for() {
    let mut keys = KeyTable::new(1000.0);
    keys.remember(key(), 1, 7, 100.0);
    assert_eq!(keys.start(&key(), start(1, 0.0)), Ok(()));
    assert_eq!(keys.join(Some(&key()), 2, Some(1), true), JoinOutcome::Waits);
    keys.remember(key(), 3, 8, 250.0);
    assert_eq!(keys.start(&key(), start(3, 150.0)), Ok(()));
    assert_eq!(keys.join(Some(&key()), 4, Some(3), true), JoinOutcome::Waits);
    assert_eq!(keys.ended(&key(), 1, done(5), false), (vec![2], false), "not those of the third");
    assert_eq!(keys.join(Some(&key()), 5, Some(1), false), JoinOutcome::Over(AttemptResult::Failed));
    assert_eq!(keys.ended(&key(), 3, done(6), false), (vec![4], false));
    assert_eq!(keys.join(Some(&key()), 6, Some(3), false), JoinOutcome::Over(done(6)));
    assert_eq!(keys.size(), (1, 6));
}

/// A later try that is turned away unrun must not stand for the key.
#[test]
fn one_that_left_the_hold_unrun_leaves_nothing_to_repeat() {
    let mut keys = KeyTable::new(1000.0);
    assert_eq!(keys.start(&key(), start(1, 0.0)), Ok(()));
    keys.remember(key(), 2, 7, 250.0);
    assert_eq!(keys.retained_attempt(&key(), 150.0), Some(2));
    keys.left(&key(), 2, true);
    assert_eq!(keys.retained_attempt(&key(), 150.0), None);
    assert_eq!(keys.retained_attempt(&key(), 99.0), Some(1), "and the window of the one that ran goes on");
}

#[test]
fn what_is_proved_not_to_have_run_may_run() {
    let mut keys = KeyTable::new(1000.0);
    keys.remember(key(), 1, 7, 100.0);
    assert_eq!(keys.start(&key(), start(1, 0.0)), Ok(()));
    assert_eq!(keys.join(Some(&key()), 2, Some(1), true), JoinOutcome::Waits);
    assert_eq!(keys.ended(&key(), 1, AttemptResult::Failed, true), (vec![2], false));
    assert_eq!(keys.start(&key(), start(3, 50.0)), Ok(()));
}
