//! The safety properties of consensus, checked on each replica after each step.

use super::{World, LEASE};
use std::collections::BTreeSet;
use tackmast_consensus::{DiskIdentity, Replica};

impl World {
    pub(super) fn report_violation(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }

    /// Checks the safety properties of one host, after anything that it did.
    pub(super) fn check(&mut self, host: usize) {
        let Some(s) = self.all[host].replica.take() else { return };
        self.check_replica(host, &s);
        self.all[host].replica = Some(s);
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
            let entry = (entry.term, entry.payload.clone());
            match self.ledger.get(&index) {
                Some((known, _)) if *known != entry => {
                    let what =
                        format!("two entries hold at {index}: {known:?} and, at host {host}, {entry:?}");
                    self.report_violation(what);
                }
                Some(_) => {}
                None => _ = self.ledger.insert(index, (entry, self.now)),
            }
        }
        if commit == self.all[host].checked_index {
            return;
        }
        self.all[host].checked_index = commit;
        let applied = &self.all[host].state;
        if applied.iter().collect::<BTreeSet<_>>().len() != applied.len() {
            self.report_violation(format!("host {host} has a change twice: {applied:?}"));
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
                    "a read at host {host} has {commit}, and {newest} held when it was asked"
                ));
            }
        }
        self.all[host].reads.truncate(64);
    }

    /// A host with a valid lease acts on an older state for at most the term of a lease. A host that is stopped does
    /// nothing.
    fn check_lease(&mut self, host: usize, replica: &Replica) {
        let commit = replica.commit_index();
        if self.all[host].stopped || !replica.lease_state(self.clock(host)).is_valid() {
            return;
        }
        let Some((_, (_, since))) = self.ledger.range(commit + 1..).next() else { return };
        let long = self.now - since;
        self.longest = self.longest.max(long);
        if long > LEASE + 1e-6 {
            self.report_violation(format!(
                "host {host} goes by {commit} for {long:.3} s since another held; the lease is {LEASE} s"
            ));
        }
    }

    /// Checks all hosts as they would act now.
    pub fn check_all(&mut self) {
        (0..self.all.len()).for_each(|h| self.check(h));
    }

    /// The index of the newest entry that is known to be committed anywhere.
    pub fn committed(&self) -> u64 {
        self.ledger.keys().last().copied().unwrap_or(0)
    }

    /// Whether a copy of that host's disk can be told from the disk: it was opened since the copy was made, and all other
    /// voters have that on their own disks. Else nobody is there who could know; docs/agreement.md says so.
    pub fn is_old_disk_detectable(&self, host: usize) -> bool {
        let (boot, generation, mark) =
            (self.all[host].disk.boot, self.all[host].generation, self.all[host].disk.mark);
        let newest = Some(DiskIdentity { disk: mark, boot, generation });
        let known = |v: usize| self.all[v].disk.persisted.known_disks.get(&(host as u32)).copied() == newest;
        self.all[host].old.as_ref().is_some_and(|d| d.mark == mark && d.boot < boot)
            && (0..self.voters as usize).filter(|v| *v != host).all(known)
    }
}
