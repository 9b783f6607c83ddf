//! A volume whose requests came through this host lately.

use crate::interface::{Instant, PlanId};
use crate::policy::volume_limit::VolumeLimit;

/// What is known of a volume.
pub struct Volume {
    /// When a request of it last arrived.
    pub last_request_at: Instant,
    /// Its plan at the moment.
    pub plan: PlanId,
    /// What it has used of its plan's limit and reservation.
    pub limit: VolumeLimit,
}

impl Volume {
    /// Whether it has been in use since then, by requests or by quota leases.
    pub fn in_use_since(&self, since: Instant) -> bool {
        self.last_request_at >= since || self.limit.leased_until() >= since
    }
}
