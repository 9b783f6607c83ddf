//! The host's I/O: it moves bytes between client sessions, the host core, node links and the node list, and reads
//! the clock. It holds no rule. Threads have small stacks, channels have bounds, and the core's thread never
//! waits for a peer.

mod clock;
mod core_thread;
mod links;
mod list;
mod sessions;

pub use clock::Clock;
pub use core_thread::Status;

use crossbeam_channel::Sender;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use tackmast_config::HostSettings;
use tackmast_hostcore::Core;

/// Stack of the threads that only move bytes.
const SMALL_STACK: usize = 128 << 10;
/// Events that may wait for the core before those who bring more must wait.
const EVENTS: usize = 16 << 10;

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("host listen {address}: {error}; expected a free address of this machine")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("thread {name}: {error}; expected to start it")]
    Thread { name: String, error: io::Error },
}

/// A running host.
pub struct Host {
    pub address: SocketAddr,
    stopping: Arc<AtomicBool>,
    urgent: Sender<core_thread::Event>,
    threads: Vec<JoinHandle<()>>,
}

pub(crate) fn thread(
    name: String,
    run: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, StartError> {
    let built = std::thread::Builder::new().name(name.clone()).stack_size(SMALL_STACK).spawn(run);
    built.map_err(|error| StartError::Thread { name, error })
}

impl Host {
    /// Starts listening; clients are served as soon as this returns.
    pub fn start(settings: HostSettings) -> Result<Host, StartError> {
        let clock = Clock::new();
        let address = settings.host.listen;
        let listener = TcpListener::bind(address).map_err(|error| StartError::Listen { address, error })?;
        let address = listener.local_addr().map_err(|error| StartError::Listen { address, error })?;
        let life = clock.unix_us(clock.now()) << 12 | u64::from(settings.host.number & 0xfff);
        let seed = settings.host.seed.unwrap_or(life ^ u64::from(std::process::id()) << 32);
        let core = Core::new(clock.now(), &settings, seed, life);
        let settings = Arc::new(settings);
        let stopping = Arc::new(AtomicBool::new(false));
        let (urgent, urgent_in) = crossbeam_channel::bounded(EVENTS);
        let (events, events_in) = crossbeam_channel::bounded(EVENTS);
        let units = sessions::units(&settings, core.layout());
        let mut threads = Vec::new();
        let list = list::start(settings.clone(), clock, urgent.clone(), stopping.clone())?;
        let links = links::Links::new(settings.clone(), clock, events.clone(), life);
        threads.push(core_thread::start(core, settings.clone(), clock, urgent_in, events_in, links, list)?);
        threads.push(sessions::start(listener, settings, units, clock, events, stopping.clone())?);
        tracing::info!(%address, life, "host listens");
        Ok(Host { address, stopping, urgent, threads })
    }

    /// Figures of this moment; none where the host has stopped.
    pub fn status(&self) -> Option<Status> {
        let (to, from) = crossbeam_channel::bounded(1);
        self.urgent.send(core_thread::Event::Status(to)).ok()?;
        from.recv_timeout(std::time::Duration::from_secs(5)).ok()
    }

    /// Ends at once: connections are closed, nothing more is answered.
    pub fn stop(mut self) {
        self.stopping.store(true, Ordering::Release);
        _ = self.urgent.send(core_thread::Event::Stop);
        // The listener waits for a connection: this one wakes it.
        _ = std::net::TcpStream::connect_timeout(&self.address, std::time::Duration::from_secs(1));
        for t in self.threads.drain(..) {
            _ = t.join();
        }
    }
}
