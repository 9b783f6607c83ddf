//! The host and its event loop. The submodules handle requests of clients (`requests`), attempts at nodes (`attempts`), the endpoint
//! list (`endpoint_list`), datagrams of peers (`peer_link`), signals and shutdown (`shutdown`), and status reports (`status`).

mod attempts;
mod endpoint_list;
mod peer_link;
mod requests;
mod shutdown;
mod status;

pub use status::{OpenCounts, StartError, Status};

use self::endpoint_list::MIN_POLL_INTERVAL;
use self::peer_link::PeerLink;
use crate::client_connections::ClientConnections;
use crate::list_watch::Watch;
use crate::node_connections::NodeConnections;
use crate::poller::{Poller, Ready, Token, READ};
use crate::request_ids::RequestIds;
use crate::resource_budget::ResourceBudget;
use crate::shutdown_schedule::{ShutdownPhase, ShutdownSchedule};
use crate::sockets;
use std::collections::HashMap;
use std::fmt::Display;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::time::Duration;
use tackmast::interface::{Instant, ListKind, TimeDelta};
use tackmast_config::TrafficClass;
use tackmast_host_core::{AttemptResult, Core, CoreSettings};
use tackmast_platform::{Configuration, Reports, Settings};

/// Time between checks of the timeouts of connections, polls and phases.
const TIMEOUT_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(20);
/// Maximum number of nodes that the host core remembers: 3,200, the successor of each, and some that are gone.
const MAX_NODES: usize = 8192;
/// Maximum number of volumes whose names the host core remembers.
const MAX_VOLUMES: usize = 1024;

/// A signal to the process, by what it asks a running host to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Read the configuration again.
    Reload,
    /// Shut down gracefully.
    Shutdown,
}

/// The monotonic clock, with the start of the host as its origin.
struct Clock(std::time::Instant);

impl Clock {
    fn now(&self) -> Instant {
        Instant::from_secs(self.0.elapsed().as_secs_f64())
    }
}

/// A host of the operators' platform, with all its sockets.
pub struct Host {
    settings: Settings,
    core: Core,
    clock: Clock,
    poller: Poller,
    listener: Option<TcpListener>,
    clients: ClientConnections,
    node_connections: NodeConnections,
    watch: Watch,
    /// Whether the endpoint list is polled continuously; each answer starts the next poll.
    watches_list: bool,
    last_poll_at: Instant,
    /// When the next poll is due, if it has to wait for the minimum interval.
    next_poll_at: Option<Instant>,
    /// Whether a complete list was applied and no change is missing since. Otherwise the complete list is polled.
    has_complete_list: bool,
    /// Whether an answer of the list service has brought the list of the configuration up to date.
    is_list_confirmed: bool,
    signals: HashMap<u32, (ProcessSignal, UnixStream)>,
    request_ids: RequestIds,
    /// The number of the request that was accepted last; 0 before the first.
    last_request_number: u32,
    /// Number of requests that were malformed or not allowed.
    refused: u64,
    /// Ids of the connections whose next request may already be in the reader's buffer.
    pipelined_clients: Vec<u32>,
    attempt_results: Vec<AttemptResult>,
    timeouts_checked_at: Instant,
    /// When the shutdown was requested.
    shutdown_since: Option<Instant>,
    shutdown_schedule: ShutdownSchedule,
    shutdown_phase: ShutdownPhase,
    peers: Option<PeerLink>,
    restored_shards: usize,
}

impl Host {
    /// Creates a host and opens the sockets that the configuration names. Fails if the poller or a socket can't be opened.
    pub fn start(configuration: &Configuration) -> Result<Self, StartError> {
        let clock = Clock(std::time::Instant::now());
        let now = clock.now();
        let settings = configuration.settings.clone();
        let budget = ResourceBudget::of(&configuration.limits);
        let poller = Poller::new().map_err(StartError::Poller)?;
        let listener = bind_listener(configuration.listen, &poller)
            .map_err(|problem| StartError::Listen { address: configuration.listen, problem })?;
        let mut scheduler = settings.scheduler(now, configuration.seed);
        if settings.lists_are_pushed() {
            scheduler.lists_are_pushed(settings.drain_grace);
        }
        // Where lists are pushed too, the platform's agent is polled from the start. Otherwise the host would use the list in its
        // configuration file until it exits.
        scheduler.watch_endpoint_list();
        let core =
            Core::with_scheduler(now, scheduler, core_settings(&settings, &budget), configuration.seed);
        let peers = PeerLink::open(now, configuration, &poller)?;
        let mut host = Host {
            core,
            clock,
            poller,
            listener: Some(listener),
            clients: client_connections(&settings, &budget),
            node_connections: node_connections(&settings, &budget),
            watch: Watch::new(configuration.discovery),
            watches_list: false,
            last_poll_at: now - MIN_POLL_INTERVAL,
            next_poll_at: None,
            has_complete_list: false,
            is_list_confirmed: false,
            signals: HashMap::new(),
            request_ids: RequestIds::default(),
            last_request_number: 0,
            refused: 0,
            pipelined_clients: Vec::new(),
            attempt_results: Vec::new(),
            timeouts_checked_at: now,
            shutdown_since: None,
            shutdown_schedule: ShutdownSchedule::new(longest_deadline(&settings)),
            shutdown_phase: ShutdownPhase::Serving,
            peers,
            restored_shards: 0,
            settings,
        };
        if let Some(known) = &configuration.known {
            host.apply_list(now, ListKind::Saved, 0, known);
        }
        Ok(host)
    }

    /// Registers a stream that carries one byte for each signal of this kind. Bytes that are read together count as one signal.
    pub fn register_signal(&mut self, signal: ProcessSignal, from: UnixStream) -> std::io::Result<()> {
        let number = self.signals.len() as u32;
        from.set_nonblocking(true)?;
        self.poller.add(&from, Token::Signal(number), READ)?;
        self.signals.insert(number, (signal, from));
        Ok(())
    }

    /// Returns the address at which the host accepts connections, or `None` once its listener is closed.
    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Returns a snapshot of counters and state, for logs and tests.
    pub fn status(&self) -> Status {
        Status {
            core: self.core.counters,
            client_counters: self.clients.counters,
            node_counters: self.node_connections.counters,
            refused: self.refused,
            client_connections: self.clients.len(),
            node_connections: self.node_connections.len(),
            open: self.core.open_counts(),
            serves: self.shutdown_since.is_none(),
            listen_address: self.address(),
            nodes: self.core.nodes().entries().count(),
            version: self.core.list_version(),
            restored_shards: self.restored_shards,
            rejected_datagrams: self.peers.as_ref().map_or(0, PeerLink::rejected_datagrams),
        }
    }

    /// Runs the event loop until the host has shut down. `reload` reads the configuration again after [`ProcessSignal::Reload`].
    pub fn run<E: Display>(&mut self, mut reload: impl FnMut() -> Result<Configuration, E>) {
        let mut ready = Vec::new();
        while !self.run_iteration(&mut ready, &mut reload) {}
    }

    /// Runs one iteration of the event loop, and returns whether the host has shut down. `ready` is a buffer that is reused between calls.
    pub fn run_iteration<E: Display>(
        &mut self,
        ready: &mut Vec<Ready>,
        reload: &mut impl FnMut() -> Result<Configuration, E>,
    ) -> bool {
        self.poller.wait(self.poll_wait(), ready);
        self.clients.begin_iteration();
        for socket in ready.iter() {
            self.handle_ready_socket(*socket, reload);
        }
        let now = self.clock.now();
        // At most one buffered request per connection in each iteration: a client that pipelines many would otherwise delay the others.
        for id in std::mem::take(&mut self.pipelined_clients) {
            let client_event = self.clients.next_request(now, &self.poller, id);
            self.handle_client_event(now, id, client_event);
        }
        if now - self.timeouts_checked_at >= TIMEOUT_CHECK_INTERVAL {
            self.timeouts_checked_at = now;
            self.check_timeouts(now);
        }
        self.core.handle_timeout(now);
        self.execute_outputs();
        self.shutdown_since.is_some() && self.has_shut_down()
    }

    fn handle_ready_socket<E: Display>(
        &mut self,
        ready: Ready,
        reload: &mut impl FnMut() -> Result<Configuration, E>,
    ) {
        let now = self.clock.now();
        match ready.token {
            Token::List(number) => {
                let watch_event = self.watch.handle_ready(now, &self.poller, number, ready, &self.settings);
                self.handle_watch_event(now, watch_event);
            }
            Token::Signal(number) => {
                if let Some(signal) = self.read_signal(number) {
                    self.handle_signal(now, signal, reload);
                }
            }
            Token::NodeConnection(id) => {
                // The connection may just have been established. Whether the client has disconnected meanwhile is checked first;
                // otherwise its request would be written to the node.
                let client = self.node_connections.connecting_client(id);
                let may_begin = client.is_none_or(|client| self.check_client(now, client));
                self.node_connections.handle_ready(
                    now,
                    &self.poller,
                    id,
                    ready,
                    may_begin,
                    &mut self.attempt_results,
                );
                self.report_attempt_results(now);
            }
            Token::ClientConnection(id) => {
                let client_event = self.clients.handle_ready(now, &self.poller, id, ready);
                self.handle_client_event(now, id, client_event);
            }
            Token::Listener => self.accept(now),
            Token::Peers => self.receive_peer_datagrams(now),
        }
        self.execute_outputs();
    }

    fn poll_wait(&self) -> Duration {
        if !self.pipelined_clients.is_empty() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let next_check = self.timeouts_checked_at + TIMEOUT_CHECK_INTERVAL;
        let timeouts = [self.core.poll_timeout(now), self.node_connections.poll_timeout(), Some(next_check)];
        let next_timeout = timeouts.into_iter().flatten().min().unwrap_or(next_check);
        Duration::from_secs_f64((next_timeout - now).secs().max(0.0))
    }

    fn check_timeouts(&mut self, now: Instant) {
        if let Some(peers) = &mut self.peers {
            peers.handle_timeout(now, || self.core.service_rates(now));
        }
        let late = self.watch.handle_timeout(now, &self.settings);
        self.handle_watch_event(now, late);
        if self.watches_list && !self.watch.is_polling() && self.next_poll_at.is_some_and(|due| due <= now) {
            self.poll_list(now);
        }
        self.node_connections.handle_timeout(now, &mut self.attempt_results);
        self.report_attempt_results(now);
        for (id, open) in self.clients.handle_timeout(now, &self.poller) {
            self.abort_request(now, id, Some(open));
        }
        self.advance_shutdown(now);
    }
}

fn client_connections(settings: &Settings, budget: &ResourceBudget) -> ClientConnections {
    ClientConnections::new(budget.client_connections, budget.buffer_bytes, settings.longest_wait)
}

fn node_connections(settings: &Settings, budget: &ResourceBudget) -> NodeConnections {
    let reports = Reports::of(settings);
    NodeConnections::new(budget.node_connections, settings.connect_timeout, settings.conn_idle, reports)
}

fn bind_listener(address: SocketAddr, poller: &Poller) -> std::io::Result<TcpListener> {
    let listener = sockets::listen(address)?;
    poller.add(&listener, Token::Listener, READ)?;
    Ok(listener)
}

fn core_settings(settings: &Settings, budget: &ResourceBudget) -> CoreSettings {
    let traffic_classes = settings.traffic_classes.iter().map(|class| TrafficClass {
        name: class.name.clone(),
        latency_objective: class.latency_objective,
        deadline: class.deadline,
        effect: class.effect,
        in_order: class.in_order,
        order_blocks: None,
    });
    CoreSettings {
        traffic_classes: traffic_classes.collect(),
        reports_peer_service: settings.reports_peer_service,
        max_retry_after: settings.longest_wait,
        drain_grace: settings.drain_grace,
        max_requests: budget.requests,
        max_bytes: budget.buffer_bytes,
        max_nodes: MAX_NODES,
        max_volumes: MAX_VOLUMES,
    }
}

fn longest_deadline(settings: &Settings) -> TimeDelta {
    settings.traffic_classes.iter().map(|class| class.deadline).max().unwrap_or(TimeDelta::ZERO)
}

#[cfg(test)]
mod tests;
