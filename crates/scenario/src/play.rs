//! The day itself: everything started, troubles at their times, everything ended, and judged.

use crate::agreed::AgreedWatcher;
use crate::fleet::{entry, HostProcess, Launch, Nodes, Seat};
use crate::operators::{self, Operators};
use crate::report::{Report, Served};
use crate::rig::{How, Rig, Who, TWIN};
use crate::script::{admin_socket, Action, Misuse, Script};
use crate::settled::Watcher;
use crate::traffic::{Flow, Tally};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tackmast::interface::{DedupScope, Effect};
use tackmast_admin::{Answer, Call};
use tackmast_config::HostSettings;
use tackmast_emulators::initiator::{self, Initiator, Login};
use tackmast_emulators::list::{ListFault, NodeList};
use tackmast_emulators::network_faults::{Endpoint, NetworkFault};
use tackmast_emulators::node::Fault;
use tackmast_host_core::{AdminRequest, AdminResponse};
use tackmast_overrides::{Kind, Order, Target};
use tackmast_trace::{now_us, EffectKind, Event, Facts, Line, Recorder, TrafficClassFacts, VolumeFacts};
use tackmast_wire::iscsi::{op, Digests, Pdu, FINAL, READS};
use tackmast_wire::list::State;
use tackmast_wire::scsi::Command;

#[path = "faults.rs"]
mod faults;

/// How often nodes' starts and ends are looked at for the list, and slow troubles take a step.
const LOOK: Duration = Duration::from_millis(10);
/// Steps in which an ageing node grows slower.
pub const AGEING_STEPS: u32 = 20;

pub struct Played {
    pub report: Report,
    pub trace: Vec<Line>,
    /// By host: seconds of CPU, resident MiB, threads, at the end of the day.
    pub hosts: Vec<(f64, f64, u32)>,
}

/// What holds in a deployment with such settings; the three margins in seconds: how late an answer may be seen, the grace
/// of a drain, and how far two ends of a socket may differ.
pub fn facts(s: &HostSettings, answer_slack_s: f64, grace_s: f64, skew_s: f64) -> Facts {
    let us = |seconds: f64| (seconds * 1e6) as u64;
    let traffic_class = |st: &tackmast_config::TrafficClass| {
        let (effect, window) = match st.effect {
            Effect::Idempotent => (EffectKind::Idempotent, 0.0),
            Effect::NonIdempotent => (EffectKind::NonIdempotent, 0.0),
            Effect::IdempotentByKey { scope: DedupScope::All, window } => {
                (EffectKind::IdempotentByKeyAll, window.secs())
            }
            Effect::IdempotentByKey { scope: DedupScope::Zone, window } => {
                (EffectKind::IdempotentByKeyZone, window.secs())
            }
            Effect::IdempotentByKey { scope: DedupScope::Shard, window } => {
                (EffectKind::IdempotentByKeyShard, window.secs())
            }
        };
        TrafficClassFacts {
            name: st.name.clone(),
            latency_objective_us: us(st.latency_objective.secs()),
            effect,
            window_us: us(window),
            in_order: st.in_order,
        }
    };
    let volume = |v: &tackmast_config::Volume| {
        let p = &s.plans[v.plan as usize];
        let extent_bytes = v.extent_blocks * u64::from(v.block_bytes);
        let (volume, plan) = (v.lun, p.name.clone());
        VolumeFacts { volume, plan, limit: p.limit, burst: p.burst, slack: p.slack, extent_bytes }
    };
    let cold = s.slow_start.as_ref();
    Facts {
        traffic_classes: s.traffic_classes.iter().map(traffic_class).collect(),
        volumes: s.volumes.iter().map(volume).collect(),
        unit_bytes: s.units.bytes,
        max_units: s.units.max_per_request,
        answer_slack_us: us(answer_slack_s),
        grace_us: us(grace_s),
        slow_start_multiple: cold.map_or(0.0, |c| c.multiple),
        slow_start_window_us: cold.map_or(0, |c| us(c.window_s)),
        slow_start_safe_units: cold.map_or(f64::MAX, |c| c.safe_units),
        settle_us: us(s.load.settle_s),
        retry_budget: s.retry_budget.as_ref().map(|f| (f.free, f.share, us(f.window_s))),
        skew_us: us(skew_s),
    }
}

/// How a fault of a node is undone.
fn undo(fault: &Fault) -> Option<Fault> {
    Some(match fault {
        Fault::Slow(_) => Fault::Slow(1.0),
        Fault::Neighbour(_) => Fault::Neighbour(0.0),
        Fault::Errors(_) => Fault::Errors(0.0),
        Fault::Heavy(..) => Fault::Heavy(0.0, 1.0),
        Fault::Silent(_) => Fault::Silent(false),
        Fault::Deaf(_) => Fault::Deaf(false),
        Fault::Drip(_) => Fault::Drip(false),
        Fault::ResetAnswers(_) => Fault::ResetAnswers(0.0),
        Fault::CutAnswers(_) => Fault::CutAnswers(0.0),
        Fault::Garbage(_) => Fault::Garbage(0.0),
        Fault::Pause(_) | Fault::Reset | Fault::Restart(_) | Fault::Die | Fault::Well => return None,
    })
}

struct Standing {
    ends_us: u64,
    host: u32,
    nodes: Vec<String>,
    out: bool,
    id: u64,
}

struct Stage<'a> {
    script: &'a Script,
    binary: &'a Path,
    recorder: Recorder,
    nodes: Nodes,
    list: NodeList,
    /// Where hosts reach the list.
    list_at: SocketAddr,
    rig: Rig,
    watcher: Option<Watcher>,
    agreed: Option<AgreedWatcher>,
    operators: Option<Operators>,
    hosts: Vec<Option<HostProcess>>,
    twins: BTreeMap<u32, HostProcess>,
    /// Hosts that are asked to end, and have not ended yet.
    ending: BTreeSet<u32>,
    /// How often a host has moved to another address.
    moves: BTreeMap<u32, u16>,
    /// Hosts that start late, and where they will listen.
    late: BTreeMap<u32, SocketAddr>,
    /// Effects on ways, by the trouble that has them.
    effects: BTreeMap<usize, Vec<OnWay>>,
    addresses: Arc<RwLock<Vec<SocketAddr>>>,
    flows: Vec<Arc<Flow>>,
    starts: BTreeMap<String, u64>,
    /// Orders that stand: when each ends, its host, its node, its number.
    orders: Vec<Standing>,
    dir: std::path::PathBuf,
    began: Instant,
    failures: Vec<String>,
    misuses: Vec<std::thread::JoinHandle<Option<String>>>,
}

type OnWay = (u64, HashSet<Endpoint>, HashSet<Endpoint>, NetworkFault);

/// Starts processes side by side: a fleet that starts at once does so.
fn start_all(l: &Launch, seats: Vec<Seat>) -> Vec<Result<HostProcess, String>> {
    std::thread::scope(|s| {
        let all: Vec<_> =
            seats.into_iter().map(|seat| s.spawn(move || HostProcess::start(l, seat))).collect();
        let failed = || Err("a host could not be started".to_owned());
        all.into_iter().map(|t| t.join().unwrap_or_else(|_| failed())).collect()
    })
}

/// An address that nobody has at the moment, for a process that starts later.
fn free_address() -> Result<SocketAddr, String> {
    let bound = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    bound.map_err(|e| format!("an address for a host that starts late: {e}"))
}

/// Plays the script with hosts of this binary; their settings and logs go to `dir`.
pub fn play(script: &Script, binary: &Path, dir: &Path, seed: u64) -> Result<Played, String> {
    let recorder = Recorder::default();
    let day = &script.day;
    let (slack, grace, skew) = (day.answer_slack_ms, day.drain_grace_ms, day.skew_ms);
    recorder.note(Event::Facts(facts(&script.settings, slack / 1e3, grace / 1e3, skew / 1e3)));
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let rig = Rig::new(script, &recorder)?;
    let nodes = Nodes::start(script, &rig, &recorder)?;
    let list = NodeList::start(loopback, recorder.clone()).map_err(|e| format!("node list: {e}"))?;
    list.set(&ListFault::Late(script.list_late_s));
    list.put(nodes.by_name.values().map(|(_, n)| entry(n)));
    std::thread::sleep(Duration::from_secs_f64(script.list_late_s));
    let list_at = rig.list(list.address);
    let launch = Launch { binary, script, list: list_at, dir, recorder: &recorder };
    let seat = |number: u32| -> Result<Seat, String> {
        let peers = if day.members { Some(rig.peers(number, 0)?) } else { None };
        Ok(Seat { number, twin: false, listen: loopback, peers, clock: (0.0, 1.0) })
    };
    let late = script.late();
    let now: Vec<Seat> =
        (0..day.hosts).filter(|h| !late.contains(h)).map(&seat).collect::<Result<_, String>>()?;
    let mut hosts: Vec<Option<HostProcess>> = (0..day.hosts).map(|_| None).collect();
    for host in start_all(&launch, now) {
        let host = host?;
        let number = host.seat.number as usize;
        hosts[number] = Some(host);
    }
    let mut reached = Vec::new();
    for (number, host) in (0..).zip(&hosts) {
        let address = host.as_ref().map_or_else(free_address, |h| Ok(h.address))?;
        reached.push((address, rig.host(number, address)));
    }
    let addresses = Arc::new(RwLock::new(reached.iter().map(|(_, front)| *front).collect()));
    let watcher = day.members.then(|| Watcher::start(day.period_ms / 1e3));
    let sockets = (0..day.hosts).map(|h| admin_socket(dir, h)).collect();
    let agreed =
        script.settings.consensus.as_ref().filter(|_| day.members).map(|_| AgreedWatcher::start(sockets));
    let sockets: Vec<_> = (0..day.hosts).map(|h| admin_socket(dir, h)).collect();
    let plan = script.settings.plans.first().map(|p| p.name.clone()).unwrap_or_default();
    let (count, pause_s) = (day.operators, day.operators_pause_s.max(0.001));
    let operators = (count > 0).then(|| Operators::start(sockets, &plan, count, pause_s, seed));
    let settings = Arc::new(script.settings.clone());
    let mut flows = Vec::new();
    let mut places: BTreeMap<&str, u64> = BTreeMap::new();
    for (i, (name, block)) in script.traffic.iter().enumerate() {
        let place = places.entry(&block.volume).or_default();
        let flow_seed = seed * 1000 + i as u64 + 1;
        let shared = (settings.clone(), addresses.clone(), recorder.clone());
        flows.push(Flow::start(name, block, *place, flow_seed, shared.0, shared.1, shared.2)?);
        *place += 1;
    }
    let starts = nodes.by_name.iter().map(|(name, (_, n))| (name.clone(), n.started_us())).collect();
    let mut stage = Stage {
        script,
        binary,
        recorder,
        nodes,
        list,
        list_at,
        rig,
        watcher,
        agreed,
        operators,
        hosts,
        twins: BTreeMap::new(),
        ending: BTreeSet::new(),
        moves: BTreeMap::new(),
        effects: BTreeMap::new(),
        late: late.iter().map(|h| (*h, reached[*h as usize].0)).collect(),
        addresses,
        flows,
        starts,
        orders: Vec::new(),
        dir: dir.to_owned(),
        began: Instant::now(),
        failures: Vec::new(),
        misuses: Vec::new(),
    };
    (0..day.hosts).for_each(|h| stage.watched(h));
    stage.run()?;
    Ok(stage.end(seed))
}

impl Stage<'_> {
    fn run(&mut self) -> Result<(), String> {
        let day = Duration::from_secs_f64(self.script.day.seconds);
        let mut arrivals = Vec::new();
        for f in &self.flows {
            arrivals.push(f.go(day)?);
        }
        let start = Instant::now();
        let mut begun = BTreeSet::new();
        let mut ended = BTreeSet::new();
        let mut steps: BTreeMap<usize, u32> = BTreeMap::new();
        // What is done to processes and ways is undone before the day ends, however many hosts it takes in turn.
        let rigged = |t: &&crate::script::Trouble| {
            matches!(t.action, Action::Hosts { .. } | Action::Way { .. } | Action::Apart(_))
        };
        let last = self.script.troubles.iter().filter(rigged).map(|t| t.at_s + t.for_s).fold(0.0, f64::max);
        let mut over_at = day.max(Duration::from_secs_f64(last) + LOOK);
        while start.elapsed() < over_at {
            let t = start.elapsed().as_secs_f64();
            for (i, trouble) in self.script.troubles.iter().enumerate() {
                if t >= trouble.at_s && begun.insert(i) {
                    self.recorder.note(Event::Fault { what: trouble.name.clone(), on: true });
                    self.begin(i, &trouble.action, trouble.for_s);
                    self.rig_begin(i, &trouble.name, &trouble.action);
                }
                let until = trouble.at_s + trouble.for_s;
                if begun.contains(&i) && !ended.contains(&i) {
                    let part = ((t - trouble.at_s) / trouble.for_s.max(1e-3)).min(1.0);
                    let step = steps.entry(i).or_default();
                    self.step(&trouble.action, part, t - trouble.at_s, step);
                }
                if t >= until && begun.contains(&i) && ended.insert(i) {
                    self.recorder.note(Event::Fault { what: trouble.name.clone(), on: false });
                    self.finish(&trouble.action);
                    self.rig_finish(i, &trouble.name, &trouble.action);
                    over_at = over_at.max(start.elapsed());
                }
            }
            self.tell_list();
            self.look_at_orders();
            self.look_at_ends();
            std::thread::sleep(LOOK);
        }
        for f in &self.flows {
            f.stop();
        }
        for a in arrivals {
            _ = a.join();
        }
        Ok(())
    }

    /// Gives the order to each host, as an operator would, and notes what was acknowledged.
    fn order(&mut self, hosts: &[u32], order: &Order, refused: bool, force: bool) {
        let all: Vec<u32> = (0..self.script.day.hosts).collect();
        for host in if hosts.is_empty() { &all } else { hosts } {
            let (order, dry_run, if_version) = (order.clone(), false, None);
            let call = Call::AdminRequest(AdminRequest::Set { order, force, dry_run, if_version });
            let socket = admin_socket(&self.dir, *host);
            match tackmast_admin::call(&socket, &call, Duration::from_secs(5)) {
                Ok(Answer::AdminResponse(r)) => match (*r, refused) {
                    (AdminResponse::Set { record, preview, .. }, false) => {
                        let out = record.kind == Kind::OutOfService;
                        let nodes: Vec<String> =
                            preview.changes.iter().map(|(a, _, _)| a.to_string()).collect();
                        for node in nodes.iter().filter(|_| out) {
                            self.recorder.note(Event::Ordered { host: *host, node: node.clone(), out: true });
                        }
                        let (ends_us, id) = (record.ends_us, record.id.0);
                        self.orders.push(Standing { ends_us, host: *host, nodes, out, id });
                    }
                    (AdminResponse::Refused(_), true) => {}
                    (other, _) => self.failures.push(format!("order at host {host}: {other:?}")),
                },
                other => self.failures.push(format!("order at host {host}: {other:?}")),
            }
        }
    }

    /// Asks the host that takes changes to make a plan's figures so many times what the settings say. It counts from before
    /// it was asked: a host may go by it sooner than the answer is here.
    fn plan(&mut self, name: &str, (limit_times, burst_times): (f64, f64), ask: Option<u32>) {
        let (s, from) = (&self.script.settings, now_us());
        let Some((live, p)) = s.plans_live.as_ref().zip(s.plans.iter().find(|p| p.name == *name)) else {
            return;
        };
        let to = tackmast_plans::Plan {
            limit: p.limit * limit_times,
            burst: p.burst * burst_times,
            slack: p.slack,
            reserve: p.reserve,
            weight: p.weight,
            floor: p.floor,
        };
        let asked = ask.unwrap_or(live.home);
        let socket = admin_socket(&self.dir, asked);
        let (limit, burst, slack) = (to.limit, to.burst, to.slack);
        let began = self.operators.as_ref().map_or(self.began, Operators::began);
        let note = |op| self.operators.iter().for_each(|o| o.note(Clone::clone(&op)));
        match operators::change(&socket, name, &to, began, note) {
            Ok((version, in_force_s)) => {
                // The watcher counts from here; the rule checker from the same moment.
                if let Some(w) = &self.agreed {
                    w.acknowledged(version, in_force_s);
                }
                let in_force_us = now_us() + (in_force_s * 1e6) as u64;
                for v in s.volumes.iter().filter(|v| s.plans[v.plan as usize].name == *name) {
                    let moved = Event::PlanMoved { volume: v.lun, limit, burst, slack, in_force_us };
                    self.recorder.note_at(from, moved);
                }
            }
            Err(why) => self.failures.push(format!("a change of plan {name} at host {asked}: {why}")),
        }
    }

    /// Orders whose end has come must not be visible any more; nodes they held may be used again.
    fn look_at_orders(&mut self) {
        let now = now_us();
        let (over, stand): (Vec<Standing>, Vec<Standing>) =
            std::mem::take(&mut self.orders).into_iter().partition(|o| o.ends_us <= now);
        self.orders = stand;
        for o in over {
            for node in o.nodes.iter().filter(|_| o.out) {
                // From the very end on, not from when it was looked at.
                self.recorder
                    .note_at(o.ends_us, Event::Ordered { host: o.host, node: node.clone(), out: false });
            }
            let up = self.hosts.get(o.host as usize).and_then(Option::as_ref).is_some_and(|h| h.is_up);
            if !up {
                continue;
            }
            std::thread::sleep(
                Duration::from_millis(100).saturating_sub(Duration::from_micros(now - o.ends_us)),
            );
            let call = Call::AdminRequest(AdminRequest::List);
            match tackmast_admin::call(&admin_socket(&self.dir, o.host), &call, Duration::from_secs(5)) {
                Ok(Answer::AdminResponse(r)) => {
                    if let AdminResponse::List { standing, .. } = *r {
                        if standing.iter().any(|(s, _)| s.id.0 == o.id) {
                            self.failures.push(format!(
                                "override {} of host {} is visible past its end",
                                o.id, o.host
                            ));
                        }
                    }
                }
                other => self.failures.push(format!("list of host {}: {other:?}", o.host)),
            }
        }
    }

    fn begin(&mut self, _: usize, action: &Action, for_s: f64) {
        match action {
            Action::Nodes { nodes, fault } => self.nodes_do(nodes, fault),
            Action::List(fault) => self.list.set(fault),
            Action::Deploy { nodes } | Action::Drain { nodes } => {
                for n in self.nodes.named(nodes) {
                    let address = self.nodes.node(&n).map(|n| n.address().to_string());
                    self.list.set_state(&address.unwrap_or_default(), State::Draining);
                }
            }
            Action::KillHosts(_) | Action::Hosts { .. } | Action::Way { .. } | Action::Apart(_) => {}
            Action::Surge { traffic, times } => self.flows_named(traffic).for_each(|f| f.surge(*times)),
            Action::Move { traffic } => self.flows_named(traffic).for_each(|f| f.move_lead()),
            Action::Client { hosts, how } => {
                for h in hosts {
                    let addresses = self.addresses.read().unwrap_or_else(PoisonError::into_inner);
                    let Some(address) = addresses.get(*h as usize).copied() else { continue };
                    let (how, target) = (*how, self.script.settings.host.target.clone());
                    let login_ms = self.script.settings.bounds.login_ms;
                    self.misuses
                        .push(std::thread::spawn(move || misuse(address, target, how, login_ms).err()));
                }
            }
            Action::Ageing { .. } | Action::Pauses { .. } => {}
            Action::Plan { name, limit_times, burst_times, ask } => {
                self.plan(name, (*limit_times, *burst_times), *ask)
            }
            Action::Voter { host, votes } => {
                if let Err(why) = operators::voter(&self.dir, self.script.day.hosts, *host, *votes) {
                    self.failures.push(format!("voter {host}, votes {votes}: {why}"));
                }
            }
            Action::Order { hosts, kind, target, nodes, refused, force } => {
                let named = self.nodes.named(nodes);
                let address = |n: &String| self.nodes.node(n).map(|n| Target::Node(n.address()));
                let targets: Vec<Target> = named.iter().filter_map(address).chain(*target).collect();
                for target in targets {
                    let (reason, who) = ("the script says so".to_owned(), "day".to_owned());
                    self.order(
                        hosts,
                        &Order { target, kind: *kind, reason, who, seconds: for_s, origin: None },
                        *refused,
                        *force,
                    );
                }
            }
        }
    }

    fn flows_named<'s>(&'s self, names: &'s [String]) -> impl Iterator<Item = &'s Arc<Flow>> {
        self.flows.iter().filter(move |f| names.is_empty() || names.contains(&f.name))
    }

    fn nodes_do(&self, names: &[String], fault: &Fault) {
        for n in self.nodes.named(names) {
            if let Some(n) = self.nodes.node(&n) {
                n.set(fault);
            }
        }
    }

    /// What a trouble does while it lasts; `part` of its time is over.
    fn step(&mut self, action: &Action, part: f64, s: f64, step: &mut u32) {
        match action {
            Action::Ageing { nodes, times, .. } => {
                let now = (part * f64::from(AGEING_STEPS)) as u32;
                if now > *step {
                    *step = now;
                    self.nodes_do(nodes, &Fault::Slow(times.powf(part)));
                }
            }
            Action::Pauses { nodes, pause_s, every_s } => {
                let now = (s / every_s.max(0.01)) as u32 + 1;
                if now > *step {
                    *step = now;
                    self.nodes_do(nodes, &Fault::Pause(*pause_s));
                }
            }
            _ => {}
        }
    }

    fn finish(&mut self, action: &Action) {
        match action {
            Action::Nodes { nodes, fault } => {
                if let Some(undo) = undo(fault) {
                    self.nodes_do(nodes, &undo);
                }
            }
            Action::Ageing { nodes, down_s, .. } => {
                self.nodes_do(nodes, &Fault::Slow(1.0));
                self.nodes_do(nodes, &Fault::Restart(*down_s));
            }
            Action::Pauses { .. } | Action::Move { .. } | Action::Client { .. } | Action::Order { .. } => {}
            Action::Voter { .. } => {}
            Action::Plan { name, ask, .. } => self.plan(name, (1.0, 1.0), *ask),
            Action::List(ListFault::Late(_)) => self.list.set(&ListFault::Late(self.script.list_late_s)),
            Action::List(ListFault::Fails(_)) => self.list.set(&ListFault::Fails(false)),
            Action::List(ListFault::Silent(_)) => self.list.set(&ListFault::Silent(false)),
            Action::List(ListFault::Reset | ListFault::Skip(_)) => {}
            Action::Deploy { nodes } => {
                for n in self.nodes.named(nodes) {
                    if let Err(e) = self.nodes.replace(&n, &self.list, &self.rig) {
                        self.failures.push(e);
                    }
                    self.starts.insert(n.clone(), self.nodes.node(&n).map_or(0, |n| n.started_us()));
                }
            }
            Action::Drain { nodes } => {
                for n in self.nodes.named(nodes) {
                    let address = self.nodes.node(&n).map(|n| n.address().to_string());
                    self.list.set_state(&address.unwrap_or_default(), State::Ready);
                }
            }
            Action::KillHosts(_) | Action::Hosts { .. } | Action::Way { .. } | Action::Apart(_) => {}
            Action::Surge { traffic, .. } => self.flows_named(traffic).for_each(|f| f.surge(1.0)),
        }
    }

    /// The list knows which processes run, and when they started.
    fn tell_list(&mut self) {
        for (name, (_, node)) in &self.nodes.by_name {
            let started = node.started_us();
            if node.is_up() && started > 0 && self.starts.get(name) != Some(&started) {
                self.starts.insert(name.clone(), started);
                self.list.set_restarted(&node.address().to_string(), started);
            }
        }
    }

    fn end(mut self, seed: u64) -> Played {
        self.wait_for_view();
        let longest =
            self.script.settings.traffic_classes.iter().map(|s| s.deadline.secs()).fold(0.0, f64::max);
        let slack = self.script.day.answer_slack_ms / 1e3;
        let until = Instant::now() + Duration::from_secs_f64(longest + slack + 0.2);
        while Instant::now() < until && self.flows.iter().any(|f| f.open() > 0) {
            self.tell_list();
            std::thread::sleep(LOOK);
        }
        let hosts: Vec<(f64, f64, u32)> = self
            .hosts
            .iter()
            .flatten()
            .map(|h| {
                let (memory, threads) = h.size().unwrap_or_default();
                (h.cpu_s().unwrap_or_default(), memory, threads)
            })
            .collect();
        // All that was due is past its time by this line.
        std::thread::sleep(Duration::from_millis(20));
        self.recorder.note(Event::Fault { what: "end of the day".into(), on: false });
        let trace = self.recorder.take();
        for f in &self.flows {
            f.close();
        }
        for m in self.misuses.drain(..) {
            if let Ok(Some(e)) = m.join() {
                self.failures.push(e);
            }
        }
        let view = self.watcher.take().map(|w| {
            let cpu = hosts.iter().map(|(cpu, _, _)| cpu).sum();
            w.end(self.script.day.hosts, self.began.elapsed().as_secs_f64(), cpu)
        });
        let ops = self.operators.take().map(Operators::end);
        let agreed = self.agreed.take().map(AgreedWatcher::end);
        let agreed = agreed.map(|a| crate::AgreedSeen { history: ops.as_ref().map_or(0, Vec::len), ..a });
        if let Some(Err(why)) = ops.map(|ops| tackmast_invariants::linearizability::check(&ops)) {
            self.failures.push(format!("what operators saw can't have happened in any order: {why}"));
        }
        self.rig.ways.stop();
        let ends: Vec<HostProcess> = self.hosts.iter_mut().filter_map(Option::take).collect();
        std::thread::scope(|s| ends.into_iter().for_each(|h| _ = s.spawn(|| h.end())));
        self.twins.clear();
        for (name, (_, node)) in &self.nodes.by_name {
            if node.has_collapsed() {
                self.failures.push(format!("node {name} fell over while cold"));
            }
            node.stop();
        }
        self.list.stop();
        let rules = tackmast_invariants::judge(&trace);
        if self.script.day.list_spreads_s > 0.0 {
            let within_us = (self.script.day.list_spreads_s * 1e6) as u64;
            let dissemination = tackmast_invariants::dissemination::check(&trace, within_us);
            self.failures.extend(dissemination.violations.into_iter().take(10));
            if dissemination.stop_count == 0 {
                self.failures.push("no node was taken away while some host did not hear the list".into());
            }
        }
        for r in &self.script.day.exercises {
            if rules.rules.len() == 7 && rules.rule(*r).checked == 0 {
                self.failures.push(format!("rule {r} was not exercised; the script says that this day does"));
            }
        }
        self.failures.extend(agreed.iter().flat_map(|a| a.broken.clone()));
        let report = Report { agreed, ..self.report(seed, rules, view) };
        Played { report, trace, hosts }
    }

    fn report(
        &mut self,
        seed: u64,
        rules: tackmast_invariants::Report,
        view: Option<crate::settled::ViewSeen>,
    ) -> Report {
        let s = &self.script.settings;
        let mut tallies: BTreeMap<(usize, usize), Tally> = BTreeMap::new();
        let (mut failures, mut checked) = (std::mem::take(&mut self.failures), 0);
        for f in &self.flows {
            let (traffic_classes, wrong, blocks) = f.result();
            checked += blocks;
            failures.extend(wrong);
            for (i, t) in traffic_classes.iter().enumerate().filter(|(_, t)| t.asked > 0) {
                tallies.entry((f.plan(), i)).or_insert_with(Tally::new).add(t);
            }
        }
        let (asked, done) = tallies.values().fold((0, 0), |(a, d), t| (a + t.asked, d + t.done));
        let part = done as f64 / asked.max(1) as f64;
        if part < self.script.day.min_done {
            failures.push(format!(
                "{part:.3} of first tries done; the script expects {}",
                self.script.day.min_done
            ));
        }
        if let Some(v) = &view {
            let day = &self.script.day;
            let last = v.last();
            // Without any fault there is nothing to settle from.
            let judged = day.settled_within > 0.0 && !v.after.is_empty();
            if judged && last.is_none_or(|p| p > day.settled_within) {
                let found = last.map_or("not at all".into(), |p| format!("after {p:.1} periods"));
                failures.push(format!(
                    "the view settled {found}; the script expects {} from the last fault",
                    day.settled_within
                ));
            }
            if day.settled_within > 0.0 && v.false_deaths > day.false_deaths {
                let found = v.false_deaths;
                failures.push(format!("{found} false deaths; the script takes {}", day.false_deaths));
            }
        }
        let served = tallies
            .iter()
            .map(|((p, st), t)| Served::new(&s.plans[*p].name, &s.traffic_classes[*st].name, t));
        Report {
            seed,
            served: served.collect(),
            blocks_checked: checked,
            failures,
            rules,
            view,
            agreed: None,
        }
    }
}

/// A client that breaks the protocol; the host must end its session with one error, or pass over what it sent.
fn misuse(address: SocketAddr, target: String, how: Misuse, login_ms: u64) -> Result<(), String> {
    let patience = Duration::from_secs(2);
    let fail = |what: &str| Err(format!("client {how:?}: {what}"));
    let closed_in = |stream: &mut TcpStream, wait: Duration| {
        _ = stream.set_read_timeout(Some(wait));
        let mut rest = [0; 1024];
        loop {
            match stream.read(&mut rest) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    };
    if matches!(how, Misuse::Silent | Misuse::HalfFrame) {
        let mut stream = TcpStream::connect_timeout(&address, patience).map_err(|e| e.to_string())?;
        if how == Misuse::HalfFrame {
            _ = stream.write_all(&[0x43; 20]);
        }
        let wait = Duration::from_millis(login_ms) + patience;
        return if closed_in(&mut stream, wait) {
            Ok(())
        } else {
            fail("was not closed after the time to log in")
        };
    }
    let login = Login {
        address,
        target,
        name: "iqn.2026-12.org.tackmast:misuse".into(),
        digests: Digests::default(),
        deadline_ms: None,
        timeout: patience,
    };
    let (to, replies) = crossbeam_channel::unbounded();
    let client =
        Initiator::login(&login, u32::MAX, to, Recorder::default()).map_err(|e| format!("{how:?}: {e}"))?;
    let closed = || {
        let until = Instant::now() + patience;
        while client.is_open() && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        !client.is_open()
    };
    match how {
        Misuse::Garbage => {
            client.send_raw(&[0xa5; 512]);
            if closed() {
                Ok(())
            } else {
                fail("the session goes on after garbage")
            }
        }
        Misuse::OverLong => {
            let mut pdu = Pdu::new(op::COMMAND, FINAL | READS);
            pdu.head[5..8].copy_from_slice(&[0xff; 3]);
            client.send_raw(&pdu.head);
            if closed() {
                Ok(())
            } else {
                fail("the session goes on after an over-long frame")
            }
        }
        _ => {
            let mut pdu = Pdu::new(op::COMMAND, FINAL);
            pdu.set32(16, 77).set32(24, client.next_number().wrapping_add(100_000));
            client.send_raw(&pdu.head);
            client.submit_command(1, 0, Command::ReportLuns { allocation_length: 64 }, 64);
            match replies.recv_timeout(patience) {
                Ok(initiator::LabelledReply { label: 1, reply: initiator::Reply::Done(_) }) => Ok(()),
                other => {
                    fail(&format!("{other:?} after a command past the window; expected its next one done"))
                }
            }
        }
    }
}
