//! The plans that apply at this host. Without consensus one host of the fleet, the home, accepts changes: it checks them one at a time,
//! persists each before it applies, and all other hosts replicate them in the home's order. Each host applies the newest change that it has;
//! docs/plans.md argues why no volume exceeds its limit (rule 7) while hosts learn of a change at different times.

mod changes;
mod from_settings;
mod messages;
mod replicated;

pub(crate) use self::changes::{AppliedChange, PersistedChange, PlanOutcome, PlanUpdate};
pub use self::changes::{StoredPlans, VolumeLimit};
use self::from_settings::{catalog_of_settings, fleet_of_settings};
pub use self::messages::{PlanRequest, PlanResponse, PlanStatus};
pub(crate) use self::replicated::{ChangePreview, CommittedChange};
use crate::error::{PersistError, PlanError};
use crate::event::PlanEvent;
use std::collections::{BTreeMap, VecDeque};
use tackmast::interface::{Instant, Plan as PlanParameters, PlanId, TimeDelta};
use tackmast_config::{HostSettings, PlansBlock};
use tackmast_membership::{CatalogVersion, MAX_CATALOG_UPDATES, MAX_UPDATE_LEN};
use tackmast_plans::{
    Catalogue, Change, ChangeLog, ChangeLogError, Entry, Fleet, LogHead, Plan, Proposal, ReplicatedPlans,
    Step,
};

/// Greatest number of changes that wait until the one before them is persisted.
const MAX_QUEUED_CHANGES: usize = 256;
/// Greatest number of plan names since this host's start. The scheduler knows plans by numbers, which are never reused.
const MAX_PLAN_NAMES: usize = 100_000;
/// The limit that the scheduler gets in place of zero, in units a second; zero would mean no limit.
const LIMIT_IN_PLACE_OF_ZERO: f64 = 1e-6;
/// The longest change log that fits into one response, in bytes.
const MAX_LOG_BYTES: usize = 3 << 20;

/// The plans of this host, the log of their changes, and the change that is being persisted.
pub struct Plans {
    change_log: ChangeLog,
    /// The replicated plans and their change log, which replace `change_log` if changes need consensus.
    replicated: Option<ReplicatedPlans>,
    /// Whether this host has no valid lease, so that it keeps to the fallback limits.
    degraded: bool,
    fleet: Fleet,
    me: u32,
    home: u32,
    /// How long after its acceptance a change applies at all hosts, without consensus.
    settle_time: TimeDelta,
    /// When the newest change applies at all hosts, without consensus.
    effective_at: Instant,
    /// The latest time until which clients are rejected because this host may not know the newest change; `None` if they are not.
    clients_wait_until: Option<Instant>,
    pending: Option<PendingChange>,
    /// Requests that wait for the pending change, each with the caller's number.
    queued: VecDeque<(u64, PlanRequest)>,
    /// The scheduler's numbers of all plans since this host's start, by name.
    plan_ids: BTreeMap<String, PlanId>,
}

/// A change that is being persisted.
struct PendingChange {
    /// The caller's number of the request.
    request: u64,
    entry: Box<Entry>,
    /// The catalogue after the change.
    catalogue: Catalogue,
}

/// Number of hexadecimal digits in the prefix of a digest.
const PREFIX_DIGITS: usize = 16;

/// Returns the first eight bytes of a digest, by which hosts compare their change logs.
fn digest_prefix(digest: &str) -> u64 {
    let digits = digest.get(..PREFIX_DIGITS).unwrap_or_default();
    u64::from_str_radix(digits, 16).unwrap_or(0)
}

impl Plans {
    /// Creates the plans of a host from its settings and the persisted change log of an earlier generation, which is empty at the first
    /// start. Unless this host is the home or has no peers, clients are rejected until a peer confirms that this host is up to date, at
    /// most for the settle time.
    ///
    /// # Errors
    ///
    /// Returns an error if the change log is damaged, or begins with other plans, volumes or traffic classes than the settings.
    pub fn new(
        now: Instant,
        settings: &HostSettings,
        block: &PlansBlock,
        persisted: &[u8],
    ) -> Result<Self, ChangeLogError> {
        let fleet = fleet_of_settings(settings, block);
        let from_settings = ChangeLog::starting_with(catalog_of_settings(settings));
        let change_log = match persisted {
            [] => from_settings.clone(),
            persisted => ChangeLog::from_bytes(persisted, &fleet)?,
        };
        if change_log.checkpoint != from_settings.checkpoint {
            let found =
                "it begins with other plans, volumes or traffic classes than these settings".to_owned();
            let expected = "the settings that it began with, or no change log".to_owned();
            return Err(ChangeLogError::Broken { number: 0, found, expected });
        }
        let settle_time = TimeDelta::from_secs(block.settle_s);
        let waits_for_home = settings.host.number != block.home && settings.membership.is_some();
        Ok(Plans {
            change_log,
            replicated: None,
            degraded: false,
            fleet,
            me: settings.host.number,
            home: block.home,
            settle_time,
            effective_at: now,
            clients_wait_until: waits_for_home.then_some(now + settle_time),
            pending: None,
            queued: VecDeque::new(),
            plan_ids: (0..).zip(&settings.plans).map(|(id, plan)| (plan.name.clone(), PlanId(id))).collect(),
        })
    }

    /// Returns the change log that applies, with or without consensus.
    fn change_log(&self) -> &ChangeLog {
        self.replicated.as_ref().map_or(&self.change_log, |replicated| &replicated.change_log)
    }

    /// Returns the version of the plans that apply.
    pub fn version(&self) -> u64 {
        self.change_log().catalogue.version
    }

    /// Returns the change that undoes an entry of the change log.
    pub fn undo_change(&self, number: u64, who: &str, why: &str) -> Result<Change, PlanError> {
        let found = self.change_log().undo_change(number, who, why);
        found.ok_or(PlanError::UnknownChange { number })
    }

    /// Returns an update for each plan, with the parameters that apply now.
    pub fn all_updates(&mut self) -> Vec<PlanUpdate> {
        let to = self.change_log().catalogue.clone();
        let mut nothing = to.clone();
        nothing.plans.clear();
        self.updates(&nothing, &to)
    }

    /// Returns the parameters of a plan for the scheduler.
    ///
    /// In degraded mode a newer change may have lowered the limit and the burst. So the host uses values below which no change can have
    /// gone: the fallback limit, and the smallest burst that validation allows for a plan of these volumes.
    fn plan_parameters(&self, name: &str, plan: &Plan, catalogue: &Catalogue) -> PlanParameters {
        let fallback_limit = plan.fallback_limit();
        let (limit, burst, slack, reserve, weight) =
            (plan.limit, plan.burst, plan.slack, plan.reserve, plan.weight);
        if !self.degraded || fallback_limit.is_infinite() {
            return PlanParameters { limit, burst, slack, reserve, weight };
        }
        if fallback_limit <= 0.0 {
            // With a burst of 0 nothing can be sent, and requests are rejected at once.
            return PlanParameters { limit: LIMIT_IN_PLACE_OF_ZERO, burst: 0.0, slack, reserve: 0.0, weight };
        }
        let volumes = catalogue.volumes.values().filter(|volume| volume.plan == name);
        let min_hosts = volumes.map(|volume| volume.through.len()).min().unwrap_or(0);
        let min_burst = self.fleet.max_units * min_hosts as f64;
        let burst = if burst > 0.0 { burst.min(min_burst) } else { min_burst };
        PlanParameters { limit: fallback_limit, burst, slack, reserve: reserve.min(fallback_limit), weight }
    }

    /// Returns the number of the newest change and the prefix of its digest.
    pub fn newest_version(&self) -> CatalogVersion {
        let LogHead { number, digest } = self.change_log().head();
        CatalogVersion { number, digest_prefix: digest_prefix(digest) }
    }

    /// Returns the number and the stored form of each change, for peers that request it.
    pub fn encoded_changes(&self) -> impl Iterator<Item = (u64, Vec<u8>)> + '_ {
        self.change_log.entries.iter().map(|entry| (entry.number, entry.to_line()))
    }

    /// Returns the updates that lead from the plans of the settings to those that an earlier generation had persisted.
    pub fn resume(&mut self) -> Vec<PlanUpdate> {
        let (from, to) = (self.change_log.checkpoint.catalogue.clone(), self.change_log.catalogue.clone());
        self.updates(&from, &to)
    }

    /// Returns the line of the checkpoint, with which a stored change log begins.
    pub fn checkpoint_line(&self) -> Vec<u8> {
        let without_entries = ChangeLog { entries: Vec::new(), ..self.change_log.clone() };
        without_entries.to_bytes()
    }

    /// Returns whether clients are to be rejected because this host may not know the newest change. That ends for good once the host is up
    /// to date or the settle time is over.
    pub fn must_wait_for_catalog(&mut self, now: Instant, up_to_date: bool) -> bool {
        self.clients_wait_until = self.clients_wait_until.filter(|until| now < *until && !up_to_date);
        self.clients_wait_until.is_some()
    }

    /// Answers a request or begins to persist its change; returns `None` if the request is queued. A change is checked only after the one
    /// before it is persisted, against the plans that then apply.
    pub fn handle_request(
        &mut self,
        now: Instant,
        wall_us: u64,
        request: u64,
        plan_request: PlanRequest,
    ) -> Option<PlanOutcome> {
        let response = match plan_request {
            PlanRequest::Show => Ok(PlanResponse::Shown(Box::new(self.status(now)))),
            PlanRequest::Log => self.log_response(),
            PlanRequest::Apply { .. } | PlanRequest::Undo { .. } => {
                match self.handle_change(wall_us, request, plan_request) {
                    Ok(outcome) => return outcome,
                    Err(error) => Err(error),
                }
            }
        };
        let response = response.unwrap_or_else(|error| PlanResponse::Refused { why: error.to_string() });
        Some(PlanOutcome::Respond { request, response })
    }

    /// Returns the change log as a response, or an error if it is too long for one.
    fn log_response(&self) -> Result<PlanResponse, PlanError> {
        let text = String::from_utf8(self.change_log().to_bytes()).unwrap_or_default();
        if text.len() > MAX_LOG_BYTES {
            return Err(PlanError::LogTooLong { bytes: text.len(), max: MAX_LOG_BYTES });
        }
        Ok(PlanResponse::Log { text, fleet: self.fleet.clone() })
    }

    /// Previews a change, queues it behind the one that is being persisted, or begins to persist it.
    fn handle_change(
        &mut self,
        wall_us: u64,
        request: u64,
        plan_request: PlanRequest,
    ) -> Result<Option<PlanOutcome>, PlanError> {
        let (change, dry_run) = match &plan_request {
            PlanRequest::Show | PlanRequest::Log => return Ok(None),
            PlanRequest::Apply { change, dry_run } => (change.clone(), *dry_run),
            PlanRequest::Undo { number, who, why, dry_run } => {
                (self.undo_change(*number, who, why)?, *dry_run)
            }
        };
        if self.me != self.home {
            return Err(PlanError::NotHome { home: self.home, host: self.me });
        }
        if self.pending.is_some() && !dry_run {
            if self.queued.len() >= MAX_QUEUED_CHANGES {
                return Err(PlanError::QueueFull { max: MAX_QUEUED_CHANGES });
            }
            self.queued.push_back((request, plan_request));
            return Ok(None);
        }
        let (entry, next) = self.check_change(wall_us, change)?;
        if dry_run {
            let lines = self.change_log.catalogue.diff(&next);
            let (number, version, in_force_s) = (entry.number, entry.version, self.settle_time.secs());
            let applied = PlanResponse::Applied { number, version, lines, in_force_s, dry_run };
            return Ok(Some(PlanOutcome::Respond { request, response: applied }));
        }
        let entry = Box::new(entry);
        self.pending = Some(PendingChange { request, entry: entry.clone(), catalogue: next });
        Ok(Some(PlanOutcome::Persist { request, entry }))
    }

    /// Validates a change and returns its entry of the change log and the catalogue after it.
    fn check_change(&self, wall_us: u64, change: Change) -> Result<(Entry, Catalogue), PlanError> {
        let Proposal { entry, catalogue: next } =
            self.change_log.propose(wall_us, change, &self.fleet).map_err(PlanError::Refused)?;
        self.change_log.catalogue.check_live_update(&next).map_err(PlanError::Refused)?;
        let bytes = entry.to_line().len();
        if bytes > MAX_UPDATE_LEN {
            return Err(PlanError::ChangeTooLong { bytes });
        }
        if self.change_log.entries.len() >= MAX_CATALOG_UPDATES {
            return Err(PlanError::ChangeLogFull);
        }
        let is_new =
            |step: &&Step| matches!(step, Step::Plan { name, .. } if !self.plan_ids.contains_key(name));
        if self.plan_ids.len() + entry.change.steps.iter().filter(is_new).count() > MAX_PLAN_NAMES {
            return Err(PlanError::TooManyNames { max: MAX_PLAN_NAMES });
        }
        Ok((entry, next))
    }

    /// Handles the result of the store. A change that was written applies from now on; one that could not be written does not apply. Returns
    /// `None` if the request is not that of the pending change.
    pub fn handle_persisted(
        &mut self,
        now: Instant,
        request: u64,
        result: Result<(), PersistError>,
    ) -> Option<PersistedChange> {
        let pending = self.pending.take_if(|pending| pending.request == request)?;
        let PendingChange { entry, catalogue: next, .. } = pending;
        if let Err(error) = result {
            let why = PlanError::NotPersisted(error).to_string();
            return Some(PersistedChange { response: PlanResponse::Refused { why }, applied: None });
        }
        let before = self.change_log.catalogue.clone();
        let lines = before.diff(&next);
        let (number, version, in_force_s) = (entry.number, entry.version, self.settle_time.secs());
        self.change_log.append(*entry, next);
        self.effective_at = now + self.settle_time;
        let applied = Some(self.applied_change(&before)?);
        let response = PlanResponse::Applied { number, version, lines, in_force_s, dry_run: false };
        Some(PersistedChange { response, applied })
    }

    /// Applies a change that the home has accepted, if it is the next entry of this host's change log.
    pub fn apply_peer_change(
        &mut self,
        text: &[u8],
        effective_at: Instant,
    ) -> Result<AppliedChange, PlanError> {
        let before = self.change_log.clone();
        self.change_log.append_line(text, &self.fleet)?;
        if let Err(refusal) = before.catalogue.check_live_update(&self.change_log.catalogue) {
            self.change_log = before;
            return Err(PlanError::Refused(refusal));
        }
        self.effective_at = effective_at;
        self.applied_change(&before.catalogue).ok_or(PlanError::NoEntry)
    }

    /// Returns the newest entry of the change log with the updates since the catalogue `before`; `None` if the log has no entry.
    fn applied_change(&mut self, before: &Catalogue) -> Option<AppliedChange> {
        let to = self.change_log.catalogue.clone();
        let updates = self.updates(before, &to);
        let entry = self.change_log.entries.last()?;
        let event = PlanEvent::change_applied(entry, updates.len());
        Some(AppliedChange {
            updates,
            number: entry.number,
            digest_prefix: digest_prefix(&entry.digest),
            text: entry.to_line(),
            effective_at: self.effective_at,
            event,
        })
    }

    /// Returns the next queued request, unless a change is still being persisted.
    pub fn next_queued(&mut self) -> Option<(u64, PlanRequest)> {
        if self.pending.is_some() {
            return None;
        }
        self.queued.pop_front()
    }

    /// Returns the updates between two catalogues. Those of plans come first, since a volume may move to a new plan.
    fn updates(&mut self, from: &Catalogue, to: &Catalogue) -> Vec<PlanUpdate> {
        let mut updates = Vec::new();
        for (name, plan) in to.plans.iter().filter(|(name, plan)| from.plans.get(*name) != Some(*plan)) {
            let next = PlanId(self.plan_ids.len() as u32);
            let id = *self.plan_ids.entry(name.clone()).or_insert(next);
            updates.push(PlanUpdate::Plan { plan: id, parameters: self.plan_parameters(name, plan, to) });
        }
        let plan_of = |catalogue: &Catalogue, name: &String| {
            catalogue.volumes.get(name).map(|volume| volume.plan.clone())
        };
        let has_changed_plan = |(name, volume): &(&String, &tackmast_plans::Volume)| {
            plan_of(from, name).as_ref() != Some(&volume.plan)
        };
        for (name, volume) in to.volumes.iter().filter(has_changed_plan) {
            let Some(plan) = self.plan_ids.get(&volume.plan) else { continue };
            updates.push(PlanUpdate::Volume { name: name.clone(), plan: *plan });
        }
        updates
    }

    /// Returns the limit of a volume by the plans of this host; `None` if there is no such volume.
    pub fn volume_limit(&self, volume: &str) -> Option<VolumeLimit> {
        let volume = self.change_log().catalogue.volumes.get(volume)?;
        self.change_log().catalogue.plans.get(&volume.plan).map(|plan| VolumeLimit {
            limit: plan.limit,
            burst: plan.burst,
            slack: plan.slack,
        })
    }

    /// Returns the number of the newest change; 0 before the first.
    pub fn newest_change(&self) -> u64 {
        self.change_log().head().number
    }

    /// Returns the plans and their state for operators. The core fills in the changes that other hosts report.
    pub fn status(&self, now: Instant) -> PlanStatus {
        let LogHead { number, digest } = self.change_log().head();
        PlanStatus {
            host: self.me,
            home: self.home,
            number,
            digest: digest.to_owned(),
            in_force_s: (self.effective_at - now).secs().max(0.0),
            settle_s: self.settle_time.secs(),
            catalogue: self.change_log().catalogue.clone(),
            fleet: self.fleet.clone(),
            clients_wait: self.clients_wait_until.is_some(),
            reported_changes: BTreeMap::new(),
            stale: false,
        }
    }
}
