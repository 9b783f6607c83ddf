//! Starting a host: sockets, the store and what it held, the core, and the threads around them.

use crate::core_thread::{self, CoreThread};
use crate::links::Links;
use crate::messages::Event;
use crate::peers::{PeerIdentity, Peers};
use crate::sessions::{Protocol, SessionHub};
use crate::store_writer::{self, ToStore};
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

/// Events that may wait for the core's thread before those who report more must wait.
const MAX_QUEUED_EVENTS: usize = 16 << 10;
/// Bits of a generation that hold the host's number; those above hold the microseconds of its start.
const HOST_NUMBER_BITS: u32 = 12;

/// A listener and the address that the system gave it.
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

/// What the parts of a starting host share.
struct Startup {
    settings: Arc<HostSettings>,
    clock: Clock,
    /// Number of this start of the host; larger is later.
    generation: u64,
    seed: u64,
    /// Events that are handled before others.
    urgent: Sender<Event>,
    events: Sender<Event>,
    stopping: Arc<AtomicBool>,
}

/// What a started host is held by.
pub(crate) struct StartedHost {
    /// Where iSCSI clients connect.
    pub(crate) address: SocketAddr,
    /// Where NBD clients connect.
    pub(crate) nbd: Option<SocketAddr>,
    /// Where other hosts reach it.
    pub(crate) peers: Option<SocketAddr>,
    /// Path of the admin socket.
    pub(crate) admin: Option<PathBuf>,
    /// Set when the host ends.
    pub(crate) stopping: Arc<AtomicBool>,
    /// Events that are handled before others.
    pub(crate) urgent: Sender<Event>,
    /// Threads that end with the host.
    pub(crate) threads: Vec<JoinHandle<()>>,
}

/// Starts a host; clients are served as soon as this returns.
pub(crate) fn start(settings: HostSettings) -> Result<StartedHost, StartError> {
    let clock = Clock::start();
    let iscsi = BoundListener::bind(settings.host.listen)?;
    let nbd = settings.host.listen_nbd.map(BoundListener::bind).transpose()?;
    let store = settings.overrides.as_ref().map(|block| Store::open(&block.store)).transpose()?;
    let members = store.as_ref().map(|opened| opened.state.members.clone()).unwrap_or_default();
    let generation = begin_generation(&settings, clock, store.as_ref(), &members)?;
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
    let hub = SessionHub::new(settings.clone(), units, clock, startup.events.clone());
    let stopping = &startup.stopping;
    threads.push(hub.listen(iscsi.listener, Protocol::Iscsi, stopping.clone())?);
    let nbd_address = nbd.as_ref().map(|bound| bound.address);
    if let Some(bound) = nbd {
        threads.push(hub.listen(bound.listener, Protocol::Nbd, stopping.clone())?);
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

/// The number of this start, written to the store before anything is sent under it. Peers ignore a generation below one that they know,
/// so a host whose clock went back would be ignored by all: it takes at least the number after the last one that it wrote.
fn begin_generation(
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
    /// Gives the core what the store held, and accepts operators' calls.
    fn start_store(
        &self,
        core: &mut Core,
        opened: Option<OpenedStore>,
    ) -> Result<Option<Sender<ToStore>>, StartError> {
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

    /// Gives the core the overrides that were in force, but for those that ended while the host was down.
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

    /// Gives the core the plans that its store held, and its part in the consensus on them.
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

    /// The host's replica. Changes that one home made without consensus are not in its log: they have to be in the settings of all hosts
    /// first, or hosts would begin with different plans.
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

    /// Gives the core its part in the membership, and reads datagrams.
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
