//! The clock of a trace.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds of Unix time, monotonic within this process: lines of one trace must not run backwards.
pub fn now_us() -> u64 {
    static START: OnceLock<(Instant, u64)> = OnceLock::new();
    let (start, unix) = START.get_or_init(|| {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), unix.as_micros() as u64)
    });
    unix + start.elapsed().as_micros() as u64
}
