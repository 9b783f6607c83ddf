//! Work on several threads.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

/// Threads at most, whatever the arguments say.
const MAX_THREADS: usize = 64;

/// A result with the position of its item.
struct Finished<R> {
    position: usize,
    result: R,
}

/// Runs a function on all items, on so many threads; returns the results in the order of the items.
pub(crate) fn map<T: Sync, R: Send>(items: &[T], threads: usize, run: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let finished: Mutex<Vec<Finished<R>>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            scope.spawn(|| loop {
                let position = next.fetch_add(1, Ordering::Relaxed);
                let Some(item) = items.get(position) else { return };
                let result = run(item);
                finished.lock().unwrap_or_else(PoisonError::into_inner).push(Finished { position, result });
            });
        }
    });
    let mut finished = finished.into_inner().unwrap_or_else(PoisonError::into_inner);
    finished.sort_by_key(|finished| finished.position);
    finished.into_iter().map(|finished| finished.result).collect()
}
