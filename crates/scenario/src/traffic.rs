//! Clients of one volume: requests arrive at their own rate, whatever becomes of earlier ones (open loop), and every byte that is
//! read is compared with the reference model.
//!
//! | file | job |
//! | --- | --- |
//! | `arrivals` | when requests arrive, and which |
//! | `sending` | sends one request |
//! | `replies` | what an answer means for the counts and for the reference model |
//! | `sessions` | keeps sessions with the hosts open |
//! | `state` | requests in flight, their counts, and the reference model |
//! | `tally` | counts |

mod arrivals;
mod replies;
mod request;
mod sending;
mod sessions;
mod state;
mod tally;

pub(crate) use tally::Tally;

use crate::lock::lock;
use crate::script::TrafficBlock;
use crate::ScenarioError;
use crossbeam_channel::{Receiver, Sender};
use request::DueRequest;
use sessions::HostSessions;
use state::TrafficState;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;
use tackmast_config::{HostSettings, Volume};
use tackmast_emulators::initiator::LabelledReply;
use tackmast_trace::Recorder;

/// Stack of a traffic thread, in bytes.
const THREAD_STACK_BYTES: usize = 256 << 10;
/// The rate's multiple is kept in thousandths.
const RATE_MULTIPLE_SCALE: f64 = 1000.0;

struct Channel<T> {
    sender: Sender<T>,
    receiver: Receiver<T>,
}

impl<T> Channel<T> {
    fn unbounded() -> Channel<T> {
        let (sender, receiver) = crossbeam_channel::unbounded();
        Channel { sender, receiver }
    }
}

/// What all traffic of a scenario shares.
#[derive(Clone)]
pub(crate) struct SharedSettings {
    pub(crate) settings: Arc<HostSettings>,
    /// Where clients reach each host.
    pub(crate) host_addresses: Arc<RwLock<Vec<SocketAddr>>>,
    pub(crate) recorder: Recorder,
}

/// What the traffic of a scenario has shown.
pub(crate) struct TrafficResult {
    /// By traffic class.
    pub(crate) tallies: Vec<Tally>,
    /// Descriptions of wrong answers.
    pub(crate) errors: Vec<String>,
    /// Blocks that were read and compared.
    pub(crate) blocks_checked: u64,
}

/// The clients of one traffic block.
pub(crate) struct Traffic {
    pub(crate) name: String,
    block: TrafficBlock,
    volume: Volume,
    shared: SharedSettings,
    /// First block that this traffic works on.
    first_block: u64,
    state: Mutex<TrafficState>,
    sessions: Vec<HostSessions>,
    /// Index of the primary host, modulo the number of hosts.
    primary: AtomicUsize,
    /// Multiple of the rate, in thousandths.
    rate_multiple: AtomicU64,
    /// No new requests arrive.
    is_over: AtomicBool,
    is_closed: AtomicBool,
    replies: Channel<LabelledReply>,
    retries: Channel<DueRequest>,
}

impl Traffic {
    /// Opens the sessions. `position` is the position among the traffic of one volume: each works on blocks of its own.
    pub(crate) fn start(
        name: &str,
        block: &TrafficBlock,
        position: u64,
        seed: u64,
        shared: SharedSettings,
    ) -> Result<Arc<Traffic>, ScenarioError> {
        let volume = shared.settings.volumes.iter().find(|volume| volume.name == block.volume).cloned();
        let volume = volume.ok_or_else(|| ScenarioError::UnknownVolume {
            traffic: name.to_owned(),
            volume: block.volume.clone(),
        })?;
        let first_block = position * block.span_blocks;
        if first_block + block.span_blocks > volume.blocks {
            let (traffic, span_blocks) = (name.to_owned(), block.span_blocks);
            return Err(ScenarioError::TooFewBlocks { traffic, span_blocks });
        }
        let traffic_class_count = shared.settings.traffic_classes.len();
        let state = TrafficState::new(traffic_class_count, volume.block_bytes as usize, seed);
        let traffic = Arc::new(Traffic {
            name: name.to_owned(),
            volume,
            first_block,
            state: Mutex::new(state),
            sessions: block.hosts.iter().map(|host| HostSessions::new(*host, block.sessions)).collect(),
            primary: AtomicUsize::new(0),
            rate_multiple: AtomicU64::new(RATE_MULTIPLE_SCALE as u64),
            is_over: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            replies: Channel::unbounded(),
            retries: Channel::unbounded(),
            block: block.clone(),
            shared,
        });
        traffic.open_missing_sessions();
        traffic.spawn("logins", Traffic::maintain_sessions)?;
        traffic.spawn("answers", Traffic::receive_replies)?;
        Ok(traffic)
    }

    fn spawn(
        self: &Arc<Self>,
        job: &str,
        run: impl FnOnce(&Traffic) + Send + 'static,
    ) -> Result<std::thread::JoinHandle<()>, ScenarioError> {
        let traffic = self.clone();
        let name = format!("{} {job}", self.name);
        let thread = std::thread::Builder::new().name(name).stack_size(THREAD_STACK_BYTES);
        thread
            .spawn(move || run(&traffic))
            .map_err(|source| ScenarioError::TrafficThread { traffic: self.name.clone(), source })
    }

    /// Requests begin to arrive; the scenario lasts `length`.
    pub(crate) fn begin_arrivals(
        self: &Arc<Self>,
        length: Duration,
    ) -> Result<std::thread::JoinHandle<()>, ScenarioError> {
        self.spawn("arrivals", move |traffic| traffic.run_arrivals(length))
    }

    /// Sets the multiple of the rate.
    pub(crate) fn set_rate_multiple(&self, multiple: f64) {
        self.rate_multiple.store((multiple * RATE_MULTIPLE_SCALE) as u64, Ordering::Relaxed);
    }

    /// The next host becomes the primary.
    pub(crate) fn change_primary(&self) {
        self.primary.fetch_add(1, Ordering::Relaxed);
    }

    /// No more requests arrive; those in flight get their answers.
    pub(crate) fn stop(&self) {
        self.is_over.store(true, Ordering::Release);
    }

    /// Number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        lock(&self.state).in_flight.len()
    }

    /// Closes the sessions.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Release);
        self.sessions.iter().for_each(HostSessions::log_out);
    }

    /// What was counted and compared so far.
    pub(crate) fn result(&self) -> TrafficResult {
        let state = lock(&self.state);
        TrafficResult {
            tallies: state.tallies.clone(),
            errors: state.errors.clone(),
            blocks_checked: state.registers.checked,
        }
    }

    /// Index of the volume's plan.
    pub(crate) fn plan(&self) -> usize {
        self.volume.plan as usize
    }
}
