//! Validates calls against the size, block size and limits of the volume.

use crate::operation::{Op, Volume};

/// The reason why a call can't be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum InvalidCall {
    #[error("{length} bytes at {offset}; expected whole blocks of {block_bytes}")]
    NotWholeBlocks { length: u64, offset: u64, block_bytes: u64 },
    #[error("{length} bytes at {offset}; expected them within {volume_bytes}")]
    BeyondVolume { length: u64, offset: u64, volume_bytes: u64 },
    #[error("{length} bytes; expected at most {max_bytes} in one call")]
    TooLong { length: u64, max_bytes: u32 },
    #[error("no session: the gateway refused them all")]
    AllSessionsRefused,
}

/// Checks an operation against the properties of the volume that the gateway reported.
pub(super) fn check_operation(op: &Op, volume: &Volume) -> Result<(), InvalidCall> {
    let (offset, length) = (op.offset(), op.bytes() as u64);
    let block_bytes = u64::from(volume.block_bytes);
    if !offset.is_multiple_of(block_bytes) || !length.is_multiple_of(block_bytes) {
        return Err(InvalidCall::NotWholeBlocks { length, offset, block_bytes });
    }
    if offset.checked_add(length).is_none_or(|end| end > volume.bytes) {
        return Err(InvalidCall::BeyondVolume { length, offset, volume_bytes: volume.bytes });
    }
    if length > u64::from(volume.max_bytes) {
        return Err(InvalidCall::TooLong { length, max_bytes: volume.max_bytes });
    }
    Ok(())
}
