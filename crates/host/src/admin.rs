//! The host's admin socket, which only the user of the host's process may open.

#[cfg(test)]
mod tests;

use crate::messages::Event;
use crate::store_writer::StoreRequest;
use crate::thread::spawn;
use crate::StartError;
use crossbeam_channel::{RecvTimeoutError, Sender};
use std::io::{self, BufReader};
use std::os::fd::OwnedFd;
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{AdminRequest, ConsensusRequest, PlanRequest};

/// Maximum number of calls that are open at the same time.
const MAX_CALLS: usize = 64;
/// Timeout of reading a call, of answering it, and of writing its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 64;
/// File mode of the socket: access for the host's own user only.
const SOCKET_MODE: u32 = 0o600;

/// Why the admin socket can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum AdminSocketError {
    /// The path exists and is not a socket.
    #[error("{}: a file that is no socket; expected none, or the socket of an earlier host", path.display())]
    NotASocket {
        /// The socket's path.
        path: PathBuf,
    },
    /// Another host accepts connections on the socket.
    #[error("{}: another host answers there; expected a socket of this host's own", path.display())]
    InUse {
        /// The socket's path.
        path: PathBuf,
    },
    /// The operating system refused an operation on the socket.
    #[error("{}: {error}", path.display())]
    Io {
        /// The socket's path.
        path: PathBuf,
        /// The operating system's error.
        error: io::Error,
    },
}

/// Binds the socket. Its mode is set before it has a path; otherwise another user could open it before the mode is set.
fn bind(path: &Path) -> Result<UnixListener, AdminSocketError> {
    remove_stale(path)?;
    let failed = |error| AdminSocketError::Io { path: path.into(), error };
    let socket = socket2::Socket::new(socket2::Domain::UNIX, socket2::Type::STREAM, None).map_err(failed)?;
    let mode = nix::sys::stat::Mode::from_bits_truncate(SOCKET_MODE);
    nix::sys::stat::fchmod(&socket, mode).map_err(|errno| failed(io::Error::other(errno)))?;
    let address = socket2::SockAddr::unix(path).map_err(failed)?;
    socket.bind(&address).map_err(failed)?;
    socket.listen(LISTEN_BACKLOG).map_err(failed)?;
    Ok(UnixListener::from(OwnedFd::from(socket)))
}

/// Removes a socket that an earlier host left behind. Fails if a host still accepts connections on it.
fn remove_stale(path: &Path) -> Result<(), AdminSocketError> {
    let Ok(found) = std::fs::symlink_metadata(path) else { return Ok(()) };
    if !found.file_type().is_socket() {
        return Err(AdminSocketError::NotASocket { path: path.into() });
    }
    if UnixStream::connect(path).is_ok() {
        return Err(AdminSocketError::InUse { path: path.into() });
    }
    std::fs::remove_file(path).map_err(|error| AdminSocketError::Io { path: path.into(), error })
}

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum NoAnswerReason {
    /// No answer arrived within this timeout.
    #[error("no answer in {} s", .0.as_secs_f64())]
    Late(Duration),
    /// The thread that would answer has ended.
    #[error("the host is stopping")]
    Stopping,
}

/// A call that got no answer.
#[derive(Debug, PartialEq, Eq)]
struct NoAnswer {
    reason: NoAnswerReason,
    /// The command that shows whether the change was applied; `None` if the call can't have changed anything.
    change_shown_by: Option<&'static str>,
}

impl std::fmt::Display for NoAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{}", self.reason)?;
        match self.change_shown_by {
            Some(command) => write!(f, "; `{command}` shows whether it applied"),
            None => Ok(()),
        }
    }
}

/// Returns the command that shows whether the change of a call was applied; `None` if the call asks for no change.
fn command_that_shows_change(call: &Call) -> Option<&'static str> {
    let Call::AdminRequest(request) = call else { return None };
    match request {
        AdminRequest::Set { dry_run: false, .. } | AdminRequest::Clear { .. } => {
            Some("tackmast override list")
        }
        AdminRequest::Plan(
            PlanRequest::Apply { dry_run: false, .. } | PlanRequest::Undo { dry_run: false, .. },
        ) => Some("tackmast plan log"),
        AdminRequest::Consensus(
            ConsensusRequest::Voter { .. } | ConsensusRequest::Force { .. } | ConsensusRequest::Forget { .. },
        ) => Some("tackmast consensus status"),
        _ => None,
    }
}

/// The queues of the threads that answer calls.
#[derive(Clone)]
struct CallHandlers {
    core: Sender<Event>,
    store: Sender<StoreRequest>,
    /// How long to wait for the answer to a call.
    timeout: Duration,
}

/// Binds the socket and starts the thread that accepts operators' connections.
pub(crate) fn start(
    path: &Path,
    core: Sender<Event>,
    store: Sender<StoreRequest>,
    stopping: Arc<AtomicBool>,
) -> Result<(), StartError> {
    let listener = bind(path)?;
    let handlers = CallHandlers { core, store, timeout: CALL_TIMEOUT };
    let open_calls = Arc::new(AtomicUsize::new(0));
    spawn("admin".into(), move || {
        for stream in listener.incoming() {
            if stopping.load(Ordering::Acquire) {
                return;
            }
            if let Ok(stream) = stream {
                admit(stream, &handlers, &open_calls);
            }
        }
    })?;
    Ok(())
}

/// Serves a connection on a thread of its own, or refuses it if too many are open.
fn admit(mut stream: UnixStream, handlers: &CallHandlers, open_calls: &Arc<AtomicUsize>) {
    if open_calls.fetch_add(1, Ordering::AcqRel) >= MAX_CALLS {
        let busy = Answer::Error(format!("{MAX_CALLS} calls are open already"));
        _ = tackmast_admin::write_line(&mut stream, busy);
        open_calls.fetch_sub(1, Ordering::AcqRel);
        return;
    }
    let (handlers, thread_calls) = (handlers.clone(), open_calls.clone());
    let run = move || {
        serve(stream, &handlers);
        thread_calls.fetch_sub(1, Ordering::AcqRel);
    };
    if spawn("admin call".into(), run).is_err() {
        open_calls.fetch_sub(1, Ordering::AcqRel);
    }
}

fn serve(mut stream: UnixStream, handlers: &CallHandlers) {
    let Ok(reading) = stream.try_clone() else { return };
    let read_timeout = stream.set_read_timeout(Some(CALL_TIMEOUT));
    if read_timeout.and_then(|()| stream.set_write_timeout(Some(CALL_TIMEOUT))).is_err() {
        return;
    }
    let mut lines = BufReader::new(reading);
    while let Ok(Some(line)) = tackmast_admin::read_line(&mut lines) {
        if tackmast_admin::write_line(&mut stream, handlers.call(&line)).is_err() {
            return;
        }
    }
}

impl CallHandlers {
    /// Parses a line and returns the answer to its call.
    fn call(&self, line: &str) -> Answer {
        match tackmast_admin::parse_call(line) {
            Ok(call) => self.answer(call).unwrap_or_else(|no_answer| Answer::Error(no_answer.to_string())),
            Err(error) => Answer::Error(error.to_string()),
        }
    }

    /// Queues a call for the thread that answers it, and waits for the answer.
    fn answer(&self, call: Call) -> Result<Answer, NoAnswer> {
        let change_shown_by = command_that_shows_change(&call);
        let (answer_to, answer) = crossbeam_channel::bounded(1);
        let is_sent = match call {
            Call::AdminRequest(request) => self.core.send(Event::AdminRequest { request, answer_to }).is_ok(),
            Call::Audit { max_lines } => {
                self.store.send(StoreRequest::Audit { max_lines, answer_to }).is_ok()
            }
        };
        if !is_sent {
            return Err(NoAnswer { reason: NoAnswerReason::Stopping, change_shown_by: None });
        }
        answer.recv_timeout(self.timeout).map_err(|error| {
            let reason = match error {
                RecvTimeoutError::Timeout => NoAnswerReason::Late(self.timeout),
                RecvTimeoutError::Disconnected => NoAnswerReason::Stopping,
            };
            NoAnswer { reason, change_shown_by }
        })
    }
}
