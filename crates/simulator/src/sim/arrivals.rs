//! Commands: drawn, from a load or of a day, and what became of them.

use super::*;

impl Sim<'_> {
    pub(super) fn on_workload_arrival(&mut self) {
        let Some(a) = self.arrivals.pop_front() else { return };
        if let Some(next) = self.arrivals.front() {
            self.push(self.now + (next.at_us - a.at_us), Event::Loaded);
        }
        let volume = self.world.load.as_ref().map_or("", |l| l.flows[a.flow].volume.as_str());
        let Some(v) = self.settings[0].volumes.iter().find(|v| v.name == volume) else { return };
        // A volume comes through its first hosts only, as it was told.
        let (lun, h) = (v.lun, a.host % v.hosts.clamp(1, self.world.hosts));
        if !self.hosts[h as usize].up || self.hosts[h as usize].paused_until > self.now {
            return;
        }
        match self.clients_of[h as usize].iter().find(|c| self.clients[**c as usize].lun == lun).copied() {
            Some(c) => self.start_call(c, a.write, a.block, a.blocks),
            None => self.submit_directly(h, lun, a.write, a.block, a.blocks),
        }
    }

    /// A try of a script's traffic: at a host that is up, or not at all, as on loopback.
    pub(super) fn send_script_request(&mut self, number: u64) {
        let Some(t) = self.tries.get(&number) else { return };
        let (first, h) = (t.tries == 0, t.ask.host);
        let (lun, write, block, blocks) = (t.ask.lun, t.ask.write, t.ask.block, t.ask.blocks);
        let class = self.class_of(lun, write, blocks);
        if first {
            self.run.firsts.entry(class).or_default().asked += 1;
        }
        if !self.hosts[h as usize].up {
            _ = self.tries.remove(&number);
            return;
        }
        let command = self.hosts[h as usize].next + 1;
        self.hosts[h as usize].asked.insert((DIRECT_SESSION, command), number);
        self.submit_directly(h, lun, write, block, blocks);
    }

    /// Plan and traffic class, by name.
    pub(super) fn class_of(&self, lun: u32, write: bool, blocks: u32) -> String {
        let settings = &self.settings[0];
        let (traffic_class, volume) = self.traffic_class_of(lun, write, blocks);
        format!(
            "{} {}",
            settings.plans[settings.volumes[volume].plan as usize].name,
            settings.traffic_classes[traffic_class].name
        )
    }

    /// The traffic class of a command, and its volume's place.
    pub(super) fn traffic_class_of(&self, lun: u32, write: bool, blocks: u32) -> (usize, usize) {
        let settings = &self.settings[0];
        let volume =
            settings.volumes.iter().position(|volume_settings| volume_settings.lun == lun).unwrap_or(0);
        let volume_settings = &settings.volumes[volume];
        let large =
            volume_settings.large.filter(|l| blocks >= l.min_blocks && !write).map(|l| l.traffic_class);
        (large.unwrap_or(if write { volume_settings.writes } else { volume_settings.reads }) as usize, volume)
    }

    /// What a try's answer makes of it.
    pub(super) fn on_script_answer(&mut self, number: u64, kind: AnswerKind, retry_after_us: Us) {
        let Some(t) = self.tries.get_mut(&number) else { return };
        let (again, first) = (kind == AnswerKind::Rejected && t.tries < t.ask.retries, t.first);
        if again {
            t.tries += 1;
            let wait = if t.ask.waits { retry_after_us } else { 0 };
            return self.push(self.now + wait, Event::Again(number));
        }
        let Some(t) = self.tries.remove(&number) else { return };
        let (traffic_class, _) = self.traffic_class_of(t.ask.lun, t.ask.write, t.ask.blocks);
        let name = self.class_of(t.ask.lun, t.ask.write, t.ask.blocks);
        let (latency_objective, took) =
            (self.settings[0].traffic_classes[traffic_class].latency_objective, self.now - first);
        let client_index = self.run.firsts.entry(name).or_default();
        match kind {
            AnswerKind::Done => {
                client_index.done += 1;
                client_index.in_time += u64::from(took <= (latency_objective.secs() * 1e6) as Us);
                _ = client_index.times.record(took.max(1));
            }
            AnswerKind::Rejected => client_index.rejected += 1,
            _ => client_index.failed += 1,
        }
    }

    pub(super) fn on_generated_arrival(&mut self, host_index: u32, last: Us) {
        let gap = -(1.0 - self.generator.rand_float()).ln() / (self.world.rate * self.surge).max(0.01);
        let next = self.now + (gap * 1e6) as Us + 1;
        if next < last {
            self.push(next, Event::Arrive(host_index));
        }
        if !self.hosts[host_index as usize].up || self.hosts[host_index as usize].paused_until > self.now {
            return;
        }
        // The limited volume comes through the first hosts only, as it was told.
        let mut lun = u32::from(
            host_index < self.world.limited_hosts.min(self.world.hosts) && self.generator.rand_float() < 0.4,
        );
        if let Some((part, busiest)) = self.busiest.filter(|_| lun == 1) {
            // What would come through the others asks for the other volume meanwhile.
            lun = u32::from(host_index == busiest || self.generator.rand_float() >= part);
        }
        let write = self.generator.rand_float() < 0.4;
        let blocks = self.generator.rand_range(1..25) as u32;
        let span = if write && lun == 0 { 640 } else { 50_000 };
        let drawn = self.generator.rand_range(0..span);
        let hot = self.hot > 0.0 && self.generator.rand_float() < self.hot;
        let block = if hot { 0 } else { drawn };
        // One that speaks a protocol, in its turn.
        if !self.clients_of[host_index as usize].is_empty() {
            let client_position =
                self.generator.rand_range(0..self.clients_of[host_index as usize].len() as u64 + 1) as usize;
            if let Some(c) = self.clients_of[host_index as usize].get(client_position).copied() {
                return self.start_call(c, write, block, blocks);
            }
        }
        self.submit_directly(host_index, lun, write, block, blocks);
    }

    /// A command that comes without a protocol.
    pub(super) fn submit_directly(
        &mut self,
        host_index: u32,
        lun: u32,
        write: bool,
        block: u64,
        blocks: u32,
    ) {
        let host = &mut self.hosts[host_index as usize];
        host.next += 1;
        let command = host.next;
        let generation = host.generation;
        let work = match write {
            true => Work::Write { data: data(blocks * 512) },
            false => Work::Read { blocks },
        };
        self.submit(
            host_index,
            CommandRef { session: DIRECT_SESSION, command },
            lun,
            block,
            work,
            self.now,
            None,
        );
        if self.generator.rand_float() < self.leave {
            let later = self.now + self.generator.rand_range(0..400_000);
            self.push(later, Event::Leave(host_index, generation, command));
        }
        self.poll_host(host_index);
    }

    /// A command reaches its host, which knows it from `began` on.
    #[allow(clippy::too_many_arguments)] // as the host core has them
    pub(super) fn submit(
        &mut self,
        h: u32,
        from: CommandRef,
        lun: u32,
        block: u64,
        work: Work,
        began: Us,
        asked: Option<Us>,
    ) {
        let (write, bytes) = match &work {
            Work::Read { blocks } => (false, u64::from(*blocks) * 512),
            Work::Write { data } => (true, data.len() as u64),
        };
        let (traffic_class, _) = self.traffic_class_of(lun, write, (bytes / 512) as u32);
        let st = &self.settings[0].traffic_classes[traffic_class];
        let (latency_objective, deadline) =
            ((st.latency_objective.secs() * 1e6) as Us, (st.deadline.secs() * 1e6) as Us);
        self.run.asked += 1;
        let (session, command) = (from.session, from.command);
        let host = &mut self.hosts[h as usize];
        host.submitted.insert((session, command), (began, latency_objective));
        self.record(tackmast_trace::Event::Submit {
            host: h,
            session,
            command,
            volume: lun,
            traffic_class: traffic_class as u32,
            write,
            offset: block * 512,
            bytes,
            deadline_us: asked.unwrap_or(deadline).saturating_sub(self.now - began),
        });
        let (now, began) = (self.time(h), self.time_at(h, began));
        let asked = asked.map(|us| TimeDelta::from_secs(us as f64 / 1e6));
        self.hosts[h as usize].core.handle_command(now, from, lun, block, work, began, asked);
    }

    pub(super) fn answer(&mut self, host_index: u32, to: CommandRef, verdict: Verdict) {
        self.answers += 1;
        let (kind, retry_after_us) = match &verdict {
            Verdict::Done { .. } => (0, 0),
            Verdict::Rejected { retry_after } => (1, retry_after.map_or(0, |w| (w.secs() * 1e6) as u64)),
            Verdict::Failed if self.mutant == Some(Mutant::FalseRejection) => (1, 0),
            Verdict::Failed => (2, 0),
        };
        let generation = self.hosts[host_index as usize].generation;
        let now = self.now;
        let (session, command) = (to.session, to.command);
        let odd = self.answers.is_multiple_of(50);
        match self.mutant {
            Some(Mutant::AnswerLost) if odd => return,
            Some(Mutant::AnswerLate) if odd => {
                let late = Event::Answer(host_index, generation, (session, command), kind, retry_after_us);
                return self.push(now + 1_200_000, late);
            }
            Some(Mutant::AnswerTwice) if odd => {
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
        // Commands without a protocol come from beside the host: what their way costs is no part of this model.
        self.record_answer(host_index, generation, (session, command), kind, retry_after_us);
        let Some((c, slot, slot_generation)) =
            self.hosts[host_index as usize].sessions.get(&session).copied()
        else {
            return;
        };
        let Some(pipe) = self.clients[c as usize].pipe_of(slot, slot_generation) else { return };
        pipe.session.answer(
            command,
            match verdict {
                Verdict::Done { data } => target::Verdict::Done { data },
                Verdict::Rejected { .. } => target::Verdict::Rejected { retry_after_us },
                Verdict::Failed => target::Verdict::Failed,
            },
        );
        // What had to wait for this answer is read on from here.
        if !pipe.session.is_paused() {
            self.push(now, Event::ToServer(c, slot, slot_generation, Vec::new()));
        }
        self.flush(c, slot, slot_generation);
    }

    pub(super) fn record_answer(
        &mut self,
        h: u32,
        generation: u64,
        of: CommandOrd,
        kind: u8,
        retry_after_us: u64,
    ) {
        let host = &mut self.hosts[h as usize];
        if host.generation != generation {
            return;
        }
        let Some((began, latency_objective)) = host.submitted.remove(&of) else { return };
        let kind = [AnswerKind::Done, AnswerKind::Rejected, AnswerKind::Failed][usize::from(kind)];
        match kind {
            AnswerKind::Done => {
                self.run.done += 1;
                self.run.in_time += u64::from(self.now - began <= latency_objective);
            }
            AnswerKind::Rejected => self.run.rejected += 1,
            _ => self.run.failed += 1,
        }
        let (session, command) = of;
        self.record(tackmast_trace::Event::Answer { host: h, session, command, kind, retry_after_us });
        if let Some(number) = self.hosts[h as usize].asked.remove(&of) {
            self.on_script_answer(number, kind, retry_after_us);
        }
    }
}
