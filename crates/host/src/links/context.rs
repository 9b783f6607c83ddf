//! What the parts of a link share.

use crate::messages::Event;
use crate::Clock;
use crossbeam_channel::Sender;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tackmast::interface::NodeId;
use tackmast_config::HostSettings;

/// What a link works with.
pub(super) struct LinkContext {
    pub(super) node: NodeId,
    pub(super) address: SocketAddr,
    pub(super) settings: Arc<HostSettings>,
    pub(super) clock: Clock,
    pub(super) events: Sender<Event>,
    /// The host's, as nodes know it.
    pub(super) generation: u64,
}

impl LinkContext {
    /// How long a connection may be silent before it is looked at.
    pub(super) fn silence_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.bounds.link_silence_ms)
    }
}
