//! The host's settings: blocks, defaults and checks.

use crate::document::{ConfigError, Document, Place};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tackmast::interface::{DedupScope, Effect, TimeDelta};

/// `host { ... }`
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// This host's number, from 0, and how many hosts share the pool.
    pub number: u32,
    pub hosts: u32,
    /// Where clients connect with iSCSI and, where that is wanted, with NBD, and where the node list answers.
    pub listen: SocketAddr,
    pub listen_nbd: Option<SocketAddr>,
    pub node_list: SocketAddr,
    #[serde(default = "target_name")]
    pub target: String,
    /// How coarse the host's clock is taken to be.
    #[serde(default = "two")]
    pub tick_ms: f64,
    /// Time kept for an answer's way back to its client: it leaves the host that much before the deadline.
    #[serde(default = "twenty")]
    pub answer_lead_ms: f64,
    /// Seed of chance; without one it is drawn at the start.
    pub seed: Option<u64>,
    /// File that keeps the node list as last held, for the next start.
    pub saved_list: Option<std::path::PathBuf>,
    /// The site that this host stands in, as a number; told to the other hosts.
    pub site: Option<u32>,
}

fn target_name() -> String {
    "iqn.2026-12.org.tackmast:pool".to_owned()
}
fn two() -> f64 {
    2.0
}
fn twenty() -> f64 {
    20.0
}
fn one() -> f64 {
    1.0
}

/// `bounds { ... }`: what each table and queue may hold. What is over a bound is rejected.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    pub sessions: usize,
    /// Commands open in one session.
    pub window: u32,
    /// Requests and bytes open at the host.
    #[serde(rename = "transfers")]
    pub requests: usize,
    pub bytes: usize,
    /// Bytes of one command, of immediate data, of one data unit, and of one solicited sequence.
    pub command_bytes: u32,
    pub first_burst: u32,
    pub segment: u32,
    pub burst: u32,
    /// Parts of one command, where it touches several extents.
    pub parts: usize,
    pub nodes: usize,
    /// Connections to one node, and attempts waiting to be written on each.
    pub links: usize,
    pub link_queue: usize,
    /// Bytes that one connection to a node may hold on their way: what has left can't be taken back.
    pub link_bytes: u32,
    pub connect_ms: u64,
    /// A client that takes no byte, and a link that stays silent, for so long is given up.
    pub client_stall_ms: u64,
    pub link_silence_ms: u64,
    /// Time a client may take to log in.
    pub login_ms: u64,
    /// Time that open requests have when the host is asked to end.
    pub drain_ms: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            sessions: 4096,
            window: 128,
            requests: 65_536,
            bytes: 1 << 30,
            command_bytes: 1 << 20,
            first_burst: 65_536,
            segment: 262_144,
            burst: 262_144,
            parts: 16,
            nodes: 4096,
            links: 2,
            link_queue: 256,
            link_bytes: 65_536,
            connect_ms: 250,
            client_stall_ms: 10_000,
            link_silence_ms: 5_000,
            login_ms: 5_000,
            drain_ms: 5_000,
        }
    }
}

/// `overrides { ... }`: operators' orders. Without the block the host takes none.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct OverridesBlock {
    /// File that keeps them, and the socket by which operators reach the host.
    pub store: std::path::PathBuf,
    pub admin: std::path::PathBuf,
    /// Overrides that may stand at a time.
    #[serde(default = "ten_thousand")]
    pub most: usize,
    /// Part of a zone's nodes that may be out of service without force.
    #[serde(default = "half")]
    pub zone_part: f64,
}

fn ten_thousand() -> usize {
    20_000
}
fn half() -> f64 {
    0.5
}

/// `membership { ... }`: hosts that know of each other. Without the block the host hears of none.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct MembershipBlock {
    /// Where peers' datagrams come.
    pub listen: SocketAddr,
    /// Where peers reach this host, if that is not `listen`: behind a translation of addresses.
    pub advertise: Option<SocketAddr>,
    /// Name of the fleet; datagrams of any other are dropped.
    pub fleet: String,
    /// Hosts that are asked first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Prefixes of peers, one or more.
    pub admit: Vec<ipnet::IpNet>,
    #[serde(default = "period_ms")]
    pub period_ms: f64,
    /// For how long a part of a limit is lent, and how long when a host leaves in order. Hosts of a fleet have the same.
    #[serde(default = "term_s")]
    pub term_s: f64,
    #[serde(default = "leave_s")]
    pub leave_s: f64,
    /// Part by which steady clocks may run apart.
    #[serde(default = "drift")]
    pub drift: f64,
    /// File that marks a leave for the next generation; without it nothing is lent when the host leaves.
    pub left_file: Option<std::path::PathBuf>,
}

fn period_ms() -> f64 {
    500.0
}
fn term_s() -> f64 {
    2.0
}
fn leave_s() -> f64 {
    60.0
}
fn drift() -> f64 {
    0.001
}

/// `plans { ... }`: plans change while hosts run. Without the block they are as these settings say.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PlansBlock {
    /// The number of the host that takes changes, where hosts do not agree on them.
    #[serde(default)]
    pub home: u32,
    /// From a change's acknowledgement until all hosts go by it.
    #[serde(default = "settle_s")]
    pub settle_s: f64,
    /// Units a second that a shard's node is told to bear, and those that bear otherwise, by shard.
    pub node_units: f64,
    #[serde(default)]
    pub bears: std::collections::BTreeMap<String, f64>,
}

fn settle_s() -> f64 {
    5.0
}

/// `agreement { ... }`: hosts agree on changes of plans, by a log that a few of them vote on. Without the block the home of
/// the block `plans` takes them alone.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AgreementBlock {
    /// Numbers of the hosts that begin the log; later it says itself who votes.
    pub voters: Vec<u32>,
    /// For how long what a host has counts after it last asked: the longest for which two hosts go by changes that
    /// contradict each other.
    #[serde(default = "lease_s")]
    pub lease_s: f64,
    /// Between two words of a leader, and the least time without one after which another is sought.
    #[serde(default = "beat_ms")]
    pub beat_ms: f64,
    #[serde(default = "patience_ms")]
    pub patience_ms: f64,
    /// Part by which steady clocks may run apart.
    #[serde(default = "drift")]
    pub drift: f64,
}

fn lease_s() -> f64 {
    5.0
}
fn beat_ms() -> f64 {
    100.0
}
fn patience_ms() -> f64 {
    1000.0
}

/// `units { ... }`: how a request's size counts.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Units {
    /// Bytes in a unit; a request counts at least one.
    pub bytes: u32,
    /// Units of the largest request; a longer command counts that many.
    pub most: f64,
    /// Units of a request in the mean.
    pub mean: f64,
}

/// `further_legs { ... }`: rule 6.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RetryBudget {
    pub free: f64,
    pub share: f64,
    pub window_s: f64,
}

/// `cold_nodes { ... }`: rule 4, as `Scheduler::set_slow_start` takes it.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ColdNodes {
    pub safe_units: f64,
    pub from: f64,
    pub warm_s: f64,
    pub window_s: f64,
    pub multiple: f64,
    /// Part of its work that a node may save, at most, for a piece of data that it took lately.
    #[serde(default = "one")]
    pub saved: f64,
}

/// `load { ... }`: what is true of the nodes and clients of this pool.
#[derive(Debug, Clone, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Attempts of one request.
    #[serde(rename = "most_legs")]
    pub max_attempts: u32,
    /// Longest time a client can be asked to stay away; 0: it can't be asked.
    pub longest_wait_s: f64,
    /// Rest of an order key after an attempt that may still be running.
    pub settle_s: f64,
    /// Time after word of a drain within which what was on its way may still reach the node.
    pub drain_grace_ms: f64,
    /// Whether nodes tell of service through other hosts.
    pub tells_others: bool,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            max_attempts: 4,
            longest_wait_s: 2.0,
            settle_s: 1.0,
            drain_grace_ms: 250.0,
            tells_others: true,
        }
    }
}

#[derive(Debug, Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
enum EffectName {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "keyed")]
    IdempotentByKey,
    #[serde(rename = "unrepeatable")]
    NonIdempotent,
}

#[derive(Debug, Clone, Copy, Deserialize, PartialEq, Default)]
#[serde(rename_all = "lowercase")]
enum GroupName {
    #[default]
    All,
    Zone,
    Shard,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct TrafficClassBlock {
    #[serde(rename = "slo_ms")]
    latency_objective_ms: f64,
    #[serde(rename = "expiry_ms")]
    deadline_ms: f64,
    effect: EffectName,
    #[serde(default)]
    group: GroupName,
    window_s: Option<f64>,
    #[serde(default)]
    in_order: bool,
    order_blocks: Option<u64>,
}

/// `stream "name" { ... }`
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficClass {
    pub name: String,
    pub latency_objective: TimeDelta,
    /// Time to answer in, where the client negotiates none.
    pub deadline: TimeDelta,
    pub effect: Effect,
    pub in_order: bool,
    /// Blocks that share one order key; none: an extent.
    pub order_blocks: Option<u64>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanBlock {
    #[serde(default)]
    limit: f64,
    #[serde(default)]
    burst: f64,
    #[serde(default)]
    slack: f64,
    #[serde(default)]
    reserve: f64,
    #[serde(default = "one")]
    weight: f64,
    floor: Option<f64>,
}

/// `plan "name" { ... }`: units a second, and units.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    pub name: String,
    pub limit: f64,
    pub burst: f64,
    pub slack: f64,
    pub reserve: f64,
    pub weight: f64,
    /// What a host past its lease goes by, where hosts agree on plans; none: nothing of a limit, and all where there is none.
    pub floor: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct VolumeBlock {
    lun: u32,
    plan: String,
    blocks: u64,
    #[serde(default = "block_bytes")]
    block_bytes: u32,
    extent_blocks: u64,
    shards: Vec<u32>,
    hosts: u32,
    #[serde(default)]
    through: Vec<u32>,
    reads: String,
    writes: String,
    large_reads: Option<String>,
    large_from_blocks: Option<u32>,
}

fn block_bytes() -> u32 {
    512
}

/// `volume "name" { ... }`; streams and plans by their index.
#[derive(Debug, Clone, PartialEq)]
pub struct Volume {
    pub name: String,
    pub lun: u32,
    pub plan: u32,
    pub blocks: u64,
    pub block_bytes: u32,
    pub extent_blocks: u64,
    /// The shard of extent `n` is entry `n` modulo their number.
    pub shards: Vec<u32>,
    /// Hosts through which its requests come.
    pub hosts: u32,
    /// Their numbers, where told; only then do they lend each other parts of its limit.
    pub through: Vec<u32>,
    pub reads: u32,
    pub writes: u32,
    /// Reads of so many blocks or more are of this traffic class.
    pub large: Option<(u32, u32)>,
}

/// All settings of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct HostSettings {
    pub host: Identity,
    pub bounds: Bounds,
    pub units: Units,
    pub load: Load,
    pub retry_budget: Option<RetryBudget>,
    pub cold: Option<ColdNodes>,
    pub overrides: Option<OverridesBlock>,
    pub membership: Option<MembershipBlock>,
    pub plans_live: Option<PlansBlock>,
    pub agreement: Option<AgreementBlock>,
    pub traffic_classes: Vec<TrafficClass>,
    pub plans: Vec<Plan>,
    pub volumes: Vec<Volume>,
}

const BLOCKS: [&str; 13] = [
    "host",
    "bounds",
    "units",
    "load",
    "further_legs",
    "cold_nodes",
    "overrides",
    "membership",
    "agreement",
    "plans",
    "stream",
    "plan",
    "volume",
];
/// Longest span that a setting may name: a day.
const DAY_S: f64 = 86_400.0;

impl HostSettings {
    pub fn read(path: &std::path::Path) -> Result<HostSettings, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError {
            file: file.clone(),
            line: 0,
            place: "file".into(),
            problem: format!("{e}; expected a file of settings"),
        })?;
        HostSettings::parse(&file, &text)
    }

    pub fn parse(file: &str, text: &str) -> Result<HostSettings, ConfigError> {
        let doc = Document::parse(file, text)?;
        doc.only(&BLOCKS)?;
        let host: Identity = doc.block("host")?;
        let bounds: Bounds = doc.block_or("bounds")?;
        let units: Units = doc.block("units")?;
        let load: Load = doc.block_or("load")?;
        let retry_budget: Option<RetryBudget> = doc.blocks("further_legs", false)?.pop().map(|f| f.value);
        let cold: Option<ColdNodes> = doc.blocks("cold_nodes", false)?.pop().map(|f| f.value);

        let overrides: Option<OverridesBlock> = doc.blocks("overrides", false)?.pop().map(|f| f.value);
        let membership: Option<MembershipBlock> = doc.blocks("membership", false)?.pop().map(|f| f.value);

        let within = |kind: &str, label: &str, name: &str, value: f64, low: f64, high: f64| match value {
            v if v.is_finite() && v >= low && v <= high => Ok(v),
            v => Err(doc.wrong(&Place { kind, label, name }, v, &format!("a number from {low} to {high}"))),
        };
        let whole = |kind, name, value: u64, low: u64, high: u64| match (low..=high).contains(&value) {
            true => Ok(()),
            false => {
                let expected = format!("a whole number from {low} to {high}");
                Err(doc.wrong(&Place { kind, label: "", name }, value, &expected))
            }
        };
        whole("host", "hosts", u64::from(host.hosts), 1, 100_000)?;
        whole("host", "number", u64::from(host.number), 0, u64::from(host.hosts) - 1)?;
        whole("host", "site", u64::from(host.site.unwrap_or(0)), 0, 100_000)?;
        within("host", "", "tick_ms", host.tick_ms, 0.1, 1000.0)?;
        within("host", "", "answer_lead_ms", host.answer_lead_ms, 0.0, 60_000.0)?;
        for (name, value, low, high) in [
            ("sessions", bounds.sessions as u64, 1, 60_000),
            ("window", u64::from(bounds.window), 1, 65_536),
            ("transfers", bounds.requests as u64, 1, 1 << 24),
            ("bytes", bounds.bytes as u64, 1 << 16, 1 << 40),
            ("command_bytes", u64::from(bounds.command_bytes), 512, 8 << 20),
            ("first_burst", u64::from(bounds.first_burst), 512, 8 << 20),
            ("segment", u64::from(bounds.segment), 512, 8 << 20),
            ("burst", u64::from(bounds.burst), 512, 8 << 20),
            ("parts", bounds.parts as u64, 1, 1024),
            ("nodes", bounds.nodes as u64, 1, 1 << 20),
            ("links", bounds.links as u64, 1, 64),
            ("link_queue", bounds.link_queue as u64, 1, 65_536),
            ("link_bytes", u64::from(bounds.link_bytes), 4096, 16 << 20),
            ("connect_ms", bounds.connect_ms, 1, 60_000),
            ("client_stall_ms", bounds.client_stall_ms, 10, 3_600_000),
            ("link_silence_ms", bounds.link_silence_ms, 10, 3_600_000),
            ("login_ms", bounds.login_ms, 10, 600_000),
            ("drain_ms", bounds.drain_ms, 0, 600_000),
        ] {
            whole("bounds", name, value, low, high)?;
        }
        if u64::from(bounds.first_burst) > u64::from(bounds.burst) {
            let at = Place { kind: "bounds", label: "", name: "first_burst" };
            return Err(doc.wrong(&at, bounds.first_burst, &format!("at most burst, {}", bounds.burst)));
        }
        whole("units", "bytes", u64::from(units.bytes), 1, 8 << 20)?;
        within("units", "", "most", units.most, 1.0, 1e9)?;
        within("units", "", "mean", units.mean, 1e-3, units.most)?;
        whole("load", "most_legs", u64::from(load.max_attempts), 1, 200)?;
        within("load", "", "longest_wait_s", load.longest_wait_s, 0.0, DAY_S)?;
        within("load", "", "settle_s", load.settle_s, 0.0, DAY_S)?;
        within("load", "", "drain_grace_ms", load.drain_grace_ms, 1.0, DAY_S * 1e3)?;
        if let Some(o) = &overrides {
            whole("overrides", "most", o.most as u64, 1, 1_000_000)?;
            within("overrides", "", "zone_part", o.zone_part, 0.0, 1.0)?;
        }
        if let Some(m) = &membership {
            within("membership", "", "period_ms", m.period_ms, 20.0, 60_000.0)?;
            within("membership", "", "term_s", m.term_s, 0.2, 60.0)?;
            within("membership", "", "leave_s", m.leave_s, m.term_s, DAY_S)?;
            within("membership", "", "drift", m.drift, 0.0, 0.1)?;
            if let Some(a) = m.advertise.filter(|a| a.port() == 0 || a.ip().is_unspecified()) {
                let at = Place { kind: "membership", label: "", name: "advertise" };
                return Err(doc.wrong(&at, a, "an address and port at which peers reach this host"));
            }
            if m.admit.is_empty() {
                let at = Place { kind: "membership", label: "", name: "admit" };
                return Err(doc.wrong(&at, "[]", "one prefix of peers or more"));
            }
            if m.fleet.is_empty() || m.fleet.len() > 32 {
                let at = Place { kind: "membership", label: "", name: "fleet" };
                return Err(doc.wrong(&at, format!("{:?}", m.fleet), "a name of 1 to 32 bytes"));
            }
        }
        let plans_live: Option<PlansBlock> = doc.blocks("plans", false)?.pop().map(|f| f.value);
        if let Some(p) = &plans_live {
            whole("plans", "home", u64::from(p.home), 0, u64::from(host.hosts) - 1)?;
            within("plans", "", "settle_s", p.settle_s, 0.1, 3600.0)?;
            within("plans", "", "node_units", p.node_units, 0.0, 1e12)?;
            for (shard, units) in &p.bears {
                within("plans", "", "bears", *units, 0.0, 1e12)?;
                if shard.parse::<u32>().is_err() {
                    let at = Place { kind: "plans", label: "", name: "bears" };
                    return Err(doc.wrong(&at, format!("{shard:?}"), "numbers of shards as names"));
                }
            }
            if overrides.is_none() {
                let at = Place { kind: "plans", label: "", name: "" };
                return Err(doc.wrong(
                    &at,
                    "no overrides block",
                    "one: its store keeps the trail of changes",
                ));
            }
        }
        let agreement: Option<AgreementBlock> = doc.blocks("agreement", false)?.pop().map(|f| f.value);
        if let Some(a) = &agreement {
            within("agreement", "", "lease_s", a.lease_s, 0.2, 600.0)?;
            within("agreement", "", "beat_ms", a.beat_ms, 5.0, 10_000.0)?;
            within("agreement", "", "patience_ms", a.patience_ms, 2.0 * a.beat_ms, 60_000.0)?;
            within("agreement", "", "drift", a.drift, 0.0, 0.1)?;
            let at = |name| Place { kind: "agreement", label: "", name };
            let different: BTreeSet<u32> = a.voters.iter().copied().collect();
            let right = (1..=7).contains(&different.len()) && different.len() == a.voters.len();
            if !right || different.iter().any(|v| *v >= host.hosts) {
                let expected = format!("1 to 7 different numbers below {}", host.hosts);
                return Err(doc.wrong(&at("voters"), format!("{:?}", a.voters), &expected));
            }
            for (name, there) in [("plans", plans_live.is_some()), ("membership", membership.is_some())] {
                if !there {
                    return Err(doc.wrong(
                        &at(""),
                        format!("no {name} block"),
                        "one: hosts agree on plans, over its way",
                    ));
                }
            }
        }
        if let Some(f) = &retry_budget {
            within("further_legs", "", "free", f.free, 0.0, 1e9)?;
            within("further_legs", "", "share", f.share, 0.0, 1e3)?;
            within("further_legs", "", "window_s", f.window_s, 0.05, DAY_S)?;
        }
        if let Some(c) = &cold {
            within("cold_nodes", "", "safe_units", c.safe_units, 0.0, 1e12)?;
            within("cold_nodes", "", "from", c.from, 0.001, 1.0)?;
            within("cold_nodes", "", "warm_s", c.warm_s, 0.0, DAY_S)?;
            within("cold_nodes", "", "window_s", c.window_s, 0.001, DAY_S)?;
            within("cold_nodes", "", "multiple", c.multiple, 0.0, 1e6)?;
            within("cold_nodes", "", "saved", c.saved, 0.0, 1.0)?;
        }

        let mut traffic_classes = Vec::new();
        for f in doc.blocks::<TrafficClassBlock>("stream", true)? {
            let (s, name) = (f.value, f.label);
            within("stream", &name, "slo_ms", s.latency_objective_ms, 0.1, DAY_S * 1e3)?;
            within("stream", &name, "expiry_ms", s.deadline_ms, host.answer_lead_ms + 10.0, DAY_S * 1e3)?;
            let window = within("stream", &name, "window_s", s.window_s.unwrap_or(0.0), 0.0, DAY_S)?;
            let effect = match (s.effect, s.window_s) {
                (EffectName::Idempotent, _) => Effect::Idempotent,
                (EffectName::NonIdempotent, _) => Effect::NonIdempotent,
                (EffectName::IdempotentByKey, Some(_)) => {
                    let scope = match s.group {
                        GroupName::All => DedupScope::All,
                        GroupName::Zone => DedupScope::Zone,
                        GroupName::Shard => DedupScope::Shard,
                    };
                    Effect::IdempotentByKey { scope, window: TimeDelta::from_secs(window) }
                }
                (EffectName::IdempotentByKey, None) => {
                    let at = Place { kind: "stream", label: &name, name: "window_s" };
                    return Err(doc.wrong(&at, "missing", "the seconds for which nodes know a mark"));
                }
            };
            if s.order_blocks == Some(0) {
                let at = Place { kind: "stream", label: &name, name: "order_blocks" };
                return Err(doc.wrong(&at, 0, "1 block or more"));
            }
            traffic_classes.push(TrafficClass {
                latency_objective: TimeDelta::from_secs(s.latency_objective_ms / 1e3),
                deadline: TimeDelta::from_secs(s.deadline_ms / 1e3),
                effect,
                in_order: s.in_order,
                order_blocks: s.order_blocks,
                name,
            });
        }

        let mut plans = Vec::new();
        for f in doc.blocks::<PlanBlock>("plan", true)? {
            let (p, name) = (f.value, f.label);
            for (key, value) in
                [("limit", p.limit), ("burst", p.burst), ("slack", p.slack), ("reserve", p.reserve)]
            {
                within("plan", &name, key, value, 0.0, 1e12)?;
            }
            within("plan", &name, "weight", p.weight, 1e-6, 1e6)?;
            if p.limit > 0.0 && p.burst < units.most {
                let at = Place { kind: "plan", label: &name, name: "burst" };
                let expected = format!("at least the largest transfer, {} units, under a limit", units.most);
                return Err(doc.wrong(&at, p.burst, &expected));
            }
            plans.push(Plan {
                name,
                limit: p.limit,
                burst: p.burst,
                slack: p.slack,
                floor: p.floor,
                reserve: p.reserve,
                weight: p.weight,
            });
        }

        let mut volumes: Vec<Volume> = Vec::new();
        let mut luns = BTreeSet::new();
        for f in doc.blocks::<VolumeBlock>("volume", true)? {
            let (v, name) = (f.value, f.label);
            let wrong = |key: &'static str, found: String, expected: &str| {
                doc.wrong(&Place { kind: "volume", label: &name, name: key }, found, expected)
            };
            let traffic_class = |key: &'static str, wanted: &str| {
                let at = traffic_classes.iter().position(|s| s.name == wanted);
                at.map(|i| i as u32)
                    .ok_or_else(|| wrong(key, format!("\"{wanted}\""), "the name of a stream block"))
            };
            if v.lun > 0x3fff || !luns.insert(v.lun) {
                return Err(wrong("lun", v.lun.to_string(), "a number up to 16383 that no other volume has"));
            }
            if !v.block_bytes.is_power_of_two() || !(512..=65_536).contains(&v.block_bytes) {
                return Err(wrong(
                    "block_bytes",
                    v.block_bytes.to_string(),
                    "a power of two from 512 to 65536",
                ));
            }
            if v.blocks == 0 || v.blocks.checked_mul(u64::from(v.block_bytes)).is_none_or(|b| b > 1 << 56) {
                return Err(wrong("blocks", v.blocks.to_string(), "1 or more, and at most 2^56 bytes"));
            }
            if v.extent_blocks == 0 {
                return Err(wrong("extent_blocks", "0".into(), "1 or more"));
            }
            if v.shards.is_empty() {
                return Err(wrong("shards", "[]".into(), "the numbers of one shard or more"));
            }
            if v.hosts == 0 || v.hosts > host.hosts {
                let expected = format!("1 to {}, the hosts of the pool", host.hosts);
                return Err(wrong("hosts", v.hosts.to_string(), &expected));
            }
            let plan = plans.iter().position(|p: &Plan| p.name == v.plan);
            let plan =
                plan.ok_or_else(|| wrong("plan", format!("\"{}\"", v.plan), "the name of a plan block"))?;
            let named: BTreeSet<u32> = v.through.iter().copied().collect();
            let told = named.len() == v.hosts as usize && named.len() == v.through.len();
            if !v.through.is_empty() && (!told || named.iter().any(|h| *h >= host.hosts)) {
                let expected = format!("{} different numbers below {}", v.hosts, host.hosts);
                return Err(wrong("through", format!("{:?}", v.through), &expected));
            }
            if v.through.is_empty() && plans_live.is_some() {
                return Err(wrong(
                    "through",
                    "none".into(),
                    "the numbers of its hosts, as there is a plans block",
                ));
            }
            // More than a host's part of the burst never passes, so the largest must fit into it.
            let p = &plans[plan];
            if p.limit > 0.0 && p.burst / f64::from(v.hosts) < units.most {
                let found = format!("{} hosts share a burst of {}", v.hosts, p.burst);
                return Err(wrong("hosts", found, &format!("{} units or more for each", units.most)));
            }
            let large = match (&v.large_reads, v.large_from_blocks) {
                (None, None) => None,
                (Some(name), Some(from)) => Some((from, traffic_class("large_reads", name)?)),
                _ => {
                    return Err(wrong(
                        "large_reads",
                        "alone".into(),
                        "large_reads and large_from_blocks together",
                    ))
                }
            };
            volumes.push(Volume {
                lun: v.lun,
                plan: plan as u32,
                blocks: v.blocks,
                block_bytes: v.block_bytes,
                extent_blocks: v.extent_blocks,
                shards: v.shards,
                hosts: v.hosts,
                through: v.through,
                reads: traffic_class("reads", &v.reads)?,
                writes: traffic_class("writes", &v.writes)?,
                large,
                name,
            });
        }
        for (kind, none) in [
            ("stream", traffic_classes.is_empty()),
            ("plan", plans.is_empty()),
            ("volume", volumes.is_empty()),
        ] {
            if none {
                return Err(doc.wrong(
                    &Place { kind, label: "", name: "" },
                    "none",
                    "one such block or more",
                ));
            }
        }
        Ok(HostSettings {
            host,
            bounds,
            units,
            load,
            retry_budget,
            cold,
            overrides,
            membership,
            plans_live,
            agreement,
            traffic_classes,
            plans,
            volumes,
        })
    }
}
