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

/// What is persisted for the next generation of a host: its own number, and peers to contact.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedMembers {
    /// Generation of the host.
    pub generation: u64,
    /// Peers that it knew.
    pub peers: Vec<KnownPeer>,
}

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name of the fleet.
    pub fleet: String,
    /// Number of the host in it.
    pub slot: u32,
    /// Number of the process's start.
    pub generation: u64,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// The site that the host belongs to.
    pub site: Option<u32>,
    /// Addresses to contact at the start.
    pub seeds: Vec<SocketAddr>,
    /// Peers that an earlier generation persisted: they are contacted, and count only once they answer.
    pub persisted: Vec<KnownPeer>,
    /// Networks that peers' addresses lie in; none: any.
    pub allowed_networks: Vec<IpNet>,
    /// Settings of the view.
    pub view: ViewSettings,
    /// Settings of quota leases.
    pub leases: LeaseSettings,
    /// Volumes whose limits are shared.
    pub shared_limits: Vec<SharedLimit>,
    /// How the slot's earlier generation ended.
    pub previous_exit: PreviousExit,
    /// Seed of its random choices.
    pub seed: u64,
}

/// What a host is to do for its member.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Where it goes.
        to: SocketAddr,
        /// Its bytes.
        bytes: Bytes,
    },
    /// Write this to the log; nothing else is to be done.
    Event(MembershipEvent),
    /// Apply or clear an override that another host took.
    Override(OverrideEvent),
    /// Apply or reject a catalog update that has arrived.
    CatalogUpdate(CatalogUpdate),
    /// Persist this for the next generation, in place of what was before.
    Persist(PersistedMembers),
    /// Act on what is known of other hosts' endpoint lists.
    EndpointList(EndpointListNotice),
    /// Hand a consensus message, or a chunk of one, to the replica. It comes from the address at which its sender is
    /// known, so that it is not forged.
    Consensus {
        /// Address of the sender.
        from: SocketAddr,
        /// Its slot.
        slot: u32,
        /// The message.
        body: Body,
    },
}

/// Counters of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams of peers that were accepted.
    pub received: u64,
    /// Addresses outside the allowed networks, and datagrams under this host's own slot.
    pub rejected: u64,
    /// Datagrams of other fleets.
    pub other_fleets: u64,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Outputs that were dropped as too many waited.
    pub dropped: u64,
    /// Lease and consensus messages from an address that is not their sender's.
    pub wrong_address: u64,
}
