//! The traffic of a script as requests at their times.

use super::{to_us, ScenarioScript};
use std::collections::BTreeMap;
use tackmast_scenario::{Action, TrafficBlock};

/// The smallest rate of a flow, in requests a second.
const MIN_RATE: f64 = 0.001;

/// One request of a script's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptRequest {
    /// Microseconds from when the traffic begins.
    pub at_us: u64,
    /// The host that it is sent to.
    pub host: u32,
    /// The volume's number.
    pub lun: u32,
    /// Whether it writes; else it reads.
    pub write: bool,
    /// The first block.
    pub block: u64,
    /// The number of blocks.
    pub blocks: u32,
    /// How often it is retried after rejections.
    pub retries: u32,
    /// A retry waits for as long as the rejection says; else it is sent at once.
    pub honors_retry_after: bool,
}

/// The gap to the next event of a Poisson process, in seconds.
fn exponential_gap(generator: &mut oorandom::Rand64, mean_s: f64) -> f64 {
    -(1.0 - generator.rand_float()).ln() * mean_s
}

/// The times of a Poisson process between `from` and `until`, in seconds.
fn event_times(generator: &mut oorandom::Rand64, from: f64, until: f64, mean_s: f64) -> Vec<f64> {
    let mut times = Vec::new();
    let mut at = from + exponential_gap(generator, mean_s);
    while at < until {
        times.push(at);
        at += exponential_gap(generator, mean_s);
    }
    times
}

/// Whether a list of flows names one; an empty list names all.
fn names_flow(names: &[String], flow: &str) -> bool {
    names.is_empty() || names.iter().any(|name| name == flow)
}

impl ScenarioScript {
    /// The requests of the script's traffic, in the order of time. The clients on loopback draw theirs from the same
    /// figures, but from other random numbers.
    pub fn requests(&self, seed: u64) -> Vec<ScriptRequest> {
        let mut requests = Vec::new();
        // Each flow of a volume has its own span of the volume's blocks.
        let mut flows_by_volume: BTreeMap<&String, u64> = BTreeMap::new();
        for (flow_index, (name, traffic)) in self.traffic.iter().enumerate() {
            let volume = self.settings.volumes.iter().find(|volume| volume.name == traffic.volume);
            let Some(volume) = volume else { continue };
            let earlier_flows = flows_by_volume.entry(&traffic.volume).or_default();
            let first_block = *earlier_flows * traffic.span_blocks;
            *earlier_flows += 1;
            let seed = u128::from(seed) * 1000 + flow_index as u128 + 1;
            let mut flow = Flow {
                script: self,
                name,
                traffic,
                lun: volume.lun,
                first_block,
                generator: oorandom::Rand64::new(seed),
            };
            requests.extend(flow.requests());
        }
        requests.sort_by_key(|request| request.at_us);
        requests
    }
}

/// One flow of a script's traffic. Times are in seconds from when the traffic begins.
struct Flow<'a> {
    script: &'a ScenarioScript,
    name: &'a str,
    traffic: &'a TrafficBlock,
    lun: u32,
    first_block: u64,
    generator: oorandom::Rand64,
}

impl Flow<'_> {
    fn requests(&mut self) -> Vec<ScriptRequest> {
        let until = self.end();
        let surges = self.draw_surges(until);
        let primary_changes = self.draw_primary_changes(until);
        let mut requests = Vec::new();
        let mut at = self.traffic.from_s;
        while at < until {
            let change_count = primary_changes.iter().filter(|changed_at| **changed_at <= at).count();
            requests.push(self.draw_request(at, change_count));
            let rate = self.traffic.rate * self.surge_factor(&surges, at);
            at += exponential_gap(&mut self.generator, 1.0 / rate.max(MIN_RATE));
        }
        requests
    }

    fn end(&self) -> f64 {
        let script_end = self.script.scenario.seconds;
        self.traffic.for_s.map_or(script_end, |length_s| self.traffic.from_s + length_s).min(script_end)
    }

    /// Begin and end of each of the flow's own surges.
    fn draw_surges(&mut self, until: f64) -> Vec<(f64, f64)> {
        let Some((_, length_s, interval_s)) = self.traffic.surges else { return Vec::new() };
        let starts = event_times(&mut self.generator, self.traffic.from_s, until, interval_s);
        starts.into_iter().map(|start| (start, start + length_s)).collect()
    }

    /// When the primary host changes, which gets most of the flow.
    fn draw_primary_changes(&mut self, until: f64) -> Vec<f64> {
        let mut changes = match self.traffic.primary_change_interval_s {
            Some(interval_s) => event_times(&mut self.generator, self.traffic.from_s, until, interval_s),
            None => Vec::new(),
        };
        for fault in &self.script.faults {
            if let Action::ChangePrimary { traffic } = &fault.action {
                changes.extend(names_flow(traffic, self.name).then_some(fault.at_s));
            }
        }
        changes
    }

    /// By how much the rate is multiplied at a time: by the flow's own surges and by those of the script.
    fn surge_factor(&self, surges: &[(f64, f64)], at: f64) -> f64 {
        let is_surging = surges.iter().any(|(from, to)| at >= *from && at < *to);
        let own = self.traffic.surges.filter(|_| is_surging).map_or(1.0, |(factor, _, _)| factor);
        let mut scripted = self.script.faults.iter().filter_map(|fault| match &fault.action {
            Action::Surge { traffic, times } if names_flow(traffic, self.name) => {
                (at >= fault.at_s && at < fault.at_s + fault.for_s).then_some(*times)
            }
            _ => None,
        });
        own * scripted.next_back().unwrap_or(1.0)
    }

    /// Draws the request at a time, after so many changes of the primary host.
    fn draw_request(&mut self, at: f64, primary_changes: usize) -> ScriptRequest {
        let (traffic, generator) = (self.traffic, &mut self.generator);
        let (min_blocks, max_blocks) = traffic.blocks;
        let blocks = generator.rand_range(u64::from(min_blocks)..u64::from(max_blocks) + 1) as u32;
        let block = self.first_block + generator.rand_range(0..traffic.span_blocks - u64::from(blocks) + 1);
        let write = generator.rand_float() >= traffic.read_share;
        let host_count = traffic.hosts.len();
        let primary = primary_changes % host_count;
        let is_for_primary = generator.rand_float() < traffic.primary_share;
        let host_index = match is_for_primary {
            true => primary,
            false => (primary + 1 + generator.rand_range(0..host_count as u64) as usize) % host_count,
        };
        ScriptRequest {
            at_us: to_us(at),
            host: traffic.hosts[host_index],
            lun: self.lun,
            write,
            block,
            blocks,
            retries: traffic.retries,
            honors_retry_after: traffic.honors_retry_after,
        }
    }
}
