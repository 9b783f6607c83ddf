//! Who is there by site: whether a whole site is unheard at once, or its hosts have gone one by one. A hint, like all of
//! the view.

use super::*;
use std::collections::BTreeMap;

/// Periods within which the hosts of a site fall silent if that is one event.
const AT_ONCE: f64 = 12.0;
/// Periods without a word from other sites after which a host that hears nobody says nothing of any.
const ELSEWHERE: f64 = 4.0;

/// What is thought of a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteWord {
    There,
    /// All of its hosts fell silent together, this many.
    Unheard(u32),
    /// All of its hosts are silent; they fell so one by one.
    Emptied(u32),
    /// Its hosts left in order.
    Left,
}

#[derive(Clone, Debug, PartialEq)]
pub struct SiteSeen {
    pub site: Option<u32>,
    pub alive: u32,
    pub suspect: u32,
    pub dead: u32,
    pub left: u32,
    pub word: SiteWord,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Sites {
    words: BTreeMap<u32, SiteWord>,
}

impl View {
    /// By site, this host's own included; those that told none are one.
    pub fn sites(&self) -> Vec<SiteSeen> {
        let mut all: BTreeMap<Option<u32>, Vec<&Seen>> = BTreeMap::new();
        all.entry(self.me.site).or_default();
        self.seen.values().for_each(|s| all.entry(s.site).or_default().push(s));
        let of = |(site, seen): (Option<u32>, Vec<&Seen>)| {
            let count = |h: Health| seen.iter().filter(|s| s.health == h).count() as u32;
            let (suspect, dead, left) = (count(Health::Suspect), count(Health::Dead), count(Health::Left));
            let own = u32::from(site == self.me.site);
            let alive = count(Health::Alive) + own;
            let lost = || seen.iter().filter(|s| s.health != Health::Left).filter_map(|s| s.lost);
            let (first, last) = (lost().reduce(Instant::min), lost().reduce(Instant::max));
            let at_once = first.zip(last).is_some_and(|(a, b)| b - a <= self.periods(AT_ONCE));
            let word = match (alive, suspect + dead) {
                (0, 0) => SiteWord::Left,
                (0, n) if at_once => SiteWord::Unheard(n),
                (0, n) => SiteWord::Emptied(n),
                _ => SiteWord::There,
            };
            SiteSeen { site, alive, suspect, dead, left, word }
        };
        all.into_iter().map(of).collect()
    }

    /// Tells of a site that falls silent or is heard again, once each. A host that hears nobody at all keeps its word: it
    /// is as likely the one that is cut off.
    pub(super) fn look_at_sites(&mut self, now: Instant) {
        if now - self.heard > self.periods(ELSEWHERE) {
            return;
        }
        for s in self.sites() {
            let Some(site) = s.site else { continue };
            let before = self.sites.words.insert(site, s.word).unwrap_or(SiteWord::There);
            let same = std::mem::discriminant(&before) == std::mem::discriminant(&s.word);
            if !same {
                self.changes.push_back(Change::Site(site, s.word));
            }
        }
    }
}
