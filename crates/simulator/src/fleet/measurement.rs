//! The phases through which a membership fleet is played: rest, kills, a restart without reachable seeds, a partition with
//! overrides, flapping links and changes of plans.

use super::{Fleet, FleetFigures, Us, SECOND};
use crate::sim::peer_address;
use tackmast_membership::{CatalogVersion, Health, Member};
use tackmast_overrides::Origin;

/// Size of a small change of plans, in bytes.
const SMALL_CHANGE_BYTES: usize = 500;
/// Size of a large change of plans, in bytes.
const LARGE_CHANGE_BYTES: usize = 100_000;
/// Length of the partition during which a change of plans is made, in microseconds.
const PARTITION_TIME: Us = 30 * SECOND;

/// Plays one fleet through all phases.
pub fn fleet(hosts: u32, loss: f64, seed: u64) -> FleetFigures {
    let mut fleet = Fleet::new(hosts, loss, seed);
    let mut figures = FleetFigures {
        hosts,
        loss,
        all_known_s: fleet.run_until_true(Fleet::do_all_know_all),
        ..FleetFigures::default()
    };
    measure_rest(&mut fleet, &mut figures);
    measure_kills(&mut fleet, &mut figures);
    measure_stale_seeds(&mut fleet, &mut figures);
    measure_partition_with_overrides(&mut fleet, &mut figures);
    measure_flapping_links(&mut fleet, &mut figures);
    measure_plan_changes(&mut fleet, &mut figures);
    figures
}

fn is_dead(member: &Member, host: u32) -> bool {
    member.snapshot().get(&host).is_some_and(|state| state.health == Health::Dead)
}

/// A quiet minute, once the updates of the start have been gossiped.
fn measure_rest(fleet: &mut Fleet, figures: &mut FleetFigures) {
    let hosts = f64::from(fleet.hosts);
    fleet.run_until(fleet.now + 90 * SECOND);
    let before = fleet.counters();
    fleet.run_until(fleet.now + 60 * SECOND);
    let after = fleet.counters();
    figures.bytes_a_second = (after.sent_bytes - before.sent_bytes) as f64 / 60.0 / hosts;
    figures.false_suspicions = (after.suspicions - before.suspicions) as f64 * 60.0 / hosts;
    figures.false_deaths = after.deaths - before.deaths;
}

/// A third of the hosts is killed at once, and restarts once all others hold them dead.
fn measure_kills(fleet: &mut Fleet, figures: &mut FleetFigures) {
    let killed: Vec<u32> = (0..fleet.hosts).filter(|host| host % 3 == 2).collect();
    for host in &killed {
        fleet.members.remove(host);
    }
    let start = fleet.now;
    let any_dead = |member: &Member| killed.iter().any(|host| is_dead(member, *host));
    figures.first_known_s = fleet.run_until_true(|fleet| fleet.members.values().any(any_dead));
    let elapsed_s = (fleet.now - start) as f64 / 1e6;
    let all_dead = |member: &Member| killed.iter().all(|host| is_dead(member, *host));
    let until_all = fleet.run_until_true(|fleet| fleet.members.values().all(all_dead));
    figures.all_dead_s = until_all.map(|seconds| seconds + elapsed_s);
    for host in &killed {
        fleet.start(*host);
    }
    figures.back_s = fleet.run_until_true(Fleet::do_all_know_all);
}

/// A host that is held dead restarts with seeds that do not exist. The others must find it, since they sometimes send to the
/// addresses of dead hosts.
fn measure_stale_seeds(fleet: &mut Fleet, figures: &mut FleetFigures) {
    let lost = fleet.hosts - 1;
    fleet.members.remove(&lost);
    _ = fleet.run_until_true(|fleet| fleet.members.values().all(|member| is_dead(member, lost)));
    fleet.start_with(lost, (900..903).map(peer_address).collect());
    figures.stale_seeds_s = fleet.run_until_true(Fleet::do_all_know_all);
}

/// Half is partitioned off, with overrides set on both sides; one override ends meanwhile and one is cleared.
fn measure_partition_with_overrides(fleet: &mut Fleet, figures: &mut FleetFigures) {
    fleet.cut = Some(fleet.hosts / 2);
    let (low, high) = (0, fleet.hosts - 1);
    fleet.set_override(low, 1, 600.0);
    fleet.set_override(high, 2, 600.0);
    fleet.set_override(low, 3, 10.0);
    fleet.set_override(high, 4, 600.0);
    fleet.run_until(fleet.now + 20 * SECOND);
    let generation = fleet.members.get(&high).map_or(0, |member| member.view.me().generation);
    if let Some(member) = fleet.members.get_mut(&high) {
        member.clear_override(Origin { slot: high, generation, number: 4 });
    }
    fleet.overrides.entry(high).or_default().remove(&4);
    fleet.run_until(fleet.now + 10 * SECOND);
    fleet.ended_overrides.extend([3, 4]);
    fleet.cut = None;
    let heal = fleet.now;
    figures.orders_meet_s = fleet.run_until_true(|fleet| {
        fleet
            .overrides
            .values()
            .all(|numbers| numbers.contains(&1) && numbers.contains(&2) && !numbers.contains(&4))
    });
    let elapsed_s = (fleet.now - heal) as f64 / 1e6;
    figures.views_meet_s = fleet.run_until_true(Fleet::do_all_know_all).map(|seconds| seconds + elapsed_s);
    fleet.run_until(fleet.now + 30 * SECOND);
    figures.returned = fleet.returned;
}

/// All links between two halves go down and up again each second.
fn measure_flapping_links(fleet: &mut Fleet, figures: &mut FleetFigures) {
    let before = fleet.counters().deaths;
    for _ in 0..15 {
        fleet.cut = Some(fleet.hosts / 2);
        fleet.run_until(fleet.now + SECOND);
        fleet.cut = None;
        fleet.run_until(fleet.now + SECOND);
    }
    figures.after_flaps_s = fleet.run_until_true(Fleet::do_all_know_all);
    figures.flap_deaths = fleet.counters().deaths - before;
}

/// Small and large changes of plans, and one that is made during a partition.
fn measure_plan_changes(fleet: &mut Fleet, figures: &mut FleetFigures) {
    fleet.members.values_mut().for_each(|member| member.catalog.enable(CatalogVersion::default(), []));
    figures.plan_s = fleet.change_plans(1, SMALL_CHANGE_BYTES);
    figures.large_plan_s = fleet.change_plans(2, LARGE_CHANGE_BYTES);
    fleet.cut = Some(fleet.hosts / 2);
    fleet.apply_plan_change(3, SMALL_CHANGE_BYTES);
    fleet.run_until(fleet.now + PARTITION_TIME);
    fleet.cut = None;
    figures.plan_after_cut_s = match fleet.have_all_adopted(3) {
        true => Some(PARTITION_TIME as f64 / 1e6),
        false => fleet.run_until_true(|fleet| fleet.have_all_adopted(3)),
    };
}
