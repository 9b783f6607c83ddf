//! One host without sockets, threads or clocks. Inputs tell it of client commands, attempts, the node list and the
//! time; outputs are pulled one by one. Which request leaves when, for which node, and what its client is told
//! is decided by `tackmast::policy` alone; this package keeps what ties clients, requests and attempts together,
//! and answers for commands of several parts. docs/host.md describes it.

#![warn(missing_docs)]

mod admission;
mod attempt;
mod combine;
mod command;
mod consensus;
mod core;
mod error;
mod fair_queueing;
mod layout;
mod members_status;
mod nodes;
mod output;
mod override_requests;
mod peers;
mod placed;
mod plans;
mod ticket;

pub use crate::core::Core;
pub use attempt::{AttemptId, AttemptResult, AttemptWork, Begin, SendAttempt};
pub use combine::{combine, Combined, KeySource, PartState};
pub use command::{ClientCommand, CommandRef, Verdict, Work};
pub use consensus::{
    raft_settings, ConsensusDriver, ConsensusRequest, ConsensusResponse, ConsensusStart, ConsensusStatus,
};
pub use error::{PersistError, PlanError};
pub use fair_queueing::{FairQueueing, QueueKey, QueueTicket};
pub use layout::{Layout, Part};
pub use members_status::{DeathStatus, MembersStatus, PeerStatus, SiteStatus};
pub use nodes::{Age, ListEntry, NodeStart, Nodes};
pub use output::{Counters, OpenCounts, Output};
pub use override_requests::{AdminRequest, AdminResponse, HostStatus, OverrideRequests, PersistBatch};
pub use peers::{member_settings, Peers};
pub use placed::{OpaqueRequest, PlacedRequest, PlacedSettings, VolumeNames};
pub use plans::{PlanRequest, PlanResponse, PlanStatus, PlanUpdate, Plans};
pub use tackmast_membership::{KnownPeer, PersistedMembers};
pub use ticket::Ticket;
