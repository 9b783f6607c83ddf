//! The script of a day: the host's own blocks, and what is round the hosts and happens to them.

use crate::rig::{site_of, How, PeerPlace, Who};
use serde::Deserialize;
use std::net::SocketAddr;
use tackmast_config::document::Place;
use tackmast_config::{ConfigError, Document, HostSettings};
use tackmast_emulators::list::ListFault;
use tackmast_emulators::model::NodeBehavior;
use tackmast_emulators::network_faults::NetworkFault;
use tackmast_emulators::node::Fault;
use tackmast_overrides::{Kind, Target, TargetError};

/// `day { ... }`
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DayBlock {
    pub seconds: f64,
    pub hosts: u32,
    #[serde(default = "one")]
    pub seed: u64,
    #[serde(default = "grace")]
    pub drain_grace_ms: f64,
    /// How late an answer may be seen by its client, and how far two ends of a socket may differ.
    #[serde(default = "fifty")]
    pub answer_slack_ms: f64,
    #[serde(default = "fifty")]
    pub skew_ms: f64,
    /// File beside the script whose blocks hold where the script has none of their kind.
    pub base: Option<std::path::PathBuf>,
    /// Rules that the day must exercise; a day that does not has failed.
    #[serde(default)]
    pub exercises: Vec<u8>,
    /// Hosts know of each other.
    #[serde(default)]
    pub members: bool,
    /// Least part of the first tries that must be done.
    #[serde(default)]
    #[serde(rename = "least_done")]
    pub min_done: f64,
    /// Sites that the hosts stand in, neighbours together; 0: they tell none.
    #[serde(default)]
    pub sites: u32,
    /// Of the hosts' view, and within how many of them it must have settled after the last fault; 0: it is not judged.
    #[serde(default = "period")]
    pub period_ms: f64,
    #[serde(default)]
    pub settled_within: f64,
    /// False deaths in the view that are taken.
    #[serde(default)]
    pub false_deaths: usize,
    /// Seconds within which all hosts go by what any was told of a node that drains or is gone; 0: it is not judged. For days
    /// whose hosts are connected.
    #[serde(default)]
    pub list_spreads_s: f64,
    /// Operators that read plans and change the first plan's weight at hosts by chance, and their pause in the mean. What
    /// they see is held against all orders in which it can have happened.
    #[serde(default)]
    pub operators: u32,
    #[serde(default = "pause")]
    pub operators_pause_s: f64,
}

fn pause() -> f64 {
    0.1
}

fn period() -> f64 {
    200.0
}

fn one() -> u64 {
    1
}
fn grace() -> f64 {
    250.0
}
fn fifty() -> f64 {
    50.0
}

/// `nodes "name" { ... }`: one node for each shard named.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct NodesBlock {
    pub shards: Vec<u32>,
    pub zone: u32,
    pub cores: u32,
    pub speed: f64,
    pub unit_ms: f64,
    pub queue: usize,
    pub cold_from: f64,
    pub warm_s: f64,
    pub fall_multiple: f64,
    pub fall_s: f64,
    pub put_off: f64,
    pub flush_s: f64,
    pub pause_ms: f64,
    pub pause_every_s: f64,
    pub saved: f64,
    pub remembers: usize,
    pub drops: bool,
    pub report_ms: u64,
    pub cold: bool,
    /// Bytes that its sockets take while it does not read; 0: as many as the system likes.
    pub receive_bytes: usize,
}

impl Default for NodesBlock {
    fn default() -> Self {
        let n = NodeBehavior::default();
        NodesBlock {
            shards: Vec::new(),
            zone: 0,
            cores: n.cores,
            speed: n.speed,
            unit_ms: n.unit_s * 1e3,
            queue: n.queue,
            cold_from: n.initial_capacity,
            warm_s: n.warm_up_s,
            fall_multiple: n.overload_multiple,
            fall_s: n.overload_window_s,
            put_off: n.write_back_fraction,
            flush_s: n.flush_interval_s,
            pause_ms: n.pause_s * 1e3,
            pause_every_s: n.pause_interval_s,
            saved: n.cache_savings,
            remembers: n.cached_keys,
            drops: n.drops_cancelled,
            report_ms: 100,
            cold: false,
            receive_bytes: 0,
        }
    }
}

impl NodesBlock {
    pub fn nature(&self) -> NodeBehavior {
        NodeBehavior {
            cores: self.cores.max(1),
            unit_s: self.unit_ms / 1e3,
            speed: self.speed,
            queue: self.queue,
            initial_capacity: self.cold_from,
            warm_up_s: self.warm_s,
            overload_multiple: self.fall_multiple,
            overload_window_s: self.fall_s,
            write_back_fraction: self.put_off,
            flush_interval_s: self.flush_s,
            pause_s: self.pause_ms / 1e3,
            pause_interval_s: self.pause_every_s,
            cache_savings: self.saved,
            cached_keys: self.remembers,
            drops_cancelled: self.drops,
        }
    }
}

/// `traffic "name" { ... }`: clients of one volume.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficBlock {
    pub volume: String,
    /// Hosts that it comes through; the first has the lead.
    pub hosts: Vec<u32>,
    /// Part that comes through the lead.
    #[serde(default = "most")]
    pub lead: f64,
    /// Sessions with each host.
    #[serde(default = "two")]
    pub sessions: u32,
    /// Commands a second.
    pub rate: f64,
    #[serde(default = "most")]
    pub reads: f64,
    /// Smallest and largest command.
    #[serde(default = "small")]
    pub blocks: (u32, u32),
    /// Blocks that it works on.
    #[serde(default = "span")]
    pub span_blocks: u64,
    #[serde(default)]
    pub from_s: f64,
    pub for_s: Option<f64>,
    /// Further tries after a rejection, and whether it waits as told.
    #[serde(default)]
    pub retries: u32,
    #[serde(default = "yes")]
    pub waits: bool,
    #[serde(default)]
    pub digests: bool,
    #[serde(rename = "expiry_ms")]
    pub deadline_ms: Option<u32>,
    /// Surges of its own: times the rate, how long, and how often in the mean, in seconds.
    pub surges: Option<(f64, f64, f64)>,
    /// How often the lead passes to another host, in the mean, in seconds.
    pub moves_s: Option<f64>,
    /// Part of commands that are aborted a little later, and after which the session goes without a word.
    #[serde(default)]
    pub aborts: f64,
    #[serde(default)]
    pub leaves: f64,
}

fn most() -> f64 {
    0.7
}
fn two() -> u32 {
    2
}
fn small() -> (u32, u32) {
    (1, 8)
}
fn span() -> u64 {
    4096
}
fn yes() -> bool {
    true
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct TroubleBlock {
    at_s: f64,
    #[serde(default)]
    for_s: f64,
    #[serde(default)]
    nodes: Vec<String>,
    fault: Option<String>,
    list: Option<String>,
    #[serde(default)]
    drain: Vec<String>,
    #[serde(default)]
    hosts: Vec<u32>,
    host: Option<String>,
    #[serde(default)]
    traffic: Vec<String>,
    times: Option<f64>,
    #[serde(default)]
    moves: bool,
    client: Option<String>,
    order: Option<String>,
    target: Option<String>,
    #[serde(default)]
    refused: bool,
    #[serde(default)]
    force: bool,
    plan: Option<String>,
    /// The host that is asked for a change of plans.
    ask: Option<u32>,
    voter: Option<String>,
    limit_times: Option<f64>,
    burst_times: Option<f64>,
    #[serde(default)]
    who: Vec<String>,
    step_s: Option<f64>,
    clock_off_s: Option<f64>,
    clock_pace: Option<f64>,
    way: Option<String>,
    #[serde(default)]
    from: Vec<String>,
    #[serde(default)]
    to: Vec<String>,
    #[serde(default)]
    one_way: bool,
    #[serde(default)]
    apart: Vec<Vec<String>>,
}

/// What a trouble does at its time; most are undone at its end.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Nodes {
        nodes: Vec<String>,
        fault: Fault,
    },
    /// Slower and slower, to that many times, then dead, and back cold after so many seconds.
    Ageing {
        nodes: Vec<String>,
        times: f64,
        down_s: f64,
    },
    /// Stands still again and again.
    Pauses {
        nodes: Vec<String>,
        pause_s: f64,
        every_s: f64,
    },
    List(ListFault),
    /// Drained for the trouble's length, then stopped, gone from the list, and replaced by a cold successor.
    Deploy {
        nodes: Vec<String>,
    },
    /// Told to drain, and ready again at its end.
    Drain {
        nodes: Vec<String>,
    },
    KillHosts(Vec<u32>),
    /// Something is done to the processes of hosts.
    Hosts {
        hosts: Vec<u32>,
        how: How,
    },
    /// Ways from some to others, and back unless it is one way.
    Way {
        from: Vec<Who>,
        to: Vec<Who>,
        what: NetworkFault,
        one_way: bool,
    },
    /// All ways between these groups are cut.
    Apart(Vec<Vec<Who>>),
    Surge {
        traffic: Vec<String>,
        times: f64,
    },
    /// The lead passes to another host.
    Move {
        traffic: Vec<String>,
    },
    /// An operator's order at each of these hosts, for the trouble's length; at all hosts where none is named.
    Order {
        hosts: Vec<u32>,
        kind: Kind,
        /// A target as operators write it, or nodes of the script.
        target: Option<Target>,
        nodes: Vec<String>,
        /// It must be refused.
        refused: bool,
        force: bool,
    },
    /// The host that takes changes is asked to make a plan's limit and burst so many times what the settings say, and to set
    /// them back at the end.
    Plan {
        name: String,
        limit_times: f64,
        burst_times: f64,
        ask: Option<u32>,
    },
    /// Whoever leads is asked to make a host a voter, or to take it out.
    Voter {
        host: u32,
        votes: bool,
    },
    /// A client at each host that breaks the protocol.
    Client {
        hosts: Vec<u32>,
        how: Misuse,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misuse {
    Garbage,
    OverLong,
    PastWindow,
    HalfFrame,
    Silent,
}

#[derive(Debug, Clone)]
pub struct Trouble {
    pub name: String,
    pub at_s: f64,
    pub for_s: f64,
    pub action: Action,
}

#[derive(Clone)]
pub struct Script {
    pub day: DayBlock,
    pub nodes: Vec<(String, NodesBlock)>,
    pub list_late_s: f64,
    pub traffic: Vec<(String, TrafficBlock)>,
    pub troubles: Vec<Trouble>,
    /// Settings as host 0 would have them, for what is common to all.
    pub settings: HostSettings,
    host_blocks: String,
}

#[derive(Debug, Clone, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct ListBlock {
    late_s: f64,
}

/// `host_extra { ... }`: attributes that go into each host's own block.
#[derive(Debug, Clone, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
struct HostExtra {
    answer_lead_ms: Option<f64>,
    tick_ms: Option<f64>,
}

const HOST_BLOCKS: [&str; 10] = [
    "agreement",
    "bounds",
    "units",
    "load",
    "further_legs",
    "cold_nodes",
    "plans",
    "stream",
    "plan",
    "volume",
];
const BLOCKS: [&str; 16] = [
    "agreement",
    "plans",
    "bounds",
    "units",
    "load",
    "further_legs",
    "cold_nodes",
    "stream",
    "plan",
    "volume",
    "day",
    "nodes",
    "list",
    "traffic",
    "trouble",
    "host_extra",
];

impl Script {
    pub fn read(path: &std::path::Path) -> Result<Script, ConfigError> {
        Script::read_sized(path, None)
    }

    /// With so many hosts in place of those it says: for scripts whose troubles name them by parts.
    pub fn read_sized(path: &std::path::Path, hosts: Option<u32>) -> Result<Script, ConfigError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError {
            file: file.clone(),
            line: 0,
            place: "file".into(),
            problem: format!("{e}; expected the script of a day"),
        })?;
        let doc = Document::parse(&file, &text)?;
        let day: DayBlock = doc.block("day")?;
        let Some(base) = day.base else { return Script::parse_sized(&file, &text, hosts) };
        let base = path.with_file_name(base);
        let base_file = base.display().to_string();
        let base_text = std::fs::read_to_string(&base).map_err(|e| {
            doc.error_for(
                &Place { kind: "day", label: "", name: "base" },
                format!("{base_file}: {e}"),
                "a file of blocks",
            )
        })?;
        // Blocks of the base stand behind the script's own, on lines that can be told from them.
        let base_doc = Document::parse(&base_file, &base_text)?;
        base_doc.require_known_blocks(&BLOCKS)?;
        let missing: Vec<&str> = BLOCKS.into_iter().filter(|k| !doc.has_block(k)).collect();
        let own_lines = text.lines().count();
        let whole = format!("{}\n{}", text.trim_end_matches('\n'), base_doc.text_of_blocks(&missing));
        Script::parse_sized(&file, &whole, hosts).map_err(|e| match e.line > own_lines {
            true => ConfigError { file: base_file, line: e.line - own_lines, ..e },
            false => e,
        })
    }

    pub fn parse(file: &str, text: &str) -> Result<Script, ConfigError> {
        Script::parse_sized(file, text, None)
    }

    fn parse_sized(file: &str, text: &str, hosts: Option<u32>) -> Result<Script, ConfigError> {
        let doc = Document::parse(file, text)?;
        doc.require_known_blocks(&BLOCKS)?;
        let mut day: DayBlock = doc.block("day")?;
        day.hosts = hosts.unwrap_or(day.hosts);
        let wrong = |kind: &str, label: &str, name: &str, found: String, expected: &str| {
            doc.error_for(&Place { kind, label, name }, found, expected)
        };
        if !(0.1..=3600.0).contains(&day.seconds) {
            return Err(wrong("day", "", "seconds", day.seconds.to_string(), "a number from 0.1 to 3600"));
        }
        if !(1..=64).contains(&day.hosts) {
            return Err(wrong("day", "", "hosts", day.hosts.to_string(), "1 to 64"));
        }
        if day.sites > day.hosts {
            return Err(wrong("day", "", "sites", day.sites.to_string(), "at most as many as hosts"));
        }
        if !(20.0..=10_000.0).contains(&day.period_ms) {
            return Err(wrong(
                "day",
                "",
                "period_ms",
                day.period_ms.to_string(),
                "a number from 20 to 10000",
            ));
        }
        if let Some(r) = day.exercises.iter().find(|r| !(1..=7).contains(*r)) {
            return Err(wrong("day", "", "exercises", r.to_string(), "numbers of rules, 1 to 7"));
        }
        let extra: HostExtra = doc.block_or_default("host_extra")?;
        let list: ListBlock = doc.block_or_default("list")?;
        let mut more = String::new();
        for (name, value) in [("answer_lead_ms", extra.answer_lead_ms), ("tick_ms", extra.tick_ms)] {
            if let Some(v) = value {
                more += &format!("  {name} = {v}\n");
            }
        }
        let host_blocks = doc.text_of_blocks(&HOST_BLOCKS);
        let common = host_text(&host_blocks, &more, 0, &day, None, None);
        let before = common.lines().count() - host_blocks.lines().count();
        // Each host gets a store of its own; here one is named since plans ask for it.
        let store =
            if doc.has_block("plans") { "\noverrides {\n  store = \"\"\n  admin = \"\"\n}\n" } else { "" };
        // The same for the way over which hosts agree.
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        let place = PeerPlace { listen: nowhere, advertise: None, seeds: Vec::new() };
        let way = match doc.has_block("agreement") {
            true => membership(&place, std::path::Path::new(""), day.period_ms),
            false => String::new(),
        };
        let settings = HostSettings::parse(file, &(common + store + &way))
            .map_err(|e| ConfigError { line: e.line.saturating_sub(before), ..e })?;
        let mut nodes = Vec::new();
        for f in doc.labelled_blocks::<NodesBlock>("nodes")? {
            if f.value.shards.is_empty() {
                return Err(wrong("nodes", &f.label, "shards", "[]".into(), "the shards they hold"));
            }
            nodes.push((f.label, f.value));
        }
        let mut traffic = Vec::new();
        for f in doc.labelled_blocks::<TrafficBlock>("traffic")? {
            let (name, t) = (f.label, f.value);
            let Some(v) = settings.volumes.iter().find(|v| v.name == t.volume) else {
                return Err(wrong("traffic", &name, "volume", t.volume, "the name of a volume block"));
            };
            if t.hosts.is_empty()
                || t.hosts.iter().any(|h| *h >= day.hosts)
                || t.hosts.len() > v.hosts as usize
            {
                let expected = format!("hosts below {}, at most the volume's {}", day.hosts, v.hosts);
                return Err(wrong("traffic", &name, "hosts", format!("{:?}", t.hosts), &expected));
            }
            if t.blocks.0 == 0 || t.blocks.0 > t.blocks.1 || u64::from(t.blocks.1) > t.span_blocks {
                return Err(wrong(
                    "traffic",
                    &name,
                    "blocks",
                    format!("{:?}", t.blocks),
                    "least and most, from 1",
                ));
            }
            if !(0.01..=1e6).contains(&t.rate) {
                return Err(wrong(
                    "traffic",
                    &name,
                    "rate",
                    t.rate.to_string(),
                    "a number from 0.01 to 1000000",
                ));
            }
            traffic.push((name, t));
        }
        let mut troubles = Vec::new();
        for f in doc.labelled_blocks::<TroubleBlock>("trouble")? {
            let (name, t) = (f.label, f.value);
            let action = action(&t, &day)
                .map_err(|(key, found, expected)| wrong("trouble", &name, key, found, &expected))?;
            let unknown =
                |names: &[String], known: &dyn Fn(&str) -> bool| names.iter().find(|n| !known(n)).cloned();
            let node_known = |n: &str| nodes.iter().any(|(name, b)| n == name || is_one_of(n, name, b));
            if let Some(n) = unknown(&t.nodes, &node_known).or_else(|| unknown(&t.drain, &node_known)) {
                return Err(wrong(
                    "trouble",
                    &name,
                    "nodes",
                    n,
                    "a nodes block, or its name with a shard: name/3",
                ));
            }
            if let Action::Plan { name: plan, .. } = &action {
                if settings.plans_live.is_none() || !settings.plans.iter().any(|p| p.name == *plan) {
                    let expected = "the name of a plan block, and a plans block beside it";
                    return Err(wrong("trouble", &name, "plan", plan.clone(), expected));
                }
            }
            let traffic_known = |n: &str| traffic.iter().any(|(name, _)| n == name);
            if let Some(n) = unknown(&t.traffic, &traffic_known) {
                return Err(wrong("trouble", &name, "traffic", n, "the name of a traffic block"));
            }
            if let Some(h) = t.hosts.iter().find(|h| **h >= day.hosts) {
                let expected = format!("numbers below {}, the day's hosts", day.hosts);
                return Err(wrong("trouble", &name, "hosts", h.to_string(), &expected));
            }
            let (at_s, for_s) = (t.at_s.max(0.0), t.for_s.max(0.0));
            match (action, t.step_s) {
                // One after the other.
                (Action::Hosts { hosts, how }, Some(step)) => {
                    for (i, host) in hosts.into_iter().enumerate() {
                        let (name, at_s) = (format!("{name}, host {host}"), at_s + step.max(0.0) * i as f64);
                        let action = Action::Hosts { hosts: vec![host], how };
                        troubles.push(Trouble { name, at_s, for_s, action });
                    }
                }
                (action, _) => troubles.push(Trouble { name, at_s, for_s, action }),
            }
        }
        let list_late_s = list.late_s;
        Ok(Script { day, nodes, list_late_s, traffic, troubles, settings, host_blocks })
    }

    /// All that troubles name at the ends of ways.
    pub fn ways(&self) -> impl Iterator<Item = &Who> {
        self.troubles.iter().flat_map(|t| -> Vec<&Who> {
            match &t.action {
                Action::Way { from, to, .. } => from.iter().chain(to).collect(),
                Action::Apart(groups) => groups.iter().flatten().collect(),
                _ => Vec::new(),
            }
        })
    }

    /// Hosts that are not there when the day begins.
    pub fn late(&self) -> Vec<u32> {
        let late = |t: &Trouble| match &t.action {
            Action::Hosts { hosts, how: How::Late } => hosts.clone(),
            _ => Vec::new(),
        };
        self.troubles.iter().flat_map(late).collect()
    }

    /// The settings file of one host; `stem` names its files.
    pub fn host_file(
        &self,
        host: u32,
        listen: SocketAddr,
        list: SocketAddr,
        dir: &std::path::Path,
        stem: &str,
        peers: Option<&PeerPlace>,
    ) -> String {
        let mut extra = format!(
            "  answer_lead_ms = {}\n  tick_ms = {}\n",
            self.settings.host.answer_lead_ms, self.settings.host.clock_resolution_ms
        );
        if let Some(site) = site_of(host, self.day.hosts, self.day.sites) {
            extra += &format!("  site = {site}\n");
        }
        let (store, admin) = (dir.join(format!("{stem}.redb")), dir.join(format!("{stem}.admin")));
        let orders = format!(
            "overrides {{\n  store = {:?}\n  admin = {:?}\n}}\n",
            store.display().to_string(),
            admin.display().to_string()
        );
        let left = dir.join(format!("{stem}.left"));
        let members = peers.map_or(String::new(), |p| membership(p, &left, self.day.period_ms));
        host_text(&self.host_blocks, &extra, host, &self.day, Some(listen), Some(list))
            + "\n"
            + &orders
            + &members
    }
}

fn membership(p: &PeerPlace, left: &std::path::Path, period_ms: f64) -> String {
    let seeds: Vec<String> = p.seeds.iter().map(|s| format!("{:?}", s.to_string())).collect();
    let advertise = p.advertise.map_or(String::new(), |a| format!("  advertise = \"{a}\"\n"));
    format!(
        "membership {{\n  listen = \"{}\"\n{advertise}  fleet = \"day\"\n  seeds = [{}]\n  admit = [\"127.0.0.0/8\"]\n  \
         period_ms = {period_ms}\n  term_s = 1\n  leave_s = 10\n  left_file = {:?}\n}}\n",
        p.listen,
        seeds.join(", "),
        left.display().to_string()
    )
}

pub fn admin_socket(dir: &std::path::Path, host: u32) -> std::path::PathBuf {
    dir.join(format!("host-{host}.admin"))
}

/// Whether `name/shard` names a node of this block.
pub fn is_one_of(wanted: &str, name: &str, block: &NodesBlock) -> bool {
    wanted
        .strip_prefix(name)
        .and_then(|rest| rest.strip_prefix('/'))
        .and_then(|n| n.parse::<u32>().ok())
        .is_some_and(|n| block.shards.contains(&n))
}

fn host_text(
    blocks: &str,
    extra: &str,
    host: u32,
    day: &DayBlock,
    listen: Option<SocketAddr>,
    list: Option<SocketAddr>,
) -> String {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let (listen, list) = (listen.unwrap_or(nowhere), list.unwrap_or(nowhere));
    let (hosts, seed) = (day.hosts, day.seed + u64::from(host));
    format!(
        "host {{\n  number = {host}\n  hosts = {hosts}\n  listen = \"{listen}\"\n  node_list = \"{list}\"\n  \
         seed = {seed}\n{extra}}}\n{blocks}"
    )
}

type Wrong = (&'static str, String, String);

fn whom(key: &'static str, all: &[String]) -> Result<Vec<Who>, Wrong> {
    all.iter().map(|w| w.parse().map_err(|e: String| (key, e, "who is meant".to_owned()))).collect()
}

/// What is done to processes and ways; none: the trouble is of another kind.
fn rigged(t: &TroubleBlock, day: &DayBlock) -> Result<Option<Action>, Wrong> {
    if !t.apart.is_empty() {
        let groups: Vec<Vec<Who>> = t.apart.iter().map(|g| whom("apart", g)).collect::<Result<_, _>>()?;
        return match groups.len() {
            1 => Err(("apart", "one group".into(), "two groups or more".into())),
            _ => Ok(Some(Action::Apart(groups))),
        };
    }
    if let Some(way) = &t.way {
        let words: Vec<&str> = way.split_whitespace().collect();
        let expected = "cut, reset, lose PART, late SECONDS or double PART";
        let wrong = || ("way", way.clone(), expected.to_owned());
        let amount = |x: &str, most: f64| match x.parse::<f64>() {
            Ok(n) if (0.0..=most).contains(&n) => Ok(n),
            _ => Err(wrong()),
        };
        let what = match words.as_slice() {
            ["cut"] => NetworkFault::Cut,
            ["reset"] => NetworkFault::Reset,
            ["lose", x] => NetworkFault::Loss(amount(x, 1.0)?),
            ["late", x] => NetworkFault::Delay(amount(x, 60.0)?),
            ["double", x] => NetworkFault::Duplicate(amount(x, 1.0)?),
            _ => return Err(wrong()),
        };
        let (from, to) = (whom("from", &t.from)?, whom("to", &t.to)?);
        if from.is_empty() || to.is_empty() {
            return Err(("from", "nobody".into(), "who is at each end, by from and to".into()));
        }
        return Ok(Some(Action::Way { from, to, what, one_way: t.one_way }));
    }
    let how = match t.host.as_deref() {
        Some("term") => How::Term,
        Some("stop") => How::Stop,
        Some("late") => How::Late,
        Some("wipe") => How::Wipe,
        Some("old-disk") => How::OldDisk,
        Some("twin") => How::Twin,
        Some("moved") => How::Moved,
        Some("clock") => {
            let (off_s, pace) = (t.clock_off_s.unwrap_or(0.0), t.clock_pace.unwrap_or(1.0));
            if !off_s.is_finite() || !(0.5..=2.0).contains(&pace) {
                let found = format!("{off_s} and {pace}");
                return Err(("clock_off_s", found, "seconds, and a clock_pace from 0.5 to 2".into()));
            }
            How::Clock { off_s, pace }
        }
        _ => return Ok(None),
    };
    if matches!(how, How::Twin | How::Moved) && !day.members {
        return Err(("host", t.host.clone().unwrap_or_default(), "members = true in the block day".into()));
    }
    Ok(Some(Action::Hosts { hosts: hosts_of(t, day)?, how }))
}

fn hosts_of(t: &TroubleBlock, day: &DayBlock) -> Result<Vec<u32>, Wrong> {
    let who = whom("who", &t.who)?;
    let mut all: Vec<u32> = who.iter().flat_map(|w| w.hosts(day.hosts, day.sites)).collect();
    all.extend(&t.hosts);
    all.sort_unstable();
    all.dedup();
    match all.is_empty() {
        true => Err(("who", format!("{:?}", t.who), "hosts, by who or by their numbers".into())),
        false => Ok(all),
    }
}

fn action(t: &TroubleBlock, day: &DayBlock) -> Result<Action, Wrong> {
    if let Some(a) = rigged(t, day)? {
        return Ok(a);
    }
    let number = |key, text: &str| {
        let n = text.parse::<f64>().ok().filter(|n| n.is_finite() && *n >= 0.0);
        n.ok_or_else(|| (key, text.to_owned(), "a number of 0 or more".to_owned()))
    };
    if let Some(fault) = &t.fault {
        let words: Vec<&str> = fault.split_whitespace().collect();
        let nodes = t.nodes.clone();
        return Ok(match words.as_slice() {
            ["ageing", times, down] => {
                Action::Ageing { nodes, times: number("fault", times)?, down_s: number("fault", down)? }
            }
            ["pauses", pause, every] => {
                Action::Pauses { nodes, pause_s: number("fault", pause)?, every_s: number("fault", every)? }
            }
            ["deploy"] => Action::Deploy { nodes },
            _ => {
                let fault = fault.parse::<Fault>().map_err(|e| ("fault", String::new(), e.to_string()))?;
                Action::Nodes { nodes, fault }
            }
        });
    }
    if let Some(list) = &t.list {
        let words: Vec<&str> = list.split_whitespace().collect();
        return Ok(Action::List(match words.as_slice() {
            ["late", s] => ListFault::Late(number("list", s)?),
            ["fails"] => ListFault::Fails(true),
            ["silent"] => ListFault::Silent(true),
            ["reset"] => ListFault::Reset,
            ["skip", n] => ListFault::Skip(number("list", n)? as u32),
            _ => return Err(("list", list.clone(), "late S, fails, silent, reset or skip N".into())),
        }));
    }
    if !t.drain.is_empty() {
        return Ok(Action::Drain { nodes: t.drain.clone() });
    }
    if let Some(order) = &t.order {
        let words: Vec<&str> = order.split_whitespace().collect();
        let kind = match words.as_slice() {
            ["out"] => Kind::OutOfService,
            ["pin"] => Kind::Pinned,
            ["weight", w] => Kind::Weight(number("order", w)?),
            _ => return Err(("order", order.clone(), "out, pin or weight X".into())),
        };
        let target = t
            .target
            .as_deref()
            .map(str::parse)
            .transpose()
            .map_err(|e: TargetError| ("target", String::new(), e.to_string()))?;
        let (hosts, nodes) = (t.hosts.clone(), t.nodes.clone());
        return Ok(Action::Order { hosts, kind, target, nodes, refused: t.refused, force: t.force });
    }
    if let Some(name) = t.plan.clone() {
        let times = |key, x: Option<f64>| match x.unwrap_or(1.0) {
            x if x.is_finite() && x > 0.0 => Ok(x),
            x => Err((key, x.to_string(), "a number above 0".to_owned())),
        };
        let (limit_times, burst_times) =
            (times("limit_times", t.limit_times)?, times("burst_times", t.burst_times)?);
        return Ok(Action::Plan { name, limit_times, burst_times, ask: t.ask });
    }
    if let Some(voter) = &t.voter {
        let words: Vec<&str> = voter.split_whitespace().collect();
        let wrong = || ("voter", voter.clone(), "add N or remove N, with the number of a host".to_owned());
        let (votes, number) = match words.as_slice() {
            ["add", n] => (true, n),
            ["remove", n] => (false, n),
            _ => return Err(wrong()),
        };
        return Ok(Action::Voter { host: number.parse().map_err(|_| wrong())?, votes });
    }
    if let Some(client) = &t.client {
        let how = match client.as_str() {
            "garbage" => Misuse::Garbage,
            "over-long" => Misuse::OverLong,
            "past-window" => Misuse::PastWindow,
            "half-frame" => Misuse::HalfFrame,
            "silent" => Misuse::Silent,
            _ => {
                let expected = "garbage, over-long, past-window, half-frame or silent";
                return Err(("client", client.clone(), expected.into()));
            }
        };
        return Ok(Action::Client { hosts: t.hosts.clone(), how });
    }
    match (t.host.as_deref(), t.times) {
        (Some("kill"), _) => Ok(Action::KillHosts(hosts_of(t, day)?)),
        (Some(other), _) => {
            let expected = "kill, term, stop, late, wipe, old-disk, twin, moved or clock";
            Err(("host", other.to_owned(), expected.into()))
        }
        (None, Some(times)) => Ok(Action::Surge { traffic: t.traffic.clone(), times }),
        (None, None) if t.moves => Ok(Action::Move { traffic: t.traffic.clone() }),
        _ => {
            let expected =
                "one of fault, list, drain, host, way, apart, times, moves, plan, voter and client";
            Err(("at_s", "nothing is done".into(), expected.into()))
        }
    }
}
