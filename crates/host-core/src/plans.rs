//! Plans as they apply to this host. One host of the fleet, the home, accepts changes: it checks them one at a time and persists each before
//! it applies, and all others replicate them in the home's order. The newest change that a host has applies to it; docs/plans.md argues
//! why no volume exceeds its limit (rule 7) while hosts learn of a change at different times.

mod changes;
mod from_settings;
mod messages;
mod replicated;

pub(crate) use self::changes::{AppliedChange, PersistedChange, PlanOutcome, PlanUpdate};
pub use self::changes::{StoredPlans, VolumeLimit};
use self::from_settings::{catalog_of_settings, fleet};
pub use self::messages::{PlanRequest, PlanResponse, PlanStatus};
pub(crate) use self::replicated::{ChangePreview, CommittedChange};
use crate::error::{PersistError, PlanError};
use crate::event::PlanEvent;
use std::collections::{BTreeMap, VecDeque};
use tackmast::interface::{Instant, Plan as Figures, PlanId, TimeDelta};
use tackmast_config::{HostSettings, PlansBlock};
use tackmast_membership::{CatalogVersion, MAX_CATALOG_UPDATES, MAX_UPDATE_LEN};
use tackmast_plans::{
    Catalogue, Change, ChangeLog, ChangeLogError, Entry, Fleet, LogHead, Plan, Proposal, ReplicatedPlans,
    Step,
};

/// Changes that may wait for the one before them to be persisted.
const MAX_QUEUED_CHANGES: usize = 256;
/// Names of plans that were ever used since this host's start: the scheduler knows plans by numbers, which are not given again.
const MAX_PLAN_NAMES: usize = 100_000;
/// What the scheduler gets in place of a limit of zero, which would mean no limit; in units a second.
const LIMIT_IN_PLACE_OF_ZERO: f64 = 1e-6;
/// The longest change log that fits one answer, in bytes.
const MAX_LOG_BYTES: usize = 3 << 20;

/// The plans of this host: the log of their changes, and the one change at a time that is being written.
pub struct Plans {
    change_log: ChangeLog,
    /// In place of the change log, where changes need consensus.
    replicated: Option<ReplicatedPlans>,
    /// In degraded mode, without a lease, the fallback limits apply to this host.
    degraded: bool,
    fleet: Fleet,
    me: u32,
    home: u32,
    settle: TimeDelta,
    effective_at: Instant,
    /// Until when clients wait for the newest change, at most.
    clients_wait_until: Option<Instant>,
    pending: Option<PendingChange>,
    /// Changes that wait for the pending one, each with the number that it came under.
    queued: VecDeque<(u64, PlanRequest)>,
    plan_ids: BTreeMap<String, PlanId>,
}

/// A change that is being persisted.
struct PendingChange {
    /// The number that the request came under.
    request: u64,
    entry: Box<Entry>,
    /// The catalogue that it leads to.
    catalogue: Catalogue,
}

/// Hexadecimal digits of a digest that make its prefix.
const PREFIX_DIGITS: usize = 16;

/// The first eight bytes of a digest, by which hosts compare their change logs.
fn digest_prefix(digest: &str) -> u64 {
    let digits = digest.get(..PREFIX_DIGITS).unwrap_or_default();
    u64::from_str_radix(digits, 16).unwrap_or(0)
}

impl Plans {
    /// `persisted` is the change log of an earlier generation, as it was written; none: this is the first. Clients wait for the
    /// newest change for as long as a change may take at most, if there is anyone to hear it from.
    pub fn new(
        now: Instant,
        settings: &HostSettings,
        block: &PlansBlock,
        persisted: &[u8],
    ) -> Result<Self, ChangeLogError> {
        let fleet = fleet(settings, block);
        let from_settings = ChangeLog::starting_with(catalog_of_settings(settings));
        let change_log = match persisted {
            [] => from_settings.clone(),
            persisted => ChangeLog::from_bytes(persisted, &fleet)?,
        };
        if change_log.checkpoint != from_settings.checkpoint {
            let found = "it begins with other plans, volumes or stream types than these settings".to_owned();
            let expected = "the settings that it began with, or no trail".to_owned();
            return Err(ChangeLogError::Broken { number: 0, found, expected });
        }
        let settle = TimeDelta::from_secs(block.settle_s);
        let alone = settings.host.number == block.home || settings.membership.is_none();
        Ok(Plans {
            change_log,
            replicated: None,
            degraded: false,
            fleet,
            me: settings.host.number,
            home: block.home,
            settle,
            effective_at: now,
            clients_wait_until: (!alone).then_some(now + settle),
            pending: None,
            queued: VecDeque::new(),
            plan_ids: (0..).zip(&settings.plans).map(|(id, plan)| (plan.name.clone(), PlanId(id))).collect(),
        })
    }

    fn change_log(&self) -> &ChangeLog {
        self.replicated.as_ref().map_or(&self.change_log, |replicated| &replicated.change_log)
    }

    /// The version of the plans that apply.
    pub fn version(&self) -> u64 {
        self.change_log().catalogue.version
    }

    /// The change that undoes an entry.
    pub fn undo_change(&self, number: u64, who: &str, why: &str) -> Result<Change, PlanError> {
        let found = self.change_log().undo_change(number, who, why);
        found.ok_or(PlanError::UnknownChange { number })
    }

    /// Each plan, as it applies now.
    pub fn all_updates(&mut self) -> Vec<PlanUpdate> {
        let to = self.change_log().catalogue.clone();
        let mut nothing = to.clone();
        nothing.plans.clear();
        self.updates(&nothing, &to)
    }

    /// The figures of a plan for the scheduler. In degraded mode a newer change may have lowered them; so the host uses what no change can
    /// have gone below: the fallback limit, and the least burst that any plan of these volumes must have.
    fn figures(&self, name: &str, plan: &Plan, catalogue: &Catalogue) -> Figures {
        let fallback_limit = plan.fallback_limit();
        let (limit, burst, slack, reserve, weight) =
            (plan.limit, plan.burst, plan.slack, plan.reserve, plan.weight);
        if !self.degraded || fallback_limit.is_infinite() {
            return Figures { limit, burst, slack, reserve, weight };
        }
        if fallback_limit <= 0.0 {
            // Without a burst nothing can be sent, and requests are rejected at once.
            return Figures { limit: LIMIT_IN_PLACE_OF_ZERO, burst: 0.0, slack, reserve: 0.0, weight };
        }
        let volumes = catalogue.volumes.values().filter(|volume| volume.plan == name);
        let min_hosts = volumes.map(|volume| volume.through.len()).min().unwrap_or(0);
        let min_burst = self.fleet.max_units * min_hosts as f64;
        let burst = if burst > 0.0 { burst.min(min_burst) } else { min_burst };
        Figures { limit: fallback_limit, burst, slack, reserve: reserve.min(fallback_limit), weight }
    }

    /// Number of the newest change, and the prefix of its digest.
    pub fn newest_version(&self) -> CatalogVersion {
        let LogHead { number, digest } = self.change_log().head();
        CatalogVersion { number, digest_prefix: digest_prefix(digest) }
    }

    /// Each change as a text, for peers that request it.
    pub fn encoded_changes(&self) -> impl Iterator<Item = (u64, Vec<u8>)> + '_ {
        self.change_log.entries.iter().map(|entry| (entry.number, entry.to_line()))
    }

    /// Applies the changes that an earlier generation had persisted, on top of the settings.
    pub fn resume(&mut self) -> Vec<PlanUpdate> {
        let (from, to) = (self.change_log.checkpoint.catalogue.clone(), self.change_log.catalogue.clone());
        self.updates(&from, &to)
    }

    /// The line that a stored change log begins with.
    pub fn checkpoint_line(&self) -> Vec<u8> {
        let bare = ChangeLog { entries: Vec::new(), ..self.change_log.clone() };
        bare.to_bytes()
    }

    /// Whether clients are to wait. They wait no longer once this host is up to date, or has waited for as long as a change may take.
    pub fn must_wait_for_catalog(&mut self, now: Instant, up_to_date: bool) -> bool {
        self.clients_wait_until = self.clients_wait_until.filter(|until| now < *until && !up_to_date);
        self.clients_wait_until.is_some()
    }

    /// Answers a request, or begins to persist the change that it asks for. Each change is checked against what applies once the one before
    /// it is persisted.
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

    fn log_response(&self) -> Result<PlanResponse, PlanError> {
        let text = String::from_utf8(self.change_log().to_bytes()).unwrap_or_default();
        if text.len() > MAX_LOG_BYTES {
            return Err(PlanError::LogTooLong { bytes: text.len(), max: MAX_LOG_BYTES });
        }
        Ok(PlanResponse::Log { text, fleet: self.fleet.clone() })
    }

    /// A change: only tried, queued behind the one that is being persisted, or given to the store.
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
            let (number, version, in_force_s) = (entry.number, entry.version, self.settle.secs());
            let applied = PlanResponse::Applied { number, version, lines, in_force_s, dry_run };
            return Ok(Some(PlanOutcome::Respond { request, response: applied }));
        }
        let entry = Box::new(entry);
        self.pending = Some(PendingChange { request, entry: entry.clone(), catalogue: next });
        Ok(Some(PlanOutcome::Persist { request, entry }))
    }

    /// The entry that a change makes, and the catalogue that it leads to, if it may apply.
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

    /// The store has written a change, which applies from now on, or could not write it, and it never applies.
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
        let (number, version, in_force_s) = (entry.number, entry.version, self.settle.secs());
        self.change_log.append(*entry, next);
        self.effective_at = now + self.settle;
        let applied = Some(self.applied_change(&before)?);
        let response = PlanResponse::Applied { number, version, lines, in_force_s, dry_run: false };
        Some(PersistedChange { response, applied })
    }

    /// A change that the home has accepted: it applies here from now on, if it is the next one.
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

    /// The next queued request, once none is pending.
    pub fn next_queued(&mut self) -> Option<(u64, PlanRequest)> {
        if self.pending.is_some() {
            return None;
        }
        self.queued.pop_front()
    }

    /// What changes for the scheduler between two catalogues. Plans come first, since a volume may move to a new plan.
    fn updates(&mut self, from: &Catalogue, to: &Catalogue) -> Vec<PlanUpdate> {
        let mut updates = Vec::new();
        for (name, plan) in to.plans.iter().filter(|(name, plan)| from.plans.get(*name) != Some(*plan)) {
            let next = PlanId(self.plan_ids.len() as u32);
            let id = *self.plan_ids.entry(name.clone()).or_insert(next);
            updates.push(PlanUpdate::Plan { plan: id, figures: self.figures(name, plan, to) });
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

    /// Limit, burst and slack of a volume as they apply here.
    pub fn volume_limit(&self, volume: &str) -> Option<VolumeLimit> {
        let volume = self.change_log().catalogue.volumes.get(volume)?;
        self.change_log().catalogue.plans.get(&volume.plan).map(|plan| VolumeLimit {
            limit: plan.limit,
            burst: plan.burst,
            slack: plan.slack,
        })
    }

    /// The number of the newest change.
    pub fn newest_change(&self) -> u64 {
        self.change_log().head().number
    }

    /// The plans as operators see them.
    pub fn status(&self, now: Instant) -> PlanStatus {
        let LogHead { number, digest } = self.change_log().head();
        PlanStatus {
            host: self.me,
            home: self.home,
            number,
            digest: digest.to_owned(),
            in_force_s: (self.effective_at - now).secs().max(0.0),
            settle_s: self.settle.secs(),
            catalogue: self.change_log().catalogue.clone(),
            fleet: self.fleet.clone(),
            clients_wait: self.clients_wait_until.is_some(),
            reported_changes: BTreeMap::new(),
            stale: false,
        }
    }
}
