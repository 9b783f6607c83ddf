//! iSCSI units.

use crate::Differences;
use bytes::{Bytes, BytesMut};
use tackmast_wire::{iscsi, scsi};

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
