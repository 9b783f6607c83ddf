//! Membership of the hosts of a fleet, and the data that members replicate among themselves. The package consists of state
//! machines that perform no I/O and read no clock: the caller passes in datagrams and the time.
//!
//! Failure detection is SWIM ("SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol", Das,
//! Gupta and Motivala, DSN 2002): randomised probing in rounds with indirect probes (sections 3.1 and 4.3), dissemination
//! piggybacked on probes (4.1), suspicion and incarnations (4.2). Lifeguard ("Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection", Dadgar, Phillips and Currey, 2017) adds the local health multiplier, the dynamic suspicion
//! timeout and the buddy system (its section 4). Additions to both are anti-entropy by digests, rejoining after
//! long partitions, damping of flapping members, and detection of pauses and of duplicate numbers.
//!
//! Four more protocols use the same datagrams. None of them depends on the view for correctness: a host that receives
//! nothing continues with the state that it has.
//!
//! - `view`: the membership view by SWIM and Lifeguard; its module comment names the file of each part.
//! - `quota_leases`: leases on shares of a volume's limit, from one owner to another that has more demand.
//! - `override_gossip`: operators' overrides, as a set that converges on all hosts.
//! - `catalog_replication`: numbered catalog updates, fetched from any peer that has them.
//! - `endpoint_list_exchange`: versions of the endpoint list, and the nodes that newer ones remove.
//! - `event`: events that a member reports to operators.
//! - `member`: combines these for one host, and encodes and decodes datagrams.
//!
//! All state machines share one interface: `handle_datagram`, `handle_message` and `handle_timeout` take input together
//! with the time; `poll_output`, `poll_transmit` and `poll_event` are called until they return `None`; `poll_timeout`
//! returns when `handle_timeout` is due.
#![warn(missing_docs)]
#![warn(unreachable_pub)]

mod catalog_replication;
mod endpoint_list_exchange;
mod event;
mod member;
mod override_gossip;
mod quota_leases;
mod view;

use std::net::SocketAddr;
use tackmast_wire::peer::Body;

pub use catalog_replication::{
    CatalogReplication, CatalogUpdate, CatalogVersion, MAX_CATALOG_UPDATES, MAX_UPDATE_LEN,
};
pub use endpoint_list_exchange::{EndpointListExchange, EndpointListNotice};
pub use event::MembershipEvent;
pub use member::{Counters, Member, MemberSettings, Output, PersistedMembers};
pub use override_gossip::{OverrideEvent, OverrideGossip};
pub use quota_leases::{
    LeaseFault, LeaseSettings, LeaseStatus, LeaseTransmit, PreviousExit, QuotaBalance, QuotaLeases,
    SharedLimit,
};
pub use tackmast_wire::peer::{
    Datagram, Health, LeaseMessage, MemberUpdate, NodeRemoval, OverrideKind, OverrideRecord,
};
pub use view::{
    Death, Extensions, KnownPeer, MemberState, SiteHealth, SiteState, TakeOver, View, ViewCounters,
    ViewEvent, ViewFault, ViewSettings,
};

/// Identifies one generation of a member, which is one process of the host with that number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberId {
    /// Number of the host in its fleet.
    pub slot: u32,
    /// Generation of the process; a later start of the host normally has a greater one.
    pub generation: u64,
}

/// A message to send to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Transmit {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Message to send.
    pub body: Body,
    /// Slot of the receiver, or `None` if only its address is known.
    pub recipient: Option<u32>,
}

impl Transmit {
    /// Creates a message to an address whose slot is not known.
    fn to_address(to: SocketAddr, body: Body) -> Self {
        Transmit { to, body, recipient: None }
    }
}
