//! Emulated nodes, their list, and one host as a process of its own.

use crate::BenchmarkError;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;
use tackmast_emulators::list::NodeList;
use tackmast_emulators::model::NodeBehavior;
use tackmast_emulators::node::{IdempotencyKeys, Node, NodeSettings};
use tackmast_trace::Recorder;

/// How long the host gets to connect to its nodes.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Clock ticks a second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Position of the ticks in user mode among the fields of `/proc/PID/stat` after the program's name.
const USER_TICKS: usize = 11;
/// Position of the ticks in kernel mode there.
const SYSTEM_TICKS: usize = 12;

/// Emulated nodes, their list, and one host as a process of its own. All end when it is dropped.
pub struct Testbed {
    /// The nodes, by their shards.
    pub nodes: Vec<Node>,
    list: NodeList,
    process: Child,
    /// The host's address for iSCSI.
    pub host: SocketAddr,
    /// The host's address for NBD.
    pub nbd: SocketAddr,
}

/// What the host's process has used.
#[derive(Clone, Copy, Debug)]
pub struct HostUsage {
    /// Seconds of CPU time.
    pub cpu_s: f64,
    /// Resident memory in MiB.
    pub memory_mib: f64,
    /// Number of threads.
    pub threads: u32,
}

/// Any port of loopback.
pub(crate) fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Settings of a host over so many shards, in which nothing but the concurrency limits holds requests back.
pub(crate) fn settings(shard_count: usize, listen: SocketAddr, list: SocketAddr) -> String {
    let shards: Vec<String> = (0..shard_count).map(|shard| shard.to_string()).collect();
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

impl Testbed {
    /// Starts so many nodes, and a host by this binary, whose settings are written to the folder.
    pub fn start(binary: &Path, folder: &Path, node_count: usize) -> Result<Testbed, BenchmarkError> {
        let keys = Arc::new(IdempotencyKeys::default());
        let nodes: Result<Vec<Node>, _> =
            (0..node_count).map(|shard| start_idle_node(shard, keys.clone())).collect();
        let nodes = nodes.map_err(BenchmarkError::Node)?;
        let list = NodeList::start(loopback(), Recorder::off()).map_err(BenchmarkError::NodeList)?;
        list.put(nodes.iter().map(Node::list_entry));
        let file = folder.join("host.hcl");
        let file_error = |path: &Path| {
            let path = path.to_owned();
            move |source| BenchmarkError::File { path, source }
        };
        std::fs::write(&file, settings(nodes.len(), loopback(), list.address)).map_err(file_error(&file))?;
        let mut process = Command::new(binary)
            .args(["--log-level", "warn", "serve", "--config"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(file_error(binary))?;
        let mut output = BufReader::new(process.stdout.take().ok_or(BenchmarkError::NoHostOutput)?);
        let host = read_address(&mut output, "listening ")?;
        let nbd = read_address(&mut output, "listening-nbd ")?;
        std::thread::sleep(SETTLE_TIME);
        Ok(Testbed { nodes, list, process, host, nbd })
    }

    /// What the host's process has used so far; `None` where the system does not say.
    pub fn host_usage(&self) -> Option<HostUsage> {
        let id = self.process.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks = |position: usize| fields.get(position)?.parse::<f64>().ok();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let status_number = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok()
        };
        Some(HostUsage {
            cpu_s: (ticks(USER_TICKS)? + ticks(SYSTEM_TICKS)?) / TICKS_PER_SECOND,
            memory_mib: status_number("VmRSS:")? / 1024.0,
            threads: status_number("Threads:")? as u32,
        })
    }
}

impl Drop for Testbed {
    fn drop(&mut self) {
        _ = self.process.kill();
        _ = self.process.wait();
        self.list.stop();
        self.nodes.iter().for_each(Node::stop);
    }
}

/// A node whose work costs nothing.
fn start_idle_node(shard: usize, idempotency_keys: Arc<IdempotencyKeys>) -> std::io::Result<Node> {
    Node::start(NodeSettings {
        behavior: NodeBehavior { unit_s: 0.0, queue: 100_000, ..NodeBehavior::default() },
        idempotency_keys,
        window_s: 1.0,
        ..NodeSettings::on_loopback(shard as u32, Recorder::off())
    })
}

/// Reads a line of the host's output that has its address.
fn read_address(
    output: &mut BufReader<ChildStdout>,
    expected: &'static str,
) -> Result<SocketAddr, BenchmarkError> {
    let mut found = String::new();
    output.read_line(&mut found).map_err(BenchmarkError::HostOutput)?;
    let address = found.trim().strip_prefix(expected).and_then(|address| address.parse().ok());
    address.ok_or(BenchmarkError::NoHostAddress { found, expected })
}
