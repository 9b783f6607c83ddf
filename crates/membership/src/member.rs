//! One host as a member of its fleet: all machines of this package together, fed with datagrams and the time.
//!
//! - `receive`: datagrams of peers.
//! - `outputs`: what the machines have to send and to report.
//! - `persistence`: what the next generation is to know.
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

/// Greatest number of outputs that wait to be polled; beyond it new datagrams are dropped and counted.
const MAX_OUTPUTS: usize = 4096;

/// One host among others: a state machine without I/O. Datagrams and the time go in by the `handle_` methods; datagrams
/// and what else follows come out by [`poll_output`](Self::poll_output).
pub struct Member {
    fleet: String,
    allowed_networks: Vec<IpNet>,
    /// Which hosts run.
    pub view: View,
    /// Quota leases.
    pub leases: QuotaLeases,
    /// Operators' overrides.
    pub overrides: OverrideGossip,
    /// Catalog updates.
    pub catalog: CatalogReplication,
    endpoint_lists: EndpointListExchange,
    lease_settings: LeaseSettings,
    shared_limits: Vec<SharedLimit>,
    /// Another generation of this slot may use the shared quota, so this one never does.
    yields_quota: bool,
    persistence: Persistence,
    /// Whether datagrams carry their sender's own state.
    sender_state: bool,
    outputs: VecDeque<Output>,
    /// Index of the override with which the next answer to a digest begins.
    next_override: usize,
    /// Index of the part of the view with which the next answer to a digest begins.
    next_piece: usize,
    /// What has happened since the start.
    pub counters: Counters,
}

impl Member {
    /// A host that starts.
    pub fn new(now: Instant, settings: MemberSettings) -> Self {
        Member::start(now, settings, None)
    }

    /// The same with a deliberate fault of its view, for tests.
    pub fn with_fault(now: Instant, settings: MemberSettings, fault: ViewFault) -> Self {
        Member::start(now, settings, Some(fault))
    }

    fn start(now: Instant, mut settings: MemberSettings, fault: Option<ViewFault>) -> Self {
        // A store may come from a larger fleet. Its slots beyond this fleet's would be contacted, and persisted again, for
        // ever, as no update on them is accepted that could remove them.
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
            next_piece: 0,
            counters: Counters::default(),
        }
    }

    /// All other members.
    pub fn snapshot(&self) -> OrdMap<u32, MemberState> {
        self.view.snapshot()
    }

    /// Number of members that are alive or suspected, this one included.
    pub fn live_count(&self) -> u32 {
        self.view.live_count() + 1
    }

    /// Whether an address lies in a network that peers may have.
    fn is_allowed(&self, address: &SocketAddr) -> bool {
        let mut networks = self.allowed_networks.iter();
        self.allowed_networks.is_empty() || networks.any(|network| network.contains(&address.ip()))
    }

    /// Runs whatever is due.
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

    /// When [`handle_timeout`](Self::handle_timeout) is due.
    pub fn poll_timeout(&self) -> Instant {
        let timeout = self.view.poll_timeout().min(self.leases.poll_timeout());
        self.catalog.poll_timeout().map_or(timeout, |catalog_timeout| catalog_timeout.min(timeout))
    }

    /// The next output.
    pub fn poll_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Clients have demanded so many units of a volume.
    pub fn record_demand(&mut self, now: Instant, volume: u32, units: f64) {
        self.leases.record_demand(now, volume, units);
    }

    /// What is lent and borrowed of a volume's limit; none: it is not shared.
    pub fn quota_balance(&self, now: Instant, volume: u32) -> Option<QuotaBalance> {
        self.leases.balance(now, volume)
    }

    /// The host begins to leave: it uses nothing of the shared quota any more, and lends what it owns.
    pub fn begin_leave(&mut self, now: Instant) {
        self.leases.leave(now);
        self.leases.handle_timeout(now, &self.view.live().iter().copied().collect());
        self.flush(now);
    }

    /// The host leaves, and gossips that.
    pub fn announce_leave(&mut self, now: Instant) {
        self.view.leave();
        self.flush(now);
    }

    /// Adds an override that this host took itself, or had persisted.
    pub fn add_override(&mut self, now: Instant, record: OverrideRecord) {
        self.overrides.add_local(now, record);
    }

    /// An override was cleared on this host.
    pub fn clear_override(&mut self, origin: Origin) {
        self.overrides.clear_local(origin);
    }

    /// A catalog update was applied here. Its version is sent to a few peers at once.
    pub fn handle_catalog_applied(
        &mut self,
        now: Instant,
        version: CatalogVersion,
        text: Bytes,
        deadline: Instant,
    ) {
        self.catalog.handle_applied(now, version, text, deadline);
        let message = self.catalog.version_message(now);
        self.send_to_some(now, &Body::Catalog(message));
        self.flush(now);
    }

    /// This host's endpoint list has that version and removes these nodes. A newer version is sent to a few peers at once.
    pub fn handle_endpoint_list(
        &mut self,
        now: Instant,
        version: u64,
        removals: impl IntoIterator<Item = NodeRemoval>,
    ) {
        if self.endpoint_lists.handle_list(version, removals) {
            let message = self.endpoint_lists.version_message();
            self.send_to_some(now, &Body::EndpointList(message));
        }
        self.flush(now);
    }
}
