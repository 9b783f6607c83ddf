//! Requests that arrive already placed: their client names volume, plan, traffic class, shard and key, and the host only
//! decides when and whether they leave. What they make the node do is opaque here.

use bytes::Bytes;
use std::collections::HashMap;
use tackmast::interface::{Instant, PlanId, ShardId, TimeDelta, TrafficClassId};
use tackmast_config::TrafficClass;

/// What is written to a node: the protocol's own, but for the time left, which each attempt adds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OpaqueRequest {
    /// What precedes the body.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

impl OpaqueRequest {
    /// Length of both.
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
    /// Of a node that drains.
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

/// Clients' names of volumes, as the small numbers by which the scheduler knows them.
#[derive(Debug, Default)]
pub struct VolumeNames {
    numbers: HashMap<u64, (usize, Instant)>,
    next: usize,
    most: usize,
}

impl VolumeNames {
    /// A table of at most so many volumes.
    pub fn new(most: usize) -> Self {
        VolumeNames { most, ..VolumeNames::default() }
    }

    /// Volumes that are known.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Whether none is known.
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
