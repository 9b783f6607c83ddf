//! One version of all plans, volumes and traffic classes, and the next one after a change: a change states the version that it
//! was made on, is checked whole, and applies in full or not at all. Undoing is a change like any other.

use crate::change::{Change, Refusal, Step};
use crate::model::{Fleet, Plan, TrafficClass, Volume};
use crate::Entry;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One version of all plans, volumes and traffic classes, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalogue {
    /// Goes up by one with each change.
    pub version: u64,
    /// Plans.
    pub plans: BTreeMap<String, Plan>,
    /// Volumes.
    pub volumes: BTreeMap<String, Volume>,
    /// Traffic classes.
    #[serde(rename = "streams")]
    pub traffic_classes: BTreeMap<String, TrafficClass>,
    /// By title: the version at which each thing was last set or removed.
    moved: BTreeMap<String, u64>,
}

/// A change that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The catalogue after it.
    pub catalogue: Catalogue,
    /// The steps that would put everything back as it was.
    pub undo: Vec<Step>,
}

impl Catalogue {
    /// The catalogue after the change, or why it is refused. This one stays as it is.
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

    /// Whether anything that the change touches or names was changed after its base.
    fn check_conflicts(&self, change: &Change) -> Result<(), Refusal> {
        let titles: BTreeSet<String> = change.steps.iter().flat_map(Step::affected_titles).collect();
        let is_newer = |title: &String| self.moved.get(title).is_some_and(|version| *version > change.base);
        let moved: Vec<String> = titles.into_iter().filter(is_newer).collect();
        if moved.is_empty() {
            return Ok(());
        }
        Err(Refusal::Conflict { base: change.base, now: self.version, moved })
    }

    /// Executes a step; returns the one that undoes it.
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

    /// Reverts `entry`, which must be the last one that led to this version.
    pub(crate) fn revert(&mut self, entry: &Entry, moved_before: &BTreeMap<String, u64>) {
        for step in &entry.undo {
            _ = self.execute(step);
        }
        self.version = entry.version - 1;
        self.moved = moved_before.clone();
    }

    /// By title: the version at which each thing was last set or removed.
    pub(crate) fn moved(&self) -> &BTreeMap<String, u64> {
        &self.moved
    }
}

/// Sets or removes the value of that name; returns the one before.
fn replace<T: Clone>(values: &mut BTreeMap<String, T>, name: &str, to: &Option<T>) -> Option<T> {
    match to {
        Some(value) => values.insert(name.to_owned(), value.clone()),
        None => values.remove(name),
    }
}
