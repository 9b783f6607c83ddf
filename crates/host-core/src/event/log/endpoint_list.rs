//! Logs events of the endpoint list.

use crate::event::EndpointListEvent;
use tracing::info;

/// Writes an event to the log of the process.
pub(super) fn log_endpoint_list_event(host: Option<u32>, event: &EndpointListEvent) {
    let message = event.message();
    match event {
        EndpointListEvent::NodeTableFull { address } => info!(host, address, "{message}"),
        EndpointListEvent::PeerListRolledBack { from, to, kept_for } => {
            info!(host, from, to, kept_for_secs = kept_for.secs(), "{message}");
        }
        EndpointListEvent::NodeRemovedByPeer { address, is_gone, version } => {
            info!(host, address, is_gone, version, "{message}");
        }
        EndpointListEvent::PeerRemovalsFull { max } => info!(host, max, "{message}"),
    }
}
