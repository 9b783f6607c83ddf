//! Conversion of the slow-start settings for the scheduler.

use tackmast::interface::{SlowStartSettings, TimeDelta};
use tackmast_config::SlowStartBlock;

/// The fraction of the configured safe units that is passed to the scheduler.
///
/// Operators may state the safe units and the overload multiple without any margin. Their sum would then overload a node in slow
/// start while its answers are quick errors. The scheduler has a margin of its own (`src/policy/slow_start.rs`: 0.3 of the safe units
/// at once, 0.1 in each window, 0.6 of the multiple); the fractions here are a second margin on top of it. The platform host, whose
/// settings include a margin, passes them on unchanged.
const SAFE_UNITS_FRACTION: f64 = 0.4;
/// The fraction of the configured overload multiple that is passed to the scheduler; see `SAFE_UNITS_FRACTION`.
const OVERLOAD_MULTIPLE_FRACTION: f64 = 0.6;
/// The lower bound of the factor on both settings, for an overload multiple close to 1.
const MIN_SPARE_FRACTION: f64 = 0.05;

/// Converts the slow-start settings for the scheduler.
///
/// The service that a node has shown gives it capacity as well, up to all that it can do in a window. The safe units and the overload
/// multiple therefore share only the part of the multiple that exceeds this.
pub(super) fn slow_start_settings(block: &SlowStartBlock) -> SlowStartSettings {
    let spare = ((block.multiple - 1.0) / block.multiple).clamp(MIN_SPARE_FRACTION, 1.0);
    SlowStartSettings {
        safe_units: block.safe_units * SAFE_UNITS_FRACTION * spare,
        initial_capacity: block.from,
        duration: TimeDelta::from_secs(block.ramp_s),
        window: TimeDelta::from_secs(block.window_s),
        overload_multiple: block.multiple * OVERLOAD_MULTIPLE_FRACTION * spare,
    }
}
