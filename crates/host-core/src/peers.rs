//! The other hosts, as the host core follows them: quota leases, how many are alive, and overrides that were set elsewhere. A host that
//! receives nothing keeps what it has.

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

/// Requests that follow from peers' overrides have numbers from this one on.
const FIRST_PEER_REQUEST: u64 = 1 << 63;

/// Membership, quota leases and replicated overrides of one host, and what the core knows of them already.
pub struct Peers {
    /// The member that this host is.
    pub member: Member,
    max_hosts: u32,
    alive_hosts: u32,
    quota_balances: BTreeMap<u32, QuotaBalance>,
    /// Volumes whose quota leases are still to be checked in this round.
    volumes_to_check: Vec<u32>,
    checked_at: Option<Instant>,
    origins: BTreeMap<OverrideId, Origin>,
    last_request: u64,
}

/// What follows from messages of peers, and from the time.
pub enum PeerEvent {
    AliveHosts(u32),
    /// The quota of a volume, by its index in the layout, has changed.
    QuotaChanged {
        volume: usize,
        balance: QuotaBalance,
    },
    Send {
        to: SocketAddr,
        bytes: Bytes,
    },
    /// For the log.
    Event(MembershipEvent),
    AdminRequest {
        request: u64,
        admin_request: AdminRequest,
    },
    /// A change of plans.
    CatalogUpdate(CatalogUpdate),
    /// To be written down for the next generation.
    Persist(PersistedMembers),
    EndpointList(EndpointListNotice),
    ConsensusMessage {
        from: SocketAddr,
        slot: u32,
        body: Body,
    },
}

/// The settings of the member that a host is. `address` is where it listens; `persisted` are hosts that an earlier generation knew.
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

/// A generation of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostIdentity {
    /// The host's number.
    pub slot: u32,
    /// Its generation.
    pub generation: u64,
}

impl Peers {
    /// The member that this host is from now on.
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

    /// This host, as others name it.
    pub fn me(&self) -> HostIdentity {
        let me = self.member.view.me();
        HostIdentity { slot: me.slot, generation: me.generation }
    }

    /// Enables the replication of changes of plans, of which this host has these.
    pub fn enable_catalog(&mut self, plans: &crate::Plans) {
        let encoded_changes =
            plans.encoded_changes().map(|(number, text)| CatalogUpdate { number, text: Bytes::from(text) });
        self.member.catalog.enable(plans.newest_version(), encoded_changes);
    }

    /// Whether a request follows from an override that was set at another host.
    pub fn is_from_peer(request: u64) -> bool {
        request >= FIRST_PEER_REQUEST
    }

    /// An override that is active here, to be replicated to peers.
    pub fn add_override(&mut self, now: Instant, record: &Override, left_s: f64) {
        let Some(origin) = record.origin else { return };
        self.origins.insert(record.id, origin);
        self.member.add_override(now, override_record(record, origin, left_s));
    }

    /// Replicates an override that was set or cleared here.
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

    /// What follows next from messages and the time; none: nothing more at this moment.
    pub fn next(&mut self, now: Instant, layout: &Layout) -> Option<PeerEvent> {
        if let Some(output) = self.member.poll_output() {
            return Some(match output {
                Output::Send { to, bytes } => PeerEvent::Send { to, bytes },
                Output::Event(event) => PeerEvent::Event(event),
                Output::CatalogUpdate(update) => PeerEvent::CatalogUpdate(update),
                Output::Persist(members) => PeerEvent::Persist(members),
                Output::EndpointList(event) => PeerEvent::EndpointList(event),
                Output::Consensus { from, slot, body } => PeerEvent::ConsensusMessage { from, slot, body },
                Output::Override(event) => match self.request_of_event(event) {
                    Some(admin_request) => {
                        self.last_request += 1;
                        PeerEvent::AdminRequest { request: self.last_request, admin_request }
                    }
                    None => return self.next(now, layout),
                },
            });
        }
        // A host that has not been heard of counts as alive. Else hosts that start at the same time would each believe to be alone, and
        // together send many times what the nodes bear.
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

    fn request_of_event(&self, event: OverrideEvent) -> Option<AdminRequest> {
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
                // The host where the override was set has checked what it would take out of service. It must apply here as there, even if
                // this host would refuse it.
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

/// An override as it is sent to peers.
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
