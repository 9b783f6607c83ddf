//! What the scheduler is told of nodes that have just started.

use tackmast_config::ColdNodes;

/// Parts of the stated figures of cold nodes that the module is told. Within one window its guard lets out its part of
/// the safe units at once, a quarter of them again by time, and four fifths of the multiple for what it saw a node do:
/// 1.25 and 0.8 of the two figures. Where operators state figures without any margin, the two together would push a
/// cold node over while its answers are quick errors (found by the laboratory); 1.25 x 0.4 + 0.8 x 0.6 can't.
const SLOW_START_SAFE_SHARE: f64 = 0.4;
const SLOW_START_MULTIPLE_SHARE: f64 = 0.6;
/// The least of these parts that is told, where nodes are said to bear hardly more than they can do.
const SLOW_START_MIN_SHARE: f64 = 0.05;

/// Safe units and multiple as the module is told of them. What a node has done makes room as well, up to all that it can
/// do in the window; so burst and time share only what the multiple leaves beyond that.
pub(super) fn slow_start_figures(c: &ColdNodes) -> (f64, f64) {
    let spare = ((c.multiple - 1.0) / c.multiple).clamp(SLOW_START_MIN_SHARE, 1.0);
    (c.safe_units * SLOW_START_SAFE_SHARE * spare, c.multiple * SLOW_START_MULTIPLE_SHARE * spare)
}
