//! What time the core's thread gives to the core, which event it takes first, and what it does with outputs that can't be handed on.

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

/// Failures for which a node is ejected that has answered nothing well.
const FAILURES_TO_EJECT: u64 = 6;
/// Of so many commands, the last is not sent to a node that was ejected for the attempts of those before it: at most two of these are
/// taken by the link and its queue. Many more would wait for the retries of the first, whatever the node's health.
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

/// A core's thread that has not begun to run, and the queue of its links' events.
fn core_thread(clock: Clock) -> (CoreThread, Receiver<Event>) {
    core_thread_with_list(clock, crossbeam_channel::unbounded().0)
}

/// The same, with this queue towards the endpoint list.
fn core_thread_with_list(clock: Clock, to_list: Sender<ListCommand>) -> (CoreThread, Receiver<Event>) {
    let settings = Arc::new(HostSettings::parse("test", SETTINGS).unwrap());
    let core = Core::new(clock.now(), &settings, 1, 1);
    let (link_events, from_links) = crossbeam_channel::unbounded();
    let links = Links::new(settings.clone(), clock, link_events, 1);
    (CoreThread::new(core, settings, clock, links, to_list, None, None), from_links)
}

/// Lists one node, at this address.
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

/// A client reads one block, which no other command reads.
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

/// A host is suspended while its core's thread goes through the queue, for longer than its lease; meanwhile an operator asks for the
/// status. When the process continues, the thread finds that call in the queue within the same iteration. Handled by the time at which the
/// iteration began, the lease would still be reported as valid, and with it plans that other hosts have long replaced.
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

/// A host is suspended after it has handled its events and before it executes what they caused. The core makes its decisions while its
/// outputs are taken, so a lease that ended during the pause must not be used for them.
#[test]
fn decisions_are_made_by_the_time_after_a_pause() {
    let clock = Clock::start();
    let (mut core_thread, _events) = core_thread(clock);
    let continued_at = clock.now();
    core_thread.execute_outputs();
    assert!(core_thread.now >= continued_at, "decided by a time before the pause");
}

/// Commands of clients wait when a part of the endpoint list does, by which a node drains. If a command were taken first, the host would
/// send it to that node, while the drain counts from when the list was read. Repeated, as a random choice is right half of the time.
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

/// Changes are missing, and the queue towards the list is full when the complete list is to be fetched. The fetch is lost, so the list must be
/// asked again once there is room; until then the host does not know of a drain among the missing changes.
#[test]
fn list_is_asked_again_after_a_fetch_that_found_its_queue_full() {
    let clock = Clock::start();
    let (to_list, commands) = crossbeam_channel::bounded(1);
    let (mut core_thread, _events) = core_thread_with_list(clock, to_list);
    core_thread.execute_outputs();
    assert!(commands.is_full(), "the watch waits in the queue");
    core_thread.core.handle_endpoint_list(clock.now(), ListKind::Changes, 7, 9, &[]);
    core_thread.execute_outputs();
    assert!(matches!(commands.try_recv(), Ok(ListCommand::Follow { since: 0 })));
    let since = Wall::now();
    while commands.is_empty() {
        assert!(since.elapsed() < Duration::from_secs(5), "the list is not asked again");
        std::thread::sleep(Duration::from_millis(5));
        core_thread.read_clock();
        core_thread.core.handle_timeout(core_thread.now);
        core_thread.execute_outputs();
    }
    assert!(matches!(commands.try_recv(), Ok(ListCommand::Follow { since: 0 })), "not the complete list");
}

/// The link to a node waits for the node's hello, and its queue is full. The attempts that the queue can't take never reach the node, and
/// say nothing of it: counted as failures, they would eject a node that may be well.
#[test]
fn a_full_link_queue_does_not_eject_the_node() {
    let (mut core_thread, _events) = core_thread(Clock::start());
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    list_node(&mut core_thread, &node.local_addr().unwrap().to_string());
    (0..COMMAND_COUNT).for_each(|command| read_block(&mut core_thread, command));
    let attempts = core_thread.core.counters.attempts;
    assert!(attempts >= u64::from(COMMAND_COUNT), "{attempts} attempts: the node is ejected");
}

/// A node's address is not one to connect to. No attempt can reach the node, so it is ejected as any other that takes no connection.
#[test]
fn a_node_without_a_usable_address_is_ejected() {
    let (mut core_thread, _events) = core_thread(Clock::start());
    list_node(&mut core_thread, "node-of-no-address");
    (0..COMMAND_COUNT).for_each(|command| read_block(&mut core_thread, command));
    assert_eq!(core_thread.core.counters.attempts, FAILURES_TO_EJECT);
}
