//! Sends one request over one of the sessions.

#[cfg(test)]
mod tests;

use super::request::{DueRequest, RequestInFlight};
use super::state::TrafficState;
use super::Traffic;
use crate::lock::lock;
use bytes::Bytes;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tackmast_emulators::initiator::{Initiator, IoOperation, IoRequest};
use tackmast_trace::now_us;

/// One random number selects the host, by its remainder, and the session, by what remains after this divisor.
const SESSION_DIVISOR: usize = 7;
/// Microseconds per second.
const US_PER_S: f64 = 1e6;

/// What the client does after it has sent a request.
struct ClientBehavior {
    aborts: bool,
    disconnects: bool,
}

/// A host that is not the primary, if there is any other.
fn other_host(primary: usize, selector: usize, host_count: usize) -> usize {
    let other_count = (host_count - 1).max(1);
    (primary + 1 + selector % other_count) % host_count
}

impl Traffic {
    pub(super) fn send(&self, request: DueRequest) {
        let mut state = lock(&self.state);
        let now = now_us();
        if request.retries == 0 {
            state.tallies[request.traffic_class].requests += 1;
        }
        let Some(session) = self.select_session(&mut state) else {
            state.tallies[request.traffic_class].unreached += 1;
            return;
        };
        state.last_label += 1;
        let label = state.last_label;
        let written_version = request.is_write.then_some(label);
        let io_request = self.io_request(&mut state, &request, now, written_version);
        let class = &self.shared.settings.traffic_classes[request.traffic_class];
        let latency_objective_us = (class.latency_objective.secs() * US_PER_S) as u64;
        let in_flight = RequestInFlight { request, sent_us: now, latency_objective_us, written_version };
        state.in_flight.insert(label, in_flight);
        let behavior = ClientBehavior {
            aborts: state.random.rand_float() < self.block.abort_share,
            disconnects: state.random.rand_float() < self.block.disconnect_share,
        };
        drop(state);
        match session.submit(label, &io_request, Duration::ZERO) {
            None => lock(&self.state).on_full_window(label, now),
            Some(command) if behavior.aborts => {
                session.abort(command);
                lock(&self.state).on_abort(label, now);
            }
            Some(_) if behavior.disconnects => session.close(),
            Some(_) => {}
        }
    }

    /// A session with the primary host or, by its share of the requests, with another one; `None` if it is not open.
    fn select_session(&self, state: &mut TrafficState) -> Option<Initiator> {
        let host_count = self.sessions.len();
        let primary = self.primary.load(Ordering::Relaxed) % host_count;
        let (share, selector) = (state.random.rand_float(), state.random.rand_u64() as usize);
        let host = match share < self.block.primary_share {
            true => primary,
            false => other_host(primary, selector, host_count),
        };
        self.sessions[host].open_session(selector / SESSION_DIVISOR)
    }

    fn io_request(
        &self,
        state: &mut TrafficState,
        request: &DueRequest,
        now: u64,
        written_version: Option<u64>,
    ) -> IoRequest {
        let (first, count) = (request.blocks.first, request.blocks.count);
        let operation = match written_version {
            Some(version) => {
                IoOperation::Write { data: Bytes::from(state.registers.write(now, first, count, version)) }
            }
            None => IoOperation::Read { blocks: count },
        };
        let class = &self.shared.settings.traffic_classes[request.traffic_class];
        let deadline_s = self.block.deadline_ms.map_or(class.deadline.secs(), |ms| f64::from(ms) / 1e3);
        IoRequest {
            lun: self.volume.lun,
            traffic_class: request.traffic_class as u32,
            block: first,
            block_bytes: self.volume.block_bytes,
            operation,
            deadline_us: (deadline_s * US_PER_S) as u64,
        }
    }
}
