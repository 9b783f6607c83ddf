//! Logs events of consensus.

use tackmast_consensus::ConsensusEvent;
use tracing::info;

/// Writes an event to the log of the process. `host` is this host; the field `peer` is another host that the event is about.
pub(super) fn log_consensus_event(host: Option<u32>, event: &ConsensusEvent) {
    let message = event.message();
    match event {
        ConsensusEvent::DiskFailed | ConsensusEvent::Joined => info!(host, "{message}"),
        ConsensusEvent::BecameLeader { term, last_index, commit_index } => {
            info!(host, term, last_index, commit_index, "{message}");
        }
        ConsensusEvent::SteppedDown { term } => info!(host, term, "{message}"),
        ConsensusEvent::QuorumLost { silent_for, reachable, quorum } => {
            info!(host, silent_secs = silent_for.secs(), reachable, quorum, "{message}");
        }
        ConsensusEvent::FollowsLeader { leader, term } => info!(host, leader, term, "{message}"),
        ConsensusEvent::Bootstrapped { voters } => info!(host, voters, "{message}"),
        ConsensusEvent::NotBootstrappedWithDisk { .. } | ConsensusEvent::StaleDisk { .. } => {
            info!(host, "{message}");
        }
        ConsensusEvent::BootstrapDiskChanged { peer } | ConsensusEvent::OtherLog { peer } => {
            info!(host, peer, "{message}");
        }
        ConsensusEvent::LogForced { commit_index, log_id, .. } => {
            info!(host, commit_index, log_id = format_args!("{log_id:x}"), "{message}");
        }
        ConsensusEvent::LogDiscarded { commit_index, .. }
        | ConsensusEvent::LeaseValid { commit_index }
        | ConsensusEvent::LeaseExpired { commit_index } => info!(host, commit_index, "{message}"),
    }
}
