//! Values come back as they went, however the bytes are cut; no bytes panic, or make a reader keep more than it may.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tackmast_wire::iscsi::{self, Digests, Pdu, Units};
use tackmast_wire::list::{self, Entry, State};
use tackmast_wire::nbd;
use tackmast_wire::node::{self, Answer, Frame, NodeOutcome, Origin, SendAttempt, Work};
use tackmast_wire::scsi::{Command, Sense};

const MAX: usize = 4096;

fn data() -> impl Strategy<Value = Bytes> {
    proptest::collection::vec(any::<u8>(), 0..MAX).prop_map(Bytes::from)
}

fn attempt() -> impl Strategy<Value = Frame> {
    let work = prop_oneof![
        any::<u32>().prop_map(|length| Work::Read { length }),
        data().prop_map(|data| Work::Write { data })
    ];
    let origin = (any::<u32>(), any::<u32>(), any::<u16>()).prop_map(|(session, command, part)| Origin {
        session,
        command,
        part,
    });
    let first = (any::<u64>(), any::<u64>(), any::<u8>(), origin, any::<u64>(), any::<u32>());
    let second = (any::<u128>(), any::<u64>(), any::<u32>(), any::<u64>(), 0f32..1e9, work);
    (first, second).prop_map(
        |(
            (attempt, request, attempt_number, origin, sent_us, left_us),
            (idempotency_key, key, volume, offset, units, work),
        )| {
            Frame::Send(SendAttempt {
                attempt,
                request,
                attempt_number,
                origin,
                sent_us,
                left_us,
                idempotency_key,
                key,
                volume,
                offset,
                units,
                work,
            })
        },
    )
}

fn node_frame() -> impl Strategy<Value = Frame> {
    let outcome = prop_oneof![
        Just(NodeOutcome::Done),
        Just(NodeOutcome::Error),
        Just(NodeOutcome::Full),
        Just(NodeOutcome::NotHere)
    ];
    let answer = (any::<u64>(), outcome, any::<u32>(), 0f32..1e9, data());
    prop_oneof![
        attempt(),
        answer.prop_map(|(attempt, outcome, waiting, elsewhere, data)| {
            Frame::Answer(Answer { attempt, outcome, waiting, elsewhere, data })
        }),
        (any::<u16>(), any::<u32>(), any::<u64>(), any::<u64>()).prop_map(
            |(version, host, generation, sent_us)| Frame::HostHello { version, host, generation, sent_us }
        ),
        (any::<u16>(), any::<u32>(), any::<u32>(), any::<u64>(), any::<u64>()).prop_map(
            |(version, shard, zone, started_us, up_us)| {
                Frame::NodeHello { version, shard, zone, started_us, up_us }
            }
        ),
        any::<u64>().prop_map(|attempt| Frame::Cancel { attempt }),
        any::<u64>().prop_map(|number| Frame::Ping { number }),
        any::<u64>().prop_map(|number| Frame::Pong { number }),
    ]
}

fn list_frame() -> impl Strategy<Value = list::Frame> {
    let state = prop_oneof![Just(State::Ready), Just(State::Draining), Just(State::Gone)];
    let entry = ("[ -~]{0,255}", state, any::<u32>(), any::<u32>(), any::<u64>()).prop_map(
        |(address, state, zone, shard, started_us)| Entry { address, state, zone, shard, started_us },
    );
    let entries = proptest::collection::vec(entry, 0..20);
    prop_oneof![
        (any::<u16>(), any::<u32>(), any::<u64>()).prop_map(|(version, host, since)| list::Frame::Follow {
            version,
            host,
            since
        }),
        (any::<u16>(), any::<u32>()).prop_map(|(version, host)| list::Frame::Fetch { version, host }),
        (any::<u64>(), any::<u64>(), any::<u64>(), entries.clone())
            .prop_map(|(from, to, sent_us, entries)| list::Frame::Changes { from, to, sent_us, entries }),
        (any::<u64>(), any::<u64>(), entries).prop_map(|(to, sent_us, entries)| list::Frame::Complete {
            to,
            sent_us,
            entries
        }),
        Just(list::Frame::Failed),
    ]
}

fn pdu() -> impl Strategy<Value = Pdu> {
    (any::<[u8; 48]>(), data(), proptest::collection::vec(any::<[u8; 4]>(), 0..20)).prop_map(
        |(mut head, data, further)| {
            head[4] = further.len() as u8;
            let further = Bytes::from(further.concat());
            head[5..8].copy_from_slice(&(data.len() as u32).to_be_bytes()[1..]);
            Pdu { head, further, data }
        },
    )
}

/// Feeds the bytes in pieces of these sizes, in turn.
fn in_pieces(bytes: &[u8], cuts: &[usize], mut feed: impl FnMut(&[u8])) {
    let mut rest = bytes;
    let mut sizes = cuts.iter().cycle();
    while !rest.is_empty() {
        let n = sizes.next().copied().unwrap_or(1).clamp(1, rest.len());
        feed(&rest[..n]);
        rest = &rest[n..];
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Frames of the node protocol are sent and received in pieces of any size, as a socket delivers them. Each is decoded as
    /// it was.
    #[test]
    fn node_frames_survive_a_round_trip(sent in proptest::collection::vec(node_frame(), 1..5), cuts in proptest::collection::vec(1usize..300, 1..8)) {
        let mut bytes = BytesMut::new();
        sent.iter().for_each(|f| f.encode(&mut bytes));
        let mut frames = node::frames(MAX);
        let mut found = Vec::new();
        in_pieces(&bytes, &cuts, |piece| {
            frames.push(piece);
            while let Some(f) = node::next(&mut frames).unwrap() {
                found.push(f);
            }
        });
        prop_assert_eq!(found, sent);
        prop_assert_eq!(frames.partial(), 0);
    }

    /// Frames of the list protocol are received in pieces of any size. Each is decoded as it was.
    #[test]
    fn list_frames_survive_a_round_trip(sent in proptest::collection::vec(list_frame(), 1..5), cuts in proptest::collection::vec(1usize..300, 1..8)) {
        let bytes: Vec<u8> = sent.iter().flat_map(|f| f.to_bytes().to_vec()).collect();
        let mut frames = list::frames();
        let mut found = Vec::new();
        in_pieces(&bytes, &cuts, |piece| {
            frames.push(piece);
            while let Some(f) = list::next(&mut frames).unwrap() {
                found.push(f);
            }
        });
        prop_assert_eq!(found, sent);
    }

    /// iSCSI units with and without digests are received in pieces of any size. Each is decoded as it was.
    #[test]
    fn iscsi_units_survive_a_round_trip(sent in proptest::collection::vec(pdu(), 1..5), header in any::<bool>(), data in any::<bool>(), cuts in proptest::collection::vec(1usize..300, 1..8)) {
        let digests = Digests { header, data };
        let mut bytes = BytesMut::new();
        sent.iter().for_each(|p| iscsi::encode(p, digests, &mut bytes));
        let mut units = Units::new(MAX);
        units.digests = digests;
        let mut found = Vec::new();
        in_pieces(&bytes, &cuts, |piece| {
            units.push(piece);
            while let Some(p) = units.next_unit().unwrap() {
                found.push(p);
            }
        });
        prop_assert_eq!(found, sent);
    }

    /// One bit of an iSCSI unit is flipped on its way. With digests the unit must never be taken for a whole one.
    #[test]
    fn digests_find_a_flipped_bit(sent in pdu(), at in any::<prop::sample::Index>(), bit in 0u8..8) {
        prop_assume!(!sent.data.is_empty());
        let digests = Digests { header: true, data: true };
        let mut bytes = BytesMut::new();
        iscsi::encode(&sent, digests, &mut bytes);
        let i = at.index(bytes.len());
        // The lengths say where digests stand, so a flip there may leave the unit waiting for more; that is no
        // false unit either.
        bytes[i] ^= 1 << bit;
        let mut units = Units::new(MAX);
        units.digests = digests;
        units.push(&bytes);
        if let Ok(Some(found)) = units.next_unit() {
            prop_assert!(false, "a damaged unit passed: {found:?}");
        }
    }

    /// A peer sends arbitrary bytes. No decoder panics, or keeps more data than its bound.
    #[test]
    fn decoders_never_panic_or_exceed_their_bounds(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let all = Bytes::from(bytes.clone());
        _ = Frame::decode(all.clone());
        _ = list::Frame::decode(all.clone());
        _ = iscsi::read_keys(&all);
        _ = Sense::from_segment(&all);
        let mut frames = node::frames(MAX);
        frames.push(&bytes);
        while let Ok(Some(_)) = node::next(&mut frames) {}
        let mut units = Units::new(MAX);
        units.push(&bytes);
        while let Ok(Some(u)) = units.next_unit() {
            prop_assert!(u.data.len() <= MAX);
            _ = u.deadline();
        }
        if let Some(cdb) = bytes.first_chunk::<16>() {
            _ = Command::parse(cdb);
        }
    }

    /// A deadline is carried by an additional header of an iSCSI unit. It is found alone and behind a header of another type.
    #[test]
    fn deadline_is_found_among_other_headers(us in any::<u64>(), other in proptest::collection::vec(any::<u8>(), 0..30)) {
        let mut pdu = Pdu::new(1, 0);
        pdu.set_deadline(us);
        prop_assert_eq!(pdu.deadline(), Some(us));
        // Behind a header of another type, padded as the specification says.
        let mut further = vec![0, other.len() as u8 + 1, 1, 0];
        further.extend_from_slice(&other);
        further.resize(further.len().next_multiple_of(4), 0);
        further.extend_from_slice(&pdu.further);
        pdu.further = Bytes::from(further);
        prop_assert_eq!(pdu.deadline(), Some(us));
    }

    /// NBD options, requests and replies are received in pieces of any size. Each is decoded as it was.
    #[test]
    fn nbd_units_survive_a_round_trip(flags in any::<u16>(), cookie in any::<u64>(), offset in any::<u64>(), deadline in any::<Option<u64>>(), data in data(), cuts in proptest::collection::vec(1usize..300, 1..8)) {
        let request = nbd::Request { flags: flags & !nbd::flag::DEADLINE, kind: nbd::command::WRITE, cookie, offset, length: data.len() as u32, deadline_us: deadline };
        let mut bytes = BytesMut::new();
        nbd::option(nbd::option::GO, &nbd::write_go("v", &[3]), &mut bytes);
        let options = bytes.len();
        request.encode(&mut bytes);
        bytes.extend_from_slice(&data);
        let mut units = nbd::ClientUnits::new(MAX as u32);
        units.stage = nbd::Stage::Options;
        let mut found = Vec::new();
        let (first, second) = bytes.split_at(options);
        for part in [first, second] {
            in_pieces(part, &cuts, |piece| {
                units.push(piece);
                while let Some(u) = units.next_unit().unwrap() {
                    found.push(u);
                }
            });
            units.stage = nbd::Stage::Transmission;
        }
        prop_assert_eq!(&found[1], &nbd::ClientUnit::Request { request, data: data.clone() });
        for reply in [
            nbd::Reply::Simple { cookie, error: 0, data: data.clone() },
            nbd::Reply::Chunk { cookie, flags, kind: nbd::chunk::OFFSET_DATA, data: data.clone() },
        ] {
            let mut bytes = BytesMut::new();
            reply.encode(&mut bytes);
            let mut units = nbd::ServerUnits::new(MAX as u32);
            units.stage = nbd::Stage::Transmission;
            let mut found = None;
            in_pieces(&bytes, &cuts, |piece| {
                units.push(piece);
                found = units.next_unit(|_| data.len()).unwrap();
            });
            prop_assert_eq!(found, Some(nbd::ServerUnit::Reply(reply)));
        }
    }

    /// A peer sends arbitrary bytes in each stage of an NBD session. No decoder panics.
    #[test]
    fn nbd_decoders_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..500)) {
        for stage in [nbd::Stage::Flags, nbd::Stage::Options, nbd::Stage::Transmission] {
            let mut client = nbd::ClientUnits::new(MAX as u32);
            let mut server = nbd::ServerUnits::new(MAX as u32);
            (client.stage, server.stage) = (stage, stage);
            client.push(&bytes);
            server.push(&bytes);
            while let Ok(Some(_)) = client.next_unit() {}
            while let Ok(Some(_)) = server.next_unit(|_| 0) {}
        }
        let all = Bytes::from(bytes);
        _ = nbd::read_go(&all);
        _ = nbd::read_error(&all);
        _ = nbd::read_version(&all);
    }

    /// Each SCSI command is written as a command block and parsed again.
    #[test]
    fn scsi_commands_survive_a_round_trip(block in any::<u64>(), blocks in any::<u32>(), allocation_length in any::<u16>(), page in any::<Option<u8>>()) {
        let allocation_length = u32::from(allocation_length);
        for c in [
            Command::Read { block, blocks },
            Command::Write { block, blocks },
            Command::Inquiry { page, allocation_length },
            Command::ReportLuns { allocation_length },
            Command::ReadCapacity10,
            Command::ReadCapacity16 { allocation_length },
            Command::ModeSense { long: true, allocation_length },
            Command::ModeSense { long: false, allocation_length: allocation_length & 0xff },
            Command::RequestSense { allocation_length: allocation_length & 0xff },
            Command::TestUnitReady,
            Command::Synchronize,
        ] {
            prop_assert_eq!(Command::parse(&c.to_cdb()), Ok(c));
        }
    }
}

/// A peer sends a frame that is too long, of an unknown kind, with trailing bytes, or cut short. The error names the field,
/// what was found and what was expected.
#[test]
fn refused_frames_are_named_in_the_error() {
    let encoded = Frame::Ping { number: 1 }.to_bytes();
    let long = [&[0xff, 0xff, 0xff, 0xff], &encoded[4..]].concat();
    let bad_kind = [&[0, 0, 0, 1], &[9u8][..]].concat();
    let trailing = [&[0, 0, 0, 10], &encoded[4..], &[0][..]].concat();
    let short = [&[0, 0, 0, 5], &encoded[4..9]].concat();
    for (name, bytes, expected) in [
        ("over-long", long, "frame length: 4294967295 bytes; at most 4224 are taken"),
        ("unknown kind", bad_kind, "kind: 9; expected a frame kind from 1 to 7"),
        ("bytes behind", trailing, "frame: 1; expected no bytes after the last field"),
        ("ends early", short, "ping: the frame ends 4 bytes early"),
    ] {
        let mut frames = node::frames(MAX);
        frames.push(&bytes);
        let found = node::next(&mut frames).unwrap_err().to_string();
        let expected = expected.replace("ping", "number");
        assert_eq!(found, expected, "{name}");
    }
}

/// The digests of the examples in RFC 7143 are as printed there.
#[test]
fn crc32c_matches_the_specification() {
    // RFC 7143, appendix A.4: 32 bytes of zeroes, of ones, and counting up.
    let counting: Vec<u8> = (0..32).collect();
    for (bytes, sum) in [
        (vec![0; 32], [0xaa, 0x36, 0x91, 0x8a]),
        (vec![0xff; 32], [0x43, 0xab, 0xa8, 0x62]),
        (counting, [0x4e, 0x79, 0xdd, 0x46]),
    ] {
        assert_eq!(crc32c::crc32c(&bytes).to_le_bytes(), sum);
    }
}

/// Inputs that a fuzzer kept: `fuzz/targets/frames.rs` made them.
#[test]
fn what_the_fuzzer_kept_decodes_to_what_it_encodes_to() {
    let kept = include_str!("../../../fuzz/kept/frames.txt");
    let mut decoded = 0;
    for line in kept.lines() {
        let byte = |i: usize| u8::from_str_radix(&line[2 * i..2 * i + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len() / 2).map(byte).collect();
        let body = Bytes::copy_from_slice(&bytes[1..]);
        if let (0, Ok(frame)) = (bytes[0] & 1, node::Frame::decode(body.clone())) {
            assert_eq!(node::Frame::decode(frame.to_bytes().slice(4..)).as_ref(), Ok(&frame));
            decoded += 1;
        }
        if let (1, Ok(frame)) = (bytes[0] & 1, list::Frame::decode(body)) {
            assert_eq!(list::Frame::decode(frame.to_bytes().slice(4..)).as_ref(), Ok(&frame));
            decoded += 1;
        }
    }
    assert!(decoded > 10, "{decoded}");
}
