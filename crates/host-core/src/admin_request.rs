//! Requests of operators to one host, and its responses. Both are JSON on the admin socket; a `rename` attribute keeps the name that
//! scripts of operators know.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use tackmast_overrides::{Explanation, Override, OverrideId, OverrideRequest, Preview, Refusal};

/// A request of an operator to one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRequest {
    /// Sets an override.
    Set {
        /// The nodes, what is done to them, and for how long.
        #[serde(rename = "order")]
        override_request: OverrideRequest,
        /// Whether the override is set even if a shard loses its last node by it.
        force: bool,
        /// Whether the host only reports what would change.
        dry_run: bool,
        /// The version that the overrides must have; a missing value sets the override at any version.
        if_version: Option<u64>,
    },
    /// Clears an override before its end.
    Clear {
        /// The override to clear.
        id: OverrideId,
        /// The operator, for the audit log.
        who: String,
    },
    /// Lists the active overrides.
    List,
    /// Explains the effective state and weight of a node.
    Explain {
        /// The node's address.
        address: SocketAddr,
    },
    /// Requests the status of the host.
    Status,
    /// Requests the host's view of its peers.
    Members,
    /// A request about plans.
    Plan(crate::PlanRequest),
    /// A request about consensus.
    #[serde(rename = "agreement")]
    Consensus(crate::ConsensusRequest),
}

/// The response to an `AdminRequest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminResponse {
    /// The override was set, or would be in a dry run.
    Set {
        /// The override, with its id and its end.
        record: Override,
        /// What the override changes.
        preview: Preview,
        /// Whether this was a dry run, which sets nothing.
        dry_run: bool,
    },
    /// The override was cleared.
    Cleared {
        /// The override that was cleared.
        id: OverrideId,
    },
    /// The active overrides.
    List {
        /// The version of the overrides, for `if_version`.
        version: u64,
        /// The active overrides, each with the seconds until it ends.
        #[serde(rename = "standing")]
        overrides: Vec<(Override, f64)>,
        /// The number of nodes on a recovery ramp, whose load is still reduced after their overrides have ended.
        returning: usize,
        /// Seconds until the last of these nodes is back at full load.
        returning_within_s: f64,
    },
    /// Why a node has its effective state and weight.
    Explain(Box<Explanation>),
    /// The status of the host.
    Status(Box<HostStatus>),
    /// The host's view of its peers.
    Members(Box<crate::MembersStatus>),
    /// The response to a request about plans.
    Plan(crate::PlanResponse),
    /// The response to a request about consensus.
    #[serde(rename = "agreement")]
    Consensus(crate::ConsensusResponse),
    /// The request fails a check of the overrides. Nothing has changed.
    Refused(Refusal),
    /// The store could not write the change, so the change does not apply.
    NotKept {
        /// The error of the store.
        why: String,
    },
    /// The host can't process the request, or not now. Nothing has changed.
    Unavailable {
        /// The missing settings, or the limit that was reached.
        why: String,
    },
}

/// The status of a host, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's number.
    pub host: u32,
    /// The number of active overrides.
    pub overrides: usize,
    /// The version of the overrides.
    pub version: u64,
    /// The number of nodes on a recovery ramp, whose load is still reduced after their overrides have ended.
    pub returning: usize,
    /// The number of hosts that are believed to be alive, this one included; 0 if the settings have no membership.
    #[serde(default)]
    #[serde(rename = "there")]
    pub alive_hosts: u32,
    /// The number of commands that have no answer yet.
    pub commands: usize,
    /// The number of attempts in flight.
    #[serde(rename = "legs")]
    pub attempts: usize,
    /// Commands received since the start.
    #[serde(rename = "taken")]
    pub commands_received: u64,
    /// Commands done since the start.
    pub done: u64,
    /// Commands rejected since the start.
    #[serde(rename = "deferred")]
    pub rejected: u64,
    /// Commands failed since the start.
    #[serde(rename = "abandoned")]
    pub failed: u64,
    /// Each node's address, its state in the endpoint list, and its effective state.
    pub nodes: Vec<(SocketAddr, String, String)>,
}
