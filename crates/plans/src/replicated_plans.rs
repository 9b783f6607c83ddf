//! The state machine that hosts replicate: the change log, and for each volume the fallback limits that some host may still use.
//! After each command of the consensus log, the stored state of all hosts is identical byte for byte.

use crate::catalogue::Catalogue;
use crate::change::{Change, Refusal};
use crate::change_log::{ChangeLog, ChangeLogError, Proposal};
use crate::entry::Entry;
use crate::model::Fleet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The number of entries of the change log that compaction keeps.
const RETAINED_ENTRIES: usize = 1_000;
/// The number of entries beyond `RETAINED_ENTRIES` at which the change log is compacted.
const COMPACTION_SURPLUS: usize = 250;

/// One command of the consensus log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Changes the catalogue.
    Change {
        /// The Unix time in microseconds, by the clock of the host that received the change.
        at_us: u64,
        /// The change.
        change: Change,
    },
    /// States that all hosts of the fleet have a version on disk, so that no host uses fallback limits from before it any more.
    #[serde(rename = "told")]
    Notified {
        /// The version.
        version: u64,
    },
}

/// A fallback limit and the version that set it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct VersionedLimit {
    version: u64,
    /// In units per second; infinite if there is no limit.
    limit: f64,
}

/// The state of hosts that replicate changes.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicatedPlans {
    /// The changes, and the catalogue that they result in.
    pub change_log: ChangeLog,
    /// For each volume, the newest fallback limit that all hosts have, and all later ones.
    fallback_limits: BTreeMap<String, Vec<VersionedLimit>>,
    /// The newest version that all hosts have on disk.
    notified_version: u64,
}

/// The first line of a stored state; the lines of the change log follow.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Header {
    #[serde(rename = "told")]
    notified_version: u64,
    /// For each volume, versions and limits; an infinite limit is `None`, since JSON has no infinite numbers.
    #[serde(rename = "floors")]
    fallback_limits: BTreeMap<String, Vec<(u64, Option<f64>)>>,
}

impl ReplicatedPlans {
    /// Creates the state before the first command, with the catalogue of the host's settings.
    pub fn starting_with(catalogue: Catalogue) -> ReplicatedPlans {
        let change_log = ChangeLog::starting_with(catalogue);
        let mut plans = ReplicatedPlans { change_log, fallback_limits: BTreeMap::new(), notified_version: 0 };
        plans.record_fallback_limits();
        plans
    }

    /// Records the fallback limit of each volume in the newest version, if it has changed.
    fn record_fallback_limits(&mut self) {
        let catalogue = &self.change_log.catalogue;
        for (name, volume) in &catalogue.volumes {
            let plan = catalogue.plans.get(&volume.plan);
            let limit = plan.map_or(f64::INFINITY, |plan| plan.fallback_limit());
            let limits = self.fallback_limits.entry(name.clone()).or_default();
            if limits.last().is_none_or(|last| last.limit != limit) {
                limits.push(VersionedLimit { version: catalogue.version, limit });
            }
        }
    }

    /// Returns the newest version that all hosts have on disk, by the last committed notification.
    pub fn notified_version(&self) -> u64 {
        self.notified_version
    }

    /// Returns the highest rate that any host without a valid lease may use for a volume, in units per second; 0 for an unknown volume.
    pub fn fallback_limit(&self, volume: &str) -> f64 {
        let limits = self.fallback_limits.get(volume);
        limits.map_or(0.0, |limits| limits.iter().map(|entry| entry.limit).fold(0.0, f64::max))
    }

    /// Returns whether the hosts have to confirm a version before limits can go below an older fallback limit.
    pub fn awaits_notification(&self) -> bool {
        self.fallback_limits.values().any(|limits| limits.len() > 1)
    }

    /// Returns the entry that a change would append, and the catalogue after it. The state does not change.
    pub fn propose(&self, at_us: u64, change: Change, fleet: &Fleet) -> Result<Proposal, Refusal> {
        let proposal = self.change_log.propose(at_us, change, fleet)?;
        self.change_log.catalogue.check_live_update(&proposal.catalogue)?;
        self.check_limits(&proposal.catalogue)?;
        Ok(proposal)
    }

    /// Checks that no limit goes below a fallback limit that some host may still use: without a valid lease, that host would exceed the
    /// new limit.
    fn check_limits(&self, next: &Catalogue) -> Result<(), Refusal> {
        for (name, volume) in &next.volumes {
            let (fallback, Some(plan)) = (self.fallback_limit(name), next.plans.get(&volume.plan)) else {
                continue;
            };
            if plan.limit > 0.0 && plan.limit < fallback {
                let minimum = match fallback.is_finite() {
                    true => format!("{fallback} or more, the floor that hosts past their lease go by"),
                    false => "a floor first: hosts past their lease go by no limit".to_owned(),
                };
                let expected = format!("{minimum}; set a lower floor, and this once all hosts have that");
                return Err(Refusal::invalid(format!("volume {name} limit"), plan.limit, &expected));
            }
        }
        Ok(())
    }

    /// Executes a command of the consensus log, with the same result on every host. Returns the entry if the command is a change.
    pub fn apply(&mut self, command: Command, fleet: &Fleet) -> Result<Option<Entry>, Refusal> {
        match command {
            Command::Change { at_us, change } => self.apply_change(at_us, change, fleet).map(Some),
            Command::Notified { version } => {
                self.apply_notified(version);
                Ok(None)
            }
        }
    }

    fn apply_change(&mut self, at_us: u64, change: Change, fleet: &Fleet) -> Result<Entry, Refusal> {
        let Proposal { entry, catalogue } = self.propose(at_us, change, fleet)?;
        self.change_log.append(entry.clone(), catalogue);
        self.record_fallback_limits();
        if self.change_log.entries.len() >= RETAINED_ENTRIES + COMPACTION_SURPLUS {
            self.change_log.compact(RETAINED_ENTRIES);
        }
        Ok(entry)
    }

    fn apply_notified(&mut self, version: u64) {
        if version <= self.notified_version || version > self.change_log.catalogue.version {
            return;
        }
        self.notified_version = version;
        for limits in self.fallback_limits.values_mut() {
            // All hosts have the newest limit up to that version; no host uses an older one any more.
            let newest = limits.iter().rposition(|entry| entry.version <= version).unwrap_or(0);
            limits.drain(..newest);
        }
    }

    /// Returns the stored form: a header line, then the change log.
    pub fn to_bytes(&self) -> Vec<u8> {
        let pair =
            |entry: &VersionedLimit| (entry.version, Some(entry.limit).filter(|limit| limit.is_finite()));
        let pairs = |limits: &Vec<VersionedLimit>| limits.iter().map(pair).collect();
        let limits = self.fallback_limits.iter().map(|(name, limits)| (name.clone(), pairs(limits)));
        let header = Header { notified_version: self.notified_version, fallback_limits: limits.collect() };
        let mut bytes = serde_json::to_vec(&header).unwrap_or_default();
        bytes.push(b'\n');
        bytes.extend(self.change_log.to_bytes());
        bytes
    }

    /// Reads the stored form.
    pub fn from_bytes(bytes: &[u8], fleet: &Fleet) -> Result<ReplicatedPlans, ChangeLogError> {
        let end = bytes.iter().position(|byte| *byte == b'\n').unwrap_or(bytes.len());
        let header: Header = serde_json::from_slice(&bytes[..end])
            .map_err(|error| ChangeLogError::Line { line: 1, problem: error.to_string() })?;
        let change_log = ChangeLog::from_bytes(bytes.get(end + 1..).unwrap_or_default(), fleet)?;
        let entry = |(version, limit): (u64, Option<f64>)| VersionedLimit {
            version,
            limit: limit.unwrap_or(f64::INFINITY),
        };
        let entries = |limits: Vec<_>| limits.into_iter().map(entry).collect();
        let limits = header.fallback_limits.into_iter().map(|(name, limits)| (name, entries(limits)));
        let fallback_limits = limits.collect();
        Ok(ReplicatedPlans { change_log, fallback_limits, notified_version: header.notified_version })
    }
}
