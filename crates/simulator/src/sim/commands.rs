//! Commands at their host: submitted, answered, and recorded in the trace.

use super::event::{CommandKey, Connection, Event, HostProcess};
use super::state::SubmittedCommand;
use super::{Mutant, Sim, Us, BLOCK_BYTES, DIRECT_SESSION};
use crate::clients::data;
use crate::scenario_script::ScriptRequest;
use tackmast::interface::TimeDelta;
use tackmast_host_core::{ClientCommand, CommandId, Verdict, Work};
use tackmast_target as target;
use tackmast_trace::AnswerKind;

/// A mutant that treats some answers wrongly does so with each of this number.
const MUTANT_ANSWER_INTERVAL: u64 = 50;
/// How late the answers of `Mutant::AnswerLate` are, in microseconds.
const MUTANT_ANSWER_DELAY: Us = 1_200_000;
/// A client without a protocol that aborts its command does so within this time, in microseconds.
const MAX_ABORT_DELAY: Us = 400_000;

/// The blocks that a command reads or writes.
#[derive(Clone, Copy)]
pub(super) struct BlockAccess {
    pub(super) write: bool,
    /// The first block.
    pub(super) block: u64,
    pub(super) blocks: u32,
}

impl BlockAccess {
    pub(super) fn of(request: &ScriptRequest) -> BlockAccess {
        BlockAccess { write: request.write, block: request.block, blocks: request.blocks }
    }
}

/// A command as it reaches its host.
pub(super) struct Submission {
    pub(super) from: CommandId,
    pub(super) lun: u32,
    /// The first block.
    pub(super) block: u64,
    pub(super) work: Work,
    /// When its first bytes reached the host.
    pub(super) began: Us,
    /// The client's own timeout, in microseconds.
    pub(super) timeout_us: Option<Us>,
}

impl Sim<'_> {
    /// The names of plan and traffic class of a command.
    pub(super) fn class_of(&self, lun: u32, access: BlockAccess) -> String {
        let settings = &self.settings[0];
        let (traffic_class, volume) = self.traffic_class_of(lun, access);
        let plan = &settings.plans[settings.volumes[volume].plan as usize];
        format!("{} {}", plan.name, settings.traffic_classes[traffic_class].name)
    }

    /// The indices of a command's traffic class and volume.
    pub(super) fn traffic_class_of(&self, lun: u32, access: BlockAccess) -> (usize, usize) {
        let volumes = &self.settings[0].volumes;
        let volume_index = volumes.iter().position(|volume| volume.lun == lun).unwrap_or(0);
        let volume = &volumes[volume_index];
        let large = volume.large.filter(|large| access.blocks >= large.min_blocks && !access.write);
        let traffic_class = match large {
            Some(large) => large.traffic_class,
            None if access.write => volume.writes,
            None => volume.reads,
        };
        (traffic_class as usize, volume_index)
    }

    /// A command comes without a protocol.
    pub(super) fn submit_directly(&mut self, host_index: u32, lun: u32, access: BlockAccess) {
        let host = &mut self.hosts[host_index as usize];
        host.command_count += 1;
        let command = host.command_count;
        let work = match access.write {
            true => Work::Write { data: data(access.blocks * BLOCK_BYTES) },
            false => Work::Read { blocks: access.blocks },
        };
        let from = CommandId { session: DIRECT_SESSION, command };
        let (block, began) = (access.block, self.now);
        self.submit(host_index, Submission { from, lun, block, work, began, timeout_us: None });
        if self.generator.rand_float() < self.abort_fraction {
            let due = self.now + self.generator.rand_range(0..MAX_ABORT_DELAY);
            let process = self.process_of(host_index);
            self.schedule(due, Event::Abort { process, command });
        }
        self.poll_host(host_index);
    }

    /// A command reaches its host.
    pub(super) fn submit(&mut self, host_index: u32, submission: Submission) {
        let Submission { from, lun, block, work, began, timeout_us } = submission;
        let (write, bytes) = match &work {
            Work::Read { blocks } => (false, u64::from(*blocks) * u64::from(BLOCK_BYTES)),
            Work::Write { data } => (true, data.len() as u64),
        };
        let blocks = (bytes / u64::from(BLOCK_BYTES)) as u32;
        let (traffic_class, _) = self.traffic_class_of(lun, BlockAccess { write, block, blocks });
        let class = &self.settings[0].traffic_classes[traffic_class];
        let latency_objective_us = (class.latency_objective.secs() * 1e6) as Us;
        let deadline_us = timeout_us.unwrap_or((class.deadline.secs() * 1e6) as Us);
        self.run.asked += 1;
        let CommandId { session, command } = from;
        let submitted = SubmittedCommand { began, latency_objective_us };
        self.hosts[host_index as usize].submitted.insert((session, command), submitted);
        self.record(tackmast_trace::Event::Submit {
            host: host_index,
            session,
            command,
            volume: lun,
            traffic_class: traffic_class as u32,
            write,
            offset: block * u64::from(BLOCK_BYTES),
            bytes,
            deadline_us: deadline_us.saturating_sub(self.now - began),
        });
        let now = self.steady_clock(host_index);
        let received_at = self.clocks[host_index as usize].steady_at(began);
        let timeout = timeout_us.map(|us| TimeDelta::from_secs(us as f64 / 1e6));
        let command = ClientCommand { from, lun, block, work, received_at, timeout, idempotency_key: None };
        self.hosts[host_index as usize].core.handle_command(now, command);
    }

    /// The host core answers a command.
    pub(super) fn answer(&mut self, host_index: u32, to: CommandId, verdict: Verdict) {
        self.answer_count += 1;
        let (kind, retry_after_us) = match &verdict {
            Verdict::Done { .. } => (AnswerKind::Done, 0),
            Verdict::Rejected { retry_after } => {
                (AnswerKind::Rejected, retry_after.map_or(0, |wait| (wait.secs() * 1e6) as u64))
            }
            Verdict::Failed if self.mutant == Some(Mutant::FalseRejection) => (AnswerKind::Rejected, 0),
            Verdict::Failed => (AnswerKind::Failed, 0),
        };
        let process = self.process_of(host_index);
        let CommandId { session, command } = to;
        let is_mutated = self.answer_count.is_multiple_of(MUTANT_ANSWER_INTERVAL);
        match self.mutant {
            Some(Mutant::AnswerLost) if is_mutated => return,
            Some(Mutant::AnswerLate) if is_mutated => {
                let late = Event::Answer { process, command: (session, command), kind, retry_after_us };
                return self.schedule(self.now + MUTANT_ANSWER_DELAY, late);
            }
            Some(Mutant::AnswerTwice) if is_mutated => {
                self.record(tackmast_trace::Event::Answer {
                    host: host_index,
                    session,
                    command,
                    kind: AnswerKind::Rejected,
                    retry_after_us: 0,
                });
            }
            _ => {}
        }
        // A command without a protocol comes from beside its host: its answer takes no time.
        self.record_answer(process, (session, command), kind, retry_after_us);
        if let Some(connection) = self.hosts[host_index as usize].sessions.get(&session).copied() {
            self.answer_session(connection, command, verdict, retry_after_us);
        }
    }

    /// Gives the answer of a command to the session that it came from.
    fn answer_session(
        &mut self,
        connection: Connection,
        command: u32,
        verdict: Verdict,
        retry_after_us: u64,
    ) {
        let Connection { client, slot, generation } = connection;
        let Some(pipe) = self.clients[client as usize].pipe_of(slot, generation) else { return };
        let verdict = match verdict {
            Verdict::Done { data } => target::Verdict::Done { data },
            Verdict::Rejected { .. } => target::Verdict::Rejected { retry_after_us },
            Verdict::Failed => target::Verdict::Failed,
        };
        pipe.session.answer(command, verdict);
        // Bytes that had to wait for this answer are read now.
        if !pipe.session.is_paused() {
            self.schedule(self.now, Event::BytesToServer { connection, bytes: Vec::new() });
        }
        self.flush(connection);
    }

    /// Records an answer, if the process that received the command still runs.
    pub(super) fn record_answer(
        &mut self,
        process: HostProcess,
        command: CommandKey,
        kind: AnswerKind,
        retry_after_us: u64,
    ) {
        if !self.is_current(process) {
            return;
        }
        let host = &mut self.hosts[process.host as usize];
        let Some(submitted) = host.submitted.remove(&command) else { return };
        match kind {
            AnswerKind::Done => {
                self.run.done += 1;
                let latency_us = self.now - submitted.began;
                self.run.in_time += u64::from(latency_us <= submitted.latency_objective_us);
            }
            AnswerKind::Rejected => self.run.rejected += 1,
            _ => self.run.failed += 1,
        }
        let script_number = host.script_numbers.remove(&command);
        let (session, command) = command;
        self.record(tackmast_trace::Event::Answer {
            host: process.host,
            session,
            command,
            kind,
            retry_after_us,
        });
        if let Some(number) = script_number {
            self.on_script_answer(number, kind, retry_after_us);
        }
    }
}
