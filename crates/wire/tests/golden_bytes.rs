//! Golden bytes of every wire format: one fixed value of each kind is encoded, compared with a literal hex string and
//! decoded back. It guards against a change of the bytes on the wire, which a round trip alone can't see: an encoder and
//! its decoder may both change.

use bytes::{Bytes, BytesMut};
use std::fmt::Debug;
use tackmast_wire::consensus::{DiskIdentity, Entry, EntryPayload, LogPosition, Message, Voters};
use tackmast_wire::peer::{
    Body, CatalogMessage, Datagram, EndpointListMessage, Health, LeaseMessage, MemberUpdate, NodeRemoval,
    OverrideKind, OverrideRecord, ProbeMessage,
};
use tackmast_wire::{iscsi, list, nbd, node, scsi, WireError};

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Collects the kinds whose bytes differ, so that one run names all of them.
#[derive(Default)]
struct Differences(Vec<String>);

impl Differences {
    fn compare(&mut self, kind: &str, encoded: &[u8], expected: &str) {
        let found = to_hex(encoded);
        if found != expected {
            self.0.push(format!("{kind}={found}"));
        }
    }

    /// Compares a value's bytes, and the value that they decode to.
    fn round_trip<T: Debug + PartialEq>(
        &mut self,
        kind: &str,
        value: T,
        encoded: Bytes,
        decoded: Result<T, WireError>,
        expected: &str,
    ) {
        self.compare(kind, &encoded, expected);
        assert_eq!(decoded, Ok(value), "{kind} decoded");
    }

    fn assert_none(self) {
        assert!(self.0.is_empty(), "bytes changed:\n{}", self.0.join("\n"));
    }
}

fn alive_host() -> MemberUpdate {
    MemberUpdate {
        slot: 3,
        generation: 0x0102_0304_0506_0708,
        incarnation: 9,
        health: Health::Alive,
        address: "10.1.2.3:7946".parse().unwrap(),
        site: Some(2),
        suspected_by: None,
    }
}

fn other_hosts() -> Vec<MemberUpdate> {
    let address = "[fd00::1:2]:9".parse().unwrap();
    let suspect = MemberUpdate {
        slot: 4,
        health: Health::Suspect,
        address,
        site: None,
        suspected_by: Some(3),
        ..alive_host()
    };
    let suspect_by_none = MemberUpdate { slot: 5, suspected_by: None, ..suspect };
    let dead = MemberUpdate { slot: 6, health: Health::Dead, ..alive_host() };
    let left = MemberUpdate { slot: 7, health: Health::Left, ..alive_host() };
    vec![suspect, suspect_by_none, dead, left]
}

fn order(kind: OverrideKind, cleared: bool) -> OverrideRecord {
    OverrideRecord {
        slot: 1,
        generation: 2,
        number: 3,
        kind,
        target: "zone:1".into(),
        reason: "maintenance".into(),
        who: "operator".into(),
        remaining_ms: 40_000,
        total_ms: 50_000,
        cleared,
    }
}

/// Hosts of an earlier and a later build talk to each other: each datagram between hosts has the bytes that it had.
#[test]
fn peer_datagrams_keep_their_bytes() {
    let bytes = Bytes::from_static(b"piece");
    let stop = |address: &str, gone| NodeRemoval { address: address.into(), gone };
    let stops = vec![stop("10.0.0.1:3260", true), stop("10.0.0.2:3260", false)];
    let cases: Vec<(&str, Body, Vec<MemberUpdate>, &str)> = vec![
        (
            "ping",
            Body::Probe(ProbeMessage::Ping { seq: 0x0a0b_0c0d }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000201\
             0a0b0c0d00",
        ),
        (
            "ping with updates",
            Body::Probe(ProbeMessage::Ping { seq: 1 }),
            other_hosts(),
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000201\
             0000000104000000040102030405060708000000090106fd00000000000000000000000001000200\
             09ffffffff00000003000000050102030405060708000000090106fd000000000000000000000000\
             0100020009ffffffffffffffff0000000601020304050607080000000902040a0102031f0a000000\
             020000000701020304050607080000000903040a0102031f0a00000002",
        ),
        (
            "ack",
            Body::Probe(ProbeMessage::Ack { seq: 2 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000202\
             0000000200",
        ),
        (
            "indirect ping",
            Body::Probe(ProbeMessage::PingRequest { seq: 3, slot: 4 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000203\
             000000030000000400",
        ),
        (
            "indirect ack",
            Body::Probe(ProbeMessage::IndirectAck { seq: 5, slot: 6 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000204\
             000000050000000600",
        ),
        (
            "nack",
            Body::Probe(ProbeMessage::Nack { seq: 7, slot: 8 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000210\
             000000070000000800",
        ),
        (
            "digest",
            Body::Digest { members: 9, overrides: 10 },
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000205\
             000000090000000a00",
        ),
        (
            "updates alone",
            Body::Gossip,
            other_hosts(),
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000206\
             04000000040102030405060708000000090106fd0000000000000000000000000100020009ffffff\
             ff00000003000000050102030405060708000000090106fd00000000000000000000000001000200\
             09ffffffffffffffff0000000601020304050607080000000902040a0102031f0a00000002000000\
             0701020304050607080000000903040a0102031f0a00000002",
        ),
        (
            "quota request",
            Body::Lease(LeaseMessage::Request {
                seq: 9,
                active_seq: 10,
                lender_generation: 19,
                volume: 11,
                share: 0.25,
            }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000207\
             000000090000000a00000000000000130000000b3e80000000",
        ),
        (
            "quota lease",
            Body::Lease(LeaseMessage::Grant {
                request_seq: 12,
                recipient_generation: 20,
                seq: 13,
                volume: 14,
                share: 0.75,
                term_ms: 15,
            }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000208\
             0000000c00000000000000140000000d0000000e3f4000000000000f00",
        ),
        (
            "quota offer",
            Body::Lease(LeaseMessage::Offer { volume: 16 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000209\
             0000001000",
        ),
        (
            "quota recall",
            Body::Lease(LeaseMessage::Recall { volume: 17 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a000000020a\
             0000001100",
        ),
        (
            "quota returned",
            Body::Lease(LeaseMessage::Returned { recipient_generation: 21, volume: 18 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a000000020b\
             00000000000000150000001200",
        ),
        (
            "orders out and pinned",
            Body::Overrides(vec![order(OverrideKind::Out, false), order(OverrideKind::Pinned, true)]),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a000000020c\
             0200000001000000000000000200000000000000030000000000067a6f6e653a310b6d61696e7465\
             6e616e6365086f70657261746f720000000000009c40000000000000c35000000000010000000000\
             00000200000000000000030100000000067a6f6e653a310b6d61696e74656e616e6365086f706572\
             61746f720000000000009c40000000000000c3500100",
        ),
        (
            "order weight",
            Body::Overrides(vec![order(OverrideKind::Weight(0.5), false)]),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a000000020c\
             010000000100000000000000020000000000000003023f000000067a6f6e653a310b6d61696e7465\
             6e616e6365086f70657261746f720000000000009c40000000000000c3500000",
        ),
        (
            "catalog version",
            Body::Catalog(CatalogMessage::Version { number: 22, digest_prefix: 23, remaining_ms: 24 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a000000020d\
             000000000000001600000000000000170000001800",
        ),
        (
            "catalog request",
            Body::Catalog(CatalogMessage::ChunkRequest { number: 25, piece: 26 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a000000020e\
             0000000000000019001a00",
        ),
        (
            "catalog chunk",
            Body::Catalog(CatalogMessage::Chunk { number: 27, piece: 28, pieces: 29, bytes: bytes.clone() }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a000000020f\
             000000000000001b001c001d0005706965636500",
        ),
        (
            "consensus message",
            Body::Consensus { bytes: bytes.clone() },
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000211\
             0005706965636500",
        ),
        (
            "consensus chunk",
            Body::ConsensusChunk { number: 30, pieces: 32, piece: 31, bytes },
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000212\
             0000001e0020001f0005706965636500",
        ),
        (
            "consensus chunk request",
            Body::ConsensusChunkRequest { number: 33, piece: 34 },
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000213\
             00000021002200",
        ),
        (
            "node list version",
            Body::EndpointList(EndpointListMessage::Version { version: 35 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000214\
             000000000000002300",
        ),
        (
            "node list request",
            Body::EndpointList(EndpointListMessage::Request { version: 36 }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000215\
             000000000000002400",
        ),
        (
            "node list removals",
            Body::EndpointList(EndpointListMessage::Removals { version: 37, removals: stops }),
            vec![],
            "\
             746d0207666c6565742d610000000301020304050607080000000900040a0102031f0a0000000216\
             0000000000000025020d31302e302e302e313a33323630010d31302e302e302e323a333236300000",
        ),
    ];
    let mut differences = Differences::default();
    for (kind, body, updates, expected) in cases {
        let datagram = Datagram { fleet: "fleet-a".into(), sender: alive_host(), body, updates };
        let encoded = datagram.to_bytes();
        let decoded = Datagram::decode(encoded.clone());
        differences.round_trip(kind, datagram, encoded, decoded, expected);
    }
    differences.assert_none();
}

/// Hosts of an earlier and a later build talk to each other: each message of the consensus protocol has the bytes that it had.
#[test]
fn consensus_messages_keep_their_bytes() {
    let identity = DiskIdentity { disk: 0x0102_0304_0506_0708, boot: 2, generation: 3 };
    let voters: Voters = [(0, 100), (1, 101), (4, 104)].into();
    let entries = vec![
        Entry { term: 1, payload: EntryPayload::Noop },
        Entry { term: 2, payload: EntryPayload::Command(Bytes::from_static(b"change")) },
        Entry { term: 3, payload: EntryPayload::Voters(voters.clone()) },
    ];
    let last = LogPosition { term: 5, index: 6 };
    let state = Bytes::from_static(b"state");
    let append = |entries| Message::AppendEntries {
        log_id: 8,
        term: 4,
        round: 9,
        previous: last,
        commit_index: 3,
        entries,
    };
    let cases: Vec<(&str, Message, &str)> = vec![
        (
            "pre-vote request",
            Message::RequestVote { pre_vote: true, term: 4, last_log: last, identity },
            "\
             01010000000000000004000000000000000500000000000000060102030405060708000000020000\
             000000000003",
        ),
        (
            "vote request",
            Message::RequestVote { pre_vote: false, term: 4, last_log: last, identity },
            "\
             01000000000000000004000000000000000500000000000000060102030405060708000000020000\
             000000000003",
        ),
        (
            "vote",
            Message::RequestVoteResponse { pre_vote: false, term: 4, granted: true, identity },
            "02000000000000000004010102030405060708000000020000000000000003",
        ),
        (
            "append entries",
            append(entries.clone()),
            "\
             03000000000000000800000000000000040000000000000009000000000000000500000000000000\
             0600000000000000030003000000000000000100000000000000000201000000066368616e676500\
             00000000000003020300000000000000000000006400000001000000000000006500000004000000\
             0000000068",
        ),
        (
            "heartbeat",
            append(vec![]),
            "\
             03000000000000000800000000000000040000000000000009000000000000000500000000000000\
             0600000000000000030000",
        ),
        (
            "append response",
            Message::AppendEntriesResponse { term: 4, round: 9, success: true, index: 2, identity },
            "\
             04000000000000000400000000000000090100000000000000020102030405060708000000020000\
             000000000003",
        ),
        (
            "install snapshot",
            Message::InstallSnapshot {
                term: 4,
                log_id: 8,
                last,
                voters: voters.clone(),
                state: state.clone(),
            },
            "\
             05000000000000000400000000000000080000000000000005000000000000000603000000000000\
             000000000064000000010000000000000065000000040000000000000068000000057374617465",
        ),
        (
            "propose",
            Message::Propose { log_id: 8, data: state.clone() },
            "060000000000000008000000057374617465",
        ),
        (
            "lease renewal",
            Message::RequestLease { sequence: 1, stored_index: 2, identity },
            "\
             070000000100000000000000020102030405060708000000020000000000000003",
        ),
        (
            "lease grant",
            Message::LeaseGranted {
                log_id: 8,
                to_generation: 9,
                sequence: 1,
                term: 2,
                index: 3,
                duration_ms: 4,
            },
            "\
             08000000000000000800000000000000090000000100000000000000020000000000000003000000\
             04",
        ),
        ("leader known", Message::LeaderHint { term: 1, leader: Some(2) }, "09000000000000000100000002"),
        ("leader unknown", Message::LeaderHint { term: 1, leader: None }, "090000000000000001ffffffff"),
        ("log request", Message::FetchCommitted { stored_index: 7 }, "0a0000000000000007"),
        (
            "log response",
            Message::CommittedEntries { log_id: 8, after: 7, entries },
            "\
             0b000000000000000800000000000000070003000000000000000100000000000000000201000000\
             066368616e6765000000000000000302030000000000000000000000640000000100000000000000\
             65000000040000000000000068",
        ),
        (
            "snapshot response",
            Message::CommittedSnapshot { log_id: 8, last, voters: voters.clone(), state },
            "\
             0c000000000000000800000000000000050000000000000006030000000000000000000000640000\
             00010000000000000065000000040000000000000068000000057374617465",
        ),
        (
            "bootstrap",
            Message::Bootstrap { identity, confirmed: true, bootstrapped: false, disks: voters },
            "\
             0d010203040506070800000002000000000000000301000300000000000000000000006400000001\
             0000000000000065000000040000000000000068",
        ),
        ("stale disk", Message::StaleDisk { identity }, "0e0102030405060708000000020000000000000003"),
    ];
    let mut differences = Differences::default();
    for (kind, message, expected) in cases {
        let encoded = message.to_bytes();
        let decoded = Message::decode(encoded.clone());
        differences.round_trip(kind, message, encoded, decoded, expected);
    }
    differences.assert_none();
}

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

fn nbd_request(deadline_us: Option<u64>) -> nbd::Request {
    let (flags, kind) = (nbd::flag::FUA, nbd::command::READ);
    nbd::Request { flags, kind, cookie: 0x0102_0304_0506_0708, offset: 4096, length: 512, deadline_us }
}

/// Hosts of an earlier and a later build talk to each other: each NBD unit of a client has the bytes that it had.
#[test]
fn nbd_client_units_keep_their_bytes() {
    use nbd::{ClientUnit, ClientUnits, Stage};
    let mut option = BytesMut::new();
    nbd::option(nbd::option::GO, &nbd::write_go("volume-1", &[nbd::info::BLOCK_SIZE]), &mut option);
    let mut addition = BytesMut::new();
    nbd::option(nbd::option::TACKMAST, &nbd::write_version(2), &mut addition);
    let (mut plain, mut with_deadline) = (BytesMut::new(), BytesMut::new());
    nbd_request(None).encode(&mut plain);
    nbd_request(Some(250_000)).encode(&mut with_deadline);
    let data = |kind: u32| match kind {
        nbd::option::GO => nbd::write_go("volume-1", &[nbd::info::BLOCK_SIZE]),
        _ => Bytes::copy_from_slice(&nbd::write_version(2)),
    };
    let option_unit = |option| ClientUnit::Option { option, data: data(option) };
    let request_unit =
        |deadline_us| ClientUnit::Request { request: nbd_request(deadline_us), data: Bytes::new() };
    let cases: Vec<(&str, BytesMut, Stage, ClientUnit, &str)> = vec![
        (
            "nbd go",
            option,
            Stage::Options,
            option_unit(nbd::option::GO),
            "49484156454f5054000000070000001000000008766f6c756d652d3100010003",
        ),
        (
            "nbd addition",
            addition,
            Stage::Options,
            option_unit(nbd::option::TACKMAST),
            "49484156454f50547461636b000000020002",
        ),
        (
            "nbd request",
            plain,
            Stage::Transmission,
            request_unit(None),
            "25609513000100000102030405060708000000000000100000000200",
        ),
        (
            "nbd request with deadline",
            with_deadline,
            Stage::Transmission,
            request_unit(Some(250_000)),
            "\
             25609513400100000102030405060708000000000000100000000200000000000003d090",
        ),
    ];
    let mut differences = Differences::default();
    for (kind, encoded, stage, unit, expected) in cases {
        let mut units = ClientUnits::new(1 << 20);
        units.stage = stage;
        units.push(&encoded);
        let decoded = units.next_unit();
        differences.round_trip(kind, Some(unit), encoded.freeze(), decoded, expected);
    }
    differences.assert_none();
}

/// Hosts of an earlier and a later build talk to each other: each NBD unit of a server has the bytes that it had.
#[test]
fn nbd_server_units_keep_their_bytes() {
    use nbd::{Reply, ServerUnit, ServerUnits, Stage};
    let greeting_unit = ServerUnit::Greeting { flags: nbd::FIXED_NEWSTYLE | nbd::NO_ZEROES };
    let session_data = nbd::write_session(2, 3, 64);
    assert_eq!(nbd::read_version(&session_data), Ok(2));
    assert_eq!((nbd::read_session(&session_data), nbd::read_window(&session_data)), (Some(3), Some(64)));
    let mut option_reply = BytesMut::new();
    nbd::option_reply(nbd::option::TACKMAST, nbd::reply::ACK, &session_data, &mut option_reply);
    let option_unit =
        ServerUnit::OptionReply { option: nbd::option::TACKMAST, kind: nbd::reply::ACK, data: session_data };
    let cookie = 0x0102_0304_0506_0708;
    let data = Bytes::from_static(b"data");
    let simple = Reply::Simple { cookie, error: 0, data: data.clone() };
    let failed = Reply::Simple { cookie, error: nbd::error::IO, data: Bytes::new() };
    let chunk = |kind, data| Reply::Chunk { cookie, flags: nbd::DONE, kind, data };
    let structured = chunk(nbd::chunk::OFFSET_DATA, data);
    let error_data = nbd::write_error(nbd::error::SHUTDOWN, b"busy");
    let rejected = chunk(nbd::chunk::REJECTED, error_data.clone());
    assert_eq!(
        nbd::read_error(&error_data),
        Ok(nbd::ChunkError { value: nbd::error::SHUTDOWN, text: Bytes::from_static(b"busy") })
    );
    let reply = |reply: &Reply| {
        let mut out = BytesMut::new();
        reply.encode(&mut out);
        out.freeze()
    };
    let transmission = Stage::Transmission;
    let cases: Vec<(&str, Bytes, Stage, ServerUnit, &str)> = vec![
        (
            "nbd greeting",
            nbd::greeting(),
            Stage::Flags,
            greeting_unit,
            "4e42444d4147494349484156454f50540003",
        ),
        (
            "nbd option reply",
            option_reply.freeze(),
            Stage::Options,
            option_unit,
            "0003e889045565a97461636b000000010000000a00020000000300000040",
        ),
        (
            "nbd simple reply",
            reply(&simple),
            transmission,
            ServerUnit::Reply(simple),
            "6744669800000000010203040506070864617461",
        ),
        (
            "nbd failed reply",
            reply(&failed),
            transmission,
            ServerUnit::Reply(failed),
            "67446698000000050102030405060708",
        ),
        (
            "nbd structured reply",
            reply(&structured),
            transmission,
            ServerUnit::Reply(structured),
            "668e33ef0001000101020304050607080000000464617461",
        ),
        (
            "nbd retry-after reply",
            reply(&rejected),
            transmission,
            ServerUnit::Reply(rejected),
            "668e33ef0001f46301020304050607080000000a0000006c000462757379",
        ),
    ];
    let mut differences = Differences::default();
    for (kind, encoded, stage, unit, expected) in cases {
        let mut units = ServerUnits::new(1 << 20);
        units.stage = stage;
        units.push(&encoded);
        let decoded = units.next_unit(|_| 4);
        differences.round_trip(kind, Some(unit), encoded, decoded, expected);
    }
    differences.assert_none();
}

/// Hosts of an earlier and a later build talk to each other: each iSCSI unit has the bytes that it had.
#[test]
fn iscsi_units_keep_their_bytes() {
    use iscsi::{op, Digests, Pdu, Units};
    let mut command = Pdu::new(op::COMMAND, iscsi::FINAL | iscsi::READS);
    command.set_lun(300).set32(16, 0x0a0b_0c0d).set16(20, 7).set_deadline(250_000);
    command.head[32..48].copy_from_slice(&scsi::Command::Read { block: 8, blocks: 2 }.to_cdb());
    assert_eq!((command.lun(), command.tag()), (Some(300), 0x0a0b_0c0d));
    assert_eq!(command.deadline(), Some(250_000));
    let mut login = Pdu::new(op::LOGIN | 0x40, iscsi::FINAL);
    let pairs = [("InitiatorName", "iqn.2026-01.example:client"), ("SessionType", "Normal")];
    login.data = iscsi::write_keys(pairs);
    let owned = pairs.map(|(key, value)| iscsi::TextKey { name: key.to_owned(), value: value.to_owned() });
    assert_eq!(iscsi::read_keys(&login.data), Ok(owned.to_vec()));
    let mut response = Pdu::new(op::RESPONSE, iscsi::FINAL);
    response.data = scsi::Sense::INVALID_FIELD.to_segment();
    let mut data_in = Pdu::new(op::DATA_IN, iscsi::FINAL | iscsi::STATUS_HERE);
    data_in.set_lun(5);
    data_in.data = Bytes::from_static(b"seven b");
    let none = Digests::default();
    let both = Digests { header: true, data: true };
    let cases: Vec<(&str, Pdu, Digests, &str)> = vec![
        (
            "iscsi command",
            command.clone(),
            none,
            "\
             01c0000003000000412c0000000000000a0b0c0d0007000000000000000000008800000000000000\
             000800000002000000093f00000000000003d090",
        ),
        (
            "iscsi command with digests",
            command,
            both,
            "\
             01c0000003000000412c0000000000000a0b0c0d0007000000000000000000008800000000000000\
             000800000002000000093f00000000000003d090f6a75dfa",
        ),
        (
            "iscsi login",
            login,
            none,
            "\
             438000000000003c0000000000000000000000000000000000000000000000000000000000000000\
             0000000000000000496e69746961746f724e616d653d69716e2e323032362d30312e6578616d706c\
             653a636c69656e740053657373696f6e547970653d4e6f726d616c00",
        ),
        (
            "iscsi response",
            response,
            none,
            "\
             21800000000000140000000000000000000000000000000000000000000000000000000000000000\
             00000000000000000012700005000000000a00000000240000000000",
        ),
        (
            "iscsi data-in with digests",
            data_in,
            both,
            "\
             25810000000000070005000000000000000000000000000000000000000000000000000000000000\
             0000000000000000d079b920736576656e2062002fcf2290",
        ),
    ];
    let mut differences = Differences::default();
    for (kind, pdu, digests, expected) in cases {
        let mut encoded = BytesMut::new();
        iscsi::encode(&pdu, digests, &mut encoded);
        let mut units = Units::new(1 << 16);
        units.digests = digests;
        units.push(&encoded);
        let decoded = units.next_unit().unwrap().expect("a whole unit");
        // The lengths are written by the encoder alone.
        let mut with_lengths = pdu;
        with_lengths.head[4..8].copy_from_slice(&encoded[4..8]);
        differences.round_trip(kind, with_lengths, encoded.freeze(), Ok(decoded), expected);
    }
    differences.assert_none();
}

/// Hosts of an earlier and a later build talk to each other: each SCSI command block has the bytes that it had.
#[test]
fn scsi_command_blocks_keep_their_bytes() {
    use scsi::Command;
    let cases: Vec<(&str, Command, &str)> = vec![
        ("test unit ready", Command::TestUnitReady, "00000000000000000000000000000000"),
        (
            "inquiry",
            Command::Inquiry { page: None, allocation_length: 96 },
            "12000000600000000000000000000000",
        ),
        (
            "inquiry page",
            Command::Inquiry { page: Some(0x83), allocation_length: 255 },
            "12018300ff0000000000000000000000",
        ),
        ("report luns", Command::ReportLuns { allocation_length: 4096 }, "a0000000000000001000000000000000"),
        ("read capacity 10", Command::ReadCapacity10, "25000000000000000000000000000000"),
        (
            "read capacity 16",
            Command::ReadCapacity16 { allocation_length: 32 },
            "9e100000000000000000000000200000",
        ),
        (
            "mode sense 6",
            Command::ModeSense { long: false, allocation_length: 192 },
            "1a000000c00000000000000000000000",
        ),
        (
            "mode sense 10",
            Command::ModeSense { long: true, allocation_length: 512 },
            "5a000000000000020000000000000000",
        ),
        (
            "request sense",
            Command::RequestSense { allocation_length: 18 },
            "03000000120000000000000000000000",
        ),
        ("synchronize cache", Command::Synchronize, "91000000000000000000000000000000"),
        ("read 16", Command::Read { block: 0x1_0000_0001, blocks: 8 }, "88000000000100000001000000080000"),
        ("write 16", Command::Write { block: 0x1_0000_0001, blocks: 8 }, "8a000000000100000001000000080000"),
    ];
    let mut differences = Differences::default();
    for (kind, command, expected) in cases {
        let encoded = command.to_cdb();
        differences.compare(kind, &encoded, expected);
        assert_eq!(Command::parse(&encoded), Ok(command), "{kind} parsed");
    }
    differences.assert_none();
}

/// Hosts of an earlier and a later build talk to each other: each SCSI response has the bytes that it had.
#[test]
fn scsi_response_data_keep_their_bytes() {
    let unit = |lun| scsi::Unit {
        lun,
        name: "volume-1".into(),
        blocks: 0x2_0000_0000,
        block_bytes: 512,
        max_blocks: 2048,
    };
    let first = unit(1);
    let inquiry = |page| scsi::inquiry(Some(&first), page).unwrap();
    let cases: Vec<(&str, Bytes, &str)> = vec![
        (
            "inquiry standard",
            inquiry(None),
            "\
             000006121f0000025441434b4d41535453544f5241474520474154455741592030303031",
        ),
        (
            "inquiry no unit",
            scsi::inquiry(None, None).unwrap(),
            "\
             7f0006121f0000025441434b4d41535453544f5241474520474154455741592030303031",
        ),
        ("inquiry page 00", inquiry(Some(0x00)), "00000004008083b0"),
        ("inquiry page 80", inquiry(Some(0x80)), "00800008766f6c756d652d31"),
        ("inquiry page 83", inquiry(Some(0x83)), "00830014020100105441434b4d415354766f6c756d652d31"),
        (
            "inquiry page b0",
            inquiry(Some(0xb0)),
            "\
             00b0003c000000000000080000000800000000000000000000000000000000000000000000000000\
             000000000000000000000000000000000000000000000000",
        ),
        (
            "luns",
            scsi::report_luns(&[unit(1), unit(300)]),
            "00000010000000000001000000000000412c000000000000",
        ),
        ("capacity 10", scsi::capacity10(&first), "ffffffff00000200"),
        (
            "capacity 16",
            scsi::capacity16(&first),
            "00000001ffffffff000002000000000000000000000000000000000000000000",
        ),
        ("mode header 6", scsi::mode_sense6(), "03000000"),
        ("mode header 10", scsi::mode_sense10(), "0006000000000000"),
        ("sense", scsi::Sense::FAILED.to_segment(), "001270000b000000000a00000000080100000000"),
    ];
    let mut differences = Differences::default();
    for (kind, encoded, expected) in cases {
        differences.compare(kind, &encoded, expected);
    }
    differences.assert_none();
    let sense = scsi::Sense::FAILED;
    assert_eq!(scsi::Sense::from_segment(&sense.to_segment()), Some(sense));
    assert_eq!(scsi::retry_delay(250_000), 3);
}
