//! Client commands: admission, rejection, abort, and the answer as soon as the parts determine it.

use super::tables::{AttemptPayload, OpenCommand, OpenPart, PendingRequest, RequestIdentity};
use super::Core;
use crate::admission::Usage;
use crate::attempt::AttemptWork;
use crate::combine::{combine, Combined, KeySource, PartState};
use crate::command::{ClientCommand, CommandId, Verdict, Work};
use crate::fair_queueing::QueueKey;
use crate::layout::{key_id, Access, Part};
use crate::object_request::ObjectRequest;
use crate::output::Output;
use bytes::Bytes;
use std::cell::LazyCell;
use std::collections::HashSet;
use tackmast::interface::{Instant, NewRequest, PlanId, RequestId, TimeDelta, TrafficClassId, VolumeId};

/// A block command with its parts, one for each extent or order granule that it touches.
struct MappedCommand {
    volume: usize,
    access: Access,
    traffic_class: usize,
    deadline: Instant,
    parts: Vec<Part>,
    bytes: usize,
}

impl Core {
    /// Handles a client's block command, which gets exactly one answer unless it is aborted.
    ///
    /// The caller has checked that the volume exists and has the blocks.
    pub fn handle_command(&mut self, now: Instant, command: ClientCommand) {
        self.counters.commands_received += 1;
        let from = command.from;
        let Some(volume) = self.layout.volume_by_lun(command.lun) else {
            return self.reject(from, None);
        };
        let mapped = self.map_command(volume, &command);
        if self.draining || self.must_wait_for_catalog(now) {
            return self.reject(from, Some(self.max_retry_after));
        }
        let known = self.commands.contains_key(&from);
        if mapped.deadline <= now || mapped.parts.is_empty() || known {
            return self.reject(from, None);
        }
        // A command that does not fit the tables is rejected at once with a retry-after. Without an answer its client would wait
        // until the deadline.
        let usage = Usage { requests: mapped.parts.len(), bytes: mapped.bytes };
        if let Err(wait) = self.admission.admit(now, from.session, volume, usage) {
            self.counters.commands_over_bound += 1;
            return self.reject(from, Some(wait));
        }
        self.open_command(now, command, &mapped);
    }

    /// Determines the traffic class and the deadline of a command, and splits it into parts.
    fn map_command(&self, volume: usize, command: &ClientCommand) -> MappedCommand {
        let block_bytes = self.layout.volume(volume).block_bytes;
        let (access, blocks) = match &command.work {
            Work::Read { blocks } => (Access::Read, *blocks),
            Work::Write { data } => (Access::Write, (data.len() / block_bytes as usize) as u32),
        };
        let traffic_class = self.layout.traffic_class(volume, access, blocks);
        let timeout = command.timeout.unwrap_or(self.traffic_classes[traffic_class].deadline);
        MappedCommand {
            volume,
            access,
            traffic_class,
            deadline: command.received_at + timeout - self.answer_lead,
            parts: self.layout.parts(volume, traffic_class, command.block, blocks),
            bytes: blocks as usize * block_bytes as usize,
        }
    }

    /// Adds an admitted command to the tables, and passes a request for each of its parts to the scheduler.
    fn open_command(&mut self, now: Instant, command: ClientCommand, mapped: &MappedCommand) {
        let from = command.from;
        let ids: Vec<RequestId> = mapped.parts.iter().map(|_| self.new_id()).collect();
        let open = OpenCommand {
            parts: ids.iter().map(|id| OpenPart::new(*id)).collect(),
            traffic_class: mapped.traffic_class,
            volume: mapped.volume,
            key_source: match command.idempotency_key {
                Some(_) => KeySource::Client,
                None => KeySource::Host,
            },
            bytes: mapped.bytes,
            access: mapped.access,
        };
        self.commands.insert(from, open);
        self.sessions.entry(from.session).or_default().insert(from.command);
        let mut data = match command.work {
            Work::Write { data } => Some(data),
            Work::Read { .. } => None,
        };
        let block_bytes = self.layout.volume(mapped.volume).block_bytes;
        for (index, (id, part)) in ids.iter().zip(&mapped.parts).enumerate() {
            let length = part.blocks * block_bytes;
            let work = match &mut data {
                Some(data) => AttemptWork::Write { data: data.split_to(length as usize) },
                None => AttemptWork::Read { length },
            };
            let serial = self.serial - (ids.len() - 1 - index) as u64;
            let identity = RequestIdentity { serial, from, part: index as u16 };
            self.open_request(now, *id, identity, mapped, part, work);
        }
    }

    /// Adds the request of one part to the tables and to its fair queue, and passes it to the scheduler.
    fn open_request(
        &mut self,
        now: Instant,
        id: RequestId,
        identity: RequestIdentity,
        mapped: &MappedCommand,
        part: &Part,
        work: AttemptWork,
    ) {
        let (volume, traffic_class) = (mapped.volume as u32, mapped.traffic_class as u32);
        let queue = QueueKey { shard: part.shard.0, volume, traffic_class };
        let queue_ticket = self.fair_queueing.enqueue(queue, identity.from.session, part.units);
        let tag = queue_ticket.tag;
        let settings = self.layout.volume(mapped.volume);
        if let Some(peers) = &mut self.peers {
            peers.member.record_demand(now, settings.lun, part.units);
        }
        let payload = AttemptPayload {
            key: if self.traffic_classes[mapped.traffic_class].in_order { part.key } else { 0 },
            volume: settings.lun,
            offset: part.block * u64::from(settings.block_bytes),
            units: part.units,
            work,
        };
        let request = NewRequest {
            id,
            class: TrafficClassId(traffic_class),
            plan: PlanId(settings.plan),
            key: Some(key_id(part.key)),
            time_left: mapped.deadline - now,
            volume: VolumeId(volume),
            units: part.units,
            shard: Some(part.shard),
            hosts: settings.hosts,
        };
        let pending =
            PendingRequest::new(identity, payload, mapped.traffic_class, mapped.deadline, Some(queue_ticket));
        self.requests.insert(id, pending);
        self.scheduler.request_arrived(now, request);
        self.scheduler.request_tagged(id, tag);
    }

    /// Handles an object request, which gets exactly one answer unless it is aborted.
    ///
    /// The volume, the order key and the shard are those that the client names.
    pub fn handle_object_request(&mut self, now: Instant, from: CommandId, request: ObjectRequest) {
        self.counters.commands_received += 1;
        if self.draining {
            return self.reject(from, Some(self.max_retry_after));
        }
        let configured = self.scheduler.is_configured(request.traffic_class, request.plan);
        if !configured || request.time_left <= TimeDelta::ZERO || self.commands.contains_key(&from) {
            return self.reject(from, None);
        }
        // Computed only if the table of volume names is full, and then only once.
        let volumes_in_use: LazyCell<HashSet<usize>, _> =
            LazyCell::new(|| self.commands.values().map(|command| command.volume).collect());
        let scheduler = &mut self.scheduler;
        let is_in_use = |volume: usize| {
            volumes_in_use.contains(&volume) || !scheduler.may_forget_volume(now, VolumeId(volume as u32))
        };
        let Some(volume) = self.volume_names.number(now, request.volume, is_in_use) else {
            self.counters.commands_over_bound += 1;
            return self.reject(from, Some(self.max_retry_after));
        };
        if let Some(evicted) = self.volume_names.take_evicted() {
            self.scheduler.volume_forgotten(now, VolumeId(evicted as u32));
        }
        let usage = Usage { requests: 1, bytes: request.payload.bytes() };
        if let Err(wait) = self.admission.admit(now, from.session, volume, usage) {
            self.counters.commands_over_bound += 1;
            return self.reject(from, Some(wait));
        }
        self.open_object_request(now, from, volume, request);
    }

    /// Adds an admitted object request to the tables, and passes it to the scheduler.
    fn open_object_request(&mut self, now: Instant, from: CommandId, volume: usize, object: ObjectRequest) {
        let (id, traffic_class) = (self.new_id(), object.traffic_class.0 as usize);
        let command = OpenCommand {
            parts: vec![OpenPart::new(id)],
            traffic_class,
            volume,
            // The client's idempotency key is part of the opaque request and the same in each of its retries.
            key_source: KeySource::Client,
            bytes: object.payload.bytes(),
            access: Access::Read,
        };
        self.commands.insert(from, command);
        self.sessions.entry(from.session).or_default().insert(from.command);
        let request = NewRequest {
            id,
            class: object.traffic_class,
            plan: object.plan,
            key: Some(key_id(object.key)),
            time_left: object.time_left,
            volume: VolumeId(volume as u32),
            units: object.units,
            shard: object.shard,
            hosts: object.hosts,
        };
        let payload = AttemptPayload {
            key: 0,
            volume: volume as u32,
            offset: 0,
            units: object.units,
            work: AttemptWork::Opaque(object.payload),
        };
        let identity = RequestIdentity { serial: self.serial, from, part: 0 };
        let pending = PendingRequest::new(identity, payload, traffic_class, now + object.time_left, None);
        self.requests.insert(id, pending);
        self.scheduler.request_arrived(now, request);
    }

    /// Returns the next request id that is not in use. An answered request keeps its id until its last attempt has ended.
    pub(super) fn new_id(&mut self) -> RequestId {
        loop {
            self.serial += 1;
            let id = RequestId(self.serial as u32);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }

    pub(super) fn reject(&mut self, to: CommandId, retry_after: Option<TimeDelta>) {
        self.counters.commands_rejected += 1;
        self.outputs.push_back(Output::Answer { to, verdict: Verdict::Rejected { retry_after } });
    }

    /// Rejects new commands from now on, because the host is shutting down. Work on open commands continues.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Answers all open commands at once, because the host is about to exit.
    ///
    /// A command is rejected if a retry of it is safe, and has failed otherwise.
    pub fn close_open_commands(&mut self, now: Instant) {
        self.draining = true;
        let mut open: Vec<CommandId> = self.commands.keys().copied().collect();
        open.sort();
        for from in open {
            let Some(command) = self.commands.get(&from) else { continue };
            let Some(open_part) = command.parts.iter().find(|part| part.state.is_none()) else { continue };
            let (id, retry_after) = (open_part.request, Some(self.max_retry_after));
            // This is handled like a rejection by the scheduler: all parts together decide whether a retry is safe.
            self.finish_part(now, id, PartState::Rejected { may_have_run: true, retry_after }, Bytes::new());
        }
    }

    /// Aborts a command whose client wants no answer any more.
    pub fn handle_abort(&mut self, now: Instant, from: CommandId) {
        if let Some(command) = self.commands.remove(&from) {
            self.counters.commands_aborted += 1;
            self.release_command(now, from, &command);
            for id in command.request_ids() {
                self.release_request(now, id);
            }
        }
    }

    /// Aborts all commands of a session that has ended.
    pub fn handle_session_closed(&mut self, now: Instant, session: u32) {
        for command in self.sessions.remove(&session).unwrap_or_default() {
            self.handle_abort(now, CommandId { session, command });
        }
        self.fair_queueing.session_closed(session);
    }

    /// Ends the request of one part, and answers its command if the answer is certain now.
    pub(super) fn finish_part(&mut self, now: Instant, id: RequestId, mut end: PartState, data: Bytes) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.answered) else { return };
        let RequestIdentity { from, part, .. } = request.identity;
        // A rejected or failed part decides the answer of the whole command. All unsent attempts of the command are withdrawn before
        // it is determined whether any part may have run; an attempt that a connection began to write in between would make a retry
        // after the rejection unsafe.
        let ids: Vec<RequestId> = match (end, self.commands.get(&from)) {
            (PartState::Done, _) | (_, None) => vec![id],
            (_, Some(command)) => command.request_ids(),
        };
        for id in ids {
            self.withdraw_unsent(now, id);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            if let PartState::Rejected { may_have_run, .. } | PartState::Failed { may_have_run } = &mut end {
                *may_have_run = request.may_have_run();
            }
            request.answered = true;
            if let Some(queue_ticket) = request.queue_ticket.take() {
                self.fair_queueing.remove_cancelled(queue_ticket);
            }
        }
        self.cancel_in_flight(id);
        self.remove_if_finished(id);
        let Some(command) = self.commands.get_mut(&from) else { return };
        if let Some(open) = command.parts.get_mut(usize::from(part)) {
            (open.state, open.data) = (Some(end), data);
        }
        self.answer_if_certain(now, from);
    }

    /// Answers a command if its parts make the answer certain.
    fn answer_if_certain(&mut self, now: Instant, from: CommandId) {
        let Some(command) = self.commands.get(&from) else { return };
        let may_have_run = |id: &RequestId| self.requests.get(id).is_some_and(PendingRequest::may_have_run);
        let states: Vec<PartState> = command
            .parts
            .iter()
            .map(|part| {
                part.state.unwrap_or_else(|| PartState::Open { may_have_run: may_have_run(&part.request) })
            })
            .collect();
        let effect = self.traffic_classes[command.traffic_class].effect;
        let Some(combined) = combine(effect, command.key_source, &states) else { return };
        let Some(command) = self.commands.remove(&from) else { return };
        self.release_command(now, from, &command);
        let verdict = match combined {
            Combined::Done => {
                self.counters.commands_done += 1;
                Verdict::Done { data: command.answer_data() }
            }
            Combined::Rejected { retry_after } => {
                self.counters.commands_rejected += 1;
                Verdict::Rejected { retry_after }
            }
            Combined::Failed => {
                self.counters.commands_failed += 1;
                Verdict::Failed
            }
        };
        self.outputs.push_back(Output::Answer { to: from, verdict });
        for id in command.request_ids() {
            self.release_request(now, id);
        }
    }

    /// Releases the admitted usage of a command that was removed from the table, and removes it from its session.
    fn release_command(&mut self, now: Instant, from: CommandId, command: &OpenCommand) {
        let usage = Usage { requests: command.parts.len(), bytes: command.bytes };
        self.admission.release(now, from.session, command.volume, usage);
        if let Some(open) = self.sessions.get_mut(&from.session) {
            open.remove(&from.command);
            if open.is_empty() {
                self.sessions.remove(&from.session);
            }
        }
    }
}
