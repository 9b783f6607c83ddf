//! What a view must never do, deaths of hosts that were alive, and whether all views have settled.

use super::{Process, Us, World, ALIVE_PERIODS_BEFORE_DEATH, CHECK_INTERVAL, PERIOD};
use std::collections::HashMap;
use std::net::SocketAddr;
use tackmast_membership::{Health, Member, MemberState};

/// Violations that are kept of a trial.
const MAX_BROKEN: usize = 20;

impl World {
    /// Whether the host of a number was down, or unreachable for another one, since that time.
    fn was_unreachable(&self, slot: u32, observer: u32, since: Us) -> bool {
        let mut processes = self.all.iter().filter(|process| process.slot == slot);
        let is_down = processes.clone().all(|process| process.member.is_none());
        is_down
            || processes.any(|process| process.unreachable_at >= since || process.stopped)
            || self.network.partition_changed >= since
            || self.network.groups[slot as usize] != self.network.groups[observer as usize]
            || self.network.mute[slot as usize]
            || self.network.deaf[slot as usize]
    }

    /// Checks all views for what they must never do, and counts deaths of hosts that were alive.
    pub(super) fn check_views(&mut self) {
        // A view has an entry for each host: large fleets are checked less often.
        let interval = match self.hosts {
            0..=100 => CHECK_INTERVAL,
            101..=400 => PERIOD,
            _ => 4 * PERIOD,
        };
        if self.now < self.next_check {
            return;
        }
        self.next_check = self.now + interval;
        let running: HashMap<(u32, u64), SocketAddr> = self
            .all
            .iter()
            .filter(|process| process.member.is_some())
            .map(|process| ((process.slot, process.generation), process.address))
            .collect();
        for index in 0..self.all.len() {
            if !self.all[index].stopped && self.all[index].member.is_some() {
                self.check_entries(index, &running);
                self.count_false_deaths(index);
                self.all[index].checked_until = self.now;
            }
        }
    }

    /// An entry must never go back to an older incarnation, be forgotten, or have a wrong address.
    fn check_entries(&mut self, index: usize, running: &HashMap<(u32, u64), SocketAddr>) {
        let slot = self.all[index].slot;
        let seen = self.all[index].member.as_ref().map(Member::snapshot).unwrap_or_default();
        let mut newest = std::mem::take(&mut self.all[index].newest);
        let mut broken = Vec::new();
        for (host, state) in &seen {
            let version = (state.generation, state.incarnation);
            let known = newest.entry(*host).or_insert(version);
            if version < *known {
                broken.push(format!(
                    "host {slot} went back to an older state of host {host}: {known:?}, then {version:?}"
                ));
            }
            *known = version;
            let address = running.get(&(*host, state.generation));
            if let Some(address) = address.filter(|address| **address != state.address) {
                broken.push(format!(
                    "host {slot} has host {host} at {}, but it is at {address}",
                    state.address
                ));
            }
        }
        for host in newest.keys().filter(|host| !seen.contains_key(*host)) {
            broken.push(format!("host {slot} has forgotten host {host}"));
        }
        self.all[index].newest = newest;
        self.shown.broken.extend(broken);
        self.shown.broken.truncate(MAX_BROKEN);
    }

    fn count_false_deaths(&mut self, index: usize) {
        let process = &self.all[index];
        let Some(member) = &process.member else { return };
        let (slot, checked_until) = (process.slot, process.steady_clock(process.checked_until));
        let new = member.view.deaths().filter(|death| death.at > checked_until);
        let new: Vec<(u32, bool)> = new.map(|death| (death.slot, death.declared_here)).collect();
        let since = self.now.saturating_sub(ALIVE_PERIODS_BEFORE_DEATH * PERIOD);
        for (host, declared_here) in new {
            if !self.was_unreachable(host, slot, since) {
                self.shown.false_deaths += u64::from(declared_here);
                self.shown.false_views += 1;
            }
        }
    }

    /// The process that has a number: the one of the latest generation that runs.
    fn holder(&self, slot: u32) -> Option<&Process> {
        let running = self.all.iter().filter(|process| process.slot == slot && process.member.is_some());
        running.max_by_key(|process| process.member.as_ref().map(|member| member.view.me().generation))
    }

    /// Whether the views have settled: all running hosts have the same view, in which they are alive with their generations,
    /// addresses and sites, and all other hosts are dead or have left.
    pub(crate) fn is_settled(&self) -> bool {
        let holders: Vec<&Process> = (0..self.hosts).filter_map(|slot| self.holder(slot)).collect();
        let members = || holders.iter().filter_map(|process| process.member.as_ref());
        let Some(first) = members().next() else { return true };
        // The digests that differ are most often those of the last hosts: looking there first saves time.
        let digest = first.view.digest();
        if members().rev().any(|member| member.view.digest() != digest) {
            return false;
        }
        // All digests are the same, so one view is checked entirely, and of the others only what they know of themselves.
        let seen = first.snapshot();
        let is_alive = |process: &&Process| is_seen_alive(process, seen.get(&process.slot));
        let are_alive = holders.iter().skip(1).all(is_alive);
        let is_displaced = members().any(|member| member.view.is_displaced());
        let is_running = |slot: u32| holders.iter().any(|process| process.slot == slot);
        let is_away = |state: &MemberState| matches!(state.health, Health::Dead | Health::Left);
        let are_others_away = seen.iter().all(|(slot, state)| is_running(*slot) || is_away(state));
        are_alive && are_others_away && !is_displaced
    }

    /// Accusations of live hosts that they have answered.
    pub(crate) fn accused(&self) -> u64 {
        let members = self.all.iter().filter_map(|process| process.member.as_ref());
        self.answered + members.map(|member| member.view.counters.accused).sum::<u64>()
    }

    /// Whether all running hosts hold the host of a number dead.
    pub(crate) fn do_all_hold_dead(&self, slot: u32) -> bool {
        let holds_dead = |member: &Member| {
            let seen = member.snapshot();
            seen.get(&slot).is_some_and(|state| state.health == Health::Dead)
        };
        let others = self.all.iter().filter(|process| process.slot != slot);
        others.filter_map(|process| process.member.as_ref()).all(holds_dead)
    }
}

/// Whether the state that a view has of a process is that of a live host, with its generation, address and site.
fn is_seen_alive(process: &Process, state: Option<&MemberState>) -> bool {
    let Some(own) = process.member.as_ref().map(|member| member.view.me()) else { return false };
    let Some(state) = state else { return false };
    state.health == Health::Alive
        && (state.generation, state.address) == (own.generation, process.address)
        && state.site == Some(process.site)
        && own.address == process.address
}
