//! The library's clock: the time since the client was opened.

use tackmast::interface::Instant;

/// A monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(std::time::Instant);

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Clock {
        Clock(std::time::Instant::now())
    }

    /// The time since the start.
    pub(crate) fn now(&self) -> Instant {
        Instant::from_secs(self.0.elapsed().as_secs_f64())
    }
}
