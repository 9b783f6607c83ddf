//! The host's I/O: it moves bytes between client sessions, the host core, node links and the node list, and reads
//! the clock. It holds no rule. Threads have small stacks, channels have bounds, and the core's thread never
//! waits for a peer.

mod admin;
mod clock;
mod core_thread;
mod links;
mod list;
mod peers;
mod sessions;

pub use clock::Clock;
pub use core_thread::Status;

use crossbeam_channel::Sender;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tackmast_config::{HostSettings, OverridesBlock};
use tackmast_host_core::{Core, PersistBatch, PersistedMembers, Plans, StoredPlans};
use tackmast_overrides::Overrides;
use tackmast_store::{OpenedStore, Store};

/// Stack of the threads that only move bytes.
const SMALL_STACK: usize = 128 << 10;
/// Time for sessions to write their last answers.
const FLUSH: Duration = Duration::from_millis(100);
/// Time in which a host that leaves hands on what it has of limits.
const HAND_ON: Duration = Duration::from_millis(400);
/// Events that may wait for the core before those who bring more must wait.
const EVENTS: usize = 16 << 10;

#[derive(Debug, thiserror::Error)]
pub enum StartError {
    #[error("host listen {address}: {error}; expected a free address of this machine")]
    Listen { address: SocketAddr, error: io::Error },
    #[error("admin socket {0}")]
    Admin(String),
    #[error(transparent)]
    Store(#[from] tackmast_store::StoreError),
    #[error("plans: {0}. Nothing was changed. To begin anew by the settings, move the store away")]
    Plans(#[from] tackmast_plans::ChangeLogError),
    #[error("agreement: the store keeps {0} changes of plans that one home took; expected none. Bring the settings of all hosts to what `plan show` says, move the stores away, and start the hosts anew")]
    Agreement(usize),
    #[error("thread {name}: {error}; expected to start it")]
    Thread { name: String, error: io::Error },
}

/// A running host.
pub struct Host {
    pub address: SocketAddr,
    /// Where NBD clients connect.
    pub nbd: Option<SocketAddr>,
    /// Where other hosts reach it.
    pub peers: Option<SocketAddr>,
    admin: Option<std::path::PathBuf>,
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

/// Hands what the store held to the core, and lets operators in.
#[allow(clippy::too_many_arguments)] // what the host is made of, one by one
fn overrides(
    o: &OverridesBlock,
    OpenedStore { store, state }: OpenedStore,
    settings: &HostSettings,
    core: &mut Core,
    clock: Clock,
    urgent: &Sender<core_thread::Event>,
    stopping: &Arc<AtomicBool>,
    generation: u64,
) -> Result<Sender<admin::ToStore>, StartError> {
    let (now, wall_us) = (clock.now(), Clock::wall_us());
    let bounds = tackmast_overrides::Settings {
        max_overrides: o.max_overrides,
        max_zone_fraction: o.max_zone_fraction,
    };
    let (overrides, ended) = Overrides::new(now, wall_us, bounds, state.overrides, state.next_override_id);
    core.handle_wall_clock(now, wall_us);
    let mut keep = PersistBatch::default();
    for e in ended {
        tracing::info!("override {} ended while the host was down: {}", e.record.id.0, e.audit.what);
        keep.remove.push(e.record.id);
        keep.audits.push(e.audit);
    }
    core.with_overrides(now, overrides, keep);
    if let Some(b) = &settings.plans_live {
        let agrees = settings.consensus.is_some();
        let kept: &[u8] = if agrees { &[] } else { &state.change_log };
        let mut plans = Plans::new(now, settings, b, kept)?;
        if let Some(a) = &settings.consensus {
            // Changes that one home took are no part of what hosts agree on: they have to stand in the settings first.
            let changes = state.change_log.iter().filter(|b| **b == b'\n').count().saturating_sub(1);
            if changes > 0 {
                return Err(StartError::Agreement(changes));
            }
            let start = store
                .open_consensus_log(generation ^ u64::from(std::process::id()).rotate_left(40), generation)?;
            plans.enable_consensus();
            core.with_consensus(tackmast_host_core::ConsensusDriver::new(
                now, settings, a, start, generation,
            ));
        }
        let stored = if state.change_log.is_empty() && !agrees {
            StoredPlans::Nothing
        } else {
            StoredPlans::ChangeLog
        };
        core.with_plans(now, plans, stored);
    }
    let (to_store, from) = crossbeam_channel::bounded(EVENTS);
    admin::keep(store, from, urgent.clone())?;
    admin::start(&o.admin, urgent.clone(), to_store.clone(), stopping.clone())?;
    Ok(to_store)
}

impl Host {
    /// Starts listening; clients are served as soon as this returns.
    pub fn start(settings: HostSettings) -> Result<Host, StartError> {
        let clock = Clock::new();
        let address = settings.host.listen;
        let listen = |address: SocketAddr| {
            let bound = TcpListener::bind(address).and_then(|l| Ok((l.local_addr()?, l)));
            bound.map_err(|error| StartError::Listen { address, error })
        };
        let (address, listener) = listen(address)?;
        let nbd = settings.host.listen_nbd.map(listen).transpose()?;
        let store = settings.overrides.as_ref().map(|o| Store::open(&o.store)).transpose()?;
        let by_clock = clock.unix_us(clock.now()) << 12 | u64::from(settings.host.number & 0xfff);
        let recalled = store.as_ref().map(|opened| opened.state.members.clone()).unwrap_or_default();
        // Against a clock that went back: a generation numbered below the one before it would be shut out by what is known of
        // that one. Written down before anything is said under it.
        let generation = by_clock.max(recalled.generation + 1);
        if let Some(opened) = &store {
            let members = Some(PersistedMembers { generation, peers: recalled.peers.clone() });
            opened.store.write(&PersistBatch { members, ..PersistBatch::default() })?;
        }
        let seed = settings.host.seed.unwrap_or(generation ^ u64::from(std::process::id()) << 32);
        let mut core = Core::new(clock.now(), &settings, seed, generation);
        let settings = Arc::new(settings);
        let stopping = Arc::new(AtomicBool::new(false));
        let (urgent, urgent_in) = crossbeam_channel::bounded(EVENTS);
        let (events, events_in) = crossbeam_channel::bounded(EVENTS);
        let admin = settings.overrides.as_ref().map(|o| o.admin.clone());
        let units = Arc::new(tackmast_target::units(&settings, |v| core.layout().max_blocks(v)));
        let mut threads = Vec::new();
        let list = list::start(settings.clone(), clock, urgent.clone(), stopping.clone())?;
        let to_store = match settings.overrides.as_ref().zip(store) {
            Some((o, store)) => {
                Some(overrides(o, store, &settings, &mut core, clock, &urgent, &stopping, generation)?)
            }
            None => None,
        };
        let peers = match &settings.membership {
            Some(m) => {
                let (ids, known, stop) = ((generation, seed), recalled.peers, stopping.clone());
                Some(peers::start(&settings, m, &mut core, clock, ids, known, events.clone(), stop)?)
            }
            None => None,
        };
        let (peers, peers_address) = peers.map_or((None, None), |(p, a)| (Some(p), Some(a)));
        let links = links::Links::new(settings.clone(), clock, events.clone(), generation);
        threads.push(core_thread::start(
            core,
            settings.clone(),
            clock,
            urgent_in,
            events_in,
            links,
            list,
            to_store,
            peers,
        )?);
        let house = sessions::house(settings, units, clock, events);
        threads.push(sessions::start(house.clone(), listener, sessions::Protocol::Iscsi, stopping.clone())?);
        let nbd_address = nbd.as_ref().map(|(a, _)| *a);
        if let Some((_, listener)) = nbd {
            threads.push(sessions::start(house, listener, sessions::Protocol::Nbd, stopping.clone())?);
        }
        tracing::info!(%address, nbd = ?nbd_address, peers = ?peers_address, generation, "host listens");
        Ok(Host { address, nbd: nbd_address, peers: peers_address, admin, stopping, urgent, threads })
    }

    /// Figures of this moment; none where the host has stopped.
    pub fn status(&self) -> Option<Status> {
        let (to, from) = crossbeam_channel::bounded(1);
        self.urgent.send(core_thread::Event::Status(to)).ok()?;
        from.recv_timeout(Duration::from_secs(5)).ok()
    }

    /// Ends in order: no new sessions, nothing new taken, and each open request gets its one answer, by `patience` at
    /// the latest. True: all had it before.
    pub fn drain(self, patience: Duration) -> bool {
        self.stopping.store(true, Ordering::Release);
        self.wake_listeners();
        _ = self.urgent.send(core_thread::Event::Drain);
        let until = Instant::now() + patience;
        let open = || self.status().map_or(0, |s| s.commands);
        while open() > 0 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        let all = open() == 0;
        _ = self.urgent.send(core_thread::Event::Settle);
        // The answers are with the sessions' threads: they get a moment to write them.
        _ = self.status();
        std::thread::sleep(FLUSH);
        if self.peers.is_some() {
            // What this host has of limits goes to those who ask for it meanwhile.
            _ = self.urgent.send(core_thread::Event::Leave);
            std::thread::sleep(HAND_ON);
            _ = self.urgent.send(core_thread::Event::Left);
            _ = self.status();
        }
        self.stop();
        all
    }

    fn wake_listeners(&self) {
        // A listener waits for a connection: this one wakes it.
        for address in [Some(self.address), self.nbd].into_iter().flatten() {
            _ = std::net::TcpStream::connect_timeout(&address, Duration::from_secs(1));
        }
        // The same for operators' calls, or its thread would keep the store open.
        if let Some(path) = &self.admin {
            _ = std::os::unix::net::UnixStream::connect(path);
        }
    }

    /// Ends at once: connections are closed, nothing more is answered.
    pub fn stop(mut self) {
        self.stopping.store(true, Ordering::Release);
        _ = self.urgent.send(core_thread::Event::Stop);
        self.wake_listeners();
        for t in self.threads.drain(..) {
            _ = t.join();
        }
    }
}
