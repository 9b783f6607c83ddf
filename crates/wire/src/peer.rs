//! The peer protocol, by which hosts of a fleet talk to each other: one datagram a message, described byte by byte in
//! docs/protocols/peers.md. `message` has the message types, `encode` and `decode` are the codec.

mod decode;
mod encode;
mod message;

pub use message::{
    CatalogMessage, EndpointListMessage, Health, LeaseMessage, MemberUpdate, NodeRemoval, OverrideKind,
    OverrideRecord, ProbeMessage,
};

use bytes::Bytes;

/// Version of the protocol, as each datagram has it.
pub const VERSION: u8 = 2;
/// Greatest length of a datagram in bytes.
pub const MAX_DATAGRAM_LEN: usize = 1400;
/// Greatest number of member updates in one datagram: so many fit also where all addresses are of IPv6.
pub const MAX_UPDATES: usize = 28;
/// Greatest number of overrides in one datagram.
pub const MAX_OVERRIDES: usize = 2;
/// Greatest number of node removals in one datagram.
pub const MAX_REMOVALS: usize = 18;
/// Greatest length of a fleet's name in bytes.
pub const MAX_FLEET_LEN: usize = 32;
/// Greatest length of an override's target, or a node's address, in bytes.
pub const MAX_TARGET_LEN: usize = 64;
/// Greatest length of an override's reason, and of its operator, in bytes.
pub const MAX_TEXT_LEN: usize = 200;
/// Greatest length of one chunk of a catalog update or consensus message, in bytes.
pub const MAX_PIECE: usize = 1200;

/// First bytes of each datagram.
const MAGIC: u16 = 0x746d;
/// How the absence of a site, and of who suspects a member, is encoded.
const NONE: u32 = u32::MAX;

/// The bytes that tell kinds of messages apart.
mod kind {
    /// A probe of a member.
    pub(super) const PING: u8 = 1;
    /// The answer to a ping.
    pub(super) const ACK: u8 = 2;
    /// A member is asked to probe another.
    pub(super) const PING_REQUEST: u8 = 3;
    /// The answer to a ping request: the other member has answered.
    pub(super) const INDIRECT_ACK: u8 = 4;
    /// What the sender knows, as digests.
    pub(super) const DIGEST: u8 = 5;
    /// Updates of members alone.
    pub(super) const GOSSIP: u8 = 6;
    /// A host asks for a quota lease.
    pub(super) const LEASE_REQUEST: u8 = 7;
    /// A host grants a quota lease.
    pub(super) const LEASE_GRANT: u8 = 8;
    /// A host that leaves lends its quota to whoever requests it.
    pub(super) const LEASE_OFFER: u8 = 9;
    /// A host asks for what an earlier generation of it lent.
    pub(super) const LEASE_RECALL: u8 = 10;
    /// The answer to a recall: the sender holds no such lease any more.
    pub(super) const LEASE_RETURNED: u8 = 11;
    /// Operators' overrides.
    pub(super) const OVERRIDES: u8 = 12;
    /// The version of the sender's catalog.
    pub(super) const CATALOG_VERSION: u8 = 13;
    /// A request for a chunk of a catalog.
    pub(super) const CATALOG_CHUNK_REQUEST: u8 = 14;
    /// A chunk of a catalog.
    pub(super) const CATALOG_CHUNK: u8 = 15;
    /// The answer to a ping request: the other member did not answer either.
    pub(super) const NACK: u8 = 16;
    /// A message of the consensus protocol.
    pub(super) const CONSENSUS: u8 = 17;
    /// A chunk of such a message.
    pub(super) const CONSENSUS_CHUNK: u8 = 18;
    /// A request for a chunk of such a message.
    pub(super) const CONSENSUS_CHUNK_REQUEST: u8 = 19;
    /// The version of the sender's endpoint list.
    pub(super) const ENDPOINT_LIST_VERSION: u8 = 20;
    /// A request for the removals of a list newer than a version.
    pub(super) const ENDPOINT_LIST_REQUEST: u8 = 21;
    /// The nodes that the sender's list removes.
    pub(super) const NODE_REMOVALS: u8 = 22;
}

/// The message of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Failure detection.
    Probe(ProbeMessage),
    /// Digests for anti-entropy; a receiver whose digests differ answers with what it knows.
    Digest {
        /// Digest of the sender's member table.
        members: u32,
        /// Digest of the operators' overrides that it knows.
        overrides: u32,
    },
    /// Member updates alone.
    Gossip,
    /// Quota leases.
    Lease(LeaseMessage),
    /// Operators' overrides, at most [`MAX_OVERRIDES`].
    Overrides(Vec<OverrideRecord>),
    /// Catalog replication.
    Catalog(CatalogMessage),
    /// A whole consensus message ([`consensus`](crate::consensus)).
    Consensus {
        /// The message, of at most [`MAX_PIECE`] bytes.
        bytes: Bytes,
    },
    /// A chunk of a consensus message that is longer than a datagram.
    ConsensusChunk {
        /// Number of the message at its sender.
        number: u32,
        /// Chunks of the whole message.
        pieces: u16,
        /// Position of this chunk.
        piece: u16,
        /// The chunk.
        bytes: Bytes,
    },
    /// Asks for a chunk of a consensus message; each but the first is asked for.
    ConsensusChunkRequest {
        /// Number of the message at its sender.
        number: u32,
        /// Position of the chunk.
        piece: u16,
    },
    /// Versions of the endpoint list.
    EndpointList(EndpointListMessage),
}

/// One datagram between two hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Datagram {
    /// Name of the fleet; datagrams of other fleets are dropped.
    pub fleet: String,
    /// The sender's own state.
    pub sender: MemberUpdate,
    /// The message.
    pub body: Body,
    /// Member updates that are piggybacked on it, at most [`MAX_UPDATES`].
    pub updates: Vec<MemberUpdate>,
}
