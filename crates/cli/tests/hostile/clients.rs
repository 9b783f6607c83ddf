//! Clients of a host: usual ones, whose answers are measured, and hostile ones.

use super::cluster::{read_response, NODES, NON_IDEMPOTENT_ID_PREFIX};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time that usual clients allow for an answer, in milliseconds.
const USUAL_BUDGET_MS: u64 = 1000;
/// The time after which a request of a usual client counts as unanswered: half a second after its time, and 50 ms on sockets.
const UNANSWERED_AFTER: Duration = Duration::from_millis(USUAL_BUDGET_MS + 550);

/// Numbers that are unique within the test: request ids, keys and volumes.
static LAST_NUMBER: AtomicU64 = AtomicU64::new(0);

pub fn next_number() -> u64 {
    LAST_NUMBER.fetch_add(1, Ordering::Relaxed) + 1
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub plan: &'static str,
    pub volume: u64,
    pub budget_ms: u64,
    pub shard: u64,
    pub body_bytes: usize,
}

impl Request {
    /// A small read with new names, of a volume without a limit.
    pub fn new() -> Request {
        let number = next_number();
        Request {
            id: format!("{number:016x}"),
            class: "read",
            plan: "gold",
            volume: 0xaa,
            budget_ms: USUAL_BUDGET_MS,
            shard: number % u64::from(NODES),
            body_bytes: 0,
        }
    }

    /// A small request that must not run twice, of a volume without a limit.
    pub fn new_non_idempotent() -> Request {
        Request {
            id: format!("{NON_IDEMPOTENT_ID_PREFIX}{:x}", next_number()),
            class: "once",
            budget_ms: 3000,
            ..Request::new()
        }
    }

    /// Returns the request as it is sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        let method = if self.body_bytes > 0 { "PUT" } else { "GET" };
        let mut bytes = format!(
            "{method} /api/{:016x}/{:016x} HTTP/1.1\r\nHost: h\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Storage-Class: {}\r\n\
             X-Budget-Ms: {}\r\nX-Extent: units=1,shard={},hosts=1\r\nContent-Length: {}\r\n\r\n",
            self.volume,
            next_number(),
            self.id,
            self.class,
            self.plan,
            self.budget_ms,
            self.shard,
            self.body_bytes
        )
        .into_bytes();
        bytes.resize(bytes.len() + self.body_bytes, b'b');
        bytes
    }
}

/// What the usual clients saw.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    pub answered_200: u64,
    pub answered_otherwise: u64,
    /// Connections that ended without an answer: closed between requests, or shut unread.
    pub closed: u64,
    /// Requests without an answer when it was due.
    pub unanswered: u64,
    pub longest_wait: Duration,
}

/// Sends requests, one every 20 ms, on one connection that is opened again when it ends.
pub fn run_usual_client(host: SocketAddr, ends: &AtomicBool, measured: &Mutex<Measured>) {
    let mut connection: Option<BufReader<TcpStream>> = None;
    while !ends.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(20));
        let since = Instant::now();
        let Some(mut open) = connection.take().or_else(|| connect(host)) else {
            measured.lock().unwrap().closed += 1;
            continue;
        };
        let sent = open.get_mut().write_all(&Request::new().to_bytes());
        let status = sent.ok().and_then(|()| read_response(&mut open));
        let took = since.elapsed();
        let mut measured = measured.lock().unwrap();
        match status {
            Some(200) => measured.answered_200 += 1,
            Some(_) => measured.answered_otherwise += 1,
            None if took >= UNANSWERED_AFTER => measured.unanswered += 1,
            None => measured.closed += 1,
        }
        measured.longest_wait = measured.longest_wait.max(took);
        connection = status.map(|_| open);
    }
}

fn connect(host: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect(host).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(UNANSWERED_AFTER)).ok()?;
    stream.set_write_timeout(Some(UNANSWERED_AFTER)).ok()?;
    Some(BufReader::new(stream))
}

/// What a hostile client does on one connection after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attack {
    /// Writes a request byte by byte.
    SlowWriter,
    /// Stops one byte before the end of the largest body.
    HalfBody,
    /// The same with a body in chunks of one byte.
    HalfChunked,
    /// Stops within a head of many short fields.
    ShortFields,
    /// Stops within a body behind a head of many short fields.
    ShortFieldsHalfBody,
    /// Does not read the largest answers.
    UnreadAnswers,
    /// Sends large requests that are sent on at once.
    LargeRequests,
    /// Sends large requests whose volume is over its limit, so that they are held.
    HeldLargeRequests,
    /// Repeats health checks on one connection as fast as they are answered, many at a time.
    HealthFlood,
    /// Sends requests with new names on one connection, many at a time, each with an hour of time.
    LongDeadlines,
    /// Sends requests with new volumes that have no time left.
    NoTimeLeft,
    /// Sends requests that alternate the plan of one volume.
    AlternatingPlans,
    /// Sends requests with new volumes under a limit.
    NewLimitedVolumes,
    /// Sends requests of shards that no list names.
    UnknownShards,
    /// Sends unsound requests, each on a new connection.
    Unsound,
    /// Sends a request and then bytes without end.
    EndlessBehindRequest,
    /// Sends a held request with many bytes behind it and closes.
    CloseBehindManyBytes,
    /// Sends held requests with an hour of time, and closes.
    CloseWithLongDeadline,
    /// Sends a request, closes once it may be at its node, and sends it again.
    RepeatedIdAfterClose,
}

impl Attack {
    /// All attacks.
    pub const ALL: [Attack; 19] = [
        Attack::SlowWriter,
        Attack::HalfBody,
        Attack::HalfChunked,
        Attack::ShortFields,
        Attack::ShortFieldsHalfBody,
        Attack::UnreadAnswers,
        Attack::LargeRequests,
        Attack::HeldLargeRequests,
        Attack::HealthFlood,
        Attack::LongDeadlines,
        Attack::NoTimeLeft,
        Attack::AlternatingPlans,
        Attack::NewLimitedVolumes,
        Attack::UnknownShards,
        Attack::Unsound,
        Attack::EndlessBehindRequest,
        Attack::CloseBehindManyBytes,
        Attack::CloseWithLongDeadline,
        Attack::RepeatedIdAfterClose,
    ];
}

/// A client that closed its connection while its request was open.
#[derive(Clone, Debug)]
pub struct ClosedClient {
    pub attack: Attack,
    pub request_id: String,
    pub closed_at: Instant,
}

/// The clients that have closed their connections.
pub type Closed = Arc<Mutex<Vec<ClosedClient>>>;

/// Repeats an attack on new connections until `ends`.
pub fn run_attack(attack: Attack, host: SocketAddr, ends: &AtomicBool, closed: &Closed) {
    while !ends.load(Ordering::Relaxed) {
        if let Some(connection) = connect(host) {
            _ = attack_once(attack, connection, ends, closed);
        } else {
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Number of requests in a batch of a client that pipelines.
const PIPELINE: usize = 32;
/// Number of bytes behind a request; more than the sockets of both sides hold.
const MANY_BYTES: usize = 6 * 1024 * 1024;

fn attack_once(
    attack: Attack,
    mut connection: BufReader<TcpStream>,
    ends: &AtomicBool,
    closed: &Closed,
) -> std::io::Result<()> {
    let number = next_number();
    let short_fields = |count: usize| {
        let fields: String =
            (0..count).map(|i| format!("{}:\r\n", (b'a' + (i % 26) as u8) as char)).collect();
        fields
    };
    match attack {
        Attack::SlowWriter => {
            let bytes = Request { body_bytes: 60_000, ..Request::new() }.to_bytes();
            for byte in bytes {
                if ends.load(Ordering::Relaxed) {
                    break;
                }
                connection.get_mut().write_all(&[byte])?;
                std::thread::sleep(Duration::from_millis(2));
            }
        }
        Attack::HalfBody => {
            let bytes = Request { body_bytes: 65_536, ..Request::new() }.to_bytes();
            connection.get_mut().write_all(&bytes[..bytes.len() - 1])?;
            wait_for_end(&mut connection);
        }
        Attack::HalfChunked => {
            let head = String::from_utf8(Request { body_bytes: 1, ..Request::new() }.to_bytes()).unwrap();
            let head = head.trim_end_matches('b').replace("Content-Length: 1", "Transfer-Encoding: chunked");
            connection.get_mut().write_all(head.as_bytes())?;
            connection.get_mut().write_all("1\r\nx\r\n".repeat(65_535).as_bytes())?;
            wait_for_end(&mut connection);
        }
        Attack::ShortFields => {
            let head = format!("GET / HTTP/1.1\r\nHost: h\r\n{}", short_fields(2_000));
            connection.get_mut().write_all(&head.as_bytes()[..8_000])?;
            wait_for_end(&mut connection);
        }
        Attack::ShortFieldsHalfBody => {
            let head =
                format!("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 65536\r\n{}\r\n", short_fields(60));
            connection.get_mut().write_all(head.as_bytes())?;
            connection.get_mut().write_all(&[b'b'; 65_535])?;
            wait_for_end(&mut connection);
        }
        Attack::UnreadAnswers => {
            socket2::SockRef::from(connection.get_ref()).set_recv_buffer_size(1024)?;
            for _ in 0..200 {
                connection.get_mut().write_all(&Request::new().to_bytes())?;
            }
            let since = Instant::now();
            while since.elapsed() < Duration::from_secs(6) && !ends.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Attack::LargeRequests => {
            let request = Request { body_bytes: 65_000, ..Request::new_non_idempotent() };
            connection.get_mut().write_all(&request.to_bytes())?;
            wait_for_end(&mut connection);
        }
        Attack::HeldLargeRequests => {
            let request = Request { plan: "limited", volume: 0xbb, body_bytes: 65_536, ..Request::new() };
            connection.get_mut().write_all(&request.to_bytes())?;
            wait_for_end(&mut connection);
        }
        Attack::HealthFlood => {
            let check = b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n".repeat(PIPELINE);
            pipeline(&mut connection, ends, || check.clone())?;
        }
        Attack::LongDeadlines => pipeline(&mut connection, ends, || {
            let request = || Request { budget_ms: 3_600_000, volume: next_number(), ..Request::new() };
            (0..PIPELINE).flat_map(|_| request().to_bytes()).collect()
        })?,
        Attack::NoTimeLeft => pipeline(&mut connection, ends, || {
            let request = || Request { budget_ms: 1, volume: next_number(), ..Request::new() };
            (0..PIPELINE).flat_map(|_| request().to_bytes()).collect()
        })?,
        Attack::AlternatingPlans => pipeline(&mut connection, ends, || {
            let plan = |i: usize| if i.is_multiple_of(2) { "gold" } else { "limited" };
            let request = |i| Request { plan: plan(i), volume: 0xcc, budget_ms: 2, ..Request::new() };
            (0..PIPELINE).flat_map(|i| request(i).to_bytes()).collect()
        })?,
        Attack::NewLimitedVolumes => pipeline(&mut connection, ends, || {
            let request = || Request { plan: "limited", volume: next_number(), ..Request::new() };
            (0..PIPELINE).flat_map(|_| request().to_bytes()).collect()
        })?,
        Attack::UnknownShards => pipeline(&mut connection, ends, || {
            let request =
                || Request { shard: 1000 + next_number() % 100_000, budget_ms: 3, ..Request::new() };
            (0..PIPELINE).flat_map(|_| request().to_bytes()).collect()
        })?,
        Attack::Unsound => {
            let kinds: [&[u8]; 4] = [
                b"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n",
                b"\x01\x02\x03 GARBAGE\r\n\r\n",
                b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n",
                b"PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n",
            ];
            connection.get_mut().write_all(kinds[number as usize % 4])?;
            wait_for_end(&mut connection);
        }
        Attack::EndlessBehindRequest => {
            connection.get_mut().write_all(&Request::new().to_bytes())?;
            let bytes = [b'x'; 64 * 1024];
            for _ in 0..MANY_BYTES / bytes.len() {
                connection.get_mut().write_all(&bytes)?;
            }
        }
        Attack::CloseBehindManyBytes => {
            let request = Request { plan: "limited", volume: 0xdd, ..Request::new_non_idempotent() };
            connection.get_mut().write_all(&request.to_bytes())?;
            std::thread::sleep(Duration::from_millis(10));
            let stream = connection.get_ref();
            stream.set_nonblocking(true)?;
            let bytes = vec![b'x'; MANY_BYTES];
            _ = connection.get_mut().write(&bytes);
            drop(connection);
            closed.lock().unwrap().push(ClosedClient {
                attack,
                request_id: request.id,
                closed_at: Instant::now(),
            });
        }
        Attack::RepeatedIdAfterClose => {
            let host = connection.get_ref().peer_addr()?;
            let bytes = Request::new_non_idempotent().to_bytes();
            connection.get_mut().write_all(&bytes)?;
            std::thread::sleep(Duration::from_micros(number % 3000));
            drop(connection);
            for _ in 0..3 {
                let Some(mut again) = connect(host) else { continue };
                again.get_mut().write_all(&bytes)?;
                _ = read_response(&mut again);
            }
        }
        Attack::CloseWithLongDeadline => {
            let request = Request { plan: "limited", volume: 0xee, budget_ms: 3_600_000, ..Request::new() };
            connection.get_mut().write_all(&request.to_bytes())?;
            std::thread::sleep(Duration::from_micros(300));
            connection.get_ref().shutdown(Shutdown::Both)?;
            closed.lock().unwrap().push(ClosedClient {
                attack,
                request_id: request.id,
                closed_at: Instant::now(),
            });
        }
    }
    Ok(())
}

/// Sends batches of requests, each after the answers to the one before.
fn pipeline(
    connection: &mut BufReader<TcpStream>,
    ends: &AtomicBool,
    batch: impl Fn() -> Vec<u8>,
) -> std::io::Result<()> {
    while !ends.load(Ordering::Relaxed) {
        connection.get_mut().write_all(&batch())?;
        for _ in 0..PIPELINE {
            if read_response(connection).is_none() {
                return Ok(());
            }
        }
    }
    Ok(())
}

fn wait_for_end(connection: &mut BufReader<TcpStream>) {
    let since = Instant::now();
    let mut bytes = [0; 4096];
    while since.elapsed() < Duration::from_secs(4) && connection.read(&mut bytes).is_ok_and(|len| len > 0) {}
}
