//! All orders of steps up to a depth: each delivery, loss and duplicate of a message, each sync of a disk, each crash and
//! pause, and steps of time, from a state in which three voters have a leader and a change is under way.

use super::world::World;
use tackmast_consensus::ConsensusFault;

/// Messages in flight that are considered at each step: the oldest ones.
const MAX_CONSIDERED_MESSAGES: usize = 6;
/// Steps of time: less than the shortest election timeout, and more, in seconds.
const TIME_STEPS: [f64; 2] = [0.06, 0.7];

/// What an exploration has shown.
#[derive(Clone, Debug, Default)]
pub struct Explored {
    /// States that were reached.
    pub states: u64,
    /// The first violation of a safety property, and the step after which it was found.
    pub broken: Option<String>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Sync(usize),
    Crash(usize),
    Stop(usize),
    Pass(f64),
    Change(usize),
}

fn steps(world: &World) -> Vec<Step> {
    let mut all = Vec::new();
    for message in 0..world.in_flight.len().min(MAX_CONSIDERED_MESSAGES) {
        all.extend([Step::Deliver(message), Step::Lose(message), Step::Duplicate(message)]);
    }
    for host in 0..world.all.len() {
        if !world.all[host].disk.pending.is_empty() {
            all.push(Step::Sync(host));
        }
        all.extend([Step::Crash(host), Step::Stop(host)]);
    }
    all.extend(TIME_STEPS.map(Step::Pass));
    all.extend([Step::Change(0), Step::Change(1)]);
    all
}

fn take(world: &mut World, step: Step) {
    match step {
        Step::Deliver(message) => world.deliver(message, false),
        Step::Lose(message) => _ = world.in_flight.remove(message),
        Step::Duplicate(message) => world.deliver(message, true),
        Step::Sync(host) => world.sync(host),
        Step::Crash(host) => {
            world.crash(host);
            world.start(host);
        }
        Step::Stop(host) => world.all[host].stopped = !world.all[host].stopped,
        Step::Pass(seconds) => world.pass(seconds),
        Step::Change(host) => world.change(host),
    }
    world.check_all();
}

/// Takes each possible step from a state, and explores on from there.
fn explore_from(world: &World, depth: u32, found: &mut Explored) {
    if depth == 0 || found.broken.is_some() {
        return;
    }
    for step in steps(world) {
        let mut next = world.clone();
        take(&mut next, step);
        found.states += 1;
        if let Some(what) = next.broken.take() {
            found.broken = Some(format!("{what}, after {step:?}"));
            return;
        }
        explore_from(&next, depth - 1, found);
    }
}

/// Explores all orders of `depth` steps from a state in which three voters have a leader that has just received a change.
pub fn explore(depth: u32, fault: Option<ConsensusFault>) -> Explored {
    let mut world = World::new(3, 0, fault, |_| 1.0);
    world.begin();
    world.in_flight.clear();
    world.change(0);
    let mut found = Explored::default();
    explore_from(&world, depth, &mut found);
    found
}
