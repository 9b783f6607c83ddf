//! A host between stand-ins, all on loopback.
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

pub const PATIENCE: Duration = Duration::from_secs(5);

pub struct Pool {
    pub recorder: Recorder,
    pub nodes: Vec<Node>,
    pub list: NodeList,
    pub host: Host,
}

pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Settings of one host over shards 0 and 1; `more` is added as it is.
pub fn settings(list: SocketAddr, more: &str) -> HostSettings {
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
        {more}
        "#
    );
    HostSettings::parse("test", &text).unwrap()
}

pub fn entry(n: &Node) -> Entry {
    Entry {
        address: n.address().to_string(),
        state: State::Ready,
        zone: n.zone(),
        shard: n.shard(),
        started_us: n.started_us(),
    }
}

pub fn pool(nature: NodeBehavior, more: &str) -> Pool {
    let recorder = Recorder::default();
    let marks = Arc::new(IdempotencyKeys::default());
    let node = |shard| {
        Node::start(NodeSettings {
            address: loopback(),
            shard,
            zone: 0,
            behavior: nature.clone(),
            seed: u64::from(shard) + 1,
            max_data: 1 << 20,
            report_every: Duration::from_millis(50),
            idempotency_keys: marks.clone(),
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
    let host = Host::start(settings(list.address, more)).unwrap();
    // The list is asked at the start; clients before its answer would wait, which tests don't want.
    let until = std::time::Instant::now() + PATIENCE;
    while host.status().is_none_or(|s| s.nodes.len() < nodes.len()) {
        assert!(std::time::Instant::now() < until, "no node list in {PATIENCE:?}");
        std::thread::sleep(Duration::from_millis(2));
    }
    Pool { recorder, nodes, list, host }
}

impl Pool {
    pub fn client(&self, digests: Digests, deadline_ms: Option<u32>) -> Client {
        let login = Login {
            address: self.host.address,
            target: "iqn.2026-12.org.tackmast:pool".into(),
            name: "iqn.2026-12.org.tackmast:test".into(),
            digests,
            deadline_ms,
            timeout: PATIENCE,
        };
        let (to, replies) = crossbeam_channel::unbounded();
        Client { initiator: Initiator::login(&login, 0, to, self.recorder.clone()).unwrap(), replies }
    }

    pub fn end(self) {
        self.host.stop();
        self.list.stop();
        self.nodes.iter().for_each(Node::stop);
    }
}

pub struct Client {
    pub initiator: Initiator,
    pub replies: Receiver<LabelledReply>,
}

impl Client {
    pub fn ask(&self, label: u64, lun: u32, block: u64, operation: IoOperation) -> Option<u32> {
        let ask =
            IoRequest { lun, traffic_class: 0, block, block_bytes: 512, operation, deadline_us: 1_500_000 };
        self.initiator.submit(label, &ask, PATIENCE)
    }
    pub fn reply(&self) -> (u64, Reply) {
        let LabelledReply { label, reply } = self.replies.recv_timeout(PATIENCE).expect("an answer in time");
        (label, reply)
    }
    pub fn write(&self, lun: u32, block: u64, data: Vec<u8>) -> Reply {
        self.ask(0, lun, block, IoOperation::Write { data: data.into() });
        self.reply().1
    }
    pub fn read(&self, lun: u32, block: u64, blocks: u32) -> Reply {
        self.ask(0, lun, block, IoOperation::Read { blocks });
        self.reply().1
    }
}

/// Bytes that tell where they belong.
pub fn pattern(seed: u64, bytes: usize) -> Vec<u8> {
    let mut chance = oorandom::Rand64::new(u128::from(seed));
    (0..bytes).map(|_| chance.rand_u64() as u8).collect()
}

pub fn done(data: Vec<u8>) -> Reply {
    Reply::Done(Bytes::from(data))
}
