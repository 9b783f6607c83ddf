//! The state machine of an iSCSI session, driven PDU by PDU.

use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use tackmast_target::*;
use tackmast_wire::iscsi::{self, op, Digests, Pdu, Units, FINAL, NO_TAG, READS, WRITES};
use tackmast_wire::scsi::{status, Command, Sense, Unit};

/// A client that encodes and decodes PDUs and keeps the command numbers.
struct Client {
    session: IscsiSession,
    units: Units,
    digests: Digests,
    next_command: u32,
}

/// The number of commands that may be open.
const WINDOW: u32 = 4;

fn offer() -> Offer {
    Offer {
        target_name: "iqn.test:pool".into(),
        max_segment: 4096,
        first_burst: 1024,
        max_burst: 2048,
        window: WINDOW,
        max_command: 64 << 10,
        min_deadline_ms: 50,
        max_deadline_ms: 5000,
    }
}

impl Client {
    fn new() -> Client {
        let unit = Unit { lun: 3, name: "v".into(), blocks: 1000, block_bytes: 512, max_blocks: 32 };
        let session = IscsiSession::new(Arc::new(offer()), Arc::new(vec![unit]), 9);
        Client { session, units: Units::new(1 << 20), digests: Digests::default(), next_command: 1 }
    }

    fn send(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        let mut bytes = BytesMut::new();
        iscsi::encode(pdu, self.digests, &mut bytes);
        self.session.handle_bytes(&bytes)
    }

    fn receive(&mut self) -> Vec<Pdu> {
        let bytes = self.session.poll_transmit();
        self.units.push(&bytes);
        std::iter::from_fn(|| self.units.next_unit().unwrap()).collect()
    }

    fn events(&mut self) -> Vec<Event> {
        std::iter::from_fn(|| self.session.poll_event()).collect()
    }

    fn login_with(&mut self, keys: &[(&str, &str)]) -> Vec<Pdu> {
        let mut pdu = Pdu::new(op::LOGIN | 0x40, FINAL | 1 << 2 | 3);
        pdu.set32(16, 1).set32(24, self.next_command);
        pdu.data = iscsi::write_keys(keys.iter().copied());
        self.send(&pdu).unwrap();
        self.receive()
    }

    fn logged_in(keys: &[(&str, &str)]) -> Client {
        let mut client = Client::new();
        let names = [
            ("InitiatorName", "iqn.test:me"),
            ("TargetName", "iqn.test:pool"),
            ("MaxRecvDataSegmentLength", "4096"),
        ];
        let reply = client.login_with(&[&names, keys].concat());
        assert_eq!((reply[0].head[36], reply[0].u16(14), reply[0].flags()), (0, 9, FINAL | 1 << 2 | 3));
        client
    }

    fn command(&mut self, command: Command, expected: u32, data: &[u8]) -> Result<u32, SessionError> {
        let number = self.next_command;
        self.next_command += 1;
        let direction = if matches!(command, Command::Write { .. }) { WRITES } else { READS };
        let mut pdu = Pdu::new(op::COMMAND, FINAL | direction);
        pdu.set_lun(3).set32(16, 1000 + number).set32(20, expected).set32(24, number);
        pdu.head[32..].copy_from_slice(&command.to_cdb());
        pdu.data = Bytes::copy_from_slice(data);
        self.send(&pdu).map(|()| number)
    }

    fn data_out(
        &mut self,
        number: u32,
        data_number: u32,
        offset: u32,
        data: &[u8],
        is_last: bool,
    ) -> Result<(), SessionError> {
        let mut pdu = Pdu::new(op::DATA_OUT, if is_last { FINAL } else { 0 });
        pdu.set_lun(3).set32(16, 1000 + number).set32(20, number).set32(36, data_number).set32(40, offset);
        pdu.data = Bytes::copy_from_slice(data);
        self.send(&pdu)
    }
}

fn text_keys(pdu: &Pdu) -> Vec<(String, String)> {
    iscsi::read_keys(&pdu.data).unwrap().into_iter().map(|key| (key.name, key.value)).collect()
}

/// A client offers keys with values that are valid, too large, too small or unknown. Each answer must be the one that RFC
/// 7143 requires.
#[test]
fn each_key_gets_the_answer_that_the_rfc_requires() {
    for (key, value, answer) in [
        ("HeaderDigest", "CRC32C,None", Some("CRC32C")),
        ("DataDigest", "None", Some("None")),
        ("HeaderDigest", "X-other", Some("Reject")),
        ("FirstBurstLength", "65536", Some("1024")),
        ("FirstBurstLength", "600", Some("600")),
        ("MaxBurstLength", "100", Some("Reject")),
        ("ImmediateData", "No", Some("No")),
        ("InitialR2T", "No", Some("Yes")),
        ("MaxConnections", "8", Some("1")),
        ("ErrorRecoveryLevel", "2", Some("0")),
        ("InitiatorAlias", "me", None),
        ("X-org.tackmast.ExpiryMs", "300", Some("300")),
        ("X-org.tackmast.ExpiryMs", "10", Some("50")),
        ("X-org.tackmast.ExpiryMs", "soon", Some("Reject")),
        ("X-com.example.Other", "1", Some("NotUnderstood")),
    ] {
        let mut client = Client::new();
        let keys = [("InitiatorName", "iqn.test:me"), ("TargetName", "iqn.test:pool"), (key, value)];
        let reply = client.login_with(&keys);
        let answers = text_keys(&reply[0]);
        let found = answers.into_iter().find(|(name, _)| name == key).map(|(_, value)| value);
        assert_eq!(found.as_deref(), answer, "{key}={value}");
    }
}

/// A login without an initiator name, without a target or with an unknown target, or to a host that has reached its limit
/// of sessions, must be refused with the status of its reason and end the session.
#[test]
fn login_is_refused_with_its_reason() {
    let initiator = ("InitiatorName", "iqn.test:me");
    for (name, keys, class, detail) in [
        ("no name", vec![("TargetName", "iqn.test:pool")], 2, 7),
        ("no target", vec![initiator], 2, 7),
        ("another target", vec![initiator, ("TargetName", "iqn.test:other")], 2, 3),
    ] {
        let mut client = Client::new();
        let reply = client.login_with(&keys);
        assert_eq!((reply[0].head[36], reply[0].head[37]), (class, detail), "{name}");
        assert_eq!(client.events(), [Event::Close(Ending::LoginRefused)], "{name}");
        assert!(client.session.is_over());
    }
    let mut client = Client::new();
    client.session.refuse();
    let reply = client.login_with(&[initiator, ("TargetName", "iqn.test:pool")]);
    assert_eq!((reply[0].head[36], reply[0].head[37]), (3, 2), "out of resources");
}

/// A discovery session that asks for the targets must get the target's name. A SCSI command in it must end the session
/// with an error.
#[test]
fn discovery_session_names_the_target_and_serves_no_command() {
    let mut client = Client::new();
    client.login_with(&[("InitiatorName", "iqn.test:me"), ("SessionType", "Discovery")]);
    let mut pdu = Pdu::new(op::TEXT, FINAL);
    pdu.set32(16, 5).set32(20, NO_TAG).set32(24, client.next_command);
    pdu.data = iscsi::write_keys([("SendTargets", "All")]);
    client.send(&pdu).unwrap();
    client.next_command += 1;
    assert_eq!(text_keys(&client.receive()[0]), [("TargetName".to_owned(), "iqn.test:pool".to_owned())]);
    assert!(client.command(Command::TestUnitReady, 0, &[]).is_err());
}

/// A write carries only a part of its data as immediate data. The rest must be solicited one burst at a time, the command
/// must be submitted once with all of its data, and a second answer must not be accepted.
#[test]
fn write_is_submitted_once_when_all_its_data_is_received() {
    let data: Vec<u8> = (0..8192u32).map(|i| i as u8).collect();
    let mut client = Client::logged_in(&[]);
    let number = client.command(Command::Write { block: 5, blocks: 16 }, 8192, &data[..1024]).unwrap();
    assert_eq!(client.events(), [Event::Begun { command: number }]);
    let mut sent = 1024;
    while sent < 8192 {
        let solicitations = client.receive();
        let [r2t] = solicitations.as_slice() else { panic!("{solicitations:?}") };
        assert_eq!((r2t.opcode(), r2t.u32(40) as usize), (op::R2T, sent));
        let length = r2t.u32(44) as usize;
        assert!(length <= 2048, "more than one burst");
        let half = length / 2;
        client.data_out(number, 0, sent as u32, &data[sent..sent + half], false).unwrap();
        assert_eq!(client.events(), []);
        client.data_out(number, 1, (sent + half) as u32, &data[sent + half..sent + length], true).unwrap();
        sent += length;
    }
    let work = Work::Write { data: Bytes::from(data) };
    assert_eq!(
        client.events(),
        [Event::Submit { command: number, lun: 3, block: 5, work, deadline_ms: None }]
    );
    assert!(client.session.answer(number, Verdict::Done { data: Bytes::new() }));
    assert!(!client.session.answer(number, Verdict::Failed), "a second answer was accepted");
    let reply = client.receive();
    assert_eq!((reply.len(), reply[0].opcode(), reply[0].head[3]), (1, op::RESPONSE, status::GOOD));
}

/// Data of a write that has a wrong number or offset, exceeds the burst or ends early must end the session with an error
/// that names the value. A command with an old number is outside the window, and must be ignored and noted.
#[test]
fn data_out_of_order_ends_the_session_with_one_error() {
    type Violation = fn(&mut Client, u32) -> Result<(), SessionError>;
    let cases: &[(&str, Violation, &str)] = &[
        (
            "wrong number",
            |client, number| client.data_out(number, 1, 0, &[0; 512], false),
            "data number: 1; expected 0",
        ),
        (
            "wrong offset",
            |client, number| client.data_out(number, 0, 512, &[0; 512], false),
            "data offset: 512; expected 0 to 2048",
        ),
        (
            "too much",
            |client, number| client.data_out(number, 0, 0, &[0; 2560], true),
            "data offset: 0; expected 0 to 2048",
        ),
        (
            "ends early",
            |client, number| client.data_out(number, 0, 0, &[0; 512], true),
            "data sequence end: 512; expected 2048",
        ),
        (
            "old command number",
            |client, number| {
                client.command(Command::TestUnitReady, 0, &[]).and_then(|_| {
                    client.next_command = number;
                    client.command(Command::TestUnitReady, 0, &[]).map(|_| ())
                })
            },
            "",
        ),
    ];
    for (name, violate, expected) in cases {
        let mut client = Client::logged_in(&[]);
        let number = client.command(Command::Write { block: 0, blocks: 16 }, 8192, &[]).unwrap();
        match violate(&mut client, number) {
            Err(error) => assert_eq!(error.to_string(), *expected, "{name}"),
            // A command with an old number is ignored and noted.
            Ok(()) => assert!(client.events().iter().any(|event| matches!(event, Event::Note(_))), "{name}"),
        }
    }
}

/// Reads that are done, rejected and failed must get distinct responses with consecutive status numbers. Only a client
/// that negotiated it may receive the retry-after.
#[test]
fn each_verdict_has_its_own_response() {
    let mut client = Client::logged_in(&[("iSCSIProtocolLevel", "2"), ("X-org.tackmast.ExactDelay", "Yes")]);
    let read = Command::Read { block: 0, blocks: 2 };
    let number = client.command(read, 1024, &[]).unwrap();
    client.session.answer(number, Verdict::Done { data: Bytes::from(vec![7; 1024]) });
    let number = client.command(read, 1024, &[]).unwrap();
    client.session.answer(number, Verdict::Rejected { retry_after_us: 250_001 });
    let number = client.command(read, 1024, &[]).unwrap();
    client.session.answer(number, Verdict::Failed);
    let received = client.receive();
    assert_eq!(
        (received[0].opcode(), received[0].head[3], received[0].data.len()),
        (op::DATA_IN, status::GOOD, 1024)
    );
    assert!(received[0].has(iscsi::STATUS_HERE));
    // Busy, a qualifier of three steps of 100 ms, and data with a sense length of 0 and the retry-after in microseconds.
    assert_eq!(
        (received[1].opcode(), received[1].head[3], received[1].u16(8)),
        (op::RESPONSE, status::BUSY, 3)
    );
    assert_eq!(received[1].data[..], [&[0, 0][..], &250_001u32.to_be_bytes()].concat());
    assert_eq!(
        (received[2].head[3], Sense::from_segment(&received[2].data)),
        (status::CHECK_CONDITION, Some(Sense::FAILED))
    );
    let numbers: Vec<u32> = received.iter().map(|pdu| pdu.u32(24)).collect();
    assert_eq!(numbers, [numbers[0], numbers[0] + 1, numbers[0] + 2], "status numbers are not consecutive");
    // A client that negotiated neither the protocol level nor the vendor key receives only the busy status.
    let mut client = Client::logged_in(&[]);
    let number = client.command(read, 1024, &[]).unwrap();
    client.session.answer(number, Verdict::Rejected { retry_after_us: 250_001 });
    let received = client.receive();
    assert_eq!((received[0].head[3], received[0].u16(8), received[0].data.len()), (status::BUSY, 0, 0));
}

/// A command that a client sends beyond its full window must be ignored and noted. Once another command is answered, the
/// same command must be accepted.
#[test]
fn window_closes_when_full_and_opens_with_an_answer() {
    let mut client = Client::logged_in(&[]);
    let read = Command::Read { block: 0, blocks: 1 };
    let open: Vec<u32> = (0..WINDOW).map(|_| client.command(read, 512, &[]).unwrap()).collect();
    assert_eq!(client.events().len(), WINDOW as usize);
    client.command(read, 512, &[]).unwrap();
    assert!(
        matches!(client.events().as_slice(), [Event::Note(note)] if note.to_string().contains("outside the window"))
    );
    assert_eq!(client.session.open_commands(), WINDOW as usize, "the commands in the window");
    client.session.answer(open[0], Verdict::Failed);
    let reply = client.receive();
    assert_eq!(reply[0].u32(32), reply[0].u32(28), "the window has not opened by one");
    client.next_command -= 1;
    client.command(read, 512, &[]).unwrap();
    assert!(matches!(client.events().as_slice(), [Event::Submit { .. }]));
}

/// A client aborts a read twice, and a task that never existed. Only the first abort may reach the host, and the read must
/// not be answered.
#[test]
fn aborted_task_is_not_answered() {
    let mut client = Client::logged_in(&[]);
    let number = client.command(Command::Read { block: 0, blocks: 1 }, 512, &[]).unwrap();
    client.events();
    for (tag, response) in [(1000 + number, 0), (1000 + number, 1), (4, 1)] {
        let mut pdu = Pdu::new(op::TASK | 0x40, FINAL | 1);
        pdu.set32(16, 77).set32(20, tag).set32(24, client.next_command);
        client.send(&pdu).unwrap();
        assert_eq!(client.receive()[0].head[2], response, "task {tag}");
    }
    assert_eq!(client.events(), [Event::Abort { command: number }]);
    assert!(!client.session.answer(number, Verdict::Done { data: Bytes::new() }));
    assert!(client.receive().is_empty());
}

/// The data of a read that fills four segments must be sent in order, with the status in the last PDU.
#[test]
fn read_larger_than_a_segment_is_sent_in_order() {
    let mut client = Client::logged_in(&[]);
    let data: Vec<u8> = (0..16384u32).map(|i| (i / 7) as u8).collect();
    let number = client.command(Command::Read { block: 0, blocks: 32 }, 16384, &[]).unwrap();
    client.session.answer(number, Verdict::Done { data: Bytes::from(data.clone()) });
    let received = client.receive();
    assert_eq!(received.len(), 4);
    let whole: Vec<u8> = received.iter().flat_map(|pdu| pdu.data.to_vec()).collect();
    assert_eq!(whole, data);
    assert!(received
        .iter()
        .enumerate()
        .all(|(index, pdu)| pdu.u32(36) == index as u32 && pdu.u32(40) == index as u32 * 4096));
    assert!(
        received[3].has(iscsi::STATUS_HERE) && received[..3].iter().all(|pdu| !pdu.has(iscsi::STATUS_HERE))
    );
}

/// A NOP-Out must be answered with its data, an unknown operation must be rejected and noted, and a logout must end the
/// session.
#[test]
fn nop_out_unknown_operation_and_logout_are_answered() {
    let mut client = Client::logged_in(&[]);
    let mut nop = Pdu::new(op::NOP_OUT, FINAL);
    nop.set32(16, 8).set32(20, NO_TAG).set32(24, client.next_command);
    nop.data = Bytes::from_static(b"there?");
    client.send(&nop).unwrap();
    client.next_command += 1;
    let reply = client.receive();
    assert_eq!((reply[0].opcode(), reply[0].tag(), &reply[0].data[..]), (op::NOP_IN, 8, &b"there?"[..]));
    let mut unknown = Pdu::new(0x10, FINAL);
    unknown.set32(24, client.next_command);
    client.send(&unknown).unwrap();
    client.next_command += 1;
    assert_eq!((client.receive()[0].opcode(), client.events().len()), (op::REJECT, 1));
    let mut logout = Pdu::new(op::LOGOUT | 0x40, FINAL);
    logout.set32(16, 9).set32(24, client.next_command);
    client.send(&logout).unwrap();
    assert_eq!(client.receive()[0].opcode(), op::LOGOUT_RESPONSE);
    assert_eq!(client.events(), [Event::Close(Ending::Logout)]);
    assert!(client.session.is_over());
}
