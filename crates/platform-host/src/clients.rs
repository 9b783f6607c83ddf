//! Connections of clients: requests in turn, one open at a time on each. docs/crossings.md has each state of a connection
//! against each event that may come in it.

use crate::poller::{Interest, Poller, Ready, Token, BOTH, READ, WRITE};
use crate::pool::{by_eviction, Stage, IDLE_AFTER, YOUNG};
use crate::wire::{self, Got};
use bytes::BytesMut;
use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use tackmast::interface::{Instant, TimeDelta};
use tackmast_http::{Bounds, Request, RequestReader};
use tackmast_platform::answer_head;

/// A client that has made no whole request this long after it came is told so: well within what the platform allows for
/// bad ones.
const PATIENCE: f64 = 2.5; // seconds
/// And for a request's bytes on a connection that has brought good ones: some come slowly.
const PATIENCE_PROVEN: f64 = 5.0; // seconds
/// After the last answer the host reads on for a moment: a connection closed with bytes unread loses the answer.
const LINGER: f64 = 0.5; // seconds
/// And so many bytes.
const LINGER_BYTES: usize = 256 * 1024;
/// Read ahead of its turn on one connection, at most: the end of a connection is seen only behind what came before it. A
/// client that sends more than this at once has what is open answered, and no more of it taken.
const AHEAD: usize = 128 * 1024;
/// Of all bytes that connections may hold, what may have come ahead of its turn.
const AHEAD_PART: f64 = 0.5;
/// A client that does not read its answer for this long has gone.
const STUCK: f64 = 5.0; // seconds
/// Of the connections, the part that is kept to tell those for whom there is no room so, and how many at most.
const TURNED_AWAY_PART: usize = 8;
const MAX_TURNED_AWAY: usize = 16;

/// A connection's state. It goes from `Reading` to `Owed` and back, and from either down for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// No request is open: one is awaited, or a part of it is there, or the answer to the one before is being written.
    Reading,
    /// Owed the answer to the request of this number.
    Owed(u32),
    /// The last answer is being written. What comes is read and thrown away.
    Parting,
    /// The host has ended its sending. What still comes is read and thrown away until the client ends too.
    HalfClosed,
}

struct Client {
    stream: TcpStream,
    reader: RequestReader,
    out: BytesMut,
    interest: Interest,
    state: ConnectionState,
    /// Nothing is taken after the request that was read last.
    closes: bool,
    lingers: usize,
    /// It has made a good request.
    proven: bool,
    /// Since when it is in its stage.
    since: Instant,
    held: usize,
}

impl Client {
    fn stage(&self, now: Instant) -> Stage {
        let secs = (now - self.since).secs();
        match self.state {
            ConnectionState::HalfClosed => Stage::Over,
            ConnectionState::Owed(_) | ConnectionState::Parting => Stage::Busy,
            ConnectionState::Reading if !self.out.is_empty() => Stage::Busy,
            ConnectionState::Reading if !self.proven && secs < YOUNG => Stage::Young,
            ConnectionState::Reading if !self.proven => Stage::Silent,
            ConnectionState::Reading if self.reader.is_midway() => Stage::Midway,
            ConnectionState::Reading if secs >= IDLE_AFTER => Stage::Idle,
            ConnectionState::Reading => Stage::Resting,
        }
    }

    fn is_over(&self) -> bool {
        matches!(self.state, ConnectionState::Parting | ConnectionState::HalfClosed)
    }

    /// Nothing of a request is there, nor to be written.
    fn is_between(&self) -> bool {
        self.state == ConnectionState::Reading && self.out.is_empty() && !self.reader.is_midway()
    }

    fn wanted(&self) -> Interest {
        match self.state {
            // A client that does not read its answers has no more requests taken.
            ConnectionState::Reading if !self.out.is_empty() => WRITE,
            ConnectionState::Reading | ConnectionState::HalfClosed => READ,
            ConnectionState::Owed(_) => Interest { read: !self.closes, write: !self.out.is_empty() },
            ConnectionState::Parting => BOTH,
        }
    }

    /// The host ends its sending: a close over bytes that are not read would reset the connection, and lose the answer.
    fn half_close(&mut self, now: Instant) {
        _ = self.stream.shutdown(Shutdown::Write);
        (self.state, self.since) = (ConnectionState::HalfClosed, now);
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
    /// Sent so much ahead of its turn that no more of it was taken.
    pub flooding: u64,
}

pub struct Clients {
    clients: BTreeMap<u32, Client>,
    next: u32,
    most: usize,
    spare: usize,
    bytes: usize,
    held: usize,
    retry_after: TimeDelta,
    /// The host is ending: each answer says so.
    pub ending: bool,
    pub counters: ClientCounters,
}

impl Clients {
    /// `most` connections that together hold so many `bytes`; one that finds no room is told to `retry_after`.
    pub fn new(most: usize, bytes: usize, retry_after: TimeDelta) -> Self {
        let spare = (most / TURNED_AWAY_PART).min(MAX_TURNED_AWAY);
        Clients {
            clients: BTreeMap::new(),
            next: 0,
            most: most - spare,
            spare,
            bytes,
            held: 0,
            retry_after,
            ending: false,
            counters: ClientCounters::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.clients.len()
    }

    pub fn accepted(&mut self, now: Instant, poller: &Poller, stream: TcpStream) {
        let room = self.clients.len() < self.most || self.make_room(now);
        if !room && self.clients.len() >= self.most + self.spare {
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
            state: ConnectionState::Reading,
            closes: false,
            lingers: 0,
            proven: false,
            since: now,
            held: 0,
        };
        self.clients.insert(id, client);
        if !room {
            // All are owed an answer. The new one is told, and read out, rather than reset.
            self.counters.turned_away += 1;
            self.close_with(now, poller, id, 503, "no room for the connection now");
        }
    }

    /// One connection gives way, if any may: none with bytes in its socket, which may be a request that crosses.
    pub fn make_room(&mut self, now: Instant) -> bool {
        let order = by_eviction(self.clients.iter().map(|(id, c)| (*id, c.stage(now), c.since)));
        let quiet = |id: &u32| self.clients.get(id).is_some_and(|c| wire::is_quiet(&c.stream));
        let id = order.into_iter().find(quiet);
        self.counters.evicted += u64::from(id.is_some());
        id.map(|id| self.remove(id)).is_some()
    }

    fn remove(&mut self, id: u32) -> Option<u32> {
        let client = self.clients.remove(&id)?;
        self.held -= client.held;
        match client.state {
            ConnectionState::Owed(request) => Some(request),
            _ => None,
        }
    }

    fn count(&mut self, id: u32) {
        if let Some(c) = self.clients.get_mut(&id) {
            let held = c.reader.held();
            self.held = self.held - c.held + held;
            c.held = held;
        }
    }

    /// Whether the client of a connection has gone, whatever was told of it in this turn.
    pub fn has_left(&self, id: u32) -> bool {
        self.clients.get(&id).is_none_or(|c| wire::has_ended(&c.stream))
    }

    /// The connection is over, with this request open.
    pub fn left(&mut self, id: u32) -> Said {
        Said::Gone(self.remove(id))
    }

    pub fn ready(&mut self, now: Instant, poller: &Poller, id: u32, r: Ready) -> Option<Said> {
        let over = self.clients.get(&id)?.is_over();
        // Its client has ended the connection, or its sending: gone, with all that it asked for, also what came in the same
        // moment and was not read yet.
        if r.ended && !over {
            return Some(self.left(id));
        }
        if r.write {
            if let Some(said) = self.flush(now, poller, id) {
                return Some(said);
            }
            if self.has_more(id) {
                return self.next_request(now, poller, id);
            }
        }
        if !r.read && !r.ended {
            return None;
        }
        let c = self.clients.get_mut(&id)?;
        let mut piece = [0; wire::PIECE];
        match wire::read(&c.stream, &mut piece) {
            Got::Nothing => return None,
            Got::End | Got::Broken => return Some(self.left(id)),
            Got::Bytes(n) if c.is_over() => {
                c.lingers += n;
                let done = c.lingers > LINGER_BYTES;
                return done.then(|| self.left(id));
            }
            Got::Bytes(n) => {
                if !c.reader.is_midway() && c.state == ConnectionState::Reading && c.proven {
                    c.since = now;
                }
                c.reader.push(&piece[..n]);
            }
        }
        self.count(id);
        let all = self.held as f64 > self.bytes as f64 * AHEAD_PART;
        let c = self.clients.get_mut(&id)?;
        if let ConnectionState::Owed(_) = c.state {
            // What comes ahead of its turn is read on, within bounds, so that an end behind it is seen.
            if all || c.reader.ahead() > AHEAD {
                c.closes = true;
                self.counters.flooding += 1;
                self.attend(poller, id);
            }
            return None;
        }
        self.next_request(now, poller, id)
    }

    /// Whether a part of a request, or more, has come ahead of its turn.
    pub fn has_more(&self, id: u32) -> bool {
        let may =
            |c: &Client| c.state == ConnectionState::Reading && c.out.is_empty() && c.reader.is_midway();
        self.clients.get(&id).is_some_and(may)
    }

    /// The next request of a connection that none is open on.
    pub fn next_request(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<Said> {
        let c =
            self.clients.get_mut(&id).filter(|c| c.state == ConnectionState::Reading && c.out.is_empty())?;
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
            Ok(None) => {
                self.attend(poller, id);
                None
            }
            Err(bad) => {
                self.counters.bad += 1;
                self.close_with(now, poller, id, bad.status(), &bad.to_string())
            }
        }
    }

    /// A request was understood and taken: its connection is owed an answer.
    pub fn taken(&mut self, now: Instant, id: u32, request: u32) {
        if let Some(c) = self.clients.get_mut(&id).filter(|c| c.state == ConnectionState::Reading) {
            (c.state, c.proven, c.since) = (ConnectionState::Owed(request), true, now);
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
        let retry_after = (status == 503 && self.retry_after > TimeDelta::ZERO).then_some(self.retry_after);
        self.answer(now, poller, id, status, why.as_bytes(), retry_after)
    }

    /// The answer to the request that is open on a connection, or was just read on it.
    pub fn answer(
        &mut self,
        now: Instant,
        poller: &Poller,
        id: u32,
        status: u16,
        body: &[u8],
        retry_after: Option<TimeDelta>,
    ) -> Option<Said> {
        let ending = self.ending;
        let c = self.clients.get_mut(&id).filter(|c| !c.is_over())?;
        let last = c.closes || ending;
        c.out.extend_from_slice(answer_head(status, body.len(), retry_after, last).as_bytes());
        c.out.extend_from_slice(body);
        c.proven |= status == 200;
        (c.state, c.since) = (if last { ConnectionState::Parting } else { ConnectionState::Reading }, now);
        self.flush(now, poller, id)
    }

    fn flush(&mut self, now: Instant, poller: &Poller, id: u32) -> Option<Said> {
        let c = self.clients.get_mut(&id)?;
        if wire::write(&c.stream, &mut c.out).is_err() {
            return Some(self.left(id));
        }
        if c.out.is_empty() && c.state == ConnectionState::Parting {
            c.half_close(now);
        }
        self.attend(poller, id);
        None
    }

    /// Waits for what its state wants.
    fn attend(&mut self, poller: &Poller, id: u32) {
        if let Some(c) = self.clients.get_mut(&id) {
            let wanted = c.wanted();
            if wanted != c.interest {
                c.interest = wanted;
                poller.change(&c.stream, Token::Client(id), wanted);
            }
        }
    }

    /// Time has passed: those that take too long. Gives those that have gone with a request open.
    pub fn tick(&mut self, now: Instant, poller: &Poller) -> Vec<(u32, u32)> {
        let mut gone = Vec::new();
        let all: Vec<(u32, Stage, f64)> =
            self.clients.iter().map(|(id, c)| (*id, c.stage(now), (now - c.since).secs())).collect();
        for (id, stage, secs) in all {
            let Some(c) = self.clients.get(&id) else { continue };
            let writing = !c.out.is_empty() && !matches!(c.state, ConnectionState::Owed(_));
            match stage {
                Stage::Over if secs >= LINGER => _ = self.remove(id),
                Stage::Silent if secs >= PATIENCE => self.too_slow(now, poller, id),
                Stage::Midway if secs >= PATIENCE_PROVEN => self.too_slow(now, poller, id),
                Stage::Busy if writing && secs >= STUCK => {
                    gone.extend(self.remove(id).map(|open| (id, open)));
                }
                _ => {}
            }
        }
        gone
    }

    fn too_slow(&mut self, now: Instant, poller: &Poller, id: u32) {
        self.counters.too_slow += 1;
        self.close_with(now, poller, id, 408, "no whole request in time");
    }

    /// The host is ending: connections between requests are half-closed, one with bytes in its socket only once these are
    /// read, as they may be a request. `all`: also those that only just came, and what is in the middle of a request is
    /// told that there is no time for it.
    pub fn end(&mut self, now: Instant, poller: &Poller, all: bool) {
        self.ending = true;
        let ids: Vec<u32> = self.clients.keys().copied().collect();
        for id in ids {
            let Some(c) = self.clients.get_mut(&id) else { continue };
            let young = c.stage(now) == Stage::Young;
            if c.is_between() && (all || !young && wire::is_quiet(&c.stream)) {
                c.half_close(now);
                self.attend(poller, id);
            } else if all && c.state == ConnectionState::Reading && c.out.is_empty() {
                self.close_with(now, poller, id, 503, "the host ends");
            }
        }
    }
}

#[cfg(test)]
mod tests;
