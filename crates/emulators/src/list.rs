//! The node list on loopback: it pushes changes to those who follow, answers calls, and can be late, stale, or fail.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tackmast_trace::{now_us, Event, ListedState, Recorder};
use tackmast_wire::list::{self as wire, Entry, Frame, State};

const SMALL_STACK: usize = 128 << 10;
const LOOK: Duration = Duration::from_millis(2);
/// Changes that are kept to bring a follower up to date; one further behind gets the complete list.
const KEPT: usize = 10_000;

#[derive(Clone, Debug, PartialEq)]
pub enum ListFault {
    /// Hosts see what happened so many seconds ago.
    Late(f64),
    /// Calls and subscriptions fail.
    Fails(bool),
    /// Nothing is answered, without closing.
    Silent(bool),
    /// All connections are closed now.
    Reset,
    /// The next so many changes are left out of what followers get, so that they meet a gap.
    Skip(u32),
}

struct Change {
    at: u64,
    version: u64,
    entry: Entry,
}

#[derive(Default)]
struct Known {
    entries: BTreeMap<String, Entry>,
    order: Vec<String>,            // as they were first put in
    base: BTreeMap<String, Entry>, // as of the change before the oldest kept
    changes: Vec<Change>,
    told: HashMap<u32, HashMap<String, Entry>>, // by host
    version: u64,
    late_us: u64,
    fails: bool,
    silent: bool,
    skip: u32,
    round: u64, // raised to close all connections
}

impl Known {
    /// The newest version that is told by now.
    fn told(&self, now: u64) -> u64 {
        let old = self.changes.iter().rev().find(|c| c.at + self.late_us <= now);
        old.map_or(self.changes.first().map_or(self.version, |c| c.version - 1), |c| c.version)
    }

    /// The complete list as of a version.
    fn complete(&self, to: u64) -> Vec<Entry> {
        let mut seen: BTreeMap<&str, &Entry> = self.base.iter().map(|(a, e)| (a.as_str(), e)).collect();
        for c in self.changes.iter().filter(|c| c.version <= to) {
            seen.insert(&c.entry.address, &c.entry);
        }
        let named = self.order.iter().filter_map(|a| seen.get(a.as_str()));
        named.filter(|e| e.state != State::Gone).map(|e| (*e).clone()).collect()
    }

    fn since(&self, from: u64, to: u64) -> Option<Vec<Entry>> {
        let kept = self.changes.first().is_some_and(|c| c.version <= from + 1);
        (from > 0 && kept && from <= to).then(|| {
            let new = self.changes.iter().filter(|c| c.version > from && c.version <= to);
            new.map(|c| c.entry.clone()).collect()
        })
    }
}

struct Inner {
    known: Mutex<Known>,
    over: AtomicBool,
    recorder: Recorder,
}

#[derive(Clone)]
pub struct NodeList {
    inner: Arc<Inner>,
    pub address: SocketAddr,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

impl NodeList {
    pub fn start(address: SocketAddr, recorder: Recorder) -> io::Result<NodeList> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let known = Mutex::new(Known::default());
        let inner = Arc::new(Inner { known, over: AtomicBool::new(false), recorder });
        let shared = inner.clone();
        let run = move || {
            for stream in listener.incoming() {
                if shared.over.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let shared = shared.clone();
                let serve = move || _ = shared.serve(stream);
                _ = std::thread::Builder::new().name("list call".into()).stack_size(SMALL_STACK).spawn(serve);
            }
        };
        std::thread::Builder::new().name("list".into()).stack_size(SMALL_STACK).spawn(run)?;
        Ok(NodeList { inner, address })
    }

    /// Puts entries in; those that say nothing new are left out.
    pub fn put(&self, entries: impl IntoIterator<Item = Entry>) {
        let mut known = lock(&self.inner.known);
        let at = now_us();
        for entry in entries {
            if known.entries.get(&entry.address) == Some(&entry) {
                continue;
            }
            known.version += 1;
            let version = known.version;
            if known.entries.insert(entry.address.clone(), entry.clone()).is_none() {
                known.order.push(entry.address.clone());
            }
            known.changes.push(Change { at, version, entry });
        }
        let over = known.changes.len().saturating_sub(KEPT);
        let old: Vec<Change> = known.changes.drain(..over).collect();
        known.base.extend(old.into_iter().map(|c| (c.entry.address.clone(), c.entry)));
    }

    pub fn state(&self, address: &str, state: State) {
        let entry = lock(&self.inner.known).entries.get(address).cloned();
        self.put(entry.map(|e| Entry { state, ..e }));
    }

    /// The node has started anew, and is ready.
    pub fn restarted(&self, address: &str, started_us: u64) {
        let entry = lock(&self.inner.known).entries.get(address).cloned();
        self.put(entry.map(|e| Entry { state: State::Ready, started_us, ..e }));
    }

    pub fn set(&self, fault: &ListFault) {
        let mut known = lock(&self.inner.known);
        match *fault {
            ListFault::Late(s) => known.late_us = (s * 1e6) as u64,
            ListFault::Fails(on) => {
                known.fails = on;
                known.round += u64::from(on);
            }
            ListFault::Silent(on) => known.silent = on,
            ListFault::Reset => known.round += 1,
            ListFault::Skip(n) => known.skip = n,
        }
    }

    pub fn stop(&self) {
        self.inner.over.store(true, Ordering::Release);
        _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }
}

/// What one message leaves of each node: a host that was away gets several changes of one at once, and the last one counts.
fn last_of_each(entries: &[Entry]) -> Vec<Entry> {
    let mut kept: Vec<Entry> = Vec::with_capacity(entries.len());
    for e in entries.iter().rev() {
        if !kept.iter().any(|k| k.address == e.address) {
            kept.push(e.clone());
        }
    }
    kept.reverse();
    kept
}

impl Inner {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK))?;
        let mut frames = wire::frames();
        let mut buffer = vec![0; 4096];
        let round = lock(&self.known).round;
        let mut following: Option<(u32, u64)> = None; // host, and the version it has
        let mut speaks = 1;
        while !self.over.load(Ordering::Acquire) {
            match stream.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(n) => frames.push(&buffer[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) => return Err(e),
            }
            if lock(&self.known).round != round {
                return Ok(());
            }
            let mut replies: Vec<(u32, Frame)> = Vec::new();
            loop {
                let frame = match wire::next(&mut frames) {
                    Ok(Some(f)) => f,
                    Ok(None) => break,
                    Err(e) => return Err(io::Error::other(e.to_string())),
                };
                let known = lock(&self.known);
                if known.silent {
                    continue;
                }
                let to = known.told(now_us());
                if let Frame::Follow { version, .. } | Frame::Fetch { version, .. } = frame {
                    speaks = version;
                }
                let sent_us = if speaks >= wire::TIMED { now_us() } else { 0 };
                match frame {
                    Frame::Follow { host, .. } | Frame::Fetch { host, .. } if known.fails => {
                        replies.push((host, Frame::Failed));
                    }
                    Frame::Follow { host, since, .. } => {
                        following = Some((host, to));
                        replies.push((
                            host,
                            match known.since(since, to) {
                                Some(entries) => Frame::Changes { from: since, to, sent_us, entries },
                                None => Frame::Complete { to, sent_us, entries: known.complete(to) },
                            },
                        ));
                    }
                    Frame::Fetch { host, .. } => {
                        replies.push((host, Frame::Complete { to, sent_us, entries: known.complete(to) }));
                    }
                    _ => return Ok(()),
                }
            }
            if let Some((host, have)) = &mut following {
                let mut known = lock(&self.known);
                let to = known.told(now_us());
                if to > *have && !known.silent && replies.is_empty() {
                    let mut entries = known.since(*have, to).unwrap_or_else(|| known.complete(to));
                    let mut from = *have;
                    if known.skip > 0 {
                        let skip = (known.skip as usize).min(entries.len());
                        known.skip -= skip as u32;
                        entries.drain(..skip);
                        from += skip as u64;
                    }
                    let sent_us = if speaks >= wire::TIMED { now_us() } else { 0 };
                    replies.push((*host, Frame::Changes { from, to, sent_us, entries }));
                    *have = to;
                }
            }
            for (host, frame) in replies {
                let (entries, complete) = match &frame {
                    Frame::Changes { entries, .. } => (last_of_each(entries), false),
                    Frame::Complete { entries, .. } => (last_of_each(entries), true),
                    _ => (Vec::new(), false),
                };
                let bytes = frame.to_bytes();
                let failed = frame == Frame::Failed;
                // A host may act on the bytes before the call returns. So word that frees it counts from before
                // the bytes leave, and word that binds it from after.
                self.note(host, &entries, false, |s| s == State::Ready);
                stream.write_all(&bytes)?;
                self.note(host, &entries, complete, |s| s != State::Ready);
                if failed {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    fn note(&self, host: u32, entries: &[Entry], complete: bool, which: fn(State) -> bool) {
        let mut known = lock(&self.known);
        let told = known.told.entry(host).or_default();
        let line = |e: &Entry, state| {
            let (node, started_us) = (e.address.clone(), e.started_us);
            self.recorder.note(Event::Notified { host, node, state, started_us });
        };
        if complete {
            let gone = told.values().filter(|old| !entries.iter().any(|e| e.address == old.address));
            gone.for_each(|e| line(e, ListedState::Gone));
            told.retain(|a, _| entries.iter().any(|e| e.address == *a));
        }
        for e in entries.iter().filter(|e| which(e.state)) {
            line(
                e,
                match e.state {
                    State::Ready => ListedState::Ready,
                    State::Draining => ListedState::Draining,
                    State::Gone => ListedState::Gone,
                },
            );
            told.insert(e.address.clone(), e.clone());
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn of_several_changes_of_one_node_in_one_message_the_last_counts() {
        let entry =
            |address: &str, state| Entry { address: address.into(), state, zone: 0, shard: 0, started_us: 0 };
        let (ready, draining) = (State::Ready, State::Draining);
        let all = [
            entry("a", draining),
            entry("b", ready),
            entry("a", ready),
            entry("b", draining),
            entry("c", ready),
        ];
        let expected = [entry("a", ready), entry("b", draining), entry("c", ready)];
        assert_eq!(last_of_each(&all), expected);
    }
}
