//! Tests of one or a few replicas with manually driven inputs.

mod group;
mod lease;
mod raft_node;

use tackmast::interface::{Instant, TimeDelta};
use tackmast_consensus::*;

fn settings() -> RaftSettings {
    RaftSettings {
        heartbeat_interval: TimeDelta::from_secs(0.05),
        election_timeout: TimeDelta::from_secs(0.3),
        lease_duration: TimeDelta::from_secs(1.0),
        max_clock_drift: 0.01,
        host_count: 5,
        snapshot_after_entries: 1_000,
        snapshot_after_bytes: 1 << 20,
    }
}

fn at(seconds: f64) -> Instant {
    Instant::from_secs(100.0 + seconds)
}

fn identity(host: u32, generation: u64) -> DiskIdentity {
    DiskIdentity { disk: u64::from(host) + 100, boot: generation as u32, generation }
}

fn voters(count: u32) -> Voters {
    (0..count).map(|host| (host, identity(host, 1).disk)).collect()
}
