//! Collects what the machines of a member have to send and to report.

use super::{Member, Output, MAX_OUTPUTS};
use crate::catalog_replication::CatalogEvent;
use crate::event::MembershipEvent;
use crate::quota_leases::{LeaseTransmit, PreviousExit, QuotaLeases};
use crate::view::{SiteHealth, TakeOver, ViewEvent};
use crate::{MemberId, Transmit};
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_wire::peer::{Body, Datagram, MemberUpdate};

/// Peers that the version of a new catalog update, or of a new endpoint list, is sent to at once.
const VERSION_FANOUT: usize = 3;

impl Member {
    /// Sends the view's messages. The view does not know of overrides, so their digest is filled in here. Beside each
    /// digest go the versions of the catalog and of the endpoint list.
    pub(super) fn flush_view_with_digests(&mut self, now: Instant) {
        let digest = self.overrides.digest(now);
        let transmits: Vec<Transmit> = std::iter::from_fn(|| self.view.poll_transmit()).collect();
        for Transmit { to, body, recipient } in transmits {
            let updates = self.view.piggyback(recipient);
            let Body::Digest { members, .. } = body else {
                self.send_datagram(to, body, updates);
                continue;
            };
            self.send_datagram(to, Body::Digest { members, overrides: digest }, updates);
            if self.catalog.is_enabled() {
                self.send(to, Body::Catalog(self.catalog.version_message(now)));
            }
            if self.endpoint_lists.is_enabled() {
                self.send(to, Body::EndpointList(self.endpoint_lists.version_message()));
            }
        }
    }

    /// Collects what the machines have to send and to report.
    pub(super) fn flush(&mut self, now: Instant) {
        self.handle_displacement(now);
        while let Some(Transmit { to, body, recipient }) = self.view.poll_transmit() {
            let updates = self.view.piggyback(recipient);
            self.send_datagram(to, body, updates);
        }
        while let Some(LeaseTransmit { to: slot, message }) = self.leases.poll_transmit() {
            let Some(to) = self.view.address(slot) else { continue };
            let updates = self.view.piggyback(Some(slot));
            self.send_datagram(to, Body::Lease(message), updates);
        }
        while let Some(event) = self.view.poll_event() {
            let event = self.to_membership_event(event);
            self.outputs.push_back(Output::Event(event));
        }
        while let Some(event) = self.overrides.poll_event() {
            self.outputs.push_back(Output::Override(event));
        }
        while let Some(transmit) = self.catalog.poll_transmit() {
            self.send(transmit.to, transmit.body);
        }
        while let Some(transmit) = self.endpoint_lists.poll_transmit() {
            self.send(transmit.to, transmit.body);
        }
        while let Some(event) = self.endpoint_lists.poll_event() {
            self.outputs.push_back(Output::EndpointList(event));
        }
        while let Some(event) = self.catalog.poll_event() {
            self.outputs.push_back(match event {
                CatalogEvent::Update(update) => Output::CatalogUpdate(update),
                CatalogEvent::Fork { slot, number } => {
                    Output::Event(MembershipEvent::CatalogFork { peer: slot, number })
                }
            });
        }
    }

    /// Another generation of this slot may run: the quota belongs to that one.
    fn handle_displacement(&mut self, now: Instant) {
        if let Some(take_over) = self.view.poll_take_over() {
            // At this host's own address no other process can listen: the later generation has ended, and its leases end
            // as after a crash. At another address silence proves nothing: the other process may be paused and use the
            // quota when it resumes, so this one must not.
            self.yields_quota |= take_over == TakeOver::OtherAddress;
            let me = self.view.me();
            let id = MemberId { slot: me.slot, generation: me.generation };
            let limits = self.shared_limits.clone();
            self.leases = QuotaLeases::new(now, id, self.lease_settings, limits, PreviousExit::Unclean);
        }
        if self.yields_quota || self.view.is_displaced() {
            self.leases.set_displaced();
        }
    }

    pub(super) fn send_datagram(&mut self, to: SocketAddr, body: Body, updates: Vec<MemberUpdate>) {
        let fleet = self.fleet.clone();
        let bytes = Datagram { fleet, sender: self.view.me(), body, updates }.to_bytes();
        // The new datagram is dropped, not the oldest output: that may be an override, which is reported only once. A lost
        // datagram is repeated by its protocol.
        if self.outputs.len() >= MAX_OUTPUTS {
            self.counters.dropped += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.outputs.push_back(Output::Send { to, bytes });
    }

    /// Sends a message, without member updates.
    pub fn send(&mut self, to: SocketAddr, body: Body) {
        self.send_datagram(to, body, Vec::new());
    }

    /// Sends a message to a few random members.
    pub(super) fn send_to_some(&mut self, now: Instant, body: &Body) {
        for slot in self.view.pick(now, VERSION_FANOUT, None) {
            if let Some(to) = self.view.address(slot) {
                self.send(to, body.clone());
            }
        }
    }

    /// A change of the view as operators read it, with what only the member knows of it.
    fn to_membership_event(&self, event: ViewEvent) -> MembershipEvent {
        let alive_hosts = self.live_count();
        match event {
            ViewEvent::Health { slot, health } => {
                MembershipEvent::HealthChanged { peer: slot, health, alive_hosts }
            }
            ViewEvent::Flapping { slot } => MembershipEvent::Flapping { peer: slot, alive_hosts },
            ViewEvent::Site { site, health } => match health {
                SiteHealth::FailedTogether { hosts } => MembershipEvent::SiteFailedTogether { site, hosts },
                SiteHealth::FailedOneByOne { hosts } => MembershipEvent::SiteFailedOneByOne { site, hosts },
                SiteHealth::Left => MembershipEvent::SiteLeft { site },
                SiteHealth::Reachable => MembershipEvent::SiteReachable { site },
            },
            ViewEvent::Paused { duration } => MembershipEvent::Paused { duration },
            ViewEvent::LocalHealth { score: 0 } => MembershipEvent::LocalHealthGood,
            ViewEvent::LocalHealth { score } => MembershipEvent::LocalHealthBad { score },
            ViewEvent::Displaced { generation } => MembershipEvent::Displaced { generation },
            ViewEvent::TookOver { generation } => {
                MembershipEvent::TookOver { generation, uses_shared_quota: !self.yields_quota }
            }
        }
    }
}
