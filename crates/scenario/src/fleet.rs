//! Hosts as processes, and stand-in nodes under the names of the script.

use crate::rig::{PeerPlace, Rig};
use crate::script::{NodesBlock, Script};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tackmast::interface::{DedupScope, Effect};
use tackmast_emulators::list::NodeList;
use tackmast_emulators::node::{IdempotencyKeys, Node, NodeSettings};
use tackmast_emulators::store::Store;
use tackmast_trace::{Event, Recorder};
use tackmast_wire::list::{Entry, State};

/// How long a host may take until it listens.
const START: Duration = Duration::from_secs(10);

/// What all processes of a day are started with.
pub struct Launch<'a> {
    pub binary: &'a Path,
    pub script: &'a Script,
    pub list: SocketAddr,
    pub dir: &'a Path,
    pub recorder: &'a Recorder,
}

/// What one process is started with.
#[derive(Clone)]
pub struct Seat {
    pub number: u32,
    /// A second process of its number: it has files of its own, and no client.
    pub twin: bool,
    pub listen: SocketAddr,
    pub peers: Option<PeerPlace>,
    /// Seconds by which its wall clock is off, and the pace of its clocks.
    pub clock: (f64, f64),
}

impl Seat {
    pub fn stem(&self) -> String {
        format!("host-{}{}", self.number, if self.twin { "-twin" } else { "" })
    }
}

pub struct HostProcess {
    pub seat: Seat,
    pub address: SocketAddr,
    pub is_up: bool,
    pub is_stopped: bool,
    child: Child,
}

impl HostProcess {
    pub fn start(l: &Launch, seat: Seat) -> Result<HostProcess, String> {
        let dir = &std::path::absolute(l.dir).map_err(|e| format!("{}: {e}", l.dir.display()))?;
        let (number, stem) = (seat.number, seat.stem());
        let file = dir.join(format!("{stem}.hcl"));
        let text = l.script.host_file(number, seat.listen, l.list, dir, &stem, seat.peers.as_ref());
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        let log = dir.join(format!("{stem}.log"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(|e| format!("{}: {e}", log.display()))?;
        if !seat.twin {
            l.recorder.note(Event::HostUp { host: number });
        }
        let (off_s, pace) = seat.clock;
        let mut child = Command::new(l.binary)
            .args(["--log", "json", "--log-level", "debug", "serve", "--config"])
            .arg(&file)
            .args(["--clock-off-s", &off_s.to_string(), "--clock-pace", &pace.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", l.binary.display()))?;
        let out = child.stdout.take().ok_or("host: no standard output")?;
        let (to, line) = crossbeam_channel::bounded(1);
        std::thread::spawn(move || {
            let mut text = String::new();
            let read = BufReader::new(out).read_line(&mut text);
            _ = to.send(read.map(|_| text));
        });
        let text = match line.recv_timeout(START) {
            Ok(Ok(text)) => text,
            _ => String::new(),
        };
        let address = text.trim().strip_prefix("listening ").and_then(|a| a.parse().ok());
        let Some(address) = address else {
            _ = child.kill();
            _ = child.wait();
            return Err(format!(
                "host {number}: {text:?} instead of its address; see {stem}.log in {}",
                dir.display()
            ));
        };
        Ok(HostProcess { seat, address, is_up: true, is_stopped: false, child })
    }

    /// Ends it without any warning.
    pub fn kill(&mut self, recorder: &Recorder) {
        self.is_up = false;
        _ = self.child.kill();
        _ = self.child.wait();
        self.is_stopped = false;
        if !self.seat.twin {
            recorder.note(Event::HostDown { host: self.seat.number });
        }
    }

    fn signal(&self, signal: nix::sys::signal::Signal) {
        // The process has not been waited for, so its id is still its own.
        if self.is_up {
            let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
            _ = nix::sys::signal::kill(pid, signal);
        }
    }

    /// Asks it to end in order; `has_ended` tells when it has.
    pub fn term(&self) {
        self.signal(nix::sys::signal::Signal::SIGTERM);
    }

    pub fn has_ended(&mut self, recorder: &Recorder) -> bool {
        if self.is_up && matches!(self.child.try_wait(), Ok(Some(_))) {
            self.is_up = false;
            recorder.note(Event::HostDown { host: self.seat.number });
        }
        !self.is_up
    }

    /// It stands still until it is told to go on.
    pub fn stop(&mut self, recorder: &Recorder) {
        self.signal(nix::sys::signal::Signal::SIGSTOP);
        self.is_stopped = true;
        recorder.note(Event::HostStops { host: self.seat.number });
    }

    pub fn go_on(&mut self, recorder: &Recorder) {
        if std::mem::take(&mut self.is_stopped) {
            recorder.note(Event::HostGoes { host: self.seat.number });
            self.signal(nix::sys::signal::Signal::SIGCONT);
        }
    }

    /// Seconds of CPU that the process has used, where the system tells.
    pub fn cpu_s(&self) -> Option<f64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).ok()?;
        let after = stat.rsplit_once(')')?.1;
        let fields: Vec<&str> = after.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(ticks / 100.0)
    }

    /// Resident memory in MiB, and threads.
    pub fn size(&self) -> Option<(f64, u32)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|l| l.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok()
        };
        Some((field("VmRSS:")? / 1024.0, field("Threads:")? as u32))
    }

    /// Asks it to end, and sees that it does.
    pub fn end(mut self) {
        self.signal(nix::sys::signal::Signal::SIGCONT);
        self.term();
        for _ in 0..200 {
            if let Ok(Some(_)) = self.child.try_wait() {
                self.is_up = false;
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// A day that ends early must leave no process behind.
impl Drop for HostProcess {
    fn drop(&mut self) {
        if self.is_up {
            _ = self.child.kill();
            _ = self.child.wait();
        }
    }
}

/// Nodes by the name of their block and their shard, such as `a/0`.
pub struct Nodes {
    pub by_name: BTreeMap<String, (NodesBlock, Node)>,
    scopes: BTreeMap<u32, Arc<IdempotencyKeys>>,
    /// Bytes by shard: they outlive the nodes.
    stores: BTreeMap<u32, Arc<Mutex<Store>>>,
    window_s: f64,
    zone_scope: bool,
    all_scope: bool,
    seed: u64,
    max_data: usize,
    recorder: Recorder,
}

impl Nodes {
    pub fn start(script: &Script, rig: &Rig, recorder: &Recorder) -> Result<Nodes, String> {
        // Nodes of one discard group share their marks. A day has one kind of group: the widest named.
        let scopes = script.settings.traffic_classes.iter().filter_map(|s| match s.effect {
            Effect::IdempotentByKey { scope, window } => Some((scope, window.secs())),
            _ => None,
        });
        let scopes: Vec<(DedupScope, f64)> = scopes.collect();
        let mut nodes = Nodes {
            by_name: BTreeMap::new(),
            scopes: BTreeMap::new(),
            stores: BTreeMap::new(),
            window_s: scopes.iter().map(|(_, w)| *w).fold(0.0, f64::max),
            zone_scope: scopes.iter().any(|(scope, _)| *scope == DedupScope::Zone),
            all_scope: scopes.iter().any(|(scope, _)| *scope == DedupScope::All),
            seed: script.day.seed * 1000,
            max_data: script.settings.bounds.command_bytes as usize,
            recorder: recorder.clone(),
        };
        for (name, block) in &script.nodes {
            for shard in &block.shards {
                nodes.one(&format!("{name}/{shard}"), block.clone(), *shard, block.cold, rig)?;
            }
        }
        Ok(nodes)
    }

    fn one(
        &mut self,
        name: &str,
        block: NodesBlock,
        shard: u32,
        cold: bool,
        rig: &Rig,
    ) -> Result<(), String> {
        self.seed += 1;
        let front = rig.node()?;
        let scope = match (self.all_scope, self.zone_scope) {
            (true, _) => 0,
            (_, true) => block.zone,
            _ => shard,
        };
        let settings = NodeSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            shard,
            zone: block.zone,
            behavior: block.nature(),
            seed: self.seed,
            max_data: self.max_data,
            report_every: Duration::from_millis(block.report_ms),
            idempotency_keys: self.scopes.entry(scope).or_default().clone(),
            window_s: self.window_s,
            has_just_started: cold,
            store: self.stores.entry(shard).or_default().clone(),
            receive_bytes: block.receive_bytes,
            advertised_address: front.as_ref().map(|f| f.address),
            recorder: self.recorder.clone(),
        };
        let node = Node::start(settings).map_err(|e| format!("node {name}: {e}"))?;
        if let Some(f) = front {
            f.set_target(node.own_address());
        }
        self.by_name.insert(name.to_owned(), (block, node));
        Ok(())
    }

    /// The names that a script's name stands for: a block, or one node of it.
    pub fn named(&self, names: &[String]) -> Vec<String> {
        let all = self.by_name.keys();
        let of = |full: &&String| names.iter().any(|n| *full == n || full.starts_with(&format!("{n}/")));
        all.filter(of).cloned().collect()
    }

    pub fn node(&self, name: &str) -> Option<&Node> {
        self.by_name.get(name).map(|(_, n)| n)
    }

    /// Stops a node for good and puts a cold successor of the same shard in its place.
    pub fn replace(&mut self, name: &str, list: &NodeList, rig: &Rig) -> Result<(), String> {
        let Some((block, old)) = self.by_name.get(name).cloned() else { return Ok(()) };
        let shard = old.shard();
        old.stop();
        list.set_state(&old.address().to_string(), State::Gone);
        self.one(name, block, shard, true, rig)?;
        list.put(self.node(name).map(entry));
        Ok(())
    }
}

pub fn entry(n: &Node) -> Entry {
    Entry {
        address: n.address().to_string(),
        state: State::Ready,
        zone: n.zone(),
        shard: n.shard(),
        started_us: n.started_us(),
    }
}
