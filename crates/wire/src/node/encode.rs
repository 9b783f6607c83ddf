//! Bytes of the node protocol's frames.

use super::{kind, Answer, Frame, NodeOutcome, SendAttempt, Work};
use bytes::{BufMut, Bytes, BytesMut};

/// Bytes of a frame's length.
const LENGTH_LEN: usize = 4;

impl Frame {
    /// Appends the frame with its length.
    pub fn encode(&self, out: &mut BytesMut) {
        let start = out.len();
        out.put_u32(0);
        match self {
            Frame::HostHello { version, host, generation, sent_us } => {
                out.put_u8(kind::HOST_HELLO);
                out.put_u16(*version);
                out.put_u32(*host);
                out.put_u64(*generation);
                out.put_u64(*sent_us);
            }
            Frame::NodeHello { version, shard, zone, started_us, up_us } => {
                out.put_u8(kind::NODE_HELLO);
                out.put_u16(*version);
                out.put_u32(*shard);
                out.put_u32(*zone);
                out.put_u64(*started_us);
                out.put_u64(*up_us);
            }
            Frame::Send(attempt) => put_attempt(attempt, out),
            Frame::Answer(answer) => put_answer(answer, out),
            Frame::Cancel { attempt } => put_number(kind::CANCEL, *attempt, out),
            Frame::Ping { number } => put_number(kind::PING, *number, out),
            Frame::Pong { number } => put_number(kind::PONG, *number, out),
        }
        let length = (out.len() - start - LENGTH_LEN) as u32;
        out[start..start + LENGTH_LEN].copy_from_slice(&length.to_be_bytes());
    }

    /// The frame with its length.
    pub fn to_bytes(&self) -> Bytes {
        let mut out = BytesMut::new();
        self.encode(&mut out);
        out.freeze()
    }
}

fn put_attempt(attempt: &SendAttempt, out: &mut BytesMut) {
    out.put_u8(kind::SEND);
    out.put_u64(attempt.attempt);
    out.put_u64(attempt.request);
    out.put_u8(attempt.attempt_number);
    out.put_u32(attempt.origin.session);
    out.put_u32(attempt.origin.command);
    out.put_u16(attempt.origin.part);
    out.put_u64(attempt.sent_us);
    out.put_u32(attempt.left_us);
    out.put_u128(attempt.idempotency_key);
    out.put_u64(attempt.key);
    out.put_u32(attempt.volume);
    out.put_u64(attempt.offset);
    out.put_f32(attempt.units);
    match &attempt.work {
        Work::Read { length } => {
            out.put_u8(0);
            out.put_u32(*length);
        }
        Work::Write { data } => {
            out.put_u8(1);
            put_data(data, out);
        }
    }
}

fn put_answer(answer: &Answer, out: &mut BytesMut) {
    out.put_u8(kind::ANSWER);
    out.put_u64(answer.attempt);
    out.put_u8(match answer.outcome {
        NodeOutcome::Done => 0,
        NodeOutcome::Error => 1,
        NodeOutcome::Full => 2,
        NodeOutcome::NotHere => 3,
    });
    out.put_u32(answer.waiting);
    out.put_f32(answer.elsewhere);
    put_data(&answer.data, out);
}

fn put_data(data: &Bytes, out: &mut BytesMut) {
    out.put_u32(data.len() as u32);
    out.put_slice(data);
}

fn put_number(kind: u8, number: u64, out: &mut BytesMut) {
    out.put_u8(kind);
    out.put_u64(number);
}
