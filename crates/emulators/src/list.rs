//! The endpoint list on loopback: it pushes changes to hosts that follow it, answers fetches, and can be late, fail or fall silent.

mod entries;
mod session;
#[cfg(test)]
mod tests;

use crate::threads::{lock, spawn};
use entries::Entries;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tackmast_trace::{now_us, Event, ListedState, Recorder};
use tackmast_wire::list::{Entry, State};

/// Time-out of the connection that wakes the listener.
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);

/// A fault of the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum ListFault {
    /// Hosts see the list as it was so many seconds ago.
    Late(f64),
    /// Fetches and subscriptions fail.
    Fails(bool),
    /// Nothing is answered, without closing a connection.
    Silent(bool),
    /// All connections are closed now.
    Reset,
    /// So many changes are left out of what followers get next, so that they find a gap.
    Skip(u32),
}

/// Faults that last.
#[derive(Default)]
struct Faults {
    late_us: u64,
    fails: bool,
    silent: bool,
    /// Changes that are still to be left out.
    skip: u32,
    /// Raised to close all connections of before.
    connection_epoch: u64,
}

#[derive(Default)]
struct ServiceState {
    entries: Entries,
    faults: Faults,
    /// What each host was last sent of each node, by host and the node's address.
    notified: HashMap<u32, HashMap<String, Entry>>,
}

impl ServiceState {
    /// The version that hosts may see now.
    fn visible_version(&self) -> u64 {
        self.entries.version_at(now_us().saturating_sub(self.faults.late_us))
    }
}

struct Service {
    state: Mutex<ServiceState>,
    is_stopped: AtomicBool,
    recorder: Recorder,
}

/// A running list service, until `stop` is called.
#[derive(Clone)]
pub struct NodeList {
    service: Arc<Service>,
    /// The address at which it listens.
    pub address: SocketAddr,
}

impl NodeList {
    /// Starts a list without entries.
    pub fn start(address: SocketAddr, recorder: Recorder) -> io::Result<NodeList> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let state = Mutex::new(ServiceState::default());
        let service = Arc::new(Service { state, is_stopped: AtomicBool::new(false), recorder });
        let acceptor = service.clone();
        spawn("list", move || acceptor.accept(&listener))?;
        Ok(NodeList { service, address })
    }

    /// Puts entries in; entries that change nothing are left out.
    pub fn put(&self, entries: impl IntoIterator<Item = Entry>) {
        let mut state = lock(&self.service.state);
        let now_us = now_us();
        entries.into_iter().for_each(|entry| state.entries.put(now_us, entry));
        state.entries.forget_old_changes();
    }

    /// Changes the state of a node that is listed.
    pub fn set_state(&self, address: &str, state: State) {
        let entry = lock(&self.service.state).entries.get(address).cloned();
        self.put(entry.map(|entry| Entry { state, ..entry }));
    }

    /// Notes that a listed node has started anew, and is ready.
    pub fn set_restarted(&self, address: &str, started_us: u64) {
        let entry = lock(&self.service.state).entries.get(address).cloned();
        self.put(entry.map(|entry| Entry { state: State::Ready, started_us, ..entry }));
    }

    /// Injects a fault.
    pub fn set(&self, fault: &ListFault) {
        let faults = &mut lock(&self.service.state).faults;
        match *fault {
            ListFault::Late(seconds) => faults.late_us = (seconds * 1e6) as u64,
            ListFault::Fails(on) => {
                faults.fails = on;
                faults.connection_epoch += u64::from(on);
            }
            ListFault::Silent(on) => faults.silent = on,
            ListFault::Reset => faults.connection_epoch += 1,
            ListFault::Skip(count) => faults.skip = count,
        }
    }

    /// Ends the service.
    pub fn stop(&self) {
        self.service.is_stopped.store(true, Ordering::Release);
        _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
    }
}

impl Service {
    fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming() {
            if self.is_stopped() {
                return;
            }
            let Ok(stream) = stream else { continue };
            let service = self.clone();
            _ = spawn("list call", move || _ = service.serve(stream));
        }
    }

    /// Records what a host is sent, of the entries with these states. A complete list also says that all other nodes are gone.
    fn note(&self, host: u32, entries: &[Entry], is_complete: bool, is_noted: fn(State) -> bool) {
        let mut state = lock(&self.state);
        let notified = state.notified.entry(host).or_default();
        let note = |entry: &Entry, state| {
            let (node, started_us) = (entry.address.clone(), entry.started_us);
            self.recorder.note(Event::Notified { host, node, state, started_us });
        };
        if is_complete {
            let is_listed = |address: &str| entries.iter().any(|entry| entry.address == address);
            let gone = notified.values().filter(|old| !is_listed(&old.address));
            gone.for_each(|entry| note(entry, ListedState::Gone));
            notified.retain(|address, _| is_listed(address));
        }
        for entry in entries.iter().filter(|entry| is_noted(entry.state)) {
            let listed_state = match entry.state {
                State::Ready => ListedState::Ready,
                State::Draining => ListedState::Draining,
                State::Gone => ListedState::Gone,
            };
            note(entry, listed_state);
            notified.insert(entry.address.clone(), entry.clone());
        }
    }
}
