//! Whether all connected hosts follow what one host was notified of by the endpoint list: some time after a host was notified that
//! a node drains or is gone, and until a host is notified that the node is ready again, no host sends the node an attempt. This
//! applies to runs whose hosts are connected to each other; the check knows nothing of how they gossip.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use tackmast_trace::{Event, Line, ListedState, Side};

/// What was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DisseminationReport {
    /// How often a node was taken away while some host was cut off from its list.
    pub stop_count: usize,
    /// Attempts at nodes that were taken away.
    pub attempt_count: usize,
    /// The attempts that were sent too late, in words.
    pub violations: Vec<String>,
}

/// Checks a trace. `within_us` is the time from a host's notification until all hosts follow it, the grace of what was on its way
/// included.
pub fn check(trace: &[Line], within_us: u64) -> DisseminationReport {
    let mut checker = Checker { within_us, ..Checker::default() };
    trace.iter().for_each(|line| checker.on_line(line));
    checker.report
}

#[derive(Default)]
struct Checker<'a> {
    within_us: u64,
    /// Number of faults that cut a host off from the list now.
    list_cuts: BTreeMap<u32, u32>,
    /// Nodes that are taken away, and since when.
    stopped_nodes: BTreeMap<&'a str, u64>,
    report: DisseminationReport,
}

impl<'a> Checker<'a> {
    fn on_line(&mut self, line: &'a Line) {
        match &line.event {
            Event::Cut { host, side: Side::List, on } => {
                let cut_count = self.list_cuts.entry(*host).or_default();
                *cut_count = if *on { *cut_count + 1 } else { cut_count.saturating_sub(1) };
            }
            Event::Notified { host, node, state, .. } if !self.is_cut_off(*host) => {
                self.on_notified(node, *state, line.t);
            }
            Event::Attempt { node, name, left_us, .. } => {
                // The time at which the attempt left its host counts, where it is known.
                let sent_us = if *left_us > 0 { line.t.min(*left_us) } else { line.t };
                self.on_attempt(name.host, node, sent_us);
            }
            _ => {}
        }
    }

    fn is_cut_off(&self, host: u32) -> bool {
        self.list_cuts.get(&host).is_some_and(|cut_count| *cut_count > 0)
    }

    fn on_notified(&mut self, node: &'a str, state: ListedState, time_us: u64) {
        if state == ListedState::Ready {
            self.stopped_nodes.remove(node);
        } else if !self.stopped_nodes.contains_key(node) {
            let is_any_cut_off = self.list_cuts.values().any(|cut_count| *cut_count > 0);
            self.report.stop_count += usize::from(is_any_cut_off);
            self.stopped_nodes.insert(node, time_us);
        }
    }

    fn on_attempt(&mut self, host: u32, node: &str, sent_us: u64) {
        let Some(since_us) = self.stopped_nodes.get(node) else { return };
        self.report.attempt_count += 1;
        if sent_us > since_us + self.within_us {
            let elapsed_ms = (sent_us - since_us) / 1000;
            self.report.violations.push(format!(
                "host {host} sends to {node} {elapsed_ms} ms after some host was told that it is not to be chosen"
            ));
        }
    }
}
