//! The workload through real hosts, sockets and emulated nodes.

use super::{new_histogram, with_latencies, FlowFigures};
use crate::testbed::loopback;
use crate::BenchmarkError;
use crossbeam_channel::{Receiver, Sender};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tackmast_client::{Client, Op, Options, Outcome, Protocol};
use tackmast_emulators::list::NodeList;
use tackmast_emulators::model::NodeBehavior;
use tackmast_emulators::node::{IdempotencyKeys, Node, NodeSettings};
use tackmast_host::Host;
use tackmast_simulator::{settings, World};
use tackmast_trace::Recorder;
use tackmast_workload::{Arrival, Workload};

/// How long a client may take to open its volume.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Deadline of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Threads that call at the same time for one host. A request that finds all of them busy waits, and its wait counts.
const CALLERS_PER_HOST: usize = 48;
/// How long hosts get to connect to their nodes.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Calls that a client may have open.
const MAX_CALLS: usize = 4096;
/// Hosts that share the second volume at most.
const MAX_HOSTS_OF_SCHOOL: u32 = 3;
/// Zones of the nodes.
const ZONE_COUNT: u32 = 3;
/// Latency objective of writes.
const WRITE_OBJECTIVE: Duration = Duration::from_millis(250);
/// Latency objective of reads.
const READ_OBJECTIVE: Duration = Duration::from_millis(200);
/// Bytes of a block.
const BLOCK_BYTES: u32 = 512;

/// The volumes of the world, by their unit numbers.
#[derive(Clone, Copy)]
enum Volume {
    Museum,
    School,
}

/// A request with the time at which it is due.
struct DueRequest {
    due_at: Instant,
    arrival: Arrival,
    volume: Volume,
}

/// The clients of one host.
struct HostClients {
    museum: Client,
    school: Client,
}

/// Figures of a flow so far.
struct FlowRecorder {
    figures: FlowFigures,
    latencies: Histogram<u64>,
}

pub(super) fn play(world: &World, workload: &Workload) -> Result<Vec<FlowFigures>, BenchmarkError> {
    let nodes = start_nodes(world)?;
    let list = NodeList::start(loopback(), Recorder::off()).map_err(BenchmarkError::NodeList)?;
    list.put(nodes.iter().map(Node::list_entry));
    let hosts = start_hosts(world, list.address)?;
    std::thread::sleep(SETTLE_TIME);
    let clients: Vec<HostClients> = hosts.iter().map(HostClients::open).collect::<Result<_, _>>()?;
    let recorders: Vec<Mutex<FlowRecorder>> =
        workload.flows.iter().map(|_| Mutex::new(FlowRecorder::new())).collect();
    let started = Instant::now();
    std::thread::scope(|scope| {
        for (host, clients) in clients.iter().enumerate() {
            let (sender, due_requests) = crossbeam_channel::unbounded();
            scope.spawn(move || schedule(world, workload, host as u32, started, &sender));
            for _ in 0..CALLERS_PER_HOST {
                let (due_requests, recorders) = (due_requests.clone(), &recorders);
                scope.spawn(move || call_each(clients, &due_requests, recorders));
            }
        }
    });
    clients.into_iter().for_each(HostClients::close);
    hosts.into_iter().for_each(Host::stop);
    list.stop();
    nodes.iter().for_each(Node::stop);
    let recorders = recorders.into_iter();
    Ok(recorders
        .map(|recorder| recorder.into_inner().unwrap_or_else(PoisonError::into_inner).finish())
        .collect())
}

fn start_nodes(world: &World) -> Result<Vec<Node>, BenchmarkError> {
    let idempotency_keys = Arc::new(IdempotencyKeys::default());
    let start = |shard: u32| {
        Node::start(NodeSettings {
            zone: shard % ZONE_COUNT,
            behavior: NodeBehavior {
                unit_s: world.unit_s,
                cores: world.cores,
                queue: 400,
                ..NodeBehavior::default()
            },
            seed: u64::from(shard),
            idempotency_keys: idempotency_keys.clone(),
            window_s: 2.0,
            ..NodeSettings::on_loopback(shard, Recorder::off())
        })
    };
    (0..world.nodes).map(start).collect::<Result<_, _>>().map_err(BenchmarkError::Node)
}

fn start_hosts(world: &World, list: SocketAddr) -> Result<Vec<Host>, BenchmarkError> {
    let start = |number: u32| {
        let mut settings = settings(world, number, None);
        settings.host.node_list = list;
        settings.host.listen_nbd = Some(loopback());
        Host::start(settings)
    };
    Ok((0..world.hosts).map(start).collect::<Result<_, _>>()?)
}

/// Hands out the requests of one host when they are due.
fn schedule(world: &World, workload: &Workload, host: u32, started: Instant, sender: &Sender<DueRequest>) {
    for arrival in workload.arrivals(world.hosts) {
        let volume = Volume::named(&workload.flows[arrival.flow].volume);
        let own_host = match volume {
            Volume::Museum => arrival.host,
            Volume::School => arrival.host % world.hosts.min(MAX_HOSTS_OF_SCHOOL),
        };
        if own_host != host {
            continue;
        }
        let due_at = started + Duration::from_micros(arrival.at_us);
        std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
        _ = sender.send(DueRequest { due_at, arrival, volume });
    }
}

fn call_each(clients: &HostClients, due_requests: &Receiver<DueRequest>, recorders: &[Mutex<FlowRecorder>]) {
    for DueRequest { due_at, arrival, volume } in due_requests {
        let (offset, length) = (arrival.block * u64::from(BLOCK_BYTES), arrival.blocks * BLOCK_BYTES);
        let op = if arrival.write {
            Op::Write { offset, data: vec![0; length as usize].into() }
        } else {
            Op::Read { offset, length }
        };
        let outcome = clients.of(volume).submit(op, Some(REQUEST_TIMEOUT)).wait();
        let latency = due_at.elapsed();
        let mut recorder = recorders[arrival.flow].lock().unwrap_or_else(PoisonError::into_inner);
        recorder.record(arrival.write, &outcome, latency);
    }
}

impl Volume {
    fn named(name: &str) -> Self {
        if name == "school" {
            Volume::School
        } else {
            Volume::Museum
        }
    }
}

impl HostClients {
    fn open(host: &Host) -> Result<Self, BenchmarkError> {
        let address = host.nbd.ok_or(BenchmarkError::NoNbdAddress)?;
        let open = |volume: &str, lun| {
            let options = Options::new(Protocol::Nbd, address, volume, lun);
            Client::open(Options { max_calls: MAX_CALLS, ..options }, OPEN_TIMEOUT)
        };
        Ok(HostClients { museum: open("museum", 0)?, school: open("school", 1)? })
    }

    fn of(&self, volume: Volume) -> &Client {
        match volume {
            Volume::Museum => &self.museum,
            Volume::School => &self.school,
        }
    }

    fn close(self) {
        self.museum.close();
        self.school.close();
    }
}

impl FlowRecorder {
    fn new() -> Self {
        FlowRecorder { figures: FlowFigures::default(), latencies: new_histogram() }
    }

    fn record(&mut self, write: bool, outcome: &Outcome, latency: Duration) {
        self.figures.request_count += 1;
        match outcome {
            Outcome::Done(_) => {
                self.figures.done += 1;
                let objective = if write { WRITE_OBJECTIVE } else { READ_OBJECTIVE };
                self.figures.in_time += u64::from(latency <= objective);
                _ = self.latencies.record(latency.as_micros().max(1) as u64);
            }
            Outcome::Rejected { .. } => self.figures.rejected += 1,
            _ => self.figures.failed += 1,
        }
    }

    fn finish(self) -> FlowFigures {
        with_latencies(self.figures, &self.latencies)
    }
}
