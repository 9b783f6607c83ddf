//! Tests of faults of one kind that overlap: what they do lasts until the last of them ends.

use crate::sim::{Sim, Us};
use crate::world::{FaultKind, InjectedFault};
use crate::World;

const NODE: u32 = 1;
const HOST: u32 = 1;
/// A time before the first end of overlapping faults, between their ends, and after both, in microseconds.
const BOTH: Us = 300_000;
const ONE: Us = 600_000;
const NONE: Us = 1_100_000;

/// A fault of the kind at the node and the host, in microseconds from the start.
fn fault(kind: FaultKind, at_us: Us, ends_us: Us) -> InjectedFault {
    InjectedFault { at_us, for_us: ends_us - at_us, kind, node: NODE, host: Some(HOST) }
}

/// A longer fault, and a shorter one that begins later and ends earlier.
fn overlapping(longer: FaultKind, shorter: FaultKind) -> [InjectedFault; 2] {
    [fault(longer, 100_000, 1_000_000), fault(shorter, 200_000, 400_000)]
}

/// A world without traffic and with these faults.
fn quiet_world(faults: &[InjectedFault]) -> World {
    let mut world = World::generate(1, 3);
    (world.rate, world.clients, world.members) = (0.0, [0; 2], None);
    world.faults = faults.to_vec();
    world
}

/// What is found at each of the three times.
fn found_at_each_time<T>(faults: &[InjectedFault], find: impl Fn(&Sim) -> T) -> [T; 3] {
    let world = quiet_world(faults);
    let mut sim = Sim::new(&world, None, None);
    let start = sim.now;
    sim.start_all();
    sim.schedule_faults(start);
    [BOTH, ONE, NONE].map(|time| {
        sim.run_until(start + time, start);
        find(&sim)
    })
}

/// A node is slow, and for a while within that time slower. The end of the shorter fault must leave the longer one.
#[test]
fn node_is_as_slow_as_the_fault_that_remains() {
    let faults = overlapping(FaultKind::Slow(4.0), FaultKind::Slow(9.0));
    let slowdown = |sim: &Sim| sim.nodes[NODE as usize].model.faults.slowdown;
    assert_eq!(found_at_each_time(&faults, slowdown), [9.0, 4.0, 1.0]);
}

/// Of two faults the one that began first also ends first. The other one must stay as it is.
#[test]
fn newer_fault_outlasts_the_older_one() {
    let faults =
        [fault(FaultKind::Errors(0.2), 100_000, 500_000), fault(FaultKind::Errors(0.7), 200_000, 1_000_000)];
    let error_rate = |sim: &Sim| sim.nodes[NODE as usize].model.faults.error_rate;
    assert_eq!(found_at_each_time(&faults, error_rate), [0.7, 0.7, 0.0]);
}

/// Faults of one kind at two nodes do not concern each other.
#[test]
fn faults_at_two_nodes_end_by_themselves() {
    let mut faults = overlapping(FaultKind::Slow(4.0), FaultKind::Slow(9.0));
    faults[1].node = NODE + 1;
    let slowdowns = |sim: &Sim| [NODE, NODE + 1].map(|node| sim.nodes[node as usize].model.faults.slowdown);
    assert_eq!(found_at_each_time(&faults, slowdowns), [[4.0, 9.0], [4.0, 1.0], [1.0, 1.0]]);
}

/// Clients send more, and for a while within that time more still.
#[test]
fn surge_goes_on_after_a_shorter_one() {
    let faults = overlapping(FaultKind::Surge(2.0), FaultKind::Surge(4.0));
    assert_eq!(found_at_each_time(&faults, |sim| sim.surge_factor), [4.0, 2.0, 1.0]);
}

/// The endpoint list fails for two reasons at once. It must fail until both are over.
#[test]
fn endpoint_list_fails_until_the_last_fault_ends() {
    let faults = overlapping(FaultKind::ListFails, FaultKind::ListFails);
    assert_eq!(found_at_each_time(&faults, |sim| sim.is_list_failing), [true, true, false]);
}

/// Two faults cut one path. As docs/scenarios.md says, it is whole when the last of them has ended.
#[test]
fn partition_lasts_until_the_last_fault_ends() {
    let faults = overlapping(FaultKind::Partition, FaultKind::Partition);
    let is_partitioned = |sim: &Sim| sim.partitions.get(&(HOST, NODE)).is_some_and(|until| *until > sim.now);
    assert_eq!(found_at_each_time(&faults, is_partitioned), [true, true, false]);
}

/// A host is killed, and killed again for a shorter time. It must not start before the end of the longer fault.
#[test]
fn killed_host_starts_after_the_last_fault() {
    let faults = overlapping(FaultKind::HostKill, FaultKind::HostKill);
    assert_eq!(found_at_each_time(&faults, |sim| sim.hosts[HOST as usize].up), [false, false, true]);
}

/// A node restarts twice at once. It must stay down for the longer of the two times.
#[test]
fn restarting_node_starts_after_the_last_fault() {
    let faults = overlapping(FaultKind::Restart, FaultKind::Restart);
    assert_eq!(found_at_each_time(&faults, |sim| sim.nodes[NODE as usize].up), [false, false, true]);
}

/// All nodes restart, and for a shorter time they do so again. They are down for half of the time of each fault.
#[test]
fn restarting_nodes_start_after_the_last_fault() {
    let faults =
        [fault(FaultKind::MassRestart, 0, 2_000_000), fault(FaultKind::MassRestart, 200_000, 1_000_000)];
    let are_up = |sim: &Sim| sim.nodes.iter().all(|node| node.up);
    // The second fault would start them at 600 ms, and the first one does at 1000 ms.
    assert_eq!(found_at_each_time(&faults, are_up), [false, false, true]);
}

/// A host is paused, and for longer while it is paused. It must resume at the end of the longer pause, whichever began first.
#[test]
fn paused_host_resumes_after_the_last_fault() {
    let is_paused = |sim: &Sim| sim.hosts[HOST as usize].paused_until > sim.now;
    for faults in [
        overlapping(FaultKind::HostStands, FaultKind::HostStands),
        [fault(FaultKind::HostStands, 100_000, 400_000), fault(FaultKind::HostStands, 200_000, 1_000_000)],
    ] {
        assert_eq!(found_at_each_time(&faults, is_paused), [true, true, false]);
    }
}

/// A host leaves for less time than its drain takes. It must drain to the end, and then its next process must start.
#[test]
fn host_that_leaves_for_less_than_its_drain_starts_after_it() {
    let faults = [fault(FaultKind::HostLeaves, 200_000, 250_000)];
    let first_generation = found_at_each_time(&[], |sim| sim.hosts[HOST as usize].generation)[0];
    let has_restarted = |sim: &Sim| {
        let host = &sim.hosts[HOST as usize];
        (host.up, host.generation > first_generation)
    };
    // The drain ends at 700 ms.
    assert_eq!(found_at_each_time(&faults, has_restarted), [(true, false), (true, false), (true, true)]);
}

/// A host leaves for longer than its drain takes. Its next process must start at the end of the fault.
#[test]
fn host_that_leaves_is_down_until_the_end_of_the_fault() {
    let faults = [fault(FaultKind::HostLeaves, 50_000, 1_000_000)];
    assert_eq!(found_at_each_time(&faults, |sim| sim.hosts[HOST as usize].up), [true, false, true]);
}
