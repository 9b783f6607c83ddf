//! A host with emulated nodes, their endpoint list and emulated clients, all on loopback.
#![allow(dead_code)] // each test file uses its own part

use bytes::Bytes;
use crossbeam_channel::Receiver;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tackmast_config::HostSettings;
use tackmast_emulators::initiator::{Initiator, IoOperation, IoRequest, LabelledReply, Login, Reply};
use tackmast_emulators::list::NodeList;
use tackmast_emulators::model::NodeBehavior;
use tackmast_emulators::node::{IdempotencyKeys, Node, NodeSettings};
use tackmast_host::Host;
use tackmast_trace::Recorder;
use tackmast_wire::iscsi::Digests;
use tackmast_wire::list::{Entry, State};

/// How long a test waits for an event that must happen.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A host with two nodes and their endpoint list.
pub struct TestCluster {
    pub recorder: Recorder,
    pub nodes: Vec<Node>,
    pub list: NodeList,
    pub host: Host,
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns the settings of a single host with volumes on shards 0 and 1.
pub fn settings(list: SocketAddr) -> HostSettings {
    let text = format!(
        r#"
        host {{
          number = 0
          hosts = 1
          listen = "127.0.0.1:0"
          listen_nbd = "127.0.0.1:0"
          node_list = "{list}"
          seed = 7
        }}
        units {{
          bytes = 4096
          most = 8
          mean = 2
        }}
        plan "basic" {{}}
        stream "read" {{
          slo_ms = 300
          expiry_ms = 1500
          effect = "repeatable"
        }}
        stream "write" {{
          slo_ms = 300
          expiry_ms = 1500
          effect = "repeatable"
        }}
        stream "log" {{
          slo_ms = 300
          expiry_ms = 1500
          effect = "unrepeatable"
          in_order = true
        }}
        volume "museum" {{
          lun = 1
          plan = "basic"
          blocks = 65536
          extent_blocks = 64
          shards = [0, 1]
          hosts = 1
          reads = "read"
          writes = "write"
        }}
        volume "listening" {{
          lun = 300
          plan = "basic"
          blocks = 65536
          extent_blocks = 64
          shards = [0, 1]
          hosts = 1
          reads = "read"
          writes = "log"
        }}
        "#
    );
    HostSettings::parse("test", &text).unwrap()
}

/// Returns a node's entry in the endpoint list.
fn entry(node: &Node) -> Entry {
    Entry {
        address: node.address().to_string(),
        state: State::Ready,
        zone: node.zone(),
        shard: node.shard(),
        started_us: node.started_us(),
    }
}

impl TestCluster {
    /// Starts the cluster with nodes of this behavior. Returns once the host knows both nodes.
    pub fn start(behavior: NodeBehavior) -> TestCluster {
        let recorder = Recorder::default();
        let idempotency_keys = Arc::new(IdempotencyKeys::default());
        let node = |shard| {
            Node::start(NodeSettings {
                address: loopback(),
                shard,
                zone: 0,
                behavior: behavior.clone(),
                seed: u64::from(shard) + 1,
                max_data: 1 << 20,
                report_every: Duration::from_millis(50),
                idempotency_keys: idempotency_keys.clone(),
                window_s: 5.0,
                has_just_started: false,
                store: Arc::default(),
                receive_bytes: 0,
                advertised_address: None,
                recorder: recorder.clone(),
            })
            .unwrap()
        };
        let nodes: Vec<Node> = (0..2).map(node).collect();
        let list = NodeList::start(loopback(), recorder.clone()).unwrap();
        list.put(nodes.iter().map(entry));
        let host = Host::start(settings(list.address)).unwrap();
        // Commands that arrive before the list's answer would wait, and tests with short deadlines would fail.
        let deadline = std::time::Instant::now() + TEST_TIMEOUT;
        while host.status().is_none_or(|status| status.nodes.len() < nodes.len()) {
            assert!(std::time::Instant::now() < deadline, "no node list in {TEST_TIMEOUT:?}");
            std::thread::sleep(Duration::from_millis(2));
        }
        TestCluster { recorder, nodes, list, host }
    }

    /// Returns a client that has logged in.
    pub fn client(&self, digests: Digests, deadline_ms: Option<u32>) -> Client {
        let login = Login {
            address: self.host.address,
            target: "iqn.2026-12.org.tackmast:pool".into(),
            name: "iqn.2026-12.org.tackmast:test".into(),
            digests,
            deadline_ms,
            timeout: TEST_TIMEOUT,
        };
        let (replies_to, replies) = crossbeam_channel::unbounded();
        Client { initiator: Initiator::login(&login, 0, replies_to, self.recorder.clone()).unwrap(), replies }
    }

    /// Stops all processes.
    pub fn stop(self) {
        self.host.stop();
        self.list.stop();
        self.nodes.iter().for_each(Node::stop);
    }
}

/// An emulated initiator and the replies that it receives.
pub struct Client {
    pub initiator: Initiator,
    pub replies: Receiver<LabelledReply>,
}

impl Client {
    fn send(&self, lun: u32, block: u64, operation: IoOperation) {
        let deadline_us = 1_500_000;
        let request = IoRequest { lun, traffic_class: 0, block, block_bytes: 512, operation, deadline_us };
        self.initiator.submit(0, &request, TEST_TIMEOUT);
    }

    /// Waits for the next reply and returns it.
    pub fn receive(&self) -> Reply {
        self.replies.recv_timeout(TEST_TIMEOUT).expect("an answer in time").reply
    }

    pub fn write(&self, lun: u32, block: u64, data: Vec<u8>) -> Reply {
        self.send(lun, block, IoOperation::Write { data: data.into() });
        self.receive()
    }

    pub fn read(&self, lun: u32, block: u64, blocks: u32) -> Reply {
        self.send(lun, block, IoOperation::Read { blocks });
        self.receive()
    }
}

/// Returns pseudorandom bytes that depend on `seed`.
pub fn pattern(seed: u64, bytes: usize) -> Vec<u8> {
    let mut random = oorandom::Rand64::new(u128::from(seed));
    (0..bytes).map(|_| random.rand_u64() as u8).collect()
}

pub fn done(data: Vec<u8>) -> Reply {
    Reply::Done(Bytes::from(data))
}
