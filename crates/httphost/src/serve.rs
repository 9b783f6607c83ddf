//! The loop.

use crate::clients::{ClientCounters, Clients, Said};
use crate::keepers::{self, Keepers};
use crate::links::{LinkCounters, Links};
use crate::poller::{Poller, Ready, Token, READ};
use crate::pool::Split;
use crate::watch::{News, Watch};
use bytes::Bytes;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tackmast::interface::{Instant, ListKind, NodeId, NodeState, Outcome, Span};
use tackmast_config::Stream;
use tackmast_hostcore::{
    Age, CommandRef, Core, Counters, LegBack, ListEntry, Output, Placed, PlacedSettings,
};
use tackmast_hostcore::{Request as Opaque, Start, Verdict};
use tackmast_http::Request;
use tackmast_platform::{Call, Configuration, List, Reports, Settings};

/// Times of connections are looked at this often.
const SWEEP: f64 = 0.02; // seconds
/// Connections accepted in one turn, at most.
const ACCEPTS: usize = 32;
/// Datagrams taken in one turn, at most.
const DATAGRAMS: usize = 64;
/// Calls for the node list are at least this far apart; well within the time after which one is a new watch.
const CALLS_APART: f64 = 0.05; // seconds
/// After SIGTERM, while clients still come: new connections for up to 0.4 s, and requests on those they have for as long
/// as these stay open. They have nowhere else to go until the host is back, so it serves on until shortly before it is
/// killed. The platform does that no earlier than the longest expiry, which counts up to a bound, and some time on top.
const STILL_COMING: f64 = 0.6; // seconds
const LONGEST_EXPIRY: f64 = 3.0; // seconds
const KILLED_AFTER: f64 = 0.7; // seconds, on top
/// Ahead of that: when answers end their connections and idle ones close, and when what is still open is answered as it
/// stands. Whatever came later than 0.7 s after SIGTERM must have its answer by then.
const CLOSE_AHEAD: f64 = 0.5; // seconds
const SETTLE_AHEAD: f64 = 0.25; // seconds
/// For how long the id of a request that is over is known, and how many.
const IDS_KEPT: f64 = 5.0; // seconds
const MOST_IDS: usize = 4096;
/// Nodes and volumes that are remembered.
const NODES: usize = 1024;
const VOLUMES: usize = 1024;

/// What operators ask of a running host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Read the configuration again.
    Reload,
    /// End in order.
    End,
}

/// What the host holds, for logs and tests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    pub core: Counters,
    pub clients: ClientCounters,
    pub links: LinkCounters,
    pub refused: u64,
    pub client_connections: usize,
    pub node_connections: usize,
    pub open: (usize, usize, usize),
    pub nodes: usize,
    pub version: u64,
    /// Shards of which an earlier life's memory came back.
    pub known_again: usize,
}

struct Clock(std::time::Instant);

impl Clock {
    fn now(&self) -> Instant {
        Instant::from_secs(self.0.elapsed().as_secs_f64())
    }
}

pub struct Host {
    settings: Settings,
    core: Core,
    clock: Clock,
    poller: Poller,
    listener: Option<TcpListener>,
    clients: Clients,
    links: Links,
    watch: Watch,
    /// Whether changes of the list are asked for, call after call; and when the next call is due, where it has to wait.
    follows: bool,
    asked: Instant,
    ask_at: Option<Instant>,
    listed: bool,
    orders: HashMap<u32, (Order, UnixStream)>,
    /// The id of each open request, by its connection.
    open: HashMap<u32, (u32, String)>,
    ids: HashSet<String>,
    /// Ids of requests that were answered lately, the oldest first; they stand in `ids` too.
    used: VecDeque<(Instant, String)>,
    requests: u32,
    refused: u64,
    /// Connections whose next request may be there already.
    again: Vec<u32>,
    back: Vec<LegBack>,
    swept: Instant,
    ending: Option<Instant>,
    settled: bool,
    /// Those who keep what this host remembers, and whom it keeps it for.
    peers: Option<(UdpSocket, Keepers)>,
    known_again: usize,
}

impl Host {
    pub fn start(c: &Configuration) -> Result<Self, String> {
        let clock = Clock(std::time::Instant::now());
        let now = clock.now();
        let s = c.settings.clone();
        let split = Split::of(&c.limits);
        let poller = Poller::new().map_err(|e| format!("epoll: {e}"))?;
        let listener = TcpListener::bind(c.listen).map_err(|e| format!("listen: {}: {e}", c.listen))?;
        let ready =
            listener.set_nonblocking(true).and_then(|()| poller.add(&listener, Token::Listener, READ));
        ready.map_err(|e| format!("listen: {}: {e}", c.listen))?;
        let streams = s.streams.iter().map(|st| Stream {
            name: st.name.clone(),
            slo: st.slo,
            expiry: st.expiry,
            effect: st.effect,
            in_order: st.in_order,
            order_blocks: None,
        });
        let placed = PlacedSettings {
            streams: streams.collect(),
            tells: s.tells,
            longest_wait: s.longest_wait,
            grace: s.drain_grace,
            transfers: split.transfers,
            bytes: split.bytes,
            nodes: NODES,
            volumes: VOLUMES,
        };
        let core = Core::placed(now, s.scheduler(now, c.seed), placed, c.seed);
        let reports = Reports::of(&s);
        let peers = match &c.peers {
            None => None,
            Some((at, all)) => {
                let bound = UdpSocket::bind(at).and_then(|u| {
                    u.set_nonblocking(true)?;
                    poller.add(&u, Token::Peers, READ)?;
                    Ok(u)
                });
                let socket = bound.map_err(|e| format!("peer_listen: {at}: {e}"))?;
                Some((socket, Keepers::new(now, s.me as usize, all.clone())))
            }
        };
        let mut host = Host {
            core,
            clock,
            poller,
            listener: Some(listener),
            clients: Clients::new(split.clients, split.bytes, s.longest_wait),
            links: Links::new(split.links, s.connect_timeout, s.conn_idle, reports),
            watch: Watch::new(c.discovery),
            follows: false,
            asked: now - Span::from_secs(CALLS_APART),
            ask_at: None,
            listed: false,
            orders: HashMap::new(),
            open: HashMap::new(),
            ids: HashSet::new(),
            used: VecDeque::new(),
            requests: 0,
            refused: 0,
            again: Vec::new(),
            back: Vec::new(),
            swept: now,
            ending: None,
            settled: false,
            peers,
            known_again: 0,
            settings: s,
        };
        if let Some(known) = &c.known {
            host.list(now, ListKind::Saved, 0, known);
        }
        Ok(host)
    }

    /// Bytes on this stream are orders.
    pub fn takes_orders(&mut self, order: Order, from: UnixStream) -> std::io::Result<()> {
        let number = self.orders.len() as u32;
        from.set_nonblocking(true)?;
        self.poller.add(&from, Token::Signal(number), READ)?;
        self.orders.insert(number, (order, from));
        Ok(())
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.local_addr().ok())
    }

    pub fn status(&self) -> Status {
        Status {
            core: self.core.counters,
            clients: self.clients.counters,
            links: self.links.counters,
            refused: self.refused,
            client_connections: self.clients.len(),
            node_connections: self.links.len(),
            open: self.core.open(),
            nodes: self.core.nodes().entries().count(),
            version: self.core.list_version(),
            known_again: self.known_again,
        }
    }

    /// Runs until the host has ended. `reload` reads the configuration.
    pub fn run(&mut self, mut reload: impl FnMut() -> Result<Configuration, String>) {
        let mut ready = Vec::new();
        while !self.turn(&mut ready, &mut reload) {}
    }

    /// One turn; true: the host has ended.
    pub fn turn(
        &mut self,
        ready: &mut Vec<Ready>,
        reload: &mut impl FnMut() -> Result<Configuration, String>,
    ) -> bool {
        self.poller.wait(self.patience(), ready);
        for r in ready.iter() {
            let now = self.clock.now();
            match r.token {
                Token::List(number) => {
                    let news = self.watch.ready(&self.poller, number, *r, &self.settings);
                    self.news(now, news);
                }
                Token::Signal(number) => {
                    if let Some(order) = self.ordered(number) {
                        self.obey(now, order, reload);
                    }
                }
                Token::Link(id) => {
                    self.links.ready(now, &self.poller, id, *r, &mut self.back);
                    self.take_back(now);
                }
                Token::Client(id) => {
                    let said = self.clients.ready(now, &self.poller, id, *r);
                    self.said(now, id, said);
                }
                Token::Listener => self.accept(now),
                Token::Peers => self.hear(now),
            }
            self.carry_out();
        }
        let now = self.clock.now();
        // One more request of each, and no more in this turn: a client that sends many at once shares with the others.
        for id in std::mem::take(&mut self.again) {
            let said = self.clients.next_request(now, &self.poller, id);
            self.said(now, id, said);
        }
        if (now - self.swept).secs() >= SWEEP {
            self.swept = now;
            self.sweep(now);
        }
        self.core.tick(now);
        self.carry_out();
        self.ending.is_some() && self.has_ended()
    }

    fn patience(&self) -> Duration {
        if !self.again.is_empty() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let sweep = (self.swept - now).secs() + SWEEP;
        let wake = self.core.next_wake(now).map_or(SWEEP, |t| (t - now).secs());
        Duration::from_secs_f64(sweep.min(wake).max(0.0))
    }

    /// Datagrams of other hosts, a bounded number in a turn.
    fn hear(&mut self, now: Instant) {
        let Some((socket, k)) = &mut self.peers else { return };
        let mut bytes = [0; keepers::MOST + 1];
        for _ in 0..DATAGRAMS {
            let Ok((n, from)) = socket.recv_from(&mut bytes) else { break };
            for (to, answer) in k.heard(now, from, &bytes[..n]) {
                _ = socket.send_to(&answer, to);
            }
        }
        let back = k.take_back();
        if !back.is_empty() {
            tracing::info!(shards = back.len(), "what an earlier life saw of shards is known again");
        }
        self.known_again += back.len();
        for (shard, rate) in back {
            self.core.pace_known(now, shard, rate);
        }
    }

    fn sweep(&mut self, now: Instant) {
        if let Some((socket, k)) = &mut self.peers {
            for (to, bytes) in k.tick(now, || self.core.paces(now)) {
                _ = socket.send_to(&bytes, to);
            }
        }
        let late = self.watch.tick(now);
        self.news(now, late);
        if self.follows && !self.watch.is_calling() && self.ask_at.is_some_and(|t| t <= now) {
            self.ask(now);
        }
        self.links.tick(now, &mut self.back);
        self.take_back(now);
        for (id, open) in self.clients.tick(now, &self.poller) {
            self.gone(now, id, Some(open));
        }
        if let Some(since) = self.ending {
            let secs = (now - since).secs();
            let expiry = self.settings.streams.iter().map(|s| s.expiry.secs()).fold(0.0, f64::max);
            let killed = expiry.min(LONGEST_EXPIRY) + KILLED_AFTER;
            let alone = secs >= STILL_COMING && self.clients.len() == 0;
            if alone || secs >= killed - CLOSE_AHEAD {
                self.listener = None;
                self.clients.ending = true;
                self.clients.close_idle(now);
            }
            if secs >= killed - SETTLE_AHEAD && !self.settled {
                self.settled = true;
                self.core.settle(now);
            }
        }
    }

    /// All that was taken has its answer, and nobody comes any more.
    fn has_ended(&self) -> bool {
        let (commands, _, _) = self.core.open();
        self.listener.is_none() && commands == 0 && !self.clients.is_writing()
    }

    fn ordered(&mut self, number: u32) -> Option<Order> {
        let (order, from) = self.orders.get_mut(&number)?;
        let mut bytes = [0; 64];
        match from.read(&mut bytes) {
            Ok(n) if n > 0 => Some(*order),
            _ => None,
        }
    }

    fn obey(
        &mut self,
        now: Instant,
        order: Order,
        reload: &mut impl FnMut() -> Result<Configuration, String>,
    ) {
        match order {
            Order::End if self.ending.is_none() => {
                self.ending = Some(now);
                if let Some((socket, k)) = &mut self.peers {
                    for (to, bytes) in k.leave(self.core.paces(now)) {
                        _ = socket.send_to(&bytes, to);
                    }
                }
                tracing::info!(open = self.core.open().0, "host ends: answers what it has taken");
            }
            Order::End => {}
            Order::Reload => match reload() {
                Err(e) => tracing::error!("configuration not taken, the old one stays: {e}"),
                Ok(c) if c.discovery == self.watch.address() => {
                    tracing::info!("configuration read: nothing moves")
                }
                Ok(c) => {
                    let (calling, last) = self.watch.moved(c.discovery, &self.settings);
                    tracing::info!(list = %c.discovery, "configuration read: the node list moves");
                    if let Some(News::List(from, list)) = last {
                        self.list(now, kind(&list), from, &list);
                    }
                    if calling {
                        self.ask(now);
                    }
                }
            },
        }
    }

    fn accept(&mut self, now: Instant) {
        for _ in 0..ACCEPTS {
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.clients.accepted(now, &self.poller, stream),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {
                    // No descriptor is left although the split leaves some: one more gives way, or this would be tried
                    // without end.
                    self.clients.make_room(now);
                    return;
                }
            }
        }
    }

    fn said(&mut self, now: Instant, id: u32, said: Option<Said>) {
        match said {
            None => {}
            Some(Said::Gone(open)) => self.gone(now, id, open),
            Some(Said::Request(r)) => self.request(now, id, r),
        }
    }

    fn gone(&mut self, now: Instant, id: u32, open: Option<u32>) {
        if let Some(command) = open {
            self.forget(now, id);
            self.core.abort(now, CommandRef { session: id, command });
        }
    }

    /// A request is over. Its id stays used for a while: every request has a fresh one, and whoever comes with an old one
    /// would be taken by nodes for what they have already seen.
    fn forget(&mut self, now: Instant, id: u32) {
        if let Some((_, name)) = self.open.remove(&id) {
            self.used.push_back((now, name));
        }
        let old = |u: &mut (Instant, String)| (now - u.0).secs() > IDS_KEPT;
        while let Some((_, name)) = self.used.pop_front_if(old) {
            self.ids.remove(&name);
        }
        while self.used.len() > MOST_IDS {
            self.used.pop_front().map(|(_, name)| self.ids.remove(&name));
        }
    }

    fn request(&mut self, now: Instant, id: u32, r: Request) {
        if r.method == "GET" && r.target == "/health/ready" {
            let ready = self.ending.is_none() && self.is_ready();
            let (status, text) = if ready { (200, "ready") } else { (503, "not ready") };
            let said = self.clients.answer(now, &self.poller, id, status, text.as_bytes(), None);
            self.said(now, id, said);
            return self.may_have_more(id);
        }
        let call = match Call::of(r, &self.settings) {
            Ok(call) if self.ids.contains(&call.id) => {
                Err((409, "x-call-id: that of another request; expected a fresh one".to_owned()))
            }
            Ok(call) => Ok(call),
            Err(refusal) => Err((refusal.status, refusal.why)),
        };
        let call = match call {
            Ok(call) => call,
            Err((status, why)) => {
                self.refused += 1;
                tracing::debug!(status, why, "request refused");
                let said = self.clients.close_with(now, &self.poller, id, status, &why);
                return self.said(now, id, said);
            }
        };
        self.requests = self.requests.wrapping_add(1);
        self.clients.taken(now, id, self.requests);
        self.ids.insert(call.id.clone());
        self.open.insert(id, (self.requests, call.id));
        let placed = Placed {
            volume: call.volume,
            plan: call.plan,
            stream: call.stream,
            shard: call.shard,
            key: call.key,
            units: call.units,
            hosts: call.hosts,
            left: call.left,
            request: Opaque { head: call.head, body: call.body },
        };
        self.core.submit_placed(now, CommandRef { session: id, command: self.requests }, placed);
    }

    fn may_have_more(&mut self, id: u32) {
        if self.clients.has_more(id) {
            self.again.push(id);
        }
    }

    /// The list is known well enough to serve.
    fn is_ready(&self) -> bool {
        self.core.nodes().entries().any(|(_, e)| e.state == NodeState::Ready)
    }

    fn take_back(&mut self, now: Instant) {
        for back in std::mem::take(&mut self.back) {
            self.core.leg_back(now, back);
        }
    }

    /// Does what the core asks, until it asks for nothing.
    fn carry_out(&mut self) {
        loop {
            let now = self.clock.now();
            while let Some(output) = self.core.next_output(now) {
                self.output(now, output);
            }
            if let Some(leg) = self.links.next_waiting() {
                if !leg.ticket.is_withdrawn() {
                    let to = self.node_address(leg.node);
                    self.links.send(now, &self.poller, to, leg, &mut self.back);
                }
                continue;
            }
            if self.back.is_empty() {
                return;
            }
            self.take_back(now);
        }
    }

    fn node_address(&self, node: NodeId) -> Option<SocketAddr> {
        self.core.nodes().address(node).and_then(|a| a.parse().ok())
    }

    fn output(&mut self, now: Instant, output: Output) {
        match output {
            Output::Send(leg) => {
                let to = self.node_address(leg.node);
                self.links.send(now, &self.poller, to, *leg, &mut self.back);
            }
            Output::Cancel { leg, .. } | Output::Cut { leg, .. } => {
                self.links.give_up(leg);
                // Its connection is closed: nothing more comes of it, and it must not count as out until its time is up.
                if self.core.is_out(leg) {
                    let (outcome, data) = (Outcome::Cancelled, Bytes::new());
                    self.core.leg_back(now, LegBack { leg, outcome, waiting: None, elsewhere: None, data });
                }
            }
            Output::Answer { to, verdict } => {
                let id = to.session;
                self.forget(now, id);
                let (status, body, come_back) = match &verdict {
                    Verdict::Done { data } => (200, &data[..], None),
                    Verdict::Deferred { come_back } => (503, &b"deferred"[..], *come_back),
                    Verdict::Abandoned => (502, &b"abandoned"[..], None),
                };
                let said = self.clients.answer(now, &self.poller, id, status, body, come_back);
                self.said(now, id, said);
                self.may_have_more(id);
            }
            Output::FollowList { .. } | Output::FetchList => {
                self.follows = true;
                if !self.watch.is_calling() {
                    self.ask(now);
                }
            }
            Output::Mode { line, .. } => tracing::info!("{line}"),
            // Neither operators' orders nor fellows are taken in here.
            Output::Keep { .. } | Output::Reply { .. } | Output::Datagram { .. } => {}
        }
    }

    fn ask(&mut self, now: Instant) {
        // Against a list that answers at once without news: the calls still make one watch, and load it little.
        let due = self.asked + Span::from_secs(CALLS_APART);
        if due > now {
            return self.ask_at = Some(due);
        }
        (self.asked, self.ask_at) = (now, None);
        let after = self.listed.then(|| self.core.list_version());
        let failed = self.watch.ask(now, &self.poller, after).err();
        self.news(now, failed);
    }

    fn news(&mut self, now: Instant, news: Option<News>) {
        match news {
            None => {}
            Some(News::Failed(why)) => {
                tracing::debug!(why, "a call for the node list failed");
                self.follows = false;
                self.core.list_came(now, ListKind::Failed, 0, 0, &[]);
            }
            Some(News::List(from, list)) => {
                self.list(now, kind(&list), from, &list);
                if self.follows {
                    self.ask(now);
                }
            }
        }
    }

    fn list(&mut self, now: Instant, kind: ListKind, from: u64, list: &List) {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64();
        let entries = list.members.iter().map(|m| ListEntry {
            id: m.id.clone(),
            address: m.address.to_string(),
            state: m.state,
            zone: m.zone,
            shard: m.shard,
            // All machines of the platform read the same clock.
            start: m.up_since_ms.map(|ms| {
                let age = Age::Told(Span::from_secs(wall - ms as f64 / 1e3));
                Start { name: ms, age }
            }),
        });
        let entries: Vec<ListEntry> = entries.collect();
        self.core.list_came(now, kind, from, list.version, &entries);
        self.listed = true;
        let nodes = self.core.nodes();
        self.links.keep_where(|node, address| {
            let listed = nodes.entry(node).is_some_and(|e| e.state != NodeState::Gone);
            listed && nodes.address(node) == Some(&address.to_string())
        });
    }
}

fn kind(list: &List) -> ListKind {
    if list.complete {
        ListKind::Complete
    } else {
        ListKind::Changes
    }
}
