//! Pauses before retries and connects: they grow, and clients that met one fault together do not come back together.

use tackmast::interface::TimeDelta;

/// The first pause before a connect, in seconds; it doubles with each failure.
const FIRST_CONNECT_BACKOFF_SECS: f64 = 0.05;
/// Doublings after which the pause does not grow further, so that it stays a finite number.
const MAX_DOUBLINGS: u32 = 16;
/// By how much jitter lengthens a pause at most, as a fraction of the pause.
const MAX_JITTER: f64 = 0.5;

/// Random lengthening of pauses. Clients that were rejected at one moment would otherwise return at one moment.
#[derive(Debug)]
pub(super) struct Jitter(oorandom::Rand32);

impl Jitter {
    /// The same `seed` yields the same pauses.
    pub(super) fn new(seed: u64) -> Self {
        Jitter(oorandom::Rand32::new(seed))
    }

    /// The pause, or up to half as long again. A pause that the gateway asked for is never shortened.
    pub(super) fn lengthen(&mut self, pause: TimeDelta) -> TimeDelta {
        TimeDelta::from_secs(pause.secs() * (1.0 + MAX_JITTER * f64::from(self.0.rand_float())))
    }
}

/// The pause before a connect, without jitter, after so many failures in a row. With jitter it is at most `max_backoff`.
pub(super) fn connect_backoff(failures: u32, max_backoff: TimeDelta) -> TimeDelta {
    let secs = FIRST_CONNECT_BACKOFF_SECS * 2f64.powi(failures.min(MAX_DOUBLINGS) as i32);
    TimeDelta::from_secs(secs.min(max_backoff.secs()) / (1.0 + MAX_JITTER))
}
