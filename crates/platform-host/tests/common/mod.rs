//! A test cluster on loopback: a host between emulators of its nodes, its endpoint list and its clients.

// Each test file uses only a part of this module.
#![allow(dead_code)]

pub mod stepped_host;

use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tackmast_emulators::http::{HttpClient, HttpEndpointList, HttpNode, ListMember, Received};
use tackmast_http::Response;
use tackmast_platform::Configuration;
use tackmast_platform_host::{Host, ProcessSignal, Status};

/// Time that a test waits for an expected event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(6);

/// A host that runs in its own thread, with its nodes and its endpoint list.
pub struct TestCluster {
    pub nodes: Vec<HttpNode>,
    pub endpoint_list: HttpEndpointList,
    /// The address at which the host accepts clients.
    pub address: SocketAddr,
    /// The configuration file that the next reload reads.
    config: Arc<Mutex<String>>,
    shutdown_signal: UnixStream,
    reload_signal: UnixStream,
    host: Option<JoinHandle<Status>>,
    /// Number of requests that were made, which is also the number of the last one.
    request_count: u32,
}

pub fn member(id: &str, node: &HttpNode, shard: u32, phase: &'static str) -> ListMember {
    ListMember { id: id.into(), address: node.address(), shard, phase, up_since_ms: 0 }
}

/// Returns the loopback address with port 0, with which the system picks a free port.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn config(listen: SocketAddr, list: SocketAddr, known: &str, sockets: usize) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{list}","seed":"7",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":{sockets}}},"known":{known},
        "settings":{{"balancers":1,"granularity":0.002,"areas":["a"],"registry_mode":"ask",
          "domain":{{"unit_mean":2.0,"largest":6,"says_others":true,"cold_bears":8.0}},
          "guarantees":{{"drain_grace":1.0,"cold":1.0,"cold_from":0.3,"fall":3.0,"fall_multiple":2.5}},
          "limits":{{"retry_after":true,"max_retry_after":0.5,"conn_idle":30.0,"connect_timeout":0.25,"max_attempts":3}},
          "report":{{"fields":["q"],"how":"inline"}},
          "request_classes":[
            {{"name":"read","effect":"repeatable","target":0.3,"give_up":1.5}},
            {{"name":"once","effect":"once","target":0.4,"give_up":3.0}}],
          "grades":[{{"name":"gold","proportion":2.0}}]}}}}"#
    )
}

impl TestCluster {
    pub fn new() -> TestCluster {
        TestCluster::with_sockets(256)
    }

    /// Starts a host that may open this number of sockets, with two nodes, for shards 0 and 1.
    pub fn with_sockets(sockets: usize) -> TestCluster {
        let nodes = vec![HttpNode::start().unwrap(), HttpNode::start().unwrap()];
        let endpoint_list = HttpEndpointList::start().unwrap();
        endpoint_list.add_initial(member("s-0", &nodes[0], 0, "Ready"));
        endpoint_list.add_initial(member("s-1", &nodes[1], 1, "Ready"));
        let text = config(any_port(), endpoint_list.address(), &endpoint_list.to_json(), sockets);
        let config = Arc::new(Mutex::new(text.clone()));
        let (shutdown_signal, shutdown_receiver) = UnixStream::pair().unwrap();
        let (reload_signal, reload_receiver) = UnixStream::pair().unwrap();
        let (reloaded, (address_sender, address_receiver)) = (config.clone(), std::sync::mpsc::channel());
        let run = move || {
            let mut host = Host::start(&Configuration::parse(text.as_bytes()).unwrap()).unwrap();
            host.register_signal(ProcessSignal::Shutdown, shutdown_receiver).unwrap();
            host.register_signal(ProcessSignal::Reload, reload_receiver).unwrap();
            address_sender.send(host.address().unwrap()).unwrap();
            host.run(|| Configuration::parse(reloaded.lock().unwrap().as_bytes()));
            host.status()
        };
        let host = Some(std::thread::spawn(run));
        let address = address_receiver.recv().unwrap();
        TestCluster {
            nodes,
            endpoint_list,
            address,
            config,
            shutdown_signal,
            reload_signal,
            host,
            request_count: 0,
        }
    }

    pub fn client(&self) -> HttpClient {
        HttpClient::connect(self.address).unwrap()
    }

    /// Returns a valid read request with a new id.
    pub fn read_request(&mut self, shard: u32) -> Vec<u8> {
        self.request("GET", "read", shard, "")
    }

    /// Returns a valid request with a new id.
    pub fn request(&mut self, method: &str, class: &str, shard: u32, body: &str) -> Vec<u8> {
        self.request_count += 1;
        let id = format!("{:016x}", self.request_count);
        self.request_with_id(&id, method, class, shard, body)
    }

    pub fn request_with_id(
        &mut self,
        id: &str,
        method: &str,
        class: &str,
        shard: u32,
        body: &str,
    ) -> Vec<u8> {
        format!(
            "{method} /api/00000000000000aa/{:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
             X-Storage-Class: gold\r\nX-Budget-Ms: 1000\r\nX-Extent: units=1,shard={shard},hosts=1\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.request_count,
            body.len()
        )
        .into_bytes()
    }

    /// Sends one request on a new connection, and returns the response.
    pub fn call(&mut self, class: &str, shard: u32) -> Response {
        let mut client = self.client();
        client.send(&self.request("GET", class, shard, ""));
        receive_response(&mut client)
    }

    /// Replaces a part of the configuration file and makes the host read it again.
    pub fn reload(&mut self, from: &str, to: &str) {
        let mut config = self.config.lock().unwrap();
        *config = config.replace(from, to);
        drop(config);
        self.reload_signal.write_all(b"x").unwrap();
    }

    /// Signals the host to shut down.
    pub fn begin_shutdown(&mut self) {
        self.shutdown_signal.write_all(b"x").unwrap();
    }

    /// Shuts the host down, and returns its last status.
    pub fn shut_down(mut self) -> Status {
        self.begin_shutdown();
        self.host.take().unwrap().join().unwrap()
    }

    /// Returns whether the host's thread has ended.
    pub fn has_ended(&self) -> bool {
        self.host.as_ref().is_none_or(|host| host.is_finished())
    }

    /// Returns the number of requests that all nodes have received.
    pub fn received_request_count(&self) -> usize {
        self.nodes.iter().map(|node| node.received_requests().len()).sum()
    }
}

pub fn receive_response(client: &mut HttpClient) -> Response {
    match client.receive(TEST_TIMEOUT) {
        Received::Response(response) => *response,
        other => panic!("expected a response, received {other:?}"),
    }
}

pub fn body(response: &Response) -> String {
    String::from_utf8_lossy(&response.body).into_owned()
}

/// Waits until a condition holds; panics with its description if it never does.
pub fn wait_until(description: &str, holds: impl Fn() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < TEST_TIMEOUT, "{description}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
