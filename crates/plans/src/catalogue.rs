//! One version of what the operators have set, and changes to it: each states the version it was made on, is checked
//! whole, and moves all or nothing. Undoing is a change like any other.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Units a second, and units.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// 0: none.
    pub limit: f64,
    pub burst: f64,
    pub slack: f64,
    pub reserve: f64,
    pub weight: f64,
    /// Units a second that no later limit goes below before all hosts have word of a lower floor; a host past its lease goes
    /// by this. None: nothing, or, where there is no limit, that none comes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub floor: Option<f64>,
}

impl Plan {
    /// What a host that can't know whether this plan still holds may go by, units a second; without a bound where no limit
    /// may come.
    pub fn kept_floor(&self) -> f64 {
        match (self.floor, self.limit > 0.0) {
            (Some(f), _) => f,
            (None, true) => 0.0,
            (None, false) => f64::INFINITY,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Volume {
    pub lun: u32,
    pub plan: String,
    pub blocks: u64,
    pub extent_blocks: u64,
    /// The shard of extent `n` is entry `n` modulo their number.
    pub shards: Vec<u32>,
    /// Numbers of the hosts that it comes through.
    pub through: Vec<u32>,
    pub reads: String,
    pub writes: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficClass {
    #[serde(rename = "slo_ms")]
    pub latency_objective_ms: f64,
    #[serde(rename = "expiry_ms")]
    pub deadline_ms: f64,
}

/// One thing set anew or taken away; none: it is not to be there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    Plan {
        name: String,
        to: Option<Plan>,
    },
    Volume {
        name: String,
        to: Option<Volume>,
    },
    #[serde(rename = "stream")]
    TrafficClass {
        name: String,
        to: Option<TrafficClass>,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version that whoever made it had before their eyes.
    pub base: u64,
    pub steps: Vec<Step>,
    pub who: String,
    pub why: String,
}

/// What hosts and nodes are told to bear.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    pub hosts: u32,
    /// Units of the largest request.
    #[serde(rename = "most_units")]
    pub max_units: f64,
    /// Units a second that each shard's node is told to bear.
    pub bears: BTreeMap<u32, f64>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    /// Others have changed what this one touches or names since its base.
    Conflict { base: u64, now: u64, moved: Vec<String> },
    /// A place, what was found there, and what was expected.
    Wrong { place: String, found: String, expected: String },
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Conflict { base, now, moved } => {
                write!(f, "made on version {base}, and {now} holds; moved since then: {}", moved.join(", "))
            }
            Refusal::Wrong { place, found, expected } => write!(f, "{place}: {found}; expected {expected}"),
        }
    }
}

/// Steps of one change, and bytes of a name, a reason, at most.
const STEPS: usize = 10_000;
const TEXT: usize = 200;
/// Part of what a shard bears that may be reserved.
const RESERVED: f64 = 0.9;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    pub version: u64,
    pub plans: BTreeMap<String, Plan>,
    pub volumes: BTreeMap<String, Volume>,
    #[serde(rename = "streams")]
    pub traffic_classes: BTreeMap<String, TrafficClass>,
    /// The version at which each thing was last set or taken away.
    moved: BTreeMap<String, u64>,
}

/// A change that has passed.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    pub catalogue: Catalogue,
    /// The steps that would put everything back as it was.
    pub undo: Vec<Step>,
}

fn wrong(place: String, found: impl fmt::Display, expected: &str) -> Refusal {
    Refusal::Wrong { place, found: found.to_string(), expected: expected.into() }
}

impl Step {
    fn title(&self) -> String {
        match self {
            Step::Plan { name, .. } => format!("plan {name}"),
            Step::Volume { name, .. } => format!("volume {name}"),
            Step::TrafficClass { name, .. } => format!("stream {name}"),
        }
    }

    fn name(&self) -> &str {
        match self {
            Step::Plan { name, .. } | Step::Volume { name, .. } | Step::TrafficClass { name, .. } => name,
        }
    }

    /// Titles of what it touches and what it names.
    fn concerns(&self) -> Vec<String> {
        let mut all = vec![self.title()];
        if let Step::Volume { to: Some(v), .. } = self {
            all.push(format!("plan {}", v.plan));
            all.extend([&v.reads, &v.writes].map(|s| format!("stream {s}")));
        }
        all
    }
}

impl Catalogue {
    /// The catalogue after the change, or why it can't be. This one stays as it is.
    pub fn apply(&self, change: &Change, fleet: &Fleet) -> Result<Applied, Refusal> {
        for (what, text) in [("who", &change.who), ("why", &change.why)] {
            if text.trim().is_empty() || text.len() > TEXT || text.contains(char::is_control) {
                return Err(wrong(what.into(), format!("{text:?}"), "1 to 200 printable bytes"));
            }
        }
        if change.steps.is_empty() || change.steps.len() > STEPS {
            return Err(wrong("steps".into(), change.steps.len(), "1 to 10000"));
        }
        if change.base > self.version {
            return Err(wrong("base".into(), change.base, &format!("a version up to {}", self.version)));
        }
        let concerns: BTreeSet<String> = change.steps.iter().flat_map(Step::concerns).collect();
        let since = |t: &String| self.moved.get(t).is_some_and(|v| *v > change.base);
        let moved: Vec<String> = concerns.into_iter().filter(since).collect();
        if !moved.is_empty() {
            return Err(Refusal::Conflict { base: change.base, now: self.version, moved });
        }
        let mut next = self.clone();
        next.version += 1;
        let mut undo = Vec::new();
        for step in &change.steps {
            let name = step.name();
            if name.is_empty() || name.len() > TEXT || name.contains(char::is_control) {
                return Err(wrong(step.title(), format!("{name:?}"), "a name of 1 to 200 printable bytes"));
            }
            undo.push(next.take(step));
            next.moved.insert(step.title(), next.version);
        }
        undo.reverse();
        next.check(fleet)?;
        Ok(Applied { catalogue: next, undo })
    }

    /// Takes a step; gives the one that takes it back.
    fn take(&mut self, step: &Step) -> Step {
        fn put<T: Clone>(all: &mut BTreeMap<String, T>, name: &str, to: &Option<T>) -> Option<T> {
            match to {
                Some(t) => all.insert(name.to_owned(), t.clone()),
                None => all.remove(name),
            }
        }
        match step {
            Step::Plan { name, to } => Step::Plan { name: name.clone(), to: put(&mut self.plans, name, to) },
            Step::Volume { name, to } => {
                Step::Volume { name: name.clone(), to: put(&mut self.volumes, name, to) }
            }
            Step::TrafficClass { name, to } => {
                Step::TrafficClass { name: name.clone(), to: put(&mut self.traffic_classes, name, to) }
            }
        }
    }

    /// The catalogue as it was before an entry that is the last one here.
    pub(crate) fn take_back(&mut self, e: &crate::Entry, moved_before: &BTreeMap<String, u64>) {
        for step in &e.undo {
            _ = self.take(step);
        }
        self.version = e.version - 1;
        self.moved = moved_before.clone();
    }

    /// When each thing was last moved.
    pub(crate) fn moves(&self) -> &BTreeMap<String, u64> {
        &self.moved
    }

    pub(crate) fn note_moves(moved: &mut BTreeMap<String, u64>, e: &crate::Entry) {
        e.change.steps.iter().for_each(|s| _ = moved.insert(s.title(), e.version));
    }

    /// Whether all of it holds together and the fleet bears it.
    fn check(&self, fleet: &Fleet) -> Result<(), Refusal> {
        for (name, p) in &self.plans {
            let at = |field: &str| format!("plan {name} {field}");
            for (field, x) in
                [("limit", p.limit), ("burst", p.burst), ("slack", p.slack), ("reserve", p.reserve)]
            {
                if !(x.is_finite() && x >= 0.0) {
                    return Err(wrong(at(field), x, "a number of 0 or more"));
                }
            }
            if !(p.weight.is_finite() && p.weight > 0.0) {
                return Err(wrong(at("weight"), p.weight, "a number above 0"));
            }
            if let Some(f) =
                p.floor.filter(|f| !(f.is_finite() && *f >= 0.0 && (p.limit == 0.0 || *f <= p.limit)))
            {
                return Err(wrong(at("floor"), f, "a number from 0 to the limit"));
            }
            if p.limit > 0.0 && p.reserve > p.limit {
                return Err(wrong(at("reserve"), p.reserve, &format!("at most the limit, {}", p.limit)));
            }
        }
        for (name, s) in &self.traffic_classes {
            if !(s.latency_objective_ms > 0.0
                && s.latency_objective_ms <= s.deadline_ms
                && s.deadline_ms.is_finite())
            {
                let found =
                    format!("latency objective {} ms, deadline {} ms", s.latency_objective_ms, s.deadline_ms);
                return Err(wrong(
                    format!("stream {name}"),
                    found,
                    "a latency objective above 0 and up to the deadline",
                ));
            }
        }
        let mut luns = BTreeMap::new();
        let mut reserved: BTreeMap<u32, f64> = BTreeMap::new();
        for (name, v) in &self.volumes {
            let at = |field: &str| format!("volume {name} {field}");
            if let Some(other) = luns.insert(v.lun, name) {
                return Err(wrong(at("lun"), v.lun, &format!("a number that {other} has not")));
            }
            let Some(p) = self.plans.get(&v.plan) else {
                return Err(wrong(at("plan"), format!("{:?}", v.plan), "the name of a plan"));
            };
            for (field, traffic_class) in [("reads", &v.reads), ("writes", &v.writes)] {
                if !self.traffic_classes.contains_key(traffic_class) {
                    return Err(wrong(at(field), format!("{traffic_class:?}"), "the name of a stream type"));
                }
            }
            if v.blocks == 0 || v.extent_blocks == 0 || v.shards.is_empty() {
                return Err(wrong(at("blocks"), v.blocks, "blocks, extents and shards, one or more each"));
            }
            let hosts: BTreeSet<u32> = v.through.iter().copied().collect();
            if hosts.len() != v.through.len() || hosts.is_empty() || hosts.iter().any(|h| *h >= fleet.hosts) {
                let expected = format!("different numbers below {}", fleet.hosts);
                return Err(wrong(at("through"), format!("{:?}", v.through), &expected));
            }
            // More than a host's part of the burst never passes, so the largest must fit into it.
            let part = p.burst / hosts.len() as f64;
            if p.limit > 0.0 && part < fleet.max_units {
                let found = format!("{} hosts share a burst of {}", hosts.len(), p.burst);
                return Err(wrong(at("through"), found, &format!("{} units or more each", fleet.max_units)));
            }
            for shard in &v.shards {
                if !fleet.bears.contains_key(shard) {
                    return Err(wrong(at("shards"), shard, "a shard that some node holds"));
                }
                *reserved.entry(*shard).or_default() += p.reserve / v.shards.len() as f64;
            }
        }
        for (shard, units) in reserved {
            let bears = fleet.bears.get(&shard).copied().unwrap_or(0.0) * RESERVED;
            if units > bears {
                let expected = format!("at most {bears:.1}, {RESERVED} of what its node bears");
                return Err(wrong(
                    format!("shard {shard}"),
                    format!("{units:.1} units a second reserved"),
                    &expected,
                ));
            }
        }
        Ok(())
    }

    /// Whether hosts can go over to `to` while they run: plans, and the plan that a volume is under. Where data lies, which
    /// hosts a volume comes through and what its streams are is told at a host's start: parts of limits and the places of
    /// bytes hang on it.
    pub fn moves_live(&self, to: &Catalogue) -> Result<(), Refusal> {
        let expected = "what stands: hosts that run take up plans, and which plan a volume is under";
        for (name, now) in &self.volumes {
            let Some(next) = to.volumes.get(name) else {
                return Err(wrong(format!("volume {name}"), "taken away", expected));
            };
            if *now != (Volume { plan: now.plan.clone(), ..next.clone() }) {
                return Err(wrong(format!("volume {name}"), "moved in more than its plan", expected));
            }
        }
        if let Some(name) = to.volumes.keys().find(|n| !self.volumes.contains_key(*n)) {
            return Err(wrong(format!("volume {name}"), "added", expected));
        }
        if self.traffic_classes != to.traffic_classes {
            return Err(wrong("streams".into(), "moved", expected));
        }
        Ok(())
    }

    /// What is other in `to`, line by line.
    pub fn diff(&self, to: &Catalogue) -> Vec<String> {
        fn lines<T: PartialEq + Serialize>(
            kind: &str,
            a: &BTreeMap<String, T>,
            b: &BTreeMap<String, T>,
        ) -> Vec<String> {
            let text = |x: &T| serde_json::to_string(x).unwrap_or_default();
            let names: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
            let line = |n: &String| match (a.get(n), b.get(n)) {
                (Some(x), Some(y)) if x != y => Some(format!("{kind} {n}: {} -> {}", text(x), text(y))),
                (Some(x), None) => Some(format!("- {kind} {n}: {}", text(x))),
                (None, Some(y)) => Some(format!("+ {kind} {n}: {}", text(y))),
                _ => None,
            };
            names.into_iter().filter_map(line).collect()
        }
        let mut all = lines("plan", &self.plans, &to.plans);
        all.extend(lines("stream", &self.traffic_classes, &to.traffic_classes));
        all.extend(lines("volume", &self.volumes, &to.volumes));
        all
    }
}
