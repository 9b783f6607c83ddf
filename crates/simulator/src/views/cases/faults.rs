//! The faults of each case, up to its last one.

use super::{periods_until_declared_dead, Case, PORT};
use crate::views::world::{World, PERIOD};
use crate::views::Trial;

/// Injects the faults of one trial's case.
pub(super) struct FaultInjection<'a> {
    pub world: &'a mut World,
    pub trial: &'a Trial,
    /// The process of each host.
    pub all: &'a [usize],
    /// The process that a case of one host is about.
    pub victim: usize,
}

impl FaultInjection<'_> {
    /// Runs until the case's last fault.
    pub(super) fn inject(mut self) {
        match self.trial.case {
            Case::ThirdKilled => self.kill_a_third(),
            Case::HalfJoins => self.start_second_half(),
            Case::TwoParts => self.partition_with_changes(2),
            Case::ThreeParts => self.partition_with_changes(3),
            Case::Mute => self.cut_one_direction(true),
            Case::Deaf => self.cut_one_direction(false),
            Case::Stopped => self.stop_victim(10.0),
            Case::StoppedLong => self.stop_victim(periods_until_declared_dead(self.trial.hosts)),
            Case::StoppedInTurn => self.stop_one_after_the_other(),
            Case::AllRestarted => self.restart_all_elsewhere(),
            Case::DuplicateId => self.run_duplicate(),
            Case::Lossy => self.kill_in_lossy_network(),
            Case::ClockBack => self.restart_with_clock_set_back(),
            Case::Flaps => self.flap(),
            Case::OneLeft => self.restart_all_but_one(),
            Case::Replaced => self.replace_victim(),
            Case::SeedsGone => self.restart_without_seeds(),
            Case::NoSeed => self.restart_in_partition(),
        }
    }

    fn kill_a_third(&mut self) {
        self.all.iter().filter(|process| *process % 3 == 2).for_each(|process| self.world.kill(*process));
    }

    /// The second half joins within a second.
    fn start_second_half(&mut self) {
        let host_count = self.trial.hosts;
        for process in &self.all[(host_count / 2) as usize..] {
            self.world.start(*process);
            self.world.run(2.0 / f64::from(host_count - host_count / 2));
        }
    }

    /// In each part of a partition a host dies, and another dies and restarts, unnoticed by the other parts.
    fn partition_with_changes(&mut self, parts: u32) {
        let (world, all, host_count) = (&mut *self.world, self.all, self.trial.hosts);
        world.partition(|slot| slot * parts / host_count);
        world.run(periods_until_declared_dead(host_count) / 2.0);
        for part in 0..parts {
            let first = (part * host_count / parts) as usize + 1;
            all.iter().skip(first).take(2).for_each(|process| world.kill(*process));
        }
        world.run(periods_until_declared_dead(host_count) / 2.0);
        (0..parts)
            .filter_map(|part| all.get((part * host_count / parts) as usize + 1))
            .for_each(|process| world.start(*process));
        world.run(5.0);
        world.partition(|_| 0);
    }

    /// For a while the victim is not received, or receives nothing.
    fn cut_one_direction(&mut self, is_mute: bool) {
        let world = &mut *self.world;
        let slot = world.all[self.victim].slot as usize;
        (world.network.mute[slot], world.network.deaf[slot]) = (is_mute, !is_mute);
        world.run(periods_until_declared_dead(self.trial.hosts));
        (world.network.mute[slot], world.network.deaf[slot]) = (false, false);
        world.mark_reachable_again(slot as u32);
    }

    fn stop_victim(&mut self, periods: f64) {
        self.world.stop(self.victim);
        self.world.run(periods);
        self.world.resume(self.victim);
    }

    fn stop_one_after_the_other(&mut self) {
        let step = (self.all.len() / 12).max(1);
        for process in self.all.iter().step_by(step) {
            self.world.stop(*process);
            self.world.run(4.0);
            self.world.resume(*process);
        }
    }

    /// The first seed is gone for good, and the second keeps its address. All others restart at new addresses.
    fn restart_all_elsewhere(&mut self) {
        self.all.iter().for_each(|process| self.world.kill(*process));
        self.world.run(2.0);
        for process in &self.all[1..] {
            if *process != 1 {
                self.world.change_address(*process, PORT + 1);
            }
            self.world.start(*process);
        }
    }

    /// A second process runs under the victim's number for a while.
    fn run_duplicate(&mut self) {
        let slot = self.world.all[self.victim].slot;
        let duplicate = self.world.add(slot, PORT + 9);
        self.world.run(1.0);
        self.world.start(duplicate);
        self.world.run(30.0);
        self.world.kill(duplicate);
    }

    fn kill_in_lossy_network(&mut self) {
        let world = &mut *self.world;
        world.network.degrade();
        world.run(60.0);
        world.kill(self.victim);
        let (killed, slot) = (world.now, world.all[self.victim].slot);
        while !world.do_all_hold_dead(slot) && world.now < killed + 200 * PERIOD {
            world.run(0.5);
        }
        if world.do_all_hold_dead(slot) {
            world.shown.missed = Some((world.now - killed) as f64 / PERIOD as f64);
        }
        world.network.recover();
    }

    /// Two hosts restart with wall clocks ten seconds behind. The victim has lost its disk, and its generation with it.
    fn restart_with_clock_set_back(&mut self) {
        let (victim, other) = (self.victim, self.all[1]);
        for process in [victim, other] {
            self.world.kill(process);
            self.world.all[process].wall_offset_s = -10.0;
        }
        self.world.all[victim].disk = Default::default();
        self.world.run(6.0);
        self.world.start(victim);
        self.world.start(other);
    }

    /// The victim restarts several times, and then dies for good: it has to be declared dead like any other.
    fn flap(&mut self) {
        for _ in 0..8 {
            self.world.kill(self.victim);
            self.world.run(8.0);
            self.world.start(self.victim);
            self.world.run(4.0);
        }
        self.world.kill(self.victim);
    }

    fn restart_all_but_one(&mut self) {
        let (world, victim) = (&mut *self.world, self.victim);
        let others = self.all.iter().filter(|process| **process != victim);
        others.clone().for_each(|process| world.kill(*process));
        world.run(30.0);
        others.rev().for_each(|process| world.start(*process));
    }

    /// The victim's number restarts at another address and site, without a disk.
    fn replace_victim(&mut self) {
        let (world, victim) = (&mut *self.world, self.victim);
        world.kill(victim);
        world.run(3.0);
        world.all[victim].disk = Default::default();
        world.change_address(victim, PORT + 2);
        world.all[victim].site = (world.all[victim].site + 1) % 3;
        world.start(victim);
    }

    fn restart_without_seeds(&mut self) {
        self.all.iter().for_each(|process| self.world.kill(*process));
        self.world.run(2.0);
        self.all.iter().skip(3).for_each(|process| self.world.start(*process));
    }

    fn restart_in_partition(&mut self) {
        let (world, host_count) = (&mut *self.world, self.trial.hosts);
        world.partition(|slot| u32::from(slot >= host_count / 2));
        world.run(periods_until_declared_dead(host_count) / 3.0);
        self.all.iter().for_each(|process| world.kill(*process));
        world.run(2.0);
        self.all.iter().for_each(|process| world.start(*process));
        world.run(periods_until_declared_dead(host_count) / 3.0);
        world.partition(|_| 0);
    }
}
