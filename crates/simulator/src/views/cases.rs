//! The hard cases, each up to its last fault.

mod faults;

use super::world::{World, PERIOD};
use super::{Shown, Trial};
use faults::FaultInjection;

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

/// Periods of silence after which a host is declared dead everywhere, with a margin.
fn periods_until_declared_dead(hosts: u32) -> f64 {
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
    FaultInjection { world: &mut world, trial, all: &all, victim }.inject();
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
