//! Who is there: failure detection by pings, pings through others, suspicion and incarnations, as SWIM has it (Das, Gupta
//! and Motivala, 2002), with local health, confirmed suspicions and word to the suspect as Lifeguard has them (Dadgar,
//! Phillips and Currey, 2017), and digests between pairs so that views meet after a partition. What it says may be wrong:
//! it costs service, never a rule. docs/membership.md has what it promises, as formulas.

mod call;
mod learn;
mod probe;
mod sites;
mod table;
mod tell;

pub use sites::{SiteSeen, SiteWord};

use call::Twin;
use imbl::OrdMap;
use probe::{Probe, Relay};
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use table::Table;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Body, Health, MemberUpdate, ProbeMessage, MAX_UPDATES};
use tell::Tellings;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ViewSettings {
    pub period: TimeDelta,
    /// Hosts' numbers are below this, as told; news of others are refused.
    pub most: usize,
    pub ways: Ways,
}

/// What the view does beyond plain SWIM. Each can be left out, so that its worth can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ways {
    /// A host that misses answers, or hears nobody, waits longer before it accuses others.
    pub local_health: bool,
    /// Suspicions that several share end sooner, those of one alone later.
    pub confirm: bool,
    /// A host that stood still says nothing of the time in which it did.
    pub own_pause: bool,
    /// Who is suspected or held dead is told so when it is heard.
    pub told_back: bool,
    /// Each datagram is its sender's word on itself, with its incarnation.
    pub own_word: bool,
    /// Hosts known by an earlier generation are called, and more of those held dead once one of them is heard.
    pub recall: bool,
    /// A host that comes and goes is not asked for help until it stays.
    pub damp: bool,
    /// A host whose number seems to have a later generation looks whether that one runs.
    pub twin: bool,
}

impl Ways {
    pub fn all() -> Ways {
        Ways::set(true)
    }

    /// The view as it was before these.
    pub fn former() -> Ways {
        Ways::set(false)
    }

    fn set(on: bool) -> Ways {
        Ways {
            local_health: on,
            confirm: on,
            own_pause: on,
            told_back: on,
            own_word: on,
            recall: on,
            damp: on,
            twin: on,
        }
    }
}

/// Deliberate faults of the view, for days and hunts to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewFault {
    OldGenerationWins,
    NoRefutation,
    SuspicionWithoutEnd,
    /// When views meet, only news of hosts known already are taken.
    DropsASide,
    /// Hosts known by an earlier generation count as there without a word of theirs.
    TrustsDisk,
    /// The address that was heard first stays through all generations.
    OldAddressWins,
    /// Who is held dead is never called.
    NoCalls,
    /// Whoever goes on after a stop ends all suspicions that ran meanwhile, and its probes have failed.
    AccusesAfterStop,
    /// One missed answer is a death.
    NoSuspicion,
    /// What was heard last holds, whatever its incarnation.
    NewsOvertakes,
    /// Who is held dead is forgotten.
    ForgetsDead,
    /// A later generation of one's own number is believed in for ever.
    BelievesTwin,
    /// The site of an earlier generation stays.
    OldSiteWins,
    /// A host that came and went is never asked or told anything again.
    ShutsOut,
}

impl ViewFault {
    pub const ALL: [ViewFault; 14] = [
        ViewFault::OldGenerationWins,
        ViewFault::NoRefutation,
        ViewFault::SuspicionWithoutEnd,
        ViewFault::DropsASide,
        ViewFault::TrustsDisk,
        ViewFault::OldAddressWins,
        ViewFault::NoCalls,
        ViewFault::AccusesAfterStop,
        ViewFault::NoSuspicion,
        ViewFault::NewsOvertakes,
        ViewFault::ForgetsDead,
        ViewFault::BelievesTwin,
        ViewFault::OldSiteWins,
        ViewFault::ShutsOut,
    ];
}

/// Periods in which a host is heard directly after which hearsay of its death is no more than a suspicion.
const HEARD: f64 = 2.0;
/// Incarnations and generations beyond these are no host's own: a word of them could never be answered by a later one.
const INCARNATIONS: u32 = 1 << 30;
const GENERATIONS: u64 = u64::MAX - (1 << 20);
/// Comings and goings of a host, each counting half after so many periods, from which on it counts as one that flaps.
const STIRS: f64 = 3.0;
const STIRS_HALF: f64 = 40.0;
/// Deaths that are remembered for people.
const DEATHS: usize = 64;

/// Spreads a seed over all bits (the finaliser of SplitMix64, Steele, Lea and Flood, 2014).
fn mixed(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub generation: u64,
    pub incarnation: u32,
    pub health: Health,
    pub address: SocketAddr,
    pub site: Option<u32>,
    /// Of this health.
    pub since: Instant,
    /// Who suspects it, as far as that counts.
    by: Vec<u32>,
    /// When a datagram of its own came last, under this generation.
    heard: Option<Instant>,
    /// When it stopped being alive, while it is not.
    lost: Option<Instant>,
    /// Comings and goings lately, and as of when.
    stirs: f64,
    stirred: Instant,
    told_back: Option<Instant>,
    /// Found dead while this host heard nobody at all.
    alone: bool,
}

impl Seen {
    fn rank(&self) -> (u64, u32, Health) {
        (self.generation, self.incarnation, self.health)
    }

    fn is_there(&self) -> bool {
        matches!(self.health, Health::Alive | Health::Suspect)
    }
}

/// A host held dead: by this host's own finding, or as heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Death {
    pub slot: u32,
    pub generation: u64,
    pub incarnation: u32,
    pub at: Instant,
    pub own: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViewCounters {
    pub suspected: u64,
    /// Suspicions of others that a later word of theirs took back.
    pub refuted: u64,
    pub dead: u64,
    /// Deaths that this host found itself.
    pub found_dead: u64,
    /// Times that this host was accused, and answered.
    pub accused: u64,
    /// MemberUpdate of hosts beyond the told number, or of generations and incarnations that none has.
    pub beyond: u64,
    /// Times that this host stood still for more than a period.
    pub pauses: u64,
    /// Changes of hosts that flap, which are not told of one by one.
    pub damped: u64,
    /// Times that a later generation of this host's number turned out not to run.
    pub taken_over: u64,
}

/// A change, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Health(u32, Health),
    Flaps(u32),
    Site(u32, SiteWord),
    /// It stood still for so long.
    Paused(TimeDelta),
    /// Its local health, in steps, from 0.
    Strained(u32),
    Displaced(u64),
    TookOver(u64),
}

pub struct View {
    me: MemberUpdate,
    settings: ViewSettings,
    seeds: Vec<SocketAddr>,
    /// Addresses that an earlier generation knew, still to be called, and how often each was.
    recalled: VecDeque<(SocketAddr, u32)>,
    seen: Table,
    turn: Vec<u32>,
    probes: Vec<Probe>,
    relays: VecDeque<Relay>,
    tellings: Tellings,
    seq: u32,
    periods: u32,
    next_period: Instant,
    /// When this host was to wake, as it last said.
    due: Instant,
    /// When any other was heard.
    heard: Instant,
    /// When any ping or plea of this host was answered, and when it last heard others again after a silence.
    answered: Instant,
    rejoined: Instant,
    /// Steps of strain: how many times longer answers are waited for.
    strain: u32,
    strain_told: bool,
    /// Until when those held dead are called more often.
    thaw: Instant,
    chance: oorandom::Rand64,
    sends: VecDeque<(SocketAddr, Body, Option<u32>)>,
    changes: VecDeque<Change>,
    deaths: VecDeque<Death>,
    sites: sites::Sites,
    displaced: bool,
    twin: Option<Twin>,
    /// This host took its number back; whether the later generation was at its own address.
    took_over: Option<bool>,
    /// When the view changed last, or another's differed.
    moved: Instant,
    fault: Option<ViewFault>,
    pub counters: ViewCounters,
}

impl View {
    pub fn new(
        now: Instant,
        me: MemberUpdate,
        seeds: Vec<SocketAddr>,
        recalled: Vec<(u32, SocketAddr)>,
        settings: ViewSettings,
        seed: u64,
    ) -> Self {
        // Hosts of a fleet may be told seeds in a row, which begin this generator's numbers alike: they would all ping the
        // same host at the same time.
        let mut chance = oorandom::Rand64::new(u128::from(mixed(seed)) << 64 | u128::from(mixed(!seed)));
        // Hosts that start at once do not ping at once.
        let first = TimeDelta::from_secs(settings.period.secs() * chance.rand_float());
        let mut view = View {
            me,
            settings,
            seeds,
            recalled: VecDeque::new(),
            seen: Table::default(),
            turn: Vec::new(),
            probes: Vec::new(),
            relays: VecDeque::new(),
            tellings: Tellings::default(),
            seq: 0,
            periods: 0,
            next_period: now + first,
            due: now + first,
            heard: now,
            answered: now,
            rejoined: now,
            strain: 0,
            strain_told: false,
            thaw: now,
            chance,
            sends: VecDeque::new(),
            changes: VecDeque::new(),
            deaths: VecDeque::new(),
            sites: sites::Sites::default(),
            displaced: false,
            twin: None,
            took_over: None,
            moved: now,
            fault: None,
            counters: ViewCounters::default(),
        };
        if settings.ways.recall {
            let others = recalled.into_iter().filter(|(s, a)| *s != me.slot && *a != me.address);
            view.recalled = others.take(settings.most).map(|(_, a)| (a, 0)).collect();
        }
        view.tell(me.slot);
        view.greet();
        view
    }

    /// With a deliberate fault; `recalled` are hosts that the disk has.
    pub fn with_fault(mut self, now: Instant, fault: ViewFault, recalled: &[(u32, u64, SocketAddr)]) -> Self {
        self.fault = Some(fault);
        if fault == ViewFault::TrustsDisk {
            for (slot, generation, address) in recalled.iter().copied() {
                let (incarnation, health, site, by) = (0, Health::Alive, None, None);
                self.learn(
                    now,
                    MemberUpdate { slot, generation, incarnation, health, address, site, suspected_by: by },
                );
            }
        }
        self
    }

    fn has(&self, fault: ViewFault) -> bool {
        self.fault == Some(fault)
    }

    fn periods(&self, n: f64) -> TimeDelta {
        TimeDelta::from_secs(n * self.settings.period.secs())
    }

    /// A snapshot that stays as it is while this goes on.
    pub fn snapshot(&self) -> OrdMap<u32, Seen> {
        OrdMap::clone(&self.seen)
    }

    pub fn me(&self) -> MemberUpdate {
        self.me
    }

    pub fn address(&self, slot: u32) -> Option<SocketAddr> {
        self.seen.get(&slot).map(|s| s.address)
    }

    pub fn generation(&self, slot: u32) -> Option<u64> {
        self.seen.get(&slot).map(|s| s.generation)
    }

    fn put(&mut self, slot: u32, seen: Seen) {
        self.seen.put(slot, seen);
    }

    /// Others that are thought to be there.
    pub fn there(&self) -> u32 {
        self.seen.live().len() as u32
    }

    /// Others that were there and are held dead, or have left.
    pub fn gone(&self) -> u32 {
        self.seen.len() as u32 - self.there()
    }

    /// By number.
    pub fn live(&self) -> &[u32] {
        self.seen.live()
    }

    /// Those of them that do not come and go.
    pub fn steady(&self, now: Instant) -> BTreeSet<u32> {
        let steady = |slot: &u32| self.seen.get(slot).is_some_and(|s| !self.flaps(now, s));
        self.live().iter().copied().filter(steady).collect()
    }

    fn stirs(&self, now: Instant, s: &Seen) -> f64 {
        if s.stirs == 0.0 {
            return 0.0;
        }
        let halves = (now - s.stirred).secs() / self.periods(STIRS_HALF).secs().max(1e-9);
        s.stirs * 0.5f64.powf(halves.max(0.0))
    }

    /// Whether a host comes and goes too often to be asked for help. It is pinged, listed and told all the same.
    fn flaps(&self, now: Instant, s: &Seen) -> bool {
        if self.has(ViewFault::ShutsOut) {
            return s.stirs >= 1.0;
        }
        self.settings.ways.damp && self.stirs(now, s) >= STIRS
    }

    pub fn is_flapping(&self, now: Instant, slot: u32) -> bool {
        self.seen.get(&slot).is_some_and(|s| self.flaps(now, s))
    }

    /// Another generation of this slot has been heard of, later than this one.
    pub fn is_displaced(&self) -> bool {
        self.displaced
    }

    /// This host has taken its number back under a new generation; true: the later one was known at this host's own address, so
    /// that it can't run.
    pub fn next_take_over(&mut self) -> Option<bool> {
        self.took_over.take()
    }

    pub fn next_send(&mut self) -> Option<(SocketAddr, Body, Option<u32>)> {
        self.sends.pop_front()
    }

    pub fn next_change(&mut self) -> Option<Change> {
        self.changes.pop_front()
    }

    pub fn deaths(&self) -> impl Iterator<Item = &Death> {
        self.deaths.iter()
    }

    pub fn strain(&self) -> u32 {
        self.strain
    }

    /// For how long nothing has changed here, and nobody has been heard of who knew otherwise.
    pub fn still(&self, now: Instant) -> TimeDelta {
        now - self.moved
    }

    /// Others that have not left, by number, with their generations and where they were reached.
    pub fn known(&self) -> impl Iterator<Item = (u32, u64, SocketAddr)> + '_ {
        let known = self.seen.iter().filter(|(_, s)| s.health != Health::Left);
        known.map(|(slot, s)| (*slot, s.generation, s.address))
    }

    /// Of all that is known, for comparing.
    pub fn digest(&self) -> u32 {
        let m = &self.me;
        let me = table::mark(m.slot, m.generation, m.incarnation, m.health, m.address, m.site);
        self.seen.sum().wrapping_add(me)
    }

    /// All that is known, in pieces of one datagram.
    pub fn all_news(&self) -> Vec<Vec<MemberUpdate>> {
        let all: Vec<MemberUpdate> = self
            .seen
            .iter()
            .filter(|(_, s)| !s.alone)
            .filter_map(|(k, _)| self.news_of(*k))
            .chain([self.me])
            .collect();
        all.chunks(MAX_UPDATES).map(<[MemberUpdate]>::to_vec).collect()
    }

    fn news_of(&self, slot: u32) -> Option<MemberUpdate> {
        if slot == self.me.slot {
            return Some(self.me);
        }
        let s = self.seen.get(&slot)?;
        Some(MemberUpdate {
            slot,
            generation: s.generation,
            incarnation: s.incarnation,
            health: s.health,
            address: s.address,
            site: s.site,
            suspected_by: if s.health == Health::Suspect { s.by.last().copied() } else { None },
        })
    }

    fn log_size(&self) -> f64 {
        ((self.seen.len() + 2) as f64).log2()
    }

    /// A datagram of that host's own has come.
    pub fn heard_from(&mut self, now: Instant, slot: u32, generation: u64) {
        let silent = now - self.heard;
        self.heard = now;
        if silent >= self.periods(probe::DEAF) {
            self.hears_again(now);
        }
        let Some(s) = self.seen.get(&slot).filter(|s| s.generation == generation).cloned() else { return };
        let accused = matches!(s.health, Health::Suspect | Health::Dead);
        if s.health == Health::Dead && self.settings.ways.recall {
            // What parted is meeting again: more of it may be there.
            self.thaw = now + self.periods(call::THAW);
        }
        let due = s.told_back.is_none_or(|t| now - t >= self.settings.period);
        let tells = accused && due && self.settings.ways.told_back;
        if tells {
            let address = s.address;
            self.sends.push_back((address, Body::Gossip, Some(slot)));
        }
        let told_back = if tells { Some(now) } else { s.told_back };
        self.put(slot, Seen { heard: Some(now), told_back, ..s });
    }

    /// Another's digest was not this host's.
    pub fn differs(&mut self, now: Instant) {
        self.moved = now;
    }

    /// The host leaves: it says so itself.
    pub fn leave(&mut self) {
        self.me.health = Health::Left;
        self.tell(self.me.slot);
        self.say_to_some();
        self.say_to_some();
    }

    /// Some of those that are there, by chance; those that flap only where there are no others.
    pub(crate) fn pick(&mut self, now: Instant, n: usize, but: Option<u32>) -> Vec<u32> {
        let mut all: Vec<u32> = self.live().iter().copied().filter(|s| Some(*s) != but).collect();
        let (mut some, mut flapping) = (Vec::new(), Vec::new());
        while some.len() < n && !all.is_empty() {
            let i = self.chance.rand_range(0..all.len() as u64) as usize;
            let slot = all.swap_remove(i);
            match self.is_flapping(now, slot) {
                true => flapping.push(slot),
                false => some.push(slot),
            }
        }
        if some.is_empty() && !self.has(ViewFault::ShutsOut) {
            some = flapping;
            some.truncate(n);
        }
        some
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    pub fn next_wake(&self) -> Instant {
        let probes = self.probes.iter().map(|p| if p.helped { p.until } else { p.direct_until });
        let relays = self.relays.iter().map(|r| r.until);
        probes.chain(relays).fold(self.next_period, Instant::min)
    }

    pub fn tick(&mut self, now: Instant) {
        self.stood_still(now);
        self.end_suspicions(now);
        self.end_probes(now);
        self.stands_by(now);
        if now >= self.next_period {
            self.next_period = now + self.settings.period;
            self.periods = self.periods.wrapping_add(1);
            if self.me.health != Health::Left {
                self.next_probes(now);
                if let Some(slot) = self.pick(now, 1, None).first().copied() {
                    self.send_digest(self.address(slot), Some(slot));
                }
                self.calls(now);
                self.look_for_twin(now);
            }
            self.look_at_sites(now);
        }
        self.due = self.next_wake();
    }
}
