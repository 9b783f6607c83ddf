//! Logs events of membership.

use tackmast_membership::MembershipEvent;
use tracing::info;

/// Writes an event to the log of the process.
pub(super) fn log_membership_event(host: Option<u32>, event: &MembershipEvent) {
    let message = event.message();
    match event {
        MembershipEvent::HealthChanged { peer, alive_hosts, .. }
        | MembershipEvent::Flapping { peer, alive_hosts } => info!(host, peer, alive_hosts, "{message}"),
        MembershipEvent::SiteFailedTogether { site, hosts }
        | MembershipEvent::SiteFailedOneByOne { site, hosts } => info!(host, site, hosts, "{message}"),
        MembershipEvent::SiteLeft { site } | MembershipEvent::SiteReachable { site } => {
            info!(host, site, "{message}");
        }
        MembershipEvent::Paused { duration } => info!(host, paused_secs = duration.secs(), "{message}"),
        MembershipEvent::LocalHealthBad { score } => info!(host, score, "{message}"),
        MembershipEvent::LocalHealthGood => info!(host, "{message}"),
        MembershipEvent::Displaced { generation } | MembershipEvent::TookOver { generation, .. } => {
            info!(host, generation = format_args!("{generation:x}"), "{message}");
        }
        MembershipEvent::CatalogFork { peer, number } => info!(host, peer, number, "{message}"),
    }
}
