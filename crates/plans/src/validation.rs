//! Checks that a version of the catalogue is consistent and within the fleet's capacity, with one function for each rule.

use crate::catalogue::Catalogue;
use crate::change::Refusal;
use crate::model::{Fleet, Plan, TrafficClass, Volume};
use std::collections::{BTreeMap, BTreeSet};

/// The fraction of a node's capacity that volumes may reserve at its shard.
const MAX_RESERVED_FRACTION: f64 = 0.9;

impl Catalogue {
    /// Checks plans, traffic classes, volumes and shards, in this order. Returns the first error.
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
                let expected = format!("a number that {other} does not have");
                return Err(Refusal::invalid(format!("volume {name} lun"), volume.lun, &expected));
            }
            let plan = self.check_names_in_volume(name, volume)?;
            check_sizes(name, volume)?;
            check_hosts(name, volume, fleet.hosts)?;
            check_burst_share(name, volume.through.len(), plan, fleet.max_units)?;
            check_shards(name, volume, fleet)?;
            let reserved_per_shard = plan.reserve / volume.shards.len() as f64;
            for shard in &volume.shards {
                *reserved_by_shard.entry(*shard).or_default() += reserved_per_shard;
            }
        }
        check_reservations(&reserved_by_shard, &fleet.bears)
    }

    /// Returns the volume's plan, if the plan and the volume's traffic classes exist.
    fn check_names_in_volume(&self, name: &str, volume: &Volume) -> Result<&Plan, Refusal> {
        let Some(plan) = self.plans.get(&volume.plan) else {
            let (place, found) = (format!("volume {name} plan"), format!("{:?}", volume.plan));
            return Err(Refusal::invalid(place, found, "the name of a plan"));
        };
        for (field, traffic_class) in [("reads", &volume.reads), ("writes", &volume.writes)] {
            if !self.traffic_classes.contains_key(traffic_class) {
                let (place, found) = (format!("volume {name} {field}"), format!("{traffic_class:?}"));
                return Err(Refusal::invalid(place, found, "the name of a traffic class"));
            }
        }
        Ok(plan)
    }
}

/// Returns whether a number can be a rate or an amount.
fn is_valid(number: f64) -> bool {
    number.is_finite() && number >= 0.0
}

/// Checks the values of a plan, each one and against each other. A fallback limit or a reservation above the limit would promise a
/// rate that the limit does not allow.
fn check_plan(name: &str, plan: &Plan) -> Result<(), Refusal> {
    let place = |field: &str| format!("plan {name} {field}");
    let values =
        [("limit", plan.limit), ("burst", plan.burst), ("slack", plan.slack), ("reserve", plan.reserve)];
    for (field, number) in values {
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

/// Checks that the latency objective is not after the deadline. Otherwise no request could miss it before its answer is useless anyway.
fn check_traffic_class(name: &str, traffic_class: &TrafficClass) -> Result<(), Refusal> {
    let (objective, deadline) = (traffic_class.latency_objective_ms, traffic_class.deadline_ms);
    if objective > 0.0 && objective <= deadline && deadline.is_finite() {
        return Ok(());
    }
    let found = format!("latency objective {objective} ms, deadline {deadline} ms");
    let expected = "a latency objective above 0 and up to the deadline";
    Err(Refusal::invalid(format!("stream {name}"), found, expected))
}

fn check_sizes(name: &str, volume: &Volume) -> Result<(), Refusal> {
    if volume.blocks == 0 || volume.extent_blocks == 0 || volume.shards.is_empty() {
        let expected = "blocks, extents and shards, one or more each";
        return Err(Refusal::invalid(format!("volume {name} blocks"), volume.blocks, expected));
    }
    Ok(())
}

/// Checks that a volume is served by hosts of the fleet, each named once: a host that is named twice would get two shares of the
/// limit.
fn check_hosts(name: &str, volume: &Volume, host_count: u32) -> Result<(), Refusal> {
    let hosts: BTreeSet<u32> = volume.through.iter().copied().collect();
    let has_unknown_host = hosts.iter().any(|host| *host >= host_count);
    if hosts.len() != volume.through.len() || hosts.is_empty() || has_unknown_host {
        let expected = format!("different numbers below {host_count}");
        let found = format!("{:?}", volume.through);
        return Err(Refusal::invalid(format!("volume {name} through"), found, &expected));
    }
    Ok(())
}

/// Checks that the largest request, of `max_units`, fits into each host's share of the burst. Hosts share a volume's burst evenly, and
/// a request that costs more than its host's share could never be sent.
fn check_burst_share(name: &str, host_count: usize, plan: &Plan, max_units: f64) -> Result<(), Refusal> {
    let burst_share = plan.burst / host_count as f64;
    if plan.limit > 0.0 && burst_share < max_units {
        let found = format!("{host_count} hosts share a burst of {}", plan.burst);
        let expected = format!("{max_units} units or more each");
        return Err(Refusal::invalid(format!("volume {name} through"), found, &expected));
    }
    Ok(())
}

fn check_shards(name: &str, volume: &Volume, fleet: &Fleet) -> Result<(), Refusal> {
    match volume.shards.iter().find(|shard| !fleet.bears.contains_key(shard)) {
        None => Ok(()),
        Some(unknown) => {
            let place = format!("volume {name} shards");
            Err(Refusal::invalid(place, unknown, "a shard that some node holds"))
        }
    }
}

/// Checks that the sum of all reservations at a shard, in units per second, is within the capacity that its node may promise.
fn check_reservations(
    reserved_by_shard: &BTreeMap<u32, f64>,
    bears: &BTreeMap<u32, f64>,
) -> Result<(), Refusal> {
    for (shard, reserved) in reserved_by_shard {
        let max = bears.get(shard).copied().unwrap_or(0.0) * MAX_RESERVED_FRACTION;
        if *reserved > max {
            let found = format!("{reserved:.1} units per second reserved");
            let expected = format!("at most {max:.1}, {MAX_RESERVED_FRACTION} of what its node can serve");
            return Err(Refusal::invalid(format!("shard {shard}"), found, &expected));
        }
    }
    Ok(())
}
