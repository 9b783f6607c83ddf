//! News that go along with other messages, each told some times the logarithm of how many are there.

use super::*;

/// Each line of news goes out so many times the logarithm of how many are there.
const RETELL: f64 = 3.0;
/// Lines of news beside another message.
const BESIDE: usize = 8;
/// Hosts that are told something at once.
const SOME: usize = 3;

#[derive(Clone, Debug)]
pub(super) struct Telling {
    pub slot: u32,
    pub left: u32,
}

impl View {
    /// What goes along with any message: what was told least often first. Who is suspected or held dead hears that
    /// before all else.
    pub fn beside(&mut self, to: Option<u32>) -> Vec<News> {
        self.tellings.sort_by_key(|t| std::cmp::Reverse(t.left));
        let accused = to.and_then(|s| self.seen.get(&s)).filter(|s| s.health != Health::Alive);
        let buddy = accused.and(to).filter(|_| self.settings.ways.told_back);
        let mut slots: Vec<u32> = buddy.into_iter().collect();
        for t in self.tellings.iter_mut().take(BESIDE) {
            t.left -= 1;
            if Some(t.slot) != buddy {
                slots.push(t.slot);
            }
        }
        self.tellings.retain(|t| t.left > 0);
        slots.into_iter().filter_map(|s| self.news_of(s)).collect()
    }

    /// From here on, with what is known of it when it goes out.
    pub(super) fn tell(&mut self, slot: u32) {
        let left = (RETELL * self.log_size()).ceil() as u32;
        self.tellings.retain(|t| t.slot != slot);
        self.tellings.push(Telling { slot, left });
    }

    /// News alone to a few, at once.
    pub(super) fn say_to_some(&mut self) {
        let mut all: Vec<u32> = self.live().into_iter().collect();
        for _ in 0..SOME.min(all.len()) {
            let i = self.chance.rand_range(0..all.len() as u64) as usize;
            let slot = all.swap_remove(i);
            if let Some(a) = self.address(slot) {
                self.sends.push_back((a, Body::Tell, Some(slot)));
            }
        }
    }

    pub(super) fn send_digest(&mut self, to: Option<SocketAddr>, slot: Option<u32>) {
        if let Some(a) = to {
            let (view, orders) = (self.digest(), 0);
            self.sends.push_back((a, Body::Digest { view, orders }, slot));
        }
    }
}
