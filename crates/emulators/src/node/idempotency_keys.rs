//! Which repeats of a request the nodes of a group discard.

use crate::threads::lock;
use std::collections::HashMap;
use std::sync::Mutex;

/// How many keys are kept before the old ones are forgotten.
const MAX_KEYS: usize = 100_000;

/// The idempotency keys that the nodes of one group know, with the time of their run in microseconds.
#[derive(Default)]
pub struct IdempotencyKeys(Mutex<HashMap<u128, u64>>);

impl IdempotencyKeys {
    /// Notes a run. Returns whether it is the first of its key within the window.
    pub(super) fn insert(&self, now_us: u64, key: u128, window_us: u64) -> bool {
        let mut known = lock(&self.0);
        if known.get(&key).is_some_and(|run_us| *run_us + window_us > now_us) {
            return false;
        }
        known.insert(key, now_us);
        if known.len() > MAX_KEYS {
            known.retain(|_, run_us| *run_us + window_us > now_us);
        }
        true
    }
}
