//! Tests of misbehaving clients. An upload that ends early must write nothing, and a client that never reads must not delay others.

mod common;

use bytes::BytesMut;
use common::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use tackmast_emulators::initiator::Reply;
use tackmast_emulators::model::NodeBehavior;
use tackmast_wire::iscsi::{op, Digests, Pdu, FINAL, WRITES};
use tackmast_wire::nbd;
use tackmast_wire::scsi::Command;

/// Returns a behavior of nodes that adds little to the duration of a command.
fn fast_nodes() -> NodeBehavior {
    NodeBehavior { unit_s: 0.0002, ..NodeBehavior::default() }
}

/// Opens an NBD connection to a volume and completes its handshake.
fn nbd_connect(cluster: &TestCluster, volume: &str) -> TcpStream {
    let mut stream = TcpStream::connect(cluster.host.nbd.unwrap()).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut out = BytesMut::from(&3u32.to_be_bytes()[..]);
    nbd::option(nbd::option::EXPORT_NAME, volume.as_bytes(), &mut out);
    stream.write_all(&out).unwrap();
    // Greeting, size and flags.
    let mut handshake = [0; 18 + 10];
    stream.read_exact(&mut handshake).unwrap();
    stream
}

fn request(kind: u16, cookie: u64, offset: u64, length: u32) -> BytesMut {
    let mut out = BytesMut::new();
    nbd::Request { flags: 0, kind, cookie, offset, length, deadline_us: None }.encode(&mut out);
    out
}

/// Clients of both protocols close their connections within a write: after its header, or after a part of its data. The volume must
/// keep its old data, and no command, request or attempt may stay open.
#[test]
fn upload_that_ends_early_writes_nothing() {
    let cluster = TestCluster::start(fast_nodes());
    let client = cluster.client(Digests::default(), None);
    let old = pattern(1, 64 * 512);
    assert_eq!(client.write(1, 0, old.clone()), done(vec![]));
    // NBD: after the header, after half of the data, and one byte before its end.
    for sent_bytes in [0, 16 * 1024, 32 * 1024 - 1] {
        let mut stream = nbd_connect(&cluster, "museum");
        let mut bytes = request(nbd::command::WRITE, 7, 0, 32 * 1024);
        bytes.extend_from_slice(&vec![0xee; sent_bytes]);
        stream.write_all(&bytes).unwrap();
        std::thread::sleep(Duration::from_millis(20));
    }
    // iSCSI: after the immediate data, and after parts of the solicited data.
    for solicited in [0, 4096, 65_536] {
        let other = cluster.client(Digests::default(), None);
        let number = other.initiator.next_number();
        let mut pdu = Pdu::new(op::COMMAND, FINAL | WRITES);
        pdu.set_lun(1).set32(16, number).set32(20, 256 * 512).set32(24, number);
        pdu.head[32..].copy_from_slice(&Command::Write { block: 0, blocks: 256 }.to_cdb());
        pdu.data = vec![0xee; 16_384].into();
        let mut bytes = BytesMut::new();
        tackmast_wire::iscsi::encode(&pdu, Digests::default(), &mut bytes);
        if solicited > 0 {
            let mut data = Pdu::new(op::DATA_OUT, 0);
            data.set_lun(1).set32(16, number).set32(20, number).set32(40, 16_384);
            data.data = vec![0xee; solicited].into();
            tackmast_wire::iscsi::encode(&data, Digests::default(), &mut bytes);
        }
        other.initiator.send_raw(&bytes);
        std::thread::sleep(Duration::from_millis(20));
        other.initiator.close();
    }
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(client.read(1, 0, 64), done(old), "a part of an upload was written");
    let status = cluster.host.status().unwrap();
    assert_eq!((status.commands, status.requests, status.attempts), (0, 0, 0));
    cluster.stop();
}

/// A client requests far more data than its socket and its part of the host's memory can hold, and reads nothing. The host must stop
/// reading from it, and must answer the other client in time.
#[test]
fn client_that_never_reads_is_paused_and_others_are_served() {
    let cluster = TestCluster::start(fast_nodes());
    let client = cluster.client(Digests::default(), None);
    let mut stalled = nbd_connect(&cluster, "museum");
    stalled.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    let started = Instant::now();
    let (mut sent, mut reads, mut rejected) = (0u64, 0, 0);
    while started.elapsed() < Duration::from_secs(2) {
        if stalled.write_all(&request(nbd::command::READ, sent, 0, 256 * 512)).is_err() {
            break;
        }
        sent += 1;
        if sent.is_multiple_of(100) {
            let read_at = Instant::now();
            reads += 1;
            // On a machine that is busy with other tests, a read may miss its latency objective; it is then rejected at once.
            match client.read(1, 5000, 1) {
                Reply::Rejected { retry_after_us } => {
                    assert!(retry_after_us > 0);
                    rejected += 1;
                }
                answer => assert_eq!(answer, done(vec![0; 512])),
            }
            assert!(read_at.elapsed() < Duration::from_millis(800), "after {sent}: {:?}", read_at.elapsed());
        }
    }
    assert!(reads > 0 && rejected * 4 <= reads, "{rejected} of {reads} rejected");
    let status = cluster.host.status().unwrap();
    assert!(status.commands <= 200, "{} commands are open", status.commands);
    drop(stalled);
    assert_eq!(client.read(1, 5000, 1), done(vec![0; 512]));
    cluster.stop();
}
