//! Encoding and decoding of the datagrams of service rate replication. docs/protocols/platform.md has the format.

use tackmast::interface::ShardId;

/// Maximum size of a datagram in bytes, set by the platform.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 256;
/// Size of the header in bytes: two bytes of magic, the kind, the number of the datagram, and the count of datagrams.
const HEADER_BYTES: usize = 5;
/// Size of an entry in bytes: the shard, and the upper half of its rate as a 32-bit float.
const ENTRY_BYTES: usize = 4;
/// Number of entries that fit into a datagram.
const ENTRIES_PER_DATAGRAM: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / ENTRY_BYTES;
/// Maximum number of datagrams for the rates of one host. The shards with the lowest rates are left out if not all fit.
const MAX_DATAGRAMS: usize = 8;
/// The first bytes of each datagram.
const MAGIC: [u8; 2] = *b"tk";

/// The kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// Stores the rates that it carries for its sender.
    Store = 1,
    /// Requests the stored rates of its sender.
    Fetch = 2,
    /// Returns stored rates to their host.
    Restore = 3,
}

impl Kind {
    fn from_byte(byte: u8) -> Option<Self> {
        [Kind::Store, Kind::Fetch, Kind::Restore].into_iter().find(|kind| *kind as u8 == byte)
    }
}

/// The header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Header {
    /// The kind.
    pub kind: Kind,
    /// The number of the datagram among those of one host.
    pub number: u8,
}

impl Header {
    /// Parses the header of a datagram. Returns `None` if the datagram is not valid.
    pub(super) fn parse(bytes: &[u8]) -> Option<Self> {
        let [first, second, kind, number, _] = bytes.first_chunk::<HEADER_BYTES>()?;
        let is_valid = [*first, *second] == MAGIC
            && bytes.len() <= MAX_DATAGRAM_BYTES
            && usize::from(*number) < MAX_DATAGRAMS;
        let kind = Kind::from_byte(*kind).filter(|_| is_valid)?;
        Some(Header { kind, number: *number })
    }
}

/// Returns whether a rate, in units a second, may be sent or restored. Other values would corrupt the scheduler's sums.
fn is_valid_rate(rate: f64) -> bool {
    rate.is_finite() && rate > 0.0
}

fn encode_header(kind: Kind, number: u8, count: u8) -> Vec<u8> {
    vec![MAGIC[0], MAGIC[1], kind as u8, number, count]
}

/// Encodes the datagram that requests the stored rates.
pub(super) fn encode_fetch() -> Vec<u8> {
    encode_header(Kind::Fetch, 0, 1)
}

/// Encodes the datagrams that store rates, in units a second, the highest first, as far as they fit.
pub(super) fn encode_stores(mut rates: Vec<(ShardId, f64)>) -> Vec<Vec<u8>> {
    rates.retain(|(shard, rate)| shard.0 <= u32::from(u16::MAX) && is_valid_rate(*rate));
    rates.sort_by(|(_, left), (_, right)| right.total_cmp(left));
    rates.truncate(ENTRIES_PER_DATAGRAM * MAX_DATAGRAMS);
    let count = rates.len().div_ceil(ENTRIES_PER_DATAGRAM) as u8;
    let chunks = rates.chunks(ENTRIES_PER_DATAGRAM).enumerate();
    chunks.map(|(number, rates)| encode_store(number as u8, count, rates)).collect()
}

fn encode_store(number: u8, count: u8, rates: &[(ShardId, f64)]) -> Vec<u8> {
    let mut bytes = encode_header(Kind::Store, number, count);
    for (shard, rate) in rates {
        bytes.extend((shard.0 as u16).to_be_bytes());
        // Keeping only the upper half of a float rounds the rate down, to about three digits, and never up: the sum over all hosts
        // must not grow.
        bytes.extend(&(*rate as f32).to_be_bytes()[..2]);
    }
    bytes
}

/// Encodes the datagram that returns the rates of a stored one.
pub(super) fn encode_restore(stored: &[u8]) -> Vec<u8> {
    let mut bytes = stored.to_vec();
    bytes[MAGIC.len()] = Kind::Restore as u8;
    bytes
}

/// Parses the valid rates in a datagram, in units a second.
pub(super) fn parse_rates(bytes: &[u8]) -> impl Iterator<Item = (ShardId, f64)> + '_ {
    bytes[HEADER_BYTES..].chunks_exact(ENTRY_BYTES).filter_map(|entry| {
        let rate = f64::from(f32::from_be_bytes([entry[2], entry[3], 0, 0]));
        let shard = ShardId(u32::from(u16::from_be_bytes([entry[0], entry[1]])));
        is_valid_rate(rate).then_some((shard, rate))
    })
}
