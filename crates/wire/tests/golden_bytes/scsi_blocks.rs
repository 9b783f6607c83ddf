//! SCSI command blocks and the data of responses.

use crate::Differences;
use bytes::Bytes;
use tackmast_wire::scsi;

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
