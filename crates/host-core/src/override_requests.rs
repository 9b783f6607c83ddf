//! Requests of operators that set, clear or list overrides. Changes are checked one at a time and persisted before they apply. The core
//! passes them to the scheduler as states, weights and pins of nodes.

use crate::admin_request::{AdminRequest, AdminResponse};
use crate::error::PersistError;
use crate::event::OverrideEvent;
use crate::peers::HostIdentity;
use crate::persist_batch::PersistBatch;
use std::collections::VecDeque;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_overrides::{Audit, Origin, Override, OverrideId, Overrides, Preview, Refusal};

/// Greatest number of requests that wait until the change before them is persisted.
const MAX_QUEUED_REQUESTS: usize = 256;
/// Time between two reports of the active overrides in the log.
const REPORT_INTERVAL: TimeDelta = TimeDelta::from_millis(3_600_000);
/// Greatest number of active overrides that a report lists one by one.
const MAX_REPORTED_OVERRIDES: usize = 20;

/// A change of the overrides that is being persisted.
enum Pending {
    Set { record: Box<Override>, preview: Box<Preview> },
    Clear { id: OverrideId, who: String },
}

/// The overrides of this host, and the requests that change them.
pub(crate) struct OverrideRequests {
    /// The active overrides.
    pub overrides: Overrides,
    /// The change that is being persisted, with the caller's number of its request.
    pending: Option<(u64, Pending)>,
    /// Requests that wait for the pending change, each with the caller's number.
    queued: VecDeque<(u64, AdminRequest)>,
    next_report_at: Instant,
    /// This host's identity, which becomes part of the origin of overrides set here; `None` if hosts do not replicate overrides.
    pub me: Option<HostIdentity>,
}

/// The immediate result of a request.
pub(crate) enum OverrideOutcome {
    /// The request is answered at once.
    Respond {
        /// The caller's number of the request.
        request: u64,
        /// The response.
        response: AdminResponse,
    },
    /// The change has to be persisted; the request is answered afterwards.
    Persist {
        /// The caller's number of the request.
        request: u64,
        /// The batch to persist.
        batch: PersistBatch,
    },
}

/// The result of a change that was given to the store.
pub(crate) struct PersistedOverride {
    /// The response to the request.
    pub response: AdminResponse,
    /// The event to log.
    pub event: OverrideEvent,
}

impl OverrideRequests {
    /// Starts with the overrides that an earlier generation of this host had persisted.
    pub(crate) fn new(now: Instant, overrides: Overrides) -> Self {
        OverrideRequests { overrides, pending: None, queued: VecDeque::new(), next_report_at: now, me: None }
    }

    /// Answers a request or begins to persist its change; returns `None` if the request is queued. A change waits until the one before it
    /// is persisted: two overrides that are checked at the same time could together take the last two nodes of a shard out of service.
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
            if self.queued.len() >= MAX_QUEUED_REQUESTS {
                let why = format!("{MAX_QUEUED_REQUESTS} changes of overrides wait already; try again later");
                return Some(OverrideOutcome::Respond {
                    request,
                    response: AdminResponse::Unavailable { why },
                });
            }
            self.queued.push_back((request, admin_request));
            return None;
        }
        let no_block = |block: &str| AdminResponse::Unavailable {
            why: format!("this host has no {block} block in its settings"),
        };
        let response = match admin_request {
            AdminRequest::Set { override_request, force, dry_run, if_version } => {
                let proposed = self.overrides.propose(wall_us, &override_request, force, if_version);
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
            // The core fills in the next two.
            AdminRequest::Status => AdminResponse::Status(Box::default()),
            AdminRequest::Members => AdminResponse::Members(Box::default()),
            // The core answers these itself if its settings have the block.
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
        self.pending = Some((request, Pending::Set { record: Box::new(record), preview: Box::new(preview) }));
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
        self.pending = Some((request, Pending::Clear { id, who }));
        OverrideOutcome::Persist {
            request,
            batch: PersistBatch { remove: vec![id], audits, ..PersistBatch::default() },
        }
    }

    fn list(&self, now: Instant) -> AdminResponse {
        let (returning, returning_within_s) = self.overrides.returning();
        let (version, overrides) = (self.overrides.version(), self.overrides.list(now));
        AdminResponse::List { version, overrides, returning, returning_within_s }
    }

    /// Handles the result of the store. A change that was written applies from now on; one that could not be written never applies.
    pub(crate) fn handle_persisted(
        &mut self,
        now: Instant,
        request: u64,
        result: Result<(), PersistError>,
    ) -> Option<PersistedOverride> {
        let (_, pending) = self.pending.take_if(|(number, _)| *number == request)?;
        let (response, event) = match (pending, result) {
            (Pending::Set { record, .. }, Err(error)) => {
                let response = AdminResponse::NotKept { why: error.to_string() };
                (response, OverrideEvent::NotWritten { target: record.target, error })
            }
            (Pending::Set { record, preview }, Ok(())) => {
                let (record, preview) = (*record, *preview);
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
            (Pending::Clear { id, .. }, Err(error)) => {
                let response = AdminResponse::NotKept { why: error.to_string() };
                (response, OverrideEvent::ClearingNotWritten { id, error })
            }
            // If the override has ended while its clearing was being persisted, there is nothing left to clear.
            (Pending::Clear { id, who }, Ok(())) => {
                _ = self.overrides.clear(now, id, &who);
                (AdminResponse::Cleared { id }, OverrideEvent::Cleared { id, who })
            }
        };
        Some(PersistedOverride { response, event })
    }

    /// Returns the next queued request, unless a change is still being persisted.
    pub(crate) fn next_queued(&mut self) -> Option<(u64, AdminRequest)> {
        if self.pending.is_some() {
            return None;
        }
        self.queued.pop_front()
    }

    /// Returns the events that report the active overrides if a report is due: at the start and once an hour.
    pub(crate) fn poll_active_report(&mut self, now: Instant) -> Vec<OverrideEvent> {
        if now < self.next_report_at {
            return Vec::new();
        }
        self.next_report_at = now + REPORT_INTERVAL;
        let overrides = self.overrides.list(now);
        let active = |(record, left_secs): &(Override, f64)| OverrideEvent::Active {
            id: record.id,
            target: record.target,
            kind: record.kind,
            time_left: TimeDelta::from_secs(*left_secs),
            who: record.who.clone(),
            reason: record.reason.clone(),
        };
        let mut events: Vec<_> = overrides.iter().take(MAX_REPORTED_OVERRIDES).map(active).collect();
        if overrides.len() > MAX_REPORTED_OVERRIDES {
            events.push(OverrideEvent::MoreActive { count: overrides.len() - MAX_REPORTED_OVERRIDES });
        }
        events
    }

    /// Returns when the next override ends, a recovery ramp takes its next step, or the next report is due.
    pub(crate) fn poll_timeout(&self, now: Instant) -> Option<Instant> {
        [self.overrides.poll_timeout(now), Some(self.next_report_at)].into_iter().flatten().min()
    }
}
