//! Hosts as processes, and stand-in nodes under the names of the script.

use crate::script::{NodesBlock, Script};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tackmast::interface::{Effect, Group};
use tackmast_standins::list::NodeList;
use tackmast_standins::node::{Marks, Node, NodeSettings};
use tackmast_standins::store::Store;
use tackmast_trace::{Event, Recorder};
use tackmast_wire::list::{Entry, State};

/// How long a host may take until it listens.
const START: Duration = Duration::from_secs(10);

pub struct HostProcess {
    pub number: u32,
    pub address: SocketAddr,
    pub is_up: bool,
    child: Child,
    binary: PathBuf,
    dir: PathBuf,
}

impl HostProcess {
    pub fn start(
        binary: &Path,
        script: &Script,
        number: u32,
        listen: SocketAddr,
        list: SocketAddr,
        dir: &Path,
        recorder: &Recorder,
    ) -> Result<HostProcess, String> {
        let dir = &std::path::absolute(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let file = dir.join(format!("host-{number}.hcl"));
        std::fs::write(&file, script.host_file(number, listen, list, dir))
            .map_err(|e| format!("{}: {e}", file.display()))?;
        let log = dir.join(format!("host-{number}.log"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(|e| format!("{}: {e}", log.display()))?;
        recorder.note(Event::HostUp { host: number });
        let mut child = Command::new(binary)
            .args(["--log", "json", "--log-level", "debug", "serve", "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", binary.display()))?;
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
                "host {number}: {text:?} instead of its address; see its log in {}",
                dir.display()
            ));
        };
        let (binary, dir) = (binary.to_owned(), dir.to_owned());
        Ok(HostProcess { number, address, is_up: true, child, binary, dir })
    }

    /// Ends it without any warning.
    pub fn kill(&mut self, recorder: &Recorder) {
        self.is_up = false;
        _ = self.child.kill();
        _ = self.child.wait();
        recorder.note(Event::HostDown { host: self.number });
    }

    /// Starts anew at the same address; the new life knows nothing of the old.
    pub fn again(&mut self, script: &Script, list: SocketAddr, recorder: &Recorder) -> Result<(), String> {
        let (binary, dir) = (self.binary.clone(), self.dir.clone());
        let new = HostProcess::start(&binary, script, self.number, self.address, list, &dir, recorder)?;
        *self = new;
        Ok(())
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
        let pid = nix::unistd::Pid::from_raw(self.child.id() as i32);
        _ = nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGTERM);
        for _ in 0..200 {
            if let Ok(Some(_)) = self.child.try_wait() {
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Nodes by the name of their block and their shard, such as `a/0`.
pub struct Nodes {
    pub by_name: BTreeMap<String, (NodesBlock, Node)>,
    scopes: BTreeMap<u32, Arc<Marks>>,
    /// Bytes by shard: they outlive the nodes.
    stores: BTreeMap<u32, Arc<Mutex<Store>>>,
    window_s: f64,
    zone_scope: bool,
    all_scope: bool,
    seed: u64,
    most_data: usize,
    recorder: Recorder,
}

impl Nodes {
    pub fn start(script: &Script, recorder: &Recorder) -> Result<Nodes, String> {
        // Nodes of one discard group share their marks. A day has one kind of group: the widest named.
        let groups = script.settings.streams.iter().filter_map(|s| match s.effect {
            Effect::Keyed { group, window } => Some((group, window.secs())),
            _ => None,
        });
        let groups: Vec<(Group, f64)> = groups.collect();
        let mut nodes = Nodes {
            by_name: BTreeMap::new(),
            scopes: BTreeMap::new(),
            stores: BTreeMap::new(),
            window_s: groups.iter().map(|(_, w)| *w).fold(0.0, f64::max),
            zone_scope: groups.iter().any(|(g, _)| *g == Group::Zone),
            all_scope: groups.iter().any(|(g, _)| *g == Group::All),
            seed: script.day.seed * 1000,
            most_data: script.settings.bounds.command_bytes as usize,
            recorder: recorder.clone(),
        };
        for (name, block) in &script.nodes {
            for shard in &block.shards {
                nodes.one(&format!("{name}/{shard}"), block.clone(), *shard, block.cold)?;
            }
        }
        Ok(nodes)
    }

    fn one(&mut self, name: &str, block: NodesBlock, shard: u32, cold: bool) -> Result<(), String> {
        self.seed += 1;
        let scope = match (self.all_scope, self.zone_scope) {
            (true, _) => 0,
            (_, true) => block.zone,
            _ => shard,
        };
        let settings = NodeSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            shard,
            zone: block.zone,
            nature: block.nature(),
            seed: self.seed,
            most_data: self.most_data,
            report_every: Duration::from_millis(block.report_ms),
            marks: self.scopes.entry(scope).or_default().clone(),
            window_s: self.window_s,
            cold,
            store: self.stores.entry(shard).or_default().clone(),
            receive_bytes: block.receive_bytes,
            recorder: self.recorder.clone(),
        };
        let node = Node::start(settings).map_err(|e| format!("node {name}: {e}"))?;
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
    pub fn replace(&mut self, name: &str, list: &NodeList) -> Result<(), String> {
        let Some((block, old)) = self.by_name.get(name).cloned() else { return Ok(()) };
        let shard = old.shard();
        old.stop();
        list.state(&old.address().to_string(), State::Gone);
        self.one(name, block, shard, true)?;
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
