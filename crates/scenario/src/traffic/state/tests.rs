//! Tests of how a request that ends without an answer shows in the reference model.

use super::super::request::{BlockRange, DueRequest};
use super::*;

const BLOCK: u64 = 5;
const BLOCK_BYTES: usize = 512;
const WRITE: u64 = 1;
const ABORTED: u64 = 2;

/// A read or write of the block, sent at this time under this label, which a write has as its version, too.
fn send(state: &mut TrafficState, label: u64, sent_us: u64, is_write: bool) -> Vec<u8> {
    let request = DueRequest {
        due_us: sent_us,
        first_due_us: sent_us,
        traffic_class: 0,
        blocks: BlockRange { first: BLOCK, count: 1 },
        is_write,
        retries: 0,
    };
    let written_version = is_write.then_some(label);
    let in_flight = RequestInFlight { request, sent_us, latency_objective_us: 1_000, written_version };
    state.in_flight.insert(label, in_flight);
    written_version.map_or(Vec::new(), |version| state.registers.write(sent_us, BLOCK, 1, version))
}

/// Traffic that has written the block once. Returns the bytes of that write, too.
fn state_after_one_write() -> (TrafficState, Vec<u8>) {
    let mut state = TrafficState::new(1, BLOCK_BYTES, 7);
    let written = send(&mut state, WRITE, 10, true);
    let write = state.in_flight.remove(&WRITE).expect("the write is in flight");
    state.record_outcome(&write, 20, Some(true));
    (state, written)
}

fn may_read(state: &mut TrafficState, data: &[u8]) -> bool {
    state.registers.read(100, 200, BLOCK, data).is_ok()
}

/// A client writes a block, aborts a read of it, and reads it again. The aborted read changes nothing, so a later read that returns
/// the zeros from before the write has lost the write.
#[test]
fn lost_write_is_found_after_a_read_was_aborted() {
    let (mut state, written) = state_after_one_write();
    send(&mut state, ABORTED, 30, false);
    state.on_abort(ABORTED, 40);
    assert_eq!(state.tallies[0].lost, 1);
    assert!(may_read(&mut state, &written), "what was written");
    assert!(!may_read(&mut state, &[0; BLOCK_BYTES]), "the block's first content, after a write was done");
}

/// The same with a read that found a full command window: it was never sent.
#[test]
fn lost_write_is_found_after_a_read_found_a_full_window() {
    let (mut state, written) = state_after_one_write();
    send(&mut state, ABORTED, 30, false);
    state.on_full_window(ABORTED, 40);
    assert_eq!(state.tallies[0].shut, 1);
    assert!(may_read(&mut state, &written), "what was written");
    assert!(!may_read(&mut state, &[0; BLOCK_BYTES]), "the block's first content, after a write was done");
}

/// A client aborts a write and so never learns whether it ran: a later read may return it or what was there before, but nothing older.
#[test]
fn aborted_write_may_have_run_or_not() {
    let (mut state, written) = state_after_one_write();
    let aborted = send(&mut state, ABORTED, 30, true);
    state.on_abort(ABORTED, 40);
    assert!(may_read(&mut state, &written), "the write before");
    assert!(may_read(&mut state, &aborted), "the aborted write");
    assert!(!may_read(&mut state, &[0; BLOCK_BYTES]), "the block's first content, after a write was done");
}
