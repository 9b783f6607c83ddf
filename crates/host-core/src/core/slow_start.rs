//! The settings of slow start, as the scheduler gets them.

use tackmast::interface::{SlowStartSettings, TimeDelta};
use tackmast_config::SlowStartBlock;

/// The fraction of the configured safe units that the scheduler gets.
///
/// Operators may state the safe units and the overload multiple without any margin, and their sum then overloads a node in slow start
/// while its answers are quick errors. The scheduler keeps a margin of its own (`src/policy/slow_start.rs`: 0.3 of the safe units at
/// once, 0.1 in each window, 0.6 of the multiple); these two fractions are a second margin on top of it. The platform's host, whose
/// settings have a margin, passes them on as they are.
const SAFE_UNITS_FRACTION: f64 = 0.4;
/// The fraction of the configured overload multiple that the scheduler gets; see `SAFE_UNITS_FRACTION`.
const OVERLOAD_MULTIPLE_FRACTION: f64 = 0.6;
/// The lowest factor on both, for an overload multiple that is close to 1.
const MIN_SPARE_FRACTION: f64 = 0.05;

/// Settings for the scheduler. What a node was seen to do gives capacity as well, up to all that it can do in a window; so safe units and
/// multiple share only what the multiple leaves beyond that.
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
