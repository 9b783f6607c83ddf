//! A host process at the smallest limits that the platform's pages allow, between stand-ins of its nodes and its endpoint list.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tackmast_emulators::http::{HttpEndpointList, ListMember};

/// The memory limit of the host, in MB.
pub const MEMORY_MB: u64 = 32;
/// The limit on descriptors of the host.
pub const DESCRIPTORS: usize = 256;
/// The number of nodes; each holds the shard of its number.
pub const NODES: u32 = 4;

/// The first characters of the ids of requests that must not run twice; the others may be retried.
pub const NON_IDEMPOTENT_ID_PREFIX: &str = "once-";

/// How a stand-in of a node answers.
#[derive(Clone, Copy, Debug)]
pub struct NodeBehaviour {
    /// Time from the request to the answer.
    pub delay: Duration,
    /// Length of the body of an answer, in bytes.
    pub body_bytes: usize,
    /// Whether large answers stop before their last byte.
    pub stalls: bool,
}

/// The requests that all nodes have received: for each request id, the times at which its last byte had come.
pub type ReceivedRequests = Arc<Mutex<HashMap<String, Vec<Instant>>>>;

/// A running host with its surroundings. Dropping it kills the process.
pub struct Cluster {
    process: Child,
    pub address: SocketAddr,
    pub received: ReceivedRequests,
    _endpoint_list: HttpEndpointList,
    _folder: tempfile::TempDir,
}

impl Cluster {
    /// Starts the nodes, the endpoint list and the host, and waits until the host is ready.
    pub fn start(behaviour: NodeBehaviour) -> Cluster {
        let received = ReceivedRequests::default();
        let endpoint_list = HttpEndpointList::start().unwrap();
        for shard in 0..NODES {
            let address = start_node(behaviour, received.clone());
            let id = format!("s-{shard}");
            endpoint_list.add_initial(ListMember { id, address, shard, phase: "Ready", up_since_ms: 0 });
        }
        let address = unused_address();
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        std::fs::write(&file, configuration(address, &endpoint_list)).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_tackmast"))
            .args(["serve", "--platform"])
            .env("NODE_CONFIG", &file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let cluster = Cluster { process, address, received, _endpoint_list: endpoint_list, _folder: folder };
        cluster.wait_until_ready();
        cluster
    }

    fn wait_until_ready(&self) {
        let since = Instant::now();
        while health_status(self.address) != Some(200) {
            assert!(since.elapsed() < Duration::from_secs(20), "the host is not ready");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the largest resident memory that the host has had, in KB; `None` once it has ended.
    pub fn peak_memory_kb(&self) -> Option<u64> {
        self.status_field("VmHWM:")
    }

    /// Returns the resident memory of the host, in KB; `None` once it has ended.
    pub fn memory_kb(&self) -> Option<u64> {
        self.status_field("VmRSS:")
    }

    /// Returns the number of descriptors that the host has open.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.process.id())).map_or(0, Iterator::count)
    }

    fn status_field(&self, name: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the ids of non-idempotent requests that nodes have received more than once.
    pub fn ids_run_twice(&self) -> Vec<String> {
        let received = self.received.lock().unwrap();
        received
            .iter()
            .filter(|(id, times)| id.starts_with(NON_IDEMPOTENT_ID_PREFIX) && times.len() > 1)
            .map(|(id, _)| id.clone())
            .collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        _ = self.process.kill();
        _ = self.process.wait();
    }
}

fn configuration(listen: SocketAddr, list: &HttpEndpointList) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{}","seed":"7","known":{},
        "limits":{{"cores":1.0,"memory_mb":{MEMORY_MB},"sockets":{DESCRIPTORS}}},
        "settings":{{"balancers":1,"granularity":0.002,"areas":["a"],"registry_mode":"push",
          "domain":{{"unit_mean":2.0,"largest":6,"says_others":true}},
          "guarantees":{{"drain_grace":0.5}},
          "limits":{{"retry_after":true,"max_retry_after":0.5,"connect_timeout":0.25,"max_attempts":3}},
          "request_classes":[
            {{"name":"read","effect":"repeatable","target":0.3,"give_up":1.0}},
            {{"name":"once","effect":"once","target":0.4,"give_up":3.0}}],
          "grades":[{{"name":"gold","proportion":4.0,"floor_rate":100.0}},
            {{"name":"limited","ceiling_rate":4.0,"most_at_once":1.2,"slack":0.1}}]}}}}"#,
        list.address(),
        list.to_json()
    )
}

fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn health_status(host: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(host).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n").ok()?;
    read_response(&mut BufReader::new(stream))
}

/// Reads one response, and returns its status; `None` if the connection ends or times out before.
pub fn read_response(reader: &mut impl BufRead) -> Option<u16> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let length = read_fields(reader)?.content_length;
    std::io::copy(&mut reader.by_ref().take(length as u64), &mut std::io::sink()).ok()?;
    Some(status)
}

#[derive(Default)]
struct Fields {
    content_length: usize,
    request_id: String,
}

fn read_fields(reader: &mut impl BufRead) -> Option<Fields> {
    let mut fields = Fields::default();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
        let Some((name, value)) = line.split_once(':') else { return Some(fields) };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => fields.content_length = value.trim().parse().ok()?,
            "x-call-id" => fields.request_id = value.trim().to_owned(),
            _ => {}
        }
    }
}

fn start_node(behaviour: NodeBehaviour, received: ReceivedRequests) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let received = received.clone();
            std::thread::spawn(move || serve_node_connection(stream, behaviour, &received));
        }
    });
    address
}

fn serve_node_connection(
    mut stream: TcpStream,
    behaviour: NodeBehaviour,
    received: &ReceivedRequests,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", behaviour.body_bytes);
    let answer = [head.into_bytes(), vec![b'x'; behaviour.body_bytes]].concat();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|len| *len > 0)?;
        let fields = read_fields(&mut reader)?;
        std::io::copy(&mut reader.by_ref().take(fields.content_length as u64), &mut std::io::sink()).ok()?;
        received.lock().unwrap().entry(fields.request_id).or_default().push(Instant::now());
        std::thread::sleep(behaviour.delay);
        if behaviour.stalls && fields.content_length > 0 {
            stream.write_all(&answer[..answer.len() - 1]).ok()?;
            std::thread::sleep(Duration::from_secs(4));
            return None;
        }
        stream.write_all(&answer).ok()?;
    }
}
