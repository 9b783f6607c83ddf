//! Datagrams between hosts. Each host has a proxy, at which the others reach it and from which its own datagrams come.

use super::{Endpoint, Network};
use crate::threads::{lock, spawn};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Condvar, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Datagrams that are delayed at the same time at most; beyond that they are lost.
const MAX_DELAYED: usize = 100_000;
/// Bytes of a datagram at most.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// How long the thread of delayed datagrams waits at most.
const DELAY_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a proxy waits for a datagram before it looks whether the network has stopped.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

/// Orders delayed datagrams by the time at which they are sent, and those of one time by their arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DelayKey {
    send_at: Instant,
    number: u64,
}

struct DelayedDatagram {
    /// The sender's proxy.
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    bytes: Vec<u8>,
}

#[derive(Default)]
struct DelayQueue {
    datagrams: BTreeMap<DelayKey, DelayedDatagram>,
    last_number: u64,
}

#[derive(Default)]
struct SharedDelayQueue {
    queue: Mutex<DelayQueue>,
    changed: Condvar,
}

/// The proxy of a host.
#[derive(Clone)]
struct HostProxy {
    host: u32,
    socket: Arc<UdpSocket>,
}

/// By the address at which the process itself listens.
type HostProxies = RwLock<HashMap<SocketAddr, HostProxy>>;

/// The proxies of all hosts for datagrams.
pub struct DatagramProxies {
    network: Network,
    seed: u64,
    proxies: Arc<HostProxies>,
    delayed: Arc<SharedDelayQueue>,
}

impl DatagramProxies {
    /// Without any host; what happens by chance is drawn from the seed.
    pub fn start(network: Network, seed: u64) -> io::Result<DatagramProxies> {
        let delayed: Arc<SharedDelayQueue> = Arc::default();
        let (sender, sender_network) = (delayed.clone(), network.clone());
        spawn("late datagrams", move || sender.send_when_due(&sender_network))?;
        Ok(DatagramProxies { network, seed, proxies: Arc::default(), delayed })
    }

    /// Adds a host's process, which listens at `address`; the others reach it at `proxy_address`. A host that was added before is
    /// reached at its new proxy alone.
    pub fn add_host(&self, host: u32, proxy_address: SocketAddr, address: SocketAddr) -> io::Result<()> {
        let socket = Arc::new(UdpSocket::bind(proxy_address)?);
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        {
            let mut proxies = self.proxies.write().unwrap_or_else(PoisonError::into_inner);
            proxies.retain(|_, proxy| proxy.host != host);
            proxies.insert(address, HostProxy { host, socket: socket.clone() });
        }
        let mut receiver = Receiver {
            host,
            address,
            socket,
            network: self.network.clone(),
            proxies: self.proxies.clone(),
            delayed: self.delayed.clone(),
            random: oorandom::Rand64::new(u128::from(self.seed) << 32 | u128::from(host)),
        };
        spawn("datagrams", move || receiver.run())
    }
}

/// Receives the datagrams to one host at its proxy.
struct Receiver {
    host: u32,
    /// The address at which the process itself listens.
    address: SocketAddr,
    socket: Arc<UdpSocket>,
    network: Network,
    proxies: Arc<HostProxies>,
    delayed: Arc<SharedDelayQueue>,
    random: oorandom::Rand64,
}

impl Receiver {
    fn run(&mut self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while !self.network.is_stopped() {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer) else { continue };
            // A process that is no host of this network has no path.
            let (Some(sender), Some(own)) = (self.proxy_of(&from), self.proxy_of(&self.address)) else {
                continue;
            };
            if !Arc::ptr_eq(&own.socket, &self.socket) {
                // The host has moved to another proxy.
                return;
            }
            self.forward(&sender, &buffer[..length]);
        }
    }

    fn proxy_of(&self, address: &SocketAddr) -> Option<HostProxy> {
        self.proxies.read().unwrap_or_else(PoisonError::into_inner).get(address).cloned()
    }

    /// Passes a datagram on with the faults of its path.
    fn forward(&mut self, sender: &HostProxy, bytes: &[u8]) {
        let path = self.network.path(Endpoint::Host(sender.host), Endpoint::Host(self.host));
        let copies = if self.random.rand_float() < path.duplicates { 2 } else { 1 };
        for _ in 0..copies {
            if path.is_cut || self.random.rand_float() < path.loss {
                continue;
            }
            if path.max_delay_s <= 0.0 {
                _ = sender.socket.send_to(bytes, self.address);
                continue;
            }
            let delay = Duration::from_secs_f64(path.max_delay_s * self.random.rand_float());
            let datagram =
                DelayedDatagram { socket: sender.socket.clone(), to: self.address, bytes: bytes.to_vec() };
            self.delayed.push(Instant::now() + delay, datagram);
        }
    }
}

impl SharedDelayQueue {
    /// Delays a datagram; it is lost if too many are delayed already.
    fn push(&self, send_at: Instant, datagram: DelayedDatagram) {
        let mut queue = lock(&self.queue);
        if queue.datagrams.len() >= MAX_DELAYED {
            return;
        }
        queue.last_number += 1;
        let number = queue.last_number;
        queue.datagrams.insert(DelayKey { send_at, number }, datagram);
        self.changed.notify_all();
    }

    /// Sends each datagram at its time, until the network stops.
    fn send_when_due(&self, network: &Network) {
        let mut queue = lock(&self.queue);
        while !network.is_stopped() {
            let now = Instant::now();
            while let Some(next) = queue.datagrams.first_entry().filter(|next| next.key().send_at <= now) {
                let datagram = next.remove();
                _ = datagram.socket.send_to(&datagram.bytes, datagram.to);
            }
            let next_at = queue.datagrams.first_key_value().map(|(key, _)| key.send_at);
            let wait = next_at.map_or(DELAY_POLL_INTERVAL, |send_at| send_at - now).min(DELAY_POLL_INTERVAL);
            queue = self.changed.wait_timeout(queue, wait).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
