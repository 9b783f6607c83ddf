//! The session's state machine, driven unit by unit.

use bytes::{Bytes, BytesMut};
use std::sync::Arc;
use tackmast_target::*;
use tackmast_wire::iscsi::{self, op, Digests, Pdu, Units, FINAL, NO_TAG, READS, WRITES};
use tackmast_wire::scsi::{status, Command, Sense, Unit};

struct Client {
    session: IscsiSession,
    units: Units,
    digests: Digests,
    next: u32,
}

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
        Client { session, units: Units::new(1 << 20), digests: Digests::default(), next: 1 }
    }

    fn send(&mut self, pdu: &Pdu) -> Result<(), SessionError> {
        let mut bytes = BytesMut::new();
        iscsi::encode(pdu, self.digests, &mut bytes);
        self.session.handle_bytes(&bytes)
    }

    fn received(&mut self) -> Vec<Pdu> {
        let out = self.session.poll_transmit();
        self.units.push(&out);
        std::iter::from_fn(|| self.units.next_unit().unwrap()).collect()
    }

    fn events(&mut self) -> Vec<Event> {
        std::iter::from_fn(|| self.session.poll_event()).collect()
    }

    fn login_with(&mut self, keys: &[(&str, &str)]) -> Vec<Pdu> {
        let mut pdu = Pdu::new(op::LOGIN | 0x40, FINAL | 1 << 2 | 3);
        pdu.set32(16, 1).set32(24, self.next);
        pdu.data = iscsi::write_keys(keys.iter().copied());
        self.send(&pdu).unwrap();
        self.received()
    }

    fn logged_in(keys: &[(&str, &str)]) -> Client {
        let mut c = Client::new();
        let names = [
            ("InitiatorName", "iqn.test:me"),
            ("TargetName", "iqn.test:pool"),
            ("MaxRecvDataSegmentLength", "4096"),
        ];
        let reply = c.login_with(&[&names, keys].concat());
        assert_eq!((reply[0].head[36], reply[0].u16(14), reply[0].flags()), (0, 9, FINAL | 1 << 2 | 3));
        c
    }

    fn command(&mut self, command: Command, expected: u32, data: &[u8]) -> Result<u32, SessionError> {
        let number = self.next;
        self.next += 1;
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
        sn: u32,
        offset: u32,
        data: &[u8],
        last: bool,
    ) -> Result<(), SessionError> {
        let mut pdu = Pdu::new(op::DATA_OUT, if last { FINAL } else { 0 });
        pdu.set_lun(3).set32(16, 1000 + number).set32(20, number).set32(36, sn).set32(40, offset);
        pdu.data = Bytes::copy_from_slice(data);
        self.send(&pdu)
    }
}

fn keys(pdu: &Pdu) -> Vec<(String, String)> {
    iscsi::read_keys(&pdu.data).unwrap().into_iter().map(|key| (key.name, key.value)).collect()
}

#[test]
fn negotiation_answers_as_the_specification_says() {
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
        let mut c = Client::new();
        let all = [("InitiatorName", "iqn.test:me"), ("TargetName", "iqn.test:pool"), (key, value)];
        let reply = c.login_with(&all);
        let found = keys(&reply[0]).into_iter().find(|(k, _)| k == key).map(|(_, v)| v);
        assert_eq!(found.as_deref(), answer, "{key}={value}");
    }
}

#[test]
fn logins_that_can_not_be_are_refused_with_their_reason() {
    let me = ("InitiatorName", "iqn.test:me");
    for (name, keys, class, detail) in [
        ("no name", vec![("TargetName", "iqn.test:pool")], 2, 7),
        ("no target", vec![me], 2, 7),
        ("another target", vec![me, ("TargetName", "iqn.test:other")], 2, 3),
    ] {
        let mut c = Client::new();
        let reply = c.login_with(&keys);
        assert_eq!((reply[0].head[36], reply[0].head[37]), (class, detail), "{name}");
        assert_eq!(c.events(), [Event::Close(Ending::LoginRefused)], "{name}");
        assert!(c.session.is_over());
    }
    let mut c = Client::new();
    c.session.refuse();
    let reply = c.login_with(&[me, ("TargetName", "iqn.test:pool")]);
    assert_eq!((reply[0].head[36], reply[0].head[37]), (3, 2), "out of resources");
}

#[test]
fn a_discovery_session_names_the_target_and_serves_nothing() {
    let mut c = Client::new();
    c.login_with(&[("InitiatorName", "iqn.test:me"), ("SessionType", "Discovery")]);
    let mut pdu = Pdu::new(op::TEXT, FINAL);
    pdu.set32(16, 5).set32(20, NO_TAG).set32(24, c.next);
    pdu.data = iscsi::write_keys([("SendTargets", "All")]);
    c.send(&pdu).unwrap();
    c.next += 1;
    assert_eq!(keys(&c.received()[0]), [("TargetName".to_owned(), "iqn.test:pool".to_owned())]);
    assert!(c.command(Command::TestUnitReady, 0, &[]).is_err());
}

#[test]
fn a_write_gathers_its_data_and_is_submitted_once() {
    let data: Vec<u8> = (0..8192u32).map(|i| i as u8).collect();
    let mut c = Client::logged_in(&[]);
    let n = c.command(Command::Write { block: 5, blocks: 16 }, 8192, &data[..1024]).unwrap();
    assert_eq!(c.events(), [Event::Begun { command: n }]);
    let mut have = 1024;
    while have < 8192 {
        let asked = c.received();
        let [r2t] = asked.as_slice() else { panic!("{asked:?}") };
        assert_eq!((r2t.opcode(), r2t.u32(40) as usize), (op::R2T, have));
        let length = r2t.u32(44) as usize;
        assert!(length <= 2048, "one burst at a time");
        let half = length / 2;
        c.data_out(n, 0, have as u32, &data[have..have + half], false).unwrap();
        assert_eq!(c.events(), []);
        c.data_out(n, 1, (have + half) as u32, &data[have + half..have + length], true).unwrap();
        have += length;
    }
    let work = Work::Write { data: Bytes::from(data) };
    assert_eq!(c.events(), [Event::Submit { command: n, lun: 3, block: 5, work, deadline_ms: None }]);
    assert!(c.session.answer(n, Verdict::Done { data: Bytes::new() }));
    assert!(!c.session.answer(n, Verdict::Failed), "one answer, and no second");
    let reply = c.received();
    assert_eq!((reply.len(), reply[0].opcode(), reply[0].head[3]), (1, op::RESPONSE, status::GOOD));
}

#[test]
fn data_out_of_turn_ends_the_session_with_one_error() {
    type Break = fn(&mut Client, u32) -> Result<(), SessionError>;
    let cases: &[(&str, Break, &str)] = &[
        ("number", |c, n| c.data_out(n, 1, 0, &[0; 512], false), "data number: 1; expected 0"),
        ("offset", |c, n| c.data_out(n, 0, 512, &[0; 512], false), "data offset: 512; expected 0 to 2048"),
        ("too much", |c, n| c.data_out(n, 0, 0, &[0; 2560], true), "data offset: 0; expected 0 to 2048"),
        ("ends early", |c, n| c.data_out(n, 0, 0, &[0; 512], true), "data sequence end: 512; expected 2048"),
        (
            "again",
            |c, n| {
                c.command(Command::TestUnitReady, 0, &[]).and_then(|_| {
                    c.next = n;
                    c.command(Command::TestUnitReady, 0, &[]).map(|_| ())
                })
            },
            "",
        ),
    ];
    for (name, break_it, expected) in cases {
        let mut c = Client::logged_in(&[]);
        let n = c.command(Command::Write { block: 0, blocks: 16 }, 8192, &[]).unwrap();
        match break_it(&mut c, n) {
            Err(e) => assert_eq!(e.to_string(), *expected, "{name}"),
            // An old number lies outside the window: passed over, and noted.
            Ok(()) => assert!(c.events().iter().any(|e| matches!(e, Event::Note(_))), "{name}"),
        }
    }
}

#[test]
fn answers_have_a_form_each() {
    let mut c = Client::logged_in(&[("iSCSIProtocolLevel", "2"), ("X-org.tackmast.ExactDelay", "Yes")]);
    let read = Command::Read { block: 0, blocks: 2 };
    let n = c.command(read, 1024, &[]).unwrap();
    c.session.answer(n, Verdict::Done { data: Bytes::from(vec![7; 1024]) });
    let n = c.command(read, 1024, &[]).unwrap();
    c.session.answer(n, Verdict::Rejected { retry_after_us: 250_001 });
    let n = c.command(read, 1024, &[]).unwrap();
    c.session.answer(n, Verdict::Failed);
    let got = c.received();
    assert_eq!((got[0].opcode(), got[0].head[3], got[0].data.len()), (op::DATA_IN, status::GOOD, 1024));
    assert!(got[0].has(iscsi::STATUS_HERE));
    // Busy, three steps of 100 ms, and the time to the microsecond behind an empty sense length.
    assert_eq!((got[1].opcode(), got[1].head[3], got[1].u16(8)), (op::RESPONSE, status::BUSY, 3));
    assert_eq!(got[1].data[..], [&[0, 0][..], &250_001u32.to_be_bytes()].concat());
    assert_eq!(
        (got[2].head[3], Sense::from_segment(&got[2].data)),
        (status::CHECK_CONDITION, Some(Sense::FAILED))
    );
    let numbers: Vec<u32> = got.iter().map(|p| p.u32(24)).collect();
    assert_eq!(numbers, [numbers[0], numbers[0] + 1, numbers[0] + 2], "a status number each");
    // A client that negotiated neither still sees a plain busy.
    let mut c = Client::logged_in(&[]);
    let n = c.command(read, 1024, &[]).unwrap();
    c.session.answer(n, Verdict::Rejected { retry_after_us: 250_001 });
    let got = c.received();
    assert_eq!((got[0].head[3], got[0].u16(8), got[0].data.len()), (status::BUSY, 0, 0));
}

#[test]
fn the_window_shuts_and_opens_with_answers() {
    let mut c = Client::logged_in(&[]);
    let read = Command::Read { block: 0, blocks: 1 };
    let open: Vec<u32> = (0..WINDOW).map(|_| c.command(read, 512, &[]).unwrap()).collect();
    assert_eq!(c.events().len(), WINDOW as usize);
    c.command(read, 512, &[]).unwrap();
    assert!(
        matches!(c.events().as_slice(), [Event::Note(note)] if note.to_string().contains("outside the window"))
    );
    assert_eq!(c.session.open_commands(), WINDOW as usize, "the others are unharmed");
    c.session.answer(open[0], Verdict::Failed);
    let reply = c.received();
    assert_eq!(reply[0].u32(32), reply[0].u32(28), "room for one more");
    c.next -= 1;
    c.command(read, 512, &[]).unwrap();
    assert!(matches!(c.events().as_slice(), [Event::Submit { .. }]));
}

#[test]
fn an_aborted_task_has_no_answer() {
    let mut c = Client::logged_in(&[]);
    let n = c.command(Command::Read { block: 0, blocks: 1 }, 512, &[]).unwrap();
    c.events();
    for (tag, response) in [(1000 + n, 0), (1000 + n, 1), (4, 1)] {
        let mut pdu = Pdu::new(op::TASK | 0x40, FINAL | 1);
        pdu.set32(16, 77).set32(20, tag).set32(24, c.next);
        c.send(&pdu).unwrap();
        assert_eq!(c.received()[0].head[2], response, "task {tag}");
    }
    assert_eq!(c.events(), [Event::Abort { command: n }]);
    assert!(!c.session.answer(n, Verdict::Done { data: Bytes::new() }));
    assert!(c.received().is_empty());
}

#[test]
fn reads_larger_than_a_segment_come_in_order() {
    let mut c = Client::logged_in(&[]);
    let data: Vec<u8> = (0..16384u32).map(|i| (i / 7) as u8).collect();
    let n = c.command(Command::Read { block: 0, blocks: 32 }, 16384, &[]).unwrap();
    c.session.answer(n, Verdict::Done { data: Bytes::from(data.clone()) });
    let got = c.received();
    assert_eq!(got.len(), 4);
    let whole: Vec<u8> = got.iter().flat_map(|p| p.data.to_vec()).collect();
    assert_eq!(whole, data);
    assert!(got.iter().enumerate().all(|(i, p)| p.u32(36) == i as u32 && p.u32(40) == i as u32 * 4096));
    assert!(got[3].has(iscsi::STATUS_HERE) && got[..3].iter().all(|p| !p.has(iscsi::STATUS_HERE)));
}

#[test]
fn logout_nop_and_what_is_not_served() {
    let mut c = Client::logged_in(&[]);
    let mut nop = Pdu::new(op::NOP_OUT, FINAL);
    nop.set32(16, 8).set32(20, NO_TAG).set32(24, c.next);
    nop.data = Bytes::from_static(b"there?");
    c.send(&nop).unwrap();
    c.next += 1;
    let reply = c.received();
    assert_eq!((reply[0].opcode(), reply[0].tag(), &reply[0].data[..]), (op::NOP_IN, 8, &b"there?"[..]));
    let mut odd = Pdu::new(0x10, FINAL);
    odd.set32(24, c.next);
    c.send(&odd).unwrap();
    c.next += 1;
    assert_eq!((c.received()[0].opcode(), c.events().len()), (op::REJECT, 1));
    let mut out = Pdu::new(op::LOGOUT | 0x40, FINAL);
    out.set32(16, 9).set32(24, c.next);
    c.send(&out).unwrap();
    assert_eq!(c.received()[0].opcode(), op::LOGOUT_RESPONSE);
    assert_eq!(c.events(), [Event::Close(Ending::Logout)]);
    assert!(c.session.is_over());
}
