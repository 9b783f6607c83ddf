//! Derives the initial catalogue and the fleet from the settings of a host.

use tackmast_config::{HostSettings, PlansBlock};
use tackmast_plans::{Catalogue, Fleet, Plan, TrafficClass, Volume};

/// Returns the plans, traffic classes and volumes of the settings as a catalogue.
pub(super) fn catalog_of_settings(settings: &HostSettings) -> Catalogue {
    let mut catalogue = Catalogue::default();
    for plan in &settings.plans {
        let stored = Plan {
            limit: plan.limit,
            burst: plan.burst,
            slack: plan.slack,
            reserve: plan.reserve,
            weight: plan.weight,
            floor: plan.floor,
        };
        catalogue.plans.insert(plan.name.clone(), stored);
    }
    for class in &settings.traffic_classes {
        let stored = TrafficClass {
            latency_objective_ms: class.latency_objective.secs() * 1e3,
            deadline_ms: class.deadline.secs() * 1e3,
        };
        catalogue.traffic_classes.insert(class.name.clone(), stored);
    }
    let class_name = |index: u32| settings.traffic_classes[index as usize].name.clone();
    for volume in &settings.volumes {
        let stored = Volume {
            lun: volume.lun,
            plan: settings.plans[volume.plan as usize].name.clone(),
            blocks: volume.blocks,
            extent_blocks: volume.extent_blocks,
            shards: volume.shards.clone(),
            through: volume.through.clone(),
            reads: class_name(volume.reads),
            writes: class_name(volume.writes),
        };
        catalogue.volumes.insert(volume.name.clone(), stored);
    }
    catalogue
}

/// Returns the fleet that changes of plans are validated against: the number of hosts, the units of the largest request, and for each shard
/// the units a second that its node can serve.
pub(super) fn fleet_of_settings(settings: &HostSettings, block: &PlansBlock) -> Fleet {
    let shards = settings.volumes.iter().flat_map(|volume| &volume.shards);
    let node_units = |shard: &u32| block.bears.get(&shard.to_string()).copied().unwrap_or(block.node_units);
    Fleet {
        hosts: settings.host.hosts,
        max_units: settings.units.max_per_request,
        bears: shards.map(|shard| (*shard, node_units(shard))).collect(),
    }
}
