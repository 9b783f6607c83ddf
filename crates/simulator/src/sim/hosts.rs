//! Processes of hosts: started, polled, paused, drained and killed; and the datagrams between them.

#[cfg(test)]
mod tests;

use super::event::{Connection, Event, HostProcess};
use super::setup::host_logic;
use super::state::Host;
use super::{peer_address, Sim, Us, DIRECT_SESSION};
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::LazyLock;
use tackmast::interface::Instant;
use tackmast_config::MembershipBlock;
use tackmast_host_core::{
    member_settings, Core, Output, Peers, PersistBatch, Plans, PreviousExit, StoredPlans,
};
use tackmast_overrides::Overrides;
use tackmast_wire::node::Frame;

/// How long a host that leaves may finish what it has open, in microseconds.
const DRAIN_TIME: Us = 500_000;
/// Where datagrams may be lost, they are late by up to this much, in microseconds.
const MAX_DATAGRAM_JITTER: Us = 300_000;
/// Datagrams that are duplicated, as a fraction of those that are lost.
const DUPLICATED_PER_LOST: f64 = 0.25;
/// Bounds on the overrides of a host.
const OVERRIDE_SETTINGS: tackmast_overrides::Settings =
    tackmast_overrides::Settings { max_overrides: 1000, max_zone_fraction: 0.7 };

/// The membership settings of hosts that have peers.
static MEMBERSHIP: LazyLock<MembershipBlock> = LazyLock::new(|| MembershipBlock {
    listen: peer_address(0),
    advertise: None,
    fleet: "lab".into(),
    seeds: (0..3).map(peer_address).collect(),
    admit: Vec::new(),
    period_ms: 500.0,
    term_s: 1.0,
    leave_s: 10.0,
    drift: 0.001,
    left_file: None,
});

impl Sim<'_> {
    /// Starts the process of a host, from what it has persisted.
    pub(super) fn new_host(&mut self, host_index: u32) -> Host {
        self.generation += 1;
        let seed = self.world.seed ^ self.generation << 20;
        let now = self.steady_clock(host_index);
        let settings = &self.settings[host_index as usize];
        let mut core = host_logic(now, settings, seed, self.generation, self.reference_model);
        if let Some(core) = core.core() {
            self.restore_overrides(core, host_index, now);
            self.restore_plans(core, host_index, now);
            self.join_peers(core, host_index, now, seed);
        }
        Host {
            core,
            generation: self.generation,
            up: true,
            wake: Us::MAX,
            paused_until: 0,
            links: BTreeMap::new(),
            follows_list: false,
            command_count: 0,
            submitted: BTreeMap::new(),
            script_numbers: BTreeMap::new(),
            sessions: BTreeMap::new(),
            session_count: DIRECT_SESSION as u16,
        }
    }

    fn restore_overrides(&mut self, core: &mut Core, host_index: u32, now: Instant) {
        if !self.world.has_orders() {
            return;
        }
        let wall = self.wall_clock(host_index);
        let persisted = &mut self.persisted[host_index as usize];
        let records = persisted.overrides.values().cloned().collect();
        let (overrides, ended) =
            Overrides::new(now, wall, OVERRIDE_SETTINGS, records, persisted.next_override);
        for ended in &ended {
            persisted.overrides.remove(&ended.record.id);
        }
        core.handle_wall_clock(now, wall);
        core.enable_overrides(now, overrides, PersistBatch::default());
    }

    fn restore_plans(&self, core: &mut Core, host_index: u32, now: Instant) {
        let settings = &self.settings[host_index as usize];
        let Some(block) = settings.plans_live.as_ref() else { return };
        let changes = &self.persisted[host_index as usize].plan_changes;
        let change_log: Vec<u8> = changes.values().flatten().copied().collect();
        let plans = Plans::new(now, settings, block, &change_log)
            .unwrap_or_else(|error| panic!("the change log of a simulated host: {error}"));
        let stored = if change_log.is_empty() { StoredPlans::Nothing } else { StoredPlans::ChangeLog };
        core.enable_plans(now, plans, stored);
    }

    fn join_peers(&self, core: &mut Core, host_index: u32, now: Instant, seed: u64) {
        if self.world.members.is_none() {
            return;
        }
        let persisted = &self.persisted[host_index as usize];
        let member = member_settings(
            &self.settings[host_index as usize],
            &MEMBERSHIP,
            peer_address(host_index),
            self.generation,
            if persisted.has_left { PreviousExit::Graceful } else { PreviousExit::Unclean },
            seed,
            persisted.peers.clone(),
        );
        core.enable_peers(now, Peers::new(now, member));
    }

    /// Fires the timers of a host that are due, and executes what its core asks for.
    pub(super) fn poll_host(&mut self, host_index: u32) {
        if !self.is_running(host_index) {
            return;
        }
        let now = self.steady_clock(host_index);
        self.hosts[host_index as usize].core.handle_timeout(now);
        while let Some(output) = self.hosts[host_index as usize].core.poll_output(now) {
            self.execute_host_output(host_index, output);
        }
        self.update_has_left(host_index, now);
        let host = &mut self.hosts[host_index as usize];
        let open = host.core.open_counts();
        let (commands, requests, attempts) = self.run.max_open;
        self.run.max_open =
            (commands.max(open.commands), requests.max(open.requests), attempts.max(open.attempts));
        let clock = self.clocks[host_index as usize];
        let due = host.core.poll_timeout(now).map(|due| clock.virtual_time_of(due));
        if let Some(due) = due.filter(|due| *due < host.wake) {
            let due = due.max(self.now + 1);
            host.wake = due;
            self.schedule(due, Event::HostTimer { host: host_index });
        }
    }

    fn execute_host_output(&mut self, host_index: u32, output: Output) {
        match output {
            Output::Send(attempt) => self.send(host_index, *attempt),
            Output::Cancel { node, attempt } | Output::Cut { node, attempt } => {
                let cancel = Frame::Cancel { attempt: attempt.0 }.to_bytes();
                self.forward_to_node(host_index, node, &cancel);
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

    /// Once all quota leases of the process before have ended, the host no longer counts as one that has left.
    fn update_has_left(&mut self, host_index: u32, now: Instant) {
        if self.world.members.is_none() {
            return;
        }
        let Some(core) = self.hosts[host_index as usize].core.core() else { return };
        if core.have_earlier_leases_ended(now) && !core.is_leaving() {
            self.persisted[host_index as usize].has_left = false;
        }
    }

    /// Pauses the process of a host. Its clients close their connections, and the host notices that when it resumes.
    pub(super) fn pause_host(&mut self, host_index: u32, duration: Us) {
        let (now, resumes) = (self.now, self.now + duration);
        let host = &mut self.hosts[host_index as usize];
        if !host.up || host.paused_until >= resumes {
            return;
        }
        let was_paused = host.paused_until > now;
        host.paused_until = resumes;
        if was_paused {
            return;
        }
        let host = &mut self.hosts[host_index as usize];
        let connections: Vec<Connection> = host.sessions.values().copied().collect();
        let submitted = std::mem::take(&mut host.submitted);
        host.script_numbers.clear();
        for (session, command) in submitted.into_keys() {
            self.record(tackmast_trace::Event::Left { host: host_index, session, command });
        }
        for connection in connections {
            self.on_connection_closed(connection);
        }
        let process = self.process_of(host_index);
        self.notify_host(Event::SessionClosed { process, session: DIRECT_SESSION });
        self.schedule(resumes, Event::HostTimer { host: host_index });
    }

    /// A host leaves its peers: it takes nothing new, may finish what it has open, and ends.
    pub(super) fn drain_host(&mut self, process: HostProcess) {
        let host_index = process.host;
        let now = self.steady_clock(host_index);
        let is_up = self.is_current(process) && self.hosts[host_index as usize].up;
        if !is_up || self.reference_model.is_some() {
            return;
        }
        self.persisted[host_index as usize].has_left = self.world.members.is_some();
        if let Some(core) = self.hosts[host_index as usize].core.core() {
            core.drain();
            core.begin_leave(now);
        }
        self.poll_host(host_index);
        self.schedule(self.now + DRAIN_TIME, Event::DrainEnded { process });
    }

    /// Sends a datagram, which may be lost or duplicated.
    fn send_datagram(&mut self, from: u32, to: SocketAddr, bytes: &Bytes) {
        let Some(to) = (0..self.world.hosts).find(|host| peer_address(*host) == to) else { return };
        let loss = self.world.members.unwrap_or(0.0);
        if self.are_hosts_partitioned(from, to) {
            return;
        }
        let copies = match self.generator.rand_float() {
            drawn if drawn < loss => 0,
            drawn if drawn > 1.0 - loss * DUPLICATED_PER_LOST => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let jitter = if loss > 0.0 { self.generator.rand_range(0..MAX_DATAGRAM_JITTER) } else { 0 };
            let due = self.now + self.world.delay_us + jitter;
            self.schedule(due, Event::Datagram { from, to, bytes: bytes.to_vec() });
        }
    }

    fn are_hosts_partitioned(&self, one: u32, other: u32) -> bool {
        let Some(fraction) = self.host_partition else { return false };
        let first_of_rest = (fraction * f64::from(self.world.hosts)) as u32;
        (one < first_of_rest) != (other < first_of_rest)
    }

    /// Kills the process of a host.
    pub(super) fn kill_host(&mut self, host_index: u32) {
        let host = &mut self.hosts[host_index as usize];
        if !host.up {
            return;
        }
        host.up = false;
        host.follows_list = false;
        host.submitted.clear();
        host.script_numbers.clear();
        let sessions = std::mem::take(&mut host.sessions);
        let (generation, links) = (host.generation, std::mem::take(&mut host.links));
        for (node_index, link) in links {
            let node = self.nodes[node_index as usize].address.clone();
            let attempts = link.attempts.into_values().collect();
            self.record(tackmast_trace::Event::LinkDown { node, host: host_index, generation, attempts });
        }
        self.record(tackmast_trace::Event::HostDown { host: host_index });
        for connection in sessions.into_values() {
            self.clients[connection.client as usize].slots[connection.slot].pipe = None;
            self.schedule(self.now + self.world.delay_us, Event::Closed { connection });
        }
    }
}
