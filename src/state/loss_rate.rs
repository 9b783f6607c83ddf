//! How many attempts get lost between hosts and nodes.

/// Lost attempts against answered ones, halved now and then.
#[derive(Default)]
pub struct LossRate {
    /// Attempts that were lost.
    pub lost: f64,
    /// Attempts that were answered.
    pub answered: f64,
    /// Whether attempts get lost at the moment.
    pub is_lossy: bool,
}

/// From when on attempts count as getting lost.
pub struct LossThreshold {
    /// Attempts after which the counts are halved.
    pub window: f64,
    /// Lost attempts, at least.
    pub min_lost: f64,
    /// Fraction of attempts that are lost.
    pub fraction: f64,
}

impl LossRate {
    /// Counts an attempt; gives the new mode where it changes.
    pub fn record(&mut self, is_lost: bool, is_answered: bool, threshold: &LossThreshold) -> Option<bool> {
        self.lost += f64::from(u8::from(is_lost));
        self.answered += f64::from(u8::from(is_answered));
        if self.lost + self.answered >= threshold.window {
            (self.lost, self.answered) = (self.lost / 2.0, self.answered / 2.0);
        }
        let is_lossy =
            self.lost >= threshold.min_lost && self.lost > threshold.fraction * (self.lost + self.answered);
        (is_lossy != std::mem::replace(&mut self.is_lossy, is_lossy)).then_some(is_lossy)
    }
}
