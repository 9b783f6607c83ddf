//! Hosts: started, stopped, standing still, leaving, and the datagrams between them.

use super::*;

impl Sim<'_> {
    /// Starts the process of a host, from what it has persisted.
    pub(super) fn new_host(&mut self, host_index: u32) -> Host {
        self.generations += 1;
        let seed = self.world.seed ^ self.generations << 20;
        let now = self.time(host_index);
        let settings = &self.settings[host_index as usize];
        let mut core = host_logic(now, settings, seed, self.generations, self.reference_model);
        if let Some(core) = core.core() {
            self.restore_overrides(core, host_index, now);
            self.restore_plans(core, host_index, now);
            self.join_peers(core, host_index, now, seed);
        }
        Host {
            core,
            generation: self.generations,
            up: true,
            wake: Us::MAX,
            paused_until: 0,
            links: BTreeMap::new(),
            following: false,
            next: 0,
            submitted: BTreeMap::new(),
            asked: BTreeMap::new(),
            sessions: BTreeMap::new(),
            numbers: DIRECT_SESSION as u16,
        }
    }

    fn restore_overrides(&mut self, core: &mut Core, host_index: u32, now: Instant) {
        if !self.world.has_orders() {
            return;
        }
        let wall = self.wall(host_index);
        let kept = &mut self.kept[host_index as usize];
        let records = kept.overrides.values().cloned().collect();
        let (overrides, ended) = Overrides::new(now, wall, OVERRIDE_SETTINGS, records, kept.next);
        ended.iter().for_each(|ended| _ = kept.overrides.remove(&ended.record.id));
        core.handle_wall_clock(now, wall);
        core.with_overrides(now, overrides, PersistBatch::default());
    }

    fn restore_plans(&self, core: &mut Core, host_index: u32, now: Instant) {
        let settings = &self.settings[host_index as usize];
        let Some(block) = settings.plans_live.as_ref() else { return };
        let change_log: Vec<u8> =
            self.kept[host_index as usize].changes.values().flatten().copied().collect();
        let plans = Plans::new(now, settings, block, &change_log)
            .unwrap_or_else(|error| panic!("a trail that the lab kept: {error}"));
        let stored = if change_log.is_empty() { StoredPlans::Nothing } else { StoredPlans::ChangeLog };
        core.with_plans(now, plans, stored);
    }

    fn join_peers(&self, core: &mut Core, host_index: u32, now: Instant, seed: u64) {
        if self.world.members.is_none() {
            return;
        }
        let kept = &self.kept[host_index as usize];
        let member = member_settings(
            &self.settings[host_index as usize],
            &MEMBERSHIP,
            peer_address(host_index),
            self.generations,
            if kept.left { PreviousExit::Graceful } else { PreviousExit::Unclean },
            seed,
            kept.members.clone(),
        );
        core.with_peers(now, Peers::new(now, member));
    }

    /// Carries out what the core wants done.
    pub(super) fn poll_host(&mut self, host_index: u32) {
        if !self.hosts[host_index as usize].up || self.hosts[host_index as usize].paused_until > self.now {
            return;
        }
        let now = self.time(host_index);
        self.hosts[host_index as usize].core.handle_timeout(now);
        while let Some(o) = self.hosts[host_index as usize].core.poll_output(now) {
            match o {
                Output::Send(attempt) => self.send(host_index, *attempt),
                Output::Cancel { node, attempt } | Output::Cut { node, attempt } => {
                    let cancel = Frame::Cancel { attempt: attempt.0 }.to_bytes();
                    self.forward_to_node(host_index, node.0, &cancel, true);
                }
                Output::Answer { to, verdict } => self.answer(host_index, to, verdict),
                Output::WatchEndpointList { .. } | Output::FetchEndpointList => {
                    self.watch_endpoint_list(host_index)
                }
                Output::Persist { request, batch } => self.persist(host_index, request, batch),
                Output::AdminResponse { response, .. } => self.on_admin_response(host_index, response),
                Output::Datagram { to, bytes } => self.send_datagram(host_index, to, &bytes),
                Output::Event(_) => {}
            }
        }
        if let Some(core) =
            self.hosts[host_index as usize].core.core().filter(|_| self.world.members.is_some())
        {
            if core.have_earlier_leases_ended(now) && !core.is_leaving() {
                self.kept[host_index as usize].left = false;
            }
        }
        let host = &mut self.hosts[host_index as usize];
        let open = host.core.open_counts();
        let most = &mut self.run.max_open;
        *most = (most.0.max(open.commands), most.1.max(open.requests), most.2.max(open.attempts));
        let wake = host.core.poll_timeout(now);
        let wake = wake.map(|due| self.when(host_index, due));
        let host = &mut self.hosts[host_index as usize];
        if let Some(due) = wake.filter(|due| *due < host.wake) {
            host.wake = due.max(self.now + 1);
            let due = host.wake;
            self.push(due, Event::HostTime(host_index));
        }
    }

    /// Pauses the process of a host. Its clients close their connections, and the host notices that when it resumes.
    pub(super) fn pause_host(&mut self, host_index: u32, for_us: Us) {
        let host = &mut self.hosts[host_index as usize];
        if !host.up || host.paused_until > self.now {
            return;
        }
        host.paused_until = self.now + for_us;
        let slots: Vec<(u32, usize, u64)> = host.sessions.values().copied().collect();
        let open = std::mem::take(&mut host.submitted);
        host.asked.clear();
        for (session, command) in open.into_keys() {
            self.record(tackmast_trace::Event::Left { host: host_index, session, command });
        }
        for (c, slot, generation) in slots {
            self.on_connection_closed(c, slot, generation);
        }
        let now = self.time(host_index);
        self.hosts[host_index as usize].core.handle_session_closed(now, DIRECT_SESSION);
        self.push(self.now + for_us, Event::HostTime(host_index));
    }

    /// Nothing new is taken; what is open has half a second, and then what it has of limits goes to others.
    pub(super) fn drain_host(&mut self, host_index: u32) {
        let (now, generation) = (self.time(host_index), self.hosts[host_index as usize].generation);
        if !self.hosts[host_index as usize].up || self.reference_model.is_some() {
            return;
        }
        self.kept[host_index as usize].left = self.world.members.is_some();
        if let Some(core) = self.hosts[host_index as usize].core.core() {
            core.drain();
            core.begin_leave(now);
        }
        self.poll_host(host_index);
        self.push(self.now + 500_000, Event::Gone(host_index, generation));
    }

    /// Sends a datagram, which may be lost or duplicated.
    pub(super) fn send_datagram(&mut self, from: u32, to: std::net::SocketAddr, bytes: &Bytes) {
        let Some(h) = (0..self.world.hosts).find(|h| peer_address(*h) == to) else { return };
        let loss = self.world.members.unwrap_or(0.0);
        let apart = |x: f64| {
            let edge = (x * f64::from(self.world.hosts)) as u32;
            (from < edge) != (h < edge)
        };
        if self.split.is_some_and(apart) {
            return;
        }
        let copies = match self.generator.rand_float() {
            x if x < loss => 0,
            x if x > 1.0 - loss / 4.0 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let jitter = if loss > 0.0 { self.generator.rand_range(0..300_000) } else { 0 };
            self.push(self.now + self.world.delay_us + jitter, Event::Datagram(from, h, bytes.to_vec()));
        }
    }

    pub(super) fn kill_host(&mut self, host_index: u32, on: bool) {
        let host = &mut self.hosts[host_index as usize];
        if !on {
            return self.push(self.now, Event::HostUp(host_index));
        }
        if !host.up {
            return;
        }
        host.up = false;
        host.following = false;
        host.submitted.clear();
        host.asked.clear();
        let sessions = std::mem::take(&mut host.sessions);
        let (generation, links) = (host.generation, std::mem::take(&mut host.links));
        for (n, l) in links {
            let node = self.nodes[n as usize].address.clone();
            let attempts = l.attempts.values().copied().collect();
            self.record(tackmast_trace::Event::LinkDown { node, host: host_index, generation, attempts });
        }
        self.record(tackmast_trace::Event::HostDown { host: host_index });
        for (c, slot, slot_generation) in sessions.into_values() {
            self.clients[c as usize].slots[slot].pipe = None;
            self.push(self.now + self.world.delay_us, Event::Closed(c, slot, slot_generation));
        }
    }
}
