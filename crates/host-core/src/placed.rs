//! Requests that arrive already placed: their client names volume, plan, traffic class, shard and key, and the host only
//! decides when and whether they leave. What they ask of the node is opaque here.

use bytes::Bytes;
use std::collections::HashMap;
use tackmast::interface::{Instant, PlanId, ShardId, TimeDelta, TrafficClassId};
use tackmast_config::TrafficClass;

/// What is written to a node: the protocol's own, but for the time left, which each attempt adds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpaqueRequest {
    pub head: Bytes,
    pub body: Bytes,
}

impl OpaqueRequest {
    pub fn bytes(&self) -> usize {
        self.head.len() + self.body.len()
    }
}

#[derive(Clone, Debug)]
pub struct PlacedRequest {
    pub volume: u64,
    pub plan: PlanId,
    pub traffic_class: TrafficClassId,
    /// None: a new object, for any node.
    pub shard: Option<ShardId>,
    pub key: u64,
    pub units: f64,
    /// Through how many hosts the volume's requests come.
    pub hosts: u32,
    pub left: TimeDelta,
    pub request: OpaqueRequest,
}

/// What a core is told that has no volumes of its own.
#[derive(Clone, Debug)]
pub struct PlacedSettings {
    pub traffic_classes: Vec<TrafficClass>,
    pub reports_service: bool,
    pub longest_wait: TimeDelta,
    /// Of a node that drains.
    pub grace: TimeDelta,
    pub requests: usize,
    pub bytes: usize,
    pub nodes: usize,
    pub volumes: usize,
}

/// Clients' names of volumes, as the small numbers by which the module knows them.
#[derive(Debug, Default)]
pub struct VolumeNames {
    numbers: HashMap<u64, (usize, Instant)>,
    next: usize,
    most: usize,
}

impl VolumeNames {
    pub fn new(most: usize) -> Self {
        VolumeNames { most, ..VolumeNames::default() }
    }

    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// The volume's number. In a full table the one that was used longest ago gives way, unless it is in use: then
    /// there is none. A number never passes to another volume, so nothing learned of one is held against it.
    pub fn number(&mut self, now: Instant, name: u64, in_use: impl Fn(usize) -> bool) -> Option<usize> {
        if let Some((number, used)) = self.numbers.get_mut(&name) {
            *used = now;
            return Some(*number);
        }
        if self.numbers.len() >= self.most {
            let oldest = self.numbers.iter().min_by_key(|(name, (_, used))| (*used, **name));
            let (old, (number, _)) = oldest.map(|(name, n)| (*name, *n))?;
            if in_use(number) {
                return None;
            }
            self.numbers.remove(&old);
        }
        let number = self.next;
        self.next += 1;
        self.numbers.insert(name, (number, now));
        Some(number)
    }
}

#[cfg(test)]
mod tests;
