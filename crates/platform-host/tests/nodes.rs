//! Nodes that answer badly or not at all, on loopback.

mod common;

use common::*;
use std::time::{Duration, Instant};
use tackmast_emulators::http::NodeFault;
use tackmast_platform_host::OpenCounts;

#[test]
fn what_a_node_answers_decides_how_the_request_goes_on() {
    use NodeFault::*;
    // The first answer; whether one that must not run twice is done all the same; connections the node then had with the
    // two requests and the good one behind them.
    let cases: [(NodeFault, u16, u16); 17] = [
        (Well, 200, 200),
        (NoiseBehind, 200, 200),
        (SecondCopy, 200, 200),
        (Interim, 200, 200),
        (OddReport, 200, 200),
        (Closes, 200, 200),
        (Noise, 200, 502),
        (EndlessHead, 200, 502),
        (TwoLengths, 200, 502),
        (Huge, 200, 502),
        (Error, 200, 502),
        (Unusable, 200, 502),
        (Full, 200, 200),
        (ResetAfter, 200, 502),
        (ResetWithin, 200, 502),
        // Nothing tells that it has failed until its client's time is up.
        (WrongLength, 503, 502),
        (Silent, 503, 502),
    ];
    let work: Vec<_> = cases
        .into_iter()
        .map(|(fault, read, once)| {
            std::thread::spawn(move || {
                for (class, expected) in [("read", read), ("once", once)] {
                    let mut rig = Rig::new();
                    rig.nodes[0].set(fault, 1);
                    let since = Instant::now();
                    let a = rig.ask(class, 0);
                    assert_eq!(a.status, expected, "{fault:?} {class}: {}", body(&a));
                    assert!(since.elapsed() < Duration::from_millis(2000), "{fault:?} {class}");
                    let seen = rig.nodes[0].seen().len();
                    let twice =
                        class == "read" && !matches!(read, 503) && fault_fails(fault) || fault == Full;
                    assert_eq!(seen, 1 + usize::from(twice), "{fault:?} {class}");
                    // Whatever it was, the next is served with its own answer, on a connection that is sound.
                    for _ in 0..3 {
                        let text = rig.request("PUT", class, 0, "its own");
                        let mut client = rig.client();
                        client.say(&text);
                        assert_eq!(body(&answer(&mut client)), "its own", "{fault:?} {class}");
                    }
                    let status = rig.ended();
                    assert_eq!(status.open, OpenCounts::default());
                }
            })
        })
        .collect();
    for w in work {
        w.join().unwrap();
    }
}

fn fault_fails(fault: NodeFault) -> bool {
    use NodeFault::*;
    !matches!(fault, Well | NoiseBehind | SecondCopy | Interim | OddReport | Closes)
}

#[test]
fn a_connection_is_reused_unless_it_is_spoilt_or_dead() {
    let mut rig = Rig::new();
    // A connection rests for 10 ms behind each answer.
    let rest = || std::thread::sleep(Duration::from_millis(20));
    for _ in 0..5 {
        assert_eq!(rig.ask("once", 0).status, 200);
        rest();
    }
    assert_eq!(rig.nodes[0].connections().0, 1, "all on one connection");
    rig.nodes[0].set(NodeFault::NoiseBehind, 1);
    for _ in 0..2 {
        assert_eq!(rig.ask("once", 0).status, 200);
        rest();
    }
    assert_eq!(rig.nodes[0].connections().0, 2, "a new one after the noise");
    // Closed by its node while idle: never written to, so one that must not run twice is done.
    rig.nodes[0].idle(Duration::from_millis(30));
    std::thread::sleep(Duration::from_millis(120));
    rig.nodes[0].idle(Duration::from_secs(30));
    assert_eq!(rig.ask("once", 0).status, 200);
    let status = rig.ended();
    assert_eq!((status.links.reset, status.core.retries), (0, 0), "{status:?}");
}

/// A node's process is gone and its port refuses connections. The request can't have run there, so the client must be told that a
/// retry is safe, and at once. The emulator keeps the port: another test's node could otherwise bind it and answer.
#[test]
fn a_node_that_cannot_be_reached_never_ran_it() {
    let mut rig = Rig::new();
    rig.nodes[0].stop_listening();
    let since = Instant::now();
    let a = rig.ask("once", 0);
    assert_eq!(a.status, 503, "a retry is safe");
    assert!(a.headers.first("retry-after").is_some(), "{a:?}");
    assert!(
        since.elapsed() < Duration::from_millis(950),
        "answered at once, not held: {:?}",
        since.elapsed()
    );
    assert_eq!(rig.ask("once", 1).status, 200);
}

#[test]
fn an_attempt_given_up_closes_its_connection_before_another_leaves() {
    let mut rig = Rig::new();
    rig.nodes[0].set(NodeFault::Silent, 1);
    assert_ne!(rig.ask("read", 0).status, 200);
    until("closed", || rig.nodes[0].connections().1 == 0);
    assert_eq!(rig.ask("read", 0).status, 200);
    let seen = rig.nodes[0].seen();
    assert!(seen[0].connection != seen[1].connection);
}
