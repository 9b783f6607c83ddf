//! The hard cases, each up to its last fault.

use super::world::{World, PERIOD};
use super::{Shown, Trial};

/// Periods that a case may take to settle before it counts as one that does not.
pub const PATIENCE: f64 = 400.0;
const PORT: u16 = 7400;

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

impl std::str::FromStr for Case {
    type Err = String;

    fn from_str(s: &str) -> Result<Case, String> {
        let names = || Case::ALL.map(Case::name).join(", ");
        Case::ALL
            .into_iter()
            .find(|c| c.name() == s)
            .ok_or_else(|| format!("{s:?}; expected one of {}", names()))
    }
}

/// How long one has to be silent until it is held dead everywhere, with room.
fn long(hosts: u32) -> f64 {
    30.0 + 8.0 * f64::from(hosts.max(2)).log2()
}

pub fn play(t: &Trial) -> Shown {
    let mut w = World::new(t);
    let n = t.hosts;
    let all: Vec<usize> = (0..n).map(|s| w.add(s, PORT)).collect();
    let joins = if t.case == Case::HalfJoins { n / 2 } else { n };
    all.iter().take(joins as usize).for_each(|p| w.start(*p));
    // Known to all, and told to all.
    if w.until_settled(PATIENCE).is_none() && t.fault.is_none() && t.extensions.rejoin {
        w.shown.broken.push("not settled before the first fault".into());
    }
    w.run(25.0);
    let (began, sent) = (w.now, w.sent);
    let victim = all[w.chance.rand_range(u64::from(n / 2)..u64::from(n)) as usize];
    faults(&mut w, t, &all, victim);
    w.shown.settled = w.until_settled(PATIENCE);
    let periods = ((w.now - began) as f64 / PERIOD as f64).max(1.0);
    w.shown.bytes = (w.sent - sent) as f64 / periods / f64::from(n);
    // What came late must not unsettle it again.
    if w.shown.settled.is_some() && t.case != Case::Lossy {
        w.run(40.0);
        if !w.is_settled() {
            w.shown.broken.push("it settled, and came apart again without a fault".into());
        }
    }
    w.shown.accused = w.accused();
    std::mem::take(&mut w.shown)
}

fn faults(w: &mut World, t: &Trial, all: &[usize], victim: usize) {
    let n = t.hosts;
    let third: Vec<usize> = all.iter().copied().filter(|p| p % 3 == 2).collect();
    match t.case {
        Case::ThirdKilled => third.iter().for_each(|p| w.kill(*p)),
        Case::HalfJoins => {
            // Within a second.
            for p in &all[(n / 2) as usize..] {
                w.start(*p);
                w.run(2.0 / f64::from(n - n / 2));
            }
        }
        Case::TwoParts | Case::ThreeParts => {
            let parts = if t.case == Case::TwoParts { 2 } else { 3 };
            w.part(|s| s * parts / n);
            w.run(long(n) / 2.0);
            // One ends on each side, and one ends and comes back, while nobody on the other can hear of it.
            for i in 0..parts {
                let first = (i * n / parts) as usize + 1;
                all.iter().skip(first).take(2).for_each(|p| w.kill(*p));
            }
            w.run(long(n) / 2.0);
            (0..parts).filter_map(|i| all.get((i * n / parts) as usize + 1)).for_each(|p| w.start(*p));
            w.run(5.0);
            w.part(|_| 0);
        }
        Case::Mute | Case::Deaf => {
            let slot = w.all[victim].slot as usize;
            let is_mute = t.case == Case::Mute;
            (w.mute[slot], w.deaf[slot]) = (is_mute, !is_mute);
            w.run(long(n));
            (w.mute[slot], w.deaf[slot]) = (false, false);
            w.all_heard(slot as u32);
        }
        Case::Stopped | Case::StoppedLong => {
            w.stop(victim);
            w.run(if t.case == Case::Stopped { 10.0 } else { long(n) });
            w.go_on(victim);
        }
        Case::StoppedInTurn => {
            let step = (all.len() / 12).max(1);
            for p in all.iter().step_by(step) {
                w.stop(*p);
                w.run(4.0);
                w.go_on(*p);
            }
        }
        Case::AllAnew => {
            all.iter().for_each(|p| w.kill(*p));
            w.run(2.0);
            // The first seed is gone for good; the others have moved, and so has all that is known of them but one seed.
            for p in &all[1..] {
                if *p != 1 {
                    w.moves(*p, PORT + 1);
                }
                w.start(*p);
            }
        }
        Case::Twins => {
            let slot = w.all[victim].slot;
            let second = w.add(slot, PORT + 9);
            w.run(1.0);
            w.start(second);
            w.run(30.0);
            w.kill(second);
        }
        Case::Lossy => {
            (w.loss, w.jitter, w.doubled) = (0.2, 200_000, 0.05);
            w.run(60.0);
            w.kill(victim);
            let (killed, slot) = (w.now, w.all[victim].slot);
            while !w.all_miss(slot) && w.now < killed + 200 * PERIOD {
                w.run(0.5);
            }
            if w.all_miss(slot) {
                w.shown.missed = Some((w.now - killed) as f64 / PERIOD as f64);
            }
            (w.loss, w.jitter, w.doubled) = (0.0, 1_000, 0.0);
        }
        Case::ClockBack => {
            let other = all[1];
            for p in [victim, other] {
                w.kill(p);
                w.all[p].wall_off = -10.0;
            }
            // The disk of one is lost with what it knew of its generations.
            w.all[victim].disk = Default::default();
            w.run(6.0);
            w.start(victim);
            w.start(other);
        }
        Case::Flaps => {
            for _ in 0..8 {
                w.kill(victim);
                w.run(8.0);
                w.start(victim);
                w.run(4.0);
            }
            // And ends for good: it has to be missed like any other.
            w.kill(victim);
        }
        Case::OneLeft => {
            all.iter().filter(|p| **p != victim).for_each(|p| w.kill(*p));
            w.run(30.0);
            let rest = all.iter().rev().filter(|p| **p != victim);
            let rest: Vec<usize> = rest.copied().collect();
            for p in rest {
                w.start(p);
            }
        }
        Case::Replaced => {
            w.kill(victim);
            w.run(3.0);
            w.all[victim].disk = Default::default();
            w.moves(victim, PORT + 2);
            w.all[victim].site = (w.all[victim].site + 1) % 3;
            w.start(victim);
        }
        Case::SeedsGone => {
            all.iter().for_each(|p| w.kill(*p));
            w.run(2.0);
            all.iter().skip(3).for_each(|p| w.start(*p));
        }
        Case::NoSeed => {
            w.part(|s| u32::from(s >= n / 2));
            w.run(long(n) / 3.0);
            all.iter().for_each(|p| w.kill(*p));
            w.run(2.0);
            all.iter().for_each(|p| w.start(*p));
            w.run(long(n) / 3.0);
            w.part(|_| 0);
        }
    }
}
