//! Datagrams of peers: the service rates of shards, which hosts store for each other.

use super::{Host, StartError};
use crate::poller::{Poller, Token, READ};
use crate::service_rate_replication::{Datagram, ServiceRateReplication, MAX_DATAGRAM_BYTES};
use std::net::{SocketAddr, UdpSocket};
use tackmast::interface::{Instant, ShardId};
use tackmast_platform::Configuration;

/// Datagrams received in one iteration of the loop.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;

/// The datagram socket towards peers, and what is replicated over it.
pub(super) struct PeerLink {
    socket: UdpSocket,
    service_rates: ServiceRateReplication,
}

impl PeerLink {
    /// Opens the socket, if the configuration names peers.
    pub(super) fn open(
        now: Instant,
        configuration: &Configuration,
        poller: &Poller,
    ) -> Result<Option<Self>, StartError> {
        let Some(peers) = &configuration.peers else { return Ok(None) };
        let socket = bind_peer_socket(peers.listen, poller)
            .map_err(|problem| StartError::PeerListen { address: peers.listen, problem })?;
        let me = configuration.settings.me as usize;
        let service_rates = ServiceRateReplication::new(now, me, peers.hosts.clone());
        Ok(Some(PeerLink { socket, service_rates }))
    }

    /// Datagrams that were malformed, from no peer, or not asked for.
    pub(super) fn rejected_datagrams(&self) -> u64 {
        self.service_rates.rejected_datagrams
    }

    /// Sends the datagrams that are due now. `rates`: units a second of each shard.
    pub(super) fn handle_timeout(&mut self, now: Instant, rates: impl FnOnce() -> Vec<(ShardId, f64)>) {
        let datagrams = self.service_rates.handle_timeout(now, rates);
        self.send(datagrams);
    }

    /// Stores the rates, in units a second, at peers, as this host shuts down.
    pub(super) fn replicate(&mut self, rates: Vec<(ShardId, f64)>) {
        let datagrams = self.service_rates.replicate(rates);
        self.send(datagrams);
    }

    /// Receives datagrams, a bounded number in each iteration, and answers them. Gives the rates that were restored by them.
    fn receive(&mut self, now: Instant) -> Vec<(ShardId, f64)> {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            let Ok((len, from)) = self.socket.recv_from(&mut bytes) else { break };
            let answers = self.service_rates.handle_datagram(now, from, &bytes[..len]);
            self.send(answers);
        }
        self.service_rates.poll_restored()
    }

    fn send(&self, datagrams: Vec<Datagram>) {
        for datagram in datagrams {
            // A datagram that is lost here is lost like any other.
            _ = self.socket.send_to(&datagram.bytes, datagram.to);
        }
    }
}

impl Host {
    /// Receives datagrams of peers, and gives the core the service rates that they restore.
    pub(super) fn receive_peer_datagrams(&mut self, now: Instant) {
        let Some(peers) = &mut self.peers else { return };
        let restored = peers.receive(now);
        if !restored.is_empty() {
            tracing::info!(
                shards = restored.len(),
                "service rates of shards restored from peers after a restart"
            );
        }
        self.restored_shards += restored.len();
        for (shard, rate) in restored {
            self.core.restore_service_rate(now, shard, rate);
        }
    }
}

fn bind_peer_socket(address: SocketAddr, poller: &Poller) -> std::io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    poller.add(&socket, Token::Peers, READ)?;
    Ok(socket)
}
