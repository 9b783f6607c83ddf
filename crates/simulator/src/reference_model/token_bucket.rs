//! A token bucket.

use tackmast::interface::Instant;

/// A token bucket that refills at a rate up to its burst. Tokens are units.
pub(super) struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket. `rate` is in units a second.
    pub(super) fn full(now: Instant, rate: f64, burst: f64) -> TokenBucket {
        TokenBucket { rate, burst, tokens: burst, refilled_at: now }
    }

    /// Takes units. False: the bucket has too few, and keeps them.
    pub(super) fn take(&mut self, now: Instant, units: f64) -> bool {
        self.tokens = (self.tokens + self.rate * (now - self.refilled_at).secs()).min(self.burst);
        self.refilled_at = now;
        if self.tokens < units {
            return false;
        }
        self.tokens -= units;
        true
    }
}
