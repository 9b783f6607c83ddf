//! What the threads of one traffic block share: requests in flight, their counts, and the reference model.

#[cfg(test)]
mod tests;

use super::request::RequestInFlight;
use super::Tally;
use crate::registers::Registers;
use std::collections::HashMap;

/// The state of one traffic block.
pub(super) struct TrafficState {
    pub(super) registers: Registers,
    /// Requests in flight by their label.
    pub(super) in_flight: HashMap<u64, RequestInFlight>,
    pub(super) last_label: u64,
    pub(super) random: oorandom::Rand64,
    /// By traffic class.
    pub(super) tallies: Vec<Tally>,
    /// Descriptions of wrong answers.
    pub(super) errors: Vec<String>,
}

impl TrafficState {
    /// Nothing is sent yet. The seed is that of the random numbers, and marks the bytes that this traffic writes.
    pub(super) fn new(traffic_class_count: usize, block_bytes: usize, seed: u64) -> TrafficState {
        TrafficState {
            registers: Registers::new(seed, block_bytes),
            in_flight: HashMap::new(),
            last_label: 0,
            random: oorandom::Rand64::new(u128::from(seed)),
            tallies: vec![Tally::new(); traffic_class_count],
            errors: Vec::new(),
        }
    }

    /// The session's command window was full, so the request was not sent and a write has not run.
    pub(super) fn on_full_window(&mut self, label: u64, now: u64) {
        let Some(in_flight) = self.in_flight.remove(&label) else { return };
        self.tallies[in_flight.request.traffic_class].shut += 1;
        self.record_outcome(&in_flight, now, Some(false));
    }

    /// The client has aborted the request and gets no answer, so it does not know whether a write has run.
    pub(super) fn on_abort(&mut self, label: u64, now: u64) {
        let Some(in_flight) = self.in_flight.remove(&label) else { return };
        self.tallies[in_flight.request.traffic_class].lost += 1;
        self.record_outcome(&in_flight, now, None);
    }

    /// Notes in the reference model how a request ended. `ran` is whether it has run; `None`: unknown. A read changes no block,
    /// so the model must not hold anything for possible on its account.
    pub(super) fn record_outcome(&mut self, in_flight: &RequestInFlight, now: u64, ran: Option<bool>) {
        let Some(version) = in_flight.written_version else { return };
        let blocks = in_flight.request.blocks;
        self.registers.wrote(now, blocks.first, blocks.count, version, ran);
    }
}
