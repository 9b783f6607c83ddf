//! The reader of a session: parses bytes of the client into commands for the core.

use super::shared::SharedSession;
use super::SessionServer;
use crate::messages::{Event, SessionMessage};
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::ops::ControlFlow;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_host_core::{CommandId, Work};
use tackmast_target as target;

/// Maximum number of bytes in one read.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Identifies a session in events and logs.
pub(super) struct SessionInfo {
    pub(super) session: u32,
    /// The client's address.
    pub(super) client: String,
}

/// The reading half of a session.
pub(super) struct SessionReader<'a> {
    server: &'a SessionServer,
    shared: &'a SharedSession,
    writer: &'a Sender<SessionMessage>,
    info: SessionInfo,
    /// When the first bytes of each write were received whose data is still incomplete, by command number.
    first_bytes_at: HashMap<u32, Instant>,
    is_logged_in: bool,
}

impl<'a> SessionReader<'a> {
    pub(super) fn new(
        server: &'a SessionServer,
        shared: &'a SharedSession,
        writer: &'a Sender<SessionMessage>,
        info: SessionInfo,
    ) -> Self {
        SessionReader { server, shared, writer, info, first_bytes_at: HashMap::new(), is_logged_in: false }
    }

    /// Reads until the session ends.
    pub(super) fn run(&mut self, stream: &mut TcpStream) {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let length = match stream.read(&mut buffer) {
                Ok(0) => return,
                Ok(length) => length,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    let login_ms = self.server.settings.bounds.login_ms;
                    return tracing::warn!(
                        client = self.info.client,
                        login_ms,
                        "no login in time: session closed"
                    );
                }
                Err(_) => return,
            };
            if self.handle_bytes(stream, &buffer[..length]).is_break() {
                return;
            }
        }
    }

    /// Handles received bytes. After each pause, handles the rest of the bytes that were received before it; they hold commands that the
    /// client has sent already.
    fn handle_bytes(&mut self, stream: &TcpStream, bytes: &[u8]) -> ControlFlow<()> {
        let mut received = bytes;
        loop {
            self.handle_input(stream, received)?;
            if !self.shared.wait_for_capacity() {
                return ControlFlow::Continue(());
            }
            received = &[];
        }
    }

    fn handle_input(&mut self, stream: &TcpStream, bytes: &[u8]) -> ControlFlow<()> {
        let now = self.server.clock.now();
        let mut session = self.shared.lock();
        let handled = session.handle_bytes(bytes);
        let mut events = Vec::new();
        while let Some(event) = session.poll_event() {
            events.push(event);
        }
        let has_output = session.pending_output() > 0;
        let (is_logged_in, is_over) = (session.is_logged_in(), session.is_over());
        drop(session);
        if is_logged_in && !self.is_logged_in {
            self.is_logged_in = true;
            _ = stream.set_read_timeout(None);
        }
        for event in events {
            self.handle_event(now, event)?;
        }
        if has_output {
            self.shared.wake_writer(self.writer);
        }
        if let Err(error) = handled {
            let SessionInfo { session, client } = &self.info;
            tracing::warn!(client, session, %error, "client broke the protocol: session closed");
            return ControlFlow::Break(());
        }
        match is_over {
            true => ControlFlow::Break(()),
            false => ControlFlow::Continue(()),
        }
    }

    /// Sends an event of the session to the core thread. Returns `Break` if the host has stopped.
    fn handle_event(&mut self, now: Instant, event: target::Event) -> ControlFlow<()> {
        let SessionInfo { session, client } = &self.info;
        let session = *session;
        let event = match event {
            target::Event::Begun { command } => {
                self.first_bytes_at.insert(command, now);
                return ControlFlow::Continue(());
            }
            target::Event::Submit { command, lun, block, work, deadline_ms } => Event::Submit {
                from: CommandId { session, command },
                lun,
                block,
                work: host_work(work),
                received_at: self.first_bytes_at.remove(&command).unwrap_or(now),
                timeout: deadline_ms.map(|millis| TimeDelta::from_secs(f64::from(millis) / 1e3)),
            },
            target::Event::Abort { command } => {
                self.first_bytes_at.remove(&command);
                Event::Abort { from: CommandId { session, command } }
            }
            target::Event::Close(ending) => {
                tracing::debug!(client, session, ?ending, "session ends");
                return ControlFlow::Continue(());
            }
            target::Event::Note(note) => {
                tracing::warn!(client, session, %note, "client did what it should not");
                return ControlFlow::Continue(());
            }
        };
        match self.server.events.send(event) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }
}

fn host_work(work: target::Work) -> Work {
    match work {
        target::Work::Read { blocks } => Work::Read { blocks },
        target::Work::Write { data } => Work::Write { data },
    }
}
