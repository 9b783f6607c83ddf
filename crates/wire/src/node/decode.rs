//! Frames of the node protocol from their bytes.

use super::{kind, Answer, Frame, NodeOutcome, Origin, SendAttempt, Work};
use crate::reader::Fields;
use crate::WireError;
use bytes::Bytes;

impl Frame {
    /// Reads a whole frame, without its length.
    pub fn decode(frame: Bytes) -> Result<Frame, WireError> {
        let mut fields = Fields(frame);
        let found = match fields.u8("kind")? {
            kind::HOST_HELLO => Frame::HostHello {
                version: fields.u16("version")?,
                host: fields.u32("host")?,
                generation: fields.u64("life")?,
                sent_us: fields.u64("time sent")?,
            },
            kind::NODE_HELLO => Frame::NodeHello {
                version: fields.u16("version")?,
                shard: fields.u32("shard")?,
                zone: fields.u32("zone")?,
                started_us: fields.u64("start")?,
                up_us: fields.u64("time up")?,
            },
            kind::SEND => Frame::Send(attempt(&mut fields)?),
            kind::ANSWER => Frame::Answer(answer(&mut fields)?),
            kind::CANCEL => Frame::Cancel { attempt: fields.u64("attempt")? },
            kind::PING => Frame::Ping { number: fields.u64("number")? },
            kind::PONG => Frame::Pong { number: fields.u64("number")? },
            other => return Err(WireError::unexpected("kind", other, "a frame kind from 1 to 7")),
        };
        fields.end("frame")?;
        Ok(found)
    }
}

fn attempt(fields: &mut Fields) -> Result<SendAttempt, WireError> {
    Ok(SendAttempt {
        attempt: fields.u64("attempt")?,
        request: fields.u64("request")?,
        attempt_number: fields.u8("attempt number")?,
        origin: Origin {
            session: fields.u32("session")?,
            command: fields.u32("command")?,
            part: fields.u16("part")?,
        },
        sent_us: fields.u64("time sent")?,
        left_us: fields.u32("time left")?,
        idempotency_key: u128::from(fields.u64("mark")?) << 64 | u128::from(fields.u64("mark")?),
        key: fields.u64("key")?,
        volume: fields.u32("volume")?,
        offset: fields.u64("offset")?,
        units: fields.amount("units")?,
        work: work(fields)?,
    })
}

fn work(fields: &mut Fields) -> Result<Work, WireError> {
    match fields.u8("work")? {
        0 => Ok(Work::Read { length: fields.u32("length")? }),
        1 => Ok(Work::Write { data: data(fields)? }),
        other => Err(WireError::unexpected("work", other, "0 (read) or 1 (write)")),
    }
}

fn answer(fields: &mut Fields) -> Result<Answer, WireError> {
    Ok(Answer {
        attempt: fields.u64("attempt")?,
        outcome: outcome(fields)?,
        waiting: fields.u32("waiting")?,
        elsewhere: fields.amount("elsewhere")?,
        data: data(fields)?,
    })
}

fn outcome(fields: &mut Fields) -> Result<NodeOutcome, WireError> {
    match fields.u8("outcome")? {
        0 => Ok(NodeOutcome::Done),
        1 => Ok(NodeOutcome::Error),
        2 => Ok(NodeOutcome::Full),
        3 => Ok(NodeOutcome::NotHere),
        other => Err(WireError::unexpected("outcome", other, "0 to 3")),
    }
}

fn data(fields: &mut Fields) -> Result<Bytes, WireError> {
    let length = fields.u32("data length")? as usize;
    fields.bytes("data", length)
}
