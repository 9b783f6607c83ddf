//! Stand-ins for bricks, discovery, clients and the platform, and the record of a run. Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------------------------------------------------- record

/// What was sent, answered and run, with times in seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl Into<String>) -> f64 {
        let now = self.now();
        self.add_at(now, text);
        now
    }

    pub fn add_at(&self, at: f64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Returns when the first byte of each attempt arrived at a brick, with its id.
    pub fn attempts(&self) -> Vec<(f64, String)> {
        let lines = self.lines.lock().unwrap();
        let id = |line: &str| Some(line.strip_prefix("brick ")?.split(' ').nth(3)?.trim_end_matches(':').to_owned());
        lines.iter().filter_map(|(at, line)| Some((*at, id(line)?))).collect()
    }

    /// Returns when the first byte of each attempt arrived at this brick.
    pub fn attempts_at(&self, brick: &str) -> Vec<f64> {
        let prefix = format!("brick {brick} got ");
        let lines = self.lines.lock().unwrap();
        lines.iter().filter(|(_, line)| line.starts_with(&prefix)).map(|(at, _)| *at).collect()
    }

    /// Returns the longest time from a client's request to its answer, or to the end of its wait.
    pub fn longest_answer(&self) -> f64 {
        let lines = self.lines.lock().unwrap();
        let (mut sent, mut longest) = (HashMap::new(), 0.0f64);
        for (at, line) in lines.iter() {
            if let Some(id) = line.strip_prefix("client sends ") {
                sent.insert(id.to_owned(), *at);
            } else if let Some((_, id)) = line.strip_prefix("client has ").and_then(|rest| rest.split_once(" for ")) {
                longest = longest.max(sent.get(id).map_or(0.0, |sent| at - sent));
            }
        }
        longest
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            _ = writeln!(text, "{at:9.4} {line}");
        }
        _ = std::fs::write(path, text);
    }
}

// ------------------------------------------------------------------------------------------------------------ HTTP

#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// When the first byte of the message was read.
    pub first_byte_at: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a Content-Length, or without a body. `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut first_byte_at = (!buffer.is_empty()).then(Instant::now);
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next()?.to_owned();
            let headers: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
            if buffer.len() >= end + 4 + length {
                let body = buffer[end + 4..end + 4 + length].to_vec();
                buffer.drain(..end + 4 + length);
                let first_byte_at = first_byte_at.unwrap_or_else(Instant::now);
                return Some(Message { first_line, headers, body, first_byte_at });
            }
        }
        let mut chunk = [0u8; 64 * 1024];
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(len) => {
                first_byte_at.get_or_insert_with(Instant::now);
                buffer.extend_from_slice(&chunk[..len]);
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

// ---------------------------------------------------------------------------------------------------------- bricks

/// A brick that serves one shard. It answers each request after its service time; while it drains it turns new ones away.
pub struct Brick {
    pub id: String,
    pub cell: u32,
    pub address: SocketAddr,
    pub up_since_ms: u64,
    pub draining: AtomicBool,
    pub service_ms: AtomicU64,
}

impl Brick {
    pub fn start(record: &Record, id: &str, cell: u32, up_since_ms: u64, service_ms: u64) -> Arc<Brick> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let brick = Arc::new(Brick {
            id: id.to_owned(),
            cell,
            address: listener.local_addr().unwrap(),
            up_since_ms,
            draining: AtomicBool::new(false),
            service_ms: AtomicU64::new(service_ms),
        });
        let (record, serving) = (record.clone(), brick.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, brick) = (record.clone(), serving.clone());
                std::thread::spawn(move || brick.serve(&record, stream));
            }
        });
        brick
    }

    fn serve(&self, record: &Record, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut buffer) {
            let id = request.header("x-call-id").to_owned();
            let at = (request.first_byte_at - record.start).as_secs_f64();
            let method = request.first_line.split(' ').next().unwrap_or("");
            if self.draining.load(Ordering::SeqCst) {
                record.add_at(at, format!("brick {} got {method} {id}: turned away, draining", self.id));
                if stream.write_all(b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            record.add_at(at, format!("brick {} got {method} {id}: runs", self.id));
            sleep_ms(self.service_ms.load(Ordering::SeqCst));
            let body = format!("data of {id}");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nX-Load-Report: inflight=1,queue=0\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ------------------------------------------------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u32,
    pub phase: &'static str,
    pub up_since_ms: u64,
    /// The revision at which this entry last changed.
    pub revision: u64,
}

impl Member {
    pub fn of(brick: &Brick, revision: u64) -> Self {
        Member {
            id: brick.id.clone(),
            address: brick.address,
            cell: brick.cell,
            phase: "Ready",
            up_since_ms: brick.up_since_ms,
            revision,
        }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"hall","flavor":"m2","cell":{},"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            self.id, self.address, self.cell, self.phase, self.up_since_ms
        )
    }
}

pub fn list_json(revision: u64, complete: bool, members: &[Member]) -> String {
    let members: Vec<String> = members.iter().map(Member::json).collect();
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

struct ListState {
    revision: u64,
    members: Vec<Member>,
    is_down: bool,
    /// Whether a watch is answered with the whole list instead of the changed entries.
    answers_whole: bool,
}

/// Discovery: the whole list, and watches on it. While it is down, calls end with 503 and open watches end.
pub struct Discovery {
    pub address: SocketAddr,
    state: Mutex<ListState>,
    changed: Condvar,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, members: Vec<Member>, answers_whole: bool) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            state: Mutex::new(ListState { revision: 1, members, is_down: false, answers_whole }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let serving = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = serving.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let from = stream.peer_addr().map_or(0, |address| address.port());
        let mut buffer = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut buffer) {
            let target = call.first_line.split(' ').nth(1).unwrap_or("").to_owned();
            let number = |name: &str| -> Option<u64> {
                let query = target.split_once('?')?.1;
                query.split('&').find_map(|pair| pair.strip_prefix(name))?.parse().ok()
            };
            let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0));
            let body = self.answer(after, Duration::from_millis(wait));
            let Some((revision, body)) = body else {
                self.record.add(format!("discovery is down: 503 to {target} (port {from})"));
                _ = stream.write_all(b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                return;
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let written = stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body.as_bytes()));
            if after.is_none_or(|after| after < revision) || written.is_err() {
                self.record.add(format!(
                    "discovery answers {target} (port {from}) with revision {revision}, {} bytes{}",
                    body.len(),
                    if written.is_err() { ": the host closed the connection" } else { "" }
                ));
            }
            if written.is_err() {
                return;
            }
        }
    }

    /// Returns the answer to a call, or `None` if discovery is or goes down.
    fn answer(&self, after: Option<u64>, wait: Duration) -> Option<(u64, String)> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if state.is_down {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            let Some(after) = after.filter(|after| *after >= state.revision && !left.is_zero()) else { break };
            _ = after;
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let revision = state.revision;
        let is_new = after.is_none_or(|after| after < revision);
        let body = match after {
            Some(after) if !(state.answers_whole && is_new) => {
                let changed: Vec<Member> =
                    state.members.iter().filter(|member| member.revision > after).cloned().collect();
                list_json(revision, false, &changed)
            }
            _ => list_json(revision, true, &state.members),
        };
        Some((revision, body))
    }

    /// Changes the list, and returns the time from which discovery has the change.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Member>, u64)) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        change(&mut state.members, revision);
        let at = self.record.now();
        self.changed.notify_all();
        at
    }

    pub fn set_down(&self, is_down: bool) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.is_down = is_down;
        let at = self.record.add(if is_down { "discovery goes down" } else { "discovery is back" });
        self.changed.notify_all();
        at
    }

    pub fn known(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.revision, true, &state.members)
    }
}

// ----------------------------------------------------------------------------------------------------------- hosts

/// The settings of a small deployment with pushed lists. Rates are in units a second, times in seconds.
pub struct Deployment {
    pub hosts: u32,
    pub shards: u32,
}

impl Deployment {
    pub fn settings(&self, me: u32) -> String {
        let (hosts, shards) = (self.hosts, self.shards);
        format!(
            r#"{{"areas":["hall"],"balancers":{hosts},"me":{me},"layer":0,"locality":0,"tiers":["tour-store"],
 "clients":{{"marks_retry":true}},"granularity":0.002,"registry_mode":"push","workload":"stores","weights":"nominal",
 "domain":{{"class_writes":[false,true,false],"cold_bears":12.0,"largest":8,"says_others":true,"shards":{shards},"unit_mean":2.0,"use_period":0.0}},
 "grades":[{{"name":"basic","ceiling_rate":18.0,"most_at_once":48.0,"slack":8.0,"floor_rate":0.0,"usual_rate":4.5,"proportion":1.0,"worth_factor":0.8}},
  {{"name":"standard","ceiling_rate":0.0,"most_at_once":0.0,"slack":0.0,"floor_rate":7.0,"usual_rate":7.0,"proportion":2.0,"worth_factor":1.2}}],
 "guarantees":{{"answer_slack":0.008,"ask_every":10.0,"cold":17.0,"cold_from":0.17,"drain_grace":0.25,"extra_floor":3.0,"fall":3.0,"fall_multiple":2.0,"further_ratio":0.25,"look_back":5.0}},
 "limits":{{"cancel":true,"conn_idle":30.0,"connect_timeout":0.25,"max_attempts":4,"max_retry_after":2.0,"may_duplicate":false,"may_probe":false,"peers":false,"retry_after":true}},
 "machine_types":["m2"],"report":{{"fields":["rif","q"],"how":"inline"}},
 "request_classes":[
  {{"name":"track-read","effect":"repeatable","group":"all","target":0.5,"give_up":3.0,"late_value":0.15,"window":5.0,"worth":2.0}},
  {{"name":"track-write","effect":"repeatable","group":"all","target":0.6,"give_up":3.0,"late_value":0.1,"window":5.0,"worth":3.0}},
  {{"name":"tour-export","effect":"repeatable","group":"all","target":2.5,"give_up":7.5,"late_value":0.3,"window":5.0,"worth":1.0}}]}}"#
        )
    }
}

/// The hosts of a case, and the folder that run.sh made for it.
pub struct Platform {
    pub folder: PathBuf,
    children: Vec<Child>,
    run: String,
    record: Record,
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port").port()
}

impl Platform {
    /// Reads the command `run` of the deploy file; the working folder is the root of the repository.
    pub fn new(record: &Record) -> Self {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).map(|rest| rest.trim_end_matches('"'));
        let Some(run) = run else { give_up("deploy/balancer.toml has no line run") };
        let Ok(folder) = std::env::var("CASE_FOLDER").map(PathBuf::from) else { give_up("no CASE_FOLDER") };
        Platform { folder, children: Vec::new(), run: run.to_owned(), record: record.clone() }
    }

    /// Starts a host as the platform does, and returns its address once it has answered that it is ready.
    pub fn start_host(&mut self, deployment: &Deployment, me: u32, discovery: &Discovery) -> SocketAddr {
        let (name, listen) = (format!("n{me}"), format!("127.0.0.1:{}", free_port()));
        let config = format!(
            r#"{{"name":"{name}","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be9{:02x}",
 "limits":{{"cores":1.0,"memory_mb":128,"sockets":1024}},"known":{},"settings":{}}}"#,
            discovery.address,
            (seed() as u32 + me) & 0xff,
            discovery.known(),
            deployment.settings(me)
        );
        let file = self.folder.join(format!("{name}.json"));
        let temporary = self.folder.join(format!("{name}.tmp"));
        _ = std::fs::create_dir_all(&temporary);
        if std::fs::write(&file, config).is_err() {
            give_up("the configuration can't be written");
        }
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run])
            .env("NODE_NAME", &name)
            .env("NODE_LISTEN", &listen)
            .env("NODE_DISCOVERY", discovery.address.to_string())
            .env("NODE_CONFIG", &file)
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let Ok(child) = child else { give_up("the host can't be started") };
        self.record.add(format!("host {name} started, listens on {listen}"));
        // run.sh ends the processes that this file names, should this program not come to it.
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("pids"));
        if pids.and_then(|mut pids| writeln!(pids, "{}", child.id())).is_err() {
            give_up("the process id can't be written");
        }
        self.children.push(child);
        let address: SocketAddr = listen.parse().unwrap();
        let since = Instant::now();
        loop {
            if let Some(answer) = call(address, b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", 1.0) {
                if answer.status() == 200 {
                    self.record.add(format!("host {name} is ready"));
                    return address;
                }
            }
            if since.elapsed() > Duration::from_secs(30) {
                self.end();
                give_up("a host was not ready in 30 s");
            }
            sleep_ms(20);
        }
    }

    /// Returns whether all hosts still run.
    pub fn all_run(&mut self) -> bool {
        self.children.iter_mut().all(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Ends all hosts.
    pub fn end(&mut self) {
        for child in &mut self.children {
            _ = child.kill();
            _ = child.wait();
        }
        self.children.clear();
        _ = std::fs::remove_file(self.folder.join("pids"));
    }
}

fn seed() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_nanos() as u64)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis() as u64)
}

pub fn give_up(why: &str) -> ! {
    eprintln!("could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

// --------------------------------------------------------------------------------------------------------- clients

/// A request without an answer this long after its time is lost: half a second, and 50 ms that every limit is longer on sockets.
pub const ANSWER_SLACK_S: f64 = 0.5 + 0.05;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// One request of a client.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub bytes: Vec<u8>,
    pub budget_ms: u64,
}

pub struct Ask<'a> {
    pub class: &'a str,
    pub plan: &'a str,
    pub volume: u64,
    pub shard: u32,
    pub units: u32,
    pub hosts: u32,
    pub budget_ms: u64,
    /// The length of the body; a write has one, a read has none.
    pub body: usize,
}

impl Ask<'_> {
    /// A request with a fresh id for a piece of data of its own.
    pub fn request(&self) -> Request {
        self.request_for(NEXT_ID.load(Ordering::SeqCst))
    }

    /// A request with a fresh id for this piece of data.
    pub fn request_for(&self, data: u64) -> Request {
        let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
        let id = format!("{:016x}", 0x9b1f_0000_0000_0000u64 + number);
        let is_write = self.class == "track-write";
        let mut text = format!(
            "{} /api/{:016x}/{:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {id}\r\nX-Call-Class: {}\r\n\
             X-Storage-Class: {}\r\nX-Budget-Ms: {}\r\nX-Extent: units={},shard={},hosts={}\r\n",
            if is_write { "PUT" } else { "GET" },
            self.volume,
            data,
            self.class,
            self.plan,
            self.budget_ms,
            self.units,
            self.shard,
            self.hosts
        );
        if is_write {
            _ = write!(text, "Content-Length: {}\r\n", self.body);
        }
        text += "\r\n";
        let mut bytes = text.into_bytes();
        if is_write {
            bytes.resize(bytes.len() + self.body, b'x');
        }
        Request { id, bytes, budget_ms: self.budget_ms }
    }
}

/// Sends bytes on a new connection and reads one answer.
pub fn call(to: SocketAddr, bytes: &[u8], timeout_s: f64) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs_f64(timeout_s)).ok()?;
    exchange(&mut stream, bytes, timeout_s)
}

/// Sends bytes on an open connection and reads one answer.
pub fn exchange(stream: &mut TcpStream, bytes: &[u8], timeout_s: f64) -> Option<Message> {
    _ = stream.set_nodelay(true);
    _ = stream.set_read_timeout(Some(Duration::from_secs_f64(timeout_s)));
    stream.write_all(bytes).ok()?;
    read_message(stream, &mut Vec::new())
}

/// A client that keeps one connection and sends one request at a time, `per_second` of them, until `stop`.
pub fn steady_client(
    record: &Record,
    to: SocketAddr,
    per_second: f64,
    stop: &Arc<AtomicBool>,
    mut next: impl FnMut(u64) -> Request + Send + 'static,
) -> std::thread::JoinHandle<Vec<(String, u16)>> {
    let (record, stop) = (record.clone(), stop.clone());
    std::thread::spawn(move || {
        let mut answers = Vec::new();
        let mut stream: Option<TcpStream> = None;
        let began = Instant::now();
        for number in 0.. {
            let due = began + Duration::from_secs_f64(number as f64 / per_second);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let request = next(number);
            record.add(format!("client sends {}", request.id));
            // A host may close a connection between requests: then the request is sent once more on a new one.
            let limit_s = request.budget_ms as f64 / 1e3 + ANSWER_SLACK_S;
            let mut answer = None;
            loop {
                let (mut open, is_new) = match stream.take() {
                    Some(open) => (open, false),
                    None => match TcpStream::connect(to) {
                        Ok(open) => (open, true),
                        Err(_) => break,
                    },
                };
                let sent_at = Instant::now();
                answer = exchange(&mut open, &request.bytes, limit_s);
                if answer.as_ref().is_some_and(|answer| answer.header("connection") != "close") {
                    stream = Some(open);
                }
                if answer.is_some() || is_new || sent_at.elapsed().as_secs_f64() >= limit_s {
                    break;
                }
            }
            let status = answer.map_or(0, |answer| answer.status());
            record.add(format!("client has {status} for {}", request.id));
            answers.push((request.id, status));
        }
        answers
    })
}

pub fn count(answers: &[(String, u16)], status: u16) -> usize {
    answers.iter().filter(|answer| answer.1 == status).count()
}

pub fn close_now(stream: TcpStream) {
    _ = stream.shutdown(Shutdown::Write);
    drop(stream);
}
