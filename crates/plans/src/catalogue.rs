//! One version of all plans, volumes and traffic classes, and the next version after a change. A change states the version that it is
//! based on, is validated as a whole, and applies in full or not at all. An undo is a change like any other.

use crate::change::{Change, Refusal, Step};
use crate::model::{Fleet, Plan, TrafficClass, Volume};
use crate::Entry;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One version of all plans, volumes and traffic classes, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// The number of this version. Each change increments it.
    pub version: u64,
    /// The plans by name.
    pub plans: BTreeMap<String, Plan>,
    /// The volumes by name.
    pub volumes: BTreeMap<String, Volume>,
    /// The traffic classes by name.
    #[serde(rename = "streams")]
    pub traffic_classes: BTreeMap<String, TrafficClass>,
    /// The version at which each plan, volume or traffic class was last set or removed, by title.
    moved: BTreeMap<String, u64>,
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The catalogue after the change.
    pub catalogue: Catalogue,
    /// The steps that undo the change.
    pub undo: Vec<Step>,
}

impl Catalogue {
    /// Returns the catalogue after the change, or why the change is refused. This catalogue is not modified.
    pub fn apply(&self, change: &Change, fleet: &Fleet) -> Result<Applied, Refusal> {
        change.check_form(self.version)?;
        self.check_conflicts(change)?;
        let mut next = self.clone();
        next.version += 1;
        let mut undo = Vec::new();
        for step in &change.steps {
            step.check_name()?;
            undo.push(next.execute(step));
            next.moved.insert(step.title(), next.version);
        }
        undo.reverse();
        next.validate(fleet)?;
        Ok(Applied { catalogue: next, undo })
    }

    /// Checks that nothing that the change sets, removes or refers to was changed after its base.
    fn check_conflicts(&self, change: &Change) -> Result<(), Refusal> {
        let titles: BTreeSet<String> = change.steps.iter().flat_map(Step::affected_titles).collect();
        let is_newer = |title: &String| self.moved.get(title).is_some_and(|version| *version > change.base);
        let moved: Vec<String> = titles.into_iter().filter(is_newer).collect();
        if moved.is_empty() {
            return Ok(());
        }
        Err(Refusal::Conflict { base: change.base, now: self.version, moved })
    }

    /// Executes a step and returns the step that undoes it.
    fn execute(&mut self, step: &Step) -> Step {
        match step {
            Step::Plan { name, to } => {
                Step::Plan { name: name.clone(), to: replace(&mut self.plans, name, to) }
            }
            Step::Volume { name, to } => {
                Step::Volume { name: name.clone(), to: replace(&mut self.volumes, name, to) }
            }
            Step::TrafficClass { name, to } => {
                Step::TrafficClass { name: name.clone(), to: replace(&mut self.traffic_classes, name, to) }
            }
        }
    }

    /// Reverts `entry`, which must be the entry that resulted in this version. `moved_before` becomes the versions by title.
    pub(crate) fn revert(&mut self, entry: &Entry, moved_before: &BTreeMap<String, u64>) {
        for step in &entry.undo {
            _ = self.execute(step);
        }
        self.version = entry.version - 1;
        self.moved = moved_before.clone();
    }

    /// Returns the version at which each plan, volume or traffic class was last set or removed, by title.
    pub(crate) fn moved(&self) -> &BTreeMap<String, u64> {
        &self.moved
    }
}

/// Sets or removes the value of this name and returns the previous one.
fn replace<T: Clone>(values: &mut BTreeMap<String, T>, name: &str, to: &Option<T>) -> Option<T> {
    match to {
        Some(value) => values.insert(name.to_owned(), value.clone()),
        None => values.remove(name),
    }
}
