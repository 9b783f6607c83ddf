//! The connection to the node list: it follows changes, asks for the complete list, and tells of failed calls.

use crate::core_thread::Event;
use crate::{Clock, StartError};
use crossbeam_channel::{Receiver, Sender};
use serde::{Deserialize, Serialize};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant as Wall};
use tackmast::interface::{ListKind, NodeState, ShardId, TimeDelta, ZoneId};
use tackmast_config::HostSettings;
use tackmast_host_core::{Age, ListEntry, NodeStart};
use tackmast_wire::list::{self, Frame, State, VERSION};
use tackmast_wire::reader::Frames;

/// How often commands are looked for while the connection is read.
const LOOK: Duration = Duration::from_millis(5);

pub enum ToList {
    Follow { since: u64 },
    Fetch,
    Save(Vec<ListEntry>),
}

struct Follower {
    settings: Arc<HostSettings>,
    clock: Clock,
    events: Sender<Event>,
    link: Option<(TcpStream, Frames)>,
    /// Calls without an answer yet, and since when nothing has come.
    owed: u32,
    quiet: Wall,
    since: u64,
}

pub fn start(
    settings: Arc<HostSettings>,
    clock: Clock,
    events: Sender<Event>,
    stopping: Arc<AtomicBool>,
) -> Result<Sender<ToList>, StartError> {
    let (to, commands) = crossbeam_channel::bounded(64);
    let mut f = Follower { settings, clock, events, link: None, owed: 0, quiet: Wall::now(), since: 0 };
    crate::thread("list".into(), move || f.run(&commands, &stopping))?;
    Ok(to)
}

impl Follower {
    fn run(&mut self, commands: &Receiver<ToList>, stopping: &AtomicBool) {
        let mut buffer = vec![0; 64 << 10];
        while !stopping.load(Ordering::Acquire) {
            let next = match self.link {
                Some(_) => commands.try_recv().ok(),
                None => match commands.recv_timeout(Duration::from_millis(100)) {
                    Ok(c) => Some(c),
                    Err(e) if e.is_timeout() => continue,
                    Err(_) => return,
                },
            };
            let number = self.settings.host.number;
            let sent = match next {
                Some(ToList::Follow { since }) => {
                    self.since = since;
                    self.call(&Frame::Follow { version: VERSION, host: number, since })
                }
                Some(ToList::Fetch) => self.call(&Frame::Fetch { version: VERSION, host: number }),
                Some(ToList::Save(entries)) => {
                    self.save(&entries);
                    Ok(())
                }
                None => Ok(()),
            };
            if let Err(e) = sent.and_then(|()| self.read(&mut buffer)) {
                self.fail(&e);
            }
        }
    }

    fn call(&mut self, frame: &Frame) -> Result<(), String> {
        let wait = Duration::from_millis(self.settings.bounds.connect_ms);
        if self.link.is_none() {
            let stream = TcpStream::connect_timeout(&self.settings.host.node_list, wait)
                .map_err(|e| format!("connect: {e}"))?;
            let ready =
                stream.set_read_timeout(Some(LOOK)).and_then(|()| stream.set_write_timeout(Some(wait)));
            ready.and_then(|()| stream.set_nodelay(true)).map_err(|e| format!("socket: {e}"))?;
            self.link = Some((stream, list::frames()));
            self.owed = 0;
        }
        self.quiet = Wall::now();
        self.owed += 1;
        match &mut self.link {
            Some((stream, _)) => stream.write_all(&frame.to_bytes()).map_err(|e| format!("write: {e}")),
            None => Ok(()),
        }
    }

    fn read(&mut self, buffer: &mut [u8]) -> Result<(), String> {
        let silence = Duration::from_millis(self.settings.bounds.link_silence_ms);
        let Some((stream, frames)) = &mut self.link else { return Ok(()) };
        let n = match stream.read(buffer) {
            Ok(0) => return Err("the list closed the connection".into()),
            Ok(n) => n,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                // A dead connection looks like a list without changes: after a silence it is asked, and one
                // that answers nothing has failed.
                if self.quiet.elapsed() < silence {
                    return Ok(());
                }
                if self.owed > 0 {
                    return Err(format!("no answer for {} ms", silence.as_millis()));
                }
                let (host, since) = (self.settings.host.number, self.since);
                return self.call(&Frame::Follow { version: VERSION, host, since });
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(()),
            Err(e) => return Err(format!("read: {e}")),
        };
        let at = self.clock.now();
        self.quiet = Wall::now();
        frames.push(&buffer[..n]);
        let mut came = Vec::new();
        while let Some(frame) = list::next(frames).map_err(|e| e.to_string())? {
            came.push(frame);
        }
        for frame in came {
            self.owed = self.owed.saturating_sub(1);
            let (kind, (from, to), sent_us, entries) = match frame {
                Frame::Changes { from, to, sent_us, entries } => {
                    (ListKind::Changes, (from, to), sent_us, entries)
                }
                Frame::Complete { to, sent_us, entries } => (ListKind::Complete, (0, to), sent_us, entries),
                Frame::Failed => return Err("the list could not answer".into()),
                Frame::Follow { .. } | Frame::Fetch { .. } => {
                    return Err("the list sent a host's frame".into())
                }
            };
            self.since = to;
            let entries = entries.into_iter().map(|e| entry(e, sent_us)).collect();
            _ = self.events.send(Event::List { at, kind, from, to, entries });
        }
        Ok(())
    }

    fn fail(&mut self, why: &str) {
        tracing::warn!(list = %self.settings.host.node_list, "node list: {why}");
        self.link = None;
        let (at, kind) = (self.clock.now(), ListKind::Failed);
        _ = self.events.send(Event::List { at, kind, from: 0, to: 0, entries: Vec::new() });
    }

    fn save(&self, entries: &[ListEntry]) {
        let Some(path) = &self.settings.host.saved_list else { return };
        let saved: Vec<Saved> = entries.iter().map(Saved::of).collect();
        let write = || -> std::io::Result<()> {
            // A cut between the two leaves the old list whole.
            let beside = path.with_extension("new");
            let mut file = std::fs::File::create(&beside)?;
            file.write_all(&serde_json::to_vec(&saved)?)?;
            file.sync_all()?;
            std::fs::rename(&beside, path)
        };
        if let Err(e) = write() {
            tracing::warn!("saved list {}: {e}", path.display());
        }
    }
}

/// A start under the list's figure for it; none where it is long past.
pub fn start_of(started_us: u64, age: Age) -> Option<NodeStart> {
    (started_us > 0).then_some(NodeStart { name: started_us, age })
}

fn by_wall(started_us: u64) -> Age {
    Age::ByHostClock(since(Clock::wall_us(), started_us))
}

fn since(now_us: u64, then_us: u64) -> TimeDelta {
    TimeDelta::from_secs((now_us as f64 - then_us as f64) / 1e6)
}

fn entry(e: list::Entry, sent_us: u64) -> ListEntry {
    let age =
        if sent_us > 0 { Age::ByListClock(since(sent_us, e.started_us)) } else { by_wall(e.started_us) };
    ListEntry {
        id: e.address.clone(),
        address: e.address,
        state: match e.state {
            State::Ready => NodeState::Ready,
            State::Draining => NodeState::Draining,
            State::Gone => NodeState::Gone,
        },
        zone: ZoneId(e.zone),
        shard: ShardId(e.shard),
        start: start_of(e.started_us, age),
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Saved {
    address: String,
    draining: bool,
    zone: u32,
    shard: u32,
    started_us: u64,
}

impl Saved {
    fn of(e: &ListEntry) -> Saved {
        Saved {
            address: e.address.clone(),
            draining: e.state != NodeState::Ready,
            zone: e.zone.0,
            shard: e.shard.0,
            started_us: e.start.map_or(0, |s| s.name),
        }
    }
}

/// The list that an earlier generation saved. A file that isn't there is an empty list.
pub fn load(path: &Path) -> Result<Vec<ListEntry>, String> {
    let bytes = match std::fs::read(path) {
        Ok(b) => b,
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        Err(e) => return Err(format!("{}: {e}", path.display())),
    };
    let saved: Vec<Saved> = serde_json::from_slice(&bytes)
        .map_err(|e| format!("{}: {e}; expected a list saved by a host; starting without", path.display()))?;
    let entry = |s: Saved| ListEntry {
        id: s.address.clone(),
        address: s.address,
        state: if s.draining { NodeState::Draining } else { NodeState::Ready },
        zone: ZoneId(s.zone),
        shard: ShardId(s.shard),
        start: start_of(s.started_us, by_wall(s.started_us)),
    };
    Ok(saved.into_iter().map(entry).collect())
}
