//! The clock of the library, which measures the time since the client was opened.

use tackmast::interface::Instant;

/// A monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(std::time::Instant);

impl Clock {
    /// Creates a clock that starts now.
    pub(crate) fn start() -> Clock {
        Clock(std::time::Instant::now())
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Instant {
        Instant::from_secs(self.0.elapsed().as_secs_f64())
    }
}
