//! Mutexes that ignore poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. If an earlier holder panicked, the data is used as that holder left it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
