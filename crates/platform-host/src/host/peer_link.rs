//! The datagram socket towards peers, over which hosts replicate the service rates of shards.

use super::{Host, StartError};
use crate::poller::{Poller, Token, READ};
use crate::service_rate_replication::{Datagram, ServiceRateReplication, MAX_DATAGRAM_BYTES};
use std::net::{SocketAddr, UdpSocket};
use tackmast::interface::{Instant, ShardId};
use tackmast_platform::Configuration;

/// Maximum number of datagrams received in one iteration.
const MAX_DATAGRAMS_PER_ITERATION: usize = 64;

/// The datagram socket towards peers, and the service rates that are replicated over it.
pub(super) struct PeerLink {
    socket: UdpSocket,
    service_rates: ServiceRateReplication,
}

impl PeerLink {
    /// Opens the socket. Returns `None` if the configuration names no peers.
    pub(super) fn open(
        now: Instant,
        configuration: &Configuration,
        poller: &Poller,
    ) -> Result<Option<Self>, StartError> {
        let Some(peers) = &configuration.peers else { return Ok(None) };
        let socket = bind_peer_socket(peers.listen, poller)
            .map_err(|problem| StartError::PeerListen { address: peers.listen, problem })?;
        let me = configuration.settings.host_number as usize;
        let service_rates = ServiceRateReplication::new(now, me, peers.hosts.clone());
        Ok(Some(PeerLink { socket, service_rates }))
    }

    /// Returns the number of datagrams that were malformed, unsolicited, or not from a peer.
    pub(super) fn rejected_datagrams(&self) -> u64 {
        self.service_rates.rejected_datagrams
    }

    /// Sends the datagrams that are due now. `rates` gives the service rate of each shard, in units a second.
    pub(super) fn handle_timeout(&mut self, now: Instant, rates: impl FnOnce() -> Vec<(ShardId, f64)>) {
        let datagrams = self.service_rates.handle_timeout(now, rates);
        self.send(datagrams);
    }

    /// Replicates the rates, in units a second, to the peers; called when this host shuts down.
    pub(super) fn replicate(&mut self, rates: Vec<(ShardId, f64)>) {
        let datagrams = self.service_rates.replicate(rates);
        self.send(datagrams);
    }

    /// Receives and answers a bounded number of datagrams. Returns the service rates that they restored, in units a second.
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
            // The protocol tolerates lost datagrams, so an error is treated as a loss.
            _ = self.socket.send_to(&datagram.bytes, datagram.to);
        }
    }
}

impl Host {
    /// Receives datagrams of peers, and passes the restored service rates to the core.
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
