//! Identity and resources of a link.

use crate::messages::Event;
use crate::Clock;
use crossbeam_channel::Sender;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tackmast::interface::NodeId;
use tackmast_config::HostSettings;

/// The node of a link, and the resources that the parts of the link share.
pub(super) struct LinkContext {
    pub(super) node: NodeId,
    pub(super) address: SocketAddr,
    pub(super) settings: Arc<HostSettings>,
    pub(super) clock: Clock,
    pub(super) events: Sender<Event>,
    /// The host's generation, which is sent to the node.
    pub(super) generation: u64,
}

impl LinkContext {
    /// Returns how long a connection may be silent before it is checked.
    pub(super) fn silence_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.link_silence_ms)
    }
}
