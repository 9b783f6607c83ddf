//! Stand-ins for the operators' platform, on loopback: a node and a node list over HTTP/1.1, and a client that can be rude.
//! Each has faults on command. They share nothing with the host but the codec.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tackmast_http::{Limits, Request, RequestReader, Response, ResponseReader};

const SMALL_STACK: usize = 128 << 10;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;
const LOOK: Duration = Duration::from_millis(2);
/// Requests that are remembered; a longer test has no use for the first.
const KEPT: usize = 100_000;

fn locked<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

fn thread(work: impl FnOnce() + Send + 'static) {
    _ = std::thread::Builder::new().stack_size(SMALL_STACK).spawn(work);
}

/// A port on loopback that no other process or test can be given while this value lives, whether or not anything listens on it. A
/// freed port may be bound by another emulator at once, which would then answer in place of a service that is meant to be down.
pub struct ReservedPort {
    address: SocketAddr,
    /// Bound and never listening: a connect while nothing else listens is refused at once.
    _socket: socket2::Socket,
}

impl ReservedPort {
    /// Reserves a free port.
    pub fn new() -> std::io::Result<Self> {
        let socket = shared_socket(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = socket.local_addr()?.as_socket().ok_or(ErrorKind::AddrNotAvailable)?;
        Ok(ReservedPort { address, _socket: socket })
    }

    /// The loopback address with this port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the port, with so many connections waiting to be accepted.
    pub fn listen(&self, backlog: i32) -> std::io::Result<TcpListener> {
        let socket = shared_socket(self.address)?;
        socket.listen(backlog)?;
        Ok(socket.into())
    }
}

/// A socket bound to an address that it shares with the others of this function. A port that the system chooses is never shared.
fn shared_socket(address: SocketAddr) -> std::io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(address), socket2::Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

/// The thread that accepts the connections of an emulator.
struct Acceptor {
    port: ReservedPort,
    listener: TcpListener,
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Acceptor {
    /// Calls `on_connection` for each connection until it is stopped; `over` is set then.
    fn start(
        over: Arc<AtomicBool>,
        on_connection: impl Fn(TcpStream) + Send + 'static,
    ) -> std::io::Result<Self> {
        let port = ReservedPort::new()?;
        let listener = port.listen(BACKLOG)?;
        let (accepting, is_over) = (listener.try_clone()?, over.clone());
        let work = move || {
            for stream in accepting.incoming() {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                _ = stream.set_nodelay(true);
                _ = stream.set_read_timeout(Some(LOOK));
                on_connection(stream);
            }
        };
        let thread = std::thread::Builder::new().stack_size(SMALL_STACK).spawn(work)?;
        Ok(Acceptor { port, listener, over, thread: Some(thread) })
    }

    /// Accepts no connection any more. The port stays reserved, so that a connect is refused.
    fn stop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        // Ends the listening for both handles, and wakes the thread from `accept` without a connection, which might find no
        // descriptor. The thread is joined, or a client could still be accepted after this call.
        _ = socket2::SockRef::from(&self.listener).shutdown(Shutdown::Both);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}

impl Drop for Acceptor {
    fn drop(&mut self) {
        self.stop();
    }
}

/// What a node does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeFault {
    /// Answers with the request's own body, or its target where it has none.
    Well,
    /// Good, with bytes behind that nobody asked for.
    NoiseBehind,
    SecondCopy,
    /// Good, with interim answers ahead.
    Interim,
    /// Good, with a load report and figures that can't be read.
    OddReport,
    /// Good, and its connection ends with it.
    Closes,
    /// Spoilt: the request has run.
    Noise,
    EndlessHead,
    WrongLength,
    TwoLengths,
    Huge,
    Error,
    /// Could not be used.
    Unusable,
    /// Turned away unrun.
    Full,
    /// The connection breaks: before anything is read, once the request is in, within the answer.
    ResetAtOnce,
    ResetAfter,
    ResetWithin,
    Silent,
}

#[derive(Clone, Debug)]
pub struct Seen {
    pub request: Request,
    pub at: Instant,
    /// Which connection of the node's generation it came on.
    pub connection: usize,
}

struct NodeInner {
    fault: Mutex<(NodeFault, usize)>,
    delay: Mutex<Duration>,
    idle: Mutex<Duration>,
    seen: Mutex<Vec<Seen>>,
    connections: AtomicUsize,
    open: AtomicUsize,
    over: Arc<AtomicBool>,
}

/// A node, until it is dropped.
pub struct HttpNode {
    acceptor: Acceptor,
    inner: Arc<NodeInner>,
}

impl HttpNode {
    pub fn start() -> std::io::Result<Self> {
        let inner = Arc::new(NodeInner {
            fault: Mutex::new((NodeFault::Well, usize::MAX)),
            delay: Mutex::new(Duration::ZERO),
            idle: Mutex::new(Duration::from_secs(30)),
            seen: Mutex::default(),
            connections: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            over: Arc::default(),
        });
        let of = inner.clone();
        let acceptor = Acceptor::start(inner.over.clone(), move |stream| {
            let of = of.clone();
            thread(move || {
                of.open.fetch_add(1, Ordering::SeqCst);
                _ = serve(&of, stream);
                of.open.fetch_sub(1, Ordering::SeqCst);
            });
        })?;
        Ok(HttpNode { acceptor, inner })
    }

    pub fn address(&self) -> SocketAddr {
        self.acceptor.port.address()
    }

    /// Ends the node's listener and its connections. Its port stays reserved until the node is dropped, so a connect is refused.
    pub fn stop_listening(&mut self) {
        self.acceptor.stop();
    }

    /// From now on, for so many requests; then all is well again.
    pub fn set(&self, fault: NodeFault, times: usize) {
        *locked(&self.inner.fault) = (fault, times);
    }

    pub fn delay(&self, by: Duration) {
        *locked(&self.inner.delay) = by;
    }

    /// Idle connections end after this.
    pub fn idle(&self, after: Duration) {
        *locked(&self.inner.idle) = after;
    }

    pub fn seen(&self) -> Vec<Seen> {
        locked(&self.inner.seen).clone()
    }

    /// Connections in its generation, and those open now.
    pub fn connections(&self) -> (usize, usize) {
        (self.inner.connections.load(Ordering::SeqCst), self.inner.open.load(Ordering::SeqCst))
    }
}

trait Over: Send + Sync + 'static {
    fn is_over(&self) -> bool;
}

impl Over for NodeInner {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }
}

/// The next request on a connection; none: it has ended, or stood idle for too long.
fn next(
    stream: &mut TcpStream,
    reader: &mut RequestReader,
    over: &dyn Over,
    idle: Duration,
) -> Option<Request> {
    let since = Instant::now();
    let mut piece = [0; 16 * 1024];
    loop {
        match reader.next_request() {
            Ok(Some(r)) => return Some(r),
            Ok(None) => {}
            Err(_) => return None,
        }
        match stream.read(&mut piece) {
            Ok(0) => return None,
            Ok(n) => reader.push(&piece[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                if over.is_over() || (since.elapsed() >= idle && !reader.has_partial_request()) {
                    return None;
                }
            }
            Err(_) => return None,
        }
    }
}

/// Ends a connection with a reset.
fn reset(stream: &TcpStream) {
    _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn serve(of: &NodeInner, mut stream: TcpStream) -> std::io::Result<()> {
    let connection = of.connections.fetch_add(1, Ordering::SeqCst);
    let mut reader = RequestReader::new(Limits::default());
    if locked(&of.fault).0 == NodeFault::ResetAtOnce {
        reset(&stream);
        return Ok(());
    }
    let idle = || *locked(&of.idle);
    while let Some(request) = next(&mut stream, &mut reader, of, idle()) {
        let fault = {
            let mut fault = locked(&of.fault);
            let now = fault.0;
            fault.1 = fault.1.saturating_sub(1);
            if fault.1 == 0 {
                *fault = (NodeFault::Well, usize::MAX);
            }
            now
        };
        let body =
            if request.body.is_empty() { request.target.clone().into_bytes() } else { request.body.to_vec() };
        let mut seen = locked(&of.seen);
        if seen.len() < KEPT {
            seen.push(Seen { request, at: Instant::now(), connection });
        }
        drop(seen);
        std::thread::sleep(*locked(&of.delay));
        let good = |more: &str| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{more}\r\n", body.len());
            [head.as_bytes(), &body].concat()
        };
        let plain = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes();
        match fault {
            NodeFault::Well => stream.write_all(&good("X-Load-Report: queue=0\r\nX-Delta: 0\r\n"))?,
            NodeFault::NoiseBehind => stream.write_all(&[good(""), b"\x00#noise".to_vec()].concat())?,
            NodeFault::SecondCopy => stream.write_all(&[good(""), good("")].concat())?,
            NodeFault::Interim => {
                stream
                    .write_all(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")?;
                stream.write_all(&good(""))?;
            }
            NodeFault::OddReport => {
                stream.write_all(&good("X-Load-Report: ,,=#\r\nX-Meter: x\r\nX-Delta: y\r\n"))?
            }
            NodeFault::Closes => {
                stream.write_all(&good("Connection: close\r\n"))?;
                return Ok(());
            }
            NodeFault::Noise => stream.write_all(b"\x01\x02 what is this\r\n\r\n")?,
            NodeFault::EndlessHead => {
                stream.write_all(b"HTTP/1.1 200 OK\r\n")?;
                while !of.is_over() && stream.write_all(b"X-More: and more and more and more\r\n").is_ok() {}
                return Ok(());
            }
            NodeFault::WrongLength => {
                stream
                    .write_all(&[b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n", &body[..]].concat())?;
            }
            NodeFault::TwoLengths => {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")?;
            }
            NodeFault::Huge => {
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n")?;
                let piece = [7; 16 * 1024];
                while !of.is_over() && stream.write_all(&piece).is_ok() {}
                return Ok(());
            }
            NodeFault::Error => stream.write_all(&plain("500 Internal Server Error"))?,
            NodeFault::Unusable => stream.write_all(&plain("400 Bad Request"))?,
            NodeFault::Full => stream.write_all(&plain("503 Service Unavailable\r\nX-Rejected: 1"))?,
            NodeFault::ResetAtOnce | NodeFault::ResetAfter => {
                reset(&stream);
                return Ok(());
            }
            NodeFault::ResetWithin => {
                stream.write_all(&good("")[..20])?;
                reset(&stream);
                return Ok(());
            }
            NodeFault::Silent => {}
        }
    }
    Ok(())
}

/// A line of the list.
#[derive(Clone, Debug)]
pub struct ListLine {
    pub id: String,
    pub address: SocketAddr,
    pub shard: u32,
    /// Ready, Terminating or Gone.
    pub phase: &'static str,
    pub up_since_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpListFault {
    Well,
    /// Answers at once, whether there is news or not.
    Hasty,
    /// Calls end with 503.
    Down,
    Garbage,
    Silent,
    Resets,
}

#[derive(Default)]
struct Known {
    lines: BTreeMap<String, (u64, ListLine)>,
    version: u64,
    calls: Vec<(Instant, String)>,
}

struct ListInner {
    known: Mutex<Known>,
    fault: Mutex<HttpListFault>,
    over: Arc<AtomicBool>,
}

impl Over for ListInner {
    fn is_over(&self) -> bool {
        self.over.load(Ordering::SeqCst)
    }
}

/// The node list, until it is dropped.
pub struct HttpList {
    acceptor: Acceptor,
    inner: Arc<ListInner>,
}

impl HttpList {
    pub fn start() -> std::io::Result<Self> {
        let (known, fault) = (Mutex::default(), Mutex::new(HttpListFault::Well));
        let inner = Arc::new(ListInner { known, fault, over: Arc::default() });
        let of = inner.clone();
        let acceptor = Acceptor::start(inner.over.clone(), move |stream| {
            let of = of.clone();
            thread(move || _ = tell(&of, stream));
        })?;
        Ok(HttpList { acceptor, inner })
    }

    pub fn address(&self) -> SocketAddr {
        self.acceptor.port.address()
    }

    /// What stands in the list from the start, at version 0.
    pub fn holds(&self, line: ListLine) {
        locked(&self.inner.known).lines.insert(line.id.clone(), (0, line));
    }

    pub fn put(&self, line: ListLine) {
        let mut known = locked(&self.inner.known);
        known.version += 1;
        let version = known.version;
        known.lines.insert(line.id.clone(), (version, line));
    }

    pub fn set(&self, fault: HttpListFault) {
        *locked(&self.inner.fault) = fault;
    }

    pub fn version(&self) -> u64 {
        locked(&self.inner.known).version
    }

    /// When it was asked, and what for.
    pub fn calls(&self) -> Vec<(Instant, String)> {
        locked(&self.inner.known).calls.clone()
    }

    /// As a host's configuration holds it.
    pub fn text(&self) -> String {
        listed(&locked(&self.inner.known), None)
    }
}

fn listed(known: &Known, after: Option<u64>) -> String {
    let new = |v: u64, l: &ListLine| after.map_or(l.phase != "Gone", |after| v > after);
    let lines = known.lines.values().filter(|(v, l)| new(*v, l));
    let lines = lines.map(|(_, l)| {
        format!(
            r#"{{"id":"{}","host_port":"{}","locality":"a","flavor":"m","cell":{},"phase":"{}","size":1.0,"up_since_ms":{}}}"#,
            l.id, l.address, l.shard, l.phase, l.up_since_ms
        )
    });
    let lines: Vec<String> = lines.collect();
    format!(
        r#"{{"revision":{},"complete":{},"members":[{}]}}"#,
        known.version,
        after.is_none(),
        lines.join(",")
    )
}

fn tell(of: &ListInner, mut stream: TcpStream) -> std::io::Result<()> {
    let mut reader = RequestReader::new(Limits::default());
    while let Some(request) = next(&mut stream, &mut reader, of, Duration::from_secs(60)) {
        locked(&of.known).calls.push((Instant::now(), request.target.clone()));
        let figure = |name: &str| {
            let query = request.target.split_once('?').map_or("", |(_, q)| q);
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let (after, wait) = (figure("after"), figure("wait_ms").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait);
        let fault = || *locked(&of.fault);
        while after.is_some_and(|v| locked(&of.known).version <= v) && Instant::now() < until {
            if of.is_over() || fault() != HttpListFault::Well {
                break;
            }
            std::thread::sleep(LOOK);
        }
        let text = match fault() {
            HttpListFault::Well | HttpListFault::Hasty => listed(&locked(&of.known), after),
            HttpListFault::Garbage => "{\"revision\":".to_owned(),
            HttpListFault::Down => {
                stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            HttpListFault::Silent => continue,
            HttpListFault::Resets => {
                reset(&stream);
                return Ok(());
            }
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
        stream.write_all(&[head.as_bytes(), text.as_bytes()].concat())?;
    }
    Ok(())
}

/// How a client's connection went on.
#[derive(Debug)]
pub enum Heard {
    Answer(Box<Response>),
    Closed,
    /// Nothing, for as long as was waited.
    Nothing,
}

/// A client on one connection. It says whatever it is told to.
pub struct HttpClient {
    stream: TcpStream,
    reader: ResponseReader,
}

impl HttpClient {
    pub fn connect(to: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK))?;
        Ok(HttpClient { stream, reader: ResponseReader::new(Limits::default()) })
    }

    /// Says these bytes; what the other side does not take is not said.
    pub fn say(&mut self, bytes: &[u8]) {
        _ = self.stream.write_all(bytes);
    }

    pub fn end_sending(&self) {
        _ = self.stream.shutdown(Shutdown::Write);
    }

    /// The next answer, or the end of the connection.
    pub fn hear(&mut self, most: Duration) -> Heard {
        let until = Instant::now() + most;
        let mut piece = [0; 16 * 1024];
        loop {
            match self.reader.next_response() {
                Ok(Some(a)) => return Heard::Answer(Box::new(a)),
                Ok(None) => {}
                Err(_) => return Heard::Closed,
            }
            match self.stream.read(&mut piece) {
                Ok(0) => return Heard::Closed,
                Ok(n) => self.reader.push(&piece[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    if Instant::now() >= until {
                        return Heard::Nothing;
                    }
                }
                Err(_) => return Heard::Closed,
            }
        }
    }
}
