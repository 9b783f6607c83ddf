//! Datagrams between hosts.

use crate::Differences;
use bytes::Bytes;
use tackmast_wire::peer::{
    Body, CatalogMessage, Datagram, EndpointListMessage, Health, LeaseMessage, MemberUpdate, NodeRemoval,
    OverrideKind, OverrideRecord, ProbeMessage,
};

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
