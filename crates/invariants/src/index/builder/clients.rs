//! What clients saw.

use super::{IndexBuilder, Session};
use crate::error::TraceError;
use crate::index::{Answer, Command, CommandId};
use tackmast_trace::{AnswerKind, Event};

impl IndexBuilder {
    pub(super) fn on_submit(&mut self, event: &Event) {
        let Event::Submit {
            host, session, command, traffic_class, deadline_us, volume, offset, bytes, ..
        } = event
        else {
            return;
        };
        let request_count = self.extent_bytes(*volume).map(|extent_bytes| {
            let last_byte = offset + bytes.max(&1) - 1;
            last_byte / extent_bytes - offset / extent_bytes + 1
        });
        let id = CommandId { host: *host, session: *session, command: *command };
        self.commands.insert(id, self.index.commands.len());
        self.index.commands.push(Command {
            id,
            submitted_us: self.now_us,
            traffic_class: *traffic_class,
            request_count,
            deadline_us: *deadline_us,
            answers: Vec::new(),
            given_up_us: None,
            connection_lost_us: None,
            // The client may not know yet that its host is down; no host has received this command.
            host_down_us: self.down_hosts.get(host).copied(),
        });
    }

    pub(super) fn on_answer(&mut self, id: CommandId, kind: AnswerKind) {
        match self.commands.get(&id) {
            Some(index) => {
                self.index.commands[*index].answers.push(Answer { time_us: self.now_us, kind });
            }
            None => {
                self.index.defect = Some(TraceError::UnknownCommand { line: self.line_number });
            }
        }
    }

    pub(super) fn on_given_up(&mut self, id: CommandId) {
        let Some(index) = self.commands.get(&id) else { return };
        let command = &mut self.index.commands[*index];
        if command.answers.is_empty() {
            command.given_up_us.get_or_insert(self.now_us);
        }
    }

    pub(super) fn on_session(&mut self, host: u32, session: u32, client: &str) {
        self.sessions.insert(client.to_owned(), Session { host, session });
    }

    pub(super) fn on_connection_lost(&mut self, client: &str) {
        let Some(Session { host, session }) = self.sessions.remove(client) else { return };
        let now_us = self.now_us;
        let unanswered = self.index.commands.iter_mut().filter(|command| command.answers.is_empty());
        unanswered
            .filter(|command| command.id.host == host && command.id.session == session)
            .for_each(|command| _ = command.connection_lost_us.get_or_insert(now_us));
    }
}
