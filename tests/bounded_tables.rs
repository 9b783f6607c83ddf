//! Bounds of the tables of one scheduler, and of its work for one event, whatever clients send and lists name.

mod common;
use common::{as_send, TestHost};
use tackmast::interface::*;

/// Returns a host with `nodes` ready nodes, one for each shard, whose requests are idempotent.
fn host_with_nodes(nodes: u32) -> TestHost {
    let mut host = TestHost::new(1, Effect::Idempotent, false);
    host.list_ready_nodes(nodes);
    host
}

/// The tables must not grow without bound when the endpoint list keeps naming new nodes, and clients new volumes.
#[test]
fn gone_nodes_and_idle_volumes_are_forgotten() {
    // Each round lists a new node for one shard, then for another, then as gone.
    let mut host = host_with_nodes(1);
    for round in 1..200u32 {
        let entry = |node: u32, shard: u32, state| NodeEntry {
            node: NodeId(node),
            state,
            zone: ZoneId(0),
            shard: ShardId(shard),
            up_since: None,
        };
        let (at, node) = (host.instant(), round);
        host.scheduler.nodes_changed(at, ListKind::Changes, &[entry(node, 1, NodeState::Ready)]);
        host.scheduler.nodes_changed(at, ListKind::Changes, &[entry(node, 2, NodeState::Ready)]);
        for shard in 0..3 {
            host.submit(0, 2, round, 1.0, shard, round);
        }
        for (id, _) in host.poll_sends() {
            host.end_attempt(id, 0, Outcome::Done, 0.01);
        }
        host.scheduler.nodes_changed(at, ListKind::Changes, &[entry(node, 2, NodeState::Gone)]);
        let end = host.now + 10.0;
        host.run_until(end);
    }
    let (nodes, volumes) = (host.scheduler.node_count(), host.scheduler.volume_count());
    assert!(nodes <= 8, "{nodes} nodes in the table");
    // Idle volumes are forgotten only once the table is full.
    for volume in 0..3000u32 {
        host.submit(0, 0, 1000 + volume, 1.0, 0, 0);
        let end = host.now + 0.1;
        for (_, decision) in host.run_until(end) {
            if let Some((id, _)) = as_send(&decision) {
                host.end_attempt(id, 0, Outcome::Done, 0.01);
            }
        }
    }
    let known = host.scheduler.volume_count();
    assert!(known <= 512 + volumes.min(1), "{known} volumes in the table");
}

/// Clients repeat a request whenever it is rejected, at full speed. If the host kept or searched all of these requests, it
/// would stop for seconds, and other clients would lose theirs.
#[test]
fn clients_that_repeat_rejected_requests_do_not_grow_the_work_of_an_arrival() {
    // Whether all clients ask for the same; the number of rejected requests that may be kept.
    for (same, max_kept) in [(true, 512), (false, 8192)] {
        let mut host = TestHost::new(1, Effect::Idempotent, false);
        host.time_left = 0.003;
        for i in 0..20_000 {
            host.submit(0, 2, 0, 1.0, 0, if same { 0 } else { i });
            let end = host.now + 0.0004;
            host.run_until(end);
        }
        let kept = host.scheduler.rejected_request_count();
        assert!(kept <= max_kept, "same requests: {same}: {kept} rejected requests are kept");
        host.now += 11.0;
        host.submit(0, 2, 0, 1.0, 0, 0);
        assert_eq!(host.scheduler.rejected_request_count(), 0, "same requests: {same}");
    }
}

/// Clients name a new shard, which no list has, in each request. The table of shards must not grow with them: it is searched at
/// each change of the list, and takes the memory of the host.
#[test]
fn shards_that_no_list_names_are_forgotten() {
    let mut host = host_with_nodes(3);
    for i in 0..5_000 {
        host.time_left = if i % 2 == 0 { 0.003 } else { 3.0 };
        let id = host.submit(i % 2, i % 4, i % 4, 1.0, 10 + i as i32, i);
        if i % 3 == 0 {
            let now = host.instant();
            host.scheduler.request_cancelled(now, id);
        }
        let end = host.now + 0.001;
        host.run_until(end);
    }
    let end = host.now + 4.0;
    host.run_until(end);
    assert_eq!(host.scheduler.shard_count(), 3);
    // A request for such a shard is served once a list names it.
    let id = host.submit(0, 2, 0, 1.0, 17, 0);
    let entry = NodeEntry {
        node: NodeId(9),
        state: NodeState::Ready,
        zone: ZoneId(0),
        shard: ShardId(17),
        up_since: None,
    };
    let now = host.instant();
    host.scheduler.nodes_changed(now, ListKind::Changes, &[entry]);
    assert_eq!(host.poll_sends(), [(id, NodeId(9))]);
}

/// No node can take new objects, and no change of the list comes, while clients ask for many. The requests that got their answer must be
/// forgotten, or the memory of the host would fill.
#[test]
fn answered_requests_for_new_objects_are_forgotten_without_a_node() {
    let mut host = TestHost::new(1, Effect::Idempotent, false);
    host.time_left = 0.01;
    for i in 0..20_000 {
        host.submit(0, 2, 0, 1.0, -1, i);
        let end = host.now + 0.001;
        host.run_until(end);
    }
    let unplaced = host.scheduler.unplaced_request_count();
    assert!(unplaced <= 64, "{unplaced} requests for new objects, of which 10 wait");
}

/// Guards against memory that grows for an hour: clients send requests with an hour of time, which are answered at once. Each left its
/// timers set until its deadline.
#[test]
fn timers_of_answered_requests_are_removed_before_their_deadline() {
    let mut host = host_with_nodes(3);
    host.time_left = 3600.0;
    for i in 0..100_000 {
        let id = host.submit(0, 2, 0, 1.0, (i % 3) as i32, i);
        if host.poll_sends().contains(&(id, NodeId(i % 3))) {
            host.end_attempt(id, 0, Outcome::Done, 0.0001);
        }
        host.now += 0.0001;
    }
    let timers = host.scheduler.timer_count();
    assert!(timers <= 16_384, "{timers} timers");
}

/// Guards against queues that grow behind a request that is held: clients send requests with an hour of time behind one that its volume's
/// limit holds, and leave. Each left its place in the queue and its timers until the first was over.
#[test]
fn requests_of_clients_that_left_are_removed_from_queues_behind_a_held_request() {
    let mut host = host_with_nodes(1);
    host.time_left = 3600.0;
    let held = host.submit(1, 0, 0, 6.0, 0, 0);
    for i in 1..100_000 {
        let id = host.submit(1, 0, 0, 6.0, 0, i);
        let now = host.instant();
        host.scheduler.request_cancelled(now, id);
        host.now += 0.000_01;
    }
    let (entries, timers) = (host.scheduler.queue_entry_count(), host.scheduler.timer_count());
    assert!(entries <= 64 && timers <= 16_384, "{entries} places in queues, {timers} timers");
    // The request that is held is sent once its volume's limit lets it, also after its other timers were removed.
    let end = host.now + 10.0;
    assert!(host.run_sends(end).iter().any(|(id, _)| *id == held), "the held request was forgotten");
}
