//! Tests of the time that the core thread passes to the core, of the order in which it takes events, and of outputs that can't be queued.

use super::CoreThread;
use crate::links::Links;
use crate::list::ListCommand;
use crate::messages::Event;
use crate::Clock;
use crossbeam_channel::{Receiver, Sender};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant as Wall};
use tackmast::interface::{ListKind, NodeState, ShardId, ZoneId};
use tackmast_config::HostSettings;
use tackmast_host_core::{ClientCommand, CommandId, Core, ListEntry, Work};

/// Number of failures after which a node is ejected that has never answered successfully.
const FAILURES_TO_EJECT: u64 = 6;
/// Number of commands, such that the last would not be sent if failures of the earlier ones ejected the node: the link and its queue take
/// at most two attempts, and the others fail. With many more commands, the last would wait for retries of the first in any case.
const COMMAND_COUNT: u32 = 9;

const SETTINGS: &str = r#"
host {
  number = 0
  hosts = 1
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
}
bounds {
  links = 1
  link_queue = 1
  connect_ms = 60000
}
units {
  bytes = 4096
  most = 8
  mean = 2
}
plan "basic" {}
stream "s" {
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}
volume "v" {
  lun = 0
  plan = "basic"
  blocks = 1000
  extent_blocks = 64
  shards = [0]
  hosts = 1
  reads = "s"
  writes = "s"
}
"#;

/// Returns a core thread that has not been started, and the queue of events from its links.
fn core_thread(clock: Clock) -> (CoreThread, Receiver<Event>) {
    core_thread_with_list(clock, crossbeam_channel::unbounded().0)
}

/// Returns the same as `core_thread`, with `to_list` as its queue to the list client.
fn core_thread_with_list(clock: Clock, to_list: Sender<ListCommand>) -> (CoreThread, Receiver<Event>) {
    let settings = Arc::new(HostSettings::parse("test", SETTINGS).unwrap());
    let core = Core::new(clock.now(), &settings, 1, 1);
    let (link_events, from_links) = crossbeam_channel::unbounded();
    let links = Links::new(settings.clone(), clock, link_events, 1);
    (CoreThread::new(core, settings, clock, links, to_list, None, None), from_links)
}

/// Gives the core a complete endpoint list with one node, at `address`.
fn list_node(core_thread: &mut CoreThread, address: &str) {
    let entry = ListEntry {
        id: address.to_owned(),
        address: address.to_owned(),
        state: NodeState::Ready,
        zone: ZoneId(0),
        shard: ShardId(0),
        start: None,
    };
    core_thread.core.handle_endpoint_list(core_thread.now, ListKind::Complete, 0, 1, &[entry]);
}

/// Submits a command that reads one block, which no other command reads.
fn read_block(core_thread: &mut CoreThread, command: u32) {
    core_thread.core.handle_command(
        core_thread.now,
        ClientCommand {
            from: CommandId { session: 1, command },
            lun: 0,
            block: u64::from(command),
            work: Work::Read { blocks: 1 },
            received_at: core_thread.now,
            timeout: None,
            idempotency_key: None,
        },
    );
    core_thread.execute_outputs();
}

/// A host is suspended for longer than its lease while its core thread handles the queue; meanwhile an operator requests the status. After
/// the process resumes, the thread finds the call in the queue within the same iteration. If it used the time at which the iteration
/// began, it would report the lease as valid, and with it plans that other hosts have replaced.
#[test]
fn events_are_handled_no_earlier_than_they_were_queued() {
    let clock = Clock::start();
    let (mut core_thread, events) = core_thread(clock);
    let (to_urgent, urgent) = crossbeam_channel::unbounded();
    let iteration_began_at = core_thread.now;
    let (answer_to, status) = crossbeam_channel::bounded(1);
    to_urgent.send(Event::Status { answer_to }).unwrap();
    let queued_at = clock.now();
    assert!(queued_at > iteration_began_at, "the clock stands still");
    assert!(core_thread.handle_events(None, &urgent, &events).is_continue());
    status.try_recv().expect("the call was answered");
    assert!(core_thread.now >= queued_at, "handled by a time before it was queued");
}

/// A host is suspended after it has handled its events and before it executes their outputs. The core makes decisions while its outputs
/// are polled, so a lease that expired during the pause must not be used for them.
#[test]
fn decisions_are_made_by_the_time_after_a_pause() {
    let clock = Clock::start();
    let (mut core_thread, _events) = core_thread(clock);
    let continued_at = clock.now();
    core_thread.execute_outputs();
    assert!(core_thread.now >= continued_at, "decided by a time before the pause");
}

/// Commands of clients and an update of the endpoint list, by which a node drains, are queued. If a command were taken first, the host
/// would send it to a node whose drain has already begun. The test repeats this, because a random choice is right half of the time.
#[test]
fn urgent_event_is_taken_before_those_that_wait() {
    let (mut core_thread, _) = core_thread(Clock::start());
    let (to_urgent, urgent) = crossbeam_channel::unbounded();
    let (to_events, events) = crossbeam_channel::unbounded();
    to_events.send(Event::SessionClosed { session: 1 }).unwrap();
    for repetition in 0..64 {
        let (kind, entries) = (ListKind::Changes, Vec::new());
        to_urgent.send(Event::List { kind, from: 1, to: 2, entries }).unwrap();
        let first = core_thread.wait_for_event(&urgent, &events);
        assert!(matches!(first, Some(Event::List { .. })), "repetition {repetition}");
    }
}

/// Changes are missing, and the queue to the list client is full when the complete list is to be fetched. The fetch is lost, so the list
/// must be requested again once the queue has room; otherwise the host would miss a drain among the missing changes.
#[test]
fn list_is_requested_again_after_a_fetch_found_the_queue_full() {
    let clock = Clock::start();
    let (to_list, commands) = crossbeam_channel::bounded(1);
    let (mut core_thread, _events) = core_thread_with_list(clock, to_list);
    core_thread.execute_outputs();
    assert!(commands.is_full(), "the command to follow the list is in the queue");
    core_thread.core.handle_endpoint_list(clock.now(), ListKind::Changes, 7, 9, &[]);
    core_thread.execute_outputs();
    assert!(matches!(commands.try_recv(), Ok(ListCommand::Follow { since: 0 })));
    let since = Wall::now();
    while commands.is_empty() {
        assert!(since.elapsed() < Duration::from_secs(5), "the list is not requested again");
        std::thread::sleep(Duration::from_millis(5));
        core_thread.read_clock();
        core_thread.core.handle_timeout(core_thread.now);
        core_thread.execute_outputs();
    }
    assert!(matches!(commands.try_recv(), Ok(ListCommand::Follow { since: 0 })), "not the complete list");
}

/// The link to a node waits for the node's hello, and its queue is full. Attempts that the queue can't take never reach the node. If they
/// counted as its failures, a node that may be healthy would be ejected.
#[test]
fn a_full_link_queue_does_not_eject_the_node() {
    let (mut core_thread, _events) = core_thread(Clock::start());
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    list_node(&mut core_thread, &node.local_addr().unwrap().to_string());
    (0..COMMAND_COUNT).for_each(|command| read_block(&mut core_thread, command));
    let attempts = core_thread.core.counters.attempts;
    assert!(attempts >= u64::from(COMMAND_COUNT), "{attempts} attempts: the node is ejected");
}

/// A node's address is not an IP address and a port. No attempt can reach the node, so it is ejected like any node that refuses
/// connections.
#[test]
fn a_node_without_a_usable_address_is_ejected() {
    let (mut core_thread, _events) = core_thread(Clock::start());
    list_node(&mut core_thread, "node-of-no-address");
    (0..COMMAND_COUNT).for_each(|command| read_block(&mut core_thread, command));
    assert_eq!(core_thread.core.counters.attempts, FAILURES_TO_EJECT);
}
