//! What two versions of the catalogue differ in, and whether hosts that run can go from one to the other.

use crate::catalogue::Catalogue;
use crate::change::Refusal;
use crate::model::Volume;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

impl Catalogue {
    /// Whether hosts can go to `to` while they run: plans may change, and which plan a volume is under. Where data lies, which
    /// hosts serve a volume and what its traffic classes are is fixed at a host's start: limit shares and the places of bytes
    /// depend on it.
    pub fn check_live_update(&self, to: &Catalogue) -> Result<(), Refusal> {
        let expected = "what stands: hosts that run take up plans, and which plan a volume is under";
        for (name, now) in &self.volumes {
            let Some(next) = to.volumes.get(name) else {
                return Err(Refusal::invalid(format!("volume {name}"), "taken away", expected));
            };
            if *now != (Volume { plan: now.plan.clone(), ..next.clone() }) {
                return Err(Refusal::invalid(
                    format!("volume {name}"),
                    "moved in more than its plan",
                    expected,
                ));
            }
        }
        if let Some(name) = to.volumes.keys().find(|name| !self.volumes.contains_key(*name)) {
            return Err(Refusal::invalid(format!("volume {name}"), "added", expected));
        }
        if self.traffic_classes != to.traffic_classes {
            return Err(Refusal::invalid("streams", "moved", expected));
        }
        Ok(())
    }

    /// What is different in `to`, one line a thing.
    pub fn diff(&self, to: &Catalogue) -> Vec<String> {
        let mut lines = diff_of_kind("plan", &self.plans, &to.plans);
        lines.extend(diff_of_kind("stream", &self.traffic_classes, &to.traffic_classes));
        lines.extend(diff_of_kind("volume", &self.volumes, &to.volumes));
        lines
    }
}

fn diff_of_kind<T: PartialEq + Serialize>(
    kind: &str,
    from: &BTreeMap<String, T>,
    to: &BTreeMap<String, T>,
) -> Vec<String> {
    let text = |value: &T| serde_json::to_string(value).unwrap_or_default();
    let line = |name: &String| match (from.get(name), to.get(name)) {
        (Some(old), Some(new)) if old != new => {
            Some(format!("{kind} {name}: {} -> {}", text(old), text(new)))
        }
        (Some(old), None) => Some(format!("- {kind} {name}: {}", text(old))),
        (None, Some(new)) => Some(format!("+ {kind} {name}: {}", text(new))),
        _ => None,
    };
    let names: BTreeSet<&String> = from.keys().chain(to.keys()).collect();
    names.into_iter().filter_map(line).collect()
}
