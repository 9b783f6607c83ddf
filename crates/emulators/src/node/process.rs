//! The process of a node: its start, death and restart, and the loop that runs the model.

use super::fault::{Fault, SocketFaults};
use super::NodeSettings;
use crate::model::{NodeFaults, NodeModel};
use crate::sockets::reset;
use crate::threads::{lock, spawn};
use bytes::Bytes;
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tackmast_trace::{now_us, AttemptName, Event};
use tackmast_wire::node::SendAttempt;

/// How long ago a node started that has been up for long.
const LONG_UP_US: u64 = 3_600_000_000;
/// A start longer ago than this is reported as long ago.
const MAX_REPORTED_AGE_US: u64 = 3_000_000_000;
/// A node that started within this time is recorded as one that warms up.
const JUST_STARTED_US: u64 = 1_000_000;
/// Longest time until the model is looked at again.
const MAX_WAIT_US: u64 = 100_000;
/// Shortest time until the model is looked at again.
const MIN_WAIT_US: u64 = 50;
/// How long a node that restarts tries to get its address back.
const BIND_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two tries to get the address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Time-out of the connection that wakes the listener.
const WAKE_TIMEOUT: Duration = Duration::from_millis(200);
/// Chance that an attempt in flight has its effect when the process dies.
const EFFECT_AT_DEATH: f64 = 0.5;

/// An attempt that has not ended.
pub(super) struct PendingAttempt {
    /// Number of its connection.
    pub(super) link: u64,
    pub(super) attempt: SendAttempt,
    pub(super) name: AttemptName,
}

/// A connection of a host.
pub(super) struct Link {
    pub(super) answers: Sender<Bytes>,
    pub(super) stream: TcpStream,
    pub(super) host: u32,
    /// Generation of the host.
    pub(super) generation: u64,
    /// Whether the host has said who it is.
    pub(super) has_hello: bool,
    /// The least difference seen between this node's clock and the host's, in microseconds.
    pub(super) clock_offset_us: i64,
}

/// Units served for a volume.
#[derive(Default)]
pub(super) struct ServedUnits {
    pub(super) total: f64,
    pub(super) by_host: HashMap<u32, HostUnits>,
}

/// Units served for a volume through one host.
#[derive(Default)]
pub(super) struct HostUnits {
    pub(super) own: f64,
    /// Units through other hosts that this host was last notified of.
    pub(super) reported_others: f64,
}

/// How many requests wait, as answers report it.
#[derive(Default)]
pub(super) struct LoadReport {
    pub(super) time_us: u64,
    pub(super) waiting: u32,
}

pub(super) struct State {
    pub(super) model: NodeModel,
    pub(super) faults: SocketFaults,
    pub(super) random: oorandom::Rand64,
    /// By the model's number of the job.
    pub(super) pending: HashMap<u64, PendingAttempt>,
    /// The last number that a connection or job was given.
    pub(super) last_number: u64,
    pub(super) links: HashMap<u64, Link>,
    /// By volume.
    pub(super) served: HashMap<u32, ServedUnits>,
    pub(super) load_report: LoadReport,
    pub(super) started_us: u64,
    pub(super) is_up: bool,
    /// Counts the deaths of the process.
    pub(super) generation: u64,
}

impl State {
    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Whether the model runs: not while the node is down or silent.
    fn is_running(&self) -> bool {
        self.is_up && !self.faults.silent
    }
}

pub(super) struct Process {
    pub(super) settings: NodeSettings,
    /// The address at which it listens.
    pub(super) address: SocketAddr,
    pub(super) state: Mutex<State>,
    /// Wakes the loop that runs the model.
    pub(super) changed: Condvar,
    is_stopped: AtomicBool,
}

impl Process {
    pub(super) fn start(settings: NodeSettings) -> io::Result<Arc<Process>> {
        let listener = bind(&settings)?;
        let address = listener.local_addr()?;
        let now_us = now_us();
        let has_just_started = settings.has_just_started;
        let model = NodeModel::new(now_us, settings.behavior.clone(), settings.seed, has_just_started);
        let state = State {
            model,
            faults: SocketFaults::default(),
            random: oorandom::Rand64::new(u128::from(settings.seed) + 1),
            pending: HashMap::new(),
            last_number: 0,
            links: HashMap::new(),
            served: HashMap::new(),
            load_report: LoadReport::default(),
            started_us: if has_just_started { now_us } else { now_us.saturating_sub(LONG_UP_US) },
            is_up: true,
            generation: 0,
        };
        let process = Arc::new(Process {
            settings,
            address,
            state: Mutex::new(state),
            changed: Condvar::new(),
            is_stopped: AtomicBool::new(false),
        });
        process.note_up(&lock(&process.state));
        let timer = process.clone();
        spawn("node time", move || timer.run_model())?;
        let acceptor = process.clone();
        spawn("node listen", move || acceptor.accept_links(&listener, 0))?;
        Ok(process)
    }

    pub(super) fn advertised_address(&self) -> SocketAddr {
        self.settings.advertised_address.unwrap_or(self.address)
    }

    /// The name by which a trace knows the node.
    pub(super) fn name(&self) -> String {
        self.advertised_address().to_string()
    }

    pub(super) fn started_us(&self) -> u64 {
        let started_us = lock(&self.state).started_us;
        if now_us() - started_us > MAX_REPORTED_AGE_US {
            0
        } else {
            started_us
        }
    }

    pub(super) fn is_up(&self) -> bool {
        lock(&self.state).is_up
    }

    pub(super) fn has_collapsed(&self) -> bool {
        lock(&self.state).model.has_collapsed()
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    pub(super) fn set(self: &Arc<Self>, fault: &Fault) {
        let now_us = now_us();
        let mut state = lock(&self.state);
        state.model.advance(now_us);
        match *fault {
            Fault::Slow(times) => state.model.faults.slowdown = times.max(0.01),
            Fault::Neighbour(share) => state.model.faults.neighbour_share = share.min(0.99),
            Fault::Errors(fraction) => state.model.faults.error_rate = fraction,
            Fault::Heavy(fraction, times) => {
                state.model.faults.heavy_fraction = fraction;
                state.model.faults.heavy_multiple = times;
            }
            Fault::Pause(seconds) => state.model.pause(now_us, seconds),
            Fault::Silent(on) => state.faults.silent = on,
            Fault::Deaf(on) => state.faults.deaf = on,
            Fault::Drip(on) => state.faults.drip = on,
            Fault::ResetAnswers(fraction) => state.faults.reset_fraction = fraction,
            Fault::CutAnswers(fraction) => state.faults.cut_fraction = fraction,
            Fault::Garbage(fraction) => state.faults.garbage_fraction = fraction,
            Fault::Reset => reset_links(&state),
            Fault::Restart(down_s) => {
                self.die(&mut state);
                self.restart_after(Duration::from_secs_f64(down_s), state.generation);
            }
            Fault::Die => self.die(&mut state),
            Fault::Well => {
                state.model.faults = NodeFaults::default();
                state.faults = SocketFaults::default();
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    pub(super) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Release);
        let mut state = lock(&self.state);
        if state.is_up {
            self.die(&mut state);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn note_up(&self, state: &State) {
        let settings = &self.settings;
        let behavior = &settings.behavior;
        let warms_up = now_us().saturating_sub(state.started_us) < JUST_STARTED_US;
        settings.recorder.note(Event::NodeUp {
            node: self.name(),
            zone: settings.zone,
            shard: settings.shard,
            capacity: state.model.behavior().capacity(),
            initial_capacity: if warms_up { behavior.initial_capacity } else { 1.0 },
            warm_us: if warms_up { (behavior.warm_up_s * 1e6) as u64 } else { 0 },
        });
    }

    /// The process dies: its connections are reset, and an attempt in flight may or may not have its effect.
    fn die(&self, state: &mut State) {
        state.is_up = false;
        state.generation += 1;
        self.settings.recorder.note(Event::NodeDown { node: self.name() });
        for id in state.model.pending_jobs() {
            if state.random.rand_float() < EFFECT_AT_DEATH {
                if let Some(pending) = state.pending.get(&id) {
                    self.apply(&pending.attempt);
                }
            }
        }
        state.pending.clear();
        reset_links(state);
        // The listener waits for a connection; this connection wakes it, and it ends.
        _ = TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT);
    }

    /// Starts the process again after a time, unless it has been started or has died since.
    fn restart_after(self: &Arc<Self>, down: Duration, generation: u64) {
        let process = self.clone();
        let restart = move || {
            std::thread::sleep(down);
            process.restart(generation);
        };
        _ = spawn("node restart", restart);
    }

    fn restart(self: Arc<Self>, generation: u64) {
        if self.is_stopped() || lock(&self.state).generation != generation {
            return;
        }
        let Some(listener) = self.bind_again() else { return };
        let mut state = lock(&self.state);
        let now_us = now_us();
        let faults = state.model.faults.clone();
        state.model =
            NodeModel::new(now_us, self.settings.behavior.clone(), self.settings.seed ^ now_us, true);
        state.model.faults = faults;
        state.started_us = now_us;
        state.is_up = true;
        state.served.clear();
        self.note_up(&state);
        drop(state);
        let acceptor = self.clone();
        _ = spawn("node listen", move || acceptor.accept_links(&listener, generation));
    }

    /// Listens at the same address as before, which the system may still hold for a while.
    fn bind_again(&self) -> Option<TcpListener> {
        let give_up_at = Instant::now() + BIND_TIMEOUT;
        let settings = NodeSettings { address: self.address, ..self.settings.clone() };
        loop {
            match bind(&settings) {
                Ok(listener) => return Some(listener),
                Err(_) if Instant::now() < give_up_at => std::thread::sleep(BIND_RETRY_INTERVAL),
                Err(_) => return None,
            }
        }
    }

    fn accept_links(self: Arc<Self>, listener: &TcpListener, generation: u64) {
        for stream in listener.incoming() {
            if self.is_stopped() || lock(&self.state).generation != generation {
                return;
            }
            let Ok(stream) = stream else { continue };
            let process = self.clone();
            _ = spawn("node link", move || process.serve_link(stream));
        }
    }

    fn run_model(&self) {
        let mut state = lock(&self.state);
        while !self.is_stopped() {
            if state.is_running() {
                state.model.advance(now_us());
                self.answer_ended(&mut state);
            }
            let next_us = if state.is_running() { state.model.poll_timeout() } else { None };
            let wait_us = next_us.map_or(MAX_WAIT_US, |time_us| {
                time_us.saturating_sub(now_us()).clamp(MIN_WAIT_US, MAX_WAIT_US)
            });
            let wait = self.changed.wait_timeout(state, Duration::from_micros(wait_us));
            state = wait.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn bind(settings: &NodeSettings) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(settings.address)?;
    if settings.receive_bytes > 0 {
        // Connections inherit the size of the buffer.
        socket2::SockRef::from(&listener).set_recv_buffer_size(settings.receive_bytes)?;
    }
    Ok(listener)
}

fn reset_links(state: &State) {
    state.links.values().for_each(|link| reset(&link.stream));
}
