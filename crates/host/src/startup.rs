//! Start of a host: binds the sockets, opens the store, restores the core's state from it and starts the threads.

use crate::core_thread::{self, CoreThread};
use crate::links::Links;
use crate::messages::Event;
use crate::peers::{PeerIdentity, Peers};
use crate::sessions::{Protocol, SessionServer};
use crate::store_writer::{self, StoreRequest};
use crate::{admin, list, Clock, StartError};
use crossbeam_channel::Sender;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;
use std::thread::JoinHandle;
use tackmast_config::{ConsensusBlock, HostSettings, OverridesBlock, PlansBlock};
use tackmast_host_core::{ConsensusDriver, Core, PersistBatch, PersistedMembers, Plans, StoredPlans};
use tackmast_overrides::Overrides;
use tackmast_store::{OpenedStore, PersistedState, Store};

/// Capacity of each queue to the core thread; senders block while it is full.
const MAX_QUEUED_EVENTS: usize = 16 << 10;
/// Low bits of a generation that hold the host's number; the bits above hold the start time in microseconds.
const HOST_NUMBER_BITS: u32 = 12;

/// A listener and the address that it is bound to.
struct BoundListener {
    address: SocketAddr,
    listener: TcpListener,
}

impl BoundListener {
    fn bind(address: SocketAddr) -> Result<BoundListener, StartError> {
        let bind = || {
            let listener = TcpListener::bind(address)?;
            Ok(BoundListener { address: listener.local_addr()?, listener })
        };
        bind().map_err(|error| StartError::Listen { address, error })
    }
}

/// Shared state of the startup steps.
struct Startup {
    settings: Arc<HostSettings>,
    clock: Clock,
    /// Generation of this start of the host; a later start has a higher one.
    generation: u64,
    seed: u64,
    /// Queue of events that are handled before the ordinary ones.
    urgent: Sender<Event>,
    events: Sender<Event>,
    stopping: Arc<AtomicBool>,
}

/// The handles of a started host.
pub(crate) struct StartedHost {
    /// Address that iSCSI clients connect to.
    pub(crate) address: SocketAddr,
    /// Address that NBD clients connect to.
    pub(crate) nbd: Option<SocketAddr>,
    /// Address at which other hosts reach this one.
    pub(crate) peers: Option<SocketAddr>,
    /// Path of the admin socket.
    pub(crate) admin: Option<PathBuf>,
    /// Set when the host stops.
    pub(crate) stopping: Arc<AtomicBool>,
    /// Queue of events that are handled before the ordinary ones.
    pub(crate) urgent: Sender<Event>,
    /// Threads to join when the host stops.
    pub(crate) threads: Vec<JoinHandle<()>>,
}

/// Starts a host. Clients are served as soon as this returns.
pub(crate) fn start(settings: HostSettings) -> Result<StartedHost, StartError> {
    let clock = Clock::start();
    let iscsi = BoundListener::bind(settings.host.listen)?;
    let nbd = settings.host.listen_nbd.map(BoundListener::bind).transpose()?;
    let store = settings.overrides.as_ref().map(|block| Store::open(&block.store)).transpose()?;
    let members = store.as_ref().map(|opened| opened.state.members.clone()).unwrap_or_default();
    let generation = allocate_generation(&settings, clock, store.as_ref(), &members)?;
    let seed = settings.host.seed.unwrap_or(generation ^ u64::from(std::process::id()) << 32);
    let mut core = Core::new(clock.now(), &settings, seed, generation);
    let (urgent, urgent_events) = crossbeam_channel::bounded(MAX_QUEUED_EVENTS);
    let (events, ordinary_events) = crossbeam_channel::bounded(MAX_QUEUED_EVENTS);
    let stopping = Arc::new(AtomicBool::new(false));
    let startup = Startup { settings: Arc::new(settings), clock, generation, seed, urgent, events, stopping };
    let settings = startup.settings.clone();
    let units = Arc::new(tackmast_target::units(&settings, |volume| core.layout().max_blocks(volume)));
    let list = list::start(settings.clone(), startup.urgent.clone(), startup.stopping.clone())?;
    let to_store = startup.start_store(&mut core, store)?;
    let peers = startup.start_peers(&mut core, members)?;
    let peers_address = peers.as_ref().map(|peers| peers.address);
    let links = Links::new(settings.clone(), clock, startup.events.clone(), generation);
    let core_thread = CoreThread::new(core, settings.clone(), clock, links, list, to_store, peers);
    let mut threads = vec![core_thread::start(core_thread, urgent_events, ordinary_events)?];
    let server = SessionServer::new(settings.clone(), units, clock, startup.events.clone());
    let stopping = &startup.stopping;
    threads.push(server.listen(iscsi.listener, Protocol::Iscsi, stopping.clone())?);
    let nbd_address = nbd.as_ref().map(|bound| bound.address);
    if let Some(bound) = nbd {
        threads.push(server.listen(bound.listener, Protocol::Nbd, stopping.clone())?);
    }
    let address = iscsi.address;
    tracing::info!(%address, nbd = ?nbd_address, peers = ?peers_address, generation, "host listens");
    Ok(StartedHost {
        address,
        nbd: nbd_address,
        peers: peers_address,
        admin: settings.overrides.as_ref().map(|block| block.admin.clone()),
        stopping: startup.stopping,
        urgent: startup.urgent,
        threads,
    })
}

/// Returns the generation of this start and writes it to the store before any message carries it. Peers ignore a generation lower than
/// one that they know, so all would ignore a host whose clock was set back. The generation is therefore at least the last stored one
/// plus 1.
fn allocate_generation(
    settings: &HostSettings,
    clock: Clock,
    store: Option<&OpenedStore>,
    members: &PersistedMembers,
) -> Result<u64, StartError> {
    let host_number = u64::from(settings.host.number & ((1 << HOST_NUMBER_BITS) - 1));
    let by_clock = clock.unix_us(clock.now()) << HOST_NUMBER_BITS | host_number;
    let generation = by_clock.max(members.generation + 1);
    if let Some(opened) = store {
        let members = Some(PersistedMembers { generation, peers: members.peers.clone() });
        opened.store.write(&PersistBatch { members, ..PersistBatch::default() })?;
    }
    Ok(generation)
}

impl Startup {
    /// Restores the core's state from the store, and starts the store writer and the admin socket.
    fn start_store(
        &self,
        core: &mut Core,
        opened: Option<OpenedStore>,
    ) -> Result<Option<Sender<StoreRequest>>, StartError> {
        let Some((block, OpenedStore { store, mut state })) = self.settings.overrides.as_ref().zip(opened)
        else {
            return Ok(None);
        };
        self.restore_overrides(core, block, &mut state);
        if let Some(plans) = &self.settings.plans_live {
            self.restore_plans(core, plans, &store, &state)?;
        }
        let (to_store, queued) = crossbeam_channel::bounded(MAX_QUEUED_EVENTS);
        store_writer::start(store, queued, self.urgent.clone())?;
        admin::start(&block.admin, self.urgent.clone(), to_store.clone(), self.stopping.clone())?;
        Ok(Some(to_store))
    }

    /// Restores the stored overrides, except those that ended while the host was down; these are removed from the store and audited.
    fn restore_overrides(&self, core: &mut Core, block: &OverridesBlock, state: &mut PersistedState) {
        let (now, wall_us) = (self.clock.now(), Clock::wall_us());
        let bounds = tackmast_overrides::Settings {
            max_overrides: block.max_overrides,
            max_zone_fraction: block.max_zone_fraction,
        };
        let stored = std::mem::take(&mut state.overrides);
        let (overrides, ended) = Overrides::new(now, wall_us, bounds, stored, state.next_override_id);
        core.handle_wall_clock(now, wall_us);
        let mut batch = PersistBatch::default();
        for ended in ended {
            let (id, what) = (ended.record.id, &ended.audit.what);
            tracing::info!(id = id.0, %what, "override ended while the host was down");
            batch.remove.push(id);
            batch.audits.push(ended.audit);
        }
        core.enable_overrides(now, overrides, batch);
    }

    /// Restores the stored plans, and starts this host's replica if the settings enable consensus.
    fn restore_plans(
        &self,
        core: &mut Core,
        block: &PlansBlock,
        store: &Store,
        state: &PersistedState,
    ) -> Result<(), StartError> {
        let now = self.clock.now();
        let uses_consensus = self.settings.consensus.is_some();
        let change_log: &[u8] = if uses_consensus { &[] } else { &state.change_log };
        let mut plans = Plans::new(now, &self.settings, block, change_log)?;
        if let Some(consensus) = &self.settings.consensus {
            let driver = self.start_consensus(consensus, store, state)?;
            plans.enable_consensus();
            core.enable_consensus(driver);
        }
        let stored = match state.change_log.is_empty() && !uses_consensus {
            true => StoredPlans::Nothing,
            false => StoredPlans::ChangeLog,
        };
        core.enable_plans(now, plans, stored);
        Ok(())
    }

    /// Returns the host's replica of the consensus log. Changes that a single home made without consensus are not in that log: they must
    /// be copied into the settings of all hosts first, otherwise hosts would start with different plans.
    fn start_consensus(
        &self,
        block: &ConsensusBlock,
        store: &Store,
        state: &PersistedState,
    ) -> Result<ConsensusDriver, StartError> {
        let line_count = state.change_log.iter().filter(|byte| **byte == b'\n').count();
        let changes = line_count.saturating_sub(1);
        if changes > 0 {
            return Err(StartError::PlansWithoutConsensus { changes });
        }
        let seed = self.generation ^ u64::from(std::process::id()).rotate_left(40);
        let start = store.open_consensus_log(seed, self.generation)?;
        Ok(ConsensusDriver::new(self.clock.now(), &self.settings, block, start, self.generation))
    }

    /// Enables membership in the core and starts the thread that reads datagrams; `None` if the settings have no membership.
    fn start_peers(&self, core: &mut Core, members: PersistedMembers) -> Result<Option<Peers>, StartError> {
        let Some(block) = &self.settings.membership else { return Ok(None) };
        let peers = Peers::bind(block)?;
        let (generation, seed) = (self.generation, self.seed);
        let identity = PeerIdentity { generation, seed, known_peers: members.peers };
        peers.join(core, self.clock, &self.settings, block, identity);
        peers.start_reader(self.events.clone(), self.stopping.clone())?;
        Ok(Some(peers))
    }
}
