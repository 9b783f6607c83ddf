//! The catalogue and the fleet that the settings of a host describe.

use tackmast_config::{HostSettings, PlansBlock};
use tackmast_plans::{Catalogue, Fleet, Plan, TrafficClass, Volume};

/// What the settings say, as a catalogue.
pub(super) fn catalog_of_settings(s: &HostSettings) -> Catalogue {
    let mut c = Catalogue::default();
    for p in &s.plans {
        let (limit, burst, slack, reserve, weight) = (p.limit, p.burst, p.slack, p.reserve, p.weight);
        c.plans.insert(p.name.clone(), Plan { limit, burst, slack, reserve, weight, floor: p.floor });
    }
    for st in &s.traffic_classes {
        let (latency_objective_ms, deadline_ms) =
            (st.latency_objective.secs() * 1e3, st.deadline.secs() * 1e3);
        c.traffic_classes.insert(st.name.clone(), TrafficClass { latency_objective_ms, deadline_ms });
    }
    for v in &s.volumes {
        let traffic_class = |i: u32| s.traffic_classes[i as usize].name.clone();
        let volume = Volume {
            lun: v.lun,
            plan: s.plans[v.plan as usize].name.clone(),
            blocks: v.blocks,
            extent_blocks: v.extent_blocks,
            shards: v.shards.clone(),
            through: v.through.clone(),
            reads: traffic_class(v.reads),
            writes: traffic_class(v.writes),
        };
        c.volumes.insert(v.name.clone(), volume);
    }
    c
}

pub(super) fn fleet(s: &HostSettings, b: &PlansBlock) -> Fleet {
    let shards = s.volumes.iter().flat_map(|v| &v.shards);
    let bears = shards.map(|n| (*n, b.bears.get(&n.to_string()).copied().unwrap_or(b.node_units)));
    Fleet { hosts: s.host.hosts, max_units: s.units.max_per_request, bears: bears.collect() }
}
