//! Frames between hosts and nodes.

use crate::Differences;
use bytes::Bytes;
use tackmast_wire::node;

fn node_request(work: node::Work) -> node::Frame {
    node::Frame::Send(node::SendAttempt {
        attempt: 1,
        request: 2,
        attempt_number: 3,
        origin: node::Origin { session: 4, command: 5, part: 6 },
        sent_us: 7,
        left_us: 8,
        idempotency_key: 0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10,
        key: 9,
        volume: 10,
        offset: 4096,
        units: 1.5,
        work,
    })
}

fn node_response(outcome: node::NodeOutcome) -> node::Frame {
    let data = Bytes::from_static(b"data");
    node::Frame::Answer(node::Answer { attempt: 1, outcome, waiting: 2, elsewhere: 0.5, data })
}

/// Hosts of an earlier and a later build talk to each other: each frame between hosts and nodes has the bytes that it had.
#[test]
fn node_protocol_frames_keep_their_bytes() {
    use node::{Frame, NodeOutcome, Work};
    let cases: Vec<(&str, Frame, &str)> = vec![
        (
            "host hello",
            Frame::HostHello { version: 1, host: 2, generation: 3, sent_us: 4 },
            "000000170100010000000200000000000000030000000000000004",
        ),
        (
            "node hello",
            Frame::NodeHello { version: 1, shard: 2, zone: 3, started_us: 4, up_us: 5 },
            "0000001b020001000000020000000300000000000000040000000000000005",
        ),
        (
            "read",
            node_request(Work::Read { length: 4096 }),
            "\
             00000055030000000000000001000000000000000203000000040000000500060000000000000007\
             000000080102030405060708090a0b0c0d0e0f1000000000000000090000000a0000000000001000\
             3fc000000000001000",
        ),
        (
            "write",
            node_request(Work::Write { data: Bytes::from_static(b"data") }),
            "\
             00000059030000000000000001000000000000000203000000040000000500060000000000000007\
             000000080102030405060708090a0b0c0d0e0f1000000000000000090000000a0000000000001000\
             3fc00000010000000464617461",
        ),
        (
            "done",
            node_response(NodeOutcome::Done),
            "0000001a04000000000000000100000000023f0000000000000464617461",
        ),
        (
            "error",
            node_response(NodeOutcome::Error),
            "0000001a04000000000000000101000000023f0000000000000464617461",
        ),
        (
            "full",
            node_response(NodeOutcome::Full),
            "0000001a04000000000000000102000000023f0000000000000464617461",
        ),
        (
            "not here",
            node_response(NodeOutcome::NotHere),
            "0000001a04000000000000000103000000023f0000000000000464617461",
        ),
        ("cancel", Frame::Cancel { attempt: 6 }, "00000009050000000000000006"),
        ("node ping", Frame::Ping { number: 7 }, "00000009060000000000000007"),
        ("node pong", Frame::Pong { number: 8 }, "00000009070000000000000008"),
    ];
    let mut differences = Differences::default();
    for (kind, frame, expected) in cases {
        let encoded = frame.to_bytes();
        let decoded = Frame::decode(encoded.slice(4..));
        differences.round_trip(kind, frame, encoded, decoded, expected);
    }
    differences.assert_none();
}
