//! The table of idempotency keys: which attempts may run, the results that duplicates receive, and the bound
//! on retained results.

use pinepoint::server::core::keys::{
    AlreadyRan, Attempt, AttemptEnd, AttemptResult, FinishedAttempt, IdempotencyKey, JoinOutcome, KeyTable,
    OriginalState, Waiter,
};

/// An entry has expired this long after its window, ms: no request that arrived within the window can refer
/// to it any more.
const LONG_AFTER: f64 = 20_000.0;

fn key() -> IdempotencyKey {
    IdempotencyKey::of_class(0, "k".into())
}

fn attempt(id: u32, digest: u64, window_end_ms: f64) -> Attempt {
    Attempt { id, digest, window_end_ms }
}

/// Starts an attempt whose window ends 100 ms after its arrival.
fn start(keys: &mut KeyTable, key: &IdempotencyKey, id: u32, arrived_ms: f64) -> Result<(), AlreadyRan> {
    keys.start(key, attempt(id, 7, arrived_ms + 100.0), arrived_ms)
}

fn join(keys: &mut KeyTable, id: u32, original: u32, state: OriginalState) -> JoinOutcome {
    keys.join(&key(), Waiter { id, original }, state)
}

fn done(bytes: usize) -> AttemptResult {
    AttemptResult::Done(vec![0; bytes].as_slice().into())
}

fn finished(waiters: &[u32], result_dropped: bool) -> FinishedAttempt {
    FinishedAttempt { waiters: waiters.to_vec(), result_dropped }
}

#[test]
fn rejects_second_run_within_window_after_release() {
    let mut keys = KeyTable::new(1000.0);
    keys.retain(key(), attempt(1, 7, 100.0));
    assert_eq!(start(&mut keys, &key(), 1, 0.0), Ok(()));
    keys.release(&key(), 1);
    keys.remove_waiter(&key(), 1);
    assert_eq!(start(&mut keys, &key(), 2, 99.0), Err(AlreadyRan));
    assert_eq!(
        start(&mut keys, &key(), 2, 100.0),
        Ok(()),
        "the window counts from the arrival of the attempt that ran"
    );
}

#[test]
fn drops_results_over_limit_but_keeps_entries() {
    let mut keys = KeyTable::new(10.0);
    for (n, dropped) in [(1, false), (2, true)] {
        let key = IdempotencyKey::of_class(0, n.to_string());
        assert_eq!(start(&mut keys, &key, n, 0.0), Ok(()));
        assert_eq!(keys.finish(&key, n, AttemptEnd::Ran(done(6))), finished(&[], dropped));
        assert_eq!(start(&mut keys, &key, 9, 50.0), Err(AlreadyRan));
    }
    assert_eq!(keys.size(), (2, 6));
    keys.remove_expired(100.0 + LONG_AFTER);
    assert_eq!(keys.size(), (0, 0));
}

/// Guards reads that share results: each retained attempt has its own result, and a replaced result takes no
/// more memory.
#[test]
fn replaces_result_of_previously_retained_attempt() {
    let mut keys = KeyTable::new(10.0);
    for id in 1..=20 {
        let arrived_ms = f64::from(id) * 50.0;
        assert_eq!(
            keys.original_of(&key(), arrived_ms),
            None,
            "the window of the previous attempt has ended"
        );
        keys.retain(key(), attempt(id, 7, arrived_ms + 40.0));
        assert_eq!(join(&mut keys, 100 + id, id, OriginalState::InFlight), JoinOutcome::Waits);
        assert_eq!(keys.finish(&key(), id, AttemptEnd::Ran(done(6))), finished(&[100 + id], false));
        assert_eq!(keys.size(), (1, 6));
    }
    keys.release(&key(), 20);
    assert_eq!(keys.size(), (0, 0), "the result is removed with its entry");
}

/// The window ends while the first attempt still runs, as it may if it is shorter than the timeout.
#[test]
fn duplicates_receive_result_of_their_original() {
    let mut keys = KeyTable::new(1000.0);
    keys.retain(key(), attempt(1, 7, 100.0));
    assert_eq!(start(&mut keys, &key(), 1, 0.0), Ok(()));
    assert_eq!(join(&mut keys, 2, 1, OriginalState::InFlight), JoinOutcome::Waits);
    keys.retain(key(), attempt(3, 8, 250.0));
    assert_eq!(start(&mut keys, &key(), 3, 150.0), Ok(()));
    assert_eq!(join(&mut keys, 4, 3, OriginalState::InFlight), JoinOutcome::Waits);
    assert_eq!(
        keys.finish(&key(), 1, AttemptEnd::Ran(done(5))),
        finished(&[2], false),
        "only the duplicates of the first attempt are returned"
    );
    assert_eq!(join(&mut keys, 5, 1, OriginalState::Ended), JoinOutcome::Finished(AttemptResult::Failed));
    assert_eq!(keys.finish(&key(), 3, AttemptEnd::Ran(done(6))), finished(&[4], false));
    assert_eq!(join(&mut keys, 6, 3, OriginalState::Ended), JoinOutcome::Finished(done(6)));
    assert_eq!(keys.size(), (1, 6));
}

/// A later attempt that is rejected without having run must not stand for the key.
#[test]
fn removed_queued_attempt_has_no_duplicates() {
    let mut keys = KeyTable::new(1000.0);
    assert_eq!(start(&mut keys, &key(), 1, 0.0), Ok(()));
    keys.retain(key(), attempt(2, 7, 250.0));
    assert_eq!(keys.original_of(&key(), 150.0), Some(2));
    keys.remove_queued(&key(), 2);
    assert_eq!(keys.original_of(&key(), 150.0), None);
    assert_eq!(keys.original_of(&key(), 99.0), Some(1), "the window of the attempt that ran is still open");
}

#[test]
fn allows_run_after_attempt_that_never_ran() {
    let mut keys = KeyTable::new(1000.0);
    keys.retain(key(), attempt(1, 7, 100.0));
    assert_eq!(start(&mut keys, &key(), 1, 0.0), Ok(()));
    assert_eq!(join(&mut keys, 2, 1, OriginalState::InFlight), JoinOutcome::Waits);
    assert_eq!(keys.finish(&key(), 1, AttemptEnd::NeverRan), finished(&[2], false));
    assert_eq!(start(&mut keys, &key(), 3, 50.0), Ok(()));
}
