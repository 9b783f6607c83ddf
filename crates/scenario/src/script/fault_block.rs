//! The block `trouble`: a fault as a script words it.

use super::action::{Action, Misuse, ProcessFault};
use super::fault_target::FaultTarget;
use super::invalid_value::InvalidValue;
use super::scenario_block::ScenarioBlock;
use serde::Deserialize;
use tackmast_emulators::list::ListFault;
use tackmast_emulators::network_faults::NetworkFault;
use tackmast_emulators::node::Fault;
use tackmast_overrides::{Kind, TargetError};

/// Longest delay that a network fault may add, in seconds.
const MAX_DELAY_S: f64 = 60.0;
/// Rates of a host's clocks, relative to real time.
const CLOCK_RATE_RANGE: std::ops::RangeInclusive<f64> = 0.5..=2.0;

/// `trouble "name" { ... }`
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultBlock {
    pub(super) at_s: f64,
    #[serde(default)]
    pub(super) for_s: f64,
    #[serde(default)]
    pub(super) nodes: Vec<String>,
    fault: Option<String>,
    list: Option<String>,
    #[serde(default)]
    pub(super) drain: Vec<String>,
    #[serde(default)]
    pub(super) hosts: Vec<u32>,
    host: Option<String>,
    #[serde(default)]
    pub(super) traffic: Vec<String>,
    times: Option<f64>,
    #[serde(default, rename = "moves")]
    changes_primary: bool,
    client: Option<String>,
    #[serde(rename = "order")]
    override_kind: Option<String>,
    target: Option<String>,
    #[serde(default)]
    refused: bool,
    #[serde(default)]
    force: bool,
    plan: Option<String>,
    /// The host that gets a change of plans.
    ask: Option<u32>,
    voter: Option<String>,
    limit_times: Option<f64>,
    burst_times: Option<f64>,
    #[serde(default, rename = "who")]
    targets: Vec<String>,
    /// Seconds between the hosts of the fault, which are affected one after the other.
    pub(super) step_s: Option<f64>,
    clock_off_s: Option<f64>,
    #[serde(rename = "clock_pace")]
    clock_rate: Option<f64>,
    #[serde(rename = "way")]
    network: Option<String>,
    #[serde(default)]
    from: Vec<String>,
    #[serde(default)]
    to: Vec<String>,
    #[serde(default)]
    one_way: bool,
    #[serde(default, rename = "apart")]
    partition: Vec<Vec<String>>,
}

fn parse_targets(key: &'static str, texts: &[String]) -> Result<Vec<FaultTarget>, InvalidValue> {
    let parse = |text: &String| {
        text.parse::<FaultTarget>().map_err(|error| InvalidValue::new(key, error.to_string(), "who is meant"))
    };
    texts.iter().map(parse).collect()
}

fn non_negative(key: &'static str, text: &str) -> Result<f64, InvalidValue> {
    let number = text.parse::<f64>().ok().filter(|number| number.is_finite() && *number >= 0.0);
    number.ok_or_else(|| InvalidValue::new(key, text, "a number of 0 or more"))
}

fn parse_network_fault(text: &str) -> Result<NetworkFault, InvalidValue> {
    let invalid = || InvalidValue::new("way", text, "cut, reset, lose PART, late SECONDS or double PART");
    let amount = |digits: &str, max: f64| match digits.parse::<f64>() {
        Ok(number) if (0.0..=max).contains(&number) => Ok(number),
        _ => Err(invalid()),
    };
    let arguments: Vec<&str> = text.split_whitespace().collect();
    Ok(match arguments.as_slice() {
        ["cut"] => NetworkFault::Cut,
        ["reset"] => NetworkFault::Reset,
        ["lose", share] => NetworkFault::Loss(amount(share, 1.0)?),
        ["late", seconds] => NetworkFault::Delay(amount(seconds, MAX_DELAY_S)?),
        ["double", share] => NetworkFault::Duplicate(amount(share, 1.0)?),
        _ => return Err(invalid()),
    })
}

fn parse_node_action(text: &str, nodes: Vec<String>) -> Result<Action, InvalidValue> {
    let arguments: Vec<&str> = text.split_whitespace().collect();
    Ok(match arguments.as_slice() {
        ["ageing", times, down] => {
            let (times, down_s) = (non_negative("fault", times)?, non_negative("fault", down)?);
            Action::Ageing { nodes, times, down_s }
        }
        ["pauses", pause, every] => {
            let (pause_s, every_s) = (non_negative("fault", pause)?, non_negative("fault", every)?);
            Action::Pauses { nodes, pause_s, every_s }
        }
        ["deploy"] => Action::Deploy { nodes },
        _ => {
            let fault = text.parse::<Fault>();
            let fault = fault.map_err(|error| InvalidValue::new("fault", "", error.to_string()))?;
            Action::Nodes { nodes, fault }
        }
    })
}

fn parse_list_fault(text: &str) -> Result<ListFault, InvalidValue> {
    let arguments: Vec<&str> = text.split_whitespace().collect();
    Ok(match arguments.as_slice() {
        ["late", seconds] => ListFault::Late(non_negative("list", seconds)?),
        ["fails"] => ListFault::Fails(true),
        ["silent"] => ListFault::Silent(true),
        ["reset"] => ListFault::Reset,
        ["skip", count] => ListFault::Skip(non_negative("list", count)? as u32),
        _ => return Err(InvalidValue::new("list", text, "late S, fails, silent, reset or skip N")),
    })
}

fn parse_override_kind(text: &str) -> Result<Kind, InvalidValue> {
    let arguments: Vec<&str> = text.split_whitespace().collect();
    match arguments.as_slice() {
        ["out"] => Ok(Kind::OutOfService),
        ["pin"] => Ok(Kind::Pinned),
        ["weight", weight] => Ok(Kind::Weight(non_negative("order", weight)?)),
        _ => Err(InvalidValue::new("order", text, "out, pin or weight X")),
    }
}

fn parse_voter(text: &str) -> Result<Action, InvalidValue> {
    let invalid = || InvalidValue::new("voter", text, "add N or remove N, with the number of a host");
    let arguments: Vec<&str> = text.split_whitespace().collect();
    let (votes, host) = match arguments.as_slice() {
        ["add", host] => (true, host),
        ["remove", host] => (false, host),
        _ => return Err(invalid()),
    };
    Ok(Action::Voter { host: host.parse().map_err(|_| invalid())?, votes })
}

fn parse_misuse(text: &str) -> Result<Misuse, InvalidValue> {
    Ok(match text {
        "garbage" => Misuse::Garbage,
        "over-long" => Misuse::OverLong,
        "past-window" => Misuse::PastWindow,
        "half-frame" => Misuse::HalfFrame,
        "silent" => Misuse::Silent,
        _ => {
            let expected = "garbage, over-long, past-window, half-frame or silent";
            return Err(InvalidValue::new("client", text, expected));
        }
    })
}

/// A multiple of a plan's figure; 1 where the script names none.
fn parse_multiple(key: &'static str, multiple: Option<f64>) -> Result<f64, InvalidValue> {
    match multiple.unwrap_or(1.0) {
        multiple if multiple.is_finite() && multiple > 0.0 => Ok(multiple),
        multiple => Err(InvalidValue::new(key, multiple.to_string(), "a number above 0")),
    }
}

impl FaultBlock {
    /// What the block asks for. Of several actions in one block the first in this order counts.
    pub(super) fn action(&self, scenario: &ScenarioBlock) -> Result<Action, InvalidValue> {
        if !self.partition.is_empty() {
            return self.partition_action();
        }
        if let Some(network) = &self.network {
            return self.network_action(network);
        }
        if let Some(fault) = self.process_fault(scenario)? {
            return Ok(Action::Hosts { hosts: self.affected_hosts(scenario)?, fault });
        }
        if let Some(fault) = &self.fault {
            return parse_node_action(fault, self.nodes.clone());
        }
        if let Some(list) = &self.list {
            return Ok(Action::List(parse_list_fault(list)?));
        }
        if !self.drain.is_empty() {
            return Ok(Action::Drain { nodes: self.drain.clone() });
        }
        if let Some(kind) = &self.override_kind {
            return self.override_action(kind);
        }
        if let Some(name) = &self.plan {
            let limit_times = parse_multiple("limit_times", self.limit_times)?;
            let burst_times = parse_multiple("burst_times", self.burst_times)?;
            return Ok(Action::Plan { name: name.clone(), limit_times, burst_times, ask: self.ask });
        }
        if let Some(voter) = &self.voter {
            return parse_voter(voter);
        }
        if let Some(client) = &self.client {
            return Ok(Action::Client { hosts: self.hosts.clone(), misuse: parse_misuse(client)? });
        }
        self.remaining_action(scenario)
    }

    fn partition_action(&self) -> Result<Action, InvalidValue> {
        let groups = self.partition.iter().map(|group| parse_targets("apart", group));
        let groups: Vec<Vec<FaultTarget>> = groups.collect::<Result<_, _>>()?;
        match groups.len() {
            1 => Err(InvalidValue::new("apart", "one group", "two groups or more")),
            _ => Ok(Action::Partition(groups)),
        }
    }

    fn network_action(&self, network: &str) -> Result<Action, InvalidValue> {
        let fault = parse_network_fault(network)?;
        let (from, to) = (parse_targets("from", &self.from)?, parse_targets("to", &self.to)?);
        if from.is_empty() || to.is_empty() {
            return Err(InvalidValue::new("from", "nobody", "who is at each end, by from and to"));
        }
        Ok(Action::Network { from, to, fault, one_way: self.one_way })
    }

    /// A fault of a host's process. `None`: the block asks for something else.
    fn process_fault(&self, scenario: &ScenarioBlock) -> Result<Option<ProcessFault>, InvalidValue> {
        let fault = match self.host.as_deref() {
            Some("term") => ProcessFault::Term,
            Some("stop") => ProcessFault::Stop,
            Some("late") => ProcessFault::Late,
            Some("wipe") => ProcessFault::Wipe,
            Some("old-disk") => ProcessFault::OldDisk,
            Some("twin") => ProcessFault::DuplicateId,
            Some("moved") => ProcessFault::Moved,
            Some("clock") => self.clock_fault()?,
            _ => return Ok(None),
        };
        if matches!(fault, ProcessFault::DuplicateId | ProcessFault::Moved) && !scenario.members {
            let found = self.host.clone().unwrap_or_default();
            return Err(InvalidValue::new("host", found, "members = true in the block day"));
        }
        Ok(Some(fault))
    }

    fn clock_fault(&self) -> Result<ProcessFault, InvalidValue> {
        let (off_s, rate) = (self.clock_off_s.unwrap_or(0.0), self.clock_rate.unwrap_or(1.0));
        if !off_s.is_finite() || !CLOCK_RATE_RANGE.contains(&rate) {
            let found = format!("{off_s} and {rate}");
            let expected = "seconds, and a clock_pace from 0.5 to 2";
            return Err(InvalidValue::new("clock_off_s", found, expected));
        }
        Ok(ProcessFault::Clock { off_s, rate })
    }

    fn affected_hosts(&self, scenario: &ScenarioBlock) -> Result<Vec<u32>, InvalidValue> {
        let targets = parse_targets("who", &self.targets)?;
        let mut hosts: Vec<u32> = targets.iter().flat_map(|target| target.hosts(scenario)).collect();
        hosts.extend(&self.hosts);
        hosts.sort_unstable();
        hosts.dedup();
        if hosts.is_empty() {
            let found = format!("{:?}", self.targets);
            return Err(InvalidValue::new("who", found, "hosts, by who or by their numbers"));
        }
        Ok(hosts)
    }

    fn override_action(&self, kind: &str) -> Result<Action, InvalidValue> {
        let kind = parse_override_kind(kind)?;
        let target = self.target.as_deref().map(str::parse).transpose();
        let target =
            target.map_err(|error: TargetError| InvalidValue::new("target", "", error.to_string()))?;
        let (hosts, nodes) = (self.hosts.clone(), self.nodes.clone());
        Ok(Action::Override { hosts, kind, target, nodes, refused: self.refused, force: self.force })
    }

    fn remaining_action(&self, scenario: &ScenarioBlock) -> Result<Action, InvalidValue> {
        let traffic = self.traffic.clone();
        match (self.host.as_deref(), self.times) {
            (Some("kill"), _) => Ok(Action::KillHosts(self.affected_hosts(scenario)?)),
            (Some(other), _) => {
                let expected = "kill, term, stop, late, wipe, old-disk, twin, moved or clock";
                Err(InvalidValue::new("host", other, expected))
            }
            (None, Some(times)) => Ok(Action::Surge { traffic, times }),
            (None, None) if self.changes_primary => Ok(Action::ChangePrimary { traffic }),
            _ => {
                let expected =
                    "one of fault, list, drain, host, way, apart, times, moves, plan, voter and client";
                Err(InvalidValue::new("at_s", "nothing is done", expected))
            }
        }
    }
}
