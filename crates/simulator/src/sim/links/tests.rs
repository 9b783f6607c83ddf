//! Tests of the links' generations.

use super::LinkId;
use crate::sim::Sim;
use crate::World;

const HOST: u32 = 0;
const NODE: u32 = 1;

/// A link is closed before its node's hello has arrived, and another one is opened. The hello of the closed link must not
/// release what waits on its successor, whose node may have restarted.
#[test]
fn hello_of_a_closed_link_does_not_release_its_successor() {
    let mut world = World::generate(1, 1);
    world.faults.clear();
    world.rate = 0.0;
    let mut sim = Sim::new(&world, None, None);
    sim.start_all();
    let opened_at = sim.now;
    sim.open_link(HOST, NODE);
    let first = link_id(&sim);
    sim.close_link(first);
    sim.now = opened_at + world.delay_us;
    sim.open_link(HOST, NODE);
    assert_ne!(link_id(&sim).generation, first.generation);
    sim.run_until(opened_at + 2 * world.delay_us, opened_at);
    assert!(is_waiting_for_hello(&sim), "the hello of the first link has arrived");
    sim.run_until(opened_at + 3 * world.delay_us, opened_at);
    assert!(!is_waiting_for_hello(&sim), "its own hello has arrived");
}

fn link_id(sim: &Sim) -> LinkId {
    let generation = sim.hosts[HOST as usize].links[&NODE].generation;
    LinkId { host: HOST, node: NODE, generation }
}

fn is_waiting_for_hello(sim: &Sim) -> bool {
    sim.hosts[HOST as usize].links[&NODE].waiting.is_some()
}
