//! A node on its own socket.

use super::*;
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use tackmast_trace::{now_us, Event, Recorder};
use tackmast_wire::node::{self as wire, Frame, Origin, SendAttempt, Work};

/// How long an event may take at most.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The last byte of an attempt is delayed on its way. Its host counts the deadline from the sending, so the node must record that much
/// less time for it.
#[test]
fn delayed_attempt_has_less_time_left() {
    let recorder = Recorder::default();
    let node = Node::start(NodeSettings {
        max_data: 1 << 16,
        report_every: Duration::from_secs(1),
        ..NodeSettings::on_loopback(0, recorder.clone())
    })
    .unwrap();
    let mut link = TcpStream::connect(node.address()).unwrap();
    let hello = Frame::HostHello { version: wire::VERSION, host: 0, generation: 1, sent_us: now_us() };
    link.write_all(&hello.to_bytes()).unwrap();
    let attempt = |attempt| {
        let origin = Origin { session: 1, command: 1, part: 0 };
        let work = Work::Read { length: 512 };
        let (sent_us, left_us) = (now_us(), 400_000);
        let (request, attempt_number, idempotency_key, key, volume, offset, units) =
            (attempt, 0, 0, 0, 0, 0, 1.0);
        let attempt = SendAttempt {
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
        };
        Frame::Send(attempt).to_bytes()
    };
    // The last byte of the second attempt is sent late.
    link.write_all(&attempt(1)).unwrap();
    let bytes = attempt(2);
    link.write_all(&bytes[..bytes.len() - 1]).unwrap();
    std::thread::sleep(Duration::from_millis(150));
    link.write_all(&bytes[bytes.len() - 1..]).unwrap();
    let (mut left_us, give_up_at) = (Vec::new(), Instant::now() + TEST_TIMEOUT);
    while left_us.len() < 2 && Instant::now() < give_up_at {
        std::thread::sleep(Duration::from_millis(5));
        left_us.extend(recorder.take().into_iter().filter_map(|line| match line.event {
            Event::Attempt { left_us, .. } => Some(left_us),
            _ => None,
        }));
    }
    assert!(left_us.len() == 2 && left_us[0] > 350_000 && left_us[1] < 300_000, "{left_us:?}");
    node.stop();
}
