//! The thread that owns the host core. It handles events, executes the core's outputs, and never blocks on another thread: an output
//! that can't be queued at once is reported to the core as failed.

mod events;
#[cfg(test)]
mod tests;

use crate::links::{LinkError, Links};
use crate::list::{saved, ListCommand};
use crate::messages::{Event, SessionMessage};
use crate::peers::Peers;
use crate::store_writer::StoreRequest;
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

/// Maximum number of queued events to handle before the outputs that they caused are executed.
const MAX_EVENTS_PER_ITERATION: usize = 256;
/// Maximum time to wait for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How often the wall time is passed to the core.
const WALL_CLOCK_INTERVAL: Duration = Duration::from_secs(1);

/// The core thread's handles to a session.
struct SessionHandle {
    writer: Sender<SessionMessage>,
    connection: Arc<TcpStream>,
}

/// The core, and the handles that its thread needs to execute outputs.
pub(crate) struct CoreThread {
    core: Core,
    settings: Arc<HostSettings>,
    clock: Clock,
    links: Links,
    list: Sender<ListCommand>,
    store: Option<Sender<StoreRequest>>,
    peers: Option<Peers>,
    is_leaving: bool,
    /// Receivers of the answers to operators' calls, by request number.
    admin_callers: HashMap<u64, Sender<Answer>>,
    last_admin_request: u64,
    wall_clock_updated_at: std::time::Instant,
    sessions: HashMap<u32, SessionHandle>,
    /// The last reading of the clock; never goes back.
    now: Instant,
    time_in_core: Duration,
}

/// Starts the core thread. Events in `urgent` are handled before those in `events`.
pub(crate) fn start(
    mut core_thread: CoreThread,
    urgent: Receiver<Event>,
    events: Receiver<Event>,
) -> Result<JoinHandle<()>, StartError> {
    // The small stack suffices: the core's tables are on the heap, and its stack use is bounded.
    spawn("core".into(), move || core_thread.run(&urgent, &events))
}

impl CoreThread {
    /// Returns the state of a core thread that has not been started.
    pub(crate) fn new(
        core: Core,
        settings: Arc<HostSettings>,
        clock: Clock,
        links: Links,
        list: Sender<ListCommand>,
        store: Option<Sender<StoreRequest>>,
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
            wall_clock_updated_at: std::time::Instant::now(),
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

    /// Updates `now`. Must be called after an event is taken from its queue, and before each decision. With an older reading, a process
    /// that was suspended within an iteration would still treat its lease as valid after it resumes: it would report, and act on, plans
    /// that may have been replaced.
    fn read_clock(&mut self) {
        self.now = self.clock.now().max(self.now);
    }

    /// Returns how long to wait for an event before timers are handled again.
    fn wait(&mut self) -> Duration {
        let timeout = self.core.poll_timeout(self.clock.now());
        timeout.map_or(MAX_WAIT, |at| self.clock.until(at)).min(MAX_WAIT)
    }

    /// Returns the next event, urgent ones first; `None` if the wait timed out.
    fn wait_for_event(&mut self, urgent: &Receiver<Event>, events: &Receiver<Event>) -> Option<Event> {
        crossbeam_channel::select_biased! {
            recv(urgent) -> event => event.ok(),
            recv(events) -> event => event.ok(),
            default(self.wait()) => None,
        }
    }

    /// Handles `first` and the queued events, urgent ones first; updates of the endpoint list are urgent. The core counts a node's drain
    /// and age from the time at which it handles the update. The time at which the bytes were read is not used, since it would set the
    /// core's clock back. The delay is harmless: at most a node looks younger, and attempts not yet sent to a draining node are withdrawn
    /// as soon as the update is handled.
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

    /// Passes the wall time to the core every `WALL_CLOCK_INTERVAL`, and removes the mark of an earlier leave once the leases of the quota
    /// that was lent at that leave have ended.
    fn handle_wall_clock(&mut self) {
        if self.wall_clock_updated_at.elapsed() < WALL_CLOCK_INTERVAL {
            return;
        }
        self.wall_clock_updated_at = std::time::Instant::now();
        self.core.handle_wall_clock(self.now, Clock::wall_us());
        let is_leave_marked = !self.is_leaving && self.peers.as_ref().is_some_and(Peers::is_leave_marked);
        if is_leave_marked && self.core.have_earlier_leases_ended(self.now) {
            self.peers.iter_mut().for_each(Peers::remove_leave_mark);
        }
    }

    /// Passes the endpoint list that an earlier process of this host saved to the core; it may be out of date.
    fn load_saved_list(&mut self) {
        let Some(path) = &self.settings.host.saved_list else { return };
        match saved::load(path) {
            Ok(entries) => self.core.handle_endpoint_list(self.now, ListKind::Saved, 0, 0, &entries),
            Err(error) => tracing::warn!(%error, "saved node list not used"),
        }
    }

    /// Returns the core's next output. The core makes decisions in `poll_output`, so the clock is read before each call.
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
                Output::WatchEndpointList { since } => self.send_list_command(ListCommand::Follow { since }),
                Output::FetchEndpointList => self.send_list_command(ListCommand::Fetch),
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

    /// Queues an attempt on a link to its node. If that fails, the attempt was never sent, and its end is reported to the core.
    fn send(&mut self, send: Box<SendAttempt>) {
        let (node, attempt) = (send.node, send.attempt);
        let sent = match self.core.nodes().address(node).map(str::to_owned) {
            Some(address) => self.links.send(node, &address, send),
            None => Err(LinkError::UnknownAddress),
        };
        if let Err(error) = sent {
            tracing::debug!(node = node.0, %error, "attempt not queued on a link to the node");
            let result = AttemptResult::unanswered(attempt, error.outcome());
            self.core.handle_attempt_result(self.now, result);
        }
    }

    /// Queues a command for the thread of the endpoint list. If the queue is full, the call is reported as failed, so that the core
    /// repeats it after its backoff; otherwise a change of the list could be missed permanently.
    fn send_list_command(&mut self, call: ListCommand) {
        if self.list.try_send(call).is_err() {
            self.core.handle_endpoint_list(self.now, ListKind::Failed, 0, 0, &[]);
        }
    }

    /// Queues an answer for the writer of its session. The queue has room for all answers that the session's window allows, so a full
    /// queue means that the client has exceeded its window; the session is closed.
    fn answer(&self, to: CommandId, verdict: Verdict) {
        let Some(session) = self.sessions.get(&to.session) else { return };
        let sent = session.writer.try_send(SessionMessage::Answer { command: to.command, verdict });
        if let Err(TrySendError::Full(_)) = sent {
            tracing::warn!(session = to.session, "more answers than the window allows: session closed");
            _ = session.connection.shutdown(Shutdown::Both);
        }
    }

    fn persist(&mut self, request: u64, batch: PersistBatch) {
        let message = StoreRequest::Persist { request, batch };
        let sent = self.store.as_ref().map(|store| store.try_send(message).is_ok());
        if sent != Some(true) {
            let reason = "the store takes no more writes".to_owned();
            self.core.handle_persisted(self.now, request, Err(PersistError(reason)));
        }
    }
}
