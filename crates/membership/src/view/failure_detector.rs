//! SWIM's failure detector (section 3.1): pings one member in each protocol period, pings it indirectly through other
//! members if it does not answer, and suspects it if no indirect ping is answered either.

use super::{View, ViewFault};
use std::net::SocketAddr;
use tackmast::interface::Instant;
use tackmast_wire::peer::{Body, ProbeMessage};

/// Protocol periods after which an unanswered ping is followed by indirect pings.
const DIRECT_TIMEOUT_PERIODS: f64 = 0.3;
/// Protocol periods after which an unanswered probe has failed.
const INDIRECT_TIMEOUT_PERIODS: f64 = 0.9;
/// Number of members that are asked for an indirect ping (SWIM's parameter k).
const INDIRECT_PING_HELPERS: usize = 3;
/// Maximum number of pending pings on behalf of other members.
const MAX_RELAYS: usize = 64;
/// Maximum number of this host's own unanswered probes.
const MAX_PROBES: usize = 32;

/// A probe that the member has not answered yet.
#[derive(Clone, Debug)]
pub(super) struct Probe {
    pub seq: u32,
    pub slot: u32,
    /// Generation that was probed. If an earlier generation did not answer, that is no reason to suspect a later one.
    pub generation: u64,
    pub sent: Instant,
    /// Whether indirect pings were requested.
    pub indirect_sent: bool,
    /// When indirect pings are requested.
    pub indirect_pings_at: Instant,
    pub fails_at: Instant,
    /// Number of nacks: messages by which helpers report that the member did not answer them either (Lifeguard).
    pub nacks: usize,
}

/// A ping on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct RelayedPing {
    pub seq: u32,
    pub requester: SocketAddr,
    pub requester_seq: u32,
    pub target: u32,
    pub until: Instant,
}

impl View {
    /// Handles a probe message of a member.
    pub fn handle_message(&mut self, now: Instant, from: SocketAddr, slot: u32, message: &ProbeMessage) {
        match *message {
            ProbeMessage::Ping { seq } => self.send_probe(from, ProbeMessage::Ack { seq }, Some(slot)),
            ProbeMessage::Ack { seq } => {
                self.handle_probe_answer(now, seq, slot);
                self.relay_ack(seq, slot);
            }
            ProbeMessage::IndirectAck { seq, slot: target } => self.handle_probe_answer(now, seq, target),
            ProbeMessage::Nack { seq, slot: target } => {
                let is_probe = |probe: &&mut Probe| probe.seq == seq && probe.slot == target;
                if let Some(probe) = self.probes.iter_mut().find(is_probe) {
                    probe.nacks += 1;
                    self.last_answered = now;
                }
            }
            ProbeMessage::PingRequest { seq, slot: target } => self.relay_ping(now, from, seq, target),
        }
    }

    pub(super) fn send_probe(&mut self, to: SocketAddr, message: ProbeMessage, recipient: Option<u32>) {
        self.send(to, Body::Probe(message), recipient);
    }

    fn handle_probe_answer(&mut self, now: Instant, seq: u32, slot: u32) {
        let before = self.probes.len();
        self.probes.retain(|probe| probe.seq != seq || probe.slot != slot);
        if self.probes.len() < before {
            self.last_answered = now;
            self.improve_local_health();
        }
    }

    fn relay_ping(&mut self, now: Instant, requester: SocketAddr, requester_seq: u32, target: u32) {
        let Some(address) = self.address(target) else { return };
        let seq = self.next_seq();
        if self.relays.len() >= MAX_RELAYS {
            self.relays.pop_front();
        }
        let until = now + self.periods(DIRECT_TIMEOUT_PERIODS);
        self.relays.push_back(RelayedPing { seq, requester, requester_seq, target, until });
        self.send_probe(address, ProbeMessage::Ping { seq }, Some(target));
    }

    fn relay_ack(&mut self, seq: u32, target: u32) {
        let is_relay = |relay: &RelayedPing| relay.seq == seq && relay.target == target;
        let position = self.relays.iter().position(is_relay);
        if let Some(relay) = position.and_then(|index| self.relays.remove(index)) {
            let message = ProbeMessage::IndirectAck { seq: relay.requester_seq, slot: target };
            self.send_probe(relay.requester, message, None);
        }
    }

    /// Ends relays and probes that have timed out, and requests indirect pings for unanswered direct ones.
    pub(super) fn expire_probes(&mut self, now: Instant) {
        self.expire_relays(now);
        let mut index = 0;
        while index < self.probes.len() {
            let probe = self.probes[index].clone();
            if now >= probe.fails_at {
                self.probes.remove(index);
                self.handle_probe_failure(now, &probe);
                continue;
            }
            if now >= probe.indirect_pings_at && !probe.indirect_sent {
                self.probes[index].indirect_sent = true;
                self.request_indirect_pings(now, &probe);
            }
            index += 1;
        }
    }

    fn expire_relays(&mut self, now: Instant) {
        while let Some(index) = self.relays.iter().position(|relay| now >= relay.until) {
            let Some(relay) = self.relays.remove(index) else { break };
            if self.settings.extensions.local_health {
                let message = ProbeMessage::Nack { seq: relay.requester_seq, slot: relay.target };
                self.send_probe(relay.requester, message, None);
            }
        }
    }

    fn request_indirect_pings(&mut self, now: Instant, probe: &Probe) {
        for helper in self.random_members(now, INDIRECT_PING_HELPERS, Some(probe.slot)) {
            if let Some(address) = self.address(helper) {
                let message = ProbeMessage::PingRequest { seq: probe.seq, slot: probe.slot };
                self.send_probe(address, message, Some(helper));
            }
        }
    }

    /// Handles a failed probe, to which no answer came from the member or through a helper.
    ///
    /// If helpers sent no nacks at all, this host could not tell a dead member from a failure of its own link, and would
    /// suspect all members that it probes when its link fails. A nack shows that this host's datagrams arrive. If no helper
    /// sent one, the failed probe degrades the local health (extension `local_health`), and the member is not suspected if
    /// a datagram of it has arrived since the probe was sent.
    fn handle_probe_failure(&mut self, now: Instant, probe: &Probe) {
        let state = self.members.get(probe.slot).filter(|state| state.generation == probe.generation);
        let Some(state) = state else { return };
        let received_since = state.last_received.is_some_and(|received| received >= probe.sent);
        if self.settings.extensions.local_health && probe.nacks == 0 {
            self.degrade_local_health(1);
            // Datagrams of the member arrive, and no helper sent a nack, so the answers are probably lost near this host.
            if received_since {
                return;
            }
        }
        if !self.is_cut_off(now) {
            self.suspect(now, probe.slot);
        }
    }

    /// Starts the probes of a period: one, or two while a member is suspected and this host's own health is not bad
    /// (extension `suspicion_confirmation`). Members often fail together, and a second probe finds the other failures
    /// sooner.
    pub(super) fn start_probes(&mut self, now: Instant) {
        self.start_probe(now);
        let has_suspects = !self.members.suspects().is_empty();
        if has_suspects && self.settings.extensions.suspicion_confirmation && !self.local_health.is_bad() {
            self.start_probe(now);
        }
    }

    fn start_probe(&mut self, now: Instant) {
        let Some(slot) = self.next_probe_target(now) else { return };
        let Some(state) = self.members.get(slot) else { return };
        let (address, generation) = (state.address, state.generation);
        if self.probes.len() >= MAX_PROBES {
            return;
        }
        let seq = self.next_seq();
        let has_local_health = self.settings.extensions.local_health;
        let multiplier = if has_local_health { self.local_health.timeout_multiplier() } else { 1.0 };
        let after = |periods: f64| now + self.periods(periods * multiplier);
        self.probes.push(Probe {
            seq,
            slot,
            generation,
            sent: now,
            indirect_sent: false,
            indirect_pings_at: after(DIRECT_TIMEOUT_PERIODS),
            fails_at: after(INDIRECT_TIMEOUT_PERIODS),
            nacks: 0,
        });
        self.send_probe(address, ProbeMessage::Ping { seq }, Some(slot));
    }

    /// Returns the member to probe next. Members are probed in rounds, in an order that is shuffled for each round (SWIM,
    /// section 4.3).
    fn next_probe_target(&mut self, now: Instant) -> Option<u32> {
        let is_excluded =
            |slot: &u32| self.has_fault(ViewFault::ExcludesFlapping) && self.is_flapping(now, *slot);
        let live: Vec<u32> = self.live().iter().copied().filter(|slot| !is_excluded(slot)).collect();
        loop {
            match self.probe_order.pop() {
                Some(slot) if live.binary_search(&slot).is_ok() => return Some(slot),
                Some(_) => {}
                None if live.is_empty() => return None,
                None => self.shuffle_probe_order(&live),
            }
        }
    }

    /// Begins a round of all live members in a random order (Fisher-Yates shuffle).
    fn shuffle_probe_order(&mut self, live: &[u32]) {
        self.probe_order = live.to_vec();
        for last in (1..self.probe_order.len()).rev() {
            let other = self.random.rand_range(0..last as u64 + 1) as usize;
            self.probe_order.swap(last, other);
        }
    }

    /// Inserts a member that joins during a round at a random position of that round. Otherwise it would not be probed
    /// before the next round, and in a large fleet an early death would go unnoticed for that long.
    pub(super) fn add_to_probe_order(&mut self, slot: u32) {
        if !self.probe_order.contains(&slot) {
            let position = self.random.rand_range(0..self.probe_order.len() as u64 + 1) as usize;
            self.probe_order.insert(position, slot);
        }
    }
}
