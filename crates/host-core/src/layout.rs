//! Where a command's blocks lie: which extents it touches, the shard and the order key of each, its traffic class
//! and its units.

use tackmast::interface::{KeyId, ShardId};
use tackmast_config::{HostSettings, Volume};

/// The blocks of a command that lie in one extent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The first block.
    pub block: u64,
    /// How many.
    pub blocks: u32,
    /// The shard that has the extent.
    pub shard: ShardId,
    /// What is read or written, for the order of requests; never 0.
    pub key: u64,
    /// What it costs, in units.
    pub units: f64,
}

/// Which way a command goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// From the volume.
    Read,
    /// To the volume.
    Write,
}

/// The volumes of a host, and how their blocks are spread over shards.
#[derive(Debug, Default)]
pub struct Layout {
    volumes: Vec<Volume>,
    granules: Vec<Vec<Option<u64>>>, // by volume and traffic class: blocks that share an order key
    unit_bytes: f64,
    max_units: f64,
    max_parts: usize,
    command_bytes: u32,
}

impl Layout {
    /// The volumes of these settings.
    pub fn new(s: &HostSettings) -> Self {
        let granules = s.volumes.iter().map(|v| {
            let order = |st: &tackmast_config::TrafficClass| {
                st.in_order.then(|| st.order_blocks.unwrap_or(v.extent_blocks).min(v.extent_blocks))
            };
            s.traffic_classes.iter().map(order).collect()
        });
        Layout {
            granules: granules.collect(),
            volumes: s.volumes.clone(),
            unit_bytes: f64::from(s.units.bytes),
            max_units: s.units.max_per_request,
            max_parts: s.bounds.parts,
            command_bytes: s.bounds.command_bytes,
        }
    }

    /// The volume of a LUN.
    pub fn volume_of(&self, lun: u32) -> Option<usize> {
        self.volumes.iter().position(|v| v.lun == lun)
    }

    /// The volume of a name.
    pub fn volume_named(&self, name: &str) -> Option<usize> {
        self.volumes.iter().position(|v| v.name == name)
    }

    /// Puts a volume under a plan, by the scheduler's number of it.
    pub fn set_plan(&mut self, volume: usize, plan: u32) {
        self.volumes[volume].plan = plan;
    }

    /// All volumes, by their number.
    pub fn volumes(&self) -> &[Volume] {
        &self.volumes
    }

    /// One volume.
    pub fn volume(&self, volume: usize) -> &Volume {
        &self.volumes[volume]
    }

    /// The traffic class of a command on so many blocks.
    pub fn traffic_class(&self, volume: usize, access: Access, blocks: u32) -> usize {
        let v = &self.volumes[volume];
        let read = v.large.filter(|l| blocks >= l.min_blocks).map_or(v.reads, |l| l.traffic_class);
        match access {
            Access::Write => v.writes as usize,
            Access::Read => read as usize,
        }
    }

    /// Blocks of one command, at most: wherever it begins, it touches no more parts than the bound.
    pub fn max_blocks(&self, volume: usize) -> u32 {
        let v = &self.volumes[volume];
        let least =
            self.granules[volume].iter().flatten().copied().chain([v.extent_blocks]).min().unwrap_or(1);
        let by_parts = least.saturating_mul(self.max_parts as u64 - 1).max(1);
        let by_bytes = u64::from(self.command_bytes / v.block_bytes).max(1);
        u32::try_from(by_parts.min(by_bytes)).unwrap_or(u32::MAX)
    }

    /// The parts of a command, in the order of its blocks.
    pub fn parts(&self, volume: usize, traffic_class: usize, block: u64, blocks: u32) -> Vec<Part> {
        let v = &self.volumes[volume];
        let granule = self.granules[volume][traffic_class];
        let mut parts = Vec::new();
        let (mut at, end) = (block, block + u64::from(blocks));
        while at < end {
            let extent = at / v.extent_blocks;
            let in_extent = at - extent * v.extent_blocks;
            let mut until = (extent + 1) * v.extent_blocks;
            if let Some(g) = granule {
                until = until.min(extent * v.extent_blocks + (in_extent / g + 1) * g);
            }
            let until = until.min(end);
            let blocks = (until - at) as u32;
            // Ordered requests share a key within a granule; others are known by where they begin.
            let first = granule.map_or(at, |g| extent * v.extent_blocks + in_extent / g * g);
            let bytes = f64::from(blocks) * f64::from(v.block_bytes);
            parts.push(Part {
                block: at,
                blocks,
                shard: ShardId(v.shards[(extent % v.shards.len() as u64) as usize]),
                key: (u64::from(v.lun) + 1) << 48 ^ first,
                units: (bytes / self.unit_bytes).ceil().clamp(1.0, self.max_units),
            });
            at = until;
        }
        parts
    }
}

/// The scheduler knows keys by small numbers. Two that share one wait for each other: that costs a little
/// time, and never order; nothing has to be remembered for as long as a key rests.
pub(crate) fn key_id(key: u64) -> KeyId {
    let mixed = (key ^ key >> 32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    KeyId((mixed >> 32) as u32)
}

#[cfg(test)]
mod tests;
