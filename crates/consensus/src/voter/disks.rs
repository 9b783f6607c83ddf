//! Disks: whose votes count, old copies of them, and what operators do by force when most are gone.

use super::*;

/// Times of patience without a leader before a host may go on by force.
const FORCE: f64 = 10.0;

impl Voter {
    /// Whether a disk is the one that votes under that number, and not an old copy of it.
    pub(super) fn is_voters(&mut self, from: u32, of: Origin) -> bool {
        if from == self.me {
            return false;
        }
        let right = self.voters().get(&from) == Some(&of.disk) || self.has(AgreeFault::LostDiskVotes);
        let known = self.known.get(&from).copied();
        // Opened once more than by the generation that was heard of, or by that generation.
        let newer = known.is_none_or(|k| {
            k.disk != of.disk || of.boot > k.boot || (of.boot == k.boot && of.generation == k.generation)
        });
        if !right || !(newer || self.has(AgreeFault::OldDiskVotes)) {
            self.counters.wrong_disks += 1;
            if right {
                self.say(from, Word::Stale { of });
            }
            return false;
        }
        if known != Some(of) && newer {
            self.known.insert(from, of);
            self.known_moved = true;
            // Before anything that is said on its word: it must not be forgotten.
            self.write(Write::default());
        }
        true
    }

    /// This disk was opened by another generation since this one's: its votes were given away, and it must not give them again,
    /// nor after any further start.
    pub(super) fn retire(&mut self, of: Origin) {
        if of != self.of || self.has(AgreeFault::OldDiskVotes) {
            return;
        }
        self.of.disk = self.chance.rand_u64() | 1;
        self.role = Role::Follower { leader: None };
        self.mode(format!(
            "agreement: the disk of host {} is an old copy, or one of two: it votes no more; take it out of the voters and in again",
            self.me
        ));
        self.write(Write { disk: Some(self.of.disk), ..Write::default() });
    }

    /// Most voters are gone for good: this host goes on alone with what it has, as another log, which no host of the former
    /// takes for that one. `state` is what all up to its last commit led to.
    pub(crate) fn force(&mut self, now: Instant, state: Bytes) -> Result<u64, Refusal> {
        let refuse = |why: String| Err(Refusal::Voters(why));
        if self.failed || self.founding.is_some() || self.log.base().id == 0 {
            return refuse(
                "nothing was agreed on here; expected a host that has a log, and a disk that takes writes"
                    .into(),
            );
        }
        let silent = now - self.heard;
        let least = TimeDelta::from_secs(self.settings.patience.secs() * FORCE);
        if self.leads() || silent < least {
            return refuse(format!(
                "a leader was heard {:.1} s ago; expected none for {:.1} s, as a majority may be there",
                silent.secs().max(0.0),
                least.secs()
            ));
        }
        self.unstable(self.commit);
        let id = self.chance.rand_u64() | 1;
        // Those of the former log do not count this host any more.
        self.of.disk = self.chance.rand_u64() | 1;
        let voters = Voters::from([(self.me, self.of.disk)]);
        let last = tackmast_wire::agree::Mark { term: self.hard.term + 1, index: self.commit };
        self.hard = Hard { term: last.term, vote: None };
        self.log.restore(Base { id, last, voters, state });
        self.write(Write { disk: Some(self.of.disk), ..Write::default() });
        self.write_hard();
        self.write_base();
        self.role = Role::Follower { leader: None };
        self.rest(now);
        self.mode(format!(
            "agreement: forced: host {} goes on alone from entry {}, as log {id:x}; other hosts have to forget theirs",
            self.me, self.commit
        ));
        Ok(id)
    }

    /// This host forgets its log, so that it can follow another one; it votes no more until it is made a voter.
    pub(crate) fn forget(&mut self, now: Instant, founders: &BTreeSet<u32>) -> Result<(), Refusal> {
        let silent = now - self.heard;
        let least = TimeDelta::from_secs(self.settings.patience.secs() * FORCE);
        if self.failed || self.leads() || (self.votes() && silent < least) {
            let why = "this host votes, and hears a leader; expected one that is not needed where it is";
            return Err(Refusal::Voters(why.into()));
        }
        self.mode(format!("agreement: host {} forgets its log of {} entries", self.me, self.commit));
        self.unstable(0);
        self.of.disk = self.chance.rand_u64() | 1;
        // Under its new mark this disk has never voted, and the other log counts its own terms.
        self.hard = Hard::default();
        self.commit = 0;
        self.fetch = follow::Fetch::default();
        self.fold_asked = None;
        self.role = Role::Follower { leader: None };
        self.log.restore(Base::default());
        // Never again a founder: a fleet that has begun must not begin twice.
        self.founding = Some(found::Founding::following(founders.clone()));
        self.write(Write {
            hard: Some(self.hard),
            base: Some(Base::default()),
            entries: Some((1, Vec::new())),
            disk: Some(self.of.disk),
            ..Write::default()
        });
        Ok(())
    }
}
