//! The one thread that owns the host core. It takes events, carries the core's outputs out, and never waits for
//! a peer: what can't be handed on at once comes back to the core as what it is.

use crate::admin::ToStore;
use crate::links::Links;
use crate::list::ToList;
use crate::peers::Peers;
use crate::sessions::ToSession;
use crate::{Clock, StartError};
use bytes::Bytes;
use crossbeam_channel::{Receiver, Sender, TryRecvError, TrySendError};
use std::collections::HashMap;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tackmast::interface::{Instant, ListKind, NodeId, NodeState, Outcome, TimeDelta};
use tackmast_admin::Answer;
use tackmast_config::HostSettings;
use tackmast_host_core::{
    log_event, AdminRequest, Age, AttemptResult, ClientCommand, CommandRef, Core, Counters, ListEntry,
    OpenCounts, Output, PersistError, Work,
};

/// Events taken before the outputs they caused are carried out.
const BATCH: usize = 256;
const IDLE: Duration = Duration::from_secs(1);

pub enum Event {
    SessionOpen {
        session: u32,
        to: Sender<ToSession>,
        close: Arc<std::net::TcpStream>,
    },
    Submit {
        from: CommandRef,
        lun: u32,
        block: u64,
        work: Work,
        began: Instant,
        asked: Option<TimeDelta>,
    },
    Abort {
        from: CommandRef,
    },
    SessionGone {
        session: u32,
    },
    AttemptResult(AttemptResult),
    NodeUp {
        node: NodeId,
        up: TimeDelta,
        /// Told once the core knows.
        heard: Sender<()>,
    },
    /// `at` is when the list's bytes were read.
    List {
        at: Instant,
        kind: ListKind,
        from: u64,
        to: u64,
        entries: Vec<ListEntry>,
    },
    Status(Sender<Status>),
    Admin {
        ask: AdminRequest,
        to: Sender<Answer>,
    },
    /// From another host.
    Datagram {
        from: std::net::SocketAddr,
        bytes: Bytes,
    },
    /// Lends what it has to others, and says goodbye.
    Leave,
    Left,
    /// Takes nothing new from here on, or answers what is open now.
    Drain,
    Settle,
    /// What became of a write.
    Kept {
        request: u64,
        result: Result<(), PersistError>,
    },
    Stop,
}

/// What a host tells of itself.
#[derive(Clone, Debug, Default)]
pub struct Status {
    pub counters: Counters,
    pub sessions: usize,
    pub commands: usize,
    pub requests: usize,
    pub attempts: usize,
    pub nodes: Vec<(String, NodeState)>,
    /// Seconds that the core's thread has spent in the core, and in the decision module's part of it.
    pub core_seconds: f64,
}

struct Loop {
    core: Core,
    settings: Arc<HostSettings>,
    clock: Clock,
    links: Links,
    list: Sender<ToList>,
    store: Option<Sender<ToStore>>,
    peers: Option<Peers>,
    leaving: bool,
    /// Who waits for an answer to which ask.
    asks: HashMap<u64, Sender<Answer>>,
    next_ask: u64,
    wall_at: std::time::Instant,
    sessions: HashMap<u32, (Sender<ToSession>, Arc<std::net::TcpStream>)>,
    last: Instant,
    busy: Duration,
}

#[allow(clippy::too_many_arguments)] // what the thread owns, one by one
pub fn start(
    core: Core,
    settings: Arc<HostSettings>,
    clock: Clock,
    urgent: Receiver<Event>,
    events: Receiver<Event>,
    links: Links,
    list: Sender<ToList>,
    store: Option<Sender<ToStore>>,
    peers: Option<Peers>,
) -> Result<JoinHandle<()>, StartError> {
    let mut l = Loop {
        core,
        settings,
        clock,
        links,
        list,
        store,
        peers,
        leaving: false,
        asks: HashMap::new(),
        next_ask: 0,
        wall_at: std::time::Instant::now(),
        sessions: HashMap::new(),
        last: clock.now(),
        busy: Duration::ZERO,
    };
    // The core works on tables of any size, but its own stack use is small and bounded.
    crate::thread("core".into(), move || l.run(&urgent, &events))
}

impl Loop {
    fn run(&mut self, urgent: &Receiver<Event>, events: &Receiver<Event>) {
        self.saved();
        self.outputs();
        loop {
            let wait =
                self.core.poll_timeout(self.clock.now()).map_or(IDLE, |t| self.clock.until(t)).min(IDLE);
            let first = crossbeam_channel::select! {
                recv(urgent) -> e => e.ok(),
                recv(events) -> e => e.ok(),
                default(wait) => None,
            };
            let started = std::time::Instant::now();
            self.last = self.clock.now().max(self.last);
            if let Some(e) = first {
                if !self.event(e) {
                    return;
                }
            }
            for _ in 0..BATCH {
                // A list is looked at before all else: a drain counts from when its bytes were read.
                let next = urgent.try_recv().or_else(|_| events.try_recv());
                match next {
                    Ok(e) => {
                        if !self.event(e) {
                            return;
                        }
                    }
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
            if self.wall_at.elapsed() >= IDLE {
                self.wall_at = std::time::Instant::now();
                self.core.handle_wall_clock(self.last, Clock::wall_us());
                let marked = !self.leaving && self.peers.as_ref().is_some_and(Peers::is_marked);
                if marked && self.core.have_earlier_leases_ended(self.last) {
                    self.peers.iter_mut().for_each(Peers::unmark);
                }
            }
            self.core.handle_timeout(self.last);
            self.outputs();
            self.busy += started.elapsed();
        }
    }

    /// The list that an earlier generation of this host saved, perhaps out of date.
    fn saved(&mut self) {
        let Some(path) = &self.settings.host.saved_list else { return };
        match crate::list::load(path) {
            Ok(entries) => self.core.handle_endpoint_list(self.last, ListKind::Saved, 0, 0, &entries),
            Err(e) => tracing::warn!("saved list: {e}"),
        }
    }

    /// False: stop.
    fn event(&mut self, e: Event) -> bool {
        let now = self.last;
        match e {
            Event::SessionOpen { session, to, close } => _ = self.sessions.insert(session, (to, close)),
            Event::Submit { from, lun, block, work, began, asked } => self.core.handle_command(
                now,
                ClientCommand {
                    from,
                    lun,
                    block,
                    work,
                    received_at: began,
                    timeout: asked,
                    idempotency_key: None,
                },
            ),
            Event::Abort { from } => self.core.handle_abort(now, from),
            Event::SessionGone { session } => {
                self.sessions.remove(&session);
                self.core.handle_session_closed(now, session);
            }
            Event::AttemptResult(back) => self.core.handle_attempt_result(now, back),
            Event::NodeUp { node, up, heard } => {
                self.core.handle_node_uptime(now, node, up);
                _ = heard.try_send(());
            }
            Event::List { at, kind, from, to, entries } => {
                self.core.handle_endpoint_list(at.max(now), kind, from, to, &entries);
                let gone = |core: &Core, n: NodeId| {
                    let state = core.nodes().entries().find(|(_, e)| e.node == n).map(|(_, e)| e.state);
                    state == Some(NodeState::Gone) && !core.has_attempts_at(n)
                };
                let core = &self.core;
                self.links.drop_where(|n| gone(core, n));
                if kind != ListKind::Failed && self.settings.host.saved_list.is_some() {
                    let all = self.core.nodes().entries().filter(|(_, e)| e.state != NodeState::Gone);
                    let keep = all.map(|(address, e)| ListEntry {
                        id: address.to_owned(),
                        address: address.to_owned(),
                        state: e.state,
                        zone: e.zone,
                        shard: e.shard,
                        start: crate::list::start_of(
                            self.core.nodes().start_id(e.node),
                            Age::ByHostClock(TimeDelta::ZERO),
                        ),
                    });
                    _ = self.list.try_send(ToList::Save(keep.collect()));
                }
            }
            Event::Status(to) => {
                let OpenCounts { commands, requests, attempts } = self.core.open_counts();
                let nodes = self.core.nodes().entries().map(|(a, e)| (a.to_owned(), e.state)).collect();
                let status = Status {
                    counters: self.core.counters,
                    sessions: self.sessions.len(),
                    commands,
                    requests,
                    attempts,
                    nodes,
                    core_seconds: self.busy.as_secs_f64(),
                };
                _ = to.try_send(status);
            }
            Event::Admin { ask, to } => {
                self.next_ask += 1;
                self.asks.insert(self.next_ask, to);
                self.core.handle_admin_request(now, self.next_ask, ask);
            }
            Event::Datagram { from, bytes } => self.core.handle_datagram(now, from, bytes),
            Event::Leave => {
                self.leaving = true;
                // The mark first: what is lent without it could be used twice by the next generation.
                if self.peers.as_mut().is_some_and(Peers::mark_leave) {
                    self.core.begin_leave(now);
                }
            }
            Event::Left => self.core.announce_leave(now),
            Event::Drain => self.core.drain(),
            Event::Settle => self.core.close_open_commands(now),
            Event::Kept { request, result } => self.core.handle_persisted(now, request, result),
            Event::Stop => {
                for (_, close) in self.sessions.values() {
                    _ = close.shutdown(std::net::Shutdown::Both);
                }
                return false;
            }
        }
        true
    }

    fn outputs(&mut self) {
        let now = self.last;
        while let Some(o) = self.core.poll_output(now) {
            match o {
                Output::Send(attempt) => {
                    let (node, id) = (attempt.node, attempt.attempt);
                    let address = self.core.nodes().address(node).map(str::to_owned);
                    let sent = address.is_some_and(|a| self.links.send(node, &a, attempt));
                    if !sent {
                        // The link's queue is full: the attempt never left.
                        let (waiting, elsewhere, data) = (None, None, Bytes::new());
                        let back = AttemptResult {
                            attempt: id,
                            outcome: Outcome::Refused,
                            waiting,
                            elsewhere,
                            data,
                        };
                        self.core.handle_attempt_result(now, back);
                    }
                }
                Output::Cancel { node, attempt } => self.links.cancel(node, attempt),
                Output::Cut { node, attempt } => self.links.cut(node, attempt),
                Output::Answer { to, verdict } => {
                    let Some((sender, close)) = self.sessions.get(&to.session) else { continue };
                    let full = sender.try_send(ToSession::Answer { command: to.command, verdict });
                    if let Err(TrySendError::Full(_)) = full {
                        // It has room for all that its window allows, so its client broke the window.
                        tracing::warn!(session = to.session, "answers pile up; the session is closed");
                        _ = close.shutdown(std::net::Shutdown::Both);
                    }
                }
                Output::FollowList { since } => _ = self.list.try_send(ToList::Follow { since }),
                Output::FetchList => _ = self.list.try_send(ToList::Fetch),
                Output::Persist { request, batch } => {
                    let sent =
                        self.store.as_ref().map(|s| s.try_send(ToStore::Persist { request, batch }).is_ok());
                    if sent != Some(true) {
                        let why = "the store takes no more writes".to_owned();
                        self.core.handle_persisted(now, request, Err(PersistError(why)));
                    }
                }
                Output::AdminResponse { request, response } => {
                    if let Some(to) = self.asks.remove(&request) {
                        _ = to.try_send(Answer::AdminResponse(Box::new(response)));
                    }
                }
                Output::Datagram { to, bytes } => {
                    if let Some(p) = &self.peers {
                        p.send(to, &bytes);
                    }
                }
                Output::Event(event) => {
                    log_event(Some(self.settings.host.number), self.core.nodes(), &event);
                }
            }
        }
    }
}
