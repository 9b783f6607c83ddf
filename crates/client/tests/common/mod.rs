//! A host between emulated nodes and recording proxies, for the tests of the client library.
#![allow(dead_code)] // Each test file uses a part of this module.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tackmast_client::{Options, Protocol};
use tackmast_config::HostSettings;
use tackmast_emulators::list::NodeList;
use tackmast_emulators::model::NodeBehavior;
use tackmast_emulators::node::{IdempotencyKeys, Node, NodeSettings};
use tackmast_emulators::recording_proxy;
use tackmast_host::Host;
use tackmast_trace::{EffectKind, Event, Facts, Recorder, TrafficClassFacts};

/// Longest wait for an expected event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the settings of one host that serves shards 0 and 1.
fn host_settings(list: SocketAddr) -> HostSettings {
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
        bounds {{
          window = 16
        }}
        units {{
          bytes = 4096
          most = 8
          mean = 2
        }}
        plan "basic" {{}}
        stream "read" {{
          slo_ms = 300
          expiry_ms = 1000
          effect = "repeatable"
        }}
        stream "write" {{
          slo_ms = 300
          expiry_ms = 1000
          effect = "repeatable"
        }}
        stream "log" {{
          slo_ms = 300
          expiry_ms = 1000
          effect = "unrepeatable"
        }}
        volume "museum" {{
          lun = 0
          plan = "basic"
          blocks = 16384
          extent_blocks = 64
          shards = [0, 1]
          hosts = 1
          reads = "read"
          writes = "write"
        }}
        volume "listening" {{
          lun = 1
          plan = "basic"
          blocks = 16384
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

/// A host with two emulated nodes and their endpoint list, whose traffic is recorded.
pub struct TestGateway {
    pub recorder: Recorder,
    pub nodes: Vec<Node>,
    pub list: NodeList,
    pub host: Host,
    /// Cuts connections between clients and the host.
    pub cutter: recording_proxy::Cutter,
}

impl TestGateway {
    /// Starts the gateway, and returns once the host knows both nodes.
    pub fn start() -> TestGateway {
        let recorder = Recorder::default();
        recorder.note(Event::Facts(facts()));
        let idempotency_keys = Arc::new(IdempotencyKeys::default());
        let node = |shard| {
            Node::start(NodeSettings {
                behavior: NodeBehavior { unit_s: 0.0005, cores: 2, ..NodeBehavior::default() },
                report_every: Duration::from_millis(50),
                idempotency_keys: idempotency_keys.clone(),
                ..NodeSettings::on_loopback(shard, recorder.clone())
            })
            .unwrap()
        };
        let nodes: Vec<Node> = (0..2).map(node).collect();
        let list = NodeList::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), recorder.clone()).unwrap();
        list.put(nodes.iter().map(Node::list_entry));
        let host = Host::start(host_settings(list.address)).unwrap();
        let timeout_at = Instant::now() + TEST_TIMEOUT;
        while host.status().is_none_or(|s| s.nodes.len() < 2) {
            assert!(Instant::now() < timeout_at, "no node list");
            std::thread::sleep(Duration::from_millis(2));
        }
        TestGateway { recorder, nodes, list, host, cutter: recording_proxy::Cutter::default() }
    }

    /// Returns options for a client, and starts a recording proxy for its traffic.
    pub fn options(&self, protocol: Protocol, volume: &str) -> Options {
        let (proxy_protocol, host) = match protocol {
            Protocol::Iscsi => (recording_proxy::Protocol::Iscsi, self.host.address),
            Protocol::Nbd => (recording_proxy::Protocol::Nbd, self.host.nbd.unwrap()),
        };
        let known_volume = |(lun, name, writes): (u32, &str, u32)| recording_proxy::VolumeInfo {
            lun,
            name: name.into(),
            block_bytes: 512,
            read_class: 0,
            write_class: writes,
            read_deadline_us: 1_000_000,
            write_deadline_us: 1_000_000,
        };
        let volumes = [(0, "museum", 1), (1, "listening", 2)].map(known_volume).to_vec();
        let address = recording_proxy::start(recording_proxy::ProxySettings {
            protocol: proxy_protocol,
            host,
            host_number: 0,
            volumes,
            recorder: self.recorder.clone(),
            cutter: self.cutter.clone(),
        })
        .unwrap();
        let lun = u32::from(volume == "listening");
        Options {
            timeout: Duration::from_millis(900),
            seed: 5,
            ..Options::new(protocol, address, volume, lun)
        }
    }

    /// Checks the recorded events against the seven invariants.
    pub fn rules(&self) -> tackmast_invariants::Report {
        tackmast_invariants::judge(&self.recorded())
    }

    /// Waits until every outstanding answer has arrived, and returns all recorded events.
    pub fn recorded(&self) -> Vec<tackmast_trace::Line> {
        // Longer than any deadline of the settings above.
        std::thread::sleep(Duration::from_millis(1200));
        self.recorder.note(Event::Fault { what: "end".into(), on: false });
        self.recorder.take()
    }

    /// Asserts that the recorded events keep the invariants, and stops the host, the list and the nodes.
    pub fn check_and_stop(self) {
        let rules = self.rules();
        assert!(rules.is_clean() && rules.rule(1).checked > 0, "{rules}");
        self.stop();
    }

    /// Stops the host, the list and the nodes without a check of the invariants. Used where the proxy can't number the sessions, as
    /// with the public NBD protocol, and by tests that check the invariants themselves.
    pub fn stop(self) {
        self.host.stop();
        self.list.stop();
        self.nodes.iter().for_each(Node::stop);
    }
}

/// Returns the settings of `host_settings` in the form that the invariants take.
fn facts() -> Facts {
    let traffic_class = |name: &str, effect| TrafficClassFacts {
        name: name.into(),
        latency_objective_us: 300_000,
        effect,
        window_us: 0,
        in_order: false,
    };
    Facts {
        traffic_classes: vec![
            traffic_class("read", EffectKind::Idempotent),
            traffic_class("write", EffectKind::Idempotent),
            traffic_class("log", EffectKind::NonIdempotent),
        ],
        volumes: vec![],
        unit_bytes: 4096,
        max_units: 8.0,
        answer_slack_us: 50_000,
        grace_us: 250_000,
        slow_start_safe_units: f64::MAX,
        skew_us: 50_000,
        ..Facts::default()
    }
}
