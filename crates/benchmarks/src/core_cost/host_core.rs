//! Requests through the host core.

use super::{node_address, time_of, NODE_COUNT, OPEN_REQUESTS};
use bytes::Bytes;
use std::time::Instant as WallInstant;
use tackmast::interface::{Instant, ListKind, NodeState, Outcome, ShardId, ZoneId};
use tackmast_config::HostSettings;
use tackmast_host_core::{
    AttemptId, AttemptResult, ClientCommand, CommandId, Core, ListEntry, Output, PersistBatch, Work,
};
use tackmast_overrides::Overrides;

/// Bytes of each answer.
const ANSWER: [u8; 4096] = [0; 4096];
/// Blocks of each read.
const READ_BLOCKS: u32 = 8;
/// Reads are spread over so many blocks.
const BLOCK_COUNT: u64 = 1_000_000;

/// Requests that are sent and answered at once.
struct Run {
    core: Core,
    request_count: u64,
    sent: u64,
    done: u64,
    /// Attempts that are not answered yet.
    attempts: Vec<AttemptId>,
}

/// Microseconds of a request, over so many.
pub(super) fn microseconds_each(
    settings: &HostSettings,
    request_count: u64,
    overrides: Option<Overrides>,
) -> f64 {
    let mut core = Core::new(time_of(0), settings, 1, 1);
    if let Some(overrides) = overrides {
        core.enable_overrides(time_of(0), overrides, PersistBatch::default());
    }
    let list: Vec<ListEntry> = (0..NODE_COUNT).map(list_entry).collect();
    core.handle_endpoint_list(time_of(0), ListKind::Complete, 0, 1, &list);
    let mut run = Run { core, request_count, sent: 0, done: 0, attempts: Vec::new() };
    let started = WallInstant::now();
    while run.done < request_count {
        run.step();
    }
    started.elapsed().as_secs_f64() * 1e6 / request_count as f64
}

fn list_entry(node: u32) -> ListEntry {
    ListEntry {
        id: node.to_string(),
        address: node_address(node).to_string(),
        state: NodeState::Ready,
        zone: ZoneId(0),
        shard: ShardId(node),
        start: None,
    }
}

impl Run {
    /// Submits requests until enough are open, sends their attempts, and answers them.
    fn step(&mut self) {
        let now = time_of(self.done);
        while self.sent - self.done < OPEN_REQUESTS && self.sent < self.request_count {
            self.core.handle_command(now, read_command(self.sent, now));
            self.sent += 1;
        }
        self.core.handle_timeout(now);
        let done_before = self.done;
        while let Some(output) = self.core.poll_output(now) {
            self.on_output(output);
        }
        let later = time_of(self.done + 1);
        for attempt in self.attempts.drain(..) {
            self.core.handle_attempt_result(later, result_of(attempt));
        }
        // A request that is neither sent nor answered now needs time to pass.
        if self.done == done_before && self.sent - self.done == OPEN_REQUESTS {
            self.core.handle_timeout(later);
        }
    }

    fn on_output(&mut self, output: Output) {
        match output {
            Output::Send(attempt) => {
                attempt.ticket.claim();
                attempt.ticket.mark_written();
                self.attempts.push(attempt.attempt);
            }
            Output::Answer { .. } => self.done += 1,
            _ => {}
        }
    }
}

fn read_command(number: u64, now: Instant) -> ClientCommand {
    ClientCommand {
        from: CommandId { session: 1, command: number as u32 },
        lun: 0,
        block: number * u64::from(READ_BLOCKS) % BLOCK_COUNT,
        work: Work::Read { blocks: READ_BLOCKS },
        received_at: now,
        timeout: None,
        idempotency_key: None,
    }
}

fn result_of(attempt: AttemptId) -> AttemptResult {
    AttemptResult {
        attempt,
        outcome: Outcome::Done,
        waiting: Some(0),
        peer_units: Some(0.0),
        data: Bytes::from_static(&ANSWER),
    }
}
