//! All orders, to a depth: each delivery, loss and double, each write done, each crash, stop and step of time, from a state
//! in which three voters have a leader and a change is under way.

use super::world::World;
use tackmast_consensus::ConsensusFault;

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

fn steps(w: &World) -> Vec<Step> {
    let mut all = Vec::new();
    for i in 0..w.letters.len().min(6) {
        all.extend([Step::Deliver(i), Step::Lose(i), Step::Double(i)]);
    }
    for h in 0..w.all.len() {
        if !w.all[h].disk.pending.is_empty() {
            all.push(Step::Sync(h));
        }
        all.extend([Step::Crash(h), Step::Stop(h)]);
    }
    all.extend([Step::Pass(0.06), Step::Pass(0.7), Step::Change(0), Step::Change(1)]);
    all
}

fn take(w: &mut World, s: Step) {
    match s {
        Step::Deliver(i) => w.deliver(i, false),
        Step::Lose(i) => _ = w.letters.remove(i),
        Step::Double(i) => w.deliver(i, true),
        Step::Sync(h) => w.sync(h),
        Step::Crash(h) => {
            w.crash(h);
            w.start(h);
        }
        Step::Stop(h) => w.all[h].stopped = !w.all[h].stopped,
        Step::Pass(s) => w.pass(s),
        Step::Change(h) => w.change(h),
    }
    w.look_at_all();
}

fn deeper(w: &World, depth: u32, found: &mut Explored) {
    if depth == 0 || found.broken.is_some() {
        return;
    }
    for s in steps(w) {
        let mut next = w.clone();
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
    let mut w = World::new(3, 0, fault, |_| 1.0);
    w.begin();
    w.letters.clear();
    w.change(0);
    let mut found = Explored::default();
    deeper(&w, depth, &mut found);
    found
}
