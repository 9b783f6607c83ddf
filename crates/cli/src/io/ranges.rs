//! Reads and writes of whole ranges of a volume, by several calls that are in flight at the same time.

use super::error::{Call, IoError};
use std::collections::VecDeque;
use std::io::Read;
use tackmast_client::{Client, Op, Pending};

/// Bytes of one call.
const MAX_CALL_BYTES: u32 = 256 << 10;
/// Calls in flight at the same time.
const MAX_CALLS_IN_FLIGHT: usize = 16;

/// Reads a range, and hands on its pieces in order, each with its offset.
pub(super) fn read_all(
    client: &Client,
    offset: u64,
    length: u64,
    mut handle: impl FnMut(u64, bytes::Bytes) -> Result<(), IoError>,
) -> Result<(), IoError> {
    let call_bytes = u64::from(MAX_CALL_BYTES.min(client.volume().max_bytes));
    let mut in_flight = VecDeque::new();
    let (mut next, end) = (offset, offset + length);
    while next < end || !in_flight.is_empty() {
        while next < end && in_flight.len() < MAX_CALLS_IN_FLIGHT {
            let length = call_bytes.min(end - next);
            let read = Op::Read { offset: next, length: length as u32 };
            in_flight.push_back((next, client.submit(read, None)));
            next += length;
        }
        if let Some((offset, pending)) = in_flight.pop_front() {
            handle(offset, Call::Read { offset }.require_done(pending.wait())?)?;
        }
    }
    Ok(())
}

/// Writes all of an input, flushes it and returns its length. A volume has whole blocks only: the last one is filled up with
/// zeroes.
pub(super) fn write_all(client: &Client, offset: u64, mut input: impl Read) -> Result<u64, IoError> {
    let block = client.volume().block_bytes as usize;
    let call_bytes = MAX_CALL_BYTES.min(client.volume().max_bytes) as usize / block * block;
    let mut in_flight: VecDeque<(u64, Pending)> = VecDeque::new();
    let mut next = offset;
    loop {
        let mut data = Vec::with_capacity(call_bytes);
        input.by_ref().take(call_bytes as u64).read_to_end(&mut data).map_err(IoError::Input)?;
        let length = data.len();
        let is_last = length < call_bytes;
        data.resize(length.next_multiple_of(block), 0);
        if length > 0 {
            let write = Op::Write { offset: next, data: data.into() };
            in_flight.push_back((next, client.submit(write, None)));
        }
        next += length as u64;
        let max_in_flight = if is_last { 0 } else { MAX_CALLS_IN_FLIGHT - 1 };
        wait_until_in_flight(&mut in_flight, max_in_flight)?;
        if is_last {
            Call::Flush.require_done(client.flush())?;
            return Ok(next - offset);
        }
    }
}

/// Waits for the oldest writes until so many are in flight at most.
fn wait_until_in_flight(
    in_flight: &mut VecDeque<(u64, Pending)>,
    max_in_flight: usize,
) -> Result<(), IoError> {
    while in_flight.len() > max_in_flight {
        if let Some((offset, pending)) = in_flight.pop_front() {
            Call::Write { offset }.require_done(pending.wait())?;
        }
    }
    Ok(())
}
