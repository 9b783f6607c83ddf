//! What an answer means for the counts and for the reference model.

use super::request::{DueRequest, RequestInFlight};
use super::state::TrafficState;
use super::Traffic;
use crate::lock::lock;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tackmast::interface::Effect;
use tackmast_emulators::initiator::{LabelledReply, Reply};
use tackmast_trace::now_us;

/// How long the thread waits for an answer before it looks whether the traffic has ended.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);
/// How often the reference model forgets versions that no read can return any more, in microseconds.
const PRUNE_INTERVAL_US: u64 = 500_000;

impl Traffic {
    pub(super) fn receive_replies(&self) {
        let mut pruned_us = now_us();
        loop {
            let received = self.replies.receiver.recv_timeout(RECEIVE_TIMEOUT);
            if received.is_err() && self.is_closed.load(Ordering::Acquire) {
                return;
            }
            let now = now_us();
            let mut state = lock(&self.state);
            if now - pruned_us > PRUNE_INTERVAL_US {
                // No read in flight began before the oldest request in flight was sent.
                let oldest_us = state.in_flight.values().map(|in_flight| in_flight.sent_us).min();
                state.registers.prune(oldest_us.unwrap_or(now));
                pruned_us = now;
            }
            let Ok(LabelledReply { label, reply }) = received else { continue };
            if let Some(in_flight) = state.in_flight.remove(&label) {
                self.handle_reply(&mut state, &in_flight, &reply, now);
            }
        }
    }

    fn handle_reply(&self, state: &mut TrafficState, in_flight: &RequestInFlight, reply: &Reply, now: u64) {
        let request = &in_flight.request;
        let tally = &mut state.tallies[request.traffic_class];
        let ran = match reply {
            Reply::Done(data) => {
                let time_us = now.saturating_sub(request.first_due_us);
                tally.record_done(time_us, in_flight.latency_objective_us);
                if !request.is_write {
                    self.check_read(state, in_flight, data, now);
                }
                Some(true)
            }
            Reply::Rejected { retry_after_us } => {
                tally.rejected += 1;
                self.schedule_retry(request, *retry_after_us, now);
                self.ran_despite_rejection(request)
            }
            Reply::Failed => {
                tally.failed += 1;
                None
            }
            Reply::Lost => {
                tally.lost += 1;
                None
            }
            Reply::InvalidRequest(sense) => {
                tally.invalid += 1;
                let (name, blocks) = (&self.name, request.blocks);
                state.errors.push(format!(
                    "traffic {name}: {} blocks at {} rejected with {sense:?}",
                    blocks.count, blocks.first
                ));
                Some(false)
            }
        };
        state.record_outcome(in_flight, now, ran);
    }

    fn check_read(&self, state: &mut TrafficState, in_flight: &RequestInFlight, data: &[u8], now: u64) {
        let blocks = in_flight.request.blocks;
        let expected_bytes = blocks.count as usize * self.volume.block_bytes as usize;
        let error = if data.len() != expected_bytes {
            Some(format!("block {}: {} bytes of {expected_bytes}", blocks.first, data.len()))
        } else {
            let read = state.registers.read(in_flight.sent_us, now, blocks.first, data);
            read.err().map(|error| error.to_string())
        };
        state.errors.extend(error.map(|error| format!("traffic {}: {error}", self.name)));
    }

    fn schedule_retry(&self, request: &DueRequest, retry_after_us: u64, now: u64) {
        if request.retries < self.block.retries {
            let wait_us = if self.block.honors_retry_after { retry_after_us } else { 0 };
            let retry = DueRequest { due_us: now + wait_us, retries: request.retries + 1, ..request.clone() };
            _ = self.retries.sender.send(retry);
        }
    }

    /// Whether a rejected request has run. A rejection of a request that is not idempotent promises that it has not; an idempotent
    /// one may have run in an attempt before.
    fn ran_despite_rejection(&self, request: &DueRequest) -> Option<bool> {
        let effect = self.shared.settings.traffic_classes[request.traffic_class].effect;
        match effect {
            Effect::Idempotent => None,
            _ => Some(false),
        }
    }
}
