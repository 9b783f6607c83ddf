//! The messages of the peer protocol, and the records that they carry.

use bytes::Bytes;
use std::fmt;
use std::net::SocketAddr;

/// Health of a member as its peers see it. The order is that of precedence within one incarnation, and the position of
/// each variant is its byte on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Health {
    /// It answers.
    Alive,
    /// It missed a probe and may still refute the suspicion.
    Suspect,
    /// It did not refute a suspicion in time.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl Health {
    /// The lower-case name that log lines and JSON use.
    pub fn as_str(self) -> &'static str {
        match self {
            Health::Alive => "alive",
            Health::Suspect => "suspect",
            Health::Dead => "dead",
            Health::Left => "left",
        }
    }
}

impl fmt::Display for Health {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// State of one member at one incarnation, as gossiped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// Number of the host in its fleet.
    pub slot: u32,
    /// Number of the process's start; a later start has a greater one.
    pub generation: u64,
    /// SWIM's incarnation number within the generation, which only the member itself increments.
    pub incarnation: u32,
    /// Its health at that incarnation.
    pub health: Health,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// The site that it announced.
    pub site: Option<u32>,
    /// Of a suspect: the member that suspects it.
    pub suspected_by: Option<u32>,
}

/// Failure detection: SWIM's ping, ack and ping-req, with Lifeguard's nack.
#[derive(Clone, Debug, PartialEq)]
pub enum ProbeMessage {
    /// Asks for an `Ack` of the same number.
    Ping {
        /// Number of the probe at its sender.
        seq: u32,
    },
    /// Answers a `Ping`.
    Ack {
        /// Number of the ping.
        seq: u32,
    },
    /// Asks the receiver to ping another member (SWIM's ping-req).
    PingRequest {
        /// Number of the probe at its sender.
        seq: u32,
        /// The member to ping.
        slot: u32,
    },
    /// The member answered the receiver of a `PingRequest`.
    IndirectAck {
        /// Number of the request.
        seq: u32,
        /// The member that answered.
        slot: u32,
    },
    /// The member did not answer the receiver of a `PingRequest` either.
    Nack {
        /// Number of the request.
        seq: u32,
        /// The member that did not answer.
        slot: u32,
    },
}

/// Quota leases: shares of a volume's limit that one owner lends another for a term.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LeaseMessage {
    /// A borrower asks for a share of a volume's limit.
    Request {
        /// Number of the request.
        seq: u32,
        /// The lease that the borrower acts on; 0 for none.
        active_seq: u32,
        /// Generation of the lender that granted that lease.
        lender_generation: u64,
        /// LUN of the volume.
        volume: u32,
        /// Share of the whole limit that is wanted.
        share: f32,
    },
    /// A lender leaves a share unused for a term, which counts from when the request was sent.
    Grant {
        /// Number of the request that it answers.
        request_seq: u32,
        /// Generation of the borrower that sent the request.
        recipient_generation: u64,
        /// Number of the lease.
        seq: u32,
        /// LUN of the volume.
        volume: u32,
        /// Share of the whole limit.
        share: f32,
        /// Length of the term in milliseconds.
        term_ms: u32,
    },
    /// The sender leaves, and lends all it owns of this volume to whoever requests it.
    Offer {
        /// LUN of the volume.
        volume: u32,
    },
    /// The sender asks for whatever an earlier generation of it lent.
    Recall {
        /// LUN of the volume.
        volume: u32,
    },
    /// Answers a `Recall`: the sender holds no such lease any more.
    Returned {
        /// Generation of the lender that recalled its leases.
        recipient_generation: u64,
        /// LUN of the volume.
        volume: u32,
    },
}

/// What an operator's override does to its target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OverrideKind {
    /// Takes it out of service.
    Out,
    /// Pins it.
    Pinned,
    /// Gives it this weight, from 0 to 1.
    Weight(f32),
}

/// An operator's override as it is gossiped. Slot, generation and number identify it in the whole fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct OverrideRecord {
    /// The host that took it from the operator.
    pub slot: u32,
    /// That host's generation then.
    pub generation: u64,
    /// Its number there.
    pub number: u64,
    /// What it does.
    pub kind: OverrideKind,
    /// The node, zone or shard that it applies to.
    pub target: String,
    /// The operator's reason.
    pub reason: String,
    /// The operator.
    pub who: String,
    /// Milliseconds until it ends; 0: it has ended.
    pub remaining_ms: u64,
    /// Its whole duration in milliseconds.
    pub total_ms: u64,
    /// It was cleared before its end.
    pub cleared: bool,
}

/// Replication of catalog updates: numbered texts, each fetched in chunks.
#[derive(Clone, Debug, PartialEq)]
pub enum CatalogMessage {
    /// The newest update that the sender applied.
    Version {
        /// Number of the update.
        number: u64,
        /// The first eight bytes of the digest of all updates up to it.
        digest_prefix: u64,
        /// Milliseconds until every host must have applied it.
        remaining_ms: u32,
    },
    /// Asks for one chunk of an update.
    ChunkRequest {
        /// Number of the update.
        number: u64,
        /// Position of the chunk.
        piece: u16,
    },
    /// One chunk of an update.
    Chunk {
        /// Number of the update.
        number: u64,
        /// Position of the chunk.
        piece: u16,
        /// Chunks of the whole update.
        pieces: u16,
        /// The chunk, of at most [`MAX_PIECE`](super::MAX_PIECE) bytes.
        bytes: Bytes,
    },
}

/// Which version of the endpoint list hosts hold, and which nodes a newer one removes.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointListMessage {
    /// The newest version that the sender held.
    Version {
        /// Version of the list.
        version: u64,
    },
    /// Asks for the removals of a list newer than this.
    Request {
        /// Version that the sender holds.
        version: u64,
    },
    /// Nodes that the sender's list removes.
    Removals {
        /// Version of that list.
        version: u64,
        /// The nodes, at most [`MAX_REMOVALS`](super::MAX_REMOVALS).
        removals: Vec<NodeRemoval>,
    },
}

/// A node that a list shows as draining or gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeRemoval {
    /// Address of the node as the list has it.
    pub address: String,
    /// It is gone; else it drains.
    pub gone: bool,
}
