//! Exponential backoff and jitter. Jitter keeps clients that met the same fault from returning at the same moment.

use tackmast::interface::TimeDelta;

/// Initial backoff between connects, in seconds. It doubles with each failure.
const FIRST_CONNECT_BACKOFF_SECS: f64 = 0.05;
/// Number of doublings after which the backoff stops growing, so that it stays finite.
const MAX_DOUBLINGS: u32 = 16;
/// Largest jitter, as a fraction of the backoff that it lengthens.
const MAX_JITTER: f64 = 0.5;

/// Lengthens backoffs at random. Without it, clients that were rejected at the same moment would return at the same moment.
#[derive(Debug)]
pub(super) struct Jitter(oorandom::Rand32);

impl Jitter {
    /// Creates a source of jitter. The same `seed` yields the same sequence.
    pub(super) fn new(seed: u64) -> Self {
        Jitter(oorandom::Rand32::new(seed))
    }

    /// Returns `pause`, lengthened by up to half. A delay that the gateway asked for is never shortened.
    pub(super) fn lengthen(&mut self, pause: TimeDelta) -> TimeDelta {
        TimeDelta::from_secs(pause.secs() * (1.0 + MAX_JITTER * f64::from(self.0.rand_float())))
    }
}

/// Returns the backoff before a connect after `failures` consecutive failures, without jitter. With jitter it is at most
/// `max_backoff`.
pub(super) fn connect_backoff(failures: u32, max_backoff: TimeDelta) -> TimeDelta {
    let secs = FIRST_CONNECT_BACKOFF_SECS * 2f64.powi(failures.min(MAX_DOUBLINGS) as i32);
    TimeDelta::from_secs(secs.min(max_backoff.secs()) / (1.0 + MAX_JITTER))
}
