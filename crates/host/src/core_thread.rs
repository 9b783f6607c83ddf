//! The one thread that owns the host core. It gathers events, executes the core's outputs, and never waits for a peer: what can't be
//! handed on at once is reported to the core as failed.

mod events;
#[cfg(test)]
mod tests;

use crate::links::{LinkError, Links};
use crate::list::{saved, ToList};
use crate::messages::{Event, ToSession};
use crate::peers::Peers;
use crate::store_writer::ToStore;
use crate::thread::spawn;
use crate::{Clock, StartError};
use crossbeam_channel::{Receiver, Sender, TryRecvError, TrySendError};
use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::ops::ControlFlow;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tackmast::interface::{Instant, ListKind};
use tackmast_admin::Answer;
use tackmast_config::HostSettings;
use tackmast_host_core::{
    log_event, AttemptResult, CommandId, Core, Output, PersistBatch, PersistError, SendAttempt, Verdict,
};

/// Events that are handled before the outputs that they caused are executed.
const MAX_EVENTS_PER_ITERATION: usize = 256;
/// The longest wait for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How often the core is given the wall clock.
const WALL_CLOCK_INTERVAL: Duration = Duration::from_secs(1);

/// How the core's thread reaches a session.
struct SessionHandle {
    writer: Sender<ToSession>,
    connection: Arc<TcpStream>,
}

/// The core and what its thread reaches.
pub(crate) struct CoreThread {
    core: Core,
    settings: Arc<HostSettings>,
    clock: Clock,
    links: Links,
    list: Sender<ToList>,
    store: Option<Sender<ToStore>>,
    peers: Option<Peers>,
    is_leaving: bool,
    /// Who waits for the answer to an operator's call, by its number.
    admin_callers: HashMap<u64, Sender<Answer>>,
    last_admin_request: u64,
    wall_clock_given_at: std::time::Instant,
    sessions: HashMap<u32, SessionHandle>,
    /// The last reading of the clock.
    now: Instant,
    time_in_core: Duration,
}

/// Starts the thread; events of `urgent` are handled before others.
pub(crate) fn start(
    mut core_thread: CoreThread,
    urgent: Receiver<Event>,
    events: Receiver<Event>,
) -> Result<JoinHandle<()>, StartError> {
    // The core works on tables of any size, but its own use of the stack is small and bounded.
    spawn("core".into(), move || core_thread.run(&urgent, &events))
}

impl CoreThread {
    /// A core that has not run yet.
    pub(crate) fn new(
        core: Core,
        settings: Arc<HostSettings>,
        clock: Clock,
        links: Links,
        list: Sender<ToList>,
        store: Option<Sender<ToStore>>,
        peers: Option<Peers>,
    ) -> CoreThread {
        CoreThread {
            core,
            settings,
            clock,
            links,
            list,
            store,
            peers,
            is_leaving: false,
            admin_callers: HashMap::new(),
            last_admin_request: 0,
            wall_clock_given_at: std::time::Instant::now(),
            sessions: HashMap::new(),
            now: clock.now(),
            time_in_core: Duration::ZERO,
        }
    }

    fn run(&mut self, urgent: &Receiver<Event>, events: &Receiver<Event>) {
        self.load_saved_list();
        self.execute_outputs();
        loop {
            let first = self.wait_for_event(urgent, events);
            let started = std::time::Instant::now();
            if self.handle_events(first, urgent, events).is_break() {
                return;
            }
            self.read_clock();
            self.handle_wall_clock();
            self.core.handle_timeout(self.now);
            self.execute_outputs();
            self.time_in_core += started.elapsed();
        }
    }

    /// To be called once an event is taken from its queue, and before each decision. By an earlier reading, a host that is paused within an
    /// iteration and then continues would still believe that its lease is valid: it would report, and act on, plans that may have been
    /// replaced.
    fn read_clock(&mut self) {
        self.now = self.clock.now().max(self.now);
    }

    /// How long to wait for an event before the timers are run again.
    fn wait(&mut self) -> Duration {
        let timeout = self.core.poll_timeout(self.clock.now());
        timeout.map_or(MAX_WAIT, |at| self.clock.until(at)).min(MAX_WAIT)
    }

    /// The next event, an urgent one first; none: a timer is due.
    fn wait_for_event(&mut self, urgent: &Receiver<Event>, events: &Receiver<Event>) -> Option<Event> {
        crossbeam_channel::select_biased! {
            recv(urgent) -> event => event.ok(),
            recv(events) -> event => event.ok(),
            default(self.wait()) => None,
        }
    }

    /// Handles an event and those that wait behind it. Urgent ones come first: the list is among them. The core counts a drain and a node's
    /// age from when it handles the list. An earlier time, as when the bytes were read, would take its clock back; the delay makes a node
    /// look younger at most, and what is not sent yet is withdrawn from a draining node at once.
    fn handle_events(
        &mut self,
        first: Option<Event>,
        urgent: &Receiver<Event>,
        events: &Receiver<Event>,
    ) -> ControlFlow<()> {
        if let Some(event) = first {
            self.read_clock();
            self.handle_event(event)?;
        }
        for _ in 0..MAX_EVENTS_PER_ITERATION {
            match urgent.try_recv().or_else(|_| events.try_recv()) {
                Ok(event) => {
                    self.read_clock();
                    self.handle_event(event)?;
                }
                Err(TryRecvError::Empty) => break,
                Err(TryRecvError::Disconnected) => return ControlFlow::Break(()),
            }
        }
        ControlFlow::Continue(())
    }

    /// Gives the core the wall clock now and then, and removes the mark of an earlier leave once nothing that was lent then can be in use.
    fn handle_wall_clock(&mut self) {
        if self.wall_clock_given_at.elapsed() < WALL_CLOCK_INTERVAL {
            return;
        }
        self.wall_clock_given_at = std::time::Instant::now();
        self.core.handle_wall_clock(self.now, Clock::wall_us());
        let is_marked = !self.is_leaving && self.peers.as_ref().is_some_and(Peers::is_marked);
        if is_marked && self.core.have_earlier_leases_ended(self.now) {
            self.peers.iter_mut().for_each(Peers::unmark);
        }
    }

    /// Gives the core the list that an earlier process of this host saved, which may be out of date.
    fn load_saved_list(&mut self) {
        let Some(path) = &self.settings.host.saved_list else { return };
        match saved::load(path) {
            Ok(entries) => self.core.handle_endpoint_list(self.now, ListKind::Saved, 0, 0, &entries),
            Err(error) => tracing::warn!(%error, "saved node list not used"),
        }
    }

    /// The core decides within `poll_output`, so the clock is read before each.
    fn poll_output(&mut self) -> Option<Output> {
        self.read_clock();
        self.core.poll_output(self.now)
    }

    fn execute_outputs(&mut self) {
        while let Some(output) = self.poll_output() {
            match output {
                Output::Send(attempt) => self.send(attempt),
                Output::Cancel { node, attempt } => self.links.cancel(node, attempt),
                Output::Cut { node, attempt } => self.links.cut(node, attempt),
                Output::Answer { to, verdict } => self.answer(to, verdict),
                Output::WatchEndpointList { since } => self.call_list(ToList::Follow { since }),
                Output::FetchEndpointList => self.call_list(ToList::Fetch),
                Output::Persist { request, batch } => self.persist(request, batch),
                Output::AdminResponse { request, response } => {
                    if let Some(answer_to) = self.admin_callers.remove(&request) {
                        _ = answer_to.try_send(Answer::AdminResponse(Box::new(response)));
                    }
                }
                Output::Datagram { to, bytes } => {
                    if let Some(peers) = &self.peers {
                        peers.send(to, &bytes);
                    }
                }
                Output::Event(event) => {
                    log_event(Some(self.settings.host.number), self.core.nodes(), &event);
                }
            }
        }
    }

    /// Hands an attempt to its node's link. If the link does not take it, the attempt was never sent.
    fn send(&mut self, send: Box<SendAttempt>) {
        let (node, attempt) = (send.node, send.attempt);
        let sent = match self.core.nodes().address(node).map(str::to_owned) {
            Some(address) => self.links.send(node, &address, send),
            None => Err(LinkError::UnknownAddress),
        };
        if let Err(error) = sent {
            tracing::debug!(node = node.0, %error, "attempt not handed to a link of the node");
            let result = AttemptResult::unanswered(attempt, error.outcome());
            self.core.handle_attempt_result(self.now, result);
        }
    }

    /// Hands a call to the list's thread. A call that finds the queue full has failed, and the core asks again after its backoff: else a
    /// change of the list could stay unknown for good.
    fn call_list(&mut self, call: ToList) {
        if self.list.try_send(call).is_err() {
            self.core.handle_endpoint_list(self.now, ListKind::Failed, 0, 0, &[]);
        }
    }

    /// Hands an answer to its session. The queue holds every answer that the session's window allows, so a client with a full queue
    /// has broken its window.
    fn answer(&self, to: CommandId, verdict: Verdict) {
        let Some(session) = self.sessions.get(&to.session) else { return };
        let sent = session.writer.try_send(ToSession::Answer { command: to.command, verdict });
        if let Err(TrySendError::Full(_)) = sent {
            tracing::warn!(session = to.session, "more answers than the window allows: session closed");
            _ = session.connection.shutdown(Shutdown::Both);
        }
    }

    fn persist(&mut self, request: u64, batch: PersistBatch) {
        let message = ToStore::Persist { request, batch };
        let sent = self.store.as_ref().map(|store| store.try_send(message).is_ok());
        if sent != Some(true) {
            let reason = "the store takes no more writes".to_owned();
            self.core.handle_persisted(self.now, request, Err(PersistError(reason)));
        }
    }
}
