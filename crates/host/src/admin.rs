//! The host's admin socket, which only its own user may open, and the thread that writes what must last.

use crate::core_thread::Event;
use crate::StartError;
use crossbeam_channel::{Receiver, Sender};
use std::io::BufReader;
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tackmast_admin::{Answer, Call};
use tackmast_host_core::{PersistBatch, PersistError};
use tackmast_store::Store;

/// Calls open at a time.
const CALLS: usize = 64;
const PATIENCE: Duration = Duration::from_secs(10);
/// Writes that nobody waits for, kept to be tried again while the disk does not take them.
const TRIED_AGAIN: usize = 10_000;
const AGAIN: Duration = Duration::from_secs(1);

pub enum ToStore {
    Persist { request: u64, batch: PersistBatch },
    Audit { max_lines: usize, to: Sender<Answer> },
}

/// Binds the socket so that at no moment another user may open it.
fn bind(path: &Path) -> Result<UnixListener, String> {
    let at = |e: String| format!("{}: {e}", path.display());
    if let Ok(found) = std::fs::symlink_metadata(path) {
        if !found.file_type().is_socket() {
            return Err(at(
                "a file that is no socket; expected none, or the socket of an earlier host".into()
            ));
        }
        if UnixStream::connect(path).is_ok() {
            return Err(at("another host answers there; expected a socket of this host's own".into()));
        }
        std::fs::remove_file(path).map_err(|e| at(e.to_string()))?;
    }
    let socket = socket2::Socket::new(socket2::Domain::UNIX, socket2::Type::STREAM, None);
    let socket = socket.map_err(|e| at(e.to_string()))?;
    nix::sys::stat::fchmod(&socket, nix::sys::stat::Mode::from_bits_truncate(0o600))
        .map_err(|e| at(e.to_string()))?;
    let address = socket2::SockAddr::unix(path).map_err(|e| at(e.to_string()))?;
    socket.bind(&address).and_then(|()| socket.listen(64)).map_err(|e| at(e.to_string()))?;
    Ok(UnixListener::from(std::os::fd::OwnedFd::from(socket)))
}

pub fn start(
    path: &Path,
    core: Sender<Event>,
    store: Sender<ToStore>,
    stopping: Arc<AtomicBool>,
) -> Result<(), StartError> {
    let listener = bind(path).map_err(StartError::Admin)?;
    let open = Arc::new(AtomicUsize::new(0));
    crate::thread("admin".into(), move || {
        for stream in listener.incoming() {
            if stopping.load(Ordering::Acquire) {
                return;
            }
            let Ok(mut stream) = stream else { continue };
            if open.fetch_add(1, Ordering::AcqRel) >= CALLS {
                let busy = Answer::Error(format!("{CALLS} calls are open already"));
                _ = tackmast_admin::write_line(&mut stream, busy);
                open.fetch_sub(1, Ordering::AcqRel);
                continue;
            }
            let (core, store, open) = (core.clone(), store.clone(), open.clone());
            let counted = open.clone();
            let serve = move || {
                serve(stream, &core, &store);
                open.fetch_sub(1, Ordering::AcqRel);
            };
            if crate::thread("admin call".into(), serve).is_err() {
                counted.fetch_sub(1, Ordering::AcqRel);
            }
        }
    })?;
    Ok(())
}

fn serve(mut stream: UnixStream, core: &Sender<Event>, store: &Sender<ToStore>) {
    let Ok(clone) = stream.try_clone() else { return };
    let timed =
        stream.set_read_timeout(Some(PATIENCE)).and_then(|()| stream.set_write_timeout(Some(PATIENCE)));
    if timed.is_err() {
        return;
    }
    let mut lines = BufReader::new(clone);
    while let Ok(Some(text)) = tackmast_admin::read_line(&mut lines) {
        let (to, from) = crossbeam_channel::bounded(1);
        let sent = match tackmast_admin::parse_call(&text) {
            Err(e) => to.send(Answer::Error(e.to_string())).is_ok(),
            Ok(Call::AdminRequest(ask)) => core.send(Event::Admin { ask, to }).is_ok(),
            Ok(Call::Audit { max_lines }) => store.send(ToStore::Audit { max_lines, to }).is_ok(),
        };
        let late = || Answer::Error("no answer in time; whether it holds, a list tells".into());
        let answer = if sent { from.recv_timeout(PATIENCE).unwrap_or_else(|_| late()) } else { late() };
        if tackmast_admin::write_line(&mut stream, answer).is_err() {
            return;
        }
    }
}

/// Writes one keep after the other, and says of each what became of it.
pub fn keep(store: Store, from: Receiver<ToStore>, core: Sender<Event>) -> Result<(), StartError> {
    crate::thread("store".into(), move || {
        let mut again: Vec<PersistBatch> = Vec::new();
        loop {
            let next = match again.is_empty() {
                true => from.recv().map_err(|_| false),
                false => from.recv_timeout(AGAIN).map_err(|e| e.is_timeout()),
            };
            match next {
                Ok(ToStore::Audit { max_lines, to }) => {
                    _ = to.send(match store.audit(max_lines) {
                        Ok(lines) => Answer::Audit(lines),
                        Err(e) => Answer::Error(e.to_string()),
                    });
                }
                Ok(ToStore::Persist { request: 0, batch }) => again.push(batch),
                Ok(ToStore::Persist { request, batch }) => {
                    let result = store.write(&batch).map_err(|e| PersistError(e.to_string()));
                    _ = core.send(Event::Kept { request, result });
                }
                Err(true) => {}
                Err(false) => return,
            }
            // What nobody waits for must not be lost to a disk that is full for a while.
            while let Some(first) = again.first() {
                if let Err(e) = store.write(first) {
                    tracing::warn!("{e}; {} writes are tried again", again.len());
                    again.truncate(TRIED_AGAIN);
                    break;
                }
                again.remove(0);
            }
        }
    })?;
    Ok(())
}
