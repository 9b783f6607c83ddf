//! The membership view: which hosts of the fleet run. Failure detection by pings, indirect pings, suspicions and
//! incarnations is SWIM's (Das, Gupta and Motivala, 2002); local health, confirmed suspicions and the buddy system are
//! Lifeguard's (Dadgar, Phillips and Currey, 2017); digests that pairs of hosts exchange let views converge after a
//! partition. The view may be wrong: a running host that is considered dead loses service, but no guarantee depends on the
//! view. docs/membership.md states its properties as formulas.
//!
//! - `failure_detector`: probes members, directly and indirectly.
//! - `suspicion`: declares a suspected member dead when its suspicion times out.
//! - `local_health`: makes a host that is slow, paused or cut off suspect others later or not at all.
//! - `merge`: decides which of two states of a member takes precedence, and refutes false updates.
//! - `dissemination`, `broadcast_queue`: gossip updates.
//! - `join`: contacts hosts that are not known to run.
//! - `duplicate_id`: handles two processes with one slot.
//! - `flapping`: damps members that fail and return repeatedly.
//! - `sites`: aggregates members by site.
//! - `member_table`, `member_state`: hold the state of each member.
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
use failure_detector::{Probe, RelayedPing};
use imbl::OrdMap;
use join::PersistedPeer;
use local_health::LocalHealth;
use member_table::MemberTable;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_wire::peer::{Body, Health, MemberUpdate};

/// Protocol periods after a datagram of a member during which the member counts as received. A death that a peer reports
/// meanwhile is treated as a suspicion.
const RECENT_PERIODS: f64 = 2.0;

/// One host's view of its fleet, a state machine without I/O.
pub struct View {
    me: MemberUpdate,
    settings: ViewSettings,
    seeds: Vec<SocketAddr>,
    /// Peers that an earlier generation knew and that are still to be contacted.
    persisted_peers: VecDeque<PersistedPeer>,
    members: MemberTable,
    /// Members that are still to be probed in this round, in reverse order.
    probe_order: Vec<u32>,
    probes: Vec<Probe>,
    relays: VecDeque<RelayedPing>,
    broadcasts: BroadcastQueue,
    /// Sequence number of the last ping.
    seq: u32,
    /// Number of protocol periods since the start.
    period_count: u32,
    next_period_at: Instant,
    /// When `handle_timeout` was due next after its last call. A call that comes much later reveals a pause.
    expected_timeout: Instant,
    /// When a datagram of any member was last received.
    last_received: Instant,
    /// When any probe of this host was last answered.
    last_answered: Instant,
    /// When this host's last isolation ended with the receipt of a datagram.
    reconnected_at: Instant,
    local_health: LocalHealth,
    /// Until when a member that is considered dead is contacted in each protocol period.
    rejoin_until: Instant,
    random: oorandom::Rand64,
    transmits: VecDeque<Transmit>,
    events: VecDeque<ViewEvent>,
    deaths: VecDeque<Death>,
    /// Last reported health of each site.
    site_health: BTreeMap<u32, SiteHealth>,
    displaced: bool,
    duplicate_id: Option<DuplicateId>,
    take_over: Option<TakeOver>,
    /// When the view last changed, or another host's digest last differed from it.
    changed_at: Instant,
    fault: Option<ViewFault>,
    /// Counters since the start of the process.
    pub counters: ViewCounters,
}

impl View {
    /// Creates the view of a host that starts. It holds only the host itself, `me`, and contacts the seeds. `persisted` are
    /// peers that an earlier generation knew; they are contacted, and become members only once they answer. `seed` is that
    /// of the random number generator.
    pub fn new(
        now: Instant,
        me: MemberUpdate,
        seeds: Vec<SocketAddr>,
        persisted: &[KnownPeer],
        settings: ViewSettings,
        seed: u64,
    ) -> Self {
        let mut random = random::generator(seed);
        // The random offset keeps hosts that start together from sending their pings in bursts.
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
            period_count: 0,
            next_period_at: now + first_period,
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

    /// Returns this view with a deliberate fault, for tests. `persisted` are peers that an earlier generation knew.
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

    fn has_fault(&self, fault: ViewFault) -> bool {
        self.fault == Some(fault)
    }

    fn periods(&self, count: f64) -> TimeDelta {
        TimeDelta::from_secs(count * self.settings.protocol_period.secs())
    }

    /// Returns a copy of the states of all other members, by slot.
    pub fn snapshot(&self) -> OrdMap<u32, MemberState> {
        self.members.snapshot()
    }

    /// Returns this host's own state.
    pub fn me(&self) -> MemberUpdate {
        self.me
    }

    /// Returns the address of a member, or `None` if the member is not known.
    pub fn address(&self, slot: u32) -> Option<SocketAddr> {
        self.members.get(slot).map(|state| state.address)
    }

    /// Returns the latest known generation of a member, or `None` if the member is not known.
    pub fn generation(&self, slot: u32) -> Option<u64> {
        self.members.get(slot).map(|state| state.generation)
    }

    /// Returns the slots of the other members that are alive or suspected, in ascending order.
    pub fn live(&self) -> &[u32] {
        self.members.live()
    }

    /// Returns the number of other members that are alive or suspected.
    pub fn live_count(&self) -> u32 {
        self.live().len() as u32
    }

    /// Returns the number of other members that are considered dead or have left.
    pub fn gone_count(&self) -> u32 {
        self.members.len() as u32 - self.live_count()
    }

    /// Returns the other members that have not left, with their addresses.
    pub(crate) fn known_peers(&self) -> impl Iterator<Item = KnownPeer> + '_ {
        let known = self.members.iter().filter(|(_, state)| state.health != Health::Left);
        known.map(|(slot, state)| KnownPeer { slot, generation: state.generation, address: state.address })
    }

    /// Returns the most recent deaths, the oldest first.
    pub fn deaths(&self) -> impl Iterator<Item = &Death> {
        self.deaths.iter()
    }

    /// Returns the digest of all members, this host included. Equal views have equal digests.
    pub fn digest(&self) -> u32 {
        self.members.digest().wrapping_add(member_table::checksum(&self.me))
    }

    /// Returns how long the view has not changed and no other host's digest has differed from it.
    pub fn unchanged_for(&self, now: Instant) -> TimeDelta {
        now - self.changed_at
    }

    /// Records that a peer's digest differs from this view's.
    pub(crate) fn handle_digest_mismatch(&mut self, now: Instant) {
        self.changed_at = now;
    }

    /// Records that a datagram of a member's generation was received.
    pub fn handle_received(&mut self, now: Instant, slot: u32, generation: u64) {
        let silence = now - self.last_received;
        self.last_received = now;
        if silence >= self.periods(local_health::CUT_OFF_PERIODS) {
            self.end_isolation(now);
        }
        let state = self.members.get(slot).filter(|state| state.generation == generation);
        let Some(mut state) = state.cloned() else { return };
        if state.health == Health::Dead && self.settings.extensions.rejoin {
            // A partition may have healed, so other members that are considered dead may be alive as well.
            self.rejoin_until = now + self.periods(join::REJOIN_PERIODS);
        }
        if self.is_notification_due(now, &state) {
            state.last_notified = Some(now);
            self.send(state.address, Body::Gossip, Some(slot));
        }
        state.last_received = Some(now);
        self.members.insert(slot, state);
    }

    /// Returns whether a member is to be notified that it is suspected or considered dead.
    fn is_notification_due(&self, now: Instant, state: &MemberState) -> bool {
        let is_suspect_or_dead = matches!(state.health, Health::Suspect | Health::Dead);
        let interval = self.settings.protocol_period;
        let is_due = state.last_notified.is_none_or(|notified| now - notified >= interval);
        is_suspect_or_dead && is_due && self.settings.extensions.buddy_system
    }

    /// Marks this host as left and gossips that. The second round of gossip covers lost datagrams: if no member learned of
    /// the leave, the host would be suspected and declared dead.
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

    /// Ends probes and suspicions that have timed out, and begins a protocol period if one is due.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.detect_pause(now);
        self.expire_suspicions(now);
        self.expire_probes(now);
        self.confirm_isolated_deaths(now);
        if now >= self.next_period_at {
            self.next_period_at = now + self.settings.protocol_period;
            self.period_count = self.period_count.wrapping_add(1);
            if self.me.health != Health::Left {
                self.run_period(now);
            }
            self.report_sites(now);
        }
        self.expected_timeout = self.poll_timeout();
    }

    fn run_period(&mut self, now: Instant) {
        self.start_probes(now);
        if let Some(slot) = self.random_members(now, 1, None).first().copied() {
            if let Some(address) = self.address(slot) {
                self.send_digest(address, Some(slot));
            }
        }
        self.reconnect(now);
        self.check_duplicate_id(now);
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) is due next.
    pub fn poll_timeout(&self) -> Instant {
        let next_step =
            |probe: &Probe| if probe.indirect_sent { probe.fails_at } else { probe.indirect_pings_at };
        let probes = self.probes.iter().map(next_step);
        let relays = self.relays.iter().map(|relay| relay.until);
        probes.chain(relays).min().map_or(self.next_period_at, |step| step.min(self.next_period_at))
    }

    /// Returns the next message to send, or `None` when all have been polled.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        self.transmits.pop_front()
    }

    /// Returns the next event, or `None` when all have been polled.
    pub fn poll_event(&mut self) -> Option<ViewEvent> {
        self.events.pop_front()
    }
}
