//! A volume with recent requests or quota leases at this host.

use crate::interface::{Instant, PlanId};
use crate::policy::volume_limit::VolumeLimit;

/// A volume, as this host knows it.
pub struct Volume {
    /// When a request of the volume last arrived; the time of its first quota lease if none has.
    pub last_request_at: Instant,
    /// Plan that the volume is under now.
    pub plan: PlanId,
    /// Use of the plan's limit and reservation at this host.
    pub limit: VolumeLimit,
}

impl Volume {
    /// Returns whether a request has arrived, or a quota lease was valid, at or after `since`.
    pub fn in_use_since(&self, since: Instant) -> bool {
        self.last_request_at >= since || self.limit.leased_until() >= since
    }
}
