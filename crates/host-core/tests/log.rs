//! The form of events in the log: a fixed message and fields, which staff on call can search for and count.

use std::io::Write;
use std::sync::{Arc, Mutex};
use tackmast::interface::{Instant, ListKind, NodeId, NodeState, SchedulerEvent, ShardId, TimeDelta, ZoneId};
use tackmast_config::HostSettings;
use tackmast_host_core::*;
use tracing_subscriber::fmt::MakeWriter;

const SETTINGS: &str = r#"
host {
  number = 0
  hosts = 1
  listen = "127.0.0.1:0"
  node_list = "127.0.0.1:1"
}
load {
  longest_wait_s = 1
}
units {
  bytes = 4096
  most = 8
  mean = 1
}
plan "basic" {}
stream "read" {
  slo_ms = 200
  expiry_ms = 1000
  effect = "repeatable"
}
volume "v" {
  lun = 1
  plan = "basic"
  blocks = 10000
  extent_blocks = 10
  shards = [0]
  hosts = 1
  reads = "read"
  writes = "read"
}
"#;

/// Collects the bytes that are logged.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = LogBuffer;

    fn make_writer(&'a self) -> LogBuffer {
        self.clone()
    }
}

/// Calls `run` and returns the JSON of each event that it logged.
fn logged(run: impl FnOnce()) -> Vec<serde_json::Value> {
    let buffer = LogBuffer::default();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .with_max_level(tracing_subscriber::filter::LevelFilter::DEBUG)
        .with_writer(buffer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, run);
    let bytes = buffer.0.lock().unwrap().clone();
    let lines = String::from_utf8(bytes).unwrap();
    lines.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

fn nodes() -> (Nodes, NodeId) {
    let mut nodes = Nodes::new(4);
    let listed = ListEntry {
        id: "a".into(),
        address: "10.0.0.1:9003".into(),
        state: NodeState::Ready,
        zone: ZoneId(0),
        shard: ShardId(0),
        start: None,
    };
    let entry = nodes.upsert(Instant::from_secs(1.0), &listed).unwrap();
    (nodes, entry.node)
}

/// With hundreds of hosts, staff on call count events by message and fields. A value inside the message would make each line differ.
#[test]
fn an_event_is_logged_as_its_message_and_its_fields() {
    let (nodes, node) = nodes();
    let uptime = TimeDelta::from_secs(1.5);
    let restarted = HostEvent::Scheduler(SchedulerEvent::NodeRestarted { node, uptime });
    let change =
        PlanEvent::ChangeApplied { change: 7, who: "ann".into(), reason: "museum week".into(), updates: 2 };
    let lines = logged(|| {
        log_event(Some(4), &nodes, &restarted);
        log_event(None, &nodes, &HostEvent::Plan(change));
    });
    assert_eq!(
        lines[0]["fields"],
        serde_json::json!({
            "message": "node restarted: slow start", "host": 4, "node": "10.0.0.1:9003", "uptime_secs": 1.5
        })
    );
    assert_eq!(
        lines[1]["fields"],
        serde_json::json!({
            "message": "plans: change applied", "change": 7, "who": "ann", "reason": "museum week", "updates": 2
        })
    );
    assert!(lines.iter().all(|line| line["level"] == "INFO"), "{lines:?}");
}

/// A client's requests are rejected, and its operator asks why. Without the reason in the log of the level debug nobody could tell.
#[test]
fn the_reason_of_a_rejected_request_is_logged_at_the_level_debug() {
    let settings = HostSettings::parse("test", SETTINGS).unwrap();
    let mut now = Instant::from_secs(10.0);
    let mut core = Core::new(now, &settings, 1, 99);
    core.handle_endpoint_list(now, ListKind::Complete, 0, 5, &[]);
    let lines = logged(|| {
        core.handle_command(
            now,
            ClientCommand {
                from: CommandId { session: 1, command: 1 },
                lun: 1,
                block: 0,
                work: Work::Read { blocks: 1 },
                received_at: now,
                timeout: None,
                idempotency_key: None,
            },
        );
        while let Some(due) = core.poll_timeout(now).filter(|due| due.secs() < 12.0) {
            now = due.max(now + TimeDelta::from_micros(1));
            core.handle_timeout(now);
            while core.poll_output(now).is_some() {}
        }
    });
    let rejected: Vec<_> =
        lines.iter().filter(|line| line["fields"]["message"] == "request rejected").collect();
    assert_eq!(rejected.len(), 1, "{lines:?}");
    assert_eq!(rejected[0]["level"], "DEBUG");
    // There is no node, so the request is held until it is too late for its latency objective.
    assert_eq!(rejected[0]["fields"]["reason"], "TooLate");
    assert_eq!(rejected[0]["fields"]["held_by"], "NoReadyNode");
    assert_eq!(core.counters.commands_rejected, 1);
}
