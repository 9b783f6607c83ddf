//! The emulator of a node.

use super::acceptor::{Acceptor, Connection};
use crate::threads::lock;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tackmast_http::Request;

/// Requests that are remembered; a longer test has no use for more.
const MAX_RECEIVED_REQUESTS: usize = 100_000;
/// When a node closes an idle connection, unless a test sets another time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The size of a body that is larger than any host accepts.
const HUGE_BODY_BYTES: u64 = 3 * 1024 * 1024 * 1024;
/// Bytes of an answer that are sent before its connection is reset.
const PARTIAL_ANSWER_BYTES: usize = 20;

/// What a node does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeFault {
    /// Answers with the request's own body, or its target if it has none.
    Healthy,
    /// A good answer, followed by bytes that nobody asked for.
    TrailingGarbage,
    /// A good answer, sent twice.
    DuplicateAnswer,
    /// A good answer after interim ones.
    InterimAnswers,
    /// A good answer with a load report and figures that can't be parsed.
    MalformedReport,
    /// A good answer that ends its connection.
    ClosesConnection,
    /// Bytes that are no answer. The request has run, here and in the following ones.
    Garbage,
    /// A head without end.
    EndlessHead,
    /// A length beyond the bytes that follow.
    ShortBody,
    /// Two lengths that differ.
    ConflictingLengths,
    /// A body of 3 GiB.
    HugeBody,
    /// Status 500.
    ServerError,
    /// Status 400.
    BadRequest,
    /// Status 503 with the mark that the request has not run.
    Overloaded,
    /// The connection is reset before anything is read.
    ResetOnAccept,
    /// The connection is reset once the request is received.
    ResetAfterRequest,
    /// The connection is reset within the answer.
    ResetWithinAnswer,
    /// No answer.
    Silent,
}

/// A request that a node has received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// As it was parsed.
    pub request: Request,
    /// When it was complete.
    pub at: Instant,
    /// Which connection it arrived on, counted from the node's start.
    pub connection: usize,
}

/// The fault that is in force.
struct ActiveFault {
    fault: NodeFault,
    /// Requests that it still applies to.
    remaining: usize,
}

impl ActiveFault {
    fn healthy() -> Self {
        ActiveFault { fault: NodeFault::Healthy, remaining: usize::MAX }
    }

    /// The fault for one request.
    fn take(&mut self) -> NodeFault {
        let fault = self.fault;
        self.remaining = self.remaining.saturating_sub(1);
        if self.remaining == 0 {
            *self = ActiveFault::healthy();
        }
        fault
    }
}

struct NodeState {
    fault: Mutex<ActiveFault>,
    delay: Mutex<Duration>,
    idle_timeout: Mutex<Duration>,
    received: Mutex<Vec<ReceivedRequest>>,
    accepted_connections: AtomicUsize,
    open_connections: AtomicUsize,
}

/// A node, until it is dropped.
pub struct HttpNode {
    acceptor: Acceptor,
    state: Arc<NodeState>,
}

impl HttpNode {
    /// Starts a healthy node on a port of its own.
    pub fn start() -> std::io::Result<Self> {
        let state = Arc::new(NodeState {
            fault: Mutex::new(ActiveFault::healthy()),
            delay: Mutex::new(Duration::ZERO),
            idle_timeout: Mutex::new(DEFAULT_IDLE_TIMEOUT),
            received: Mutex::default(),
            accepted_connections: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
        });
        let serving = state.clone();
        let acceptor = Acceptor::start(move |connection| {
            serving.open_connections.fetch_add(1, Ordering::SeqCst);
            _ = serving.serve(connection);
            serving.open_connections.fetch_sub(1, Ordering::SeqCst);
        })?;
        Ok(HttpNode { acceptor, state })
    }

    /// Where the node listens.
    pub fn address(&self) -> SocketAddr {
        self.acceptor.address()
    }

    /// Ends the node's listener and its connections. Its port stays reserved until the node is dropped, so a connect is refused.
    pub fn stop_listening(&mut self) {
        self.acceptor.stop();
    }

    /// Applies a fault to this many requests from now on; then the node is healthy again.
    pub fn set_fault(&self, fault: NodeFault, requests: usize) {
        *lock(&self.state.fault) = ActiveFault { fault, remaining: requests };
    }

    /// Delays each answer from now on.
    pub fn set_delay(&self, delay: Duration) {
        *lock(&self.state.delay) = delay;
    }

    /// Closes connections that are idle for this long, from now on.
    pub fn set_idle_timeout(&self, timeout: Duration) {
        *lock(&self.state.idle_timeout) = timeout;
    }

    /// The requests that the node has received, in order.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.state.received).clone()
    }

    /// Connections that the node has accepted since its start.
    pub fn accepted_connections(&self) -> usize {
        self.state.accepted_connections.load(Ordering::SeqCst)
    }

    /// Connections to the node that are open.
    pub fn open_connections(&self) -> usize {
        self.state.open_connections.load(Ordering::SeqCst)
    }
}

/// What follows an answer on its connection.
enum AfterAnswer {
    KeepOpen,
    Close,
}

impl NodeState {
    fn serve(&self, mut connection: Connection) -> std::io::Result<()> {
        let number = self.accepted_connections.fetch_add(1, Ordering::SeqCst);
        if lock(&self.fault).fault == NodeFault::ResetOnAccept {
            connection.reset_on_close();
            return Ok(());
        }
        loop {
            let idle_timeout = *lock(&self.idle_timeout);
            let Some(request) = connection.next_request(idle_timeout) else { return Ok(()) };
            let fault = lock(&self.fault).take();
            let body = answer_body(&request);
            self.remember(request, number);
            std::thread::sleep(*lock(&self.delay));
            if let AfterAnswer::Close = answer(&mut connection, fault, &body)? {
                return Ok(());
            }
        }
    }

    fn remember(&self, request: Request, connection: usize) {
        let mut received = lock(&self.received);
        if received.len() < MAX_RECEIVED_REQUESTS {
            received.push(ReceivedRequest { request, at: Instant::now(), connection });
        }
    }
}

fn answer_body(request: &Request) -> Vec<u8> {
    if request.body.is_empty() {
        request.target.clone().into_bytes()
    } else {
        request.body.to_vec()
    }
}

/// A complete answer with status 200 and further header lines.
fn good_answer(body: &[u8], header_lines: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{header_lines}\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn empty_answer(status: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").into_bytes()
}

/// Writes the answer to one request as the fault wants it.
fn answer(connection: &mut Connection, fault: NodeFault, body: &[u8]) -> std::io::Result<AfterAnswer> {
    match fault {
        NodeFault::EndlessHead => {
            return write_endlessly(
                connection,
                b"HTTP/1.1 200 OK\r\n",
                b"X-More: and more and more and more\r\n",
            );
        }
        NodeFault::HugeBody => {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {HUGE_BODY_BYTES}\r\n\r\n");
            return write_endlessly(connection, head.as_bytes(), &[7; super::READ_CHUNK_BYTES]);
        }
        NodeFault::ResetOnAccept | NodeFault::ResetAfterRequest => {
            connection.reset_on_close();
            return Ok(AfterAnswer::Close);
        }
        NodeFault::ResetWithinAnswer => {
            connection.stream.write_all(&good_answer(body, "")[..PARTIAL_ANSWER_BYTES])?;
            connection.reset_on_close();
            return Ok(AfterAnswer::Close);
        }
        NodeFault::InterimAnswers => {
            // In two writes, so that a host may read the interim answers by themselves.
            let interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
            connection.stream.write_all(interim)?;
        }
        _ => {}
    }
    connection.stream.write_all(&answer_bytes(fault, body))?;
    let closes = fault == NodeFault::ClosesConnection;
    Ok(if closes { AfterAnswer::Close } else { AfterAnswer::KeepOpen })
}

/// The bytes of an answer that has an end.
fn answer_bytes(fault: NodeFault, body: &[u8]) -> Vec<u8> {
    match fault {
        NodeFault::Healthy => good_answer(body, "X-Load-Report: queue=0\r\nX-Delta: 0\r\n"),
        NodeFault::TrailingGarbage => [good_answer(body, ""), b"\x00#noise".to_vec()].concat(),
        NodeFault::DuplicateAnswer => [good_answer(body, ""), good_answer(body, "")].concat(),
        NodeFault::InterimAnswers => good_answer(body, ""),
        NodeFault::MalformedReport => {
            good_answer(body, "X-Load-Report: ,,=#\r\nX-Meter: x\r\nX-Delta: y\r\n")
        }
        NodeFault::ClosesConnection => good_answer(body, "Connection: close\r\n"),
        NodeFault::Garbage => b"\x01\x02 what is this\r\n\r\n".to_vec(),
        NodeFault::ShortBody => [b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n", body].concat(),
        NodeFault::ConflictingLengths => {
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd".to_vec()
        }
        NodeFault::ServerError => empty_answer("500 Internal Server Error"),
        NodeFault::BadRequest => empty_answer("400 Bad Request"),
        NodeFault::Overloaded => empty_answer("503 Service Unavailable\r\nX-Rejected: 1"),
        NodeFault::Silent
        | NodeFault::EndlessHead
        | NodeFault::HugeBody
        | NodeFault::ResetOnAccept
        | NodeFault::ResetAfterRequest
        | NodeFault::ResetWithinAnswer => Vec::new(),
    }
}

/// Writes one piece after the other until the host closes the connection or the node is stopped.
fn write_endlessly(connection: &mut Connection, head: &[u8], piece: &[u8]) -> std::io::Result<AfterAnswer> {
    connection.stream.write_all(head)?;
    while !connection.is_stopped() && connection.stream.write_all(piece).is_ok() {}
    Ok(AfterAnswer::Close)
}
