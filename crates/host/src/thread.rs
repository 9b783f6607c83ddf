//! Threads of the host, with a small stack: a host of many sessions and nodes has two for each connection.

use crate::StartError;
use std::thread::JoinHandle;

/// Stack of each thread, in bytes.
const STACK_BYTES: usize = 128 << 10;

/// Starts a thread; an error where the system has none left.
pub(crate) fn spawn(name: String, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StartError> {
    let builder = std::thread::Builder::new().name(name.clone()).stack_size(STACK_BYTES);
    builder.spawn(run).map_err(|error| StartError::Thread { name, error })
}

/// How the threads of sessions are started: `spawn`, or in tests one that fails.
pub(crate) type Spawn = fn(String, Box<dyn FnOnce() + Send>) -> Result<JoinHandle<()>, StartError>;
