//! The membership view: which hosts of the fleet run. Failure detection by pings, indirect pings, suspicions and
//! incarnations is SWIM's (Das, Gupta and Motivala, 2002); local health, suspicions that others confirm and the buddy
//! system are Lifeguard's (Dadgar, Phillips and Currey, 2017); digests between pairs let views converge after a
//! partition. The view may be wrong: a host that is wrongly held dead loses service, but no guarantee depends on the view.
//! docs/membership.md has what it promises, as formulas.
//!
//! - `failure_detector`: probes of members, direct and indirect.
//! - `suspicion`: when a suspected member is declared dead.
//! - `local_health`: how a host holds back that is itself slow, paused or cut off.
//! - `merge`: which of two states of a member holds, and refutations.
//! - `dissemination`, `broadcast_queue`: gossip of updates.
//! - `join`: contact with hosts that are not known to run.
//! - `duplicate_id`: two processes with one slot.
//! - `flapping`: damping of members that fail and return repeatedly.
//! - `sites`: members summed up by site.
//! - `member_table`, `member_state`: what is known of each member.
//! - `settings`: settings, extensions and deliberate faults.

mod broadcast_queue;
mod dissemination;
mod duplicate_id;
mod failure_detector;
mod flapping;
mod join;
mod local_health;
mod member_state;
mod member_table;
mod merge;
mod random;
mod settings;
mod sites;
mod suspicion;

pub use member_state::{Death, KnownPeer, MemberState, TakeOver, ViewCounters, ViewEvent};
pub use settings::{Extensions, ViewFault, ViewSettings};
pub use sites::{SiteHealth, SiteState};

use crate::Transmit;
use broadcast_queue::BroadcastQueue;
use duplicate_id::DuplicateId;
use failure_detector::{Probe, Relay};
use imbl::OrdMap;
use join::PersistedPeer;
use local_health::LocalHealth;
use member_table::MemberTable;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Body, Health, MemberUpdate};

/// Protocol periods after a member's datagram within which the member counts as received: a death that a peer reports is
/// then no more than a suspicion.
const RECENT_PERIODS: f64 = 2.0;

/// One host's view of its fleet: a state machine without I/O.
pub struct View {
    me: MemberUpdate,
    settings: ViewSettings,
    seeds: Vec<SocketAddr>,
    /// Peers that an earlier generation knew, still to be contacted.
    persisted_peers: VecDeque<PersistedPeer>,
    members: MemberTable,
    /// Members that are still to be probed in this round, the next one last.
    probe_order: Vec<u32>,
    probes: Vec<Probe>,
    relays: VecDeque<Relay>,
    broadcasts: BroadcastQueue,
    /// Number of the last ping.
    seq: u32,
    /// Protocol periods since the start.
    periods: u32,
    next_period: Instant,
    /// When `handle_timeout` was due, by the last `poll_timeout`.
    expected_timeout: Instant,
    /// When a datagram of any member was received last.
    last_received: Instant,
    /// When any probe of this host was answered last.
    last_answered: Instant,
    /// When this host last received a datagram again after an isolation.
    reconnected_at: Instant,
    local_health: LocalHealth,
    /// Until when members held dead are contacted in each protocol period.
    rejoin_until: Instant,
    random: oorandom::Rand64,
    transmits: VecDeque<Transmit>,
    events: VecDeque<ViewEvent>,
    deaths: VecDeque<Death>,
    /// The health of each site that was reported last.
    site_health: BTreeMap<u32, SiteHealth>,
    displaced: bool,
    duplicate_id: Option<DuplicateId>,
    take_over: Option<TakeOver>,
    /// When the view changed last, or another's differed.
    changed_at: Instant,
    fault: Option<ViewFault>,
    /// What has happened since the start.
    pub counters: ViewCounters,
}

impl View {
    /// The view of a host that starts: it knows itself, and contacts the seeds. `persisted` are peers that an earlier
    /// generation knew; they are contacted, and count only once they answer.
    pub fn new(
        now: Instant,
        me: MemberUpdate,
        seeds: Vec<SocketAddr>,
        persisted: &[KnownPeer],
        settings: ViewSettings,
        seed: u64,
    ) -> Self {
        let mut random = random::generator(seed);
        // Hosts that start together would else send their pings together, in bursts.
        let first_period = TimeDelta::from_secs(settings.protocol_period.secs() * random.rand_float());
        let mut view = View {
            me,
            settings,
            seeds,
            persisted_peers: VecDeque::new(),
            members: MemberTable::default(),
            probe_order: Vec::new(),
            probes: Vec::new(),
            relays: VecDeque::new(),
            broadcasts: BroadcastQueue::default(),
            seq: 0,
            periods: 0,
            next_period: now + first_period,
            expected_timeout: now + first_period,
            last_received: now,
            last_answered: now,
            reconnected_at: now,
            local_health: LocalHealth::default(),
            rejoin_until: now,
            random,
            transmits: VecDeque::new(),
            events: VecDeque::new(),
            deaths: VecDeque::new(),
            site_health: BTreeMap::new(),
            displaced: false,
            duplicate_id: None,
            take_over: None,
            changed_at: now,
            fault: None,
            counters: ViewCounters::default(),
        };
        view.start(persisted);
        view
    }

    fn start(&mut self, persisted: &[KnownPeer]) {
        if self.settings.extensions.rejoin {
            let is_other = |peer: &&KnownPeer| peer.slot != self.me.slot && peer.address != self.me.address;
            let others = persisted.iter().filter(is_other).take(self.settings.max_hosts);
            self.persisted_peers =
                others.map(|peer| PersistedPeer { address: peer.address, attempts: 0 }).collect();
        }
        self.broadcast(self.me.slot);
        self.join();
    }

    /// The same with a deliberate fault, for tests; `persisted` are peers that an earlier generation knew.
    pub fn with_fault(mut self, now: Instant, fault: ViewFault, persisted: &[KnownPeer]) -> Self {
        self.fault = Some(fault);
        if fault == ViewFault::TrustsPersistedPeers {
            for KnownPeer { slot, generation, address } in persisted.iter().copied() {
                let (incarnation, health, site, suspected_by) = (0, Health::Alive, None, None);
                let update =
                    MemberUpdate { slot, generation, incarnation, health, address, site, suspected_by };
                self.merge(now, update);
            }
        }
        self
    }

    fn has(&self, fault: ViewFault) -> bool {
        self.fault == Some(fault)
    }

    fn periods(&self, count: f64) -> TimeDelta {
        TimeDelta::from_secs(count * self.settings.protocol_period.secs())
    }

    /// All other members, as a copy that stays as it is.
    pub fn snapshot(&self) -> OrdMap<u32, MemberState> {
        self.members.snapshot()
    }

    /// This host's own state.
    pub fn me(&self) -> MemberUpdate {
        self.me
    }

    /// Where a member is reached.
    pub fn address(&self, slot: u32) -> Option<SocketAddr> {
        self.members.get(slot).map(|state| state.address)
    }

    /// The latest generation of a member.
    pub fn generation(&self, slot: u32) -> Option<u64> {
        self.members.get(slot).map(|state| state.generation)
    }

    /// Slots of the other members that are alive or suspected, in order.
    pub fn live(&self) -> &[u32] {
        self.members.live()
    }

    /// Their number.
    pub fn live_count(&self) -> u32 {
        self.live().len() as u32
    }

    /// Number of the other members that are held dead, or have left.
    pub fn gone_count(&self) -> u32 {
        self.members.len() as u32 - self.live_count()
    }

    /// The other members that have not left, with where they were reached.
    pub(crate) fn known_peers(&self) -> impl Iterator<Item = KnownPeer> + '_ {
        let known = self.members.iter().filter(|(_, state)| state.health != Health::Left);
        known.map(|(slot, state)| KnownPeer { slot, generation: state.generation, address: state.address })
    }

    /// The latest deaths.
    pub fn deaths(&self) -> impl Iterator<Item = &Death> {
        self.deaths.iter()
    }

    /// Digest of all members, this host included: equal where views are equal.
    pub fn digest(&self) -> u32 {
        self.members.digest().wrapping_add(member_table::checksum(&self.me))
    }

    /// For how long the view has not changed, and no digest of another differed.
    pub fn unchanged_for(&self, now: Instant) -> TimeDelta {
        now - self.changed_at
    }

    /// A peer's digest differs from this view's.
    pub(crate) fn handle_digest_mismatch(&mut self, now: Instant) {
        self.changed_at = now;
    }

    /// A datagram of that member was received.
    pub fn handle_received(&mut self, now: Instant, slot: u32, generation: u64) {
        let silence = now - self.last_received;
        self.last_received = now;
        if silence >= self.periods(local_health::CUT_OFF_PERIODS) {
            self.end_isolation(now);
        }
        let state = self.members.get(slot).filter(|state| state.generation == generation);
        let Some(mut state) = state.cloned() else { return };
        if state.health == Health::Dead && self.settings.extensions.rejoin {
            // A partition heals: more members that are held dead may be alive.
            self.rejoin_until = now + self.periods(join::REJOIN_PERIODS);
        }
        if self.is_notification_due(now, &state) {
            state.last_notified = Some(now);
            self.send(state.address, Body::Gossip, Some(slot));
        }
        state.last_received = Some(now);
        self.members.insert(slot, state);
    }

    /// Whether a member is to be notified that it is suspected or held dead.
    fn is_notification_due(&self, now: Instant, state: &MemberState) -> bool {
        let is_accused = matches!(state.health, Health::Suspect | Health::Dead);
        let interval = self.settings.protocol_period;
        let is_due = state.last_notified.is_none_or(|notified| now - notified >= interval);
        is_accused && is_due && self.settings.extensions.buddy_system
    }

    /// The host leaves gracefully and gossips that. Two rounds make up for a lost datagram: after a leave that nobody
    /// learned of, the host would be suspected and declared dead.
    pub fn leave(&mut self) {
        self.me.health = Health::Left;
        self.broadcast(self.me.slot);
        self.gossip_now();
        self.gossip_now();
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }

    /// Ends probes and suspicions that are over, and begins a protocol period if one is due.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.detect_pause(now);
        self.expire_suspicions(now);
        self.expire_probes(now);
        self.confirm_isolated_deaths(now);
        if now >= self.next_period {
            self.next_period = now + self.settings.protocol_period;
            self.periods = self.periods.wrapping_add(1);
            if self.me.health != Health::Left {
                self.run_period(now);
            }
            self.report_sites(now);
        }
        self.expected_timeout = self.poll_timeout();
    }

    fn run_period(&mut self, now: Instant) {
        self.start_probes(now);
        if let Some(slot) = self.pick(now, 1, None).first().copied() {
            if let Some(address) = self.address(slot) {
                self.send_digest(address, Some(slot));
            }
        }
        self.reconnect(now);
        self.check_duplicate_id(now);
    }

    /// When [`handle_timeout`](Self::handle_timeout) is due.
    pub fn poll_timeout(&self) -> Instant {
        let next_step = |probe: &Probe| if probe.indirect_sent { probe.until } else { probe.direct_until };
        let probes = self.probes.iter().map(next_step);
        let relays = self.relays.iter().map(|relay| relay.until);
        probes.chain(relays).min().map_or(self.next_period, |step| step.min(self.next_period))
    }

    /// The next message to be sent.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }

    /// The next event.
    pub fn poll_event(&mut self) -> Option<ViewEvent> {
        self.events.pop_front()
    }
}
