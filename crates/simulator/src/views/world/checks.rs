//! What a view must never do, deaths of hosts that were alive, and whether all views have settled.

use super::{at, Process, Us, World, ALIVE_PERIODS_BEFORE_DEATH, CHECK_INTERVAL, PERIOD};
use std::collections::HashMap;
use std::net::SocketAddr;
use tackmast_membership::{Health, Member};

impl World {
    /// Whether that number was away, or cut off from the other, lately.
    fn was_away(&self, slot: u32, from: u32, since: Us) -> bool {
        let of = self.all.iter().filter(|x| x.slot == slot);
        of.clone().all(|x| x.member.is_none())
            || of.into_iter().any(|x| x.away >= since || x.stopped)
            || self.parted >= since
            || self.groups[slot as usize] != self.groups[from as usize]
            || self.mute[slot as usize]
            || self.deaf[slot as usize]
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
        let mut newest = std::mem::take(&mut self.all[index].best);
        let mut broken = Vec::new();
        for (host, state) in &seen {
            let version = (state.generation, state.incarnation);
            let known = newest.entry(*host).or_insert(version);
            if version < *known {
                broken.push(format!("host {slot} went back on host {host}: {known:?}, then {version:?}"));
            }
            *known = version;
            let address = running.get(&(*host, state.generation));
            if let Some(address) = address.filter(|address| **address != state.address) {
                broken.push(format!("host {slot} has host {host} at {}, it is at {address}", state.address));
            }
        }
        for host in newest.keys().filter(|host| !seen.contains_key(*host)) {
            broken.push(format!("host {slot} has forgotten host {host}"));
        }
        self.all[index].best = newest;
        self.shown.broken.extend(broken);
        self.shown.broken.truncate(20);
    }

    fn count_false_deaths(&mut self, index: usize) {
        let process = &self.all[index];
        let Some(member) = &process.member else { return };
        let (slot, checked_until) = (process.slot, at(process.checked_until, process.clock_rate));
        let new = member.view.deaths().filter(|death| death.at > checked_until);
        let new: Vec<(u32, bool)> = new.map(|death| (death.slot, death.declared_here)).collect();
        let since = self.now.saturating_sub(ALIVE_PERIODS_BEFORE_DEATH * PERIOD);
        for (host, declared_here) in new {
            if !self.was_away(host, slot, since) {
                self.shown.false_deaths += u64::from(declared_here);
                self.shown.false_views += 1;
            }
        }
    }

    /// The process that has a number: the one of the latest generation that runs.
    fn holder(&self, slot: u32) -> Option<&Process> {
        let of = self.all.iter().filter(|x| x.slot == slot && x.member.is_some());
        of.max_by_key(|x| x.member.as_ref().map(|m| m.view.me().generation))
    }

    /// Settled: all that run hold all that run alive, with their generations, addresses and sites, and the others not; and their
    /// digests are one.
    pub fn is_settled(&self) -> bool {
        let holders: Vec<&Process> = (0..self.hosts).filter_map(|s| self.holder(s)).collect();
        let digest = |x: &&Process| x.member.as_ref().map(|m| m.view.digest());
        let Some(first) = holders.first() else { return true };
        if holders.len() > 1 && digest(first) != holders.last().and_then(digest) {
            return false;
        }
        if holders.iter().any(|x| digest(x) != digest(first)) {
            return false;
        }
        // All digests are one, so one view is looked at whole, and each for its own number.
        let Some(m) = &first.member else { return false };
        let seen = m.snapshot();
        let others = holders.iter().skip(1);
        let all_right = others.clone().all(|x| {
            let Some(own) = x.member.as_ref().map(|m| m.view.me()) else { return false };
            seen.get(&x.slot).is_some_and(|s| {
                let right = (s.generation, s.address, s.site) == (own.generation, x.address, Some(x.site));
                right && s.health == Health::Alive && own.address == x.address
            })
        });
        let displaced = holders.iter().any(|x| x.member.as_ref().is_some_and(|m| m.view.is_displaced()));
        let away = |s: &tackmast_membership::MemberState| matches!(s.health, Health::Dead | Health::Left);
        let others_away = seen.iter().all(|(k, s)| holders.iter().any(|x| x.slot == *k) || away(s));
        all_right && others_away && !displaced
    }

    /// Accusations of hosts that were there, answered by them.
    pub fn accused(&self) -> u64 {
        let now = self.all.iter().filter_map(|x| x.member.as_ref()).map(|m| m.view.counters.accused);
        self.answered + now.sum::<u64>()
    }

    /// Whether all that run hold that number dead.
    pub fn all_miss(&self, slot: u32) -> bool {
        let dead = |m: &Member| m.snapshot().get(&slot).is_some_and(|s| s.health == Health::Dead);
        self.all.iter().filter(|x| x.slot != slot).filter_map(|x| x.member.as_ref()).all(dead)
    }
}
