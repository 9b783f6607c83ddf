//! A storage node on loopback: the node protocol round the model and the bytes, and the ills that only sockets
//! have. It records what it sees.

use crate::model::{How, Ills, Job, Model, Nature, Us};
use crate::store::Store;
use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tackmast_trace::{now_us, AttemptEndKind, AttemptName, Event, Recorder};
use tackmast_wire::node::{self as wire, Answer, Frame, NodeOutcome, SendAttempt, Work};

const SMALL_STACK: usize = 128 << 10;
/// Answers that may wait on one connection; a host that takes none is cut off.
const ANSWERS: usize = 8192;
const DRIP: Duration = Duration::from_micros(200);

/// Marks that the nodes of one group know, and when each ran.
#[derive(Default)]
pub struct Marks(Mutex<HashMap<u128, Us>>);

impl Marks {
    /// Whether this is the first run of the mark within the window.
    fn first(&self, now: Us, mark: u128, window: Us) -> bool {
        let mut known = lock(&self.0);
        if known.get(&mark).is_some_and(|t| *t + window > now) {
            return false;
        }
        known.insert(mark, now);
        if known.len() > 100_000 {
            known.retain(|_, t| *t + window > now);
        }
        true
    }
}

#[derive(Clone)]
pub struct NodeSettings {
    pub address: SocketAddr,
    pub shard: u32,
    pub zone: u32,
    pub nature: Nature,
    pub seed: u64,
    /// Bytes of one attempt, at most.
    pub max_data: usize,
    /// How often the load that answers tell of is looked at.
    pub report_every: Duration,
    /// The marks this node shares with others, and for how long each is known.
    pub marks: Arc<Marks>,
    pub window_s: f64,
    /// Whether it starts cold.
    pub cold: bool,
    /// Its bytes; a successor of the same shard is given those of the node it replaces.
    pub store: Arc<Mutex<Store>>,
    /// Bytes that its sockets take while it does not read; 0: as many as the system likes.
    pub receive_bytes: usize,
    /// The address by which others know it, where that is not its own.
    pub front: Option<SocketAddr>,
    pub recorder: Recorder,
}

/// What can be done to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    Slow(f64),
    Neighbour(f64),
    Errors(f64),
    Heavy(f64, f64),
    Pause(f64),
    /// Takes all in and says nothing, without closing.
    Silent(bool),
    /// Stops reading.
    Deaf(bool),
    /// Sends a byte at a time.
    Drip(bool),
    /// Part of answers in whose middle the connection is reset, or goes quiet.
    ResetAnswers(f64),
    CutAnswers(f64),
    /// Sends bytes that are no frame in place of an answer.
    Garbage(f64),
    /// Closes all connections now.
    Reset,
    /// The process dies, and starts again, cold, after that time.
    Restart(f64),
    Die,
    Well,
}

impl FromStr for Fault {
    type Err = String;

    /// `slow 5`, `heavy 0.01 20`, `silent on`, `reset`, `well` ...
    fn from_str(text: &str) -> Result<Fault, String> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let wrong = || {
            format!(
                "{text:?}; expected slow X, neighbour X, errors X, heavy X TIMES, pause S, silent on|off, \
                 deaf on|off, drip on|off, reset-answers X, cut-answers X, garbage X, reset, restart S, die or well"
            )
        };
        let number = |i: usize| {
            let n = words.get(i).and_then(|w| w.parse::<f64>().ok());
            n.filter(|n| n.is_finite() && *n >= 0.0).ok_or_else(wrong)
        };
        let switch = || match words.get(1) {
            Some(&"on") | None => Ok(true),
            Some(&"off") => Ok(false),
            _ => Err(wrong()),
        };
        Ok(match words.first().copied().unwrap_or("") {
            "slow" => Fault::Slow(number(1)?),
            "neighbour" => Fault::Neighbour(number(1)?),
            "errors" => Fault::Errors(number(1)?),
            "heavy" => Fault::Heavy(number(1)?, number(2)?),
            "pause" => Fault::Pause(number(1)?),
            "silent" => Fault::Silent(switch()?),
            "deaf" => Fault::Deaf(switch()?),
            "drip" => Fault::Drip(switch()?),
            "reset-answers" => Fault::ResetAnswers(number(1)?),
            "cut-answers" => Fault::CutAnswers(number(1)?),
            "garbage" => Fault::Garbage(number(1)?),
            "reset" => Fault::Reset,
            "restart" => Fault::Restart(number(1)?),
            "die" => Fault::Die,
            "well" => Fault::Well,
            _ => return Err(wrong()),
        })
    }
}

#[derive(Clone, Copy, Default)]
struct SocketIlls {
    silent: bool,
    deaf: bool,
    drip: bool,
    reset: f64,
    cut: f64,
    garbage: f64,
}

struct Held {
    conn: u64,
    attempt: SendAttempt,
    name: AttemptName,
}

struct Conn {
    to: Sender<Bytes>,
    stream: TcpStream,
    host: u32,
    generation: u64,
    quiet: bool,
    /// Least difference seen between this node's clock and the host's.
    offset: i64,
}

#[derive(Default)]
struct Served {
    total: f64,
    /// By host: its own units, and how many of the others' it was told of.
    hosts: HashMap<u32, (f64, f64)>,
}

struct State {
    model: Model,
    ills: SocketIlls,
    chance: oorandom::Rand64,
    held: HashMap<u64, Held>,
    next: u64,
    conns: HashMap<u64, Conn>,
    served: HashMap<u32, Served>,
    waiting: (Us, u32),
    started: Us,
    up: bool,
    generation: u64,
}

struct Inner {
    settings: NodeSettings,
    address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    over: AtomicBool,
}

/// A running node; it ends with `stop`.
#[derive(Clone)]
pub struct Node(Arc<Inner>);

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(SMALL_STACK).spawn(run).map(|_| ())
}

impl Node {
    pub fn start(settings: NodeSettings) -> io::Result<Node> {
        let listener = listener(&settings)?;
        let address = listener.local_addr()?;
        let now = now_us();
        let model = Model::new(now, settings.nature.clone(), settings.seed, settings.cold);
        let started = if settings.cold { now } else { now.saturating_sub(3_600_000_000) };
        let state = State {
            model,
            ills: SocketIlls::default(),
            chance: oorandom::Rand64::new(u128::from(settings.seed) + 1),
            held: HashMap::new(),
            next: 0,
            conns: HashMap::new(),
            served: HashMap::new(),
            waiting: (0, 0),
            started,
            up: true,
            generation: 0,
        };
        let (changed, over) = (Condvar::new(), AtomicBool::new(false));
        let node = Node(Arc::new(Inner { settings, address, state: Mutex::new(state), changed, over }));
        node.0.note_up(&lock(&node.0.state));
        let timer = node.0.clone();
        spawn("node time", move || timer.run())?;
        let inner = node.0.clone();
        spawn("node listen", move || inner.listen(&listener, 0))?;
        Ok(node)
    }

    /// Where hosts reach it, and its name.
    pub fn address(&self) -> SocketAddr {
        self.0.settings.front.unwrap_or(self.0.address)
    }

    /// Where it listens itself.
    pub fn own_address(&self) -> SocketAddr {
        self.0.address
    }

    /// Unix time of its latest start in microseconds; 0: long past.
    pub fn started_us(&self) -> u64 {
        let s = lock(&self.0.state);
        if now_us() - s.started > 3_000_000_000 {
            0
        } else {
            s.started
        }
    }

    pub fn is_up(&self) -> bool {
        lock(&self.0.state).up
    }

    pub fn has_fallen(&self) -> bool {
        lock(&self.0.state).model.is_fallen()
    }

    pub fn shard(&self) -> u32 {
        self.0.settings.shard
    }

    pub fn zone(&self) -> u32 {
        self.0.settings.zone
    }

    pub fn set(&self, fault: &Fault) {
        let now = now_us();
        let mut s = lock(&self.0.state);
        s.model.advance(now);
        match *fault {
            Fault::Slow(x) => s.model.ills.slow = x.max(0.01),
            Fault::Neighbour(x) => s.model.ills.neighbour = x.min(0.99),
            Fault::Errors(x) => s.model.ills.errors = x,
            Fault::Heavy(part, times) => s.model.ills.heavy = (part, times),
            Fault::Pause(seconds) => s.model.pause(now, seconds),
            Fault::Silent(on) => s.ills.silent = on,
            Fault::Deaf(on) => s.ills.deaf = on,
            Fault::Drip(on) => s.ills.drip = on,
            Fault::ResetAnswers(x) => s.ills.reset = x,
            Fault::CutAnswers(x) => s.ills.cut = x,
            Fault::Garbage(x) => s.ills.garbage = x,
            Fault::Reset => self.0.close_all(&mut s),
            Fault::Restart(down) => {
                self.0.die(&mut s);
                let (inner, generation) = (self.0.clone(), s.generation);
                let again = move || {
                    std::thread::sleep(Duration::from_secs_f64(down));
                    inner.live_again(generation);
                };
                _ = spawn("node restart", again);
            }
            Fault::Die => self.0.die(&mut s),
            Fault::Well => {
                s.model.ills = Ills::default();
                s.ills = SocketIlls::default();
            }
        }
        drop(s);
        self.0.changed.notify_all();
    }

    pub fn stop(&self) {
        self.0.over.store(true, Ordering::Release);
        let mut s = lock(&self.0.state);
        if s.up {
            self.0.die(&mut s);
        }
        drop(s);
        self.0.changed.notify_all();
    }
}

fn listener(s: &NodeSettings) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(s.address)?;
    if s.receive_bytes > 0 {
        // Connections inherit it.
        socket2::SockRef::from(&listener).set_recv_buffer_size(s.receive_bytes)?;
    }
    Ok(listener)
}

/// When bytes came to a socket that nobody read: the time, and how many had come by then.
#[derive(Default)]
struct Unread {
    come: Vec<(Us, u64)>,
    /// When the peer closed or reset the connection, which may stand behind bytes that nobody reads.
    ended: Option<Us>,
}

impl Unread {
    /// Looks, without reading, at what has come beside the `read` bytes.
    fn look(&mut self, stream: &TcpStream, buffer: &mut [u8], read: u64) {
        if let Ok(n) = stream.peek(buffer) {
            let come = read + n as u64;
            if self.come.last().is_none_or(|(_, c)| *c < come) {
                self.come.push((now_us(), come));
            }
        }
        if matches!(stream.take_error(), Ok(Some(_))) || hung_up(stream) {
            self.ended = self.ended.or(Some(now_us()));
        }
    }
    /// When the byte before this one had come.
    fn came(&self, end: u64) -> Option<Us> {
        self.come.iter().find(|(_, come)| *come >= end).map(|(t, _)| *t)
    }
}

/// Whether the peer has closed its side, whatever is still unread.
fn hung_up(stream: &TcpStream) -> bool {
    use rustix::event::{poll, PollFd, PollFlags, Timespec};
    let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let gone = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    poll(&mut fds, Some(&at_once)).is_ok_and(|n| n > 0) && fds[0].revents().intersects(gone)
}

impl Inner {
    fn name(&self) -> String {
        self.settings.front.unwrap_or(self.address).to_string()
    }

    fn note_up(&self, s: &State) {
        let n = &self.settings;
        let cold = now_us().saturating_sub(s.started) < 1_000_000;
        n.recorder.note(Event::NodeUp {
            node: self.name(),
            zone: n.zone,
            shard: n.shard,
            capacity: s.model.capacity(),
            initial_capacity: if cold { n.nature.cold_from } else { 1.0 },
            warm_us: if cold { (n.nature.warm_s * 1e6) as u64 } else { 0 },
        });
    }

    /// The process is gone: its connections with it, and what it held may or may not have had its effect.
    fn die(&self, s: &mut State) {
        s.up = false;
        s.generation += 1;
        self.settings.recorder.note(Event::NodeDown { node: self.name() });
        for id in s.model.held() {
            if s.chance.rand_float() < 0.5 {
                if let Some(held) = s.held.get(&id) {
                    self.apply(&held.attempt);
                }
            }
        }
        s.held.clear();
        self.close_all(s);
        // The listener waits for a connection: this one wakes it to its end.
        _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    fn live_again(self: Arc<Self>, generation: u64) {
        if self.over.load(Ordering::Acquire) || lock(&self.state).generation != generation {
            return;
        }
        let until = std::time::Instant::now() + Duration::from_secs(5);
        let listener = loop {
            let settings = NodeSettings { address: self.address, ..self.settings.clone() };
            match listener(&settings) {
                Ok(l) => break l,
                Err(_) if std::time::Instant::now() < until => std::thread::sleep(Duration::from_millis(10)),
                Err(_) => return,
            }
        };
        let mut s = lock(&self.state);
        let now = now_us();
        let ills = s.model.ills.clone();
        s.model = Model::new(now, self.settings.nature.clone(), self.settings.seed ^ now, true);
        s.model.ills = ills;
        (s.started, s.up) = (now, true);
        s.served.clear();
        self.note_up(&s);
        drop(s);
        let inner = self.clone();
        _ = spawn("node listen", move || inner.listen(&listener, generation));
    }

    fn close_all(&self, s: &mut State) {
        for c in s.conns.values() {
            reset(&c.stream);
        }
    }

    fn listen(self: Arc<Self>, listener: &TcpListener, generation: u64) {
        for stream in listener.incoming() {
            if self.over.load(Ordering::Acquire) || lock(&self.state).generation != generation {
                return;
            }
            let Ok(stream) = stream else { continue };
            let inner = self.clone();
            _ = spawn("node link", move || inner.serve(stream));
        }
    }

    fn run(&self) {
        let mut s = lock(&self.state);
        while !self.over.load(Ordering::Acquire) {
            let now = now_us();
            if s.up && !s.ills.silent {
                s.model.advance(now);
                self.settle(&mut s);
            }
            let next = if s.up && !s.ills.silent { s.model.next_time() } else { None };
            let wait = next.map_or(100_000, |t| t.saturating_sub(now_us()).clamp(50, 100_000));
            let (again, _) = self
                .changed
                .wait_timeout(s, Duration::from_micros(wait))
                .unwrap_or_else(PoisonError::into_inner);
            s = again;
        }
    }

    /// Writes the answers of what has ended.
    fn settle(&self, s: &mut State) {
        for (id, how) in s.model.ended() {
            let Some(held) = s.held.remove(&id) else { continue };
            let mut data = Bytes::new();
            let (outcome, kind) = match how {
                How::Done => {
                    let ran = self.apply(&held.attempt);
                    if let Work::Read { length } = held.attempt.work {
                        data =
                            lock(&self.settings.store).read(held.attempt.volume, held.attempt.offset, length);
                    }
                    (NodeOutcome::Done, (AttemptEndKind::Done, ran))
                }
                How::Error => (NodeOutcome::Error, (AttemptEndKind::Error, false)),
                How::NeverRan => (NodeOutcome::Full, (AttemptEndKind::NeverRan, false)),
            };
            let elsewhere = self.tell(s, &held, how == How::Done);
            let (kind, ran) = kind;
            if self.settings.recorder.is_on() {
                self.settings.recorder.note(Event::AttemptEnd {
                    node: self.name(),
                    name: held.name,
                    kind,
                    ran,
                });
            }
            let now = now_us();
            if now.saturating_sub(s.waiting.0) >= self.settings.report_every.as_micros() as u64 {
                s.waiting = (now, s.model.waiting() as u32);
            }
            let answer =
                Answer { attempt: held.attempt.attempt, outcome, waiting: s.waiting.1, elsewhere, data };
            if let Some(c) = s.conns.get(&held.conn) {
                if c.to.try_send(Frame::Answer(answer).to_bytes()).is_err() {
                    reset(&c.stream);
                }
            }
        }
    }

    /// The effect of an attempt; false: it was a repeat, and dropped.
    fn apply(&self, attempt: &SendAttempt) -> bool {
        let window = (self.settings.window_s * 1e6) as u64;
        if attempt.mark != 0 && !self.settings.marks.first(now_us(), attempt.mark, window) {
            return false;
        }
        if let Work::Write { data } = &attempt.work {
            lock(&self.settings.store).write(attempt.volume, attempt.offset, data);
        }
        true
    }

    /// Units served for the volume through other hosts since this one was last told.
    fn tell(&self, s: &mut State, held: &Held, done: bool) -> f32 {
        let served = s.served.entry(held.attempt.volume).or_default();
        let own = served.hosts.entry(held.name.host).or_default();
        if done {
            served.total += f64::from(held.attempt.units);
            own.0 += f64::from(held.attempt.units);
        }
        let others = served.total - own.0;
        let news = (others - own.1).max(0.0);
        own.1 = others;
        news as f32
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let Ok(writing) = stream.try_clone() else { return };
        _ = stream.set_nodelay(true);
        let (to, from) = crossbeam_channel::bounded::<Bytes>(ANSWERS);
        let inner = self.clone();
        if spawn("node answers", move || inner.write(writing, &from)).is_err() {
            return;
        }
        let number = {
            let mut s = lock(&self.state);
            s.next += 1;
            let number = s.next;
            s.conns.insert(
                number,
                Conn { to: to.clone(), stream: clone, host: 0, generation: 0, quiet: true, offset: i64::MAX },
            );
            number
        };
        let mut frames = wire::frames(self.settings.max_data);
        let mut buffer = vec![0; 64 << 10];
        let mut total = 0u64;
        let mut unread = Unread::default();
        _ = stream.set_read_timeout(Some(Duration::from_millis(2)));
        'link: loop {
            // A node that stops reading leaves the bytes to the sockets, and remembers when they came.
            while lock(&self.state).ills.deaf && !self.over.load(Ordering::Acquire) {
                let mut look = vec![0; 1 << 20];
                let open = unread.ended.is_none();
                unread.look(&stream, &mut look, total);
                if let Some(t) = unread.ended.filter(|_| open) {
                    // The host has had the end of these, long before this node reads on and finds out.
                    self.note_link_down(&lock(&self.state), number, t);
                }
                std::thread::sleep(Duration::from_millis(2));
            }
            let n = match stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(n) => n,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(_) => break,
            };
            total += n as u64;
            frames.push(&buffer[..n]);
            loop {
                match wire::next(&mut frames) {
                    Ok(Some(frame)) => {
                        let end = total - frames.partial() as u64;
                        let came = unread.came(end).unwrap_or_else(now_us);
                        if !self.frame(number, frame, &to, came, unread.ended) {
                            break 'link;
                        }
                    }
                    Ok(None) => break,
                    Err(_) => break 'link,
                }
            }
        }
        _ = stream.shutdown(Shutdown::Both);
        let mut s = lock(&self.state);
        self.note_link_down(&s, number, unread.ended.unwrap_or_else(now_us));
        s.conns.remove(&number);
    }

    fn note_link_down(&self, s: &State, number: u64, t: Us) {
        if let Some(c) = s.conns.get(&number) {
            let attempts = s.held.values().filter(|h| h.conn == number).map(|h| h.name).collect();
            let event =
                Event::LinkDown { node: self.name(), host: c.host, generation: c.generation, attempts };
            self.settings.recorder.note_at(t, event);
        }
    }

    /// False: the connection is at its end.
    fn frame(&self, conn: u64, frame: Frame, to: &Sender<Bytes>, came: Us, ended: Option<Us>) -> bool {
        let mut s = lock(&self.state);
        if !s.up {
            return false;
        }
        let now = now_us();
        let silent = s.ills.silent;
        match frame {
            Frame::HostHello { version, host, generation, sent_us } => {
                let Ok(version) = wire::negotiate_version(version) else { return false };
                if let Some(c) = s.conns.get_mut(&conn) {
                    (c.host, c.generation, c.quiet) = (host, generation, false);
                    c.offset = now as i64 - sent_us as i64;
                }
                let (shard, zone) = (self.settings.shard, self.settings.zone);
                let up_us = now.saturating_sub(s.started);
                let hello = Frame::NodeHello { version, shard, zone, started_us: s.started, up_us };
                silent || to.try_send(hello.to_bytes()).is_ok()
            }
            Frame::Send(attempt) => {
                let Some((host, generation)) =
                    s.conns.get(&conn).filter(|c| !c.quiet).map(|c| (c.host, c.generation))
                else {
                    return false;
                };
                let name = AttemptName {
                    host,
                    generation,
                    request: attempt.request,
                    attempt: attempt.attempt_number,
                };
                let offset = s.conns.get_mut(&conn).map_or(0, |c| {
                    c.offset = c.offset.min(now as i64 - attempt.sent_us as i64);
                    c.offset
                });
                let until = (attempt.sent_us as i64 + offset).max(0) as u64 + u64::from(attempt.left_us);
                let (write, bytes) = match &attempt.work {
                    Work::Read { length } => (false, u64::from(*length)),
                    Work::Write { data } => (true, data.len() as u64),
                };
                let attempt_event = || Event::Attempt {
                    node: self.name(),
                    name,
                    session: attempt.origin.session,
                    command: attempt.origin.command,
                    part: attempt.origin.part,
                    volume: attempt.volume,
                    write,
                    offset: attempt.offset,
                    bytes,
                    units: f64::from(attempt.units),
                    key: attempt.key,
                    mark: format!("{:x}", attempt.mark),
                    // Its time ends when its host ends it, however long its bytes were on the way: told by the time
                    // it had when it was sent, it would seem to be out longer, and its key's next one too early.
                    left_us: until.saturating_sub(came),
                };
                if self.settings.recorder.is_on() {
                    self.settings.recorder.note_at(came, attempt_event());
                    if let Some(t) = ended {
                        // Read only after its host had closed the link, and so had the end of it.
                        let event =
                            Event::LinkDown { node: self.name(), host, generation, attempts: vec![name] };
                        self.settings.recorder.note_at(t.max(came), event);
                    }
                }
                if silent {
                    return true;
                }
                s.next += 1;
                let id = s.next;
                let job = Job {
                    id,
                    units: f64::from(attempt.units),
                    write,
                    key: attempt.key ^ attempt.offset << 8,
                    further: attempt.attempt_number > 0,
                    until,
                };
                s.held.insert(id, Held { conn, attempt, name });
                s.model.arrive(now, job);
                self.settle(&mut s);
                let pending = !s.held.is_empty();
                drop(s);
                if pending {
                    self.changed.notify_all();
                }
                true
            }
            Frame::Cancel { attempt } => {
                let found = s.held.iter().find(|(_, h)| h.conn == conn && h.attempt.attempt == attempt);
                let found = found.map(|(id, h)| (*id, h.name));
                if let Some((id, name)) = found {
                    self.settings.recorder.note(Event::Cancel { node: self.name(), name });
                    if !silent {
                        s.model.cancel(now, id);
                        self.settle(&mut s);
                    }
                }
                true
            }
            Frame::Ping { number } => silent || to.try_send(Frame::Pong { number }.to_bytes()).is_ok(),
            Frame::NodeHello { .. } | Frame::Answer(_) | Frame::Pong { .. } => false,
        }
    }

    fn write(&self, mut stream: TcpStream, from: &Receiver<Bytes>) {
        while let Ok(bytes) = from.recv() {
            let (ills, draws) = {
                let mut s = lock(&self.state);
                (s.ills, [s.chance.rand_float(), s.chance.rand_float(), s.chance.rand_float()])
            };
            let half = &bytes[..bytes.len() / 2];
            let written = if draws[0] < ills.reset {
                _ = stream.write_all(half);
                reset(&stream);
                return;
            } else if draws[1] < ills.cut {
                // The frame ends early and nothing follows: the peer waits for the rest.
                _ = stream.write_all(half);
                from.iter().for_each(drop);
                return;
            } else if draws[2] < ills.garbage {
                stream.write_all(&[0xff; 64])
            } else if ills.drip {
                bytes.iter().try_for_each(|b| {
                    std::thread::sleep(DRIP);
                    stream.write_all(&[*b])
                })
            } else {
                stream.write_all(&bytes)
            };
            if written.is_err() {
                return;
            }
        }
    }
}

/// Ends a connection as a crashed peer does.
fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tackmast_wire::node::{Origin, SendAttempt};

    #[test]
    fn an_attempt_that_was_long_on_the_way_has_that_much_less_time() {
        let recorder = Recorder::default();
        let node = Node::start(NodeSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            shard: 0,
            zone: 0,
            nature: Nature::default(),
            seed: 1,
            max_data: 1 << 16,
            report_every: Duration::from_secs(1),
            marks: Arc::default(),
            window_s: 5.0,
            cold: false,
            store: Arc::default(),
            receive_bytes: 0,
            front: None,
            recorder: recorder.clone(),
        })
        .unwrap();
        let mut link = TcpStream::connect(node.address()).unwrap();
        let hello = Frame::HostHello { version: wire::VERSION, host: 0, generation: 1, sent_us: now_us() };
        link.write_all(&hello.to_bytes()).unwrap();
        let attempt = |attempt| {
            let origin = Origin { session: 1, command: 1, part: 0 };
            let work = Work::Read { length: 512 };
            let (sent_us, left_us) = (now_us(), 400_000);
            let (request, attempt_number, mark, key, volume, offset, units) = (attempt, 0, 0, 0, 0, 0, 1.0);
            let attempt = SendAttempt {
                attempt,
                request,
                attempt_number,
                origin,
                sent_us,
                left_us,
                mark,
                key,
                volume,
                offset,
                units,
                work,
            };
            Frame::Send(attempt).to_bytes()
        };
        // The second one's last byte comes late.
        link.write_all(&attempt(1)).unwrap();
        let bytes = attempt(2);
        link.write_all(&bytes[..bytes.len() - 1]).unwrap();
        std::thread::sleep(Duration::from_millis(150));
        link.write_all(&bytes[bytes.len() - 1..]).unwrap();
        let (mut left, until) = (Vec::new(), std::time::Instant::now() + Duration::from_secs(5));
        while left.len() < 2 && std::time::Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            left.extend(recorder.take().into_iter().filter_map(|l| match l.event {
                Event::Attempt { left_us, .. } => Some(left_us),
                _ => None,
            }));
        }
        assert!(left.len() == 2 && left[0] > 350_000 && left[1] < 300_000, "{left:?}");
        node.stop();
    }
}
