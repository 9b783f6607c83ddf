//! The hunt for worlds that break an invariant, or in which a reference model serves better than the host core; and the
//! removal of what such a find does not need.

use crate::{play, play_with, FaultKind, Found, Mutant, ReferenceModel, World};

/// Plays up to `count` seeds one after the other until one is a find (`Found::is_bad`).
pub fn hunt(first: u64, count: u64, hosts: u32, mutant: Option<Mutant>) -> Option<Found> {
    (first..first + count).map(|seed| play(&World::generate(seed, hosts), mutant)).find(Found::is_bad)
}

/// Removes faults one by one, and then hosts, for as long as the world is still a find.
pub fn shrink(world: &World, mutant: Option<Mutant>) -> World {
    shrink_while(world, &|world| play(world, mutant).is_bad())
}

/// The fraction of requests in time under a reference model, less that under the host core, in this world.
pub fn worse_than(world: &World, reference_model: ReferenceModel) -> f64 {
    let in_time_under = |model| {
        let run = play_with(world, None, model).run;
        run.in_time as f64 / run.asked.max(1) as f64
    };
    in_time_under(Some(reference_model)) - in_time_under(None)
}

/// The same world without operators' overrides. Reference models ignore overrides, so that the two would not be comparable.
pub fn without_orders(world: &World) -> World {
    let mut changed = world.clone();
    changed.faults.retain(|fault| !matches!(fault.kind, FaultKind::Order(..)));
    changed
}

/// Shrinks a world for as long as the difference to a reference model stays at least `min_difference`.
pub fn shrink_worse(world: &World, reference_model: ReferenceModel, min_difference: f64) -> World {
    shrink_while(world, &|world| worse_than(world, reference_model) >= min_difference)
}

fn shrink_while(world: &World, is_find: &dyn Fn(&World) -> bool) -> World {
    let mut smallest = world.clone();
    let mut fault_index = 0;
    while fault_index < smallest.faults.len() {
        let mut smaller = smallest.clone();
        smaller.faults.remove(fault_index);
        if is_find(&smaller) {
            smallest = smaller;
        } else {
            fault_index += 1;
        }
    }
    // The number of hosts of a script is fixed.
    while smallest.hosts > 1 && smallest.scenario.is_none() {
        let mut smaller = smallest.clone();
        smaller.hosts -= (smaller.hosts / 2).max(1);
        let host_count = smaller.hosts;
        smaller.faults.retain(|fault| fault.host.is_none_or(|host| host < host_count));
        if !is_find(&smaller) {
            break;
        }
        smallest = smaller;
    }
    smallest
}
