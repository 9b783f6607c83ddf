//! One request's whole path: client, session, core, node link, node, and back.

mod common;

use common::*;
use tackmast_emulators::initiator::Reply;
use tackmast_emulators::model::NodeBehavior;
use tackmast_wire::iscsi::Digests;
use tackmast_wire::scsi::{Command, Sense};

fn quick() -> NodeBehavior {
    NodeBehavior { unit_s: 0.0002, ..NodeBehavior::default() }
}

#[test]
fn what_is_written_is_read_whatever_its_size_and_place() {
    let pool = pool(quick(), "");
    for digests in [Digests::default(), Digests { header: true, data: true }] {
        let client = pool.client(digests, None);
        // Blocks and their number: within an extent, across one, across many; immediate and solicited data.
        for (block, blocks) in [(0, 1), (60, 8), (128, 64), (200, 500), (4096, 700)] {
            let data = pattern(block + blocks, blocks as usize * 512);
            assert_eq!(client.write(1, block, data.clone()), done(vec![]), "write {blocks} at {block}");
            assert_eq!(client.read(1, block, blocks as u32), done(data), "read {blocks} at {block}");
        }
        assert_eq!(client.read(1, 30_000, 2), done(vec![0; 1024]), "never written");
        assert_eq!(client.read(300, 0, 1), done(vec![0; 512]), "another volume has its own bytes");
        client.initiator.logout();
    }
    let s = pool.host.status().unwrap();
    assert_eq!((s.commands, s.requests, s.attempts), (0, 0, 0), "nothing is kept when nothing is open");
    pool.end();
}

#[test]
fn simple_commands_are_answered_and_wrong_ones_told_so() {
    let pool = pool(quick(), "");
    let client = pool.client(Digests::default(), None);
    let ask = |lun, command, most| {
        client.initiator.submit_command(0, lun, command, most).unwrap();
        client.reply().1
    };
    let first = |reply: Reply, n: usize| match reply {
        Reply::Done(data) => data[..n.min(data.len())].to_vec(),
        other => panic!("{other:?}"),
    };
    assert_eq!(ask(1, Command::TestUnitReady, 0), done(vec![]));
    assert_eq!(
        first(ask(1, Command::Inquiry { page: None, allocation_length: 96 }, 96), 16)[8..],
        *b"TACKMAST"
    );
    assert_eq!(
        first(ask(9, Command::Inquiry { page: None, allocation_length: 96 }, 96), 1),
        [0x7f],
        "no such unit"
    );
    let luns = first(ask(0, Command::ReportLuns { allocation_length: 64 }, 64), 64);
    assert_eq!((luns[3], luns[8..10].to_vec(), luns[16..18].to_vec()), (16, vec![0, 1], vec![0x41, 0x2c]));
    let capacity = first(ask(1, Command::ReadCapacity16 { allocation_length: 32 }, 32), 12);
    assert_eq!(capacity, [0, 0, 0, 0, 0, 0, 0xff, 0xff, 0, 0, 2, 0]);
    let invalid =
        |command, sense| assert_eq!(ask(1, command, 512), Reply::InvalidRequest(sense), "{command:?}");
    invalid(Command::Read { block: 65_536, blocks: 1 }, Sense::OUT_OF_RANGE);
    invalid(Command::Read { block: u64::MAX, blocks: 2 }, Sense::OUT_OF_RANGE);
    invalid(Command::Read { block: 0, blocks: 60_000 }, Sense::INVALID_FIELD);
    assert_eq!(
        ask(9, Command::Read { block: 0, blocks: 1 }, 512),
        Reply::InvalidRequest(Sense::NO_SUCH_UNIT)
    );
    assert_eq!(client.read(1, 0, 1), done(vec![0; 512]), "the session goes on");
    pool.end();
}
