//! A host whose turns the test calls itself, between raw sockets: so events that cross are put in their order by the test, and
//! nothing has to be waited for but states.

use super::PATIENCE;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};
use tackmast_emulators::http::ReservedPort;
use tackmast_platform::Configuration;
use tackmast_platform_host::{Host, ProcessSignal, Status};

/// One side of a connection, as bytes.
pub struct Wire {
    pub stream: TcpStream,
    pub got: Vec<u8>,
    /// How it ended: in order, or by a reset.
    pub ended: Option<Result<(), ErrorKind>>,
}

impl Wire {
    fn new(stream: TcpStream) -> Wire {
        stream.set_nonblocking(true).unwrap();
        stream.set_nodelay(true).unwrap();
        Wire { stream, got: Vec::new(), ended: None }
    }

    /// All that is there by now.
    pub fn hear(&mut self) -> &str {
        let mut piece = [0; 64 * 1024];
        while self.ended.is_none() {
            match self.stream.read(&mut piece) {
                Ok(0) => self.ended = Some(Ok(())),
                Ok(n) => self.got.extend_from_slice(&piece[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => self.ended = Some(Err(e.kind())),
            }
        }
        std::str::from_utf8(&self.got).unwrap()
    }

    /// What fits.
    pub fn say(&mut self, bytes: &[u8]) -> usize {
        let mut said = 0;
        while said < bytes.len() {
            match self.stream.write(&bytes[said..]) {
                Ok(n) => said += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) => panic!("{e}"),
            }
        }
        said
    }

    pub fn end_sending(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Closes with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Requests, or answers, that it has been sent.
    pub fn heads(&mut self) -> usize {
        self.hear().matches("\r\n\r\n").count()
    }

    pub fn statuses(&mut self) -> Vec<u16> {
        let text = self.hear().to_owned();
        text.split("HTTP/1.1 ").skip(1).filter_map(|p| p.get(..3)?.parse().ok()).collect()
    }
}

/// A listener: a node, or a node list.
pub struct Place {
    port: ReservedPort,
    /// None after `stop_listening`.
    listener: Option<TcpListener>,
    pub wires: Vec<Wire>,
}

impl Place {
    pub fn new() -> Place {
        Place::listens(1024)
    }

    fn listens(backlog: i32) -> Place {
        let port = ReservedPort::new().unwrap();
        let listener = port.listen(backlog).unwrap();
        listener.set_nonblocking(true).unwrap();
        Place { port, listener: Some(listener), wires: Vec::new() }
    }

    /// Closes the listener and all connections. The port stays reserved, so that a connect is refused.
    pub fn stop_listening(&mut self) {
        self.listener = None;
        self.wires.clear();
    }

    /// One whose connections do not come up until `comes_up`: its backlog is full. The system tries again after a second.
    pub fn stuck() -> (Place, Vec<TcpStream>) {
        let place = Place::listens(0);
        let (to, mut fill) = (place.address(), Vec::new());
        while let Ok(s) = TcpStream::connect_timeout(&to, Duration::from_millis(100)) {
            fill.push(s);
            assert!(fill.len() < 16);
        }
        (place, fill)
    }

    /// Takes those that filled the backlog out of it.
    pub fn comes_up(&mut self, fill: Vec<TcpStream>) {
        for _ in 0..fill.len() {
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

    pub fn look(&mut self) {
        while let Ok(stream) = self.accept() {
            self.wires.push(Wire::new(stream));
        }
        self.wires.iter_mut().for_each(|w| _ = w.hear());
    }

    /// Requests that have come whole, over all its connections.
    pub fn asked(&mut self) -> usize {
        self.look();
        self.wires.iter_mut().map(Wire::heads).sum()
    }

    /// All bytes that have come.
    pub fn bytes(&mut self) -> usize {
        self.look();
        self.wires.iter().map(|w| w.got.len()).sum()
    }
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn member(id: &str, at: SocketAddr, shard: u32, phase: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{at}","locality":"a","flavor":"m","cell":{shard},"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

pub fn list(version: u64, complete: bool, members: &[String]) -> String {
    format!(r#"{{"revision":{version},"complete":{complete},"members":[{}]}}"#, members.join(","))
}

pub struct Settings {
    pub sockets: usize,
    pub mode: &'static str,
    pub connect_timeout: f64,
    pub cancel: f64,
    pub plan: &'static str,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { sockets: 256, mode: "ask", connect_timeout: 0.25, cancel: 1.5, plan: "" }
    }
}

pub struct Stepped {
    host: Host,
    term: UnixStream,
    hup: UnixStream,
    pub config: String,
    pub over: bool,
    calls: u32,
}

impl Stepped {
    /// Nodes as members of the list that the host last had.
    pub fn new(s: Settings, places: &Place, known: &[String]) -> Stepped {
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
            places.address(),
            s.sockets,
            list(1, true, known),
            s.mode,
            s.connect_timeout,
            s.cancel,
            s.cancel,
            s.cancel,
            s.plan,
        );
        let mut host = Host::start(&Configuration::parse(config.as_bytes()).unwrap()).unwrap();
        let (term, ends) = UnixStream::pair().unwrap();
        let (hup, reloads) = UnixStream::pair().unwrap();
        host.register_signal(ProcessSignal::Shutdown, ends).unwrap();
        host.register_signal(ProcessSignal::Reload, reloads).unwrap();
        Stepped { host, term, hup, config, over: false, calls: 0 }
    }

    pub fn run_iteration(&mut self) {
        let mut ready = Vec::new();
        let config = self.config.clone();
        if !self.over {
            self.over = self.host.run_iteration(&mut ready, &mut || Configuration::parse(config.as_bytes()));
        }
    }

    /// Turns until this holds, or for long enough that it never will.
    #[track_caller]
    pub fn until(&mut self, what: &str, mut holds: impl FnMut(&mut Self) -> bool) {
        let since = Instant::now();
        while !holds(self) {
            assert!(since.elapsed() < PATIENCE, "{what}");
            self.run_iteration();
        }
    }

    /// So long, whatever happens.
    pub fn turns_for(&mut self, secs: f64) {
        let since = Instant::now();
        while since.elapsed().as_secs_f64() < secs {
            self.run_iteration();
        }
    }

    pub fn status(&self) -> Status {
        self.host.status()
    }

    pub fn client(&self) -> Wire {
        Wire::new(TcpStream::connect(self.host.address().unwrap()).unwrap())
    }

    pub fn term(&mut self) {
        self.term.write_all(b"x").unwrap();
    }

    pub fn hup(&mut self, from: &str, to: &str) {
        self.config = self.config.replace(from, to);
        self.hup.write_all(b"x").unwrap();
    }

    /// A good request with a fresh id.
    pub fn request(&mut self, class: &str, shard: u32, body: &str) -> Vec<u8> {
        self.calls += 1;
        let mark = if class == "save" { "Idempotency-Key: k\r\n" } else { "" };
        format!(
            "PUT /api/00000000000000aa/{:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {:016x}\r\nX-Call-Class: {class}\r\n\
             X-Storage-Class: gold\r\nX-Budget-Ms: 1500\r\n{mark}X-Extent: units=1,shard={shard},hosts=1\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.calls,
            self.calls,
            body.len()
        )
        .into_bytes()
    }
}
