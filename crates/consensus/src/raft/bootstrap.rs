//! The beginning of a group's log, which Raft as published leaves to the operator.
//!
//! The initial voters, which the settings name, first agree on their disks: each announces the disks that it knows of,
//! records them on its own disk once it knows all, and begins the log once all others announce that they recorded the same.
//! Without this, an initial voter whose disk was lost would take part in a second log beside the first, and entries that
//! were committed in the first would be missing in it. So all initial voters have to run once, and a server without a log
//! that meets a group with one only follows.

use super::RaftNode;
use crate::event::ConsensusEvent;
use crate::log::Snapshot;
use crate::state::Write;
use std::collections::BTreeSet;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{DiskIdentity, Message, Voters};

/// Heartbeat intervals between two requests of a replica that does not vote and waits for a log.
const LEARNER_HEARTBEATS: f64 = 10.0;

/// What this replica has done to confirm the initial voters' disks.
#[derive(Clone, Debug)]
enum Confirmation {
    /// Some disks are not known yet.
    None,
    /// That write has to be persisted first.
    Writing { write_id: u64, voters: Voters },
    /// It is on disk.
    Persisted { voters: Voters },
}

impl Confirmation {
    fn voters(&self) -> Option<&Voters> {
        match self {
            Confirmation::None => None,
            Confirmation::Writing { voters, .. } | Confirmation::Persisted { voters } => Some(voters),
        }
    }

    fn persisted(&self) -> Option<&Voters> {
        match self {
            Confirmation::Persisted { voters } => Some(voters),
            _ => None,
        }
    }
}

/// State of a server that has no log yet.
#[derive(Clone, Debug)]
pub(super) struct BootstrapState {
    pub initial_voters: BTreeSet<u32>,
    pub next_announcement: Instant,
    /// The initial voters' disks, as far as they are known.
    disks: Voters,
    confirmation: Confirmation,
    /// Other initial voters that confirmed the same disks.
    confirmed_by: BTreeSet<u32>,
    /// Whether an event reported that bootstrap can't succeed.
    is_reported: bool,
    /// Whether this server only waits for a log of others.
    is_learner: bool,
}

/// The fields of a Bootstrap message.
pub(super) struct Announcement {
    pub identity: DiskIdentity,
    pub confirmed: bool,
    pub bootstrapped: bool,
    pub disks: Voters,
}

impl BootstrapState {
    /// The state of a server that may begin the log.
    pub(super) fn new(initial_voters: BTreeSet<u32>, confirmed_voters: Option<Voters>) -> BootstrapState {
        let confirmation = match confirmed_voters {
            Some(voters) => Confirmation::Persisted { voters },
            None => Confirmation::None,
        };
        BootstrapState {
            initial_voters,
            next_announcement: Instant::default(),
            disks: Voters::new(),
            confirmation,
            confirmed_by: BTreeSet::new(),
            is_reported: false,
            is_learner: false,
        }
    }

    /// The state of a server that only waits for a log of others.
    pub(super) fn learner(initial_voters: BTreeSet<u32>) -> BootstrapState {
        BootstrapState { is_learner: true, ..BootstrapState::new(initial_voters, None) }
    }

    fn takes_part(&self, host: u32) -> bool {
        self.initial_voters.contains(&host) && !self.is_learner
    }

    fn knows_all_disks(&self) -> bool {
        self.initial_voters.iter().all(|host| self.disks.contains_key(host))
    }

    /// Whether the voter has another disk than the one that was confirmed.
    fn has_changed_disk(&self, host: u32, disk: u64) -> bool {
        let known = self.disks.get(&host);
        self.confirmation.voters().is_some() && known.is_some_and(|known| *known != disk)
    }
}

impl RaftNode {
    pub(super) fn handle_bootstrap_timeout(&mut self, now: Instant) {
        let own_host = self.host;
        let Some(bootstrap) = &mut self.bootstrap else { return };
        if now < bootstrap.next_announcement {
            return;
        }
        let takes_part = bootstrap.takes_part(own_host);
        let heartbeats = if takes_part { 1.0 } else { LEARNER_HEARTBEATS };
        bootstrap.next_announcement = now + self.settings.heartbeats(heartbeats);
        let others: Vec<u32> =
            bootstrap.initial_voters.iter().copied().filter(|host| *host != own_host).collect();
        if takes_part {
            self.announce_disks(others);
            self.advance_bootstrap(now);
        } else {
            self.ask_for_log(&others);
        }
    }

    fn announce_disks(&mut self, others: Vec<u32>) {
        let identity = self.identity;
        let Some(bootstrap) = &mut self.bootstrap else { return };
        bootstrap.disks.insert(self.host, identity.disk);
        let persisted = bootstrap.confirmation.persisted();
        let confirmed = persisted.is_some();
        let disks = persisted.unwrap_or(&bootstrap.disks).clone();
        for to in others {
            let disks = disks.clone();
            self.send(to, Message::Bootstrap { identity, confirmed, bootstrapped: false, disks });
        }
    }

    fn ask_for_log(&mut self, others: &[u32]) {
        let choice = self.random.rand_range(0..others.len().max(1) as u64) as usize;
        if let Some(to) = others.get(choice) {
            self.send(*to, Message::FetchCommitted { stored_index: 0 });
        }
    }

    pub(super) fn handle_bootstrap(&mut self, now: Instant, from: u32, announcement: Announcement) {
        let Some(bootstrap) = &self.bootstrap else {
            return self.announce_existing_log(from, announcement.bootstrapped);
        };
        if announcement.bootstrapped {
            return self.handle_existing_log(now, from, announcement.disks);
        }
        if !bootstrap.initial_voters.contains(&from) || !bootstrap.takes_part(self.host) {
            return;
        }
        self.handle_announcement(now, from, announcement);
    }

    /// This group has a log. A server that has none is sent the disks of its voters.
    fn announce_existing_log(&mut self, to: u32, is_known_there: bool) {
        if is_known_there {
            return;
        }
        let (identity, disks) = (self.identity, self.voters().clone());
        let announcement = Message::Bootstrap { identity, confirmed: true, bootstrapped: true, disks };
        self.send_after_persist(to, announcement);
    }

    fn handle_existing_log(&mut self, now: Instant, from: u32, voters: Voters) {
        let Some(bootstrap) = &mut self.bootstrap else { return };
        if bootstrap.confirmation.persisted() == Some(&voters) {
            return self.finish_bootstrap(now, voters);
        }
        // The log began without this disk, or its voters have changed since: this server only follows.
        if !std::mem::replace(&mut bootstrap.is_reported, true) {
            self.emit(ConsensusEvent::NotBootstrappedWithDisk { host: self.host });
        }
        self.send(from, Message::FetchCommitted { stored_index: 0 });
    }

    fn handle_announcement(&mut self, now: Instant, from: u32, announcement: Announcement) {
        let Announcement { identity, confirmed, disks, .. } = announcement;
        let Some(bootstrap) = &mut self.bootstrap else { return };
        if bootstrap.has_changed_disk(from, identity.disk) && !bootstrap.is_reported {
            bootstrap.is_reported = true;
            return self.emit(ConsensusEvent::BootstrapDiskChanged { peer: from });
        }
        bootstrap.disks.insert(from, identity.disk);
        if confirmed && bootstrap.confirmation.voters() == Some(&disks) {
            bootstrap.confirmed_by.insert(from);
        }
        self.advance_bootstrap(now);
    }

    /// Confirms the disks once all are known, and begins the log once all have confirmed them.
    fn advance_bootstrap(&mut self, now: Instant) {
        let own_host = self.host;
        let Some(bootstrap) = &self.bootstrap else { return };
        match &bootstrap.confirmation {
            Confirmation::None
                if bootstrap.knows_all_disks() && bootstrap.initial_voters.contains(&own_host) =>
            {
                self.confirm_disks(bootstrap.disks.clone());
            }
            Confirmation::Persisted { voters } => {
                let mut others = bootstrap.initial_voters.iter().filter(|host| **host != own_host);
                if others.all(|host| bootstrap.confirmed_by.contains(host)) {
                    self.finish_bootstrap(now, voters.clone());
                }
            }
            _ => {}
        }
    }

    fn confirm_disks(&mut self, voters: Voters) {
        self.write(Write { confirmed_voters: Some(voters.clone()), ..Write::default() });
        let write_id = self.last_write;
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.confirmation = Confirmation::Writing { write_id, voters };
        }
    }

    pub(super) fn on_bootstrap_persisted(&mut self, now: Instant) {
        let Some(bootstrap) = &mut self.bootstrap else { return };
        let Confirmation::Writing { write_id, voters } = &bootstrap.confirmation else { return };
        if *write_id <= self.persisted_write {
            bootstrap.confirmation = Confirmation::Persisted { voters: voters.clone() };
            bootstrap.next_announcement = now;
            self.handle_bootstrap_timeout(now);
        }
    }

    fn finish_bootstrap(&mut self, now: Instant, voters: Voters) {
        let event = ConsensusEvent::Bootstrapped { voters: voters.len() };
        self.bootstrap = None;
        let log_id = derive_log_id(&voters);
        self.log.restore(Snapshot { log_id, voters, ..Snapshot::default() });
        self.write_snapshot();
        self.reset_election_timer(now);
        self.emit(event);
    }
}

/// The id of the log. All initial voters derive the same one, from the ids of their disks, which are random.
fn derive_log_id(voters: &Voters) -> u64 {
    let mix = |id: u64, disk: &u64| (id ^ disk).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    voters.values().fold(1, mix)
}
