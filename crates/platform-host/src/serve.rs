//! The loop. What it does with clients' requests, attempts at nodes, the node list and its own end stands in rooms of its own.

mod attempts;
mod end;
mod listed;
mod requests;

use crate::clients::{ClientCounters, Clients, Said};
use crate::ending::{Ending, Step};
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
use tackmast::interface::{Instant, ListKind, NodeId, NodeState, Outcome, TimeDelta};
use tackmast_config::TrafficClass;
use tackmast_host_core::{
    Age, AttemptResult, CommandRef, Core, Counters, ListEntry, Output, Placed, PlacedSettings,
};
use tackmast_host_core::{Request as Opaque, SendAttempt, Start, Verdict};
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
/// For how long the id of a request that is over is known, and how many.
const IDS_KEPT: f64 = 5.0; // seconds
const MAX_IDS: usize = 4096;
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
    /// Not told to end yet; and where it takes connections.
    pub serves: bool,
    pub listens: Option<SocketAddr>,
    pub nodes: usize,
    pub version: u64,
    /// Shards of which an earlier generation's memory came back.
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
    /// The list has been asked, with whatever success.
    heard: bool,
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
    back: Vec<AttemptResult>,
    swept: Instant,
    /// Since when it is told to end, by which steps, and how far it is.
    ending: Option<Instant>,
    ends: Ending,
    step: Step,
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
        let traffic_classes = s.traffic_classes.iter().map(|st| TrafficClass {
            name: st.name.clone(),
            latency_objective: st.latency_objective,
            deadline: st.deadline,
            effect: st.effect,
            in_order: st.in_order,
            order_blocks: None,
        });
        let placed = PlacedSettings {
            traffic_classes: traffic_classes.collect(),
            tells: s.tells,
            longest_wait: s.longest_wait,
            grace: s.drain_grace,
            requests: split.requests,
            bytes: split.bytes,
            nodes: NODES,
            volumes: VOLUMES,
        };
        let mut scheduler = s.scheduler(now, c.seed);
        // Also where lists are pushed: what the platform's agent has is had by asking, from the first moment on.
        scheduler.subscribe_to_node_list();
        let core = Core::placed(now, scheduler, placed, c.seed);
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
            asked: now - TimeDelta::from_secs(CALLS_APART),
            ask_at: None,
            listed: false,
            heard: false,
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
            ends: Ending::new(
                s.traffic_classes.iter().map(|st| st.deadline).max().unwrap_or(TimeDelta::ZERO),
            ),
            step: Step::Serves,
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
            serves: self.ending.is_none(),
            listens: self.address(),
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
            self.event(*r, reload);
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

    fn event(&mut self, r: Ready, reload: &mut impl FnMut() -> Result<Configuration, String>) {
        let now = self.clock.now();
        match r.token {
            Token::List(number) => {
                let news = self.watch.ready(now, &self.poller, number, r, &self.settings);
                self.news(now, news);
            }
            Token::Signal(number) => {
                if let Some(order) = self.ordered(number) {
                    self.obey(now, order, reload);
                }
            }
            Token::Link(id) => {
                // It comes up: its request must still be wanted.
                if let Some(client) = self.links.waits_for(id) {
                    self.look_for(now, client);
                }
                self.links.ready(now, &self.poller, id, r, &mut self.back);
                self.take_back(now);
            }
            Token::Client(id) => {
                let said = self.clients.ready(now, &self.poller, id, r);
                self.said(now, id, said);
            }
            Token::Listener => self.accept(now),
            Token::Peers => self.hear(now),
        }
        self.carry_out();
    }

    fn patience(&self) -> Duration {
        if !self.again.is_empty() {
            return Duration::ZERO;
        }
        let now = self.clock.now();
        let sweep = (self.swept - now).secs() + SWEEP;
        let wakes = [self.core.next_wake(now), self.links.next_rested()];
        let wake = wakes.into_iter().flatten().min().map_or(SWEEP, |t| (t - now).secs());
        Duration::from_secs_f64(sweep.min(wake).max(0.0))
    }

    /// Datagrams of other hosts, a bounded number in a turn.
    fn hear(&mut self, now: Instant) {
        let Some((socket, k)) = &mut self.peers else { return };
        let mut bytes = [0; keepers::MAX + 1];
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
        let late = self.watch.tick(now, &self.settings);
        self.news(now, late);
        if self.follows && !self.watch.is_calling() && self.ask_at.is_some_and(|t| t <= now) {
            self.ask(now);
        }
        self.links.tick(now, &mut self.back);
        self.take_back(now);
        for (id, open) in self.clients.tick(now, &self.poller) {
            self.gone(now, id, Some(open));
        }
        self.end_step(now);
    }
}

#[cfg(test)]
mod tests;
