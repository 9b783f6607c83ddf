//! Connections of clients: requests in turn, one open at a time on each.

use crate::poller::{Interest, Poller, Ready, Token, BOTH, READ, WRITE};
use crate::pool::{evicted, Stage, IDLE_AFTER, YOUNG};
use crate::wire::{self, Got};
use bytes::BytesMut;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use tackmast::interface::{Instant, Span};
use tackmast_http::{Bounds, Request, RequestReader};
use tackmast_platform::answer_head;

/// A client that has made no whole request by then is told so: well within what the platform allows for bad ones.
const PATIENCE: f64 = 2.0; // seconds
/// After the last answer the host reads on for a moment: a connection closed with bytes unread loses the answer.
const LINGER: f64 = 0.5; // seconds
/// And so many bytes.
const LINGER_BYTES: usize = 256 * 1024;
/// A client that does not read its answer for this long has gone.
const STUCK: f64 = 5.0; // seconds

struct Client {
    stream: TcpStream,
    reader: RequestReader,
    out: BytesMut,
    interest: Interest,
    /// Owed an answer; the request's number.
    open: Option<u32>,
    /// Its client ends the connection after that.
    closes: bool,
    /// Nothing follows what is still being written.
    last: bool,
    lingers: usize,
    proven: bool,
    /// Since when it is in its stage.
    since: Instant,
    held: usize,
}

impl Client {
    fn stage(&self, now: Instant) -> Stage {
        let secs = (now - self.since).secs();
        match () {
            _ if self.last => Stage::Over,
            _ if self.open.is_some() || !self.out.is_empty() => Stage::Busy,
            _ if !self.proven && secs < YOUNG => Stage::Young,
            _ if !self.proven => Stage::Silent,
            _ if self.reader.is_midway() => Stage::Midway,
            _ if secs >= IDLE_AFTER => Stage::Idle,
            _ => Stage::Resting,
        }
    }
}

/// What a turn at a connection brought.
pub enum Said {
    Request(Request),
    /// It has gone, with this request open.
    Gone(Option<u32>),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    pub accepted: u64,
    pub evicted: u64,
    pub turned_away: u64,
    pub bad: u64,
    pub too_slow: u64,
}

pub struct Clients {
    clients: BTreeMap<u32, Client>,
    next: u32,
    most: usize,
    bytes: usize,
    held: usize,
    come_back: Span,
    /// The host is ending: each answer says so.
    pub ending: bool,
    pub counters: ClientCounters,
}

impl Clients {
    /// `most` connections that together hold so many `bytes`; one that finds no room is told to `come_back`.
    pub fn new(most: usize, bytes: usize, come_back: Span) -> Self {
        Clients {
            clients: BTreeMap::new(),
            next: 0,
            most,
            bytes,
            held: 0,
            come_back,
            ending: false,
            counters: ClientCounters::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Whether something is still to be written.
    pub fn is_writing(&self) -> bool {
        self.clients.values().any(|c| !c.out.is_empty())
    }

    pub fn accepted(&mut self, now: Instant, poller: &Poller, stream: TcpStream) {
        if self.clients.len() >= self.most && !self.make_room(now) {
            // All are owed an answer. The new one has asked for nothing yet.
            self.counters.turned_away += 1;
            return;
        }
        if stream.set_nonblocking(true).is_err() || stream.set_nodelay(true).is_err() {
            return;
        }
        self.next = self.next.wrapping_add(1);
        let id = self.next;
        if poller.add(&stream, Token::Client(id), READ).is_err() {
            return;
        }
        self.counters.accepted += 1;
        let client = Client {
            stream,
            reader: RequestReader::new(Bounds::default()),
            out: BytesMut::new(),
            interest: READ,
            open: None,
            closes: false,
            last: false,
            lingers: 0,
            proven: false,
            since: now,
            held: 0,
        };
        self.clients.insert(id, client);
    }

    /// One connection gives way, if any may.
    pub fn make_room(&mut self, now: Instant) -> bool {
        let id = evicted(self.clients.iter().map(|(id, c)| (*id, c.stage(now), c.since)));
        self.counters.evicted += u64::from(id.is_some());
        id.map(|id| self.remove(id)).is_some()
    }

    fn remove(&mut self, id: u32) -> Option<u32> {
        let client = self.clients.remove(&id)?;
        self.held -= client.held;
        client.open
    }

    fn count(&mut self, id: u32) {
        if let Some(c) = self.clients.get_mut(&id) {
            let held = c.reader.held();
            self.held = self.held - c.held + held;
            c.held = held;
        }
    }

    pub fn ready(&mut self, now: Instant, poller: &Poller, id: u32, r: Ready) -> Option<Said> {
        if r.write {
            if let Some(said) = self.flush(now, poller, id) {
                return Some(said);
            }
        }
        if !r.read && !r.ended {
            return None;
        }
        let c = self.clients.get_mut(&id)?;
        // It was not to be read now, and has ended: what it asked for is wanted no more.
        if r.ended && !c.interest.read {
            return Some(Said::Gone(self.remove(id)));
        }
        let mut piece = [0; wire::PIECE];
        match wire::read(&c.stream, &mut piece) {
            Got::Nothing => return None,
            // Also one that ended its sending only: its client counts as gone.
            Got::End => return Some(Said::Gone(self.remove(id))),
            Got::Bytes(n) if c.last => {
                c.lingers += n;
                let done = c.lingers > LINGER_BYTES;
                return done.then(|| Said::Gone(self.remove(id)));
            }
            Got::Bytes(n) => {
                if !c.reader.is_midway() && c.open.is_none() && c.proven {
                    c.since = now;
                }
                c.reader.push(&piece[..n]);
            }
        }
        if c.open.is_some() {
            // What comes ahead of its turn waits; beyond a piece of it in the socket.
            let read = Interest { read: false, ..c.interest };
            (c.interest, _) = (read, poller.change(&c.stream, Token::Client(id), read));
            self.count(id);
            return None;
        }
        self.next_request(now, poller, id)
    }

    /// Whether a part of a request, or more, has come ahead of its turn.
    pub fn has_more(&self, id: u32) -> bool {
        self.clients.get(&id).is_some_and(|c| !c.last && c.reader.is_midway())
    }

    /// The next request of a connection that none is open on.
    pub fn next_request(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<Said> {
        let c = self.clients.get_mut(&id).filter(|c| c.open.is_none() && !c.last)?;
        let next = c.reader.next_request();
        if c.reader.take_leave() {
            c.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
            _ = wire::write(&c.stream, &mut c.out);
        }
        self.count(id);
        match next {
            Ok(Some(request)) => {
                let c = self.clients.get_mut(&id)?;
                c.closes = request.closes;
                Some(Said::Request(request))
            }
            Ok(None) if self.held > self.bytes => {
                self.counters.turned_away += 1;
                self.close_with(now, poller, id, 503, "no room for the request now")
            }
            Ok(None) => None,
            Err(bad) => {
                self.counters.bad += 1;
                self.close_with(now, poller, id, bad.status(), &bad.to_string())
            }
        }
    }

    /// A request was understood and taken: its connection is owed an answer.
    pub fn taken(&mut self, now: Instant, id: u32, request: u32) {
        if let Some(c) = self.clients.get_mut(&id) {
            (c.open, c.proven, c.since) = (Some(request), true, now);
        }
    }

    /// The last answer on this connection.
    pub fn close_with(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        status: u16,
        why: &str,
    ) -> Option<Said> {
        if let Some(c) = self.clients.get_mut(&id) {
            c.closes = true;
        }
        let come_back = (status == 503 && self.come_back > Span::ZERO).then_some(self.come_back);
        self.answer(now, poller, id, status, why.as_bytes(), come_back)
    }

    /// The answer to the request that is open on a connection.
    pub fn answer(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        status: u16,
        body: &[u8],
        come_back: Option<Span>,
    ) -> Option<Said> {
        let ending = self.ending;
        let c = self.clients.get_mut(&id).filter(|c| !c.last)?;
        c.last = c.closes || ending;
        c.out.extend_from_slice(answer_head(status, body.len(), come_back, c.last).as_bytes());
        c.out.extend_from_slice(body);
        (c.open, c.since) = (None, now);
        self.flush(now, poller, id)
    }

    fn flush(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<Said> {
        let c = self.clients.get_mut(&id)?;
        if !c.out.is_empty() {
            if wire::write(&c.stream, &mut c.out).is_err() {
                return Some(Said::Gone(self.remove(id)));
            }
            if c.out.is_empty() && c.last {
                _ = c.stream.shutdown(Shutdown::Write);
                c.since = now;
            }
        }
        let wanted = match (c.out.is_empty(), c.open.is_some()) {
            (true, _) => READ,
            (false, true) => BOTH,
            (false, false) => WRITE,
        };
        if wanted != c.interest {
            c.interest = wanted;
            poller.change(&c.stream, Token::Client(id), wanted);
        }
        None
    }

    /// Time has passed: those that take too long. Gives those that have gone with a request open.
    pub fn tick(&mut self, now: Instant, poller: &Poller) -> Vec<(u32, u32)> {
        let mut gone = Vec::new();
        let all: Vec<(u32, Stage, f64)> =
            self.clients.iter().map(|(id, c)| (*id, c.stage(now), (now - c.since).secs())).collect();
        for (id, stage, secs) in all {
            let writing = self.clients.get(&id).is_some_and(|c| !c.out.is_empty() && c.open.is_none());
            match stage {
                Stage::Over if secs >= if writing { STUCK } else { LINGER } => _ = self.remove(id),
                Stage::Silent | Stage::Midway if secs >= PATIENCE => {
                    self.counters.too_slow += 1;
                    self.close_with(now, poller, id, 408, "no whole request in time");
                }
                Stage::Busy if writing && secs >= STUCK => {
                    gone.extend(self.remove(id).map(|open| (id, open)));
                }
                _ => {}
            }
        }
        gone
    }

    /// Ends connections that no request is open on, as the host is ending.
    pub fn close_idle(&mut self, now: Instant) {
        let idle =
            |c: &Client| matches!(c.stage(now), Stage::Idle | Stage::Resting | Stage::Silent | Stage::Young);
        let idle: Vec<u32> = self.clients.iter().filter(|(_, c)| idle(c)).map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| _ = self.remove(id));
    }
}
