//! Locks whose data stays usable when a thread that held them has panicked.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, poisoned or not: what it guards is counts and switches, which are sound after each statement.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
