//! Damaged streams of both protocols. No input may make a session panic, accept two answers to one command, or submit a
//! write that exceeds the limit. The valid streams are those that the first client library sent, byte for byte.

use bytes::{Bytes, BytesMut};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;
use tackmast_target::{AnySession, Event, IscsiSession, NbdSession, Offer, Verdict, Work};
use tackmast_wire::iscsi::{self, op, Digests, Pdu, FINAL, READS, WRITES};
use tackmast_wire::nbd;
use tackmast_wire::scsi::{Command, Unit};

fn session(is_nbd: bool) -> AnySession {
    let offer = Arc::new(Offer {
        target_name: "iqn.test:pool".into(),
        max_segment: 8192,
        first_burst: 4096,
        max_burst: 8192,
        window: 8,
        max_command: 32 << 10,
        min_deadline_ms: 50,
        max_deadline_ms: 5000,
    });
    let unit = Unit { lun: 0, name: "museum".into(), blocks: 1000, block_bytes: 512, max_blocks: 32 };
    let units = Arc::new(vec![unit]);
    match is_nbd {
        true => AnySession::Nbd(NbdSession::new(offer, units, 1)),
        false => AnySession::Iscsi(IscsiSession::new(offer, units, 1)),
    }
}

/// Returns a login, a read, a write with immediate data, a NOP-Out and a logout.
fn iscsi_stream() -> Vec<u8> {
    let mut bytes = BytesMut::new();
    let mut send = |pdu: &Pdu| iscsi::encode(pdu, Digests::default(), &mut bytes);
    let mut login = Pdu::new(op::LOGIN | 0x40, FINAL | 1 << 2 | 3);
    login.set32(16, 1).set32(24, 1);
    login.data = iscsi::write_keys([("InitiatorName", "iqn.test:old"), ("TargetName", "iqn.test:pool")]);
    send(&login);
    for (index, (command, flags, data)) in [
        (Command::Read { block: 3, blocks: 2 }, READS, vec![]),
        (Command::Write { block: 7, blocks: 2 }, WRITES, vec![9; 1024]),
    ]
    .into_iter()
    .enumerate()
    {
        let mut pdu = Pdu::new(op::COMMAND, FINAL | flags);
        pdu.set32(16, 10 + index as u32).set32(20, 1024).set32(24, 1 + index as u32);
        pdu.head[32..].copy_from_slice(&command.to_cdb());
        pdu.data = Bytes::from(data);
        send(&pdu);
    }
    let mut nop = Pdu::new(op::NOP_OUT, FINAL);
    nop.set32(16, 20).set32(20, u32::MAX).set32(24, 3);
    send(&nop);
    let mut logout = Pdu::new(op::LOGOUT | 0x40, FINAL);
    logout.set32(16, 21).set32(24, 4);
    send(&logout);
    bytes.to_vec()
}

/// The bytes that a client of the public NBD protocol sends: flags, GO, a read, a write, a flush and a disconnect.
const PUBLIC_NBD_STREAM: &[&str] = &[
    "00000003",
    "49484156454f5054 00000007 0000000e 00000006 6d757365756d 0001 0003",
    "25609513 0000 0000 00000000000000a1 0000000000000600 00000400",
    "25609513 0001 0001 00000000000000a2 0000000000000e00 00000200 DATA",
    "25609513 0000 0003 00000000000000a3 0000000000000000 00000000",
    "25609513 0000 0002 00000000000000a4 0000000000000000 00000000",
];

fn nbd_stream() -> Vec<u8> {
    let mut bytes = Vec::new();
    for line in PUBLIC_NBD_STREAM {
        let hex: String =
            line.replace("DATA", &"5a".repeat(512)).chars().filter(|c| !c.is_whitespace()).collect();
        bytes.extend((0..hex.len() / 2).map(|i| u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).unwrap()));
    }
    bytes
}

/// The events and the amount of output of a session that was fed a stream.
struct FeedResult {
    events: Vec<Event>,
    output_bytes: usize,
}

/// Feeds the bytes to a session in pieces and answers each submitted command. A second answer must not be accepted.
fn feed(session: &mut AnySession, bytes: &[u8], piece_bytes: usize) -> FeedResult {
    let mut events = Vec::new();
    let mut output_bytes = 0;
    for piece in bytes.chunks(piece_bytes) {
        let handled = session.handle_bytes(piece);
        while let Some(event) = session.poll_event() {
            if let Event::Submit { command, work, .. } = &event {
                let data = match work {
                    Work::Read { blocks } => Bytes::from(vec![1; *blocks as usize * 512]),
                    Work::Write { data } => {
                        assert!(data.len() <= 32 << 10);
                        Bytes::new()
                    }
                };
                session.answer(*command, Verdict::Done { data });
                assert!(!session.answer(*command, Verdict::Failed), "answered twice");
            }
            events.push(event);
        }
        output_bytes += session.poll_transmit().len();
        if handled.is_err() || session.is_over() {
            break;
        }
    }
    FeedResult { events, output_bytes }
}

/// Sessions must stay compatible with the first client library: its read and its write are submitted, and its logout or
/// disconnect ends the session.
#[test]
fn streams_of_the_first_client_library_are_served() {
    for is_nbd in [false, true] {
        let bytes = if is_nbd { nbd_stream() } else { iscsi_stream() };
        let mut session = session(is_nbd);
        let FeedResult { events, output_bytes } = feed(&mut session, &bytes, 100);
        let submitted: Vec<(u64, bool)> = events
            .iter()
            .filter_map(|event| match event {
                Event::Submit { block, work, .. } => Some((*block, matches!(work, Work::Write { .. }))),
                _ => None,
            })
            .collect();
        assert_eq!(submitted, [(3, false), (7, true)], "nbd {is_nbd}");
        assert!(session.is_over() && output_bytes > 1024, "nbd {is_nbd}");
    }
}

/// The corpus of `fuzz/targets/sessions.rs` must not make a session panic. The fuzzer kept each input because it reached
/// code that no earlier input had reached.
#[test]
fn inputs_of_the_fuzzing_corpus_break_no_session() {
    let corpus = include_str!("../../../fuzz/kept/sessions.txt");
    assert!(corpus.lines().count() > 100);
    for line in corpus.lines() {
        let byte = |index: usize| u8::from_str_radix(&line[2 * index..2 * index + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len() / 2).map(byte).collect();
        let piece_bytes = 1 + usize::from(bytes[0] >> 1);
        feed(&mut session(bytes[0] & 1 == 1), &bytes[1..], piece_bytes);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Valid streams in which bytes were changed and inserted must not make a session panic.
    #[test]
    fn damaged_streams_break_no_session(
        is_nbd in any::<bool>(),
        flips in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6),
        cut in any::<prop::sample::Index>(),
        insert in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let mut bytes = if is_nbd { nbd_stream() } else { iscsi_stream() };
        for (at, byte) in flips {
            let index = at.index(bytes.len());
            bytes[index] = byte;
        }
        let at = cut.index(bytes.len());
        bytes.splice(at..at, insert);
        feed(&mut session(is_nbd), &bytes, 100);
    }

    /// Arbitrary bytes at three points of the NBD handshake, or in place of an iSCSI login, must not make a session panic.
    #[test]
    fn any_bytes_in_the_handshake_break_no_session(bytes in proptest::collection::vec(any::<u8>(), 0..600), stage in 0u8..3) {
        let mut nbd = session(true);
        let valid = nbd_stream();
        let handshake_bytes = [0, 4, 34][usize::from(stage)];
        feed(&mut nbd, &valid[..handshake_bytes], 100);
        feed(&mut nbd, &bytes, 100);
        let mut iscsi = session(false);
        feed(&mut iscsi, &bytes, 100);
        _ = nbd::read_go(&Bytes::from(bytes));
    }
}
