//! Whether a version of the catalogue holds together and the fleet bears it.

use crate::catalogue::Catalogue;
use crate::change::Refusal;
use crate::model::{Fleet, Plan, TrafficClass, Volume};
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of what a shard's node can serve that may be reserved.
const MAX_RESERVED_FRACTION: f64 = 0.9;

impl Catalogue {
    /// The first thing that is wrong, in the order of plans, traffic classes, volumes and shards.
    pub(crate) fn validate(&self, fleet: &Fleet) -> Result<(), Refusal> {
        for (name, plan) in &self.plans {
            check_plan(name, plan)?;
        }
        for (name, traffic_class) in &self.traffic_classes {
            check_traffic_class(name, traffic_class)?;
        }
        let mut names_by_lun = BTreeMap::new();
        let mut reserved_by_shard: BTreeMap<u32, f64> = BTreeMap::new();
        for (name, volume) in &self.volumes {
            if let Some(other) = names_by_lun.insert(volume.lun, name) {
                let expected = format!("a number that {other} has not");
                return Err(Refusal::invalid(format!("volume {name} lun"), volume.lun, &expected));
            }
            let plan = self.check_names_in_volume(name, volume)?;
            check_volume(name, volume, plan, fleet)?;
            for shard in &volume.shards {
                if !fleet.bears.contains_key(shard) {
                    let place = format!("volume {name} shards");
                    return Err(Refusal::invalid(place, shard, "a shard that some node holds"));
                }
                *reserved_by_shard.entry(*shard).or_default() += plan.reserve / volume.shards.len() as f64;
            }
        }
        check_reservations(&reserved_by_shard, fleet)
    }

    /// The volume's plan, where that and its traffic classes exist.
    fn check_names_in_volume(&self, name: &str, volume: &Volume) -> Result<&Plan, Refusal> {
        let Some(plan) = self.plans.get(&volume.plan) else {
            let (place, found) = (format!("volume {name} plan"), format!("{:?}", volume.plan));
            return Err(Refusal::invalid(place, found, "the name of a plan"));
        };
        for (field, traffic_class) in [("reads", &volume.reads), ("writes", &volume.writes)] {
            if !self.traffic_classes.contains_key(traffic_class) {
                let (place, found) = (format!("volume {name} {field}"), format!("{traffic_class:?}"));
                return Err(Refusal::invalid(place, found, "the name of a stream type"));
            }
        }
        Ok(plan)
    }
}

fn check_plan(name: &str, plan: &Plan) -> Result<(), Refusal> {
    let place = |field: &str| format!("plan {name} {field}");
    let is_valid = |number: f64| number.is_finite() && number >= 0.0;
    let figures =
        [("limit", plan.limit), ("burst", plan.burst), ("slack", plan.slack), ("reserve", plan.reserve)];
    for (field, number) in figures {
        if !is_valid(number) {
            return Err(Refusal::invalid(place(field), number, "a number of 0 or more"));
        }
    }
    if !(plan.weight.is_finite() && plan.weight > 0.0) {
        return Err(Refusal::invalid(place("weight"), plan.weight, "a number above 0"));
    }
    if let Some(floor) = plan.floor {
        if !is_valid(floor) || (plan.limit != 0.0 && floor > plan.limit) {
            return Err(Refusal::invalid(place("floor"), floor, "a number from 0 to the limit"));
        }
    }
    if plan.limit > 0.0 && plan.reserve > plan.limit {
        let expected = format!("at most the limit, {}", plan.limit);
        return Err(Refusal::invalid(place("reserve"), plan.reserve, &expected));
    }
    Ok(())
}

fn check_traffic_class(name: &str, traffic_class: &TrafficClass) -> Result<(), Refusal> {
    let (objective, deadline) = (traffic_class.latency_objective_ms, traffic_class.deadline_ms);
    if objective > 0.0 && objective <= deadline && deadline.is_finite() {
        return Ok(());
    }
    let found = format!("latency objective {objective} ms, deadline {deadline} ms");
    let expected = "a latency objective above 0 and up to the deadline";
    Err(Refusal::invalid(format!("stream {name}"), found, expected))
}

fn check_volume(name: &str, volume: &Volume, plan: &Plan, fleet: &Fleet) -> Result<(), Refusal> {
    let place = |field: &str| format!("volume {name} {field}");
    if volume.blocks == 0 || volume.extent_blocks == 0 || volume.shards.is_empty() {
        let expected = "blocks, extents and shards, one or more each";
        return Err(Refusal::invalid(place("blocks"), volume.blocks, expected));
    }
    let hosts: BTreeSet<u32> = volume.through.iter().copied().collect();
    let has_unknown_host = hosts.iter().any(|host| *host >= fleet.hosts);
    if hosts.len() != volume.through.len() || hosts.is_empty() || has_unknown_host {
        let expected = format!("different numbers below {}", fleet.hosts);
        return Err(Refusal::invalid(place("through"), format!("{:?}", volume.through), &expected));
    }
    // More than a host's share of the burst never passes, so the largest request must fit into it.
    let burst_share = plan.burst / hosts.len() as f64;
    if plan.limit > 0.0 && burst_share < fleet.max_units {
        let found = format!("{} hosts share a burst of {}", hosts.len(), plan.burst);
        let expected = format!("{} units or more each", fleet.max_units);
        return Err(Refusal::invalid(place("through"), found, &expected));
    }
    Ok(())
}

fn check_reservations(reserved_by_shard: &BTreeMap<u32, f64>, fleet: &Fleet) -> Result<(), Refusal> {
    for (shard, reserved) in reserved_by_shard {
        let max = fleet.bears.get(shard).copied().unwrap_or(0.0) * MAX_RESERVED_FRACTION;
        if *reserved > max {
            let found = format!("{reserved:.1} units a second reserved");
            let expected = format!("at most {max:.1}, {MAX_RESERVED_FRACTION} of what its node bears");
            return Err(Refusal::invalid(format!("shard {shard}"), found, &expected));
        }
    }
    Ok(())
}
