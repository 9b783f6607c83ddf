//! Ways between processes on loopback, owned by whoever plays the faults: each datagram and each connection between two
//! parties leads through here, and can be cut, lost, late, doubled or reset by pair and direction.
//!
//! A connection over a way that is cut stays open without a word. What was under way when it was cut, or was written
//! meanwhile, is lost; such a connection is reset when the way is whole again, as real networks do with connections that
//! they forgot. One on which nothing was under way goes on as if nothing had been.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};
use tackmast_trace::{Event, Recorder};
use tackmast_wire::{list, node};

const SMALL_STACK: usize = 128 << 10;
/// How often a connection looks whether its way has changed.
const LOOK: Duration = Duration::from_millis(10);
/// Datagrams that wait for their time, at most; beyond that they are lost, and counted.
const WAITING: usize = 100_000;
/// Bytes of a first frame, by which a caller says who it is.
const FIRST: usize = 4096;

/// Who is at an end of a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Party {
    /// A process of a host; a second one of the same number has a number of its own here.
    Host(u32),
    /// A node, by the address that the list tells of it.
    Node(SocketAddr),
    List,
    Clients,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    /// Nothing passes.
    Cut,
    /// Connections are reset, now and as often as one is opened.
    Reset,
    /// Datagrams: a part is lost; late by up to so many seconds, so that they overtake each other; a part comes twice.
    Lose(f64),
    Late(f64),
    Double(f64),
}

struct Effect {
    id: u64,
    from: HashSet<Party>,
    to: HashSet<Party>,
    what: What,
}

/// What holds on one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    pub cut: bool,
    pub reset: bool,
    pub lost: f64,
    pub late_s: f64,
    pub doubled: f64,
}

#[derive(Default)]
struct Known {
    effects: RwLock<Vec<Effect>>,
    next: AtomicU64,
    over: AtomicBool,
    dropped: AtomicU64,
    passed: AtomicU64,
}

/// All ways of one rig.
#[derive(Clone, Default)]
pub struct Ways(Arc<Known>);

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(SMALL_STACK).spawn(run).map(|_| ())
}

impl Ways {
    /// From here on, until `end` is called with the number that this gives.
    pub fn begin(&self, from: HashSet<Party>, to: HashSet<Party>, what: What) -> u64 {
        let id = self.0.next.fetch_add(1, Ordering::Relaxed);
        let mut all = self.0.effects.write().unwrap_or_else(PoisonError::into_inner);
        all.push(Effect { id, from, to, what });
        id
    }

    pub fn end(&self, id: u64) {
        self.0.effects.write().unwrap_or_else(PoisonError::into_inner).retain(|e| e.id != id);
    }

    pub fn way(&self, from: Party, to: Party) -> Way {
        let mut way = Way::default();
        let all = self.0.effects.read().unwrap_or_else(PoisonError::into_inner);
        for e in all.iter().filter(|e| e.from.contains(&from) && e.to.contains(&to)) {
            match e.what {
                What::Cut => way.cut = true,
                What::Reset => way.reset = true,
                What::Lose(part) => way.lost = 1.0 - (1.0 - way.lost) * (1.0 - part),
                What::Late(s) => way.late_s += s,
                What::Double(part) => way.doubled = way.doubled.max(part),
            }
        }
        way
    }

    /// Datagrams that passed, and that were lost on purpose or for want of room.
    pub fn datagrams(&self) -> (u64, u64) {
        (self.0.passed.load(Ordering::Relaxed), self.0.dropped.load(Ordering::Relaxed))
    }

    pub fn stop(&self) {
        self.0.over.store(true, Ordering::Release);
    }

    fn is_over(&self) -> bool {
        self.0.over.load(Ordering::Acquire)
    }
}

type Late = Reverse<(Instant, u64)>;

#[derive(Default)]
struct Waiting {
    order: BinaryHeap<Late>,
    what: HashMap<u64, (Arc<UdpSocket>, SocketAddr, Vec<u8>)>,
    next: u64,
}

type Fronts = HashMap<SocketAddr, (u32, Arc<UdpSocket>)>;

/// Datagrams between hosts. Each host has a front, at which the others reach it and from which its own datagrams come.
pub struct Datagrams {
    ways: Ways,
    seed: u64,
    /// By the address at which the process itself listens.
    fronts: Arc<RwLock<Fronts>>,
    waiting: Arc<(Mutex<Waiting>, Condvar)>,
}

impl Datagrams {
    pub fn start(ways: Ways, seed: u64) -> io::Result<Datagrams> {
        let waiting: Arc<(Mutex<Waiting>, Condvar)> = Arc::default();
        let (w, shared) = (ways.clone(), waiting.clone());
        spawn("late datagrams", move || {
            let (held, wakes) = &*shared;
            let mut held = lock(held);
            while !w.is_over() {
                let now = Instant::now();
                while held.order.peek().is_some_and(|Reverse((t, _))| *t <= now) {
                    let Some(Reverse((_, id))) = held.order.pop() else { break };
                    if let Some((front, to, bytes)) = held.what.remove(&id) {
                        _ = front.send_to(&bytes, to);
                    }
                }
                let next = held.order.peek().map_or(LOOK * 5, |Reverse((t, _))| *t - now).min(LOOK * 5);
                held = wakes.wait_timeout(held, next).unwrap_or_else(PoisonError::into_inner).0;
            }
        })?;
        Ok(Datagrams { ways, seed, fronts: Arc::default(), waiting })
    }

    /// Process `host` listens at `real`; the others reach it at `front`.
    pub fn front(&self, host: u32, front: SocketAddr, real: SocketAddr) -> io::Result<()> {
        let socket = Arc::new(UdpSocket::bind(front)?);
        socket.set_read_timeout(Some(LOOK * 10))?;
        {
            let mut fronts = self.fronts.write().unwrap_or_else(PoisonError::into_inner);
            // One that moves is reached at its new front alone.
            fronts.retain(|_, (h, _)| *h != host);
            fronts.insert(real, (host, socket.clone()));
        }
        let (ways, fronts, waiting) = (self.ways.clone(), self.fronts.clone(), self.waiting.clone());
        let mut chance = oorandom::Rand64::new(u128::from(self.seed) << 32 | u128::from(host));
        spawn("datagrams", move || {
            let mut room = vec![0; 2048];
            while !ways.is_over() {
                let Ok((n, from)) = socket.recv_from(&mut room) else { continue };
                let known = |real: &SocketAddr| -> Option<(u32, Arc<UdpSocket>)> {
                    fronts.read().unwrap_or_else(PoisonError::into_inner).get(real).cloned()
                };
                // Who is no host of the rig has no way, and a front that was left leads nowhere.
                let (Some((asker, its)), Some((_, now))) = (known(&from), known(&real)) else { continue };
                if !Arc::ptr_eq(&now, &socket) {
                    return;
                }
                let way = ways.way(Party::Host(asker), Party::Host(host));
                let times = if chance.rand_float() < way.doubled { 2 } else { 1 };
                for _ in 0..times {
                    if way.cut || chance.rand_float() < way.lost {
                        ways.0.dropped.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                    ways.0.passed.fetch_add(1, Ordering::Relaxed);
                    if way.late_s <= 0.0 {
                        _ = its.send_to(&room[..n], real);
                        continue;
                    }
                    let at = Instant::now() + Duration::from_secs_f64(way.late_s * chance.rand_float());
                    let mut held = lock(&waiting.0);
                    if held.order.len() >= WAITING {
                        ways.0.dropped.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                    held.next += 1;
                    let id = held.next;
                    held.order.push(Reverse((at, id)));
                    held.what.insert(id, (its.clone(), real, room[..n].to_vec()));
                    waiting.1.notify_all();
                }
            }
        })
    }
}

/// How the caller of a connection is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caller {
    /// By its first frame of the node protocol, or of the node list's.
    HostToNode,
    HostToList,
    Clients,
}

/// A listener in front of a process. What it leads to may move.
#[derive(Clone)]
pub struct Front {
    pub address: SocketAddr,
    to: Arc<RwLock<Option<SocketAddr>>>,
}

impl Front {
    /// `party` is who is behind it; none: the party is a node, known by the front's own address.
    pub fn start(
        ways: &Ways,
        caller: Caller,
        party: Option<Party>,
        recorder: &Recorder,
    ) -> io::Result<Front> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let front = Front { address, to: Arc::default() };
        let (ways, to, recorder) = (ways.clone(), front.to.clone(), recorder.clone());
        let party = party.unwrap_or(Party::Node(address));
        listener.set_nonblocking(true)?;
        spawn("front", move || {
            while !ways.is_over() {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(LOOK / 2);
                    continue;
                };
                let Some(to) = *to.read().unwrap_or_else(PoisonError::into_inner) else { continue };
                let (ways, recorder) = (ways.clone(), recorder.clone());
                let run = move || _ = carry(stream, to, &ways, caller, party, &recorder);
                _ = spawn("connection", run);
            }
        })?;
        Ok(front)
    }

    pub fn leads_to(&self, to: SocketAddr) {
        *self.to.write().unwrap_or_else(PoisonError::into_inner) = Some(to);
    }
}

fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
    _ = stream.shutdown(Shutdown::Both);
}

/// Who calls, by what it says first, and those bytes.
fn first(stream: &mut TcpStream, caller: Caller, ways: &Ways) -> io::Result<(Party, Vec<u8>)> {
    let mut came = Vec::new();
    if caller == Caller::Clients {
        return Ok((Party::Clients, came));
    }
    let mut buffer = [0; FIRST];
    while came.len() < FIRST && !ways.is_over() {
        match stream.read(&mut buffer) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(n) => came.extend_from_slice(&buffer[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(e) => return Err(e),
        }
        let host = match caller {
            Caller::HostToNode => {
                let mut frames = node::frames(FIRST);
                frames.push(&came);
                match node::next(&mut frames) {
                    Ok(Some(node::Frame::HostHello { host, .. })) => Some(host),
                    Ok(None) => None,
                    other => return Err(io::Error::other(format!("{other:?}; expected a host's hello"))),
                }
            }
            _ => {
                let mut frames = list::frames();
                frames.push(&came);
                match list::next(&mut frames) {
                    Ok(Some(list::Frame::Follow { host, .. } | list::Frame::Fetch { host, .. })) => {
                        Some(host)
                    }
                    Ok(None) => None,
                    other => return Err(io::Error::other(format!("{other:?}; expected a host's call"))),
                }
            }
        };
        if let Some(h) = host {
            return Ok((Party::Host(h), came));
        }
    }
    Err(ErrorKind::InvalidData.into())
}

/// One connection, both ways, until it ends or is reset.
fn carry(
    mut from: TcpStream,
    to: SocketAddr,
    ways: &Ways,
    caller: Caller,
    party: Party,
    recorder: &Recorder,
) -> io::Result<()> {
    from.set_nonblocking(false)?;
    let client = from.peer_addr()?;
    from.set_read_timeout(Some(LOOK))?;
    from.set_nodelay(true)?;
    let (who, came) = first(&mut from, caller, ways)?;
    // Over a cut way nothing comes of a call, until its caller gives up or the way is whole.
    while ways.way(who, party).cut || ways.way(party, who).cut {
        let mut one = [0; 1];
        match from.peek(&mut one) {
            Ok(0) => return Ok(()),
            Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return Err(e),
            _ => std::thread::sleep(LOOK),
        }
        if ways.is_over() {
            return Ok(());
        }
        if !ways.way(who, party).cut && !ways.way(party, who).cut {
            // Its first words were lost with the way.
            reset(&from);
            return Ok(());
        }
    }
    if ways.way(who, party).reset {
        reset(&from);
        return Ok(());
    }
    let mut on = match TcpStream::connect_timeout(&to, Duration::from_secs(2)) {
        Ok(s) => s,
        Err(e) => {
            reset(&from);
            return Err(e);
        }
    };
    on.set_nodelay(true)?;
    on.set_read_timeout(Some(LOOK))?;
    on.write_all(&came)?;
    let doomed = Arc::new(AtomicBool::new(false));
    let (back_from, back_to) = (on.try_clone()?, from.try_clone()?);
    let (w, d, r) = (ways.clone(), doomed.clone(), recorder.clone());
    let lost = move |recorder: &Recorder| {
        if caller == Caller::Clients {
            recorder.note(Event::ConnectionLost { client: client.to_string() });
        }
    };
    spawn("connection back", move || pump(back_from, back_to, &w, (party, who), &d, move || lost(&r)))?;
    pump(from, on, ways, (who, party), &doomed, || lost(recorder));
    Ok(())
}

/// Bytes one way.
fn pump(
    mut from: TcpStream,
    mut to: TcpStream,
    ways: &Ways,
    (a, b): (Party, Party),
    doomed: &AtomicBool,
    lost: impl Fn(),
) {
    let mut buffer = vec![0; 16 << 10];
    _ = to.set_write_timeout(Some(LOOK));
    let both = |w: &Ways| (w.way(a, b), w.way(b, a));
    let end = |from: &TcpStream, to: &TcpStream| {
        lost();
        reset(from);
        reset(to);
    };
    loop {
        let (way, back) = both(ways);
        if ways.is_over() {
            return;
        }
        if way.reset || (doomed.load(Ordering::Acquire) && !way.cut && !back.cut) {
            return end(&from, &to);
        }
        let n = match from.read(&mut buffer) {
            Ok(0) if way.cut || back.cut => {
                // The end itself does not pass.
                doomed.store(true, Ordering::Release);
                std::thread::sleep(LOOK);
                continue;
            }
            Ok(0) => {
                _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(n) => n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(_) if way.cut || back.cut => {
                doomed.store(true, Ordering::Release);
                std::thread::sleep(LOOK);
                continue;
            }
            Err(_) => return reset(&to),
        };
        let mut sent = 0;
        while sent < n {
            let (way, _) = both(ways);
            if ways.is_over() {
                return;
            }
            if way.cut {
                doomed.store(true, Ordering::Release);
                break;
            }
            match to.write(&buffer[sent..n]) {
                Ok(0) => return reset(&from),
                Ok(k) => sent += k,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return reset(&from),
            }
        }
    }
}
