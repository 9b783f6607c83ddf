//! Tests of what reaches the process of a host that is paused: nothing, until it resumes.

use crate::sim::{Sim, Us};
use crate::world::{FaultKind, InjectedFault};
use crate::World;

const HOST: u32 = 0;
/// When the host is paused and resumes, in microseconds from the start.
const PAUSE_BEGINS: Us = 600_000;
const PAUSE_ENDS: Us = 1_000_000;

/// A world whose host is paused, and in which other faults happen.
fn world_with_a_pause(rate: f64, other_faults: &[InjectedFault]) -> World {
    let mut world = World::generate(1, 1);
    (world.rate, world.clients, world.members) = (rate, [0; 2], Some(0.0));
    world.faults = vec![fault(FaultKind::HostStands, PAUSE_BEGINS, PAUSE_ENDS)];
    world.faults.extend(other_faults);
    world
}

fn fault(kind: FaultKind, at_us: Us, ends_us: Us) -> InjectedFault {
    InjectedFault { at_us, for_us: ends_us - at_us, kind, node: 0, host: Some(HOST) }
}

fn started(world: &World) -> (Sim<'_>, Us) {
    let mut sim = Sim::new(world, None, None);
    let start = sim.now;
    sim.start_all();
    sim.schedule_faults(start);
    (sim, start)
}

fn open_commands(sim: &Sim) -> usize {
    sim.hosts[HOST as usize].core.open_counts().commands
}

/// No node answers, so that commands are open when their host is paused. Their clients close the connections at once; the
/// process of the host must notice that when it resumes, as it can't do anything before.
#[test]
fn paused_host_notices_closed_sessions_when_it_resumes() {
    let mut world = world_with_a_pause(100.0, &[]);
    for node in 0..world.nodes {
        world.faults.push(InjectedFault { node, ..fault(FaultKind::Silent, 0, 10_000_000) });
    }
    let (mut sim, start) = started(&world);
    sim.run_until(start + PAUSE_BEGINS - 1, start + PAUSE_ENDS);
    let open = open_commands(&sim);
    assert!(open > 0, "commands are open");
    sim.run_until(start + PAUSE_ENDS - 1, start + PAUSE_ENDS);
    assert_eq!(open_commands(&sim), open, "the process is paused");
    sim.run_until(start + PAUSE_ENDS, start + PAUSE_ENDS);
    assert_eq!(open_commands(&sim), 0, "the process has resumed");
}

/// A host is told to leave its peers while its process is paused. It must begin to when it resumes.
#[test]
fn paused_host_begins_to_leave_when_it_resumes() {
    let leaves = fault(FaultKind::HostLeaves, PAUSE_BEGINS + 100_000, 10_000_000);
    let world = world_with_a_pause(0.0, &[leaves]);
    let (mut sim, start) = started(&world);
    let mut is_leaving_at = |time: Us| {
        sim.run_until(start + time, start);
        let is_leaving = sim.hosts[HOST as usize].core.core().is_some_and(|core| core.is_leaving());
        assert_eq!(sim.persisted[HOST as usize].has_left, is_leaving);
        is_leaving
    };
    assert!(!is_leaving_at(PAUSE_ENDS - 1));
    assert!(is_leaving_at(PAUSE_ENDS));
}

/// The links of a node are reset while a host is paused. The host must notice that when it resumes.
#[test]
fn paused_host_notices_a_closed_link_when_it_resumes() {
    let resets = fault(FaultKind::Resets, PAUSE_BEGINS + 100_000, PAUSE_BEGINS + 100_001);
    let mut world = world_with_a_pause(100.0, &[resets]);
    for node in 0..world.nodes {
        world.faults.push(InjectedFault { node, ..fault(FaultKind::Silent, 0, 10_000_000) });
    }
    let (mut sim, start) = started(&world);
    sim.run_until(start + PAUSE_BEGINS, start + PAUSE_ENDS);
    let open = sim.hosts[HOST as usize].core.open_counts();
    let link_attempts = sim.hosts[HOST as usize].links.get(&0).map_or(0, |link| link.attempts.len());
    assert!(link_attempts > 0, "attempts are open at the node");
    sim.run_until(start + PAUSE_ENDS - 1, start + PAUSE_ENDS);
    assert!(!sim.hosts[HOST as usize].links.contains_key(&0), "the link is down");
    assert_eq!(sim.hosts[HOST as usize].core.open_counts().attempts, open.attempts, "the process is paused");
}
