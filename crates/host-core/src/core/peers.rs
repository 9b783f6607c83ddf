//! Datagrams from peers, and the events that follow from them.

use super::Core;
use crate::event::{HostEvent, PlanEvent};
use crate::output::Output;
use crate::peers::{PeerEvent, Peers};
use crate::persist_batch::PersistBatch;
use bytes::Bytes;
use tackmast::interface::{Instant, LeaseChange, PlanId, QuotaLeases, VolumeId};
use tackmast_membership::{CatalogUpdate, QuotaBalance};

impl Core {
    /// Makes this host take part in membership.
    pub fn enable_peers(&mut self, now: Instant, peers: Peers) {
        if let Some(override_requests) = &mut self.override_requests {
            override_requests.me = Some(peers.me());
        }
        self.peers = Some(peers);
        let is_replicated_by_peers = self.consensus.is_none();
        if let Some((peers, plans)) = self.peers.as_mut().zip(self.plans.as_ref()) {
            if is_replicated_by_peers {
                peers.enable_catalog(plans);
            }
        }
        self.apply_plan_updates(now, &[]);
        let requests = self.override_requests.as_ref();
        let active = requests.map(|requests| requests.overrides.list(now)).unwrap_or_default();
        if let Some(peers) = &mut self.peers {
            active.iter().for_each(|(record, left_s)| peers.add_override(now, record, *left_s));
        }
        self.process_peer_events(now);
    }

    /// Handles a datagram from another host.
    pub fn handle_datagram(&mut self, now: Instant, from: std::net::SocketAddr, bytes: Bytes) {
        if let Some(peers) = &mut self.peers {
            peers.member.handle_datagram(now, from, bytes);
            self.process_peer_events(now);
        }
    }

    /// Begins to leave gracefully, which lends this host's quota to others.
    ///
    /// The caller must have persisted before that the host leaves. Otherwise the host's next generation would use quota that is still
    /// lent.
    pub fn begin_leave(&mut self, now: Instant) {
        if let Some(peers) = &mut self.peers {
            peers.member.begin_leave(now);
            self.process_peer_events(now);
        }
    }

    /// Sends the last message of a leave to the peers.
    pub fn announce_leave(&mut self, now: Instant) {
        if let Some(peers) = &mut self.peers {
            peers.member.announce_leave(now);
            self.process_peer_events(now);
        }
    }

    /// Returns whether this host has begun to leave.
    pub fn is_leaving(&self) -> bool {
        self.peers.as_ref().is_some_and(|peers| peers.member.leases.is_leaving())
    }

    /// Returns whether all quota leases of an earlier generation's leave have ended, so that its persisted mark may be removed.
    pub fn have_earlier_leases_ended(&self, now: Instant) -> bool {
        self.peers.as_ref().is_none_or(|peers| peers.member.leases.have_earlier_leases_ended(now))
    }

    /// Processes the events that follow from peer messages and timeouts.
    pub(super) fn process_peer_events(&mut self, now: Instant) {
        loop {
            let Some(peers) = &mut self.peers else { return };
            let Some(next) = peers.poll_event(now, &self.layout) else { return };
            match next {
                PeerEvent::AliveHosts(hosts) => self.scheduler.alive_hosts_changed(hosts),
                PeerEvent::QuotaChanged { volume, balance } => {
                    self.handle_quota_changed(now, volume, balance);
                }
                PeerEvent::Send { to, bytes } => self.outputs.push_back(Output::Datagram { to, bytes }),
                PeerEvent::Event(event) => self.emit(HostEvent::Membership(event)),
                PeerEvent::AdminRequest { request, admin_request } => {
                    self.handle_admin_request(now, request, admin_request)
                }
                PeerEvent::Persist(members) => {
                    let batch = PersistBatch { members: Some(members), ..PersistBatch::default() };
                    self.persist(batch);
                }
                PeerEvent::EndpointList(event) => self.handle_peer_list_notice(now, event),
                PeerEvent::ConsensusMessage { from, slot, body } => {
                    self.handle_consensus_message(now, from, slot, body)
                }
                PeerEvent::CatalogUpdate(update) => self.handle_catalog_update(now, &update),
            }
        }
    }

    fn handle_quota_changed(&mut self, now: Instant, volume: usize, balance: QuotaBalance) {
        let QuotaBalance { lent, borrowed, until, .. } = balance;
        let settings = self.layout.volume(volume);
        let change = LeaseChange {
            volume: VolumeId(volume as u32),
            plan: PlanId(settings.plan),
            hosts: settings.hosts,
            leases: QuotaLeases { lent, borrowed, until },
        };
        self.scheduler.quota_leases_changed(now, change);
    }

    /// Handles a change of plans that a peer sent. The change is applied if it is the next one.
    fn handle_catalog_update(&mut self, now: Instant, update: &CatalogUpdate) {
        let (Some(peers), Some(plans)) = (&mut self.peers, &mut self.plans) else { return };
        let effective_at = peers.member.catalog.deadline(update.number, now);
        match plans.apply_peer_change(&update.text, effective_at) {
            Ok(change) => self.apply_and_persist_change(now, change),
            Err(error) => {
                peers.member.catalog.handle_rejected();
                let (change, error) = (Some(update.number), error.to_string());
                self.emit(PlanEvent::ChangeRejected { change, error });
            }
        }
    }
}
