//! What a caller asks of a volume and what it is answered, whatever the protocol.

use bytes::Bytes;
use tackmast::interface::TimeDelta;

/// An operation on a volume. Offsets and lengths are in bytes, in whole blocks of the volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads a range.
    Read {
        /// Where the range begins, in bytes.
        offset: u64,
        /// Its length in bytes.
        length: u32,
    },
    /// Writes a range.
    Write {
        /// Where the range begins, in bytes.
        offset: u64,
        /// What is written.
        data: Bytes,
    },
    /// Is done when every write that was answered before is on the nodes.
    Flush,
}

impl Op {
    /// Whether the operation changes the volume.
    pub fn is_write(&self) -> bool {
        matches!(self, Op::Write { .. })
    }

    /// Bytes that the operation moves, in either direction.
    pub fn bytes(&self) -> usize {
        match self {
            Op::Read { length, .. } => *length as usize,
            Op::Write { data, .. } => data.len(),
            Op::Flush => 0,
        }
    }

    /// Where the operation begins in the volume, in bytes.
    pub(crate) fn offset(&self) -> u64 {
        match self {
            Op::Read { offset, .. } | Op::Write { offset, .. } => *offset,
            Op::Flush => 0,
        }
    }
}

/// The one final answer of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Done, with the bytes of a read.
    Done(Bytes),
    /// It did not run, and a retry is safe.
    Rejected {
        /// How long to wait before a retry, where the gateway said so.
        retry_after: Option<TimeDelta>,
    },
    /// Not done as far as is known, and no promise about its effect.
    Failed,
    /// The call itself was wrong, as the text says, and never ran.
    InvalidRequest(String),
}

/// What the gateway says of an open volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Volume {
    /// Size of the volume.
    pub bytes: u64,
    /// Size of a block.
    pub block_bytes: u32,
    /// Largest size of one call.
    pub max_bytes: u32,
}

/// Which volume of the gateway to open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VolumeAddress {
    /// Name of the iSCSI target.
    pub target: String,
    /// Number of the logical unit in the iSCSI target.
    pub lun: u32,
    /// Name of the NBD export.
    pub name: String,
}
