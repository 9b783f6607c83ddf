//! A listener in front of a process.

use super::connection::{self, ProxySettings};
use super::{CallerKind, Endpoint, Network};
use crate::threads::spawn;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;
use tackmast_trace::Recorder;

/// How often a proxy looks for a new connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);

/// A listener in front of a process, whose address may change.
#[derive(Clone)]
pub struct Proxy {
    /// The address at which the process is reached.
    pub address: SocketAddr,
    target: Arc<RwLock<Option<SocketAddr>>>,
}

impl Proxy {
    /// Starts a proxy without a target: until `set_target` is called, connections to it are closed. `endpoint` is the process behind
    /// it; `None`: a node that is known by the proxy's own address.
    pub fn start(
        network: &Network,
        caller: CallerKind,
        endpoint: Option<Endpoint>,
        recorder: &Recorder,
    ) -> io::Result<Proxy> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let proxy = Proxy { address, target: Arc::default() };
        let settings = ProxySettings {
            network: network.clone(),
            caller,
            endpoint: endpoint.unwrap_or(Endpoint::Node(address)),
            recorder: recorder.clone(),
        };
        let acceptor = proxy.clone();
        spawn("front", move || acceptor.accept(&listener, &settings))?;
        Ok(proxy)
    }

    /// Where the process listens from now on.
    pub fn set_target(&self, target: SocketAddr) {
        *self.target.write().unwrap_or_else(PoisonError::into_inner) = Some(target);
    }

    fn accept(&self, listener: &TcpListener, settings: &ProxySettings) {
        while !settings.network.is_stopped() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let Some(target) = *self.target.read().unwrap_or_else(PoisonError::into_inner) else { continue };
            let settings = settings.clone();
            _ = spawn("connection", move || _ = connection::run(stream, target, settings));
        }
    }
}
