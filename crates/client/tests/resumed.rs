//! Sessions that end with commands in flight, and answers that are lost after the command took effect. The library must reconnect,
//! report a write with an unknown effect as failed, and repeat no write.

mod common;

use common::{TestGateway, TEST_TIMEOUT};
use tackmast_client::{Client, Outcome, Protocol};
use tackmast_emulators::recording_proxy::CutPoint;
use tackmast_trace::Event;

/// Recorded events of the writes at one offset.
struct WriteCounts {
    /// Number of commands that the host received.
    commands: usize,
    /// Number of attempts that a node ran.
    ran: usize,
}

fn count_writes(recorded: &[tackmast_trace::Line], lun: u32, at: u64) -> WriteCounts {
    let mut counts = WriteCounts { commands: 0, ran: 0 };
    let mut attempts = Vec::new();
    for line in recorded {
        match &line.event {
            Event::Submit { volume, offset, write: true, .. } if (*volume, *offset) == (lun, at) => {
                counts.commands += 1;
            }
            Event::Attempt { volume, offset, write: true, name, .. } if (*volume, *offset) == (lun, at) => {
                attempts.push(*name);
            }
            Event::AttemptEnd { name, ran: true, .. } if attempts.contains(name) => counts.ran += 1,
            _ => {}
        }
    }
    counts
}

/// Over both protocols the connection is cut while the host has a write unanswered, and when it has answered but the client has not
/// received the answer. The write must be reported as failed and never be sent again. The client must reconnect, and must retry a
/// read whose session ends.
#[test]
fn client_reconnects_and_repeats_no_write_when_its_session_is_cut() {
    let gateway = TestGateway::start();
    let mut writes = Vec::new();
    let mut offset = 0;
    for protocol in [Protocol::Iscsi, Protocol::Nbd] {
        for cut in [CutPoint::AfterRequest, CutPoint::BeforeAnswer] {
            let name = format!("{protocol:?} {cut:?}");
            let client = Client::open(gateway.options(protocol, "listening"), TEST_TIMEOUT).unwrap();
            offset += 4096;
            gateway.cutter.cut_at(cut);
            assert_eq!(
                client.write(offset, vec![9; 512]),
                Outcome::Failed,
                "{name}: whether it ran is unknown"
            );
            // The same client is served again. A write that the host answered took effect; any other did wholly or not at all.
            let Outcome::Done(found) = client.read(offset, 512) else {
                panic!("{name}: not served after the reconnect")
            };
            match cut {
                CutPoint::BeforeAnswer => assert_eq!(found, vec![9; 512], "{name}"),
                CutPoint::AfterRequest => {
                    assert!(found == vec![9; 512] || found == vec![0; 512], "{name}: partly written")
                }
            }
            assert_eq!(client.write(offset + 512, vec![8; 512]), Outcome::Done(vec![].into()), "{name}");
            // A read whose session ends is retried before its deadline.
            gateway.cutter.cut_at(cut);
            assert_eq!(client.read(offset + 512, 512), Outcome::Done(vec![8; 512].into()), "{name}");
            client.close();
            writes.push((name, offset));
        }
    }
    let recorded = gateway.recorded();
    for (name, offset) in writes {
        let WriteCounts { commands, ran } = count_writes(&recorded, 1, offset);
        assert!(commands == 1 && ran <= 1, "{name}: {commands} commands, ran {ran} times");
    }
    let rules = tackmast_invariants::judge(&recorded);
    assert!(rules.is_clean() && rules.rule(1).checked > 0, "{rules}");
    gateway.stop();
}

/// One client keeps 400 reads open over 12 sessions, more than the nodes can answer in time; another makes one read at a time on
/// the same volume. At least 18 of the 20 reads of the second client must be done.
#[test]
fn client_with_few_calls_is_served_beside_one_with_hundreds() {
    let gateway = TestGateway::start();
    for protocol in [Protocol::Iscsi, Protocol::Nbd] {
        // The nodes answer about 4,000 units per second.
        let busy = Client::open(
            tackmast_client::Options { sessions: 12, max_calls: 400, ..gateway.options(protocol, "museum") },
            TEST_TIMEOUT,
        )
        .unwrap();
        let light = Client::open(gateway.options(protocol, "museum"), TEST_TIMEOUT).unwrap();
        let read = |index: u64| {
            busy.submit(tackmast_client::Op::Read { offset: index % 100 * 4096, length: 4096 }, None)
        };
        let mut open: std::collections::VecDeque<_> = (0..400).map(read).collect();
        let mut done = 0;
        for round in 0..20 {
            done += usize::from(matches!(light.read(round * 8192, 4096), Outcome::Done(_)));
            for index in 0..100 {
                if let Some(oldest) = open.pop_front() {
                    oldest.wait();
                }
                open.push_back(read(round * 100 + index));
            }
        }
        open.into_iter().for_each(|call| _ = call.wait());
        assert!(done >= 18, "{protocol:?}: {done} of 20 done");
        busy.close();
        light.close();
    }
    gateway.check_and_stop();
}
