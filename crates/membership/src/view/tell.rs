//! MemberUpdate that go along with other messages, each told some times the logarithm of how many are there.

use super::*;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Each line of news goes out so many times the logarithm of how many are there.
const RETELL: f64 = 3.0;
/// Lines of news beside another message.
const BESIDE: usize = 8;
/// Hosts that are told something at once.
const SOME: usize = 3;

/// What is still to be told, and how often: those told least often first, and of these the ones that wait longest. At most
/// one for each host.
#[derive(Default)]
pub(super) struct Tellings {
    by_slot: BTreeMap<u32, (u32, u64)>,
    order: BTreeSet<(Reverse<u32>, u64, u32)>,
    count: u64,
}

impl Tellings {
    pub fn forget(&mut self, slot: u32) {
        if let Some((left, at)) = self.by_slot.remove(&slot) {
            self.order.remove(&(Reverse(left), at, slot));
        }
    }

    fn put(&mut self, slot: u32, left: u32, at: u64) {
        if left > 0 {
            self.by_slot.insert(slot, (left, at));
            self.order.insert((Reverse(left), at, slot));
        }
    }

    /// From here on.
    fn tell(&mut self, slot: u32, times: u32) {
        self.forget(slot);
        self.count += 1;
        self.put(slot, times, self.count);
    }

    /// So many, each of which then counts as told once more.
    fn take(&mut self, most: usize) -> Vec<u32> {
        let some: Vec<(Reverse<u32>, u64, u32)> = self.order.iter().take(most).copied().collect();
        for (Reverse(left), at, slot) in &some {
            self.forget(*slot);
            self.put(*slot, left - 1, *at);
        }
        some.into_iter().map(|(_, _, slot)| slot).collect()
    }
}

impl View {
    /// What goes along with any message: what was told least often first. Who is suspected or held dead hears that
    /// before all else.
    pub fn beside(&mut self, to: Option<u32>) -> Vec<MemberUpdate> {
        let accused = to.and_then(|s| self.seen.get(&s)).filter(|s| s.health != Health::Alive);
        let buddy = accused.and(to).filter(|_| self.settings.ways.told_back);
        let mut slots: Vec<u32> = buddy.into_iter().collect();
        slots.extend(self.tellings.take(BESIDE).into_iter().filter(|s| Some(*s) != buddy));
        slots.into_iter().filter_map(|s| self.news_of(s)).collect()
    }

    /// From here on, with what is known of it when it goes out.
    pub(super) fn tell(&mut self, slot: u32) {
        let left = (RETELL * self.log_size()).ceil() as u32;
        self.tellings.tell(slot, left);
    }

    /// MemberUpdate alone to a few, at once.
    pub(super) fn say_to_some(&mut self) {
        let mut all = self.live().to_vec();
        for _ in 0..SOME.min(all.len()) {
            let i = self.chance.rand_range(0..all.len() as u64) as usize;
            let slot = all.swap_remove(i);
            if let Some(a) = self.address(slot) {
                self.sends.push_back((a, Body::Gossip, Some(slot)));
            }
        }
    }

    pub(super) fn send_digest(&mut self, to: Option<SocketAddr>, slot: Option<u32>) {
        if let Some(a) = to {
            let (view, orders) = (self.digest(), 0);
            self.sends.push_back((a, Body::Digest { members: view, overrides: orders }, slot));
        }
    }
}
