//! Locking of mutexes whose data stays usable after a thread panicked while holding the lock.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, poisoned or not. The guarded data is counts and switches, which are consistent after each
/// statement.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
