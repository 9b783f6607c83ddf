//! Which attempts are received too late after a node was taken away.

use super::*;
use tackmast_trace::AttemptName;

fn notified(time_us: u64, host: u32, state: ListedState) -> Line {
    Line { t: time_us, event: Event::Notified { host, node: "a".into(), state, started_us: 0 } }
}

fn cut(time_us: u64, host: u32, on: bool) -> Line {
    Line { t: time_us, event: Event::Cut { host, side: Side::List, on } }
}

fn attempt(time_us: u64, host: u32) -> Line {
    let name = AttemptName { host, generation: 1, request: time_us, attempt: 1 };
    let (session, command, part, volume, write) = (1, 1, 0, 1, false);
    let (offset, bytes, units, key, idempotency_key, left_us) = (0, 512, 1.0, 0, String::new(), 0);
    let node = "a".into();
    let event = Event::Attempt {
        node,
        name,
        session,
        command,
        part,
        volume,
        write,
        offset,
        bytes,
        units,
        key,
        idempotency_key,
        left_us,
    };
    Line { t: time_us, event }
}

/// One host is notified that a node drains, while another is cut off from the endpoint list and must learn it from its peer. Attempts
/// at the node are counted, and those after the allowed 300 ms are violations, until the node is ready again.
#[test]
fn attempts_after_the_allowed_time_are_violations() {
    use ListedState::{Draining, Ready};
    let ms = 1_000; // microseconds
                    // What happens, and how many attempts are found, and how many of them are breaks, within 300 ms.
    type Case<'a> = (&'a str, Vec<Line>, (usize, usize, usize));
    let cases: Vec<Case> = vec![
        ("a ready node", vec![notified(0, 0, Ready), attempt(900 * ms, 1)], (0, 0, 0)),
        ("soon enough", vec![notified(0, 0, Draining), attempt(200 * ms, 1)], (0, 1, 0)),
        ("a host that was notified itself", vec![notified(0, 0, Draining), attempt(900 * ms, 0)], (0, 1, 1)),
        (
            "a host that is cut off from the list",
            vec![cut(0, 1, true), notified(1, 0, Draining), attempt(900 * ms, 1)],
            (1, 1, 1),
        ),
        (
            "ready again",
            vec![notified(0, 0, Draining), notified(500 * ms, 0, Ready), attempt(900 * ms, 1)],
            (0, 0, 0),
        ),
        (
            "notified while cut off",
            vec![cut(0, 1, true), notified(1, 1, Draining), attempt(900 * ms, 0)],
            (0, 0, 0),
        ),
        (
            "the network is whole again",
            vec![cut(0, 1, true), cut(1, 1, false), notified(2, 1, Draining), attempt(900 * ms, 0)],
            (0, 1, 1),
        ),
    ];
    for (name, trace, expected) in cases {
        let found = check(&trace, 300 * ms);
        assert_eq!(
            (found.stop_count, found.attempt_count, found.violations.len()),
            expected,
            "{name}: {found:?}"
        );
    }
}
