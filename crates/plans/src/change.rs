//! A change that an operator makes, and why a change is refused.

use crate::model::{Plan, TrafficClass, Volume};
use serde::{Deserialize, Serialize};
use std::fmt::Display;

/// The maximum number of steps of one change.
const MAX_STEPS: usize = 10_000;
/// The maximum length of a name or reason, in bytes.
const MAX_TEXT_LEN: usize = 200;

/// Sets or removes a plan, volume or traffic class. `to` is the new value; none removes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Sets or removes a plan.
    Plan {
        /// The name of the plan.
        name: String,
        /// The new value; none to remove it.
        to: Option<Plan>,
    },
    /// Sets or removes a volume.
    Volume {
        /// The name of the volume.
        name: String,
        /// The new value; none to remove it.
        to: Option<Volume>,
    },
    /// Sets or removes a traffic class.
    #[serde(rename = "stream")]
    TrafficClass {
        /// The name of the traffic class.
        name: String,
        /// The new value; none to remove it.
        to: Option<TrafficClass>,
    },
}

/// Steps that apply together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version of the catalogue that the change is based on.
    pub base: u64,
    /// The steps, in the order of their execution.
    pub steps: Vec<Step>,
    /// The name of the operator.
    pub who: String,
    /// The operator's reason.
    pub why: String,
}

/// The reason why a change is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// Something that the change sets, removes or refers to was changed after the version that it is based on.
    #[error("based on version {base}, but the current version is {now}; moved since then: {}", moved.join(", "))]
    Conflict {
        /// The version that the change is based on.
        base: u64,
        /// The current version.
        now: u64,
        /// The titles of what was changed in between, such as `plan basic`.
        moved: Vec<String>,
    },
    /// A value is not allowed.
    #[error("{place}: {found}; expected {expected}")]
    Invalid {
        /// The place of the value, such as `plan basic weight`.
        place: String,
        /// The value that was found, as text.
        found: String,
        /// The values that are allowed, for people.
        expected: String,
    },
}

impl Refusal {
    pub(crate) fn invalid(place: impl Into<String>, found: impl Display, expected: &str) -> Refusal {
        Refusal::Invalid { place: place.into(), found: found.to_string(), expected: expected.into() }
    }
}

impl Change {
    /// Checks that the texts are printable, that there are steps, and that the base is not later than `version`.
    pub(crate) fn check_form(&self, version: u64) -> Result<(), Refusal> {
        for (field, text) in [("who", &self.who), ("why", &self.why)] {
            if text.trim().is_empty() || !is_short_and_printable(text) {
                return Err(Refusal::invalid(field, format!("{text:?}"), "1 to 200 printable bytes"));
            }
        }
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(Refusal::invalid("steps", self.steps.len(), "1 to 10000"));
        }
        if self.base > version {
            return Err(Refusal::invalid("base", self.base, &format!("a version up to {version}")));
        }
        Ok(())
    }
}

impl Step {
    /// Returns the kind and name of what the step changes, as the catalogue and refusals write it. Titles are stored.
    pub(crate) fn title(&self) -> String {
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

    /// Checks that the name is printable and not too long.
    pub(crate) fn check_name(&self) -> Result<(), Refusal> {
        let name = self.name();
        if name.is_empty() || !is_short_and_printable(name) {
            let expected = "a name of 1 to 200 printable bytes";
            return Err(Refusal::invalid(self.title(), format!("{name:?}"), expected));
        }
        Ok(())
    }

    /// Returns the titles of what the step changes and of what its new value refers to.
    pub(crate) fn affected_titles(&self) -> Vec<String> {
        let mut titles = vec![self.title()];
        if let Step::Volume { to: Some(volume), .. } = self {
            titles.push(format!("plan {}", volume.plan));
            titles.extend([&volume.reads, &volume.writes].map(|name| format!("stream {name}")));
        }
        titles
    }
}

fn is_short_and_printable(text: &str) -> bool {
    text.len() <= MAX_TEXT_LEN && !text.contains(char::is_control)
}
