//! What is known of a volume.

use super::{Bucket, LimitShare, Shard};
use crate::interface::*;
use std::collections::{BTreeMap, HashMap};

/// A volume whose requests came through this host lately.
pub struct Volume {
    /// When a request of it last arrived.
    pub last_request_at: Instant,
    /// Its plan at the moment.
    pub plan: PlanId,
    /// Hosts among which its rates are shared.
    pub hosts: f64,
    /// Units that count against its plan's limit.
    pub limit: Bucket,
    /// Units that count against its plan's reservation.
    pub reserve: Bucket,
    /// From reports of nodes.
    pub limit_share: LimitShare,
    /// Shares that hosts lend each other.
    pub leases: QuotaLeases,
}

impl Volume {
    /// One that starts with so many units charged to its limit.
    pub fn new(now: Instant, plan: PlanId, hosts: f64, charged: f64) -> Self {
        Volume {
            last_request_at: now,
            plan,
            hosts,
            limit: Bucket { level: charged, updated_at: now },
            reserve: Bucket { level: 0.0, updated_at: now },
            limit_share: LimitShare::new(now, hosts),
            leases: QuotaLeases { lent: 0.0, borrowed: 0.0, until: now },
        }
    }

    /// Counts units that are sent against the limit, once for each request, and against the reservation.
    pub fn charge(&mut self, units: f64, is_charged: bool, is_reserved: bool) {
        if !is_charged {
            self.limit.level += units;
        }
        if is_reserved {
            self.reserve.level += units;
        }
    }
}

/// Drops volumes of which nothing came since, and their start tags.
pub fn forget_idle_volumes(
    volumes: &mut HashMap<VolumeId, Volume>,
    shards: &mut BTreeMap<ShardId, Shard>,
    since: Instant,
) {
    volumes.retain(|_, volume| volume.last_request_at >= since || volume.leases.until >= since);
    shards.values_mut().for_each(|shard| shard.start_tags.retain(|id, _| volumes.contains_key(id)));
}
