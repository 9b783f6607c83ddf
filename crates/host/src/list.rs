//! The client of the endpoint list service: it follows changes, fetches the complete list, and reports failed calls.

pub(crate) mod saved;
#[cfg(test)]
mod tests;

use crate::messages::Event;
use crate::thread::spawn;
use crate::{Clock, StartError};
use crossbeam_channel::{Receiver, Sender};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant as Wall};
use tackmast::interface::{ListKind, NodeState, ShardId, TimeDelta, ZoneId};
use tackmast_config::HostSettings;
use tackmast_host_core::{Age, ListEntry, NodeStart};
use tackmast_wire::list::{self, Frame, State, VERSION};
use tackmast_wire::reader::Frames;
use tackmast_wire::WireError;

/// How often commands of the core are polled while a connection is open; also its read timeout.
const COMMAND_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How often the thread checks whether the host is stopping while no connection is open.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of queued commands of the core.
const MAX_QUEUED_COMMANDS: usize = 64;
/// Maximum number of bytes in one read.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// A command of the core thread to the list client.
pub(crate) enum ListCommand {
    /// Follow changes of the list.
    Follow {
        /// Version after which changes are wanted; 0 asks for the complete list first.
        since: u64,
    },
    /// Fetch the complete list.
    Fetch,
    /// Save the list to disk for the host's next start.
    Save(Vec<ListEntry>),
}

/// Why a call to the list service failed.
#[derive(Debug, thiserror::Error)]
enum ListError {
    #[error("connect: {0}")]
    Connect(#[source] io::Error),
    #[error("socket: {0}")]
    Socket(#[source] io::Error),
    #[error("write: {0}")]
    Write(#[source] io::Error),
    #[error("read: {0}")]
    Read(#[source] io::Error),
    #[error("the list closed the connection")]
    Closed,
    #[error("no answer for {silence_ms} ms")]
    NoAnswer { silence_ms: u128 },
    #[error("the list could not answer")]
    CouldNotAnswer,
    #[error("the list sent a frame that only hosts send")]
    UnexpectedFrame,
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// A connection to the list service.
struct Connection {
    stream: TcpStream,
    frames: Frames,
    /// Number of calls that have no answer yet.
    unanswered_calls: u32,
    /// When the last bytes were sent or received.
    last_active_at: Wall,
}

struct ListClient {
    settings: Arc<HostSettings>,
    events: Sender<Event>,
    connection: Option<Connection>,
    /// Version of the list that the host has; 0 if changes are missing, so that the next call asks for the complete list.
    since: u64,
}

/// The content of a frame from the list service.
struct ListUpdate {
    kind: ListKind,
    from: u64,
    to: u64,
    /// When the list service sent the frame, by its clock, in microseconds of Unix time; 0 if not known.
    sent_us: u64,
    entries: Vec<list::Entry>,
}

/// Starts the thread of the list client. Returns the queue for its commands.
pub(crate) fn start(
    settings: Arc<HostSettings>,
    events: Sender<Event>,
    stopping: Arc<AtomicBool>,
) -> Result<Sender<ListCommand>, StartError> {
    let (to_list, commands) = crossbeam_channel::bounded(MAX_QUEUED_COMMANDS);
    let mut client = ListClient { settings, events, connection: None, since: 0 };
    spawn("list".into(), move || client.run(&commands, &stopping))?;
    Ok(to_list)
}

impl ListClient {
    fn run(&mut self, commands: &Receiver<ListCommand>, stopping: &AtomicBool) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while !stopping.load(Ordering::Acquire) {
            let command = match self.connection {
                Some(_) => commands.try_recv().ok(),
                None => match commands.recv_timeout(STOP_POLL_INTERVAL) {
                    Ok(command) => Some(command),
                    Err(error) if error.is_timeout() => continue,
                    Err(_) => return,
                },
            };
            let executed = self.execute(command);
            if let Err(error) = executed.and_then(|()| self.read(&mut buffer)) {
                self.fail(&error);
            }
        }
    }

    fn execute(&mut self, command: Option<ListCommand>) -> Result<(), ListError> {
        match command {
            Some(ListCommand::Follow { since }) => {
                self.since = since;
                self.follow()
            }
            Some(ListCommand::Fetch) => {
                let host = self.settings.host.number;
                self.call(&Frame::Fetch { version: VERSION, host })
            }
            Some(ListCommand::Save(entries)) => {
                self.save(&entries);
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn follow(&mut self) -> Result<(), ListError> {
        let (host, since) = (self.settings.host.number, self.since);
        self.call(&Frame::Follow { version: VERSION, host, since })
    }

    /// Sends a call; connects first if no connection is open.
    fn call(&mut self, frame: &Frame) -> Result<(), ListError> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect()?,
        };
        connection.last_active_at = Wall::now();
        connection.unanswered_calls += 1;
        let written = connection.stream.write_all(&frame.to_bytes()).map_err(ListError::Write);
        self.connection = Some(connection);
        written
    }

    fn connect(&self) -> Result<Connection, ListError> {
        let timeout = Duration::from_millis(self.settings.bounds.connect_ms);
        let address = &self.settings.host.node_list;
        let stream = TcpStream::connect_timeout(address, timeout).map_err(ListError::Connect)?;
        stream.set_read_timeout(Some(COMMAND_POLL_INTERVAL)).map_err(ListError::Socket)?;
        stream.set_write_timeout(Some(timeout)).map_err(ListError::Socket)?;
        stream.set_nodelay(true).map_err(ListError::Socket)?;
        Ok(Connection { stream, frames: list::frames(), unanswered_calls: 0, last_active_at: Wall::now() })
    }

    fn read(&mut self, buffer: &mut [u8]) -> Result<(), ListError> {
        let Some(connection) = &mut self.connection else { return Ok(()) };
        let length = match connection.stream.read(buffer) {
            Ok(0) => return Err(ListError::Closed),
            Ok(length) => length,
            Err(error) => match error.kind() {
                ErrorKind::WouldBlock | ErrorKind::TimedOut => return self.handle_silence(),
                ErrorKind::Interrupted => return Ok(()),
                _ => return Err(ListError::Read(error)),
            },
        };
        connection.last_active_at = Wall::now();
        connection.frames.push(&buffer[..length]);
        let mut frames = Vec::new();
        while let Some(frame) = list::next(&mut connection.frames)? {
            frames.push(frame);
        }
        for frame in frames {
            connection.unanswered_calls = connection.unanswered_calls.saturating_sub(1);
            let update = ListUpdate::from_frame(frame)?;
            self.since = update.version_to_follow_from(self.since);
            _ = self.events.send(update.into_event());
        }
        Ok(())
    }

    /// Handles a read timeout. A dead connection looks like a list without changes, so the host could keep an outdated list unnoticed.
    /// After `link_silence_ms` without traffic the list is followed anew; if no answer arrives within the same time again, the call has
    /// failed.
    fn handle_silence(&mut self) -> Result<(), ListError> {
        let max_silence = Duration::from_millis(self.settings.bounds.link_silence_ms);
        let Some(connection) = &self.connection else { return Ok(()) };
        if connection.last_active_at.elapsed() < max_silence {
            return Ok(());
        }
        if connection.unanswered_calls > 0 {
            return Err(ListError::NoAnswer { silence_ms: max_silence.as_millis() });
        }
        self.follow()
    }

    fn fail(&mut self, error: &ListError) {
        tracing::warn!(list = %self.settings.host.node_list, %error, "call of the node list failed");
        self.connection = None;
        let failed = Event::List { kind: ListKind::Failed, from: 0, to: 0, entries: Vec::new() };
        _ = self.events.send(failed);
    }

    fn save(&self, entries: &[ListEntry]) {
        let Some(path) = &self.settings.host.saved_list else { return };
        if let Err(error) = saved::save(path, entries) {
            tracing::warn!(path = %path.display(), %error, "node list not saved");
        }
    }
}

impl ListUpdate {
    fn from_frame(frame: Frame) -> Result<ListUpdate, ListError> {
        match frame {
            Frame::Changes { from, to, sent_us, entries } => {
                Ok(ListUpdate { kind: ListKind::Changes, from, to, sent_us, entries })
            }
            Frame::Complete { to, sent_us, entries } => {
                Ok(ListUpdate { kind: ListKind::Complete, from: 0, to, sent_us, entries })
            }
            Frame::Failed => Err(ListError::CouldNotAnswer),
            Frame::Follow { .. } | Frame::Fetch { .. } => Err(ListError::UnexpectedFrame),
        }
    }

    /// Returns the version from which to follow changes after this update, if they were followed from `since` before it. If changes are
    /// missing, that is 0 until a complete list arrives: changes after this update's version would not include the missing ones.
    fn version_to_follow_from(&self, since: u64) -> u64 {
        match self.kind {
            ListKind::Changes if self.from != since => 0,
            _ => self.to,
        }
    }

    fn into_event(self) -> Event {
        let ListUpdate { kind, from, to, sent_us, entries } = self;
        let entries = entries.into_iter().map(|entry| list_entry(entry, sent_us)).collect();
        Event::List { kind, from, to, entries }
    }
}

/// Returns the start of a node that started at `started_us` of Unix time; `None` if that is 0, so not known.
pub(crate) fn node_start(started_us: u64, age: Age) -> Option<NodeStart> {
    (started_us > 0).then_some(NodeStart { id: started_us, age })
}

/// Returns how long ago a node started, by this host's wall clock.
fn age_by_host_clock(started_us: u64) -> Age {
    Age::ByHostClock(time_since(Clock::wall_us(), started_us))
}

fn time_since(now_us: u64, then_us: u64) -> TimeDelta {
    TimeDelta::from_secs((now_us as f64 - then_us as f64) / 1e6)
}

fn list_entry(entry: list::Entry, sent_us: u64) -> ListEntry {
    let age = match sent_us > 0 {
        true => Age::ByListClock(time_since(sent_us, entry.started_us)),
        false => age_by_host_clock(entry.started_us),
    };
    ListEntry {
        id: entry.address.clone(),
        address: entry.address,
        state: match entry.state {
            State::Ready => NodeState::Ready,
            State::Draining => NodeState::Draining,
            State::Gone => NodeState::Gone,
        },
        zone: ZoneId(entry.zone),
        shard: ShardId(entry.shard),
        start: node_start(entry.started_us, age),
    }
}
