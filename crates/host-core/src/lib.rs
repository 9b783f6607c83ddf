//! One host without sockets, threads or clocks. Inputs tell it of client commands, attempts, the node list and the
//! time; outputs are pulled one by one. Which request leaves when, for which node, and what its client is told
//! is decided by `tackmast::policy` alone; this package keeps what ties clients, requests and attempts together,
//! and answers for commands of several parts. docs/host.md describes it.

mod admission;
mod agreed;
mod combine;
mod core;
mod fellows;
mod layout;
mod nodes;
mod orders;
mod placed;
mod plans;
mod sharing;
mod ticket;

pub use crate::core::{
    AttemptId, AttemptResult, AttemptWork, Begin, CommandRef, Core, Counters, Output, SendAttempt, Verdict,
    Work,
};
pub use agreed::{agreement_settings, Agreed, AgreedStart, AgreementAsk, AgreementReply, AgreementStatus};
pub use combine::{combine, Combined, PartEnd};
pub use fellows::{member_settings, DeathStatus, Fellows, MembersStatus, PeerStatus, SiteStatus};
pub use layout::{Layout, Part};
pub use nodes::{Age, ListEntry, Nodes, Start};
pub use orders::{Ask, Keep, Orders, OrdersStatus, Reply};
pub use placed::{Placed, PlacedSettings, Request, VolumeNames};
pub use plans::{Move, PlanAsk, PlanReply, PlanStatus, Plans};
pub use sharing::{LineName, Place, Sharing};
pub use tackmast_membership::{KnownPeer, PersistedMembers};
pub use ticket::Ticket;
