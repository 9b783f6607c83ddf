//! Client commands: taken, refused, given up, answered in parts.

use super::*;

impl Core {
    /// A client's command, owed one answer. `began` is when its first byte came; `request_of_event` the time its client
    /// waits, where that was negotiated; `mark` the client's own mark against repeats. The caller has checked
    /// that the volume exists and holds the blocks.
    #[allow(clippy::too_many_arguments)] // one decoded field, one argument
    pub fn handle_command(
        &mut self,
        now: Instant,
        from: CommandRef,
        lun: u32,
        block: u64,
        work: Work,
        began: Instant,
        request_of_event: Option<TimeDelta>,
        mark: Option<u128>,
    ) {
        self.counters.taken += 1;
        let Some(volume) = self.layout.volume_of(lun) else {
            return self.reject(from, None);
        };
        let v = self.layout.volume(volume);
        let block_bytes = v.block_bytes as usize;
        let (write, blocks) = match &work {
            Work::Read { blocks } => (false, *blocks),
            Work::Write { data } => (true, (data.len() / block_bytes) as u32),
        };
        let (plan, hosts, name) = (PlanId(v.plan), v.hosts, VolumeId(volume as u32));
        let traffic_class = self.layout.traffic_class(volume, write, blocks);
        let deadline =
            began + request_of_event.unwrap_or(self.traffic_classes[traffic_class].deadline) - self.lead;
        let parts = self.layout.parts(volume, traffic_class, block, blocks);
        if self.draining || self.must_wait_for_catalog(now) {
            return self.reject(from, Some(self.longest_wait));
        }
        if deadline <= now || parts.is_empty() || self.commands.contains_key(&from) {
            return self.reject(from, None);
        }
        let bytes = blocks as usize * block_bytes;
        // A full table answers at once with when to come back; nothing is dropped in silence.
        let held = Usage { requests: parts.len(), bytes };
        if let Err(wait) = self.admission.enter(now, from.session, volume, held) {
            self.counters.over_bound += 1;
            return self.reject(from, Some(wait));
        }
        let data = match work {
            Work::Write { data } => Some(data),
            Work::Read { .. } => None,
        };
        let ids: Vec<RequestId> = parts.iter().map(|_| self.new_id()).collect();
        let open = ids.iter().map(|id| (*id, None, Bytes::new())).collect();
        let command =
            OpenCommand { parts: open, traffic_class, volume, marked: mark.is_some(), bytes, write };
        self.commands.insert(from, command);
        self.sessions.entry(from.session).or_default().insert(from.command);
        let mut taken = 0;
        for (i, (id, spec)) in ids.iter().zip(&parts).enumerate() {
            let n = spec.blocks as usize * block_bytes;
            let part_data = data.as_ref().map(|d| d.slice(taken..taken + n));
            taken += n;
            let serial = self.serial - (ids.len() - 1 - i) as u64;
            let line = QueueKey { shard: spec.shard.0, volume: name.0, traffic_class: traffic_class as u32 };
            let queue_ticket = self.fair_queueing.enqueue(line, from.session, spec.units);
            if let Some(f) = &mut self.peers {
                f.member.record_demand(now, lun, spec.units);
            }
            let tag = queue_ticket.tag;
            let v = self.layout.volume(volume);
            let payload = AttemptPayload {
                key: if self.traffic_classes[traffic_class].in_order { spec.key } else { 0 },
                volume: v.lun,
                offset: spec.block * u64::from(v.block_bytes),
                units: spec.units,
                work: match part_data {
                    Some(data) => AttemptWork::Write { data },
                    None => AttemptWork::Read { length: spec.blocks * v.block_bytes },
                },
            };
            self.requests.insert(
                *id,
                PendingRequest::new(
                    serial,
                    (from, i as u16),
                    payload,
                    traffic_class,
                    deadline,
                    Some(queue_ticket),
                ),
            );
            let request = NewRequest {
                id: *id,
                class: TrafficClassId(traffic_class as u32),
                plan,
                key: Some(key_id(spec.key)),
                time_left: deadline - now,
                volume: name,
                units: spec.units,
                shard: Some(spec.shard),
                hosts,
            };
            self.scheduler.request_arrived(now, request);
            self.scheduler.request_tagged(*id, tag);
        }
    }

    /// A request that its client has placed already, owed one answer. Volumes, keys and shards are the client's words.
    pub fn handle_placed_request(&mut self, now: Instant, from: CommandRef, p: PlacedRequest) {
        self.counters.taken += 1;
        if self.draining {
            return self.reject(from, Some(self.longest_wait));
        }
        let known = self.scheduler.is_configured(p.traffic_class, p.plan);
        if !known || p.left <= TimeDelta::ZERO || self.commands.contains_key(&from) {
            return self.reject(from, None);
        }
        let open = |v: usize| self.commands.values().any(|c| c.volume == v);
        let Some(volume) = self.volume_names.number(now, p.volume, open) else {
            self.counters.over_bound += 1;
            return self.reject(from, Some(self.longest_wait));
        };
        let bytes = p.request.bytes();
        if let Err(wait) = self.admission.enter(now, from.session, volume, Usage { requests: 1, bytes }) {
            self.counters.over_bound += 1;
            return self.reject(from, Some(wait));
        }
        let (id, traffic_class) = (self.new_id(), p.traffic_class.0 as usize);
        let parts = vec![(id, None, Bytes::new())];
        // The client's own mark stands in the request: it is the same at each of its tries.
        self.commands
            .insert(from, OpenCommand { parts, traffic_class, volume, marked: true, bytes, write: false });
        self.sessions.entry(from.session).or_default().insert(from.command);
        let work = AttemptWork::Opaque(p.request);
        let payload = AttemptPayload { key: 0, volume: volume as u32, offset: 0, units: p.units, work };
        self.requests.insert(
            id,
            PendingRequest::new(self.serial, (from, 0), payload, traffic_class, now + p.left, None),
        );
        let (volume, key) = (VolumeId(volume as u32), Some(key_id(p.key)));
        let request = NewRequest {
            id,
            class: p.traffic_class,
            plan: p.plan,
            key,
            time_left: p.left,
            volume,
            units: p.units,
            shard: p.shard,
            hosts: p.hosts,
        };
        self.scheduler.request_arrived(now, request);
    }

    /// The next number that no open request has. Answered ones keep theirs until their last attempt is back.
    pub(super) fn new_id(&mut self) -> RequestId {
        loop {
            self.serial += 1;
            let id = RequestId(self.serial as u32);
            if !self.requests.contains_key(&id) {
                return id;
            }
        }
    }

    pub(super) fn reject(&mut self, to: CommandRef, retry_after: Option<TimeDelta>) {
        self.counters.rejected += 1;
        self.outputs.push_back(Output::Answer { to, verdict: Verdict::Rejected { retry_after } });
    }

    /// The host will end: what comes from now on is rejected, what is open goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// The host ends now: each command still open has its answer at once. Rejected where nothing of it can have run,
    /// failed otherwise.
    pub fn close_open_commands(&mut self, now: Instant) {
        self.draining = true;
        let mut open: Vec<CommandRef> = self.commands.keys().copied().collect();
        open.sort();
        for from in open {
            let Some(first) = self.commands.get(&from).and_then(|c| c.parts.iter().find(|p| p.1.is_none()))
            else {
                continue;
            };
            let (id, retry_after) = (first.0, Some(self.longest_wait));
            // As if the module had rejected it: the parts together tell whether that can be said.
            self.finish_part(now, id, PartState::Rejected { ran: true, retry_after }, Bytes::new());
        }
    }

    /// The client has taken the command back, or was told that it is over; no answer is wanted.
    pub fn handle_abort(&mut self, now: Instant, from: CommandRef) {
        if let Some(c) = self.commands.remove(&from) {
            self.counters.left += 1;
            self.forget_command(now, from, &c);
            for (id, _, _) in c.parts {
                self.release_request(now, id);
            }
        }
    }

    pub fn handle_session_closed(&mut self, now: Instant, session: u32) {
        for command in self.sessions.remove(&session).unwrap_or_default() {
            self.handle_abort(now, CommandRef { session, command });
        }
        self.fair_queueing.session_closed(session);
    }

    /// The request of one part has its end.
    pub(super) fn finish_part(&mut self, now: Instant, id: RequestId, mut end: PartState, data: Bytes) {
        let Some((from, part)) = self.requests.get(&id).filter(|x| !x.answered).map(|x| (x.from, x.part))
        else {
            return;
        };
        // An undone part settles the whole command. What is still unsent of it is taken back before it is
        // judged whether any of it may have run: an attempt that left in between would make the judgement false.
        let ids: Vec<RequestId> = match (end, self.commands.get(&from)) {
            (PartState::Done, _) | (_, None) => vec![id],
            (_, Some(c)) => c.parts.iter().map(|(id, _, _)| *id).collect(),
        };
        for id in ids {
            self.withdraw_unsent(now, id);
        }
        if let Some(x) = self.requests.get(&id) {
            if let PartState::Rejected { ran, .. } | PartState::Failed { ran } = &mut end {
                *ran = x.may_have_run();
            }
        }
        if let Some(x) = self.requests.get_mut(&id) {
            x.answered = true;
            if let Some(queue_ticket) = x.queue_ticket.take() {
                self.fair_queueing.cancelled(queue_ticket);
            }
        }
        self.cancel_in_flight(id);
        self.remove_if_finished(id);
        let Some(c) = self.commands.get_mut(&from) else { return };
        if let Some(slot) = c.parts.get_mut(usize::from(part)) {
            (slot.1, slot.2) = (Some(end), data);
        }
        let open = |id: &RequestId| self.requests.get(id).is_some_and(PendingRequest::may_have_run);
        let ends: Vec<PartState> =
            c.parts.iter().map(|(id, end, _)| end.unwrap_or(PartState::Open { ran: open(id) })).collect();
        let Some(combined) = combine(self.traffic_classes[c.traffic_class].effect, c.marked, &ends) else {
            return;
        };
        let Some(c) = self.commands.remove(&from) else { return };
        self.forget_command(now, from, &c);
        let verdict = match combined {
            Combined::Done => {
                self.counters.done += 1;
                Verdict::Done { data: if c.write { Bytes::new() } else { join_parts(&c.parts, c.bytes) } }
            }
            Combined::Rejected { retry_after } => {
                self.counters.rejected += 1;
                Verdict::Rejected { retry_after }
            }
            Combined::Failed => {
                self.counters.failed += 1;
                Verdict::Failed
            }
        };
        self.outputs.push_back(Output::Answer { to: from, verdict });
        for (id, _, _) in c.parts {
            self.release_request(now, id);
        }
    }

    pub(super) fn forget_command(&mut self, now: Instant, from: CommandRef, c: &OpenCommand) {
        let held = Usage { requests: c.parts.len(), bytes: c.bytes };
        self.admission.leave(now, from.session, c.volume, held);
        if let Some(open) = self.sessions.get_mut(&from.session) {
            open.remove(&from.command);
            if open.is_empty() {
                self.sessions.remove(&from.session);
            }
        }
    }
}
