//! One host as a member of its fleet: combines all state machines of this package.
//!
//! - `receive`: handles datagrams of peers.
//! - `outputs`: collects messages and events of the state machines.
//! - `persistence`: persists the known peers for the next generation.
//! - `settings`: settings, outputs and counters.

mod outputs;
mod persistence;
mod receive;
mod settings;

pub use settings::{Counters, MemberSettings, Output, PersistedMembers};

use crate::catalog_replication::{CatalogReplication, CatalogVersion};
use crate::endpoint_list_exchange::EndpointListExchange;
use crate::override_gossip::OverrideGossip;
use crate::quota_leases::{LeaseSettings, QuotaBalance, QuotaLeases, SharedLimit};
use crate::view::{MemberState, View, ViewFault};
use crate::MemberId;
use bytes::Bytes;
use imbl::OrdMap;
use ipnet::IpNet;
use persistence::Persistence;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_overrides::Origin;
use tackmast_wire::peer::{Body, Health, MemberUpdate, NodeRemoval, OverrideRecord};

/// Maximum number of outputs that wait to be polled. Beyond it new datagrams are dropped and counted.
const MAX_OUTPUTS: usize = 4096;

/// One host as a member of its fleet: a state machine without I/O. The `handle_` methods take datagrams and the time, and
/// [`poll_output`](Self::poll_output) returns the datagrams to send and the other actions that follow.
pub struct Member {
    fleet: String,
    allowed_networks: Vec<IpNet>,
    /// Membership view: which hosts run.
    pub view: View,
    /// Quota leases on the shared limits.
    pub leases: QuotaLeases,
    /// Gossip of operators' overrides.
    pub overrides: OverrideGossip,
    /// Replication of catalog updates.
    pub catalog: CatalogReplication,
    endpoint_lists: EndpointListExchange,
    lease_settings: LeaseSettings,
    shared_limits: Vec<SharedLimit>,
    /// Whether this generation never uses the shared quota, because another generation of the slot may use it.
    yields_quota: bool,
    persistence: Persistence,
    /// Whether the state that a datagram carries of its own sender is merged.
    sender_state: bool,
    outputs: VecDeque<Output>,
    /// Index of the first override in the next answer to a digest.
    next_override: usize,
    /// Index of the first batch of member updates in the next answer to a digest.
    next_update_batch: usize,
    /// Counters since the start of the process.
    pub counters: Counters,
}

impl Member {
    /// Creates the member of a host that starts.
    pub fn new(now: Instant, settings: MemberSettings) -> Self {
        Member::start(now, settings, None)
    }

    /// Creates a member whose view has a deliberate fault, for tests.
    pub fn with_fault(now: Instant, settings: MemberSettings, fault: ViewFault) -> Self {
        Member::start(now, settings, Some(fault))
    }

    fn start(now: Instant, mut settings: MemberSettings, fault: Option<ViewFault>) -> Self {
        // A store may come from a larger fleet. Peers with slots beyond this fleet's would be contacted and persisted again
        // forever, because the updates that could remove them are not accepted.
        let max_hosts = settings.view.max_hosts;
        settings.persisted.retain(|peer| (peer.slot as usize) < max_hosts);
        let me = MemberUpdate {
            slot: settings.slot,
            generation: settings.generation,
            incarnation: 0,
            health: Health::Alive,
            address: settings.address,
            site: settings.site,
            suspected_by: None,
        };
        let mut view = View::new(now, me, settings.seeds, &settings.persisted, settings.view, settings.seed);
        if let Some(fault) = fault {
            view = view.with_fault(now, fault, &settings.persisted);
        }
        let id = MemberId { slot: settings.slot, generation: settings.generation };
        let limits = settings.shared_limits.clone();
        let persisted = PersistedMembers { generation: settings.generation, peers: settings.persisted };
        Member {
            fleet: settings.fleet,
            allowed_networks: settings.allowed_networks,
            view,
            leases: QuotaLeases::new(now, id, settings.leases, limits, settings.previous_exit),
            overrides: OverrideGossip::default(),
            catalog: CatalogReplication::default(),
            endpoint_lists: EndpointListExchange::default(),
            lease_settings: settings.leases,
            shared_limits: settings.shared_limits,
            yields_quota: false,
            persistence: Persistence::new(now, persisted, settings.view.protocol_period),
            sender_state: settings.view.extensions.sender_state,
            outputs: VecDeque::new(),
            next_override: 0,
            next_update_batch: 0,
            counters: Counters::default(),
        }
    }

    /// Returns the states of all other members, by slot.
    pub fn snapshot(&self) -> OrdMap<u32, MemberState> {
        self.view.snapshot()
    }

    /// Returns the number of members that are alive or suspected, this one included.
    pub fn live_count(&self) -> u32 {
        self.view.live_count() + 1
    }

    /// Returns whether an address lies in an allowed network.
    fn is_allowed(&self, address: &SocketAddr) -> bool {
        let mut networks = self.allowed_networks.iter();
        self.allowed_networks.is_empty() || networks.any(|network| network.contains(&address.ip()))
    }

    /// Runs all timers that are due.
    pub fn handle_timeout(&mut self, now: Instant) {
        self.view.handle_timeout(now);
        self.flush_view_with_digests(now);
        if self.leases.poll_timeout() <= now {
            self.leases.handle_timeout(now, &self.view.stable(now));
        }
        self.overrides.handle_timeout(now);
        self.catalog.handle_timeout(now);
        self.persist_if_due(now);
        self.flush(now);
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) is due next.
    pub fn poll_timeout(&self) -> Instant {
        let timeout = self.view.poll_timeout().min(self.leases.poll_timeout());
        self.catalog.poll_timeout().map_or(timeout, |catalog_timeout| catalog_timeout.min(timeout))
    }

    /// Returns the next output, or `None` when all have been polled.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Records that clients demanded this many units of a volume, given by its LUN.
    pub fn record_demand(&mut self, now: Instant, volume: u32, units: f64) {
        self.leases.record_demand(now, volume, units);
    }

    /// Returns what is lent and borrowed of a volume's limit, or `None` if the limit is not shared.
    pub fn quota_balance(&self, now: Instant, volume: u32) -> Option<QuotaBalance> {
        self.leases.balance(now, volume)
    }

    /// Begins a graceful leave: the host stops using shared quota and lends all that it owns.
    pub fn begin_leave(&mut self, now: Instant) {
        self.leases.leave(now);
        self.leases.handle_timeout(now, &self.view.live().iter().copied().collect());
        self.flush(now);
    }

    /// Marks this host as left and gossips that.
    pub fn announce_leave(&mut self, now: Instant) {
        self.view.leave();
        self.flush(now);
    }

    /// Adds an override that this host accepted from an operator, or that it had persisted.
    pub fn add_override(&mut self, now: Instant, record: OverrideRecord) {
        self.overrides.add_local(now, record);
    }

    /// Records that an override was cleared on this host.
    pub fn clear_override(&mut self, origin: Origin) {
        self.overrides.clear_local(origin);
    }

    /// Records that a catalog update was applied here, and sends its version to a few peers at once. All hosts are to apply
    /// it by `deadline`.
    pub fn handle_catalog_applied(
        &mut self,
        now: Instant,
        version: CatalogVersion,
        text: Bytes,
        deadline: Instant,
    ) {
        self.catalog.handle_applied(now, version, text, deadline);
        let message = self.catalog.version_message(now);
        self.send_to_random_members(now, &Body::Catalog(message));
        self.flush(now);
    }

    /// Records the version of this host's endpoint list and the nodes that it removes. A newer version is sent to a few
    /// peers at once.
    pub fn handle_endpoint_list(
        &mut self,
        now: Instant,
        version: u64,
        removals: impl IntoIterator<Item = NodeRemoval>,
    ) {
        if self.endpoint_lists.handle_list(version, removals) {
            let message = self.endpoint_lists.version_message();
            self.send_to_random_members(now, &Body::EndpointList(message));
        }
        self.flush(now);
    }
}
