//! The hard cases, each up to its last fault.

use super::world::{World, PERIOD};
use super::{Shown, Trial};

/// Periods that a case may take to settle before it counts as one that does not.
pub const SETTLE_TIMEOUT_PERIODS: f64 = 400.0;
/// The port of each host at first.
const PORT: u16 = 7400;

/// A hard case for the membership of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    ThirdKilled,
    HalfJoins,
    TwoParts,
    ThreeParts,
    /// One that nobody hears, and one that hears nobody; each until the ways are whole again.
    Mute,
    Deaf,
    /// One stands still for 5 s, and longer than its death takes.
    Stopped,
    StoppedLong,
    StoppedInTurn,
    /// All started anew at once at other addresses, one seed gone for good.
    AllAnew,
    /// A second process of one number, elsewhere, which ends again.
    Twins,
    /// A fifth of all datagrams lost and 200 ms of jitter; one host is killed, and once all miss it the net is well again.
    Lossy,
    /// Hosts restart with a wall clock that is ten seconds behind, one of them without its disk.
    ClockBack,
    /// One comes and goes every few seconds, and ends for good.
    Flaps,
    /// All but one end; then all come back, the seeds last.
    OneLeft,
    /// A host replaced under its number: another address and site, no disk.
    Replaced,
    /// Parted, and both sides started anew meanwhile; one side has no seed.
    NoSeed,
    /// All started anew but the seeds, which are gone for good.
    SeedsGone,
}

impl Case {
    /// All cases, in the order in which they are listed.
    pub const ALL: [Case; 18] = [
        Case::ThirdKilled,
        Case::HalfJoins,
        Case::TwoParts,
        Case::ThreeParts,
        Case::Mute,
        Case::Deaf,
        Case::Stopped,
        Case::StoppedLong,
        Case::StoppedInTurn,
        Case::AllAnew,
        Case::Twins,
        Case::Lossy,
        Case::ClockBack,
        Case::Flaps,
        Case::OneLeft,
        Case::Replaced,
        Case::NoSeed,
        Case::SeedsGone,
    ];

    /// The name by which commands know the case.
    pub fn name(self) -> &'static str {
        match self {
            Case::ThirdKilled => "third-killed",
            Case::HalfJoins => "half-joins",
            Case::TwoParts => "two-parts",
            Case::ThreeParts => "three-parts",
            Case::Mute => "one-way-mute",
            Case::Deaf => "one-way-deaf",
            Case::Stopped => "stopped",
            Case::StoppedLong => "stopped-long",
            Case::StoppedInTurn => "stopped-in-turn",
            Case::AllAnew => "all-anew",
            Case::Twins => "twins",
            Case::Lossy => "lossy",
            Case::ClockBack => "clock-back",
            Case::Flaps => "flaps",
            Case::OneLeft => "one-left",
            Case::Replaced => "replaced",
            Case::NoSeed => "no-seed",
            Case::SeedsGone => "seeds-gone",
        }
    }
}

/// There is no case of that name.
#[derive(Debug, thiserror::Error)]
#[error("{name:?}; expected one of {expected}")]
pub struct UnknownCase {
    name: String,
    expected: String,
}

impl std::str::FromStr for Case {
    type Err = UnknownCase;

    fn from_str(text: &str) -> Result<Case, UnknownCase> {
        let names = || Case::ALL.map(Case::name).join(", ");
        Case::ALL
            .into_iter()
            .find(|c| c.name() == text)
            .ok_or_else(|| UnknownCase { name: text.to_owned(), expected: names() })
    }
}

/// How long one has to be silent until it is held dead everywhere, with room.
fn long(hosts: u32) -> f64 {
    30.0 + 8.0 * f64::from(hosts.max(2)).log2()
}

/// Plays a case: settles, injects its faults, and measures until the views have settled again.
pub fn play(trial: &Trial) -> Shown {
    let mut world = World::new(trial);
    let host_count = trial.hosts;
    let all: Vec<usize> = (0..host_count).map(|s| world.add(s, PORT)).collect();
    let joins = if trial.case == Case::HalfJoins { host_count / 2 } else { host_count };
    all.iter().take(joins as usize).for_each(|p| world.start(*p));
    // Known to all, and told to all.
    if world.until_settled(SETTLE_TIMEOUT_PERIODS).is_none()
        && trial.fault.is_none()
        && trial.extensions.rejoin
    {
        world.shown.broken.push("not settled before the first fault".into());
    }
    world.run(25.0);
    let (began, sent) = (world.now, world.sent);
    let victim = all[world.generator.rand_range(u64::from(host_count / 2)..u64::from(host_count)) as usize];
    faults(&mut world, trial, &all, victim);
    world.shown.settled = world.until_settled(SETTLE_TIMEOUT_PERIODS);
    let periods = ((world.now - began) as f64 / PERIOD as f64).max(1.0);
    world.shown.bytes = (world.sent - sent) as f64 / periods / f64::from(host_count);
    // What came late must not unsettle it again.
    if world.shown.settled.is_some() && trial.case != Case::Lossy {
        world.run(40.0);
        if !world.is_settled() {
            world.shown.broken.push("it settled, and came apart again without a fault".into());
        }
    }
    world.shown.accused = world.accused();
    std::mem::take(&mut world.shown)
}

fn faults(world: &mut World, trial: &Trial, all: &[usize], victim: usize) {
    let host_count = trial.hosts;
    let third: Vec<usize> = all.iter().copied().filter(|p| p % 3 == 2).collect();
    match trial.case {
        Case::ThirdKilled => third.iter().for_each(|p| world.kill(*p)),
        Case::HalfJoins => {
            // Within a second.
            for p in &all[(host_count / 2) as usize..] {
                world.start(*p);
                world.run(2.0 / f64::from(host_count - host_count / 2));
            }
        }
        Case::TwoParts | Case::ThreeParts => {
            let parts = if trial.case == Case::TwoParts { 2 } else { 3 };
            world.partition(|s| s * parts / host_count);
            world.run(long(host_count) / 2.0);
            // One ends on each side, and one ends and comes back, while nobody on the other can hear of it.
            for i in 0..parts {
                let first = (i * host_count / parts) as usize + 1;
                all.iter().skip(first).take(2).for_each(|p| world.kill(*p));
            }
            world.run(long(host_count) / 2.0);
            (0..parts)
                .filter_map(|i| all.get((i * host_count / parts) as usize + 1))
                .for_each(|p| world.start(*p));
            world.run(5.0);
            world.partition(|_| 0);
        }
        Case::Mute | Case::Deaf => {
            let slot = world.all[victim].slot as usize;
            let is_mute = trial.case == Case::Mute;
            (world.mute[slot], world.deaf[slot]) = (is_mute, !is_mute);
            world.run(long(host_count));
            (world.mute[slot], world.deaf[slot]) = (false, false);
            world.mark_reachable_again(slot as u32);
        }
        Case::Stopped | Case::StoppedLong => {
            world.stop(victim);
            world.run(if trial.case == Case::Stopped { 10.0 } else { long(host_count) });
            world.resume(victim);
        }
        Case::StoppedInTurn => {
            let step = (all.len() / 12).max(1);
            for p in all.iter().step_by(step) {
                world.stop(*p);
                world.run(4.0);
                world.resume(*p);
            }
        }
        Case::AllAnew => {
            all.iter().for_each(|p| world.kill(*p));
            world.run(2.0);
            // The first seed is gone for good; the others have moved, and so has all that is known of them but one seed.
            for p in &all[1..] {
                if *p != 1 {
                    world.change_address(*p, PORT + 1);
                }
                world.start(*p);
            }
        }
        Case::Twins => {
            let slot = world.all[victim].slot;
            let second = world.add(slot, PORT + 9);
            world.run(1.0);
            world.start(second);
            world.run(30.0);
            world.kill(second);
        }
        Case::Lossy => {
            (world.loss, world.jitter, world.doubled) = (0.2, 200_000, 0.05);
            world.run(60.0);
            world.kill(victim);
            let (killed, slot) = (world.now, world.all[victim].slot);
            while !world.all_miss(slot) && world.now < killed + 200 * PERIOD {
                world.run(0.5);
            }
            if world.all_miss(slot) {
                world.shown.missed = Some((world.now - killed) as f64 / PERIOD as f64);
            }
            (world.loss, world.jitter, world.doubled) = (0.0, 1_000, 0.0);
        }
        Case::ClockBack => {
            let other = all[1];
            for p in [victim, other] {
                world.kill(p);
                world.all[p].wall_off = -10.0;
            }
            // The disk of one is lost with what it knew of its generations.
            world.all[victim].disk = Default::default();
            world.run(6.0);
            world.start(victim);
            world.start(other);
        }
        Case::Flaps => {
            for _ in 0..8 {
                world.kill(victim);
                world.run(8.0);
                world.start(victim);
                world.run(4.0);
            }
            // And ends for good: it has to be missed like any other.
            world.kill(victim);
        }
        Case::OneLeft => {
            all.iter().filter(|p| **p != victim).for_each(|p| world.kill(*p));
            world.run(30.0);
            let rest = all.iter().rev().filter(|p| **p != victim);
            let rest: Vec<usize> = rest.copied().collect();
            for p in rest {
                world.start(p);
            }
        }
        Case::Replaced => {
            world.kill(victim);
            world.run(3.0);
            world.all[victim].disk = Default::default();
            world.change_address(victim, PORT + 2);
            world.all[victim].site = (world.all[victim].site + 1) % 3;
            world.start(victim);
        }
        Case::SeedsGone => {
            all.iter().for_each(|p| world.kill(*p));
            world.run(2.0);
            all.iter().skip(3).for_each(|p| world.start(*p));
        }
        Case::NoSeed => {
            world.partition(|s| u32::from(s >= host_count / 2));
            world.run(long(host_count) / 3.0);
            all.iter().for_each(|p| world.kill(*p));
            world.run(2.0);
            all.iter().for_each(|p| world.start(*p));
            world.run(long(host_count) / 3.0);
            world.partition(|_| 0);
        }
    }
}
