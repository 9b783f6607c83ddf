//! The hard cases of membership, and how one is played.

mod faults;

use super::world::{World, PERIOD};
use super::{Shown, Trial};
use faults::FaultInjection;

/// The views of a case have not settled if they take longer than this, in periods.
pub(super) const SETTLE_TIMEOUT_PERIODS: f64 = 400.0;
/// The port at which each host starts.
const PORT: u16 = 7400;
/// In this time the updates of the start have reached all hosts, in periods.
const GOSSIP_PERIODS: f64 = 25.0;
/// For this time views must stay as they have settled, in periods.
const LATE_MESSAGE_PERIODS: f64 = 40.0;

/// A hard case for the membership of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Case {
    /// A third of the hosts is killed at once.
    ThirdKilled,
    /// The second half of the hosts joins within a second.
    HalfJoins,
    /// A partition into two parts, with deaths and a restart in each part.
    TwoParts,
    /// A partition into three parts, with deaths and a restart in each part.
    ThreeParts,
    /// For a while, nothing that one host sends arrives.
    Mute,
    /// For a while, nothing arrives at one host.
    Deaf,
    /// The process of one host is stopped for 5 s.
    Stopped,
    /// The process of one host is stopped until it has been declared dead.
    StoppedLong,
    /// One process after the other is stopped for 2 s.
    StoppedInTurn,
    /// All hosts restart at once, nearly all at other addresses; one seed stays away.
    AllRestarted,
    /// A second process with the number of another host runs for a while.
    DuplicateId,
    /// A fifth of all datagrams is lost, with 200 ms of jitter; one host is killed. Once all views have its death, the
    /// network recovers.
    Lossy,
    /// Two hosts restart with a wall clock that is ten seconds behind, one of them without its disk.
    ClockBack,
    /// One host restarts every few seconds, and then dies for good.
    Flaps,
    /// All hosts but one are killed; then all start again, the seeds last.
    OneLeft,
    /// A host is replaced by another one with its number, at another address and site, and without a disk.
    Replaced,
    /// All hosts restart during a partition; one part has no seed.
    NoSeed,
    /// All hosts restart but the seeds, which stay away.
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
        Case::AllRestarted,
        Case::DuplicateId,
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
            Case::AllRestarted => "all-anew",
            Case::DuplicateId => "twins",
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
            .find(|case| case.name() == text)
            .ok_or_else(|| UnknownCase { name: text.to_owned(), expected: names() })
    }
}

/// Periods of silence after which a host is declared dead everywhere, with a margin.
fn periods_until_declared_dead(hosts: u32) -> f64 {
    30.0 + 8.0 * f64::from(hosts.max(2)).log2()
}

/// Plays a case: settles, injects its faults, and measures until the views have settled again.
pub(super) fn play(trial: &Trial) -> Shown {
    let mut world = World::new(trial);
    let host_count = trial.hosts;
    let all: Vec<usize> = (0..host_count).map(|slot| world.add(slot, PORT)).collect();
    let initial_count = if trial.case == Case::HalfJoins { host_count / 2 } else { host_count };
    all.iter().take(initial_count as usize).for_each(|process| world.start(*process));
    if world.until_settled(SETTLE_TIMEOUT_PERIODS).is_none()
        && trial.fault.is_none()
        && trial.extensions.rejoin
    {
        world.shown.broken.push("not settled before the first fault".into());
    }
    world.run(GOSSIP_PERIODS);
    let (began, sent) = (world.now, world.sent);
    let victim = all[world.generator.rand_range(u64::from(host_count / 2)..u64::from(host_count)) as usize];
    FaultInjection { world: &mut world, trial, all: &all, victim }.inject();
    world.shown.settled = world.until_settled(SETTLE_TIMEOUT_PERIODS);
    let periods = ((world.now - began) as f64 / PERIOD as f64).max(1.0);
    world.shown.bytes = (world.sent - sent) as f64 / periods / f64::from(host_count);
    // Messages that arrive late must not unsettle the views again.
    if world.shown.settled.is_some() && trial.case != Case::Lossy {
        world.run(LATE_MESSAGE_PERIODS);
        if !world.is_settled() {
            world.shown.broken.push("the views settled, and diverged again without a fault".into());
        }
    }
    world.shown.accused = world.accused();
    std::mem::take(&mut world.shown)
}
