//! Parts of limits that hosts lend each other. Each host owns an even part of a volume's limit, told by the settings,
//! and nobody's word can take it or add to it, but for what its owner itself says of its own: a lender leaves a part of
//! its rate unused for a term, and whoever asked for it may use it meanwhile. docs/membership.md argues why the sum of
//! what all hosts use never passes the whole, whatever is lost, late, doubled or restarted, and whatever clocks show as
//! long as they run at nearly one pace.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::LeaseMessage;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanSettings {
    pub term: TimeDelta,
    /// For a host that leaves in order; its slot's next generation starts with nothing for so long.
    pub leave_term: TimeDelta,
    /// Hosts' steady clocks run at one pace within this part.
    pub drift: f64,
    /// Of a host's even part, what it owns for sure whatever its lately measured share: `policy::SPLIT_FLOOR`.
    pub owned: f64,
}

/// How often needs are looked at: so many times a term.
const BEATS: f64 = 4.0;
/// Own part that is never lent while the host stays, so that a first request finds something.
const KEEP: f64 = 0.15;
/// Times what was asked lately that a host counts as its need.
const NEED: f64 = 1.25;
/// Seconds over which what was asked is averaged.
const MEMORY: f64 = 2.0;
/// Shares of the whole limit that are not worth a message.
const MIN: f64 = 1e-4;
/// Wants to one lender that an answer may still come for.
const ASKED: usize = 16;
/// Edge kept at the end of a term, in seconds.
const EDGE: f64 = 0.005;

/// A volume whose limit is shared: who owns a part, of what limit in units a second.
#[derive(Clone, Debug, PartialEq)]
pub struct Shared {
    pub volume: u32,
    pub limit: f64,
    /// Slots that the volume comes through, as told; each owns the same part.
    pub owners: Vec<u32>,
}

/// What a host may use beside its own: shares of the whole limit. Until `until` at most; then it has to ask again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Moved {
    pub lent: f64,
    pub borrowed: f64,
    pub until: Instant,
}

/// Deliberate faults of the terms, for the exploration to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TermFault {
    /// The borrower counts the term from when the loan came.
    FromReceipt,
    /// The lender takes its part back when the term is over by its own clock, without regard to drift.
    NoDrift,
    /// A new generation has all of its part at once.
    StartsFull,
    /// A new loan frees the one before without word that it is not used any more.
    FreedUnheard,
    /// A host lends what it has borrowed.
    LendsBorrowed,
    /// Numbers of an earlier generation pass for those of this one.
    GenerationsMixed,
}

#[derive(Clone, Debug)]
struct Given {
    seq: u32,
    share: f64,
    until: Instant,
}

#[derive(Clone, Debug)]
struct Got {
    generation: u64,
    seq: u32,
    share: f64,
    until: Instant,
}

#[derive(Clone, Debug)]
struct Pool {
    shared: Shared,
    own: f64,
    /// Units asked a second, lately.
    asked: f64,
    asked_at: Instant,
    given: BTreeMap<u32, Vec<Given>>,
    got: BTreeMap<u32, Got>,
    wants: BTreeMap<u32, VecDeque<(u32, Instant)>>,
    /// What others want of this host, and when they last said so.
    wanted: BTreeMap<u32, (f64, Instant)>,
    returned: BTreeSet<u32>,
    free_from: Instant,
}

impl Pool {
    fn own(&self) -> f64 {
        self.own
    }

    fn lent(&self, now: Instant) -> f64 {
        let most =
            |all: &Vec<Given>| all.iter().filter(|g| g.until > now).map(|g| g.share).fold(0.0, f64::max);
        self.given.values().map(most).sum()
    }

    fn borrowed(&self, now: Instant) -> f64 {
        self.got.values().filter(|g| g.until > now).map(|g| g.share).sum()
    }

    /// What this host needs of the whole, as a share.
    fn need(&self, now: Instant) -> f64 {
        let kept = (-(now - self.asked_at).secs() / MEMORY).exp();
        NEED * self.asked * kept / self.shared.limit.max(1e-9)
    }
}

#[derive(Clone, Debug)]
pub struct Loans {
    me: u32,
    generation: u64,
    settings: LoanSettings,
    pools: BTreeMap<u32, Pool>,
    seq: u32,
    next_beat: Instant,
    leaving: bool,
    displaced: bool,
    says: VecDeque<(u32, LeaseMessage)>,
    fault: Option<TermFault>,
}

impl Loans {
    /// `left`: this slot's earlier generation left in order, so that its parts may be lent for the longer term.
    pub fn new(
        now: Instant,
        (me, generation): (u32, u64),
        settings: LoanSettings,
        volumes: Vec<Shared>,
        left: bool,
    ) -> Self {
        let mut loans = Loans {
            me,
            generation,
            settings,
            pools: BTreeMap::new(),
            seq: 0,
            next_beat: now,
            leaving: false,
            displaced: false,
            says: VecDeque::new(),
            fault: None,
        };
        // What an earlier generation lent is not known. It starts from nothing, until that has surely ended.
        let term = if left { settings.leave_term } else { settings.term };
        let free_from = now + loans.lender_term(term);
        for shared in
            volumes.into_iter().filter(|v| v.owners.contains(&me) && v.owners.len() > 1 && v.limit > 0.0)
        {
            let pool = Pool {
                asked: 0.0,
                asked_at: now,
                given: BTreeMap::new(),
                got: BTreeMap::new(),
                wants: BTreeMap::new(),
                wanted: BTreeMap::new(),
                returned: BTreeSet::new(),
                free_from,
                own: settings.owned / shared.owners.len() as f64,
                shared,
            };
            loans.pools.insert(pool.shared.volume, pool);
        }
        loans
    }

    pub fn with_fault(mut self, now: Instant, fault: TermFault) -> Self {
        self.fault = Some(fault);
        if fault == TermFault::StartsFull {
            self.pools.values_mut().for_each(|p| p.free_from = now);
        }
        self
    }

    fn lender_term(&self, term: TimeDelta) -> TimeDelta {
        let more = if self.fault == Some(TermFault::NoDrift) { 0.0 } else { 3.0 * self.settings.drift };
        TimeDelta::from_secs(term.secs() * (1.0 + more) + EDGE)
    }

    fn borrower_term(&self, term: TimeDelta) -> TimeDelta {
        let less = if self.fault == Some(TermFault::NoDrift) { 0.0 } else { self.settings.drift };
        TimeDelta::from_secs(term.secs() * (1.0 - less))
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Nothing that an earlier generation of this slot lent can be in use any more. Until then the mark of a leave must stand: a
    /// generation that ends before leaves the same to the next.
    pub fn is_free(&self, now: Instant) -> bool {
        self.pools.values().all(|p| now >= p.free_from)
    }

    pub fn volumes(&self) -> impl Iterator<Item = u32> + '_ {
        self.pools.keys().copied()
    }

    /// Another generation of this slot runs: whatever is its, this one has nothing.
    pub fn displaced(&mut self) {
        self.displaced = true;
    }

    /// The volume has another limit, 0 for none. Parts that are lent are shares of whatever holds.
    pub fn limit_changed(&mut self, volume: u32, limit: f64) {
        if let Some(p) = self.pools.get_mut(&volume) {
            p.shared.limit = if limit > 0.0 { limit } else { f64::INFINITY };
        }
    }

    /// A client has asked for so many units of a volume.
    pub fn asked(&mut self, now: Instant, volume: u32, units: f64) {
        let Some(p) = self.pools.get_mut(&volume) else { return };
        let kept = (-(now - p.asked_at).secs() / MEMORY).exp();
        p.asked = p.asked * kept + units / MEMORY;
        p.asked_at = now;
    }

    /// What of the volume's limit has moved; none: it is not shared in this way.
    pub fn moved(&self, now: Instant, volume: u32) -> Option<Moved> {
        let p = self.pools.get(&volume)?;
        let own = p.own();
        let mut until = self.next_beat;
        for t in p.got.values().map(|g| g.until).chain([p.free_from]).filter(|t| *t > now) {
            until = until.min(t);
        }
        let until = until.max(now);
        if self.displaced || self.leaving {
            return Some(Moved { lent: own, borrowed: 0.0, until });
        }
        let lent = if now < p.free_from { own } else { p.lent(now).min(own) };
        Some(Moved { lent, borrowed: p.borrowed(now), until })
    }

    /// Own part, lent, borrowed and needed, as shares, for people.
    pub fn shown(&self, now: Instant) -> Vec<(u32, f64, f64, f64, f64)> {
        let one = |p: &Pool| {
            let m = self.moved(now, p.shared.volume);
            (p.shared.volume, p.own(), m.map_or(0.0, |m| m.lent), m.map_or(0.0, |m| m.borrowed), p.need(now))
        };
        self.pools.values().map(one).collect()
    }

    fn say(&mut self, to: u32, what: LeaseMessage) {
        self.says.push_back((to, what));
    }

    pub fn next_say(&mut self) -> Option<(u32, LeaseMessage)> {
        self.says.pop_front()
    }

    pub fn next_wake(&self) -> Instant {
        self.next_beat
    }

    /// `live` are the slots that are thought to be there.
    pub fn is_due(&self, now: Instant) -> bool {
        now >= self.next_beat
    }

    pub fn tick(&mut self, now: Instant, live: &BTreeSet<u32>) {
        if now < self.next_beat {
            return;
        }
        self.next_beat = now + TimeDelta::from_secs(self.settings.term.secs() / BEATS);
        let volumes: Vec<u32> = self.pools.keys().copied().collect();
        for v in volumes {
            self.beat(now, v, live);
        }
    }

    fn beat(&mut self, now: Instant, volume: u32, live: &BTreeSet<u32>) {
        let me = self.me;
        let Some(p) = self.pools.get_mut(&volume) else { return };
        for all in p.given.values_mut() {
            all.retain(|g| g.until > now);
        }
        p.given.retain(|_, all| !all.is_empty());
        // What was got from a lender is never forgotten, nor under which of its generations: an older loan that comes late, of a
        // generation whose loans were called back, must be known for that. There are no more of them than owners.
        let forget = self.settings.term;
        p.wanted.retain(|_, (_, at)| now - *at < forget);
        let others: Vec<u32> =
            p.shared.owners.iter().copied().filter(|s| *s != me && live.contains(s)).collect();
        if now < p.free_from && p.returned.len() + 1 < p.shared.owners.len() {
            let missing: Vec<u32> = others.iter().copied().filter(|s| !p.returned.contains(s)).collect();
            missing.into_iter().for_each(|to| self.say(to, LeaseMessage::Recall { volume }));
        }
        if self.leaving {
            others.into_iter().for_each(|to| self.say(to, LeaseMessage::Offer { volume }));
            return;
        }
        let Some(p) = self.pools.get(&volume) else { return };
        let held = p.own() - if now < p.free_from { p.own() } else { p.lent(now) };
        let short = p.need(now).min(1.0) - held;
        if short > MIN && !others.is_empty() && !self.displaced {
            let each = short / others.len() as f64;
            others.into_iter().for_each(|to| self.want(now, to, volume, each));
        }
    }

    /// Asks one lender; twice the even part of what is short, since some have nothing to spare.
    fn want(&mut self, now: Instant, to: u32, volume: u32, share: f64) {
        self.seq = self.seq.wrapping_add(1).max(1);
        let seq = self.seq;
        let Some(p) = self.pools.get_mut(&volume) else { return };
        let asked = p.wants.entry(to).or_default();
        asked.push_back((seq, now));
        if asked.len() > ASKED {
            asked.pop_front();
        }
        let (lender_generation, using) = p.got.get(&to).map_or((0, 0), |g| (g.generation, g.seq));
        let share = (2.0 * share).clamp(0.0, 1.0) as f32;
        self.say(to, LeaseMessage::Request { seq, active_seq: using, lender_generation, volume, share });
    }

    /// A peer has said something of a volume that both own a part of; anything else is no matter of its.
    pub fn heard(&mut self, now: Instant, from: u32, generation: u64, what: LeaseMessage) {
        match what {
            LeaseMessage::Request { seq, active_seq: using, lender_generation, volume, share } => {
                // What it holds of an earlier generation says nothing of this one's loans.
                let mixed = self.fault == Some(TermFault::GenerationsMixed);
                let using = if lender_generation == self.generation || mixed { using } else { 0 };
                self.wanted(now, (from, generation), volume, seq, using, f64::from(share));
            }
            // One that was meant for an earlier generation of this slot answers none of this one's wants.
            LeaseMessage::Grant { recipient_generation, .. }
                if recipient_generation != self.generation
                    && self.fault != Some(TermFault::GenerationsMixed) => {}
            LeaseMessage::Grant { request_seq: answers, seq, volume, share, term_ms, .. } => {
                self.lent_to_me(now, from, generation, volume, answers, seq, f64::from(share), term_ms)
            }
            LeaseMessage::Offer { volume } => {
                let Some(p) = self.pools.get(&volume).filter(|p| p.shared.owners.contains(&from)) else {
                    return;
                };
                let (own, need) = (p.own(), p.need(now));
                if need > MIN && !self.leaving {
                    self.want(now, from, volume, own);
                }
            }
            LeaseMessage::Recall { volume } => {
                let Some(p) = self.pools.get_mut(&volume).filter(|p| p.shared.owners.contains(&from)) else {
                    return;
                };
                // Its number stays, with its generation, so that an older loan can't come again.
                match p.got.get_mut(&from) {
                    Some(g) if g.generation < generation => {
                        *g = Got { generation, seq: 0, share: 0.0, until: now };
                    }
                    Some(g) if g.generation > generation => return,
                    Some(_) => {}
                    None => _ = p.got.insert(from, Got { generation, seq: 0, share: 0.0, until: now }),
                }
                self.say(from, LeaseMessage::Returned { recipient_generation: generation, volume });
            }
            // Said to an earlier generation, it tells nothing of what that one lent since.
            LeaseMessage::Returned { recipient_generation, .. }
                if recipient_generation != self.generation
                    && self.fault != Some(TermFault::GenerationsMixed) => {}
            LeaseMessage::Returned { volume, .. } => {
                let Some(p) = self.pools.get_mut(&volume).filter(|p| p.shared.owners.contains(&from)) else {
                    return;
                };
                p.returned.insert(from);
                // All that could hold a loan of an earlier generation have said that they hold none.
                if p.returned.len() + 1 >= p.shared.owners.len() {
                    p.free_from = p.free_from.min(now);
                }
            }
        }
    }

    fn wanted(
        &mut self,
        now: Instant,
        (from, recipient_generation): (u32, u64),
        volume: u32,
        answers: u32,
        using: u32,
        share: f64,
    ) {
        let (term, freed) = match self.leaving {
            true => (self.settings.leave_term, self.fault),
            false => (self.settings.term, self.fault),
        };
        let until = now + self.lender_term(term);
        let (me, displaced) = (self.me, self.displaced);
        self.seq = self.seq.wrapping_add(1).max(1);
        let seq = self.seq;
        let Some(p) = self.pools.get_mut(&volume) else { return };
        if from == me || !p.shared.owners.contains(&from) || now < p.free_from || displaced {
            return;
        }
        p.wanted.insert(from, (share, now));
        let own = p.own();
        if let Some(all) = p.given.get_mut(&from) {
            // It acts on this loan or a later one: those before are not used any more.
            all.retain(|g| g.until > now && g.seq >= using);
            if freed == Some(TermFault::FreedUnheard) {
                all.clear();
            }
        }
        // What is not needed here, by what all who want some want of it.
        let need = if self.leaving { 0.0 } else { p.need(now).max(KEEP * own) };
        let mut spare = (own - need).max(0.0);
        if freed == Some(TermFault::LendsBorrowed) {
            spare += p.borrowed(now) + own / 2.0;
        }
        let all_want: f64 = p.wanted.values().map(|(s, _)| *s).sum();
        let fair = spare * (share / all_want.max(1e-9)).min(1.0);
        let charged = |p: &Pool, but: u32| -> f64 {
            let most =
                |all: &Vec<Given>| all.iter().filter(|g| g.until > now).map(|g| g.share).fold(0.0, f64::max);
            p.given.iter().filter(|(s, _)| **s != but).map(|(_, all)| most(all)).sum()
        };
        let mut room = own - charged(p, from);
        if freed == Some(TermFault::LendsBorrowed) {
            room += p.borrowed(now);
        }
        // As it will be read at the other end.
        let give = f64::from((fair.min(share).min(room).max(0.0) * (1.0 - 1e-6)) as f32);
        let had = p.given.get(&from).is_some_and(|all| !all.is_empty());
        if give < MIN && !had {
            return;
        }
        let all = p.given.entry(from).or_default();
        all.push(Given { seq, share: give, until });
        // One that is never heard from again must not make this grow.
        if all.len() > ASKED {
            let most = all.iter().map(|g| g.share).fold(0.0, f64::max);
            let last = all.iter().map(|g| g.until).max().unwrap_or(until);
            // Under the last one's number: word of an earlier one must not free what may still come.
            *all = vec![Given { seq, share: most, until: last }];
        }
        let term_ms = (term.secs() * 1e3) as u32;
        self.say(
            from,
            LeaseMessage::Grant {
                request_seq: answers,
                recipient_generation,
                seq,
                volume,
                share: give as f32,
                term_ms,
            },
        );
    }

    #[allow(clippy::too_many_arguments)] // one decoded field, one argument
    fn lent_to_me(
        &mut self,
        now: Instant,
        from: u32,
        generation: u64,
        volume: u32,
        answers: u32,
        seq: u32,
        share: f64,
        term_ms: u32,
    ) {
        let longest = self.settings.leave_term.secs();
        let term = self.borrower_term(TimeDelta::from_secs((f64::from(term_ms) / 1e3).min(longest)));
        let from_receipt = self.fault == Some(TermFault::FromReceipt);
        let (me, leaving) = (self.me, self.leaving);
        let Some(p) = self.pools.get_mut(&volume) else { return };
        if from == me || !p.shared.owners.contains(&from) || leaving {
            return;
        }
        // The term counts from when the want left, which was before its lender began to leave the part unused.
        let Some(asked) = p.wants.get(&from).and_then(|w| w.iter().find(|(s, _)| *s == answers)) else {
            return;
        };
        let until = if from_receipt { now } else { asked.1 } + term;
        // Nobody can lend more than it has.
        let share = share.min(p.own());
        match p.got.get(&from) {
            Some(g) if g.generation > generation || (g.generation == generation && g.seq >= seq) => {}
            _ => _ = p.got.insert(from, Got { generation, seq, share, until }),
        }
    }

    /// The host leaves in order: from now on it uses nothing, and lends all it has to who wants it.
    pub fn leave(&mut self, now: Instant) {
        self.leaving = true;
        self.next_beat = now;
    }

    /// A later generation of a peer is known: what its earlier generation lent is let go.
    pub fn new_generation(&mut self, now: Instant, slot: u32, generation: u64) {
        for p in self.pools.values_mut() {
            if let Some(g) = p.got.get_mut(&slot).filter(|g| g.generation < generation) {
                *g = Got { generation, seq: 0, share: 0.0, until: now };
            }
        }
    }
}
