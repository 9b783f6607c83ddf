//! The laboratory held against loopback: the same load from the same file, once in virtual time and once through real
//! hosts, sockets and stand-in nodes of the same nature, side by side.

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
use tackmast_wire::list::{Entry, State};
use tackmast_workload::Workload;

const PATIENCE: Duration = Duration::from_secs(10);
/// Threads that ask at the same time for one host; a later arrival than all of them can take waits, and its wait counts.
const ASKERS: usize = 48;

/// One flow's figures; times in milliseconds, from when a request was due.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub asked: u64,
    pub done: u64,
    pub rejected: u64,
    pub failed: u64,
    pub in_time: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
}

pub struct Both {
    pub flow: String,
    pub lab: Figures,
    pub loopback: Figures,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// The world that both play: no troubles, links as short as loopback's.
pub fn world(load: &Workload, hosts: u32, nodes: u32, unit_ms: f64) -> World {
    let mut w = World::draw(1, hosts);
    (w.nodes, w.seconds, w.unit_s, w.cores) = (nodes, load.seconds + 0.5, unit_ms / 1e3, 2);
    (w.delay_us, w.jitter_us, w.list_late_us) = (50, 20, 10_000);
    (w.clients, w.wall_off_s, w.drift) = ([0, 2], 0.0, 0.0);
    w.troubles.clear();
    w.load = Some(Arc::new(load.clone()));
    w
}

/// Plays the load both ways.
pub fn held_against_loopback(
    load: &Workload,
    hosts: u32,
    nodes: u32,
    unit_ms: f64,
) -> Result<Vec<Both>, String> {
    let w = world(load, hosts, nodes, unit_ms);
    let lab = in_lab(&w, load);
    let real = on_loopback(&w, load)?;
    let flows = load.flows.iter().zip(lab).zip(real);
    Ok(flows.map(|((f, lab), loopback)| Both { flow: f.name.clone(), lab, loopback }).collect())
}

fn in_lab(w: &World, load: &Workload) -> Vec<Figures> {
    let found = tackmast_simulator::play(w, None);
    let of = |f: &tackmast_workload::Flow| {
        // A flow is told by its plan here: each volume of a load that is held against loopback has one flow.
        let plan = if f.volume == "school" { "basic" } else { "premium" };
        let mut all = Figures::default();
        let mut times = histogram();
        for (_, c) in found.run.classes.iter().filter(|(name, _)| name.starts_with(plan)) {
            all.asked += c.asked;
            all.done += c.done;
            all.in_time += c.in_time;
            all.rejected += c.rejected;
            all.failed += c.failed;
            _ = times.add(&c.times);
        }
        with_times(all, &times)
    };
    load.flows.iter().map(of).collect()
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 2).expect("the library takes these constants")
}

fn with_times(f: Figures, times: &Histogram<u64>) -> Figures {
    let at = |q| times.value_at_quantile(q) as f64 / 1e3;
    Figures { p50_ms: at(0.5), p99_ms: at(0.99), ..f }
}

fn on_loopback(w: &World, load: &Workload) -> Result<Vec<Figures>, String> {
    let marks = Arc::new(IdempotencyKeys::default());
    let start = |shard: u32| {
        Node::start(NodeSettings {
            address: loopback(),
            shard,
            zone: shard % 3,
            behavior: NodeBehavior {
                unit_s: w.unit_s,
                cores: w.cores,
                queue: 400,
                ..NodeBehavior::default()
            },
            seed: u64::from(shard),
            max_data: 1 << 20,
            report_every: Duration::from_millis(100),
            idempotency_keys: marks.clone(),
            window_s: 2.0,
            has_just_started: false,
            store: Arc::default(),
            receive_bytes: 0,
            advertised_address: None,
            recorder: Recorder::off(),
        })
    };
    let nodes: Result<Vec<Node>, _> = (0..w.nodes).map(start).collect();
    let nodes = nodes.map_err(|e| format!("node: {e}"))?;
    let list = NodeList::start(loopback(), Recorder::off()).map_err(|e| format!("node list: {e}"))?;
    list.put(nodes.iter().map(|n| Entry {
        address: n.address().to_string(),
        state: State::Ready,
        zone: n.shard() % 3,
        shard: n.shard(),
        started_us: 0,
    }));
    let mut hosts = Vec::new();
    for h in 0..w.hosts {
        let mut s = settings(w, h, None);
        s.host.node_list = list.address;
        s.host.listen_nbd = Some(loopback());
        hosts.push(Host::start(s).map_err(|e| e.to_string())?);
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut clients = Vec::new();
    for host in &hosts {
        let address = host.nbd.ok_or("no NBD address")?;
        let open = |volume: &str, lun| {
            let options = Options { max_calls: 4096, ..Options::new(Protocol::Nbd, address, volume, lun) };
            Client::open(options, PATIENCE).map_err(|e| e.to_string())
        };
        clients.push([open("museum", 0)?, open("school", 1)?]);
    }
    let found: Vec<Mutex<(Figures, Histogram<u64>)>> =
        load.flows.iter().map(|_| Mutex::new((Figures::default(), histogram()))).collect();
    let began = Instant::now();
    std::thread::scope(|s| {
        for (h, both) in clients.iter().enumerate() {
            let (to, from) = crossbeam_channel::unbounded::<(Instant, tackmast_workload::Arrival, usize)>();
            s.spawn(move || {
                for a in load.arrivals(w.hosts) {
                    let lun = usize::from(load.flows[a.flow].volume == "school");
                    let host = if lun == 1 { a.host % w.hosts.min(3) } else { a.host };
                    if host as usize != h {
                        continue;
                    }
                    let due = began + Duration::from_micros(a.at_us);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    _ = to.send((due, a, lun));
                }
            });
            for _ in 0..ASKERS {
                let (from, found) = (from.clone(), &found);
                s.spawn(move || {
                    for (due, a, lun) in from {
                        let (offset, length) = (a.block * 512, a.blocks * 512);
                        let op = match a.write {
                            true => Op::Write { offset, data: vec![0; length as usize].into() },
                            false => Op::Read { offset, length },
                        };
                        let outcome = both[lun].submit(op, Some(Duration::from_millis(900))).wait();
                        let took = due.elapsed();
                        let mut f = found[a.flow].lock().unwrap_or_else(PoisonError::into_inner);
                        f.0.asked += 1;
                        match outcome {
                            Outcome::Done(_) => {
                                f.0.done += 1;
                                let latency_objective =
                                    Duration::from_millis(if a.write { 250 } else { 200 });
                                f.0.in_time += u64::from(took <= latency_objective);
                                _ = f.1.record(took.as_micros().max(1) as u64);
                            }
                            Outcome::Rejected { .. } => f.0.rejected += 1,
                            _ => f.0.failed += 1,
                        }
                    }
                });
            }
        }
    });
    clients.into_iter().flatten().for_each(Client::close);
    hosts.into_iter().for_each(Host::stop);
    list.stop();
    nodes.iter().for_each(Node::stop);
    let figures = found.into_iter().map(|f| f.into_inner().unwrap_or_else(PoisonError::into_inner));
    Ok(figures.map(|(f, times)| with_times(f, &times)).collect())
}
