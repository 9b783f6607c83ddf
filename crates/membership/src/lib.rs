//! Hosts that know of each other. Nothing here does I/O or reads a clock, and no rule hangs on it: a host that hears
//! nothing keeps to what it was told. `view` tells who is there, `loans` moves parts of limits between hosts for a term,
//! `spread` carries operators' orders to all, `papers` changes of plans, `lists` what newer node
//! lists take away, and `member` is these together, fed with datagrams and the time.

mod lists;
mod member;
mod papers;
mod quota_leases;
mod spread;
mod view;

pub use lists::{ListCame, Lists};
pub use member::{Counters, Member, MemberSettings, Output, Remembered};
pub use papers::{Paper, Papers, MAX_BYTES, MAX_PAPERS};
pub use quota_leases::{
    LeaseFault, LeaseSettings, LeaseStatus, LeaseTransmit, PreviousExit, QuotaBalance, QuotaLeases,
    SharedLimit,
};
pub use spread::{Do, Spread};
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
