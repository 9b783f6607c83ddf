//! Handles datagrams of peers: validates them and dispatches their messages.

use super::{Member, Output, MAX_OUTPUTS};
use crate::MemberId;
use bytes::Bytes;
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_wire::peer::{Body, Datagram, Health, MemberUpdate, OverrideRecord, MAX_OVERRIDES};

/// Maximum number of datagrams with member updates that are sent in answer to one digest.
const MAX_DIGEST_BATCHES: usize = 32;
/// Maximum number of overrides that are sent in answer to one digest.
const MAX_DIGEST_OVERRIDES: usize = 64;

impl Member {
    /// Handles a received datagram. Invalid datagrams and those of other fleets are dropped and counted.
    pub fn handle_datagram(&mut self, now: Instant, from: SocketAddr, bytes: Bytes) {
        let Some(datagram) = self.decode(from, bytes) else { return };
        let Datagram { sender, body, updates, .. } = datagram;
        if sender.slot == self.view.me().slot {
            // Another process uses this slot. It is not a peer, whichever of the two processes is the later one.
            self.counters.rejected += 1;
            self.view.handle_duplicate_id(now, sender, from);
            return self.flush(now);
        }
        self.counters.received += 1;
        let id = MemberId { slot: sender.slot, generation: sender.generation };
        let known_generation = self.view.generation(id.slot);
        self.merge_sender(now, from, sender, known_generation);
        self.merge_updates(now, updates);
        if known_generation.is_some_and(|known| known > id.generation) {
            // An earlier generation of the peer still runs. Its message is ignored, as its leases and probes are not those
            // of the later one. The answer informs it that it is displaced.
            self.send_state_of(id.slot, from);
            return self.flush(now);
        }
        // A lease message from an address other than the peer's may be forged. If a forged lease were accepted, this host
        // would use quota that its owner uses as well.
        if matches!(body, Body::Lease(_)) && !self.is_known_address(id.slot, from) {
            return;
        }
        self.handle_body(now, from, id, body);
        self.flush(now);
    }

    fn decode(&mut self, from: SocketAddr, bytes: Bytes) -> Option<Datagram> {
        if !self.is_allowed(&from) {
            self.counters.rejected += 1;
            return None;
        }
        let Ok(datagram) = Datagram::decode(bytes) else {
            self.counters.malformed += 1;
            return None;
        };
        if datagram.fleet != self.fleet {
            self.counters.other_fleets += 1;
            return None;
        }
        if !self.is_allowed(&datagram.sender.address) {
            self.counters.rejected += 1;
            return None;
        }
        Some(datagram)
    }

    /// Merges the sender's own state. Without that extension it merges only that a new generation of the sender is alive.
    fn merge_sender(
        &mut self,
        now: Instant,
        from: SocketAddr,
        sender: MemberUpdate,
        known_generation: Option<u64>,
    ) {
        let MemberUpdate { slot, generation, .. } = sender;
        let is_new = known_generation.is_none_or(|known| known < generation);
        if is_new {
            self.leases.handle_new_generation(now, MemberId { slot, generation });
        }
        if self.sender_state {
            self.view.merge(now, sender);
        } else if is_new {
            let health = Health::Alive;
            self.view.merge(now, MemberUpdate { incarnation: 0, health, address: from, ..sender });
        }
        self.view.handle_received(now, slot, generation);
    }

    fn merge_updates(&mut self, now: Instant, updates: Vec<MemberUpdate>) {
        for update in updates {
            if self.is_allowed(&update.address) {
                self.view.merge(now, update);
            } else {
                self.counters.rejected += 1;
            }
        }
    }

    /// Sends the known state of a slot.
    fn send_state_of(&mut self, slot: u32, to: SocketAddr) {
        let updates = self.view.all_updates().into_iter().flatten();
        let updates = updates.filter(|update| update.slot == slot).collect();
        self.send_datagram(to, Body::Gossip, updates);
    }

    fn is_known_address(&mut self, slot: u32, from: SocketAddr) -> bool {
        let is_known = self.view.address(slot) == Some(from);
        self.counters.wrong_address += u64::from(!is_known);
        is_known
    }

    fn handle_body(&mut self, now: Instant, from: SocketAddr, id: MemberId, body: Body) {
        match body {
            Body::Probe(message) => self.view.handle_message(now, from, id.slot, &message),
            Body::Digest { members, overrides } => self.handle_digest(now, from, members, overrides),
            Body::Gossip => {}
            Body::Lease(message) => self.leases.handle_message(now, id, message),
            Body::Overrides(records) => {
                records.into_iter().for_each(|record| self.overrides.merge(now, record));
            }
            Body::Catalog(message) => self.catalog.handle_message(now, from, id.slot, &message),
            Body::EndpointList(message) => self.endpoint_lists.handle_message(now, from, message),
            Body::Consensus { .. } | Body::ConsensusChunk { .. } | Body::ConsensusChunkRequest { .. } => {
                self.handle_consensus(from, id.slot, body);
            }
        }
    }

    fn handle_consensus(&mut self, from: SocketAddr, slot: u32, body: Body) {
        if !self.is_known_address(slot, from) {
            return;
        }
        if self.outputs.len() < MAX_OUTPUTS {
            self.outputs.push_back(Output::Consensus { from, slot, body });
        } else {
            self.counters.dropped += 1;
        }
    }

    /// Answers a digest that differs from this host's with the members or overrides that are known here (anti-entropy).
    fn handle_digest(&mut self, now: Instant, from: SocketAddr, members: u32, overrides: u32) {
        if members != self.view.digest() {
            self.view.handle_digest_mismatch(now);
            self.send_members(from);
        }
        if overrides != self.overrides.digest(now) {
            self.send_overrides(now, from);
        }
    }

    /// Sends member updates, starting where the last answer ended, as one answer does not hold a fleet of many hundreds.
    fn send_members(&mut self, to: SocketAddr) {
        let mut batches = self.view.all_updates();
        let first = self.next_update_batch % batches.len().max(1);
        batches.rotate_left(first);
        batches.truncate(MAX_DIGEST_BATCHES);
        self.next_update_batch = first + batches.len();
        batches.into_iter().for_each(|updates| self.send_datagram(to, Body::Gossip, updates));
    }

    /// Sends overrides, starting where the last answer ended.
    fn send_overrides(&mut self, now: Instant, to: SocketAddr) {
        let records = self.overrides.records(now);
        if records.is_empty() {
            return;
        }
        let first = self.next_override % records.len();
        let count = MAX_DIGEST_OVERRIDES.min(records.len());
        let batch: Vec<OverrideRecord> = records.iter().cycle().skip(first).take(count).cloned().collect();
        self.next_override = first + batch.len();
        for records in batch.chunks(MAX_OVERRIDES) {
            self.send(to, Body::Overrides(records.to_vec()));
        }
    }
}
