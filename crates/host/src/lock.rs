//! Locks whose holder may have panicked: the data is used as it is.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks; a panic of an earlier holder is ignored.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
