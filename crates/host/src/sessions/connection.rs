//! Setup, run and end of one session.

use super::reader::{SessionInfo, SessionReader};
use super::shared::SharedSession;
use super::writer::write_until_end;
use super::{Protocol, SessionServer, REFUSED_SESSION};
use crate::messages::{Event, SessionMessage};
use crate::thread::spawn;
use crossbeam_channel::Sender;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use tackmast_target::{AnySession, IscsiSession, NbdSession};

/// Capacity of a writer's queue for each command that a client can have open.
const QUEUED_ANSWERS_PER_COMMAND: usize = 3;
/// Capacity of a writer's queue for messages that don't answer commands of the window.
const EXTRA_QUEUED_MESSAGES: usize = 16;

/// Handles to a session's socket: for its reader, for its writer, and for the core thread to close it.
struct SocketHandles {
    reading: TcpStream,
    writing: TcpStream,
    closing: TcpStream,
}

impl SessionServer {
    /// Serves a connection until it ends.
    pub(super) fn serve(&self, stream: TcpStream, number: u16, protocol: Protocol) {
        let client = stream.peer_addr().map_or("unknown".to_owned(), |address| address.to_string());
        let SocketHandles { mut reading, writing, closing } = match self.prepare(stream) {
            Ok(handles) => handles,
            Err(error) => return tracing::warn!(client, %error, "socket of a session not set up"),
        };
        let shared = Arc::new(SharedSession::new(self.new_session(number, protocol, &client)));
        let queue_length =
            QUEUED_ANSWERS_PER_COMMAND * self.settings.bounds.window as usize + EXTRA_QUEUED_MESSAGES;
        let (to_writer, queued) = crossbeam_channel::bounded(queue_length);
        let writer_shared = shared.clone();
        let run_writer = move || write_until_end(&writer_shared, writing, &queued);
        let writer = match spawn(format!("answers {number}"), run_writer) {
            Ok(writer) => writer,
            Err(error) => return tracing::warn!(client, %error, "writer of a session not started"),
        };
        if !self.report_open(number, &to_writer, closing) {
            return;
        }
        // In NBD the server sends the first bytes.
        shared.wake_writer(&to_writer);
        let info = SessionInfo { session: u32::from(number), client };
        SessionReader::new(self, &shared, &to_writer, info).run(&mut reading);
        shared.wake_writer(&to_writer);
        shared.on_reader_ended();
        if number != REFUSED_SESSION {
            _ = self.events.send(Event::SessionClosed { session: u32::from(number) });
        }
        // The writer ends once the last sender is dropped and all queued messages are written.
        drop(to_writer);
        _ = writer.join();
        _ = reading.shutdown(Shutdown::Both);
    }

    fn prepare(&self, stream: TcpStream) -> io::Result<SocketHandles> {
        let bounds = &self.settings.bounds;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(bounds.login_ms)))?;
        stream.set_write_timeout(Some(Duration::from_millis(bounds.client_stall_ms)))?;
        let (writing, closing) = (stream.try_clone()?, stream.try_clone()?);
        Ok(SocketHandles { reading: stream, writing, closing })
    }

    fn new_session(&self, number: u16, protocol: Protocol, client: &str) -> AnySession {
        let (offer, units) = (self.offer.clone(), self.units.clone());
        let mut session = match protocol {
            Protocol::Iscsi => AnySession::Iscsi(IscsiSession::new(offer, units, number)),
            Protocol::Nbd => AnySession::Nbd(NbdSession::new(offer, units, number)),
        };
        if number == REFUSED_SESSION {
            let max_sessions = self.settings.bounds.sessions;
            tracing::warn!(client, max_sessions, "session refused: the host has as many as it may");
            session.refuse();
        }
        session
    }

    /// Reports the session to the core thread, unless it is refused. Returns `false` if the host has stopped.
    fn report_open(&self, number: u16, writer: &Sender<SessionMessage>, closing: TcpStream) -> bool {
        if number == REFUSED_SESSION {
            return true;
        }
        let (session, writer, connection) = (u32::from(number), writer.clone(), Arc::new(closing));
        self.events.send(Event::SessionOpened { session, writer, connection }).is_ok()
    }
}
