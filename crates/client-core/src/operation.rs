//! Operations on a volume and their outcomes, independent of the protocol.

use bytes::Bytes;
use tackmast::interface::TimeDelta;

/// An operation on a volume. Offsets and lengths are in bytes, in whole blocks of the volume.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Reads a range.
    Read {
        /// Start of the range in the volume, in bytes.
        offset: u64,
        /// Length of the range in bytes.
        length: u32,
    },
    /// Writes a range.
    Write {
        /// Start of the range in the volume, in bytes.
        offset: u64,
        /// The bytes to write; their number is the length of the range.
        data: Bytes,
    },
    /// Completes when every write that was answered before is on the nodes.
    Flush,
}

impl Op {
    /// Returns whether the operation changes the volume.
    pub fn is_write(&self) -> bool {
        matches!(self, Op::Write { .. })
    }

    /// Returns the number of bytes that the operation transfers, in either direction; 0 for a flush.
    pub fn bytes(&self) -> usize {
        match self {
            Op::Read { length, .. } => *length as usize,
            Op::Write { data, .. } => data.len(),
            Op::Flush => 0,
        }
    }

    /// Returns the start of the operation's range in the volume, in bytes; 0 for a flush.
    pub(crate) fn offset(&self) -> u64 {
        match self {
            Op::Read { offset, .. } | Op::Write { offset, .. } => *offset,
            Op::Flush => 0,
        }
    }
}

/// The final answer to a call. Each call gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call is done. A read carries its data; for other operations the bytes are empty.
    Done(Bytes),
    /// The call did not run, and a retry is safe.
    Rejected {
        /// How long the gateway asks the caller to wait before a retry, or `None` if it named no delay.
        retry_after: Option<TimeDelta>,
    },
    /// The call is not known to be done, and whether it took effect is unknown.
    Failed,
    /// The call was invalid and never ran. The text gives the reason.
    InvalidRequest(String),
}

/// Properties of an open volume, as reported by the gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Volume {
    /// Size of the volume in bytes.
    pub bytes: u64,
    /// Size of a block in bytes.
    pub block_bytes: u32,
    /// Largest size of one call in bytes.
    pub max_bytes: u32,
}

/// The names by which either protocol addresses a volume of the gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VolumeAddress {
    /// Name of the iSCSI target.
    pub target: String,
    /// Logical unit number of the volume in the iSCSI target.
    pub lun: u32,
    /// Name of the NBD export.
    pub name: String,
}
