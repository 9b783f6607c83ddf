//! Client sessions: a thread that reads and one that writes for each, round a target session between them.

use crate::core_thread::Event;
use crate::{Clock, StartError};
use crossbeam_channel::{Receiver, Sender, TrySendError};
use std::collections::{HashMap, HashSet};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_config::HostSettings;
use tackmast_host_core::{CommandRef, Verdict, Work};
use tackmast_target as target;
use tackmast_target::{AnySession, NbdSession, Offer, Session};
use tackmast_wire::scsi::Unit;

/// Output of one session that may wait for its client before no more of its input is read.
const OUTPUT: usize = 1 << 20;
/// Answers handed to a session's output in one go.
const BATCH: usize = 64;
/// Sessions over the bound that are told so at the same time; more are closed unheard.
const TURNED_AWAY: usize = 64;

pub enum ToSession {
    Answer {
        command: u32,
        verdict: Verdict,
    },
    /// The session has output.
    Poke,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Iscsi,
    Nbd,
}

pub struct House {
    settings: Arc<HostSettings>,
    units: Arc<Vec<Unit>>,
    offer: Arc<Offer>,
    clock: Clock,
    events: Sender<Event>,
    /// Numbers of open sessions, and the last one given.
    open: Mutex<(HashSet<u16>, u16)>,
    turned_away: Mutex<usize>,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What all listeners share.
pub fn house(
    settings: Arc<HostSettings>,
    units: Arc<Vec<Unit>>,
    clock: Clock,
    events: Sender<Event>,
) -> Arc<House> {
    let offer = Arc::new(Offer::of(&settings));
    let (open, turned_away) = (Mutex::new((HashSet::new(), 0)), Mutex::new(0));
    Arc::new(House { settings, units, offer, clock, events, open, turned_away })
}

pub fn start(
    house: Arc<House>,
    listener: TcpListener,
    protocol: Protocol,
    stopping: Arc<AtomicBool>,
) -> Result<JoinHandle<()>, StartError> {
    crate::thread("listen".into(), move || {
        for stream in listener.incoming() {
            if stopping.load(Ordering::Acquire) {
                return;
            }
            match stream {
                Ok(stream) => house.clone().admit(stream, protocol),
                // Out of descriptors, say: others come free.
                Err(e) => {
                    tracing::warn!("accept: {e}");
                    std::thread::sleep(Duration::from_millis(10));
                }
            }
        }
    })
}

impl House {
    fn admit(self: Arc<Self>, stream: TcpStream, protocol: Protocol) {
        let full = lock(&self.open).0.len() >= self.settings.bounds.sessions;
        if full {
            let mut away = lock(&self.turned_away);
            if *away >= TURNED_AWAY {
                return;
            }
            *away += 1;
        }
        let number = if full { 0 } else { self.number() };
        let house = self.clone();
        let run = move || {
            house.serve(stream, number, protocol);
            match number {
                0 => *lock(&house.turned_away) -= 1,
                n => _ = lock(&house.open).0.remove(&n),
            }
        };
        if let Err(e) = crate::thread(format!("session {number}"), run) {
            tracing::warn!("{e}");
            lock(&self.open).0.remove(&number);
        }
    }

    /// A number that no open session has.
    fn number(&self) -> u16 {
        let mut open = lock(&self.open);
        let (numbers, last) = &mut *open;
        loop {
            *last = last.wrapping_add(1).max(1);
            if numbers.insert(*last) {
                return *last;
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, number: u16, protocol: Protocol) {
        let b = &self.settings.bounds;
        let client = stream.peer_addr().map_or("unknown".to_owned(), |a| a.to_string());
        let ready = stream
            .set_nodelay(true)
            .and_then(|()| stream.set_read_timeout(Some(Duration::from_millis(b.login_ms))))
            .and_then(|()| stream.set_write_timeout(Some(Duration::from_millis(b.client_stall_ms))));
        let clones = ready.and_then(|()| Ok((stream.try_clone()?, stream.try_clone()?)));
        let (writing, closing) = match clones {
            Ok(c) => c,
            Err(e) => return tracing::warn!(client, "socket: {e}"),
        };
        let (offer, units) = (self.offer.clone(), self.units.clone());
        let mut session = match protocol {
            Protocol::Iscsi => AnySession::Iscsi(Session::new(offer, units, number)),
            Protocol::Nbd => AnySession::Nbd(NbdSession::new(offer, units, number)),
        };
        if number == 0 {
            tracing::warn!(client, "sessions: {} are open; this one is turned away", b.sessions);
            session.turn_away();
        }
        // Room for an answer to every command a client can have open, and for one poke.
        let (to, from) = crossbeam_channel::bounded(3 * b.window as usize + 16);
        let slot = Arc::new(Slot {
            session: Mutex::new(session),
            drained: Condvar::new(),
            poked: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        let their_slot = slot.clone();
        let writer =
            match crate::thread(format!("answers {number}"), move || their_slot.write(writing, &from)) {
                Ok(w) => w,
                Err(e) => return tracing::warn!(client, "{e}"),
            };
        let session = u32::from(number);
        if number > 0 {
            let close = Arc::new(closing);
            if self.events.send(Event::SessionOpen { session, to: to.clone(), close }).is_err() {
                return;
            }
        }
        // A server of some protocols speaks first.
        slot.poke(&to);
        self.read(&mut stream, &slot, &to, number, &client);
        slot.poke(&to);
        slot.ended.store(true, Ordering::Release);
        // Dropping the last sender ends the writer once all that was queued is written.
        if number > 0 {
            _ = self.events.send(Event::SessionGone { session });
        }
        drop(to);
        _ = writer.join();
        _ = stream.shutdown(Shutdown::Both);
    }

    fn read(&self, stream: &mut TcpStream, slot: &Slot, to: &Sender<ToSession>, number: u16, client: &str) {
        let session = u32::from(number);
        let mut buffer = vec![0; 64 << 10];
        let mut began: HashMap<u32, Instant> = HashMap::new();
        let mut logged_in = false;
        loop {
            let n = match stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(n) => n,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return tracing::warn!(client, "login: none in {} ms", self.settings.bounds.login_ms);
                }
                Err(_) => return,
            };
            let mut piece = &buffer[..n];
            let mut at = self.clock.now();
            loop {
                let mut s = lock(&slot.session);
                let taken = s.take(piece);
                piece = &[];
                let mut events = Vec::new();
                while let Some(e) = s.next_event() {
                    events.push(e);
                }
                let (output, full, over) = (s.pending() > 0, s.is_full(), s.is_over());
                drop(s);
                if full && !logged_in {
                    logged_in = true;
                    _ = stream.set_read_timeout(None);
                }
                for e in events {
                    let event = match e {
                        target::Event::Begun { command } => {
                            began.insert(command, at);
                            continue;
                        }
                        target::Event::Submit { command, lun, block, work, deadline_ms } => Event::Submit {
                            from: CommandRef { session, command },
                            lun,
                            block,
                            work: match work {
                                target::Work::Read { blocks } => Work::Read { blocks },
                                target::Work::Write { data } => Work::Write { data },
                            },
                            began: began.remove(&command).unwrap_or(at),
                            asked: deadline_ms.map(|ms| TimeDelta::from_secs(f64::from(ms) / 1e3)),
                        },
                        target::Event::Abort { command } => {
                            began.remove(&command);
                            Event::Abort { from: CommandRef { session, command } }
                        }
                        target::Event::Close(why) => {
                            tracing::debug!(client, session, ?why, "session ends");
                            continue;
                        }
                        target::Event::Note(line) => {
                            tracing::warn!(client, session, "{line}");
                            continue;
                        }
                    };
                    if self.events.send(event).is_err() {
                        return;
                    }
                }
                if output {
                    slot.poke(to);
                }
                if let Err(e) = taken {
                    return tracing::warn!(client, session, "{e}; the session is closed");
                }
                if over {
                    return;
                }
                // A client that sends but does not read must not fill the memory, nor one that sends without end.
                let mut paused = false;
                let mut s = lock(&slot.session);
                while (s.pending() > OUTPUT || s.is_paused()) && !slot.ended.load(Ordering::Acquire) {
                    s = slot.drained.wait(s).unwrap_or_else(PoisonError::into_inner);
                    paused = true;
                }
                // What had come before the pause is looked at before more is read.
                if !paused {
                    break;
                }
                at = self.clock.now();
            }
        }
    }
}

struct Slot {
    session: Mutex<AnySession>,
    drained: Condvar,
    poked: AtomicBool,
    ended: AtomicBool,
}

impl Slot {
    /// Wakes the writer, unless it has been woken and has not looked yet.
    fn poke(&self, to: &Sender<ToSession>) {
        if !self.poked.swap(true, Ordering::AcqRel) {
            if let Err(TrySendError::Full(p)) = to.try_send(ToSession::Poke) {
                _ = to.send(p);
            }
        }
    }

    fn write(&self, mut stream: TcpStream, from: &Receiver<ToSession>) {
        while let Ok(first) = from.recv() {
            let mut s = lock(&self.session);
            let mut next = Some(first);
            let mut left = BATCH;
            while let Some(message) = next {
                match message {
                    ToSession::Poke => self.poked.store(false, Ordering::Release),
                    ToSession::Answer { command, verdict } => {
                        let verdict = match verdict {
                            Verdict::Done { data } => target::Verdict::Done { data },
                            Verdict::Rejected { retry_after } => target::Verdict::Rejected {
                                retry_after_us: retry_after.map_or(0, |w| (w.secs() * 1e6) as u64),
                            },
                            Verdict::Failed => target::Verdict::Failed,
                        };
                        s.answer(command, verdict);
                    }
                }
                left -= 1;
                next = if left > 0 { from.try_recv().ok() } else { None };
            }
            let bytes = s.output();
            self.drained.notify_all();
            drop(s);
            if let Err(e) = stream.write_all(&bytes) {
                tracing::debug!("answers: {e}; the session is closed");
                break;
            }
        }
        // The reader may wait for output to drain, or for bytes of its client.
        self.ended.store(true, Ordering::Release);
        drop(lock(&self.session));
        self.drained.notify_all();
        _ = stream.shutdown(Shutdown::Both);
    }
}
