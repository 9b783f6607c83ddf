//! The logic of one host as a state machine without I/O, threads or clocks.
//!
//! Inputs (`handle_...`) are client commands, attempt results, the endpoint list, peer messages, completed writes and the
//! time. `Core::poll_output` returns the outputs one by one, and `Core::poll_timeout` returns when to call again.
//!
//! The scheduler alone (`tackmast::scheduler`, with its rules in `tackmast::policy`) decides when each request is sent, to
//! which node, and how its client is answered. This package tracks which command, request and attempt belong together, and
//! combines the results of a command's parts into one answer. docs/host.md describes the design.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `core`, `core::settings` | the state machine, its tables and settings |
//! | `core::commands`, `core::attempts`, `core::timeouts` | client commands, attempts at nodes, timeouts |
//! | `core::endpoint_list`, `core::removed_nodes` | the endpoint list; nodes that peers' newer lists remove |
//! | `core::slow_start` | slow-start settings for the scheduler |
//! | `core::admin`, `core::status` | operator requests; the status of the host |
//! | `core::overrides`, `core::plans` | expiry of overrides; plans that change at run time |
//! | `core::persisted` | completed writes of the store |
//! | `core::peers` | datagrams from peers and the events that they cause |
//! | `core::consensus`, `core::replicated_plans` | the replicated log; plan requests that go through it |
//! | `command`, `admin_request`, `attempt`, `output`, `persist_batch`, `error` | types exchanged with the caller that drives the core |
//! | `event` | events for operators, and how they are logged |
//! | `admission` | limits on the tables, per session and volume |
//! | `combine` | one answer for a command of several parts |
//! | `fair_queueing` | start-time fair queueing among the sessions of a volume |
//! | `layout` | mapping of block commands onto extents and shards |
//! | `object_request`, `volume_names` | object requests; clients' volume names |
//! | `nodes` | addresses, numbers and start times of nodes |
//! | `peers` | the other hosts: membership, quota leases, replicated overrides |
//! | `members_status` | the state of the other hosts, as shown to operators |
//! | `plans` | plans that change at run time: the change log and degraded mode |
//! | `consensus` | this host's replica, its messages and its status |
//! | `override_requests` | operator requests that set or clear overrides, processed one at a time |
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
