//! What the scheduler is told of nodes that have just started.

use tackmast_config::SlowStartBlock;

/// Shares of the configured figures of nodes in slow start that the scheduler gets. Within one window its guard lets out its part of
/// the safe units at once, a quarter of them again by time, and four fifths of the multiple for what it saw a node do:
/// 1.25 and 0.8 of the two figures. Where operators state figures without any margin, the two together would push a
/// cold node over while its answers are quick errors (found in simulation); 1.25 x 0.4 + 0.8 x 0.6 can't.
const SLOW_START_SAFE_SHARE: f64 = 0.4;
const SLOW_START_MULTIPLE_SHARE: f64 = 0.6;
/// The lowest of these shares, where the configured overload multiple is close to 1.
const SLOW_START_MIN_SHARE: f64 = 0.05;

/// Safe units and overload multiple for the scheduler. What a node has done makes room as well, up to all that it can
/// do in the window; so burst and time share only what the multiple leaves beyond that.
pub(super) fn slow_start_figures(c: &SlowStartBlock) -> (f64, f64) {
    let spare = ((c.multiple - 1.0) / c.multiple).clamp(SLOW_START_MIN_SHARE, 1.0);
    (c.safe_units * SLOW_START_SAFE_SHARE * spare, c.multiple * SLOW_START_MULTIPLE_SHARE * spare)
}
