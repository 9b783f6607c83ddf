//! The peer protocol's codec: each kind of message survives a round trip within its limit, and no bytes panic.

use bytes::Bytes;
use proptest::prelude::*;
use tackmast_wire::peer::*;

fn updates(n: usize) -> Vec<MemberUpdate> {
    let one = |i: usize| MemberUpdate {
        slot: i as u32,
        generation: i as u64 * 7,
        incarnation: 3,
        health: [Health::Alive, Health::Suspect, Health::Dead, Health::Left][i % 4],
        address: if i.is_multiple_of(5) { "10.0.0.1:7" } else { "[fd00::1]:9" }.parse().unwrap(),
        site: (!i.is_multiple_of(3)).then_some(i as u32),
        suspected_by: (i % 4 == 1 && i > 1).then_some(7),
    };
    (0..n).map(one).collect()
}

fn record(text: &str) -> OverrideRecord {
    let (target, reason, who) = ("zone:1".into(), text.into(), text.into());
    let kind = OverrideKind::Weight(0.5);
    OverrideRecord {
        slot: 1,
        generation: 2,
        number: 3,
        kind,
        target,
        reason,
        who,
        remaining_ms: 4,
        total_ms: 5,
        cleared: true,
    }
}

/// Each kind of message is encoded at its largest, with as many updates as it may carry. It fits a datagram and is decoded as
/// it was.
#[test]
fn message_survives_a_round_trip_within_the_datagram_limit() {
    let long = "x".repeat(MAX_TEXT_LEN);
    for body in [
        Body::Probe(ProbeMessage::Ping { seq: 1 }),
        Body::Probe(ProbeMessage::Ack { seq: 2 }),
        Body::Probe(ProbeMessage::PingRequest { seq: 3, slot: 4 }),
        Body::Probe(ProbeMessage::Nack { seq: 3, slot: 4 }),
        Body::Probe(ProbeMessage::IndirectAck { seq: 5, slot: 6 }),
        Body::Digest { members: 7, overrides: 8 },
        Body::Gossip,
        Body::Lease(LeaseMessage::Request {
            seq: 9,
            active_seq: 10,
            lender_generation: 19,
            volume: 11,
            share: 0.25,
        }),
        Body::Lease(LeaseMessage::Grant {
            request_seq: 12,
            recipient_generation: 20,
            seq: 13,
            volume: 14,
            share: 1.0,
            term_ms: 15,
        }),
        Body::Lease(LeaseMessage::Offer { volume: 16 }),
        Body::Lease(LeaseMessage::Recall { volume: 17 }),
        Body::Lease(LeaseMessage::Returned { recipient_generation: 21, volume: 18 }),
        Body::Overrides(vec![record(&long), record("")]),
        Body::Catalog(CatalogMessage::Version { number: 22, digest_prefix: 23, remaining_ms: 24 }),
        Body::Catalog(CatalogMessage::ChunkRequest { number: 25, piece: 26 }),
        Body::Catalog(CatalogMessage::Chunk {
            number: 27,
            piece: 28,
            pieces: 29,
            bytes: Bytes::from(vec![7; MAX_PIECE]),
        }),
        Body::Consensus { bytes: Bytes::from(vec![7; MAX_PIECE]) },
        Body::ConsensusChunk { number: 30, pieces: 32, piece: 31, bytes: Bytes::from(vec![7; MAX_PIECE]) },
        Body::ConsensusChunkRequest { number: 33, piece: 34 },
        Body::EndpointList(EndpointListMessage::Version { version: 35 }),
        Body::EndpointList(EndpointListMessage::Request { version: 36 }),
        Body::EndpointList(EndpointListMessage::Removals {
            version: 37,
            removals: vec![NodeRemoval { address: "x".repeat(MAX_TARGET_LEN), gone: true }; MAX_REMOVALS],
        }),
    ] {
        let many = if matches!(
            body,
            Body::Overrides(_)
                | Body::Catalog(CatalogMessage::Chunk { .. })
                | Body::Consensus { .. }
                | Body::ConsensusChunk { .. }
                | Body::EndpointList(EndpointListMessage::Removals { .. })
        ) {
            0
        } else {
            MAX_UPDATES
        };
        let d = Datagram {
            fleet: "f".repeat(MAX_FLEET_LEN),
            sender: updates(2)[1],
            body,
            updates: updates(many),
        };
        let bytes = d.to_bytes();
        assert!(bytes.len() <= MAX_DATAGRAM_LEN, "{}: {d:?}", bytes.len());
        assert_eq!(Datagram::decode(bytes), Ok(d));
    }
}

proptest! {
    /// A peer sends arbitrary bytes, or a datagram that is cut short. The decoder does not panic, and refuses the latter.
    #[test]
    fn decoder_never_panics_and_refuses_cut_datagrams(bytes in proptest::collection::vec(any::<u8>(), 0..200), cut in 0usize..60) {
        _ = Datagram::decode(Bytes::from(bytes));
        let d = Datagram { fleet: "fleet".into(), sender: updates(1)[0], body: Body::Overrides(vec![record("why")]), updates: updates(3) };
        let whole = d.to_bytes();
        prop_assert!(Datagram::decode(whole.slice(..whole.len().saturating_sub(cut + 1))).is_err());
    }
}
