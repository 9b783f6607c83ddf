//! The safety properties of consensus, checked on each replica after each step.

#[cfg(test)]
mod tests;

use super::{CommittedEntry, World, LEASE};
use crate::consensus::disk::Disk;
use std::collections::BTreeSet;
use tackmast_consensus::{DiskIdentity, Replica};

/// Reads of a host that are remembered: the newest ones, which must have the most.
const MAX_READS: usize = 64;
/// Tolerance for the rounding of times, in seconds.
const ROUNDING_S: f64 = 1e-6;

impl World {
    pub(super) fn report_violation(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// Checks the safety properties of one host, after anything that it did.
    pub(super) fn check(&mut self, host: usize) {
        let Some(replica) = self.all[host].replica.take() else { return };
        self.check_replica(host, &replica);
        self.all[host].replica = Some(replica);
    }

    fn check_replica(&mut self, host: usize, replica: &Replica) {
        self.check_leader(host, replica);
        self.check_committed_entries(host, replica);
        self.check_reads(host, replica);
        self.check_lease(host, replica);
    }

    /// Election safety: at most one leader in a term.
    fn check_leader(&mut self, host: usize, replica: &Replica) {
        if !replica.raft.is_leader() {
            return;
        }
        let first = *self.leaders.entry(replica.raft.term()).or_insert(host as u32);
        if first != host as u32 {
            self.report_violation(format!("hosts {first} and {host} both lead term {}", replica.raft.term()));
        }
    }

    /// State machine safety: one committed entry at an index, for good, and each change applied once.
    fn check_committed_entries(&mut self, host: usize, replica: &Replica) {
        let (log, commit) = (replica.raft.log(), replica.commit_index());
        for index in (log.snapshot().last.index + 1).max(self.all[host].checked_index + 1)..=commit {
            let Some(entry) = log.get(index) else { continue };
            let known = self.ledger.entry(index).or_insert_with(|| CommittedEntry {
                term: entry.term,
                payload: entry.payload.clone(),
                since: self.now,
            });
            if (known.term, &known.payload) != (entry.term, &entry.payload) {
                let (known_term, known_payload) = (known.term, &known.payload);
                let what = format!(
                    "two entries are committed at {index}: {known_payload:?} of term {known_term} and, at host {host}, {:?} of term {}",
                    entry.payload, entry.term
                );
                self.report_violation(what);
            }
        }
        if commit == self.all[host].checked_index {
            return;
        }
        self.all[host].checked_index = commit;
        let applied = &self.all[host].state;
        if applied.iter().collect::<BTreeSet<_>>().len() != applied.len() {
            self.report_violation(format!("host {host} has applied a change twice: {applied:?}"));
        }
    }

    /// Linearizability: a read has all that was committed anywhere when it began.
    fn check_reads(&mut self, host: usize, replica: &Replica) {
        let commit = replica.commit_index();
        let reads = self.all[host].reads.iter().copied();
        let done: Vec<(u32, u64)> = reads.filter(|(read, _)| replica.is_read_ready(*read)).collect();
        for (done_read, newest) in done {
            self.reads_done += 1;
            self.all[host].reads.retain(|(read, _)| *read != done_read);
            if commit < newest {
                self.report_violation(format!(
                    "a read at host {host} has {commit}, but {newest} was committed when it began"
                ));
            }
        }
        let reads = &mut self.all[host].reads;
        reads.drain(..reads.len().saturating_sub(MAX_READS));
    }

    /// A host with a valid lease acts on an older state for at most the term of a lease. A host that is stopped does
    /// nothing.
    fn check_lease(&mut self, host: usize, replica: &Replica) {
        let commit = replica.commit_index();
        if self.all[host].stopped || !replica.lease_state(self.clock(host)).is_valid() {
            return;
        }
        let Some((_, newer)) = self.ledger.range(commit + 1..).next() else { return };
        let stale_s = self.now - newer.since;
        self.longest = self.longest.max(stale_s);
        if stale_s > LEASE + ROUNDING_S {
            self.report_violation(format!(
                "host {host} has {commit} and a valid lease {stale_s:.3} s after a newer commit; the lease is {LEASE} s"
            ));
        }
    }

    /// Checks all hosts as they would act now.
    pub(crate) fn check_all(&mut self) {
        (0..self.all.len()).for_each(|host| self.check(host));
    }

    /// The index of the newest entry that is known to be committed anywhere.
    pub(crate) fn committed(&self) -> u64 {
        self.ledger.keys().last().copied().unwrap_or(0)
    }

    /// Whether the group can detect that a host restarts from the old copy of its disk: the host has started from the disk
    /// since the copy was made, and all other voters have persisted that start.
    pub(crate) fn is_old_disk_detectable(&self, host: usize) -> bool {
        let process = &self.all[host];
        let Disk { mark, boot, .. } = process.disk;
        let newest = DiskIdentity { disk: mark, boot, generation: process.generation };
        let knows_newest = |voter: usize| {
            let known_disks = &self.all[voter].disk.persisted.known_disks;
            known_disks.get(&(host as u32)) == Some(&newest)
        };
        process.old_disk.as_ref().is_some_and(|old| old.mark == mark && old.boot < boot)
            && (0..self.voters as usize).filter(|voter| *voter != host).all(knows_newest)
    }
}
