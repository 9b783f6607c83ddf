//! Starts the threads of the library. Their stacks are small, since a client has two threads for each session.

use std::io;

/// Stack size of each thread in bytes.
const STACK_BYTES: usize = 128 << 10;

/// Starts a thread. Returns an error if the system can't start one.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES);
    builder.spawn(run).map(|_| ())
}

/// A function that starts the threads of a connection: `spawn`, or one that fails in tests.
pub(crate) type Spawn = fn(&str, Box<dyn FnOnce() + Send>) -> io::Result<()>;
