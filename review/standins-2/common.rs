//! Stand-ins for the platform of the hosts: discovery, bricks (storage nodes) and clients, as PROTOCOL.md describes them, and the
//! start and end of host processes. Each case includes this file. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const RULE_BROKEN: i32 = 1;
pub const RULE_HELD: i32 = 0;
pub const COULD_NOT_RUN: i32 = 2;
/// A case ends itself after this time, with all its processes.
const MAX_RUN: Duration = Duration::from_secs(112);

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, in `record.txt`, with the time since the start in seconds.
pub struct Record {
    file: Mutex<std::io::BufWriter<std::fs::File>>,
    pub start: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        _ = writeln!(file, "{:10.6} {text}", self.start.elapsed().as_secs_f64());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }

    pub fn flush(&self) {
        _ = self.file.lock().unwrap().flush();
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

// ---------------------------------------------------------------- the stage: record, hosts, end

/// The processes of a case, which all end with it.
pub struct Stage {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    children: Mutex<Vec<Arc<Mutex<Child>>>>,
    run_line: String,
}

impl Stage {
    /// Opens the record, makes the temporary folder and starts the clock that ends the case.
    pub fn open(name: &str) -> Arc<Stage> {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = std::fs::File::create(&path).unwrap_or_else(|error| quit(&format!("{path}: {error}")));
        let record = Arc::new(Record { file: Mutex::new(std::io::BufWriter::new(file)), start: Instant::now() });
        let folder = std::env::temp_dir().join(format!("tackmast-review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap_or_else(|error| quit(&format!("{}: {error}", folder.display())));
        let stage = Arc::new(Stage { record, folder, children: Mutex::default(), run_line: run_line() });
        let (guard, hook_stage) = (stage.clone(), stage.clone());
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            guard.record.say("the case took too long");
            guard.end(COULD_NOT_RUN);
        });
        std::panic::set_hook(Box::new(move |info| {
            eprintln!("stand-in failed: {info}");
            hook_stage.end(COULD_NOT_RUN);
        }));
        stage.record.say(&format!("case {name}, trouble: {}", trouble()));
        stage
    }

    /// Starts a host with the `run` line of the deploy file and this configuration. Its log goes to the temporary folder.
    pub fn start_host(&self, name: &str, listen: SocketAddr, discovery: SocketAddr, configuration: &str) -> Host {
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, configuration).unwrap();
        let log = self.folder.join(format!("{name}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(&self.run_line).stdin(Stdio::null());
        command.stdout(log.try_clone().unwrap()).stderr(log);
        command.env("NODE_NAME", name).env("NODE_CONFIG", &path).env("TMPDIR", &self.folder);
        command.env("NODE_LISTEN", listen.to_string()).env("NODE_DISCOVERY", discovery.to_string());
        let child = command.spawn().unwrap_or_else(|error| quit(&format!("{}: {error}", self.run_line)));
        self.record.say(&format!("host {name} started, pid {}", child.id()));
        let child = Arc::new(Mutex::new(child));
        self.children.lock().unwrap().push(child.clone());
        Host { name: name.to_owned(), listen, child, configuration: path }
    }

    /// Ends all processes and exits with the verdict.
    pub fn end(&self, code: i32) -> ! {
        for child in self.children.lock().unwrap().iter() {
            let mut child = child.lock().unwrap();
            _ = child.kill();
            _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            _ = std::fs::remove_dir_all(&self.folder);
        }
        let verdict = match code {
            RULE_HELD => "the rule held",
            RULE_BROKEN => "THE RULE WAS BROKEN",
            _ => "the case could not run",
        };
        self.record.say(verdict);
        self.record.flush();
        std::process::exit(code)
    }
}

fn quit(why: &str) -> ! {
    eprintln!("{why}");
    std::process::exit(COULD_NOT_RUN)
}

/// The command of the deploy file that runs one host.
fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|error| quit(&error.to_string()));
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let line = line.and_then(|rest| rest.split('"').next()).unwrap_or_else(|| quit("deploy file: no run line"));
    line.to_owned()
}

pub struct Host {
    pub name: String,
    pub listen: SocketAddr,
    child: Arc<Mutex<Child>>,
    pub configuration: PathBuf,
}

impl Host {
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Returns whether the process is still running.
    pub fn is_running(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// Kills the process outright.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        _ = child.kill();
        _ = child.wait();
    }

    /// Sends a signal by its name, such as TERM.
    pub fn signal(&self, name: &str) {
        _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    /// Waits until `GET /health/ready` gives 200; returns false after `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Ok(mut connection) = Connection::open(self.listen, Duration::from_millis(500)) {
                let request = b"GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n";
                if matches!(connection.call(request, Duration::from_millis(500)), Ok(answer) if answer.status == 200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

/// Listens at an address again that was in use before.
fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(Duration::from_millis(2)),
        }
    }
}

/// Returns a free loopback address.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Returns a free loopback address for datagrams.
pub fn free_udp_address() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---------------------------------------------------------------- random numbers

pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// A number from 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.fraction()
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0x1000);

/// Returns a fresh request id.
pub fn fresh_id() -> String {
    format!("{:016x}", LAST_ID.fetch_add(1, Ordering::Relaxed) | (u64::from(std::process::id()) << 32))
}

// ---------------------------------------------------------------- HTTP messages

/// A message that was read from a connection: of a request the first line is method and target, of an answer the status.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub status: u16,
    /// When its last byte was read.
    pub at: f64,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads one message with a Content-Length (none: no body) from a stream; `buffer` keeps what follows it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    let mut chunk = [0u8; 16384];
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first_line = lines.next().unwrap_or("").to_owned();
            let headers: Vec<(String, String)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length = headers.iter().find(|(name, _)| name == "content-length");
            let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
            while buffer.len() < end + 4 + length {
                match stream.read(&mut chunk)? {
                    0 => return Err(ErrorKind::UnexpectedEof.into()),
                    count => buffer.extend_from_slice(&chunk[..count]),
                }
            }
            let body = buffer[end + 4..end + 4 + length].to_vec();
            buffer.drain(..end + 4 + length);
            let status = first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
            return Ok(Some(Message { first_line, headers, body, status, at: 0.0 }));
        }
        match stream.read(&mut chunk)? {
            0 if buffer.is_empty() => return Ok(None),
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            count => buffer.extend_from_slice(&chunk[..count]),
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

/// A client's connection, on which it sends one request at a time.
pub struct Connection {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Connection {
    pub fn open(to: SocketAddr, limit: Duration) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&to, limit)?;
        stream.set_nodelay(true)?;
        Ok(Connection { stream, buffer: Vec::new() })
    }

    /// Sends a request and waits for its whole answer for at most `limit`.
    pub fn call(&mut self, request: &[u8], limit: Duration) -> std::io::Result<Message> {
        self.stream.set_read_timeout(Some(limit))?;
        self.stream.write_all(request)?;
        read_message(&mut self.stream, &mut self.buffer)?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub class: String,
    pub plan: String,
    pub volume: u64,
    pub key: u64,
    pub budget_ms: u64,
    pub units: u32,
    pub shard: i64,
    pub hosts: u32,
    /// The idempotency key and the body of a write; a read has neither.
    pub write: Option<(String, Vec<u8>)>,
}

impl Ask {
    pub fn target(&self) -> String {
        format!("/api/{:016x}/{:016x}", self.volume, self.key)
    }

    pub fn bytes(&self) -> Vec<u8> {
        let method = if self.write.is_some() { "PUT" } else { "GET" };
        let mut text = format!(
            "{method} {} HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Storage-Class: {}\r\n\
             X-Budget-Ms: {}\r\nX-Extent: units={},shard={},hosts={}\r\n",
            self.target(), self.id, self.class, self.plan, self.budget_ms, self.units, self.shard, self.hosts
        );
        if let Some((key, body)) = &self.write {
            text += &format!("Idempotency-Key: {key}\r\nContent-Length: {}\r\n", body.len());
        }
        let mut bytes = (text + "\r\n").into_bytes();
        if let Some((_, body)) = &self.write {
            bytes.extend_from_slice(body);
        }
        bytes
    }
}

/// How a client's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Answer(u16, Vec<u8>),
    /// No whole answer came: the connection ended, or the time was up.
    None(String),
}

/// The connections of the usual clients to one host: kept, and a new one is opened when all are busy.
pub struct Pool {
    to: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    pub fn new(to: SocketAddr) -> Arc<Pool> {
        Arc::new(Pool { to, idle: Mutex::default() })
    }

    /// Sends a request. When the host closes a kept connection before it has answered anything, the request is sent once more on a
    /// new connection.
    pub fn ask(&self, ask: &Ask, patience: Duration) -> End {
        let bytes = ask.bytes();
        let limit = Duration::from_millis(ask.budget_ms) + patience;
        let start = Instant::now();
        let kept = self.idle.lock().unwrap().pop();
        if let Some(mut connection) = kept {
            match connection.call(&bytes, limit) {
                Ok(answer) => return self.finish(connection, answer),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return End::None("no answer in time".to_owned());
                }
                Err(_) => {}
            }
        }
        let left = limit.saturating_sub(start.elapsed()).max(Duration::from_millis(1));
        match Connection::open(self.to, left) {
            Err(error) => End::None(format!("no connection: {error}")),
            Ok(mut connection) => match connection.call(&bytes, left) {
                Ok(answer) => self.finish(connection, answer),
                Err(error) => End::None(error.to_string()),
            },
        }
    }

    fn finish(&self, connection: Connection, answer: Message) -> End {
        let closes = answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closes && connection.buffer.is_empty() {
            self.idle.lock().unwrap().push(connection);
        }
        End::Answer(answer.status, answer.body)
    }
}

// ---------------------------------------------------------------- discovery

#[derive(Clone, Debug)]
pub struct Member {
    pub id: String,
    /// The address for each host.
    pub addresses: Vec<SocketAddr>,
    pub cell: u32,
    pub phase: &'static str,
    pub up_since_ms: u64,
    changed: u64,
}

impl Member {
    pub fn new(id: &str, addresses: Vec<SocketAddr>, cell: u32) -> Member {
        Member { id: id.to_owned(), addresses, cell, phase: "Ready", up_since_ms: 0, changed: 1 }
    }
}

#[derive(Default)]
struct Registry {
    revision: u64,
    members: BTreeMap<String, Member>,
    is_down: bool,
    epoch: u64,
}

/// Discovery: one list for all hosts, with a listener for each host.
pub struct Discovery {
    registry: Mutex<Registry>,
    changed: Condvar,
    pub zone: String,
    record: Arc<Record>,
    open: Mutex<Vec<TcpStream>>,
    pub addresses: Mutex<Vec<SocketAddr>>,
    /// Number of answers with changes that were written to hosts.
    pub told: AtomicU64,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, zone: &str, hosts: usize, members: Vec<Member>) -> Arc<Discovery> {
        let members = members.into_iter().map(|member| (member.id.clone(), member)).collect();
        let discovery = Arc::new(Discovery {
            registry: Mutex::new(Registry { revision: 41, members, ..Registry::default() }),
            changed: Condvar::new(),
            zone: zone.to_owned(),
            record: record.clone(),
            open: Mutex::default(),
            addresses: Mutex::default(),
            told: AtomicU64::new(0),
        });
        for host in 0..hosts {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            discovery.addresses.lock().unwrap().push(listener.local_addr().unwrap());
            let discovery = discovery.clone();
            let listen = move || discovery.listen(host, listener);
            _ = thread::Builder::new().stack_size(128 * 1024).spawn(listen);
        }
        discovery
    }

    /// Returns the address for a host. One listener may be for all of them.
    pub fn address(&self, host: usize) -> SocketAddr {
        let addresses = self.addresses.lock().unwrap();
        addresses[host % addresses.len()]
    }

    fn listen(self: Arc<Self>, host: usize, listener: TcpListener) {
        let address = listener.local_addr().unwrap();
        let mut listener = Some(listener);
        loop {
            let bound = listener.get_or_insert_with(|| bind_again(address));
            let Ok((stream, _)) = bound.accept() else { continue };
            let mut registry = self.registry.lock().unwrap();
            if registry.is_down {
                drop(stream);
                listener = None;
                while registry.is_down {
                    registry = self.changed.wait(registry).unwrap();
                }
                continue;
            }
            drop(registry);
            _ = stream.set_nodelay(true);
            if let Ok(copy) = stream.try_clone() {
                self.open.lock().unwrap().push(copy);
            }
            let discovery = self.clone();
            let serve = move || discovery.serve(host, stream);
            _ = thread::Builder::new().stack_size(128 * 1024).spawn(serve);
        }
    }

    fn serve(&self, host: usize, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_message(&mut stream, &mut buffer) {
            let target = request.target().to_owned();
            let number = |name: &str| {
                let query = target.split('?').nth(1)?;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            let answer = match number("after") {
                None => self.complete(host),
                Some(after) => match self.changes(host, after, number("wait_ms").unwrap_or(0)) {
                    Some(answer) => answer,
                    None => return,
                },
            };
            self.record.line(&format!("discovery to host {host}: GET {target} -> {answer}"));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n", answer.len());
            if stream.write_all((head + &answer).as_bytes()).is_err() {
                return;
            }
            let has_changes = number("after").is_some() && !answer.contains("\"members\":[]");
            self.told.fetch_add(u64::from(has_changes), Ordering::SeqCst);
        }
    }

    /// Returns the changes after a version once there are any, or after `wait_ms`; `None` when discovery goes down meanwhile.
    fn changes(&self, host: usize, after: u64, wait_ms: u64) -> Option<String> {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut registry = self.registry.lock().unwrap();
        let epoch = registry.epoch;
        while registry.revision <= after && Instant::now() < until {
            registry = self.changed.wait_timeout(registry, until.saturating_duration_since(Instant::now())).unwrap().0;
            if registry.epoch != epoch {
                return None;
            }
        }
        let changed = registry.members.values().filter(|member| member.changed > after);
        Some(list(&self.zone, registry.revision, false, changed, host))
    }

    /// Returns the complete list, as discovery sends it to this host.
    pub fn complete(&self, host: usize) -> String {
        let registry = self.registry.lock().unwrap();
        let members = registry.members.values().filter(|member| member.phase != "Gone");
        list(&self.zone, registry.revision, true, members, host)
    }

    /// Adds an entry, in the revision of the next change.
    pub fn add(&self, member: Member) {
        let mut registry = self.registry.lock().unwrap();
        let changed = registry.revision + 1;
        self.record.say(&format!("discovery, revision {changed}: {} is {}, up since {}", member.id, member.phase, member.up_since_ms));
        registry.members.insert(member.id.clone(), Member { changed, ..member });
    }

    /// Changes an entry.
    pub fn change(&self, id: &str, change: impl FnOnce(&mut Member)) {
        let mut registry = self.registry.lock().unwrap();
        registry.revision += 1;
        let revision = registry.revision;
        if let Some(member) = registry.members.get_mut(id) {
            change(member);
            member.changed = revision;
            let (phase, up_since) = (member.phase, member.up_since_ms);
            self.record.say(&format!("discovery, revision {revision}: {id} is {phase}, up since {up_since}"));
        }
        self.changed.notify_all();
    }

    /// Takes discovery down or brings it back. While it is down, connections are reset and new ones are refused.
    pub fn set_down(&self, is_down: bool) {
        let mut registry = self.registry.lock().unwrap();
        registry.is_down = is_down;
        registry.epoch += 1;
        drop(registry);
        self.changed.notify_all();
        if is_down {
            for address in self.addresses.lock().unwrap().iter() {
                _ = TcpStream::connect(address);
            }
            for stream in self.open.lock().unwrap().drain(..) {
                _ = stream.shutdown(Shutdown::Both);
            }
        }
        self.record.say(if is_down { "discovery is down" } else { "discovery is back" });
    }
}

fn list<'a>(zone: &str, revision: u64, complete: bool, members: impl Iterator<Item = &'a Member>, host: usize) -> String {
    let members: Vec<String> = members
        .map(|member| {
            format!(
                "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{zone}\",\"flavor\":\"standard-box\",\"cell\":{},\"phase\":\"{}\",\
                 \"size\":1.0,\"up_since_ms\":{}}}",
                member.id, member.addresses[host % member.addresses.len()], member.cell, member.phase, member.up_since_ms
            )
        })
        .collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

// ---------------------------------------------------------------- bricks

/// What a brick does with a request whose last byte has come.
pub type Behaviour = dyn Fn(&Brick, usize, &Message, &mut TcpStream) -> bool + Send + Sync;

/// A brick: it holds one shard, and listens at an address of its own for each host.
pub struct Brick {
    pub name: String,
    pub shard: u32,
    pub record: Arc<Record>,
    pub addresses: Vec<SocketAddr>,
    /// Units served by volume and host, for `X-Delta`.
    served: Mutex<HashMap<(u64, usize), (f64, Vec<f64>)>>,
    pub hosts: usize,
    open: Mutex<Vec<TcpStream>>,
    pub is_stopped: AtomicBool,
    pub begun: AtomicU64,
}

impl Brick {
    /// Starts a brick. `behaviour` gets each request, answers it on the stream, and returns whether the connection stays open.
    pub fn start(
        record: &Arc<Record>,
        name: &str,
        shard: u32,
        hosts: usize,
        behaviour: Arc<Behaviour>,
    ) -> Arc<Brick> {
        let listeners: Vec<TcpListener> = (0..hosts).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
        let addresses = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
        let brick = Arc::new(Brick {
            name: name.to_owned(),
            shard,
            record: record.clone(),
            addresses,
            served: Mutex::default(),
            hosts,
            open: Mutex::default(),
            is_stopped: AtomicBool::new(false),
            begun: AtomicU64::new(0),
        });
        for (host, listener) in listeners.into_iter().enumerate() {
            let (brick, behaviour) = (brick.clone(), behaviour.clone());
            let listen = move || brick.listen(host, listener, &behaviour);
            _ = thread::Builder::new().stack_size(128 * 1024).spawn(listen);
        }
        brick
    }

    /// Accepts connections of one host. While the brick is stopped, they are refused.
    fn listen(self: Arc<Self>, host: usize, listener: TcpListener, behaviour: &Arc<Behaviour>) {
        let address = listener.local_addr().unwrap();
        let mut listener = Some(listener);
        loop {
            let bound = listener.get_or_insert_with(|| bind_again(address));
            let Ok((stream, _)) = bound.accept() else { continue };
            if self.is_stopped.load(Ordering::SeqCst) {
                drop(stream);
                listener = None;
                while self.is_stopped.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(2));
                }
                continue;
            }
            if let Ok(copy) = stream.try_clone() {
                let mut open = self.open.lock().unwrap();
                open.retain(|stream: &TcpStream| stream.peer_addr().is_ok());
                open.push(copy);
            }
            let (brick, behaviour) = (self.clone(), behaviour.clone());
            let serve = move || {
                brick.serve(host, &stream, &behaviour);
                _ = stream.shutdown(Shutdown::Both);
            };
            _ = thread::Builder::new().stack_size(128 * 1024).spawn(serve);
        }
    }

    /// Ends all connections and refuses new ones, as the death of the process does.
    pub fn reset_connections(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        for address in &self.addresses {
            _ = TcpStream::connect(address);
        }
        for stream in self.open.lock().unwrap().drain(..) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Accepts connections again, at the same addresses.
    pub fn accept_again(&self) {
        self.is_stopped.store(false, Ordering::SeqCst);
    }

    fn serve(&self, host: usize, stream: &TcpStream, behaviour: &Arc<Behaviour>) {
        let Ok(mut stream) = stream.try_clone() else { return };
        _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(mut request)) = read_message(&mut stream, &mut buffer) {
            request.at = self.record.now();
            self.begun.fetch_add(1, Ordering::Relaxed);
            let (id, budget) = (request.header("x-call-id").unwrap_or("-"), request.header("x-budget-ms").unwrap_or("-"));
            self.record.line(&format!(
                "{} from host {host}: {} id={id} budget_ms={budget} body={}",
                self.name, request.first_line, request.body.len()
            ));
            if !behaviour(self, host, &request, &mut stream) {
                return;
            }
        }
    }

    /// Counts units as served for a volume through a host, and returns those served through other hosts since the last answer to it.
    pub fn serve_units(&self, volume: u64, host: usize, units: f64) -> f64 {
        let mut served = self.served.lock().unwrap();
        let mut others = 0.0;
        for other in 0..self.hosts {
            let entry = served.entry((volume, other)).or_insert_with(|| (0.0, vec![0.0; self.hosts]));
            if other == host {
                entry.0 += units;
            } else {
                others += entry.0 - entry.1[host];
                entry.1[host] = entry.0;
            }
        }
        others
    }
}

/// Returns whether the other side has closed the connection.
pub fn has_left(stream: &TcpStream) -> bool {
    _ = stream.set_nonblocking(true);
    let has_left = matches!(stream.peek(&mut [0; 1]), Ok(0)) || matches!(stream.peek(&mut [0; 1]), Err(error) if error.kind() != ErrorKind::WouldBlock);
    _ = stream.set_nonblocking(false);
    has_left
}

/// Returns volume and key of a request's path.
pub fn path_of(target: &str) -> (u64, u64) {
    let mut parts = target.split('?').next().unwrap_or("").rsplit('/');
    let mut hex = || parts.next().and_then(|part| u64::from_str_radix(part, 16).ok()).unwrap_or(0);
    let key = hex();
    (hex(), key)
}

/// The head of a good answer.
pub fn answer_head(length: usize, more: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n{more}\r\n")
}

/// The body with which a brick answers a read: it names the piece of data, so that a client sees whose data it got.
pub fn data_of(target: &str, id: &str) -> Vec<u8> {
    format!("data of {target} for {id}").into_bytes()
}

// ---------------------------------------------------------------- settings

/// The settings of a small deployment, in the form of the wire page's example.
pub struct Settings {
    pub hosts: usize,
    pub zone: String,
    pub shards: usize,
    /// `ask` or `push`.
    pub discovery: &'static str,
    pub peers: bool,
    pub drain_grace_s: f64,
    pub cold_from: f64,
    pub cold_s: f64,
    pub cold_bears: f64,
    pub fall_s: f64,
    pub fall_multiple: f64,
    pub unit_mean: f64,
    pub largest: u32,
    pub max_attempts: u32,
    /// The plans and classes, as JSON arrays.
    pub plans: String,
    pub classes: String,
    pub writes: &'static str,
    pub memory_mb: u32,
    pub sockets: u32,
    pub cores: f64,
}

impl Settings {
    fn json(&self, host: usize) -> String {
        let Settings { hosts, zone, shards, discovery, peers, drain_grace_s, plans, classes, writes, .. } = self;
        let (cold_from, cold_s, cold_bears) = (self.cold_from, self.cold_s, self.cold_bears);
        let (fall_s, fall_multiple, unit_mean) = (self.fall_s, self.fall_multiple, self.unit_mean);
        let (largest, max_attempts) = (self.largest, self.max_attempts);
        format!(
            r#"{{"areas":["{zone}"],"balancers":{hosts},"clients":{{"marks_retry":false}},
"domain":{{"class_writes":{writes},"cold_bears":{cold_bears:?},"idle_worth":0.05,"largest":{largest},"says_others":true,"shards":{shards},"unit_mean":{unit_mean:?},"use_period":0.0,"within_share":0.3}},
"goal":{{"whole":0.7,"worst_class":0.1,"worst_tenant":0.0,"worst_window":0.2}},
"grades":{plans},"granularity":0.002,
"guarantees":{{"answer_slack":0.058,"ask_every":10.0,"cold":{cold_s:?},"cold_from":{cold_from:?},"drain_grace":{drain_grace_s:?},"fall":{fall_s:?},"fall_multiple":{fall_multiple:?}}},
"layer":0,"limits":{{"cancel":true,"conn_idle":30.0,"connect_timeout":0.25,"cpu_us_per_request":0.0,"cpu_us_per_s":300000,"max_attempts":{max_attempts},"max_retry_after":0.5,"may_duplicate":false,"may_probe":false,"most_held":20000,"multiplex":1,"peers":{peers},"retry_after":true}},
"locality":0,"machine_types":["fast-box","standard-box"],"me":{host},
"penalties":{{"connection":0.0,"cross_zone":0.0,"handshake":0.0,"late_fail":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"registry_mode":0.0,"waste":0.04}},
"registry_mode":"{discovery}","report":{{"fields":["q"],"how":"inline"}},"request_classes":{classes},"tiers":["master-store"],"weights":"rough","workload":"stores"}}"#
        )
    }

    /// The configuration file of a host.
    pub fn configuration(
        &self,
        host: usize,
        listen: SocketAddr,
        discovery: SocketAddr,
        known: &str,
        peers: &[SocketAddr],
    ) -> String {
        let peer_lines = match peers.get(host) {
            None => String::new(),
            Some(own) => {
                let all: Vec<String> = peers.iter().map(|address| format!("\"{address}\"")).collect();
                format!("\"peer_listen\":\"{own}\",\"peers\":[{}],", all.join(","))
            }
        };
        format!(
            "{{\"name\":\"n{host}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":{:?},\"memory_mb\":{},\"sockets\":{}}},{peer_lines}\"known\":{known},\"settings\":{}}}",
            unix_ms().wrapping_mul(0x9E37_79B9).wrapping_add(host as u64),
            self.cores,
            self.memory_mb,
            self.sockets,
            self.json(host)
        )
    }
}
