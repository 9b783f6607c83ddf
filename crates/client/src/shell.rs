//! The library's threads: one for its core, and for each session one that reads and one that writes.

use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_client_core::{Bounds, Core, Op, Outcome, Output, Policy, Transport, Volume};

const SMALL_STACK: usize = 128 << 10;
const CONNECT: Duration = Duration::from_secs(2);
/// A gateway that takes no byte for so long is given up.
const STALL: Duration = Duration::from_secs(10);
/// Events, and writes of a session, that may wait.
const EVENTS: usize = 4096;
const WRITES: usize = 4096;
const IDLE: Duration = Duration::from_secs(1);

pub enum Event {
    Call { number: u64, op: Op, deadline: Instant, to: Sender<Outcome> },
    Cancel { number: u64 },
    Connected { slot: usize, generation: u64, stream: TcpStream },
    Took { slot: usize, generation: u64, bytes: Bytes },
    Closed { slot: usize, generation: u64 },
    End,
}

#[derive(Clone, Copy, Debug)]
pub struct Clock(std::time::Instant);

impl Clock {
    pub fn new() -> Clock {
        Clock(std::time::Instant::now())
    }
    pub fn now(&self) -> Instant {
        Instant::from_secs(self.0.elapsed().as_secs_f64())
    }
}

type Opened = Result<Volume, String>;

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), String> {
    let thread = std::thread::Builder::new().name(name.into()).stack_size(SMALL_STACK);
    thread.spawn(run).map(|_| ()).map_err(|e| e.to_string())
}

pub fn start(
    clock: Clock,
    address: SocketAddr,
    bounds: Bounds,
    policy: Policy,
    seed: u64,
    new: Box<dyn Fn() -> Box<dyn Transport> + Send>,
) -> Result<(Sender<Event>, Receiver<Opened>), String> {
    let (events, incoming) = crossbeam_channel::bounded(EVENTS);
    let (opened, ready) = crossbeam_channel::bounded(4);
    let core = Core::new(clock.now(), bounds, policy, seed, new);
    let mut l = Loop {
        core,
        clock,
        address,
        events: events.clone(),
        opened,
        waiting: HashMap::new(),
        links: HashMap::new(),
        generation: 0,
        generations: HashMap::new(),
    };
    spawn("client core", move || l.run(&incoming))?;
    Ok((events, ready))
}

struct Loop {
    core: Core,
    clock: Clock,
    address: SocketAddr,
    events: Sender<Event>,
    opened: Sender<Opened>,
    waiting: HashMap<u64, Sender<Outcome>>,
    links: HashMap<usize, (Sender<Bytes>, TcpStream)>,
    /// Connections are numbered: what a former one of a slot still says is passed over.
    generation: u64,
    generations: HashMap<usize, u64>,
}

impl Loop {
    fn run(&mut self, incoming: &Receiver<Event>) {
        loop {
            let now = self.clock.now();
            self.core.tick(now);
            self.outputs();
            let wait = self.core.next_wake(now).map_or(IDLE, |t| {
                Duration::from_secs_f64((t - now).secs().max(0.0)).clamp(Duration::from_micros(100), IDLE)
            });
            let Some(first) = (match incoming.recv_timeout(wait) {
                Ok(e) => Some(e),
                Err(e) if e.is_timeout() => continue,
                Err(_) => None,
            }) else {
                return;
            };
            let mut next = Some(first);
            for _ in 0..256 {
                match next {
                    Some(Event::End) => {
                        self.core.end();
                        self.outputs();
                        for (_, stream) in self.links.values() {
                            _ = stream.shutdown(Shutdown::Read);
                        }
                        return;
                    }
                    Some(e) => self.event(e),
                    None => break,
                }
                next = incoming.try_recv().ok();
            }
            if let Some(e) = next {
                self.event(e);
            }
        }
    }

    fn event(&mut self, e: Event) {
        let now = self.clock.now();
        match e {
            Event::Call { number, op, deadline, to } => {
                self.waiting.insert(number, to);
                self.core.call(now, number, op, deadline);
            }
            Event::Cancel { number } => {
                self.waiting.remove(&number);
                self.core.cancel(number);
            }
            Event::Connected { slot, generation, stream } => {
                if self.generations.get(&slot) == Some(&generation)
                    && self.link(slot, generation, stream).is_none()
                {
                    self.core.closed(now, slot);
                }
            }
            Event::Took { slot, generation, bytes } => {
                if self.generations.get(&slot) == Some(&generation) {
                    self.core.took(now, slot, &bytes);
                }
            }
            Event::Closed { slot, generation } => {
                if self.generations.get(&slot) == Some(&generation) {
                    self.generations.remove(&slot);
                    self.links.remove(&slot);
                    self.core.closed(now, slot);
                }
            }
            Event::End => {}
        }
    }

    fn link(&mut self, slot: usize, generation: u64, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        stream.set_write_timeout(Some(STALL)).ok()?;
        let (mut reading, mut writing) = (stream.try_clone().ok()?, stream.try_clone().ok()?);
        let (to, from) = crossbeam_channel::bounded::<Bytes>(WRITES);
        let events = self.events.clone();
        let read = move || {
            let mut buffer = vec![0; 64 << 10];
            while let Ok(n @ 1..) = reading.read(&mut buffer) {
                let bytes = Bytes::copy_from_slice(&buffer[..n]);
                if events.send(Event::Took { slot, generation, bytes }).is_err() {
                    return;
                }
            }
            _ = reading.shutdown(Shutdown::Both);
            _ = events.send(Event::Closed { slot, generation });
        };
        spawn("client answers", read).ok()?;
        let write = move || {
            for bytes in &from {
                if writing.write_all(&bytes).is_err() {
                    break;
                }
            }
            _ = writing.shutdown(Shutdown::Both);
        };
        spawn("client calls", write).ok()?;
        self.links.insert(slot, (to, stream));
        self.core.connected(slot);
        Some(())
    }

    fn outputs(&mut self) {
        while let Some(o) = self.core.next_output() {
            match o {
                Output::Answer { call, outcome } => {
                    if let Some(to) = self.waiting.remove(&call) {
                        _ = to.try_send(outcome);
                    }
                }
                Output::Write { slot, bytes } => {
                    let full = self.links.get(&slot).is_none_or(|(to, _)| to.try_send(bytes).is_err());
                    if full {
                        // A gateway that takes nothing: what is out there is lost with the connection.
                        self.close(slot);
                        self.core.closed(self.clock.now(), slot);
                    }
                }
                Output::Close { slot } => self.close(slot),
                Output::Connect { slot } => {
                    self.generation += 1;
                    self.generations.insert(slot, self.generation);
                    let (events, address, generation) = (self.events.clone(), self.address, self.generation);
                    let connect = move || {
                        _ = events.send(match TcpStream::connect_timeout(&address, CONNECT) {
                            Ok(stream) => Event::Connected { slot, generation, stream },
                            Err(_) => Event::Closed { slot, generation },
                        });
                    };
                    if spawn("client connect", connect).is_err() {
                        self.core.closed(self.clock.now() + TimeDelta::from_secs(0.1), slot);
                    }
                }
                Output::Ready(v) => _ = self.opened.try_send(Ok(v)),
                Output::Refused(why) => _ = self.opened.try_send(Err(why)),
            }
        }
    }

    fn close(&mut self, slot: usize) {
        self.generations.remove(&slot);
        if let Some((_, stream)) = self.links.remove(&slot) {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}
