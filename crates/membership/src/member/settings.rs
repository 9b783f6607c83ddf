//! Settings, outputs and counters of a member.

use crate::catalog_replication::CatalogUpdate;
use crate::endpoint_list_exchange::EndpointListNotice;
use crate::event::MembershipEvent;
use crate::override_gossip::OverrideEvent;
use crate::quota_leases::{LeaseSettings, PreviousExit, SharedLimit};
use crate::view::{KnownPeer, ViewSettings};
use bytes::Bytes;
use ipnet::IpNet;
use std::net::SocketAddr;
use tackmast_wire::peer::Body;

/// The data that a host persists for its next generation: its own generation, and the peers to contact.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedMembers {
    /// Generation of the host that persisted this.
    pub generation: u64,
    /// Peers that it knew, except those that left.
    pub peers: Vec<KnownPeer>,
}

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name of the fleet; datagrams of other fleets are dropped.
    pub fleet: String,
    /// Number of the host in the fleet.
    pub slot: u32,
    /// Generation of the process; a later start of the host normally has a greater one.
    pub generation: u64,
    /// Address at which peers reach the host.
    pub address: SocketAddr,
    /// Site that the host belongs to, or `None` if it announces none.
    pub site: Option<u32>,
    /// Addresses to contact at the start, and regularly while no live member is known there.
    pub seeds: Vec<SocketAddr>,
    /// Peers that an earlier generation persisted. They are contacted, and become members only once they answer.
    pub persisted: Vec<KnownPeer>,
    /// Networks that peers' addresses must lie in; an empty list allows all addresses.
    pub allowed_networks: Vec<IpNet>,
    /// Settings of the membership view.
    pub view: ViewSettings,
    /// Settings of quota leases.
    pub leases: LeaseSettings,
    /// Volumes whose limits are shared.
    pub shared_limits: Vec<SharedLimit>,
    /// How the slot's previous generation ended.
    pub previous_exit: PreviousExit,
    /// Seed of the member's random number generator.
    pub seed: u64,
}

/// An action that the host is to perform for its member.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Encoded datagram.
        bytes: Bytes,
    },
    /// Log an event; no other action is needed.
    Event(MembershipEvent),
    /// Apply or clear an override that another host accepted from an operator.
    Override(OverrideEvent),
    /// Apply or reject a catalog update that was received.
    CatalogUpdate(CatalogUpdate),
    /// Persist this for the next generation, in place of what was persisted before.
    Persist(PersistedMembers),
    /// Act on a notice about other hosts' endpoint lists.
    EndpointList(EndpointListNotice),
    /// Pass a consensus message, or a chunk of one, to the replica. It came from the address at which its sender is known,
    /// as a message from any other address may be forged.
    Consensus {
        /// Address of the sender.
        from: SocketAddr,
        /// Slot of the sender.
        slot: u32,
        /// Message or chunk that was received.
        body: Body,
    },
}

/// Counters of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams that were sent.
    pub sent: u64,
    /// Bytes of the datagrams that were sent.
    pub sent_bytes: u64,
    /// Datagrams of peers that were accepted.
    pub received: u64,
    /// Datagrams and member updates with addresses outside the allowed networks, and datagrams of other processes with this
    /// host's slot.
    pub rejected: u64,
    /// Datagrams of other fleets, which were dropped.
    pub other_fleets: u64,
    /// Received datagrams that could not be decoded.
    pub malformed: u64,
    /// Datagrams to send, and consensus messages received, that were dropped because too many outputs waited.
    pub dropped: u64,
    /// Lease and consensus messages from an address that is not their sender's.
    pub wrong_address: u64,
}
