//! Threads of the library, with a small stack: a client of many sessions has two for each.

use std::io;

/// Stack of each thread, in bytes.
const STACK_BYTES: usize = 128 << 10;

/// Starts a thread; an error where the system has none left.
pub(crate) fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = std::thread::Builder::new().name(name.into()).stack_size(STACK_BYTES);
    builder.spawn(run).map(|_| ())
}

/// How the threads of a connection are started: `spawn`, or in tests one that fails.
pub(crate) type Spawn = fn(&str, Box<dyn FnOnce() + Send>) -> io::Result<()>;
