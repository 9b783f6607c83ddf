//! The differences of two versions of the catalogue, and whether running hosts can change from one to the other.

use crate::catalogue::Catalogue;
use crate::change::Refusal;
use crate::model::Volume;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

impl Catalogue {
    /// Checks that hosts can change to `to` while they run. Plans may change, and the plan of a volume. The shards of the data, the hosts
    /// that serve a volume and the traffic classes are fixed when a host starts: each host's share of limits and the location of
    /// data depend on them.
    pub fn check_live_update(&self, to: &Catalogue) -> Result<(), Refusal> {
        let expected = "no change: running hosts accept only changes of plans and of the plan of a volume";
        for (name, now) in &self.volumes {
            let Some(next) = to.volumes.get(name) else {
                return Err(Refusal::invalid(format!("volume {name}"), "removed", expected));
            };
            if *now != (Volume { plan: now.plan.clone(), ..next.clone() }) {
                return Err(Refusal::invalid(
                    format!("volume {name}"),
                    "differs in more than its plan",
                    expected,
                ));
            }
        }
        if let Some(name) = to.volumes.keys().find(|name| !self.volumes.contains_key(*name)) {
            return Err(Refusal::invalid(format!("volume {name}"), "added", expected));
        }
        if self.traffic_classes != to.traffic_classes {
            return Err(Refusal::invalid("streams", "changed", expected));
        }
        Ok(())
    }

    /// Returns the differences of `to` from this version, one line for each plan, volume or traffic class.
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
