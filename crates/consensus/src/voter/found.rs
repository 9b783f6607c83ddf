//! The beginning of a fleet's log. Voters that the settings name have no votes of any disk to count yet, so they first agree
//! on their disks: each tells the disks that it has heard of, stands by them on its own disk once it knows all, and begins
//! only when all say that they stand by the same. Against a voter whose disk was lost and that would found a second log
//! beside the first: a fleet that has begun tells it so, and a fleet can't begin again without all of its disks gone.

use super::*;

/// Beats after which a host that does not vote asks again whether the fleet has begun.
const FOLLOWER_BEATS: f64 = 10.0;

#[derive(Clone, Debug)]
pub(super) struct Founding {
    pub founders: BTreeSet<u32>,
    disks: Voters,
    sealed: Option<Voters>,
    /// Whether what it stands by is on its disk; the receipt that says so.
    on_disk: Option<u64>,
    agree: BTreeSet<u32>,
    pub next_say: Instant,
    told: bool,
    /// It only waits to follow a log that others have.
    follows: bool,
}

impl Founding {
    pub fn new(founders: BTreeSet<u32>, sealed: Option<Voters>) -> Founding {
        let on_disk = sealed.is_some().then_some(0);
        let (disks, agree, next_say, told) = (Voters::new(), BTreeSet::new(), Instant::default(), false);
        Founding { founders, disks, sealed, on_disk, agree, next_say, told, follows: false }
    }

    pub fn following(founders: BTreeSet<u32>) -> Founding {
        Founding { follows: true, ..Founding::new(founders, None) }
    }
}

impl Voter {
    pub(super) fn tick_founding(&mut self, now: Instant) {
        let (me, of, beat) = (self.me, self.of, self.settings.beat);
        let Some(f) = &mut self.founding else { return };
        if now < f.next_say {
            return;
        }
        let is_founder = f.founders.contains(&me) && !f.follows;
        let beats = if is_founder { 1.0 } else { FOLLOWER_BEATS };
        f.next_say = now + TimeDelta::from_secs(beat.secs() * beats);
        let others: Vec<u32> = f.founders.iter().copied().filter(|s| *s != me).collect();
        if is_founder {
            f.disks.insert(me, of.disk);
            let (sealed, disks) = match &f.sealed {
                Some(s) if f.on_disk == Some(0) => (true, s.clone()),
                _ => (false, f.disks.clone()),
            };
            for to in others {
                self.say(to, Word::Found { of, sealed, founded: false, disks: disks.clone() });
            }
            self.look_at_founding(now);
        } else if let Some(to) = others.get(self.chance.rand_range(0..others.len().max(1) as u64) as usize) {
            self.say(*to, Word::Want { has: 0 });
        }
    }

    #[allow(clippy::too_many_arguments)] // the fields of one word
    pub(super) fn found(
        &mut self,
        now: Instant,
        from: u32,
        of: Origin,
        sealed: bool,
        founded: bool,
        disks: Voters,
    ) {
        let me = self.of;
        let Some(f) = &mut self.founding else {
            // This fleet has begun: whoever is still at it hears with which disks.
            if !founded {
                let first = self.voters().clone();
                self.say_after_disk(from, Word::Found { of: me, sealed: true, founded: true, disks: first });
            }
            return;
        };
        if founded {
            if f.sealed.as_ref() == Some(&disks) && f.on_disk == Some(0) {
                return self.begin(now, disks);
            }
            // It began without this disk, or has gone on since: this host only follows.
            if !std::mem::replace(&mut f.told, true) {
                let line = format!(
                    "agreement: the fleet has begun with other disks than host {}'s: it does not vote",
                    self.me
                );
                self.mode(line);
            }
            return self.say(from, Word::Want { has: 0 });
        }
        if !f.founders.contains(&from) || !f.founders.contains(&self.me) || f.follows {
            return;
        }
        if f.sealed.is_some() && f.disks.get(&from).is_some_and(|d| *d != of.disk) && !f.told {
            f.told = true;
            let line = format!(
                "agreement: host {from} has another disk than the one that voters stand by: it can't begin"
            );
            return self.mode(line);
        }
        f.disks.insert(from, of.disk);
        if sealed && f.sealed.as_ref() == Some(&disks) {
            f.agree.insert(from);
        }
        self.look_at_founding(now);
    }

    fn look_at_founding(&mut self, now: Instant) {
        let me = self.me;
        let Some(f) = &mut self.founding else { return };
        let all = f.founders.iter().all(|s| f.disks.contains_key(s));
        if f.sealed.is_none() && all && f.founders.contains(&me) {
            f.sealed = Some(f.disks.clone());
            let sealed = f.sealed.clone();
            self.write(Write { sealed, ..Write::default() });
            let receipt = self.last_receipt;
            if let Some(f) = &mut self.founding {
                f.on_disk = Some(receipt);
            }
            return;
        }
        let Some(f) = &self.founding else { return };
        let others = f.founders.iter().filter(|s| **s != me);
        if f.on_disk == Some(0) && others.clone().all(|s| f.agree.contains(s)) {
            if let Some(disks) = f.sealed.clone() {
                self.begin(now, disks);
            }
        }
    }

    pub(super) fn founding_written(&mut self, now: Instant) {
        let done = self.done_receipt;
        if let Some(f) = &mut self.founding {
            if f.on_disk.is_some_and(|r| r > 0 && r <= done) {
                (f.on_disk, f.next_say) = (Some(0), now);
                self.tick_founding(now);
            }
        }
    }

    fn begin(&mut self, now: Instant, voters: Voters) {
        let line = format!("agreement: begins with {} voters", voters.len());
        self.founding = None;
        // Of all of its disks' marks, which are drawn by chance.
        let mix = |id: u64, d: &u64| (id ^ d).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
        let id = voters.values().fold(1, mix);
        self.log.restore(Base { id, voters, ..Base::default() });
        self.write_base();
        self.rest(now);
        self.mode(line);
    }
}
