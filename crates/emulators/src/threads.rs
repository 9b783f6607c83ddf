//! Locks and threads of the emulators.

use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Stack of a thread, in bytes. A scenario has thousands of threads.
const STACK_BYTES: usize = 128 << 10;

/// Locks a mutex, also after a thread has panicked with it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a thread with a small stack.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    spawn_with_stack(name, STACK_BYTES, run)
}

/// Runs a thread with a stack of so many bytes.
pub(crate) fn spawn_with_stack(
    name: &str,
    stack_bytes: usize,
    run: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(stack_bytes).spawn(run).map(|_| ())
}
