//! Requests of operators, and the answers.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tackmast_overrides::{Explanation, Override, OverrideId, OverrideRequest, Preview, Refusal};

/// What an operator asks of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRequest {
    /// Set an override.
    Set {
        /// What is overridden, how, and for how long.
        #[serde(rename = "order")]
        override_request: OverrideRequest,
        /// Whether it is set even where a shard would lose its last node.
        force: bool,
        /// Whether to tell only what would change.
        dry_run: bool,
        /// Set it only if the overrides are still at this version.
        if_version: Option<u64>,
    },
    /// Clear an override.
    Clear {
        /// Which.
        id: OverrideId,
        /// Who asks.
        who: String,
    },
    /// List the overrides that are set.
    List,
    /// Tell why a node is treated as it is.
    Explain {
        /// The node.
        address: SocketAddr,
    },
    /// The status of this host.
    Status,
    /// What this host knows of the others.
    Members,
    /// About plans.
    Plan(crate::PlanRequest),
    /// About consensus.
    #[serde(rename = "agreement")]
    Consensus(crate::ConsensusRequest),
}

/// The answer to an `AdminRequest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminResponse {
    /// An override was set, or would be.
    Set {
        /// The override.
        record: Override,
        /// What it changes.
        preview: Preview,
        /// Whether it was only tried.
        dry_run: bool,
    },
    /// An override was cleared.
    Cleared {
        /// Which.
        id: OverrideId,
    },
    /// The overrides that are set.
    List {
        /// Their version.
        version: u64,
        /// Each with the seconds that it has left.
        #[serde(rename = "standing")]
        overrides: Vec<(Override, f64)>,
        /// Nodes on their way back to full load.
        returning: usize,
        /// Seconds until the last of them is back.
        returning_within_s: f64,
    },
    /// Why a node is treated as it is.
    Explain(Box<Explanation>),
    /// The status of this host.
    Status(Box<HostStatus>),
    /// What this host knows of the others.
    Members(Box<crate::MembersStatus>),
    /// About plans.
    Plan(crate::PlanResponse),
    /// About consensus.
    #[serde(rename = "agreement")]
    Consensus(crate::ConsensusResponse),
    /// It was refused.
    Refused(Refusal),
    /// It could not be written, so it does not apply.
    NotKept {
        /// Why not.
        why: String,
    },
    /// The host can't process the request, or not now. Nothing has changed.
    Unavailable {
        /// Why not.
        why: String,
    },
}

/// A host as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host.
    pub host: u32,
    /// Overrides that are set.
    pub overrides: usize,
    /// Their version.
    pub version: u64,
    /// Nodes on their way back to full load.
    pub returning: usize,
    /// Hosts that are believed to be alive, this one included; 0: this host has no membership.
    #[serde(default)]
    #[serde(rename = "there")]
    pub alive_hosts: u32,
    /// Commands without an answer.
    pub commands: usize,
    /// Attempts in flight.
    #[serde(rename = "legs")]
    pub attempts: usize,
    /// Commands received.
    #[serde(rename = "taken")]
    pub commands_received: u64,
    /// Commands done.
    pub done: u64,
    /// Commands rejected.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Commands failed.
    #[serde(rename = "abandoned")]
    pub failed: u64,
    /// Address, state by the list, and effective state.
    pub nodes: Vec<(SocketAddr, String, String)>,
}
