//! One host without sockets, threads or clocks. Inputs (`handle_...`) are commands of clients, results of attempts, the
//! endpoint list, messages of peers, completed writes and the time; outputs are taken one by one by `Core::poll_output`, and
//! `Core::poll_timeout` says when to call again. Which request is sent when, to which node, and how its client is answered
//! is decided by the scheduler alone (`tackmast::scheduler`, its rules in `tackmast::policy`); this package keeps what ties clients, requests and attempts together, and
//! combines the answers of commands of several parts. docs/host.md describes it.
//!
//! | module | job |
//! | --- | --- |
//! | `core`, `core::settings` | the state machine, its tables and settings |
//! | `core::commands`, `core::attempts`, `core::timeouts` | commands of clients, attempts at nodes, time-outs |
//! | `core::endpoint_list`, `core::removed_nodes` | the endpoint list, nodes that peers' newer lists remove |
//! | `core::slow_start` | settings of slow start for the scheduler |
//! | `core::admin`, `core::status` | requests of operators, the status of the host |
//! | `core::overrides`, `core::plans` | overrides as time passes, plans that change |
//! | `core::persisted` | completed writes of the store |
//! | `core::peers` | datagrams of peers, and what follows from them |
//! | `core::consensus`, `core::replicated_plans` | the replicated log, and requests about plans that it carries |
//! | `command`, `admin_request`, `attempt`, `output`, `persist_batch`, `error` | messages to and from the shell that drives the core |
//! | `event` | events for operators, and their way into the log |
//! | `admission` | bounds of the tables, by session and volume |
//! | `combine` | one answer for a command of several parts |
//! | `fair_queueing` | start-time fair queueing among the sessions of a volume |
//! | `layout` | onto which extents and shards a block command is mapped |
//! | `object_request`, `volume_names` | requests for objects; clients' names of volumes |
//! | `nodes` | addresses, numbers and starts of nodes |
//! | `peers` | the other hosts: membership, quota leases, replicated overrides |
//! | `members_status` | what a host knows of the others, as operators see it |
//! | `plans` | plans that change: the change log, and degraded mode |
//! | `consensus` | the replica of this host, its messages and its status |
//! | `override_requests` | requests of operators that set or clear overrides, one at a time |
//! | `ticket` | the claim or withdrawal of an attempt, shared with its connection |

#![warn(missing_docs, unreachable_pub)]

mod admin_request;
mod admission;
mod attempt;
mod combine;
mod command;
mod consensus;
mod core;
mod error;
mod event;
mod fair_queueing;
mod layout;
mod members_status;
mod nodes;
mod object_request;
mod output;
mod override_requests;
mod peers;
mod persist_batch;
mod plans;
mod ticket;
mod volume_names;

pub use crate::core::{Core, CoreSettings};
pub use admin_request::{AdminRequest, AdminResponse, HostStatus};
pub use attempt::{AttemptId, AttemptResult, AttemptWork, ClaimResult, SendAttempt};
pub use command::{ClientCommand, CommandId, Verdict, Work};
pub use consensus::{ConsensusDriver, ConsensusRequest, ConsensusResponse, ConsensusStart, ConsensusStatus};
pub use error::PersistError;
pub use event::log::log_event;
pub use event::{EndpointListEvent, HostEvent, OverrideEvent, PlanEvent};
pub use fair_queueing::FairQueueCounts;
pub use layout::{Access, Layout, Part};
pub use members_status::{DeathStatus, MembersStatus, PeerStatus, SiteStatus};
pub use nodes::{Age, ListEntry, NodeStart, Nodes};
pub use object_request::{ObjectRequest, OpaqueRequest};
pub use output::{Counters, OpenCounts, Output};
pub use peers::{member_settings, Peers};
pub use persist_batch::PersistBatch;
pub use plans::{PlanRequest, PlanResponse, PlanStatus, Plans, StoredPlans, VolumeLimit};
pub use tackmast_membership::{KnownPeer, PersistedMembers, PreviousExit};
pub use ticket::Ticket;
