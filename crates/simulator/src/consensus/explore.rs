//! All orders, to a depth: each delivery, loss and double, each write done, each crash, stop and step of time, from a state
//! in which three voters have a leader and a change is under way.

use super::world::World;
use tackmast_consensus::ConsensusFault;

/// How many states were reached, and the first violation.
#[derive(Clone, Debug, Default)]
pub struct Explored {
    pub states: u64,
    pub broken: Option<String>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Lose(usize),
    Double(usize),
    Sync(usize),
    Crash(usize),
    Stop(usize),
    Pass(f64),
    Change(usize),
}

fn steps(world: &World) -> Vec<Step> {
    let mut all = Vec::new();
    for i in 0..world.in_flight.len().min(6) {
        all.extend([Step::Deliver(i), Step::Lose(i), Step::Double(i)]);
    }
    for h in 0..world.all.len() {
        if !world.all[h].disk.pending.is_empty() {
            all.push(Step::Sync(h));
        }
        all.extend([Step::Crash(h), Step::Stop(h)]);
    }
    all.extend([Step::Pass(0.06), Step::Pass(0.7), Step::Change(0), Step::Change(1)]);
    all
}

fn take(world: &mut World, step: Step) {
    match step {
        Step::Deliver(i) => world.deliver(i, false),
        Step::Lose(i) => _ = world.in_flight.remove(i),
        Step::Double(i) => world.deliver(i, true),
        Step::Sync(h) => world.sync(h),
        Step::Crash(h) => {
            world.crash(h);
            world.start(h);
        }
        Step::Stop(h) => world.all[h].stopped = !world.all[h].stopped,
        Step::Pass(seconds) => world.pass(seconds),
        Step::Change(h) => world.change(h),
    }
    world.check_all();
}

fn deeper(world: &World, depth: u32, found: &mut Explored) {
    if depth == 0 || found.broken.is_some() {
        return;
    }
    for s in steps(world) {
        let mut next = world.clone();
        take(&mut next, s);
        found.states += 1;
        if let Some(what) = next.broken.take() {
            found.broken = Some(format!("{what}, after {s:?}"));
            return;
        }
        deeper(&next, depth - 1, found);
    }
}

/// Three voters, one of whom leads, a change that it has just taken, and all that can happen in so many steps.
pub fn explore(depth: u32, fault: Option<ConsensusFault>) -> Explored {
    let mut world = World::new(3, 0, fault, |_| 1.0);
    world.begin();
    world.in_flight.clear();
    world.change(0);
    let mut found = Explored::default();
    deeper(&world, depth, &mut found);
    found
}
