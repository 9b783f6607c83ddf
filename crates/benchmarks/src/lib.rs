//! What the host adds: the same load once through a host and once straight at the stand-in nodes, in one run. Nodes
//! here do no work at all, so that what is seen is the way to them. Figures are of this machine and of stand-ins;
//! the ratios are what counts.

mod core_cost;
mod load;
mod orders;
mod service;
mod truth;

pub use core_cost::{core_cost, core_cost_with_orders, CoreCost};
pub use load::{Load, Route, Shown};
pub use orders::{timers, Timers};
pub use service::{beside_greedy, through_library};
pub use truth::{held_against_loopback, Both};

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use tackmast_emulators::list::NodeList;
use tackmast_emulators::model::NodeBehavior;
use tackmast_emulators::node::{IdempotencyKeys, Node, NodeSettings};
use tackmast_trace::Recorder;
use tackmast_wire::list::{Entry, State};

/// Stand-in nodes, their list, and one host as a process of its own.
pub struct Bench {
    pub nodes: Vec<Node>,
    list: NodeList,
    child: Child,
    pub host: SocketAddr,
    pub nbd: SocketAddr,
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Settings of a host over `nodes` shards, with nothing that holds requests back but the module's caps.
pub fn settings(nodes: usize, listen: SocketAddr, list: SocketAddr) -> String {
    let shards: Vec<String> = (0..nodes).map(|n| n.to_string()).collect();
    format!(
        r#"host {{
  number = 0
  hosts = 1
  listen = "{listen}"
  listen_nbd = "127.0.0.1:0"
  node_list = "{list}"
  seed = 1
}}
bounds {{
  window = 256
}}
units {{
  bytes = 4096
  most = 8
  mean = 1
}}
plan "plain" {{}}
stream "read" {{
  slo_ms = 50
  expiry_ms = 5000
  effect = "repeatable"
}}
volume "v" {{
  lun = 0
  plan = "plain"
  blocks = 1048576
  extent_blocks = 8
  shards = [{}]
  hosts = 1
  reads = "read"
  writes = "read"
}}
"#,
        shards.join(", ")
    )
}

impl Bench {
    pub fn start(binary: &Path, dir: &Path, nodes: usize) -> Result<Bench, String> {
        let marks = Arc::new(IdempotencyKeys::default());
        let start = |shard: usize| {
            Node::start(NodeSettings {
                address: loopback(),
                shard: shard as u32,
                zone: 0,
                behavior: NodeBehavior { unit_s: 0.0, queue: 100_000, ..NodeBehavior::default() },
                seed: 1,
                max_data: 1 << 20,
                report_every: Duration::from_millis(100),
                idempotency_keys: marks.clone(),
                window_s: 1.0,
                has_just_started: false,
                store: Arc::default(),
                receive_bytes: 0,
                advertised_address: None,
                recorder: Recorder::off(),
            })
        };
        let nodes: Result<Vec<Node>, _> = (0..nodes).map(start).collect();
        let nodes = nodes.map_err(|e| format!("node: {e}"))?;
        let list = NodeList::start(loopback(), Recorder::off()).map_err(|e| format!("node list: {e}"))?;
        list.put(nodes.iter().map(|n| Entry {
            address: n.address().to_string(),
            state: State::Ready,
            zone: 0,
            shard: n.shard(),
            started_us: 0,
        }));
        let file = dir.join("host.hcl");
        std::fs::write(&file, settings(nodes.len(), loopback(), list.address))
            .map_err(|e| format!("{}: {e}", file.display()))?;
        let mut child = Command::new(binary)
            .args(["--log-level", "warn", "serve", "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", binary.display()))?;
        let out = child.stdout.take().ok_or("host: no standard output")?;
        let mut out = std::io::BufReader::new(out);
        let mut address = |word: &str| -> Result<SocketAddr, String> {
            let mut text = String::new();
            std::io::BufRead::read_line(&mut out, &mut text).map_err(|e| e.to_string())?;
            let found = text.trim().strip_prefix(word).and_then(|a| a.parse().ok());
            found.ok_or_else(|| format!("host: {text:?}; expected {word}and its address"))
        };
        let (host, nbd) = (address("listening ")?, address("listening-nbd ")?);
        std::thread::sleep(Duration::from_millis(300));
        Ok(Bench { nodes, list, child, host, nbd })
    }

    /// Seconds of CPU that the host has used, resident MiB, and threads.
    pub fn host_use(&self) -> Option<(f64, f64, u32)> {
        let id = self.child.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|l| l.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok()
        };
        Some((ticks / 100.0, field("VmRSS:")? / 1024.0, field("Threads:")? as u32))
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        self.list.stop();
        self.nodes.iter().for_each(Node::stop);
    }
}
