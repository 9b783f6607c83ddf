//! Collects the messages and events of a member's state machines as outputs.

use super::{Member, Output, MAX_OUTPUTS};
use crate::catalog_replication::CatalogEvent;
use crate::event::MembershipEvent;
use crate::quota_leases::{LeaseTransmit, PreviousExit, QuotaLeases};
use crate::view::{SiteHealth, TakeOver, ViewEvent};
use crate::{MemberId, Transmit};
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_wire::peer::{Body, Datagram, MemberUpdate};

/// Number of peers that are sent the version of a new catalog update or endpoint list at once.
const VERSION_FANOUT: usize = 3;

impl Member {
    /// Sends the view's messages. The view knows nothing of overrides, so their digest is filled in here. The versions of
    /// the catalog and of the endpoint list are sent along with each digest.
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

    /// Moves the messages and events of all state machines to the outputs.
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

    /// Stops the use of shared quota while another generation of this slot may use it.
    fn handle_displacement(&mut self, now: Instant) {
        if let Some(take_over) = self.view.poll_take_over() {
            // No other process can listen at this host's own address, so the later generation has ended there, and its
            // leases end as after a crash. At another address silence proves nothing: the other process may be paused, and
            // would use the quota when it resumes, so this one must not use it.
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
        // The new datagram is dropped rather than the oldest output, which may be an override that is reported only once.
        // The protocols recover from the loss of a datagram.
        if self.outputs.len() >= MAX_OUTPUTS {
            self.counters.dropped += 1;
            return;
        }
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.outputs.push_back(Output::Send { to, bytes });
    }

    /// Sends a message to a peer, without piggybacked member updates.
    pub fn send(&mut self, to: SocketAddr, body: Body) {
        self.send_datagram(to, body, Vec::new());
    }

    /// Sends a message to a few random members.
    pub(super) fn send_to_random_members(&mut self, now: Instant, body: &Body) {
        for slot in self.view.random_members(now, VERSION_FANOUT, None) {
            if let Some(to) = self.view.address(slot) {
                self.send(to, body.clone());
            }
        }
    }

    /// Converts an event of the view to one for operators, and adds the fields that only the member knows.
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
