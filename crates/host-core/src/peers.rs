//! Tracks the other hosts for the core: how many are alive, quota leases, and overrides that were set at other hosts. A host that receives
//! nothing keeps its present state.

mod status;

use crate::admin_request::{AdminRequest, AdminResponse};
use crate::layout::Layout;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_config::{HostSettings, MembershipBlock};
use tackmast_membership::{
    CatalogUpdate, EndpointListNotice, Extensions, KnownPeer, LeaseSettings, Member, MemberSettings,
    MembershipEvent, Output, OverrideEvent, OverrideKind, OverrideRecord, PersistedMembers, PreviousExit,
    QuotaBalance, SharedLimit, ViewSettings,
};
use tackmast_overrides::{Kind, Origin, Override, OverrideId, OverrideRequest};
use tackmast_wire::peer::Body;

/// The first of the numbers of requests that peers' overrides cause.
const FIRST_PEER_REQUEST: u64 = 1 << 63;

/// Membership, quota leases and replicated overrides of one host, with the values that the core was last notified of.
pub struct Peers {
    /// This host's member of the fleet.
    pub member: Member,
    max_hosts: u32,
    alive_hosts: u32,
    quota_balances: BTreeMap<u32, QuotaBalance>,
    /// LUNs of the volumes whose quota is still to be compared with the value that the core has.
    volumes_to_check: Vec<u32>,
    checked_at: Option<Instant>,
    origins: BTreeMap<OverrideId, Origin>,
    last_request: u64,
}

/// A consequence of messages of peers or of the passage of time, for the core to act on.
pub enum PeerEvent {
    /// The number of hosts that count as alive has changed to this.
    AliveHosts(u32),
    /// This host's quota of a volume has changed.
    QuotaChanged {
        /// The volume's index in the layout.
        volume: usize,
        /// What is lent and borrowed from now on.
        balance: QuotaBalance,
    },
    /// A datagram is to be sent.
    Send { to: SocketAddr, bytes: Bytes },
    /// An event to log.
    Event(MembershipEvent),
    /// An override was set or cleared at another host, and the same request is to be handled here.
    AdminRequest {
        /// A number for which `Peers::is_from_peer` is true.
        request: u64,
        admin_request: AdminRequest,
    },
    /// A peer sent a change of plans.
    CatalogUpdate(CatalogUpdate),
    /// Members to be persisted for the next generation of this host.
    Persist(PersistedMembers),
    /// A peer reported the state of its endpoint list.
    EndpointList(EndpointListNotice),
    /// A peer sent a message, or a chunk of one, to this host's replica.
    ConsensusMessage { from: SocketAddr, slot: u32, body: Body },
}

/// Derives the settings of a host's member from the host's settings.
///
/// `address` is the address that the host listens on; `advertise` of the settings replaces it for peers. `persisted` are the hosts that an
/// earlier generation knew.
pub fn member_settings(
    settings: &HostSettings,
    block: &MembershipBlock,
    address: SocketAddr,
    generation: u64,
    previous_exit: PreviousExit,
    seed: u64,
    persisted: Vec<KnownPeer>,
) -> MemberSettings {
    let secs = TimeDelta::from_secs;
    let shared_volumes = settings.volumes.iter().filter(|volume| !volume.through.is_empty());
    let shared_limits = shared_volumes.map(|volume| SharedLimit {
        volume: volume.lun,
        limit: settings.plans[volume.plan as usize].limit,
        owners: volume.through.clone(),
    });
    MemberSettings {
        fleet: block.fleet.clone(),
        slot: settings.host.number,
        generation,
        address: block.advertise.unwrap_or(address),
        site: settings.host.site,
        persisted,
        seeds: block.seeds.clone(),
        allowed_networks: block.admit.clone(),
        view: ViewSettings {
            protocol_period: secs(block.period_ms / 1e3),
            max_hosts: settings.host.hosts as usize,
            extensions: Extensions::all(),
        },
        leases: LeaseSettings {
            term: secs(block.term_s),
            leave_term: secs(block.leave_s),
            drift: block.drift,
            owned: tackmast::policy::GUARANTEED_SHARE,
        },
        shared_limits: shared_limits.collect(),
        previous_exit,
        seed,
    }
}

/// A host and one generation of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostIdentity {
    /// The host's number.
    pub slot: u32,
    /// The generation of the host's process.
    pub generation: u64,
}

impl Peers {
    /// Creates the member of this host, which takes part in membership from now on.
    pub fn new(now: Instant, settings: MemberSettings) -> Self {
        Peers {
            max_hosts: settings.view.max_hosts as u32,
            member: Member::new(now, settings),
            alive_hosts: 0,
            quota_balances: BTreeMap::new(),
            volumes_to_check: Vec::new(),
            checked_at: None,
            origins: BTreeMap::new(),
            last_request: FIRST_PEER_REQUEST,
        }
    }

    /// Returns the identity by which peers know this host.
    pub fn me(&self) -> HostIdentity {
        let me = self.member.view.me();
        HostIdentity { slot: me.slot, generation: me.generation }
    }

    /// Enables the replication of changes of plans through peers. `plans` has the changes that this host can send.
    pub fn enable_catalog(&mut self, plans: &crate::Plans) {
        let encoded_changes =
            plans.encoded_changes().map(|(number, text)| CatalogUpdate { number, text: Bytes::from(text) });
        self.member.catalog.enable(plans.newest_version(), encoded_changes);
    }

    /// Returns whether a request was caused by an override that was set or cleared at another host.
    pub fn is_from_peer(request: u64) -> bool {
        request >= FIRST_PEER_REQUEST
    }

    /// Replicates an active override to peers. It ends in `left_s` seconds.
    pub fn add_override(&mut self, now: Instant, record: &Override, left_s: f64) {
        let Some(origin) = record.origin else { return };
        self.origins.insert(record.id, origin);
        self.member.add_override(now, override_record(record, origin, left_s));
    }

    /// Replicates the override that a response reports as set or cleared; does nothing for other responses.
    pub fn handle_override_response(&mut self, now: Instant, response: &AdminResponse) {
        match response {
            AdminResponse::Set { record, dry_run: false, .. } => {
                let left_s = record.ends_us.saturating_sub(record.set_us) as f64 / 1e6;
                self.add_override(now, record, left_s);
            }
            AdminResponse::Cleared { id } => {
                if let Some(origin) = self.origins.remove(id) {
                    self.member.clear_override(origin);
                }
            }
            _ => {}
        }
    }

    /// Returns the next event for the core; `None` if there is none at this moment.
    pub fn poll_event(&mut self, now: Instant, layout: &Layout) -> Option<PeerEvent> {
        if let Some(output) = self.member.poll_output() {
            return Some(match output {
                Output::Send { to, bytes } => PeerEvent::Send { to, bytes },
                Output::Event(event) => PeerEvent::Event(event),
                Output::CatalogUpdate(update) => PeerEvent::CatalogUpdate(update),
                Output::Persist(members) => PeerEvent::Persist(members),
                Output::EndpointList(event) => PeerEvent::EndpointList(event),
                Output::Consensus { from, slot, body } => PeerEvent::ConsensusMessage { from, slot, body },
                Output::Override(event) => match self.request_for_override_event(event) {
                    Some(admin_request) => {
                        self.last_request += 1;
                        PeerEvent::AdminRequest { request: self.last_request, admin_request }
                    }
                    None => return self.poll_event(now, layout),
                },
            });
        }
        // A host of which nothing was received yet counts as alive. Otherwise hosts that start at the same time would each believe to be
        // the only one, and together send many times the load that the nodes can serve.
        let alive_hosts = self.max_hosts.saturating_sub(self.member.view.gone_count()).max(1);
        if alive_hosts != self.alive_hosts {
            self.alive_hosts = alive_hosts;
            return Some(PeerEvent::AliveHosts(alive_hosts));
        }
        if self.checked_at != Some(now) {
            self.checked_at = Some(now);
            self.volumes_to_check = self.member.leases.volumes().collect();
        }
        while let Some(lun) = self.volumes_to_check.pop() {
            let Some(balance) = self.member.quota_balance(now, lun) else { continue };
            let Some(volume) = layout.volume_by_lun(lun) else { continue };
            if self.quota_balances.insert(lun, balance) != Some(balance) {
                return Some(PeerEvent::QuotaChanged { volume, balance });
            }
        }
        // All volumes are checked again at the next call: a datagram at the same time may have changed a quota.
        self.checked_at = None;
        None
    }

    /// Returns the request that applies an override event of a peer at this host. `None` means that there is nothing to apply: the target
    /// can't be parsed, or the override to clear is not active here.
    fn request_for_override_event(&self, event: OverrideEvent) -> Option<AdminRequest> {
        match event {
            OverrideEvent::Set { origin, record, seconds } => {
                let kind = match record.kind {
                    OverrideKind::Out => Kind::OutOfService,
                    OverrideKind::Pinned => Kind::Pinned,
                    OverrideKind::Weight(weight) => Kind::Weight(f64::from(weight)),
                };
                let target = record.target.parse().ok()?;
                let (reason, who, origin) = (record.reason, record.who, Some(origin));
                let override_request = OverrideRequest { target, kind, reason, who, seconds, origin };
                // The host where the override was set has checked which nodes it takes out of service. All hosts must apply it, even
                // those whose own check would refuse it.
                Some(AdminRequest::Set { override_request, force: true, dry_run: false, if_version: None })
            }
            OverrideEvent::Clear { origin } => {
                let mut origins = self.origins.iter();
                let (id, _) = origins.find(|(_, known)| **known == origin)?;
                let id = *id;
                Some(AdminRequest::Clear { id, who: format!("host {}", origin.slot) })
            }
        }
    }
}

/// Converts an override to the record that is sent to peers.
fn override_record(record: &Override, origin: Origin, left_s: f64) -> OverrideRecord {
    OverrideRecord {
        slot: origin.slot,
        generation: origin.generation,
        number: origin.number,
        kind: match record.kind {
            Kind::OutOfService => OverrideKind::Out,
            Kind::Pinned => OverrideKind::Pinned,
            Kind::Weight(weight) => OverrideKind::Weight(weight as f32),
        },
        target: record.target.to_string(),
        reason: record.reason.clone(),
        who: record.who.clone(),
        remaining_ms: (left_s.max(0.0) * 1e3) as u64,
        total_ms: record.ends_us.saturating_sub(record.set_us) / 1000,
        cleared: false,
    }
}
