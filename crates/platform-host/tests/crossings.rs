//! Events that cross, each pair put in its order by the test: docs/crossings.md has the table. The host's turns are called by
//! hand, so what is done between two of them comes in one iteration.

mod common;

use common::stepped::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};
use tackmast_platform_host::OpenCounts;
use tackmast_platform_host::Status;

/// A host with one node, that has asked for its list once and follows it.
fn rig(s: Settings) -> (Stepped, Place, Place) {
    let (list_at, node) = (Place::new(), Place::new());
    let h = Stepped::new(s, &list_at, &[member("s-0", node.address(), 0, "Ready")]);
    (h, list_at, node)
}

fn usual() -> (Stepped, Place, Place) {
    rig(Settings::default())
}

fn accepted(s: &Status) -> u64 {
    s.clients.accepted
}

// Clients that leave.

#[test]
fn a_request_and_its_clients_end_in_one_turn_reach_no_node() {
    let (mut h, _l, mut node) = usual();
    for half in [true, false] {
        let mut client = h.client();
        let text = h.request("read", 0, "x");
        client.say(&text);
        match half {
            true => client.end_sending(),
            false => drop(client),
        }
        h.until("it is let go", |h| h.status().client_connections == 0 && accepted(&h.status()) > 0);
        h.turns_for(0.05);
    }
    assert_eq!((node.bytes(), h.status().core.taken), (0, 0));
}

#[test]
fn requests_ahead_of_their_turn_are_dropped_with_their_client() {
    let (mut h, _l, mut node) = usual();
    let mut client = h.client();
    let all: Vec<u8> = (0..5).flat_map(|_| h.request("read", 0, "x")).collect();
    client.say(&all);
    h.until("the first is at its node", |_| node.asked() == 1);
    // Its answer and the client's end come in one iteration.
    node.wires[0].say(ok("x").as_bytes());
    drop(client);
    h.until("it is let go", |h| h.status().client_connections == 0);
    h.turns_for(0.1);
    assert_eq!(node.asked(), 1);
    assert_eq!(h.status().open, OpenCounts::default());
}

#[test]
fn an_end_behind_a_flood_is_seen_while_the_first_request_is_open() {
    let (mut h, _l, mut node) = usual();
    let mut client = h.client();
    // More than the system takes for a socket that is not read: the end stands behind it at the client's side.
    let flood: Vec<u8> = (0..140).flat_map(|_| h.request("read", 0, &"x".repeat(1000))).collect();
    let (mut said, since) = (0, Instant::now());
    while said < flood.len() {
        said += client.say(&flood[said..]);
        h.run_iteration();
        assert!(since.elapsed() < common::PATIENCE, "{said} of {} are taken", flood.len());
    }
    h.until("the first is at its node", |_| node.asked() == 1);
    drop(client);
    h.until("it is let go", |h| h.status().client_connections == 0);
    h.until("its attempt is called back", |h| h.status().links.cancelled == 1);
    assert_eq!((node.asked(), h.status().core.attempts), (1, 1));
}

#[test]
fn who_sends_without_end_has_what_is_open_answered_and_no_more_taken() {
    let (mut h, _l, mut node) = usual();
    let mut client = h.client();
    let flood: Vec<u8> = (0..400).flat_map(|_| h.request("read", 0, &"x".repeat(1000))).collect();
    let mut said = 0;
    h.until("it is too much", |h| {
        said += client.say(&flood[said..]);
        h.status().clients.pipelined_too_much > 0
    });
    h.until("the first is at its node", |_| node.asked() == 1);
    node.wires[0].say(ok("its own").as_bytes());
    h.until("answered and half-closed", |_| client.hear().ends_with("its own") && client.ended.is_some());
    assert!(client.hear().contains("Connection: close"));
    assert_eq!((client.statuses(), client.ended), (vec![200], Some(Ok(()))));
    h.turns_for(0.05);
    assert_eq!(node.asked(), 1);
}

#[test]
fn a_connection_that_comes_up_as_its_client_leaves_carries_nothing() {
    // A burst: more connections come up and clients leave than one turn is told of.
    let (list_at, mut node) = (Place::new(), Place::new());
    let members: Vec<String> =
        (0..60).map(|i| member(&format!("s-{i}"), node.address(), i, "Ready")).collect();
    let mut h = Stepped::new(Settings { sockets: 1500, ..Settings::default() }, &list_at, &members);
    let mut clients: Vec<Wire> = Vec::new();
    while clients.len() < 250 {
        clients.extend((0..50).map(|_| h.client()));
        h.until("all are accepted", |h| accepted(&h.status()) == clients.len() as u64);
    }
    for (i, c) in clients.iter_mut().enumerate() {
        let text = h.request("read", i as u32 % 60, "x");
        c.say(&text);
    }
    // All are taken, and their connections come up by the next turn.
    h.run_iteration();
    let s = h.status();
    assert!(s.core.taken > 200 && s.links.opened > 200 && node.bytes() == 0, "{s:?}");
    drop(clients);
    h.until("all are let go", |h| h.status().client_connections == 0);
    h.turns_for(0.1);
    assert_eq!(node.bytes(), 0);
    assert_eq!(h.status().open, OpenCounts::default());
}

#[test]
fn no_further_attempt_begins_for_a_client_that_left_in_its_pause() {
    let (mut h, _l, mut node) = usual();
    let mut client = h.client();
    let text = h.request("read", 0, "x");
    client.say(&text);
    h.until("the first is at its node", |_| node.asked() == 1);
    node.wires[0].say(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    let attempts = h.status().core.attempts;
    h.until("it has failed", |h| h.status().open.attempts == 0);
    drop(client);
    // Past the pause before anything is looked at: its end and the client's come in one iteration.
    std::thread::sleep(Duration::from_millis(60));
    h.turns_for(0.1);
    assert_eq!((node.asked(), h.status().core.attempts, h.status().core.left), (1, attempts, 1));
}

#[test]
fn what_waits_for_its_bucket_is_not_sent_for_a_client_that_left() {
    let plan = r#","ceiling_rate":4.0,"most_at_once":1.2,"slack":0.1"#;
    let (mut h, _l, mut node) = rig(Settings { plan, ..Settings::default() });
    let (mut first, mut second) = (h.client(), h.client());
    let texts = [h.request("read", 0, "x"), h.request("read", 0, "x")];
    first.say(&texts[0]);
    h.until("the first is at its node", |_| node.asked() == 1);
    second.say(&texts[1]);
    h.until("the second waits", |h| h.status().core.taken == 2);
    assert_eq!(node.asked(), 1);
    drop(second);
    // Its bucket has room by then, and nothing was looked at meanwhile.
    std::thread::sleep(Duration::from_millis(400));
    h.turns_for(0.1);
    assert_eq!((node.asked(), h.status().core.left), (1, 1));
}

#[test]
fn what_waits_for_a_free_connection_is_not_sent_for_a_client_that_left() {
    let (list_at, mut node) = (Place::new(), Place::new());
    let members: Vec<String> =
        (0..20).map(|i| member(&format!("s-{i}"), node.address(), i, "Ready")).collect();
    let mut h = Stepped::new(Settings { sockets: 64, ..Settings::default() }, &list_at, &members);
    let mut clients: Vec<Wire> = (0..18).map(|_| h.client()).collect();
    for (i, c) in clients.iter_mut().enumerate() {
        let text = h.request("read", i as u32, "x");
        c.say(&text);
    }
    h.until("some wait for a connection", |h| h.status().core.taken == 18 && h.status().links.waited > 0);
    let waits = h.status().links.waited as usize;
    h.until("the others are out", |_| node.asked() == 18 - waits);
    // Connections come free as all clients leave, in one iteration.
    node.wires.iter_mut().for_each(|w| _ = w.say(ok("x").as_bytes()));
    drop(clients);
    h.until("all are let go", |h| h.status().client_connections == 0);
    h.turns_for(0.1);
    assert_eq!(node.asked(), 18 - waits);
}

// Connections to nodes.

/// The node's first answer, and behind it at once the next request, which waits for the connection to rest. On a busy machine it
/// may have rested by then: again, then. Gives how many answers the client has.
fn waits_for_rest(h: &mut Stepped, client: &mut Wire, node: &mut Place) -> usize {
    for answered in 1..100 {
        if answered == 1 {
            let text = h.request("read", 0, "x");
            client.say(&text);
        }
        h.until("at its node", |_| node.asked() == answered);
        node.wires[0].say(ok("first").as_bytes());
        h.until("answered", |_| client.heads() == answered);
        let (text, taken) = (h.request("read", 0, "x"), h.status().core.taken);
        client.say(&text);
        h.until("taken", |h| h.status().core.taken > taken);
        if node.asked() == answered {
            return answered;
        }
    }
    panic!("the connection is taken with no rest");
}

#[test]
fn a_late_copy_of_an_answer_is_never_taken_for_the_next_requests() {
    let (mut h, _l, mut node) = usual();
    let mut client = h.client();
    let answered = waits_for_rest(&mut h, &mut client, &mut node);
    // The copy comes: its connection is of no further use, and the request goes on another.
    node.wires[0].say(ok("first").as_bytes());
    h.until("at its node", |_| node.asked() == answered + 1);
    assert_eq!((node.wires.len(), h.status().links.unsolicited_data), (2, 1));
    node.wires[1].say(ok("second").as_bytes());
    h.until("answered", |_| client.heads() == answered + 1);
    assert!(client.hear().ends_with("second"), "{}", client.hear());
}

#[test]
fn behind_an_answer_the_next_request_waits_for_its_connection_and_opens_no_other() {
    let (mut h, _l, mut node) = usual();
    let mut client = h.client();
    let answered = waits_for_rest(&mut h, &mut client, &mut node);
    h.until("at its node", |_| node.asked() == answered + 1);
    node.wires[0].say(ok("second").as_bytes());
    h.until("answered", |_| client.heads() == answered + 1);
    assert_eq!((node.wires.len(), h.status().links.opened), (1, 1));
    // A client that leaves while its request waits so: nothing is sent.
    let mut client = h.client();
    let text = h.request("read", 0, "x");
    client.say(&text);
    h.until("at its node", |_| node.asked() == answered + 2);
    node.wires[0].say(ok("third").as_bytes());
    h.until("answered", |_| client.heads() == 1);
    let (text, taken) = (h.request("read", 0, "x"), h.status().core.taken);
    client.say(&text);
    h.until("taken", |h| h.status().core.taken > taken);
    let before = node.asked();
    drop(client);
    std::thread::sleep(Duration::from_millis(30)); // it has rested: that and the client's end come in one iteration
    h.until("let go", |h| h.status().client_connections == 1);
    h.turns_for(0.05);
    assert_eq!((node.asked(), h.status().open), (before, OpenCounts::default()));
}

#[test]
fn a_reset_is_no_end_of_an_answer_without_a_length() {
    for (in_order, class, expected) in [
        (true, "once", 200),
        (true, "read", 200),
        // It may have run: no word that a try again is safe, nor another attempt.
        (false, "once", 502),
    ] {
        let (mut h, _l, mut node) = usual();
        let mut client = h.client();
        let text = h.request(class, 0, "x");
        client.say(&text);
        h.until("at its node", |_| node.asked() == 1);
        let mut wire = node.wires.remove(0);
        wire.say(b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhalf of it");
        h.turns_for(0.03);
        assert_eq!(client.hear(), "", "not before its end");
        match in_order {
            true => drop(wire),
            false => wire.reset(),
        }
        h.until("answered", |_| client.heads() == 1);
        assert_eq!(client.statuses(), [expected], "{class}");
        assert_eq!(client.hear().ends_with("half of it"), in_order);
        assert_eq!(node.asked(), 0, "no other attempt");
    }
}

/// The node's connections hang while they come up; the list's watch stands.
fn hanging(connect_timeout: f64) -> (Stepped, Place, Place, Vec<TcpStream>) {
    let (mut list_at, (node, fill)) = (Place::new(), Place::stuck());
    let s = Settings { connect_timeout, cancel: 3.0, ..Settings::default() };
    let mut h = Stepped::new(s, &list_at, &[member("s-0", node.address(), 0, "Ready")]);
    h.until("the list is watched", |_| list_at.asked() == 1);
    (h, list_at, node, fill)
}

#[test]
fn a_connection_that_comes_up_after_its_node_moved_carries_nothing() {
    let (mut h, mut list_at, mut old, fill) = hanging(2.5);
    let mut client = h.client();
    let text = h.request("read", 0, "x");
    client.say(&text);
    h.until("it waits for the connection", |h| h.status().links.opened == 1);
    let mut new = Place::new();
    list_at.wires[0].say(ok(&list(2, false, &[member("s-0", new.address(), 0, "Ready")])).as_bytes());
    h.until("the move is told", |h| h.status().version == 2);
    old.comes_up(fill);
    h.until("at the new place", |_| new.asked() == 1);
    new.wires[0].say(ok("new").as_bytes());
    h.until("answered", |_| client.hear().ends_with("new"));
    h.turns_for(1.2); // the system's next try for the old one
    assert_eq!(old.bytes(), 0);
}

#[test]
fn a_connection_that_comes_up_after_the_drain_carries_nothing_and_is_not_kept() {
    for phase in ["Terminating", "Gone"] {
        let (mut h, mut list_at, mut node, fill) = hanging(2.5);
        let mut client = h.client();
        let text = h.request("read", 0, "x");
        client.say(&text);
        h.until("it waits for the connection", |h| h.status().links.opened == 1);
        list_at.wires[0].say(ok(&list(2, false, &[member("s-0", node.address(), 0, phase)])).as_bytes());
        node.comes_up(fill);
        h.until("the drain is told", |h| h.status().version == 2);
        h.turns_for(1.2);
        assert_eq!((node.bytes(), h.status().node_connections), (0, 0), "{phase}");
    }
}

#[test]
fn a_connection_that_comes_up_after_the_deadline_carries_nothing() {
    let (mut h, _l, mut node, fill) = hanging(2.5);
    let mut client = h.client();
    let text = String::from_utf8(h.request("once", 0, "x")).unwrap().replace("Ms: 1500", "Ms: 700");
    client.say(text.as_bytes());
    h.until("it waits for the connection", |h| h.status().links.opened == 1);
    node.comes_up(fill);
    // The system brings it up after a second, while nothing is looked at: that and the deadline come in one iteration.
    std::thread::sleep(Duration::from_millis(1300));
    h.until("answered", |_| client.heads() == 1);
    assert_eq!(client.statuses(), [503], "it never ran");
    h.turns_for(0.1);
    assert_eq!(node.bytes(), 0);
}

#[test]
fn a_repeat_that_its_nodes_may_have_forgotten_is_not_written_when_its_connection_comes_up() {
    let (mut h, mut list_at, mut first) =
        rig(Settings { connect_timeout: 2.5, cancel: 3.0, ..Settings::default() });
    h.until("the list is watched", |_| list_at.asked() == 1);
    let mut client = h.client();
    let text = h.request("save", 0, "x");
    client.say(&text);
    h.until("at its node", |_| first.asked() == 1);
    // It may have run, and its shard's next node is slow to connect to: longer than the window of 0.5 s.
    let (mut second, fill) = Place::stuck();
    list_at.wires[0].say(ok(&list(2, false, &[member("s-0", second.address(), 0, "Ready")])).as_bytes());
    h.until("the move is told", |h| h.status().version == 2);
    first.wires.remove(0).reset();
    h.until("a repeat waits for the connection", |h| h.status().links.opened == 2);
    second.comes_up(fill);
    h.until("answered", |_| client.heads() == 1);
    assert_eq!((client.statuses(), second.bytes()), (vec![502], 0));
    assert_eq!(h.status().links.deadline_passed, 1);
}

// The end of the process.

#[test]
fn connections_in_the_backlog_are_served_when_the_listener_closes() {
    let (mut h, _l, _node) = rig(Settings { cancel: 0.1, ..Settings::default() });
    h.run_iteration();
    h.term();
    h.until("it is told", |h| !h.status().serves);
    // More than are accepted in an iteration come just before it closes; nothing is looked at until then.
    std::thread::sleep(Duration::from_millis(400));
    let mut clients: Vec<Wire> = (0..100).map(|_| h.client()).collect();
    clients.iter_mut().for_each(|c| _ = c.say(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n"));
    std::thread::sleep(Duration::from_millis(60));
    h.until("it has ended", |h| h.over);
    for c in &mut clients {
        // One that came as its request was not read yet may be half-closed: its client asks again. None is reset.
        c.hear();
        assert_eq!(c.ended, Some(Ok(())));
    }
    let answered = clients.iter_mut().filter(|c| c.got.starts_with(b"HTTP/1.1 503")).count();
    assert!(answered >= 90, "{answered} of 100");
}

#[test]
fn at_the_end_resting_connections_are_half_closed_and_a_crossing_request_is_never_sent_on() {
    let (mut h, _l, mut node) = usual();
    let mut client = h.client();
    let text = h.request("read", 0, "x");
    client.say(&text);
    h.until("at its node", |_| node.asked() == 1);
    node.wires[0].say(ok("x").as_bytes());
    h.until("answered", |_| client.heads() == 1);
    h.term();
    h.until("its client is told", |_| {
        client.hear();
        client.ended.is_some()
    });
    // The end crosses the next request: read and thrown away, and no reset.
    let text = h.request("read", 0, "x");
    assert_eq!(client.say(&text), text.len());
    h.turns_for(0.1);
    assert_eq!(client.say(&text), text.len(), "the connection takes it still");
    assert_eq!((node.asked(), client.heads()), (1, 1));
    assert!(!h.over, "it is read to its end");
    drop(client);
    h.until("it ends", |h| h.over);
}

#[test]
fn the_process_is_not_over_before_who_has_the_last_answer_has_ended() {
    let (mut h, _l, mut node) = rig(Settings { cancel: 0.4, ..Settings::default() });
    let mut client = h.client();
    let text = h.request("once", 0, "x");
    client.say(&text);
    h.until("at its node", |_| node.asked() == 1);
    h.term();
    h.until("its listener is closed", |h| h.status().listens.is_none());
    node.wires[0].say(ok("late").as_bytes());
    h.until("answered", |_| client.hear().ends_with("late"));
    // More of it crosses the end, and more than one turn reads: the connection takes it, and no reset loses the answer.
    let more: Vec<u8> = (0..40).flat_map(|_| h.request("read", 0, &"x".repeat(1000))).collect();
    client.say(&more);
    h.turns_for(0.05);
    client.say(&more);
    client.hear();
    assert_eq!((client.statuses(), client.ended), (vec![200], Some(Ok(()))));
    assert!(!h.over);
    drop(client);
    h.until("it ends", |h| h.over);
    assert_eq!(node.asked(), 1);
}

#[test]
fn a_half_written_request_at_the_end_is_served_if_it_comes_whole_and_told_if_not() {
    let (mut h, _l, mut node) = usual();
    let (mut comes, mut stays) = (h.client(), h.client());
    let texts = [h.request("read", 0, "x"), h.request("read", 0, "x")];
    comes.say(&texts[0][..texts[0].len() - 1]);
    stays.say(&texts[1][..50]);
    h.until("both are there", |h| accepted(&h.status()) == 2);
    h.turns_for(0.05);
    h.term();
    h.until("its listener is closed", |h| h.status().listens.is_none());
    comes.say(b"x");
    h.until("at its node", |_| node.asked() == 1);
    node.wires[0].say(ok("whole").as_bytes());
    h.until("it ends", |h| h.over);
    comes.hear();
    stays.hear();
    assert!(comes.hear().ends_with("whole"));
    assert!(matches!(stays.statuses()[..], [503 | 408]), "{}", stays.hear());
    assert_eq!((comes.ended, stays.ended), (Some(Ok(())), Some(Ok(()))));
    assert_eq!(node.asked(), 1);
}

#[test]
fn orders_that_come_during_the_end_change_nothing_about_it() {
    let (mut h, list_at, _node) = rig(Settings { cancel: 0.3, ..Settings::default() });
    let mut moved = Place::new();
    h.term(); // before it was ready
    let since = Instant::now();
    h.until("it is told", |h| !h.status().serves);
    h.turns_for(0.3);
    h.term();
    h.hup(&list_at.address().to_string(), &moved.address().to_string());
    h.until("the new place is asked", |_| moved.asked() == 1);
    let mut client = h.client();
    client.say(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    h.until("answered", |_| client.heads() == 1);
    assert_eq!(client.statuses(), [503]);
    h.until("it ends", |h| h.over);
    assert!(since.elapsed() < Duration::from_millis(1000), "{:?}", since.elapsed());
}

// The node list.

#[test]
fn after_sighup_the_new_place_is_asked_at_once_whatever_the_watch_was_doing() {
    for failing in [true, false] {
        let (mut h, mut list_at, _node) = usual();
        h.until("the old place is asked", |_| list_at.asked() == 1);
        let (old, mut new) = (list_at.address(), Place::new());
        if failing {
            // Refused again and again: in a long pause, with no call out.
            list_at.stop_listening();
            h.turns_for(2.5);
        }
        h.hup(&old.to_string(), &new.address().to_string());
        let since = Instant::now();
        h.until("the new place is asked", |_| new.asked() == 1);
        assert!(since.elapsed() < Duration::from_millis(150), "{failing}: {:?}", since.elapsed());
        // The pause that began before asks no second time.
        h.turns_for(1.0);
        assert_eq!(new.asked(), 1);
    }
}

#[test]
fn what_the_old_place_has_written_is_read_and_what_it_writes_later_is_not() {
    let (mut h, mut list_at, node) = usual();
    h.until("the old place is asked", |_| list_at.asked() == 1);
    let mut new = Place::new();
    // A long answer: many pieces.
    let mut members: Vec<String> =
        (1..400).map(|i| member(&format!("s-{i}"), node.address(), i, "Ready")).collect();
    members.push(member("s-0", node.address(), 0, "Terminating"));
    list_at.wires[0].say(ok(&list(5, true, &members)).as_bytes());
    h.hup(&list_at.address().to_string(), &new.address().to_string());
    h.until("the new place is asked", |_| new.asked() == 1);
    assert_eq!((h.status().version, h.status().nodes), (5, 400));
    assert!(new.wires[0].hear().contains("after=5"));
    list_at.wires[0].say(ok(&list(9, true, &[])).as_bytes());
    h.turns_for(0.1);
    assert_eq!(h.status().version, 5, "a late word of the old place");
}

#[test]
fn an_answer_that_crosses_its_own_time_out_is_taken() {
    let (mut h, mut list_at, node) = usual();
    h.until("asked", |_| list_at.asked() == 1);
    let members: Vec<String> =
        (0..400).map(|i| member(&format!("s-{i}"), node.address(), i, "Ready")).collect();
    std::thread::sleep(Duration::from_millis(3900)); // past its wait and time-out, and nothing was looked at
    list_at.wires[0].say(ok(&list(5, true, &members)).as_bytes());
    h.run_iteration();
    assert_eq!(h.status().version, 5);
}

#[test]
fn a_silent_watch_and_a_call_that_never_comes_up_still_tell_a_change_in_time() {
    let (mut h, mut list_at, node) = usual();
    h.until("asked", |_| list_at.asked() == 1);
    let silent = Instant::now();
    // The watch falls silent. The next connection hangs; the one after is answered.
    let mut wires = std::mem::take(&mut list_at.wires);
    h.until("the silence is found out", |_| {
        list_at.look();
        !list_at.wires.is_empty() || wires[0].hear().is_empty() || wires[0].ended.is_some()
    });
    assert!(silent.elapsed() < Duration::from_millis(3900), "{:?}", silent.elapsed());
    h.until("asked again", |_| list_at.asked() == 1);
    let hung = Instant::now();
    list_at.wires.clear(); // and reset under the call
    h.until("asked once more", |_| list_at.asked() == 1);
    assert!(hung.elapsed() < Duration::from_millis(700), "{:?}", hung.elapsed());
    list_at.wires[0].say(ok(&list(2, false, &[member("s-0", node.address(), 0, "Terminating")])).as_bytes());
    h.until("told", |h| h.status().version == 2);
    assert!(silent.elapsed() < Duration::from_millis(6000), "{:?}", silent.elapsed());
}

#[test]
fn with_the_list_unreachable_calls_follow_each_other_so_that_its_return_is_heard_in_time() {
    // However often it failed, from a moment at which the list answers to its next call there is less than 2 s.
    let (mut h, mut list_at, _node) = usual();
    h.until("asked", |_| list_at.asked() == 1);
    let mut last = Instant::now();
    for failure in 0..8 {
        list_at.wires.clear();
        h.until("asked again", |_| list_at.asked() == 1);
        assert!(last.elapsed() < Duration::from_millis(1700), "failure {failure}: {:?}", last.elapsed());
        last = Instant::now();
    }
}

#[test]
fn an_older_answer_gives_no_drained_node_back_and_the_whole_list_decides() {
    let (mut h, mut list_at, mut node) = usual();
    h.until("asked", |_| list_at.asked() == 1);
    list_at.wires[0].say(ok(&list(8, false, &[member("s-0", node.address(), 0, "Terminating")])).as_bytes());
    h.until("told", |h| h.status().version == 8);
    h.until("asked on", |_| list_at.asked() == 2);
    list_at.wires[0].say(ok(&list(5, true, &[member("s-0", node.address(), 0, "Ready")])).as_bytes());
    h.until("asked for the whole", |_| list_at.asked() == 3);
    assert!(list_at.wires[0].hear().trim_end().contains("GET /registry/instances HTTP/1.1"));
    let mut client = h.client();
    let text = h.request("read", 0, "x");
    client.say(&text);
    h.turns_for(0.1);
    assert_eq!((node.bytes(), h.status().version), (0, 8));
    // It has lost its memory, then: its word is the only one there is.
    list_at.wires[0].say(ok(&list(5, true, &[member("s-0", node.address(), 0, "Ready")])).as_bytes());
    h.until("served again", |_| node.asked() == 1);
}

#[test]
fn where_lists_are_pushed_the_agent_is_asked_at_once_and_heard_before_the_host_is_ready() {
    let (mut h, mut list_at, node) = rig(Settings { mode: "push", ..Settings::default() });
    h.until("asked", |_| list_at.asked() == 1);
    let ready = |h: &mut Stepped| {
        let mut probe = h.client();
        probe.say(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        h.until("answered", |_| probe.heads() == 1);
        probe.statuses()[0]
    };
    assert_eq!(ready(&mut h), 503, "what the agent has counts as told");
    list_at.wires[0].say(ok(&list(3, true, &[member("s-0", node.address(), 0, "Ready")])).as_bytes());
    h.until("told", |h| h.status().version == 3);
    assert_eq!(ready(&mut h), 200);
    h.until("and followed", |_| list_at.asked() == 2);
    // An agent that is silent as the list is down keeps no host from serving.
    let (mut h, mut list_at, _node) = rig(Settings { mode: "push", ..Settings::default() });
    list_at.stop_listening();
    h.turns_for(0.1);
    assert_eq!(ready(&mut h), 200);
}

// Descriptors.

#[test]
fn idle_clients_may_fill_the_descriptors_while_the_list_is_down() {
    let (mut h, mut list_at, mut node) = rig(Settings { sockets: 128, ..Settings::default() });
    let old = list_at.address();
    list_at.stop_listening();
    let mut idle: Vec<Wire> = Vec::new();
    for _ in 0..20 {
        idle.extend((0..10).map(|_| h.client()));
        h.turns_for(0.02);
    }
    let s = h.status();
    assert!(s.client_connections <= 61 && s.clients.evicted > 100, "{s:?}");
    // It answers, reaches its node, and its list where that is back.
    let mut client = h.client();
    client.say(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    h.until("ready", |_| client.statuses() == [200]);
    let text = h.request("read", 0, "x");
    client.say(&text);
    h.until("at its node", |_| node.asked() == 1);
    let mut back = Place::new();
    h.hup(&old.to_string(), &back.address().to_string());
    h.until("the list is asked", |_| back.asked() == 1);
}

// Bad input on these ways.

#[test]
fn half_a_request_and_an_end_is_closed_at_once_and_reaches_nobody() {
    let (mut h, _l, mut node) = usual();
    let text = h.request("read", 0, "body");
    for at in [1, 40, text.len() - 4, text.len() - 1] {
        for reset in [false, true] {
            let mut client = h.client();
            client.say(&text[..at]);
            match reset {
                true => client.reset(),
                false => client.end_sending(),
            }
            let before = accepted(&h.status());
            h.until("closed", |h| h.status().client_connections == 0 && accepted(&h.status()) > before);
        }
    }
    assert_eq!((node.bytes(), h.status().core.taken), (0, 0));
}

#[test]
fn answers_without_end_are_cut_off_by_their_bytes_or_their_time() {
    // More than a body holds; and a body that goes on, a byte now and then.
    for many in [true, false] {
        let (mut h, _l, mut node) = usual();
        let mut client = h.client();
        let text = h.request("once", 0, "x");
        client.say(&text);
        h.until("at its node", |_| node.asked() == 1);
        node.wires[0].say(b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n");
        let since = Instant::now();
        h.until("answered", |_| {
            if node.wires[0].ended.is_none() {
                let piece: &[u8] = if many { &[b'x'; 9000] } else { b"x" };
                _ = std::io::Write::write(&mut node.wires[0].stream, piece);
                node.look();
            }
            client.heads() == 1
        });
        assert_eq!(client.statuses(), [502], "it may have run");
        assert!(since.elapsed() < Duration::from_millis(2500), "{:?}", since.elapsed());
        h.until("its connection is closed", |h| h.status().node_connections == 0);
    }
}

#[test]
fn a_list_without_end_is_a_failed_call_and_changes_nothing() {
    let (mut h, mut list_at, _node) = usual();
    h.until("asked", |_| list_at.asked() == 1);
    let mut wire = list_at.wires.remove(0);
    wire.say(b"HTTP/1.1 200 OK\r\n\r\n{\"revision\":9,");
    let since = Instant::now();
    h.until("asked again", |_| {
        if wire.ended.is_none() {
            _ = std::io::Write::write(&mut wire.stream, &[b' '; 60_000]);
            wire.hear();
        }
        list_at.asked() == 1
    });
    assert!(since.elapsed() < Duration::from_millis(2000), "{:?}", since.elapsed());
    assert_eq!((h.status().version, h.status().nodes), (1, 1));
}

#[test]
fn ready_says_no_once_no_node_is() {
    let (mut h, mut list_at, node) = usual();
    let mut probe = h.client();
    for (version, phase, expected) in
        [(1, "", 200), (2, "Terminating", 503), (3, "Ready", 200), (4, "Gone", 503)]
    {
        if !phase.is_empty() {
            h.until("asked", |_| list_at.asked() == version - 1);
            let change = list(version as u64, false, &[member("s-0", node.address(), 0, phase)]);
            list_at.wires[0].say(ok(&change).as_bytes());
            h.until("told", |h| h.status().version == version as u64);
        }
        probe.say(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        h.until("answered", |_| probe.heads() == version);
        assert_eq!(probe.statuses().last(), Some(&expected), "{phase}");
    }
}
