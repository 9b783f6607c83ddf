//! A host whose iterations the test runs itself, between raw sockets. The test thus decides which events are handled in one iteration
//! and in which order.

use super::TEST_TIMEOUT;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};
use tackmast_emulators::http::ReservedPort;
use tackmast_platform::Configuration;
use tackmast_platform_host::{Host, ProcessSignal, Status};

/// One side of a connection, which the test reads and writes as bytes.
pub struct RawConnection {
    pub stream: TcpStream,
    pub received_bytes: Vec<u8>,
    /// How the other side closed the connection: in order, or with an error such as a reset. `None` while it is open.
    pub ended: Option<Result<(), ErrorKind>>,
}

impl RawConnection {
    fn new(stream: TcpStream) -> RawConnection {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        RawConnection { stream, received_bytes: Vec::new(), ended: None }
    }

    /// Reads all bytes that have arrived, and returns all bytes received so far.
    pub fn receive(&mut self) -> &str {
        let mut chunk = [0; 64 * 1024];
        while self.ended.is_none() {
            match self.stream.read(&mut chunk) {
                Ok(0) => self.ended = Some(Ok(())),
                Ok(len) => self.received_bytes.extend_from_slice(&chunk[..len]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => self.ended = Some(Err(e.kind())),
            }
        }
        std::str::from_utf8(&self.received_bytes).unwrap()
    }

    /// Sends as many bytes as the socket accepts, and returns their number.
    pub fn send(&mut self, bytes: &[u8]) -> usize {
        let mut sent = 0;
        while sent < bytes.len() {
            match self.stream.write(&bytes[sent..]) {
                Ok(len) => sent += len,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => panic!("{e}"),
            }
        }
        sent
    }

    pub fn end_sending(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Closes with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Returns the number of requests, or responses, that were received.
    pub fn message_count(&mut self) -> usize {
        self.receive().matches("\r\n\r\n").count()
    }

    /// Returns the statuses of the responses that were received.
    pub fn statuses(&mut self) -> Vec<u16> {
        let text = self.receive().to_owned();
        text.split("HTTP/1.1 ").skip(1).filter_map(|part| part.get(..3)?.parse().ok()).collect()
    }
}

/// A server on raw sockets that stands in for a node or an endpoint list.
pub struct FakeServer {
    port: ReservedPort,
    /// `None` after `stop_listening`.
    listener: Option<TcpListener>,
    pub connections: Vec<RawConnection>,
}

impl FakeServer {
    pub fn new() -> FakeServer {
        FakeServer::with_backlog(1024)
    }

    fn with_backlog(backlog: i32) -> FakeServer {
        let port = ReservedPort::new().unwrap();
        let listener = port.listen(backlog).unwrap();
        listener.set_nonblocking(true).unwrap();
        FakeServer { port, listener: Some(listener), connections: Vec::new() }
    }

    /// Closes the listener and all connections. The port stays reserved, so that a connect is refused.
    pub fn stop_listening(&mut self) {
        self.listener = None;
        self.connections.clear();
    }

    /// Creates a server with a full backlog, so that connections to it are not established until `empty_backlog`. The system retries a
    /// connect after a second.
    pub fn with_full_backlog() -> (FakeServer, Vec<TcpStream>) {
        let server = FakeServer::with_backlog(0);
        let (to, mut filling) = (server.address(), Vec::new());
        while let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_millis(100)) {
            filling.push(stream);
            assert!(filling.len() < 16);
        }
        (server, filling)
    }

    /// Accepts the connections that fill the backlog.
    pub fn empty_backlog(&mut self, filling: Vec<TcpStream>) {
        for _ in 0..filling.len() {
            drop(self.accept().unwrap());
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    fn accept(&self) -> std::io::Result<TcpStream> {
        let listener = self.listener.as_ref().ok_or(ErrorKind::NotConnected)?;
        listener.accept().map(|(stream, _)| stream)
    }

    /// Accepts connections, and reads all bytes that have arrived on them.
    pub fn receive(&mut self) {
        while let Ok(stream) = self.accept() {
            self.connections.push(RawConnection::new(stream));
        }
        self.connections.iter_mut().for_each(|connection| _ = connection.receive());
    }

    /// Returns the number of complete requests that were received on all connections.
    pub fn request_count(&mut self) -> usize {
        self.receive();
        self.connections.iter_mut().map(RawConnection::message_count).sum()
    }

    /// Returns the number of bytes that were received on all connections.
    pub fn received_byte_count(&mut self) -> usize {
        self.receive();
        self.connections.iter().map(|connection| connection.received_bytes.len()).sum()
    }
}

/// Returns a response with status 200.
pub fn ok_response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Returns a member of an endpoint list as JSON.
pub fn member_json(id: &str, at: SocketAddr, shard: u32, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{at}","locality":"a","flavor":"m","cell":{shard},"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

/// Returns an endpoint list as JSON.
pub fn list_json(version: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{version},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

/// The parts of the host's configuration that tests vary.
pub struct Settings {
    pub sockets: usize,
    pub registry_mode: &'static str,
    pub connect_timeout_secs: f64,
    /// The deadline of all traffic classes.
    pub deadline_secs: f64,
    /// Additional fields of the plan as JSON, with a leading comma.
    pub plan: &'static str,
    /// Whether the list in the configuration file is a complete one.
    pub known_is_complete: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            sockets: 256,
            registry_mode: "ask",
            connect_timeout_secs: 0.25,
            deadline_secs: 1.5,
            plan: "",
            known_is_complete: true,
        }
    }
}

/// A host whose iterations the test runs.
pub struct SteppedHost {
    host: Host,
    shutdown_signal: UnixStream,
    reload_signal: UnixStream,
    /// The configuration file that the next reload reads.
    config: String,
    /// Whether the host has shut down; no further iteration runs.
    pub has_ended: bool,
    /// Number of requests that were made, which is also the number of the last one.
    request_count: u32,
}

impl SteppedHost {
    /// Creates a host that knows these members from its configuration file.
    pub fn new(settings: Settings, endpoint_list: &FakeServer, known: &[String]) -> SteppedHost {
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"7",
            "limits":{{"cores":1.0,"memory_mb":64,"sockets":{}}},"known":{},
            "settings":{{"balancers":1,"granularity":0.002,"areas":["a"],"registry_mode":"{}",
              "domain":{{"unit_mean":2.0,"largest":6}},
              "guarantees":{{"drain_grace":1.0}},
              "limits":{{"retry_after":true,"max_retry_after":0.5,"conn_idle":30.0,"connect_timeout":{},"max_attempts":3}},
              "request_classes":[
                {{"name":"read","effect":"repeatable","target":0.3,"give_up":{}}},
                {{"name":"save","effect":"by_key","group":"cell","window":0.5,"target":0.4,"give_up":{}}},
                {{"name":"once","effect":"once","target":0.4,"give_up":{}}}],
              "grades":[{{"name":"gold"{}}}]}}}}"#,
            endpoint_list.address(),
            settings.sockets,
            list_json(1, settings.known_is_complete, known),
            settings.registry_mode,
            settings.connect_timeout_secs,
            settings.deadline_secs,
            settings.deadline_secs,
            settings.deadline_secs,
            settings.plan,
        );
        let mut host = Host::start(&Configuration::parse(config.as_bytes()).unwrap()).unwrap();
        let (shutdown_signal, shutdown_receiver) = UnixStream::pair().unwrap();
        let (reload_signal, reload_receiver) = UnixStream::pair().unwrap();
        host.register_signal(ProcessSignal::Shutdown, shutdown_receiver).unwrap();
        host.register_signal(ProcessSignal::Reload, reload_receiver).unwrap();
        SteppedHost { host, shutdown_signal, reload_signal, config, has_ended: false, request_count: 0 }
    }

    /// Runs one iteration.
    pub fn run_iteration(&mut self) {
        let mut ready = Vec::new();
        let config = self.config.clone();
        if !self.has_ended {
            self.has_ended =
                self.host.run_iteration(&mut ready, &mut || Configuration::parse(config.as_bytes()));
        }
    }

    /// Runs iterations until a condition holds; panics with its description if it never does.
    #[track_caller]
    pub fn run_until(&mut self, description: &str, mut holds: impl FnMut(&mut Self) -> bool) {
        let since = Instant::now();
        while !holds(self) {
            assert!(since.elapsed() < TEST_TIMEOUT, "{description}");
            self.run_iteration();
        }
    }

    /// Runs iterations for this time.
    pub fn run_for(&mut self, secs: f64) {
        let since = Instant::now();
        while since.elapsed().as_secs_f64() < secs {
            self.run_iteration();
        }
    }

    pub fn status(&self) -> Status {
        self.host.status()
    }

    pub fn client(&self) -> RawConnection {
        RawConnection::new(TcpStream::connect(self.host.address().unwrap()).unwrap())
    }

    /// Signals the host to shut down.
    pub fn begin_shutdown(&mut self) {
        self.shutdown_signal.write_all(b"x").unwrap();
    }

    /// Replaces a part of the configuration file and makes the host read it again.
    pub fn reload(&mut self, from: &str, to: &str) {
        self.config = self.config.replace(from, to);
        self.reload_signal.write_all(b"x").unwrap();
    }

    /// Returns a valid request with a new id.
    pub fn request(&mut self, class: &str, shard: u32, body: &str) -> Vec<u8> {
        self.request_count += 1;
        let key_header = if class == "save" { "Idempotency-Key: k\r\n" } else { "" };
        format!(
            "PUT /api/00000000000000aa/{:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {:016x}\r\nX-Call-Class: {class}\r\n\
             X-Storage-Class: gold\r\nX-Budget-Ms: 1500\r\n{key_header}X-Extent: units=1,shard={shard},hosts=1\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.request_count,
            self.request_count,
            body.len()
        )
        .into_bytes()
    }
}
