//! Operators' overrides within the host core: requests are judged one at a time, persisted before they apply, and
//! reach the scheduler as node states, weights and pins.

use crate::error::PersistError;
use crate::event::OverrideEvent;
use crate::peers::HostIdentity;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_overrides::{
    Audit, Explanation, Order, Origin, Override, OverrideId, Overrides, Preview, Refusal,
};

/// Requests that may wait for the one before them to be written.
const MAX_QUEUED: usize = 256;
/// Seconds between reports of active overrides in the log.
const REPORT_INTERVAL_S: f64 = 3600.0;
/// Active overrides that such a report names one by one.
const MAX_REPORTED_OVERRIDES: usize = 20;

/// What an operator asks of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRequest {
    /// Set an override.
    Set {
        /// What is overridden, how, and for how long.
        order: Order,
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
        standing: Vec<(Override, f64)>,
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
    /// Hosts that are thought to be there, this one included; 0: it hears of none.
    #[serde(default)]
    #[serde(rename = "there")]
    pub alive_hosts: u32,
    /// Commands without an answer.
    pub commands: usize,
    /// Attempts in flight.
    #[serde(rename = "legs")]
    pub attempts: usize,
    /// Commands received.
    pub taken: u64,
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

/// What is to be written before the host acts on it; all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistBatch {
    /// Overrides that were set.
    pub put: Vec<Override>,
    /// Overrides that ended.
    pub remove: Vec<OverrideId>,
    /// Entries of the audit trail.
    pub audits: Vec<Audit>,
    /// Changes of plans by number, as they are written; the checkpoint of the change log is number 0.
    pub changes: Vec<(u64, Vec<u8>)>,
    /// Peers for the next generation to contact, and this one's generation.
    pub members: Option<tackmast_membership::PersistedMembers>,
    /// A write of the replicated log.
    pub consensus: Option<Box<tackmast_consensus::Write>>,
}

enum Pending {
    Put(Box<(Override, Preview)>),
    Clear(OverrideId, String),
}

/// Overrides, and the one request at a time that changes them.
pub(crate) struct OverrideRequests {
    /// The overrides that are set.
    pub overrides: Overrides,
    pending: Option<(u64, Pending)>,
    queued: VecDeque<(u64, AdminRequest)>,
    next_report_at: Instant,
    /// Host and generation that name overrides set here, where hosts replicate theirs.
    pub me: Option<HostIdentity>,
}

/// What a request leads to.
pub(crate) enum OverrideOutcome {
    /// An answer at once.
    Respond {
        /// The number that the request came under.
        request: u64,
        /// The answer.
        response: AdminResponse,
    },
    /// A write, and an answer once it is done.
    Persist {
        /// The number that the request came under.
        request: u64,
        /// What is written.
        batch: PersistBatch,
    },
}

/// What became of a change that was given to the store.
pub(crate) struct PersistedOverride {
    /// The answer to whoever asked for it.
    pub response: AdminResponse,
    /// For the log.
    pub event: OverrideEvent,
}

impl OverrideRequests {
    /// Takes over overrides that are set.
    pub(crate) fn new(now: Instant, overrides: Overrides) -> Self {
        OverrideRequests { overrides, pending: None, queued: VecDeque::new(), next_report_at: now, me: None }
    }

    /// Answers a request, or starts writing what it asks for. Two overrides at once could each leave a shard its last node
    /// that the other takes, so they are judged one after the other.
    pub(crate) fn handle_request(
        &mut self,
        now: Instant,
        wall_us: u64,
        request: u64,
        admin_request: AdminRequest,
    ) -> Option<OverrideOutcome> {
        let writes =
            matches!(admin_request, AdminRequest::Clear { .. } | AdminRequest::Set { dry_run: false, .. });
        if writes && self.pending.is_some() {
            if self.queued.len() >= MAX_QUEUED {
                let why = format!("{MAX_QUEUED} orders wait already");
                return Some(OverrideOutcome::Respond { request, response: AdminResponse::NotKept { why } });
            }
            self.queued.push_back((request, admin_request));
            return None;
        }
        let no_block = |block: &str| AdminResponse::NotKept {
            why: format!("this host has no {block} block in its settings"),
        };
        let response = match admin_request {
            AdminRequest::Set { order, force, dry_run, if_version } => {
                let proposed = self.overrides.propose(wall_us, &order, force, if_version);
                return Some(match proposed {
                    Err(refusal) => {
                        OverrideOutcome::Respond { request, response: AdminResponse::Refused(refusal) }
                    }
                    Ok((record, preview)) if dry_run => OverrideOutcome::Respond {
                        request,
                        response: AdminResponse::Set { record, preview, dry_run },
                    },
                    Ok((record, preview)) => self.begin_set(request, record, preview),
                });
            }
            AdminRequest::Clear { id, who } => return Some(self.begin_clear(wall_us, request, id, who)),
            AdminRequest::List => self.list(now),
            AdminRequest::Explain { address } => {
                AdminResponse::Explain(Box::new(self.overrides.explain(now, address)))
            }
            AdminRequest::Status => AdminResponse::Status(Box::default()),
            AdminRequest::Members => AdminResponse::Members(Box::default()),
            // The core answers these where it can.
            AdminRequest::Consensus(_) => no_block("agreement"),
            AdminRequest::Plan(_) => no_block("plans"),
        };
        Some(OverrideOutcome::Respond { request, response })
    }

    fn begin_set(&mut self, request: u64, mut record: Override, preview: Preview) -> OverrideOutcome {
        record.id = self.overrides.reserve();
        let number = record.id.0;
        let own_origin = self.me.map(|me| Origin { slot: me.slot, generation: me.generation, number });
        record.origin = record.origin.or(own_origin);
        let audit = Audit::set(&record, preview.forced_past.is_some());
        let batch =
            PersistBatch { put: vec![record.clone()], audits: vec![audit], ..PersistBatch::default() };
        self.pending = Some((request, Pending::Put(Box::new((record, preview)))));
        OverrideOutcome::Persist { request, batch }
    }

    fn begin_clear(&mut self, wall_us: u64, request: u64, id: OverrideId, who: String) -> OverrideOutcome {
        let Some(record) = self.overrides.get(id) else {
            return OverrideOutcome::Respond {
                request,
                response: AdminResponse::Refused(Refusal::Unknown { id }),
            };
        };
        let audits = vec![Audit::cleared(wall_us, record, &who)];
        self.pending = Some((request, Pending::Clear(id, who)));
        OverrideOutcome::Persist {
            request,
            batch: PersistBatch { remove: vec![id], audits, ..PersistBatch::default() },
        }
    }

    fn list(&self, now: Instant) -> AdminResponse {
        let (returning, returning_within_s) = self.overrides.returning();
        let (version, standing) = (self.overrides.version(), self.overrides.list(now));
        AdminResponse::List { version, standing, returning, returning_within_s }
    }

    /// The store has written a change, and it applies, or could not, and it never does.
    pub(crate) fn handle_persisted(
        &mut self,
        now: Instant,
        request: u64,
        result: Result<(), PersistError>,
    ) -> Option<PersistedOverride> {
        let (_, pending) = self.pending.take_if(|(r, _)| *r == request)?;
        let (response, event) = match (pending, result) {
            (Pending::Put(put), Err(error)) => {
                let (record, _) = *put;
                let response = AdminResponse::NotKept { why: error.to_string() };
                (response, OverrideEvent::NotWritten { target: record.target, error })
            }
            (Pending::Put(put), Ok(())) => {
                let (record, preview) = *put;
                let event = OverrideEvent::Set {
                    id: record.id,
                    target: record.target,
                    kind: record.kind,
                    who: record.who.clone(),
                    reason: record.reason.clone(),
                    changed_nodes: preview.changes.len(),
                };
                self.overrides.put(now, record.clone());
                (AdminResponse::Set { record, preview, dry_run: false }, event)
            }
            (Pending::Clear(id, _), Err(error)) => {
                let response = AdminResponse::NotKept { why: error.to_string() };
                (response, OverrideEvent::ClearingNotWritten { id, error })
            }
            // It may have ended while its clearing was written; either way it does not stand.
            (Pending::Clear(id, who), Ok(())) => {
                _ = self.overrides.clear(now, id, &who);
                (AdminResponse::Cleared { id }, OverrideEvent::Cleared { id, who })
            }
        };
        Some(PersistedOverride { response, event })
    }

    /// The next queued request, once none is pending.
    pub(crate) fn next_queued(&mut self) -> Option<(u64, AdminRequest)> {
        if self.pending.is_some() {
            return None;
        }
        self.queued.pop_front()
    }

    /// Reports active overrides, at the start and each hour.
    pub(crate) fn poll_active_report(&mut self, now: Instant) -> Vec<OverrideEvent> {
        if now < self.next_report_at {
            return Vec::new();
        }
        self.next_report_at = now + TimeDelta::from_secs(REPORT_INTERVAL_S);
        let standing = self.overrides.list(now);
        let active = |(record, left_secs): &(Override, f64)| OverrideEvent::Active {
            id: record.id,
            target: record.target,
            kind: record.kind,
            time_left: TimeDelta::from_secs(*left_secs),
            who: record.who.clone(),
            reason: record.reason.clone(),
        };
        let mut events: Vec<_> = standing.iter().take(MAX_REPORTED_OVERRIDES).map(active).collect();
        if standing.len() > MAX_REPORTED_OVERRIDES {
            events.push(OverrideEvent::MoreActive { count: standing.len() - MAX_REPORTED_OVERRIDES });
        }
        events
    }

    /// When an override ends, or the next report is due.
    pub(crate) fn next(&self, now: Instant) -> Option<Instant> {
        [self.overrides.poll_timeout(now), Some(self.next_report_at)].into_iter().flatten().min()
    }
}
