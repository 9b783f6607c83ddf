//! The other hosts, as the host core follows them: quota leases, how many are alive, and overrides that were set
//! elsewhere. A host that receives nothing goes on with what it has.

use crate::layout::Layout;
use crate::override_requests::{AdminRequest, AdminResponse};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_config::{HostSettings, MembershipBlock};
use tackmast_membership::{
    CatalogUpdate, Extensions, KnownPeer, LeaseSettings, Member, MemberSettings, MembershipEvent,
    NodeListEvent, Output, OverrideEvent, OverrideKind, OverrideRecord, PersistedMembers, PreviousExit,
    QuotaBalance, SharedLimit, ViewSettings,
};
use tackmast_overrides::{Kind, Order, Origin, Override, OverrideId};
use tackmast_wire::peer::Body;

/// Requests that follow from peers' overrides have numbers from here on.
const FIRST_PEER_REQUEST: u64 = 1 << 63;

/// Membership, quota leases and replicated overrides of one host, and what the core was notified of.
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
    /// Of a volume by its place.
    QuotaMoved {
        volume: usize,
        m: QuotaBalance,
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
    NodeList(NodeListEvent),
    ConsensusMessage {
        from: SocketAddr,
        slot: u32,
        body: Body,
    },
}

/// What a host's settings make of it as a member. `address` is where it listens; `recalled` are hosts that an earlier generation
/// knew.
pub fn member_settings(
    s: &HostSettings,
    m: &MembershipBlock,
    address: SocketAddr,
    generation: u64,
    previous_exit: PreviousExit,
    seed: u64,
    recalled: Vec<KnownPeer>,
) -> MemberSettings {
    let secs = TimeDelta::from_secs;
    let shared_limits = s.volumes.iter().filter(|v| !v.through.is_empty()).map(|v| SharedLimit {
        volume: v.lun,
        limit: s.plans[v.plan as usize].limit,
        owners: v.through.clone(),
    });
    MemberSettings {
        fleet: m.fleet.clone(),
        slot: s.host.number,
        generation,
        address: m.advertise.unwrap_or(address),
        site: s.host.site,
        persisted: recalled,
        seeds: m.seeds.clone(),
        allowed_networks: m.admit.clone(),
        view: ViewSettings {
            protocol_period: secs(m.period_ms / 1e3),
            max_hosts: s.host.hosts as usize,
            extensions: Extensions::all(),
        },
        leases: LeaseSettings {
            term: secs(m.term_s),
            leave_term: secs(m.leave_s),
            drift: m.drift,
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
    /// Takes this host in among others.
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
    pub fn add_override(&mut self, now: Instant, o: &Override, left_s: f64) {
        let Some(origin) = o.origin else { return };
        self.origins.insert(o.id, origin);
        self.member.add_override(now, override_record(o, origin, left_s));
    }

    /// Replicates an override that was set or cleared here.
    pub fn handle_override_response(&mut self, now: Instant, response: &AdminResponse) {
        match response {
            AdminResponse::Set { record, dry_run: false, .. } => {
                let left_s = record.ends_us.saturating_sub(record.set_us) as f64 / 1e6;
                self.add_override(now, record, left_s);
            }
            AdminResponse::Cleared { id } => {
                if let Some(name) = self.origins.remove(id) {
                    self.member.clear_override(name);
                }
            }
            _ => {}
        }
    }

    /// What follows next from messages and the time; none: nothing more at this moment.
    pub fn next(&mut self, now: Instant, layout: &Layout) -> Option<PeerEvent> {
        if let Some(o) = self.member.poll_output() {
            return Some(match o {
                Output::Send { to, bytes } => PeerEvent::Send { to, bytes },
                Output::Event(event) => PeerEvent::Event(event),
                Output::CatalogUpdate(p) => PeerEvent::CatalogUpdate(p),
                Output::Persist(r) => PeerEvent::Persist(r),
                Output::NodeList(c) => PeerEvent::NodeList(c),
                Output::Consensus { from, slot, body } => PeerEvent::ConsensusMessage { from, slot, body },
                Output::Override(d) => match self.request_of_event(d) {
                    Some(admin_request) => {
                        self.last_request += 1;
                        PeerEvent::AdminRequest { request: self.last_request, admin_request }
                    }
                    None => return self.next(now, layout),
                },
            });
        }
        // Who has not been heard of counts as there: hosts that start at once, each thinking itself alone, would all send
        // as if they were.
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
            let (Some(m), Some(volume)) = (self.member.quota_balance(now, lun), layout.volume_of(lun)) else {
                continue;
            };
            if self.quota_balances.insert(lun, m) != Some(m) {
                return Some(PeerEvent::QuotaMoved { volume, m });
            }
        }
        // Checked again at each call: a datagram of the same moment may have moved something.
        self.checked_at = None;
        None
    }

    fn request_of_event(&self, d: OverrideEvent) -> Option<AdminRequest> {
        match d {
            OverrideEvent::Set { origin, record: order, seconds } => {
                let kind = match order.kind {
                    OverrideKind::Out => Kind::OutOfService,
                    OverrideKind::Pinned => Kind::Pinned,
                    OverrideKind::Weight(w) => Kind::Weight(f64::from(w)),
                };
                let target = order.target.parse().ok()?;
                let (reason, who, origin) = (order.reason, order.who, Some(origin));
                let order = Order { target, kind, reason, who, seconds, origin };
                // The host where it was set checked what it would take out; here it applies as there.
                Some(AdminRequest::Set { order, force: true, dry_run: false, if_version: None })
            }
            OverrideEvent::Clear { origin } => {
                let id = self.origins.iter().find(|(_, n)| **n == origin).map(|(id, _)| *id)?;
                Some(AdminRequest::Clear { id, who: format!("host {}", origin.slot) })
            }
        }
    }
}

fn override_record(o: &Override, origin: Origin, left_s: f64) -> OverrideRecord {
    OverrideRecord {
        slot: origin.slot,
        generation: origin.generation,
        number: origin.number,
        kind: match o.kind {
            Kind::OutOfService => OverrideKind::Out,
            Kind::Pinned => OverrideKind::Pinned,
            Kind::Weight(w) => OverrideKind::Weight(w as f32),
        },
        target: o.target.to_string(),
        reason: o.reason.clone(),
        who: o.who.clone(),
        remaining_ms: (left_s.max(0.0) * 1e3) as u64,
        total_ms: o.ends_us.saturating_sub(o.set_us) / 1000,
        cleared: false,
    }
}
