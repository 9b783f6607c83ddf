//! Requests of operators about consensus, and the answers.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an operator asks of this host's consensus.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConsensusRequest {
    /// The status of this host's replica.
    Status,
    /// Adds or removes a voter; for the leader.
    Voter {
        /// The voter's host.
        host: u32,
        /// Whether it votes from now on.
        votes: bool,
    },
    /// The majority is gone for good: this host begins a new log alone, with what it has.
    Force {
        /// Who asks.
        who: String,
        /// For what reason.
        why: String,
    },
    /// This host discards its log, to follow one that was forced at another host.
    Forget {
        /// Who asks.
        who: String,
        /// For what reason.
        why: String,
    },
}

/// The answer to a `ConsensusRequest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConsensusResponse {
    /// The status of this host's replica.
    Status(Box<ConsensusStatus>),
    /// Done here, and written into the audit log.
    Done {
        /// The id of the new log of `Force`; 0: none.
        log: u64,
    },
    /// It is in the log, and applies once a majority has stored it.
    Taken {
        /// Its index in the log.
        index: u64,
    },
    /// Nothing was done.
    Refused {
        /// Why not.
        why: String,
    },
}

/// The replica of a host as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConsensusStatus {
    /// This host.
    pub host: u32,
    /// Its generation.
    #[serde(rename = "life")]
    pub generation: u64,
    /// Leader, follower or candidate.
    pub role: String,
    /// The current term.
    pub term: u64,
    /// The leader, where one is known.
    pub leader: Option<u32>,
    /// The id of the log: hosts with different ones do not share one.
    #[serde(rename = "log")]
    pub log_id: u64,
    /// Hosts that vote.
    pub voters: Vec<u32>,
    /// Whether this host votes.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Whether the log has its initial voters.
    #[serde(rename = "founded")]
    pub bootstrapped: bool,
    /// Whether its disk takes no writes.
    #[serde(rename = "failed")]
    pub disk_failed: bool,
    /// The index of the last entry.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The index up to which entries are committed.
    #[serde(rename = "commit")]
    pub commit_index: u64,
    /// The index up to which entries are in the snapshot.
    #[serde(rename = "folded")]
    pub snapshot_index: u64,
    /// The version of the plans that apply here.
    pub version: u64,
    /// The newest version of the plans that is known to be stored on all hosts.
    #[serde(rename = "told")]
    pub acknowledged: u64,
    /// `holds`, `past` or `never`.
    pub lease: String,
    /// Seconds until the lease ends, or since it did.
    pub lease_s: f64,
    /// Whether it is in degraded mode, with the fallback limits.
    #[serde(rename = "posture")]
    pub degraded: bool,
    /// Seconds until the newest version that this host has applies at all hosts.
    pub in_force_s: f64,
    /// Where it leads: by host, the last entry that the host reported to have stored, and seconds since its last response.
    #[serde(rename = "has")]
    pub followers: BTreeMap<u32, (u64, f64)>,
    /// Elections begun here.
    pub elections: u64,
    /// Entries committed here.
    pub commits: u64,
    /// Leases granted here.
    #[serde(rename = "granted")]
    pub granted_leases: u64,
    /// Messages rejected because they came from another disk of a voter.
    #[serde(rename = "wrong_disks")]
    pub rejected_disks: u64,
    /// Messages dropped.
    #[serde(rename = "lost")]
    pub dropped_messages: u64,
}
