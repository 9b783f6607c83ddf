//! Threads with a small stack: a host needs two for each connection, and has many sessions and nodes.

use crate::StartError;
use std::thread::JoinHandle;

/// Stack size of each thread, in bytes.
const STACK_BYTES: usize = 128 << 10;

/// Starts a thread. Fails if the operating system can't create one.
pub(crate) fn spawn(name: String, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, StartError> {
    let builder = std::thread::Builder::new().name(name.clone()).stack_size(STACK_BYTES);
    builder.spawn(run).map_err(|error| StartError::Thread { name, error })
}

/// Function that starts the threads of sessions: [`spawn`], or in tests one that fails.
pub(crate) type Spawn = fn(String, Box<dyn FnOnce() + Send>) -> Result<JoinHandle<()>, StartError>;
