//! What hosts that agree on changes hold: the trail, and for each volume the floors that some host may still go by. Each
//! command of the agreed log leads every host to the same, to the byte.

use crate::catalogue::{Catalogue, Change, Fleet, Refusal};
use crate::trail::{Entry, Trail, TrailError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Entries of the trail that stay whole; older ones are folded into its anchor, once there are so many more.
const KEPT: usize = 1_000;
const FOLD: usize = 250;

/// One entry of the agreed log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    Change {
        /// Unix time in microseconds, by the host that was asked.
        at_us: u64,
        change: Change,
    },
    /// All hosts of the fleet have that version on their disks: floors of before it are gone by nowhere.
    Told { version: u64 },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Agreed {
    pub trail: Trail,
    /// By volume: versions and the floor that each gave it, from the newest that all have on.
    floors: BTreeMap<String, Vec<(u64, f64)>>,
    told: u64,
}

/// As it is folded: a line before the trail's.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Head {
    told: u64,
    /// JSON has no infinite number: none.
    floors: BTreeMap<String, Vec<(u64, Option<f64>)>>,
}

fn floors_of(c: &Catalogue) -> BTreeMap<String, f64> {
    let floor = |plan: &String| c.plans.get(plan).map_or(f64::INFINITY, |p| p.kept_floor());
    c.volumes.iter().map(|(name, v)| (name.clone(), floor(&v.plan))).collect()
}

impl Agreed {
    pub fn starting(catalogue: Catalogue) -> Agreed {
        let mut a = Agreed { trail: Trail::starting(catalogue), floors: BTreeMap::new(), told: 0 };
        a.note();
        a
    }

    fn note(&mut self) {
        let version = self.trail.catalogue.version;
        for (name, floor) in floors_of(&self.trail.catalogue) {
            let all = self.floors.entry(name).or_default();
            if all.last().is_none_or(|(_, f)| *f != floor) {
                all.push((version, floor));
            }
        }
    }

    /// The newest version that all hosts have on their disks, as was agreed.
    pub fn told(&self) -> u64 {
        self.told
    }

    /// The most that any host past its lease may go by of that volume, units a second.
    pub fn floor(&self, volume: &str) -> f64 {
        self.floors.get(volume).map_or(0.0, |all| all.iter().map(|(_, f)| *f).fold(0.0, f64::max))
    }

    /// Whether all hosts have to say that they have the newest version before what is under some floor can move.
    pub fn waits(&self) -> bool {
        self.floors.values().any(|all| all.len() > 1)
    }

    /// The entry that a change would make, and where that leads.
    pub fn propose(&self, at_us: u64, change: Change, fleet: &Fleet) -> Result<(Entry, Catalogue), Refusal> {
        let (entry, next) = self.trail.propose(at_us, change, fleet)?;
        self.trail.catalogue.moves_live(&next)?;
        for (name, v) in &next.volumes {
            let (floor, Some(p)) = (self.floor(name), next.plans.get(&v.plan)) else { continue };
            if p.limit > 0.0 && p.limit < floor {
                let word = match floor.is_finite() {
                    true => format!("{floor} or more, the floor that hosts past their lease go by"),
                    false => "a floor first: hosts past their lease go by no limit".to_owned(),
                };
                let expected = format!("{word}; set a lower floor, and this once all hosts have that");
                let found = p.limit.to_string();
                return Err(Refusal::Wrong { place: format!("volume {name} limit"), found, expected });
            }
        }
        Ok((entry, next))
    }

    /// An entry of the log: the same at every host.
    pub fn apply(&mut self, command: Command, fleet: &Fleet) -> Result<Option<Entry>, Refusal> {
        match command {
            Command::Change { at_us, change } => {
                let (entry, next) = self.propose(at_us, change, fleet)?;
                self.trail.kept(entry.clone(), next);
                self.note();
                if self.trail.entries.len() >= KEPT + FOLD {
                    self.trail.fold(KEPT);
                }
                Ok(Some(entry))
            }
            Command::Told { version } => {
                if version > self.told && version <= self.trail.catalogue.version {
                    self.told = version;
                    for all in self.floors.values_mut() {
                        // The newest of those up to there counts, and all after it.
                        let newest = all.iter().rposition(|(v, _)| *v <= version).unwrap_or(0);
                        all.drain(..newest);
                    }
                }
                Ok(None)
            }
        }
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        let finite = |(v, f): &(u64, f64)| (*v, f.is_finite().then_some(*f));
        let floors = self.floors.iter().map(|(n, all)| (n.clone(), all.iter().map(finite).collect()));
        let head = Head { told: self.told, floors: floors.collect() };
        let mut out = serde_json::to_vec(&head).unwrap_or_default();
        out.push(b'\n');
        out.extend(self.trail.to_bytes());
        out
    }

    pub fn from_bytes(bytes: &[u8], fleet: &Fleet) -> Result<Agreed, TrailError> {
        let at = bytes.iter().position(|b| *b == b'\n').unwrap_or(bytes.len());
        let head: Head = serde_json::from_slice(&bytes[..at])
            .map_err(|e| TrailError::Line { line: 1, problem: e.to_string() })?;
        let trail = Trail::from_bytes(bytes.get(at + 1..).unwrap_or_default(), fleet)?;
        let floor = |(v, f): (u64, Option<f64>)| (v, f.unwrap_or(f64::INFINITY));
        let floors = head.floors.into_iter().map(|(n, all)| (n, all.into_iter().map(floor).collect()));
        Ok(Agreed { trail, floors: floors.collect(), told: head.told })
    }
}
