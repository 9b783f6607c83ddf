//! Frames of the node list protocol.

use crate::Differences;
use tackmast_wire::list;

/// Hosts of an earlier and a later build talk to each other: each frame of the list protocol has the bytes that it had.
#[test]
fn node_list_frames_keep_their_bytes() {
    use list::{Entry, Frame, State};
    let entry =
        |address: &str, state| Entry { address: address.into(), state, zone: 1, shard: 2, started_us: 3 };
    let entries = vec![
        entry("10.0.0.1:3260", State::Ready),
        entry("10.0.0.2:3260", State::Draining),
        entry("[fd00::1]:3260", State::Gone),
    ];
    let changes = |sent_us| Frame::Changes { from: 4, to: 5, sent_us, entries: entries.clone() };
    let complete = |sent_us| Frame::Complete { to: 5, sent_us, entries: entries.clone() };
    let cases: Vec<(&str, Frame, &str)> = vec![
        ("watch", Frame::Follow { version: 2, host: 3, since: 4 }, "0000000f010002000000030000000000000004"),
        ("fetch", Frame::Fetch { version: 2, host: 3 }, "0000000702000200000003"),
        (
            "changes",
            changes(0),
            "\
             000000730300000000000000040000000000000005000000030d31302e302e302e313a3332363000\
             000000010000000200000000000000030d31302e302e302e323a3332363001000000010000000200\
             000000000000030e5b666430303a3a315d3a333236300200000001000000020000000000000003",
        ),
        (
            "changes with time",
            changes(6),
            "\
             0000007b06000000000000000400000000000000050000000000000006000000030d31302e302e30\
             2e313a3332363000000000010000000200000000000000030d31302e302e302e323a333236300100\
             0000010000000200000000000000030e5b666430303a3a315d3a3332363002000000010000000200\
             00000000000003",
        ),
        (
            "complete list",
            complete(0),
            "\
             0000006b040000000000000005000000030d31302e302e302e313a33323630000000000100000002\
             00000000000000030d31302e302e302e323a3332363001000000010000000200000000000000030e\
             5b666430303a3a315d3a333236300200000001000000020000000000000003",
        ),
        (
            "complete list with time",
            complete(6),
            "\
             000000730700000000000000050000000000000006000000030d31302e302e302e313a3332363000\
             000000010000000200000000000000030d31302e302e302e323a3332363001000000010000000200\
             000000000000030e5b666430303a3a315d3a333236300200000001000000020000000000000003",
        ),
        ("failed", Frame::Failed, "0000000105"),
    ];
    let mut differences = Differences::default();
    for (kind, frame, expected) in cases {
        let encoded = frame.to_bytes();
        let decoded = Frame::decode(encoded.slice(4..));
        differences.round_trip(kind, frame, encoded, decoded, expected);
    }
    differences.assert_none();
}
