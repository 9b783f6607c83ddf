//! The phases of a measurement: the start of the fleet, rest, load, the death of its leader, and a partition.

use super::{at, ConsensusFigures, Fleet, FleetTrial, Host, Us};
use tackmast_consensus::Replica;

/// Median and maximum.
fn median_and_max(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    (values.get(values.len() / 2).copied().unwrap_or(f64::NAN), values.last().copied().unwrap_or(f64::NAN))
}

/// Measures one fleet from its start through load, the death of its leader and a partition.
pub fn simulate_fleet(trial: &FleetTrial) -> ConsensusFigures {
    let mut fleet = Fleet::new(*trial);
    let mut figures = ConsensusFigures::default();
    measure_start(&mut fleet, &mut figures);
    measure_rest(&mut fleet, &mut figures);
    measure_propagation(&mut fleet, &mut figures);
    measure_throughput(&mut fleet, &mut figures);
    measure_leader_loss(&mut fleet, &mut figures);
    measure_partition(&mut fleet, &mut figures);
    figures
}

fn measure_start(fleet: &mut Fleet, figures: &mut ConsensusFigures) {
    figures.begins = fleet.run_until(60.0, 0.02, Fleet::do_all_have_leases).unwrap_or_else(|| {
        figures.broken.push("not all have a lease after 60 s".to_owned());
        f64::NAN
    });
    fleet.run(10.0);
}

fn measure_rest(fleet: &mut Fleet, figures: &mut ConsensusFigures) {
    fleet.bytes.iter_mut().for_each(|bytes| *bytes = 0);
    fleet.run(20.0);
    let leader = fleet.leader().unwrap_or(0) as usize;
    figures.leader_bytes = fleet.bytes[leader] as f64 / 20.0;
    figures.bytes = fleet.bytes.iter().sum::<u64>() as f64 / 20.0 / f64::from(fleet.trial.hosts);
}

/// One change after the other, at random hosts.
fn measure_propagation(fleet: &mut Fleet, figures: &mut ConsensusFigures) {
    let (mut known, mut all) = (Vec::new(), Vec::new());
    for _ in 0..40 {
        let proposer = fleet.generator.rand_range(0..u64::from(fleet.trial.hosts)) as u32;
        let began = fleet.now;
        let change = fleet.change(proposer);
        fleet.run(4.0);
        let delay = |host: &Host| host.known.get(&change).map(|known_at| (*known_at - began) as f64 / 1e6);
        known.extend(delay(&fleet.hosts[proposer as usize]));
        let each: Vec<f64> = fleet.hosts.iter().filter_map(delay).collect();
        match each.len() == fleet.hosts.len() {
            true => all.push(each.into_iter().fold(0.0, f64::max)),
            false => figures.broken.push(format!("{} hosts know of a change after 4 s", each.len())),
        }
    }
    (figures.known, figures.all_know) = (median_and_max(known), median_and_max(all));
}

/// As many changes as possible, with one open at each of up to sixteen hosts.
fn measure_throughput(fleet: &mut Fleet, figures: &mut ConsensusFigures) {
    let proposer_count = fleet.trial.hosts.min(16);
    let (began, before) = (fleet.now, fleet.committed_proposers.len());
    (0..proposer_count).for_each(|host| _ = fleet.change(host));
    while fleet.now < began + 5_000_000 {
        let seen = fleet.committed_proposers.len();
        fleet.run(0.001);
        let proposers: Vec<u32> = fleet.committed_proposers[seen..].to_vec();
        proposers.into_iter().for_each(|host| _ = fleet.change(host));
    }
    figures.commits = (fleet.committed_proposers.len() - before) as f64 / 5.0;
    fleet.run(3.0);
}

fn measure_leader_loss(fleet: &mut Fleet, figures: &mut ConsensusFigures) {
    let Some(leader) = fleet.leader() else { return };
    fleet.hosts[leader as usize].replica = None;
    fleet.hosts[leader as usize].disk.pending.clear();
    let (began, proposer) = (fleet.now, (leader + 1) % fleet.trial.voters);
    let change = fleet.change(proposer);
    let is_known = |fleet: &Fleet| fleet.hosts[proposer as usize].known.contains_key(&change);
    match fleet.run_until(30.0, 0.005, is_known) {
        Some(_) => figures.leaderless = (fleet.now - began) as f64 / 1e6,
        None => figures.broken.push("nothing is committed 30 s after the death of the leader".into()),
    }
    fleet.start(leader);
    fleet.run(8.0);
}

/// A third is partitioned off, one voter among them, while changes go on elsewhere.
fn measure_partition(fleet: &mut Fleet, figures: &mut ConsensusFigures) {
    fleet.cut = (0..fleet.trial.hosts).map(|host| host % 3 == 2).collect();
    let began = fleet.now;
    let base = newest_commit(fleet);
    // When a newer entry was first known to be committed anywhere.
    let mut first: Option<Us> = None;
    while fleet.now < began + 12_000_000 {
        fleet.change(0);
        fleet.run(0.05);
        if newest_commit(fleet) > base {
            first.get_or_insert(fleet.now);
        }
        if let Some(first) = first.filter(|_| is_stale_under_lease(fleet, base)) {
            figures.longest = (fleet.now - first) as f64 / 1e6;
        }
    }
    if first.is_none() {
        figures.broken.push("nothing is committed without a third of the hosts".into());
    }
    let lease = fleet.settings.lease_duration.secs();
    if figures.longest > lease {
        figures.broken.push(format!("an older state for {:.3} s; the lease is {lease} s", figures.longest));
    }
}

fn newest_commit(fleet: &Fleet) -> u64 {
    let replicas = fleet.hosts.iter().filter_map(|host| host.replica.as_ref());
    replicas.map(Replica::commit_index).max().unwrap_or(0)
}

/// Whether a host that is cut off has a valid lease and nothing newer than `base`.
fn is_stale_under_lease(fleet: &Fleet, base: u64) -> bool {
    let now = at(fleet.now);
    let is_behind = |replica: &Replica| replica.commit_index() <= base && replica.lease_state(now).is_valid();
    let cut_off = fleet.hosts.iter().zip(&fleet.cut).filter(|(_, is_cut)| **is_cut);
    cut_off.into_iter().any(|(host, _)| host.replica.as_ref().is_some_and(is_behind))
}
