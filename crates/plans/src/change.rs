//! What an operator changes, and why a change is refused.

use crate::model::{Plan, TrafficClass, Volume};
use serde::{Deserialize, Serialize};
use std::fmt::Display;

/// The most steps of one change.
const MAX_STEPS: usize = 10_000;
/// The longest name or reason, in bytes.
const MAX_TEXT_LEN: usize = 200;

/// One thing set or removed: `to` is its new value, none where it is removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Of a plan.
    Plan {
        /// The plan's name.
        name: String,
        /// Its new value.
        to: Option<Plan>,
    },
    /// Of a volume.
    Volume {
        /// The volume's name.
        name: String,
        /// Its new value.
        to: Option<Volume>,
    },
    /// Of a traffic class.
    #[serde(rename = "stream")]
    TrafficClass {
        /// The traffic class's name.
        name: String,
        /// Its new value.
        to: Option<TrafficClass>,
    },
}

/// Steps that are taken together or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version that it was made on.
    pub base: u64,
    /// What it sets and removes, in this order.
    pub steps: Vec<Step>,
    /// Who makes it.
    pub who: String,
    /// The reason given.
    pub why: String,
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// Others have changed what this one touches or names since its base.
    #[error("made on version {base}, and {now} holds; moved since then: {}", moved.join(", "))]
    Conflict {
        /// The version that the change was made on.
        base: u64,
        /// The version now.
        now: u64,
        /// Titles of what was changed in between.
        moved: Vec<String>,
    },
    /// A value that is not allowed.
    #[error("{place}: {found}; expected {expected}")]
    Invalid {
        /// Where it is.
        place: String,
        /// What it is.
        found: String,
        /// What it could be.
        expected: String,
    },
}

impl Refusal {
    pub(crate) fn invalid(place: impl Into<String>, found: impl Display, expected: &str) -> Refusal {
        Refusal::Invalid { place: place.into(), found: found.to_string(), expected: expected.into() }
    }
}

impl Change {
    /// Whether its texts are printable, it has steps, and its base is no later than `version`.
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
    /// Kind and name, as the catalogue and refusals call it.
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

    pub(crate) fn check_name(&self) -> Result<(), Refusal> {
        let name = self.name();
        if name.is_empty() || !is_short_and_printable(name) {
            let expected = "a name of 1 to 200 printable bytes";
            return Err(Refusal::invalid(self.title(), format!("{name:?}"), expected));
        }
        Ok(())
    }

    /// Titles of what it touches and what it names.
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
