//! Bootstrap of a group's log, which Raft as published does not specify.
//!
//! The initial voters, which the settings name, first agree on their disks. Each announces the disks that it knows,
//! persists them once it knows all, and starts the log once all others have announced that they persisted the same
//! disks. Without this agreement an initial voter that lost its disk could help to start a second log, which would lack
//! entries that were committed in the first. Bootstrap therefore requires that every initial voter runs at least once,
//! and a server without a log that finds a group with one joins as a learner.

use super::RaftNode;
use crate::event::ConsensusEvent;
use crate::log::Snapshot;
use crate::state::Write;
use std::collections::BTreeSet;
use tackmast::interface::Instant;
use tackmast_wire::consensus::{DiskIdentity, Message, Voters};

/// Number of heartbeat intervals between two requests for a log by a learner that has none.
const LEARNER_REQUEST_HEARTBEATS: f64 = 10.0;

/// This server's confirmation of the initial voters' disks.
#[derive(Clone, Debug)]
enum Confirmation {
    /// Some disks are not known yet.
    None,
    /// The confirmation is being written.
    Writing { write_id: u64, voters: Voters },
    /// The confirmation is on disk.
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
    /// The known disks of the initial voters.
    disks: Voters,
    confirmation: Confirmation,
    /// Other initial voters that have confirmed the same disks.
    confirmed_by: BTreeSet<u32>,
    /// Whether an event has reported that bootstrap failed.
    failure_reported: bool,
    /// Whether this server only joins an existing log and takes no part in bootstrap.
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
    /// Returns the state of a server that may start the log as an initial voter.
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
            failure_reported: false,
            is_learner: false,
        }
    }

    /// Returns the state of a server that only joins an existing log.
    pub(super) fn learner(initial_voters: BTreeSet<u32>) -> BootstrapState {
        BootstrapState { is_learner: true, ..BootstrapState::new(initial_voters, None) }
    }

    fn takes_part(&self, host: u32) -> bool {
        self.initial_voters.contains(&host) && !self.is_learner
    }

    fn knows_all_disks(&self) -> bool {
        self.initial_voters.iter().all(|host| self.disks.contains_key(host))
    }

    /// Returns whether `disk` differs from the host's disk that this server confirmed.
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
        let heartbeats = if takes_part { 1.0 } else { LEARNER_REQUEST_HEARTBEATS };
        bootstrap.next_announcement = now + self.settings.heartbeats(heartbeats);
        let others: Vec<u32> =
            bootstrap.initial_voters.iter().copied().filter(|host| *host != own_host).collect();
        if takes_part {
            self.announce_disks(others);
            self.advance_bootstrap(now);
        } else {
            self.request_log(&others);
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

    fn request_log(&mut self, others: &[u32]) {
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

    /// Sends the voters' disks to a server that has no log, as this group has one.
    fn announce_existing_log(&mut self, to: u32, has_log: bool) {
        if has_log {
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
        // The log was started without this disk, or its voters have changed since, so this server joins as a learner.
        if !std::mem::replace(&mut bootstrap.failure_reported, true) {
            self.emit(ConsensusEvent::NotBootstrappedWithDisk { host: self.host });
        }
        self.send(from, Message::FetchCommitted { stored_index: 0 });
    }

    fn handle_announcement(&mut self, now: Instant, from: u32, announcement: Announcement) {
        let Announcement { identity, confirmed, disks, .. } = announcement;
        let Some(bootstrap) = &mut self.bootstrap else { return };
        if bootstrap.has_changed_disk(from, identity.disk) && !bootstrap.failure_reported {
            bootstrap.failure_reported = true;
            return self.emit(ConsensusEvent::BootstrapDiskChanged { peer: from });
        }
        bootstrap.disks.insert(from, identity.disk);
        if confirmed && bootstrap.confirmation.voters() == Some(&disks) {
            bootstrap.confirmed_by.insert(from);
        }
        self.advance_bootstrap(now);
    }

    /// Confirms the disks once all are known, and starts the log once all initial voters have confirmed them.
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

/// Returns the id of the log. All initial voters derive the same id from the ids of their disks, which are random.
fn derive_log_id(voters: &Voters) -> u64 {
    let mix = |id: u64, disk: &u64| (id ^ disk).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    voters.values().fold(1, mix)
}
