//! NBD units of clients and servers.

use crate::Differences;
use bytes::{Bytes, BytesMut};
use tackmast_wire::nbd;

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
