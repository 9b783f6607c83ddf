//! Walks by chance: what happens next is drawn from a seed; whatever is found has a seed to be played again by. Each walk
//! draws how often each kind of thing happens (as swarm testing has it: Groce and others, 2012), so that some are all
//! crashes, some all cuts.

use super::world::{World, DRIFT};
use tackmast_consensus::ConsensusFault;

#[derive(Clone, Copy, Debug)]
pub struct Walk {
    pub voters: u32,
    pub followers: u32,
    pub steps: u32,
    pub seed: u64,
    pub fault: Option<ConsensusFault>,
    /// Voters come and go, disks are lost and come back old.
    pub moves: bool,
}

impl Walk {
    /// Of three or of five voters, every third with voters that move.
    pub fn drawn(seed: u64, steps: u32, fault: Option<ConsensusFault>) -> Walk {
        let voters = if seed.is_multiple_of(2) { 5 } else { 3 };
        Walk { voters, followers: 2, steps, seed, fault, moves: seed.is_multiple_of(3) }
    }
}

#[derive(Clone, Debug, Default)]
pub struct Walked {
    /// The step at which something was that must not be, and what.
    pub broken: Option<(u32, String)>,
    /// Entries that held, the longest time for which a host went by something older, and reads that were answered.
    pub committed: u64,
    pub longest: f64,
    pub reads: u64,
    /// Steps in a walk on which disks were lost or came back, and voters moved.
    pub told: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Deliver,
    Sync,
    Pass,
    Change,
    Read,
    Lose,
    Double,
    Long,
    Crash,
    Stop,
    Cut,
    CutOneWay,
    Heal,
    CrashAll,
    Voters,
    Wipe,
    Copy,
    OldDisk,
    GoOn,
}

/// Each kind, how often, and whether it is a fault.
const KINDS: [(Kind, f64, bool); 19] = [
    (Kind::Deliver, 400.0, false),
    (Kind::Sync, 150.0, false),
    (Kind::Pass, 100.0, false),
    (Kind::Change, 30.0, false),
    (Kind::Read, 20.0, false),
    (Kind::Lose, 40.0, true),
    (Kind::Double, 40.0, true),
    (Kind::Long, 40.0, true),
    (Kind::Crash, 30.0, true),
    (Kind::Stop, 30.0, true),
    (Kind::Cut, 20.0, true),
    (Kind::CutOneWay, 20.0, true),
    (Kind::Heal, 30.0, true),
    (Kind::CrashAll, 10.0, true),
    (Kind::Voters, 20.0, true),
    (Kind::Wipe, 7.0, true),
    (Kind::Copy, 8.0, true),
    (Kind::OldDisk, 8.0, true),
    (Kind::GoOn, 5.0, true),
];
/// How many times as often a walk has a kind of fault than its usual.
const TIMES: [f64; 4] = [0.0, 0.3, 1.0, 4.0];

pub fn walk(w: &Walk) -> Walked {
    let mut chance = oorandom::Rand64::new(u128::from(w.seed) << 16 | 0x5eed);
    // Within the drift that hosts are told.
    let paces: Vec<f64> =
        (0..w.voters + w.followers).map(|_| 1.0 + DRIFT * (2.0 * chance.rand_float() - 1.0)).collect();
    let mut x = World::new(w.voters, w.followers, w.fault, |h| paces[h as usize]);
    let hosts = u64::from(w.voters + w.followers);
    let moves = [Kind::Voters, Kind::Wipe, Kind::Copy, Kind::OldDisk];
    let weights: Vec<f64> = KINDS
        .iter()
        .map(|(kind, often, fault)| match fault {
            _ if moves.contains(kind) && !w.moves => 0.0,
            false => *often,
            true => often * TIMES[chance.rand_range(0..4) as usize],
        })
        .collect();
    let slow_disks = chance.rand_range(0..3) == 0;
    let total: f64 = weights.iter().sum();
    let calm_total: f64 = weights.iter().take(5).sum();
    // Some walks begin before anything is agreed on.
    if !w.seed.is_multiple_of(5) {
        x.begin();
    }
    let mut told = Vec::new();
    let (mut old_disk, mut calm) = (false, 0u32);
    for step in 0..w.steps {
        let host = chance.rand_range(0..hosts) as usize;
        // Stretches in which nothing goes wrong let things happen at all.
        calm = match calm {
            0 if chance.rand_range(0..40) == 0 => 120,
            n => n.saturating_sub(1),
        };
        if calm == 0 && chance.rand_range(0..150) == 0 {
            x.cut.clear();
            x.calm(0.3 + chance.rand_float());
        }
        let mut roll = chance.rand_float() * if calm > 0 { calm_total } else { total };
        let kind = KINDS.iter().zip(&weights).find(|(_, weight)| {
            roll -= **weight;
            roll < 0.0
        });
        let letters = x.letters.len() as u64;
        match kind.map_or(Kind::GoOn, |((kind, _, _), _)| *kind) {
            Kind::Deliver if letters > 0 => {
                // Most arrive in the order in which they were sent.
                let early = 1 + chance.rand_range(0..letters);
                x.deliver(chance.rand_range(0..early) as usize, false);
            }
            Kind::Lose if letters > 0 => _ = x.letters.remove(chance.rand_range(0..letters) as usize),
            Kind::Double if letters > 0 => x.deliver(chance.rand_range(0..letters) as usize, true),
            Kind::Deliver | Kind::Lose | Kind::Double => {}
            Kind::Sync => {
                x.sync(host);
                if !slow_disks {
                    let half = |h: &usize| *h % 2 == step as usize % 2;
                    (0..x.all.len()).filter(half).for_each(|h| x.sync(h));
                }
            }
            Kind::Pass => x.pass(0.001 + 0.02 * chance.rand_float()),
            Kind::Long => x.pass(0.05 + 0.4 * chance.rand_float()),
            Kind::Change => x.change(host),
            Kind::Read => x.read(host),
            Kind::Crash => {
                x.crash(host);
                x.start(host);
            }
            Kind::CrashAll => {
                (0..x.all.len()).for_each(|h| x.crash(h));
                (0..x.all.len()).for_each(|h| x.start(h));
            }
            Kind::Stop => x.all[host].stopped = !x.all[host].stopped,
            Kind::GoOn => x.all[host].stopped = false,
            Kind::Cut | Kind::CutOneWay => {
                let (a, b) = (host as u32, chance.rand_range(0..hosts) as u32);
                let both = kind.is_some_and(|((kind, _, _), _)| *kind == Kind::Cut);
                for way in [(a, b), (b, a)].into_iter().take(1 + usize::from(both)) {
                    if !x.cut.remove(&way) {
                        x.cut.insert(way);
                    }
                }
            }
            Kind::Heal => x.cut.clear(),
            Kind::Voters => {
                let votes = chance.rand_range(0..2) == 0;
                told.push(format!("step {step}: host {host} votes: {votes}"));
                x.move_voters(host as u32, votes);
            }
            // Not all of those who begin a fleet: it would be begun anew, as after the loss of all that it agreed on.
            Kind::Wipe if host > 0 && !old_disk => {
                told.push(format!("step {step}: the disk of host {host} is lost"));
                x.wipe(host);
            }
            Kind::Copy if x.all[host].old.is_none() => x.all[host].old = Some(x.all[host].disk.clone()),
            Kind::OldDisk if x.old_can_be_told(host) => {
                if let Some(d) = x.all[host].old.take() {
                    told.push(format!("step {step}: an old disk of host {host} comes back"));
                    old_disk = true;
                    x.crash(host);
                    x.all[host].disk = d;
                    x.start(host);
                }
            }
            Kind::Wipe | Kind::Copy | Kind::OldDisk => {}
        }
        x.look_at_all();
        if let Some(what) = x.broken.take() {
            return walked(&x, Some((step, what)), told);
        }
    }
    let broken = ends(&mut x, w).map(|what| (w.steps, what));
    walked(&x, broken, told)
}

fn walked(x: &World, broken: Option<(u32, String)>, told: Vec<String>) -> Walked {
    Walked { broken, committed: x.committed(), longest: x.longest, reads: x.reads_done, told }
}

/// Once all is well, all agree again: what held holds everywhere, and something new can be agreed on.
fn ends(x: &mut World, w: &Walk) -> Option<String> {
    x.cut.clear();
    x.all.iter_mut().for_each(|p| p.stopped = false);
    let (before, hosts) = (x.committed(), x.all.len());
    for i in 0..60 {
        x.change(i % hosts);
        x.calm(0.2);
        if let Some(what) = x.broken.take() {
            return Some(what);
        }
        let all = x.all.iter().all(|p| p.replica.as_ref().is_some_and(|s| s.commit_index() == x.committed()));
        if all && x.committed() > before + 1 && i > 8 {
            break;
        }
    }
    // Where disks were lost most of the voters may be gone for good.
    if w.moves {
        return None;
    }
    let behind = x.all.iter().position(|p| p.replica.as_ref().is_none_or(|s| s.commit_index() < before));
    if let Some(h) = behind {
        let commit = x.all[h].replica.as_ref().map(|s| s.commit_index());
        return Some(format!("all is well again, and host {h} has {commit:?} of {before}"));
    }
    (x.committed() <= before)
        .then(|| format!("all is well again, and nothing new is agreed on after {before}"))
}

/// The first walk, from a seed on, in which a deliberate fault shows.
pub fn find_fault(fault: ConsensusFault, first: u64, walks: u64, steps: u32) -> Option<(u64, u32, String)> {
    (first..first + walks).find_map(|seed| {
        let found = walk(&Walk::drawn(seed, steps, Some(fault)));
        found.broken.map(|(step, what)| (seed, step, what))
    })
}
