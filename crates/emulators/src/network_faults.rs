//! A network between processes on loopback, for whoever injects its faults: each datagram and each connection between two endpoints
//! passes a proxy here, and can be cut off, lost, delayed, duplicated or reset by pair and direction.
//!
//! A connection over a path that is cut stays open and silent. What was in flight when the path was cut, or was written meanwhile, is
//! lost; such a connection is reset when the path is whole again, as real networks do with connections that they have forgotten. A
//! connection on which nothing was in flight continues as if nothing had happened.
//!
//! | file | job |
//! | --- | --- |
//! | `datagrams` | datagrams between hosts |
//! | `proxy` | a listener in front of a process |
//! | `caller` | who calls, by the first frame of a connection |
//! | `connection` | one connection, in both directions |

mod caller;
mod connection;
mod datagrams;
mod proxy;

pub use caller::CallerKind;
pub use datagrams::DatagramProxies;
pub use proxy::Proxy;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

/// How often a connection looks whether its path has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An end of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Endpoint {
    /// A process of a host. A second process with the same host number has a number of its own here.
    Host(u32),
    /// A node, by the address under which it is listed.
    Node(SocketAddr),
    /// The endpoint list.
    List,
    /// All clients.
    Clients,
}

/// A fault of the paths from some endpoints to others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NetworkFault {
    /// Nothing passes.
    Cut,
    /// Connections are reset, now and whenever one is opened.
    Reset,
    /// This fraction of datagrams is lost.
    Loss(f64),
    /// Datagrams are delayed by up to so many seconds, so that they overtake each other.
    Delay(f64),
    /// This fraction of datagrams arrives twice.
    Duplicate(f64),
}

/// The state of the path from one endpoint to another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PathState {
    /// Whether nothing passes.
    pub is_cut: bool,
    /// Whether connections are reset.
    pub resets: bool,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Seconds by which datagrams are delayed at most.
    pub max_delay_s: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplicates: f64,
}

struct ActiveFault {
    id: u64,
    from: HashSet<Endpoint>,
    to: HashSet<Endpoint>,
    fault: NetworkFault,
}

#[derive(Default)]
struct Shared {
    faults: RwLock<Vec<ActiveFault>>,
    next_id: AtomicU64,
    is_stopped: AtomicBool,
}

/// The network of one run. Clones are of the same network.
#[derive(Clone, Default)]
pub struct Network(Arc<Shared>);

impl Network {
    /// Injects a fault, until `clear` is called with the number that this returns.
    pub fn inject(&self, from: HashSet<Endpoint>, to: HashSet<Endpoint>, fault: NetworkFault) -> u64 {
        let id = self.0.next_id.fetch_add(1, Ordering::Relaxed);
        let mut faults = self.0.faults.write().unwrap_or_else(PoisonError::into_inner);
        faults.push(ActiveFault { id, from, to, fault });
        id
    }

    /// Ends a fault.
    pub fn clear(&self, id: u64) {
        let mut faults = self.0.faults.write().unwrap_or_else(PoisonError::into_inner);
        faults.retain(|active| active.id != id);
    }

    /// The state of the path from one endpoint to another, with all faults on it.
    pub fn path(&self, from: Endpoint, to: Endpoint) -> PathState {
        let mut path = PathState::default();
        let faults = self.0.faults.read().unwrap_or_else(PoisonError::into_inner);
        for active in faults.iter().filter(|active| active.from.contains(&from) && active.to.contains(&to)) {
            match active.fault {
                NetworkFault::Cut => path.is_cut = true,
                NetworkFault::Reset => path.resets = true,
                NetworkFault::Loss(fraction) => path.loss = 1.0 - (1.0 - path.loss) * (1.0 - fraction),
                NetworkFault::Delay(seconds) => path.max_delay_s += seconds,
                NetworkFault::Duplicate(fraction) => path.duplicates = path.duplicates.max(fraction),
            }
        }
        path
    }

    /// Whether the path is cut in either direction.
    fn is_cut_between(&self, one: Endpoint, other: Endpoint) -> bool {
        self.path(one, other).is_cut || self.path(other, one).is_cut
    }

    /// Ends all proxies of the network.
    pub fn stop(&self) {
        self.0.is_stopped.store(true, Ordering::Release);
    }

    fn is_stopped(&self) -> bool {
        self.0.is_stopped.load(Ordering::Acquire)
    }
}
