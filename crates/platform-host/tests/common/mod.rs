//! A host on the platform's protocol between stand-ins, all on loopback.
#![allow(dead_code)] // each test file uses its own part

pub mod stepped;

use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tackmast_emulators::http::{Heard, HttpClient, HttpList, HttpNode, ListLine};
use tackmast_http::Response;
use tackmast_platform::Configuration;
use tackmast_platform_host::{Host, ProcessSignal, Status};

pub const PATIENCE: Duration = Duration::from_secs(6);

pub struct Rig {
    pub nodes: Vec<HttpNode>,
    pub list: HttpList,
    pub address: SocketAddr,
    /// What the next reload finds.
    pub config: Arc<Mutex<String>>,
    term: UnixStream,
    hup: UnixStream,
    host: Option<JoinHandle<Status>>,
    calls: u32,
}

pub fn line(id: &str, node: &HttpNode, shard: u32, phase: &'static str) -> ListLine {
    ListLine { id: id.into(), address: node.address(), shard, phase, up_since_ms: 0 }
}

/// Any port that is free.
fn loopback() -> SocketAddr {
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

impl Rig {
    pub fn new() -> Rig {
        Rig::with(256)
    }

    /// Two nodes, for shards 0 and 1.
    pub fn with(sockets: usize) -> Rig {
        let nodes = vec![HttpNode::start().unwrap(), HttpNode::start().unwrap()];
        let list = HttpList::start().unwrap();
        list.holds(line("s-0", &nodes[0], 0, "Ready"));
        list.holds(line("s-1", &nodes[1], 1, "Ready"));
        let text = config(loopback(), list.address(), &list.text(), sockets);
        let config = Arc::new(Mutex::new(text.clone()));
        let (term, ends) = UnixStream::pair().unwrap();
        let (hup, reloads) = UnixStream::pair().unwrap();
        let (again, (serves, started)) = (config.clone(), std::sync::mpsc::channel());
        let run = move || {
            let mut host = Host::start(&Configuration::parse(text.as_bytes()).unwrap()).unwrap();
            host.register_signal(ProcessSignal::Shutdown, ends).unwrap();
            host.register_signal(ProcessSignal::Reload, reloads).unwrap();
            serves.send(host.address().unwrap()).unwrap();
            host.run(|| Configuration::parse(again.lock().unwrap().as_bytes()));
            host.status()
        };
        let host = Some(std::thread::spawn(run));
        let address = started.recv().unwrap();
        Rig { nodes, list, address, config, term, hup, host, calls: 0 }
    }

    pub fn client(&self) -> HttpClient {
        HttpClient::connect(self.address).unwrap()
    }

    /// A good request: a fresh id each time.
    pub fn get(&mut self, shard: u32) -> Vec<u8> {
        self.request("GET", "read", shard, "")
    }

    pub fn request(&mut self, method: &str, class: &str, shard: u32, body: &str) -> Vec<u8> {
        self.calls += 1;
        let id = format!("{:016x}", self.calls);
        self.named(&id, method, class, shard, body)
    }

    pub fn named(&mut self, id: &str, method: &str, class: &str, shard: u32, body: &str) -> Vec<u8> {
        format!(
            "{method} /api/00000000000000aa/{:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
             X-Storage-Class: gold\r\nX-Budget-Ms: 1000\r\nX-Extent: units=1,shard={shard},hosts=1\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.calls,
            body.len()
        )
        .into_bytes()
    }

    /// One request on a connection of its own.
    pub fn ask(&mut self, class: &str, shard: u32) -> Response {
        let mut client = self.client();
        let text = self.request("GET", class, shard, "");
        client.say(&text);
        answer(&mut client)
    }

    pub fn reload(&mut self, from: &str, to: &str) {
        let mut config = self.config.lock().unwrap();
        *config = config.replace(from, to);
        drop(config);
        self.hup.write_all(b"x").unwrap();
    }

    pub fn end(&mut self) {
        self.term.write_all(b"x").unwrap();
    }

    /// What the host held when it ended.
    pub fn ended(mut self) -> Status {
        self.end();
        self.host.take().unwrap().join().unwrap()
    }

    pub fn has_ended(&self) -> bool {
        self.host.as_ref().is_none_or(|h| h.is_finished())
    }

    /// Requests that any node was given.
    pub fn given(&self) -> usize {
        self.nodes.iter().map(|n| n.seen().len()).sum()
    }
}

pub fn answer(client: &mut HttpClient) -> Response {
    match client.hear(PATIENCE) {
        Heard::Answer(a) => *a,
        other => panic!("expected an answer, found {other:?}"),
    }
}

pub fn body(a: &Response) -> String {
    String::from_utf8_lossy(&a.body).into_owned()
}

/// Until this holds, or for long enough that it never will.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed() < PATIENCE, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
