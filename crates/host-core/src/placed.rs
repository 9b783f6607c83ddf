//! Requests that arrive already placed: their client names volume, plan, traffic class, shard and key, and the host only decides
//! whether and when they are sent. What they make the node do is opaque here.

use bytes::Bytes;
use std::collections::HashMap;
use tackmast::interface::{Instant, PlanId, ShardId, TimeDelta, TrafficClassId};
use tackmast_config::TrafficClass;

/// What is written to a node, in the protocol's own bytes. Each attempt adds the time that is left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpaqueRequest {
    /// What precedes the body.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

impl OpaqueRequest {
    /// The length of both, in bytes.
    pub fn bytes(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

/// A request as its client placed it.
#[derive(Clone, Debug)]
pub struct PlacedRequest {
    /// The client's name of the volume.
    pub volume: u64,
    /// The plan that it is under.
    pub plan: PlanId,
    /// Its traffic class.
    pub traffic_class: TrafficClassId,
    /// None: a new object, for any node.
    pub shard: Option<ShardId>,
    /// Orders requests that share it.
    pub key: u64,
    /// What it costs, in units.
    pub units: f64,
    /// Through how many hosts the volume's requests come.
    pub hosts: u32,
    /// How long its client waits from now on.
    pub left: TimeDelta,
    /// What is written to the node.
    pub request: OpaqueRequest,
}

/// The settings of a core without volumes of its own.
#[derive(Clone, Debug)]
pub struct PlacedSettings {
    /// The traffic classes.
    pub traffic_classes: Vec<TrafficClass>,
    /// Whether nodes report what they served through other hosts.
    pub reports_service: bool,
    /// The longest wait that a rejected client is advised.
    pub longest_wait: TimeDelta,
    /// How long a node that drains is waited for.
    pub grace: TimeDelta,
    /// Requests that may be open.
    pub requests: usize,
    /// Bytes that they may hold.
    pub bytes: usize,
    /// Nodes that may be known.
    pub nodes: usize,
    /// Volumes that may be known.
    pub volumes: usize,
}

/// The number of a volume, and when it was last asked for.
#[derive(Clone, Copy, Debug)]
struct NumberedVolume {
    number: usize,
    last_used: Instant,
}

/// Clients' names of volumes, as the small numbers by which the scheduler knows them.
#[derive(Debug, Default)]
pub(crate) struct VolumeNames {
    volumes: HashMap<u64, NumberedVolume>,
    next_number: usize,
    max_volumes: usize,
}

impl VolumeNames {
    /// A table of at most so many volumes.
    pub(crate) fn new(max_volumes: usize) -> Self {
        VolumeNames { max_volumes, ..VolumeNames::default() }
    }

    /// The volume's number; none: the table is full of volumes that are in use.
    ///
    /// A client that names a new volume in each request would grow this table without bound, which shows as rising memory. So in a
    /// full table the volume that was used longest ago is evicted, unless it is in use. A number never passes to another volume:
    /// else what the scheduler has learned of one volume would be applied to another.
    pub(crate) fn number(
        &mut self,
        now: Instant,
        name: u64,
        is_in_use: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if let Some(volume) = self.volumes.get_mut(&name) {
            volume.last_used = now;
            return Some(volume.number);
        }
        if self.volumes.len() >= self.max_volumes {
            let by_last_use = |(name, volume): &(&u64, &NumberedVolume)| (volume.last_used, **name);
            let (oldest, volume) = self.volumes.iter().min_by_key(by_last_use)?;
            if is_in_use(volume.number) {
                return None;
            }
            let oldest = *oldest;
            self.volumes.remove(&oldest);
        }
        let number = self.next_number;
        self.next_number += 1;
        self.volumes.insert(name, NumberedVolume { number, last_used: now });
        Some(number)
    }
}

#[cfg(test)]
mod tests;
