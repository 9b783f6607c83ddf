//! A session straight to a node, over the node protocol.

use super::{draw_extent, ClosedLoop, ANSWER_TIMEOUT, BLOCK_BYTES, EXTENT_BLOCKS};
use crate::measurement::LoadRecorder;
use crate::xorshift::Xorshift;
use crate::BenchmarkError;
use bytes::BytesMut;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;
use tackmast_trace::now_us;
use tackmast_wire::node::{self, Answer, Frame, NodeOutcome, Origin, SendAttempt, Work};

/// Bytes of an answer at most.
const MAX_DATA_BYTES: usize = 1 << 20;
/// Bytes that are read at once.
const READ_BYTES: usize = 64 << 10;
/// Time that each attempt has.
const DEADLINE_US: u32 = 5_000_000;
/// The first host number of sessions, above those of hosts.
const FIRST_HOST: u32 = 1000;

/// A connection to a node.
struct Session<'a> {
    load: &'a ClosedLoop,
    stream: TcpStream,
    frames: tackmast_wire::reader::Frames,
    random: Xorshift,
    /// Number of nodes that extents are spread over.
    node_count: u64,
    last_attempt: u64,
    /// When each open attempt was sent.
    sent_us: HashMap<u64, u64>,
    recorder: LoadRecorder,
}

pub(super) fn run(
    load: &ClosedLoop,
    node: SocketAddr,
    seed: u64,
    node_count: u64,
) -> Result<LoadRecorder, BenchmarkError> {
    let mut session = Session {
        load,
        stream: connect(node, seed).map_err(BenchmarkError::Node)?,
        frames: node::frames(MAX_DATA_BYTES),
        random: Xorshift::from_seed(seed),
        node_count,
        last_attempt: 0,
        sent_us: HashMap::new(),
        recorder: LoadRecorder::new(),
    };
    let end = Instant::now() + load.duration();
    let mut buffer = vec![0; READ_BYTES];
    while Instant::now() < end || !session.sent_us.is_empty() {
        session.send_until(end)?;
        if session.sent_us.is_empty() {
            break;
        }
        session.receive(&mut buffer)?;
    }
    Ok(session.recorder)
}

fn connect(node: SocketAddr, seed: u64) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(node)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    let host = FIRST_HOST + seed as u32;
    let hello = Frame::HostHello { version: node::VERSION, host, generation: seed, sent_us: now_us() };
    stream.write_all(&hello.to_bytes())?;
    Ok(stream)
}

impl Session<'_> {
    /// Sends attempts until enough are open.
    fn send_until(&mut self, end: Instant) -> Result<(), BenchmarkError> {
        let mut bytes = BytesMut::new();
        while self.sent_us.len() < self.load.depth && Instant::now() < end {
            self.last_attempt += 1;
            let sent_us = now_us();
            self.sent_us.insert(self.last_attempt, sent_us);
            Frame::Send(self.next_attempt(sent_us)).encode(&mut bytes);
        }
        if self.sent_us.is_empty() {
            return Ok(());
        }
        self.stream.write_all(&bytes).map_err(BenchmarkError::Node)
    }

    fn next_attempt(&mut self, sent_us: u64) -> SendAttempt {
        let extent_bytes = EXTENT_BLOCKS * u64::from(BLOCK_BYTES);
        SendAttempt {
            attempt: self.last_attempt,
            request: self.last_attempt,
            attempt_number: 0,
            origin: Origin { session: 0, command: self.last_attempt as u32, part: 0 },
            sent_us,
            left_us: DEADLINE_US,
            idempotency_key: 0,
            key: 0,
            volume: 0,
            offset: draw_extent(&mut self.random) * extent_bytes * self.node_count,
            units: 1.0,
            work: Work::Read { length: self.load.blocks * BLOCK_BYTES },
        }
    }

    /// Reads once and counts the answers.
    fn receive(&mut self, buffer: &mut [u8]) -> Result<(), BenchmarkError> {
        let length = self.stream.read(buffer).map_err(BenchmarkError::Node)?;
        if length == 0 {
            return Err(BenchmarkError::NodeClosed);
        }
        self.frames.push(&buffer[..length]);
        while let Some(frame) = node::next(&mut self.frames)? {
            if let Frame::Answer(answer) = frame {
                self.on_answer(&answer);
                self.load.think();
            }
        }
        Ok(())
    }

    fn on_answer(&mut self, answer: &Answer) {
        let latency_us = now_us() - self.sent_us.remove(&answer.attempt).unwrap_or_default();
        if answer.outcome == NodeOutcome::Done {
            self.recorder.record_done(latency_us);
        } else {
            self.recorder.record_not_done();
        }
    }
}
