//! What is taken in of others' words, and what is answered to words on this host.

use super::*;

impl View {
    /// Takes in what a peer said of hosts; later generations, then later incarnations, then worse health win. What is as good
    /// as what is known changes nothing but who shares a suspicion.
    pub fn learn(&mut self, now: Instant, n: MemberUpdate) {
        // Against a word that no host could answer by a later one, and numbers that would fill the table.
        if n.incarnation > INCARNATIONS || n.generation > GENERATIONS || n.slot as usize >= self.settings.most
        {
            self.counters.beyond += 1;
            return;
        }
        if n.slot == self.me.slot {
            return self.learn_of_me(now, n);
        }
        let Some(s) = self.seen.get(&n.slot) else {
            if !self.has(ViewFault::DropsASide) || n.health == Health::Alive && self.seen.len() < 2 {
                self.take(now, n, None);
            }
            return;
        };
        let mut n = n;
        let (known, said) = (s.rank(), (n.generation, n.incarnation, n.health));
        let overtakes = self.has(ViewFault::NewsOvertakes) && known != said && n.generation == s.generation;
        let old_generation = self.has(ViewFault::OldGenerationWins)
            && n.generation < s.generation
            && n.health == Health::Alive;
        // What was found while nobody was heard is this host's guess: any word on that host goes before it.
        let guess = s.alone
            && n.generation == s.generation
            && n.incarnation >= s.incarnation
            && n.health != Health::Dead;
        if !guess && !overtakes && !old_generation && known >= said {
            // Two that claim one generation from two places: all hosts hold the same one of them.
            if known == said && (n.address, n.site) > (s.address, s.site) {
                let seen = Seen { address: n.address, site: n.site, ..s.clone() };
                self.put(n.slot, seen);
                self.moved = now;
                return self.tell(n.slot);
            }
            if known == said && n.health == Health::Suspect {
                self.confirm(n.slot, n.suspected_by);
            }
            return;
        }
        // Against one host's false word: who is heard here is not dead, it is one that has to answer.
        let heard = s.heard.is_some_and(|t| now - t <= self.periods(HEARD)) && n.generation == s.generation;
        if n.health == Health::Dead && heard && self.settings.ways.told_back {
            if n.incarnation == s.incarnation && s.health == Health::Suspect {
                return;
            }
            n.health = Health::Suspect;
        }
        let s = s.clone();
        self.take(now, n, Some(&s));
    }

    /// What is newer than what was known.
    fn take(&mut self, now: Instant, n: MemberUpdate, before: Option<&Seen>) {
        let was = before.map(|s| s.health);
        let new_generation = before.is_none_or(|s| s.generation != n.generation);
        if was == Some(Health::Suspect) && n.health == Health::Alive {
            self.counters.refuted += 1;
        }
        if n.health == Health::Dead && was != Some(Health::Dead) {
            self.died(now, &n, false);
            if self.has(ViewFault::ForgetsDead) {
                self.seen.remove(n.slot);
                self.tellings.forget(n.slot);
                return;
            }
        }
        let lost = match n.health {
            Health::Alive => None,
            _ => before.and_then(|s| s.lost).or(Some(now)),
        };
        let (mut stirs, mut stirred) = before.map_or((0.0, now), |s| (s.stirs, s.stirred));
        let comes_back = n.health == Health::Alive && matches!(was, Some(Health::Dead | Health::Left));
        if comes_back || (new_generation && was.is_some_and(|h| h != Health::Left)) {
            stirs = before.map_or(0.0, |s| self.stirs(now, s)) + 1.0;
            stirred = now;
        }
        let first = |old: SocketAddr| if self.has(ViewFault::OldAddressWins) { old } else { n.address };
        let seen = Seen {
            generation: n.generation,
            incarnation: n.incarnation,
            health: n.health,
            address: before.map_or(n.address, |s| first(s.address)),
            site: if self.has(ViewFault::OldSiteWins) { before.map_or(n.site, |s| s.site) } else { n.site },
            since: now,
            by: n.suspected_by.filter(|_| n.health == Health::Suspect).into_iter().collect(),
            heard: before.filter(|_| !new_generation).and_then(|s| s.heard),
            lost,
            stirs,
            stirred,
            told_back: None,
            alone: false,
        };
        let (flapped, flaps) = (before.is_some_and(|s| self.flaps(now, s)), self.flaps(now, &seen));
        if seen.is_there() && before.is_none_or(|s| !s.is_there()) && !self.turn.contains(&n.slot) {
            // Against hosts that join while a turn runs and would not be pinged before it is over.
            let place = self.chance.rand_range(0..self.turn.len() as u64 + 1) as usize;
            self.turn.insert(place, n.slot);
        }
        self.put(n.slot, seen);
        self.moved = now;
        if was != Some(n.health) || (new_generation && was.is_some()) {
            self.changed(n.slot, n.health, flapped, flaps);
        }
        self.tell(n.slot);
    }

    /// Changes of a host that flaps are one line, not one each.
    pub(super) fn changed(&mut self, slot: u32, health: Health, flapped: bool, flaps: bool) {
        match (flapped, flaps) {
            (_, false) => self.changes.push_back(Change::Health(slot, health)),
            (false, true) => self.changes.push_back(Change::Flaps(slot)),
            (true, true) => self.counters.damped += 1,
        }
    }

    pub(super) fn died(&mut self, now: Instant, n: &MemberUpdate, own: bool) {
        self.counters.dead += 1;
        self.counters.found_dead += u64::from(own);
        if self.deaths.len() >= DEATHS {
            self.deaths.pop_front();
        }
        let (slot, generation, incarnation) = (n.slot, n.generation, n.incarnation);
        self.deaths.push_back(Death { slot, generation, incarnation, at: now, own });
    }

    fn learn_of_me(&mut self, now: Instant, n: MemberUpdate) {
        if n.generation > self.me.generation {
            return self.displaced_by(now, n.generation, n.address);
        }
        if n.generation < self.me.generation {
            return;
        }
        let worse = n.health > self.me.health && n.incarnation >= self.me.incarnation;
        // Against a word in this host's name that it never said.
        let later = n.incarnation > self.me.incarnation;
        if (worse || later) && !self.has(ViewFault::NoRefutation) {
            // Not so: a later word of one's own says it.
            self.me.incarnation = n.incarnation + 1;
            self.counters.accused += 1;
            self.moved = now;
            if self.settings.ways.local_health && worse {
                self.strain_by(1);
            }
            self.tell(self.me.slot);
            // At once, to a few: the suspicion runs out at all who share it.
            if self.settings.ways.told_back {
                self.say_to_some();
            }
        }
    }
}
