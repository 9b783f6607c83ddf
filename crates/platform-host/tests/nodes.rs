//! Tests on loopback with nodes that give faulty answers or none.

mod common;

use common::*;
use std::time::{Duration, Instant};
use tackmast_emulators::http::NodeFault;
use tackmast_platform_host::OpenCounts;

/// A node gives a valid answer, a faulty one or none. An idempotent request must be retried after a failure, and a non-idempotent one
/// answered with 502. The requests after it must get their own answers, on a usable connection.
#[test]
fn answer_of_a_node_decides_whether_its_request_is_retried() {
    use NodeFault::*;
    // The fault, and the statuses of an idempotent request and of a non-idempotent one.
    let cases: [(NodeFault, u16, u16); 17] = [
        (Healthy, 200, 200),
        (TrailingGarbage, 200, 200),
        (DuplicateAnswer, 200, 200),
        (InterimAnswers, 200, 200),
        (MalformedReport, 200, 200),
        (ClosesConnection, 200, 200),
        (Garbage, 200, 502),
        (EndlessHead, 200, 502),
        (ConflictingLengths, 200, 502),
        (HugeBody, 200, 502),
        (ServerError, 200, 502),
        (BadRequest, 200, 502),
        (Overloaded, 200, 200),
        (ResetAfterRequest, 200, 502),
        (ResetWithinAnswer, 200, 502),
        // The failure is detected only at the request's deadline.
        (ShortBody, 503, 502),
        (Silent, 503, 502),
    ];
    let work: Vec<_> = cases
        .into_iter()
        .map(|(fault, read, once)| {
            std::thread::spawn(move || {
                for (class, expected) in [("read", read), ("once", once)] {
                    let mut cluster = TestCluster::new();
                    cluster.nodes[0].set_fault(fault, 1);
                    let since = Instant::now();
                    let response = cluster.call(class, 0);
                    assert_eq!(response.status, expected, "{fault:?} {class}: {}", body(&response));
                    assert!(since.elapsed() < Duration::from_millis(2000), "{fault:?} {class}");
                    let attempts = cluster.nodes[0].received_requests().len();
                    let is_retried =
                        class == "read" && !matches!(read, 503) && fault_fails(fault) || fault == Overloaded;
                    assert_eq!(attempts, 1 + usize::from(is_retried), "{fault:?} {class}");
                    // The next requests get their own answers, on a usable connection.
                    for _ in 0..3 {
                        let text = cluster.request("PUT", class, 0, "its own");
                        let mut client = cluster.client();
                        client.send(&text);
                        assert_eq!(body(&receive_response(&mut client)), "its own", "{fault:?} {class}");
                    }
                    let status = cluster.shut_down();
                    assert_eq!(status.open, OpenCounts::default());
                }
            })
        })
        .collect();
    for case in work {
        case.join().unwrap();
    }
}

fn fault_fails(fault: NodeFault) -> bool {
    use NodeFault::*;
    !matches!(
        fault,
        Healthy | TrailingGarbage | DuplicateAnswer | InterimAnswers | MalformedReport | ClosesConnection
    )
}

/// A node sends bytes after an answer, or closes an idle connection. A request on such a connection would get a wrong answer or none, so a
/// new connection must be opened. In all other cases the connection must be reused.
#[test]
fn connection_is_reused_unless_it_has_trailing_bytes_or_is_closed() {
    let mut cluster = TestCluster::new();
    // Longer than the reuse delay of 10 ms.
    let wait_for_reuse = || std::thread::sleep(Duration::from_millis(20));
    for _ in 0..5 {
        assert_eq!(cluster.call("once", 0).status, 200);
        wait_for_reuse();
    }
    assert_eq!(cluster.nodes[0].accepted_connections(), 1, "all on one connection");
    cluster.nodes[0].set_fault(NodeFault::TrailingGarbage, 1);
    for _ in 0..2 {
        assert_eq!(cluster.call("once", 0).status, 200);
        wait_for_reuse();
    }
    assert_eq!(cluster.nodes[0].accepted_connections(), 2, "a new one after the trailing bytes");
    // The node closes the idle connection. The host does not write to it, so a non-idempotent request succeeds.
    cluster.nodes[0].set_idle_timeout(Duration::from_millis(30));
    std::thread::sleep(Duration::from_millis(120));
    cluster.nodes[0].set_idle_timeout(Duration::from_secs(30));
    assert_eq!(cluster.call("once", 0).status, 200);
    let status = cluster.shut_down();
    assert_eq!((status.node_counters.reset, status.core.retries), (0, 0), "{status:?}");
}

/// A node's process has exited and its port refuses connections. The request can't have run there, so the client must be told at once
/// that a retry is safe. The emulator keeps the port reserved: another test's node could otherwise bind it and answer.
#[test]
fn request_to_an_unreachable_node_is_rejected_at_once() {
    let mut cluster = TestCluster::new();
    cluster.nodes[0].stop_listening();
    let since = Instant::now();
    let response = cluster.call("once", 0);
    assert_eq!(response.status, 503, "a retry is safe");
    assert!(response.headers.first("retry-after").is_some(), "{response:?}");
    assert!(
        since.elapsed() < Duration::from_millis(950),
        "answered at once, not held: {:?}",
        since.elapsed()
    );
    assert_eq!(cluster.call("once", 1).status, 200);
}

/// A node does not answer, and its attempt is cancelled. The answer could still arrive, so the connection must be closed, and the next
/// attempt must be sent on a new one.
#[test]
fn cancelled_attempt_closes_its_connection_before_the_next_is_sent() {
    let mut cluster = TestCluster::new();
    cluster.nodes[0].set_fault(NodeFault::Silent, 1);
    assert_ne!(cluster.call("read", 0).status, 200);
    wait_until("closed", || cluster.nodes[0].open_connections() == 0);
    assert_eq!(cluster.call("read", 0).status, 200);
    let received = cluster.nodes[0].received_requests();
    assert_ne!(received[0].connection, received[1].connection);
}
