//! Links to nodes: a bounded number of connections each, opened when an attempt needs one, several attempts on each.

use crate::core_thread::Event;
use crate::Clock;
use bytes::{Bytes, BytesMut};
use crossbeam_channel::{Receiver, Sender};
use std::collections::{HashMap, HashSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant as Wall};
use tackmast::interface::{NodeId, Outcome, TimeDelta};
use tackmast_config::HostSettings;
use tackmast_host_core::{AttemptId, AttemptResult, AttemptWork, Begin, OpaqueRequest, SendAttempt, Ticket};
use tackmast_wire::node::{self, Frame, NodeOutcome, Origin};

/// Bytes gathered for one write. What is gathered has been claimed and will leave, so it is little.
const GATHER: usize = 16 << 10;

enum ToLink {
    Send(Box<SendAttempt>),
    Cancel(AttemptId),
}

/// The connection a link has at the moment, for those who must end it while its thread writes.
type Current = Arc<Mutex<Option<TcpStream>>>;

struct Slot {
    to: Sender<ToLink>,
    current: Current,
}

pub struct Links {
    settings: Arc<HostSettings>,
    clock: Clock,
    events: Sender<Event>,
    generation: u64,
    nodes: HashMap<NodeId, Vec<Slot>>,
}

impl Links {
    pub fn new(settings: Arc<HostSettings>, clock: Clock, events: Sender<Event>, generation: u64) -> Self {
        Links { settings, clock, events, generation, nodes: HashMap::new() }
    }

    fn slot(&self, attempt: AttemptId) -> usize {
        (attempt.0 >> 8) as usize % self.settings.bounds.links
    }

    /// Hands the attempt to a link of its node; false: the link's queue is full, or it could not be opened.
    pub fn send(&mut self, node: NodeId, address: &str, attempt: Box<SendAttempt>) -> bool {
        let slot = self.slot(attempt.attempt);
        if !self.nodes.contains_key(&node) {
            let Some(links) = self.open(node, address) else { return false };
            self.nodes.insert(node, links);
        }
        self.nodes.get(&node).is_some_and(|links| links[slot].to.try_send(ToLink::Send(attempt)).is_ok())
    }

    pub fn cancel(&mut self, node: NodeId, attempt: AttemptId) {
        let slot = self.slot(attempt);
        if let Some(links) = self.nodes.get(&node) {
            // Without room the node works on in vain; the attempt has had its end here.
            _ = links[slot].to.try_send(ToLink::Cancel(attempt));
        }
    }

    /// Ends the connection that carries this attempt; bytes that have not left never will.
    pub fn cut(&mut self, node: NodeId, attempt: AttemptId) {
        let slot = self.slot(attempt);
        if let Some(stream) = self.nodes.get(&node).and_then(|links| lock(&links[slot].current).take()) {
            reset(&stream);
        }
    }

    pub fn drop_where(&mut self, gone: impl Fn(NodeId) -> bool) {
        self.nodes.retain(|n, _| !gone(*n));
    }

    fn open(&self, node: NodeId, address: &str) -> Option<Vec<Slot>> {
        let Ok(parsed) = address.parse::<SocketAddr>() else {
            tracing::warn!(node = address, "node address: {address}; expected an IP address and a port");
            return None;
        };
        let mut links = Vec::new();
        for slot in 0..self.settings.bounds.links {
            let (to, from) = crossbeam_channel::bounded(self.settings.bounds.link_queue);
            let link = Link {
                node,
                address: parsed,
                settings: self.settings.clone(),
                clock: self.clock,
                events: self.events.clone(),
                generation: self.generation,
                ping: crossbeam_channel::bounded(1),
                current: Current::default(),
                writing: Vec::new(),
                up: None,
            };
            let current = link.current.clone();
            let name = format!("link {} {slot}", node.0);
            if let Err(e) = crate::thread(name, move || link.run(&from)) {
                tracing::warn!(node = address, "{e}");
                return None;
            }
            links.push(Slot { to, current });
        }
        Some(links)
    }
}

/// Attempts that were claimed and have no answer yet; none once the connection is broken.
type Outstanding = Arc<Mutex<Option<HashSet<AttemptId>>>>;

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Up {
    stream: TcpStream,
    out: Outstanding,
}

struct Link {
    node: NodeId,
    address: SocketAddr,
    settings: Arc<HostSettings>,
    clock: Clock,
    events: Sender<Event>,
    generation: u64,
    /// By this the reader asks for a ping, or says that the connection is broken.
    ping: (Sender<()>, Receiver<()>),
    current: Current,
    /// Attempts whose bytes are gathered or being written.
    writing: Vec<Ticket>,
    up: Option<Up>,
}

fn back(events: &Sender<Event>, attempt: AttemptId, outcome: Outcome) {
    let back = AttemptResult { attempt, outcome, waiting: None, elsewhere: None, data: Bytes::new() };
    _ = events.send(Event::AttemptResult(back));
}

/// Ends a connection, and drops what the socket has not sent: a plain shutdown would still deliver it.
fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}

/// The connection is of no use any more: all that was claimed may have run.
fn break_off(stream: &TcpStream, out: &Outstanding, events: &Sender<Event>) {
    reset(stream);
    let attempts = lock(out).take();
    for attempt in attempts.into_iter().flatten() {
        back(events, attempt, Outcome::Reset);
    }
}

impl Link {
    fn run(mut self, queue: &Receiver<ToLink>) {
        let pings = self.ping.1.clone();
        loop {
            let first = crossbeam_channel::select! {
                recv(queue) -> m => match m {
                    Ok(m) => Some(m),
                    // The node is gone and nothing is out: the reader sees that no writer is left.
                    Err(_) => return,
                },
                recv(pings) -> _ => None,
            };
            let mut bytes = BytesMut::new();
            if self.up.as_ref().is_some_and(|up| lock(&up.out).is_none()) {
                self.down();
            } else if first.is_none() && self.up.is_some() {
                Frame::Ping { number: 0 }.encode(&mut bytes);
            }
            let mut next = first;
            while let Some(message) = next {
                self.gather(message, &mut bytes);
                next = if bytes.len() < GATHER { queue.try_recv().ok() } else { None };
            }
            let Some(up) = &mut self.up else { continue };
            if !bytes.is_empty() {
                match up.stream.write_all(&bytes) {
                    Ok(()) => self.writing.iter().for_each(Ticket::written),
                    Err(e) => {
                        tracing::debug!(node = %self.address, "link write: {e}");
                        break_off(&up.stream, &up.out, &self.events);
                        self.down();
                    }
                }
            }
            self.writing.clear();
        }
    }

    /// Lets go of a broken connection. Only when nobody holds it any more is the peer told, and what the socket
    /// had not sent dropped.
    fn down(&mut self) {
        self.up = None;
        lock(&self.current).take();
    }

    fn gather(&mut self, message: ToLink, bytes: &mut BytesMut) {
        match message {
            ToLink::Send(attempt) => {
                if self.up.as_ref().is_some_and(|up| lock(&up.out).is_none()) {
                    self.down();
                    bytes.clear();
                }
                if self.up.is_none() {
                    match self.connect() {
                        Ok(up) => self.up = Some(up),
                        Err(e) => {
                            tracing::debug!(node = %self.address, "link: {e}");
                            // It provably never ran, unless the core has given it up before.
                            if attempt.ticket.withdraw() {
                                back(&self.events, attempt.attempt, Outcome::Refused);
                            }
                            return;
                        }
                    }
                }
                let Some(up) = &self.up else { return };
                match attempt.begin(self.clock.now()) {
                    Begin::Now => {}
                    Begin::Withdrawn => return,
                    Begin::TooLate => return back(&self.events, attempt.attempt, Outcome::Refused),
                }
                match lock(&up.out).as_mut() {
                    Some(out) => _ = out.insert(attempt.attempt),
                    // Broken since it was looked at: claimed, but no byte of it has left.
                    None => return back(&self.events, attempt.attempt, Outcome::Refused),
                }
                self.writing.push(attempt.ticket.clone());
                self.frame(*attempt).encode(bytes);
            }
            ToLink::Cancel(attempt) => {
                let known =
                    self.up.as_ref().and_then(|up| lock(&up.out).as_mut().map(|o| o.contains(&attempt)));
                if known == Some(true) {
                    Frame::Cancel { attempt: attempt.0 }.encode(bytes);
                }
            }
        }
    }

    fn frame(&self, attempt: SendAttempt) -> Frame {
        let now = self.clock.now();
        let left = (attempt.until - now).secs().max(0.0);
        Frame::Send(node::SendAttempt {
            attempt: attempt.attempt.0,
            request: attempt.request,
            attempt_number: attempt.attempt_number,
            origin: Origin {
                session: attempt.from.session,
                command: attempt.from.command,
                part: attempt.part,
            },
            sent_us: self.clock.unix_us(now),
            left_us: (left * 1e6).min(f64::from(u32::MAX)) as u32,
            mark: attempt.mark,
            key: attempt.key,
            volume: attempt.volume,
            offset: attempt.offset,
            units: attempt.units as f32,
            work: match attempt.work {
                AttemptWork::Read { length } => node::Work::Read { length },
                AttemptWork::Write { data } | AttemptWork::Opaque(OpaqueRequest { body: data, .. }) => {
                    node::Work::Write { data }
                }
            },
        })
    }

    fn connect(&self) -> Result<Up, String> {
        let b = &self.settings.bounds;
        let patience = Duration::from_millis(b.connect_ms);
        let silence = Duration::from_millis(b.link_silence_ms);
        let until = Wall::now() + patience;
        let mut stream =
            TcpStream::connect_timeout(&self.address, patience).map_err(|e| format!("connect: {e}"))?;
        // What a socket has taken can't be taken back, so it takes little.
        _ = socket2::SockRef::from(&stream).set_send_buffer_size(b.link_bytes as usize / 2);
        let set = stream.set_nodelay(true).and_then(|()| stream.set_write_timeout(Some(silence)));
        set.map_err(|e| format!("socket: {e}"))?;
        let (host, generation) = (self.settings.host.number, self.generation);
        let sent_us = self.clock.unix_us(self.clock.now());
        let hello = Frame::HostHello { version: node::VERSION, host, generation, sent_us };
        stream.write_all(&hello.to_bytes()).map_err(|e| format!("hello: {e}"))?;
        let mut frames = node::frames(b.command_bytes as usize);
        let mut buffer = [0; 4096];
        let up_us = loop {
            let left = until.saturating_duration_since(Wall::now());
            if left.is_zero() {
                return Err(format!("no hello in {} ms", b.connect_ms));
            }
            stream.set_read_timeout(Some(left)).map_err(|e| format!("socket: {e}"))?;
            let n = match stream.read(&mut buffer) {
                Ok(0) => return Err("closed before the hello".into()),
                Ok(n) => n,
                Err(e) => return Err(format!("hello: {e}")),
            };
            frames.push(&buffer[..n]);
            match node::next(&mut frames) {
                Ok(Some(Frame::NodeHello { version, up_us, .. })) => {
                    node::negotiate_version(version).map_err(|e| e.to_string())?;
                    break up_us;
                }
                Ok(Some(other)) => return Err(format!("{other:?} came first; expected a hello")),
                Ok(None) => {}
                Err(e) => return Err(e.to_string()),
            }
        };
        // What waits here may have been decided for a node that was up for longer: nothing is written before the core has
        // heard, and has taken back what it now decides otherwise.
        let (heard, has_heard) = crossbeam_channel::bounded(1);
        let up = TimeDelta::from_secs(up_us as f64 / 1e6);
        _ = self.events.send(Event::NodeUp { node: self.node, up, heard });
        if has_heard.recv_timeout(Duration::from_millis(b.connect_ms)).is_err() {
            return Err(format!(
                "hello: the core has not heard it in {} ms; expected it at once",
                b.connect_ms
            ));
        }
        let out: Outstanding = Arc::new(Mutex::new(Some(HashSet::new())));
        let reading = stream.try_clone().map_err(|e| format!("socket: {e}"))?;
        reading.set_read_timeout(Some(silence)).map_err(|e| format!("socket: {e}"))?;
        let (their_out, events, pings) = (out.clone(), self.events.clone(), self.ping.0.clone());
        let name = format!("answers {}", self.node.0);
        let reader = move || read(reading, frames, &their_out, &events, &pings);
        crate::thread(name, reader).map_err(|e| e.to_string())?;
        *lock(&self.current) = stream.try_clone().ok();
        Ok(Up { stream, out })
    }
}

/// Reads answers until the connection ends.
fn read(
    mut stream: TcpStream,
    mut frames: tackmast_wire::reader::Frames,
    out: &Outstanding,
    events: &Sender<Event>,
    pings: &Sender<()>,
) {
    let mut buffer = vec![0; 64 << 10];
    let mut asked = false;
    'link: loop {
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => frames.push(&buffer[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                // Half-open peers look like slow ones: a node that owes answers and does not even answer a
                // ping in the same time again is cut off.
                let owes = lock(out).as_ref().is_some_and(|o| !o.is_empty());
                if owes && asked {
                    tracing::debug!("link: silent while attempts are out; broken off");
                    break;
                }
                asked = owes && pings.try_send(()).is_ok();
                if !owes && Arc::strong_count(out) == 1 {
                    break; // the writer has ended
                }
                continue;
            }
            Err(_) => break,
        }
        asked = false;
        loop {
            let answer = match node::next(&mut frames) {
                Ok(Some(Frame::Answer(a))) => a,
                Ok(Some(Frame::Pong { .. })) => continue,
                Ok(Some(other)) => {
                    tracing::warn!("link: {other:?}; expected an answer");
                    break 'link;
                }
                Ok(None) => break,
                Err(e) => {
                    tracing::warn!("link: {e}");
                    break 'link;
                }
            };
            let attempt = AttemptId(answer.attempt);
            if !lock(out).as_mut().is_some_and(|o| o.remove(&attempt)) {
                tracing::debug!(attempt = attempt.0, "link: an answer to no attempt that is out");
                continue;
            }
            let outcome = match answer.outcome {
                NodeOutcome::Done => Outcome::Done,
                NodeOutcome::Error => Outcome::Error,
                NodeOutcome::Full => Outcome::Full,
                NodeOutcome::NotHere => Outcome::Skipped,
            };
            let (waiting, elsewhere) = (Some(answer.waiting), Some(f64::from(answer.elsewhere)));
            let back = AttemptResult { attempt, outcome, waiting, elsewhere, data: answer.data };
            if events.send(Event::AttemptResult(back)).is_err() {
                break 'link;
            }
        }
    }
    break_off(&stream, out, events);
    // The writer holds the connection too, and may have nothing to write for long.
    _ = pings.try_send(());
}
