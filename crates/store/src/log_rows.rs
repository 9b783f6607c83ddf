//! Encodes and decodes the named rows of the consensus log. Integers are big-endian. Existing store files contain these
//! encodings.

use bytes::{BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;
use tackmast_consensus::{DiskIdentity, HardState, LogPosition, Snapshot, Voters};
use tackmast_wire::reader::Fields;

/// Length in bytes of an encoded voter: its slot and the id of its disk.
const VOTER_LEN: usize = 12;
/// Encodes that there is no vote.
const NO_VOTE: u32 = u32::MAX;

/// The identity of a store's own disk, as it is stored.
#[derive(Clone, Copy, Default)]
pub(crate) struct StoredIdentity {
    /// The id of the disk; 0 before one was chosen.
    pub disk: u64,
    /// The number of times that the log was opened.
    pub boot: u32,
}

fn fields(bytes: &[u8]) -> Fields {
    Fields(Bytes::copy_from_slice(bytes))
}

pub(crate) fn encode_identity(identity: StoredIdentity) -> Vec<u8> {
    [&identity.disk.to_be_bytes()[..], &identity.boot.to_be_bytes()].concat()
}

pub(crate) fn decode_identity(bytes: &[u8]) -> Option<StoredIdentity> {
    let mut fields = fields(bytes);
    let disk = fields.u64("disk").ok()?;
    let boot = fields.u32("boot").ok()?;
    Some(StoredIdentity { disk, boot })
}

pub(crate) fn encode_voters(voters: &Voters) -> Vec<u8> {
    let voter = |(slot, disk): (&u32, &u64)| [&slot.to_be_bytes()[..], &disk.to_be_bytes()].concat();
    voters.iter().flat_map(voter).collect()
}

pub(crate) fn decode_voters(bytes: &[u8]) -> Option<Voters> {
    let voter = |bytes: &[u8]| {
        let (slot, disk) = bytes.split_first_chunk::<4>()?;
        Some((u32::from_be_bytes(*slot), u64::from_be_bytes(disk.try_into().ok()?)))
    };
    bytes.chunks(VOTER_LEN).map(voter).collect()
}

pub(crate) fn encode_known_disks(known_disks: &BTreeMap<u32, DiskIdentity>) -> Vec<u8> {
    let mut out = BytesMut::new();
    for (slot, identity) in known_disks {
        out.put_u32(*slot);
        out.put_u64(identity.disk);
        out.put_u32(identity.boot);
        out.put_u64(identity.generation);
    }
    out.to_vec()
}

pub(crate) fn decode_known_disks(bytes: &[u8]) -> Option<BTreeMap<u32, DiskIdentity>> {
    let mut fields = fields(bytes);
    let mut known_disks = BTreeMap::new();
    while !fields.0.is_empty() {
        let slot = fields.u32("host").ok()?;
        let disk = fields.u64("disk").ok()?;
        let boot = fields.u32("boot").ok()?;
        let generation = fields.u64("generation").ok()?;
        known_disks.insert(slot, DiskIdentity { disk, boot, generation });
    }
    Some(known_disks)
}

pub(crate) fn encode_hard_state(hard_state: HardState) -> Vec<u8> {
    let voted_for = hard_state.voted_for.unwrap_or(NO_VOTE);
    [&hard_state.term.to_be_bytes()[..], &voted_for.to_be_bytes()].concat()
}

pub(crate) fn decode_hard_state(bytes: &[u8]) -> Option<HardState> {
    let mut fields = fields(bytes);
    let term = fields.u64("term").ok()?;
    let voted_for = fields.u32("vote").ok()?;
    Some(HardState { term, voted_for: Some(voted_for).filter(|slot| *slot != NO_VOTE) })
}

pub(crate) fn encode_snapshot(snapshot: &Snapshot) -> Vec<u8> {
    let mut out = BytesMut::new();
    out.put_u64(snapshot.log_id);
    out.put_u64(snapshot.last.term);
    out.put_u64(snapshot.last.index);
    let voters = encode_voters(&snapshot.voters);
    out.put_u32(voters.len() as u32);
    out.put_slice(&voters);
    out.put_slice(&snapshot.state);
    out.to_vec()
}

pub(crate) fn decode_snapshot(bytes: &[u8]) -> Option<Snapshot> {
    let mut fields = fields(bytes);
    let log_id = fields.u64("log").ok()?;
    let last = LogPosition { term: fields.u64("term").ok()?, index: fields.u64("index").ok()? };
    let voters_len = fields.u32("voters").ok()? as usize;
    let voters = decode_voters(&fields.bytes("voters", voters_len).ok()?)?;
    Some(Snapshot { log_id, last, voters, state: fields.0 })
}
