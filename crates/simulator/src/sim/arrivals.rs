//! Arrivals of commands: generated ones, those of a workload file and those of a script's traffic.

use super::commands::BlockAccess;
use super::event::Event;
use super::{Sim, Us, DIRECT_SESSION, LIMITED_LUN};
use tackmast_trace::AnswerKind;

/// Fraction of the commands of a host with the limited volume that are for it.
pub(crate) const LIMITED_FRACTION: f64 = 0.4;
/// Fraction of generated commands that write.
pub(crate) const WRITE_FRACTION: f64 = 0.4;
/// Generated commands have up to this number of blocks.
pub(crate) const MAX_COMMAND_BLOCKS: u32 = 24;
/// Blocks that ordered writes address: few, so that many writes have the same order key.
pub(crate) const ORDERED_BLOCK_SPAN: u64 = 640;
/// Blocks that all other generated commands address.
const BLOCK_SPAN: u64 = 50_000;
/// The smallest rate of generated commands at a host, in commands a second.
const MIN_RATE: f64 = 0.01;

impl Sim<'_> {
    /// The next arrival of the workload file is due.
    pub(super) fn on_workload_arrival(&mut self) {
        let Some(arrival) = self.arrivals.pop_front() else { return };
        if let Some(next) = self.arrivals.front() {
            self.schedule(self.now + (next.at_us - arrival.at_us), Event::WorkloadArrival);
        }
        let workload = self.world.load.as_ref();
        let volume_name = workload.map_or("", |workload| workload.flows[arrival.flow].volume.as_str());
        let Some(volume) = self.settings[0].volumes.iter().find(|volume| volume.name == volume_name) else {
            return;
        };
        // A volume comes through its first hosts only.
        let (lun, host_index) = (volume.lun, arrival.host % volume.hosts.clamp(1, self.world.hosts));
        if !self.is_running(host_index) {
            return;
        }
        let access = BlockAccess { write: arrival.write, block: arrival.block, blocks: arrival.blocks };
        let clients = &self.clients_by_host[host_index as usize];
        match clients.iter().find(|client| self.clients[**client as usize].lun == lun).copied() {
            Some(client_index) => self.start_call(client_index, access),
            None => self.submit_directly(host_index, lun, access),
        }
    }

    /// Tries a request of a script's traffic. As on loopback, it is dropped if its host is down.
    pub(super) fn send_script_request(&mut self, number: u64) {
        let Some(attempt) = self.script_attempts.get(&number) else { return };
        let (is_first, host_index, lun) = (attempt.retries == 0, attempt.request.host, attempt.request.lun);
        let access = BlockAccess::of(&attempt.request);
        if is_first {
            let class = self.class_of(lun, access);
            self.run.firsts.entry(class).or_default().asked += 1;
        }
        let host = &mut self.hosts[host_index as usize];
        if !host.up {
            _ = self.script_attempts.remove(&number);
            return;
        }
        let command = host.command_count + 1;
        host.script_numbers.insert((DIRECT_SESSION, command), number);
        self.submit_directly(host_index, lun, access);
    }

    /// A try of a script's request is answered: it is tried again if it was rejected, or counted.
    pub(super) fn on_script_answer(&mut self, number: u64, kind: AnswerKind, retry_after_us: Us) {
        let Some(attempt) = self.script_attempts.get_mut(&number) else { return };
        if kind == AnswerKind::Rejected && attempt.retries < attempt.request.retries {
            attempt.retries += 1;
            let wait = if attempt.request.honors_retry_after { retry_after_us } else { 0 };
            return self.schedule(self.now + wait, Event::ScriptRetry { number });
        }
        let Some(attempt) = self.script_attempts.remove(&number) else { return };
        let (lun, access) = (attempt.request.lun, BlockAccess::of(&attempt.request));
        let (traffic_class, _) = self.traffic_class_of(lun, access);
        let class = self.class_of(lun, access);
        let objective = self.settings[0].traffic_classes[traffic_class].latency_objective;
        let latency_us = self.now - attempt.first;
        let figures = self.run.firsts.entry(class).or_default();
        figures.add_answer(kind, latency_us, (objective.secs() * 1e6) as Us);
    }

    /// The next generated command of a host is due. Commands are generated until `last`.
    pub(super) fn on_generated_arrival(&mut self, host_index: u32, last: Us) {
        let rate = (self.world.rate * self.surge_factor).max(MIN_RATE);
        let gap_s = -(1.0 - self.generator.rand_float()).ln() / rate;
        let next = self.now + (gap_s * 1e6) as Us + 1;
        if next < last {
            self.schedule(next, Event::GeneratedArrival { host: host_index });
        }
        if !self.is_running(host_index) {
            return;
        }
        let lun = self.draw_lun(host_index);
        let access = self.draw_access(lun);
        match self.draw_client(host_index) {
            Some(client_index) => self.start_call(client_index, access),
            None => self.submit_directly(host_index, lun, access),
        }
    }

    /// The limited volume comes through the first hosts only.
    fn draw_lun(&mut self, host_index: u32) -> u32 {
        let has_limited = host_index < self.limited_host_count();
        let lun = u32::from(has_limited && self.generator.rand_float() < LIMITED_FRACTION);
        let Some(busiest) = self.busiest.filter(|_| lun == LIMITED_LUN) else { return lun };
        // Of the commands at other hosts, that fraction is for the other volume.
        u32::from(host_index == busiest.host || self.generator.rand_float() >= busiest.fraction)
    }

    fn draw_access(&mut self, lun: u32) -> BlockAccess {
        let write = self.generator.rand_float() < WRITE_FRACTION;
        let blocks = self.generator.rand_range(1..u64::from(MAX_COMMAND_BLOCKS) + 1) as u32;
        let span = if write && lun != LIMITED_LUN { ORDERED_BLOCK_SPAN } else { BLOCK_SPAN };
        let block = self.generator.rand_range(0..span);
        let is_hot = self.hot_fraction > 0.0 && self.generator.rand_float() < self.hot_fraction;
        BlockAccess { write, block: if is_hot { 0 } else { block }, blocks }
    }

    /// Draws one of a host's clients, or none: then the command comes without a protocol.
    fn draw_client(&mut self, host_index: u32) -> Option<u32> {
        let clients = &self.clients_by_host[host_index as usize];
        if clients.is_empty() {
            return None;
        }
        let drawn = self.generator.rand_range(0..clients.len() as u64 + 1) as usize;
        clients.get(drawn).copied()
    }
}
