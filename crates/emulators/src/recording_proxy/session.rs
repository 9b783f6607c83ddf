//! What the proxy knows of a session, read along in both directions.

use super::ProxySettings;
use std::collections::HashMap;
use tackmast_trace::{AnswerKind, Event};
use tackmast_wire::iscsi::Digests;

/// A command without an answer.
pub(super) struct OpenCommand {
    /// The host's number of the command.
    number: u32,
    /// Bytes of a read; 0 for a write.
    read_bytes: usize,
}

/// A read or write as it is read along.
pub(super) struct IoCommand {
    /// The protocol's own number of the command.
    pub(super) id: u64,
    /// The host's number of the command.
    pub(super) number: u32,
    /// Index of the volume.
    pub(super) volume: usize,
    pub(super) write: bool,
    pub(super) offset: u64,
    pub(super) bytes: u64,
    /// The command's own deadline in microseconds, if it has one.
    pub(super) deadline_us: Option<u64>,
}

/// What is known of a session.
#[derive(Default)]
pub(super) struct SessionState {
    /// Number of the session at the host, once it has been sent.
    pub(super) number: Option<u32>,
    /// Index of the volume, for a protocol with one a session.
    pub(super) volume: Option<usize>,
    /// The session's own deadline in microseconds, if it has one.
    pub(super) deadline_us: Option<u64>,
    /// Digests of iSCSI.
    pub(super) digests: Digests,
    /// Whether the negotiation of NBD is over.
    pub(super) is_negotiated: bool,
    /// Name of the NBD export that the client asked for last.
    pub(super) requested_export: Option<String>,
    /// By the protocol's own number.
    open: HashMap<u64, OpenCommand>,
    last_number: u32,
}

impl SessionState {
    /// The next number of a command, where the host counts them itself.
    pub(super) fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    pub(super) fn has_open_commands(&self) -> bool {
        !self.open.is_empty()
    }

    pub(super) fn open_command_count(&self) -> usize {
        self.open.len()
    }

    /// Bytes that the answer of a command carries.
    pub(super) fn read_bytes(&self, id: u64) -> usize {
        self.open.get(&id).map_or(0, |command| command.read_bytes)
    }

    pub(super) fn submit(&mut self, proxy: &ProxySettings, command: &IoCommand) {
        let Some(session) = self.number else { return };
        let Some(volume) = proxy.volumes.get(command.volume) else { return };
        let read_bytes = if command.write { 0 } else { command.bytes as usize };
        self.open.insert(command.id, OpenCommand { number: command.number, read_bytes });
        let (traffic_class, class_deadline_us) = if command.write {
            (volume.write_class, volume.write_deadline_us)
        } else {
            (volume.read_class, volume.read_deadline_us)
        };
        proxy.recorder.note(Event::Submit {
            host: proxy.host_number,
            session,
            command: command.number,
            volume: volume.lun,
            traffic_class,
            write: command.write,
            offset: command.offset,
            bytes: command.bytes,
            deadline_us: command.deadline_us.or(self.deadline_us).unwrap_or(class_deadline_us),
        });
    }

    pub(super) fn answer(&mut self, proxy: &ProxySettings, id: u64, kind: AnswerKind) {
        if let (Some(session), Some(OpenCommand { number, .. })) = (self.number, self.open.remove(&id)) {
            let (host, retry_after_us) = (proxy.host_number, 0);
            proxy.recorder.note(Event::Answer { host, session, command: number, kind, retry_after_us });
        }
    }

    /// The client does not wait for a command any more.
    pub(super) fn give_up(&mut self, proxy: &ProxySettings, id: u64) {
        if let (Some(session), Some(OpenCommand { number, .. })) = (self.number, self.open.remove(&id)) {
            proxy.recorder.note(Event::Left { host: proxy.host_number, session, command: number });
        }
    }

    pub(super) fn give_up_all(&mut self, proxy: &ProxySettings) {
        let open: Vec<u64> = self.open.keys().copied().collect();
        open.into_iter().for_each(|id| self.give_up(proxy, id));
    }
}
