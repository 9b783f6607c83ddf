//! Hosts that know of each other. Nothing here does I/O or reads a clock, and no rule hangs on it: a host that hears
//! nothing keeps to what it was told. `view` tells who is there, `loans` moves parts of limits between hosts for a term,
//! `spread` carries operators' orders to all, `papers` changes of plans, `lists` what newer node
//! lists take away, and `member` is these together, fed with datagrams and the time.

mod catalog_replication;
mod member;
mod node_list;
mod override_gossip;
mod quota_leases;
mod view;

use std::net::SocketAddr;
use tackmast_wire::peer::Body;

pub use catalog_replication::{
    CatalogEvent, CatalogReplication, CatalogUpdate, CatalogVersion, MAX_CATALOG_UPDATES, MAX_UPDATE_LEN,
};
pub use member::{Counters, Member, MemberSettings, Output, Remembered};
pub use node_list::{NodeListEvent, NodeListNotices};
pub use override_gossip::{OverrideEvent, OverrideGossip};
pub use quota_leases::{
    LeaseFault, LeaseSettings, LeaseStatus, LeaseTransmit, PreviousExit, QuotaBalance, QuotaLeases,
    SharedLimit,
};
pub use tackmast_wire::peer::{
    Datagram, Health, LeaseMessage, MemberUpdate, NodeRemoval, OverrideKind, OverrideRecord,
};
pub use view::{Change, Death, Seen, SiteSeen, SiteWord, View, ViewFault, ViewSettings, Ways};

/// One generation of a member: a process of the host with that number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberId {
    /// Number of the host in its fleet.
    pub slot: u32,
    /// Number of the process's start.
    pub generation: u64,
}

/// A message to be sent to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Transmit {
    /// Where it goes.
    pub to: SocketAddr,
    /// The message.
    pub body: Body,
    /// Slot of the receiver, where it is known.
    pub recipient: Option<u32>,
}

impl Transmit {
    pub(crate) fn to_address(to: SocketAddr, body: Body) -> Self {
        Transmit { to, body, recipient: None }
    }
}
