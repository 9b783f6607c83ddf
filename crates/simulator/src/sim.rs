//! One run in virtual time: a queue of events by time, and the hosts, links, nodes, endpoint list and clients that they act
//! on. `event` has the events and `state` the records, `dispatch` hands each event to its handler, and each other module
//! handles the events of one part.

mod active_faults;
mod arrivals;
mod attempts;
mod clients;
mod clocks;
mod commands;
mod dispatch;
mod endpoint_list;
mod event;
mod faults;
mod figures;
mod hosts;
mod links;
mod mutant;
mod nodes;
mod operators;
mod settings;
mod setup;
mod state;
mod totals;

pub(crate) use arrivals::{LIMITED_FRACTION, MAX_COMMAND_BLOCKS, ORDERED_BLOCK_SPAN, WRITE_FRACTION};
pub use figures::{Class, Run};
pub use mutant::Mutant;
pub(crate) use settings::blocks;
pub use settings::settings;

use crate::clients::Client;
use crate::reference_model::ReferenceModel;
use crate::scenario_script::ScriptRequest;
use crate::world::World;
use active_faults::ActiveFaults;
use clocks::Clock;
use event::{Event, HostProcess, ScheduledEvent};
use state::{BusiestHost, Host, PersistedHost, ScriptAttempt, SimNode};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use tackmast::interface::Instant;
use tackmast_config::HostSettings;
use tackmast_host_core::OpenCounts;
use tackmast_target::Offer;
use tackmast_trace::Line;
use tackmast_wire::scsi::Unit;
use tackmast_workload::Arrival;

/// Microseconds of virtual time.
type Us = u64;

/// At least this long after the last arrival every deadline has passed, in microseconds.
const MIN_SETTLE_TIME: Us = 2_500_000;
/// How long after the longest deadline a run ends, in microseconds.
const TIME_AFTER_DEADLINES: Us = 1_300_000;
/// Where virtual time begins, in microseconds: late enough that there is a past before it.
const START_TIME: Us = 100_000_000;
/// From the start until the traffic of a workload or scenario begins, in microseconds. Until then hosts get the endpoint
/// list.
const TRAFFIC_START_DELAY: Us = 500_000;
/// The first commands of hosts are spread over this time, in microseconds.
const FIRST_ARRIVAL_SPREAD_US: f64 = 20_000.0;
/// Session of the commands that come without a protocol. Sessions of clients have higher numbers.
const DIRECT_SESSION: u32 = 1;
/// Name of the volume whose plan has a limit, which comes through the first hosts only.
pub(crate) const LIMITED_VOLUME: &str = "school";
/// Name of the volume whose plan has no limit, which comes through all hosts.
pub(crate) const UNLIMITED_VOLUME: &str = "museum";
/// Number of the limited volume.
const LIMITED_LUN: u32 = 1;
/// Number of the unlimited volume.
const UNLIMITED_LUN: u32 = 0;
/// Bytes of a volume's block.
const BLOCK_BYTES: u32 = 512;

/// The state of a run.
struct Sim<'a> {
    world: &'a World,
    mutant: Option<Mutant>,
    reference_model: Option<ReferenceModel>,
    clocks: Vec<Clock>,
    persisted: Vec<PersistedHost>,
    clients: Vec<Client>,
    clients_by_host: Vec<Vec<u32>>,
    /// What is left of the arrivals of a workload file.
    arrivals: VecDeque<Arrival>,
    /// What is left of the requests of a script's traffic.
    script_requests: VecDeque<ScriptRequest>,
    script_attempts: BTreeMap<u64, ScriptAttempt>,
    /// How long nodes discard repeats of an idempotency key.
    idempotency_window: Us,
    offer: Arc<Offer>,
    units: Arc<Vec<Unit>>,
    settings: Vec<HostSettings>,
    now: Us,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The newest number of an event, link, connection or script request.
    sequence: u64,
    generator: oorandom::Rand64,
    hosts: Vec<Host>,
    nodes: Vec<SimNode>,
    active_faults: ActiveFaults,
    /// Until then a restart of all nodes keeps them down.
    mass_restart_until: Us,
    /// By host and node: until when nothing passes between them.
    partitions: BTreeMap<(u32, u32), Us>,
    /// By zone and idempotency key: when the key was last received by a node of the zone.
    idempotency_keys: BTreeMap<(u32, u128), Us>,
    list_version: u64,
    list_delay: Us,
    is_list_failing: bool,
    /// By this the rate of generated commands is multiplied.
    surge_factor: f64,
    /// Fraction of commands that their clients abort.
    abort_fraction: f64,
    /// Fraction of commands that are for one object.
    hot_fraction: f64,
    busiest: Option<BusiestHost>,
    /// Hosts below this fraction of all are partitioned from the rest.
    host_partition: Option<f64>,
    /// The newest generation of a host's process.
    generation: u64,
    send_count: u64,
    answer_count: u64,
    /// By number of a change of plans: when each host adopted it.
    plan_adoption: BTreeMap<u64, BTreeMap<u32, Us>>,
    /// By number of a change of plans: the index of its line in the trace.
    acknowledged_plans: BTreeMap<u64, usize>,
    run: Run,
}

/// Where a host's peers reach it.
pub(crate) fn peer_address(host_index: u32) -> SocketAddr {
    SocketAddr::from(([10, 9, (host_index / 250) as u8, (host_index % 250) as u8], 7000))
}

fn instant_at(time: Us) -> Instant {
    Instant::from_secs(time as f64 / 1e6)
}

fn microseconds(instant: Instant) -> Us {
    (instant.secs() * 1e6).round().max(0.0) as Us
}

/// Plays a world to its end, with the host core or with a reference model in its place.
pub fn run(world: &World, mutant: Option<Mutant>, reference_model: Option<ReferenceModel>) -> Run {
    let mut sim = Sim::new(world, mutant, reference_model);
    sim.play();
    sim.run.trace.sort_by_key(|line| line.t);
    sim.sum_up();
    sim.run
}

impl Sim<'_> {
    /// What a host's steady clock shows.
    fn steady_clock(&self, host_index: u32) -> Instant {
        self.clocks[host_index as usize].steady_at(self.now)
    }

    /// What a host's wall clock shows, in microseconds.
    fn wall_clock(&self, host_index: u32) -> Us {
        self.clocks[host_index as usize].wall_at(self.now)
    }

    /// The current process of a host.
    fn process_of(&self, host_index: u32) -> HostProcess {
        HostProcess { host: host_index, generation: self.hosts[host_index as usize].generation }
    }

    /// Whether that is still the current process of its host.
    fn is_current(&self, process: HostProcess) -> bool {
        self.hosts[process.host as usize].generation == process.generation
    }

    /// Whether a host is up and not paused.
    fn is_running(&self, host_index: u32) -> bool {
        let host = &self.hosts[host_index as usize];
        host.up && host.paused_until <= self.now
    }

    /// Hosts through which the limited volume's commands come: the first ones.
    fn limited_host_count(&self) -> u32 {
        self.world.limited_hosts.min(self.world.hosts)
    }

    fn record(&mut self, event: tackmast_trace::Event) {
        self.run.trace.push(Line { t: self.now, event });
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Schedules an event, at the earliest now.
    fn schedule(&mut self, due: Us, event: Event) {
        let (due, sequence) = (due.max(self.now), self.next_sequence());
        self.queue.push(Reverse(ScheduledEvent { due, sequence, event }));
    }

    fn play(&mut self) {
        let start = self.now;
        self.start_all();
        // The faults of a script count from when its traffic begins.
        let start = if self.world.scenario.is_some() { start + TRAFFIC_START_DELAY } else { start };
        self.schedule_faults(start);
        let deadlines = self.settings[0].traffic_classes.iter().map(|class| class.deadline.secs());
        let longest_deadline = (deadlines.fold(0.0, f64::max) * 1e6) as Us;
        let settle_time = MIN_SETTLE_TIME.max(longest_deadline + TIME_AFTER_DEADLINES);
        let end = start + (self.world.seconds * 1e6) as Us + settle_time;
        self.run_until(end, end - settle_time);
        self.finish();
    }

    /// Handles all events up to `end`. Traffic is generated until `last_arrival`.
    fn run_until(&mut self, end: Us, last_arrival: Us) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.due <= end) {
            let Some(Reverse(ScheduledEvent { due, event, .. })) = self.queue.pop() else { break };
            self.now = due;
            self.run.events += 1;
            self.handle_event(event, last_arrival);
        }
        self.now = end;
    }

    /// Starts nodes, hosts, clients and traffic.
    fn start_all(&mut self) {
        let facts = self.facts();
        self.record(tackmast_trace::Event::Facts(facts));
        for node_index in 0..self.world.nodes {
            let node = &self.nodes[node_index as usize];
            let is_warming_up = node.started > 0;
            let initial_capacity = if is_warming_up { node.model.behavior().initial_capacity } else { 1.0 };
            self.record_node_up(node_index, initial_capacity);
        }
        let start = self.now;
        for host_index in 0..self.world.hosts {
            let host = self.new_host(host_index);
            self.hosts.push(host);
            self.record(tackmast_trace::Event::HostUp { host: host_index });
            self.add_clients(host_index);
            self.schedule(start, Event::HostTimer { host: host_index });
            let first = start + (self.generator.rand_float() * FIRST_ARRIVAL_SPREAD_US) as Us;
            if self.world.load.is_none() && self.world.scenario.is_none() {
                self.schedule(first, Event::GeneratedArrival { host: host_index });
            }
        }
        if let Some(arrival) = self.arrivals.front() {
            self.schedule(start + TRAFFIC_START_DELAY + arrival.at_us, Event::WorkloadArrival);
        }
        if let Some(request) = self.script_requests.front() {
            self.schedule(start + TRAFFIC_START_DELAY + request.at_us, Event::ScriptRequest);
        }
    }

    /// Counts what is left open at the end.
    fn finish(&mut self) {
        self.record_plan_convergence();
        self.record(tackmast_trace::Event::Fault { what: "end".into(), on: false });
        for host in self.hosts.iter().filter(|host| host.up) {
            let OpenCounts { commands, requests, attempts } = host.core.open_counts();
            self.run.stuck += commands + requests + attempts + host.core.key_queue_count();
        }
        self.run.stuck += self.clients.iter().map(|client| client.core.open_calls()).sum::<usize>();
        self.run.fallen = self.nodes.iter().filter(|node| node.model.has_collapsed()).count();
    }
}
