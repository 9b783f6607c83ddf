//! Requests of operators about consensus, and the responses. Both are JSON on the admin socket; a `rename` attribute keeps the name that
//! scripts of operators know.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A request of an operator to the replica of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConsensusRequest {
    /// Requests the status of the replica.
    Status,
    /// Adds or removes a voter. Only the leader accepts this.
    Voter {
        /// The number of the voter's host.
        host: u32,
        /// Whether the host is added; otherwise it is removed.
        votes: bool,
    },
    /// Begins a new log with this host as the only voter and the state that it has, after a majority of the voters is lost for good.
    Force {
        /// The operator, for the audit log.
        who: String,
        /// The reason, for the audit log.
        why: String,
    },
    /// Discards the log of this host, so that it follows a log that was forced at another host.
    Forget {
        /// The operator, for the audit log.
        who: String,
        /// The reason, for the audit log.
        why: String,
    },
}

/// The response to a `ConsensusRequest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConsensusResponse {
    /// The status of the replica.
    Status(Box<ConsensusStatus>),
    /// The host has begun a new log or discarded its log, and an audit record of it is given to the store.
    Done {
        /// The id of the new log, or 0 after `Forget`.
        log: u64,
    },
    /// The change of the voters was appended to the log. It applies once a majority has stored it.
    Taken {
        /// The index of the entry.
        index: u64,
    },
    /// The request was refused. Nothing has changed.
    Refused {
        /// The reason.
        why: String,
    },
}

/// The status of a host's replica, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConsensusStatus {
    /// The host's number.
    pub host: u32,
    /// The host's generation.
    #[serde(rename = "life")]
    pub generation: u64,
    /// `leads`, `follows` or `asks for votes`.
    pub role: String,
    /// The newest term that the replica has seen.
    pub term: u64,
    /// The leader's host number; `None` if no leader is known.
    pub leader: Option<u32>,
    /// The id of the log. Hosts with different ids follow different logs.
    #[serde(rename = "log")]
    pub log_id: u64,
    /// The numbers of the hosts that vote.
    pub voters: Vec<u32>,
    /// Whether this host votes.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Whether the initial voters have begun the log.
    #[serde(rename = "founded")]
    pub bootstrapped: bool,
    /// Whether a write to the host's disk has failed, so that the replica neither votes nor leads until it restarts.
    #[serde(rename = "failed")]
    pub disk_failed: bool,
    /// The index of the last entry of the log.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The index of the last committed entry.
    #[serde(rename = "commit")]
    pub commit_index: u64,
    /// The index of the last entry that the snapshot covers.
    #[serde(rename = "folded")]
    pub snapshot_index: u64,
    /// The version of the plans that apply at this host.
    pub version: u64,
    /// The newest version of the plans that all hosts are known to have stored.
    #[serde(rename = "told")]
    pub acknowledged: u64,
    /// The state of the host's lease: `holds` if it is valid, `past` if it has expired, `never` if there was none since the start.
    pub lease: String,
    /// Seconds until a valid lease ends, or since an expired one ended.
    pub lease_s: f64,
    /// Whether the host is in degraded mode, in which it keeps to the fallback limits.
    #[serde(rename = "posture")]
    pub degraded: bool,
    /// Seconds until the newest entry that this host knows to be committed applies at all hosts.
    pub in_force_s: f64,
    /// By host number, the index of the last entry that the host reported to have stored, and the seconds since that report. Empty
    /// unless this host is the leader.
    #[serde(rename = "has")]
    pub followers: BTreeMap<u32, (u64, f64)>,
    /// Elections that this host has started.
    pub elections: u64,
    /// Entries that this host has seen committed.
    pub commits: u64,
    /// Leases that this host has granted as leader.
    #[serde(rename = "granted")]
    pub granted_leases: u64,
    /// Messages rejected because they came from a disk that is not the voter's, or is an old copy of it.
    #[serde(rename = "wrong_disks")]
    pub rejected_disks: u64,
    /// Messages dropped because too many waited for the disk, were too long, or did not arrive in full.
    #[serde(rename = "lost")]
    pub dropped_messages: u64,
}
