//! The records of a run: hosts, links, nodes and the requests of a script.

use super::event::{CommandKey, Connection};
use super::Us;
use crate::reference_model::HostLogic;
use crate::scenario_script::ScriptRequest;
use std::collections::BTreeMap;
use tackmast::interface::NodeState;
use tackmast_emulators::model::NodeModel;
use tackmast_host_core::{KnownPeer, SendAttempt};
use tackmast_overrides::{Override, OverrideId};
use tackmast_trace::AttemptName;
use tackmast_wire::reader::Frames;

/// The connection of a host to a node.
pub(super) struct Link {
    pub(super) generation: u64,
    pub(super) to_node: Frames,
    pub(super) to_host: Frames,
    /// When the last bytes of each direction arrive: bytes keep their order.
    pub(super) last_arrivals: [Us; 2],
    /// The smallest difference that the node has seen between its clock and the host's, in microseconds.
    pub(super) clock_offset_us: i64,
    /// Attempts that wait for the node's hello; none once it has arrived.
    pub(super) waiting: Option<Vec<SendAttempt>>,
    pub(super) attempts: BTreeMap<u64, AttemptName>,
}

/// What a host has persisted, which its next process starts from.
#[derive(Default)]
pub(super) struct PersistedHost {
    /// The host left its peers before it ended.
    pub(super) has_left: bool,
    pub(super) overrides: BTreeMap<OverrideId, Override>,
    pub(super) next_override: u64,
    /// Changes of plans, by number.
    pub(super) plan_changes: BTreeMap<u64, Vec<u8>>,
    pub(super) peers: Vec<KnownPeer>,
}

/// A command that its client waits for.
pub(super) struct SubmittedCommand {
    pub(super) began: Us,
    pub(super) latency_objective_us: Us,
}

/// A host and its current process.
pub(super) struct Host {
    pub(super) core: HostLogic,
    pub(super) generation: u64,
    pub(super) up: bool,
    /// When its timer is due.
    pub(super) wake: Us,
    /// Until then the process is paused, and its events wait.
    pub(super) paused_until: Us,
    pub(super) links: BTreeMap<u32, Link>,
    pub(super) follows_list: bool,
    /// Commands that came without a protocol.
    pub(super) command_count: u32,
    pub(super) submitted: BTreeMap<CommandKey, SubmittedCommand>,
    /// The numbers of the script requests among these.
    pub(super) script_numbers: BTreeMap<CommandKey, u64>,
    pub(super) sessions: BTreeMap<u32, Connection>,
    /// The number of the newest session.
    pub(super) session_count: u16,
}

/// An attempt that a node has received.
pub(super) struct NodeAttempt {
    pub(super) host: u32,
    pub(super) host_generation: u64,
    pub(super) link_generation: u64,
    pub(super) attempt: u64,
    pub(super) name: AttemptName,
    pub(super) volume: u32,
    pub(super) units: f64,
    /// Bytes that it reads.
    pub(super) read_bytes: u32,
    pub(super) idempotency_key: u128,
}

/// What a node has served of a volume for one host, in units.
#[derive(Default)]
pub(super) struct ServedUnits {
    pub(super) own: f64,
    /// What has been reported to the host of the units served for other hosts.
    pub(super) reported_elsewhere: f64,
}

/// What a node last reported of its queue.
#[derive(Clone, Copy, Default)]
pub(super) struct LoadReport {
    /// When it was made; 0: none yet.
    pub(super) at: Us,
    pub(super) waiting: u32,
}

/// A node.
pub(super) struct SimNode {
    pub(super) model: NodeModel,
    pub(super) zone: u32,
    pub(super) shard: u32,
    pub(super) load_report: LoadReport,
    /// A load report is repeated for this long before it is renewed, in microseconds.
    pub(super) report_interval_us: Us,
    pub(super) address: String,
    pub(super) up: bool,
    pub(super) silent: bool,
    /// When it started; 0: long before the run.
    pub(super) started: Us,
    /// The number of the newest attempt received.
    pub(super) job_count: u64,
    pub(super) attempts: BTreeMap<u64, NodeAttempt>,
    /// By volume and host.
    pub(super) served: BTreeMap<(u32, u32), ServedUnits>,
    /// Units served for all hosts, by volume.
    pub(super) served_units: BTreeMap<u32, f64>,
    /// When its timer is due.
    pub(super) wake: Us,
    pub(super) listed: NodeState,
    pub(super) listed_start: Us,
    /// Counts the addresses that the node has had.
    pub(super) address_generation: u32,
}

/// A request of a script's traffic that is tried until it is answered for good.
pub(super) struct ScriptAttempt {
    pub(super) request: ScriptRequest,
    /// When it was tried first.
    pub(super) first: Us,
    pub(super) retries: u32,
}

/// A host through which most commands of the limited volume come.
#[derive(Clone, Copy)]
pub(super) struct BusiestHost {
    /// Fraction of these commands.
    pub(super) fraction: f64,
    pub(super) host: u32,
}
