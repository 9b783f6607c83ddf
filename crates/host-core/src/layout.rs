//! Mapping of block commands: the extents that a command touches, the shard, order key and cost of each part, and its traffic class.

use tackmast::interface::{KeyId, ShardId};
use tackmast_config::{HostSettings, TrafficClass, Volume};

/// The number of low bits of an order key that hold a block address. The bits above them hold the LUN plus one.
const KEY_BLOCK_BITS: u32 = 48;
/// The multiplier of the order-key hash, which is 2^64 divided by the golden ratio.
const KEY_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The part of a command that lies in one extent, and in one order granule if its traffic class is ordered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// The first block.
    pub block: u64,
    /// The number of blocks.
    pub blocks: u32,
    /// The shard that stores the extent.
    pub shard: ShardId,
    /// The order key; never 0.
    pub key: u64,
    /// The cost, in units.
    pub units: f64,
}

/// Whether a command reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// The command reads from the volume.
    Read,
    /// The command writes to the volume.
    Write,
}

/// The volumes of a host, and how their blocks are spread over shards.
#[derive(Debug, Default)]
pub struct Layout {
    volumes: Vec<Volume>,
    /// The number of blocks that share an order key, by volume and traffic class; `None` if the class is unordered.
    granules: Vec<Vec<Option<u64>>>,
    unit_bytes: f64,
    max_units: f64,
    max_parts: usize,
    command_bytes: u32,
}

impl Layout {
    /// Creates the mapping for the volumes of these settings.
    pub fn new(settings: &HostSettings) -> Self {
        let granules = settings.volumes.iter().map(|volume| {
            let extent_blocks = volume.extent_blocks;
            let granule = |class: &TrafficClass| {
                class.in_order.then(|| class.order_blocks.unwrap_or(extent_blocks).min(extent_blocks))
            };
            settings.traffic_classes.iter().map(granule).collect()
        });
        Layout {
            granules: granules.collect(),
            volumes: settings.volumes.clone(),
            unit_bytes: f64::from(settings.units.bytes),
            max_units: settings.units.max_per_request,
            max_parts: settings.bounds.parts,
            command_bytes: settings.bounds.command_bytes,
        }
    }

    /// Returns the index of the volume with this LUN.
    pub fn volume_by_lun(&self, lun: u32) -> Option<usize> {
        self.volumes.iter().position(|volume| volume.lun == lun)
    }

    /// Returns the index of the volume with this name.
    pub fn volume_by_name(&self, name: &str) -> Option<usize> {
        self.volumes.iter().position(|volume| volume.name == name)
    }

    /// Assigns a volume to a plan, given by its number in the scheduler.
    pub fn set_plan(&mut self, volume: usize, plan: u32) {
        self.volumes[volume].plan = plan;
    }

    /// Returns all volumes, ordered by index.
    pub fn volumes(&self) -> &[Volume] {
        &self.volumes
    }

    /// Returns the volume with this index.
    pub fn volume(&self, volume: usize) -> &Volume {
        &self.volumes[volume]
    }

    /// Returns the index of the traffic class of a command on that many blocks.
    pub fn traffic_class(&self, volume: usize, access: Access, blocks: u32) -> usize {
        let volume = &self.volumes[volume];
        let large = volume.large.filter(|large| blocks >= large.min_blocks);
        let traffic_class = match access {
            Access::Write => volume.writes,
            Access::Read => large.map_or(volume.reads, |large| large.traffic_class),
        };
        traffic_class as usize
    }

    /// Returns the maximum number of blocks of one command, which is at least 1.
    ///
    /// A command of that many blocks has no more parts than allowed, wherever it begins.
    pub fn max_blocks(&self, volume: usize) -> u32 {
        let Volume { extent_blocks, block_bytes, .. } = self.volumes[volume];
        let granules = self.granules[volume].iter().flatten().copied();
        let min_part_blocks = granules.chain([extent_blocks]).min().unwrap_or(1);
        let by_parts = min_part_blocks.saturating_mul(self.max_parts as u64 - 1).max(1);
        let by_bytes = u64::from(self.command_bytes / block_bytes).max(1);
        u32::try_from(by_parts.min(by_bytes)).unwrap_or(u32::MAX)
    }

    /// Splits a command into parts, which are returned in the order of their blocks.
    pub fn parts(&self, volume: usize, traffic_class: usize, block: u64, blocks: u32) -> Vec<Part> {
        let granule = self.granules[volume][traffic_class];
        let volume = &self.volumes[volume];
        let end = block + u64::from(blocks);
        let mut parts = Vec::new();
        let mut block = block;
        while block < end {
            let part = self.part(volume, granule, block, end);
            block += u64::from(part.blocks);
            parts.push(part);
        }
        parts
    }

    /// Returns the part that begins at this block. It ends with the command, the extent or the granule, whichever ends first.
    fn part(&self, volume: &Volume, granule: Option<u64>, block: u64, command_end: u64) -> Part {
        let extent = block / volume.extent_blocks;
        let extent_start = extent * volume.extent_blocks;
        let extent_end = extent_start + volume.extent_blocks;
        // Ordered requests share a key within a granule. The others have the key of their first block.
        let (key_block, end) = match granule {
            Some(granule) => {
                let granule_start = extent_start + (block - extent_start) / granule * granule;
                (granule_start, extent_end.min(granule_start + granule))
            }
            None => (block, extent_end),
        };
        let blocks = (end.min(command_end) - block) as u32;
        let bytes = f64::from(blocks) * f64::from(volume.block_bytes);
        Part {
            block,
            blocks,
            shard: ShardId(volume.shards[(extent % volume.shards.len() as u64) as usize]),
            key: (u64::from(volume.lun) + 1) << KEY_BLOCK_BITS ^ key_block,
            units: (bytes / self.unit_bytes).ceil().clamp(1.0, self.max_units),
        }
    }
}

/// Returns the scheduler's number for an order key, which is a multiplicative hash, so that no table of keys is needed.
///
/// Two keys with the same number wait for each other. This costs some time, but does not change the order of requests.
pub(crate) fn key_id(key: u64) -> KeyId {
    let mixed = (key ^ key >> 32).wrapping_mul(KEY_HASH_MULTIPLIER);
    KeyId((mixed >> 32) as u32)
}

#[cfg(test)]
mod tests;
