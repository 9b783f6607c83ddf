//! Detects changes of the decisions of the membership state machines, by a seeded simulation of a few members. Their
//! datagrams are lost, duplicated and reordered, and members are isolated, paused, leave, and restart from what they
//! persisted. Failure detection, quota leases, operators' overrides, catalog updates and endpoint list removals all
//! run. All outputs are added to a SHA-256 hash, which is compared with a constant. The hash covers only encoded bytes
//! and numbers, so that renaming a type or rewording a log line does not change it, while any other decision does.

use bytes::Bytes;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::*;
use tackmast_overrides::Origin;
use tackmast_wire::peer::Body;

/// Length of a step, in simulated seconds.
const STEP: f64 = 0.02;
/// Number of steps of a run.
const STEPS: u64 = 4_000;
/// LUN of the shared volume.
const VOLUME: u32 = 1;
/// Limit of the shared volume, in units per second.
const LIMIT: f64 = 100.0;
/// Length of one catalog update in bytes, which is more than one datagram holds.
const UPDATE_BYTES: usize = 3_000;

/// Hash of all outputs, which depends only on their values.
#[derive(Default)]
struct OutputHash(Sha256);

impl OutputHash {
    fn number(&mut self, number: u64) {
        self.0.update(number.to_be_bytes());
    }

    fn numbers(&mut self, numbers: impl IntoIterator<Item = u64>) {
        numbers.into_iter().for_each(|number| self.number(number));
    }

    fn real(&mut self, real: f64) {
        self.number(real.to_bits());
    }

    fn time(&mut self, time: Instant) {
        self.real(time.secs());
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.0.update(bytes);
    }

    fn address(&mut self, address: SocketAddr) {
        self.bytes(address.to_string().as_bytes());
    }

    /// Adds only the digits of a log line, as its text may change.
    fn log_line(&mut self, line: &str) {
        let digits: Vec<u8> = line.bytes().filter(u8::is_ascii_digit).collect();
        self.bytes(&digits);
    }

    /// Adds the encoded bytes of a message.
    fn body(&mut self, body: Body) {
        let me = MemberUpdate {
            slot: 0,
            generation: 0,
            incarnation: 0,
            health: Health::Alive,
            address: address(0),
            site: None,
            suspected_by: None,
        };
        let datagram = Datagram { fleet: String::new(), sender: me, body, updates: Vec::new() };
        self.bytes(&datagram.to_bytes());
    }

    fn origin(&mut self, origin: &Origin) {
        self.numbers([u64::from(origin.slot), origin.generation, origin.number]);
    }

    fn to_hex(&self) -> String {
        self.0.clone().finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

#[derive(Default)]
struct Host {
    member: Option<Member>,
    generation: u64,
    /// Peers that the host last persisted.
    persisted_members: PersistedMembers,
    /// Catalog updates that the host persisted.
    updates: BTreeMap<u64, Bytes>,
    has_left: bool,
    leaves_at: Option<f64>,
    starts_at: f64,
    isolated_until: f64,
    paused_until: f64,
    /// Units per second that its clients demand.
    demand: f64,
    overrides: Vec<Origin>,
    /// Members that the host considered dead at the end of the last step.
    dead: BTreeSet<u32>,
}

struct InFlight {
    due: f64,
    number: u64,
    from: SocketAddr,
    to: u32,
    bytes: Bytes,
}

/// Counts of what happened in a run, so that a trivial run fails the test.
#[derive(Debug, Default)]
struct Totals {
    inputs: u64,
    restarts: u64,
    suspected: u64,
    refuted: u64,
    died: u64,
    returned: u64,
    taken_over: u64,
    steps_with_borrowed_quota: u64,
    overrides_set: u64,
    overrides_cleared: u64,
    updates_received: u64,
    nodes_removed: u64,
    persisted_members: u64,
    consensus_messages: u64,
}

/// Size of a group, and the faults of its network.
#[derive(Clone, Copy)]
struct Group {
    members: u32,
    protocol_period: f64,
    extensions: fn() -> Extensions,
    loss: f64,
    duplication: f64,
    max_delay: f64,
}

struct Simulation {
    group: Group,
    hosts: Vec<Host>,
    in_flight: Vec<InFlight>,
    sent: u64,
    now: f64,
    incarnations: u64,
    override_number: u64,
    update_number: u64,
    list_version: u64,
    random: oorandom::Rand64,
    hash: OutputHash,
    totals: Totals,
}

fn address(host: u32) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8], 7000))
}

fn update_text(number: u64) -> Bytes {
    Bytes::from((0..UPDATE_BYTES as u64).map(|offset| (offset * number) as u8).collect::<Vec<u8>>())
}

/// Returns a number that stands for the digest of all updates up to this one.
fn update_digest_prefix(number: u64) -> u64 {
    number * 1_000_003
}

impl Simulation {
    fn new(group: Group, seed: u64) -> Simulation {
        Simulation {
            group,
            hosts: (0..group.members).map(|_| Host::default()).collect(),
            in_flight: Vec::new(),
            sent: 0,
            now: 0.0,
            incarnations: 0,
            override_number: 0,
            update_number: 0,
            list_version: 0,
            random: oorandom::Rand64::new(u128::from(seed)),
            hash: OutputHash::default(),
            totals: Totals::default(),
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.rand_float() < probability
    }

    fn random_host(&mut self) -> u32 {
        self.random.rand_range(0..self.hosts.len() as u64) as u32
    }

    /// Returns the time of a host's own clock. Each host's clock starts at another time and runs at a slightly
    /// different rate.
    fn clock(&self, host: u32) -> Instant {
        Instant::from_secs(100.0 * f64::from(host + 1) + self.now * (1.0 + 0.0005 * f64::from(host)))
    }

    fn host(&mut self, host: u32) -> &mut Host {
        &mut self.hosts[host as usize]
    }

    /// Applies one input to a host's member, and handles the outputs that follow.
    fn input(&mut self, host: u32, apply: impl FnOnce(&mut Member, Instant)) {
        let now = self.clock(host);
        let Some(member) = self.host(host).member.as_mut() else { return };
        apply(member, now);
        self.totals.inputs += 1;
        self.handle_outputs(host);
    }

    fn handle_outputs(&mut self, host: u32) {
        let mut received = Vec::new();
        while let Some(output) = self.host(host).member.as_mut().and_then(|member| member.poll_output()) {
            self.hash.number(u64::from(host));
            if let Output::CatalogUpdate(update) = &output {
                received.push(update.number);
            }
            self.handle_output(host, output);
        }
        received.into_iter().for_each(|number| self.apply_update(host, number));
    }

    fn handle_output(&mut self, host: u32, output: Output) {
        match output {
            Output::Send { to, bytes } => {
                self.hash.number(1);
                self.hash.address(to);
                self.hash.bytes(&bytes);
                self.transmit(host, to, bytes);
            }
            Output::Event(event) => {
                self.hash.number(2);
                self.hash.log_line(&event.to_string());
            }
            Output::Override(OverrideEvent::Set { origin, record, seconds }) => {
                self.hash.number(3);
                self.hash.origin(&origin);
                self.hash.body(Body::Overrides(vec![record]));
                self.hash.real(seconds);
                self.totals.overrides_set += 1;
            }
            Output::Override(OverrideEvent::Clear { origin }) => {
                self.hash.number(4);
                self.hash.origin(&origin);
                self.totals.overrides_cleared += 1;
            }
            Output::CatalogUpdate(update) => {
                self.hash.number(5);
                self.hash.number(update.number);
                self.hash.bytes(&update.text);
                self.totals.updates_received += 1;
            }
            Output::Persist(persisted_members) => {
                self.hash.number(6);
                self.hash.number(persisted_members.generation);
                for KnownPeer { slot, generation, address } in &persisted_members.peers {
                    self.hash.numbers([u64::from(*slot), *generation]);
                    self.hash.address(*address);
                }
                self.totals.persisted_members += 1;
                self.host(host).persisted_members = persisted_members;
            }
            Output::EndpointList(notice) => self.hash_list_notice(notice),
            Output::Consensus { from, slot, body } => {
                self.hash.number(8);
                self.hash.address(from);
                self.hash.number(u64::from(slot));
                self.hash.body(body);
                self.totals.consensus_messages += 1;
            }
        }
    }

    fn hash_list_notice(&mut self, notice: EndpointListNotice) {
        self.hash.number(7);
        match notice {
            EndpointListNotice::Behind { version } => self.hash.numbers([1, version]),
            EndpointListNotice::Removed { version, removal } => {
                self.hash.numbers([2, version, u64::from(removal.gone)]);
                self.hash.bytes(removal.address.as_bytes());
                self.totals.nodes_removed += 1;
            }
            EndpointListNotice::RolledBack { from, to } => self.hash.numbers([3, from, to]),
        }
    }

    /// Applies a catalog update on a host, which sends its version to peers.
    fn apply_update(&mut self, host: u32, number: u64) {
        let text = update_text(number);
        self.host(host).updates.insert(number, text.clone());
        self.input(host, |member, now| {
            let deadline = member.catalog.deadline(number, now);
            let version = CatalogVersion { number, digest_prefix: update_digest_prefix(number) };
            member.handle_catalog_applied(now, version, text, deadline);
        });
    }

    fn transmit(&mut self, from: u32, to: SocketAddr, bytes: Bytes) {
        let Some(to_host) = (0..self.group.members).find(|host| address(*host) == to) else { return };
        let is_isolated = |host: u32| self.hosts[host as usize].isolated_until > self.now;
        if is_isolated(from) || is_isolated(to_host) || self.chance(self.group.loss) {
            return;
        }
        let copies = 1 + u64::from(self.chance(self.group.duplication));
        for _ in 0..copies {
            let due = self.now + self.random.rand_float() * self.group.max_delay;
            self.sent += 1;
            let (from, bytes) = (address(from), bytes.clone());
            self.in_flight.push(InFlight { due, number: self.sent, from, to: to_host, bytes });
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        let is_paused = |host: u32| self.hosts[host as usize].paused_until > now;
        let (mut due, later): (Vec<InFlight>, Vec<InFlight>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|datagram| datagram.due <= now && !is_paused(datagram.to));
        self.in_flight = later;
        due.sort_by(|left, right| left.due.total_cmp(&right.due).then(left.number.cmp(&right.number)));
        for InFlight { from, to, bytes, .. } in due {
            self.input(to, |member, now| member.handle_datagram(now, from, bytes));
        }
    }

    fn start(&mut self, number: u32) {
        let now = self.clock(number);
        self.incarnations += 1;
        // Sometimes the clock was set back, and the new generation has a lower number than the previous one.
        let is_clock_set_back = self.chance(0.2);
        let seconds = TimeDelta::from_secs;
        let group = self.group;
        let incarnation = self.incarnations;
        let host = self.host(number);
        host.generation =
            if is_clock_set_back { host.generation.saturating_sub(1).max(1) } else { 10 * incarnation };
        let settings = MemberSettings {
            fleet: "fleet-a".into(),
            slot: number,
            generation: host.generation,
            address: address(number),
            site: Some(number % 2),
            seeds: vec![address(0), address(1)],
            persisted: host.persisted_members.peers.clone(),
            allowed_networks: vec!["10.0.0.0/16".parse().unwrap()],
            view: ViewSettings {
                protocol_period: seconds(group.protocol_period),
                max_hosts: group.members as usize,
                extensions: (group.extensions)(),
            },
            leases: LeaseSettings { term: seconds(1.0), leave_term: seconds(4.0), drift: 0.002, owned: 0.9 },
            shared_limits: vec![SharedLimit {
                volume: VOLUME,
                limit: LIMIT,
                owners: (0..group.members).collect(),
            }],
            previous_exit: if std::mem::take(&mut host.has_left) {
                PreviousExit::Graceful
            } else {
                PreviousExit::Unclean
            },
            seed: incarnation,
        };
        let mut member = Member::new(now, settings);
        let newest = host.updates.keys().last().copied().unwrap_or(0);
        let digest_prefix = if newest > 0 { update_digest_prefix(newest) } else { 0 };
        let updates = host.updates.iter();
        let updates = updates.map(|(number, text)| CatalogUpdate { number: *number, text: text.clone() });
        member.catalog.enable(CatalogVersion { number: newest, digest_prefix }, updates);
        host.member = Some(member);
        host.dead.clear();
        host.overrides.clear();
        self.handle_outputs(number);
    }

    /// Ends a host's process. Its next generation has only what this one persisted.
    fn stop(&mut self, number: u32) {
        let Some(member) = self.host(number).member.take() else { return };
        self.add_counters(&member);
        self.totals.restarts += 1;
        let starts_at = self.now + 0.2 + self.random.rand_float() * 6.0;
        let host = self.host(number);
        host.starts_at = starts_at;
        host.leaves_at = None;
    }

    fn add_counters(&mut self, member: &Member) {
        let view = member.view.counters;
        self.totals.suspected += view.suspected;
        self.totals.refuted += view.refuted;
        self.totals.taken_over += view.taken_over;
        let hash = &mut self.hash;
        hash.numbers([view.suspected, view.refuted, view.dead, view.declared_dead, view.accused]);
        hash.numbers([view.out_of_range, view.pauses, view.damped, view.taken_over]);
        let counters = member.counters;
        hash.numbers([counters.sent, counters.sent_bytes, counters.received, counters.rejected]);
        hash.numbers([counters.malformed, counters.dropped, counters.wrong_address, counters.other_fleets]);
    }

    /// Injects faults at random: restarts, isolations and pauses of a process. Also lets hosts leave gracefully.
    fn inject_faults(&mut self) {
        let host = self.random_host();
        let until = self.now + 0.5 + self.random.rand_float() * 4.0;
        if self.chance(0.004) {
            self.stop(host);
        }
        if self.chance(0.004) {
            self.host(host).isolated_until = until;
        }
        if self.chance(0.004) {
            self.host(host).paused_until = until;
        }
        if self.chance(0.002) && self.host(host).leaves_at.is_none() && self.host(host).member.is_some() {
            self.host(host).leaves_at = Some(self.now + 1.0);
            self.input(host, |member, now| member.begin_leave(now));
        }
    }

    fn run_timers(&mut self) {
        for number in 0..self.group.members {
            let (now, clock) = (self.now, self.clock(number));
            let host = self.host(number);
            if host.paused_until > now {
                continue;
            }
            let Some(member) = &host.member else {
                if host.starts_at <= now {
                    self.start(number);
                }
                continue;
            };
            let is_due = member.poll_timeout() <= clock;
            if is_due {
                self.input(number, |member, now| member.handle_timeout(now));
            }
            if self.host(number).leaves_at.is_some_and(|at| at <= now) {
                self.input(number, |member, now| member.announce_leave(now));
                self.host(number).has_left = true;
                self.stop(number);
            }
        }
    }

    /// Generates clients' demand, operators' overrides, catalog updates, endpoint lists and consensus messages at random.
    fn run_inputs(&mut self) {
        for host in 0..self.group.members {
            if self.chance(0.01) {
                let demand = self.random.rand_float() * LIMIT * 0.8;
                self.host(host).demand = if self.chance(0.5) { 0.0 } else { demand };
            }
            let units = self.hosts[host as usize].demand * STEP;
            if units > 0.0 {
                self.input(host, |member, now| member.record_demand(now, VOLUME, units));
            }
        }
        let host = self.random_host();
        if self.chance(0.01) {
            self.set_override(host);
        }
        if self.chance(0.005) {
            self.clear_random_override(host);
        }
        if self.chance(0.005) {
            self.publish_update(host);
        }
        if self.chance(0.01) {
            self.receive_list(host);
        }
        if self.chance(0.1) {
            let to = address(self.random_host());
            let bytes = Bytes::from(self.sent.to_be_bytes().to_vec());
            self.input(host, |member, _| member.send(to, Body::Consensus { bytes }));
        }
    }

    fn set_override(&mut self, host: u32) {
        if self.hosts[host as usize].member.is_none() {
            return;
        }
        self.override_number += 1;
        let (number, generation) = (self.override_number, self.hosts[host as usize].generation);
        let remaining_ms = 2_000 + self.random.rand_range(0..30_000);
        let kinds = [OverrideKind::Out, OverrideKind::Pinned, OverrideKind::Weight(0.25)];
        let record = OverrideRecord {
            slot: host,
            generation,
            number,
            kind: kinds[number as usize % kinds.len()],
            target: format!("zone:{}", number % 3),
            reason: "maintenance".into(),
            who: "operator".into(),
            remaining_ms,
            total_ms: remaining_ms,
            cleared: false,
        };
        self.host(host).overrides.push(Origin { slot: host, generation, number });
        self.input(host, |member, now| member.add_override(now, record));
    }

    fn clear_random_override(&mut self, host: u32) {
        let Some(origin) = self.host(host).overrides.pop() else { return };
        self.input(host, |member, _| member.clear_override(origin));
    }

    /// Publishes the next catalog update on a host, if it has the newest one.
    fn publish_update(&mut self, host: u32) {
        let newest = self.hosts[host as usize].updates.keys().last().copied().unwrap_or(0);
        let is_up = self.hosts[host as usize].member.is_some();
        if !is_up || newest != self.update_number {
            return;
        }
        self.update_number += 1;
        self.apply_update(host, self.update_number);
    }

    /// Passes a newer version of the endpoint list to a host, and rarely an older one.
    fn receive_list(&mut self, host: u32) {
        self.list_version += 1;
        let version = if self.chance(0.1) { self.list_version / 2 } else { self.list_version };
        let removal =
            |node: u64| NodeRemoval { address: format!("10.1.0.{node}:3260"), gone: node.is_multiple_of(2) };
        let removals: Vec<NodeRemoval> = (0..version % 25).map(removal).collect();
        self.input(host, |member, now| member.handle_endpoint_list(now, version, removals));
    }

    fn hash_status(&mut self) {
        for number in 0..self.group.members {
            let now = self.clock(number);
            let host = &mut self.hosts[number as usize];
            let Some(member) = &host.member else { continue };
            let hash = &mut self.hash;
            let mut dead = BTreeSet::new();
            for (slot, state) in &member.snapshot() {
                hash.numbers([
                    u64::from(*slot),
                    state.generation,
                    u64::from(state.incarnation),
                    state.health as u64,
                ]);
                hash.address(state.address);
                hash.time(state.since);
                if state.health == Health::Dead {
                    dead.insert(*slot);
                }
            }
            self.totals.died += dead.difference(&host.dead).count() as u64;
            self.totals.returned += host.dead.difference(&dead).count() as u64;
            host.dead = dead;
            hash.numbers([u64::from(member.live_count()), u64::from(member.view.local_health_score())]);
            hash.numbers([u64::from(member.view.digest()), u64::from(member.overrides.digest(now))]);
            hash.numbers(member.view.stable(now).into_iter().map(u64::from));
            hash.number(u64::from(member.view.is_displaced()));
            hash.number(member.catalog.newest());
            hash.time(member.poll_timeout());
            if let Some(quota_balance) = member.quota_balance(now, VOLUME) {
                hash.real(quota_balance.lent);
                hash.real(quota_balance.borrowed);
                hash.time(quota_balance.until);
                self.totals.steps_with_borrowed_quota += u64::from(quota_balance.borrowed > 0.0);
            }
        }
    }

    fn run(mut self) -> (String, Totals) {
        for _ in 0..STEPS {
            self.now += STEP;
            self.inject_faults();
            self.deliver_due();
            self.run_timers();
            self.run_inputs();
            self.hash_status();
        }
        (0..self.group.members).for_each(|host| self.stop(host));
        (self.hash.to_hex(), self.totals)
    }
}

fn four_members() -> Group {
    Group {
        members: 4,
        protocol_period: 0.2,
        extensions: Extensions::none,
        loss: 0.05,
        duplication: 0.05,
        max_delay: 0.08,
    }
}

fn six_members() -> Group {
    Group {
        members: 6,
        protocol_period: 0.3,
        extensions: Extensions::all,
        loss: 0.1,
        duplication: 0.1,
        max_delay: 0.15,
    }
}

fn assert_not_trivial(totals: &Totals) {
    assert!(totals.inputs >= 10_000 && totals.restarts >= 10, "{totals:?}");
    assert!(totals.suspected >= 20 && totals.refuted >= 1, "{totals:?}");
    assert!(totals.died >= 20 && totals.returned >= 10, "{totals:?}");
    assert!(totals.steps_with_borrowed_quota >= 500, "{totals:?}");
    assert!(totals.overrides_set >= 20 && totals.overrides_cleared >= 2, "{totals:?}");
    assert!(totals.updates_received >= 10 && totals.nodes_removed >= 20, "{totals:?}");
    assert!(totals.persisted_members >= 20 && totals.consensus_messages >= 50, "{totals:?}");
}

/// Asserts that the hashes of all seeds are as expected, and lists those that differ.
fn assert_hashes(group: Group, expected: &[(u64, &str)]) {
    let mut differences = Vec::new();
    for (seed, expected) in expected {
        let (hash, totals) = Simulation::new(group, *seed).run();
        println!("seed {seed}: {totals:?}");
        assert_not_trivial(&totals);
        if hash != *expected {
            differences.push(format!("seed {seed}: {hash}"));
        }
    }
    assert!(differences.is_empty(), "decisions changed:\n{}", differences.join("\n"));
}

/// Four members run plain SWIM over a network with losses, duplicates and delays, and restart, pause and leave. A change of
/// the code that is not meant to alter decisions must leave all that they send and report unchanged.
#[test]
fn four_members_with_plain_swim_decide_as_before() {
    assert_hashes(
        four_members(),
        &[
            (1, "c5079d82c4b477720fe488d699d2e2645386c08b6773332a792372fb23a237e2"),
            (2, "33bdbe703e87d65641318a9ccd17bb8c45d10cc8c031edac554581a625ec5432"),
            (3, "73edfb3e59a319bf310e69a586d22271b39fed44e5262639778410f24baecd22"),
        ],
    );
}

/// Six members run with all extensions over a network with more losses, duplicates and delays. A change of the code that is
/// not meant to alter decisions must leave all that they send and report unchanged.
#[test]
fn six_members_with_all_extensions_decide_as_before() {
    assert_hashes(
        six_members(),
        &[
            (4, "8247698408b7d40993d178d800f8ae2d421c7c353f11cacf3338bb4733404422"),
            (5, "2ebdfde01393b660cff184a27406b1af5cb6acb3ca29d569a3715bd49469a921"),
            (6, "6acd03cc348176ffb30e3ad2b879e16c4df89e4e5961be678e6a281face58028"),
        ],
    );
}

/// If the hash differed between two runs with the same seed, it would not show whether the code changed.
#[test]
fn the_same_seed_gives_the_same_hash() {
    let hash = || Simulation::new(six_members(), 7).run().0;
    assert_eq!(hash(), hash());
}
