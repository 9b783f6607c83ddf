//! A process of a host: its member, its disk and its clocks.

use super::{Us, PERIOD};
use crate::views::Trial;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tackmast::interface::{Instant, TimeDelta};
use tackmast_membership::{
    LeaseSettings, Member, MemberSettings, PersistedMembers, PreviousExit, ViewSettings,
};

/// Datagrams that the socket of a stopped process buffers.
const MAX_SOCKET_DATAGRAMS: usize = 200;
/// Hosts that all processes start from.
const SEED_COUNT: u32 = 3;
/// The port of seeds.
const SEED_PORT: u16 = 7400;
/// Sites over which the hosts are spread.
const SITE_COUNT: u32 = 3;

/// The address of a host's number at a port.
pub(super) fn address(slot: u32, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (slot >> 8) as u8, slot as u8], port))
}

/// A process of a host. Several may have the same number.
pub(in crate::views) struct Process {
    pub slot: u32,
    pub address: SocketAddr,
    pub site: u32,
    /// None: the process does not run.
    pub(super) member: Option<Member>,
    pub generation: u64,
    pub(super) stopped: bool,
    /// Datagrams in its socket while it is stopped.
    pub(super) buffered: Vec<(SocketAddr, Vec<u8>)>,
    /// When its timer is due.
    pub(super) wake: Us,
    /// What its disk has.
    pub disk: PersistedMembers,
    /// By how much its wall clock is ahead, in seconds.
    pub wall_offset_s: f64,
    /// The rate of its steady clock, where 1 is that of virtual time.
    pub clock_rate: f64,
    /// When it last did not run, or could not be reached.
    pub(super) unreachable_at: Us,
    pub(super) checked_until: Us,
    /// The newest generation and incarnation that its view had of each host.
    pub(super) newest: BTreeMap<u32, (u64, u32)>,
}

impl Process {
    /// A process that does not run yet, in a fleet of that number of hosts.
    pub(super) fn new(slot: u32, port: u16, hosts: u32, now: Us) -> Process {
        Process {
            slot,
            address: address(slot, port),
            site: slot * SITE_COUNT / hosts.max(1),
            member: None,
            generation: 0,
            stopped: false,
            buffered: Vec::new(),
            wake: Us::MAX,
            disk: PersistedMembers::default(),
            wall_offset_s: 0.0,
            clock_rate: 1.0,
            unreachable_at: now,
            checked_until: 0,
            newest: BTreeMap::new(),
        }
    }

    /// What its steady clock shows at a virtual time.
    pub(super) fn steady_clock(&self, time: Us) -> Instant {
        Instant::from_secs(time as f64 / 1e6 * self.clock_rate)
    }

    /// Starts the process, as a host starts: its generation is taken from its wall clock, but never below what its disk
    /// knows. Returns the number of live hosts that it knows.
    pub(super) fn start(&mut self, time: Us, trial: &Trial) -> u32 {
        let wall = (time as f64 + self.wall_offset_s * 1e6).max(1.0) as u64;
        self.generation = (wall << 12 | u64::from(self.slot & 0xfff)).max(self.disk.generation + 1);
        self.disk.generation = self.generation;
        let (now, settings) = (self.steady_clock(time), self.member_settings(trial));
        let member = match trial.fault {
            Some(fault) => Member::with_fault(now, settings, fault),
            None => Member::new(now, settings),
        };
        self.stopped = false;
        (self.unreachable_at, self.checked_until) = (time, time);
        self.newest.clear();
        self.buffered.clear();
        let live_count = member.view.live_count();
        self.member = Some(member);
        live_count
    }

    fn member_settings(&self, trial: &Trial) -> MemberSettings {
        let secs = TimeDelta::from_secs;
        MemberSettings {
            fleet: "lab".into(),
            slot: self.slot,
            generation: self.generation,
            address: self.address,
            site: Some(self.site),
            seeds: (0..SEED_COUNT).map(|slot| address(slot, SEED_PORT)).collect(),
            persisted: self.disk.peers.clone(),
            allowed_networks: Vec::new(),
            view: ViewSettings {
                protocol_period: secs(PERIOD as f64 / 1e6),
                max_hosts: trial.hosts as usize,
                extensions: trial.extensions,
            },
            leases: LeaseSettings { term: secs(2.0), leave_term: secs(60.0), drift: 0.001, owned: 0.9 },
            shared_limits: Vec::new(),
            previous_exit: PreviousExit::Unclean,
            seed: self.generation ^ trial.seed << 40,
        }
    }

    /// Buffers a datagram while the process is stopped. It is lost if the buffer of the socket is full.
    pub(super) fn buffer(&mut self, from: SocketAddr, bytes: Vec<u8>) {
        if self.buffered.len() < MAX_SOCKET_DATAGRAMS {
            self.buffered.push((from, bytes));
        }
    }
}
