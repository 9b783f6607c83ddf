//! Times and durations as the commands print them.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A duration in whole seconds, such as `3m 20s`.
pub(crate) fn duration(seconds: f64) -> String {
    humantime::format_duration(Duration::from_secs(seconds.max(0.0).round() as u64)).to_string()
}

/// A moment in microseconds of Unix time, as RFC 3339 with whole seconds.
pub(crate) fn timestamp(us: u64) -> String {
    let time = UNIX_EPOCH.checked_add(Duration::from_micros(us)).unwrap_or(SystemTime::UNIX_EPOCH);
    humantime::format_rfc3339_seconds(time).to_string()
}
