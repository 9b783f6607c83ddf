//! The node list, signals and the long run, on loopback.

mod common;

use common::*;
use std::time::{Duration, Instant};
use tackmast_emulators::http::{Heard, HttpList, HttpListFault, HttpNode, NodeFault};
use tackmast_platform_host::OpenCounts;

#[test]
fn a_drain_is_followed_and_the_new_node_takes_over() {
    let mut rig = Rig::new();
    assert_eq!(rig.ask("read", 0).status, 200);
    until("a watch waits", || rig.list.calls().iter().any(|(_, t)| t.contains("after=0")));
    rig.nodes.push(HttpNode::start().unwrap());
    rig.list.put(line("s-0", &rig.nodes[0], 0, "Terminating"));
    rig.list.put(line("s-9", &rig.nodes[2], 0, "Ready"));
    let told = Instant::now();
    while told.elapsed() < Duration::from_millis(800) {
        assert_eq!(rig.ask("read", 0).status, 200);
    }
    let grace = told + Duration::from_millis(300);
    assert!(rig.nodes[0].seen().iter().all(|s| s.at < grace), "an attempt went to a draining node");
    assert!(!rig.nodes[2].seen().is_empty());
    rig.list.put(line("s-0", &rig.nodes[0], 0, "Gone"));
    until("idle connections to it are closed", || rig.nodes[0].connections().1 == 0);
    // The calls went on without a gap.
    until("the calls go on", || rig.list.calls().len() >= 3);
    let calls = rig.list.calls();
    assert!(calls.iter().all(|(_, t)| t.contains("wait_ms=")), "{calls:?}");
}

#[test]
fn a_list_without_news_is_asked_seldom() {
    // The list as it began: version 0 is a version too, and the whole list was once asked for without end.
    let rig = Rig::new();
    std::thread::sleep(Duration::from_millis(500));
    assert!((1..=2).contains(&rig.list.calls().len()), "{:?}", rig.list.calls());
    // One that answers at once whatever it is asked, with nothing new.
    rig.list.set(HttpListFault::Hasty);
    std::thread::sleep(Duration::from_millis(500));
    let calls = rig.list.calls();
    assert!((2..=12).contains(&calls.len()), "{}", calls.len());
    let mut apart: Vec<Duration> = calls.windows(2).skip(1).map(|w| w[1].0 - w[0].0).collect();
    apart.sort();
    assert!(apart[apart.len() / 2] < Duration::from_millis(200), "still one watch: {calls:?}");
}

#[test]
fn a_node_is_its_id_wherever_it_is() {
    let mut rig = Rig::new();
    assert_eq!(rig.ask("read", 0).status, 200);
    rig.nodes.push(HttpNode::start().unwrap());
    rig.list.put(line("s-0", &rig.nodes[2], 0, "Ready"));
    until("connections to the old address are closed", || rig.nodes[0].connections().1 == 0);
    assert_eq!(rig.ask("read", 0).status, 200);
    assert_eq!((rig.nodes[0].seen().len(), rig.nodes[2].seen().len()), (1, 1));
    assert_eq!(rig.ended().nodes, 2);
}

#[test]
fn with_the_list_down_the_host_serves_on_and_asks_again() {
    for fault in [HttpListFault::Down, HttpListFault::Garbage, HttpListFault::Resets] {
        let mut rig = Rig::new();
        until("a first call", || !rig.list.calls().is_empty());
        rig.list.set(fault);
        std::thread::sleep(Duration::from_millis(700));
        assert_eq!(rig.ask("read", 0).status, 200, "{fault:?}");
        rig.nodes.push(HttpNode::start().unwrap());
        rig.list.put(line("s-0", &rig.nodes[0], 0, "Terminating"));
        rig.list.put(line("s-9", &rig.nodes[2], 0, "Ready"));
        rig.list.set(HttpListFault::Well);
        // Asked again, and given what it had missed.
        let since = Instant::now();
        while rig.nodes[2].seen().is_empty() {
            assert!(since.elapsed() < PATIENCE, "{fault:?}");
            _ = rig.ask("read", 0);
        }
    }
}

#[test]
fn the_list_moves_on_sighup_and_a_bad_file_changes_nothing() {
    let mut rig = Rig::new();
    until("a first call", || !rig.list.calls().is_empty());
    let old = rig.list.address().to_string();
    rig.reload("\"seed\":\"7\"", "\"seed\":!");
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(rig.ask("read", 0).status, 200, "a bad file does not end the host");
    let new = HttpList::start().unwrap();
    new.holds(line("s-0", &rig.nodes[0], 0, "Ready"));
    new.holds(line("s-1", &rig.nodes[1], 1, "Ready"));
    rig.reload("\"seed\":!", "\"seed\":\"7\"");
    rig.reload(&old, &new.address().to_string());
    until("the new place is asked", || !new.calls().is_empty());
    rig.nodes.push(HttpNode::start().unwrap());
    new.put(line("s-0", &rig.nodes[0], 0, "Terminating"));
    new.put(line("s-9", &rig.nodes[2], 0, "Ready"));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(rig.ask("read", 0).status, 200);
    assert_eq!((rig.nodes[0].seen().len(), rig.nodes[2].seen().len()), (1, 1));
}

#[test]
fn on_sigterm_the_host_serves_while_clients_come_and_ends_in_time() {
    let mut rig = Rig::new();
    rig.nodes[0].delay(Duration::from_millis(300));
    let (mut kept, mut slow) = (rig.client(), rig.client());
    let text = rig.get(0);
    slow.say(&text);
    until("one is out", || rig.nodes[0].seen().len() == 1);
    let since = Instant::now();
    rig.end();
    std::thread::sleep(Duration::from_millis(50));
    let mut probe = rig.client();
    probe.say(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    assert_eq!(answer(&mut probe).status, 503, "not ready any more");
    assert_eq!(rig.ask("read", 1).status, 200, "a new connection is served");
    assert_eq!(answer(&mut slow).status, 200, "what was taken has its answer");
    // Who keeps a connection is served on it until shortly before the host is killed, and told when it ends.
    let mut closed = None;
    while closed.is_none() {
        let text = rig.get(1);
        kept.say(&text);
        match kept.hear(PATIENCE) {
            Heard::Answer(a) => {
                assert_eq!(a.status, 200);
                closed = a.closes.then(|| since.elapsed());
            }
            Heard::Closed => closed = Some(since.elapsed()),
            Heard::Nothing => panic!("nothing"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let closed = closed.unwrap();
    assert!((2500..3300).contains(&closed.as_millis()), "{closed:?}");
    until("it ends by itself", || rig.has_ended());
    assert!(since.elapsed() < Duration::from_millis(3650), "{:?}", since.elapsed());
}

#[test]
fn on_sigterm_a_host_without_clients_ends_soon() {
    let mut rig = Rig::new();
    assert_eq!(rig.ask("read", 1).status, 200);
    let since = Instant::now();
    rig.end();
    until("it ends by itself", || rig.has_ended());
    assert!((400..1500).contains(&since.elapsed().as_millis()), "{:?}", since.elapsed());
}

#[test]
fn on_sigterm_what_a_silent_node_holds_is_answered_too() {
    let mut rig = Rig::new();
    rig.nodes[0].set(NodeFault::Silent, 9);
    let mut client = rig.client();
    let text = rig.get(0);
    client.say(&text);
    until("one is out", || rig.nodes[0].seen().len() == 1);
    let since = Instant::now();
    rig.end();
    // Its own time ends first.
    let a = answer(&mut client);
    assert!(a.status >= 500, "{a:?}");
    drop(client);
    until("it ends by itself", || rig.has_ended());
    assert!(since.elapsed() < Duration::from_millis(3600));
}

#[test]
fn new_nodes_ids_and_connections_without_end_leave_tables_as_they_are() {
    let mut rig = Rig::new();
    rig.nodes.push(HttpNode::start().unwrap());
    for round in 0..150 {
        let (old, new) = (format!("r-{round}"), format!("r-{}", round + 1));
        rig.list.put(line(&new, &rig.nodes[2], 2, "Ready"));
        rig.list.put(line(&old, &rig.nodes[2], 2, "Gone"));
        if round % 10 == 0 {
            for shard in 0..2 {
                assert_eq!(rig.ask("read", shard).status, 200);
            }
        }
        std::thread::sleep(Duration::from_millis(3));
    }
    std::thread::sleep(Duration::from_millis(100));
    let version = rig.list.version();
    let status = rig.ended();
    assert_eq!(status.version, version, "it has followed all along");
    assert!(status.nodes <= 3 + 64, "{status:?}");
    assert_eq!((status.open, status.client_connections), (OpenCounts::default(), 0), "{status:?}");
    assert!(status.node_connections <= 3, "{status:?}");
}
