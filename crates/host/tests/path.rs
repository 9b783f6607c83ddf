//! End-to-end tests of commands: from the client through session, core and link to the node, and back.

mod common;

use common::*;
use tackmast_emulators::initiator::Reply;
use tackmast_emulators::model::NodeBehavior;
use tackmast_wire::iscsi::Digests;
use tackmast_wire::scsi::{Command, Sense};

/// Returns a behavior of nodes that adds little to the duration of a command.
fn fast_nodes() -> NodeBehavior {
    NodeBehavior { unit_s: 0.0002, ..NodeBehavior::default() }
}

/// A client writes and reads back ranges within one extent, across two and across many, with and without digests. Each read must return
/// what was written, and no command, request or attempt may stay open.
#[test]
fn reads_return_what_was_written_at_any_size_and_offset() {
    let cluster = TestCluster::start(fast_nodes());
    for digests in [Digests::default(), Digests { header: true, data: true }] {
        let client = cluster.client(digests, None);
        // Within an extent, across two, across many; with immediate and with solicited data.
        for (block, blocks) in [(0, 1), (60, 8), (128, 64), (200, 500), (4096, 700)] {
            let data = pattern(block + blocks, blocks as usize * 512);
            assert_eq!(client.write(1, block, data.clone()), done(vec![]), "write {blocks} at {block}");
            assert_eq!(client.read(1, block, blocks as u32), done(data), "read {blocks} at {block}");
        }
        assert_eq!(client.read(1, 30_000, 2), done(vec![0; 1024]), "never written");
        assert_eq!(client.read(300, 0, 1), done(vec![0; 512]), "another volume has its own bytes");
        client.initiator.logout();
    }
    let status = cluster.host.status().unwrap();
    assert_eq!((status.commands, status.requests, status.attempts), (0, 0, 0), "nothing is open");
    cluster.stop();
}

/// A client sends inquiries, and reads that are invalid for the volume. Each invalid command must get the sense data of its error, and
/// the session must stay usable.
#[test]
fn inquiries_are_answered_and_invalid_commands_get_their_sense() {
    let cluster = TestCluster::start(fast_nodes());
    let client = cluster.client(Digests::default(), None);
    let send = |lun, command, max_bytes| {
        client.initiator.submit_command(0, lun, command, max_bytes).unwrap();
        client.receive()
    };
    let first_bytes = |reply: Reply, count: usize| match reply {
        Reply::Done(data) => data[..count.min(data.len())].to_vec(),
        other => panic!("{other:?}"),
    };
    assert_eq!(send(1, Command::TestUnitReady, 0), done(vec![]));
    assert_eq!(
        first_bytes(send(1, Command::Inquiry { page: None, allocation_length: 96 }, 96), 16)[8..],
        *b"TACKMAST"
    );
    assert_eq!(
        first_bytes(send(9, Command::Inquiry { page: None, allocation_length: 96 }, 96), 1),
        [0x7f],
        "no such unit"
    );
    let luns = first_bytes(send(0, Command::ReportLuns { allocation_length: 64 }, 64), 64);
    assert_eq!((luns[3], luns[8..10].to_vec(), luns[16..18].to_vec()), (16, vec![0, 1], vec![0x41, 0x2c]));
    let capacity = first_bytes(send(1, Command::ReadCapacity16 { allocation_length: 32 }, 32), 12);
    assert_eq!(capacity, [0, 0, 0, 0, 0, 0, 0xff, 0xff, 0, 0, 2, 0]);
    let invalid =
        |command, sense| assert_eq!(send(1, command, 512), Reply::InvalidRequest(sense), "{command:?}");
    invalid(Command::Read { block: 65_536, blocks: 1 }, Sense::OUT_OF_RANGE);
    invalid(Command::Read { block: u64::MAX, blocks: 2 }, Sense::OUT_OF_RANGE);
    invalid(Command::Read { block: 0, blocks: 60_000 }, Sense::INVALID_FIELD);
    assert_eq!(
        send(9, Command::Read { block: 0, blocks: 1 }, 512),
        Reply::InvalidRequest(Sense::NO_SUCH_UNIT)
    );
    assert_eq!(client.read(1, 0, 1), done(vec![0; 512]), "the session stays usable");
    cluster.stop();
}
