//! What the emulated servers have in common: a thread that accepts connections, and a thread for each that reads requests.

use super::{ReservedPort, READ_CHUNK_BYTES, RECHECK_INTERVAL};
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tackmast_http::{Limits, Request, RequestReader};

/// Stack of the emulators' threads: tests hold hundreds of connections.
const THREAD_STACK_BYTES: usize = 128 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 128;

/// The thread that accepts the connections of an emulated server, until it is stopped or dropped.
pub(crate) struct Acceptor {
    port: ReservedPort,
    listener: TcpListener,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Acceptor {
    /// Calls `serve` in a thread of its own for each connection. The connection ends when it returns.
    pub(crate) fn start(serve: impl Fn(Connection) + Send + Sync + 'static) -> std::io::Result<Self> {
        let port = ReservedPort::new()?;
        let listener = port.listen(BACKLOG)?;
        let accepting = listener.try_clone()?;
        let stopped = Arc::new(AtomicBool::new(false));
        let (is_stopped, serve) = (stopped.clone(), Arc::new(serve));
        let accept_all = move || {
            for stream in accepting.incoming() {
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let connection = Connection::new(stream, is_stopped.clone());
                let serve = serve.clone();
                _ = spawn(move || serve(connection));
            }
        };
        let thread = spawn(accept_all)?;
        Ok(Acceptor { port, listener, stopped, thread: Some(thread) })
    }

    /// Where it accepts connections.
    pub(crate) fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Accepts no connection any more. The port stays reserved, so that a connect is refused.
    pub(crate) fn stop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
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

fn spawn(work: impl FnOnce() + Send + 'static) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new().stack_size(THREAD_STACK_BYTES).spawn(work)
}

/// A connection that was accepted.
pub(crate) struct Connection {
    /// Its socket.
    pub(crate) stream: TcpStream,
    reader: RequestReader,
    stopped: Arc<AtomicBool>,
}

impl Connection {
    fn new(stream: TcpStream, stopped: Arc<AtomicBool>) -> Self {
        _ = stream.set_nodelay(true);
        _ = stream.set_read_timeout(Some(RECHECK_INTERVAL));
        Connection { stream, reader: RequestReader::new(Limits::default()), stopped }
    }

    /// The server was stopped: the connection should end.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    /// The next request; none: the connection has ended or was idle for `idle_timeout`, or the server was stopped.
    pub(crate) fn next_request(&mut self, idle_timeout: Duration) -> Option<Request> {
        let since = Instant::now();
        let mut chunk = [0; READ_CHUNK_BYTES];
        loop {
            match self.reader.next_request() {
                Ok(Some(request)) => return Some(request),
                Ok(None) => {}
                Err(_) => return None,
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return None,
                Ok(len) => self.reader.push(&chunk[..len]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    let is_idle = since.elapsed() >= idle_timeout && !self.reader.has_partial_request();
                    if self.is_stopped() || is_idle {
                        return None;
                    }
                }
                Err(_) => return None,
            }
        }
    }

    /// Makes the connection end with a reset when it is dropped.
    pub(crate) fn reset_on_close(&self) {
        _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
