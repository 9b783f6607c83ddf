//! Locks that stay usable after a panic in another thread.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks the mutex. A panic in a thread of the scenario must not hide what the other threads have observed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
